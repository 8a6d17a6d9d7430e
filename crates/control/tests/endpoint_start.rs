//! Starts of hosts under a wall clock that is right, ahead and behind.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_control::endpoint_start::{estimate_start, StartEvidence, MAX_START_REPORT_DELAY};

const S: fn(u64) -> Duration = Duration::from_secs;
const HOUR: Duration = Duration::from_secs(3600);
/// Now, on a clock that began a day ago.
const NOW: Duration = Duration::from_secs(86_400);

/// What is known of a host that started `age` ago, told at once to a process that had heard from discovery `quiet` ago.
fn seen(age: Duration, quiet: Option<Duration>, newest: Duration) -> StartEvidence {
    StartEvidence {
        now: NOW,
        wall_clock_start: Some(NOW - age),
        offset_before_newest: age - newest,
        last_discovery_message: quiet.map(|quiet| NOW - quiet),
    }
}

#[test]
fn a_right_clock_is_believed_as_far_as_discovery_has_spoken() {
    assert_eq!(estimate_start(seen(S(1), Some(S(2)), S(1))), NOW - S(1));
    // Discovery was down for half a minute, and the host started twenty seconds ago.
    assert_eq!(estimate_start(seen(S(20), Some(S(30)), S(20))), NOW - S(20));
    // It is told so late that it is taken for younger than it is.
    assert_eq!(estimate_start(seen(S(9), Some(S(1)), S(9))), NOW - S(1) - MAX_START_REPORT_DELAY);
}

#[test]
fn at_the_first_list_a_start_is_as_late_as_the_newest_allows() {
    assert_eq!(estimate_start(seen(S(5), None, S(1))), NOW - S(4), "the newest may have started just now");
    assert_eq!(estimate_start(seen(S(600), None, S(1))), NOW - S(599), "long before the newest is long ago");
    assert_eq!(
        estimate_start(seen(S(600), None, S(600))),
        NOW,
        "it is the newest, and nothing else dates it"
    );
}

proptest! {
    /// However wrong the wall clock is, no host is taken for older than it can be by what was seen, nor for one of the future; and
    /// where the clock is right, none is taken for older than it is.
    #[test]
    fn no_wall_clock_makes_a_cold_host_old(
        age_ms in 0u64..200_000, newest_ms in 0u64..200_000, quiet_ms in prop::option::of(0u64..60_000),
        wrong_ms in -3_700_000i64..3_700_000,
    ) {
        let newest = Duration::from_millis(newest_ms.min(age_ms));
        let right = seen(Duration::from_millis(age_ms), quiet_ms.map(Duration::from_millis), newest);
        let shift = Duration::from_millis(wrong_ms.unsigned_abs());
        let by = right.wall_clock_start.map(|by| if wrong_ms < 0 { by - shift } else { by + shift });
        let at = estimate_start(StartEvidence { wall_clock_start: by, ..right });
        prop_assert!(at <= NOW);
        let bound = match right.last_discovery_message {
            Some(heard) => heard.saturating_sub(MAX_START_REPORT_DELAY),
            None => NOW - right.offset_before_newest,
        };
        prop_assert!(at >= bound, "{at:?} is before {bound:?}");
        prop_assert!(estimate_start(right) >= right.wall_clock_start.expect("a time"), "a right clock bounds the age");
    }

    /// A host that was listed with no wall clock to go by is dated all the same.
    #[test]
    fn a_start_beyond_the_tie_of_the_clock_is_bounded_too(quiet_ms in 0u64..60_000) {
        let heard = NOW - Duration::from_millis(quiet_ms);
        let evidence = StartEvidence { now: NOW, wall_clock_start: None, offset_before_newest: HOUR, last_discovery_message: Some(heard) };
        prop_assert_eq!(estimate_start(evidence), heard - MAX_START_REPORT_DELAY);
    }
}
