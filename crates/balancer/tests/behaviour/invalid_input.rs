//! Tests of invalid events and settings.

use crate::common::endpoint;
use crate::common::gateway::TestGateway;
use std::time::Duration;
use weldworks_balancer::*;

#[test]
fn events_about_unknown_requests_and_endpoints_are_ignored_and_unknown_classes_rejected() {
    let mut gateway = TestGateway::new(Settings::default(), 0);
    assert_eq!(gateway.request(0, None), None);
    assert!(
        matches!(gateway.actions[..], [Action::Reject { .. }]),
        "a request of an unknown class is rejected"
    );
    gateway.end_attempt(77, 3, Duration::ZERO, Outcome::Served);
    gateway.handle(Event::Timer { token: 12345 });
    gateway.handle(Event::ClientDisconnected { request: RequestId(9) });
    let endpoint = EndpointId(70);
    gateway.handle(Event::ProbeEnded { endpoint, outcome: Outcome::Served, latency: Duration::ZERO });
    gateway.list_delta(&[Endpoint::new(EndpointId(u32::MAX), "beyond the limit")]);
    assert!(gateway.actions.is_empty());
}

#[test]
fn settings_of_zeros_cause_no_panic_and_requests_are_answered() {
    let class = RequestClass { priority_weight: 0.0, ..RequestClass::new(Duration::ZERO, Duration::ZERO) };
    let zeros = Settings {
        gateway_count: 0,
        slow_start_min_capacity: 0.0,
        slow_start_duration: Duration::ZERO,
        max_attempts: 0,
        classes: vec![class],
        ..Settings::default()
    };
    let mut gateway = TestGateway::new(zeros, 3);
    gateway.list_snapshot(&[endpoint(1, Some(Duration::from_secs(5)))]);
    // All requests arrive at the same time: the clock does not advance.
    for _ in 0..20 {
        gateway.request(0, None);
        let is_answer = |action: &Action| matches!(action, Action::Reject { .. } | Action::Send { .. });
        assert!(gateway.actions.iter().any(is_answer));
    }
}
