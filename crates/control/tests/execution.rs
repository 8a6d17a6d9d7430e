//! What the end of an attempt proves of its request.

use weldworks_balancer::Outcome;
use weldworks_control::execution::{outcome, said, Ended, Said, Written};

/// Every case, written out.
#[test]
fn what_each_end_proves() {
    use Ended::*;
    let (n, p, w) = (Written::Nothing, Written::Part, Written::Whole);
    let table = [
        (Withheld, [Outcome::NotSent, Outcome::NotSent, Outcome::Reset]),
        (Broken, [Outcome::NoConnection, Outcome::NoConnection, Outcome::Reset]),
        (TimedOut, [Outcome::NoConnection, Outcome::NoConnection, Outcome::TimedOut]),
        (Cancelled, [Outcome::Cancelled; 3]),
        (Answered(Said::Served), [Outcome::NoConnection, Outcome::NoConnection, Outcome::Served]),
        (Answered(Said::NotProcessed), [Outcome::Rejected; 3]),
        (Answered(Said::Error), [Outcome::Error; 3]),
    ];
    for (ended, outcomes) in table {
        assert_eq!([n, p, w].map(|written| outcome(written, ended)), outcomes, "{ended:?}");
        // The rule behind it: but for a host's own word, only what lacks its last byte has surely not run.
        let own_word = ended == Answered(Said::NotProcessed);
        assert!(own_word || !outcome(w, ended).proves_not_processed(), "{ended:?}");
    }
}

#[test]
fn only_a_plain_word_says_that_a_request_was_not_processed() {
    let cases: [(u16, &[&[u8]], Said); 12] = [
        (200, &[], Said::Served),
        (200, &[b"1"], Said::Served),
        (503, &[b"1"], Said::NotProcessed),
        (504, &[b"1"], Said::NotProcessed),
        (503, &[], Said::Error),
        (503, &[b"1", b"1"], Said::Error),
        (503, &[b"1", b"0"], Said::Error),
        (503, &[b"0"], Said::Error),
        (503, &[b"1, 1"], Said::Error),
        (503, &[b"true"], Said::Error),
        (503, &[b""], Said::Error),
        (500, &[b"1"], Said::Error),
    ];
    for (status, marks, wanted) in cases {
        assert_eq!(said(status, marks.iter().copied()), wanted, "{status} {marks:?}");
    }
}
