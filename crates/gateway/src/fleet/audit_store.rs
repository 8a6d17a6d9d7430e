//! The audit log on disk: one file of `redb` beside the consensus store's. A thread of its own writes it, one transaction a segment;
//! what a segment holds, what is evicted and what is reported of it is decided in [`weldworks_fleet::audit`].

mod writer;

use super::store_file::{OpenError, StoreError};
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
use weldworks_fleet::audit::{
    decode_header, AuditLog, AuditQuery, HistoryQuery, HistoryReport, MemorySpan, ProcessState, Segment,
    SegmentCursor, SegmentSteps,
};
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::version::Incarnation;
use writer::AuditWriter;

const OWNER_TABLE: TableDefinition<'_, u32, &[u8]> = TableDefinition::new("owner");
const HEADER_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("heads");
const SEGMENT_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("pages");
const STEP_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("steps");

/// Interval at which the audit log is written. A crash loses this much and the time of one write: at most a second.
const AUDIT_FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed write.
const DISK_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Which gateway a file belongs to. Stored: the order of the fields is part of the format.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    format_version: u32,
    fleet: String,
    gateway: String,
}

/// A process and its clocks.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// The incarnation of the process.
    pub process: Incarnation,
    /// Its start on the monotonic clock.
    pub start: Instant,
    /// Its start on the wall clock, in Unix milliseconds. The wall clock is not read again: it may be set.
    pub began_unix_ms: u64,
}

impl ProcessClock {
    fn unix_ms(&self) -> u64 {
        self.began_unix_ms + self.start.elapsed().as_millis() as u64
    }
}

/// Why the audit log was not written or read.
#[derive(Debug, thiserror::Error)]
pub enum AuditStoreError {
    /// The thread that writes has ended.
    #[error("the thread that writes has ended")]
    WriterEnded,
    /// The file cannot be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The file is not open.
    #[error("the file is not open")]
    NotOpen,
    /// The file is another process's, or its disk fails.
    #[error("{path} is another process's, or its disk fails: this gateway's log says which")]
    Unavailable {
        /// Path of the file.
        path: String,
    },
    /// The database reports an error.
    #[error(transparent)]
    Database(#[from] Box<redb::Error>),
    /// The database panicked on reading.
    #[error("the library broke off reading it")]
    ReadPanicked,
    /// The database panicked on writing.
    #[error("the library broke off writing it")]
    WritePanicked,
    /// The task that reads was lost.
    #[error(transparent)]
    ReaderLost(#[from] tokio::task::JoinError),
}

/// The open file, shared between the thread that writes it and those that read; none while it is not open.
#[derive(Clone, Default)]
struct SharedDatabase(Arc<Mutex<Option<Arc<Database>>>>);

impl SharedDatabase {
    fn get(&self) -> Option<Arc<Database>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set(&self, database: Option<Arc<Database>>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = database;
    }
}

/// A segment for the thread that writes.
struct WriteRequest {
    segment: Segment,
    steps: SegmentSteps,
    done: oneshot::Sender<Result<(), AuditStoreError>>,
}

/// Sends segments to the thread that writes them, and reads back what is on disk.
pub struct AuditStore {
    requests: threads::Sender<WriteRequest>,
    file: SharedDatabase,
    path: PathBuf,
    /// Where the next segment begins.
    cursor: Cell<SegmentCursor>,
    /// Held for the time of a write: segments must not overlap.
    write_lock: tokio::sync::Mutex<()>,
}

impl AuditStore {
    /// Opens the audit log of a gateway. While another process of it has the file, this one's log stays in memory.
    ///
    /// # Errors
    /// Where the folder is unusable, or the file belongs to another gateway.
    pub fn open(
        folder: &Path,
        settings: &FleetSettings,
        clock: ProcessClock,
    ) -> Result<AuditStore, StoreError> {
        let path = folder.join(format!("audit-{}.redb", settings.gateway));
        let file = SharedDatabase::default();
        let requests = match start_writer(folder, &path, settings, clock, &file) {
            Ok(requests) => requests,
            Err(error) => return Err(StoreError::new(path, error)),
        };
        Ok(AuditStore {
            requests,
            file,
            path,
            cursor: Cell::new(SegmentCursor::start(Duration::ZERO)),
            write_lock: tokio::sync::Mutex::default(),
        })
    }

    /// Writes what was recorded since the last write, and waits until it is on disk. `ended` marks the process's last segment.
    ///
    /// # Errors
    /// Where the file cannot be written. The segment is part of the next one then.
    pub async fn write(
        &self,
        audit: &RefCell<AuditLog>,
        now: impl Fn() -> Duration,
        ended: bool,
    ) -> Result<(), AuditStoreError> {
        let _lock = self.write_lock.lock().await;
        let state = if ended { ProcessState::Ended } else { ProcessState::Running };
        let delta = audit.borrow().segment_since(&self.cursor.get(), now(), state);
        let (done, result) = oneshot::channel();
        let request = WriteRequest { segment: delta.segment, steps: delta.steps, done };
        self.requests.send(request).map_err(|_| AuditStoreError::WriterEnded)?;
        result.await.map_err(|_| AuditStoreError::WriterEnded)??;
        self.cursor.set(delta.cursor);
        Ok(())
    }

    /// Writes the audit log at intervals until it is dropped.
    pub async fn run(&self, audit: &RefCell<AuditLog>, now: impl Fn() -> Duration) {
        let mut last_failure: Option<String> = None;
        loop {
            sleep(AUDIT_FLUSH_INTERVAL).await;
            match self.write(audit, &now, false).await {
                Ok(()) => {
                    if last_failure.take().is_some() {
                        info!("fleet: audit store available again");
                    }
                }
                Err(error) => {
                    let failure = error.to_string();
                    if last_failure.as_ref() != Some(&failure) {
                        warn!(
                            %error, path = %self.path.display(), retry_delay = ?DISK_RETRY_DELAY,
                            "fleet: audit store unavailable, buffering in memory"
                        );
                    }
                    last_failure = Some(failure);
                    sleep(DISK_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads what earlier processes did, and this one before the part of its log that is in memory.
    ///
    /// # Errors
    /// Where the file cannot be read.
    pub async fn read_history(
        &self,
        query: AuditQuery,
        own: MemorySpan,
    ) -> Result<HistoryReport, AuditStoreError> {
        let Some(file) = self.file.get() else {
            return Err(AuditStoreError::Unavailable { path: self.path.display().to_string() });
        };
        // It may take a second, which neither the event loop nor the thread that writes waits for.
        let read = move || {
            let history = catch_unwind(AssertUnwindSafe(|| read_history(&file, query, own)));
            let history = history.map_err(|_| AuditStoreError::ReadPanicked)?;
            history.map_err(|error| AuditStoreError::Database(Box::new(error)))
        };
        tokio::task::spawn_blocking(read).await?
    }
}

/// Opens the file and starts the thread that writes it; the thread ends once the sender is dropped.
fn start_writer(
    folder: &Path,
    path: &Path,
    settings: &FleetSettings,
    clock: ProcessClock,
    file: &SharedDatabase,
) -> Result<threads::Sender<WriteRequest>, OpenError> {
    std::fs::create_dir_all(folder)?;
    let mut writer = AuditWriter::new(path.to_owned(), settings, clock, file.clone());
    match writer.open() {
        Ok(()) => {}
        Err(OpenError::Locked) => info!(
            path = %path.display(),
            "fleet: audit store in use by another process of this gateway, buffering in memory"
        ),
        Err(error) => return Err(error),
    }
    let (requests, pending) = threads::channel::<WriteRequest>();
    let write_all = move || {
        while let Ok(WriteRequest { segment, steps, done }) = pending.recv() {
            let _ = done.send(writer.write(segment, steps)); // nobody receives in a process that ends
        }
    };
    std::thread::Builder::new().name("audit-writer".to_owned()).spawn(write_all)?;
    Ok(requests)
}

fn read_history(file: &Database, query: AuditQuery, own: MemorySpan) -> Result<HistoryReport, redb::Error> {
    let transaction = file.begin_read()?;
    let headers = transaction.open_table(HEADER_TABLE)?;
    let segments = transaction.open_table(SEGMENT_TABLE)?;
    let all_steps = transaction.open_table(STEP_TABLE)?;
    let mut history = HistoryQuery::new(query, own);
    for entry in headers.iter()? {
        let (number, header) = entry?;
        let number = number.value();
        let Some(header) = decode_header(header.value()) else { continue };
        let segment = || segments.get(number).ok().flatten().map(|bytes| bytes.value().to_vec());
        let steps = || all_steps.get(number).ok().flatten().map(|bytes| bytes.value().to_vec());
        history.add_segment(number, header, segment, steps);
    }
    Ok(history.finish())
}

#[cfg(test)]
mod tests;
