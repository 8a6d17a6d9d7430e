//! The work that a stand-in endpoint may be sent during its slow start before it crashes.

use std::collections::VecDeque;

/// The work that has reached a stand-in endpoint since its start, within a sliding window.
///
/// Within any window of the configured length, the work sent must stay under the configured multiple of the endpoint's capacity in that window.
/// A window at the very start is shorter but is granted the budget of a full one:
/// a short heavy burst can exceed the budget, a single request cannot.
#[derive(Clone, Debug)]
pub struct SlowStartBudget {
    multiple: f64,
    window: f64,
    sent: VecDeque<(f64, f64)>,
    work_in_window: f64,
    /// The work of a mean request, in seconds of work.
    mean_work: f64,
    /// The highest work in a window so far, divided by the `allowance` of that window.
    peak: f64,
    /// Whether the budget is exceeded only above `allowance`, which includes random variation.
    grants_chance: bool,
}

/// The number of requests of mean work that a window may hold by the operators' terms:
/// `expected` requests (the allowed multiple of the endpoint's capacity in the window) and an allowance for random variation.
pub fn allowance(expected: f64) -> f64 {
    let standard_deviation = expected.max(0.0).sqrt();
    if expected < 30.0 {
        expected + 3.0 * standard_deviation + 3.0
    } else {
        expected + 2.0 * standard_deviation + 2.0
    }
}

impl SlowStartBudget {
    /// A budget of `multiple` times the capacity over `window` seconds, for requests of `mean_work` seconds of work.
    pub fn new(multiple: f64, window: f64, mean_work: f64) -> SlowStartBudget {
        SlowStartBudget {
            multiple,
            window,
            sent: VecDeque::new(),
            work_in_window: 0.0,
            mean_work,
            peak: 0.0,
            grants_chance: false,
        }
    }

    /// Sets whether an allowance for random variation is added to the budget, as the operators' terms grant it.
    pub fn with_random_allowance(self, grants_chance: bool) -> SlowStartBudget {
        SlowStartBudget { grants_chance, ..self }
    }

    /// The highest work in any window so far, divided by the allowance of that window.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Records `work` (in seconds) that arrived at `now`, while the endpoint can do `capacity` seconds of work a second.
    /// True if the budget is exceeded.
    pub fn record_and_check(&mut self, now: f64, work: f64, capacity: f64) -> bool {
        while let Some(&(at, old_work)) = self.sent.front().filter(|(at, _)| *at <= now - self.window) {
            debug_assert!(at <= now);
            self.work_in_window -= old_work;
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
        self.work_in_window += work;
        let limit = self.limit(capacity);
        let fraction = self.work_in_window / self.mean_work / allowance(limit / self.mean_work);
        self.peak = self.peak.max(fraction);
        if self.grants_chance {
            fraction > 1.0
        } else {
            self.work_in_window > limit
        }
    }

    /// The work that a window may hold, in seconds, without the allowance for random variation.
    pub fn limit(&self, capacity: f64) -> f64 {
        self.multiple * capacity * self.window
    }
}
