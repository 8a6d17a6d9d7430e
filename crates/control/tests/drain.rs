//! The drain and the stop: every interleaving of calls and moments to a stated depth, against what the front and clients see.

use std::time::Duration;
use weldworks_control::drain::{
    Drain, DrainSettings, IDLE_CLOSE_END, LISTENER_CLOSE_EARLIEST, LISTENER_CLOSE_LATEST, NOT_READY_NOTICE,
    SHARED_LISTENER_IDLE_CLOSE_LATEST,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    On,
    Off,
    Stop,
    Wait(u64),
}

/// Every sequence of these steps, `DEPTH` long: 6 steps at a depth of 6 are 46,656 courses a listener.
const STEPS: [Step; 6] = [Step::On, Step::Off, Step::Stop, Step::Wait(5), Step::Wait(600), Step::Wait(2300)];
const DEPTH: u32 = 6;

/// What is true of the machine at any moment, whatever came before.
fn holds(drain: &Drain, now: Duration, on: Option<Duration>, stop: Option<Duration>, shared: bool) {
    let before = drain.clone();
    assert_eq!(drain.is_ready(), on.is_none() && stop.is_none(), "ready at {now:?}");
    let rest = drain.idle_limit(now, now);
    if on.is_none() && stop.is_none() {
        assert!(!drain.sends_connection_close(now) && rest.is_none() && drain.accept_deadline(now).is_none());
        assert!(drain.answer_deadline().is_none());
    }
    if let Some(since) = on {
        assert!(now < since + NOT_READY_NOTICE || drain.sends_connection_close(now), "goodbye at {now:?}");
        // A request that comes now has the 2 s that the page leaves until nothing may be held.
        assert!(now < since + MS(2000) || rest.is_some_and(|rest| rest <= MS(200)), "{rest:?} at {now:?}");
    }
    if let Some(since) = stop {
        assert!(drain.sends_connection_close(now));
        assert_eq!(
            drain.accept_deadline(since),
            Some(if shared { since } else { since + LISTENER_CLOSE_EARLIEST })
        );
        let end = if shared { SHARED_LISTENER_IDLE_CLOSE_LATEST } else { LISTENER_CLOSE_LATEST };
        assert!(now < since + end || rest == Some(Duration::ZERO), "{rest:?} at {now:?}");
        assert!(drain.answer_deadline() > Some(since + MS(1200)));
    }
    // What has been allowed to rest for less than now is not allowed more later, unless the drain is taken back.
    if let (Some(rest), true) = (rest, now < on.unwrap_or(now) + IDLE_CLOSE_END) {
        let later = drain.idle_limit(now + MS(50), now + MS(50));
        assert!(on.is_none() && !shared || later.is_some_and(|later| later <= rest.max(MS(150))));
    }
    assert_eq!(format!("{before:?}"), format!("{drain:?}"), "asking changes nothing");
}

#[test]
fn every_course_keeps_its_promises() {
    for shared in [false, true] {
        for course in 0..STEPS.len().pow(DEPTH) {
            let (mut now, mut on, mut stop) = (MS(1000), None, None);
            let mut drain = Drain::new(DrainSettings { longest_deadline: MS(1200), shared_listener: shared });
            let mut rest = course;
            for _ in 0..DEPTH {
                match STEPS[rest % STEPS.len()] {
                    Step::On => {
                        assert_eq!(drain.start_draining(now), on.is_none(), "a second call is no news");
                        on = on.or(Some(now));
                    }
                    Step::Off => {
                        assert_eq!(drain.cancel_draining(), on.is_some());
                        on = None;
                    }
                    Step::Stop => {
                        assert_eq!(drain.begin_shutdown(now), stop.is_none());
                        stop = stop.or(Some(now));
                    }
                    Step::Wait(ms) => now += MS(ms),
                }
                rest /= STEPS.len();
                holds(&drain, now, on, stop, shared);
            }
        }
    }
}

/// The point of the shrinking rest: closes are spread over the time there is, and no moment has more than its part.
#[test]
fn closes_are_spread_and_the_longest_idle_goes_first() {
    let mut drain = Drain::new(DrainSettings { longest_deadline: MS(1200), shared_listener: false });
    drain.start_draining(MS(10_000));
    // A hundred connections, idle for 0 to 1.3 s when the closing begins.
    let idle: Vec<Duration> = (0..100).map(|n| MS(10_500 - n * 13)).collect();
    let mut closed = vec![None; idle.len()];
    for ms in (10_000..12_000).step_by(50) {
        let now = MS(ms);
        let mut at_once = 0;
        for (since, closed) in idle.iter().zip(&mut closed) {
            if closed.is_none() && drain.idle_limit(now, MS(0)).is_some_and(|rest| now - *since >= rest) {
                *closed = Some(now);
                at_once += 1;
            }
        }
        assert!(at_once <= 20, "{at_once} closes at {now:?}");
    }
    assert!(closed.iter().all(|c| c.is_some_and(|c| c <= MS(11_850))));
    assert!(closed.windows(2).all(|pair| pair[0] >= pair[1]), "the longest idle first");
}

/// A client's connection, as the listener keeps it: what rests is looked at every 25 ms, what is answered goodbye ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Held {
    Rests(Duration),
    Asked(Duration),
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Step(Step),
    /// The client of the connection that is used asks.
    Ask,
    /// It is answered.
    Answer,
}

const ACTS: [Act; 7] = [
    Act::Step(Step::On),
    Act::Step(Step::Off),
    Act::Step(Step::Stop),
    Act::Step(Step::Wait(250)),
    Act::Step(Step::Wait(2250)),
    Act::Ask,
    Act::Answer,
];

/// Every order of calls, requests, answers and closes, seven kinds to a depth of six, with one connection that is used and one that
/// rests: nothing ends that the drain has no cause to end, and 4 s after the call nothing is held that the page forbids.
#[test]
fn no_connection_is_ended_without_cause_or_held_too_long() {
    for shared in [false, true] {
        for course in 0..ACTS.len().pow(DEPTH) {
            let (mut now, mut on, mut stop) = (MS(9000), None, None);
            let mut drain = Drain::new(DrainSettings { longest_deadline: MS(1200), shared_listener: shared });
            let mut held = [Held::Rests(now), Held::Rests(now)];
            let mut rest = course;
            for _ in 0..DEPTH {
                let mut pass = MS(0);
                match ACTS[rest % ACTS.len()] {
                    Act::Step(Step::On) => {
                        drain.start_draining(now);
                        on = on.or(Some(now));
                    }
                    Act::Step(Step::Off) => {
                        drain.cancel_draining();
                        on = None;
                    }
                    Act::Step(Step::Stop) => {
                        drain.begin_shutdown(now);
                        stop = stop.or(Some(now));
                    }
                    Act::Step(Step::Wait(ms)) => pass = MS(ms),
                    Act::Ask if matches!(held[0], Held::Rests(_)) => held[0] = Held::Asked(now),
                    Act::Answer if matches!(held[0], Held::Asked(_)) => {
                        held[0] =
                            if drain.sends_connection_close(now) { Held::Closed } else { Held::Rests(now) };
                        assert!(held[0] != Held::Closed || on.is_some() || stop.is_some());
                    }
                    Act::Ask | Act::Answer => {}
                }
                rest /= ACTS.len();
                let end = now + pass;
                loop {
                    for connection in &mut held {
                        let Held::Rests(since) = *connection else { continue };
                        if drain.idle_limit(now, MS(9000)).is_some_and(|most| now - since >= most) {
                            assert!(on.is_some() || stop.is_some(), "ended at {now:?} without cause");
                            *connection = Held::Closed;
                        }
                    }
                    if on.is_some_and(|since: Duration| now >= since + MS(4000)) {
                        let late = |held: &Held| match held {
                            Held::Rests(_) => true,
                            Held::Asked(at) => *at + MS(2000) > now,
                            Held::Closed => false,
                        };
                        assert!(!held.iter().any(late), "{held:?} at {now:?}, drained since {on:?}");
                    }
                    if now >= end {
                        break;
                    }
                    now = (now + MS(25)).min(end);
                }
            }
        }
    }
}

/// A client that has a new connection does not know that it may have to send its first request again.
#[test]
fn a_new_connection_keeps_its_time_after_the_signal_and_only_then() {
    let at = Duration::from_millis;
    let mut drain = Drain::new(DrainSettings { longest_deadline: at(1200), shared_listener: false });
    assert!(!drain.awaits_first_request(at(100)));
    drain.start_draining(at(200));
    assert!(!drain.awaits_first_request(at(300)), "a drain leaves it to the rest that it allows");
    drain.begin_shutdown(at(1000));
    assert_eq!(drain.idle_limit(at(1650), at(0)), Some(Duration::ZERO), "others may not rest");
    assert!(drain.awaits_first_request(at(1650)) && drain.awaits_first_request(at(1740)));
    assert!(!drain.awaits_first_request(at(1750)), "0.7 s and the protocol's slack");
}

/// The kill comes as early as the longest deadline and 0.7 s after the signal, and a process may be held up for 0.15 s between its
/// last look at the clock and its write.
#[test]
fn the_last_answer_is_due_long_enough_before_the_kill_for_a_process_that_is_held_up() {
    for longest in [MS(50), MS(300), MS(1200), MS(3000)] {
        let mut drain = Drain::new(DrainSettings { longest_deadline: longest, shared_listener: false });
        drain.begin_shutdown(MS(1000));
        let kill = MS(1000) + longest + MS(700);
        let due = drain.answer_deadline().expect("a stop has an end");
        assert!(due + MS(150) < kill, "{longest:?}: due at {due:?}, killed at {kill:?}");
    }
}
