//! Tests that the replies to recorded batches of the simulator match the recorded replies byte for byte.
//! The batches are from three simulated days: a quiet day, a day with faults and a day with an overload.
//!
//! The expected replies were written by version 0.2.0. They depend on the order of random draws,
//! of floating-point operations and of iteration: a change that is not meant to alter decisions must not alter one byte.

use weldworks_simhost::Adapter;

fn assert_same_replies(input: &str, output: &str) {
    let mut adapter = Adapter::default();
    let mut expected = output.lines();
    for (index, line) in input.lines().enumerate() {
        let reply = adapter.answer(line).expect("the recorded batch is valid");
        assert_eq!(Some(reply.as_str()), expected.next(), "reply to line {}", index + 1);
    }
    assert_eq!(expected.next(), None, "there is one reply for each line of input");
}

#[test]
fn replies_on_a_quiet_day_are_those_of_version_0_2_0() {
    assert_same_replies(
        include_str!("fixtures/quiet-day.input.jsonl"),
        include_str!("fixtures/quiet-day.output.jsonl"),
    );
}

#[test]
fn replies_on_a_day_with_faults_are_those_of_version_0_2_0() {
    assert_same_replies(
        include_str!("fixtures/trouble-day.input.jsonl"),
        include_str!("fixtures/trouble-day.output.jsonl"),
    );
}

#[test]
fn replies_under_overload_are_those_of_version_0_2_0() {
    assert_same_replies(
        include_str!("fixtures/overload-day.input.jsonl"),
        include_str!("fixtures/overload-day.output.jsonl"),
    );
}
