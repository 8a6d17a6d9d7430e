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

/// Maximum number of intervals, and also of exception runs, in one report. The oldest entries in excess are left out.
const MAX_REPORTED_INTERVALS: usize = 4096;
/// Maximum number of steps in one report. The oldest steps in excess are left out.
const MAX_REPORTED_STEPS: usize = 256;

/// A query of the audit log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditQuery {
    /// Query for the decisions under endpoint lists with these indices.
    Lists(RangeInclusive<u64>),
    /// Query for the decisions about the request with this identifier.
    Request(String),
}

/// Report of the entries that one process wrote to disk, without entries that are still in that process's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessReport {
    /// Process that wrote the segments.
    pub process: String,
    /// Start of the process, in milliseconds of its wall clock since the Unix epoch.
    pub began_unix_ms: u64,
    /// Begin of the process's first segment, in milliseconds of the process's clock.
    pub since_ms: u64,
    /// End of the process's last segment, in milliseconds of the process's clock.
    pub until_ms: u64,
    /// Spans of time for which a part of the log is missing.
    pub unknown: Vec<UnknownSpan>,
    /// Intervals that match the query.
    pub intervals: Vec<IntervalReport>,
    /// Exception runs that overlap with the reported intervals.
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

/// Answer to a query from the audit log on the disk of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReport {
    /// One report for each process, the earliest process first.
    pub processes: Vec<ProcessReport>,
    /// Number of the earliest matching entries, which were left out because the report would be too long.
    #[serde(rename = "more")]
    pub omitted: u64,
}

impl HistoryReport {
    /// Leaves out the earliest entries in excess of the limits on a report.
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

/// Removes the first entries in excess of the capacity, and reduces the capacity by the number of the remaining entries.
/// Returns the number of removed entries.
fn keep_newest<T>(entries: &mut Vec<T>, capacity: &mut usize) -> u64 {
    let excess = entries.len().saturating_sub(*capacity);
    entries.drain(..excess);
    *capacity -= entries.len();
    excess as u64
}

/// How far back the audit log in a process's memory goes. Entries that are in memory are not reported from disk again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemorySpan {
    /// Process whose memory holds the audit log.
    pub process: Incarnation,
    /// Number of the first interval in memory.
    pub(super) first_interval: u64,
    /// Number of the first exception run in memory.
    pub(super) first_exception: u64,
    /// Time from which on steps are in memory, in milliseconds of the process's clock.
    pub(super) steps_since_ms: u64,
}

/// Contents of the segments that one process wrote.
#[derive(Debug)]
struct ProcessHistory {
    /// Header of the process's last segment that was added.
    header: SegmentHeader,
    last_number: u64,
    since_ms: u64,
    unknown: Vec<UnknownSpan>,
    /// Intervals of the process, by number.
    intervals: BTreeMap<u64, IntervalReport>,
    /// Exception runs of the process, by number.
    exceptions: BTreeMap<u64, ExceptionReport>,
    steps: Vec<RecordedStep>,
}

/// A step together with the number of its interval, from which the step's version is taken once all segments are read.
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

    /// Continues with the next segment. A missing number belongs to a segment that was deleted or whose header is damaged.
    fn begin_segment(&mut self, number: u64, header: &SegmentHeader) {
        if number > self.last_number + 1 {
            self.add_unknown(self.header.to_ms, header.from_ms, UnknownKind::All);
        }
        self.last_number = number;
        self.header = header.clone();
    }

    fn add_unknown(&mut self, from_ms: u64, to_ms: u64, kind: UnknownKind) {
        self.unknown.push(UnknownSpan { from_ms, to_ms, kind });
    }

    /// Marks the time span of the last segment as unknown, because the segment cannot be read.
    fn add_unreadable_segment(&mut self, kind: UnknownKind) {
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

    /// Marks the time after the last segment as unknown, if that segment does not record the end of its process: the process may have run
    /// until the next process opened the file.
    fn add_unknown_end(&mut self, next_opened_unix_ms: Option<u64>) {
        let Some(opened_unix_ms) = next_opened_unix_ms else { return };
        if self.header.ended {
            return;
        }
        // The wall clock may have been set back, so the unknown span never ends before the end of the last segment.
        let opened_ms = opened_unix_ms.saturating_sub(self.header.began_unix_ms);
        self.add_unknown(self.header.to_ms, opened_ms.max(self.header.to_ms), UnknownKind::All);
    }

    /// Report of all entries of this process that match the query and are not in memory; `memory` is absent for an earlier process.
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
        let end_number = memory.map_or(u64::MAX, |memory| memory.first_interval);
        let intervals = self.intervals.range(..end_number).map(|(_, interval)| interval);
        intervals.filter(|interval| indices.contains(&interval.version.list.index)).cloned().collect()
    }

    fn exceptions_during(
        &self,
        intervals: &[IntervalReport],
        memory: Option<&MemorySpan>,
    ) -> Vec<ExceptionReport> {
        let end_number = memory.map_or(u64::MAX, |memory| memory.first_exception);
        let exceptions = self.exceptions.range(..end_number).map(|(_, exception)| exception);
        exceptions.filter(|exception| exception.overlaps_any(intervals)).cloned().collect()
    }
}

/// Evaluates a query over all segments on disk.
#[derive(Debug)]
pub struct HistoryQuery {
    query: AuditQuery,
    /// Digest of the request's identifier, if the query is for a request.
    request_digest: [u8; 8],
    memory: MemorySpan,
    /// Histories of the processes, in the order in which the processes wrote.
    processes: Vec<ProcessHistory>,
}

impl HistoryQuery {
    /// Creates a query that has read no segment yet. `memory` describes the memory of the current process.
    pub fn new(query: AuditQuery, memory: MemorySpan) -> HistoryQuery {
        let request_digest = match &query {
            AuditQuery::Request(request_id) => digest(request_id.as_bytes()).to_le_bytes(),
            AuditQuery::Lists(_) => [0; 8],
        };
        HistoryQuery { query, request_digest, memory, processes: Vec::new() }
    }

    /// Adds the next segment, in the order of segment numbers. The segment's contents are read only if they may match the query. A segment
    /// with a damaged header must be left out; the missing segment number is reported as an unknown span.
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
        history.begin_segment(number, &header);
        if !may_match && !header.has_gaps {
            return;
        }
        let Some(segment) = read_segment().and_then(|bytes| decompress::<Segment>(&bytes)) else {
            history.add_unreadable_segment(UnknownKind::All);
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
            None => history.add_unreadable_segment(UnknownKind::Requests),
        }
    }

    /// Whether a segment may contain entries that match the query, judged by the segment's header.
    fn may_match(&self, header: &SegmentHeader) -> bool {
        let AuditQuery::Lists(indices) = &self.query else { return true };
        let Some(range) = header.list_indices else { return true };
        *indices.start() <= range.greatest && range.least <= *indices.end()
    }

    /// Ends the query and reports the matching entries.
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
