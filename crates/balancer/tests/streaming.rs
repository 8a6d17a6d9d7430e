//! Tests of streamed bodies, of responses that are forwarded while they are received, and of settings that change while requests are open.

mod common;

use common::gateway::TestGateway;
use common::{endpoint, local_endpoint, settings, IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use weldworks_balancer::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Time until a client deadline that is too far away to matter.
const FAR: Duration = Duration::from_secs(1000);

impl TestGateway {
    /// Sends a request with this number whose body is complete, and returns the endpoint that it was sent to, if any.
    fn request_numbered(&mut self, id: u64, class: usize) -> Option<u32> {
        self.handle(Event::Request(Request::new(RequestId(id), class, self.now + MS(1200))));
        self.sent_endpoint()
    }

    /// Sends a request with this number and a streamed body, and returns the endpoint that it was sent to, if any.
    fn request_streamed(&mut self, id: u64, class: usize) -> Option<u32> {
        let request = Request::new(RequestId(id), class, self.now + FAR);
        self.handle(Event::Request(Request { body_streaming: true, ..request }));
        self.sent_endpoint()
    }

    /// The first rejection or failure among the actions of the last event.
    fn negative_answer(&self) -> Option<&Action> {
        self.actions.iter().find(|action| matches!(action, Action::Reject { .. } | Action::Fail { .. }))
    }

    fn avoided(&self) -> usize {
        self.balancer.avoided_endpoint_count(self.now)
    }
}

/// Guards against counting the time in which a streamed body arrives as latency: its endpoint looked slow and got no requests.
#[test]
fn streamed_body_has_no_deadline_and_does_not_make_its_endpoint_look_slow() {
    let mut gateway = TestGateway::new(settings(), 2);
    gateway.serve(19, |_| 20);
    let streaming_endpoint =
        gateway.request_streamed(100, NOT_IDEMPOTENT_CLASS).expect("the request is sent to an endpoint");
    // The body arrives for ten seconds, in which its endpoint must get as many requests as the other endpoint.
    let mut requests = [0; 2];
    for id in 200..300 {
        gateway.now += MS(80);
        let endpoint =
            gateway.request_numbered(id, IDEMPOTENT_CLASS).expect("the request is sent to an endpoint");
        requests[endpoint as usize] += 1;
        gateway.now += MS(20);
        gateway.end_attempt(id, 0, MS(20), Outcome::Served);
    }
    assert!(
        requests.iter().all(|count| *count > 20),
        "requests by endpoint: {requests:?}; endpoint {streaming_endpoint} receives the body"
    );
    assert!(gateway.negative_answer().is_none());
    let request = RequestId(100);
    gateway.handle(Event::BodyForwardingStarted { request });
    let client_deadline = gateway.now + MS(1200);
    gateway.handle(Event::BodyForwarded { request, client_deadline });
    let deadline = gateway.actions.iter().find_map(|action| match action {
        Action::SetAttemptDeadline { deadline, .. } => Some(*deadline),
        _ => None,
    });
    let remaining = deadline.expect("the complete body sets the deadline of its attempt") - gateway.now;
    assert!(remaining > MS(250) && remaining <= MS(300), "{remaining:?} remain of an objective of 300 ms");
    gateway.handle(Event::BodyForwarded { request, client_deadline: gateway.now + FAR });
    assert!(gateway.actions.is_empty(), "the deadline is set only once");
}

/// Sends a request with a streamed body, begins to forward the body if `forwarding_started`, and ends the attempt with the outcome.
fn end_streamed_attempt(class: usize, outcome: Outcome, forwarding_started: bool) -> TestGateway {
    let mut gateway = TestGateway::new(settings(), 5);
    gateway.serve(39, |_| 20);
    gateway.request_streamed(100, class).expect("the request is sent to an endpoint");
    if forwarding_started {
        gateway.handle(Event::BodyForwardingStarted { request: RequestId(100) });
    }
    gateway.end_attempt(100, 0, MS(30), outcome);
    gateway
}

/// Guards against a retry after a part of a streamed body was forwarded:
/// the body is not buffered, so another endpoint would get an incomplete request.
#[test]
fn streamed_request_is_retried_only_before_its_body_is_forwarded() {
    let gateway = end_streamed_attempt(IDEMPOTENT_CLASS, Outcome::NoConnection, false);
    assert!(gateway.sent_endpoint().is_some(), "{:?}", gateway.actions);
    let rejected = [
        (IDEMPOTENT_CLASS, Outcome::NoConnection),
        (IDEMPOTENT_CLASS, Outcome::Reset),
        (NOT_IDEMPOTENT_CLASS, Outcome::NoConnection),
    ];
    for (class, outcome) in rejected {
        let gateway = end_streamed_attempt(class, outcome, true);
        let answer = gateway.negative_answer();
        assert!(matches!(answer, Some(Action::Reject { .. })), "{:?}", gateway.actions);
    }
    // The request was possibly processed, so the client must not get an answer that makes a retry look safe.
    let gateway = end_streamed_attempt(NOT_IDEMPOTENT_CLASS, Outcome::Reset, true);
    assert!(matches!(gateway.negative_answer(), Some(Action::Fail { .. })), "{:?}", gateway.actions);
}

/// Guards against treating the time in which a response is forwarded as latency:
/// a response that is forwarded for half a minute must neither be hedged nor make its endpoint look slow.
#[test]
fn latency_of_a_forwarded_response_ends_at_its_first_byte() {
    let mut gateway = TestGateway::new(Settings { hedging_allowed: true, ..settings() }, 2);
    gateway.serve(39, |_| 20);
    gateway.request_numbered(100, IDEMPOTENT_CLASS).expect("the request is sent to an endpoint");
    gateway.now += MS(25);
    gateway.handle(Event::ResponseStarted { request: RequestId(100), attempt: 0, latency: MS(20) });
    assert!(gateway.actions.is_empty(), "{:?}", gateway.actions);
    let mut requests = [0; 2];
    for id in 200..240 {
        gateway.now += MS(700);
        let endpoint =
            gateway.request_numbered(id, IDEMPOTENT_CLASS).expect("the request is sent to an endpoint");
        requests[endpoint as usize] += 1;
        gateway.now += MS(20);
        gateway.end_attempt(id, 0, MS(20), Outcome::Served);
    }
    assert!(requests.iter().all(|count| *count > 8), "{requests:?}");
    gateway.end_attempt(100, 0, Duration::from_secs(28), Outcome::Reset);
    assert!(gateway.actions.is_empty(), "the request had ended");
}

#[test]
fn avoided_endpoint_count_covers_slow_and_draining_endpoints() {
    let mut gateway = TestGateway::new(settings(), 6);
    let with_one_slow = |endpoint: u32| if endpoint == 3 { 1000 } else { 20 };
    let mut id = 0;
    let mut serve = |gateway: &mut TestGateway, count: u64, latency_ms: &dyn Fn(u32) -> u64| {
        let mut requests = [0u32; 6];
        for _ in 0..count {
            id += 1;
            let endpoint =
                gateway.request_numbered(id, IDEMPOTENT_CLASS).expect("the request is sent to an endpoint");
            requests[endpoint as usize] += 1;
            gateway.now += MS(latency_ms(endpoint));
            gateway.end_attempt(id, 0, MS(latency_ms(endpoint)), Outcome::Served);
        }
        requests
    };
    serve(&mut gateway, 60, &|_| 20);
    assert_eq!(gateway.avoided(), 0);
    serve(&mut gateway, 60, &with_one_slow);
    let avoided = gateway.avoided();
    let requests = serve(&mut gateway, 100, &with_one_slow);
    // The metric counts the avoided endpoints, and the requests show which endpoint is avoided.
    assert_eq!(avoided, 1);
    assert!(requests[3] * 10 < requests[0].max(requests[1]), "{requests:?}");
    gateway.balancer.apply_settings(settings());
    assert_eq!(gateway.avoided(), 1, "new settings keep what was learned about endpoints");
    gateway.list_delta(&[Endpoint { state: EndpointState::Draining, ..local_endpoint(0, None) }]);
    assert!(gateway.avoided() >= 1, "a draining endpoint counts as avoided");
}

#[test]
fn new_settings_keep_the_rules_of_open_requests_and_the_history_of_endpoints() {
    let old = Settings { max_attempts: 3, hedging_allowed: false, ..settings() };
    let mut gateway = TestGateway::new(old.clone(), 4);
    gateway.serve(79, |_| 20);
    gateway.request_numbered(100, KEYED_CLASS).expect("the request is sent to an endpoint");
    let mut new = old;
    new.classes[KEYED_CLASS].retired = true;
    let not_idempotent =
        RequestClass { idempotency: Idempotency::NotIdempotent, ..new.classes[KEYED_CLASS].clone() };
    new.classes.push(not_idempotent);
    new.max_attempts = 1;
    gateway.balancer.apply_settings(new);
    // The open request may be retried, as a request with an idempotency key and with attempts left.
    gateway.end_attempt(100, 0, MS(20), Outcome::Reset);
    assert!(gateway.sent_endpoint().is_some(), "{:?}", gateway.actions);
    gateway.request_numbered(101, 6).expect("the request is sent to an endpoint");
    gateway.end_attempt(101, 0, MS(20), Outcome::NoConnection);
    assert!(gateway.sent_endpoint().is_none(), "the new settings allow one attempt");
}

/// Guards against new settings that apply to requests that are already open. Whether an open request may be cancelled,
/// the quiet period of its key and its `Retry-After` must stay as they were when the request arrived.
#[test]
fn new_settings_keep_the_limits_of_open_requests() {
    let mut old = Settings {
        cancellation_allowed: true,
        max_retry_after: MS(700),
        key_quiet_period: MS(100),
        ..settings()
    };
    old.classes[KEYED_CLASS].sequential = true;
    let new = Settings {
        cancellation_allowed: false,
        max_retry_after: MS(90),
        key_quiet_period: MS(3000),
        ..old.clone()
    };
    let mut gateway = TestGateway::new(old, 4);
    gateway.serve(79, |_| 20);
    let request_with_key = |gateway: &mut TestGateway, id: u64| {
        let request = Request::new(RequestId(id), KEYED_CLASS, gateway.now + MS(9000));
        gateway.handle(Event::Request(Request { key: Some(5), ..request }));
    };
    request_with_key(&mut gateway, 100);
    gateway.sent_endpoint().expect("the request is sent to an endpoint");
    request_with_key(&mut gateway, 101);
    gateway.request_numbered(102, IDEMPOTENT_CLASS).expect("the request is sent to an endpoint");
    gateway.balancer.apply_settings(new);

    gateway.handle(Event::ClientDisconnected { request: RequestId(102) });
    let is_cancel = |action: &Action| matches!(action, Action::Cancel { request: RequestId(102), .. });
    assert!(gateway.actions.iter().any(is_cancel), "{:?}", gateway.actions);

    gateway.handle(Event::ClientDisconnected { request: RequestId(100) });
    gateway.end_attempt(100, 0, MS(20), Outcome::Cancelled);
    // The quiet period of the key is 100 ms by the old settings, not 3 s by the new ones.
    assert_eq!(gateway.sent_endpoint(), None);
    for (after_ms, is_sent) in [(90, false), (20, true)] {
        gateway.now += MS(after_ms);
        gateway.handle(Event::Timer { token: 101 });
        assert_eq!(gateway.sent_endpoint().is_some(), is_sent, "{:?}", gateway.actions);
    }

    let draining = |number| Endpoint { state: EndpointState::Draining, ..endpoint(number, None) };
    let list: Vec<Endpoint> = (0..4).map(draining).collect();
    gateway.list_snapshot(&list);
    gateway.end_attempt(101, 0, MS(20), Outcome::Rejected);
    gateway.now += MS(2000);
    gateway.handle(Event::Timer { token: 101 });
    let retry_after = gateway.actions.iter().find_map(|action| match action {
        Action::Reject { request: RequestId(101), retry_after } => Some(*retry_after),
        _ => None,
    });
    assert_eq!(retry_after, Some(MS(700)), "{:?}", gateway.actions);
}

/// The state of a request as [`any_order_of_events_keeps_the_rules`] has observed it.
#[derive(Default)]
struct TrackedRequest {
    is_known: bool,
    ended: bool,
    forwarding_started: bool,
    sends: u32,
    in_flight: u32,
}

/// Checks the actions of an event against the observed state of their requests.
fn check_actions(
    actions: &[Action],
    requests: &mut BTreeMap<u64, TrackedRequest>,
) -> Result<(), TestCaseError> {
    for action in actions {
        match action {
            Action::Send { request, .. } => {
                let tracked = requests.entry(request.0).or_default();
                prop_assert!(
                    !tracked.ended && tracked.in_flight == 0 && !tracked.forwarding_started,
                    "{:?}",
                    action
                );
                tracked.sends += 1;
                tracked.in_flight = 1;
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                let tracked = requests.entry(request.0).or_default();
                prop_assert!(!tracked.ended && tracked.in_flight == 0, "{:?}", action);
                tracked.ended = true;
            }
            _ => {}
        }
    }
    Ok(())
}

/// Feeds the balancer the event that this step stands for, if the event is possible for the request.
fn apply_step(gateway: &mut TestGateway, tracked: &mut TrackedRequest, step: u8, id: u64, ms: u64) {
    let request = RequestId(id);
    let attempt = tracked.sends.saturating_sub(1);
    gateway.actions.clear();
    match step {
        0 | 1 if !tracked.is_known => {
            tracked.is_known = true;
            let class = (ms % 6) as usize;
            let new_request = Request::new(request, class, gateway.now + FAR);
            gateway.handle(Event::Request(Request { body_streaming: step == 1, ..new_request }));
        }
        2 if tracked.in_flight > 0 => {
            tracked.forwarding_started = true;
            gateway.handle(Event::BodyForwardingStarted { request });
        }
        3 => {
            let client_deadline = gateway.now + MS(1200);
            gateway.handle(Event::BodyForwarded { request, client_deadline });
        }
        4 if tracked.in_flight > 0 && !tracked.ended => {
            tracked.ended = true;
            tracked.in_flight = 0;
            gateway.handle(Event::ResponseStarted { request, attempt, latency: MS(ms) });
        }
        5 if tracked.in_flight > 0 => {
            let outcomes = [Outcome::NoConnection, Outcome::Reset, Outcome::TimedOut, Outcome::Rejected];
            let outcome = outcomes[(ms % 4) as usize];
            tracked.in_flight = 0;
            let request_ended = tracked.ended;
            let latency = MS(ms);
            gateway.handle(Event::AttemptEnded { request, attempt, latency, outcome, request_ended });
        }
        6 => {
            tracked.ended |= tracked.is_known;
            gateway.handle(Event::ClientDisconnected { request });
        }
        7 => gateway.handle(Event::Timer { token: id }),
        8 => {
            let mut new = Settings { hedging_allowed: false, ..settings() };
            new.classes[(ms % 6) as usize].retired = true;
            new.max_attempts = 1 + (ms % 4) as u32;
            gateway.balancer.apply_settings(new);
        }
        _ => {}
    }
}

proptest! {
    /// For any events in any order, a request gets at most one answer, and no attempt is sent after the answer.
    /// No second attempt is sent once a part of the request's body was forwarded.
    #[test]
    fn any_order_of_events_keeps_the_rules(steps in prop::collection::vec((0u8..9, 0u64..6, 0u64..900), 1..120)) {
        let mut gateway = TestGateway::new(Settings { hedging_allowed: false, ..settings() }, 4);
        let mut requests: BTreeMap<u64, TrackedRequest> = BTreeMap::new();
        for (step, number, ms) in steps {
            gateway.now += MS(ms);
            let id = number + 1;
            apply_step(&mut gateway, requests.entry(id).or_default(), step, id, ms);
            check_actions(&gateway.actions, &mut requests)?;
        }
    }
}
