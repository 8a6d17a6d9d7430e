//! The keys of requests that have run, as the nodes of a group know them: a repeat within the window is dropped.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// What a group makes of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meeting {
    /// It is new here, was forgotten, or none of its like has been done: it runs.
    Runs,
    /// It was done within the window: it is dropped, and answered like the first.
    Dropped,
}

/// The memory of one group. Every node of it asks here before it runs a keyed request.
#[derive(Clone, Debug, Default)]
pub struct Repeats {
    done: FxHashMap<u64, Duration>,
    order: VecDeque<(Duration, u64)>,
}

impl Repeats {
    /// A request with this key is about to run at a node of the group at `now`.
    ///
    /// Only what was done is dropped: one that was called off half way, or ended with an error, has had no effect, and
    /// answering its repeat as served would lose it.
    pub fn meet(&mut self, now: Duration, key: u64, window: Duration) -> Meeting {
        while let Some(&(at, old)) = self.order.front().filter(|(at, _)| *at + window < now) {
            self.order.pop_front();
            if self.done.get(&old) == Some(&at) {
                self.done.remove(&old);
            }
        }
        match self.done.get(&key) {
            Some(at) if now <= *at + window => Meeting::Dropped,
            _ => Meeting::Runs,
        }
    }

    /// A request with this key has been done at `now`. The window is counted from here and is not drawn out by
    /// repeats.
    pub fn done(&mut self, now: Duration, key: u64) {
        self.done.insert(key, now);
        self.order.push_back((now, key));
    }
}
