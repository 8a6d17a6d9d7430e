//! What the end of an attempt proves of its request.

use weldworks_balancer::Outcome;
use weldworks_control::execution::{
    classify_attempt, classify_response, AttemptEnd, ResponseVerdict, WriteProgress,
};

/// Every case, written out.
#[test]
fn what_each_end_proves() {
    use AttemptEnd::*;
    let (n, p, w) = (WriteProgress::Nothing, WriteProgress::Partial, WriteProgress::Complete);
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
        assert_eq!([n, p, w].map(|written| classify_attempt(written, ended)), outcomes, "{ended:?}");
        // The rule behind it: but for a host's own word, only what lacks its last byte has surely not run.
        let own_word = ended == Answered(ResponseVerdict::NotProcessed);
        assert!(own_word || !classify_attempt(w, ended).proves_not_processed(), "{ended:?}");
    }
}

#[test]
fn only_a_plain_word_says_that_a_request_was_not_processed() {
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
    for (status, marks, wanted) in cases {
        assert_eq!(classify_response(status, marks.iter().copied()), wanted, "{status} {marks:?}");
    }
}
