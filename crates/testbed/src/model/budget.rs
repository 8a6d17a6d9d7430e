//! What a cold node may be sent before it falls over.

use std::collections::VecDeque;

/// The work that has reached a node since it started, within a window that moves with time.
///
/// Within any window of the stated length that lies wholly after the start, the work sent must stay under the stated
/// multiple of what the node could do in that window. A window at the very start is shorter, so there the whole
/// window's length counts: a short heavy burst can spend the budget, a single request can't.
#[derive(Clone, Debug)]
pub struct Budget {
    multiple: f64,
    window: f64,
    sent: VecDeque<(f64, f64)>,
    sum: f64,
    /// The work of a mean request, and the most that a window has held as a part of what `allowance` grants.
    mean: f64,
    peak: f64,
    /// Whether it is overspent beyond its allowance only.
    grants_chance: bool,
}

/// The most requests of mean work that may come in a window, by the operators' terms, where the multiple of what the node can do in it
/// is `expected` requests: what chance may add is granted.
pub fn allowance(expected: f64) -> f64 {
    let spread = expected.max(0.0).sqrt();
    if expected < 30.0 {
        expected + 3.0 * spread + 3.0
    } else {
        expected + 2.0 * spread + 2.0
    }
}

impl Budget {
    /// A budget of `multiple` times the capacity over `window` seconds, for requests of `mean` seconds of work.
    pub fn new(multiple: f64, window: f64, mean: f64) -> Budget {
        Budget { multiple, window, sent: VecDeque::new(), sum: 0.0, mean, peak: 0.0, grants_chance: false }
    }

    /// The same, overspent beyond its allowance only, as the operators' terms have it; else chance is granted nothing.
    pub fn granting_chance(self, grants_chance: bool) -> Budget {
        Budget { grants_chance, ..self }
    }

    /// The most that any window has held so far, as a part of its allowance.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Books work that has come at `now`, in seconds, while the node could do `capacity` a second; true where it is
    /// too much.
    pub fn overspent(&mut self, now: f64, work: f64, capacity: f64) -> bool {
        while let Some(&(at, old)) = self.sent.front().filter(|(at, _)| *at <= now - self.window) {
            debug_assert!(at <= now);
            self.sum -= old;
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
        self.sum += work;
        let limit = self.limit(capacity);
        let part = self.sum / self.mean / allowance(limit / self.mean);
        self.peak = self.peak.max(part);
        if self.grants_chance {
            part > 1.0
        } else {
            self.sum > limit
        }
    }

    /// The most work that a window may hold.
    pub fn limit(&self, capacity: f64) -> f64 {
        self.multiple * capacity * self.window
    }
}
