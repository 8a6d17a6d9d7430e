//! Studies: read whole or refused with the place, the same figures each time, and a bound that is one.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use weldworks_testbed::script::Script;
use weldworks_testbed::simulate::{simulate, simulate_with, DecisionModules};
use weldworks_testbed::sweep::run::ORACLE;
use weldworks_testbed::sweep::{plot, run, table, Study};

/// A folder of this test's own with a script and a study in it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str, study: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("weldworks-sweep-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let write = |file: &str, text: &str| std::fs::write(folder.join(file), text).expect("a file");
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
fn all_runs_are_played_paired_and_the_same_each_time() {
    let folder = Folder::new("runs", STUDY);
    let study = folder.study().expect("a study");
    let heard = AtomicUsize::new(0);
    let hear = |done: usize, of: usize| {
        assert!(done <= of && of == 12);
        heard.fetch_add(1, Ordering::Relaxed);
    };
    let runs = run(&study, 3, &hear).expect("runs");
    assert_eq!((runs.len(), heard.into_inner()), (12, 12));
    let plain = |threads| {
        let mut runs = run(&study, threads, &|_, _| {}).expect("runs");
        runs.iter_mut().for_each(|r| r.decision_us = None);
        runs
    };
    assert_eq!(plain(1), plain(4), "whatever the threads");

    let rows = table::rows(&runs);
    assert_eq!(rows.len(), 6);
    let row = |variant: &str, gateways| {
        rows.iter().find(|r| r.variant == variant && r.gateways == gateways).expect("a row")
    };
    assert!(row("slow", 12).difference.expect("pairs").mean < -0.02, "what a variant sets has an effect");
    assert!(row(ORACLE, 12).difference.is_none());
    let svg = plot::svg(&rows).expect("a picture");
    assert!(svg.contains("day: worst 10 s") && svg.contains("slow"));
}

#[test]
fn mistakes_are_told_with_their_place() {
    let wrong = |name: &str, study: &str, needles: &[&str]| {
        let text = Folder::new(name, study).study().expect_err("a mistake");
        for needle in needles {
            assert!(text.contains(needle), "{needle} is not in {text}");
        }
    };
    wrong("none", "name = \"x\"\n", &["study.toml", "[[script]]"]);
    wrong(
        "list",
        "name = \"x\"\ngateways = []\n[[script]]\nfile = \"day.toml\"\n",
        &["gateways", "1 to 10000"],
    );
    wrong("file", "name = \"x\"\n[[script]]\nfile = \"gone.toml\"\n", &["gone.toml"]);
    wrong("key", "name = \"x\"\ncolour = 1\n[[script]]\nfile = \"day.toml\"\n", &["colour"]);
    let twice = "name = \"x\"\n[[script]]\nfile = \"day.toml\"\n[[variant]]\nname = \"v\"\n[[variant]]\nname = \"v\"\n";
    wrong("twice", twice, &["study.toml:7", "\"v\" is taken"]);
    let set = "name = \"x\"\n[[script]]\nfile = \"day.toml\"\n[[variant]]\nname = \"v\"\nset = [\"load.rate = -1\"]\n";
    wrong("set", set, &["day.toml", "variant \"v\"", "rate"]);
    let set =
        "name = \"x\"\n[[script]]\nfile = \"day.toml\"\n[[variant]]\nname = \"v\"\nset = [\"load rate\"]\n";
    wrong("toml", set, &["day.toml", "load rate"]);
    let many = "name = \"x\"\nseeds = 1000\ngateways = [1, 2]\n".to_owned()
        + &"[[script]]\nfile = \"day.toml\"\n".repeat(51);
    wrong("many", &many, &["102000 runs"]);
}

#[test]
fn one_mind_for_all_gateways_serves_better_than_many() {
    let text = "name = \"busy\"\nlasts = \"8s\"\n[load]\nrate = 320\n";
    let script = Script::parse("busy.toml", text).expect("a script");
    let (own, _) = simulate(&script, 1, Some(45), None).expect("settings");
    let (shared, _) = simulate_with(&script, 1, Some(45), None, DecisionModules::Shared).expect("settings");
    let whole = |r: &weldworks_testbed::report::Report| r.service.as_ref().expect("a figure").whole;
    assert!(whole(&shared) > whole(&own), "{} and {}", whole(&shared), whole(&own));
    assert_eq!((shared.breaches.len(), own.breaches.len()), (0, 0));
}

#[test]
fn the_studies_that_ship_are_as_they_should_be() {
    let folder = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/studies"));
    let studies: Vec<_> =
        std::fs::read_dir(folder).expect("studies").map(|e| e.expect("an entry").path()).collect();
    assert!(studies.len() >= 3);
    for file in studies {
        Study::read(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
    }
}
