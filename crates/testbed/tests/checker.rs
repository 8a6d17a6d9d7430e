//! Tests of the checker: each rule is tested on both sides of its limit, with events recorded one by one.

use std::time::Duration;
use weldworks_balancer::{Idempotency, KeyScope};
use weldworks_testbed::checker::{
    AttemptEnd, Checker, ClassTerms, EndpointNotice, FinalAnswer, ObservedAttempt, RequestResult, Rule,
    Rules, SentRequest, Service,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const SAFE: usize = 0;
const RACK: usize = 1;
const UNSAFE: usize = 2;
const ALL: usize = 3;

/// A checker of three endpoints: endpoints 0 and 1 share a rack, endpoint 2 is alone in another rack.
fn checker() -> Checker {
    let keyed = |group| Idempotency::IdempotencyKey { scope: group, window: ms(1000) };
    let terms =
        [Idempotency::Idempotent, keyed(KeyScope::Cell), Idempotency::NotIdempotent, keyed(KeyScope::All)];
    let terms = terms.map(|idempotency| ClassTerms { latency_objective: ms(300), idempotency }).to_vec();
    Checker::new(terms, vec![(0, 0), (0, 0), (1, 1)])
}

fn send_request(checker: &mut Checker, class: usize) {
    checker.record_request(1, SentRequest { gateway: 0, class, sent_at: ms(0), deadline: ms(1000) });
}

/// Records attempt `number` at an endpoint, from `from` to `until` in milliseconds.
fn attempt(checker: &mut Checker, number: u64, endpoint: usize, from: u64, until: u64, how: AttemptEnd) {
    let (last_byte_at, started_at, end) = (Some(ms(from)), None, None);
    let (first_byte_at, work_s, gateway) = (ms(from), 0.01, 0);
    checker.record_attempt(
        1,
        ObservedAttempt {
            attempt: number,
            endpoint,
            gateway,
            first_byte_at,
            last_byte_at,
            started_at,
            end,
            work_s,
        },
    );
    checker.record_end(number, ms(until), how);
}

fn found(checker: &Checker) -> Vec<Rule> {
    checker.violations(Rules::virtual_time()).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn each_request_needs_exactly_one_answer_in_time() {
    type Case = (&'static [(u64, FinalAnswer)], &'static [Rule]);
    let cases: [Case; 6] = [
        (&[(200, FinalAnswer::Served)], &[]),
        (&[(1009, FinalAnswer::Served)], &[]),
        (&[(1011, FinalAnswer::Served)], &[Rule::Unanswered]),
        (&[], &[Rule::Unanswered]),
        (&[(200, FinalAnswer::Served), (300, FinalAnswer::Failed)], &[Rule::AnsweredTwice]),
        (&[(200, FinalAnswer::Foreign)], &[Rule::ForeignAnswer]),
    ];
    for (answers, rules) in cases {
        let mut checker = checker();
        send_request(&mut checker, SAFE);
        attempt(&mut checker, 1, 0, 10, 190, AttemptEnd::Served);
        answers.iter().for_each(|(at, got)| checker.record_answer(1, ms(*at), *got));
        assert_eq!(found(&checker), rules, "{answers:?}");
    }
}

#[test]
fn a_client_that_gives_up_before_its_deadline_is_owed_no_answer() {
    for (left, rules) in [(500, vec![]), (1000, vec![Rule::Unanswered])] {
        let mut checker = checker();
        send_request(&mut checker, SAFE);
        checker.record_give_up(1, ms(left));
        assert_eq!(found(&checker), rules);
    }
}

#[test]
fn only_one_attempt_of_a_request_may_be_in_flight() {
    for (second, rules) in [(100, vec![]), (89, vec![Rule::TwoCopies])] {
        let mut checker = checker();
        send_request(&mut checker, SAFE);
        attempt(&mut checker, 1, 0, 10, 100, AttemptEnd::Left);
        attempt(&mut checker, 2, 1, second, 200, AttemptEnd::Served);
        checker.record_answer(1, ms(201), FinalAnswer::Served);
        assert_eq!(found(&checker), rules, "second attempt at {second} ms");
    }
}

#[test]
fn a_request_is_retried_only_as_its_class_allows() {
    let cases = [
        (SAFE, AttemptEnd::Error, 2, 2000, true),
        (UNSAFE, AttemptEnd::Error, 0, 200, false),
        (UNSAFE, AttemptEnd::TurnedAway, 0, 200, true),
        (UNSAFE, AttemptEnd::Unsent, 0, 200, true),
        (RACK, AttemptEnd::Left, 1, 200, true),
        (RACK, AttemptEnd::Left, 2, 200, false),
        (RACK, AttemptEnd::TurnedAway, 2, 200, true),
        (RACK, AttemptEnd::Left, 1, 1021, false),
        (ALL, AttemptEnd::Left, 2, 200, true),
        (ALL, AttemptEnd::Left, 2, 1021, false),
    ];
    for (class, how, endpoint, again, allowed) in cases {
        let mut checker = checker();
        checker.record_request(1, SentRequest { gateway: 0, class, sent_at: ms(0), deadline: ms(5000) });
        attempt(&mut checker, 1, 0, 10, 100, how);
        attempt(&mut checker, 2, endpoint, again, again + 50, AttemptEnd::Served);
        checker.record_answer(1, ms(again + 51), FinalAnswer::Served);
        let rules = if allowed { vec![] } else { vec![Rule::ResentAgainstClass] };
        assert_eq!(found(&checker), rules, "class {class}, {how:?}, then endpoint {endpoint} at {again}");
    }
}

#[test]
fn attempts_after_the_answer_and_late_rejections_are_violations() {
    let mut sent = checker();
    send_request(&mut sent, SAFE);
    sent.record_answer(1, ms(50), FinalAnswer::Refused);
    attempt(&mut sent, 1, 0, 70, 100, AttemptEnd::Served);
    assert_eq!(found(&sent), [Rule::SentAfterAnswer]);
    // A request may wait until its latency objective of 300 ms, and as long as an attempt is in flight.
    for (last, at, rules) in [
        (0, 340, vec![]),
        (0, 341, vec![Rule::HeldBack]),
        (600, 640, vec![]),
        (600, 641, vec![Rule::HeldBack]),
    ] {
        let mut rejecting = checker();
        send_request(&mut rejecting, SAFE);
        if last > 0 {
            attempt(&mut rejecting, 1, 0, 10, last, AttemptEnd::Error);
        }
        rejecting.record_answer(1, ms(at), FinalAnswer::Refused);
        assert_eq!(found(&rejecting), rules, "rejected at {at} ms");
    }
}

#[test]
fn a_possibly_processed_request_may_be_rejected_only_if_a_retry_is_harmless() {
    for (class, how, rules) in [
        (SAFE, AttemptEnd::Error, vec![]),
        (ALL, AttemptEnd::Error, vec![]),
        (RACK, AttemptEnd::Error, vec![Rule::RefusedAfterRun]),
        (UNSAFE, AttemptEnd::Broken, vec![Rule::RefusedAfterRun]),
        (UNSAFE, AttemptEnd::TurnedAway, vec![]),
    ] {
        let mut checker = checker();
        send_request(&mut checker, class);
        attempt(&mut checker, 1, 0, 10, 50, how);
        checker.record_answer(1, ms(60), FinalAnswer::Refused);
        assert_eq!(found(&checker), rules, "class {class}, {how:?}");
    }
}

#[test]
fn attempts_are_violations_from_two_seconds_after_a_drain_or_removal_is_notified() {
    for (notice, at, rules) in [
        (EndpointNotice::Draining, 3010, vec![]),
        (EndpointNotice::Draining, 3011, vec![Rule::SentToDrained]),
        (EndpointNotice::Removed, 3011, vec![Rule::SentToDrained]),
        (EndpointNotice::Up(None), 3011, vec![]),
    ] {
        let mut checker = checker();
        checker.record_notice(0, 0, ms(1000), notice);
        checker.record_notice(1, 0, ms(0), EndpointNotice::Removed); // a notification binds only the gateway that received it
        checker.record_request(
            1,
            SentRequest { gateway: 0, class: SAFE, sent_at: ms(at), deadline: ms(at + 1000) },
        );
        attempt(&mut checker, 1, 0, at, at + 10, AttemptEnd::Served);
        checker.record_answer(1, ms(at + 11), FinalAnswer::Served);
        assert_eq!(found(&checker), rules, "{notice:?}, attempt at {at} ms");
    }
    // The removal of an endpoint that was draining does not restart the drain grace; only a notification that it is up ends the grace.
    let mut checker = checker();
    checker.record_notice(0, 0, ms(1000), EndpointNotice::Draining);
    checker.record_notice(0, 0, ms(2500), EndpointNotice::Removed);
    checker.record_request(1, SentRequest { gateway: 0, class: SAFE, sent_at: ms(3500), deadline: ms(4500) });
    attempt(&mut checker, 1, 0, 3500, 3510, AttemptEnd::Served);
    checker.record_answer(1, ms(3511), FinalAnswer::Served);
    assert_eq!(found(&checker), [Rule::SentToDrained]);
}

#[test]
fn a_fallen_endpoint_is_a_violation_if_the_sending_gateways_were_notified_of_its_start() {
    for (knew, rules) in [(true, vec![Rule::PushedOver]), (false, vec![])] {
        let mut checker = checker();
        checker.record_cold_start(0, ms(1000));
        if knew {
            checker.record_notice(0, 0, ms(1500), EndpointNotice::Up(Some(ms(1000))));
        }
        checker.record_request(
            1,
            SentRequest { gateway: 0, class: SAFE, sent_at: ms(1990), deadline: ms(3000) },
        );
        attempt(&mut checker, 1, 0, 2000, 2010, AttemptEnd::Broken);
        checker.record_answer(1, ms(2011), FinalAnswer::Refused);
        checker.record_fall(0, ms(2010));
        assert_eq!(found(&checker), rules, "knew: {knew}");
    }
}

#[test]
fn an_attempt_of_a_request_that_no_client_sent_is_reported() {
    let mut checker = checker();
    attempt(&mut checker, 1, 0, 10, 50, AttemptEnd::Error);
    let violations = checker.violations(Rules::virtual_time());
    assert_eq!(violations[0].rule, Rule::NobodyAsked);
    assert_eq!(violations[0].request.as_deref(), Some("0000000000000001"));
    assert!(violations[0].events[0].contains("node 0 sees attempt 1's first byte"), "{:?}", violations[0]);
}

#[test]
fn service_is_the_weight_served_in_time_divided_by_the_weight_requested() {
    let names = |n: usize| (0..n).map(|n| n.to_string()).collect::<Vec<_>>();
    let tally = |second: u64, class, tenant, priority_weight, in_share, in_time| {
        let at = Duration::from_secs(second);
        RequestResult { at, class, tenant, priority_weight, in_share, in_time }
    };
    let mut tallies: Vec<RequestResult> = (0..30).map(|s| tally(s, 0, 0, 1.0, true, true)).collect();
    tallies.extend((10..20).map(|s| tally(s, 1, 1, 2.0, true, false)));
    tallies.push(tally(5, 0, 1, 10.0, false, true)); // beyond the tenant's share: it does not count for the worst tenant
    let service = Service::count(&tallies, &names(2), &names(2));
    assert!((service.whole - 40.0 / 60.0).abs() < 1e-12);
    assert_eq!((service.worst_class.name.as_str(), service.worst_class.service), ("1", 0.0));
    assert_eq!((service.worst_tenant.name.as_str(), service.worst_tenant.service), ("1", 0.0));
    assert_eq!(service.worst_10s.name, "10 s to 20 s");
    assert!((service.worst_10s.service - 10.0 / 30.0).abs() < 1e-12);
}
