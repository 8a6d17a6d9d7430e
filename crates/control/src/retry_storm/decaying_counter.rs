//! A counter whose value decays exponentially with time.

/// Sum of amounts, each weighted by `exp(-age / time constant)`. Times and the time constant are in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingCounter {
    time_constant_s: f64,
    value: f64,
    updated_at_s: f64,
}

impl DecayingCounter {
    pub(super) fn new(time_constant_s: f64) -> DecayingCounter {
        DecayingCounter { time_constant_s, value: 0.0, updated_at_s: 0.0 }
    }

    /// Adds an amount; 0 only brings the value up to date. A time
    /// before the last update is treated as the time of that update.
    pub(super) fn add(&mut self, now_s: f64, amount: f64) {
        self.value = self.value_at(now_s) + amount;
        self.updated_at_s = now_s.max(self.updated_at_s);
    }

    /// The decayed sum at the time `now_s`.
    pub(super) fn value_at(&self, now_s: f64) -> f64 {
        let age_s = (now_s - self.updated_at_s).max(0.0);
        self.value * (-age_s / self.time_constant_s).exp()
    }

    /// The mean amount per second at the time `now_s`.
    pub(super) fn rate_at(&self, now_s: f64) -> f64 {
        self.value_at(now_s) / self.time_constant_s
    }
}
