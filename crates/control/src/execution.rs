//! What the end of an attempt proves of its request: that it never ran, that it was served, or nothing.
//!
//! A host begins with a request's last byte. So what decides is whether that byte has gone to the kernel, told by who writes it and
//! not by who frames it; in doubt it has. The one table: [`outcome`].

use weldworks_balancer::Outcome;

/// How much of a request has gone to the kernel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Written {
    /// Not a byte.
    #[default]
    Nothing,
    /// Some of it, and surely not its last byte.
    Part,
    /// All of it, or so much that its last byte may be among it.
    Whole,
}

/// What a host's answer says, once all of it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// Status 200.
    Served,
    /// A refusal that says, just once, that the request was not processed.
    NotProcessed,
    /// Anything else.
    Error,
}

/// What ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The gateway had reasons of its own not to write it, or not all of it.
    Withheld,
    /// No connection came up; the connection broke or ended; what came of an answer is not whole.
    Broken,
    /// It was given up when its time was over.
    TimedOut,
    /// It was called off.
    Cancelled,
    /// A whole answer came, or one that is longer than any may be.
    Answered(Said),
}

/// The outcome of an attempt whose connection is closed by now, or was answered.
pub fn outcome(written: Written, ended: Ended) -> Outcome {
    let ran_perhaps = written == Written::Whole;
    match ended {
        Ended::Cancelled => Outcome::Cancelled,
        Ended::Withheld if ran_perhaps => Outcome::Reset,
        Ended::Withheld => Outcome::NotSent,
        Ended::Broken if ran_perhaps => Outcome::Reset,
        Ended::TimedOut if ran_perhaps => Outcome::TimedOut,
        Ended::Broken | Ended::TimedOut => Outcome::NoConnection,
        Ended::Answered(Said::Error) => Outcome::Error,
        Ended::Answered(Said::NotProcessed) => Outcome::Rejected,
        Ended::Answered(Said::Served) if ran_perhaps => Outcome::Served,
        // What has not had the whole request has not served it: this answers something else.
        Ended::Answered(Said::Served) => Outcome::NoConnection,
    }
}

/// What an answer says of the request, by its status and by the marks of not having processed it, one for each time that its head says
/// so.
pub fn said<'a>(status: u16, mut not_processed: impl Iterator<Item = &'a [u8]>) -> Said {
    match (status, not_processed.next(), not_processed.next()) {
        (200, ..) => Said::Served,
        // Twice, or in other words: who knows what it means.
        (503 | 504, Some(b"1"), None) => Said::NotProcessed,
        _ => Said::Error,
    }
}
