//! Draining and graceful shutdown of one gateway.
//!
//! A drain is requested by an operator and can be cancelled; a shutdown follows SIGTERM and is final. One state machine
//! covers both, so that a shutdown during a drain, or the reverse, needs no separate rule.
//!
//! A front balancer polls readiness and stops sending new connections shortly after the first "not ready", while
//! clients continue to use their open connections. A drain therefore has three phases: first the gateway reports not
//! ready, then its responses carry `Connection: close`, then it closes idle connections. The idle limit (the longest
//! time that a connection may be idle) shrinks steadily to zero, so that connections close one after another, beginning
//! with the connections that have been idle the longest: these are the least likely to be reused.
//!
//! All times in this module are on one monotonic clock of the caller.

use std::time::Duration;

/// Time after the start of a drain at which responses begin to carry `Connection: close`. Until then the front balancer
/// may still send new connections: it polls readiness every 0.1 s, and its propagation delay is 0.2 s.
pub const CONNECTION_CLOSE_START: Duration = Duration::from_millis(350);
/// Time after the start of a drain at which idle connections begin to be closed, the longest idle ones first.
pub const IDLE_CLOSE_START: Duration = Duration::from_millis(500);
/// Time after the start of a drain by which every idle connection is closed. A
/// request that arrives just before its connection would be closed has 2 s left
/// to be answered: 4 s after the start of the drain no request may be in flight.
pub const IDLE_CLOSE_END: Duration = Duration::from_millis(1800);
/// Idle limit of connections that arrive after [`IDLE_CLOSE_END`], from clients that bypass the front balancer.
pub const LATE_CONNECTION_IDLE_LIMIT: Duration = Duration::from_millis(150);

/// Earliest time after SIGTERM at which the listener closes. The front
/// balancer sends new connections for up to 0.4 s after SIGTERM.
pub const LISTENER_CLOSE_EARLIEST: Duration = Duration::from_millis(450);
/// Latest time after SIGTERM at which the listener closes. Requests
/// that arrive more than 0.7 s after SIGTERM need not be answered.
pub const LISTENER_CLOSE_LATEST: Duration = Duration::from_millis(650);
/// Time without a new connection after which the listener closes,
/// between [`LISTENER_CLOSE_EARLIEST`] and [`LISTENER_CLOSE_LATEST`].
pub const ACCEPT_QUIET_PERIOD: Duration = Duration::from_millis(200);
/// Time after SIGTERM until which the first request of a new connection may still
/// arrive: the 0.7 s that the shutdown protocol allows, plus a margin of 50 ms.
pub const FIRST_REQUEST_LIMIT: Duration = Duration::from_millis(750);
/// Upper bound of the longest client deadline in the time of the kill: the platform waits no longer for longer deadlines.
pub const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// Time from the longest client deadline, counted from SIGTERM, to the kill of the process.
pub const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Time before the kill of the process by which every response has been written. The process may be paused for 0.15 s
/// between reading the clock and writing a response.
pub const ANSWER_MARGIN_BEFORE_KILL: Duration = Duration::from_millis(250);
/// Shortest time after SIGTERM that idle connections stay open when another process shares the listener.
pub const SHARED_LISTENER_IDLE_CLOSE_EARLIEST: Duration = Duration::from_millis(700);
/// Longest time after SIGTERM that idle connections stay open when another process shares the listener.
pub const SHARED_LISTENER_IDLE_CLOSE_LATEST: Duration = Duration::from_millis(2000);

/// Settings of draining and shutdown.
#[derive(Clone, Copy, Debug)]
pub struct DrainSettings {
    /// Longest time that a client waits for a response.
    pub longest_deadline: Duration,
    /// Whether another process listens on the same client socket and accepts the connections that queue there.
    pub shared_listener: bool,
}

/// State machine of draining and graceful shutdown.
#[derive(Clone, Debug)]
pub struct Drain {
    settings: DrainSettings,
    draining_since: Option<Duration>,
    shutdown_since: Option<Duration>,
}

impl Drain {
    /// Creates the state of a gateway that is in service.
    pub fn new(settings: DrainSettings) -> Drain {
        Drain { settings, draining_since: None, shutdown_since: None }
    }

    /// Starts a drain and returns whether this call started it: a call during a drain does not restart the drain.
    pub fn start_draining(&mut self, now: Duration) -> bool {
        let starts = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        starts
    }

    /// Cancels the drain and returns whether a drain was in progress.
    pub fn cancel_draining(&mut self) -> bool {
        self.draining_since.take().is_some()
    }

    /// Starts the shutdown, which is final. Returns whether this call started it, and no earlier one.
    pub fn begin_shutdown(&mut self, now: Duration) -> bool {
        let starts = self.shutdown_since.is_none();
        self.shutdown_since.get_or_insert(now);
        starts
    }

    /// Replaces the longest time that a client waits for a response.
    pub fn set_longest_deadline(&mut self, longest: Duration) {
        self.settings.longest_deadline = longest;
    }

    /// Whether an operator has started a drain and not cancelled it.
    fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    /// Whether the readiness check of the front balancer succeeds.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && !self.is_shutting_down()
    }

    /// Whether responses close their connection.
    pub fn sends_connection_close(&self, now: Duration) -> bool {
        let Some(since) = self.draining_since else { return self.is_shutting_down() };
        self.is_shutting_down() || now.saturating_sub(since) >= CONNECTION_CLOSE_START
    }

    /// Time until which the listener accepts connections; `None` while no shutdown
    /// has started. `last_accepted` is the time of the last accepted connection.
    pub fn accept_deadline(&self, last_accepted: Duration) -> Option<Duration> {
        let since = self.shutdown_since?;
        if self.settings.shared_listener {
            return Some(since);
        }
        let quiet_at = last_accepted + ACCEPT_QUIET_PERIOD;
        Some(quiet_at.clamp(since + LISTENER_CLOSE_EARLIEST, since + LISTENER_CLOSE_LATEST))
    }

    /// Longest time that a connection may be idle; `None` while idle connections are not limited. `last_accepted` is
    /// the time of the last accepted connection.
    pub fn idle_limit(&self, now: Duration, last_accepted: Duration) -> Option<Duration> {
        let limits = [self.draining_idle_limit(now), self.shutdown_idle_limit(now, last_accepted)];
        limits.into_iter().flatten().min()
    }

    /// The idle limit that a drain sets: it shrinks to zero at
    /// [`IDLE_CLOSE_END`] and is [`LATE_CONNECTION_IDLE_LIMIT`] from then on.
    fn draining_idle_limit(&self, now: Duration) -> Option<Duration> {
        let since = self.draining_since?;
        if now < since + IDLE_CLOSE_START {
            return None;
        }
        let remaining = (since + IDLE_CLOSE_END).saturating_sub(now);
        Some(if remaining.is_zero() { LATE_CONNECTION_IDLE_LIMIT } else { remaining })
    }

    /// The idle limit that a shutdown sets: zero once the listener is closed. With
    /// a shared listener, clients that reconnect reach the other process, and idle
    /// connections stay open until the longest client deadline after SIGTERM.
    fn shutdown_idle_limit(&self, now: Duration, last_accepted: Duration) -> Option<Duration> {
        let since = self.shutdown_since?;
        if self.settings.shared_listener {
            let open_for = self
                .settings
                .longest_deadline
                .clamp(SHARED_LISTENER_IDLE_CLOSE_EARLIEST, SHARED_LISTENER_IDLE_CLOSE_LATEST);
            return Some((since + open_for).saturating_sub(now));
        }
        let listener_closed = self.accept_deadline(last_accepted).is_some_and(|deadline| now >= deadline);
        listener_closed.then_some(Duration::ZERO)
    }

    /// Whether a connection on which no request has arrived yet stays open regardless of [`Self::idle_limit`].
    pub fn awaits_first_request(&self, now: Duration) -> bool {
        self.shutdown_since.is_some_and(|since| now < since + FIRST_REQUEST_LIMIT)
    }

    /// Latest time at which a response may be written; `None` while no shutdown has started. A response that is written
    /// later may be lost when the process is killed.
    pub fn answer_deadline(&self) -> Option<Duration> {
        let since = self.shutdown_since?;
        let deadline_before_kill = self.settings.longest_deadline.min(MAX_DEADLINE_BEFORE_KILL);
        let kill_at = since + deadline_before_kill + KILL_AFTER_DEADLINE;
        Some(kill_at.saturating_sub(ANSWER_MARGIN_BEFORE_KILL))
    }
}
