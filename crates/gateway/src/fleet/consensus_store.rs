//! Stores a voting member's consensus state on disk: its vote, its promises and its log, in one `redb` file. A dedicated thread writes
//! the file, one synced transaction at a time; frames that depend on a record are held back until the record is on disk.
//!
//! `redb` was preferred to `fjall` because it needs one file with checksums and one sync per transaction. `fjall` maintains a folder of
//! journals and tables with compaction threads, which pays off only with much more data than the few hundred KB stored here.

use super::store_file::{
    database_error, open_database, open_or_set_aside, DamagedStore, OpenError, StoreError, FORMAT_VERSION,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::mpsc as std_mpsc;
use tokio::sync::mpsc;
use tracing::{info, warn};
use weldworks_fleet::consensus::StoredRecord;
use weldworks_fleet::protocol;
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::version::{digest, Incarnation};

const HEADER_TABLE: TableDefinition<'_, u32, &[u8]> = TableDefinition::new("head");
const LOG_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");

/// Length in bytes of the digest in front of each record.
const RECORD_DIGEST_BYTES: usize = 8;
/// Maximum number of batches that join the first one in a transaction.
const MAX_JOINED_BATCHES: usize = 256;

/// The file header: the format version, the gateway that owns the file, and the incarnation under which that gateway votes. It is stored
/// with `postcard`, so the order of the fields is part of the format.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FileHeader {
    format_version: u32,
    fleet: String,
    gateway: String,
    voter: Incarnation,
}

/// A consensus store that was opened, with its stored content.
pub struct OpenedStore {
    /// The incarnation under which this gateway votes: that of the process that created the store.
    pub voter: Incarnation,
    /// The stored records, in order.
    pub records: Vec<StoredRecord>,
    /// The store to which further records are written; none while another process of this gateway has the file open.
    pub store: Option<ConsensusStore>,
}

/// Records that are written in one transaction.
struct Batch {
    number: u64,
    /// The encoded records, each preceded by its digest.
    records: Vec<Vec<u8>>,
    start: BatchStart,
}

/// Where in the log a batch is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchStart {
    /// The batch is appended to the log.
    Append,
    /// The batch replaces the log, because a new configuration of the group begins.
    ReplaceLog,
}

/// Number of the last batch that is on disk, or the error after which no further batch is written.
pub type WriteResult = Result<u64, Box<redb::Error>>;

/// Sends records in batches to the writer thread.
pub struct ConsensusStore {
    batches: std_mpsc::Sender<Batch>,
    last_number: u64,
    /// Receives the number of the last batch on disk after each transaction; none once the receiver has been taken.
    pub written: Option<mpsc::UnboundedReceiver<WriteResult>>,
}

impl ConsensusStore {
    /// Queues records for writing and returns the number of their batch. Records before the start of a configuration are left out, because
    /// the new configuration replaces the log.
    pub fn write(&mut self, records: &[StoredRecord]) -> u64 {
        self.last_number += 1;
        let config_start =
            records.iter().rposition(|record| matches!(record, StoredRecord::ConfigStarted { .. }));
        let encoded = records[config_start.unwrap_or(0)..].iter().map(encode_record).collect();
        let start = if config_start.is_some() { BatchStart::ReplaceLog } else { BatchStart::Append };
        // Sending fails only if the writer thread has ended; after a failed write it has reported the error through `written`.
        let _ = self.batches.send(Batch { number: self.last_number, records: encoded, start });
        self.last_number
    }
}

/// Encodes a record, preceded by its digest. In addition to the file's own checksums, the digest ensures that a record is read either
/// completely or not at all.
fn encode_record(record: &StoredRecord) -> Vec<u8> {
    let bytes = protocol::encode_frame(record).unwrap_or_default();
    [&digest(&bytes).to_le_bytes()[..], &bytes].concat()
}

fn decode_record(bytes: &[u8]) -> Option<StoredRecord> {
    let (stored_digest, bytes) = bytes.split_at_checked(RECORD_DIGEST_BYTES)?;
    if stored_digest != digest(bytes).to_le_bytes() {
        return None;
    }
    protocol::decode_frame(bytes).ok()
}

/// Opens the consensus store of a gateway. A damaged file is renamed, and the process starts without consensus state.
///
/// # Errors
/// If the folder is unusable, or the file belongs to another gateway.
pub fn open(
    folder: &Path,
    settings: &FleetSettings,
    process: Incarnation,
) -> Result<OpenedStore, StoreError> {
    let path = folder.join(format!("council-{}.redb", settings.gateway));
    if let Err(error) = std::fs::create_dir_all(folder) {
        return Err(StoreError::new(path, error.into()));
    }
    let opened = open_or_set_aside(
        &path,
        || try_open(&path, settings, process),
        |error, aside| {
            warn!(
                %error, aside = %aside.display(),
                "fleet: consensus store damaged and set aside, no vote until the other members add this process"
            );
        },
    );
    match opened {
        Ok(opened) => Ok(opened),
        Err(OpenError::Locked) => {
            warn!(
                file = %path.display(),
                "fleet: consensus store in use by another process, no vote until the other members add this one"
            );
            Ok(OpenedStore { voter: process, records: Vec::new(), store: None })
        }
        Err(error) => Err(StoreError::new(path, error)),
    }
}

/// Whether a consensus store existed before or has just been created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileOrigin {
    Existing,
    Created,
}

fn try_open(path: &Path, settings: &FleetSettings, process: Incarnation) -> Result<OpenedStore, OpenError> {
    let database = open_database(path)?;
    let origin = write_missing_header(&database, settings, process)?;
    let header = read_header(&database)?;
    if header.fleet != settings.name || header.gateway != settings.gateway {
        return Err(OpenError::OtherGateway { gateway: header.gateway, fleet: header.fleet });
    }
    let records = read_records(&database)?;
    if origin == FileOrigin::Existing {
        info!(records = records.len(), voter = %header.voter, "fleet: continuing with the consensus store on disk");
    }
    let store = start_writer(database, records.len() as u64)?;
    Ok(OpenedStore { voter: header.voter, records, store: Some(store) })
}

/// Creates the tables, and writes the header of a new file, which records this gateway as the owner.
fn write_missing_header(
    database: &Database,
    settings: &FleetSettings,
    process: Incarnation,
) -> Result<FileOrigin, OpenError> {
    let transaction = database.begin_write().map_err(database_error)?;
    let origin = {
        let mut table = transaction.open_table(HEADER_TABLE).map_err(database_error)?;
        transaction.open_table(LOG_TABLE).map_err(database_error)?;
        if table.get(0).map_err(database_error)?.is_some() {
            FileOrigin::Existing
        } else {
            let header = FileHeader {
                format_version: FORMAT_VERSION,
                fleet: settings.name.clone(),
                gateway: settings.gateway.clone(),
                voter: process,
            };
            let bytes = protocol::encode_frame(&header).unwrap_or_default();
            table.insert(0, &bytes[..]).map_err(database_error)?;
            FileOrigin::Created
        }
    };
    transaction.commit().map_err(database_error)?;
    Ok(origin)
}

fn read_header(database: &Database) -> Result<FileHeader, OpenError> {
    let transaction = database.begin_read().map_err(database_error)?;
    let table = transaction.open_table(HEADER_TABLE).map_err(database_error)?;
    let bytes = table.get(0).map_err(database_error)?.ok_or(DamagedStore::OwnerMissing)?;
    // The format version is the first field, so that a header of another format is recognised without decoding the other fields.
    let format_version = bytes.value().first().copied().unwrap_or_default();
    if u32::from(format_version) != FORMAT_VERSION {
        return Err(DamagedStore::OtherFormat(format_version.into()).into());
    }
    let header = protocol::decode_frame(bytes.value()).map_err(DamagedStore::OwnerUndecodable)?;
    Ok(header)
}

fn read_records(database: &Database) -> Result<Vec<StoredRecord>, OpenError> {
    let transaction = database.begin_read().map_err(database_error)?;
    let table = transaction.open_table(LOG_TABLE).map_err(database_error)?;
    let mut records = Vec::new();
    for entry in table.iter().map_err(database_error)? {
        let (key, value) = entry.map_err(database_error)?;
        let expected_key = records.len() as u64;
        let record = decode_record(value.value()).filter(|_| key.value() == expected_key);
        records.push(record.ok_or(DamagedStore::RecordMismatch(key.value()))?);
    }
    Ok(records)
}

/// Starts the writer thread, which ends and closes the file once the [`ConsensusStore`] is dropped.
fn start_writer(database: Database, next_key: u64) -> Result<ConsensusStore, OpenError> {
    let (batches, pending) = std_mpsc::channel();
    let (results, written) = mpsc::unbounded_channel();
    std::thread::Builder::new()
        .name("consensus-store".to_owned())
        .spawn(move || write_batches(&database, next_key, &pending, &results))?;
    Ok(ConsensusStore { batches, last_number: 0, written: Some(written) })
}

/// Writes batches to the log until the [`ConsensusStore`] is dropped or a write fails.
fn write_batches(
    database: &Database,
    mut next_key: u64,
    pending: &std_mpsc::Receiver<Batch>,
    results: &mpsc::UnboundedSender<WriteResult>,
) {
    while let Ok(first) = pending.recv() {
        // Batches that are already queued join this transaction, to share its disk sync.
        let mut batches = vec![first];
        batches.extend(pending.try_iter().take(MAX_JOINED_BATCHES));
        let last_number = batches.last().map_or(0, |batch| batch.number);
        let written = write_transaction(database, &mut next_key, batches);
        let has_failed = written.is_err();
        let _ = results.send(written.map(|()| last_number).map_err(Box::new)); // the receiver is gone only while the process shuts down
        if has_failed {
            return;
        }
    }
}

fn write_transaction(
    database: &Database,
    next_key: &mut u64,
    batches: Vec<Batch>,
) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut log = transaction.open_table(LOG_TABLE)?;
        for batch in batches {
            if batch.start == BatchStart::ReplaceLog {
                log.retain(|_, _| false)?;
                *next_key = 0;
            }
            for record in batch.records {
                log.insert(*next_key, &record[..])?;
                *next_key += 1;
            }
        }
    }
    transaction.commit()?;
    Ok(())
}

#[cfg(test)]
mod tests;
