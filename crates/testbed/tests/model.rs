//! Tests of the endpoint model in virtual time: against queueing theory, and at the limits of its properties.

use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use weldworks_balancer::KeyScope;
use weldworks_testbed::model::{
    Answer, ChokeSpec, EndpointModel, EndpointSpec, Output, PauseSpec, RejectionReason, RepeatCache,
    RepeatCaches, SlowStartBudget, State, WarmBy, Work,
};
use weldworks_testbed::random_variates::{Purpose, RandomStreams};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const NEVER: Duration = Duration::from_secs(1_000_000);

fn work(request: u64, seconds: f64) -> Work {
    Work { request, seconds, subject: None, keyed: None, until: NEVER }
}

fn endpoint(spec: EndpointSpec) -> EndpointModel {
    EndpointModel::new(0, spec, RandomStreams::new(7), RepeatCaches::default(), Duration::ZERO)
}

/// Advances the endpoint step by step and returns its outputs, each with its time.
fn run_until(endpoint: &mut EndpointModel, until: Duration) -> Vec<(Duration, Output)> {
    let mut out = Vec::new();
    while let Some(next) = endpoint.next().filter(|next| *next <= until) {
        endpoint.advance(next);
        out.extend(endpoint.outputs().map(|o| (next, o)));
    }
    endpoint.advance(until);
    out.extend(endpoint.outputs().map(|o| (until, o)));
    out
}

/// The answers to attempt `of`, each with its time.
fn answers(out: &[(Duration, Output)], of: u64) -> Vec<(Duration, Answer)> {
    let answer = |(at, output): &(Duration, Output)| match output {
        Output::Answered { attempt, answer, .. } if *attempt == of => Some((*at, *answer)),
        _ => None,
    };
    out.iter().filter_map(answer).collect()
}

/// The mean wait of M/M/c by Erlang's formula, in mean service times.
fn erlang_wait(servers: u32, load: f64) -> f64 {
    let (cores, offered_load) = (f64::from(servers), f64::from(servers) * load);
    let mut blocked = 1.0;
    for n in 1..=servers {
        blocked = offered_load * blocked / (f64::from(n) + offered_load * blocked);
    }
    let waits = blocked / (1.0 - load * (1.0 - blocked));
    waits / (cores * (1.0 - load))
}

/// With as many slots as cores and exponential work, the model is M/M/c.
#[test]
fn mean_wait_agrees_with_queueing_theory() {
    for (servers, load, requests) in [(2, 0.5, 200_000), (2, 0.8, 400_000), (4, 0.7, 300_000)] {
        let queue = 1_000_000;
        let mut endpoint =
            endpoint(EndpointSpec { cores: servers, slots: servers, queue, ..EndpointSpec::default() });
        let mut draws = RandomStreams::new(11).stream(Purpose::Arrivals, u64::from(servers));
        let (service, mut at) = (0.05, 0.0);
        let (mut came, mut waited, mut began) = (HashMap::new(), 0.0, 0u32);
        let mut record = |out: Vec<(Duration, Output)>, came: &mut HashMap<u64, Duration>| {
            for (at, output) in out {
                if let Output::Began { attempt } = output {
                    let wait =
                        at - came.remove(&attempt).expect("an attempt began before its request arrived");
                    (waited, began) = (waited + wait.as_secs_f64(), began + 1);
                }
            }
        };
        for request in 0..requests {
            at += draws.exponential() * service / (f64::from(servers) * load);
            let now = Duration::from_secs_f64(at);
            record(run_until(&mut endpoint, now), &mut came);
            assert!(endpoint.connect(now, request));
            came.insert(request, now);
            endpoint.request(now, request, request, work(request, service * draws.exponential()));
            record(endpoint.outputs().map(|output| (now, output)).collect(), &mut came);
            // Only the processing of work is tested: each connection ends some time after its answer, so that none runs short.
            let done = request.saturating_sub(500);
            if request >= 500 && !came.contains_key(&done) {
                endpoint.disconnect(now, done);
            }
        }
        let (mean, theory) = (waited / f64::from(began) / service, erlang_wait(servers, load));
        let error = (mean / theory - 1.0).abs();
        assert!(error < 0.05, "{servers} cores at load {load}: mean wait {mean:.4}, by theory {theory:.4}");
    }
}

#[test]
fn a_budget_is_overspent_exactly_above_its_limit() {
    let mut budget = SlowStartBudget::new(2.5, 2.0, 0.1);
    // With a capacity of 1 the budget is 5 s of work within 2 s.
    for n in 0..50 {
        assert!(!budget.record_and_check(f64::from(n) * 0.03, 0.1, 1.0), "after {n}");
    }
    assert!(budget.record_and_check(1.6, 0.001, 1.0));
    // Work that has left the window no longer counts.
    let mut budget = SlowStartBudget::new(2.5, 2.0, 0.1);
    for n in 0..1000 {
        assert!(
            !budget.record_and_check(f64::from(n) * 0.1001, 0.2475, 1.0),
            "a steady 2.47 times the capacity, after {n} steps"
        );
    }
    assert!(
        (1..100).any(|n| budget.record_and_check(101.0 + f64::from(n) * 0.1001, 0.2525, 1.0)),
        "a steady 2.52 times the capacity"
    );
}

/// A cold endpoint with one core, which starts at a tenth of its speed at 2 s and is warm 10 s later.
fn cold() -> EndpointModel {
    let spec = EndpointSpec {
        cores: 1,
        slots: 100,
        cold_from: 0.1,
        cold_for: ms(10_000),
        fall_at: 2.5,
        fall_over: ms(2000),
        ..EndpointSpec::default()
    };
    let mut endpoint = endpoint(spec);
    endpoint.kill(ms(1000));
    assert!(!endpoint.connect(ms(1500), 1), "an endpoint without a process accepted a connection");
    endpoint.start_cold(ms(2000));
    endpoint
}

#[test]
fn a_cold_endpoint_falls_over_above_its_budget_and_stays_down() {
    // At its start the endpoint does 0.1 s of work a second, so that its limit is 0.5 s of work within 2 s.
    for (each, falls) in [(0.049, false), (0.051, true)] {
        let mut endpoint = cold();
        for n in 0..10 {
            if endpoint.connect(ms(2000), n) {
                endpoint.request(ms(2000), n, n, work(n, each));
            }
        }
        let fell = endpoint.outputs().any(|output| output == Output::Crashed);
        assert_eq!((fell, endpoint.state() == State::Crashed), (falls, falls), "ten requests of {each} s");
        if falls {
            endpoint.start_cold(ms(60_000));
            assert_eq!(endpoint.state(), State::Crashed, "an endpoint that fell over started again");
            assert!(!endpoint.connect(ms(60_001), 99));
        }
    }
}

#[test]
fn a_warm_endpoint_bears_a_load_that_pushes_a_cold_one_over() {
    let mut endpoint = cold();
    run_until(&mut endpoint, ms(12_001));
    assert!((endpoint.warm_up_fraction() - 1.0).abs() < 1e-9);
    for n in 0..50 {
        assert!(endpoint.connect(ms(12_001), n));
        endpoint.request(ms(12_001), n, n, work(n, 1.0));
    }
    assert_eq!(endpoint.state(), State::Up);
}

#[test]
fn an_endpoint_warms_linearly_with_time_and_no_slower_with_work() {
    let mut by_time = cold();
    run_until(&mut by_time, ms(7000));
    assert!((by_time.warm_up_fraction() - 0.55).abs() < 1e-6, "{}", by_time.warm_up_fraction());
    let mut spec = EndpointSpec { cold_from: 0.1, cold_for: ms(10_000), ..EndpointSpec::default() };
    spec.warm_by = WarmBy::Work;
    let mut by_work = endpoint(spec);
    by_work.start_cold(Duration::ZERO);
    for n in 0..4u64 {
        let at = ms(1500 * n);
        run_until(&mut by_work, at);
        assert!(by_work.connect(at, n));
        by_work.request(at, n, n, work(n, 0.4));
    }
    run_until(&mut by_work, ms(6000));
    assert!(
        by_work.warm_up_fraction() >= 0.1 + 0.9 * 0.6 - 1e-9,
        "warming with work was slower than with time"
    );
    assert_eq!(by_work.state(), State::Up);
}

#[test]
fn a_repeat_is_dropped_only_within_the_window_and_the_key_scope() {
    let window = ms(1200);
    let mut memory = RepeatCache::default();
    use weldworks_testbed::model::RepeatCheck::{Dropped, Processed};
    assert_eq!(memory.check(ms(900), 5, window), Processed);
    assert_eq!(
        memory.check(ms(950), 5, window),
        Processed,
        "a repeat was dropped before the request was processed"
    );
    memory.record_completed(ms(1000), 5);
    assert_eq!(memory.check(ms(2200), 5, window), Dropped, "at the end of the window");
    // The window begins when the request is processed; a repeat does not extend it.
    assert_eq!(memory.check(ms(2201), 5, window), Processed, "just after the window");
    assert_eq!(memory.check(ms(2202), 6, window), Processed, "with another key");

    // Two endpoints in one rack, and a third in another rack.
    let (rack, all) = (RepeatCaches::default(), RepeatCaches::default());
    let other = RepeatCaches { all: rack.all.clone(), ..all };
    let of = |caches: &RepeatCaches| {
        EndpointModel::new(0, EndpointSpec::default(), RandomStreams::new(1), caches.clone(), ms(0))
    };
    let mut endpoints = [of(&rack), of(&rack), of(&other)];
    let mut is_dropped = |n: usize, at: Duration, key: u64, group: KeyScope| {
        let (id, endpoint) = (at.as_millis() as u64 + key * 1_000_000, &mut endpoints[n]);
        assert!(endpoint.connect(at, id));
        endpoint.request(at, id, id, Work { keyed: Some((key, group, window)), ..work(id, 0.01) });
        let out = run_until(endpoint, at + ms(50));
        answers(&out, id)[0].1 == Answer::Served { dropped: true }
    };
    assert!(!is_dropped(0, ms(0), 1, KeyScope::Cell), "the first request was dropped");
    assert!(is_dropped(1, ms(100), 1, KeyScope::Cell), "a repeat in the same rack was processed again");
    assert!(!is_dropped(2, ms(200), 1, KeyScope::Cell), "a request in another rack was dropped");
    assert!(!is_dropped(0, ms(300), 2, KeyScope::All));
    assert!(
        is_dropped(2, ms(400), 2, KeyScope::All),
        "a repeat with a key for all endpoints was processed again"
    );
}

/// A request that was cancelled halfway, such as a payment, has had no effect, so that its repeat must be processed in full.
#[test]
fn a_repeat_of_a_cancelled_or_failed_request_is_processed_in_full() {
    let keyed = |n| Work { keyed: Some((9, KeyScope::All, ms(1200))), ..work(n, 0.1) };
    let mut endpoint = endpoint(EndpointSpec { cores: 1, ..EndpointSpec::default() });
    assert!(endpoint.connect(ms(0), 0) && endpoint.connect(ms(0), 1) && endpoint.connect(ms(0), 2));
    endpoint.request(ms(0), 0, 0, keyed(0));
    run_until(&mut endpoint, ms(60));
    endpoint.disconnect(ms(60), 0);
    endpoint.request(ms(61), 1, 1, keyed(0));
    let out = run_until(&mut endpoint, ms(400));
    assert_eq!(answers(&out, 1), [(ms(161), Answer::Served { dropped: false })]);
    endpoint.request(ms(500), 2, 2, keyed(0));
    let out = run_until(&mut endpoint, ms(700));
    assert!(
        matches!(answers(&out, 2)[..], [(_, Answer::Served { dropped: true })]),
        "a repeat of a processed request was not dropped"
    );

    // A request that ends with an error has had no effect either.
    let mut failing = EndpointModel::new(
        0,
        EndpointSpec { error_rate: 1.0, ..EndpointSpec::default() },
        RandomStreams::new(7),
        RepeatCaches::default(),
        Duration::ZERO,
    );
    assert!(failing.connect(ms(0), 1) && failing.connect(ms(0), 2));
    failing.request(ms(0), 1, 1, keyed(1));
    failing.request(ms(300), 2, 2, keyed(1));
    let out = run_until(&mut failing, ms(600));
    assert!(matches!(answers(&out, 2)[..], [(_, Answer::Error)]), "{out:?}");
}

#[test]
fn a_queued_request_that_is_cancelled_is_not_processed() {
    let mut endpoint = endpoint(EndpointSpec { cores: 1, slots: 1, ..EndpointSpec::default() });
    for n in 0..2 {
        assert!(endpoint.connect(ms(0), n));
        endpoint.request(ms(0), n, n, Work { keyed: Some((9, KeyScope::All, ms(1000))), ..work(n, 0.1) });
    }
    endpoint.disconnect(ms(10), 1);
    let out = run_until(&mut endpoint, ms(500));
    assert_eq!(answers(&out, 0), [(ms(100), Answer::Served { dropped: false })]);
    assert!(answers(&out, 1).is_empty());
    assert_eq!(endpoint.in_flight(), 0);
}

#[test]
fn cancelled_work_stops_only_on_endpoints_that_support_cancelling() {
    for (cancels, ends) in [(true, ms(100)), (false, ms(190))] {
        let mut endpoint = endpoint(EndpointSpec { cores: 1, slots: 4, cancels, ..EndpointSpec::default() });
        assert!(endpoint.connect(ms(0), 1) && endpoint.connect(ms(0), 2));
        endpoint.request(ms(0), 1, 1, work(1, 0.095));
        endpoint.request(ms(0), 2, 2, work(2, 0.095));
        run_until(&mut endpoint, ms(10));
        endpoint.disconnect(ms(10), 1);
        let out = run_until(&mut endpoint, ms(1000));
        assert_eq!(answers(&out, 2)[0].0, ends, "cancels: {cancels}");
    }
}

#[test]
fn requests_are_rejected_when_the_queue_is_full_or_their_deadline_has_passed() {
    let mut endpoint = endpoint(EndpointSpec { cores: 1, slots: 1, queue: 1, ..EndpointSpec::default() });
    for n in 0..3 {
        assert!(endpoint.connect(ms(0), n));
        let until = if n == 1 { ms(50) } else { NEVER };
        endpoint.request(ms(0), n, n, Work { until, ..work(n, 0.1) });
    }
    let out = run_until(&mut endpoint, ms(1000));
    assert_eq!(answers(&out, 0), [(ms(100), Answer::Served { dropped: false })]);
    assert_eq!(answers(&out, 1), [(ms(100), Answer::Rejected(RejectionReason::Expired))]);
    let full: Vec<_> = answers(&out, 2).into_iter().map(|(_, answer)| answer).collect();
    assert_eq!(full, [Answer::Rejected(RejectionReason::QueueFull)]);
}

#[test]
fn a_draining_endpoint_finishes_its_requests_and_rejects_new_ones() {
    let mut endpoint = endpoint(EndpointSpec::default());
    assert!(endpoint.connect(ms(0), 1) && endpoint.connect(ms(0), 2));
    endpoint.request(ms(0), 1, 1, work(1, 0.1));
    endpoint.drain(ms(10), true);
    endpoint.request(ms(20), 2, 2, work(2, 0.1));
    let out = run_until(&mut endpoint, ms(500));
    assert_eq!(answers(&out, 1)[0].1, Answer::Served { dropped: false });
    assert_eq!(answers(&out, 2)[0].1, Answer::Rejected(RejectionReason::Draining));
    endpoint.drain(ms(600), false);
    assert_eq!(endpoint.state(), State::Up);
}

#[test]
fn the_number_of_connections_is_limited_and_idle_connections_are_closed() {
    let mut endpoint =
        endpoint(EndpointSpec { connections: 2, keep_alive: ms(1000), ..EndpointSpec::default() });
    assert!(endpoint.connect(ms(0), 1) && endpoint.connect(ms(400), 2));
    assert!(!endpoint.connect(ms(500), 3), "a connection was accepted with a full connection table");
    let out = run_until(&mut endpoint, ms(1200));
    assert_eq!(out, [(ms(1000), Output::Ended { connection: 1, attempt: None })]);
    assert!(endpoint.connect(ms(1200), 4));
}

#[test]
fn a_connection_that_was_dropped_silently_resets_the_next_request() {
    let mut endpoint = endpoint(EndpointSpec::default());
    assert!(endpoint.connect(ms(0), 1));
    endpoint.set_idle_timeout(ms(100), Some((ms(500), true)));
    assert!(
        run_until(&mut endpoint, ms(2000)).is_empty(),
        "the endpoint announced the end of the connection"
    );
    assert_eq!(endpoint.open_connections(), 0);
    endpoint.request(ms(2000), 1, 7, work(7, 0.01));
    let out: Vec<_> = endpoint.outputs().collect();
    assert_eq!(out, [Output::Ended { connection: 1, attempt: Some(7) }]);
}

#[test]
fn a_handshake_costs_work_and_only_the_first_request_waits_for_it() {
    let mut endpoint = endpoint(EndpointSpec { cores: 1, handshake: 0.03, ..EndpointSpec::default() });
    assert!(endpoint.connect(ms(0), 1));
    endpoint.request(ms(1), 1, 1, work(1, 0.1));
    assert_eq!(answers(&run_until(&mut endpoint, ms(500)), 1)[0].0, ms(130));
    endpoint.request(ms(500), 1, 2, work(2, 0.1));
    assert_eq!(
        answers(&run_until(&mut endpoint, ms(900)), 2)[0].0,
        ms(600),
        "the second request waited for a handshake"
    );
}

#[test]
fn a_neighbour_takes_its_share_of_the_processor_and_a_pause_takes_all() {
    let mut endpoint = endpoint(EndpointSpec { cores: 1, ..EndpointSpec::default() });
    assert!(endpoint.connect(ms(0), 1));
    endpoint.set_neighbour_share(ms(0), 0.5);
    endpoint.request(ms(0), 1, 1, work(1, 0.1));
    assert_eq!(answers(&run_until(&mut endpoint, ms(1000)), 1)[0].0, ms(200));
    endpoint.set_neighbour_share(ms(1000), 0.0);
    endpoint.request(ms(1000), 1, 2, work(2, 0.1));
    run_until(&mut endpoint, ms(1050));
    endpoint.pause(ms(1050), ms(300));
    assert_eq!(answers(&run_until(&mut endpoint, ms(3000)), 2)[0].0, ms(1400));
    let pause = PauseSpec { every: ms(500), lasts: ms(100), grows: 0.0 };
    let mut paused = EndpointModel::new(
        3,
        EndpointSpec { pause: Some(pause), ..EndpointSpec::default() },
        RandomStreams::new(1),
        RepeatCaches::default(),
        ms(0),
    );
    assert!(paused.connect(ms(0), 1));
    paused.request(ms(0), 1, 1, work(1, 100.0));
    let at = answers(&run_until(&mut paused, ms(600_000)), 1)[0].0.as_secs_f64();
    assert!((112.0..128.0).contains(&at), "100 s of work with pauses for about a fifth of that took {at} s");
}

#[test]
fn a_recently_seen_subject_costs_less_work() {
    let spec =
        EndpointSpec { cores: 1, key_gain: 0.5, key_for: ms(1000), key_places: 2, ..EndpointSpec::default() };
    let mut endpoint = endpoint(spec);
    assert!(endpoint.connect(ms(0), 1));
    let mut took = |at: u64, key: u64| {
        endpoint.request(ms(at), 1, at, Work { subject: Some(key), ..work(at, 0.1) });
        (answers(&run_until(&mut endpoint, ms(at + 200)), at)[0].0 - ms(at)).as_millis()
    };
    assert_eq!(took(0, 1), 100);
    assert_eq!(took(500, 1), 50);
    assert_eq!(took(2000, 1), 100, "a subject was still cached after its time");
    assert_eq!((took(2300, 2), took(2600, 3)), (100, 100));
    assert_eq!(took(2900, 1), 100, "a subject was still cached although the cache was full of others");
}

#[test]
fn an_endpoint_chokes_after_too_many_requests_in_flight_and_recovers_after_a_rest() {
    let choke =
        ChokeSpec { at: 4.0, over: ms(1000), slower: 3.0, below: 0.3, rest: ms(1000), most: ms(20_000) };
    let mut endpoint =
        endpoint(EndpointSpec { cores: 1, slots: 100, choke: Some(choke), ..EndpointSpec::default() });
    for n in 0..8 {
        assert!(endpoint.connect(ms(0), n));
        endpoint.request(ms(0), n, n, work(n, 0.5));
    }
    run_until(&mut endpoint, ms(900));
    assert!(!endpoint.is_choked(), "the endpoint choked before 1 s");
    run_until(&mut endpoint, ms(1200));
    assert!(endpoint.is_choked(), "eight requests on one core for a second did not choke the endpoint");
    // The work is 4 s in all: about 1 s of it is done at full speed, and the remaining work takes three times as long.
    let out = run_until(&mut endpoint, ms(30_000));
    let last = (0..8).map(|n| answers(&out, n)[0].0).max().expect("no request was answered");
    assert!((ms(9000)..ms(11_500)).contains(&last), "{last:?}");
    assert!(!endpoint.is_choked(), "the endpoint did not recover after its rest");
}

#[test]
fn load_reports_change_only_at_their_period_and_with_their_delay() {
    let mut spec = EndpointSpec { cores: 4, ..EndpointSpec::default() };
    (spec.report.period, spec.report.late) = (ms(500), ms(200));
    let mut endpoint = endpoint(spec);
    for n in 0..5 {
        assert!(endpoint.connect(ms(0), n));
        endpoint.request(ms(0), n, n, work(n, 100.0));
    }
    let mut seen = Vec::new();
    for at in (50..2500).step_by(50) {
        run_until(&mut endpoint, ms(at));
        let id = 1000 + at;
        assert!(endpoint.connect(ms(at), id));
        endpoint.set_failure_share(ms(at), 1.0);
        endpoint.request(ms(at), id, id, work(id, 0.001));
        let report = endpoint.outputs().find_map(|o| match o {
            Output::Answered { report, .. } => Some(report.inflight),
            _ => None,
        });
        seen.push(report.expect("a request that fails at once got no answer"));
    }
    assert_eq!(seen[0], 0.0, "the first answer has a load report with requests in flight");
    assert!(seen.ends_with(&[5.0]), "{seen:?}");
    let turns = seen.windows(2).filter(|w| w[0] != w[1]).count();
    assert_eq!(turns, 1, "a load report changed between two refreshes: {seen:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Connect,
    Ask(usize, u32),
    Leave(usize),
    Wait(u64),
    Kill,
    CutOff,
    Start,
    Drain(bool),
    Neighbour(f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Connect),
        8 => (0usize..30, 1u32..400).prop_map(|(c, w)| Step::Ask(c, w)),
        2 => (0usize..30).prop_map(Step::Leave),
        6 => (0u64..800).prop_map(Step::Wait),
        1 => Just(Step::Kill),
        1 => Just(Step::CutOff),
        2 => Just(Step::Start),
        1 => any::<bool>().prop_map(Step::Drain),
        1 => (0.0..0.9).prop_map(Step::Neighbour),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Whatever happens to an endpoint, each attempt ends at most once, no attempt is left at the end, and the endpoint never has
    /// more requests in flight than its slots, its queue and its connections allow.
    #[test]
    fn every_attempt_ends_once(steps in proptest::collection::vec(step(), 1..120), seed in any::<u64>()) {
        let choke = Some(ChokeSpec { at: 2.0, over: ms(500), slower: 2.0, below: 0.3, rest: ms(500), most: ms(5000) });
        let pause = Some(PauseSpec { every: ms(700), lasts: ms(40), grows: 1.0 });
        let spec = EndpointSpec { slots: 3, queue: 2, connections: 12, handshake: 0.002, choke, pause,
            keep_alive: ms(900), error_rate: 0.1, ..EndpointSpec::default() };
        let mut endpoint = EndpointModel::new(1, spec, RandomStreams::new(seed), RepeatCaches::default(), Duration::ZERO);
        let (mut now, mut ids) = (Duration::ZERO, 0u64);
        let (mut open, mut out): (Vec<u64>, HashMap<u64, u64>) = (Vec::new(), HashMap::new());
        let mut ended = HashSet::new();
        for step in steps.into_iter().chain([Step::Start, Step::Wait(100_000)]) {
            match step {
                Step::Connect => {
                    ids += 1;
                    if endpoint.connect(now, ids) {
                        open.push(ids);
                    }
                }
                Step::Ask(c, w) => {
                    let free: Vec<u64> = open.iter().copied().filter(|c| !out.values().any(|o| o == c)).collect();
                    if let Some(&connection) = free.get(c % free.len().max(1)) {
                        ids += 1;
                        if endpoint.state() != State::CutOff {
                            out.insert(ids, connection); // an endpoint that is cut off never answers
                        }
                        endpoint.request(now, connection, ids, work(ids, f64::from(w) * 1e-3));
                    }
                }
                Step::Leave(c) => {
                    if !open.is_empty() {
                        let connection = open.remove(c % open.len());
                        out.retain(|_, o| *o != connection);
                        endpoint.disconnect(now, connection);
                    }
                }
                Step::Wait(t) => {
                    now += ms(t);
                    endpoint.advance(now);
                }
                Step::Kill => endpoint.kill(now),
                Step::CutOff => {
                    endpoint.cut_off(now);
                    out.clear(); // attempts in flight at the cut-off are never answered
                }
                Step::Start => endpoint.start_cold(now),
                Step::Drain(on) => endpoint.drain(now, on),
                Step::Neighbour(share) => endpoint.set_neighbour_share(now, share),
            }
            for output in endpoint.outputs() {
                let (attempt, connection) = match output {
                    Output::Answered { attempt, .. } => (Some(attempt), None),
                    Output::Ended { attempt, connection } => (attempt, Some(connection)),
                    Output::Began { .. } | Output::Crashed => (None, None),
                };
                if let Some(attempt) = attempt {
                    prop_assert!(ended.insert(attempt), "{attempt} ended twice");
                    out.remove(&attempt);
                }
                if let Some(connection) = connection {
                    open.retain(|c| *c != connection);
                }
            }
            prop_assert!(endpoint.in_flight() <= 12 && endpoint.open_connections() <= 12);
            prop_assert!((0.0..=1.0).contains(&endpoint.warm_up_fraction()));
        }
        if endpoint.state() == State::Up {
            prop_assert_eq!(endpoint.in_flight(), 0, "{:?}", out);
            prop_assert!(out.is_empty(), "{:?} got no answer", out);
        }
    }
}
