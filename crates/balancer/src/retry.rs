//! Retries, hedged requests and giving up: whether a request may have another attempt, when a hedge is due, and how a request ends
//! without an answer.

use crate::api::{Action, Idempotency, KeyScope, RequestId};
use crate::request::RequestState;

/// Largest budget, in hedges.
const MAX_BUDGET_HEDGE_COUNT: f64 = 1.0;
/// Budget that each admitted request earns, in hedges.
const BUDGET_PER_REQUEST: f64 = 0.03;
/// Budget that a hedge costs.
const HEDGE_BUDGET_COST: f64 = 1.0;
/// Budget that a retry costs. Lower than a hedge: the earlier attempt no longer occupies an endpoint.
const RETRY_BUDGET_COST: f64 = 0.15;
/// Time after a send at which a hedge is due, as a multiple of the expected latency.
const HEDGE_LATENCY_RATIO: f64 = 3.0;
/// Longest time that the process may be suspended between reading the clock and the end of the write, in seconds. An idempotency window
/// is shortened by it; otherwise a late write could arrive after the endpoint has dropped the key, and be processed twice.
const MAX_WRITE_DELAY_S: f64 = 0.15;

/// The kind of an attempt, by the earlier attempts of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// Nothing was sent before.
    First,
    /// All earlier attempts have ended.
    Retry,
    /// Another attempt is in flight.
    Hedge,
}

impl AttemptKind {
    /// The kind of the request's next attempt.
    pub(crate) fn of_next(request: &RequestState) -> Self {
        if request.attempts.is_empty() {
            AttemptKind::First
        } else if request.attempts_in_flight() == 0 {
            AttemptKind::Retry
        } else {
            AttemptKind::Hedge
        }
    }

    /// The budget that an attempt of this kind costs.
    fn budget_cost(self) -> f64 {
        match self {
            AttemptKind::First => 0.0,
            AttemptKind::Retry => RETRY_BUDGET_COST,
            AttemptKind::Hedge => HEDGE_BUDGET_COST,
        }
    }
}

/// One budget for retries and hedges: without it they would multiply an overload.
///
/// A full budget covers 1 hedge or 6 retries; each admitted request earns 0.03, so in the long run at most 3 % hedges or 20 % retries.
/// Not to be confused with the budget for retries by clients, `retry_storm::RetryBudget` of the control package.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new() -> Self {
        RetryBudget { available: MAX_BUDGET_HEDGE_COUNT }
    }

    /// Adds what an admitted request earns.
    pub(crate) fn earn(&mut self) {
        self.available = (self.available + BUDGET_PER_REQUEST).min(MAX_BUDGET_HEDGE_COUNT);
    }

    /// Whether it covers an attempt of this kind.
    pub(crate) fn covers(&self, kind: AttemptKind) -> bool {
        self.available >= kind.budget_cost()
    }

    /// Spends the cost of an attempt of this kind.
    pub(crate) fn spend(&mut self, kind: AttemptKind) {
        self.available -= kind.budget_cost();
    }
}

/// Whether the request may have another attempt at all, by its body, its limits and the idempotency window. The caller also
/// checks the budget and whether an endpoint is eligible ([`crate::selection`]).
pub(crate) fn is_attempt_allowed(request: &RequestState, idempotency: Idempotency, now_s: f64) -> bool {
    if request.body_forwarding_started {
        return false;
    }
    let in_flight = request.attempts_in_flight();
    if request.body_streaming && in_flight > 0 {
        return false;
    }
    if request.attempts.len() as u32 >= request.limits.max_attempts {
        return false;
    }
    if in_flight > request.limits.max_in_flight_for_next_attempt {
        return false;
    }
    latest_write_s(request, idempotency).is_none_or(|latest_s| now_s < latest_s)
}

/// Until when the next attempt must be written, in seconds; `None` for any time. Where an earlier attempt may have been processed, that
/// is as long as its endpoints know the key, less [`MAX_WRITE_DELAY_S`]. A window of at most `MAX_WRITE_DELAY_S` allows no further
/// attempt.
pub(crate) fn latest_write_s(request: &RequestState, idempotency: Idempotency) -> Option<f64> {
    let window_s = match idempotency {
        Idempotency::Idempotent => return None,
        Idempotency::IdempotencyKey { window, .. } => window.as_secs_f64() - MAX_WRITE_DELAY_S,
        Idempotency::NotIdempotent => f64::NEG_INFINITY,
    };
    let possibly_processed = request.attempts.iter().filter(|attempt| !attempt.not_processed);
    possibly_processed.map(|attempt| attempt.decided_at_s + window_s).min_by(f64::total_cmp)
}

/// Time after a send at which a hedge is due if there is no answer, in seconds.
pub(crate) fn hedge_delay_s(expected_latency_s: f64, timer_tick_s: f64) -> f64 {
    (HEDGE_LATENCY_RATIO * expected_latency_s).max(timer_tick_s)
}

/// Whether a hedge sent now is likely to be answered in time.
pub(crate) fn is_hedge_in_time(now_s: f64, expected_latency_s: f64, deadline_s: f64) -> bool {
    now_s + expected_latency_s < deadline_s
}

/// The final answer to a request that was not served: a rejection where the client may safely try again, a failure otherwise.
pub(crate) fn final_answer(id: RequestId, request: &RequestState, idempotency: Idempotency) -> Action {
    let is_retry_safe = match idempotency {
        Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
        _ => request.attempts.iter().all(|attempt| attempt.not_processed),
    };
    if is_retry_safe {
        Action::Reject { request: id, retry_after: request.limits.retry_after }
    } else {
        Action::Fail { request: id }
    }
}
