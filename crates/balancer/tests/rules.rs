//! The rules, on generated event sequences and by an independent checker.

mod common;

use common::{further, host, settings, Checker, Open, Play, Sent, COLD_S, HOSTS};
use std::time::Duration;
use weldworks_balancer::*;

#[test]
fn no_rule_is_broken_on_generated_days() {
    for seed in 0..12 {
        for (second_copies, set) in
            [(true, settings()), (false, settings()), (true, further()), (false, further())]
        {
            let closes = set.drain_close_within.is_some();
            let mut play = Play::new(Settings { hedging_allowed: second_copies, ..set }, seed);
            play.day(1500);
            let seen = &play.check.seen;
            assert!(seen.broken.is_empty(), "seed {seed}: {:?}", seen.broken);
            assert_eq!(seen.closed > 0, closes, "connections are closed where the settings ask for it");
            let lively = seen.sends > 300 && seen.repeats > 10 && seen.failed > 5;
            assert!(lively, "{} sends, {} repeats, {} failed", seen.sends, seen.repeats, seen.failed);
            assert!(play.check.requests.values().all(|r| r.answered == 1), "one answer each");
        }
    }
}

#[test]
fn the_checker_finds_what_breaks_each_rule() {
    let sec = Duration::from_secs;
    let request =
        |class, sent| Open { class, key: Some(7), give_up: sec(11), sent, over: false, answered: 0 };
    let fresh = || {
        let mut c = Checker::new(settings());
        c.hosts.extend((0..HOSTS).map(|i| (i, host(i, None))));
        c
    };
    let sent = |outcome| vec![Sent { host: 0, entry: host(0, None), at: sec(10), outcome, ended: sec(10) }];
    let send_by = |host, write_by| Action::Send {
        request: RequestId(1),
        endpoint: EndpointId(host),
        deadline: sec(11),
        write_by,
    };
    let send = |host| send_by(host, None);
    let finds = |mut c: Checker, req: Open, action: Action, name: &str| {
        c.requests.insert(1, req);
        c.take(sec(10), &[action]);
        assert!(c.seen.broken.contains(name), "{name} in {:?}", c.seen.broken);
    };
    finds(fresh(), Open { over: true, ..request(0, vec![]) }, send(1), "sent after the end");
    finds(fresh(), request(4, sent(None)), send(1), "ran an unsafe request twice");
    finds(fresh(), request(4, sent(Some(Outcome::TimedOut))), send(1), "ran an unsafe request twice");
    finds(fresh(), request(2, sent(Some(Outcome::Reset))), send(1), "repeated a key outside its zone");
    finds(fresh(), request(3, sent(Some(Outcome::Error))), send(5), "repeated a key outside its cell");
    let late = "may be written at another time than hosts know its key";
    let known = Duration::from_millis(10_350);
    finds(fresh(), request(1, sent(Some(Outcome::Reset))), send(1), late);
    finds(fresh(), request(1, sent(Some(Outcome::Reset))), send_by(1, Some(sec(11))), late);
    finds(fresh(), request(1, sent(Some(Outcome::Rejected))), send_by(1, Some(known)), late);
    let mut moved = fresh();
    moved.hosts.get_mut(&0).expect("a host").zone = 1;
    finds(
        moved,
        request(2, sent(Some(Outcome::Reset))),
        send_by(1, Some(known)),
        "repeated a key outside its zone",
    );
    let refuse = Action::Reject { request: RequestId(1), retry_after: Duration::ZERO };
    finds(fresh(), request(3, sent(Some(Outcome::Error))), refuse, "refused what may have run");
    let mut draining = fresh();
    draining.hosts.get_mut(&1).unwrap().state = EndpointState::Draining;
    finds(draining, request(0, vec![]), send(1), "sent to a host that drains or is gone");
    let mut clean = fresh();
    clean.requests.insert(1, request(4, sent(Some(Outcome::Rejected))));
    clean.take(sec(10), &[send(1)]);
    assert!(clean.seen.broken.is_empty(), "proof that it never ran allows another send");
    let mut clean = fresh();
    clean.requests.insert(1, request(1, sent(Some(Outcome::Reset))));
    clean.take(sec(10), &[send_by(1, Some(known))]);
    assert!(clean.seen.broken.is_empty(), "{:?}", clean.seen.broken);
}

#[test]
fn the_checker_finds_breaches_of_order_and_of_closing() {
    let (sec, ms) = (Duration::from_secs, Duration::from_millis);
    // The first of a key ended one way or another at 10 s; may the second be sent `after` that?
    let out_of_turn = |first: Option<Outcome>, over: bool, after: Duration, class: usize, key: u64| {
        let mut c = Checker::new(further());
        c.hosts.extend((0..HOSTS).map(|i| (i, host(i, None))));
        let entry = host(0, None);
        let sent = vec![Sent { host: 0, entry, at: sec(9), outcome: first, ended: sec(10) }];
        c.requests.insert(1, Open { class: 0, key: Some(7), give_up: sec(11), sent, over, answered: 0 });
        let second = Open { class, key: Some(key), give_up: sec(11), sent: vec![], over: false, answered: 0 };
        c.requests.insert(2, second);
        let (request, host, until) = (RequestId(2), EndpointId(1), sec(11));
        c.take(sec(10) + after, &[Action::Send { request, endpoint: host, deadline: until, write_by: None }]);
        c.seen.broken.contains("sent out of turn")
    };
    assert!(out_of_turn(None, false, ms(5), 0, 7), "the first is still out");
    assert!(out_of_turn(None, true, ms(5), 2, 7), "it is over, but its copy is still out");
    assert!(out_of_turn(Some(Outcome::TimedOut), true, ms(49), 0, 7), "its key rests");
    assert!(!out_of_turn(Some(Outcome::TimedOut), true, ms(50), 0, 7), "its key has rested");
    assert!(!out_of_turn(Some(Outcome::Served), true, ms(0), 0, 7), "served: no rest");
    assert!(!out_of_turn(None, false, ms(5), 0, 8), "another key");
    assert!(!out_of_turn(None, false, ms(5), 1, 7), "a class that takes no turns");

    let mut c = Checker::new(further());
    c.learn(sec(10), &Endpoint { state: EndpointState::Draining, ..host(3, None) });
    c.look(sec(10) + ms(400));
    assert!(c.seen.broken.is_empty(), "there is time yet");
    c.take(sec(10) + ms(400), &[Action::CloseIdleConnections { endpoint: EndpointId(3) }]);
    c.look(sec(12));
    assert!(c.seen.broken.is_empty(), "closed");
    c.used(sec(12), 3);
    c.look(sec(12) + ms(401));
    assert!(c.seen.broken.contains("left connections to a draining host open"));
}

/// Guards against a queue on one hot key that costs more per event the longer it is.
#[test]
fn a_hot_key_is_served_in_order_and_its_waiting_requests_end_in_time() {
    let mut b = Balancer::new(Settings { gateway_count: 1, ..further() }, 1);
    let mut actions = Vec::new();
    let at = Duration::from_millis;
    b.handle(
        at(0),
        Event::EndpointList { is_snapshot: true, endpoints: &[host(0, None), host(2, None)] },
        &mut actions,
    );
    actions.clear();
    for id in 1..=4000 {
        let request = Request { key: Some(9), ..Request::new(RequestId(id), 0, at(1000)) };
        b.handle(at(1), Event::Request(request), &mut actions);
    }
    let sends = |actions: &[Action]| -> Vec<u64> {
        let id = |a: &Action| if let Action::Send { request, .. } = a { Some(request.0) } else { None };
        actions.iter().filter_map(id).collect()
    };
    assert_eq!(sends(&actions), [1]);
    let outcome = |request, outcome, over| {
        let (request, latency) = (RequestId(request), at(9));
        Event::AttemptEnded { request, attempt: 0, latency, outcome, request_ended: over }
    };
    actions.clear();
    b.handle(at(10), outcome(1, Outcome::Served, true), &mut actions);
    assert_eq!(sends(&actions), [2], "served: the next at once");
    actions.clear();
    b.handle(at(15), Event::ClientDisconnected { request: RequestId(2) }, &mut actions);
    assert_eq!(actions, [Action::Cancel { request: RequestId(2), attempt: 0 }]);
    actions.clear();
    b.handle(at(20), outcome(2, Outcome::Cancelled, true), &mut actions);
    let rest = Action::SetTimer { after: at(50), token: 3 };
    assert_eq!(actions, [rest], "called off: the key rests");
    actions.clear();
    b.handle(at(70), Event::Timer { token: 3 }, &mut actions);
    assert_eq!(sends(&actions), [3]);
    // No turn came for the others within their aim: refused one by one as their timers come, none sent.
    actions.clear();
    (4..=4000).for_each(|token| b.handle(at(310), Event::Timer { token }, &mut actions));
    assert_eq!(actions.len(), 3997);
    assert!(actions.iter().all(|a| matches!(a, Action::Reject { .. })));
}

/// Guards against many gateways' first sends meeting at a host just started.
#[test]
fn a_cold_host_gets_its_share_only_and_later_more() {
    let (mut early, mut late, mut warm) = (0, 0, 0);
    for seed in 0..10 {
        let mut play = Play::new(Settings { gateway_count: 4, ..settings() }, seed);
        let run = |play: &mut Play, ticks| {
            let before = play.check.seen.cold_sends;
            let all = play.check.seen.sends;
            for _ in 0..ticks {
                play.tick();
                play.request(0);
            }
            (play.check.seen.cold_sends - before, play.check.seen.sends - all)
        };
        run(&mut play, 1000);
        let started = Some(play.now);
        play.news(false, &[host(3, started)]);
        let ticks_per_s = 200;
        early += run(&mut play, 2 * ticks_per_s).0;
        run(&mut play, (COLD_S as u32 - 5) * ticks_per_s);
        let (cold, all) = run(&mut play, 2 * ticks_per_s);
        (late, warm) = (late + cold, warm + all / u64::from(HOSTS));
    }
    assert!(early > 0, "it is used at all");
    assert!(early * 3 < warm, "fresh: {early} sends where a warm host gets {warm}");
    assert!(late > early, "nearly warm: {late}, fresh: {early}");
}

#[test]
fn all_hosts_cold_at_once_are_not_flooded() {
    let mut play = Play::new(settings(), 3);
    for _ in 0..600 {
        play.tick();
        play.request(0);
    }
    let list: Vec<Endpoint> = (0..HOSTS).map(|i| host(i, Some(play.now))).collect();
    play.news(true, &list);
    let before = play.check.seen.sends;
    for _ in 0..200 {
        play.tick();
        play.request(0);
    }
    let sent = play.check.seen.sends - before;
    assert!(sent < 70, "{sent} of 200 requests went to a fleet that can do 0.15 of its work");
    assert!(play.check.requests.values().filter(|r| r.over).count() > 600);
}

#[test]
fn a_host_missing_from_a_full_list_is_gone_and_one_back_with_a_new_start_is_cold() {
    let mut play = Play::new(settings(), 9);
    let list: Vec<Endpoint> = (1..HOSTS).map(|i| host(i, None)).collect();
    play.news(true, &list);
    for _ in 0..200 {
        play.tick();
        play.request(0);
    }
    let to_0 = |a: &(Duration, Action)| matches!(a.1, Action::Send { endpoint: EndpointId(0), .. });
    assert!(!play.check.seen.log.iter().any(to_0));
    assert!(play.check.seen.broken.is_empty(), "{:?}", play.check.seen.broken);
}

#[test]
fn a_request_held_with_no_host_ready_is_answered_in_time() {
    let mut play = Play::new(settings(), 4);
    play.news(true, &[]);
    for class in 0..6 {
        play.request(class);
    }
    for _ in 0..400 {
        play.tick();
    }
    assert!(play.check.seen.broken.is_empty(), "{:?}", play.check.seen.broken);
    assert_eq!(play.check.seen.refused, 6);
    assert_eq!(play.check.seen.sends, 0);
}

#[test]
fn the_same_events_give_the_same_actions_alone_and_beside_others() {
    let mut alone = Play::new(settings(), 21);
    alone.day(800);
    let (mut a, mut b) = (Play::new(settings(), 21), Play::new(settings(), 22));
    for _ in 0..8 {
        b.day(20);
    }
    a.day(800);
    assert_eq!(alone.check.seen.log, a.check.seen.log);
    assert_ne!(a.check.seen.log, b.check.seen.log);
}
