//! The built gateway between the rig's nodes and clients, on incidents short enough for every change. The ledger
//! proves the four rules on each.

use std::path::PathBuf;
use std::time::{Duration, Instant};
use weldworks_testbed::live::gateways::Program;
use weldworks_testbed::replay::{replay, ReplayError};
use weldworks_testbed::report::Report;
use weldworks_testbed::script::Script;

fn played(name: &str, text: &str, settings: Option<PathBuf>) -> Report {
    let script = Script::parse(name, text).unwrap_or_else(|problems| panic!("{problems}"));
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("replay-{name}"));
    std::fs::create_dir_all(&folder).expect("a folder");
    let start = Program { path: PathBuf::from(env!("CARGO_BIN_EXE_weldworks-gateway")), folder, settings };
    let (report, _) = replay(&script, 2, None, &start, &|_, _, _| {}, std::future::pending()).expect("a run");
    assert_eq!(report.violations, [], "{}", report.to_text());
    report
}

/// The figure, where this machine was quick enough for one. The rules are proven either way.
fn service(report: &Report) -> Option<f64> {
    report.service.as_ref().map(|s| s.whole)
}

/// Aims that a busy machine keeps too.
const CLASSES: &str = r#"
[[class]]
name = "room-status"
share = 0.4
work = "15ms"
aim = "1s"
deadline = "4s"
worth = 3
[[class]]
name = "enrol-pay"
share = 0.3
work = "20ms"
aim = "1s"
deadline = "4s"
worth = 8
effect = "keyed"
group = "all"
window = "4s"
[[class]]
name = "book-room"
share = 0.3
work = "25ms"
aim = "1s"
deadline = "4s"
worth = 3
effect = "keyed"
group = "rack"
window = "4s"
"#;

fn day(name: &str, events: &str) -> Report {
    let head = format!(
        "name = \"{name}\"\nlasts = \"5s\"\n[fleet]\ngateways = 2\nnodes = 8\nrack = 2\n[load]\nrate = 80\n\
         [register]\nnotice = [\"200ms\", \"400ms\"]\nsilent_notice = [\"500ms\", \"800ms\"]\n"
    );
    played(name, &format!("{head}{CLASSES}{events}"), None)
}

#[test]
fn serves_a_calm_day() {
    let report = day("calm", "");
    assert!(report.counts.asked > 250, "{}", report.to_text());
    assert!(service(&report).is_none_or(|s| s > 0.98), "{}", report.to_text());
    assert_eq!(report.counts.fallen, 0);
}

#[test]
fn serves_while_nodes_fail_at_once() {
    let event =
        "[[event]]\nat = \"1s\"\nlasts = \"2s\"\nwhat = \"fail\"\npart = 0.9\nnodes = [\"n00\", \"n03\"]\n";
    let report = day("failing", event);
    assert!(service(&report).is_none_or(|s| s > 0.9), "{}", report.to_text());
}

#[test]
fn serves_while_a_zone_is_cut_off_and_comes_back_cold() {
    let event = "[[event]]\nat = \"1s\"\nlasts = \"2s\"\nwhat = \"cut-off\"\nzone = \"zona-nord\"\n";
    let report = day("cut-off", event);
    assert!(service(&report).is_none_or(|s| s > 0.7), "{}", report.to_text());
    assert_eq!(report.counts.fallen, 0, "{}", report.to_text());
}

#[test]
fn serves_while_nodes_drain_and_others_restart() {
    let events = "[[event]]\nat = \"500ms\"\nwhat = \"drain\"\nnodes = [\"n01\", \"n02\"]\n\
                  [[event]]\nat = \"1500ms\"\nwhat = \"restart\"\nnodes = [\"n04\", \"n05\"]\ngone = \"400ms\"\n";
    let report = day("drain", events);
    assert!(service(&report).is_none_or(|s| s > 0.9), "{}", report.to_text());
}

#[test]
fn serves_without_its_register_and_with_connections_that_go_silently() {
    let events = "[[event]]\nat = \"500ms\"\nlasts = \"2s\"\nwhat = \"register-down\"\nwithout = [\"n06\"]\n\
                  [[event]]\nat = \"1s\"\nwhat = \"kill\"\nnodes = [\"n02\"]\n\
                  [[event]]\nat = \"1s\"\nwhat = \"let-go\"\nafter = \"100ms\"\nsilently = true\nshare = 0.5\n";
    let report = day("register", events);
    assert!(service(&report).is_none_or(|s| s > 0.85), "{}", report.to_text());
}

/// Where news are pushed, with live weights. What the agents have counts as told: a gateway that never watched would go on
/// sending to n06, which serves all day and is no longer listed.
#[test]
fn serves_and_drains_where_lists_are_pushed() {
    let head = "name = \"pushed\"\nlasts = \"5s\"\n[fleet]\ngateways = 2\nnodes = 8\nrack = 2\n[load]\nrate = 80\n\
                [clients]\nhints = true\n[register]\npushed = true\nweights_every = \"300ms\"\nweights_late = \"100ms\"\n\
                notice = [\"200ms\", \"400ms\"]\n";
    let events = "[[event]]\nat = \"500ms\"\nwhat = \"drain\"\nnodes = [\"n01\", \"n02\"]\n\
                  [[event]]\nat = \"700ms\"\nlasts = \"300ms\"\nwhat = \"register-down\"\nwithout = [\"n06\"]\n";
    let report = played("pushed", &format!("{head}{CLASSES}{events}"), None);
    assert!(service(&report).is_none_or(|s| s > 0.95), "{}", report.to_text());
    assert!(report.timeline.iter().any(|s| s.draining == 2), "{}", report.to_text());
}

/// Storm control works within the same rules, on a day that is all storm: half of the nodes are gone, and every
/// client tries again three times.
#[test]
fn keeps_the_rules_with_storm_control_in_a_storm() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join("storm.toml");
    std::fs::write(&file, "[storm]\nconfirm = \"100ms\"\nwindow = \"500ms\"\n").expect("a file");
    let text = format!(
        "name = \"storm\"\nlasts = \"6s\"\n[fleet]\ngateways = 2\nnodes = 4\nrack = 1\ncores = 1\nslots = 4\n\
         key_gain = 0.0\n[load]\nrate = 200\n[clients]\nretries = 3\nwait = \"10ms\"\nheed = 0.5\n[limits]\nretry_after = \"1s\"\n{CLASSES}\
         [[event]]\nat = \"1s\"\nlasts = \"2s\"\nwhat = \"kill\"\nzone = \"zona-nord\"\n"
    );
    let report = played("storm", &text, Some(file));
    assert!(report.counts.refused > 100, "{}", report.to_text());
    assert_eq!(report.counts.fallen, 0, "{}", report.to_text());
}

/// A run that is broken off leaves no gateway behind.
#[test]
fn a_run_that_is_broken_off_ends_its_gateways() {
    let script = Script::parse("stop", "name = \"stop\"\nlasts = \"60s\"").expect("a script");
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("replay-stop");
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("gateway-0.json");
    let start =
        Program { path: PathBuf::from(env!("CARGO_BIN_EXE_weldworks-gateway")), folder, settings: None };
    let stop = async { tokio::time::sleep(Duration::from_secs(2)).await };
    let played = replay(&script, 1, None, &start, &|_, _, _| {}, stop);
    assert!(matches!(played, Err(ReplayError::Stopped)), "{played:?}");
    // A process tells the file that it was started on in its environment.
    let has_file = |process: &std::fs::DirEntry| {
        let environment = std::fs::read(process.path().join("environ")).unwrap_or_default();
        String::from_utf8_lossy(&environment).contains(&format!("ROUTER_CONFIG={}", file.display()))
    };
    let left = || {
        let processes = std::fs::read_dir("/proc").expect("Linux").flatten();
        let processes: Vec<_> = processes.filter(|p| has_file(p) && !is_dead(p)).collect();
        !processes.is_empty()
    };
    let begun = Instant::now();
    while left() {
        assert!(begun.elapsed() < Duration::from_secs(30), "a gateway runs on");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// One that has ended and that nobody has asked for yet is no longer there.
fn is_dead(process: &std::fs::DirEntry) -> bool {
    let state = std::fs::read_to_string(process.path().join("stat")).unwrap_or_default();
    state.rsplit(')').next().is_none_or(|rest| rest.trim_start().starts_with('Z'))
}
