//! The audit log: which decisions a gateway made under which version, and which of them it should not have made.
//!
//! Every attempt, retry, rejection and drain is recorded under the version in force at that decision. [`AuditLog`] keeps the most recent
//! ones in memory: intervals hold counts, so that their number grows with changes of version and not with traffic, and the newest
//! requests are kept one by one. Its contents are written to disk as [`Segment`]s, [`RetentionIndex`] says which segments are deleted, and
//! [`HistoryQuery`] reads what earlier processes wrote.
//!
//! All of it is bounded, and the oldest entries are dropped first. Every answer reports that entries were dropped: otherwise a gap would
//! look like a time in which nothing happened.

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
