//! A budget of client retries: earned by first attempts, spent by retries, never below zero.
//!
//! The budget limits retries by clients. Retries and hedges by the gateway itself have a budget of their own, in the
//! module `retry_budget` of [`weldworks_balancer`].

/// Budget of retries by clients, counted in retries.
#[derive(Clone, Debug)]
pub struct ClientRetryBudget {
    earned_per_first_attempt: f64,
    max_balance: f64,
    balance: f64,
}

impl ClientRetryBudget {
    /// Creates a full budget: each first attempt earns `earned_per_first_attempt` retries, up to `max_balance`.
    pub fn new(earned_per_first_attempt: f64, max_balance: f64) -> ClientRetryBudget {
        ClientRetryBudget { earned_per_first_attempt, max_balance, balance: max_balance }
    }

    /// Adds the fraction of a retry that a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.earned_per_first_attempt).min(self.max_balance);
    }

    /// Spends one retry if the budget covers it, and returns whether it did.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Number of retries that the budget covers; never negative.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}
