//! Idempotency keys of processed requests, shared by the stand-in endpoints of a key scope: a repeat within the idempotency window is dropped.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Whether a request with an idempotency key is processed or dropped as a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatCheck {
    /// The request is processed: no request with its key was completed within the idempotency window.
    Processed,
    /// A request with the same key was completed within the idempotency window: the repeat is dropped and answered like the first.
    Dropped,
}

/// The repeat cache of one key scope. Its stand-in endpoints check it before they process a request with an idempotency key.
#[derive(Clone, Debug, Default)]
pub struct RepeatCache {
    completed: FxHashMap<u64, Duration>,
    order: VecDeque<(Duration, u64)>,
}

impl RepeatCache {
    /// Checks a request with this key that an endpoint of the key scope is about to process at `now`.
    ///
    /// Only completed requests count: a request that was cancelled half way or ended with an error has had no effect,
    /// and answering its repeat as served would lose the request.
    pub fn check(&mut self, now: Duration, key: u64, window: Duration) -> RepeatCheck {
        while let Some(&(completed_at, expired_key)) =
            self.order.front().filter(|(completed_at, _)| *completed_at + window < now)
        {
            self.order.pop_front();
            if self.completed.get(&expired_key) == Some(&completed_at) {
                self.completed.remove(&expired_key);
            }
        }
        match self.completed.get(&key) {
            Some(completed_at) if now <= *completed_at + window => RepeatCheck::Dropped,
            _ => RepeatCheck::Processed,
        }
    }

    /// Records that a request with this key was completed at `now`. The idempotency window starts here; repeats do not extend it.
    pub fn record_completed(&mut self, now: Duration, key: u64) {
        self.completed.insert(key, now);
        self.order.push_back((now, key));
    }
}
