//! What is buffered, what is streamed, and which side is waited for.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_control::body_streaming::{
    BodyError, BodyTransfer, BufferingDecision, ResponseBuffering, TransferState, CLIENT_BODY_IDLE_TIMEOUT,
    MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, PEER_STALL_TIMEOUT,
};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_response_is_buffered_until_it_proves_to_be_long() {
    // Announced length, bytes received and when, the time of the decision, and the decision.
    let limit = MAX_BUFFERED_BODY_BYTES as u64;
    let cases = [
        (Some(200), &[(0, 200)][..], 500, BufferingDecision::KeepBuffering),
        (Some(limit), &[(0, limit)], 500, BufferingDecision::KeepBuffering),
        (Some(limit + 1), &[(0, 100)], 39, BufferingDecision::KeepBuffering),
        (Some(limit + 1), &[(0, 100)], 40, BufferingDecision::Stream),
        (Some(limit + 1), &[], 500, BufferingDecision::KeepBuffering),
        (Some(MAX_BODY_BYTES), &[(0, limit + 1)], 0, BufferingDecision::Stream),
        (Some(MAX_BODY_BYTES + 1), &[], 0, BufferingDecision::TooLong),
        (None, &[(0, 4000)], 500, BufferingDecision::KeepBuffering),
        (None, &[(0, 2000), (50, 3000)], 59, BufferingDecision::KeepBuffering),
        (None, &[(0, 2000), (50, 3000)], 60, BufferingDecision::Stream),
        (None, &[(0, limit + 1)], 0, BufferingDecision::Stream),
        (None, &[(0, limit), (10, MAX_BODY_BYTES)], 10, BufferingDecision::TooLong),
    ];
    for (announced, received, decided_after_ms, expected) in cases {
        let mut buffering = ResponseBuffering::new(announced);
        for (after_ms, bytes) in received {
            buffering.record_received(ms(1000 + after_ms), *bytes);
        }
        let decision = buffering.decide(ms(1000 + decided_after_ms));
        assert_eq!(decision, expected, "{announced:?} {received:?} after {decided_after_ms} ms");
    }
    assert_eq!(
        ResponseBuffering::next_byte_deadline(ms(10), ms(5)),
        ms(110),
        "a read before its first byte belongs to an earlier response"
    );
    assert_eq!(ResponseBuffering::next_byte_deadline(ms(10), ms(90)), ms(190));
}

#[test]
fn a_client_is_timed_by_what_it_sends_and_an_endpoint_by_what_it_accepts() {
    let mut transfer = BodyTransfer::new(0);
    assert_eq!((transfer.state(), transfer.endpoint_deadline()), (TransferState::NotForwarded, None));
    transfer.record_endpoint_ready(ms(0));
    assert_eq!(transfer.endpoint_deadline(), Some(PEER_STALL_TIMEOUT), "it has to accept the first piece");
    assert_eq!(transfer.next_client_data_deadline(ms(100)), ms(1600));
    assert_eq!(transfer.next_client_data_deadline(ms(900)), ms(1600), "a second call gives no more time");
    assert_eq!(transfer.endpoint_deadline(), None, "the client is waited for");
    transfer.record_received(ms(1100), 32_000).expect("short enough");
    // One second used, and one second earned.
    assert_eq!(transfer.next_client_data_deadline(ms(1100)), ms(1100 + 1500));
    transfer.record_received(ms(1200), 32_000).expect("short enough");
    transfer.record_endpoint_ready(ms(1200));
    // The endpoint takes nine seconds over it, which does not count against the client.
    transfer.record_endpoint_ready(ms(10_200));
    assert_eq!(transfer.next_client_data_deadline(ms(10_200)), ms(10_200 + 1500 + 2000 - 1100));
    transfer.record_received(ms(10_300), MAX_BODY_BYTES).expect_err("too long");
    assert_eq!(
        (transfer.state(), transfer.endpoint_deadline()),
        (TransferState::Failed(BodyError::TooLong), None)
    );
}

proptest! {
    /// Slow clients are promised 64 kB/s. One that keeps this rate must never be cut off, however slow the endpoint is
    /// within its own time.
    #[test]
    fn a_client_at_the_promised_rate_is_never_cut_off(pieces in prop::collection::vec((1u64..40_000, 0u64..9000), 1..60)) {
        let mut transfer = BodyTransfer::new(0);
        let mut now = ms(0);
        for (bytes, endpoint_ms) in pieces {
            transfer.record_endpoint_ready(now);
            let deadline = transfer.next_client_data_deadline(now);
            let arrival = now + Duration::from_secs_f64(bytes as f64 / 64e3);
            prop_assert!(arrival <= deadline, "64 kB/s, cut off at {:?} for {:?}", deadline, arrival);
            prop_assert!(deadline <= now + ms(1500) + Duration::from_secs_f64(MAX_BODY_BYTES as f64 / 32e3));
            now = arrival;
            if transfer.record_received(now, bytes).is_err() {
                return Ok(());
            }
            prop_assert!(transfer.endpoint_deadline().is_some_and(|due| due >= now.saturating_sub(ms(9000))));
            now += ms(endpoint_ms);
        }
        // The client has sent everything; the endpoint still has to accept the rest, in its time.
        transfer.record_endpoint_ready(now);
        transfer.record_end();
        prop_assert_eq!((transfer.state(), transfer.endpoint_deadline()), (TransferState::Complete, Some(now + PEER_STALL_TIMEOUT)));
    }

    /// Bytes that were forwarded can't be taken back, so a streamed response is never buffered again.
    #[test]
    fn a_decision_to_stream_is_final(announced in prop::option::of(0u64..200_000), pieces in prop::collection::vec((0u64..90, 0u64..30_000), 1..40)) {
        let mut buffering = ResponseBuffering::new(announced);
        let mut now = ms(0);
        let mut is_streamed = false;
        for (pause_ms, bytes) in pieces {
            now += ms(pause_ms);
            buffering.record_received(now, bytes);
            let decision = buffering.decide(now);
            prop_assert!(!is_streamed || decision == BufferingDecision::Stream, "{:?}", decision);
            is_streamed |= decision == BufferingDecision::Stream;
        }
    }
}

/// A client sends most of a long body quickly and stops. Its error response is due within 3 s, so what it sent before
/// must not earn it more time than that; one that keeps its rate is not cut off.
#[test]
fn a_client_that_stops_gets_no_more_time_for_what_it_sent() {
    for received in [0, 100, 64 << 10, 1 << 20, 31 << 20] {
        let mut transfer = BodyTransfer::new(received);
        let stopped_at = Duration::from_secs(7);
        let deadline = transfer.next_client_data_deadline(stopped_at);
        assert!(
            deadline <= stopped_at + CLIENT_BODY_IDLE_TIMEOUT,
            "{received} bytes: waited for until {deadline:?}"
        );
        assert!(
            CLIENT_BODY_IDLE_TIMEOUT + Duration::from_millis(400) < Duration::from_secs(3),
            "with a busy machine's delay"
        );
        assert!(
            deadline >= stopped_at + Duration::from_millis(1500),
            "{received} bytes: {deadline:?} is too early"
        );
    }
    // A piece of 64 kB every second goes on for as long as it likes.
    let mut transfer = BodyTransfer::default();
    for second in 0..60 {
        let now = Duration::from_secs(second);
        assert!(transfer.next_client_data_deadline(now) > now + Duration::from_secs(1), "{second} s");
        transfer.record_received(now + Duration::from_secs(1), 64_000).expect("not too long");
    }
}
