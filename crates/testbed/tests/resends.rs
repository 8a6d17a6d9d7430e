//! The audit of resends, fed with a history that breaks each rule and with one that breaks none.

use std::path::PathBuf;
use std::time::Duration;
use weldworks_balancer::{Idempotency, KeyScope};
use weldworks_testbed::resends::Audit;

/// A folder of its own, gone at the end.
struct Folder(PathBuf);

impl Folder {
    fn with(name: &str, files: &[String]) -> Folder {
        let folder = std::env::temp_dir().join(format!("weldworks-resends-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        for (n, text) in files.iter().enumerate() {
            std::fs::write(folder.join(format!("g{n}.log")), text).expect("a file");
        }
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // left behind it harms nobody
    }
}

fn line(ms: u64, fields: &str) -> String {
    format!(
        "{}.{:03} {{\"timestamp\":\"2026-12-02T03:00:00Z\",\"level\":\"DEBUG\",\"fields\":{{{fields}}}}}\n",
        ms / 1000,
        ms % 1000
    )
}

fn arrived(effect: Idempotency) -> String {
    line(
        0,
        &format!(
            r#""message":"request arrived","request":1,"request_id":"ab01","class":"book","idempotency":"{effect:?}""#
        ),
    )
}

/// An attempt: when it was sent, to which zone and cell, what was left of the window.
fn sent(ms: u64, n: u32, place: (u32, u32), left_us: Option<u64>) -> String {
    let left = left_us.map(|us| format!(r#","write_window_us":{us}"#)).unwrap_or_default();
    let (zone, cell) = place;
    line(
        ms,
        &format!(r#""message":"attempt sent","request":1,"attempt":{n},"zone":{zone},"cell":{cell}{left}"#),
    )
}

fn ended(ms: u64, n: u32, how: &str, written_us: Option<u64>) -> String {
    let written = written_us.map(|us| format!(r#","written_us":{us}"#)).unwrap_or_default();
    line(ms, &format!(r#""message":"attempt ended","request":1,"attempt":{n},"outcome":"{how}"{written}"#))
}

fn refused(ms: u64) -> String {
    line(ms, r#""message":"request finished","result":"rejected","request":1,"attempts":1,"duration_ms":9"#)
}

fn keyed(group: KeyScope) -> Idempotency {
    Idempotency::IdempotencyKey { scope: group, window: Duration::from_millis(1200) }
}

fn audit(name: &str, files: &[Vec<String>]) -> Audit {
    let files: Vec<String> = files.iter().map(|lines| lines.concat()).collect();
    Audit::of(&Folder::with(name, &files).0).expect("logs")
}

#[test]
fn each_rule_that_is_broken_is_seen() {
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
            vec![first.clone(), sent(11, 1, here, None)], // out still
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
            vec![first.clone(), reset.clone(), refused(12)],
        ),
        (
            "refused after an attempt that may have run",
            Idempotency::NotIdempotent,
            vec![first.clone(), ended(10, 0, "NoConnection", Some(900)), refused(12)],
        ),
    ];
    for (n, (what, effect, lines)) in cases.into_iter().enumerate() {
        let audit = audit(&format!("broken-{n}"), &[[vec![arrived(effect)], lines].concat()]);
        assert!(audit.breaches.iter().any(|b| b.what == what), "{n}: {what} in {:?}", audit.breaches);
        assert!(audit.tables().contains(what) && audit.tables().contains("ab01"));
    }
    let one = vec![arrived(Idempotency::NotIdempotent), first, ended(10, 0, "TimedOut", Some(900))];
    let audit = audit("two", &[one.clone(), one]);
    assert!(audit.breaches.iter().any(|b| b.what == "ran under two gateways"), "{:?}", audit.breaches);
}

#[test]
fn what_is_allowed_breaks_nothing_and_its_margin_is_told() {
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
    assert_eq!(audit.breaches, []);
    assert_eq!((audit.requests, audit.resends, audit.repeats), (1, 2, 2));
    assert_eq!((audit.margins.as_slice(), audit.withheld), (&[500][..], 1));
    assert!(audit.tables().contains("nothing broken") && audit.tables().contains("least 0.5"));
}

#[test]
fn what_surely_never_ran_may_be_refused_and_sent_anywhere() {
    for (how, written) in [("Rejected", Some(900)), ("NoConnection", None), ("NotSent", None)] {
        let lines = vec![
            arrived(Idempotency::NotIdempotent),
            sent(5, 0, (0, 3), None),
            ended(10, 0, how, written),
            sent(11, 1, (1, 4), None),
            ended(12, 1, how, written),
            refused(13),
        ];
        assert_eq!(audit(&format!("never-{how}"), &[lines]).breaches, [], "{how}");
    }
}
