//! What cold endpoints get, and which endpoints are taken for cold.

use crate::admission::one_of_many_gateways;
use crate::common::gateway::TestGateway;
use crate::common::{local_endpoint, settings, IDEMPOTENT_CLASS};
use std::time::Duration;
use weldworks_balancer::*;

/// The endpoints that requests at once are sent to.
fn sent_endpoints(gateway: &mut TestGateway, requests: u32) -> Vec<u32> {
    (0..requests).filter_map(|_| gateway.request(IDEMPOTENT_CLASS, None)).collect()
}

#[test]
fn endpoint_whose_reported_rate_drops_to_nothing_is_treated_as_cold() {
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

/// The number of requests that a cold endpoint gets of this many, beside four warm ones that take 20 ms.
fn requests_of_cold_endpoint(requests: u32, latency_ms: u64) -> u32 {
    let mut gateway = TestGateway::new(Settings { gateway_count: 100, ..settings() }, 4);
    gateway.serve(200, |_| 20);
    let started = Some(gateway.now);
    gateway.list_delta(&[local_endpoint(4, started)]);
    gateway.serve(requests, |endpoint| if endpoint == 4 { latency_ms } else { 20 })[4]
}

#[test]
fn cold_endpoint_without_samples_gets_what_its_tokens_allow() {
    // 2 s and more, in which each warm endpoint would serve 25; an answer as slow as this gives no token back.
    let requests = requests_of_cold_endpoint(100, 62);
    // The overload factor times its warm-up fraction, which is 0.15 to 0.25.
    let allowed = 2.0 * 0.25 * 25.0;
    assert!(requests >= 1 && f64::from(requests) <= allowed + 2.0, "{requests}");
}

#[test]
fn cold_endpoint_gets_more_if_it_answers_fast_and_not_if_it_queues() {
    let fast = requests_of_cold_endpoint(150, 18);
    let queueing = requests_of_cold_endpoint(150, 90);
    assert!(fast >= 20 && queueing <= 12, "{fast} where it answers at once, {queueing} where it queues");
}

/// An idle connection that an endpoint closes.
struct IdleClose {
    endpoint: u32,
    idle_ms: u64,
    remaining: usize,
}

fn close(endpoint: u32, idle_ms: u64, remaining: usize) -> IdleClose {
    IdleClose { endpoint, idle_ms, remaining }
}

/// The endpoints that requests at once are sent to after these closes.
fn sent_after(closes: &[IdleClose]) -> Vec<u32> {
    let mut gateway = one_of_many_gateways();
    for closed in closes {
        gateway.close_idle_connection(closed.endpoint, closed.idle_ms, closed.remaining);
    }
    gateway.now += Duration::from_millis(40);
    sent_endpoints(&mut gateway, 8)
}

/// A process that restarts closes its idle connections long before discovery reports it, and is cold when it is back.
#[test]
fn endpoint_that_closes_its_last_idle_connection_is_treated_as_cold() {
    let reaches_all = |sent: &[u32]| (0..4).all(|endpoint| sent.contains(&endpoint));
    assert!(reaches_all(&sent_after(&[])), "each is sent to");
    let sent = sent_after(&[close(1, 700, 0)]);
    assert!(!sent.is_empty() && !sent.contains(&1), "{sent:?}");
    assert!(reaches_all(&sent_after(&[close(1, 700, 1)])), "another connection remains: the process runs");
    let sent = sent_after(&[close(1, 700, 1), close(1, 705, 0)]);
    assert!(!sent.contains(&1), "two that closed together: {sent:?}");
    let sent = sent_after(&[close(1, 700, 0), close(2, 720, 0)]);
    assert!(!sent.contains(&1) && sent.contains(&2), "idle for as long as the one before: {sent:?}");
    let mut gateway = one_of_many_gateways();
    gateway.close_idle_connection(1, 700, 0);
    gateway.serve(400, |_| 20);
    let sent = sent_endpoints(&mut gateway, 8);
    assert!(sent.contains(&1), "it has answered as fast as ever: {sent:?}");
    let sent = sent_after(&[close(0, 700, 0), close(1, 2000, 0), close(2, 150, 0), close(3, 4000, 0)]);
    assert!(sent.contains(&2) && sent.contains(&3), "no more than half at once: {sent:?}");
}

#[test]
fn endpoint_that_closes_right_after_answers_or_has_an_attempt_in_flight_is_not_suspected() {
    assert!(sent_after(&[close(1, 3, 0)]).contains(&1), "idle for a moment only");
    let mut gateway = one_of_many_gateways();
    while gateway.request(IDEMPOTENT_CLASS, None) != Some(1) {}
    gateway.close_idle_connection(1, 700, 0);
    gateway.end_last_after(Duration::from_millis(40), Outcome::Served);
    let sent = sent_endpoints(&mut gateway, 8);
    assert!(sent.contains(&1), "a restart would have ended the attempt too: {sent:?}");
}

/// Whether a suspected endpoint that was slow before, and whose next answer takes this long, is sent two more requests at once.
fn is_cleared_by_answer_of(latency_ms: u64) -> bool {
    let mut gateway = TestGateway::new(Settings { gateway_count: 1, ..settings() }, 4);
    gateway.serve(400, |endpoint| if endpoint == 1 { 90 } else { 20 });
    gateway.close_idle_connection(1, 700, 0);
    for _ in 0..8 {
        gateway.now += Duration::from_millis(100);
        // A timer of no request: time passes.
        gateway.handle(Event::Timer { token: u64::MAX });
    }
    let is_sent_one =
        |gateway: &mut TestGateway| (0..40).any(|_| gateway.request(IDEMPOTENT_CLASS, None) == Some(1));
    assert!(is_sent_one(&mut gateway), "a cold one's budget allows one");
    gateway.end_last_after(Duration::from_millis(latency_ms), Outcome::Served);
    is_sent_one(&mut gateway) && is_sent_one(&mut gateway)
}

#[test]
fn suspected_endpoint_is_cleared_by_an_answer_as_fast_as_its_kind() {
    assert!(is_cleared_by_answer_of(15));
    assert!(!is_cleared_by_answer_of(70), "fast for what it was before, slow for its kind: it may be cold");
}

#[test]
fn endpoints_that_are_never_cold_are_sent_to() {
    let mut gateway = TestGateway::new(Settings { slow_start_min_capacity: 1.0, ..settings() }, 4);
    assert!(gateway.request(IDEMPOTENT_CLASS, None).is_some());
}

/// After a power cut endpoints and gateways start together: nothing has been served, and every endpoint is cold.
#[test]
fn new_gateway_serves_where_every_endpoint_is_cold() {
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
        assert!(served >= 10, "{served} of 100 with {gateway_count} gateways");
    }
}
