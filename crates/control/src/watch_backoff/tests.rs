//! Retry delays and reports of watches that end, in virtual time.

use super::*;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn retry_delay_restarts_after_a_stable_watch_and_doubles_after_each_failure() {
    let mut backoff = WatchBackoff::default();
    backoff.record_open(ms(0));
    assert_eq!(
        backoff.record_loss(ms(60_000)),
        WatchLoss { retry_delay: FIRST_RETRY_DELAY, should_report: true, consecutive_failures: 0 }
    );
    let mut now = ms(60_005);
    let delays: Vec<Duration> = (0..6)
        .map(|_| {
            backoff.record_open(now);
            let loss = backoff.record_loss(now + ms(1));
            now += ms(1) + loss.retry_delay;
            loss.retry_delay
        })
        .collect();
    assert_eq!(delays, [ms(10), ms(20), ms(40), MAX_RETRY_DELAY, MAX_RETRY_DELAY, MAX_RETRY_DELAY]);
    backoff.reset();
    backoff.record_open(now);
    assert_eq!(
        backoff.record_loss(now).retry_delay,
        ms(10),
        "failures of the previous agent do not count for the next one"
    );
}

#[test]
fn recovery_is_reported_once_and_only_after_a_reported_loss() {
    let mut backoff = WatchBackoff::default();
    backoff.record_open(ms(0));
    assert_eq!(backoff.record_message(ms(1)), None);
    assert!(backoff.record_loss(ms(5000)).should_report);
    backoff.record_open(ms(5005));
    assert!(!backoff.record_loss(ms(5006)).should_report, "a second loss in one outage is not reported");
    assert_eq!(backoff.record_message(ms(9000)), Some(ms(4000)));
    assert_eq!(backoff.record_message(ms(9001)), None);
    assert!(!backoff.record_loss(ms(9002)).should_report);
    assert_eq!(backoff.record_message(ms(9010)), None, "the loss was not reported");
}

proptest! {
    /// An agent accepts every connection, sends a message or none and closes the
    /// connection, at any moment. Without bounds on reports and retry delays, such an
    /// agent would make the gateway flood the log or keep a core busy with reconnecting.
    #[test]
    fn reports_and_retries_stay_bounded_whatever_the_agent_does(
        watches in prop::collection::vec((0u64..3000, any::<bool>()), 1..400),
    ) {
        let mut backoff = WatchBackoff::default();
        let mut now = ms(0);
        let mut reports = 0u32;
        let mut failures = 0u32;
        for (age_ms, sends_message) in watches {
            backoff.record_open(now);
            if sends_message {
                reports += u32::from(backoff.record_message(now).is_some());
            }
            now += ms(age_ms);
            let loss = backoff.record_loss(now);
            reports += u32::from(loss.should_report);
            prop_assert!(loss.retry_delay >= FIRST_RETRY_DELAY && loss.retry_delay <= MAX_RETRY_DELAY, "{:?}", loss.retry_delay);
            failures = if ms(age_ms) < STABLE_WATCH_AGE { failures + 1 } else { 0 };
            prop_assert!(failures < 4 || loss.retry_delay == MAX_RETRY_DELAY, "{failures} failures, {:?}", loss.retry_delay);
            now += loss.retry_delay;
        }
        let max_reports = 2 * (1 + (now.as_millis() / REPORT_INTERVAL.as_millis()) as u32);
        prop_assert!(reports <= max_reports, "{reports} reports in {now:?}");
    }
}
