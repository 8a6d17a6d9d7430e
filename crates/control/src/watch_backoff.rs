//! When a watch on pushed news of the hosts is opened again, and how much is said of its loss.
//!
//! Where lists are pushed, an agent on the gateway's own machine answers at once and at no cost, and what it has been sent
//! counts as told at once. So the wait is short and bounded; but an agent that takes connections and ends them must
//! cost neither the core nor the log.

use std::time::Duration;

/// Where discovery is asked, a call is given up when its first list has not come by then. Those that live wait their turn for 2 s, or 3;
/// one that is held for ever was heard by a discovery that has gone, and the one that came back knows nothing of it.
pub const POLL_FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(3200);
/// The same where lists are pushed: an agent on this machine answers at once. One that does not is silent, and may come back as an
/// agent that knows nothing of the call. What it says then counts at once, so that the next call has to be there within the
/// strictest time in which a drain must be heeded (300 ms), the wait before it ([`LONGEST`]) included.
pub const PUSH_FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(200);
/// An empty line comes every 2 s on a live watch; without any for so long it is dead.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2700);

/// The first wait after a watch that held.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(5);
/// The longest; a third of the strictest time in which a drain must be heeded (300 ms), with the way and the reading.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(80);
/// A watch that lived so long held. One that ended sooner is a failed try, whatever it said.
pub const STABLE_WATCH_AGE: Duration = Duration::from_secs(1);
/// At most one loss, and one return, is reported in this time.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// What follows from the loss of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchLoss {
    /// The next watch is opened after this time.
    pub retry_delay: Duration,
    /// Whether an operator is to be told.
    pub should_report: bool,
    /// How many watches in a row did not hold, this one included where it did not.
    pub consecutive_failures: u32,
}

/// The watches of one gateway, one after another.
#[derive(Clone, Debug, Default)]
pub struct WatchBackoff {
    opened: Duration,
    failed: u32,
    reported: Option<Duration>,
    /// Since when news have been missing, once that was reported and until their return is.
    missing: Option<Duration>,
}

impl WatchBackoff {
    /// A watch is opened.
    pub fn record_open(&mut self, now: Duration) {
        self.opened = now;
    }

    /// A word has come. For how long there had been none, where the loss was reported and the return was not.
    pub fn record_message(&mut self, now: Duration) -> Option<Duration> {
        self.missing.take().map(|since| now.saturating_sub(since))
    }

    /// The watch has ended.
    pub fn record_loss(&mut self, now: Duration) -> WatchLoss {
        self.failed = if now.saturating_sub(self.opened) >= STABLE_WATCH_AGE {
            0
        } else {
            self.failed.saturating_add(1)
        };
        let report = self.reported.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        if report {
            self.reported = Some(now);
            self.missing.get_or_insert(now);
        }
        let doubled = FIRST_RETRY_DELAY * 2u32.saturating_pow(self.failed.min(16));
        WatchLoss {
            retry_delay: doubled.min(MAX_RETRY_DELAY),
            should_report: report,
            consecutive_failures: self.failed,
        }
    }

    /// Another agent is asked from now on: what was learned of the one before says nothing of it.
    pub fn reset(&mut self) {
        self.failed = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn a_watch_that_held_is_opened_again_at_once_and_one_that_did_not_ever_later() {
        let mut watches = WatchBackoff::default();
        watches.record_open(ms(0));
        assert_eq!(
            watches.record_loss(ms(60_000)),
            WatchLoss { retry_delay: FIRST_RETRY_DELAY, should_report: true, consecutive_failures: 0 }
        );
        let mut now = ms(60_005);
        let waits: Vec<Duration> = (0..6)
            .map(|_| {
                watches.record_open(now);
                let lost = watches.record_loss(now + ms(1));
                now += ms(1) + lost.retry_delay;
                lost.retry_delay
            })
            .collect();
        assert_eq!(waits, [ms(10), ms(20), ms(40), MAX_RETRY_DELAY, MAX_RETRY_DELAY, MAX_RETRY_DELAY]);
        watches.reset();
        watches.record_open(now);
        assert_eq!(watches.record_loss(now).retry_delay, ms(10), "another agent has not failed yet");
    }

    #[test]
    fn a_return_is_reported_once_and_only_after_a_loss_that_was() {
        let mut watches = WatchBackoff::default();
        watches.record_open(ms(0));
        assert_eq!(watches.record_message(ms(1)), None);
        assert!(watches.record_loss(ms(5000)).should_report);
        watches.record_open(ms(5005));
        assert!(!watches.record_loss(ms(5006)).should_report, "the same outage");
        assert_eq!(watches.record_message(ms(9000)), Some(ms(4000)));
        assert_eq!(watches.record_message(ms(9001)), None);
        assert!(!watches.record_loss(ms(9002)).should_report);
        assert_eq!(watches.record_message(ms(9010)), None, "its loss was not told of");
    }

    proptest! {
        /// An agent that takes every connection, says something and ends it, however it times that.
        #[test]
        fn no_agent_floods_the_log_or_keeps_the_core_busy(
            lives in prop::collection::vec((0u64..3000, any::<bool>()), 1..400),
        ) {
            let mut watches = WatchBackoff::default();
            let (mut now, mut lines, mut short) = (ms(0), 0u32, 0u32);
            for (life, speaks) in lives {
                watches.record_open(now);
                if speaks {
                    lines += u32::from(watches.record_message(now).is_some());
                }
                now += ms(life);
                let lost = watches.record_loss(now);
                lines += u32::from(lost.should_report);
                prop_assert!(lost.retry_delay >= FIRST_RETRY_DELAY && lost.retry_delay <= MAX_RETRY_DELAY, "{:?}", lost.retry_delay);
                short = if ms(life) < STABLE_WATCH_AGE { short + 1 } else { 0 };
                prop_assert!(short < 4 || lost.retry_delay == MAX_RETRY_DELAY, "{short} short ones, {:?}", lost.retry_delay);
                now += lost.retry_delay;
            }
            let most = 2 * (1 + (now.as_millis() / REPORT_INTERVAL.as_millis()) as u32);
            prop_assert!(lines <= most, "{lines} lines in {now:?}");
        }
    }
}
