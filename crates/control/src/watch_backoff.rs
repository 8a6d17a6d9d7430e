//! Push mode of discovery: when a watch is opened again after it ended, and how often its loss is reported. Pull mode:
//! `discovery_polling` of the balancer.
//!
//! Where endpoint lists are pushed, an agent on the gateway's own machine answers at once and at no cost, and the
//! gateway is responsible for a change as soon as the agent has been sent it. So the retry delay is short and bounded.
//! An agent that accepts connections and ends them at once must neither keep a core busy nor flood the log.

use std::time::Duration;

/// Timeout of the first list of a poll of discovery. A live discovery answers within 2 or 3 s; a poll that stays open
/// longer was accepted by a process that has ended.
pub const POLL_FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(3200);
/// Timeout of the first list of a watch on pushed lists. A restarted agent has lost the watch, so the next one must be
/// open within the strictest limit for observing a drain (300 ms), [`MAX_RETRY_DELAY`] included.
pub const PUSH_FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(200);
/// Time without any data after which a watch is dead. A live watch sends an empty line every 2 s.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2700);

/// Retry delay after a watch that was stable; it doubles with each consecutive failure.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Longest retry delay: under a third of the strictest limit for observing a drain (300 ms), which also covers the
/// connection and the reading of the list.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Age at which a watch counts as stable. One that ended earlier is a failure, even if it sent lists.
pub const STABLE_WATCH_AGE: Duration = Duration::from_secs(1);
/// Time within which at most one loss and one recovery are reported.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Largest number of doublings of [`FIRST_RETRY_DELAY`]; keeps the product from overflowing.
const MAX_DOUBLINGS: u32 = 16;

/// Consequences of the loss of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchLoss {
    /// Delay before the next watch is opened.
    pub retry_delay: Duration,
    /// Whether the loss should be reported to an operator.
    pub should_report: bool,
    /// Number of consecutive watches that were not stable, this one included.
    pub consecutive_failures: u32,
}

/// Backoff and reports of the consecutive watches of one gateway.
#[derive(Clone, Debug, Default)]
pub struct WatchBackoff {
    opened_at: Duration,
    consecutive_failures: u32,
    last_reported_at: Option<Duration>,
    /// Start of an outage that was reported and whose recovery was not.
    outage_since: Option<Duration>,
}

impl WatchBackoff {
    /// Records that a watch is opened.
    pub fn record_open(&mut self, now: Duration) {
        self.opened_at = now;
    }

    /// Records a message from discovery. Returns the length of the outage where its loss was reported and its recovery
    /// was not.
    pub fn record_message(&mut self, now: Duration) -> Option<Duration> {
        let since = self.outage_since.take()?;
        Some(now.saturating_sub(since))
    }

    /// Records that the watch ended.
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

    /// Forgets the failures of the previous agent when the gateway switches to another one.
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
