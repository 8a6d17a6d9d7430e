use super::super::tests::{at, version};
use super::*;
use proptest::prelude::*;

fn pick(request_id: &str) -> Decision<'_> {
    Decision { kind: DecisionKind::Pick, class: 1, request_id, endpoint: Some("n1") }
}

fn counted_decisions(report: &AuditReport) -> u64 {
    report.intervals.iter().flat_map(|interval| &interval.decisions).map(|(_, _, count)| count).sum()
}

#[test]
fn decisions_and_exceptions_are_reported_under_the_version_in_force() {
    let mut audit = AuditLog::new(at(0), version(1));
    audit.record_decision(at(10), pick("a"));
    audit.set_version(at(100), version(2));
    audit.record_decision(at(110), pick("b"));
    audit.set_log_index(7);
    audit.record_decision(
        at(120),
        Decision { kind: DecisionKind::Reject, class: 0, request_id: "c", endpoint: None },
    );
    audit.record_exception(at(120), Exception::WithoutSession, "c");
    let report = audit.report_lists(at(200), 1..=1);
    assert_eq!(report.intervals.len(), 1);
    assert_eq!((report.intervals[0].from_ms, report.intervals[0].to_ms), (0, Some(100)));
    assert_eq!(report.intervals[0].decisions, [(DecisionKind::Pick, 1, 1)]);
    assert!(report.exceptions.is_empty(), "the exception occurred under another version");
    let report = audit.report_lists(at(200), 2..=9);
    assert_eq!(report.intervals[0].log_indices, (0, 7));
    assert_eq!(report.intervals[0].decisions, [(DecisionKind::Reject, 0, 1), (DecisionKind::Pick, 1, 1)]);
    assert_eq!(report.exceptions.len(), 1);
    let RequestReport { since_ms, steps } = audit.report_request("b");
    assert_eq!((since_ms, steps.len()), (0, 1));
    assert_eq!(steps[0].endpoint.as_deref(), Some("n1"));
    assert_eq!(steps[0].version.as_ref().map(|version| version.list.index), Some(2));
}

#[test]
fn exceptions_in_close_succession_are_one_run_and_a_later_exception_starts_another() {
    let mut audit = AuditLog::new(at(0), version(1));
    for n in 0..50 {
        audit.record_exception(at(n * 100), Exception::WithoutSession, "x");
    }
    audit.record_exception(at(9000), Exception::WithoutSession, "y");
    let report = audit.report_lists(at(9000), 0..=u64::MAX);
    let counts: Vec<u64> = report.exceptions.iter().map(|exception| exception.count).collect();
    assert_eq!(counts, [50, 1]);
}

proptest! {
    /// However many versions and requests there are, the log stays bounded and reports how many entries it dropped.
    #[test]
    fn log_is_bounded_and_reports_dropped_entries(versions in 1u64..12_000, requests_each in 0u64..3) {
        let mut audit = AuditLog::new(at(0), version(0));
        for index in 1..=versions {
            audit.set_version(at(index), version(index));
            for n in 0..requests_each {
                audit.record_decision(at(index), pick(&format!("{index}-{n}")));
            }
        }
        prop_assert!(audit.intervals.len() <= MAX_INTERVALS && audit.steps.len() <= MAX_STEPS);
        let report = audit.report_lists(at(versions), 0..=u64::MAX);
        let counted = counted_decisions(&report);
        if report.dropped_intervals == 0 {
            prop_assert_eq!(counted, versions * requests_each);
        } else {
            prop_assert!(counted < versions * requests_each);
        }
        // A version without decisions takes up no interval.
        prop_assert!(requests_each > 0 || report.intervals.len() <= 2);
        let since_ms = audit.report_request("none").since_ms;
        prop_assert_eq!(since_ms > 0, audit.dropped_steps > 0);
    }

    /// Every decision is counted in the interval whose version was in force.
    #[test]
    fn decisions_are_counted_under_their_version(steps in prop::collection::vec((0u64..5, 0usize..3), 1..200)) {
        let mut audit = AuditLog::new(at(0), version(0));
        let mut expected = BTreeMap::new();
        for (n, (index, class)) in steps.iter().enumerate() {
            audit.set_version(at(n as u64), version(*index));
            audit.record_decision(at(n as u64), Decision { class: *class, ..pick("r") });
            *expected.entry(*index).or_insert(0u64) += 1;
        }
        for (index, count) in expected {
            let report = audit.report_lists(at(999), index..=index);
            prop_assert_eq!(counted_decisions(&report), count);
        }
    }
}
