//! Tests of the bound of a body's last byte: what moves it, and what must not move it.

use std::time::Duration;
use weldworks_control::last_byte_bound::{ArrivalSample, LastByteBound, SAMPLE_INTERVAL};

/// Records one sample per interval, and returns after how many intervals the bound lies.
fn bound_after(samples: impl IntoIterator<Item = ArrivalSample>) -> u32 {
    let mut bound = LastByteBound::new(Duration::ZERO);
    for (index, sample) in samples.into_iter().enumerate() {
        bound.record_sample(SAMPLE_INTERVAL * (index as u32 + 1), sample);
    }
    (bound.earliest().as_millis() / SAMPLE_INTERVAL.as_millis()) as u32
}

fn sample(arrived_bytes: u64, unread_bytes: u64) -> ArrivalSample {
    ArrivalSample { arrived_bytes, unread_bytes, is_window_open: unread_bytes < 16 << 10 }
}

#[test]
fn client_that_owes_bytes_on_an_empty_connection_is_still_writing() {
    assert_eq!(bound_after([sample(70_000, 0), sample(70_000, 0)]), 2);
}

#[test]
fn bytes_that_arrive_unread_were_written_after_the_previous_sample() {
    let samples =
        [sample(70_000, 5_000), sample(74_000, 9_000), sample(78_000, 13_000), sample(82_000, 17_000)];
    assert_eq!(bound_after(samples), 3);
}

/// Guards against an answer that is late because bytes that the client wrote long ago arrive once the receive window opens again.
#[test]
fn bytes_that_arrive_after_the_window_was_closed_prove_nothing() {
    let full = sample(140_000, 70_000);
    let refilled = sample(180_000, 70_000);
    let drained = ArrivalSample { arrived_bytes: 200_000, unread_bytes: 0, is_window_open: false };
    assert_eq!(bound_after([full, refilled, drained]), 0);
}

#[test]
fn unread_bytes_that_do_not_grow_prove_nothing() {
    assert_eq!(bound_after(vec![sample(80_000, 10_000); 10]), 0);
}

/// Guards against a request that waits for ever for a client that has stopped in the middle of its body.
#[test]
fn client_that_sends_nothing_for_the_idle_timeout_is_not_still_writing() {
    let moved = bound_after(vec![sample(70_000, 0); 100]);
    assert_eq!(moved, 25, "the bound stays once the client was silent for 2.5 s from the first sample on");
}
