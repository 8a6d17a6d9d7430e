//! What the end of an attempt proves of its request: that it never ran, that it was served, or nothing.
//!
//! A host begins with a request's last byte. So what decides is whether that byte has gone to the kernel, told by who writes it and
//! not by who frames it; in doubt it has. The one table: [`outcome`].

use weldworks_balancer::Outcome;

/// How much of a request has gone to the kernel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteProgress {
    /// Not a byte.
    #[default]
    Nothing,
    /// Some of it, and surely not its last byte.
    Partial,
    /// All of it, or so much that its last byte may be among it.
    Complete,
}

/// What a host's answer says, once all of it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// Status 200.
    Served,
    /// A refusal that says, just once, that the request was not processed.
    NotProcessed,
    /// Anything else.
    Error,
}

/// What ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The gateway had reasons of its own not to write it, or not all of it.
    Withheld,
    /// No connection came up; the connection broke or ended; what came of an answer is not whole.
    ConnectionFailed,
    /// It was given up when its time was over.
    TimedOut,
    /// It was called off.
    Cancelled,
    /// A whole answer came, or one that is longer than any may be.
    Answered(ResponseVerdict),
}

/// The outcome of an attempt whose connection is closed by now, or was answered.
pub fn classify_attempt(written: WriteProgress, ended: AttemptEnd) -> Outcome {
    let ran_perhaps = written == WriteProgress::Complete;
    match ended {
        AttemptEnd::Cancelled => Outcome::Cancelled,
        AttemptEnd::Withheld if ran_perhaps => Outcome::Reset,
        AttemptEnd::Withheld => Outcome::NotSent,
        AttemptEnd::ConnectionFailed if ran_perhaps => Outcome::Reset,
        AttemptEnd::TimedOut if ran_perhaps => Outcome::TimedOut,
        AttemptEnd::ConnectionFailed | AttemptEnd::TimedOut => Outcome::NoConnection,
        AttemptEnd::Answered(ResponseVerdict::Error) => Outcome::Error,
        AttemptEnd::Answered(ResponseVerdict::NotProcessed) => Outcome::Rejected,
        AttemptEnd::Answered(ResponseVerdict::Served) if ran_perhaps => Outcome::Served,
        // What has not had the whole request has not served it: this answers something else.
        AttemptEnd::Answered(ResponseVerdict::Served) => Outcome::NoConnection,
    }
}

/// What an answer says of the request, by its status and by the marks of not having processed it, one for each time that its head says
/// so.
pub fn classify_response<'a>(
    status: u16,
    mut not_processed: impl Iterator<Item = &'a [u8]>,
) -> ResponseVerdict {
    match (status, not_processed.next(), not_processed.next()) {
        (200, ..) => ResponseVerdict::Served,
        // Twice, or in other words: who knows what it means.
        (503 | 504, Some(b"1"), None) => ResponseVerdict::NotProcessed,
        _ => ResponseVerdict::Error,
    }
}
