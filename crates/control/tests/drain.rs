//! Drain and shutdown: runs every sequence of calls and waits up to a
//! fixed length, and checks what the front balancer and clients observe.

use std::time::Duration;
use weldworks_control::drain::{
    Drain, DrainSettings, CONNECTION_CLOSE_START, IDLE_CLOSE_END, LISTENER_CLOSE_EARLIEST,
    LISTENER_CLOSE_LATEST, SHARED_LISTENER_IDLE_CLOSE_LATEST,
};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Longest time that a client waits for a response.
const LONGEST_DEADLINE: Duration = ms(1200);

fn in_service(shared_listener: bool) -> Drain {
    Drain::new(DrainSettings { longest_deadline: LONGEST_DEADLINE, shared_listener })
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    StartDraining,
    CancelDraining,
    Shutdown,
    /// Advances the time by this number of milliseconds.
    Wait(u64),
}

/// The steps of a sequence. Every sequence of [`DEPTH`] steps is run: 46,656 sequences for each kind of listener.
const STEPS: [Step; 6] = [
    Step::StartDraining,
    Step::CancelDraining,
    Step::Shutdown,
    Step::Wait(5),
    Step::Wait(600),
    Step::Wait(2300),
];
/// Number of steps in a sequence.
const DEPTH: u32 = 6;

/// The sequence with the number `number` among all sequences of [`DEPTH`] steps.
fn sequence<T: Copy>(steps: &[T], number: usize) -> Vec<T> {
    let mut remaining = number;
    let mut sequence = Vec::new();
    for _ in 0..DEPTH {
        sequence.push(steps[remaining % steps.len()]);
        remaining /= steps.len();
    }
    sequence
}

/// A gateway's drain state, with the start times of the drain and the shutdown that are in effect.
struct Observed {
    drain: Drain,
    shared_listener: bool,
    now: Duration,
    draining_since: Option<Duration>,
    shutdown_since: Option<Duration>,
}

impl Observed {
    fn new(shared_listener: bool, now: Duration) -> Observed {
        let drain = in_service(shared_listener);
        Observed { drain, shared_listener, now, draining_since: None, shutdown_since: None }
    }

    fn start_draining(&mut self) {
        let has_effect = self.drain.start_draining(self.now);
        assert_eq!(has_effect, self.draining_since.is_none(), "a repeated call has no effect");
        self.draining_since.get_or_insert(self.now);
    }

    fn cancel_draining(&mut self) {
        let has_effect = self.drain.cancel_draining();
        assert_eq!(has_effect, self.draining_since.is_some());
        self.draining_since = None;
    }

    fn begin_shutdown(&mut self) {
        let has_effect = self.drain.begin_shutdown(self.now);
        assert_eq!(has_effect, self.shutdown_since.is_none());
        self.shutdown_since.get_or_insert(self.now);
    }

    fn is_ending(&self) -> bool {
        self.draining_since.is_some() || self.shutdown_since.is_some()
    }

    /// Checks the conditions that must hold at any time, after any calls.
    fn check(&self) {
        let before = format!("{:?}", self.drain);
        let idle_limit = self.drain.idle_limit(self.now, self.now);
        assert_eq!(self.drain.is_ready(), !self.is_ending(), "ready at {:?}", self.now);
        if !self.is_ending() {
            self.check_in_service(idle_limit);
        }
        if let Some(since) = self.draining_since {
            self.check_draining(since, idle_limit);
        }
        if let Some(since) = self.shutdown_since {
            self.check_shutdown(since, idle_limit);
        }
        if let Some(idle_limit) = idle_limit {
            self.check_limit_shrinks(idle_limit);
        }
        assert_eq!(before, format!("{:?}", self.drain), "a query has changed the state");
    }

    fn check_in_service(&self, idle_limit: Option<Duration>) {
        assert!(!self.drain.sends_connection_close(self.now));
        assert!(idle_limit.is_none());
        assert!(self.drain.accept_deadline(self.now).is_none());
        assert!(self.drain.answer_deadline().is_none());
    }

    fn check_draining(&self, since: Duration, idle_limit: Option<Duration>) {
        let now = self.now;
        assert!(
            now < since + CONNECTION_CLOSE_START || self.drain.sends_connection_close(now),
            "no `Connection: close` at {now:?}"
        );
        // 2 s after the start of a drain, connections must close soon: a request
        // that arrives then has 2 s until no request may be in flight any more.
        assert!(
            now < since + ms(2000) || idle_limit.is_some_and(|limit| limit <= ms(200)),
            "{idle_limit:?} at {now:?}"
        );
    }

    fn check_shutdown(&self, since: Duration, idle_limit: Option<Duration>) {
        let now = self.now;
        assert!(self.drain.sends_connection_close(now));
        let earliest = if self.shared_listener { since } else { since + LISTENER_CLOSE_EARLIEST };
        assert_eq!(self.drain.accept_deadline(since), Some(earliest));
        let latest =
            if self.shared_listener { SHARED_LISTENER_IDLE_CLOSE_LATEST } else { LISTENER_CLOSE_LATEST };
        assert!(now < since + latest || idle_limit == Some(Duration::ZERO), "{idle_limit:?} at {now:?}");
        assert!(self.drain.answer_deadline() > Some(since + LONGEST_DEADLINE));
    }

    /// The idle limit only shrinks until the drain is cancelled.
    fn check_limit_shrinks(&self, idle_limit: Duration) {
        if self.now >= self.draining_since.unwrap_or(self.now) + IDLE_CLOSE_END {
            return;
        }
        let later = self.now + ms(50);
        let later_limit = self.drain.idle_limit(later, later);
        let may_be_unlimited = self.draining_since.is_none() && !self.shared_listener;
        assert!(may_be_unlimited || later_limit.is_some_and(|limit| limit <= idle_limit.max(ms(150))));
    }
}

/// Operators start and cancel drains while a restart begins, in any order. No
/// order of these calls may leave a gateway that accepts clients and drops them.
#[test]
fn invariants_hold_after_every_sequence_of_calls() {
    for shared_listener in [false, true] {
        for number in 0..STEPS.len().pow(DEPTH) {
            let mut observed = Observed::new(shared_listener, ms(1000));
            for step in sequence(&STEPS, number) {
                match step {
                    Step::StartDraining => observed.start_draining(),
                    Step::CancelDraining => observed.cancel_draining(),
                    Step::Shutdown => observed.begin_shutdown(),
                    Step::Wait(wait_ms) => observed.now += ms(wait_ms),
                }
                observed.check();
            }
        }
    }
}

/// All idle connections closing at once would make all clients reconnect at
/// once. The shrinking idle limit spreads the closes over the time of the drain.
#[test]
fn closes_are_spread_and_the_longest_idle_connection_closes_first() {
    let mut drain = in_service(false);
    drain.start_draining(ms(10_000));
    // A hundred connections that have been idle for 0 to 1.3 s when the gateway begins to close idle connections.
    let idle_since: Vec<Duration> = (0..100).map(|index| ms(10_500 - index * 13)).collect();
    let mut closed_at = vec![None; idle_since.len()];
    for now_ms in (10_000..12_000).step_by(50) {
        let now = ms(now_ms);
        let mut closed_now = 0;
        for (since, closed_at) in idle_since.iter().zip(&mut closed_at) {
            let is_due = drain.idle_limit(now, ms(0)).is_some_and(|limit| now - *since >= limit);
            if closed_at.is_none() && is_due {
                *closed_at = Some(now);
                closed_now += 1;
            }
        }
        assert!(closed_now <= 20, "{closed_now} closes at {now:?}");
    }
    assert!(closed_at.iter().all(|closed_at| closed_at.is_some_and(|time| time <= ms(11_850))));
    assert!(
        closed_at.windows(2).all(|pair| pair[0] >= pair[1]),
        "the longest idle connection is closed first"
    );
}

/// The state of a client's connection at the listener.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    IdleSince(Duration),
    RequestSince(Duration),
    Closed,
}

/// A step of the gateway, or of the client whose connection is in use.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionStep {
    Drain(Step),
    Request,
    Response,
}

const CONNECTION_STEPS: [ConnectionStep; 7] = [
    ConnectionStep::Drain(Step::StartDraining),
    ConnectionStep::Drain(Step::CancelDraining),
    ConnectionStep::Drain(Step::Shutdown),
    ConnectionStep::Drain(Step::Wait(250)),
    ConnectionStep::Drain(Step::Wait(2250)),
    ConnectionStep::Request,
    ConnectionStep::Response,
];

/// Interval at which the listener checks for idle connections to close.
const IDLE_CHECK_INTERVAL: Duration = ms(25);

/// A gateway with two connections: one in use, one idle.
struct Listener {
    observed: Observed,
    connections: [Connection; 2],
}

impl Listener {
    fn new(shared_listener: bool) -> Listener {
        let now = ms(9000);
        Listener {
            observed: Observed::new(shared_listener, now),
            connections: [Connection::IdleSince(now); 2],
        }
    }

    /// Performs a step and returns the time that the step takes.
    fn apply(&mut self, step: ConnectionStep) -> Duration {
        match step {
            ConnectionStep::Drain(Step::StartDraining) => self.observed.start_draining(),
            ConnectionStep::Drain(Step::CancelDraining) => self.observed.cancel_draining(),
            ConnectionStep::Drain(Step::Shutdown) => self.observed.begin_shutdown(),
            ConnectionStep::Drain(Step::Wait(wait_ms)) => return ms(wait_ms),
            ConnectionStep::Request => self.request(),
            ConnectionStep::Response => self.respond(),
        }
        Duration::ZERO
    }

    fn request(&mut self) {
        if matches!(self.connections[0], Connection::IdleSince(_)) {
            self.connections[0] = Connection::RequestSince(self.observed.now);
        }
    }

    fn respond(&mut self) {
        if !matches!(self.connections[0], Connection::RequestSince(_)) {
            return;
        }
        let now = self.observed.now;
        let closes = self.observed.drain.sends_connection_close(now);
        assert!(!closes || self.observed.is_ending());
        self.connections[0] = if closes { Connection::Closed } else { Connection::IdleSince(now) };
    }

    /// Advances the time, and closes and checks connections at each [`IDLE_CHECK_INTERVAL`].
    fn advance(&mut self, duration: Duration) {
        let end = self.observed.now + duration;
        loop {
            self.close_idle_connections();
            self.check_drain_limit();
            if self.observed.now >= end {
                break;
            }
            self.observed.now = (self.observed.now + IDLE_CHECK_INTERVAL).min(end);
        }
    }

    fn close_idle_connections(&mut self) {
        let now = self.observed.now;
        for connection in &mut self.connections {
            let Connection::IdleSince(since) = *connection else { continue };
            let idle_limit = self.observed.drain.idle_limit(now, ms(9000));
            if idle_limit.is_some_and(|limit| now - since >= limit) {
                assert!(self.observed.is_ending(), "closed at {now:?} without cause");
                *connection = Connection::Closed;
            }
        }
    }

    /// 4 s after the start of a drain no connection may be idle, and no connection may have a request that arrived less
    /// than 2 s ago: such a connection should have been closed before.
    fn check_drain_limit(&self) {
        let now = self.observed.now;
        let Some(since) = self.observed.draining_since.filter(|since| now >= *since + ms(4000)) else {
            return;
        };
        let is_forbidden = |connection: &Connection| match connection {
            Connection::IdleSince(_) => true,
            Connection::RequestSince(arrived_at) => *arrived_at + ms(2000) > now,
            Connection::Closed => false,
        };
        let connections = &self.connections;
        assert!(
            !connections.iter().any(is_forbidden),
            "{connections:?} at {now:?}, draining since {since:?}"
        );
    }
}

/// Calls, requests, responses and closes happen in any order, with one connection in use and one idle. No connection is
/// closed without cause, and 4 s after the start of a drain no connection is open that should be closed.
#[test]
fn no_connection_is_closed_without_cause_or_stays_open_too_long() {
    for shared_listener in [false, true] {
        for number in 0..CONNECTION_STEPS.len().pow(DEPTH) {
            let mut listener = Listener::new(shared_listener);
            for step in sequence(&CONNECTION_STEPS, number) {
                let duration = listener.apply(step);
                listener.advance(duration);
            }
        }
    }
}

/// A client connects just before the listener closes. If its connection was closed before its first request, the client
/// would not know that it may send the request again.
#[test]
fn a_new_connection_stays_open_for_its_first_request_shortly_after_sigterm() {
    let mut drain = in_service(false);
    assert!(!drain.awaits_first_request(ms(100)));
    drain.start_draining(ms(200));
    assert!(!drain.awaits_first_request(ms(300)), "a drain without a shutdown does not delay the close");
    drain.begin_shutdown(ms(1000));
    assert_eq!(drain.idle_limit(ms(1650), ms(0)), Some(Duration::ZERO), "other connections may not be idle");
    assert!(drain.awaits_first_request(ms(1650)) && drain.awaits_first_request(ms(1740)));
    assert!(
        !drain.awaits_first_request(ms(1750)),
        "first requests may arrive for 0.7 s and the protocol's slack of 50 ms"
    );
}

/// The process is killed 0.7 s after the longest deadline, and may be paused for 0.15 s between reading the clock and
/// writing a response. A response that is due later than 0.15 s before the kill could be lost.
#[test]
fn responses_are_due_early_enough_before_the_kill_for_a_paused_process() {
    for longest_deadline in [ms(50), ms(300), ms(1200), ms(3000)] {
        let mut drain = Drain::new(DrainSettings { longest_deadline, shared_listener: false });
        drain.begin_shutdown(ms(1000));
        let kill_at = ms(1000) + longest_deadline + ms(700);
        let due = drain.answer_deadline().expect("a shutdown has an answer deadline");
        assert!(due + ms(150) < kill_at, "{longest_deadline:?}: due at {due:?}, killed at {kill_at:?}");
    }
}
