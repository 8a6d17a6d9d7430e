//! A budget of repeats: earned by first tries, spent by repeats, never below zero.

/// The budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    each: f64,
    most: f64,
    saved: f64,
}

impl RetryBudget {
    /// A full budget: each first try earns `each` repeats, and `most` can be saved.
    pub fn new(each: f64, most: f64) -> RetryBudget {
        RetryBudget { each, most, saved: most }
    }

    /// A first try has come.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.each).min(self.most);
    }

    /// A repeat wants to be paid for.
    pub fn withdraw(&mut self) -> bool {
        let paid = self.saved >= 1.0;
        self.saved -= f64::from(u8::from(paid));
        paid
    }

    /// How many repeats it can pay for; never negative.
    pub fn balance(&self) -> f64 {
        self.saved
    }
}
