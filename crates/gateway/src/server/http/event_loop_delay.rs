//! How late the event loop runs.
//!
//! Nothing says when a request arrived in the kernel: a process that was suspended or starved for a while reads everything that
//! came meanwhile as if it were new. The delay of a periodic timer bounds how long it may have waited.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Interval of the timer whose lateness is measured.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The lateness of the event loop's timer.
pub(super) struct EventLoopDelay {
    last_tick: Cell<Instant>,
    last_delay: Cell<Duration>,
}

impl EventLoopDelay {
    pub(super) fn new() -> EventLoopDelay {
        EventLoopDelay { last_tick: Cell::new(Instant::now()), last_delay: Cell::default() }
    }

    /// Records each tick and its lateness, until it is dropped.
    pub(super) async fn measure(&self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.last_delay.set(self.since_due());
            self.last_tick.set(Instant::now());
        }
    }

    /// How long data that is read now may have waited in the kernel.
    pub(super) fn current(&self) -> Duration {
        self.since_due().max(self.last_delay.get())
    }

    /// How long the next tick is overdue.
    fn since_due(&self) -> Duration {
        self.last_tick.get().elapsed().saturating_sub(2 * TICK_INTERVAL)
    }
}
