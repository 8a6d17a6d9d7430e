//! Estimates of endpoint starts with a wall clock that is right, ahead or behind.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_control::endpoint_start::{estimate_start, StartEvidence, MAX_START_REPORT_DELAY};

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

const HOUR: Duration = Duration::from_secs(3600);
/// Current time, on a clock that began a day ago.
const NOW: Duration = Duration::from_secs(86_400);

/// Evidence of an endpoint that started `age` ago and is first listed now, for a process that received its previous
/// discovery message `silent_for` ago. The newest endpoint started `newest_age` ago.
fn evidence(age: Duration, silent_for: Option<Duration>, newest_age: Duration) -> StartEvidence {
    StartEvidence {
        now: NOW,
        wall_clock_start: Some(NOW - age),
        offset_before_newest: age - newest_age,
        last_discovery_message: silent_for.map(|silent_for| NOW - silent_for),
    }
}

#[test]
fn a_correct_wall_clock_is_used_within_the_bound_of_the_last_discovery_message() {
    assert_eq!(estimate_start(evidence(seconds(1), Some(seconds(2)), seconds(1))), NOW - seconds(1));
    // Discovery was down for half a minute, and the endpoint started twenty seconds ago.
    assert_eq!(estimate_start(evidence(seconds(20), Some(seconds(30)), seconds(20))), NOW - seconds(20));
    // An endpoint is listed so late that its start is estimated later than it was.
    assert_eq!(
        estimate_start(evidence(seconds(9), Some(seconds(1)), seconds(9))),
        NOW - seconds(1) - MAX_START_REPORT_DELAY
    );
}

#[test]
fn a_start_in_the_first_list_is_estimated_as_late_as_the_newest_start_allows() {
    assert_eq!(
        estimate_start(evidence(seconds(5), None, seconds(1))),
        NOW - seconds(4),
        "the newest endpoint may have started just now"
    );
    assert_eq!(
        estimate_start(evidence(seconds(600), None, seconds(1))),
        NOW - seconds(599),
        "a start long before the newest one was long ago"
    );
    assert_eq!(
        estimate_start(evidence(seconds(600), None, seconds(600))),
        NOW,
        "the endpoint is the newest, and nothing else dates its start"
    );
}

proptest! {
    /// A wall clock was stepped by up to an hour. An endpoint in slow start that is taken for an older one gets more
    /// requests than it can serve. So no endpoint is taken for older than it can be, nor for one that starts in the
    /// future, and with a right clock no endpoint is taken for older than it is.
    #[test]
    fn no_wall_clock_error_makes_an_endpoint_in_slow_start_seem_older(
        age_ms in 0u64..200_000, newest_ms in 0u64..200_000, silent_ms in prop::option::of(0u64..60_000),
        clock_error_ms in -3_700_000i64..3_700_000,
    ) {
        let newest = Duration::from_millis(newest_ms.min(age_ms));
        let right = evidence(Duration::from_millis(age_ms), silent_ms.map(Duration::from_millis), newest);
        let clock_error = Duration::from_millis(clock_error_ms.unsigned_abs());
        let wall_clock_start = right
            .wall_clock_start
            .map(|start| if clock_error_ms < 0 { start - clock_error } else { start + clock_error });
        let start = estimate_start(StartEvidence { wall_clock_start, ..right });
        prop_assert!(start <= NOW);
        let bound = match right.last_discovery_message {
            Some(message_at) => message_at.saturating_sub(MAX_START_REPORT_DELAY),
            None => NOW - right.offset_before_newest,
        };
        prop_assert!(start >= bound, "{start:?} is before {bound:?}");
        prop_assert!(estimate_start(right) >= right.wall_clock_start.expect("the evidence has a wall-clock start"), "a right clock bounds the age");
    }

    /// The estimated start has a bound even if the wall clock can't date it.
    #[test]
    fn a_start_without_a_wall_clock_date_is_bounded_too(silent_ms in 0u64..60_000) {
        let message_at = NOW - Duration::from_millis(silent_ms);
        let evidence = StartEvidence {
            now: NOW,
            wall_clock_start: None,
            offset_before_newest: HOUR,
            last_discovery_message: Some(message_at),
        };
        prop_assert_eq!(estimate_start(evidence), message_at - MAX_START_REPORT_DELAY);
    }
}
