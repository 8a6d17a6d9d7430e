//! Tests of which requests are admitted.

use crate::common::gateway::TestGateway;
use crate::common::{local_endpoint, settings, IDEMPOTENT_CLASS, NOT_IDEMPOTENT_CLASS};
use std::time::Duration;
use weldworks_balancer::*;

/// The number of requests that are sent, of 200 simultaneous requests.
fn sent_of_200(gateway: &mut TestGateway) -> usize {
    (0..200).filter(|_| gateway.request(IDEMPOTENT_CLASS, None).is_some()).count()
}

/// The number of simultaneous requests that are admitted before one is shed.
fn admitted_at_once(mut gateway: TestGateway) -> usize {
    (0..100).take_while(|_| gateway.request(IDEMPOTENT_CLASS, None).is_some()).count()
}

/// Guards against a collapse of throughput under overload, in which endpoints were busy with requests that no client waited for any more.
#[test]
fn requests_that_cannot_be_served_in_time_are_shed_at_once() {
    let mut gateway = TestGateway::new(settings(), 2);
    for _ in 0..2000 {
        gateway.serve(1, |_| 10);
    }
    let sent = sent_of_200(&mut gateway);
    assert!((3..80).contains(&sent), "{sent} of 200 simultaneous requests were admitted");
    assert!(
        matches!(gateway.actions[0], Action::Reject { retry_after, .. } if retry_after.is_zero()),
        "no Retry-After where clients do not obey it"
    );
}

/// Some endpoints fail while the others are as fast as before. That is no overload, and admission must not tighten.
#[test]
fn admission_does_not_tighten_while_served_requests_are_fast_though_some_end_unserved() {
    let mut gateway = TestGateway::new(settings(), 10);
    for round in 0..2000 {
        gateway.serve(1, |_| 10);
        if round % 10 == 0 && gateway.request(NOT_IDEMPOTENT_CLASS, None).is_some() {
            gateway.end_attempt(gateway.last_request, 0, Duration::from_millis(1), Outcome::Error);
        }
    }
    let sent = sent_of_200(&mut gateway);
    assert!((20..80).contains(&sent), "{sent} of 200 simultaneous requests were admitted");
}

/// Clients that are rejected retry at once and add to the overload, unless they get a `Retry-After`.
#[test]
fn rejection_has_retry_after_where_clients_obey_it() {
    let max_retry_after = Duration::from_secs(2);
    let mut gateway = TestGateway::new(Settings { max_retry_after, ..settings() }, 2);
    sent_of_200(&mut gateway);
    let request = RequestId(gateway.last_request);
    assert_eq!(gateway.actions, [Action::Reject { request, retry_after: max_retry_after }]);
}

/// Guards against admitting every request after a start, which overloaded every endpoint for the rest of the day (issue 6).
#[test]
fn admission_is_bounded_before_the_first_answers() {
    let mut gateway = TestGateway::new(settings(), 12);
    let sent = sent_of_200(&mut gateway);
    assert!(
        (3..8).contains(&sent),
        "{sent} of 200 simultaneous requests were sent to 12 endpoints by one of 4 gateways"
    );
    // No request was answered within its objective, so even fewer requests are admitted.
    gateway.now += Duration::from_millis(250);
    gateway.handle(Event::Timer { token: 999_999 });
    gateway.now += Duration::from_millis(250);
    assert_eq!(gateway.request(IDEMPOTENT_CLASS, None), None);
}

/// One of 45 gateways, whose own few requests show little of the load of the endpoints.
pub fn one_of_many_gateways() -> TestGateway {
    let mut gateway = TestGateway::new(Settings { gateway_count: 45, ..settings() }, 4);
    gateway.serve(40, |_| 20);
    gateway
}

/// One of 45 gateways, after each endpoint has reported this load.
fn with_reported_load(requests_per_second: f64, in_flight: f64) -> TestGateway {
    let mut gateway = one_of_many_gateways();
    for endpoint in (0..4).map(EndpointId) {
        let report = LoadReport { requests_per_second, in_flight };
        gateway.handle(Event::LoadReport { endpoint, report });
    }
    // The clock advances far enough for the next maintenance run.
    gateway.now += Duration::from_millis(100);
    gateway
}

#[test]
fn more_simultaneous_requests_are_admitted_while_endpoints_report_little_load() {
    let mut without_reports = one_of_many_gateways();
    without_reports.now += Duration::from_millis(100);
    let without_reports = admitted_at_once(without_reports);
    assert!(admitted_at_once(with_reported_load(50.0, 1.0)) > without_reports);
    assert_eq!(admitted_at_once(with_reported_load(50.0, 40.0)), without_reports);
}

/// A gateway with four endpoints whose live weights, listed every 500 ms for 10 s, show this many requests in flight on a core.
fn with_listed_load(in_flight_per_core: f64) -> TestGateway {
    let settings = Settings { gateway_count: 3, endpoint_weights: EndpointWeights::Live, ..settings() };
    let mut gateway = TestGateway::new(settings, 4);
    let list = |in_flight_per_core: f64| -> Vec<Endpoint> {
        let weight = 6.0 / (1.0 + in_flight_per_core);
        (0..4).map(|number| Endpoint { weight, ..local_endpoint(number, None) }).collect()
    };
    // Each endpoint is listed idle once, so that its size is known.
    gateway.list_snapshot(&list(0.0));
    for _ in 0..20 {
        gateway.list_delta(&list(in_flight_per_core));
        gateway.serve(25, |_| 20);
    }
    gateway
}

#[test]
fn fewer_simultaneous_requests_are_admitted_where_live_weights_show_high_load() {
    let idle = admitted_at_once(with_listed_load(0.1));
    let loaded = admitted_at_once(with_listed_load(4.0));
    assert!(loaded < idle, "{loaded} requests admitted under high load, {idle} under low load");
    // At least this gateway's fraction of the endpoints is always admitted in flight:
    // a gateway that starts among loaded endpoints must be able to increase its rate.
    assert!(loaded >= 1);
}

#[test]
fn live_weights_of_outdated_lists_are_ignored() {
    let mut without_lists = with_listed_load(4.0);
    let loaded = admitted_at_once(with_listed_load(4.0));
    // No endpoint list arrives for four seconds.
    for _ in 0..200 {
        without_lists.serve(1, |_| 20);
    }
    assert!(admitted_at_once(without_lists) > loaded);
}

#[test]
fn impossible_live_weights_are_ignored() {
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let mut gateway = with_listed_load(0.1);
        let list: Vec<Endpoint> =
            (0..4).map(|number| Endpoint { weight, ..local_endpoint(number, None) }).collect();
        for _ in 0..20 {
            gateway.list_delta(&list);
            gateway.serve(25, |_| 20);
        }
        assert!(
            admitted_at_once(gateway) >= admitted_at_once(with_listed_load(0.1)),
            "fewer requests were admitted with a live weight of {weight}"
        );
    }
}

fn request_with_cost_hint(gateway: &mut TestGateway, cost_hint_ms: u64) {
    gateway.last_request += 1;
    let client_deadline = gateway.now + Duration::from_secs(1);
    let request = Request::new(RequestId(gateway.last_request), IDEMPOTENT_CLASS, client_deadline);
    let cost_hint = Some(Duration::from_millis(cost_hint_ms));
    gateway.handle(Event::Request(Request { cost_hint, ..request }));
}

/// Whether a request with this cost hint is sent at this listed load, where latencies equal the cost hints.
fn is_hinted_request_sent(in_flight_per_core: f64, cost_hint_ms: u64) -> bool {
    let mut gateway = with_listed_load(in_flight_per_core);
    for _ in 0..100 {
        request_with_cost_hint(&mut gateway, 20);
        assert!(gateway.sent_endpoint().is_some());
        gateway.end_last_after(Duration::from_millis(20), Outcome::Served);
    }
    request_with_cost_hint(&mut gateway, cost_hint_ms);
    gateway.sent_endpoint().is_some()
}

#[test]
fn request_that_by_its_cost_hint_would_miss_its_deadline_is_shed_under_load() {
    assert!(is_hinted_request_sent(4.0, 150), "the hint is half of the objective of 300 ms");
    assert!(!is_hinted_request_sent(4.0, 900), "the hint is three times the objective");
    assert!(is_hinted_request_sent(0.1, 900), "the endpoints have no load");
}
