//! Measures the delay of the event loop.
//!
//! The kernel does not tell when a request arrived: a process that was suspended or got no CPU time for a while then reads all requests
//! that arrived meanwhile as if they were new. The delay of a periodic timer is an upper bound on how long a request may have waited.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Interval of the timer whose delay is measured.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The delay of the event loop, measured by a periodic timer.
pub(super) struct EventLoopDelay {
    last_tick: Cell<Instant>,
    last_delay: Cell<Duration>,
}

impl EventLoopDelay {
    pub(super) fn new() -> EventLoopDelay {
        EventLoopDelay { last_tick: Cell::new(Instant::now()), last_delay: Cell::default() }
    }

    /// Records each tick of the timer and its delay, until this future is dropped.
    pub(super) async fn measure(&self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.last_delay.set(self.overdue_by());
            self.last_tick.set(Instant::now());
        }
    }

    /// Upper bound on the time that data which is read now has waited in the kernel.
    pub(super) fn current(&self) -> Duration {
        self.overdue_by().max(self.last_delay.get())
    }

    /// By how much the next tick of the timer is overdue.
    fn overdue_by(&self) -> Duration {
        self.last_tick.get().elapsed().saturating_sub(2 * TICK_INTERVAL)
    }
}
