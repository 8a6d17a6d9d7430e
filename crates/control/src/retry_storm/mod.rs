//! Retry storms: noticed from what one gateway sees, damped by limits that the decision module works within, and led
//! back by advice on when to come again.
//!
//! [`Storm`] refuses nothing itself. For each request it gives the module an allowance, the part of the admission
//! that this request may use; for each refusal that the module makes it gives the advice. While all is calm the
//! allowance is 1 and only counters move.
//!
//! Sources: the retry budget is that of Google's SRE book (chapter "Handling Overload", per-client ratio of retries);
//! the pointer of promised times is the generic cell rate algorithm (ITU-T I.371), with a rate that changes.

mod detector;
mod fair_share;
mod repeat_cache;
mod retry_after;
mod retry_budget;
mod settings;

pub use detector::{Signals, StateChange, StormDetector, StormState};
pub use fair_share::{wilson_lower_bound, FairShare};
pub use repeat_cache::{RepeatCache, ReservationCache};
pub use retry_after::{Reservation, RetryAfterSchedule};
pub use retry_budget::RetryBudget;
pub use settings::StormSettings;

use std::time::Duration;

/// How a request was answered, as far as a storm is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Served.
    Served,
    /// Refused.
    Rejected,
    /// Failed, or given up by its client.
    Failed,
}

/// A request, as far as a storm is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivingRequest {
    /// Its client marks it as a repeat.
    pub is_client_retry: bool,
    /// What tells it from others of its client: a hash of subject, class and tenant; none where it has no subject.
    pub identity: Option<u64>,
    /// The worth of its class over the mean worth of all classes.
    pub relative_weight: f64,
    /// Its tenant, by its place in the quotas.
    pub tenant: usize,
}

/// What the platform says that bears on storms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformTerms<'a> {
    /// A starting host does at least this part of its full work.
    pub slow_start_min_capacity: f64,
    /// A started host is warm after this time.
    pub slow_start_duration: Duration,
    /// The longest advice that clients heed; zero where they are told none.
    pub max_retry_after: Duration,
    /// Each tenant's quota, requests a second over all gateways.
    pub tenant_quotas: &'a [f64],
    /// How many gateways there are, this one included.
    pub gateway_count: u32,
}

/// How many requests got their allowance for which reason, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllowanceCounts {
    /// While all was calm, or with damping off.
    pub calm: u64,
    /// First tries in a storm.
    pub first_attempts: u64,
    /// Repeats at their promised time.
    pub reserved: u64,
    /// Repeats that the budget paid for.
    pub budgeted: u64,
    /// Repeats that nobody paid for.
    pub unbudgeted: u64,
    /// Requests of tenants beyond their share, in a storm; also counted above.
    pub over_share: u64,
}

/// The state of storm control, for an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryStormStatus {
    /// The state.
    pub state: StormState,
    /// Since when.
    pub since: Duration,
    /// The figures behind it, as they are now.
    pub signals: Signals,
    /// Repeats that the budget can pay for.
    pub budget_balance: f64,
    /// What it has allowed.
    pub allowances: AllowanceCounts,
}

/// Why a request got the allowance that it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceReason {
    /// Nothing is wrong, or damping is off.
    Calm,
    /// A first try.
    FirstAttempt,
    /// A repeat that came at the time it was promised.
    Reserved,
    /// A repeat that the budget pays for.
    Budgeted,
    /// A repeat that came before its time, or that nobody pays for.
    Unbudgeted,
}

/// What a request is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The part of the admission that it may use; see [`weldworks_balancer::Request::allowance`].
    pub admission_share: f64,
    /// Why.
    pub reason: AllowanceReason,
}

/// A host that takes work, as far as what it can do is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedEndpoint {
    /// When it started, if that is not long ago.
    pub started_at: Option<Duration>,
}

/// The storm control of one gateway.
#[derive(Clone, Debug)]
pub struct RetryStormControl {
    settings: StormSettings,
    detector: StormDetector,
    budget: RetryBudget,
    returns: RetryAfterSchedule,
    seen: RepeatCache,
    promised: ReservationCache,
    shares: FairShare,
    tally: AllowanceCounts,
    change: Option<StateChange>,
}

impl RetryStormControl {
    /// A gateway's storm control.
    pub fn new(settings: StormSettings, terms: PlatformTerms<'_>, seed: u64) -> RetryStormControl {
        RetryStormControl {
            detector: StormDetector::new(&settings),
            budget: RetryBudget::new(settings.budget, settings.budget_most),
            returns: RetryAfterSchedule::new(
                terms.slow_start_min_capacity,
                terms.slow_start_duration,
                terms.max_retry_after,
                seed,
            ),
            seen: RepeatCache::new(settings.remembers, settings.memory),
            promised: ReservationCache::new(settings.memory),
            shares: FairShare::new(terms.tenant_quotas, terms.gateway_count),
            tally: AllowanceCounts::default(),
            change: None,
            settings,
        }
    }

    /// The hosts that take work now.
    pub fn set_endpoints(&mut self, now: Duration, hosts: &[StartedEndpoint]) {
        self.returns.set_endpoints(now, hosts);
    }

    /// A request arrives: what it is allowed.
    pub fn admit(&mut self, now: Duration, request: ArrivingRequest) -> Allowance {
        let known = request.identity.is_some_and(|identity| self.seen.insert(now, identity));
        let again = request.is_client_retry || known;
        self.detector.record_arrival(now, request.is_client_retry, known);
        self.step(now);
        let first = !request.is_client_retry;
        if first {
            self.budget.deposit();
            self.returns.record_first_attempt(now);
        }
        let within = self.shares.is_within_share(now, request.tenant);
        if !self.damps() {
            self.tally.calm += 1;
            return Allowance { admission_share: 1.0, reason: AllowanceReason::Calm };
        }
        let on_time = again && request.identity.is_some_and(|identity| self.promised.redeem(now, identity));
        let (reason, counted) = match (first, on_time) {
            (true, _) => (AllowanceReason::FirstAttempt, &mut self.tally.first_attempts),
            (_, true) => (AllowanceReason::Reserved, &mut self.tally.reserved),
            _ if self.budget.withdraw() => (AllowanceReason::Budgeted, &mut self.tally.budgeted),
            _ => (AllowanceReason::Unbudgeted, &mut self.tally.unbudgeted),
        };
        *counted += 1;
        self.tally.over_share += u64::from(!within);
        let share = if within { 1.0 } else { self.settings.beyond_share };
        let worth = request.relative_weight.max(0.0).powf(self.settings.worth_power);
        let part = match reason {
            AllowanceReason::Unbudgeted => self.settings.unpaid,
            _ => 1.0,
        };
        Allowance { admission_share: (part * share * worth).clamp(0.0, self.settings.most_part), reason }
    }

    /// Whether requests are held to their allowance now.
    fn damps(&self) -> bool {
        self.settings.damping && matches!(self.detector.state(), StormState::Storm | StormState::Recovering)
    }

    /// A connection has been accepted.
    pub fn record_connection(&mut self, now: Duration) {
        self.detector.record_connection(now);
    }

    /// A request has its final answer.
    pub fn record_result(&mut self, now: Duration, how: RequestResult) {
        self.detector.record_result(now, how);
        self.returns.record_result(now, how);
        self.step(now);
    }

    /// A request is refused: when its client should come back, or no advice where clients are told none. While all
    /// is calm, or the settings switch advice off, it is the module's own, `usual`.
    pub fn retry_after(&mut self, now: Duration, identity: Option<u64>, usual: Duration) -> Duration {
        if usual.is_zero() || !self.settings.advice || self.detector.state() == StormState::Calm {
            return usual;
        }
        let promise = self.returns.reserve(now);
        if let (true, Some(identity)) = (promise.is_reserved, identity) {
            self.promised.insert(identity, now + promise.after);
        }
        promise.after
    }

    /// The state that it is in.
    pub fn state(&self) -> StormState {
        self.detector.state()
    }

    /// All of it, for an operator.
    pub fn status(&self, now: Duration) -> RetryStormStatus {
        RetryStormStatus {
            state: self.detector.state(),
            since: self.detector.since(),
            signals: self.detector.signals(now),
            budget_balance: self.budget.balance(),
            allowances: self.tally,
        }
    }

    /// A change of state that has not been told yet, with the figures that caused it.
    pub fn take_change(&mut self) -> Option<StateChange> {
        self.change.take()
    }

    fn step(&mut self, now: Duration) {
        if let Some(change) = self.detector.step(now) {
            if change.to == StormState::Storm {
                self.returns.reset(now);
            }
            self.change = Some(change);
        }
    }
}
