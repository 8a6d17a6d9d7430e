//! Storm control of one gateway: combines the detector with budget, reservations and tenant shares.

use super::allowance::{retry_factor, weight_factor, Allowance, AllowanceCounts, AllowanceReason};
use super::client_retry_budget::ClientRetryBudget;
use super::detector::{RetrySigns, Signals, StateChange, StormDetector, StormState};
use super::fair_share::FairShare;
use super::repeat_cache::RepeatCache;
use super::reservation_cache::ReservationCache;
use super::retry_after::RetryAfterSchedule;
use super::settings::StormSettings;
use std::time::Duration;

/// How a request ended, in the kinds that storm control distinguishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// An endpoint served the request.
    Served,
    /// The gateway rejected the request.
    Rejected,
    /// The request failed, or its client gave up.
    Failed,
}

/// The properties of an arriving request that storm control uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivingRequest {
    /// Whether the client marks the request as a retry.
    pub is_client_retry: bool,
    /// Hash of affinity key, class and tenant, which repeats of a request have in common; `None` without the key.
    pub identity: Option<u64>,
    /// Weight of the request's class divided by the mean weight of all classes.
    pub relative_weight: f64,
    /// Index of the request's tenant in [`PlatformSettings::tenant_quotas`].
    pub tenant: usize,
}

/// The part of the platform's configuration that storm control depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformSettings<'a> {
    /// Least fraction of its full capacity that a starting endpoint has.
    pub slow_start_min_capacity: f64,
    /// Time after which a started endpoint has its full capacity.
    pub slow_start_duration: Duration,
    /// Longest `Retry-After` that clients respect; zero where rejections carry no `Retry-After`.
    pub max_retry_after: Duration,
    /// Quota of each tenant, in requests per second over all gateways.
    pub tenant_quotas: &'a [f64],
    /// Number of gateways, this one included.
    pub gateway_count: u32,
}

/// The start of an endpoint that accepts requests, from which its capacity is estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedEndpoint {
    /// Time at which the endpoint started; `None` if it started before records of starts began.
    pub started_at: Option<Duration>,
}

/// State of storm control, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryStormStatus {
    /// State of the detector.
    pub state: StormState,
    /// Time at which the detector entered its state.
    pub since: Duration,
    /// Current values of the signals.
    pub signals: Signals,
    /// Number of retries that the budget covers.
    pub budget_balance: f64,
    /// Number of requests by the reason of their allowance, since storm control was created.
    pub allowances: AllowanceCounts,
}

/// Storm control of one gateway.
#[derive(Clone, Debug)]
pub struct RetryStormControl {
    settings: StormSettings,
    detector: StormDetector,
    budget: ClientRetryBudget,
    schedule: RetryAfterSchedule,
    repeats: RepeatCache,
    reservations: ReservationCache,
    fair_share: FairShare,
    allowances: AllowanceCounts,
    unreported_change: Option<StateChange>,
}

impl RetryStormControl {
    /// Creates storm control in the calm state. The seed determines the jitter of `Retry-After`.
    pub fn new(settings: StormSettings, platform: PlatformSettings<'_>, seed: u64) -> RetryStormControl {
        RetryStormControl {
            detector: StormDetector::new(&settings),
            budget: ClientRetryBudget::new(settings.retries_per_first_attempt, settings.max_saved_retries),
            schedule: RetryAfterSchedule::new(
                platform.slow_start_min_capacity,
                platform.slow_start_duration,
                platform.max_retry_after,
                seed,
            ),
            repeats: RepeatCache::new(settings.repeat_window, settings.cache_slots),
            reservations: ReservationCache::new(settings.cache_slots),
            fair_share: FairShare::new(platform.tenant_quotas, platform.gateway_count),
            allowances: AllowanceCounts::default(),
            unreported_change: None,
            settings,
        }
    }

    /// Replaces the endpoints that accept requests.
    pub fn set_endpoints(&mut self, now: Duration, endpoints: &[StartedEndpoint]) {
        self.schedule.set_endpoints(now, endpoints);
    }

    /// Records an arriving request and returns its allowance.
    pub fn admit(&mut self, now: Duration, request: ArrivingRequest) -> Allowance {
        let signs = self.record_arrival(now, &request);
        let is_within_share = self.fair_share.record_request(now, request.tenant);
        let reason = self.allowance_reason(now, signs, request.identity);
        self.allowances.record(reason);
        if reason == AllowanceReason::Calm {
            return Allowance { admission_share: 1.0, reason };
        }
        let share_factor = if is_within_share { 1.0 } else { self.settings.over_share_factor };
        if !is_within_share {
            self.allowances.over_share += 1;
        }
        let admission_share = retry_factor(reason, &self.settings)
            * share_factor
            * weight_factor(request.relative_weight, &self.settings);
        Allowance { admission_share: admission_share.clamp(0.0, self.settings.max_admission_share), reason }
    }

    /// Records an arriving request with the detector and, for a first attempt, with budget and schedule.
    fn record_arrival(&mut self, now: Duration, request: &ArrivingRequest) -> RetrySigns {
        let is_repeated_key = request.identity.is_some_and(|identity| self.repeats.insert(now, identity));
        let signs = RetrySigns { is_client_retry: request.is_client_retry, is_repeated_key };
        self.detector.record_arrival(now, signs);
        self.update_state(now);
        if !signs.is_client_retry {
            self.budget.deposit();
            self.schedule.record_first_attempt(now);
        }
        signs
    }

    /// Determines the reason of a request's allowance. Redeems the reservation
    /// of a retry; a marked retry without one withdraws from the budget.
    fn allowance_reason(
        &mut self,
        now: Duration,
        signs: RetrySigns,
        identity: Option<u64>,
    ) -> AllowanceReason {
        if !self.is_damping() {
            return AllowanceReason::Calm;
        }
        let is_on_time =
            signs.is_retry() && identity.is_some_and(|identity| self.reservations.redeem(now, identity));
        if !signs.is_client_retry {
            return AllowanceReason::FirstAttempt;
        }
        if is_on_time {
            return AllowanceReason::Reserved;
        }
        if self.budget.withdraw() {
            AllowanceReason::Budgeted
        } else {
            AllowanceReason::Unbudgeted
        }
    }

    /// Whether requests are limited to their allowance now.
    fn is_damping(&self) -> bool {
        self.settings.damping_enabled
            && matches!(self.detector.state(), StormState::Storm | StormState::Recovering)
    }

    /// Records an accepted connection.
    pub fn record_connection(&mut self, now: Duration) {
        self.detector.record_connection(now);
    }

    /// Records the final result of a request.
    pub fn record_result(&mut self, now: Duration, result: RequestResult) {
        self.detector.record_result(now, result);
        self.schedule.record_result(now, result);
        self.update_state(now);
    }

    /// The `Retry-After` of a rejected request. It is `default`, as the balancer chose it, while the state is calm,
    /// where the settings disable a computed `Retry-After`, and where `default` is zero because rejections carry none.
    pub fn retry_after(&mut self, now: Duration, identity: Option<u64>, default: Duration) -> Duration {
        let is_calm = self.detector.state() == StormState::Calm;
        if default.is_zero() || !self.settings.retry_after_enabled || is_calm {
            return default;
        }
        let reservation = self.schedule.reserve(now);
        if let Some(identity) = identity.filter(|_| reservation.is_reserved) {
            self.reservations.insert(identity, now + reservation.after);
        }
        reservation.after
    }

    /// State of the detector.
    pub fn state(&self) -> StormState {
        self.detector.state()
    }

    /// State of storm control, as operators see it.
    pub fn status(&self, now: Duration) -> RetryStormStatus {
        RetryStormStatus {
            state: self.detector.state(),
            since: self.detector.since(),
            signals: self.detector.signals(now),
            budget_balance: self.budget.balance(),
            allowances: self.allowances,
        }
    }

    /// Returns the last change of state that was not reported yet, with
    /// the signals that caused the change, and marks it as reported.
    pub fn take_change(&mut self) -> Option<StateChange> {
        self.unreported_change.take()
    }

    fn update_state(&mut self, now: Duration) {
        let Some(change) = self.detector.update_state(now) else { return };
        if change.to == StormState::Storm {
            self.schedule.reset(now);
        }
        self.unreported_change = Some(change);
    }
}
