//! Push mode of discovery: when the next watch is opened after the loss of a watch, and how often such losses are
//! reported. Pull mode: the module `discovery_polling` of the balancer.
//!
//! Where endpoint lists are pushed, an agent on the gateway's own machine answers at once and at no cost, and the
//! gateway must follow a delta from the moment at which the agent receives it. So the retry delay is short and bounded.
//! An agent that accepts connections and ends them at once must neither keep a core busy nor flood the log.

use std::time::Duration;

/// Timeout for the first endpoint list of a poll of discovery. A live discovery answers within 2 or 3 s; a poll that is
/// open for longer without an answer was accepted by a process that has ended.
pub const POLL_FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(3200);
/// Timeout for the first endpoint list of a watch in push mode. A restarted agent has lost the watch, so the next watch
/// must be open within the strictest limit for observing a drain (300 ms), [`MAX_RETRY_DELAY`] included.
pub const PUSH_FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(200);
/// Time without any data after which a watch counts as lost. A live watch sends an empty line every 2 s.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2700);

/// Delay before the next watch is opened after the loss of a stable watch; it doubles with each consecutive failure.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Longest delay before the next watch is opened: under a third of the strictest limit for observing a drain (300 ms),
/// since this limit also covers connecting and reading the endpoint list.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Age at which a watch counts as stable. A watch that ended earlier is a failure, even if it sent endpoint lists.
pub const STABLE_WATCH_AGE: Duration = Duration::from_secs(1);
/// Time within which at most one loss and one recovery of the watch are reported.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Largest number of doublings of [`FIRST_RETRY_DELAY`]; keeps the product from overflowing.
const MAX_DOUBLINGS: u32 = 16;

/// What follows from the loss of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchLoss {
    /// Delay before the next watch is opened.
    pub retry_delay: Duration,
    /// Whether the loss of the watch should be reported to an operator.
    pub should_report: bool,
    /// Number of consecutive watches that were not stable, including the watch that was just lost.
    pub consecutive_failures: u32,
}

/// Backoff and loss reports of the consecutive watches of one gateway.
#[derive(Clone, Debug, Default)]
pub struct WatchBackoff {
    opened_at: Duration,
    consecutive_failures: u32,
    last_reported_at: Option<Duration>,
    /// Start of an outage that was reported, until its recovery is reported.
    outage_since: Option<Duration>,
}

impl WatchBackoff {
    /// Records that a watch is opened.
    pub fn record_open(&mut self, now: Duration) {
        self.opened_at = now;
    }

    /// Records a message from discovery. Returns the length of the
    /// outage if the outage was reported and its recovery was not.
    pub fn record_message(&mut self, now: Duration) -> Option<Duration> {
        let since = self.outage_since.take()?;
        Some(now.saturating_sub(since))
    }

    /// Records that the watch was lost, and returns what follows from the loss.
    pub fn record_loss(&mut self, now: Duration) -> WatchLoss {
        let was_stable = now.saturating_sub(self.opened_at) >= STABLE_WATCH_AGE;
        self.consecutive_failures = if was_stable { 0 } else { self.consecutive_failures.saturating_add(1) };
        let should_report = self
            .last_reported_at
            .is_none_or(|reported_at| now.saturating_sub(reported_at) >= REPORT_INTERVAL);
        if should_report {
            self.last_reported_at = Some(now);
            self.outage_since.get_or_insert(now);
        }
        WatchLoss {
            retry_delay: retry_delay(self.consecutive_failures),
            should_report,
            consecutive_failures: self.consecutive_failures,
        }
    }

    /// Forgets the failures of the previous agent when the gateway switches to another agent.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }
}

/// The delay before the next watch: [`FIRST_RETRY_DELAY`] doubled for each failure, up to [`MAX_RETRY_DELAY`].
fn retry_delay(consecutive_failures: u32) -> Duration {
    let doublings = consecutive_failures.min(MAX_DOUBLINGS);
    (FIRST_RETRY_DELAY * 2u32.saturating_pow(doublings)).min(MAX_RETRY_DELAY)
}

#[cfg(test)]
mod tests;
