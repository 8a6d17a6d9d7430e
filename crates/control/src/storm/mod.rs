//! Retry storms: noticed from what one gateway sees, damped by limits that the decision module works within, and led
//! back by advice on when to come again.
//!
//! [`Storm`] refuses nothing itself. For each request it gives the module an allowance, the part of the admission
//! that this request may use; for each refusal that the module makes it gives the advice. While all is calm the
//! allowance is 1 and only counters move.
//!
//! Sources: the retry budget is that of Google's SRE book (chapter "Handling Overload", per-client ratio of retries);
//! the pointer of promised times is the generic cell rate algorithm (ITU-T I.371), with a rate that changes.

mod budget;
mod detector;
mod returns;
mod seen;
mod settings;
mod share;

pub use budget::Budget;
pub use detector::{Change, Detector, Signals, State};
pub use returns::{Promise, Returns};
pub use seen::{Promised, Seen};
pub use settings::StormSettings;
pub use share::{surely, Shares};

use std::time::Duration;

/// How a request was answered, as far as a storm is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    /// Served.
    Served,
    /// Refused.
    Refused,
    /// Failed, or given up by its client.
    Failed,
}

/// A request, as far as a storm is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arriving {
    /// Its client marks it as a repeat.
    pub repeat: bool,
    /// What tells it from others of its client: a hash of subject, class and tenant; none where it has no subject.
    pub identity: Option<u64>,
    /// The worth of its class over the mean worth of all classes.
    pub worth: f64,
    /// Its tenant, by its place in the quotas.
    pub tenant: usize,
}

/// What the platform says that bears on storms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms<'a> {
    /// A starting host does at least this part of its full work.
    pub cold_from: f64,
    /// A started host is warm after this time.
    pub cold_for: Duration,
    /// The longest advice that clients heed; zero where they are told none.
    pub most: Duration,
    /// Each tenant's quota, requests a second over all gateways.
    pub quotas: &'a [f64],
    /// How many gateways there are, this one included.
    pub gateways: u32,
}

/// How many requests got their allowance for which reason, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// While all was calm, or with damping off.
    pub calm: u64,
    /// First tries in a storm.
    pub first: u64,
    /// Repeats at their promised time.
    pub on_time: u64,
    /// Repeats that the budget paid for.
    pub budgeted: u64,
    /// Repeats that nobody paid for.
    pub unpaid: u64,
    /// Requests of tenants beyond their share, in a storm; also counted above.
    pub beyond: u64,
}

/// The state of storm control, for an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// The state.
    pub state: State,
    /// Since when.
    pub since: Duration,
    /// The figures behind it, as they are now.
    pub signals: Signals,
    /// Repeats that the budget can pay for.
    pub budget: f64,
    /// What it has allowed.
    pub tally: Tally,
}

/// Why a request got the allowance that it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nothing is wrong, or damping is off.
    Calm,
    /// A first try.
    First,
    /// A repeat that came at the time it was promised.
    OnTime,
    /// A repeat that the budget pays for.
    Budgeted,
    /// A repeat that came before its time, or that nobody pays for.
    Unpaid,
}

/// What a request is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The part of the admission that it may use; see [`weldworks_balancer::Request::allowance`].
    pub part: f64,
    /// Why.
    pub reason: Reason,
}

/// A host that takes work, as far as what it can do is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Host {
    /// When it started, if that is not long ago.
    pub started: Option<Duration>,
}

/// The storm control of one gateway.
#[derive(Clone, Debug)]
pub struct Storm {
    settings: StormSettings,
    detector: Detector,
    budget: Budget,
    returns: Returns,
    seen: Seen,
    promised: Promised,
    shares: Shares,
    tally: Tally,
    change: Option<Change>,
}

impl Storm {
    /// A gateway's storm control.
    pub fn new(settings: StormSettings, terms: Terms<'_>, seed: u64) -> Storm {
        Storm {
            detector: Detector::new(&settings),
            budget: Budget::new(settings.budget, settings.budget_most),
            returns: Returns::new(terms.cold_from, terms.cold_for, terms.most, seed),
            seen: Seen::new(settings.remembers, settings.memory),
            promised: Promised::new(settings.memory),
            shares: Shares::new(terms.quotas, terms.gateways),
            tally: Tally::default(),
            change: None,
            settings,
        }
    }

    /// The hosts that take work now.
    pub fn hosts(&mut self, now: Duration, hosts: &[Host]) {
        self.returns.hosts(now, hosts);
    }

    /// A request arrives: what it is allowed.
    pub fn arrive(&mut self, now: Duration, request: Arriving) -> Allowance {
        let known = request.identity.is_some_and(|identity| self.seen.meet(now, identity));
        let again = request.repeat || known;
        self.detector.arrived(now, request.repeat, known);
        self.step(now);
        let first = !request.repeat;
        if first {
            self.budget.earn();
            self.returns.expect(now);
        }
        let within = self.shares.within(now, request.tenant);
        if !self.damps() {
            self.tally.calm += 1;
            return Allowance { part: 1.0, reason: Reason::Calm };
        }
        let on_time = again && request.identity.is_some_and(|identity| self.promised.keep(now, identity));
        let (reason, counted) = match (first, on_time) {
            (true, _) => (Reason::First, &mut self.tally.first),
            (_, true) => (Reason::OnTime, &mut self.tally.on_time),
            _ if self.budget.spend() => (Reason::Budgeted, &mut self.tally.budgeted),
            _ => (Reason::Unpaid, &mut self.tally.unpaid),
        };
        *counted += 1;
        self.tally.beyond += u64::from(!within);
        let share = if within { 1.0 } else { self.settings.beyond_share };
        let worth = request.worth.max(0.0).powf(self.settings.worth_power);
        let part = match reason {
            Reason::Unpaid => self.settings.unpaid,
            _ => 1.0,
        };
        Allowance { part: (part * share * worth).clamp(0.0, self.settings.most_part), reason }
    }

    /// Whether requests are held to their allowance now.
    fn damps(&self) -> bool {
        self.settings.damping && matches!(self.detector.state(), State::Storm | State::Recovering)
    }

    /// A connection has been accepted.
    pub fn connected(&mut self, now: Duration) {
        self.detector.connected(now);
    }

    /// A request has its final answer.
    pub fn answered(&mut self, now: Duration, how: Answered) {
        self.detector.answered(now, how);
        self.returns.answered(now, how);
        self.step(now);
    }

    /// A request is refused: when its client should come back, or no advice where clients are told none. While all
    /// is calm, or the settings switch advice off, it is the module's own, `usual`.
    pub fn refuse(&mut self, now: Duration, identity: Option<u64>, usual: Duration) -> Duration {
        if usual.is_zero() || !self.settings.advice || self.detector.state() == State::Calm {
            return usual;
        }
        let promise = self.returns.promise(now);
        if let (true, Some(identity)) = (promise.counted, identity) {
            self.promised.give(identity, now + promise.after);
        }
        promise.after
    }

    /// The state that it is in.
    pub fn state(&self) -> State {
        self.detector.state()
    }

    /// All of it, for an operator.
    pub fn view(&self, now: Duration) -> View {
        View {
            state: self.detector.state(),
            since: self.detector.since(),
            signals: self.detector.signals(now),
            budget: self.budget.left(),
            tally: self.tally,
        }
    }

    /// A change of state that has not been told yet, with the figures that caused it.
    pub fn take_change(&mut self) -> Option<Change> {
        self.change.take()
    }

    fn step(&mut self, now: Duration) {
        if let Some(change) = self.detector.step(now) {
            if change.to == State::Storm {
                self.returns.begin(now);
            }
            self.change = Some(change);
        }
    }
}
