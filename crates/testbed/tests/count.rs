//! Tests of the counts over a fleet, on logs that the tests write.

use std::fs;
use std::path::PathBuf;
use weldworks_testbed::count::Counts;
use weldworks_testbed::logs::LogsError;

/// A temporary folder of log files, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn with(name: &str, files: &[(&str, &str)]) -> Folder {
        let folder = std::env::temp_dir().join(format!("weldworks-count-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder was not created");
        for (file, text) in files {
            fs::write(folder.join(file), text).expect("a file was not written");
        }
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0); // a folder left behind does no harm
    }
}

fn line(prefix: &str, second: f64, fields: &str) -> String {
    format!(
        "{prefix}{{\"timestamp\":\"2026-12-01T18:03:{second:09.6}Z\",\"level\":\"DEBUG\",\"fields\":{{{fields}}}}}\n"
    )
}

#[test]
fn two_gateways_are_counted_together_by_interval_and_endpoint() {
    let sent = r#""message":"attempt sent","request":1,"attempt":0,"endpoint":"127.0.0.1:1""#;
    let served = r#""message":"attempt ended","request":1,"attempt":0,"endpoint":"127.0.0.1:1","latency_ms":40,"outcome":"Served""#;
    let late = r#""message":"attempt ended","request":1,"attempt":0,"endpoint":"127.0.0.1:1","latency_ms":300,"outcome":"TimedOut""#;
    let listed = r#""message":"endpoint listed","endpoint":"127.0.0.1:1","kind":"std-2c","status":"Leaving","started_unix_ms":7"#;
    let a = [
        line(
            "0.100 ",
            30.1,
            r#""message":"endpoint listed","endpoint":"127.0.0.1:1","kind":"std-2c","status":"Active","started_unix_ms":7"#,
        ),
        line("0.200 ", 30.2, sent),
        line("0.200 ", 30.2, r#""message":"connecting to endpoint","endpoint":"127.0.0.1:1""#),
        line("0.240 ", 30.24, served),
        line(
            "0.240 ",
            30.24,
            r#""message":"request finished","result":"served","request":1,"attempts":1,"duration_ms":41"#,
        ),
        line(
            "1.500 ",
            31.5,
            r#""message":"request finished","result":"rejected","request":2,"attempts":0,"duration_ms":0"#,
        ),
        "a line of something else\n".to_owned(),
    ];
    let b = [
        line("1.200 ", 31.2, sent),
        line("1.510 ", 31.51, late),
        line(
            "1.510 ",
            31.51,
            r#""message":"request finished","result":"rejected","request":1,"attempts":1,"duration_ms":300"#,
        ),
        line("1.600 ", 31.6, listed),
    ];
    let folder = Folder::with("two", &[("n0.log", &a.concat()), ("n1.log", &b.concat())]);
    let counts = Counts::read(&folder.0, 1.0, 0.0..f64::INFINITY).expect("the logs were not read");
    let (first, second) = (&counts.intervals[&0], &counts.intervals[&1]);
    assert_eq!((first.attempts, first.connections, first.served_ms.as_slice()), (1, 1, [41].as_slice()));
    assert_eq!((second.attempts, second.rejected_at_once, second.rejected_later), (1, 1, 1));
    let endpoint = &counts.endpoints["127.0.0.1:1"];
    assert_eq!(
        (endpoint.attempts, endpoint.connections, endpoint.served_ms.as_slice()),
        (2, 1, [40].as_slice())
    );
    assert_eq!(
        (endpoint.status.as_str(), endpoint.outcomes["TimedOut"], counts.skipped_lines),
        ("Leaving", 1, 1)
    );
    assert!(counts.tables().contains("127.0.0.1:1"));
    // Within the first second the endpoint served one attempt and was listed as active.
    let early = Counts::read(&folder.0, 1.0, 0.0..1.0).expect("the logs were not read");
    let endpoint = &early.endpoints["127.0.0.1:1"];
    assert_eq!(
        (endpoint.attempts, endpoint.status.as_str(), endpoint.outcomes.contains_key("TimedOut")),
        (1, "Active", false)
    );
}

#[test]
fn times_of_logs_without_simulation_time_count_from_the_earliest_event() {
    let arrived = r#""message":"request arrived","request":1,"class":0,"client_retry":false"#;
    let files = [("b.log", line("", 33.0, arrived)), ("a.log", line("", 31.5, arrived))];
    let folder = Folder::with("wall", &files.each_ref().map(|(name, text)| (*name, text.as_str())));
    let counts = Counts::read(&folder.0, 1.0, 0.0..f64::INFINITY).expect("the logs were not read");
    assert_eq!(counts.intervals.keys().copied().collect::<Vec<_>>(), [0, 1]);
}

#[test]
fn a_folder_without_events_is_an_error_that_names_the_log_settings() {
    let folder = Folder::with("none", &[("n0.log", "2026-12-01 INFO listening\n{\"half\":\n\u{fffd}\n")]);
    let error = Counts::read(&folder.0, 1.0, 0.0..1.0).expect_err("logs without events were counted");
    assert!(
        matches!(error, LogsError::NoEvents(_)) && error.to_string().contains("level = \"debug\""),
        "{error}"
    );
    let missing =
        Counts::read(&folder.0.join("gone"), 1.0, 0.0..1.0).expect_err("a missing folder was counted");
    assert!(matches!(missing, LogsError::Unreadable { .. }));
}
