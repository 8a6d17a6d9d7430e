//! Sequential classes: requests of one key run one at a time, in the order of their arrival,
//! with a quiet period after an attempt that may still be running.

use crate::balancer::Balancer;
use std::collections::VecDeque;

/// The open requests of one key in the order of their arrival. The first request may run once the quiet period of the key is over.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyQueue {
    requests: VecDeque<u64>,
    /// When the quiet period of the key ends, in seconds.
    quiet_until_s: f64,
}

impl KeyQueue {
    /// Adds a request and returns when it may first be sent, in seconds: infinite while an earlier request of the key is open.
    pub(crate) fn push(&mut self, request: u64) -> f64 {
        let earliest_send_s = if self.requests.is_empty() { self.quiet_until_s } else { f64::INFINITY };
        self.requests.push_back(request);
        earliest_send_s
    }

    /// Begins a quiet period of the key, because an attempt of one of its requests may still be running.
    pub(crate) fn begin_quiet_period(&mut self, until_s: f64) {
        self.quiet_until_s = until_s;
    }

    /// Whether the key has open requests or a quiet period that is not over.
    pub(crate) fn is_in_use(&self, now_s: f64) -> bool {
        !self.requests.is_empty() || self.quiet_until_s > now_s
    }
}

impl Balancer {
    /// Releases the first request of the key that is still open, and returns the request's number if it had to wait until now.
    /// Requests that have ended are removed from the queue here, each only once, so the cost of an event does not grow with the queue.
    pub(crate) fn release_next_of_key(&mut self, key: u64) -> Option<u64> {
        let queue = self.key_queues.get_mut(&key)?;
        while let Some(&id) = queue.requests.front() {
            if let Some(request) = self.requests.get_mut(&id) {
                let has_waited = request.earliest_send_s == f64::INFINITY;
                request.earliest_send_s = request.earliest_send_s.min(queue.quiet_until_s);
                return has_waited.then_some(id);
            }
            queue.requests.pop_front();
        }
        None
    }
}
