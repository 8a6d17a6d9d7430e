//! How a gateway leaves service: for a while, at its operators' call, or for good. One machine for both, so that a drain during
//! a stop, or a stop during a drain, needs no rule of its own.
//!
//! The front asks whether the gateway is ready, and stops sending new connections shortly after a no; clients go on using
//! those that they have. So three things follow one another: it is not ready; answers say goodbye; what rests is closed. The
//! longest rest that is allowed shrinks steadily to nothing, so that connections end one after another, the longest idle
//! first: those are the least likely to be used in the moment of their close.

use std::time::Duration;

/// New connections still come for so long after the first no, with the front's asking and its notice (0.1 and 0.2 s) within it.
pub const NOT_READY_NOTICE: Duration = Duration::from_millis(350);
/// From here on resting connections are closed, the longest idle first ...
pub const IDLE_CLOSE_START: Duration = Duration::from_millis(500);
/// ... and by then all are. A request that has come just before then has two seconds left to be answered, before nothing may
/// be held any more, 4 s after the call.
pub const IDLE_CLOSE_END: Duration = Duration::from_millis(1800);
/// What comes later may rest for so long: somebody who does not ask the front.
pub const LATE_CONNECTION_IDLE_LIMIT: Duration = Duration::from_millis(150);

/// After SIGTERM new connections come for 0.4 s at most, and what comes later than 0.7 s need not be answered: the listener
/// closes between these two times, as soon as no connection has come for [`QUIET`].
pub const LISTENER_CLOSE_WINDOW: (Duration, Duration) =
    (Duration::from_millis(450), Duration::from_millis(650));
/// See [`LISTEN_ON`].
pub const ACCEPT_QUIET_PERIOD: Duration = Duration::from_millis(200);
/// A request that comes later than this after SIGTERM need not be answered, with the protocol's slack; until then a new connection
/// may still bring its first one.
pub const FIRST_REQUEST_LIMIT: Duration = Duration::from_millis(750);
/// The process is killed so long after the longest deadline; [`AHEAD`] of that every answer has left.
pub const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// See [`KILLED`]: a process may be held up for 0.15 s between its last look at the clock and its write, and a busy machine is late.
pub const ANSWER_MARGIN_BEFORE_KILL: Duration = Duration::from_millis(250);
/// Whose listener another process holds too need not close it in haste: resting connections have until the longest deadline,
/// held to this.
pub const SHARED_LISTENER_CLOSE_WINDOW: (Duration, Duration) =
    (Duration::from_millis(700), Duration::from_millis(2000));

/// What a stop has to know of the process.
#[derive(Clone, Copy, Debug)]
pub struct DrainSettings {
    /// The longest time that a client waits for an answer.
    pub longest_deadline: Duration,
    /// Another process listens on the clients' socket too: what waits there is its to take.
    pub shared_listener: bool,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Drain {
    terms: DrainSettings,
    drained: Option<Duration>,
    stopping: Option<Duration>,
}

impl Drain {
    /// In service.
    pub fn new(terms: DrainSettings) -> Drain {
        Drain { terms, drained: None, stopping: None }
    }

    /// The operators' call. Whether it changed anything: a second call neither begins the drain anew nor ends it twice.
    pub fn set_draining(&mut self, now: Duration, on: bool) -> bool {
        let changes = on != self.drained.is_some();
        if changes {
            self.drained = on.then_some(now);
        }
        changes
    }

    /// The process is told to end; there is no way back. Whether this was news.
    pub fn begin_shutdown(&mut self, now: Duration) -> bool {
        let news = self.stopping.is_none();
        self.stopping.get_or_insert(now);
        news
    }

    /// The longest time that a client waits is another now.
    pub fn set_longest_deadline(&mut self, longest: Duration) {
        self.terms.longest_deadline = longest;
    }

    /// Whether it has been called off duty and not back.
    pub fn is_draining(&self) -> bool {
        self.drained.is_some()
    }

    /// Whether the process is on its way out.
    pub fn is_shutting_down(&self) -> bool {
        self.stopping.is_some()
    }

    /// Whether the front may be told yes.
    pub fn is_ready(&self) -> bool {
        self.drained.is_none() && self.stopping.is_none()
    }

    /// Whether answers end their connections.
    pub fn sends_connection_close(&self, now: Duration) -> bool {
        self.stopping.is_some()
            || self.drained.is_some_and(|since| now.saturating_sub(since) >= NOT_READY_NOTICE)
    }

    /// Until when connections are accepted, where that has an end. `accepted` is when the last one was.
    pub fn accept_deadline(&self, accepted: Duration) -> Option<Duration> {
        let since = self.stopping?;
        if self.terms.shared_listener {
            return Some(since);
        }
        Some(
            (accepted + ACCEPT_QUIET_PERIOD)
                .clamp(since + LISTENER_CLOSE_WINDOW.0, since + LISTENER_CLOSE_WINDOW.1),
        )
    }

    /// For how long a connection may rest, where that has a limit now. `accepted` as in [`Self::accepts_until`].
    pub fn idle_limit(&self, now: Duration, accepted: Duration) -> Option<Duration> {
        let drained = self.drained.and_then(|since| {
            let end = (since + IDLE_CLOSE_END).saturating_sub(now);
            (now >= since + IDLE_CLOSE_START).then_some(if end.is_zero() {
                LATE_CONNECTION_IDLE_LIMIT
            } else {
                end
            })
        });
        let stopped = self.stopping.and_then(|since| {
            if self.terms.shared_listener {
                let end = self
                    .terms
                    .longest_deadline
                    .clamp(SHARED_LISTENER_CLOSE_WINDOW.0, SHARED_LISTENER_CLOSE_WINDOW.1);
                return Some((since + end).saturating_sub(now));
            }
            (Some(now) >= self.accept_deadline(accepted)).then_some(Duration::ZERO)
        });
        match (drained, stopped) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Whether a connection that has brought nothing yet keeps its time to do so, however little others may rest.
    pub fn awaits_first_request(&self, now: Duration) -> bool {
        self.stopping.is_some_and(|since| now < since + FIRST_REQUEST_LIMIT)
    }

    /// The latest moment for any answer, where there is one: what the kill finds unanswered is lost.
    pub fn answer_deadline(&self) -> Option<Duration> {
        self.stopping.map(|since| {
            (since + self.terms.longest_deadline + KILL_AFTER_DEADLINE)
                .saturating_sub(ANSWER_MARGIN_BEFORE_KILL)
        })
    }
}
