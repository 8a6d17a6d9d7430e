//! The audit's books on disk: one file of `redb` beside the council's, written by a thread of its own, one transaction a page. What goes
//! onto it, what is dropped and what is told of it is decided in [`pages`].

use super::consensus_store::{create, set_aside, torn, Spoilt, StoreError, Tried};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::mpsc as threads;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::sleep;
use tracing::{info, warn};
use weldworks_fleet::audit::AuditLog;
use weldworks_fleet::audit::{
    decode_header, AuditQuery, EncodedSegment, Evicted, HistoryQuery, HistoryReport, MemorySpan,
    ProcessState, RetentionIndex, RetentionLimits, Segment, SegmentBuilder, SegmentCursor, SegmentDelta, SegmentSteps,
    SegmentWriter,
};
use weldworks_fleet::protocol;
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::version::Incarnation;

/// The form of what is stored: raised when it changes.
const FORM: u32 = 1;
const OWNER: TableDefinition<'_, u32, &[u8]> = TableDefinition::new("owner");
const HEADS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("heads");
const PAGES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("pages");
const STEPS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("steps");

/// A crash takes what was booked since the last write: with this and the disk's own time, at most a second.
const EVERY: Duration = Duration::from_millis(500);
/// A disk that failed is tried again after this.
const AGAIN: Duration = Duration::from_secs(5);

/// Whose a file is.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    form: u32,
    fleet: String,
    gateway: String,
}

/// A process and its clocks.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// The process.
    pub process: Incarnation,
    /// When it began.
    pub start: Instant,
    /// The same by its wall clock, which is not looked at again: it may be set.
    pub began_unix_ms: u64,
}

impl ProcessClock {
    fn unix_ms(&self) -> u64 {
        self.began_unix_ms + self.start.elapsed().as_millis() as u64
    }
}

type Order = (Segment, SegmentSteps, oneshot::Sender<Result<(), String>>);
type Shared = Arc<Mutex<Option<Arc<Database>>>>;

/// The way to the thread that writes.
pub struct AuditStore {
    orders: threads::Sender<Order>,
    file: Shared,
    path: PathBuf,
    mark: Cell<SegmentCursor>,
    turn: tokio::sync::Mutex<()>,
}

fn shared(file: &Shared) -> Option<Arc<Database>> {
    file.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

impl AuditStore {
    /// Opens a gateway's books, or waits for another process of it to let go of them.
    ///
    /// # Errors
    /// Where there is no using the folder, or the file is another gateway's.
    pub fn open(
        folder: &Path,
        settings: &FleetSettings,
        clock: ProcessClock,
    ) -> Result<AuditStore, StoreError> {
        let path = folder.join(format!("audit-{}.redb", settings.gateway));
        let unusable = |why: String| StoreError::Unusable { path: path.clone(), why };
        std::fs::create_dir_all(folder).map_err(|e| unusable(e.to_string()))?;
        let file = Shared::default();
        let (name, gateway) = (settings.name.clone(), settings.gateway.clone());
        let mut disk = Disk {
            path: path.clone(),
            name,
            gateway,
            clock,
            bounds: settings.audit_retention,
            file: file.clone(),
            open: None,
            there: false,
        };
        match disk.open() {
            Ok(()) => {}
            Err(Tried::Held) => {
                info!(file = %path.display(), "fleet: another process of this gateway has the audit's books; this one's wait in memory")
            }
            Err(Tried::Another { gateway, fleet }) => {
                return Err(StoreError::Another { path, gateway, fleet })
            }
            Err(Tried::Unusable(why)) => return Err(unusable(why)),
            Err(Tried::Spoilt(why)) => return Err(unusable(why.to_string())),
        }
        let (orders, to_write) = threads::channel::<Order>();
        let writing = move || {
            while let Ok((page, steps, done)) = to_write.recv() {
                let _ = done.send(disk.write(page, steps)); // nobody waits in a process that ends
            }
        };
        let thread = std::thread::Builder::new().name("audit-books".to_owned()).spawn(writing);
        thread.map_err(|e| unusable(e.to_string()))?;
        Ok(AuditStore {
            orders,
            file,
            path,
            mark: Cell::new(SegmentCursor::start(Duration::ZERO)),
            turn: tokio::sync::Mutex::default(),
        })
    }

    /// Writes what was booked since the last time, and waits until it is on the disk.
    pub async fn write(
        &self,
        audit: &RefCell<AuditLog>,
        now: impl Fn() -> Duration,
        ended: bool,
    ) -> Result<(), String> {
        let _turn = self.turn.lock().await;
        let state = if ended { ProcessState::Ended } else { ProcessState::Running };
        let SegmentDelta { segment, steps, cursor } =
            audit.borrow().segment_since(&self.mark.get(), now(), state);
        let (done, told) = oneshot::channel();
        let gone = || "the thread that writes has ended".to_owned();
        self.orders.send((segment, steps, done)).map_err(|_| gone())?;
        told.await.map_err(|_| gone())??;
        self.mark.set(cursor);
        Ok(())
    }

    /// Writes on for as long as it is polled.
    pub async fn run(&self, audit: &RefCell<AuditLog>, now: impl Fn() -> Duration) {
        let mut failing: Option<String> = None;
        loop {
            sleep(EVERY).await;
            match self.write(audit, &now, false).await {
                Ok(()) => {
                    if failing.take().is_some() {
                        info!("fleet: the audit's books are on the disk again");
                    }
                }
                Err(why) => {
                    if failing.as_ref() != Some(&why) {
                        warn!(
                            why, file = %self.path.display(),
                            "fleet: the audit's books can't be written; they are kept in memory as far as that goes, and it is tried again \
                             every {AGAIN:?}. Make room or mend the disk of `state` of [fleet]; with two processes of this gateway it \
                             passes once the first has ended"
                        );
                    }
                    failing = Some(why);
                    sleep(AGAIN).await;
                }
            }
        }
    }

    /// What earlier processes did, and this one before its memory.
    pub async fn read_history(&self, wanted: AuditQuery, own: MemorySpan) -> Result<HistoryReport, String> {
        let Some(file) = shared(&self.file) else {
            return Err(format!(
                "{} is another process's, or its disk fails: this gateway's log says which",
                self.path.display()
            ));
        };
        // It may take a second; neither the event loop nor the thread that writes waits for it.
        let reading = move || {
            let read = catch_unwind(AssertUnwindSafe(|| read(&file, wanted, own)));
            read.unwrap_or_else(|_| Err("the library broke off reading it".to_owned()))
        };
        tokio::task::spawn_blocking(reading).await.unwrap_or_else(|e| Err(e.to_string()))
    }
}

fn told(error: impl Into<redb::Error>) -> String {
    error.into().to_string()
}

fn read(file: &Database, wanted: AuditQuery, own: MemorySpan) -> Result<HistoryReport, String> {
    let reading = file.begin_read().map_err(told)?;
    let heads = reading.open_table(HEADS).map_err(told)?;
    let (all_pages, all_steps) =
        (reading.open_table(PAGES).map_err(told)?, reading.open_table(STEPS).map_err(told)?);
    let mut past = HistoryQuery::new(wanted, own);
    for entry in heads.iter().map_err(told)? {
        let (number, head) = entry.map_err(told)?;
        let number = number.value();
        let Some(head) = decode_header(head.value()) else { continue };
        let page = || all_pages.get(number).ok().flatten().map(|bytes| bytes.value().to_vec());
        let steps = || all_steps.get(number).ok().flatten().map(|bytes| bytes.value().to_vec());
        past.add_segment(number, head, page, steps);
    }
    Ok(past.finish())
}

/// What the thread has.
struct Disk {
    path: PathBuf,
    name: String,
    gateway: String,
    clock: ProcessClock,
    bounds: RetentionLimits,
    file: Shared,
    open: Option<(SegmentBuilder, RetentionIndex)>,
    /// This process has a page there.
    there: bool,
}

impl Disk {
    /// Opens the file; one that is spoilt is set aside.
    fn open(&mut self) -> Result<(), Tried> {
        for _ in 0..2 {
            let tried = catch_unwind(AssertUnwindSafe(|| self.try_open()));
            let spoilt = match tried {
                Ok(Err(Tried::Spoilt(spoilt))) => spoilt.to_string(),
                Ok(done) => return done,
                Err(_) => "the library broke off reading it".to_owned(),
            };
            let aside = set_aside(&self.path).map_err(|e| Tried::Unusable(e.to_string()))?;
            warn!(why = spoilt, aside = %aside.display(), "fleet: the audit's books can't be read and are set aside; they begin anew");
        }
        Err(Tried::Unusable("a new file can't be read either".to_owned()))
    }

    fn try_open(&mut self) -> Result<(), Tried> {
        let file = create(&self.path)?;
        let writing = file.begin_write().map_err(torn)?;
        {
            let mut owner = writing.open_table(OWNER).map_err(torn)?;
            let found = owner.get(0).map_err(torn)?.map(|bytes| bytes.value().to_vec());
            match found {
                None => {
                    let own = Owner { form: FORM, fleet: self.name.clone(), gateway: self.gateway.clone() };
                    owner.insert(0, &protocol::encode_frame(&own).unwrap_or_default()[..]).map_err(torn)?;
                }
                Some(bytes) => {
                    let form = bytes.first().copied().unwrap_or_default();
                    if u32::from(form) != FORM {
                        return Err(Spoilt::Form(form.into()).into());
                    }
                    let found =
                        protocol::decode_frame::<Owner>(&bytes).map_err(|e| Spoilt::Torn(e.to_string()))?;
                    if found.fleet != self.name || found.gateway != self.gateway {
                        return Err(Tried::Another { gateway: found.gateway, fleet: found.fleet });
                    }
                }
            }
            writing.open_table(PAGES).map_err(torn)?;
            writing.open_table(STEPS).map_err(torn)?;
            writing.open_table(HEADS).map_err(torn)?;
        }
        writing.commit().map_err(torn)?;
        let mut shelf = RetentionIndex::default();
        {
            let reading = file.begin_read().map_err(torn)?;
            for entry in reading.open_table(HEADS).map_err(torn)?.iter().map_err(torn)? {
                let (number, head) = entry.map_err(torn)?;
                match decode_header(head.value()) {
                    Some(head) => shelf.insert(number.value(), &head),
                    None => warn!(record = number.value(), "fleet: a record of the audit's books is not as it was written; its time is told as unknown"),
                }
            }
        }
        let (process, began_unix_ms) = (self.clock.process, self.clock.began_unix_ms);
        let writer = SegmentWriter { process, began_unix_ms, opened_unix_ms: self.clock.unix_ms() };
        let mut filling = SegmentBuilder::new(writer, shelf.next_number());
        if !self.there {
            // That this process was there, before it does anything: one that dies before its first page has done something unknown.
            let record = filling.append(Segment::default(), SegmentSteps::default(), self.clock.unix_ms());
            commit(&file, &record, &[]).map_err(Tried::Unusable)?;
            if let Some(head) = decode_header(&record.header) {
                shelf.insert(record.number, &head);
            }
            self.there = true;
        }
        self.open = Some((filling, shelf));
        *self.file.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(file));
        Ok(())
    }

    fn write(&mut self, page: Segment, steps: SegmentSteps) -> Result<(), String> {
        if self.open.is_none() {
            self.open().map_err(|tried| match tried {
                Tried::Held => "another process of this gateway has the file".to_owned(),
                Tried::Another { gateway, fleet } => {
                    format!("it is gateway {gateway:?}'s of the fleet {fleet:?}")
                }
                Tried::Unusable(why) => why,
                Tried::Spoilt(spoilt) => spoilt.to_string(),
            })?;
        }
        let (Some((filling, shelf)), Some(file)) = (self.open.as_mut(), shared(&self.file)) else {
            return Err("the file is not open".to_owned());
        };
        let now = self.clock.unix_ms();
        let record = filling.append(page, steps, now);
        if let Some(head) = decode_header(&record.header) {
            shelf.insert(record.number, &head);
        }
        let dropped = shelf.evict(&self.bounds, now);
        let written = catch_unwind(AssertUnwindSafe(|| commit(&file, &record, &dropped)));
        let written = written.unwrap_or_else(|_| Err("the library broke off writing it".to_owned()));
        if written.is_err() {
            // What a failed write left is found out by opening it again.
            *self.file.lock().unwrap_or_else(PoisonError::into_inner) = None;
            self.open = None;
        }
        written
    }
}

fn commit(file: &Database, record: &EncodedSegment, dropped: &[Evicted]) -> Result<(), String> {
    let writing = file.begin_write().map_err(told)?;
    {
        let mut heads = writing.open_table(HEADS).map_err(told)?;
        let mut pages = writing.open_table(PAGES).map_err(told)?;
        let mut steps = writing.open_table(STEPS).map_err(told)?;
        for dropped in dropped {
            match dropped {
                Evicted::Steps(number) => drop(steps.remove(number).map_err(told)?),
                Evicted::Segment(number) => {
                    heads.remove(number).map_err(told)?;
                    pages.remove(number).map_err(told)?;
                    steps.remove(number).map_err(told)?;
                }
            }
        }
        heads.insert(record.number, &record.header[..]).map_err(told)?;
        pages.insert(record.number, &record.segment[..]).map_err(told)?;
        steps.insert(record.number, &record.steps[..]).map_err(told)?;
    }
    writing.commit().map_err(told)
}

#[cfg(test)]
mod tests {
    use super::*;
    use weldworks_fleet::audit::{Decision, DecisionKind};
    use weldworks_fleet::version::Version;

    fn settings(gateway: &str) -> FleetSettings {
        let peers = ["a", "b", "c"]
            .map(|n| format!("[[fleet.peer]]\nname = \"{n}\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n"));
        let text = format!("[fleet]\nname = \"f\"\ngateway = \"{gateway}\"\n{}", peers.concat());
        crate::config::operator_file::OperatorFile::parse("f.toml", &text)
            .expect("a table")
            .fleet
            .expect("a fleet")
    }

    fn clock(process: u64) -> ProcessClock {
        ProcessClock { process: Incarnation(process), start: Instant::now(), began_unix_ms: process * 1000 }
    }

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("weldworks-books-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        folder
    }

    fn runs<T>(future: impl std::future::Future<Output = T>) -> T {
        tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("a runtime")
            .block_on(future)
    }

    /// Books of one request, written; the file is let go of once the thread has ended.
    fn write(folder: &Path, process: u64, request: &str, ended: bool) {
        let books = AuditStore::open(folder, &settings("a"), clock(process)).expect("it can be used");
        let mut audit = AuditLog::new(Duration::ZERO, Version::default());
        audit.record_decision(
            Duration::ZERO,
            Decision { kind: DecisionKind::Pick, class: 0, request_id: request, endpoint: Some("n") },
        );
        let audit = RefCell::new(audit);
        let now = || Duration::from_millis(5);
        let mut written = runs(books.write(&audit, now, ended));
        while written.as_ref().is_err_and(|why| why.contains("another process")) {
            std::thread::sleep(Duration::from_millis(5));
            written = runs(books.write(&audit, now, ended));
        }
        written.expect("written");
    }

    fn past(folder: &Path, request: &str) -> HistoryReport {
        let own = AuditLog::new(Duration::ZERO, Version::default()).memory_span(Incarnation(9));
        loop {
            let books = AuditStore::open(folder, &settings("a"), clock(9)).expect("it can be used");
            if shared(&books.file).is_some() {
                return runs(books.read_history(AuditQuery::Request(request.to_owned()), own))
                    .expect("it is told");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    #[test]
    fn processes_before_are_told_and_a_second_one_waits_for_the_file() {
        let folder = folder("before");
        write(&folder, 1, "x", true);
        let held = AuditStore::open(&folder, &settings("a"), clock(2));
        let second = AuditStore::open(&folder, &settings("a"), clock(3)).expect("it starts all the same");
        let why = runs(second.read_history(
            AuditQuery::Request("x".into()),
            AuditLog::new(Duration::ZERO, Version::default()).memory_span(Incarnation(3)),
        ));
        drop(held);
        assert!(why.is_err_and(|why| why.contains("another process")));
        drop(second);
        write(&folder, 4, "y", false);
        let told = past(&folder, "x");
        let first = told.processes.iter().find(|p| p.process.ends_with("01")).expect("the first process");
        assert!(first.steps.len() == 1 && first.unknown.is_empty(), "{first:?}");
        let told = past(&folder, "y");
        let crashed = told
            .processes
            .iter()
            .find(|p| p.process.ends_with("04"))
            .expect("the one that did not say it ends");
        assert!(crashed.steps.len() == 1 && crashed.unknown.len() == 1, "{crashed:?}");
        let _ = std::fs::remove_dir_all(&folder);
    }

    /// A file that is cut or has another byte is read as it was, with its gaps, or set aside: what is told is what was written.
    #[test]
    fn a_torn_file_is_told_as_it_was_or_set_aside() {
        let whole = folder("torn");
        for process in 1..=3 {
            write(&whole, process, "x", true);
        }
        drop(past(&whole, "x"));
        let bytes = std::fs::read(whole.join("audit-a.redb")).expect("the file");
        let (mut aside, mut same) = (0, 0);
        // From 1: an empty file is what a crash in the middle of the very first opening leaves.
        for n in 1..40 {
            for cut in [true, false] {
                let (mut spoilt, at) = (bytes.clone(), bytes.len() * n / 40);
                if cut {
                    spoilt.truncate(at);
                } else {
                    spoilt[at] ^= 0xff;
                }
                let place = whole.join(format!("{n}-{cut}"));
                std::fs::create_dir_all(&place).expect("a folder");
                std::fs::write(place.join("audit-a.redb"), &spoilt).expect("a file");
                let told = past(&place, "x");
                let steps = told.processes.iter().map(|p| p.steps.len()).sum::<usize>();
                let unknown = told.processes.iter().any(|p| !p.unknown.is_empty());
                let was_set_aside = place.join("audit-a.spoilt-0").exists();
                assert!(steps == 3 || unknown || was_set_aside, "{n} {cut}: {told:?}");
                aside += usize::from(was_set_aside);
                same += usize::from(steps == 3);
            }
        }
        assert!(aside > 10 && same > 0, "{aside} set aside, {same} the same");
        let _ = std::fs::remove_dir_all(&whole);
    }

    #[test]
    fn anothers_file_is_an_error() {
        let folder = folder("another");
        write(&folder, 1, "x", true);
        drop(past(&folder, "x"));
        std::fs::copy(folder.join("audit-a.redb"), folder.join("audit-b.redb")).expect("a copy");
        let error =
            AuditStore::open(&folder, &settings("b"), clock(2)).err().expect("not its own").to_string();
        assert!(error.contains("\"a\"") && error.contains("folder of its own"), "{error}");
        let _ = std::fs::remove_dir_all(&folder);
    }

    #[test]
    fn a_file_of_another_version_is_set_aside() {
        let folder = folder("version");
        write(&folder, 1, "x", true);
        drop(past(&folder, "x"));
        let path = folder.join("audit-a.redb");
        let file = loop {
            match Database::create(&path) {
                Ok(file) => break file,
                Err(_) => std::thread::sleep(Duration::from_millis(5)), // the thread has not let go of it yet
            }
        };
        let newer = Owner { form: FORM + 1, fleet: "f".into(), gateway: "a".into() };
        let writing = file.begin_write().expect("a transaction");
        let bytes = protocol::encode_frame(&newer).expect("bytes");
        writing.open_table(OWNER).expect("a table").insert(0, &bytes[..]).expect("written");
        writing.commit().expect("written");
        drop(file);
        assert!(past(&folder, "x").processes.iter().all(|p| p.steps.is_empty()));
        assert!(folder.join("audit-a.spoilt-0").exists(), "it can be looked at");
        let _ = std::fs::remove_dir_all(&folder);
    }

    /// What is dropped for want of room is gone from the file, and told as unknown.
    #[test]
    fn requests_that_were_dropped_are_unknown() {
        let folder = folder("dropped");
        write(&folder, 1, "x", true);
        let mut small = settings("a");
        small.audit_retention.max_bytes = 1;
        loop {
            let books = AuditStore::open(&folder, &small, clock(2)).expect("it can be used");
            let audit = RefCell::new(AuditLog::new(Duration::ZERO, Version::default()));
            if runs(books.write(&audit, || Duration::from_millis(5), true)).is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let told = past(&folder, "x");
        assert!(told.processes.iter().all(|p| p.steps.is_empty()), "{told:?}");
        let _ = std::fs::remove_dir_all(&folder);
    }
}
