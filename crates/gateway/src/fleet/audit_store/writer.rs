//! The writer of the audit log, which runs on a thread of its own.

use super::super::store_file::{
    database_error, open_database, open_or_set_aside, DamagedStore, OpenError, FORMAT_VERSION,
};
use super::{
    AuditStoreError, Owner, ProcessClock, SharedDatabase, HEADER_TABLE, OWNER_TABLE, SEGMENT_TABLE,
    STEP_TABLE,
};
use redb::{Database, ReadableDatabase, ReadableTable};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::sync::Arc;
use tracing::warn;
use weldworks_fleet::audit::{
    decode_header, EncodedSegment, Evicted, RetentionIndex, RetentionLimits, Segment, SegmentBuilder,
    SegmentSteps, SegmentWriter,
};
use weldworks_fleet::protocol;
use weldworks_fleet::settings::FleetSettings;

/// The state of the writer thread.
pub(super) struct AuditWriter {
    path: PathBuf,
    fleet: String,
    gateway: String,
    clock: ProcessClock,
    retention: RetentionLimits,
    file: SharedDatabase,
    open: Option<OpenLog>,
    /// Whether the audit file already has a segment of this process.
    has_own_segment: bool,
}

/// The next segment's builder and the index of retained segments, for an open audit file.
struct OpenLog {
    builder: SegmentBuilder,
    retained: RetentionIndex,
}

impl AuditWriter {
    pub(super) fn new(
        path: PathBuf,
        settings: &FleetSettings,
        clock: ProcessClock,
        file: SharedDatabase,
    ) -> AuditWriter {
        AuditWriter {
            path,
            fleet: settings.name.clone(),
            gateway: settings.gateway.clone(),
            clock,
            retention: settings.audit_retention,
            file,
            open: None,
            has_own_segment: false,
        }
    }

    /// Opens the audit file, or renames a damaged file and starts a new one.
    ///
    /// # Errors
    /// If the file cannot be opened, or belongs to another gateway.
    pub(super) fn open(&mut self) -> Result<(), OpenError> {
        let path = self.path.clone();
        open_or_set_aside(
            &path,
            || self.try_open(),
            |error, aside| {
                warn!(%error, aside = %aside.display(), "fleet: audit store damaged and set aside, starting a new one");
            },
        )
    }

    fn try_open(&mut self) -> Result<(), OpenError> {
        let file = open_database(&self.path)?;
        self.check_owner(&file)?;
        let mut retained = read_retained(&file)?;
        let writer = SegmentWriter {
            process: self.clock.process,
            began_unix_ms: self.clock.began_unix_ms,
            opened_unix_ms: self.clock.unix_ms(),
        };
        let mut builder = SegmentBuilder::new(writer, retained.next_number());
        if !self.has_own_segment {
            // An empty segment is written before the process does anything: if the process dies before its next segment, its activity is
            // reported as unknown.
            let first = builder.append(Segment::default(), SegmentSteps::default(), self.clock.unix_ms());
            commit(&file, &first, &[]).map_err(Box::new)?;
            retain(&mut retained, &first);
            self.has_own_segment = true;
        }
        self.open = Some(OpenLog { builder, retained });
        self.file.set(Some(Arc::new(file)));
        Ok(())
    }

    /// Creates the tables, records this gateway as the owner of a new file, and checks the owner of an existing file.
    fn check_owner(&self, file: &Database) -> Result<(), OpenError> {
        let transaction = file.begin_write().map_err(database_error)?;
        {
            let mut table = transaction.open_table(OWNER_TABLE).map_err(database_error)?;
            let stored = table.get(0).map_err(database_error)?.map(|bytes| bytes.value().to_vec());
            match stored {
                Some(bytes) => self.check_owner_bytes(&bytes)?,
                None => {
                    let owner = Owner {
                        format_version: FORMAT_VERSION,
                        fleet: self.fleet.clone(),
                        gateway: self.gateway.clone(),
                    };
                    let bytes = protocol::encode_frame(&owner).unwrap_or_default();
                    table.insert(0, &bytes[..]).map_err(database_error)?;
                }
            }
            transaction.open_table(SEGMENT_TABLE).map_err(database_error)?;
            transaction.open_table(STEP_TABLE).map_err(database_error)?;
            transaction.open_table(HEADER_TABLE).map_err(database_error)?;
        }
        transaction.commit().map_err(database_error)?;
        Ok(())
    }

    fn check_owner_bytes(&self, bytes: &[u8]) -> Result<(), OpenError> {
        // The format version is the first field, so that an owner record of another format is recognised without decoding the rest.
        let format_version = bytes.first().copied().unwrap_or_default();
        if u32::from(format_version) != FORMAT_VERSION {
            return Err(DamagedStore::OtherFormat(format_version.into()).into());
        }
        let owner = protocol::decode_frame::<Owner>(bytes).map_err(DamagedStore::OwnerUndecodable)?;
        if owner.fleet != self.fleet || owner.gateway != self.gateway {
            return Err(OpenError::OtherGateway { gateway: owner.gateway, fleet: owner.fleet });
        }
        Ok(())
    }

    /// Writes a segment and evicts what exceeds the retention limits. A file that is not open is opened first.
    ///
    /// # Errors
    /// If the file cannot be opened or written. The file is then closed, so that opening it again reads what the failed write left.
    pub(super) fn write(&mut self, segment: Segment, steps: SegmentSteps) -> Result<(), AuditStoreError> {
        if self.open.is_none() {
            self.open()?;
        }
        let now_unix_ms = self.clock.unix_ms();
        let (Some(log), Some(file)) = (self.open.as_mut(), self.file.get()) else {
            return Err(AuditStoreError::NotOpen);
        };
        let encoded = log.builder.append(segment, steps, now_unix_ms);
        retain(&mut log.retained, &encoded);
        let evicted = log.retained.evict(&self.retention, now_unix_ms);
        let written = match catch_unwind(AssertUnwindSafe(|| commit(&file, &encoded, &evicted))) {
            Ok(committed) => committed.map_err(|error| AuditStoreError::Database(Box::new(error))),
            Err(_) => Err(AuditStoreError::WritePanicked),
        };
        if written.is_err() {
            self.file.set(None);
            self.open = None;
        }
        written
    }
}

/// Reads the headers of the retained segments.
fn read_retained(file: &Database) -> Result<RetentionIndex, OpenError> {
    let mut retained = RetentionIndex::default();
    let transaction = file.begin_read().map_err(database_error)?;
    let headers = transaction.open_table(HEADER_TABLE).map_err(database_error)?;
    for entry in headers.iter().map_err(database_error)? {
        let (number, header) = entry.map_err(database_error)?;
        match decode_header(header.value()) {
            Some(header) => retained.insert(number.value(), &header),
            None => {
                warn!(
                    segment = number.value(),
                    "fleet: audit segment damaged, reporting its time as unknown"
                );
            }
        }
    }
    Ok(retained)
}

/// Adds a segment to the index of retained segments.
fn retain(retained: &mut RetentionIndex, segment: &EncodedSegment) {
    if let Some(header) = decode_header(&segment.header) {
        retained.insert(segment.number, &header);
    }
}

/// Writes a segment and removes the evicted segments, in one transaction.
fn commit(file: &Database, segment: &EncodedSegment, evicted: &[Evicted]) -> Result<(), redb::Error> {
    let transaction = file.begin_write()?;
    {
        let mut headers = transaction.open_table(HEADER_TABLE)?;
        let mut segments = transaction.open_table(SEGMENT_TABLE)?;
        let mut steps = transaction.open_table(STEP_TABLE)?;
        for entry in evicted {
            match entry {
                Evicted::Steps(number) => {
                    steps.remove(number)?;
                }
                Evicted::Segment(number) => {
                    headers.remove(number)?;
                    segments.remove(number)?;
                    steps.remove(number)?;
                }
            }
        }
        headers.insert(segment.number, &segment.header[..])?;
        segments.insert(segment.number, &segment.segment[..])?;
        steps.insert(segment.number, &segment.steps[..])?;
    }
    transaction.commit()?;
    Ok(())
}
