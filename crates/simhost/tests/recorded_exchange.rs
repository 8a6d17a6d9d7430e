//! Replies on the simulator's wire, byte for byte, to what the simulator sent on three days (a quiet one, one with faults and an overload).
//!
//! The replies were written by version 0.2.0. They hold the order of draws, of floating-point operations and of iteration: a change that
//! means to leave the decisions alone must not move one byte.

use weldworks_simhost::Adapter;

fn assert_same_replies(input: &str, output: &str) {
    let mut adapter = Adapter::default();
    let mut expected = output.lines();
    for (index, line) in input.lines().enumerate() {
        let reply = adapter.answer(line).expect("a valid batch");
        assert_eq!(Some(reply.as_str()), expected.next(), "reply to line {}", index + 1);
    }
    assert_eq!(expected.next(), None, "one reply a line");
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
