//! Bodies that come in pieces, answers that are passed on while they come, and settings that change meanwhile.

mod common;

use common::{host, settings, Bench};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use weldworks_balancer::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const FAR: Duration = Duration::from_secs(1000);

trait Coming {
    /// A request with this number; the host it was sent to, if any.
    fn ask(&mut self, id: u64, class: usize, coming: bool) -> Option<u32>;
}

impl Coming for Bench {
    fn ask(&mut self, id: u64, class: usize, coming: bool) -> Option<u32> {
        let give_up = if coming { self.now + FAR } else { self.now + MS(1200) };
        self.give(Event::Request(Request {
            body_streaming: coming,
            ..Request::new(RequestId(id), class, give_up)
        }));
        self.sent_to()
    }
}

#[test]
fn a_body_on_its_way_has_no_time_and_its_host_is_not_blamed_for_it() {
    let mut bench = Bench::new(settings(), 2);
    bench.serve(19, |_| 20);
    let busy = bench.ask(100, 4, true).expect("a host");
    // It comes for ten seconds. All the while its host is as good as the other one.
    let mut met = [0; 2];
    for id in 200..300 {
        bench.now += MS(80);
        let host = bench.ask(id, 0, false).expect("a host");
        met[host as usize] += 1;
        bench.now += MS(20);
        bench.outcome(id, 0, MS(20), Outcome::Served);
    }
    assert!(met.iter().all(|n| *n > 20), "{met:?}, and host {busy} has the body");
    assert!(!bench.last.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })));
    let request = RequestId(100);
    bench.give(Event::BodyForwardingStarted { request });
    let give_up_at = bench.now + MS(1200);
    bench.give(Event::BodyForwarded { request, client_deadline: give_up_at });
    let until = bench.last.iter().find_map(|a| {
        if let Action::SetAttemptDeadline { deadline: until, .. } = a {
            Some(*until)
        } else {
            None
        }
    });
    let until = until.expect("its time begins") - bench.now;
    assert!(until > MS(250) && until <= MS(300), "{until:?}, of an aim of 300 ms");
    bench.give(Event::BodyForwarded { request, client_deadline: bench.now + FAR });
    assert!(bench.last.is_empty(), "it begins once");
}

#[test]
fn what_has_left_is_sent_nowhere_else_and_what_has_not_is() {
    for (class, how, spent) in [
        (0, Outcome::NoConnection, false),
        (0, Outcome::NoConnection, true),
        (0, Outcome::Reset, true),
        (4, Outcome::NoConnection, true),
        (4, Outcome::Reset, true),
    ] {
        let mut bench = Bench::new(settings(), 5);
        bench.serve(39, |_| 20);
        bench.ask(100, class, true).expect("a host");
        if spent {
            bench.give(Event::BodyForwardingStarted { request: RequestId(100) });
        }
        bench.outcome(100, 0, MS(30), how);
        let answer = bench.last.iter().find(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }));
        match (spent, class, how) {
            (false, ..) => assert!(bench.sent_to().is_some(), "{:?}", bench.last),
            // An unsafe one that may have run is not said to be harmless to try again.
            (true, 4, Outcome::Reset) => {
                assert!(matches!(answer, Some(Action::Fail { .. })), "{:?}", bench.last)
            }
            (true, ..) => assert!(matches!(answer, Some(Action::Reject { .. })), "{:?}", bench.last),
        }
    }
}

#[test]
fn an_answer_that_has_begun_is_booked_at_its_first_byte() {
    let mut bench = Bench::new(Settings { hedging_allowed: true, ..settings() }, 2);
    bench.serve(39, |_| 20);
    bench.ask(100, 0, false).expect("a host");
    bench.now += MS(25);
    bench.give(Event::ResponseStarted { request: RequestId(100), attempt: 0, latency: MS(20) });
    assert!(bench.last.is_empty(), "{:?}", bench.last);
    // The rest takes half a minute: no copy, no time-out, and the host is as good as before.
    let mut met = [0; 2];
    for id in 200..240 {
        bench.now += MS(700);
        met[bench.ask(id, 0, false).expect("a host") as usize] += 1;
        bench.now += MS(20);
        bench.outcome(id, 0, MS(20), Outcome::Served);
    }
    assert!(met.iter().all(|n| *n > 8), "{met:?}");
    bench.outcome(100, 0, Duration::from_secs(28), Outcome::Reset);
    assert!(bench.last.is_empty(), "it was through with it");
}

#[test]
fn avoided_hosts_are_those_that_get_next_to_nothing() {
    let mut bench = Bench::new(settings(), 6);
    let slow = |host: u32| if host == 3 { 1000 } else { 20 };
    let mut id = 0;
    let mut round = |bench: &mut Bench, n: u64, ms: &dyn Fn(u32) -> u64| {
        let mut met = [0u32; 6];
        for _ in 0..n {
            id += 1;
            let host = bench.ask(id, 0, false).expect("a host");
            met[host as usize] += 1;
            bench.now += MS(ms(host));
            bench.outcome(id, 0, MS(ms(host)), Outcome::Served);
        }
        met
    };
    round(&mut bench, 60, &|_| 20);
    assert_eq!(bench.b.avoided_endpoint_count(bench.now), 0);
    round(&mut bench, 60, &slow);
    let avoided = bench.b.avoided_endpoint_count(bench.now);
    let met = round(&mut bench, 100, &slow);
    // The figure says one, and where the requests went says which.
    assert_eq!(avoided, 1);
    assert!(met[3] * 10 < met[0].max(met[1]), "{met:?}");
    bench.b.apply_settings(settings());
    assert_eq!(
        bench.b.avoided_endpoint_count(bench.now),
        1,
        "new settings leave hosts what is known of them"
    );
    let leaving = Endpoint { state: EndpointState::Draining, ..host(0, None) };
    bench.give(Event::EndpointList { is_snapshot: false, endpoints: &[leaving] });
    assert!(bench.b.avoided_endpoint_count(bench.now) >= 1, "one that leaves gets nothing");
}

#[test]
fn new_settings_leave_open_requests_their_rules_and_hosts_their_history() {
    let old = Settings { max_attempts: 3, hedging_allowed: false, ..settings() };
    let mut bench = Bench::new(old.clone(), 4);
    bench.serve(79, |_| 20);
    bench.ask(100, 1, false).expect("a host");
    let mut new = old;
    new.classes[1].retired = true;
    new.classes.push(RequestClass { idempotency: Idempotency::NotIdempotent, ..new.classes[1].clone() });
    new.max_attempts = 1;
    bench.b.apply_settings(new);
    // The open one may be tried again, as a keyed request with attempts left.
    bench.outcome(100, 0, MS(20), Outcome::Reset);
    assert!(bench.sent_to().is_some(), "{:?}", bench.last);
    bench.ask(101, 6, false).expect("a host");
    bench.outcome(101, 0, MS(20), Outcome::NoConnection);
    assert!(bench.sent_to().is_none(), "one attempt by the new settings");
}

/// What a request may be called off by, how long its key rests after it and how long its client is told to keep away are those of the
/// settings that it came under, whoever's settings are in force when it ends.
#[test]
fn new_settings_leave_open_requests_their_limits() {
    let mut old = Settings {
        cancellation_allowed: true,
        max_retry_after: MS(700),
        key_quiet_period: MS(100),
        ..settings()
    };
    old.classes[1].sequential = true;
    let new = Settings {
        cancellation_allowed: false,
        max_retry_after: MS(90),
        key_quiet_period: MS(3000),
        ..old.clone()
    };
    let mut bench = Bench::new(old, 4);
    bench.serve(79, |_| 20);
    let keyed = |bench: &mut Bench, id: u64| {
        let give_up = bench.now + MS(9000);
        bench.give(Event::Request(Request { key: Some(5), ..Request::new(RequestId(id), 1, give_up) }));
    };
    keyed(&mut bench, 100);
    bench.sent_to().expect("a host");
    keyed(&mut bench, 101);
    bench.ask(102, 0, false).expect("a host");
    bench.b.apply_settings(new);
    bench.give(Event::ClientDisconnected { request: RequestId(102) });
    let off = |a: &Action| matches!(a, Action::Cancel { request: RequestId(102), .. });
    assert!(bench.last.iter().any(off), "{:?}", bench.last);
    bench.give(Event::ClientDisconnected { request: RequestId(100) });
    bench.outcome(100, 0, MS(20), Outcome::Cancelled);
    // Its key rests for 100 ms, not for 3 s.
    assert_eq!(bench.sent_to(), None);
    for (after, sent) in [(90, false), (20, true)] {
        bench.now += MS(after);
        bench.give(Event::Timer { token: 101 });
        assert_eq!(bench.sent_to().is_some(), sent, "{:?}", bench.last);
    }
    let hosts: Vec<Endpoint> =
        (0..4).map(|n| Endpoint { state: EndpointState::Draining, ..host(n, None) }).collect();
    bench.give(Event::EndpointList { is_snapshot: false, endpoints: &hosts });
    bench.outcome(101, 0, MS(20), Outcome::Rejected);
    bench.now += MS(2000);
    bench.give(Event::Timer { token: 101 });
    let away = bench.last.iter().find_map(|a| match a {
        Action::Reject { request: RequestId(101), retry_after: keep_away } => Some(*keep_away),
        _ => None,
    });
    assert_eq!(away, Some(MS(700)), "{:?}", bench.last);
}

proptest! {
    /// Whatever comes in whatever order, a request gets at most one answer, nothing goes out for it after that, and never a second
    /// attempt once some of its body has left.
    #[test]
    fn any_order_of_events_keeps_the_rules(steps in prop::collection::vec((0u8..9, 0u64..6, 0u64..900), 1..120)) {
        let mut bench = Bench::new(Settings { hedging_allowed: false, ..settings() }, 4);
        #[derive(Default)]
        struct Told { known: bool, over: bool, spent: bool, sends: u32, out: u32 }
        let mut told: BTreeMap<u64, Told> = BTreeMap::new();
        for (step, id, ms) in steps {
            bench.now += MS(ms);
            let id = id + 1;
            let request = RequestId(id);
            let seen = told.entry(id).or_default();
            let attempt = seen.sends.saturating_sub(1);
            match step {
                0 | 1 if !seen.known => {
                    seen.known = true;
                    let give_up = bench.now + FAR;
                    let class = (ms % 6) as usize;
                    bench.give(Event::Request(Request { body_streaming: step == 1, ..Request::new(request, class, give_up) }));
                }
                2 if seen.out > 0 => {
                    seen.spent = true;
                    bench.give(Event::BodyForwardingStarted { request });
                }
                3 => bench.give(Event::BodyForwarded { request, client_deadline: bench.now + MS(1200) }),
                4 if seen.out > 0 && !seen.over => {
                    (seen.over, seen.out) = (true, 0);
                    bench.give(Event::ResponseStarted { request, attempt, latency: MS(ms) });
                }
                5 if seen.out > 0 => {
                    let how = [Outcome::NoConnection, Outcome::Reset, Outcome::TimedOut, Outcome::Rejected][(ms % 4) as usize];
                    seen.out = 0;
                    let over = seen.over;
                    bench.give(Event::AttemptEnded { request, attempt, latency: MS(ms), outcome: how, request_ended: over });
                }
                6 => {
                    seen.over |= seen.known;
                    bench.give(Event::ClientDisconnected { request });
                }
                7 => bench.give(Event::Timer { token: id }),
                8 => {
                    let mut new = Settings { hedging_allowed: false, ..settings() };
                    new.classes[(ms % 6) as usize].retired = true;
                    new.max_attempts = 1 + (ms % 4) as u32;
                    bench.b.apply_settings(new);
                    bench.last.clear();
                }
                _ => bench.last.clear(),
            }
            for action in &bench.last {
                match action {
                    Action::Send { request, .. } => {
                        let seen = told.entry(request.0).or_default();
                        prop_assert!(!seen.over && seen.out == 0 && !seen.spent, "{:?}", action);
                        (seen.sends, seen.out) = (seen.sends + 1, 1);
                    }
                    Action::Reject { request, .. } | Action::Fail { request } => {
                        let seen = told.entry(request.0).or_default();
                        prop_assert!(!seen.over && seen.out == 0, "{:?}", action);
                        seen.over = true;
                    }
                    _ => {}
                }
            }
        }
    }
}
