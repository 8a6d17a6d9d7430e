//! Decisions, exceptions, and the reports about decisions and exceptions.
//!
//! Reports are stored with `postcard` and sent to administrators as JSON: order and JSON names of the fields are those of version 0.2.0.

use crate::version::Version;
use serde::{Deserialize, Serialize};

/// Kind of a decision about a request or an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DecisionKind {
    /// The first attempt of a request is sent to an endpoint.
    Pick,
    /// A further attempt of a request is sent to an endpoint.
    #[serde(rename = "Resend")]
    Retry,
    /// A request is rejected.
    #[serde(rename = "Refuse")]
    Reject,
    /// An endpoint is drained: it gets no new requests.
    Drain,
}

/// Number of variants of [`DecisionKind`].
pub(super) const DECISION_KIND_COUNT: usize = 4;

/// Number of decisions of each kind, indexed by [`DecisionKind`].
pub(super) type DecisionCounts = [u64; DECISION_KIND_COUNT];

/// A decision that a gateway should not have made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Exception {
    /// The gateway acted on an endpoint list although it had been notified of a newer list.
    #[serde(rename = "OlderThanTold")]
    StaleList {
        /// Index of the gateway's endpoint list.
        own: u64,
        /// Newest list index that the gateway had been notified of.
        #[serde(rename = "told")]
        newest_known: u64,
    },
    /// The gateway sent a request to an endpoint although it had been notified that the endpoint drains or was removed.
    #[serde(rename = "ToldGone")]
    RemovedEndpoint {
        /// Name of the endpoint.
        #[serde(rename = "host")]
        endpoint: String,
    },
    /// The gateway acted without a session.
    WithoutSession,
    /// The gateway sent a request although it was fenced.
    #[serde(rename = "ShutOut")]
    Fenced,
}

/// A decision of the gateway, as passed to the audit log.
#[derive(Clone, Copy, Debug)]
pub struct Decision<'a> {
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// Class of the request; 0 for a drain.
    pub class: usize,
    /// Identifier of the request, as the client sent it; empty for a drain.
    pub request_id: &'a str,
    /// Name of the endpoint that the decision concerns, if any.
    pub endpoint: Option<&'a str>,
}

/// Report of an interval during which one version was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntervalReport {
    /// Version in force during the interval.
    pub version: Version,
    /// Begin of the interval, in milliseconds of the process's clock.
    pub from_ms: u64,
    /// End of the interval, in milliseconds of the process's clock; absent while the interval lasts.
    pub to_ms: Option<u64>,
    /// Log indices of the state machine that the gateway knew first and last in the interval. Any session's renewal raises the log index.
    #[serde(rename = "register")]
    pub log_indices: (u64, u64),
    /// Decisions in the interval: their kind, the class of the request, and the number of such decisions.
    pub decisions: Vec<(DecisionKind, usize, u64)>,
    /// Identifier of the interval's first request, as the client sent it.
    #[serde(rename = "first")]
    pub first_request: Option<String>,
    /// Digest of the identifier of the interval's last request.
    #[serde(rename = "last")]
    pub last_request_digest: Option<u64>,
}

/// Report of a run: equal exceptions that followed each other closely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExceptionReport {
    /// Exception that occurred in the run.
    #[serde(rename = "what")]
    pub exception: Exception,
    /// Time of the run's first exception, in milliseconds of the process's clock.
    pub from_ms: u64,
    /// Time of the run's last exception, in milliseconds of the process's clock.
    pub to_ms: u64,
    /// Number of exceptions in the run.
    pub count: u64,
    /// Identifier of the request that the run's first exception concerns.
    #[serde(rename = "first")]
    pub first_request: String,
}

impl ExceptionReport {
    /// Whether the run overlaps in time with any of the intervals.
    pub(super) fn overlaps_any(&self, intervals: &[IntervalReport]) -> bool {
        intervals.iter().any(|interval| {
            self.to_ms >= interval.from_ms && interval.to_ms.is_none_or(|end_ms| self.from_ms <= end_ms)
        })
    }
}

/// Report of a step: one decision about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReport {
    /// Time of the decision, in milliseconds of the process's clock.
    pub at_ms: u64,
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// Name of the endpoint, if the decision concerns one and its name is still known.
    #[serde(rename = "host")]
    pub endpoint: Option<String>,
    /// Version in force at the decision, if that version is still known.
    pub version: Option<Version>,
}

/// Report of the decisions under a range of endpoint lists, from the memory of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditReport {
    /// Start of the log, in milliseconds of the process's clock. The log does not include earlier processes.
    pub since_ms: u64,
    /// Time of the report, in milliseconds of the process's clock.
    pub until_ms: u64,
    /// Number of intervals that were dropped since the start of the log.
    #[serde(rename = "forgotten")]
    pub dropped_intervals: u64,
    /// Number of exception runs that were dropped since the start of the log.
    #[serde(rename = "exceptions_forgotten")]
    pub dropped_exceptions: u64,
    /// Intervals whose endpoint list is in the requested range.
    pub intervals: Vec<IntervalReport>,
    /// Exception runs that overlap with the reported intervals.
    pub exceptions: Vec<ExceptionReport>,
}

/// Report of the decisions about one request, from the memory of one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestReport {
    /// Time from which on steps are retained, in milliseconds of the process's clock.
    pub since_ms: u64,
    /// Decisions about the request, in chronological order.
    pub steps: Vec<StepReport>,
}

/// Which entries are missing from the log for a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum UnknownKind {
    /// Steps are missing; intervals and exceptions are complete.
    Requests,
    /// Intervals, exceptions and steps are missing.
    All,
}

/// A span of time for which a part of the log is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnknownSpan {
    /// Begin of the span, in milliseconds of the process's clock.
    pub from_ms: u64,
    /// End of the span, in milliseconds of the process's clock.
    pub to_ms: u64,
    /// Which entries are missing for the span.
    #[serde(rename = "what")]
    pub kind: UnknownKind,
}
