//! Limits how many log lines of one kind are written per second, so that a burst of failures does not flood the log.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time over which log lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of log lines of one kind in a window.
const MAX_LINES_PER_WINDOW: u32 = 10;

/// The limit for one kind of log line.
#[derive(Debug, Default)]
pub struct LogRateLimit {
    window_start: Cell<Option<Instant>>,
    lines: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogRateLimit {
    /// Whether a line may be written at `now`: if so, returns how many lines were suppressed since the last line that was written.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let is_in_window = self.window_start.get().is_some_and(|start| now - start < WINDOW);
        if !is_in_window {
            self.window_start.set(Some(now));
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES_PER_WINDOW {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.suppressed.take())
    }
}

#[cfg(test)]
mod tests;
