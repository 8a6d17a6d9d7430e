//! The budget for retries and hedges of this gateway, and the kinds of attempts that are paid from it.

use crate::request::RequestState;

/// Largest retry budget, in hedges.
const MAX_BUDGET_HEDGE_COUNT: f64 = 1.0;
/// Retry budget that each admitted request earns, in hedges.
const BUDGET_PER_REQUEST: f64 = 0.03;
/// Retry budget that a hedge costs, in hedges.
const HEDGE_BUDGET_COST: f64 = 1.0;
/// Retry budget that a retry costs, in hedges. Less than a hedge costs: the earlier attempt no longer occupies an endpoint.
const RETRY_BUDGET_COST: f64 = 0.15;

/// The kind of an attempt, by the earlier attempts of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// The request has had no attempt before.
    First,
    /// All earlier attempts of the request have ended.
    Retry,
    /// Another attempt of the request is in flight.
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

    /// The retry budget that an attempt of this kind costs, in hedges.
    fn budget_cost(self) -> f64 {
        match self {
            AttemptKind::First => 0.0,
            AttemptKind::Retry => RETRY_BUDGET_COST,
            AttemptKind::Hedge => HEDGE_BUDGET_COST,
        }
    }
}

/// The common budget for retries and hedges: without a budget they would multiply an overload.
///
/// A full budget covers 1 hedge or 6 retries. Each admitted request earns 0.03 hedges. In the long run at most 3 % of requests are hedged,
/// or 20 % retried. Not to be confused with the budget for retries by clients, `retry_storm::ClientRetryBudget` of the control package.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    /// A full retry budget.
    pub(crate) fn new() -> Self {
        RetryBudget { available: MAX_BUDGET_HEDGE_COUNT }
    }

    /// Adds the budget that an admitted request earns.
    pub(crate) fn earn(&mut self) {
        self.available = (self.available + BUDGET_PER_REQUEST).min(MAX_BUDGET_HEDGE_COUNT);
    }

    /// Whether the budget covers an attempt of this kind.
    pub(crate) fn covers(&self, kind: AttemptKind) -> bool {
        self.available >= kind.budget_cost()
    }

    /// Spends the cost of an attempt of this kind.
    pub(crate) fn spend(&mut self, kind: AttemptKind) {
        self.available -= kind.budget_cost();
    }
}
