//! Several processes of the program as one fleet, with faults between them: each link through a relay, nodes, registers and clients
//! round them. What has to hold is judged by the rig, from what nodes, registers, clients and logs saw.

use std::path::Path;
use weldworks_testbed::fleet_scenario::live;
use weldworks_testbed::fleet_scenario::script::Script;

/// Plays a script that ships; the gateways' logs are to say all of this.
fn play(name: &str, said: &[&str]) {
    let path = format!("{}/../testbed/fleet/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).expect("the script");
    let script = Script::parse(&path, &text).expect("as it should be");
    let folder =
        live::create_run_folder(&script, 1, Path::new(env!("CARGO_TARGET_TMPDIR"))).expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_weldworks-gateway"));
    let (report, told) = live::run_script(&script, 1, program, &folder).expect("it can be played");
    assert!(report.violations.is_empty(), "{:#?}\n{}", report.violations, told.join("\n"));
    for said in said {
        assert!(told.iter().any(|line| line.contains(said)), "nobody says {said:?}\n{}", told.join("\n"));
    }
    assert!(
        report.figures.requests_sent > 1000 && report.figures.audited_steps > 100,
        "{:?}",
        report.figures
    );
}

#[test]
fn straggler() {
    play("straggler", &[]);
}

#[test]
fn cut_council() {
    play("cut-council", &[]);
}

#[test]
fn paused_member() {
    play("paused-member", &[]);
}

#[test]
fn rolling() {
    play("rolling", &[]);
}

#[test]
fn power_cut() {
    play("power-cut", &[]);
}

#[test]
fn flapping() {
    play("flapping", &[]);
}

#[test]
fn thin_link() {
    play("thin-link", &[]);
}

#[test]
fn changes() {
    play("changes", &["configuration reload rejected", "configuration reloaded"]);
}

#[test]
fn full_disk() {
    play(
        "full-disk",
        &["this process votes no longer", "audit store unavailable", "audit store available again"],
    );
}
