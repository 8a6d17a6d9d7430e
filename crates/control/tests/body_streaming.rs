//! Which bodies are buffered, which are streamed, and for which side of a transfer the gateway waits.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_control::body_streaming::{
    reader_stall_timeout, BodyError, BodyTransfer, BufferingDecision, ExpectedLength, ResponseBuffering,
    TransferState, CLIENT_BODY_IDLE_TIMEOUT, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, PEER_STALL_TIMEOUT,
};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_response_is_buffered_until_it_proves_to_be_long() {
    // Announced length in bytes; bytes received, each with its time in ms; time of the decision in ms; the decision.
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
        ResponseBuffering::next_byte_deadline(ms(10), ms(5), ExpectedLength::Short),
        ms(110),
        "a read before the response's first byte belongs to an earlier response"
    );
    assert_eq!(ResponseBuffering::next_byte_deadline(ms(10), ms(90), ExpectedLength::Short), ms(190));
}

/// Guards against a long response that is cut off while its endpoint still writes it: a pause or the attempt's deadline ends
/// only what can't be long, and an endpoint that never goes on must not hold a request that may be retried for long.
#[test]
fn a_response_that_may_be_long_is_waited_for() {
    let limit = MAX_BUFFERED_BODY_BYTES as u64;
    let short = ExpectedLength::of_served(Some(limit));
    let long = ExpectedLength::of_served(Some(limit + 1));
    let unannounced = ExpectedLength::of_served(None);
    let idle_limit = |expected| ResponseBuffering::next_byte_deadline(ms(10), ms(20), expected);
    assert_eq!([short, unannounced, long].map(idle_limit), [ms(120), ms(2520), ms(2520)]);
    let extensions = [short, unannounced, long].map(ExpectedLength::deadline_extension);
    assert_eq!(extensions, [None, Some(ms(2500)), Some(Duration::MAX)]);
    let margins = [short, unannounced, long].map(ExpectedLength::start_margin);
    assert_eq!(margins, [None, None, Some(ms(10))], "of these only a head proves that the response is long");
}

/// Guards against a response in lumps that is decided on only with its next bytes, which may come after its deadline.
#[test]
fn a_response_that_pauses_is_streamed_without_further_data() {
    let mut announced = ResponseBuffering::new(Some(100_000));
    let mut unannounced = ResponseBuffering::new(None);
    assert_eq!([announced, unannounced].map(|response| response.next_decision_at()), [None, None]);
    announced.record_received(ms(1000), 40);
    unannounced.record_received(ms(1000), 40);
    assert_eq!([announced, unannounced].map(|response| response.next_decision_at()), [Some(ms(1040)), None]);
    unannounced.record_received(ms(1010), 5000);
    assert_eq!(unannounced.next_decision_at(), Some(ms(1060)));
    assert_eq!(
        [announced, unannounced].map(|response| response.decide(ms(1060))),
        [BufferingDecision::Stream; 2]
    );
}

/// Guards against a steady reader with a large receive buffer that counts as stalled: its kernel reports room in steps of up to an eighth.
#[test]
fn a_reader_has_time_to_free_an_eighth_of_its_receive_buffer_at_the_guaranteed_rate() {
    for sent_bytes in [0, 1 << 20, 5_120_000] {
        assert_eq!(reader_stall_timeout(sent_bytes), PEER_STALL_TIMEOUT, "{sent_bytes} bytes sent");
    }
    assert_eq!(reader_stall_timeout(10_240_000), ms(20_000));
    assert_eq!(
        reader_stall_timeout(1 << 40),
        reader_stall_timeout(MAX_BODY_BYTES),
        "no more than one body is unread"
    );
    let mut transfer = BodyTransfer::new(10_240_000);
    transfer.record_endpoint_ready(ms(500));
    assert_eq!(
        transfer.endpoint_deadline(),
        Some(ms(20_500)),
        "an endpoint that was sent much has the same time"
    );
}

#[test]
fn a_client_is_timed_by_what_it_sends_and_an_endpoint_by_what_it_accepts() {
    let mut transfer = BodyTransfer::new(0);
    assert_eq!((transfer.state(), transfer.endpoint_deadline()), (TransferState::NotForwarded, None));
    transfer.record_endpoint_ready(ms(0));
    assert_eq!(
        transfer.endpoint_deadline(),
        Some(PEER_STALL_TIMEOUT),
        "the endpoint has to accept the first piece"
    );
    assert_eq!(transfer.next_client_data_deadline(ms(100)), ms(1600));
    assert_eq!(
        transfer.next_client_data_deadline(ms(900)),
        ms(1600),
        "a second call does not extend the deadline"
    );
    assert_eq!(transfer.endpoint_deadline(), None, "the gateway waits for the client, not for the endpoint");
    transfer.record_received(ms(1100), 32_000).expect("the body is within the size limit");
    // One second of waiting was used, and the 32,000 bytes earned one second.
    assert_eq!(transfer.next_client_data_deadline(ms(1100)), ms(1100 + 1500));
    transfer.record_received(ms(1200), 32_000).expect("the body is within the size limit");
    transfer.record_endpoint_ready(ms(1200));
    // The endpoint takes nine seconds to accept the data, which does not count against the client.
    transfer.record_endpoint_ready(ms(10_200));
    assert_eq!(transfer.next_client_data_deadline(ms(10_200)), ms(10_200 + 1500 + 2000 - 1100));
    transfer.record_received(ms(10_300), MAX_BODY_BYTES).expect_err("the body exceeds the size limit");
    assert_eq!(
        (transfer.state(), transfer.endpoint_deadline()),
        (TransferState::Failed(BodyError::TooLong), None)
    );
}

proptest! {
    /// Slow clients are guaranteed service at 64 kB/s. A client that keeps this rate must never be cut off, however
    /// slow the endpoint is within its own time limit.
    #[test]
    fn a_client_at_the_guaranteed_rate_is_never_cut_off(pieces in prop::collection::vec((1u64..40_000, 0u64..9000), 1..60)) {
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
        // The client has sent everything; the endpoint still has to accept the rest within its time limit.
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

/// A client sends most of a long body quickly and stops. The error response is due within 3 s, so bytes that the client
/// sent before must not earn it more time than that. A client that keeps the required rate is not cut off.
#[test]
fn a_client_that_stops_gets_no_more_time_for_bytes_sent_before() {
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
            "the error response is in time, with 400 ms for a busy machine"
        );
        assert!(
            deadline >= stopped_at + Duration::from_millis(1500),
            "{received} bytes: {deadline:?} is too early"
        );
    }
    // A client that sends 64 kB every second is never cut off.
    let mut transfer = BodyTransfer::default();
    for second in 0..60 {
        let now = Duration::from_secs(second);
        assert!(transfer.next_client_data_deadline(now) > now + Duration::from_secs(1), "{second} s");
        transfer
            .record_received(now + Duration::from_secs(1), 64_000)
            .expect("the body is within the size limit");
    }
}
