//! The engine's timers, earliest first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::Instant;
use weldworks_balancer::RequestId;

/// The purpose of a timer. Timers that are due at the same instant fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the balancer set, with its token.
    Balancer(u64),
    /// The deadline for a request's final answer, by the request's id.
    RequestDeadline(RequestId),
    /// Whether the client of a streamed upload is still writing is to be checked, by the request's id.
    UploadCheck(RequestId),
    /// The next watch on discovery is to be opened.
    OpenWatch,
    /// Whether this gateway still lacks an endpoint list that other gateways have is to be checked.
    ListLagCheck,
    /// The engine is to switch to another discovery.
    DiscoverySwitch,
    /// The endpoint gauges are to be updated.
    EndpointMetrics,
}

/// A queue of timers. The timers of finished requests stay queued until they are due.
#[derive(Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl TimerQueue {
    pub(super) fn push(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// When the earliest timer is due.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer, if that timer is due at `now`.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let due = self.next_due().is_some_and(|at| at <= now);
        if !due {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// Removes the timers that belong to requests or to the balancer.
    pub(super) fn clear_decision_timers(&mut self) {
        self.heap.retain(|Reverse((_, timer))| {
            matches!(
                timer,
                Timer::OpenWatch | Timer::ListLagCheck | Timer::DiscoverySwitch | Timer::EndpointMetrics
            )
        });
    }

    #[cfg(test)]
    pub(super) fn clear(&mut self) {
        self.heap.clear();
    }

    #[cfg(test)]
    pub(super) fn iter(&self) -> impl Iterator<Item = &(Instant, Timer)> {
        self.heap.iter().map(|Reverse(entry)| entry)
    }
}
