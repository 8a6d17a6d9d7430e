//! Stores the audit log on disk, in one `redb` file beside the file of the consensus store. A dedicated thread writes one segment per
//! transaction. The content of segments, their eviction and the reports made from them are defined in [`weldworks_fleet::audit`].

mod writer;

use super::store_file::{OpenError, StoreError};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::mpsc as std_mpsc;
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

/// Interval at which the audit log is written to disk. A crash loses the records of one interval and of one write: at most a second.
const AUDIT_FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before the audit log is written again after a failed write.
const DISK_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The gateway that an audit file belongs to. It is stored with `postcard`, so the order of the fields is part of the format.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    format_version: u32,
    fleet: String,
    gateway: String,
}

/// The incarnation of a process, with its start on the monotonic clock and on the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// The incarnation of the process.
    pub process: Incarnation,
    /// Start of the process on the monotonic clock.
    pub start: Instant,
    /// Start of the process on the wall clock, in Unix milliseconds. The wall clock is not read again, because it may be adjusted later.
    pub began_unix_ms: u64,
}

impl ProcessClock {
    fn unix_ms(&self) -> u64 {
        self.began_unix_ms + self.start.elapsed().as_millis() as u64
    }
}

/// Why the audit log could not be written or read. The texts of the errors of [`AuditStore::read_history`] are in answers to administrators
/// (`earlier_unread`) and must not change.
#[derive(Debug, thiserror::Error)]
pub enum AuditStoreError {
    /// The writer thread has ended.
    #[error("the audit writer thread has ended")]
    WriterEnded,
    /// The audit file cannot be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The audit file is not open.
    #[error("the audit file is not open")]
    NotOpen,
    /// Another process has the audit file open, or its disk is failing.
    #[error("{path} is another process's, or its disk fails: this gateway's log says which")]
    Unavailable {
        /// Path of the audit file.
        path: String,
    },
    /// The database library reports an error for the audit file.
    #[error(transparent)]
    Database(#[from] Box<redb::Error>),
    /// The database library panicked while reading.
    #[error("the library broke off reading it")]
    ReadPanicked,
    /// The database library panicked while writing.
    #[error("the database library panicked while writing the audit file")]
    WritePanicked,
    /// The task that reads the audit file was cancelled or panicked.
    #[error(transparent)]
    ReaderLost(#[from] tokio::task::JoinError),
}

/// The open audit database, shared between the writer thread and the threads that read it; none while the file is not open.
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

/// A segment that the writer thread has to write.
struct WriteRequest {
    segment: Segment,
    steps: SegmentSteps,
    done: oneshot::Sender<Result<(), AuditStoreError>>,
}

/// Sends segments of the audit log to the writer thread, and reads the history on disk.
pub struct AuditStore {
    requests: std_mpsc::Sender<WriteRequest>,
    file: SharedDatabase,
    path: PathBuf,
    /// Position in the audit log at which the next segment begins.
    cursor: Cell<SegmentCursor>,
    /// Locked during a write, because segments must not overlap.
    write_lock: tokio::sync::Mutex<()>,
}

impl AuditStore {
    /// Opens the audit log of a gateway. While another process of this gateway has the file open, the log stays in memory.
    ///
    /// # Errors
    /// If the folder is unusable, or the file belongs to another gateway.
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

    /// Writes what was recorded since the last write, and waits until it is on disk. `ended` marks the last segment of the process.
    ///
    /// # Errors
    /// If the file cannot be written. The content of the failed segment is then part of the next one.
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

    /// Writes the audit log at every [`AUDIT_FLUSH_INTERVAL`] until this future is dropped.
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

    /// Reads the history of earlier processes, and the part of this process's history that is no longer in memory.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub async fn read_history(
        &self,
        query: AuditQuery,
        own: MemorySpan,
    ) -> Result<HistoryReport, AuditStoreError> {
        let Some(file) = self.file.get() else {
            return Err(AuditStoreError::Unavailable { path: self.path.display().to_string() });
        };
        // Reading the history may take a second, so it runs on a thread of its own and delays neither the event loop nor the writer.
        let read = move || {
            let history = catch_unwind(AssertUnwindSafe(|| read_history(&file, query, own)));
            let history = history.map_err(|_| AuditStoreError::ReadPanicked)?;
            history.map_err(|error| AuditStoreError::Database(Box::new(error)))
        };
        tokio::task::spawn_blocking(read).await?
    }
}

/// Opens the audit file and starts the writer thread, which ends once the returned sender is dropped.
fn start_writer(
    folder: &Path,
    path: &Path,
    settings: &FleetSettings,
    clock: ProcessClock,
    file: &SharedDatabase,
) -> Result<std_mpsc::Sender<WriteRequest>, OpenError> {
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
    let (requests, pending) = std_mpsc::channel::<WriteRequest>();
    let write_all = move || {
        while let Ok(WriteRequest { segment, steps, done }) = pending.recv() {
            let _ = done.send(writer.write(segment, steps)); // the receiver is gone only while the process shuts down
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
