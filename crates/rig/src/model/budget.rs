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
}

impl Budget {
    /// A budget of `multiple` times the capacity over `window` seconds.
    pub fn new(multiple: f64, window: f64) -> Budget {
        Budget { multiple, window, sent: VecDeque::new(), sum: 0.0 }
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
        self.sum > self.limit(capacity)
    }

    /// The most work that a window may hold.
    pub fn limit(&self, capacity: f64) -> f64 {
        self.multiple * capacity * self.window
    }
}
