//! The audit log: which decisions a gateway made under which version, and which decisions it should not have made (exceptions).
//!
//! Every first attempt, retry, rejection and drain is recorded under the version in force at that decision. [`AuditLog`] retains the most
//! recent decisions in memory. An interval holds the counts of the decisions under one version, so that the number of intervals grows with
//! changes of version and not with traffic. A step is one decision about one request; the newest steps are retained individually. The log
//! is written to disk as [`Segment`]s, [`RetentionIndex`] chooses the segments to delete, and [`HistoryQuery`] reads the segments that
//! earlier processes wrote.
//!
//! Memory and disk usage of the log are bounded, and the oldest entries are dropped first. Every answer reports that entries were dropped:
//! otherwise a gap would look like a time without decisions.

mod encoding;
mod interval;
mod log;
mod query;
mod retention;
mod segment;

pub use interval::{
    AuditReport, Decision, DecisionKind, Exception, ExceptionReport, IntervalReport, RequestReport,
    StepReport, UnknownKind, UnknownSpan,
};
pub use log::AuditLog;
pub use query::{AuditQuery, HistoryQuery, HistoryReport, MemorySpan, ProcessReport};
pub use retention::{Evicted, RetentionIndex, RetentionLimits};
pub use segment::{
    decode_header, EncodedSegment, ProcessState, Segment, SegmentBuilder, SegmentCursor, SegmentDelta,
    SegmentHeader, SegmentSteps, SegmentWriter,
};

#[cfg(test)]
mod tests;
