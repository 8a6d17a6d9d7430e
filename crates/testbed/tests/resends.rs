//! Tests of the audit of retries, on logs that violate each rule and on logs that violate none.

use std::path::PathBuf;
use std::time::Duration;
use weldworks_balancer::{Idempotency, KeyScope};
use weldworks_testbed::resends::Audit;

/// A temporary folder, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn with(name: &str, files: &[String]) -> Folder {
        let folder = std::env::temp_dir().join(format!("weldworks-resends-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder was not created");
        for (number, text) in files.iter().enumerate() {
            std::fs::write(folder.join(format!("g{number}.log")), text).expect("a file was not written");
        }
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // a folder left behind does no harm
    }
}

fn line(ms: u64, fields: &str) -> String {
    format!(
        "{}.{:03} {{\"timestamp\":\"2026-12-02T03:00:00Z\",\"level\":\"DEBUG\",\"fields\":{{{fields}}}}}\n",
        ms / 1000,
        ms % 1000
    )
}

fn arrived(idempotency: Idempotency) -> String {
    line(
        0,
        &format!(
            r#""message":"request arrived","request":1,"request_id":"ab01","class":"book","idempotency":"{idempotency:?}""#
        ),
    )
}

/// The log line of attempt number `index`, sent at `ms` to an endpoint with this zone and cell; `left_us` is what was left of the
/// idempotency window.
fn sent(ms: u64, index: u32, place: (u32, u32), left_us: Option<u64>) -> String {
    let left = left_us.map(|us| format!(r#","write_window_us":{us}"#)).unwrap_or_default();
    let (zone, cell) = place;
    line(
        ms,
        &format!(
            r#""message":"attempt sent","request":1,"attempt":{index},"zone":{zone},"cell":{cell}{left}"#
        ),
    )
}

fn ended(ms: u64, index: u32, outcome: &str, written_us: Option<u64>) -> String {
    let written = written_us.map(|us| format!(r#","written_us":{us}"#)).unwrap_or_default();
    line(
        ms,
        &format!(r#""message":"attempt ended","request":1,"attempt":{index},"outcome":"{outcome}"{written}"#),
    )
}

fn rejected(ms: u64) -> String {
    line(ms, r#""message":"request finished","result":"rejected","request":1,"attempts":1,"duration_ms":9"#)
}

fn keyed(scope: KeyScope) -> Idempotency {
    Idempotency::IdempotencyKey { scope, window: Duration::from_millis(1200) }
}

fn audit(name: &str, files: &[Vec<String>]) -> Audit {
    let files: Vec<String> = files.iter().map(|lines| lines.concat()).collect();
    Audit::read(&Folder::with(name, &files).0).expect("the logs were not read")
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case for each violated rule")]
fn each_violated_rule_is_reported() {
    let (here, other) = ((0, 3), (1, 4));
    let reset = ended(10, 0, "Reset", Some(900));
    let first = sent(5, 0, here, None);
    let cases: Vec<(&str, Idempotency, Vec<String>)> = vec![
        (
            "unsafe work was sent again after an attempt that may have run",
            Idempotency::NotIdempotent,
            vec![first.clone(), reset.clone(), sent(11, 1, here, None)],
        ),
        (
            "unsafe work was sent again after an attempt that may have run",
            Idempotency::NotIdempotent,
            vec![first.clone(), sent(11, 1, here, None)], // the first attempt is still in flight
        ),
        (
            "sent again outside its group",
            keyed(KeyScope::Zone),
            vec![first.clone(), reset.clone(), sent(11, 1, other, Some(9000))],
        ),
        (
            "sent again outside its group",
            keyed(KeyScope::Cell),
            vec![first.clone(), reset.clone(), sent(11, 1, other, Some(9000))],
        ),
        (
            "sent again with no latest moment for its last byte",
            keyed(KeyScope::All),
            vec![first.clone(), reset.clone(), sent(11, 1, other, None)],
        ),
        (
            "its last byte was written after its window",
            keyed(KeyScope::All),
            vec![
                first.clone(),
                reset.clone(),
                sent(11, 1, here, Some(9000)),
                ended(30, 1, "Served", Some(9000)),
            ],
        ),
        (
            "its last byte was written, and it was taken for one that never ran",
            Idempotency::Idempotent,
            vec![first.clone(), ended(10, 0, "NoConnection", Some(900))],
        ),
        (
            "refused after an attempt that may have run",
            keyed(KeyScope::Cell),
            vec![first.clone(), reset.clone(), rejected(12)],
        ),
        (
            "refused after an attempt that may have run",
            Idempotency::NotIdempotent,
            vec![first.clone(), ended(10, 0, "NoConnection", Some(900)), rejected(12)],
        ),
    ];
    for (index, (rule, idempotency, lines)) in cases.into_iter().enumerate() {
        let audit = audit(&format!("broken-{index}"), &[[vec![arrived(idempotency)], lines].concat()]);
        assert!(
            audit.violations.iter().any(|violation| violation.rule == rule),
            "{index}: {rule} in {:?}",
            audit.violations
        );
        assert!(audit.tables().contains(rule) && audit.tables().contains("ab01"));
    }
    let one = vec![arrived(Idempotency::NotIdempotent), first, ended(10, 0, "TimedOut", Some(900))];
    let audit = audit("two", &[one.clone(), one]);
    assert!(
        audit.violations.iter().any(|violation| violation.rule == "ran under two gateways"),
        "{:?}",
        audit.violations
    );
}

#[test]
fn an_allowed_retry_violates_no_rule_and_its_margin_is_counted() {
    let here = (0, 3);
    let lines = vec![
        arrived(keyed(KeyScope::Cell)),
        sent(5, 0, here, None),
        ended(10, 0, "Reset", Some(900)),
        sent(11, 1, here, Some(9000)),
        ended(30, 1, "NotSent", None),
        sent(31, 2, here, Some(8000)),
        ended(40, 2, "Served", Some(7500)),
        "no event\n".to_owned(),
    ];
    let audit = audit("kept", &[lines]);
    assert_eq!(audit.violations, []);
    assert_eq!((audit.requests, audit.retries, audit.repeats), (1, 2, 2));
    assert_eq!((audit.margins_us.as_slice(), audit.unwritten_repeats), (&[500][..], 1));
    assert!(audit.tables().contains("nothing broken") && audit.tables().contains("least 0.5"));
}

#[test]
fn a_request_that_was_not_processed_may_be_rejected_and_retried_anywhere() {
    for (outcome, written_us) in [("Rejected", Some(900)), ("NoConnection", None), ("NotSent", None)] {
        let lines = vec![
            arrived(Idempotency::NotIdempotent),
            sent(5, 0, (0, 3), None),
            ended(10, 0, outcome, written_us),
            sent(11, 1, (1, 4), None),
            ended(12, 1, outcome, written_us),
            rejected(13),
        ];
        assert_eq!(audit(&format!("never-{outcome}"), &[lines]).violations, [], "{outcome}");
    }
}
