//! Queries of the audit log on disk, across all processes that have written it.

use super::encoding::decompress;
use super::{
    ExceptionReport, IntervalReport, Segment, SegmentHeader, SegmentSteps, StepReport, UnknownKind,
    UnknownSpan,
};
use crate::version::{digest, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Maximum number of intervals, and of exceptions, in one report. The newest are kept.
const MAX_REPORTED_INTERVALS: usize = 4096;
/// Maximum number of steps in one report. The newest are kept.
const MAX_REPORTED_STEPS: usize = 256;

/// What is asked of the audit log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditQuery {
    /// Decisions under endpoint lists with these indices.
    Lists(RangeInclusive<u64>),
    /// Decisions about the request with this identifier.
    Request(String),
}

/// What one process wrote, as far as its memory no longer holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessReport {
    /// The process.
    pub process: String,
    /// Its start, in milliseconds of its wall clock since the Unix epoch.
    pub began_unix_ms: u64,
    /// Begin of what it wrote, in milliseconds of its own clock.
    pub since_ms: u64,
    /// End of what it wrote, likewise.
    pub until_ms: u64,
    /// Times of which a part is missing.
    pub unknown: Vec<UnknownSpan>,
    /// The intervals that match the query.
    pub intervals: Vec<IntervalReport>,
    /// Exceptions during the intervals.
    pub exceptions: Vec<ExceptionReport>,
    /// Decisions about the request that the query names.
    pub steps: Vec<StepReport>,
}

impl ProcessReport {
    fn is_empty(&self) -> bool {
        self.unknown.is_empty()
            && self.intervals.is_empty()
            && self.exceptions.is_empty()
            && self.steps.is_empty()
    }
}

/// Answer from the disk of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReport {
    /// One report a process, the earliest first.
    pub processes: Vec<ProcessReport>,
    /// Number of matching entries that were left out because the report would be too long: the earliest.
    #[serde(rename = "more")]
    pub omitted: u64,
}

impl HistoryReport {
    /// Leaves out the earliest entries that exceed the limits.
    fn truncate(&mut self) {
        let mut interval_capacity = MAX_REPORTED_INTERVALS;
        let mut exception_capacity = MAX_REPORTED_INTERVALS;
        let mut step_capacity = MAX_REPORTED_STEPS;
        for process in self.processes.iter_mut().rev() {
            self.omitted += keep_newest(&mut process.intervals, &mut interval_capacity);
            self.omitted += keep_newest(&mut process.exceptions, &mut exception_capacity);
            self.omitted += keep_newest(&mut process.steps, &mut step_capacity);
        }
    }
}

/// Removes the first entries that exceed the capacity, and reduces it by the rest. Returns the number of removed entries.
fn keep_newest<T>(entries: &mut Vec<T>, capacity: &mut usize) -> u64 {
    let excess = entries.len().saturating_sub(*capacity);
    entries.drain(..excess);
    *capacity -= entries.len();
    excess as u64
}

/// How far back the memory of this process goes. What is in memory is not read from disk again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemorySpan {
    /// The process.
    pub process: Incarnation,
    /// Number of the first interval in memory.
    pub(super) first_interval: u64,
    /// Number of the first exception run in memory.
    pub(super) first_exception: u64,
    /// Time from which on steps are in memory, in milliseconds of the process's clock.
    pub(super) steps_since_ms: u64,
}

/// What the segments of one process contain.
#[derive(Debug)]
struct ProcessHistory {
    /// Header of the last segment.
    header: SegmentHeader,
    last_number: u64,
    since_ms: u64,
    unknown: Vec<UnknownSpan>,
    /// Intervals, by number.
    intervals: BTreeMap<u64, IntervalReport>,
    /// Exception runs, by number.
    exceptions: BTreeMap<u64, ExceptionReport>,
    steps: Vec<RecordedStep>,
}

/// A step together with the number of its interval, from which its version is taken in the end.
#[derive(Debug)]
struct RecordedStep {
    interval: u64,
    report: StepReport,
}

impl ProcessHistory {
    fn new(number: u64, header: &SegmentHeader) -> ProcessHistory {
        ProcessHistory {
            header: header.clone(),
            last_number: number,
            since_ms: header.from_ms,
            unknown: Vec::new(),
            intervals: BTreeMap::new(),
            exceptions: BTreeMap::new(),
            steps: Vec::new(),
        }
    }

    /// Continues with the next segment. A missing number is a segment that was deleted or whose header is damaged.
    fn advance(&mut self, number: u64, header: &SegmentHeader) {
        if number > self.last_number + 1 {
            self.add_unknown(self.header.to_ms, header.from_ms, UnknownKind::All);
        }
        self.last_number = number;
        self.header = header.clone();
    }

    fn add_unknown(&mut self, from_ms: u64, to_ms: u64, kind: UnknownKind) {
        self.unknown.push(UnknownSpan { from_ms, to_ms, kind });
    }

    /// Marks the time of the last segment as unknown.
    fn add_unreadable(&mut self, kind: UnknownKind) {
        self.add_unknown(self.header.from_ms, self.header.to_ms, kind);
    }

    fn add_steps(&mut self, steps: &SegmentSteps, request_digest: [u8; 8]) {
        for step in steps.steps.iter().filter(|step| step.request_digest == request_digest) {
            let report = StepReport {
                at_ms: self.header.from_ms + u64::from(step.offset_ms),
                kind: step.kind,
                endpoint: steps.endpoint_name(step.endpoint).cloned(),
                version: None,
            };
            self.steps.push(RecordedStep { interval: step.interval, report });
        }
    }

    /// Marks the time after the last segment as unknown, if the process did not write that it ended: until the next process opened the
    /// file, it may have run on.
    fn add_unknown_end(&mut self, next_opened_unix_ms: Option<u64>) {
        let Some(opened_unix_ms) = next_opened_unix_ms else { return };
        if self.header.ended {
            return;
        }
        // Wall clocks may have been set back: the end is not before the last time that is known.
        let opened_ms = opened_unix_ms.saturating_sub(self.header.began_unix_ms);
        self.add_unknown(self.header.to_ms, opened_ms.max(self.header.to_ms), UnknownKind::All);
    }

    /// Report of all that matches the query and is not in memory, where `memory` is that of this process.
    fn into_report(self, query: &AuditQuery, memory: Option<&MemorySpan>) -> ProcessReport {
        let mut intervals = Vec::new();
        let mut exceptions = Vec::new();
        if let AuditQuery::Lists(indices) = query {
            intervals = self.matching_intervals(indices, memory);
            exceptions = self.exceptions_during(&intervals, memory);
        }
        let steps_end_ms = memory.map(|memory| memory.steps_since_ms);
        let versions = &self.intervals;
        let steps = self
            .steps
            .into_iter()
            .filter(|step| steps_end_ms.is_none_or(|end_ms| step.report.at_ms < end_ms))
            .map(|step| {
                let version = versions.get(&step.interval).map(|interval| interval.version.clone());
                StepReport { version, ..step.report }
            })
            .collect();
        ProcessReport {
            process: self.header.process.to_string(),
            began_unix_ms: self.header.began_unix_ms,
            since_ms: self.since_ms,
            until_ms: self.header.to_ms,
            unknown: self.unknown,
            intervals,
            exceptions,
            steps,
        }
    }

    fn matching_intervals(
        &self,
        indices: &RangeInclusive<u64>,
        memory: Option<&MemorySpan>,
    ) -> Vec<IntervalReport> {
        let end = memory.map_or(u64::MAX, |memory| memory.first_interval);
        let intervals = self.intervals.range(..end).map(|(_, interval)| interval);
        intervals.filter(|interval| indices.contains(&interval.version.list.index)).cloned().collect()
    }

    fn exceptions_during(
        &self,
        intervals: &[IntervalReport],
        memory: Option<&MemorySpan>,
    ) -> Vec<ExceptionReport> {
        let end = memory.map_or(u64::MAX, |memory| memory.first_exception);
        let exceptions = self.exceptions.range(..end).map(|(_, exception)| exception);
        exceptions.filter(|exception| exception.overlaps_any(intervals)).cloned().collect()
    }
}

/// Evaluates a query over all segments on disk.
#[derive(Debug)]
pub struct HistoryQuery {
    query: AuditQuery,
    /// Digest of the request's identifier, where the query names one.
    request_digest: [u8; 8],
    memory: MemorySpan,
    /// Processes in the order in which they wrote.
    processes: Vec<ProcessHistory>,
}

impl HistoryQuery {
    /// Creates a query that has read no segment. `memory` is that of the current process.
    pub fn new(query: AuditQuery, memory: MemorySpan) -> HistoryQuery {
        let request_digest = match &query {
            AuditQuery::Request(request_id) => digest(request_id.as_bytes()).to_le_bytes(),
            AuditQuery::Lists(_) => [0; 8],
        };
        HistoryQuery { query, request_digest, memory, processes: Vec::new() }
    }

    /// Adds the next segment; its contents are read only if they may match. Segments are to be added in the order of their numbers. One
    /// whose header is damaged is left out, and noticed by its missing number.
    pub fn add_segment(
        &mut self,
        number: u64,
        header: SegmentHeader,
        read_segment: impl FnOnce() -> Option<Vec<u8>>,
        read_steps: impl FnOnce() -> Option<Vec<u8>>,
    ) {
        let may_match = self.may_match(&header);
        let is_other_process = self.processes.last().is_none_or(|last| last.header.process != header.process);
        if is_other_process {
            self.processes.push(ProcessHistory::new(number, &header));
        }
        let Some(history) = self.processes.last_mut() else { return };
        history.advance(number, &header);
        if !may_match && !header.has_gaps {
            return;
        }
        let Some(segment) = read_segment().and_then(|bytes| decompress::<Segment>(&bytes)) else {
            history.add_unreadable(UnknownKind::All);
            return;
        };
        history.unknown.extend(&segment.gaps);
        history.intervals.extend(segment.intervals);
        history.exceptions.extend(segment.exceptions);
        if matches!(self.query, AuditQuery::Lists(_)) {
            return;
        }
        match read_steps().and_then(|bytes| decompress::<SegmentSteps>(&bytes)) {
            Some(steps) => history.add_steps(&steps, self.request_digest),
            None => history.add_unreadable(UnknownKind::Requests),
        }
    }

    /// Whether a segment may contain what the query asks for, by its header.
    fn may_match(&self, header: &SegmentHeader) -> bool {
        let AuditQuery::Lists(indices) = &self.query else { return true };
        let Some((least, greatest)) = header.list_indices else { return true };
        *indices.start() <= greatest && least <= *indices.end()
    }

    /// Ends the query and reports what it has found.
    pub fn finish(self) -> HistoryReport {
        let mut report = HistoryReport::default();
        let opened_unix_ms: Vec<u64> =
            self.processes.iter().map(|history| history.header.opened_unix_ms).collect();
        for (position, mut history) in self.processes.into_iter().enumerate() {
            history.add_unknown_end(opened_unix_ms.get(position + 1).copied());
            let is_current = history.header.process == self.memory.process;
            let memory = is_current.then_some(&self.memory);
            let process = history.into_report(&self.query, memory);
            if !is_current || !process.is_empty() {
                report.processes.push(process);
            }
        }
        report.truncate();
        report
    }
}
