//! Tests of how many attempts cold endpoints get, and of which endpoints are treated as cold.

use crate::admission::one_of_many_gateways;
use crate::common::gateway::TestGateway;
use crate::common::{local_endpoint, settings, IDEMPOTENT_CLASS};
use std::time::Duration;
use weldworks_balancer::*;

/// The endpoints that simultaneous requests are sent to.
fn sent_endpoints(gateway: &mut TestGateway, requests: u32) -> Vec<u32> {
    (0..requests).filter_map(|_| gateway.request(IDEMPOTENT_CLASS, None)).collect()
}

#[test]
fn endpoint_whose_reported_rate_drops_to_zero_is_treated_as_cold() {
    let mut gateway = one_of_many_gateways();
    let report = |requests_per_second| Event::LoadReport {
        endpoint: EndpointId(1),
        report: LoadReport { requests_per_second, in_flight: 2.0 },
    };
    gateway.handle(report(30.0));
    gateway.now += Duration::from_millis(700);
    gateway.handle(report(0.0));
    gateway.now += Duration::from_millis(40);
    let sent = sent_endpoints(&mut gateway, 4);
    assert!(!sent.is_empty() && !sent.contains(&1), "{sent:?}");
}

/// The number of requests, of `requests` in total, that a cold endpoint gets beside four warm endpoints with a latency of 20 ms.
fn requests_of_cold_endpoint(requests: u32, latency_ms: u64) -> u32 {
    let mut gateway = TestGateway::new(Settings { gateway_count: 100, ..settings() }, 4);
    gateway.serve(200, |_| 20);
    let started = Some(gateway.now);
    gateway.list_delta(&[local_endpoint(4, started)]);
    gateway.serve(requests, |endpoint| if endpoint == 4 { latency_ms } else { 20 })[4]
}

#[test]
fn cold_endpoint_without_samples_gets_no_more_attempts_than_its_tokens_allow() {
    // In the 2 s or more that the requests take, each warm endpoint would serve 25; an answer as slow as this refunds no token.
    let requests = requests_of_cold_endpoint(100, 62);
    // The allowed requests are the overload factor times the warm-up fraction, which is 0.15 to 0.25, times those of a warm endpoint.
    let allowed = 2.0 * 0.25 * 25.0;
    assert!(
        requests >= 1 && f64::from(requests) <= allowed + 2.0,
        "the cold endpoint got {requests} requests"
    );
}

#[test]
fn cold_endpoint_gets_more_attempts_if_it_answers_fast_and_not_if_it_has_a_queue() {
    let fast = requests_of_cold_endpoint(150, 18);
    let queueing = requests_of_cold_endpoint(150, 90);
    assert!(fast >= 20 && queueing <= 12, "{fast} requests with fast answers, {queueing} with a queue");
}

/// An idle connection that an endpoint closes, and how many idle connections to the endpoint remain.
struct IdleClose {
    endpoint: u32,
    idle_ms: u64,
    remaining: usize,
}

fn close(endpoint: u32, idle_ms: u64, remaining: usize) -> IdleClose {
    IdleClose { endpoint, idle_ms, remaining }
}

/// The endpoints that simultaneous requests are sent to after these closes of idle connections.
fn sent_after(closes: &[IdleClose]) -> Vec<u32> {
    let mut gateway = one_of_many_gateways();
    for closed in closes {
        gateway.close_idle_connection(closed.endpoint, closed.idle_ms, closed.remaining);
    }
    gateway.now += Duration::from_millis(40);
    sent_endpoints(&mut gateway, 8)
}

/// A process that restarts closes its idle connections long before discovery reports the restart, and is cold when it is back.
#[test]
fn endpoint_that_closes_its_last_idle_connection_is_treated_as_cold() {
    let reaches_all = |sent: &[u32]| (0..4).all(|endpoint| sent.contains(&endpoint));
    assert!(reaches_all(&sent_after(&[])), "without a close every endpoint gets requests");
    let sent = sent_after(&[close(1, 700, 0)]);
    assert!(!sent.is_empty() && !sent.contains(&1), "{sent:?}");
    assert!(
        reaches_all(&sent_after(&[close(1, 700, 1)])),
        "another connection remains, so the process is still running"
    );
    let sent = sent_after(&[close(1, 700, 1), close(1, 705, 0)]);
    assert!(!sent.contains(&1), "two connections closed together: {sent:?}");
    let sent = sent_after(&[close(1, 700, 0), close(2, 720, 0)]);
    assert!(!sent.contains(&1) && sent.contains(&2), "endpoint 2 closed after the usual idle time: {sent:?}");
    let mut gateway = one_of_many_gateways();
    gateway.close_idle_connection(1, 700, 0);
    gateway.serve(400, |_| 20);
    let sent = sent_endpoints(&mut gateway, 8);
    assert!(sent.contains(&1), "endpoint 1 has answered as fast as before: {sent:?}");
    let sent = sent_after(&[close(0, 700, 0), close(1, 2000, 0), close(2, 150, 0), close(3, 4000, 0)]);
    assert!(
        sent.contains(&2) && sent.contains(&3),
        "at most half of the endpoints are suspected at once: {sent:?}"
    );
}

#[test]
fn endpoint_that_closes_right_after_answers_or_has_an_attempt_in_flight_is_not_suspected() {
    assert!(sent_after(&[close(1, 3, 0)]).contains(&1), "the connection was idle for 3 ms only");
    let mut gateway = one_of_many_gateways();
    while gateway.request(IDEMPOTENT_CLASS, None) != Some(1) {}
    gateway.close_idle_connection(1, 700, 0);
    gateway.end_last_after(Duration::from_millis(40), Outcome::Served);
    let sent = sent_endpoints(&mut gateway, 8);
    assert!(sent.contains(&1), "a restart would have ended the attempt in flight: {sent:?}");
}

/// Whether an endpoint that was slow before and is suspected of a restart is sent two more
/// requests at once after an answer with this latency.
fn is_cleared_by_answer_of(latency_ms: u64) -> bool {
    let mut gateway = TestGateway::new(Settings { gateway_count: 1, ..settings() }, 4);
    gateway.serve(400, |endpoint| if endpoint == 1 { 90 } else { 20 });
    gateway.close_idle_connection(1, 700, 0);
    for _ in 0..8 {
        gateway.now += Duration::from_millis(100);
        // The timer belongs to no request: its event only lets time pass.
        gateway.handle(Event::Timer { token: u64::MAX });
    }
    let is_sent_one =
        |gateway: &mut TestGateway| (0..40).any(|_| gateway.request(IDEMPOTENT_CLASS, None) == Some(1));
    assert!(is_sent_one(&mut gateway), "the token budget of a cold endpoint allows one attempt");
    gateway.end_last_after(Duration::from_millis(latency_ms), Outcome::Served);
    is_sent_one(&mut gateway) && is_sent_one(&mut gateway)
}

#[test]
fn suspected_endpoint_is_cleared_by_an_answer_as_fast_as_its_kind() {
    assert!(is_cleared_by_answer_of(15));
    assert!(
        !is_cleared_by_answer_of(70),
        "the answer is fast for this endpoint but slow for its kind, so the endpoint may be cold"
    );
}

#[test]
fn endpoints_get_attempts_at_once_where_starting_capacity_is_full() {
    let mut gateway = TestGateway::new(Settings { slow_start_min_capacity: 1.0, ..settings() }, 4);
    assert!(gateway.request(IDEMPOTENT_CLASS, None).is_some());
}

/// After a power cut endpoints and gateways start together: no request has been served yet, and every endpoint is cold.
#[test]
fn new_gateway_serves_requests_where_every_endpoint_is_cold() {
    for gateway_count in [1, 12, 100] {
        let mut gateway = TestGateway::new(Settings { gateway_count, ..settings() }, 0);
        let started = Some(gateway.now);
        let list: Vec<Endpoint> = (0..12).map(|number| local_endpoint(number, started)).collect();
        gateway.list_snapshot(&list);
        let mut served = 0;
        for _ in 0..100 {
            gateway.now += Duration::from_millis(50);
            if gateway.request(IDEMPOTENT_CLASS, None).is_some() {
                served += 1;
                gateway.end_last_after(Duration::from_millis(60), Outcome::Served);
            }
        }
        assert!(served >= 10, "{served} of 100 requests served with {gateway_count} gateways");
    }
}
