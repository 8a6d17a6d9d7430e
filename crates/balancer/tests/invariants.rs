//! Tests of the rules for attempts, answers, key order and draining:
//! an independent checker observes the balancer under random event sequences. The checker itself is tested as well.

mod common;

use common::checker::{Checker, TrackedAttempt, TrackedRequest, Violation};
use common::random_run::RandomRun;
use common::{
    endpoint, settings, settings_with_sequencing_and_draining, ENDPOINT_COUNT, NOT_IDEMPOTENT_CLASS,
    SLOW_START_S,
};
use std::time::Duration;
use weldworks_balancer::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const SEC: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn random_events_violate_no_rule() {
    for seed in 0..12 {
        for settings in [settings(), settings_with_sequencing_and_draining()] {
            for hedging_allowed in [true, false] {
                check_random_events(Settings { hedging_allowed, ..settings.clone() }, seed);
            }
        }
    }
}

fn check_random_events(settings: Settings, seed: u64) {
    let must_close = settings.drain_close_within.is_some();
    let mut run = RandomRun::new(settings, seed);
    run.run_random_events(1500);
    let observed = &run.checker.observed;
    assert!(observed.violations.is_empty(), "seed {seed}: {:?}", observed.violations);
    assert_eq!(
        observed.connection_closes > 0,
        must_close,
        "idle connections are closed only with drain_close_within"
    );
    assert!(
        observed.sends > 300 && observed.repeats > 10 && observed.failed > 5,
        "{} sends, {} repeats, {} failed",
        observed.sends,
        observed.repeats,
        observed.failed
    );
    assert!(
        run.checker.requests.values().all(|request| request.answers == 1),
        "each request gets one answer"
    );
}

/// A checker for which all endpoints are up.
fn checker(settings: Settings) -> Checker {
    let mut checker = Checker::new(settings);
    checker.endpoints.extend((0..ENDPOINT_COUNT).map(|number| (number, endpoint(number, None))));
    checker
}

/// An open request with key 7, with the attempts that it has had.
fn open_request(class: usize, attempts: Vec<TrackedAttempt>) -> TrackedRequest {
    TrackedRequest { class, key: Some(7), client_deadline: SEC(11), attempts, ended: false, answers: 0 }
}

/// One attempt at endpoint 0, sent and ended at 10 s; an outcome of `None` means that the attempt is in flight.
fn attempted(outcome: Option<Outcome>) -> Vec<TrackedAttempt> {
    let entry = endpoint(0, None);
    vec![TrackedAttempt { endpoint: 0, entry, sent_at: SEC(10), outcome, ended_at: SEC(10) }]
}

fn send(endpoint: u32, write_by: Option<Duration>) -> Action {
    let endpoint = EndpointId(endpoint);
    Action::Send { request: RequestId(1), endpoint, deadline: SEC(11), write_by }
}

/// The checker after it has checked the action at 10 s, for a request with number 1.
fn checked(mut checker: Checker, request: TrackedRequest, action: Action) -> Checker {
    checker.requests.insert(1, request);
    checker.check_actions(SEC(10), &[action]);
    checker
}

fn assert_finds(checker: Checker, request: TrackedRequest, action: Action, violation: Violation) {
    let violations = checked(checker, request, action).observed.violations;
    assert!(violations.contains(&violation), "{violation:?} in {violations:?}");
}

#[test]
fn checker_reports_sends_and_rejections_that_break_a_rule() {
    let reset = || attempted(Some(Outcome::Reset));
    let timed_out = || attempted(Some(Outcome::TimedOut));
    let error = || attempted(Some(Outcome::Error));
    let rejected = || attempted(Some(Outcome::Rejected));
    let fresh = || checker(settings());

    let ended = TrackedRequest { ended: true, ..open_request(0, vec![]) };
    assert_finds(fresh(), ended, send(1, None), Violation::SentAfterEnd);

    let twice = Violation::NotIdempotentProcessedTwice;
    assert_finds(fresh(), open_request(NOT_IDEMPOTENT_CLASS, attempted(None)), send(1, None), twice);
    assert_finds(fresh(), open_request(NOT_IDEMPOTENT_CLASS, timed_out()), send(1, None), twice);
    assert_finds(fresh(), open_request(2, reset()), send(1, None), Violation::KeyRepeatedOutsideZone);
    assert_finds(fresh(), open_request(3, error()), send(5, None), Violation::KeyRepeatedOutsideCell);

    let wrong_deadline = Violation::WriteDeadlineDiffersFromKeyWindow;
    let key_known_until = Some(MS(10_350));
    assert_finds(fresh(), open_request(1, reset()), send(1, None), wrong_deadline);
    assert_finds(fresh(), open_request(1, reset()), send(1, Some(SEC(11))), wrong_deadline);
    assert_finds(fresh(), open_request(1, rejected()), send(1, key_known_until), wrong_deadline);

    let mut zone_changed = fresh();
    zone_changed.endpoints.get_mut(&0).expect("the endpoint is listed").zone = 1;
    let outside_zone = Violation::KeyRepeatedOutsideZone;
    assert_finds(zone_changed, open_request(2, reset()), send(1, key_known_until), outside_zone);

    let reject = Action::Reject { request: RequestId(1), retry_after: Duration::ZERO };
    assert_finds(fresh(), open_request(3, error()), reject, Violation::RejectedThoughPossiblyProcessed);

    let mut draining = fresh();
    draining.endpoints.get_mut(&1).expect("the endpoint is listed").state = EndpointState::Draining;
    assert_finds(draining, open_request(0, vec![]), send(1, None), Violation::SentToUnavailableEndpoint);
}

#[test]
fn checker_accepts_repeated_sends_that_idempotency_allows() {
    let rejected = open_request(NOT_IDEMPOTENT_CLASS, attempted(Some(Outcome::Rejected)));
    let violations = checked(checker(settings()), rejected, send(1, None)).observed.violations;
    assert!(
        violations.is_empty(),
        "a request that was provably not processed may be sent again: {violations:?}"
    );
    let reset = open_request(1, attempted(Some(Outcome::Reset)));
    let violations = checked(checker(settings()), reset, send(1, Some(MS(10_350)))).observed.violations;
    assert!(violations.is_empty(), "a repeat within the key window is allowed: {violations:?}");
}

/// An earlier request with key 7 and class 0: the outcome of its attempt, which ended at 10 s, and whether the request was answered.
struct EarlierRequest {
    outcome: Option<Outcome>,
    ended: bool,
}

/// Whether the checker reports that a request of this class and key, sent `after` 10 s, violates the order of its key.
fn is_out_of_key_order(earlier: EarlierRequest, after: Duration, class: usize, key: u64) -> bool {
    let mut checker = checker(settings_with_sequencing_and_draining());
    let attempts = vec![TrackedAttempt {
        endpoint: 0,
        entry: endpoint(0, None),
        sent_at: SEC(9),
        outcome: earlier.outcome,
        ended_at: SEC(10),
    }];
    let first = TrackedRequest { ended: earlier.ended, ..open_request(0, attempts) };
    let second = TrackedRequest { key: Some(key), ..open_request(class, vec![]) };
    checker.requests.insert(1, first);
    checker.requests.insert(2, second);
    let request = RequestId(2);
    let send = Action::Send { request, endpoint: EndpointId(1), deadline: SEC(11), write_by: None };
    checker.check_actions(SEC(10) + after, &[send]);
    checker.observed.violations.contains(&Violation::SentOutOfKeyOrder)
}

#[test]
fn checker_reports_requests_that_are_sent_out_of_key_order() {
    let in_flight = || EarlierRequest { outcome: None, ended: false };
    let ended_in_flight = || EarlierRequest { outcome: None, ended: true };
    let timed_out = || EarlierRequest { outcome: Some(Outcome::TimedOut), ended: true };
    let served = || EarlierRequest { outcome: Some(Outcome::Served), ended: true };
    assert!(is_out_of_key_order(in_flight(), MS(5), 0, 7), "the earlier request is in flight");
    assert!(
        is_out_of_key_order(ended_in_flight(), MS(5), 2, 7),
        "the earlier request has ended, but its hedge is in flight"
    );
    assert!(is_out_of_key_order(timed_out(), MS(49), 0, 7), "the quiet period of the key is not over");
    assert!(!is_out_of_key_order(timed_out(), MS(50), 0, 7), "the quiet period of the key is over");
    assert!(!is_out_of_key_order(served(), MS(0), 0, 7), "no quiet period after a served request");
    assert!(!is_out_of_key_order(in_flight(), MS(5), 0, 8), "the requests have different keys");
    assert!(!is_out_of_key_order(in_flight(), MS(5), 1, 7), "the class is not sequential");
}

#[test]
fn checker_reports_connections_to_draining_endpoints_that_stay_open() {
    let mut checker = checker(settings_with_sequencing_and_draining());
    let draining = Endpoint { state: EndpointState::Draining, ..endpoint(3, None) };
    checker.observe_endpoint(SEC(10), &draining);
    checker.check_time(SEC(10) + MS(400));
    assert!(checker.observed.violations.is_empty(), "the limit has not passed");
    let close = Action::CloseIdleConnections { endpoint: EndpointId(3) };
    checker.check_actions(SEC(10) + MS(400), &[close]);
    checker.check_time(SEC(12));
    assert!(checker.observed.violations.is_empty(), "the connections were closed in time");
    checker.observe_connection_use(SEC(12), 3);
    checker.check_time(SEC(12) + MS(401));
    assert!(checker.observed.violations.contains(&Violation::DrainingConnectionsLeftOpen));
}

/// The numbers of the requests that these actions send, in order.
fn sent_requests(actions: &[Action]) -> Vec<u64> {
    let sent = |action: &Action| match action {
        Action::Send { request, .. } => Some(request.0),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// Guards against event handling that visits all requests queued for one hot key:
/// the longer the queue grew, the longer each event blocked the gateway.
#[test]
fn hot_key_is_served_in_order_and_its_waiting_requests_end_in_time() {
    let settings = Settings { gateway_count: 1, ..settings_with_sequencing_and_draining() };
    let mut balancer = Balancer::new(settings, 1);
    let endpoints = [endpoint(0, None), endpoint(2, None)];
    let mut handle = |at_ms: u64, event: Event<'_>| {
        let mut actions = Vec::new();
        balancer.handle(MS(at_ms), event, &mut actions);
        actions
    };
    handle(0, Event::EndpointList { is_snapshot: true, endpoints: &endpoints });
    let mut actions = Vec::new();
    for id in 1..=4000 {
        let request = Request { key: Some(9), ..Request::new(RequestId(id), 0, MS(1000)) };
        actions.extend(handle(1, Event::Request(request)));
    }
    assert_eq!(sent_requests(&actions), [1]);
    let ended = |request, outcome| {
        let request = RequestId(request);
        Event::AttemptEnded { request, attempt: 0, latency: MS(9), outcome, request_ended: true }
    };
    let actions = handle(10, ended(1, Outcome::Served));
    assert_eq!(sent_requests(&actions), [2], "the next request is sent once the first is served");
    let actions = handle(15, Event::ClientDisconnected { request: RequestId(2) });
    assert_eq!(actions, [Action::Cancel { request: RequestId(2), attempt: 0 }]);
    let actions = handle(20, ended(2, Outcome::Cancelled));
    assert_eq!(
        actions,
        [Action::SetTimer { after: MS(50), token: 3 }],
        "a cancelled attempt starts the quiet period of the key"
    );
    let actions = handle(70, Event::Timer { token: 3 });
    assert_eq!(sent_requests(&actions), [3]);
    // The other requests are not released within their objective: each is rejected at its timer, and none is sent.
    let actions: Vec<Action> = (4..=4000).flat_map(|token| handle(310, Event::Timer { token })).collect();
    assert_eq!(actions.len(), 3997);
    assert!(actions.iter().all(|action| matches!(action, Action::Reject { .. })));
}

/// The numbers of sends to cold endpoints and to all endpoints over some ticks with one request each.
struct TickedSends {
    cold: u64,
    all: u64,
}

fn request_each_tick(run: &mut RandomRun, ticks: u32) -> TickedSends {
    let cold_before = run.checker.observed.cold_sends;
    let all_before = run.checker.observed.sends;
    for _ in 0..ticks {
        run.tick();
        run.request(0);
    }
    TickedSends {
        cold: run.checker.observed.cold_sends - cold_before,
        all: run.checker.observed.sends - all_before,
    }
}

/// Guards against the first attempts of many gateways arriving together at an endpoint that
/// has just started, which overloaded the endpoint.
#[test]
fn cold_endpoint_gets_few_requests_and_more_as_it_warms_up() {
    const TICKS_PER_S: u32 = 200;
    let mut early = 0;
    let mut late = 0;
    let mut warm = 0;
    for seed in 0..10 {
        let mut run = RandomRun::new(Settings { gateway_count: 4, ..settings() }, seed);
        request_each_tick(&mut run, 1000);
        let started = Some(run.now);
        run.list_delta(&[endpoint(3, started)]);
        early += request_each_tick(&mut run, 2 * TICKS_PER_S).cold;
        request_each_tick(&mut run, (SLOW_START_S as u32 - 5) * TICKS_PER_S);
        let sends = request_each_tick(&mut run, 2 * TICKS_PER_S);
        late += sends.cold;
        warm += sends.all / u64::from(ENDPOINT_COUNT);
    }
    assert!(early > 0, "the cold endpoint gets requests");
    assert!(early * 3 < warm, "an endpoint that has just started got {early} sends, a warm one {warm}");
    assert!(late > early, "a nearly warm endpoint got {late} sends, one that had just started {early}");
}

#[test]
fn fleet_whose_endpoints_are_all_cold_is_not_overloaded() {
    let mut run = RandomRun::new(settings(), 3);
    request_each_tick(&mut run, 600);
    let list: Vec<Endpoint> = (0..ENDPOINT_COUNT).map(|number| endpoint(number, Some(run.now))).collect();
    run.list_snapshot(&list);
    let sent = request_each_tick(&mut run, 200).all;
    assert!(sent < 70, "{sent} of 200 requests were sent to a fleet with 0.15 of its capacity");
    assert!(run.checker.requests.values().filter(|request| request.ended).count() > 600);
}

#[test]
fn endpoint_missing_from_a_snapshot_gets_no_requests() {
    let mut run = RandomRun::new(settings(), 9);
    let list: Vec<Endpoint> = (1..ENDPOINT_COUNT).map(|number| endpoint(number, None)).collect();
    run.list_snapshot(&list);
    request_each_tick(&mut run, 200);
    let is_sent_to_missing = |action: &Action| matches!(action, Action::Send { endpoint: EndpointId(0), .. });
    let observed = &run.checker.observed;
    assert!(!observed.log.iter().any(|(_, action)| is_sent_to_missing(action)));
    assert!(observed.violations.is_empty(), "{:?}", observed.violations);
}

#[test]
fn request_without_a_ready_endpoint_is_rejected_in_time() {
    let mut run = RandomRun::new(settings(), 4);
    run.list_snapshot(&[]);
    for class in 0..6 {
        run.request(class);
    }
    for _ in 0..400 {
        run.tick();
    }
    let observed = &run.checker.observed;
    assert!(observed.violations.is_empty(), "{:?}", observed.violations);
    assert_eq!(observed.rejected, 6);
    assert_eq!(observed.sends, 0);
}

#[test]
fn same_events_give_the_same_actions_with_and_without_another_instance() {
    let mut alone = RandomRun::new(settings(), 21);
    alone.run_random_events(800);
    let mut with_other = RandomRun::new(settings(), 21);
    let mut other = RandomRun::new(settings(), 22);
    for _ in 0..8 {
        other.run_random_events(20);
    }
    with_other.run_random_events(800);
    assert_eq!(alone.checker.observed.log, with_other.checker.observed.log);
    assert_ne!(with_other.checker.observed.log, other.checker.observed.log);
}
