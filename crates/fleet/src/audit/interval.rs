//! Decisions, exceptions and the reports about them.
//!
//! Reports are stored with `postcard` and answered as JSON: order and JSON names of the fields are those of version 0.2.0.

use crate::version::Version;
use serde::{Deserialize, Serialize};

/// Kind of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DecisionKind {
    /// The first attempt of a request is sent to an endpoint.
    Pick,
    /// A further attempt of a request is sent.
    #[serde(rename = "Resend")]
    Retry,
    /// A request is rejected.
    #[serde(rename = "Refuse")]
    Reject,
    /// An endpoint gets no new requests.
    Drain,
}

/// Number of kinds of decisions.
pub(super) const DECISION_KIND_COUNT: usize = 4;

/// Number of decisions of each kind, indexed by [`DecisionKind`].
pub(super) type DecisionCounts = [u64; DECISION_KIND_COUNT];

/// A decision that a gateway should not have made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Exception {
    /// It acted on an endpoint list although it had been notified of a newer one.
    #[serde(rename = "OlderThanTold")]
    StaleList {
        /// Index of its list.
        own: u64,
        /// Newest index that it had been notified of.
        #[serde(rename = "told")]
        newest_known: u64,
    },
    /// It sent a request to an endpoint although it had been notified that the endpoint drains or was removed.
    #[serde(rename = "ToldGone")]
    RemovedEndpoint {
        /// Name of the endpoint.
        #[serde(rename = "host")]
        endpoint: String,
    },
    /// It acted without a session.
    WithoutSession,
    /// It sent a request although it was fenced.
    #[serde(rename = "ShutOut")]
    Fenced,
}

/// A decision, as it is recorded.
#[derive(Clone, Copy, Debug)]
pub struct Decision<'a> {
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// Class of the request; 0 for a drain.
    pub class: usize,
    /// Identifier of the request, as the client sent it; empty for a drain.
    pub request_id: &'a str,
    /// Name of the endpoint, where the decision concerns one.
    pub endpoint: Option<&'a str>,
}

/// An interval during which one version was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntervalReport {
    /// The version.
    pub version: Version,
    /// Begin, in milliseconds of the process's clock.
    pub from_ms: u64,
    /// End, likewise; absent while the interval lasts.
    pub to_ms: Option<u64>,
    /// Log index of the state machine that the gateway knew at the beginning, and last. It grows with the renewal of any session.
    #[serde(rename = "register")]
    pub log_indices: (u64, u64),
    /// Kind, class and number of the decisions.
    pub decisions: Vec<(DecisionKind, usize, u64)>,
    /// Identifier of the first request.
    #[serde(rename = "first")]
    pub first_request: Option<String>,
    /// Digest of the last request's identifier.
    #[serde(rename = "last")]
    pub last_request_digest: Option<u64>,
}

/// A run of equal exceptions that followed each other closely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExceptionReport {
    /// The exception.
    #[serde(rename = "what")]
    pub exception: Exception,
    /// Time of the first one, in milliseconds of the process's clock.
    pub from_ms: u64,
    /// Time of the last one, likewise.
    pub to_ms: u64,
    /// Number of exceptions.
    pub count: u64,
    /// Identifier of the first request.
    #[serde(rename = "first")]
    pub first_request: String,
}

impl ExceptionReport {
    /// Whether it overlaps one of these intervals.
    pub(super) fn overlaps_any(&self, intervals: &[IntervalReport]) -> bool {
        intervals.iter().any(|interval| {
            self.to_ms >= interval.from_ms && interval.to_ms.is_none_or(|end_ms| self.from_ms <= end_ms)
        })
    }
}

/// A decision about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReport {
    /// Time, in milliseconds of the process's clock.
    pub at_ms: u64,
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// Name of the endpoint, where it is still known.
    #[serde(rename = "host")]
    pub endpoint: Option<String>,
    /// Version in force, where it is still known.
    pub version: Option<Version>,
}

/// Decisions under a range of endpoint lists, from the memory of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditReport {
    /// Start of the log, in milliseconds of the process's clock. It does not include earlier processes.
    pub since_ms: u64,
    /// Time of the report, likewise.
    pub until_ms: u64,
    /// Number of intervals that were dropped since the start.
    #[serde(rename = "forgotten")]
    pub dropped_intervals: u64,
    /// Number of exception runs that were dropped since the start.
    #[serde(rename = "exceptions_forgotten")]
    pub dropped_exceptions: u64,
    /// The intervals.
    pub intervals: Vec<IntervalReport>,
    /// Exceptions during the intervals.
    pub exceptions: Vec<ExceptionReport>,
}

/// Decisions about one request, from the memory of one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestReport {
    /// Time from which on requests are kept one by one, in milliseconds of the process's clock.
    pub since_ms: u64,
    /// The decisions, in their order.
    pub steps: Vec<StepReport>,
}

/// What is missing from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum UnknownKind {
    /// Single requests; the counts are there.
    Requests,
    /// Everything.
    All,
}

/// A time of which a part of the log is missing, in milliseconds of the process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnknownSpan {
    /// Begin.
    pub from_ms: u64,
    /// End.
    pub to_ms: u64,
    /// What is missing.
    #[serde(rename = "what")]
    pub kind: UnknownKind,
}
