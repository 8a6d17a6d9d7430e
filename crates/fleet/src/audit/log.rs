//! The audit log of this process, in memory.

use super::interval::{DecisionCounts, DECISION_KIND_COUNT};
use super::segment::SegmentStep;
use super::{
    AuditReport, Decision, DecisionKind, Exception, ExceptionReport, IntervalReport, MemorySpan,
    ProcessState, RequestReport, Segment, SegmentCursor, SegmentDelta, SegmentSteps, StepReport, UnknownKind,
};
use crate::version::{digest, Incarnation, Version};
use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Maximum number of intervals in memory.
const MAX_INTERVALS: usize = 4096;
/// Maximum number of exception runs in memory.
const MAX_EXCEPTION_RUNS: usize = 1024;
/// Maximum number of steps in memory: about a minute and a half at 200 requests a second.
const MAX_STEPS: usize = 16_384;
/// Maximum number of endpoint names in memory.
const MAX_ENDPOINT_NAMES: usize = 4096;
/// Maximum time between two consecutive exceptions of the same run.
const MAX_GAP_IN_RUN: Duration = Duration::from_secs(1);
/// Number of newest exception runs to which further exceptions may be added.
const OPEN_RUNS: usize = 4;

/// An interval during which one version is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Interval {
    version: Version,
    started_at: Duration,
    /// Log index of the state machine that this gateway knew at the beginning of the interval.
    first_log_index: u64,
    last_log_index: u64,
    /// Number of decisions of each kind, by request class.
    counts: Vec<DecisionCounts>,
    first_request: Option<String>,
    last_request_digest: Option<u64>,
}

impl Interval {
    fn new(now: Duration, version: Version, log_index: u64) -> Interval {
        Interval {
            version,
            started_at: now,
            first_log_index: log_index,
            last_log_index: log_index,
            counts: Vec::new(),
            first_request: None,
            last_request_digest: None,
        }
    }

    fn has_decisions(&self) -> bool {
        !self.counts.is_empty()
    }

    fn count(&mut self, decision: &Decision<'_>) {
        if self.counts.len() <= decision.class {
            self.counts.resize(decision.class + 1, [0; DECISION_KIND_COUNT]);
        }
        self.counts[decision.class][decision.kind as usize] += 1;
    }

    fn report(&self, to_ms: Option<u64>) -> IntervalReport {
        IntervalReport {
            version: self.version.clone(),
            from_ms: millis(self.started_at),
            to_ms,
            log_indices: (self.first_log_index, self.last_log_index),
            decisions: nonzero_counts(&self.counts),
            first_request: self.first_request.clone(),
            last_request_digest: self.last_request_digest,
        }
    }
}

/// A run: equal exceptions that followed each other closely.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ExceptionRun {
    exception: Exception,
    first_at: Duration,
    last_at: Duration,
    count: u64,
    first_request: String,
}

impl ExceptionRun {
    fn report(&self) -> ExceptionReport {
        ExceptionReport {
            exception: self.exception.clone(),
            from_ms: millis(self.first_at),
            to_ms: millis(self.last_at),
            count: self.count,
            first_request: self.first_request.clone(),
        }
    }
}

/// A step: one decision about one request.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: Duration,
    request_digest: u64,
    kind: DecisionKind,
    /// Digest of the endpoint's name; 0 if the decision concerns no endpoint.
    endpoint_digest: u64,
    /// Number of the interval in which the decision was made, counted from the start of the log.
    interval: u64,
}

/// The audit log of one process, in memory.
#[derive(Clone, Debug)]
pub struct AuditLog {
    started_at: Duration,
    intervals: VecDeque<Interval>,
    /// Number of intervals that were dropped, which is also the number of the first interval in memory.
    dropped_intervals: u64,
    exception_runs: VecDeque<ExceptionRun>,
    dropped_exceptions: u64,
    steps: VecDeque<Step>,
    dropped_steps: u64,
    /// Endpoint names, by digest of the name.
    endpoint_names: BTreeMap<u64, String>,
}

impl AuditLog {
    /// Creates an empty audit log that starts at `now`.
    pub fn new(now: Duration, version: Version) -> AuditLog {
        let mut log = AuditLog {
            started_at: now,
            intervals: VecDeque::new(),
            dropped_intervals: 0,
            exception_runs: VecDeque::new(),
            dropped_exceptions: 0,
            steps: VecDeque::new(),
            dropped_steps: 0,
            endpoint_names: BTreeMap::new(),
        };
        log.set_version(now, version);
        log
    }

    /// Records that another version is in force from now on.
    pub fn set_version(&mut self, now: Duration, version: Version) {
        let has_predecessor = self.intervals.len() > 1;
        let mut log_index = 0;
        if let Some(last) = self.intervals.back_mut() {
            if last.version == version {
                return;
            }
            log_index = last.last_log_index;
            // An interval without decisions holds no information, so the new interval replaces it.
            if !last.has_decisions() && has_predecessor {
                last.version = version;
                last.started_at = now;
                last.first_log_index = last.last_log_index;
                return;
            }
        }
        self.intervals.push_back(Interval::new(now, version, log_index));
        while self.intervals.len() > MAX_INTERVALS {
            self.intervals.pop_front();
            self.dropped_intervals += 1;
        }
    }

    /// Records the log index up to which this gateway knows the state machine.
    pub fn set_log_index(&mut self, log_index: u64) {
        if let Some(interval) = self.intervals.back_mut() {
            interval.last_log_index = interval.last_log_index.max(log_index);
        }
    }

    /// Records a decision under the version in force.
    pub fn record_decision(&mut self, now: Duration, decision: Decision<'_>) {
        let request_digest = digest(decision.request_id.as_bytes());
        let has_request = !decision.request_id.is_empty();
        if let Some(interval) = self.intervals.back_mut() {
            interval.count(&decision);
            if has_request {
                interval.first_request.get_or_insert_with(|| decision.request_id.to_owned());
                interval.last_request_digest = Some(request_digest);
            }
        }
        let endpoint_digest = decision.endpoint.map_or(0, |endpoint| self.store_endpoint_name(endpoint));
        if !has_request {
            return;
        }
        if self.steps.len() == MAX_STEPS {
            self.steps.pop_front();
            self.dropped_steps += 1;
        }
        let interval = self.dropped_intervals + self.intervals.len() as u64 - 1;
        let kind = decision.kind;
        self.steps.push_back(Step { at: now, request_digest, kind, endpoint_digest, interval });
    }

    /// Stores the endpoint's name if there is capacity; returns the digest of the name.
    fn store_endpoint_name(&mut self, endpoint: &str) -> u64 {
        let name_digest = digest(endpoint.as_bytes());
        if self.endpoint_names.len() < MAX_ENDPOINT_NAMES && !self.endpoint_names.contains_key(&name_digest) {
            self.endpoint_names.insert(name_digest, endpoint.to_owned());
        }
        name_digest
    }

    /// Records an exception: a decision about a request that should not have been made.
    pub fn record_exception(&mut self, now: Duration, exception: Exception, request_id: &str) {
        let mut open_runs = self.exception_runs.iter_mut().rev().take(OPEN_RUNS);
        if let Some(run) = open_runs.find(|run| run.exception == exception) {
            if now.saturating_sub(run.last_at) <= MAX_GAP_IN_RUN {
                run.last_at = now;
                run.count += 1;
                return;
            }
        }
        let first_request = request_id.to_owned();
        self.exception_runs.push_back(ExceptionRun {
            exception,
            first_at: now,
            last_at: now,
            count: 1,
            first_request,
        });
        while self.exception_runs.len() > MAX_EXCEPTION_RUNS {
            self.exception_runs.pop_front();
            self.dropped_exceptions += 1;
        }
    }

    /// Reports of the intervals from this number on, each with the interval's number.
    fn report_intervals_from(&self, number: u64) -> impl Iterator<Item = (u64, IntervalReport)> + '_ {
        let skipped = number.saturating_sub(self.dropped_intervals) as usize;
        let begins = self.intervals.iter().skip(skipped + 1).map(|next| Some(millis(next.started_at)));
        let ends = begins.chain([None]);
        let reports = self.intervals.iter().skip(skipped).zip(ends);
        let numbers = self.dropped_intervals + skipped as u64..;
        numbers.zip(reports.map(|(interval, to_ms)| interval.report(to_ms)))
    }

    /// Returns the entries recorded since a cursor, to be written to disk, and the cursor for the next call once the write has succeeded.
    pub fn segment_since(&self, since: &SegmentCursor, now: Duration, state: ProcessState) -> SegmentDelta {
        let mut segment = Segment {
            from_ms: millis(since.written_until),
            to_ms: millis(now),
            ended: state == ProcessState::Ended,
            ..Segment::default()
        };
        if since.next_interval < self.dropped_intervals || since.next_exception < self.dropped_exceptions {
            let to_ms = self.intervals.front().map_or(segment.to_ms, |first| millis(first.started_at));
            segment.add_gap(to_ms, UnknownKind::All);
        }
        segment.intervals.extend(self.report_intervals_from(since.next_interval));
        // The newest exception runs of the previous segment may have grown since that segment was made.
        let first_run = since.next_exception.saturating_sub(OPEN_RUNS as u64).max(self.dropped_exceptions);
        let runs = self.exception_runs.iter().skip((first_run - self.dropped_exceptions) as usize);
        segment.exceptions.extend((first_run..).zip(runs.map(ExceptionRun::report)));
        if since.next_step < self.dropped_steps {
            let to_ms = self.steps.front().map_or(segment.to_ms, |first| millis(first.at));
            segment.add_gap(to_ms, UnknownKind::Requests);
        }
        let steps = self.segment_steps_since(since.next_step, segment.from_ms);
        SegmentDelta { segment, steps, cursor: self.cursor(now) }
    }

    /// Steps from this step number on, encoded for a segment that begins at `from_ms` milliseconds.
    fn segment_steps_since(&self, number: u64, from_ms: u64) -> SegmentSteps {
        let mut steps = SegmentSteps::default();
        let skipped = number.saturating_sub(self.dropped_steps) as usize;
        for step in self.steps.iter().skip(skipped) {
            let name = self.endpoint_names.get(&step.endpoint_digest);
            let endpoint = name.map_or(0, |name| steps.endpoint_number(name));
            steps.steps.push(SegmentStep {
                offset_ms: millis(step.at).saturating_sub(from_ms) as u32,
                request_digest: step.request_digest.to_le_bytes(),
                kind: step.kind,
                endpoint,
                interval: step.interval,
            });
        }
        steps
    }

    fn cursor(&self, now: Duration) -> SegmentCursor {
        SegmentCursor {
            written_until: now,
            // The last interval may still be replaced while it has no decisions, which also changes the end of the interval before it.
            next_interval: self.dropped_intervals + (self.intervals.len() as u64).saturating_sub(2),
            next_exception: self.dropped_exceptions + self.exception_runs.len() as u64,
            next_step: self.dropped_steps + self.steps.len() as u64,
        }
    }

    /// Returns how far back the audit log in this process's memory goes.
    pub fn memory_span(&self, process: Incarnation) -> MemorySpan {
        MemorySpan {
            process,
            first_interval: self.dropped_intervals,
            first_exception: self.dropped_exceptions,
            steps_since_ms: self.steps_since_ms(),
        }
    }

    /// Time from which on steps are in memory, in milliseconds of the process's clock.
    fn steps_since_ms(&self) -> u64 {
        match self.steps.front() {
            Some(first) if self.dropped_steps > 0 => millis(first.at),
            _ => millis(self.started_at),
        }
    }

    /// Reports the decisions under endpoint lists with these indices.
    pub fn report_lists(&self, now: Duration, indices: RangeInclusive<u64>) -> AuditReport {
        let intervals: Vec<IntervalReport> = self
            .report_intervals_from(0)
            .map(|(_, interval)| interval)
            .filter(|interval| indices.contains(&interval.version.list.index))
            .collect();
        let exceptions = self.exception_runs.iter().map(ExceptionRun::report);
        let exceptions = exceptions.filter(|exception| exception.overlaps_any(&intervals)).collect();
        AuditReport {
            since_ms: millis(self.started_at),
            until_ms: millis(now),
            dropped_intervals: self.dropped_intervals,
            dropped_exceptions: self.dropped_exceptions,
            exceptions,
            intervals,
        }
    }

    /// Reports the decisions about one request.
    pub fn report_request(&self, request_id: &str) -> RequestReport {
        let request_digest = digest(request_id.as_bytes());
        let steps = self.steps.iter().filter(|step| step.request_digest == request_digest);
        RequestReport {
            since_ms: self.steps_since_ms(),
            steps: steps.map(|step| self.report_step(step)).collect(),
        }
    }

    fn report_step(&self, step: &Step) -> StepReport {
        let position = step.interval.checked_sub(self.dropped_intervals);
        let interval = position.and_then(|position| self.intervals.get(position as usize));
        StepReport {
            at_ms: millis(step.at),
            kind: step.kind,
            endpoint: self.endpoint_names.get(&step.endpoint_digest).cloned(),
            version: interval.map(|interval| interval.version.clone()),
        }
    }
}

fn millis(at: Duration) -> u64 {
    at.as_millis() as u64
}

/// Kind, class and number of the decisions, ordered by class and kind, without counts of zero.
fn nonzero_counts(counts: &[DecisionCounts]) -> Vec<(DecisionKind, usize, u64)> {
    const KINDS: [DecisionKind; DECISION_KIND_COUNT] =
        [DecisionKind::Pick, DecisionKind::Retry, DecisionKind::Reject, DecisionKind::Drain];
    let mut decisions = Vec::new();
    for (class, class_counts) in counts.iter().enumerate() {
        for kind in KINDS {
            let count = class_counts[kind as usize];
            if count > 0 {
                decisions.push((kind, class, count));
            }
        }
    }
    decisions
}

#[cfg(test)]
mod tests;
