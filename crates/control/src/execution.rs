//! Classifies how an attempt ended: its request was certainly not processed, was served, or was possibly processed.
//!
//! An endpoint begins to process a request once it has received the last byte. So the proof
//! that a request was not processed rests on whether its last byte was handed to the kernel,
//! as recorded where bytes are written and not where they are framed. In doubt the request
//! counts as possibly processed. [`classify_attempt`] is the only table of outcomes.

use weldworks_balancer::Outcome;

/// How much of a request has been handed to the kernel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteProgress {
    /// No byte of the request.
    #[default]
    Nothing,
    /// Some bytes of the request, and certainly not the last one.
    Partial,
    /// The whole request, or so much of it that the last byte may be included.
    Complete,
}

/// Result of the request according to a complete response of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// The request was served: status 200.
    Served,
    /// The endpoint rejected the request and marked it, exactly once, as not processed.
    NotProcessed,
    /// Any other response: the request was possibly processed.
    Error,
}

/// What ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The gateway decided not to write the request, or not to write all of it.
    Withheld,
    /// No connection was established, the connection broke, or the response is incomplete.
    ConnectionFailed,
    /// The attempt's time limit passed.
    TimedOut,
    /// The gateway cancelled the attempt.
    Cancelled,
    /// A complete response was received, or one that exceeds the size limit.
    Answered(ResponseVerdict),
}

/// The outcome of an attempt, by how much of its request was written and by what ended it.
pub fn classify_attempt(written: WriteProgress, ended: AttemptEnd) -> Outcome {
    let possibly_processed = written == WriteProgress::Complete;
    match ended {
        AttemptEnd::Cancelled => Outcome::Cancelled,
        AttemptEnd::Withheld if possibly_processed => Outcome::Reset,
        AttemptEnd::Withheld => Outcome::NotSent,
        AttemptEnd::ConnectionFailed if possibly_processed => Outcome::Reset,
        AttemptEnd::TimedOut if possibly_processed => Outcome::TimedOut,
        AttemptEnd::ConnectionFailed | AttemptEnd::TimedOut => Outcome::NoConnection,
        AttemptEnd::Answered(ResponseVerdict::Error) => Outcome::Error,
        AttemptEnd::Answered(ResponseVerdict::NotProcessed) => Outcome::Rejected,
        AttemptEnd::Answered(ResponseVerdict::Served) if possibly_processed => Outcome::Served,
        // The endpoint has not received the whole request, so this response does not belong to the request.
        AttemptEnd::Answered(ResponseVerdict::Served) => Outcome::NoConnection,
    }
}

/// Status of a response that serves the request.
const STATUS_OK: u16 = 200;
/// Statuses with which an endpoint may reject a request without processing it.
const REJECTION_STATUSES: [u16; 2] = [503, 504];
/// Value of the not-processed header that marks a request as not processed.
const NOT_PROCESSED_VALUE: &[u8] = b"1";

/// Classifies a response by its status and the values of its
/// not-processed header, one for each occurrence of the header.
///
/// A repeated not-processed header, or one with another value, has
/// no defined meaning, so the request counts as possibly processed.
pub fn classify_response<'a>(
    status: u16,
    mut not_processed: impl Iterator<Item = &'a [u8]>,
) -> ResponseVerdict {
    if status == STATUS_OK {
        return ResponseVerdict::Served;
    }
    let is_marked = not_processed.next() == Some(NOT_PROCESSED_VALUE);
    let is_repeated = not_processed.next().is_some();
    if REJECTION_STATUSES.contains(&status) && is_marked && !is_repeated {
        return ResponseVerdict::NotProcessed;
    }
    ResponseVerdict::Error
}
