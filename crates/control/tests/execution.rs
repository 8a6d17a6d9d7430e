//! What the end of an attempt proves about its request.

use weldworks_balancer::Outcome;
use weldworks_control::execution::{
    classify_attempt, classify_response, AttemptEnd, ResponseVerdict, WriteProgress,
};

/// A request that was possibly processed must not be retried as if it had not been processed: a write could happen
/// twice. The table lists every way in which an attempt ends with every progress of writing its request.
#[test]
fn each_end_of_an_attempt_has_its_outcome() {
    use AttemptEnd::*;
    let progress = [WriteProgress::Nothing, WriteProgress::Partial, WriteProgress::Complete];
    let table = [
        (Withheld, [Outcome::NotSent, Outcome::NotSent, Outcome::Reset]),
        (ConnectionFailed, [Outcome::NoConnection, Outcome::NoConnection, Outcome::Reset]),
        (TimedOut, [Outcome::NoConnection, Outcome::NoConnection, Outcome::TimedOut]),
        (Cancelled, [Outcome::Cancelled; 3]),
        (Answered(ResponseVerdict::Served), [Outcome::NoConnection, Outcome::NoConnection, Outcome::Served]),
        (Answered(ResponseVerdict::NotProcessed), [Outcome::Rejected; 3]),
        (Answered(ResponseVerdict::Error), [Outcome::Error; 3]),
    ];
    for (ended, outcomes) in table {
        assert_eq!(progress.map(|written| classify_attempt(written, ended)), outcomes, "{ended:?}");
        // The rule behind the table: a request whose last byte was written is
        // never proven to be unprocessed, unless the endpoint itself says so.
        let said_by_endpoint = ended == Answered(ResponseVerdict::NotProcessed);
        let after_last_byte = classify_attempt(WriteProgress::Complete, ended);
        assert!(said_by_endpoint || !after_last_byte.proves_not_processed(), "{ended:?}");
    }
}

#[test]
fn only_a_rejection_with_a_single_valid_mark_is_not_processed() {
    let cases: [(u16, &[&[u8]], ResponseVerdict); 12] = [
        (200, &[], ResponseVerdict::Served),
        (200, &[b"1"], ResponseVerdict::Served),
        (503, &[b"1"], ResponseVerdict::NotProcessed),
        (504, &[b"1"], ResponseVerdict::NotProcessed),
        (503, &[], ResponseVerdict::Error),
        (503, &[b"1", b"1"], ResponseVerdict::Error),
        (503, &[b"1", b"0"], ResponseVerdict::Error),
        (503, &[b"0"], ResponseVerdict::Error),
        (503, &[b"1, 1"], ResponseVerdict::Error),
        (503, &[b"true"], ResponseVerdict::Error),
        (503, &[b""], ResponseVerdict::Error),
        (500, &[b"1"], ResponseVerdict::Error),
    ];
    for (status, marks, expected) in cases {
        assert_eq!(classify_response(status, marks.iter().copied()), expected, "{status} {marks:?}");
    }
}
