//! The keys of requests that have run, as the nodes of a group know them: a repeat within the window is dropped.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// What a group makes of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meeting {
    /// It is new here, or was forgotten: it runs.
    Runs,
    /// It has begun within the window: it is dropped, and answered like the first.
    Dropped,
}

/// The memory of one group. Every node of it asks here before it runs a keyed request.
#[derive(Clone, Debug, Default)]
pub struct Repeats {
    begun: FxHashMap<u64, Duration>,
    order: VecDeque<(Duration, u64)>,
}

impl Repeats {
    /// A request with this key comes to a node of the group at `now`. The window is counted from the one that ran
    /// and is not drawn out by repeats.
    pub fn meet(&mut self, now: Duration, key: u64, window: Duration) -> Meeting {
        while let Some(&(at, old)) = self.order.front().filter(|(at, _)| *at + window < now) {
            self.order.pop_front();
            if self.begun.get(&old) == Some(&at) {
                self.begun.remove(&old);
            }
        }
        match self.begun.get(&key) {
            Some(at) if now <= *at + window => Meeting::Dropped,
            _ => {
                self.begun.insert(key, now);
                self.order.push_back((now, key));
                Meeting::Runs
            }
        }
    }
}
