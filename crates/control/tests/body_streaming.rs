//! What is held, what passes through, and who is waited for.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_control::body_streaming::{
    BodyError, BodyTransfer, BufferingDecision, ResponseBuffering, TransferState, MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES, PEER_STALL_TIMEOUT,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn an_answer_is_held_until_it_is_known_to_be_long() {
    // What it says, what has come of it after how long, and what follows.
    let held = MAX_BUFFERED_BODY_BYTES as u64;
    let cases = [
        (Some(200), &[(0, 200)][..], 500, BufferingDecision::KeepBuffering),
        (Some(held), &[(0, held)], 500, BufferingDecision::KeepBuffering),
        (Some(held + 1), &[(0, 100)], 39, BufferingDecision::KeepBuffering),
        (Some(held + 1), &[(0, 100)], 40, BufferingDecision::Stream),
        (Some(held + 1), &[], 500, BufferingDecision::KeepBuffering),
        (Some(MAX_BODY_BYTES), &[(0, held + 1)], 0, BufferingDecision::Stream),
        (Some(MAX_BODY_BYTES + 1), &[], 0, BufferingDecision::TooLong),
        (None, &[(0, 4000)], 500, BufferingDecision::KeepBuffering),
        (None, &[(0, 2000), (50, 3000)], 59, BufferingDecision::KeepBuffering),
        (None, &[(0, 2000), (50, 3000)], 60, BufferingDecision::Stream),
        (None, &[(0, held + 1)], 0, BufferingDecision::Stream),
        (None, &[(0, held), (10, MAX_BODY_BYTES)], 10, BufferingDecision::TooLong),
    ];
    for (said, came, at, verdict) in cases {
        let mut intake = ResponseBuffering::new(said);
        for (ms, bytes) in came {
            intake.record_received(MS(1000 + ms), *bytes);
        }
        assert_eq!(intake.decide(MS(1000 + at)), verdict, "{said:?} {came:?} after {at} ms");
    }
    assert_eq!(
        ResponseBuffering::next_byte_deadline(MS(10), MS(5)),
        MS(110),
        "what was read before its first byte was another's"
    );
    assert_eq!(ResponseBuffering::next_byte_deadline(MS(10), MS(90)), MS(190));
}

#[test]
fn a_client_has_its_time_by_what_it_brings_and_a_host_by_what_it_takes() {
    let mut transit = BodyTransfer::new(0);
    assert_eq!((transit.state(), transit.endpoint_deadline()), (TransferState::Intact, None));
    transit.record_demand(MS(0));
    assert_eq!(transit.endpoint_deadline(), Some(PEER_STALL_TIMEOUT), "the first piece is its to take");
    assert_eq!(transit.client_deadline(MS(100)), MS(1600));
    assert_eq!(transit.client_deadline(MS(900)), MS(1600), "asking again gives no more time");
    assert_eq!(transit.endpoint_deadline(), None, "it is not the host that is waited for");
    transit.record_received(MS(1100), 32_000).expect("short enough");
    // A second used, and a second earned.
    assert_eq!(transit.client_deadline(MS(1100)), MS(1100 + 1500));
    transit.record_received(MS(1200), 32_000).expect("short enough");
    transit.record_demand(MS(1200));
    // The host takes nine seconds over it: that is not held against the client.
    transit.record_demand(MS(10_200));
    assert_eq!(transit.client_deadline(MS(10_200)), MS(10_200 + 1500 + 2000 - 1100));
    transit.record_received(MS(10_300), MAX_BODY_BYTES).expect_err("too long");
    assert_eq!(
        (transit.state(), transit.endpoint_deadline()),
        (TransferState::Failed(BodyError::TooLong), None)
    );
}

proptest! {
    /// Whoever keeps the rate is never cut off, and whoever brings nothing is within its time.
    #[test]
    fn the_rate_that_slow_clients_are_owed_is_enough(pieces in prop::collection::vec((1u64..40_000, 0u64..9000), 1..60)) {
        let (mut transit, mut now) = (BodyTransfer::new(0), MS(0));
        for (bytes, host_ms) in pieces {
            transit.record_demand(now);
            let due = transit.client_deadline(now);
            let comes = now + Duration::from_secs_f64(bytes as f64 / 64e3);
            prop_assert!(comes <= due, "64 kB/s, cut off at {:?} for {:?}", due, comes);
            prop_assert!(due <= now + MS(1500) + Duration::from_secs_f64(MAX_BODY_BYTES as f64 / 32e3));
            now = comes;
            if transit.record_received(now, bytes).is_err() {
                return Ok(());
            }
            prop_assert!(transit.endpoint_deadline().is_some_and(|due| due >= now.saturating_sub(MS(9000))));
            now += MS(host_ms); // the host is slow, within its own time
        }
        // Its end has come from the client; the host has to take what is left of it still, in its time.
        transit.record_demand(now);
        transit.record_end();
        prop_assert_eq!((transit.state(), transit.endpoint_deadline()), (TransferState::Complete, Some(now + PEER_STALL_TIMEOUT)));
    }

    /// Once begun, an answer that grows is never held again.
    #[test]
    fn a_choice_is_final(said in prop::option::of(0u64..200_000), pieces in prop::collection::vec((0u64..90, 0u64..30_000), 1..40)) {
        let (mut intake, mut now, mut begun) = (ResponseBuffering::new(said), MS(0), false);
        for (ms, bytes) in pieces {
            now += MS(ms);
            intake.record_received(now, bytes);
            let verdict = intake.decide(now);
            prop_assert!(!begun || verdict == BufferingDecision::Stream, "{:?}", verdict);
            begun |= verdict == BufferingDecision::Stream;
        }
    }
}

/// A client that stops is owed its error within 3 s, however much it brought before; one that keeps its rate has its time.
#[test]
fn a_client_that_stops_has_no_more_time_for_what_it_brought() {
    use weldworks_control::body_streaming::CLIENT_BODY_IDLE_TIMEOUT;
    for brought in [0, 100, 64 << 10, 1 << 20, 31 << 20] {
        let mut transit = BodyTransfer::new(brought);
        let stopped = Duration::from_secs(7);
        let due = transit.client_deadline(stopped);
        assert!(due <= stopped + CLIENT_BODY_IDLE_TIMEOUT, "{brought} bytes: waited for until {due:?}");
        assert!(
            CLIENT_BODY_IDLE_TIMEOUT + Duration::from_millis(400) < Duration::from_secs(3),
            "with a busy machine's delay"
        );
        assert!(due >= stopped + Duration::from_millis(1500), "{brought} bytes: {due:?} is no time");
    }
    // A piece of 64 kB every second goes on for as long as it likes.
    let mut transit = BodyTransfer::default();
    for second in 0..60 {
        let now = Duration::from_secs(second);
        assert!(transit.client_deadline(now) > now + Duration::from_secs(1), "{second} s");
        transit.record_received(now + Duration::from_secs(1), 64_000).expect("not too long");
    }
}
