//! Tests of the metrics text and of how requests are counted.

use super::*;

#[test]
fn every_registered_class_is_listed_from_zero_and_a_removed_class_keeps_its_counts() {
    let metrics = Rc::new(Metrics::default());
    metrics.register_classes(&["look".into(), "a \"b\"\n\\".into()]);
    metrics.record_ending("look", RequestEnding::Served);
    metrics.register_classes(&["pay".into()]);
    metrics.record_ending("nobody's", RequestEnding::Failed);
    let open_request = metrics.open_request();
    let text = metrics.text();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines.contains(&"router_answered{group=\"look\"} 1"), "{text}");
    assert!(lines.contains(&"router_errored{group=\"pay\"} 0"));
    assert!(lines.contains(&"router_deferred{group=\"a \\\"b\\\"\\n\\\\\"} 0"));
    assert!(lines.contains(&"router_current 1") && !text.contains("nobody"));
    assert_eq!(lines.len(), 3 * 3 + 7, "one line per metric");
    drop(open_request);
    assert!(metrics.text().contains("router_current 0\n"));
}

/// Operators' scrapers depend on the names and the order of the metrics, so the text must begin with that of version 0.2.0 byte for byte.
#[test]
fn metrics_text_is_that_of_version_0_2_0_and_the_count_of_late_answers() {
    let metrics = Rc::new(Metrics::default());
    metrics.register_classes(&["look".into(), "pay".into()]);
    for ending in
        [RequestEnding::Served, RequestEnding::Served, RequestEnding::Rejected, RequestEnding::Failed]
    {
        metrics.record_ending("pay", ending);
    }
    let _open = metrics.open_request();
    metrics.record_written_attempt();
    metrics.listed_endpoints.set(12);
    metrics.avoided_endpoints.set(3);
    for outcome in [ReloadOutcome::Applied, ReloadOutcome::Applied, ReloadOutcome::Rejected] {
        metrics.record_reload(outcome);
    }
    metrics.record_late_answer();
    let text = metrics.text();
    let added = text.strip_prefix(include_str!("../../tests/fixtures/figures.txt"));
    assert_eq!(added, Some("router_late 1\n"), "{text}");
}

/// A request whose task panics is answered with status 500. If such a request were not counted, the metrics would show no failure.
#[test]
fn a_request_whose_task_panics_counts_as_failed_and_one_whose_client_disconnects_not_at_all() {
    let metrics = Rc::new(Metrics::default());
    metrics.register_classes(&["look".into()]);
    let class = weldworks_balancer::RequestClass::new(std::time::Duration::ZERO, std::time::Duration::ZERO);
    let class = Rc::new(RegisteredClass { name: "look".into(), number: 0, class });
    let open_request = || {
        let mut metrics_guard = RequestMetricsGuard::new(metrics.clone(), class.clone());
        metrics_guard.mark_open();
        metrics_guard
    };
    let panics = std::panic::AssertUnwindSafe(|| {
        let _counted = open_request();
        panic!("on purpose");
    });
    assert!(std::panic::catch_unwind(panics).is_err());
    assert!(metrics.text().contains("router_errored{group=\"look\"} 1\n"));
    drop(open_request());
    let text = metrics.text();
    assert!(
        text.contains("router_errored{group=\"look\"} 1\n") && text.contains("router_current 0\n"),
        "{text}"
    );
}
