//! The books as they go to a disk, and what is told of processes that have ended.
//!
//! A [`Page`] holds what was booked since a [`Mark`]: totals of each interval that may have changed, whole, so that a page which is lost or
//! dropped takes nothing from the next one, and single requests. [`Filling`] gathers pages until one is full, [`Shelf`] says what is
//! dropped, and [`Past`] puts together what was written by which process, with each time of which nothing is known.

use super::{Kind, ToldException, ToldInterval, ToldStep};
use crate::version::{digest, Incarnation};
use crate::wire;
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
const LONGEST_PAGE: usize = wire::LONGEST;

/// How far the books are on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    pub(super) to: Duration,
    pub(super) interval: u64,
    pub(super) exception: u64,
    pub(super) step: u64,
}

impl Mark {
    /// Nothing is, of books that began then.
    pub fn none(began: Duration) -> Mark {
        Mark { to: began, interval: 0, exception: 0, step: 0 }
    }
}

/// What is lost of a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Lost {
    /// Single requests; the counts are there.
    Requests,
    /// Everything.
    All,
}

/// A time of which something is lost, in milliseconds of the process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Gap {
    /// From when.
    pub from_ms: u64,
    /// To when.
    pub to_ms: u64,
    /// What.
    pub what: Lost,
}

/// A request's step. Short, for there are many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PageStep {
    /// Milliseconds after the page's beginning.
    pub(super) after: u32,
    /// Digests don't gain by a variable length.
    pub(super) request: [u8; 8],
    pub(super) kind: Kind,
    /// Which of the page's hosts, from 1; 0 is none.
    pub(super) host: u16,
    pub(super) interval: u64,
}

/// What goes into one record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    pub(super) intervals: BTreeMap<u64, ToldInterval>,
    pub(super) exceptions: BTreeMap<u64, ToldException>,
    pub(super) gaps: Vec<Gap>,
    /// The process wrote this as its last.
    pub(super) ended: bool,
}

/// The single requests of a page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Steps {
    pub(super) hosts: Vec<String>,
    pub(super) steps: Vec<PageStep>,
}

impl Steps {
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
pub struct Head {
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
pub struct Writer {
    /// It.
    pub process: Incarnation,
    /// When it began, by its wall clock.
    pub began_unix_ms: u64,
    /// When it opened the file.
    pub opened_unix_ms: u64,
}

/// A record, as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its number.
    pub number: u64,
    /// Whose it is, and of what.
    pub head: Vec<u8>,
    /// The page.
    pub page: Vec<u8>,
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
    wire::read(&lz4_flex::decompress_size_prepended(packed).ok()?).ok()
}

/// The page that is being filled.
#[derive(Clone, Debug)]
pub struct Filling {
    writer: Writer,
    number: u64,
    page: Page,
    steps: Steps,
    /// Nothing was added yet.
    empty: bool,
}

impl Filling {
    /// Begins with this number.
    pub fn new(writer: Writer, number: u64) -> Filling {
        Filling { writer, number, page: Page::default(), steps: Steps::default(), empty: true }
    }

    /// Adds what came after; the record to write, in place of the one with its number where there is one.
    pub fn add(&mut self, page: Page, steps: Steps, written_unix_ms: u64) -> Record {
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
        let head = Head {
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
        Record { number: self.number, head: pack(&head), page, steps }
    }

    fn absorb(&mut self, later: Page, steps: Steps) {
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
pub fn head(bytes: &[u8]) -> Option<Head> {
    unpack(bytes)
}

/// How much is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes, compressed.
    pub size: u64,
    /// How old a page becomes, by the wall clock.
    pub age: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { size: 64 << 20, age: Duration::from_secs(7 * 86_400) }
    }
}

/// What is to be dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// The requests of the record of this number.
    Steps(u64),
    /// All of it.
    Record(u64),
}

/// What is on the disk, by number: its bytes and its age.
#[derive(Clone, Debug, Default)]
pub struct Shelf {
    kept: BTreeMap<u64, (u32, u32, u64)>,
    total: u64,
    /// Records before this one have no requests any more.
    bare: u64,
}

impl Shelf {
    /// A record is there, anew or in place of one with its number.
    pub fn put(&mut self, number: u64, head: &Head) {
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
    pub fn next(&self) -> u64 {
        self.kept.last_key_value().map_or(1, |(number, _)| number + 1)
    }

    /// What goes now: what is too old; then single requests, oldest first, until the rest fits; then the oldest records. The newest stays.
    pub fn over(&mut self, bounds: &Bounds, now_unix_ms: u64) -> Vec<Dropped> {
        let mut dropped = Vec::new();
        let newest = self.next() - 1;
        let age = bounds.age.as_millis() as u64;
        let oldest = |kept: &BTreeMap<u64, (u32, u32, u64)>| kept.first_key_value().map(|(n, of)| (*n, of.2));
        while let Some((number, at)) = oldest(&self.kept).filter(|(n, _)| *n < newest) {
            if at.saturating_add(age) >= now_unix_ms {
                break;
            }
            self.remove(number);
            dropped.push(Dropped::Record(number));
        }
        while self.total > bounds.size {
            let full = self.kept.range_mut(self.bare..newest).find(|(_, (_, steps, _))| *steps > 0);
            if let Some((number, (_, steps, _))) = full {
                self.total -= u64::from(*steps);
                *steps = 0;
                self.bare = number + 1;
                dropped.push(Dropped::Steps(*number));
                continue;
            }
            let Some((number, _)) = oldest(&self.kept).filter(|(n, _)| *n < newest) else { break };
            self.remove(number);
            dropped.push(Dropped::Record(number));
        }
        dropped
    }
}

/// What is asked of the past.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// What was done under lists of these indices.
    Lists(RangeInclusive<u64>),
    /// What a request met.
    Request(String),
}

/// What an earlier process did, or what this one no longer has in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldProcess {
    /// Which.
    pub process: String,
    /// When it began, by its wall clock.
    pub began_unix_ms: u64,
    /// Since when its books are there, in milliseconds of its clock.
    pub since_ms: u64,
    /// Up to when.
    pub until_ms: u64,
    /// Times of which not all is known.
    pub unknown: Vec<Gap>,
    /// The intervals asked for.
    pub intervals: Vec<ToldInterval>,
    /// The exceptions in them.
    pub exceptions: Vec<ToldException>,
    /// What the request met that was asked for.
    pub steps: Vec<ToldStep>,
}

/// What one gateway's disk tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldPast {
    /// By process, the earliest first.
    pub processes: Vec<ToldProcess>,
    /// So many intervals, exceptions and steps more there are than are told: the earliest.
    pub more: u64,
}

/// How far back this process's own memory goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remembered {
    /// It.
    pub process: Incarnation,
    pub(super) interval: u64,
    pub(super) exception: u64,
    pub(super) step_ms: u64,
}

#[derive(Debug)]
struct Of {
    head: Head,
    last: u64,
    since_ms: u64,
    unknown: Vec<Gap>,
    intervals: BTreeMap<u64, ToldInterval>,
    exceptions: BTreeMap<u64, ToldException>,
    steps: Vec<(u64, ToldStep)>,
}

/// Puts together what was written. Records are to be given in the order of their numbers.
#[derive(Debug)]
pub struct Past {
    wanted: Wanted,
    request: [u8; 8],
    own: Remembered,
    processes: Vec<Of>,
}

impl Past {
    /// Nothing yet.
    pub fn new(wanted: Wanted, own: Remembered) -> Past {
        let request = match &wanted {
            Wanted::Request(number) => digest(number.as_bytes()).to_le_bytes(),
            Wanted::Lists(_) => [0; 8],
        };
        Past { wanted, request, own, processes: Vec::new() }
    }

    /// Takes a record's head, and reads of it what is wanted. One whose head can't be read is not given, and is missed by its number.
    pub fn take(
        &mut self,
        number: u64,
        head: Head,
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
            of.unknown.push(Gap { from_ms: of.head.to_ms, to_ms: head.from_ms, what: Lost::All });
        }
        (of.last, of.head) = (number, head.clone());
        let in_reach = match (&self.wanted, head.indices) {
            (Wanted::Lists(range), Some((least, most))) => *range.start() <= most && least <= *range.end(),
            _ => true,
        };
        if !in_reach && !head.gaps {
            return;
        }
        let lost = |what| Gap { from_ms: head.from_ms, to_ms: head.to_ms, what };
        let Some(read) = page().and_then(|bytes| unpack::<Page>(&bytes)) else {
            of.unknown.push(lost(Lost::All));
            return;
        };
        of.unknown.extend(&read.gaps);
        of.intervals.extend(read.intervals);
        of.exceptions.extend(read.exceptions);
        if matches!(self.wanted, Wanted::Lists(_)) {
            return;
        }
        match steps() {
            None => of.unknown.push(lost(Lost::Requests)),
            Some(bytes) => match unpack::<Steps>(&bytes) {
                None => of.unknown.push(lost(Lost::Requests)),
                Some(Steps { hosts, steps }) => {
                    for step in steps.iter().filter(|s| s.request == self.request) {
                        let host =
                            usize::from(step.host).checked_sub(1).and_then(|at| hosts.get(at).cloned());
                        let at_ms = head.from_ms + u64::from(step.after);
                        of.steps
                            .push((step.interval, ToldStep { at_ms, kind: step.kind, host, version: None }));
                    }
                }
            },
        }
    }

    /// All of it. A process that did not write that it ends is unknown from its last page until another opened the file.
    pub fn told(self) -> ToldPast {
        let mut past = ToldPast::default();
        let opened: Vec<u64> = self.processes.iter().skip(1).map(|of| of.head.opened_unix_ms).collect();
        for (n, mut of) in self.processes.into_iter().enumerate() {
            let own = of.head.process == self.own.process;
            if let Some(next) = opened.get(n).filter(|_| !of.head.ended) {
                // By wall clocks, which may have been set back: never before the last that is known.
                let to_ms = next.saturating_sub(of.head.began_unix_ms).max(of.head.to_ms);
                of.unknown.push(Gap { from_ms: of.head.to_ms, to_ms, what: Lost::All });
            }
            of.steps.retain(|(_, step)| !own || step.at_ms < self.own.step_ms);
            let steps: Vec<ToldStep> = of
                .steps
                .into_iter()
                .map(|(n, step)| ToldStep {
                    version: of.intervals.get(&n).map(|i| i.version.clone()),
                    ..step
                })
                .collect();
            let (mut intervals, mut exceptions) = (Vec::new(), Vec::new());
            if let Wanted::Lists(range) = &self.wanted {
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
            past.processes.push(ToldProcess {
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

impl ToldPast {
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
    use super::super::{Audit, Decision, Exception};
    use super::*;
    use proptest::prelude::*;

    fn writer(process: u64) -> Writer {
        let began_unix_ms = process * 1_000_000;
        Writer { process: Incarnation(process), began_unix_ms, opened_unix_ms: began_unix_ms + 50 }
    }

    /// A disk as the gateway keeps it.
    #[derive(Default)]
    struct Disk {
        records: BTreeMap<u64, Record>,
        shelf: Shelf,
    }

    impl Disk {
        fn write(
            &mut self,
            filling: &mut Filling,
            audit: &Audit,
            mark: &mut Mark,
            now: Duration,
            ended: bool,
        ) {
            let (page, steps, next) = audit.page(mark, now, ended);
            let record = filling.add(page, steps, 0);
            self.shelf.put(record.number, &head(&record.head).expect("a head"));
            self.records.insert(record.number, record);
            *mark = next;
        }

        fn past(&self, wanted: Wanted, own: Remembered) -> ToldPast {
            let mut past = Past::new(wanted, own);
            for (number, record) in &self.records {
                let Some(head) = head(&record.head) else { continue };
                past.take(*number, head, || Some(record.page.clone()), || Some(record.steps.clone()));
            }
            past.told()
        }
    }

    fn other() -> Remembered {
        Remembered { process: Incarnation(99), interval: 0, exception: 0, step_ms: 0 }
    }

    fn all() -> Wanted {
        Wanted::Lists(0..=u64::MAX)
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
            let mut audit = Audit::new(at(0), version(0));
            let (mut disk, mut filling) = (Disk::default(), Filling::new(writer(1), 1));
            let (mut mark, mut now) = (Mark::none(at(0)), 0);
            let mut written = None;
            for deed in deeds {
                now += 1;
                match deed {
                    Deed::Turn(index) => audit.turn_to(at(now), version(index)),
                    Deed::Book(request, host) => {
                        let (request, host) = (request.to_string(), format!("n{host}"));
                        let decision = Decision { kind: Kind::Pick, class: 1, request: &request, host: Some(&host) };
                        audit.book(at(now), decision);
                    }
                    Deed::Except(told) => audit.except(at(now), Exception::OlderThanTold { own: 0, told }, "x"),
                    Deed::Wait(long) => now += long,
                    Deed::Write { reaches: true } => {
                        disk.write(&mut filling, &audit, &mut mark, at(now), false);
                        written = Some((now, audit.clone()));
                    }
                    // Made, and lost on its way: the mark stays.
                    Deed::Write { reaches: false } => drop(audit.page(&mark, at(now), false)),
                }
            }
            let Some((until, audit)) = written else { return Ok(()) };
            let mut next = Filling::new(writer(2), disk.shelf.next());
            disk.write(&mut next, &Audit::new(at(0), version(0)), &mut Mark::none(at(0)), at(10), false);
            let past = disk.past(all(), other());
            let told = audit.told(at(until), 0..=u64::MAX);
            prop_assert_eq!(&past.processes[0].intervals, &told.intervals);
            prop_assert_eq!(&past.processes[0].exceptions, &told.exceptions);
            let gap = Gap { from_ms: until, to_ms: 1_000_050.max(until), what: Lost::All };
            prop_assert_eq!(&past.processes[0].unknown, &[gap]);
            for request in 0..20u16 {
                let number = request.to_string();
                let past = disk.past(Wanted::Request(number.clone()), other());
                prop_assert_eq!(&past.processes[0].steps, &audit.request(&number).1);
            }
        }

        /// Bytes of others, or of ours with one changed, are never read as something else, and never end the process.
        #[test]
        fn what_is_not_as_it_was_written_is_not_read(bytes in prop::collection::vec(any::<u8>(), 0..200), at_byte in any::<prop::sample::Index>()) {
            prop_assert!(unpack::<Page>(&bytes).is_none());
            let mut packed = pack(&Page { from_ms: 1, to_ms: 2, ..Page::default() });
            let byte = at_byte.index(packed.len());
            packed[byte] ^= 1;
            prop_assert!(unpack::<Page>(&packed).is_none());
        }

        /// What is kept fits, the newest always stays, and requests go before any record does.
        #[test]
        fn the_disk_is_bounded(sizes in prop::collection::vec((1u32..50, 0u32..400), 1..60), size in 100u64..2000) {
            let bounds = Bounds { size, age: at(1_000_000) };
            let mut shelf = Shelf::default();
            for (n, (page, steps)) in sizes.iter().enumerate() {
                let writer = writer(1);
                let head = Head {
                    process: writer.process, began_unix_ms: 0, opened_unix_ms: 0, written_unix_ms: n as u64 * 1000, from_ms: 0, to_ms: 0,
                    ended: false, indices: None, gaps: false, lengths: (*page, *steps),
                };
                shelf.put(n as u64 + 1, &head);
                let dropped = shelf.over(&bounds, n as u64 * 1000);
                let newest = u64::from(*page) + u64::from(*steps);
                prop_assert!(shelf.total <= size.max(newest));
                let sum: u64 = shelf.kept.values().map(|(p, s, _)| u64::from(*p) + u64::from(*s)).sum();
                prop_assert_eq!(sum, shelf.total);
                if dropped.iter().any(|d| matches!(d, Dropped::Record(_))) {
                    let bare = shelf.kept.range(..shelf.next() - 1).all(|(_, (_, steps, _))| *steps == 0);
                    prop_assert!(bare, "a record went while an older one had its requests");
                }
            }
            let later = 1_000_000 + 2 * sizes.len() as u64 * 1000;
            shelf.over(&bounds, later);
            prop_assert_eq!(shelf.kept.len(), 1, "all but the newest are too old");
        }
    }

    #[test]
    fn an_end_in_order_leaves_no_gap_and_a_lost_record_does() {
        let mut disk = Disk::default();
        let audit = Audit::new(at(0), version(3));
        for process in 1..=2 {
            let mut mark = Mark::none(at(0));
            for minute in 1..=3 {
                let mut filling = Filling::new(writer(process), disk.shelf.next());
                disk.write(&mut filling, &audit, &mut mark, at(minute * 70_000), minute == 3);
            }
        }
        assert!(disk.past(all(), other()).processes.iter().all(|p| p.unknown.is_empty()));
        disk.records.remove(&2);
        if let Some(record) = disk.records.get_mut(&5) {
            record.page.pop();
        }
        let past = disk.past(all(), other());
        let gap = [Gap { from_ms: 70_000, to_ms: 140_000, what: Lost::All }];
        assert_eq!((&past.processes[0].unknown[..], &past.processes[1].unknown[..]), (&gap[..], &gap[..]));
    }

    /// What a process's memory has dropped is told from its disk, and nothing twice.
    #[test]
    fn memory_and_disk_together_tell_all_of_a_long_life() {
        let mut audit = Audit::new(at(0), version(0));
        let (mut disk, mut filling, mut mark) =
            (Disk::default(), Filling::new(writer(7), 1), Mark::none(at(0)));
        let versions = 6000;
        for n in 1..=versions {
            audit.turn_to(at(n), version(n));
            for again in 0..4 {
                let request = format!("{n}-{again}");
                audit.book(at(n), Decision { kind: Kind::Pick, class: 0, request: &request, host: None });
            }
            if n % 100 == 0 {
                disk.write(&mut filling, &audit, &mut mark, at(n), false);
            }
        }
        let own = audit.remembered(Incarnation(7));
        let (past, told) = (disk.past(all(), own), audit.told(at(versions), 0..=u64::MAX));
        let indices = |of: &[ToldInterval]| of.iter().map(|i| i.version.list.index).collect::<Vec<_>>();
        let both = [indices(&past.processes[0].intervals), indices(&told.intervals)].concat();
        assert!(both == (0..=versions).collect::<Vec<_>>(), "{} of {versions}", both.len());
        let early = disk.past(Wanted::Request("50-1".into()), own);
        assert!(audit.request("50-1").1.is_empty() && early.processes[0].steps.len() == 1);
        assert!(disk.past(Wanted::Request("5990-1".into()), own).processes.is_empty(), "memory has it");
    }
}
