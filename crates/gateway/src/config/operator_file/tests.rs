//! Tests of the operator's file: the shipped file, every key, and digests.

use super::*;
use crate::lifecycle::log::{LogFormat, LogLevel};

#[test]
fn the_shipped_file_is_valid_and_unknown_tables_are_reported() {
    let shipped = include_str!("../../../../../deploy/gateway.toml");
    assert_eq!(
        OperatorFile::parse("gateway.toml", shipped).expect("the shipped file is valid"),
        OperatorFile::default()
    );
    let on = OperatorFile::parse("g.toml", "[storm]\nbudget = 0.2\n").expect("the table [storm] is valid");
    assert_eq!(on.storm, Some(StormSettings { retries_per_first_attempt: 0.2, ..StormSettings::default() }));
    let json = OperatorFile::parse("g.toml", "[log]\nformat = \"json\"\n").expect("the log format is valid");
    assert_eq!(json.log, LogSettings { format: LogFormat::Json, level: LogLevel::Info });
    let all = OperatorFile::parse("g.toml", "[log]\nlevel = \"debug\"\n").expect("the log level is valid");
    assert_eq!(all.log.level, LogLevel::Debug);
    assert!(OperatorFile::parse("g.toml", "[log]\nformat = \"xml\"\n").is_err());
    let problems = OperatorFile::parse("g.toml", "x = 1\n\n[tsl]\n").expect_err("two unknown keys");
    let positions: Vec<_> =
        problems.list.iter().map(|problem| (problem.line, problem.key.as_str())).collect();
    assert_eq!(positions, [(1, "x"), (3, "tsl")]);
}

const EVERY_KEY: &str = include_str!("../../../tests/fixtures/operator-every-key.toml");

/// An operator's file of version 0.2.0 must still be read completely: every key is used, and a misspelt key is reported with its line.
#[test]
fn every_key_of_version_0_2_0_is_read() {
    let operator = OperatorFile::parse("g.toml", EVERY_KEY).expect("the file with every key is valid");
    assert!(operator.storm.is_some() && operator.fleet.is_some());
    for (n, line) in EVERY_KEY.lines().enumerate() {
        let Some((key, value)) = line.split_once(" = ") else { continue };
        let misspelt = format!("{key}_ = {value}");
        let lines = EVERY_KEY.lines().enumerate();
        let text: String =
            lines.map(|(m, line)| format!("{}\n", if m == n { &misspelt } else { line })).collect();
        let problems = OperatorFile::parse("g.toml", &text).expect_err("an unknown key");
        let names_key =
            |p: &weldworks_config::Problem| p.line == n + 1 && p.key.ends_with(&format!("{key}_"));
        assert!(problems.list.iter().any(names_key), "{key}: {problems}");
        // A value of a wrong type must be rejected too, which shows that the value of the key is read.
        let text = EVERY_KEY.replacen(line, &format!("{key} = [1]"), 1);
        assert!(OperatorFile::parse("g.toml", &text).is_err(), "{key}");
    }
}

/// Gateways of different builds compare these digests. If a renamed type changed a digest, a fleet would reject the upgraded gateway.
#[test]
fn digests_are_those_of_version_0_2_0() {
    let digest =
        |text: &str| format!("{:016x}", OperatorFile::parse("g.toml", text).expect("valid text").digest());
    assert_eq!(digest(""), "333ee037bd6566bd");
    assert_eq!(digest(EVERY_KEY), "f542ce8e946b42aa");
}
