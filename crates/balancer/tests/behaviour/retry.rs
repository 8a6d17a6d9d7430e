//! Tests of retries and hedged requests.

use crate::common::gateway::TestGateway;
use crate::common::{settings, IDEMPOTENT_CLASS, NOT_IDEMPOTENT_CLASS};
use std::time::Duration;
use weldworks_balancer::*;

#[test]
fn slow_attempt_is_hedged_where_the_class_allows_and_cancelled_once_the_hedge_is_served() {
    let mut gateway = TestGateway::new(settings(), 4);
    gateway.serve(40, |_| 20);
    let first = gateway.request(IDEMPOTENT_CLASS, None).unwrap();
    let request = gateway.last_request;
    gateway.now += gateway.timer().expect("the request sets a timer for its hedge");
    gateway.handle(Event::Timer { token: request });
    let second = gateway.sent_endpoint().expect("the timer sends a hedge");
    assert_ne!(first, second);
    gateway.now += Duration::from_millis(20);
    gateway.end_attempt(request, 1, Duration::from_millis(20), Outcome::Served);
    assert_eq!(gateway.actions, [Action::Cancel { request: RequestId(request), attempt: 0 }]);
    gateway.request(NOT_IDEMPOTENT_CLASS, None);
    assert!(gateway.timer().is_none(), "a request that must not be processed twice is not hedged");
}

/// Under overload no request is answered in time, and hedges would add to the load.
/// Hedges must stay a small fraction of the requests, without a budget accumulated from before.
#[test]
fn hedges_are_a_small_fraction_of_first_attempts() {
    let mut gateway = TestGateway::new(settings(), 10);
    gateway.serve(100, |_| 20);
    let mut hedges = 0;
    for _ in 0..30 {
        gateway.request(IDEMPOTENT_CLASS, None);
        gateway.now += Duration::from_millis(60);
        for request in 101..=gateway.last_request {
            gateway.handle(Event::Timer { token: request });
            if gateway.sent_endpoint().is_some() {
                hedges += 1;
            }
        }
    }
    assert!((1..=4).contains(&hedges), "{hedges} hedges for 30 first attempts");
}

/// Where endpoints or the network reset connections, requests must not be rejected for lack of a retry budget.
/// Where every attempt fails, retries must be limited.
#[test]
fn a_fifth_of_first_attempts_may_be_followed_by_a_retry() {
    let mut gateway = TestGateway::new(settings(), 10);
    gateway.serve(100, |_| 20);
    let mut retries = 0;
    for _ in 0..30 {
        gateway.request(IDEMPOTENT_CLASS, None);
        let request = gateway.last_request;
        gateway.end_attempt(request, 0, Duration::from_millis(1), Outcome::Reset);
        if gateway.sent_endpoint().is_some() {
            retries += 1;
            gateway.end_attempt(request, 1, Duration::from_millis(20), Outcome::Served);
        }
    }
    assert!((6..=12).contains(&retries), "{retries} retries for 30 first attempts");
}
