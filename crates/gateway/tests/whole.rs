//! Several processes of the program as one fleet, with faults between them.
//! Each link runs through a relay; stand-in endpoints, discovery and clients surround the processes.
//! The test bed checks the requirements against what endpoints, discovery, clients and logs recorded.

use std::path::Path;
use weldworks_testbed::fleet_scenario::live;
use weldworks_testbed::fleet_scenario::script::Script;

/// Runs a scenario script from the repository; the gateways' logs must contain all of `expected_log_texts`.
fn run_scenario(name: &str, expected_log_texts: &[&str]) {
    let path = format!("{}/../testbed/fleet/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).expect("cannot read the scenario script");
    let script = Script::parse(&path, &text).expect("invalid scenario script");
    let folder = live::create_run_folder(&script, 1, Path::new(env!("CARGO_TARGET_TMPDIR")))
        .expect("cannot create the directory");
    let program = Path::new(env!("CARGO_BIN_EXE_weldworks-gateway"));
    let (report, log_lines) =
        live::run_script(&script, 1, program, &folder).expect("the scenario run failed");
    assert!(report.violations.is_empty(), "{:#?}\n{}", report.violations, log_lines.join("\n"));
    for expected_text in expected_log_texts {
        assert!(
            log_lines.iter().any(|line| line.contains(expected_text)),
            "no log line contains {expected_text:?}\n{}",
            log_lines.join("\n")
        );
    }
    assert!(
        report.figures.requests_sent > 1000 && report.figures.audited_steps > 100,
        "{:?}",
        report.figures
    );
}

#[test]
fn straggler() {
    run_scenario("straggler", &[]);
}

#[test]
fn cut_council() {
    run_scenario("cut-council", &[]);
}

#[test]
fn paused_member() {
    run_scenario("paused-member", &[]);
}

#[test]
fn rolling() {
    run_scenario("rolling", &[]);
}

#[test]
fn power_cut() {
    run_scenario("power-cut", &[]);
}

#[test]
fn flapping() {
    run_scenario("flapping", &[]);
}

#[test]
fn thin_link() {
    run_scenario("thin-link", &[]);
}

#[test]
fn changes() {
    run_scenario("changes", &["configuration reload rejected", "configuration reloaded"]);
}

#[test]
fn full_disk() {
    run_scenario(
        "full-disk",
        &["this process votes no longer", "audit store unavailable", "audit store available again"],
    );
}
