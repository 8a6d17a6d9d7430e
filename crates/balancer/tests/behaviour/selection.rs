//! Tests of which endpoint an attempt goes to.

use crate::common::gateway::TestGateway;
use crate::common::{endpoint, local_endpoint, settings, IDEMPOTENT_CLASS, NOT_IDEMPOTENT_CLASS};
use std::collections::BTreeSet;
use std::time::Duration;
use weldworks_balancer::*;

#[test]
fn endpoint_with_lowest_in_flight_times_latency_is_selected() {
    let mut gateway = TestGateway::new(Settings { gateway_count: 1, ..settings() }, 2);
    gateway.serve(40, |endpoint| if endpoint == 0 { 10 } else { 25 });
    // Latencies are near 10 and 25 ms. Two requests go to endpoint 0 (scores 10 and 20 against 25).
    // The third goes to endpoint 1 (score 25 against 30).
    let selected: Vec<_> = (0..3).map(|_| gateway.request(IDEMPOTENT_CLASS, None).unwrap()).collect();
    assert_eq!(selected, [0, 0, 1]);
}

#[test]
fn endpoint_that_fails_fast_does_not_attract_requests() {
    let mut gateway = TestGateway::new(Settings { hedging_allowed: false, ..settings() }, 6);
    gateway.serve(60, |_| 20);
    let mut sent_to_failing = 0;
    for _ in 0..200 {
        let endpoint = gateway.request(IDEMPOTENT_CLASS, None).expect("the request is sent to an endpoint");
        if endpoint != 0 {
            gateway.end_last_after(Duration::from_millis(20), Outcome::Served);
            continue;
        }
        sent_to_failing += 1;
        gateway.end_last_after(Duration::from_millis(1), Outcome::Error);
        assert!(
            matches!(gateway.sent_endpoint(), Some(other) if other != 0),
            "the request is retried at another endpoint"
        );
        gateway.now += Duration::from_millis(20);
        gateway.end_attempt(gateway.last_request, 1, Duration::from_millis(20), Outcome::Served);
    }
    assert!(sent_to_failing < 12, "{sent_to_failing} of 200 went to the failing endpoint");
}

/// A hung endpoint gives no latency sample until a timeout. If only samples counted, the endpoint would look idle and attract all requests.
#[test]
fn endpoint_that_does_not_answer_gets_no_further_requests() {
    let mut gateway = TestGateway::new(settings(), 4);
    gateway.serve(60, |_| 20);
    let silent = gateway.request(NOT_IDEMPOTENT_CLASS, None).unwrap();
    gateway.now += Duration::from_millis(150);
    let requests = gateway.serve(30, |_| 20);
    assert_eq!(requests[silent as usize], 0);
}

#[test]
fn key_is_sent_to_its_preferred_endpoints_by_every_gateway_unless_they_fail() {
    let affinity = Settings { key_cache_affinity: true, hedging_allowed: false, ..settings() };
    let mut first = TestGateway::new(affinity.clone(), 12);
    let mut second = TestGateway::with_seed(affinity, 12, 99);
    let mut preferred = BTreeSet::new();
    for gateway in [&mut first, &mut second] {
        gateway.serve(30, |_| 20);
        for _ in 0..10 {
            preferred.insert(gateway.request(IDEMPOTENT_CLASS, Some(1234)).unwrap());
            gateway.end_last_after(Duration::from_millis(20), Outcome::Served);
        }
    }
    assert!(preferred.len() <= 2, "a key has at most two preferred endpoints: {preferred:?}");
    for _ in 0..4 {
        let endpoint = first.request(NOT_IDEMPOTENT_CLASS, Some(1234)).unwrap();
        first.end_last_after(Duration::from_millis(1), Outcome::Error);
        if !preferred.contains(&endpoint) {
            return;
        }
    }
    panic!("requests of the key went only to preferred endpoints that fail");
}

/// Before any latency sample all endpoints have the same expected latency.
/// If sizes did not count, small endpoints would get as many requests as large ones after a start.
#[test]
fn attempts_before_any_sample_follow_endpoint_sizes_where_weights_are_sizes() {
    for (endpoint_weights, expected) in [(EndpointWeights::Size, 7..9), (EndpointWeights::Off, 2..7)] {
        let mut gateway = TestGateway::new(Settings { endpoint_weights, gateway_count: 1, ..settings() }, 0);
        let sized = |number| {
            let weight = if number < 4 { 3.0 } else { 1.0 };
            Endpoint { weight, ..local_endpoint(number, None) }
        };
        let list: Vec<Endpoint> = (0..8).map(sized).collect();
        gateway.list_snapshot(&list);
        let large = (0..8)
            .filter(|_| gateway.request(IDEMPOTENT_CLASS, None).is_some_and(|endpoint| endpoint < 4))
            .count();
        assert!(
            expected.contains(&large),
            "{endpoint_weights:?}: {large} of 8 requests went to the large endpoints"
        );
    }
}

/// In a large fleet a gateway rarely has samples of one endpoint, so samples of other endpoints of the same machine kind must count for it.
#[test]
fn endpoint_without_samples_has_the_expected_latency_of_its_kind() {
    let settings = Settings { hedging_allowed: false, gateway_count: 1, ..settings() };
    let mut gateway = TestGateway::new(settings, 0);
    let of_kind = |number| Endpoint { kind: number % 2, ..local_endpoint(number, None) };
    let first_two: Vec<Endpoint> = (0..2).map(of_kind).collect();
    let all: Vec<Endpoint> = (0..12).map(of_kind).collect();
    gateway.list_snapshot(&first_two);
    gateway.request(IDEMPOTENT_CLASS, None);
    gateway.request(IDEMPOTENT_CLASS, None);
    gateway.now += Duration::from_millis(10);
    for request in [1, 2] {
        gateway.end_attempt(request, 0, Duration::from_millis(10), Outcome::Served);
    }
    gateway.serve(40, |endpoint| if endpoint % 2 == 0 { 60 } else { 10 });
    gateway.list_snapshot(&all);
    let to_fast_kind = (0..5)
        .filter(|_| gateway.request(IDEMPOTENT_CLASS, None).is_some_and(|endpoint| endpoint % 2 == 1))
        .count();
    assert_eq!(to_fast_kind, 5, "all requests go to new endpoints of the fast kind");
}

/// Numbers of removed endpoints are reused.
/// A new endpoint must not be avoided or overloaded because of samples of the previous endpoint with its number.
#[test]
fn reused_endpoint_number_starts_without_history() {
    let mut gateway = TestGateway::new(settings(), 2);
    let requests = gateway.serve(200, |endpoint| if endpoint == 0 { 200 } else { 20 });
    assert!(requests[0] < 40, "the slow endpoint 0 is avoided: {requests:?}");
    gateway.list_delta(&[Endpoint { state: EndpointState::Removed, ..endpoint(0, None) }]);
    let other = Endpoint { zone: 0, ..Endpoint::new(EndpointId(0), "another") };
    gateway.list_delta(&[other]);
    let mut requests = [0; 2];
    for _ in 0..8 {
        if let Some(endpoint) = gateway.request(IDEMPOTENT_CLASS, None) {
            requests[endpoint as usize] += 1;
        }
    }
    assert_eq!(requests, [4, 4]);
}

/// An endpoint may fail only one request class, for instance where one of its dependencies is down.
/// It must get fewer requests of that class and keep getting those of other classes.
#[test]
fn endpoint_that_fails_one_class_still_gets_the_others() {
    let settings = Settings { hedging_allowed: false, gateway_count: 1, ..settings() };
    let mut gateway = TestGateway::new(settings, 6);
    let latency = Duration::from_millis(20);
    // Sends to endpoint 0 in the second half of the rounds, counted for the class that it fails and for the other class.
    let mut failing_class_sends = 0;
    let mut other_class_sends = 0;
    for round in 0..100 {
        let classes = [4, 0, 0, 4, 0, 0];
        let sent = classes.map(|class| {
            let endpoint = gateway.request(class, None).expect("the request is sent to an endpoint");
            (class, endpoint, gateway.last_request)
        });
        gateway.now += latency;
        for (class, endpoint, request) in sent {
            let fails = endpoint == 0 && class == NOT_IDEMPOTENT_CLASS;
            let outcome = if fails { Outcome::Error } else { Outcome::Served };
            gateway.end_attempt(request, 0, latency, outcome);
            if round < 50 || endpoint != 0 {
                continue;
            }
            if class == NOT_IDEMPOTENT_CLASS {
                failing_class_sends += 1;
            } else {
                other_class_sends += 1;
            }
        }
    }
    assert!(
        failing_class_sends <= 10 && other_class_sends >= 30,
        "{failing_class_sends} of 100 and {other_class_sends} of 200 requests went to the endpoint that fails one class"
    );
}

/// Crossing zones costs more than using a somewhat slower endpoint in the gateway's own zone.
/// But a zone whose requests end unserved must not keep them all.
#[test]
fn requests_stay_in_their_zone_until_requests_end_unserved() {
    let settings = Settings { hedging_allowed: false, cross_zone_cost: 0.05, gateway_count: 1, ..settings() };
    let mut gateway = TestGateway::new(settings, 0);
    let list: Vec<Endpoint> = (0..8).map(|number| endpoint(number, None)).collect();
    let other_zone: Vec<Endpoint> = list.iter().filter(|endpoint| endpoint.zone == 1).cloned().collect();
    gateway.list_snapshot(&other_zone);
    gateway.serve(100, |_| 20);
    gateway.list_snapshot(&list);
    let latency_ms = |endpoint: u32| if endpoint.is_multiple_of(2) { 40 } else { 20 };
    gateway.serve(100, latency_ms);
    let requests = gateway.serve(50, latency_ms);
    assert_eq!(
        requests.iter().skip(1).step_by(2).sum::<u32>(),
        0,
        "endpoints in the own zone are preferred though they are twice as slow"
    );
    // These requests end unserved without a latency sample of any endpoint, so the latency estimates stay.
    for _ in 0..60 {
        gateway.request(IDEMPOTENT_CLASS, None);
        let mut attempt = 0;
        while gateway.sent_endpoint().is_some() {
            gateway.now += Duration::from_millis(10);
            let request = gateway.last_request;
            gateway.end_attempt(request, attempt, Duration::from_millis(10), Outcome::NotSent);
            attempt += 1;
        }
    }
    let crossed = (0..4)
        .filter(|_| gateway.request(IDEMPOTENT_CLASS, None).is_some_and(|endpoint| endpoint % 2 == 1))
        .count();
    assert!(crossed >= 2, "{crossed} of 4 requests went to the other zone");
}

/// The number of requests that need a new connection, of 60 requests sent every 100 ms to 12 equally fast endpoints,
/// where gateways close connections that have been idle for a second.
fn new_connections(handshake_cost: f64) -> usize {
    let keep_alive = Duration::from_secs(2);
    let mut gateway = TestGateway::new(Settings { handshake_cost, keep_alive, ..settings() }, 12);
    let mut last_used: [Option<Duration>; 12] = [None; 12];
    let mut new_connections = 0;
    for _ in 0..60 {
        gateway.now += Duration::from_millis(80);
        let endpoint =
            gateway.request(IDEMPOTENT_CLASS, None).expect("the request is sent to an endpoint") as usize;
        let is_open = last_used[endpoint].is_some_and(|used| gateway.now - used < Duration::from_secs(1));
        gateway.end_last_after(Duration::from_millis(20), Outcome::Served);
        last_used[endpoint] = Some(gateway.now);
        if !is_open {
            new_connections += 1;
        }
    }
    new_connections
}

#[test]
fn endpoints_with_idle_connections_are_preferred_where_handshakes_have_a_cost() {
    let without_cost = new_connections(0.0);
    let with_cost = new_connections(0.1);
    assert!(without_cost >= 20, "{without_cost} of 60 connections were new without a handshake cost");
    assert!(with_cost <= 4, "{with_cost} of 60 connections were new with a handshake cost");
}

#[test]
fn new_connection_to_a_fast_endpoint_is_preferred_to_an_idle_one_to_a_slow_endpoint() {
    let settings = Settings { handshake_cost: 0.1, gateway_count: 1, ..settings() };
    let mut gateway = TestGateway::new(settings.clone(), 2);
    gateway.serve(40, |_| 20);
    let requests = gateway.serve(40, |endpoint| if endpoint == 0 { 200 } else { 20 });
    assert!(requests[1] >= 35, "{requests:?}");
    // The only idle connection is to the endpoint that is slow from now on.
    let mut gateway = TestGateway::new(settings, 2);
    let first = gateway.request(IDEMPOTENT_CLASS, None).expect("the request is sent to an endpoint");
    gateway.end_last_after(Duration::from_millis(20), Outcome::Served);
    let requests = gateway.serve(60, |endpoint| if endpoint == first { 200 } else { 20 });
    assert!(requests[1 - first as usize] >= 40, "{requests:?}");
}
