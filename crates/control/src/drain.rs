//! How a gateway leaves service: for a while, at its operators' call, or for good. One machine for both, so that a drain during
//! a stop, or a stop during a drain, needs no rule of its own.
//!
//! The front asks whether the gateway is ready, and stops sending new connections shortly after a no; clients go on using
//! those that they have. So three things follow one another: it is not ready; answers say goodbye; what rests is closed. The
//! longest rest that is allowed shrinks steadily to nothing, so that connections end one after another, the longest idle
//! first: those are the least likely to be used in the moment of their close.

use std::time::Duration;

/// New connections still come for so long after the first no, with the front's asking and its notice (0.1 and 0.2 s) within it.
pub const NOTICED: Duration = Duration::from_millis(350);
/// From here on resting connections are closed, the longest idle first ...
pub const CLOSING: Duration = Duration::from_millis(500);
/// ... and by then all are. A request that has come just before then has two seconds left to be answered, before nothing may
/// be held any more, 4 s after the call.
pub const CLOSED: Duration = Duration::from_millis(1800);
/// What comes later may rest for so long: somebody who does not ask the front.
pub const LATECOMER: Duration = Duration::from_millis(150);

/// After SIGTERM new connections come for 0.4 s at most, and what comes later than 0.7 s need not be answered: the listener
/// closes between these two times, as soon as no connection has come for [`QUIET`].
pub const LISTEN_ON: (Duration, Duration) = (Duration::from_millis(450), Duration::from_millis(650));
/// See [`LISTEN_ON`].
pub const QUIET: Duration = Duration::from_millis(200);
/// A request that comes later than this after SIGTERM need not be answered, with the protocol's slack; until then a new connection
/// may still bring its first one.
pub const FIRST: Duration = Duration::from_millis(750);
/// The process is killed so long after the longest deadline; [`AHEAD`] of that every answer has left.
pub const KILLED: Duration = Duration::from_millis(700);
/// See [`KILLED`]: a process may be held up for 0.15 s between its last look at the clock and its write, and a busy machine is late.
pub const AHEAD: Duration = Duration::from_millis(250);
/// Whose listener another process holds too need not close it in haste: resting connections have until the longest deadline,
/// held to this.
pub const GENTLE: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(2000));

/// What a stop has to know of the process.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The longest time that a client waits for an answer.
    pub longest: Duration,
    /// Another process listens on the clients' socket too: what waits there is its to take.
    pub shared: bool,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Drain {
    terms: Terms,
    drained: Option<Duration>,
    stopping: Option<Duration>,
}

impl Drain {
    /// In service.
    pub fn new(terms: Terms) -> Drain {
        Drain { terms, drained: None, stopping: None }
    }

    /// The operators' call. Whether it changed anything: a second call neither begins the drain anew nor ends it twice.
    pub fn call(&mut self, now: Duration, on: bool) -> bool {
        let changes = on != self.drained.is_some();
        if changes {
            self.drained = on.then_some(now);
        }
        changes
    }

    /// The process is told to end; there is no way back. Whether this was news.
    pub fn stop(&mut self, now: Duration) -> bool {
        let news = self.stopping.is_none();
        self.stopping.get_or_insert(now);
        news
    }

    /// The longest time that a client waits is another now.
    pub fn longest(&mut self, longest: Duration) {
        self.terms.longest = longest;
    }

    /// Whether it has been called off duty and not back.
    pub fn drained(&self) -> bool {
        self.drained.is_some()
    }

    /// Whether the process is on its way out.
    pub fn stopping(&self) -> bool {
        self.stopping.is_some()
    }

    /// Whether the front may be told yes.
    pub fn ready(&self) -> bool {
        self.drained.is_none() && self.stopping.is_none()
    }

    /// Whether answers end their connections.
    pub fn says_goodbye(&self, now: Duration) -> bool {
        self.stopping.is_some() || self.drained.is_some_and(|since| now.saturating_sub(since) >= NOTICED)
    }

    /// Until when connections are accepted, where that has an end. `accepted` is when the last one was.
    pub fn accepts_until(&self, accepted: Duration) -> Option<Duration> {
        let since = self.stopping?;
        if self.terms.shared {
            return Some(since);
        }
        Some((accepted + QUIET).clamp(since + LISTEN_ON.0, since + LISTEN_ON.1))
    }

    /// For how long a connection may rest, where that has a limit now. `accepted` as in [`Self::accepts_until`].
    pub fn may_rest(&self, now: Duration, accepted: Duration) -> Option<Duration> {
        let drained = self.drained.and_then(|since| {
            let end = (since + CLOSED).saturating_sub(now);
            (now >= since + CLOSING).then_some(if end.is_zero() { LATECOMER } else { end })
        });
        let stopped = self.stopping.and_then(|since| {
            if self.terms.shared {
                let end = self.terms.longest.clamp(GENTLE.0, GENTLE.1);
                return Some((since + end).saturating_sub(now));
            }
            (Some(now) >= self.accepts_until(accepted)).then_some(Duration::ZERO)
        });
        match (drained, stopped) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Whether a connection that has brought nothing yet keeps its time to do so, however little others may rest.
    pub fn awaits_first(&self, now: Duration) -> bool {
        self.stopping.is_some_and(|since| now < since + FIRST)
    }

    /// The latest moment for any answer, where there is one: what the kill finds unanswered is lost.
    pub fn answers_by(&self) -> Option<Duration> {
        self.stopping.map(|since| (since + self.terms.longest + KILLED).saturating_sub(AHEAD))
    }
}
