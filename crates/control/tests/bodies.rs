//! What is held, what passes through, and who is waited for.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_control::bodies::{Fault, Intake, Passage, Transit, Verdict, HELD, MOST, STALL};

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn an_answer_is_held_until_it_is_known_to_be_long() {
    // What it says, what has come of it after how long, and what follows.
    let held = HELD as u64;
    let cases = [
        (Some(200), &[(0, 200)][..], 500, Verdict::Hold),
        (Some(held), &[(0, held)], 500, Verdict::Hold),
        (Some(held + 1), &[(0, 100)], 39, Verdict::Hold),
        (Some(held + 1), &[(0, 100)], 40, Verdict::PassOn),
        (Some(held + 1), &[], 500, Verdict::Hold),
        (Some(MOST), &[(0, held + 1)], 0, Verdict::PassOn),
        (Some(MOST + 1), &[], 0, Verdict::Spoilt),
        (None, &[(0, 4000)], 500, Verdict::Hold),
        (None, &[(0, 2000), (50, 3000)], 59, Verdict::Hold),
        (None, &[(0, 2000), (50, 3000)], 60, Verdict::PassOn),
        (None, &[(0, held + 1)], 0, Verdict::PassOn),
        (None, &[(0, held), (10, MOST)], 10, Verdict::Spoilt),
    ];
    for (said, came, at, verdict) in cases {
        let mut intake = Intake::new(said);
        for (ms, bytes) in came {
            intake.came(MS(1000 + ms), *bytes);
        }
        assert_eq!(intake.verdict(MS(1000 + at)), verdict, "{said:?} {came:?} after {at} ms");
    }
    assert_eq!(Intake::due(MS(10), MS(5)), MS(110), "what was read before its first byte was another's");
    assert_eq!(Intake::due(MS(10), MS(90)), MS(190));
}

#[test]
fn a_client_has_its_time_by_what_it_brings_and_a_host_by_what_it_takes() {
    let mut transit = Transit::new(0);
    assert_eq!((transit.passage(), transit.host_due()), (Passage::Intact, None));
    transit.wanted(MS(0));
    assert_eq!(transit.host_due(), Some(STALL), "the first piece is its to take");
    assert_eq!(transit.await_client(MS(100)), MS(1600));
    assert_eq!(transit.await_client(MS(900)), MS(1600), "asking again gives no more time");
    assert_eq!(transit.host_due(), None, "it is not the host that is waited for");
    transit.came(MS(1100), 32_000).expect("short enough");
    // A second used, and a second earned.
    assert_eq!(transit.await_client(MS(1100)), MS(1100 + 1500));
    transit.came(MS(1200), 32_000).expect("short enough");
    transit.wanted(MS(1200));
    // The host takes nine seconds over it: that is not held against the client.
    transit.wanted(MS(10_200));
    assert_eq!(transit.await_client(MS(10_200)), MS(10_200 + 1500 + 2000 - 1100));
    transit.came(MS(10_300), MOST).expect_err("too long");
    assert_eq!((transit.passage(), transit.host_due()), (Passage::Failed(Fault::Long), None));
}

proptest! {
    /// Whoever keeps the rate is never cut off, and whoever brings nothing is within its time.
    #[test]
    fn the_rate_that_slow_clients_are_owed_is_enough(pieces in prop::collection::vec((1u64..40_000, 0u64..9000), 1..60)) {
        let (mut transit, mut now) = (Transit::new(0), MS(0));
        for (bytes, host_ms) in pieces {
            transit.wanted(now);
            let due = transit.await_client(now);
            let comes = now + Duration::from_secs_f64(bytes as f64 / 64e3);
            prop_assert!(comes <= due, "64 kB/s, cut off at {:?} for {:?}", due, comes);
            prop_assert!(due <= now + MS(1500) + Duration::from_secs_f64(MOST as f64 / 32e3));
            now = comes;
            if transit.came(now, bytes).is_err() {
                return Ok(());
            }
            prop_assert!(transit.host_due().is_some_and(|due| due >= now.saturating_sub(MS(9000))));
            now += MS(host_ms); // the host is slow, within its own time
        }
        // Its end has come from the client; the host has to take what is left of it still, in its time.
        transit.wanted(now);
        transit.ended();
        prop_assert_eq!((transit.passage(), transit.host_due()), (Passage::Complete, Some(now + STALL)));
    }

    /// Once begun, an answer that grows is never held again.
    #[test]
    fn a_choice_is_final(said in prop::option::of(0u64..200_000), pieces in prop::collection::vec((0u64..90, 0u64..30_000), 1..40)) {
        let (mut intake, mut now, mut begun) = (Intake::new(said), MS(0), false);
        for (ms, bytes) in pieces {
            now += MS(ms);
            intake.came(now, bytes);
            let verdict = intake.verdict(now);
            prop_assert!(!begun || verdict == Verdict::PassOn, "{:?}", verdict);
            begun |= verdict == Verdict::PassOn;
        }
    }
}

/// A client that stops is owed its error within 3 s, however much it brought before; one that keeps its rate has its time.
#[test]
fn a_client_that_stops_has_no_more_time_for_what_it_brought() {
    use weldworks_control::bodies::STOPPED;
    for brought in [0, 100, 64 << 10, 1 << 20, 31 << 20] {
        let mut transit = Transit::new(brought);
        let stopped = Duration::from_secs(7);
        let due = transit.await_client(stopped);
        assert!(due <= stopped + STOPPED, "{brought} bytes: waited for until {due:?}");
        assert!(STOPPED + Duration::from_millis(400) < Duration::from_secs(3), "with a busy machine's delay");
        assert!(due >= stopped + Duration::from_millis(1500), "{brought} bytes: {due:?} is no time");
    }
    // A piece of 64 kB every second goes on for as long as it likes.
    let mut transit = Transit::default();
    for second in 0..60 {
        let now = Duration::from_secs(second);
        assert!(transit.await_client(now) > now + Duration::from_secs(1), "{second} s");
        transit.came(now + Duration::from_secs(1), 64_000).expect("not too long");
    }
}
