//! Tests of studies: invalid studies are rejected with the place of each error, and the figures are the same in every run.
//! The upper bound, one balancer for all gateways, must have a higher service than gateways with a balancer each.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use weldworks_testbed::script::Script;
use weldworks_testbed::simulate::{simulate, simulate_with, DecisionModules};
use weldworks_testbed::sweep::run::ORACLE;
use weldworks_testbed::sweep::{plot, run, table, Study};

/// A temporary folder of one test, with a script and a study; it is removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str, study: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("weldworks-sweep-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder was not created");
        let write =
            |file: &str, text: &str| std::fs::write(folder.join(file), text).expect("a file was not written");
        write("day.toml", "name = \"day\"\nlasts = \"4s\"\n[load]\nrate = 200\n");
        write("study.toml", study);
        Folder(folder)
    }

    fn study(&self) -> Result<Study, String> {
        Study::read(&self.0.join("study.toml")).map_err(|e| e.to_string())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const STUDY: &str = r#"
name = "small"
gateways = [2, 12]
seeds = 2
oracle = true
[[script]]
file = "day.toml"
[[variant]]
name = "plain"
[[variant]]
name = "slow"
set = ["fleet.speed = [0.3, 0.3]", "load.keys = 0"]
"#;

#[test]
fn a_study_carries_out_all_runs_with_the_same_figures_on_any_number_of_threads() {
    let folder = Folder::new("runs", STUDY);
    let study = folder.study().expect("the study is invalid");
    let calls = AtomicUsize::new(0);
    let on_progress = |done: usize, of: usize| {
        assert!(done <= of && of == 12);
        calls.fetch_add(1, Ordering::Relaxed);
    };
    let runs = run(&study, 3, &on_progress).expect("a run failed");
    assert_eq!((runs.len(), calls.into_inner()), (12, 12));
    let without_times = |threads| {
        let mut runs = run(&study, threads, &|_, _| {}).expect("a run failed");
        runs.iter_mut().for_each(|run| run.decision_us = None);
        runs
    };
    assert_eq!(without_times(1), without_times(4), "the number of threads changed the figures");

    let rows = table::rows(&runs);
    assert_eq!(rows.len(), 6);
    let row = |variant: &str, gateways| {
        rows.iter().find(|row| row.variant == variant && row.gateways == gateways).expect("a row is missing")
    };
    assert!(
        row("slow", 12).difference.expect("no seed was run with both variants").mean < -0.02,
        "the variant's changes had no effect"
    );
    assert!(row(ORACLE, 12).difference.is_none());
    let svg = plot::svg(&rows).expect("the plots were not drawn");
    assert!(svg.contains("day: worst 10 s") && svg.contains("slow"));
}

#[test]
fn errors_in_a_study_are_reported_with_their_place() {
    let assert_rejected = |name: &str, study: &str, needles: &[&str]| {
        let text = Folder::new(name, study).study().expect_err("an invalid study was accepted");
        for needle in needles {
            assert!(text.contains(needle), "{needle} is missing from: {text}");
        }
    };
    assert_rejected("none", "name = \"x\"\n", &["study.toml", "[[script]]"]);
    assert_rejected(
        "list",
        "name = \"x\"\ngateways = []\n[[script]]\nfile = \"day.toml\"\n",
        &["gateways", "1 to 10000"],
    );
    assert_rejected("file", "name = \"x\"\n[[script]]\nfile = \"gone.toml\"\n", &["gone.toml"]);
    assert_rejected("key", "name = \"x\"\ncolour = 1\n[[script]]\nfile = \"day.toml\"\n", &["colour"]);
    let twice = "name = \"x\"\n[[script]]\nfile = \"day.toml\"\n[[variant]]\nname = \"v\"\n[[variant]]\nname = \"v\"\n";
    assert_rejected("twice", twice, &["study.toml:7", "\"v\" is taken"]);
    let set = "name = \"x\"\n[[script]]\nfile = \"day.toml\"\n[[variant]]\nname = \"v\"\nset = [\"load.rate = -1\"]\n";
    assert_rejected("set", set, &["day.toml", "variant \"v\"", "rate"]);
    let set =
        "name = \"x\"\n[[script]]\nfile = \"day.toml\"\n[[variant]]\nname = \"v\"\nset = [\"load rate\"]\n";
    assert_rejected("toml", set, &["day.toml", "load rate"]);
    let many = "name = \"x\"\nseeds = 1000\ngateways = [1, 2]\n".to_owned()
        + &"[[script]]\nfile = \"day.toml\"\n".repeat(51);
    assert_rejected("many", &many, &["102000 runs"]);
}

#[test]
fn one_balancer_for_all_gateways_serves_better_than_one_for_each() {
    let text = "name = \"busy\"\nlasts = \"8s\"\n[load]\nrate = 320\n";
    let script = Script::parse("busy.toml", text).expect("the script is invalid");
    let (own, _) = simulate(&script, 1, Some(45), None).expect("the balancer rejected the settings");
    let (shared, _) = simulate_with(&script, 1, Some(45), None, DecisionModules::Shared)
        .expect("the balancer rejected the settings");
    let whole = |report: &weldworks_testbed::report::Report| {
        report.service.as_ref().expect("the report has no service figure").whole
    };
    assert!(whole(&shared) > whole(&own), "{} and {}", whole(&shared), whole(&own));
    assert_eq!((shared.violations.len(), own.violations.len()), (0, 0));
}

#[test]
fn all_studies_of_the_repository_are_valid() {
    let folder = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/studies"));
    let studies: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder of studies cannot be read")
        .map(|entry| entry.expect("a folder entry cannot be read").path())
        .collect();
    assert!(studies.len() >= 3);
    for file in studies {
        Study::read(&file).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    }
}
