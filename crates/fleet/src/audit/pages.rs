//! The books as they go to a disk, and what is told of processes that have ended.
//!
//! A [`Page`] holds what was booked since a [`Mark`]: totals of each interval that may have changed, whole, so that a page which is lost or
//! dropped takes nothing from the next one, and single requests. [`Filling`] gathers pages until one is full, [`Shelf`] says what is
//! dropped, and [`Past`] puts together what was written by which process, with each time of which nothing is known.

use super::{DecisionKind, ExceptionReport, IntervalReport, StepReport};
use crate::encoding;
use crate::version::{digest, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

/// A page with so many requests is full.
const FULL: usize = 4096;
/// One that holds so long a time is, too.
const LONG: Duration = Duration::from_secs(60);
/// The most intervals, and exceptions, that are told of earlier processes: the newest.
const MOST_TOLD: usize = 4096;
/// The most requests told of earlier processes under one number.
const MOST_STEPS: usize = 256;
/// No page is longer than this when it is taken apart: what says so was not written here.
const LONGEST_PAGE: usize = encoding::MAX_ENCODED_BYTES;

/// How far the books are on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentCursor {
    pub(super) to: Duration,
    pub(super) interval: u64,
    pub(super) exception: u64,
    pub(super) step: u64,
}

impl SegmentCursor {
    /// Nothing is, of books that began then.
    pub fn start(began: Duration) -> SegmentCursor {
        SegmentCursor { to: began, interval: 0, exception: 0, step: 0 }
    }
}

/// What is lost of a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum UnknownKind {
    /// Single requests; the counts are there.
    Requests,
    /// Everything.
    All,
}

/// A time of which something is lost, in milliseconds of the process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnknownSpan {
    /// From when.
    pub from_ms: u64,
    /// To when.
    pub to_ms: u64,
    /// What.
    pub what: UnknownKind,
}

/// A request's step. Short, for there are many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PageStep {
    /// Milliseconds after the page's beginning.
    pub(super) after: u32,
    /// Digests don't gain by a variable length.
    pub(super) request: [u8; 8],
    pub(super) kind: DecisionKind,
    /// Which of the page's hosts, from 1; 0 is none.
    pub(super) host: u16,
    pub(super) interval: u64,
}

/// What goes into one record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    pub(super) intervals: BTreeMap<u64, IntervalReport>,
    pub(super) exceptions: BTreeMap<u64, ExceptionReport>,
    pub(super) gaps: Vec<UnknownSpan>,
    /// The process wrote this as its last.
    pub(super) ended: bool,
}

/// The single requests of a page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentSteps {
    pub(super) hosts: Vec<String>,
    pub(super) steps: Vec<PageStep>,
}

impl SegmentSteps {
    pub(super) fn host(&mut self, name: &str) -> u16 {
        let at = self.hosts.iter().position(|h| h == name).unwrap_or_else(|| {
            self.hosts.push(name.to_owned());
            self.hosts.len() - 1
        });
        u16::try_from(at + 1).unwrap_or_default()
    }
}

/// Whose a page is and what it spans: enough to pass it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// The process that wrote it.
    pub process: Incarnation,
    /// When that began, by its wall clock.
    pub began_unix_ms: u64,
    /// When it opened the file, likewise.
    pub opened_unix_ms: u64,
    /// When this was written, likewise.
    pub written_unix_ms: u64,
    from_ms: u64,
    to_ms: u64,
    ended: bool,
    /// The least and the greatest index of the lists in it.
    indices: Option<(u64, u64)>,
    /// Something is lost of its time.
    gaps: bool,
    /// Bytes of the page, and of its requests.
    lengths: (u32, u32),
}

/// The process that writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentWriter {
    /// It.
    pub process: Incarnation,
    /// When it began, by its wall clock.
    pub began_unix_ms: u64,
    /// When it opened the file.
    pub opened_unix_ms: u64,
}

/// A record, as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedSegment {
    /// Its number.
    pub number: u64,
    /// Whose it is, and of what.
    pub header: Vec<u8>,
    /// The page.
    pub segment: Vec<u8>,
    /// Its requests.
    pub steps: Vec<u8>,
}

/// Compressed, with a digest in front.
fn pack<T: Serialize>(what: &T) -> Vec<u8> {
    let packed = lz4_flex::compress_prepend_size(&postcard::to_allocvec(what).unwrap_or_default());
    [&digest(&packed).to_le_bytes()[..], &packed].concat()
}

/// The same back; none where it is not as it was written.
fn unpack<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    let (seal, packed) = bytes.split_at_checked(8)?;
    let length = u32::from_le_bytes(packed.get(..4)?.try_into().ok()?) as usize;
    if seal != digest(packed).to_le_bytes() || length > LONGEST_PAGE {
        return None;
    }
    encoding::decode(&lz4_flex::decompress_size_prepended(packed).ok()?).ok()
}

/// The page that is being filled.
#[derive(Clone, Debug)]
pub struct SegmentBuilder {
    writer: SegmentWriter,
    number: u64,
    page: Segment,
    steps: SegmentSteps,
    /// Nothing was added yet.
    empty: bool,
}

impl SegmentBuilder {
    /// Begins with this number.
    pub fn new(writer: SegmentWriter, number: u64) -> SegmentBuilder {
        SegmentBuilder {
            writer,
            number,
            page: Segment::default(),
            steps: SegmentSteps::default(),
            empty: true,
        }
    }

    /// Adds what came after; the record to write, in place of the one with its number where there is one.
    pub fn append(&mut self, page: Segment, steps: SegmentSteps, written_unix_ms: u64) -> EncodedSegment {
        let spans = Duration::from_millis(self.page.to_ms.saturating_sub(self.page.from_ms));
        if self.empty {
            (self.page, self.steps, self.empty) = (page, steps, false);
        } else if self.steps.steps.len() >= FULL || spans >= LONG {
            self.number += 1;
            (self.page, self.steps) = (page, steps);
        } else {
            self.absorb(page, steps);
        }
        let (page, steps) = (pack(&self.page), pack(&self.steps));
        let indices = self.page.intervals.values().map(|i| i.version.list.index);
        let head = SegmentHeader {
            process: self.writer.process,
            began_unix_ms: self.writer.began_unix_ms,
            opened_unix_ms: self.writer.opened_unix_ms,
            written_unix_ms,
            from_ms: self.page.from_ms,
            to_ms: self.page.to_ms,
            ended: self.page.ended,
            indices: indices.clone().min().zip(indices.max()),
            gaps: !self.page.gaps.is_empty(),
            lengths: (page.len() as u32, if self.steps.steps.is_empty() { 0 } else { steps.len() as u32 }),
        };
        EncodedSegment { number: self.number, header: pack(&head), segment: page, steps }
    }

    fn absorb(&mut self, later: Segment, steps: SegmentSteps) {
        let shift = later.from_ms.saturating_sub(self.page.from_ms);
        for step in steps.steps {
            let host = match usize::from(step.host).checked_sub(1).and_then(|at| steps.hosts.get(at)) {
                Some(name) => self.steps.host(name),
                None => 0,
            };
            let after = step.after.saturating_add(shift as u32);
            self.steps.steps.push(PageStep { after, host, ..step });
        }
        self.page.to_ms = later.to_ms;
        self.page.intervals.extend(later.intervals);
        self.page.exceptions.extend(later.exceptions);
        self.page.gaps.extend(later.gaps);
        self.page.ended |= later.ended;
    }
}

/// Reads a record's head.
pub fn decode_header(bytes: &[u8]) -> Option<SegmentHeader> {
    unpack(bytes)
}

/// How much is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Bytes, compressed.
    pub max_bytes: u64,
    /// How old a page becomes, by the wall clock.
    pub max_age: Duration,
}

impl Default for RetentionLimits {
    fn default() -> RetentionLimits {
        RetentionLimits { max_bytes: 64 << 20, max_age: Duration::from_secs(7 * 86_400) }
    }
}

/// What is to be dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evicted {
    /// The requests of the record of this number.
    Steps(u64),
    /// All of it.
    Segment(u64),
}

/// What is on the disk, by number: its bytes and its age.
#[derive(Clone, Debug, Default)]
pub struct RetentionIndex {
    kept: BTreeMap<u64, (u32, u32, u64)>,
    total: u64,
    /// Records before this one have no requests any more.
    bare: u64,
}

impl RetentionIndex {
    /// A record is there, anew or in place of one with its number.
    pub fn insert(&mut self, number: u64, head: &SegmentHeader) {
        let (page, steps) = head.lengths;
        self.remove(number);
        self.kept.insert(number, (page, steps, head.written_unix_ms));
        self.total += u64::from(page) + u64::from(steps);
    }

    fn remove(&mut self, number: u64) {
        if let Some((page, steps, _)) = self.kept.remove(&number) {
            self.total -= u64::from(page) + u64::from(steps);
        }
    }

    /// The number for the next process's first record.
    pub fn next_number(&self) -> u64 {
        self.kept.last_key_value().map_or(1, |(number, _)| number + 1)
    }

    /// What goes now: what is too old; then single requests, oldest first, until the rest fits; then the oldest records. The newest stays.
    pub fn evict(&mut self, bounds: &RetentionLimits, now_unix_ms: u64) -> Vec<Evicted> {
        let mut dropped = Vec::new();
        let newest = self.next_number() - 1;
        let age = bounds.max_age.as_millis() as u64;
        let oldest = |kept: &BTreeMap<u64, (u32, u32, u64)>| kept.first_key_value().map(|(n, of)| (*n, of.2));
        while let Some((number, at)) = oldest(&self.kept).filter(|(n, _)| *n < newest) {
            if at.saturating_add(age) >= now_unix_ms {
                break;
            }
            self.remove(number);
            dropped.push(Evicted::Segment(number));
        }
        while self.total > bounds.max_bytes {
            let full = self.kept.range_mut(self.bare..newest).find(|(_, (_, steps, _))| *steps > 0);
            if let Some((number, (_, steps, _))) = full {
                self.total -= u64::from(*steps);
                *steps = 0;
                self.bare = number + 1;
                dropped.push(Evicted::Steps(*number));
                continue;
            }
            let Some((number, _)) = oldest(&self.kept).filter(|(n, _)| *n < newest) else { break };
            self.remove(number);
            dropped.push(Evicted::Segment(number));
        }
        dropped
    }
}

/// What is asked of the past.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditQuery {
    /// What was done under lists of these indices.
    Lists(RangeInclusive<u64>),
    /// What a request met.
    Request(String),
}

/// What an earlier process did, or what this one no longer has in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessReport {
    /// Which.
    pub process: String,
    /// When it began, by its wall clock.
    pub began_unix_ms: u64,
    /// Since when its books are there, in milliseconds of its clock.
    pub since_ms: u64,
    /// Up to when.
    pub until_ms: u64,
    /// Times of which not all is known.
    pub unknown: Vec<UnknownSpan>,
    /// The intervals asked for.
    pub intervals: Vec<IntervalReport>,
    /// The exceptions in them.
    pub exceptions: Vec<ExceptionReport>,
    /// What the request met that was asked for.
    pub steps: Vec<StepReport>,
}

/// What one gateway's disk tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReport {
    /// By process, the earliest first.
    pub processes: Vec<ProcessReport>,
    /// So many intervals, exceptions and steps more there are than are told: the earliest.
    pub more: u64,
}

/// How far back this process's own memory goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemorySpan {
    /// It.
    pub process: Incarnation,
    pub(super) interval: u64,
    pub(super) exception: u64,
    pub(super) step_ms: u64,
}

#[derive(Debug)]
struct Of {
    head: SegmentHeader,
    last: u64,
    since_ms: u64,
    unknown: Vec<UnknownSpan>,
    intervals: BTreeMap<u64, IntervalReport>,
    exceptions: BTreeMap<u64, ExceptionReport>,
    steps: Vec<(u64, StepReport)>,
}

/// Puts together what was written. Records are to be given in the order of their numbers.
#[derive(Debug)]
pub struct HistoryQuery {
    wanted: AuditQuery,
    request: [u8; 8],
    own: MemorySpan,
    processes: Vec<Of>,
}

impl HistoryQuery {
    /// Nothing yet.
    pub fn new(wanted: AuditQuery, own: MemorySpan) -> HistoryQuery {
        let request = match &wanted {
            AuditQuery::Request(number) => digest(number.as_bytes()).to_le_bytes(),
            AuditQuery::Lists(_) => [0; 8],
        };
        HistoryQuery { wanted, request, own, processes: Vec::new() }
    }

    /// Takes a record's head, and reads of it what is wanted. One whose head can't be read is not given, and is missed by its number.
    pub fn add_segment(
        &mut self,
        number: u64,
        head: SegmentHeader,
        page: impl FnOnce() -> Option<Vec<u8>>,
        steps: impl FnOnce() -> Option<Vec<u8>>,
    ) {
        let another = self.processes.last().is_none_or(|of| of.head.process != head.process);
        if another {
            self.processes.push(Of {
                head: head.clone(),
                last: number,
                since_ms: head.from_ms,
                unknown: Vec::new(),
                intervals: BTreeMap::new(),
                exceptions: BTreeMap::new(),
                steps: Vec::new(),
            });
        }
        let Some(of) = self.processes.last_mut() else { return };
        if !another && number > of.last + 1 {
            of.unknown.push(UnknownSpan {
                from_ms: of.head.to_ms,
                to_ms: head.from_ms,
                what: UnknownKind::All,
            });
        }
        (of.last, of.head) = (number, head.clone());
        let in_reach = match (&self.wanted, head.indices) {
            (AuditQuery::Lists(range), Some((least, most))) => {
                *range.start() <= most && least <= *range.end()
            }
            _ => true,
        };
        if !in_reach && !head.gaps {
            return;
        }
        let lost = |what| UnknownSpan { from_ms: head.from_ms, to_ms: head.to_ms, what };
        let Some(read) = page().and_then(|bytes| unpack::<Segment>(&bytes)) else {
            of.unknown.push(lost(UnknownKind::All));
            return;
        };
        of.unknown.extend(&read.gaps);
        of.intervals.extend(read.intervals);
        of.exceptions.extend(read.exceptions);
        if matches!(self.wanted, AuditQuery::Lists(_)) {
            return;
        }
        match steps() {
            None => of.unknown.push(lost(UnknownKind::Requests)),
            Some(bytes) => match unpack::<SegmentSteps>(&bytes) {
                None => of.unknown.push(lost(UnknownKind::Requests)),
                Some(SegmentSteps { hosts, steps }) => {
                    for step in steps.iter().filter(|s| s.request == self.request) {
                        let host =
                            usize::from(step.host).checked_sub(1).and_then(|at| hosts.get(at).cloned());
                        let at_ms = head.from_ms + u64::from(step.after);
                        of.steps.push((
                            step.interval,
                            StepReport { at_ms, kind: step.kind, host, version: None },
                        ));
                    }
                }
            },
        }
    }

    /// All of it. A process that did not write that it ends is unknown from its last page until another opened the file.
    pub fn finish(self) -> HistoryReport {
        let mut past = HistoryReport::default();
        let opened: Vec<u64> = self.processes.iter().skip(1).map(|of| of.head.opened_unix_ms).collect();
        for (n, mut of) in self.processes.into_iter().enumerate() {
            let own = of.head.process == self.own.process;
            if let Some(next) = opened.get(n).filter(|_| !of.head.ended) {
                // By wall clocks, which may have been set back: never before the last that is known.
                let to_ms = next.saturating_sub(of.head.began_unix_ms).max(of.head.to_ms);
                of.unknown.push(UnknownSpan { from_ms: of.head.to_ms, to_ms, what: UnknownKind::All });
            }
            of.steps.retain(|(_, step)| !own || step.at_ms < self.own.step_ms);
            let steps: Vec<StepReport> = of
                .steps
                .into_iter()
                .map(|(n, step)| StepReport {
                    version: of.intervals.get(&n).map(|i| i.version.clone()),
                    ..step
                })
                .collect();
            let (mut intervals, mut exceptions) = (Vec::new(), Vec::new());
            if let AuditQuery::Lists(range) = &self.wanted {
                let first = if own { self.own.interval } else { u64::MAX };
                let wanted =
                    of.intervals.range(..first).filter(|(_, i)| range.contains(&i.version.list.index));
                intervals = wanted.map(|(_, i)| i.clone()).collect();
                let first = if own { self.own.exception } else { u64::MAX };
                let told = of.exceptions.range(..first).map(|(_, e)| e);
                exceptions = told.filter(|e| e.during(&intervals)).cloned().collect();
            }
            if own
                && intervals.is_empty()
                && exceptions.is_empty()
                && steps.is_empty()
                && of.unknown.is_empty()
            {
                continue;
            }
            let until_ms = of.head.to_ms;
            past.processes.push(ProcessReport {
                process: of.head.process.to_string(),
                began_unix_ms: of.head.began_unix_ms,
                since_ms: of.since_ms,
                until_ms,
                unknown: of.unknown,
                intervals,
                exceptions,
                steps,
            });
        }
        past.cut();
        past
    }
}

impl HistoryReport {
    /// Leaves out the earliest of what would be too much for one answer.
    fn cut(&mut self) {
        let (mut intervals, mut exceptions, mut steps) = (MOST_TOLD, MOST_TOLD, MOST_STEPS);
        for process in self.processes.iter_mut().rev() {
            self.more += keep_newest(&mut process.intervals, &mut intervals)
                + keep_newest(&mut process.exceptions, &mut exceptions)
                + keep_newest(&mut process.steps, &mut steps);
        }
    }
}

fn keep_newest<T>(all: &mut Vec<T>, room: &mut usize) -> u64 {
    let over = all.len().saturating_sub(*room);
    all.drain(..over);
    *room -= all.len();
    over as u64
}

#[cfg(test)]
mod tests {
    use super::super::tests::{at, version};
    use super::super::{AuditLog, Decision, Exception};
    use super::*;
    use proptest::prelude::*;

    fn writer(process: u64) -> SegmentWriter {
        let began_unix_ms = process * 1_000_000;
        SegmentWriter { process: Incarnation(process), began_unix_ms, opened_unix_ms: began_unix_ms + 50 }
    }

    /// A disk as the gateway keeps it.
    #[derive(Default)]
    struct Disk {
        records: BTreeMap<u64, EncodedSegment>,
        shelf: RetentionIndex,
    }

    impl Disk {
        fn write(
            &mut self,
            filling: &mut SegmentBuilder,
            audit: &AuditLog,
            mark: &mut SegmentCursor,
            now: Duration,
            ended: bool,
        ) {
            let (page, steps, next) = audit.segment_since(mark, now, ended);
            let record = filling.append(page, steps, 0);
            self.shelf.insert(record.number, &decode_header(&record.header).expect("a head"));
            self.records.insert(record.number, record);
            *mark = next;
        }

        fn past(&self, wanted: AuditQuery, own: MemorySpan) -> HistoryReport {
            let mut past = HistoryQuery::new(wanted, own);
            for (number, record) in &self.records {
                let Some(head) = decode_header(&record.header) else { continue };
                past.add_segment(
                    *number,
                    head,
                    || Some(record.segment.clone()),
                    || Some(record.steps.clone()),
                );
            }
            past.finish()
        }
    }

    fn other() -> MemorySpan {
        MemorySpan { process: Incarnation(99), interval: 0, exception: 0, step_ms: 0 }
    }

    fn all() -> AuditQuery {
        AuditQuery::Lists(0..=u64::MAX)
    }

    #[derive(Clone, Debug)]
    enum Deed {
        Turn(u64),
        Book(u16, u8),
        Except(u64),
        Write { reaches: bool },
        Wait(u64),
    }

    fn deed() -> impl Strategy<Value = Deed> {
        prop_oneof![
            1 => (0u64..9).prop_map(Deed::Turn),
            6 => (0u16..20, 0u8..5).prop_map(|(request, host)| Deed::Book(request, host)),
            1 => (0u64..3).prop_map(Deed::Except),
            2 => any::<bool>().prop_map(|reaches| Deed::Write { reaches }),
            1 => (0u64..40_000).prop_map(Deed::Wait),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(128))]

        /// Whatever is booked and whichever writes fail: what a crash leaves is what the books were at the last write that reached the disk,
        /// each request with its host and its version, and the rest of the time is unknown.
        #[test]
        fn a_crash_leaves_the_books_as_last_written(deeds in prop::collection::vec(deed(), 1..400)) {
            let mut audit = AuditLog::new(at(0), version(0));
            let (mut disk, mut filling) = (Disk::default(), SegmentBuilder::new(writer(1), 1));
            let (mut mark, mut now) = (SegmentCursor::start(at(0)), 0);
            let mut written = None;
            for deed in deeds {
                now += 1;
                match deed {
                    Deed::Turn(index) => audit.set_version(at(now), version(index)),
                    Deed::Book(request, host) => {
                        let (request, host) = (request.to_string(), format!("n{host}"));
                        let decision = Decision { kind: DecisionKind::Pick, class: 1, request_id: &request, endpoint: Some(&host) };
                        audit.record_decision(at(now), decision);
                    }
                    Deed::Except(told) => audit.record_exception(at(now), Exception::StaleList { own: 0, told }, "x"),
                    Deed::Wait(long) => now += long,
                    Deed::Write { reaches: true } => {
                        disk.write(&mut filling, &audit, &mut mark, at(now), false);
                        written = Some((now, audit.clone()));
                    }
                    // Made, and lost on its way: the mark stays.
                    Deed::Write { reaches: false } => drop(audit.segment_since(&mark, at(now), false)),
                }
            }
            let Some((until, audit)) = written else { return Ok(()) };
            let mut next = SegmentBuilder::new(writer(2), disk.shelf.next_number());
            disk.write(&mut next, &AuditLog::new(at(0), version(0)), &mut SegmentCursor::start(at(0)), at(10), false);
            let past = disk.past(all(), other());
            let told = audit.report_lists(at(until), 0..=u64::MAX);
            prop_assert_eq!(&past.processes[0].intervals, &told.intervals);
            prop_assert_eq!(&past.processes[0].exceptions, &told.exceptions);
            let gap = UnknownSpan { from_ms: until, to_ms: 1_000_050.max(until), what: UnknownKind::All };
            prop_assert_eq!(&past.processes[0].unknown, &[gap]);
            for request in 0..20u16 {
                let number = request.to_string();
                let past = disk.past(AuditQuery::Request(number.clone()), other());
                prop_assert_eq!(&past.processes[0].steps, &audit.report_request(&number).1);
            }
        }

        /// Bytes of others, or of ours with one changed, are never read as something else, and never end the process.
        #[test]
        fn what_is_not_as_it_was_written_is_not_read(bytes in prop::collection::vec(any::<u8>(), 0..200), at_byte in any::<prop::sample::Index>()) {
            prop_assert!(unpack::<Segment>(&bytes).is_none());
            let mut packed = pack(&Segment { from_ms: 1, to_ms: 2, ..Segment::default() });
            let byte = at_byte.index(packed.len());
            packed[byte] ^= 1;
            prop_assert!(unpack::<Segment>(&packed).is_none());
        }

        /// What is kept fits, the newest always stays, and requests go before any record does.
        #[test]
        fn the_disk_is_bounded(sizes in prop::collection::vec((1u32..50, 0u32..400), 1..60), size in 100u64..2000) {
            let bounds = RetentionLimits { max_bytes: size, max_age: at(1_000_000) };
            let mut shelf = RetentionIndex::default();
            for (n, (page, steps)) in sizes.iter().enumerate() {
                let writer = writer(1);
                let head = SegmentHeader {
                    process: writer.process, began_unix_ms: 0, opened_unix_ms: 0, written_unix_ms: n as u64 * 1000, from_ms: 0, to_ms: 0,
                    ended: false, indices: None, gaps: false, lengths: (*page, *steps),
                };
                shelf.insert(n as u64 + 1, &head);
                let dropped = shelf.evict(&bounds, n as u64 * 1000);
                let newest = u64::from(*page) + u64::from(*steps);
                prop_assert!(shelf.total <= size.max(newest));
                let sum: u64 = shelf.kept.values().map(|(p, s, _)| u64::from(*p) + u64::from(*s)).sum();
                prop_assert_eq!(sum, shelf.total);
                if dropped.iter().any(|d| matches!(d, Evicted::Segment(_))) {
                    let bare = shelf.kept.range(..shelf.next_number() - 1).all(|(_, (_, steps, _))| *steps == 0);
                    prop_assert!(bare, "a record went while an older one had its requests");
                }
            }
            let later = 1_000_000 + 2 * sizes.len() as u64 * 1000;
            shelf.evict(&bounds, later);
            prop_assert_eq!(shelf.kept.len(), 1, "all but the newest are too old");
        }
    }

    #[test]
    fn an_end_in_order_leaves_no_gap_and_a_lost_record_does() {
        let mut disk = Disk::default();
        let audit = AuditLog::new(at(0), version(3));
        for process in 1..=2 {
            let mut mark = SegmentCursor::start(at(0));
            for minute in 1..=3 {
                let mut filling = SegmentBuilder::new(writer(process), disk.shelf.next_number());
                disk.write(&mut filling, &audit, &mut mark, at(minute * 70_000), minute == 3);
            }
        }
        assert!(disk.past(all(), other()).processes.iter().all(|p| p.unknown.is_empty()));
        disk.records.remove(&2);
        if let Some(record) = disk.records.get_mut(&5) {
            record.segment.pop();
        }
        let past = disk.past(all(), other());
        let gap = [UnknownSpan { from_ms: 70_000, to_ms: 140_000, what: UnknownKind::All }];
        assert_eq!((&past.processes[0].unknown[..], &past.processes[1].unknown[..]), (&gap[..], &gap[..]));
    }

    /// What a process's memory has dropped is told from its disk, and nothing twice.
    #[test]
    fn memory_and_disk_together_tell_all_of_a_long_life() {
        let mut audit = AuditLog::new(at(0), version(0));
        let (mut disk, mut filling, mut mark) =
            (Disk::default(), SegmentBuilder::new(writer(7), 1), SegmentCursor::start(at(0)));
        let versions = 6000;
        for n in 1..=versions {
            audit.set_version(at(n), version(n));
            for again in 0..4 {
                let request = format!("{n}-{again}");
                audit.record_decision(
                    at(n),
                    Decision { kind: DecisionKind::Pick, class: 0, request_id: &request, endpoint: None },
                );
            }
            if n % 100 == 0 {
                disk.write(&mut filling, &audit, &mut mark, at(n), false);
            }
        }
        let own = audit.memory_span(Incarnation(7));
        let (past, told) = (disk.past(all(), own), audit.report_lists(at(versions), 0..=u64::MAX));
        let indices = |of: &[IntervalReport]| of.iter().map(|i| i.version.list.index).collect::<Vec<_>>();
        let both = [indices(&past.processes[0].intervals), indices(&told.intervals)].concat();
        assert!(both == (0..=versions).collect::<Vec<_>>(), "{} of {versions}", both.len());
        let early = disk.past(AuditQuery::Request("50-1".into()), own);
        assert!(audit.report_request("50-1").1.is_empty() && early.processes[0].steps.len() == 1);
        assert!(disk.past(AuditQuery::Request("5990-1".into()), own).processes.is_empty(), "memory has it");
    }
}
