//! The built gateway between the test bed's stand-in endpoints and clients, in incidents that are short enough to run on every change.
//! The test bed's checker verifies the four rules in each run.

use std::path::PathBuf;
use std::time::{Duration, Instant};
use weldworks_testbed::live::gateways::Program;
use weldworks_testbed::replay::{replay, ReplayError};
use weldworks_testbed::report::Report;
use weldworks_testbed::run_folder::own_run_folder;
use weldworks_testbed::script::Script;

fn run_script(name: &str, text: &str, settings: Option<PathBuf>) -> Report {
    let script = Script::parse(name, text).unwrap_or_else(|problems| panic!("{problems}"));
    let folder = PathBuf::from(own_run_folder(env!("CARGO_TARGET_TMPDIR"))).join(format!("replay-{name}"));
    std::fs::create_dir_all(&folder).expect("cannot create the directory");
    let program = Program { path: PathBuf::from(env!("CARGO_BIN_EXE_weldworks-gateway")), folder, settings };
    let (report, _) =
        replay(&script, 2, None, &program, &|_, _, _| {}, std::future::pending()).expect("the run failed");
    assert_eq!(report.violations, [], "{}", report.to_text());
    report
}

/// The fraction of service, if this machine was fast enough for the run to yield one. The rules are checked either way.
fn service_fraction(report: &Report) -> Option<f64> {
    report.service.as_ref().map(|s| s.whole)
}

/// Request classes with latency objectives that a busy machine meets too.
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

fn run_incident(name: &str, events: &str) -> Report {
    let head = format!(
        "name = \"{name}\"\nlasts = \"5s\"\n[fleet]\ngateways = 2\nnodes = 8\nrack = 2\n[load]\nrate = 80\n\
         [register]\nnotice = [\"200ms\", \"400ms\"]\nsilent_notice = [\"500ms\", \"800ms\"]\n"
    );
    run_script(name, &format!("{head}{CLASSES}{events}"), None)
}

#[test]
fn serves_without_faults() {
    let report = run_incident("calm", "");
    assert!(report.counts.asked > 250, "{}", report.to_text());
    assert!(service_fraction(&report).is_none_or(|s| s > 0.98), "{}", report.to_text());
    assert_eq!(report.counts.fallen, 0);
}

#[test]
fn serves_while_endpoints_fail_requests_immediately() {
    let event =
        "[[event]]\nat = \"1s\"\nlasts = \"2s\"\nwhat = \"fail\"\npart = 0.9\nnodes = [\"n00\", \"n03\"]\n";
    let report = run_incident("failing", event);
    assert!(service_fraction(&report).is_none_or(|s| s > 0.9), "{}", report.to_text());
}

#[test]
fn serves_while_a_zone_is_cut_off_and_returns_in_slow_start() {
    let event = "[[event]]\nat = \"1s\"\nlasts = \"2s\"\nwhat = \"cut-off\"\nzone = \"zona-nord\"\n";
    let report = run_incident("cut-off", event);
    assert!(service_fraction(&report).is_none_or(|s| s > 0.7), "{}", report.to_text());
    assert_eq!(report.counts.fallen, 0, "{}", report.to_text());
}

#[test]
fn serves_while_endpoints_drain_and_others_restart() {
    let events = "[[event]]\nat = \"500ms\"\nwhat = \"drain\"\nnodes = [\"n01\", \"n02\"]\n\
                  [[event]]\nat = \"1500ms\"\nwhat = \"restart\"\nnodes = [\"n04\", \"n05\"]\ngone = \"400ms\"\n";
    let report = run_incident("drain", events);
    assert!(service_fraction(&report).is_none_or(|s| s > 0.9), "{}", report.to_text());
}

#[test]
fn serves_without_discovery_and_with_silently_lost_connections() {
    let events = "[[event]]\nat = \"500ms\"\nlasts = \"2s\"\nwhat = \"register-down\"\nwithout = [\"n06\"]\n\
                  [[event]]\nat = \"1s\"\nwhat = \"kill\"\nnodes = [\"n02\"]\n\
                  [[event]]\nat = \"1s\"\nwhat = \"let-go\"\nafter = \"100ms\"\nsilently = true\nshare = 0.5\n";
    let report = run_incident("register", events);
    assert!(service_fraction(&report).is_none_or(|s| s > 0.85), "{}", report.to_text());
}

/// Discovery pushes its lists and live weights. A delta counts as notified as soon as the discovery agents have it:
/// a gateway that never watched would go on sending to n06, which serves throughout the run and is no longer listed.
#[test]
fn serves_and_drains_where_lists_are_pushed() {
    let head = "name = \"pushed\"\nlasts = \"5s\"\n[fleet]\ngateways = 2\nnodes = 8\nrack = 2\n[load]\nrate = 80\n\
                [clients]\nhints = true\n[register]\npushed = true\nweights_every = \"300ms\"\nweights_late = \"100ms\"\n\
                notice = [\"200ms\", \"400ms\"]\n";
    let events = "[[event]]\nat = \"500ms\"\nwhat = \"drain\"\nnodes = [\"n01\", \"n02\"]\n\
                  [[event]]\nat = \"700ms\"\nlasts = \"300ms\"\nwhat = \"register-down\"\nwithout = [\"n06\"]\n";
    let report = run_script("pushed", &format!("{head}{CLASSES}{events}"), None);
    assert!(service_fraction(&report).is_none_or(|s| s > 0.95), "{}", report.to_text());
    assert!(report.timeline.iter().any(|s| s.draining == 2), "{}", report.to_text());
}

/// Storm control keeps the same rules in a run that is a retry storm throughout:
/// half of the endpoints are killed, and every client retries three times.
#[test]
fn keeps_the_rules_with_storm_control_in_a_retry_storm() {
    let folder = PathBuf::from(own_run_folder(env!("CARGO_TARGET_TMPDIR")));
    let file = folder.join("storm.toml");
    std::fs::write(&file, "[storm]\nconfirm = \"100ms\"\nwindow = \"500ms\"\n").expect("file write failed");
    let text = format!(
        "name = \"storm\"\nlasts = \"6s\"\n[fleet]\ngateways = 2\nnodes = 4\nrack = 1\ncores = 1\nslots = 4\n\
         key_gain = 0.0\n[load]\nrate = 200\n[clients]\nretries = 3\nwait = \"10ms\"\nheed = 0.5\n[limits]\nretry_after = \"1s\"\n{CLASSES}\
         [[event]]\nat = \"1s\"\nlasts = \"2s\"\nwhat = \"kill\"\nzone = \"zona-nord\"\n"
    );
    let report = run_script("storm", &text, Some(file));
    assert!(report.counts.refused > 100, "{}", report.to_text());
    assert_eq!(report.counts.fallen, 0, "{}", report.to_text());
}

/// A run that is stopped before its end leaves no gateway process behind.
#[test]
fn a_stopped_run_ends_its_gateways() {
    let script = Script::parse("stop", "name = \"stop\"\nlasts = \"60s\"").expect("invalid script");
    let folder = PathBuf::from(own_run_folder(env!("CARGO_TARGET_TMPDIR"))).join("replay-stop");
    std::fs::create_dir_all(&folder).expect("cannot create the directory");
    let file = folder.join("gateway-0.json");
    let program =
        Program { path: PathBuf::from(env!("CARGO_BIN_EXE_weldworks-gateway")), folder, settings: None };
    let stop_signal = async { tokio::time::sleep(Duration::from_secs(2)).await };
    let outcome = replay(&script, 1, None, &program, &|_, _, _| {}, stop_signal);
    assert!(matches!(outcome, Err(ReplayError::Stopped)), "{outcome:?}");
    // The environment of a gateway process names the configuration file that the process was started with.
    let has_file = |process: &std::fs::DirEntry| {
        let environment = std::fs::read(process.path().join("environ")).unwrap_or_default();
        String::from_utf8_lossy(&environment).contains(&format!("ROUTER_CONFIG={}", file.display()))
    };
    let has_gateway_processes = || {
        let processes = std::fs::read_dir("/proc").expect("cannot read /proc").flatten();
        let processes: Vec<_> = processes.filter(|p| has_file(p) && !is_dead(p)).collect();
        !processes.is_empty()
    };
    let waiting_since = Instant::now();
    while has_gateway_processes() {
        assert!(waiting_since.elapsed() < Duration::from_secs(30), "a gateway process is still running");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Whether the process is a zombie: it has exited, but its parent has not yet waited for it.
fn is_dead(process: &std::fs::DirEntry) -> bool {
    let state = std::fs::read_to_string(process.path().join("stat")).unwrap_or_default();
    state.rsplit(')').next().is_none_or(|rest| rest.trim_start().starts_with('Z'))
}
