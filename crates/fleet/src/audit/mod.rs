//! What a gateway did under which version, and what it did that it should not have.
//!
//! Every pick, resend, refusal and drain is booked under the version in force at that decision. Intervals hold counts, so that their
//! number grows with changes of version and not with traffic; the newest requests are kept one by one. All of it is bounded: what no
//! longer fits is forgotten oldest first, and *that* it was is told with every answer, so that silence never looks like innocence.

mod pages;

pub use pages::{
    decode_header, AuditQuery, EncodedSegment, Evicted, HistoryQuery, HistoryReport, MemorySpan,
    ProcessReport, RetentionIndex, RetentionLimits, Segment, SegmentBuilder, SegmentCursor, SegmentHeader,
    SegmentSteps, SegmentWriter, UnknownKind, UnknownSpan,
};

use crate::version::{digest, Version};
use pages::PageStep;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The most intervals.
const INTERVALS: usize = 4096;
/// The most exceptions, each of which stands for a run of alike ones.
const EXCEPTIONS: usize = 1024;
/// The most steps of requests that are kept one by one: at 200 requests a second, a minute and a half.
const STEPS: usize = 16_384;
/// The most names of hosts.
const NAMES: usize = 4096;
/// Alike exceptions nearer to each other than this are one run.
const RUN: Duration = Duration::from_secs(1);
/// So many runs, the newest, may grow still.
const OPEN_RUNS: usize = 4;

/// A kind of decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DecisionKind {
    /// A request goes to a host for the first time.
    Pick,
    /// It goes out again.
    #[serde(rename = "Resend")]
    Retry,
    /// It is refused.
    #[serde(rename = "Refuse")]
    Reject,
    /// A host gets nothing new.
    Drain,
}

const KINDS: usize = 4;

/// What a gateway should not have done.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Exception {
    /// It acted on a list older than one that it had been told of.
    #[serde(rename = "OlderThanTold")]
    StaleList {
        /// What it had.
        own: u64,
        /// What it had been told of.
        told: u64,
    },
    /// It sent to a host that it had been told leaves or is gone.
    #[serde(rename = "ToldGone")]
    RemovedEndpoint {
        /// The host.
        host: String,
    },
    /// It acted without a session.
    WithoutSession,
    /// It sent although it was shut out.
    #[serde(rename = "ShutOut")]
    Fenced,
}

/// A decision.
#[derive(Clone, Copy, Debug)]
pub struct Decision<'a> {
    /// Its kind.
    pub kind: DecisionKind,
    /// The class of the request; 0 for a drain.
    pub class: usize,
    /// The request's number, as the client wrote it; empty for a drain.
    pub request_id: &'a str,
    /// The host, where it is about one.
    pub endpoint: Option<&'a str>,
}

/// A stretch of time under one version.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Interval {
    version: Version,
    from: Duration,
    /// The register's position as this gateway knew it at the beginning, and last.
    register: (u64, u64),
    /// By class: how many of each kind.
    counts: Vec<[u64; KINDS]>,
    first: Option<String>,
    last: Option<u64>,
}

/// A run of exceptions.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Run {
    what: Exception,
    from: Duration,
    to: Duration,
    count: u64,
    first: String,
}

impl Run {
    fn told(&self) -> ExceptionReport {
        ExceptionReport {
            what: self.what.clone(),
            from_ms: ms(self.from),
            to_ms: ms(self.to),
            count: self.count,
            first: self.first.clone(),
        }
    }
}

/// A step of a request.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: Duration,
    request: u64,
    kind: DecisionKind,
    host: u64,
    interval: u64,
}

/// The books.
#[derive(Clone, Debug)]
pub struct AuditLog {
    began: Duration,
    intervals: VecDeque<Interval>,
    /// Intervals forgotten: the number of the first one kept.
    forgotten: u64,
    exceptions: VecDeque<Run>,
    exceptions_forgotten: u64,
    steps: VecDeque<Step>,
    steps_forgotten: u64,
    names: BTreeMap<u64, String>,
}

/// An interval, as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntervalReport {
    /// The version in force.
    pub version: Version,
    /// From when, in milliseconds of the teller's clock.
    pub from_ms: u64,
    /// Until when; where none, still.
    pub to_ms: Option<u64>,
    /// The position of the register that it knew at the beginning, and last: it moves with every renewal of anybody's session.
    pub register: (u64, u64),
    /// How many decisions of each kind, by class.
    pub decisions: Vec<(DecisionKind, usize, u64)>,
    /// The first request.
    pub first: Option<String>,
    /// A digest of the last request's number.
    pub last: Option<u64>,
}

/// A run of exceptions, as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExceptionReport {
    /// What.
    pub what: Exception,
    /// From when, in milliseconds of the teller's clock.
    pub from_ms: u64,
    /// The last one.
    pub to_ms: u64,
    /// How many.
    pub count: u64,
    /// The first request.
    pub first: String,
}

/// A step, as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReport {
    /// When, in milliseconds of the teller's clock.
    pub at_ms: u64,
    /// What.
    pub kind: DecisionKind,
    /// To whom, where it is known still.
    pub host: Option<String>,
    /// Under which version, where it is known still.
    pub version: Option<Version>,
}

/// What one gateway answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditReport {
    /// Since when its books go, in milliseconds of its clock: what its processes before did is not in them.
    pub since_ms: u64,
    /// Up to when.
    pub until_ms: u64,
    /// How many intervals have been forgotten since.
    pub forgotten: u64,
    /// How many runs of exceptions have been forgotten.
    pub exceptions_forgotten: u64,
    /// The intervals asked for.
    pub intervals: Vec<IntervalReport>,
    /// The exceptions in that time.
    pub exceptions: Vec<ExceptionReport>,
}

impl ExceptionReport {
    /// Whether it fell into one of these intervals.
    fn during(&self, intervals: &[IntervalReport]) -> bool {
        intervals.iter().any(|i| self.to_ms >= i.from_ms && i.to_ms.is_none_or(|to| self.from_ms <= to))
    }
}

fn ms(at: Duration) -> u64 {
    at.as_millis() as u64
}

impl AuditLog {
    /// Empty books that begin now.
    pub fn new(now: Duration, version: Version) -> AuditLog {
        let mut audit = AuditLog {
            began: now,
            intervals: VecDeque::new(),
            forgotten: 0,
            exceptions: VecDeque::new(),
            exceptions_forgotten: 0,
            steps: VecDeque::new(),
            steps_forgotten: 0,
            names: BTreeMap::new(),
        };
        audit.set_version(now, version);
        audit
    }

    /// Another version is in force from now on.
    pub fn set_version(&mut self, now: Duration, version: Version) {
        if self.intervals.back().is_some_and(|i| i.version == version) {
            return;
        }
        // One in which nothing was decided tells nobody anything.
        let idle = self.intervals.back().is_some_and(|i| i.counts.is_empty());
        if idle && self.intervals.len() > 1 {
            if let Some(last) = self.intervals.back_mut() {
                (last.version, last.from, last.register.0) = (version, now, last.register.1);
            }
            return;
        }
        let known = self.intervals.back().map_or(0, |i| i.register.1);
        let (counts, register) = (Vec::new(), (known, known));
        self.intervals.push_back(Interval { version, from: now, register, counts, first: None, last: None });
        while self.intervals.len() > INTERVALS {
            self.intervals.pop_front();
            self.forgotten += 1;
        }
    }

    /// The register has come to this position, as far as is known here.
    pub fn set_log_index(&mut self, position: u64) {
        if let Some(interval) = self.intervals.back_mut() {
            interval.register.1 = interval.register.1.max(position);
        }
    }

    /// Books a decision under the version in force.
    pub fn record_decision(&mut self, now: Duration, decision: Decision<'_>) {
        let request = digest(decision.request_id.as_bytes());
        if let Some(interval) = self.intervals.back_mut() {
            if interval.counts.len() <= decision.class {
                interval.counts.resize(decision.class + 1, [0; KINDS]);
            }
            interval.counts[decision.class][decision.kind as usize] += 1;
            if !decision.request_id.is_empty() {
                if interval.first.is_none() {
                    interval.first = Some(decision.request_id.to_owned());
                }
                interval.last = Some(request);
            }
        }
        let host = decision.endpoint.map_or(0, |host| {
            let hash = digest(host.as_bytes());
            if self.names.len() < NAMES && !self.names.contains_key(&hash) {
                self.names.insert(hash, host.to_owned());
            }
            hash
        });
        if decision.request_id.is_empty() {
            return;
        }
        if self.steps.len() == STEPS {
            self.steps.pop_front();
            self.steps_forgotten += 1;
        }
        let interval = self.forgotten + self.intervals.len() as u64 - 1;
        self.steps.push_back(Step { at: now, request, kind: decision.kind, host, interval });
    }

    /// Books that a decision should not have been.
    pub fn record_exception(&mut self, now: Duration, what: Exception, request: &str) {
        let run = self.exceptions.iter_mut().rev().take(OPEN_RUNS).find(|r| r.what == what);
        if let Some(run) = run.filter(|r| now.saturating_sub(r.to) <= RUN) {
            (run.to, run.count) = (now, run.count + 1);
            return;
        }
        let first = request.to_owned();
        self.exceptions.push_back(Run { what, from: now, to: now, count: 1, first });
        while self.exceptions.len() > EXCEPTIONS {
            self.exceptions.pop_front();
            self.exceptions_forgotten += 1;
        }
    }

    /// The intervals from this number on, by number.
    fn tell_from(&self, number: u64) -> impl Iterator<Item = (u64, IntervalReport)> + '_ {
        let skip = number.saturating_sub(self.forgotten) as usize;
        let ends = self.intervals.iter().skip(skip + 1).map(|i| Some(ms(i.from))).chain([None]);
        let numbers = self.forgotten + skip as u64..;
        numbers.zip(self.intervals.iter().skip(skip).zip(ends).map(|(interval, to_ms)| IntervalReport {
            version: interval.version.clone(),
            from_ms: ms(interval.from),
            to_ms,
            register: interval.register,
            decisions: decisions(&interval.counts),
            first: interval.first.clone(),
            last: interval.last,
        }))
    }

    /// What was booked since a mark, for the disk; and the mark that holds once it is there.
    pub fn segment_since(
        &self,
        since: &SegmentCursor,
        now: Duration,
        ended: bool,
    ) -> (Segment, SegmentSteps, SegmentCursor) {
        let from_ms = ms(since.to);
        let mut page = Segment { from_ms, to_ms: ms(now), ended, ..Segment::default() };
        if since.interval < self.forgotten || since.exception < self.exceptions_forgotten {
            let to_ms = self.intervals.front().map_or(page.to_ms, |i| ms(i.from));
            page.gaps.push(UnknownSpan { from_ms, to_ms, what: UnknownKind::All });
        }
        page.intervals.extend(self.tell_from(since.interval));
        // The newest few of before may have grown.
        let first = since.exception.saturating_sub(OPEN_RUNS as u64).max(self.exceptions_forgotten);
        let runs = self.exceptions.iter().skip((first - self.exceptions_forgotten) as usize);
        page.exceptions.extend((first..).zip(runs.map(Run::told)));
        let mut steps = SegmentSteps::default();
        if since.step < self.steps_forgotten {
            let to_ms = self.steps.front().map_or(page.to_ms, |s| ms(s.at));
            page.gaps.push(UnknownSpan { from_ms, to_ms, what: UnknownKind::Requests });
        }
        let skip = since.step.saturating_sub(self.steps_forgotten) as usize;
        for step in self.steps.iter().skip(skip) {
            let host = self.names.get(&step.host).map_or(0, |name| steps.host(name));
            steps.steps.push(PageStep {
                after: ms(step.at).saturating_sub(from_ms) as u32,
                request: step.request.to_le_bytes(),
                kind: step.kind,
                host,
                interval: step.interval,
            });
        }
        let mark = SegmentCursor {
            to: now,
            // One in which nothing was decided may begin later yet, and the one before it end later.
            interval: self.forgotten + (self.intervals.len() as u64).saturating_sub(2),
            exception: self.exceptions_forgotten + self.exceptions.len() as u64,
            step: self.steps_forgotten + self.steps.len() as u64,
        };
        (page, steps, mark)
    }

    /// How far back these books go themselves, of this process.
    pub fn memory_span(&self, process: crate::version::Incarnation) -> MemorySpan {
        let (step_ms, _) = self.report_request("");
        let (interval, exception) = (self.forgotten, self.exceptions_forgotten);
        MemorySpan { process, interval, exception, step_ms }
    }

    /// What was done under lists of these indices.
    pub fn report_lists(&self, now: Duration, indices: std::ops::RangeInclusive<u64>) -> AuditReport {
        let wanted = self.tell_from(0).filter(|(_, i)| indices.contains(&i.version.list.index));
        let intervals: Vec<IntervalReport> = wanted.map(|(_, interval)| interval).collect();
        let exceptions = self.exceptions.iter().map(Run::told).filter(|e| e.during(&intervals)).collect();
        AuditReport {
            since_ms: ms(self.began),
            until_ms: ms(now),
            forgotten: self.forgotten,
            exceptions_forgotten: self.exceptions_forgotten,
            exceptions,
            intervals,
        }
    }

    /// What a request met; and from when on the books hold single requests.
    pub fn report_request(&self, number: &str) -> (u64, Vec<StepReport>) {
        let wanted = digest(number.as_bytes());
        let step = |s: &Step| StepReport {
            at_ms: ms(s.at),
            kind: s.kind,
            host: self.names.get(&s.host).cloned(),
            version: s
                .interval
                .checked_sub(self.forgotten)
                .and_then(|n| self.intervals.get(n as usize))
                .map(|i| i.version.clone()),
        };
        let from = match self.steps.front() {
            Some(first) if self.steps_forgotten > 0 => first.at,
            _ => self.began,
        };
        (ms(from), self.steps.iter().filter(|s| s.request == wanted).map(step).collect())
    }
}

fn decisions(counts: &[[u64; KINDS]]) -> Vec<(DecisionKind, usize, u64)> {
    let kinds = [DecisionKind::Pick, DecisionKind::Retry, DecisionKind::Reject, DecisionKind::Drain];
    let by_class = |(class, of): (usize, &[u64; KINDS])| {
        let of = *of;
        kinds.into_iter().filter_map(move |kind| {
            let count = of[kind as usize];
            (count > 0).then_some((kind, class, count))
        })
    };
    counts.iter().enumerate().flat_map(by_class).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::version::ListVersion;
    use proptest::prelude::*;

    pub(super) fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    pub(super) fn version(index: u64) -> Version {
        Version { list: ListVersion { lineage: "r".into(), index }, ..Version::default() }
    }

    fn pick(request: &str) -> Decision<'_> {
        Decision { kind: DecisionKind::Pick, class: 1, request_id: request, endpoint: Some("n1") }
    }

    #[test]
    fn who_acted_on_a_version_after_a_moment_is_told() {
        let mut audit = AuditLog::new(at(0), version(1));
        audit.record_decision(at(10), pick("a"));
        audit.set_version(at(100), version(2));
        audit.record_decision(at(110), pick("b"));
        audit.set_log_index(7);
        audit.record_decision(
            at(120),
            Decision { kind: DecisionKind::Reject, class: 0, request_id: "c", endpoint: None },
        );
        audit.record_exception(at(120), Exception::WithoutSession, "c");
        let told = audit.report_lists(at(200), 1..=1);
        assert_eq!(told.intervals.len(), 1);
        assert_eq!((told.intervals[0].from_ms, told.intervals[0].to_ms), (0, Some(100)));
        assert_eq!(told.intervals[0].decisions, [(DecisionKind::Pick, 1, 1)]);
        assert!(told.exceptions.is_empty(), "that was under another version");
        let told = audit.report_lists(at(200), 2..=9);
        assert_eq!(told.intervals[0].register, (0, 7));
        assert_eq!(told.intervals[0].decisions, [(DecisionKind::Reject, 0, 1), (DecisionKind::Pick, 1, 1)]);
        assert_eq!(told.exceptions.len(), 1);
        let (from, steps) = audit.report_request("b");
        assert_eq!((from, steps.len()), (0, 1));
        assert_eq!(steps[0].host.as_deref(), Some("n1"));
        assert_eq!(steps[0].version.as_ref().map(|v| v.list.index), Some(2));
    }

    #[test]
    fn exceptions_in_a_row_are_one_run_and_later_ones_another() {
        let mut audit = AuditLog::new(at(0), version(1));
        for n in 0..50 {
            audit.record_exception(at(n * 100), Exception::WithoutSession, "x");
        }
        audit.record_exception(at(9000), Exception::WithoutSession, "y");
        let told = audit.report_lists(at(9000), 0..=u64::MAX);
        assert_eq!(told.exceptions.iter().map(|e| e.count).collect::<Vec<_>>(), [50, 1]);
    }

    proptest! {
        /// However many versions and requests there are, the books stay bounded, and say what they no longer hold.
        #[test]
        fn books_are_bounded_and_say_what_is_forgotten(versions in 1u64..12_000, each in 0u64..3) {
            let mut audit = AuditLog::new(at(0), version(0));
            for v in 1..=versions {
                audit.set_version(at(v), version(v));
                for n in 0..each {
                    audit.record_decision(at(v), pick(&format!("{v}-{n}")));
                }
            }
            prop_assert!(audit.intervals.len() <= INTERVALS && audit.steps.len() <= STEPS);
            let told = audit.report_lists(at(versions), 0..=u64::MAX);
            let counted: u64 = told.intervals.iter().flat_map(|i| &i.decisions).map(|(_, _, n)| n).sum();
            if told.forgotten == 0 {
                prop_assert_eq!(counted, versions * each);
            } else {
                prop_assert!(counted < versions * each);
            }
            // A version that nothing was done under costs no place.
            prop_assert!(each > 0 || told.intervals.len() <= 2);
            let (from, _) = audit.report_request("none");
            prop_assert_eq!(from > 0, audit.steps_forgotten > 0);
        }

        /// Every decision is in the interval whose version was in force.
        #[test]
        fn counts_add_up(steps in prop::collection::vec((0u64..5, 0usize..3), 1..200)) {
            let mut audit = AuditLog::new(at(0), version(0));
            let mut sums = BTreeMap::new();
            for (n, (index, class)) in steps.iter().enumerate() {
                audit.set_version(at(n as u64), version(*index));
                audit.record_decision(at(n as u64), Decision { class: *class, ..pick("r") });
                *sums.entry(*index).or_insert(0u64) += 1;
            }
            for (index, sum) in sums {
                let told = audit.report_lists(at(999), index..=index);
                let counted: u64 = told.intervals.iter().flat_map(|i| &i.decisions).map(|(_, _, n)| n).sum();
                prop_assert_eq!(counted, sum);
            }
        }
    }
}
