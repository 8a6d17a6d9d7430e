//! What the stores on disk have in common: how a file is opened, why it cannot be, and what becomes of a damaged one.

use redb::{Database, DatabaseError, StorageError};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use weldworks_fleet::protocol::ProtocolError;

/// The version of the stored format, raised when it changes.
pub(super) const FORMAT_VERSION: u32 = 1;

/// Why a gateway's state on disk cannot be used; the process does not start.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder or the disk is unusable.
    #[error("cannot use {path}, which is in `state` of [fleet] in the operator's file: {source}; mend that, or leave `state` out")]
    Unusable {
        /// Path of the file.
        path: PathBuf,
        /// The cause, from the system or the database.
        source: OpenError,
    },
    /// The file belongs to another gateway.
    #[error("{path} is the state of gateway {gateway:?} of the fleet {fleet:?}: give each gateway a folder of its own")]
    OtherGateway {
        /// Path of the file.
        path: PathBuf,
        /// The gateway that it belongs to.
        gateway: String,
        /// That gateway's fleet.
        fleet: String,
    },
}

impl StoreError {
    /// The error for the file at `path`.
    pub(super) fn new(path: PathBuf, error: OpenError) -> StoreError {
        match error {
            OpenError::OtherGateway { gateway, fleet } => StoreError::OtherGateway { path, gateway, fleet },
            source => StoreError::Unusable { path, source },
        }
    }
}

/// Why a file is set aside.
#[derive(Debug, thiserror::Error)]
pub enum DamagedStore {
    /// The database cannot read it.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// The database panicked on it.
    #[error("the database library panicked while reading it")]
    Panicked,
    /// It does not say which gateway it belongs to.
    #[error("the owner record is missing")]
    OwnerMissing,
    /// What it says of the gateway that it belongs to cannot be decoded.
    #[error(transparent)]
    OwnerUndecodable(#[from] ProtocolError),
    /// A record differs from what was written.
    #[error("record {0} is not as it was written")]
    RecordMismatch(u64),
    /// It has another version of the format. It is set aside like a damaged file, so that a gateway also starts after a rollback across a
    /// change of the format, without that state: a voting member loses its vote until the other members add it.
    #[error("format version {0}, this build reads {FORMAT_VERSION}")]
    OtherFormat(u32),
}

/// Why a file was not opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// Another process of this gateway has it open.
    #[error("another process of this gateway has the file")]
    Locked,
    /// It belongs to another gateway.
    #[error("it is gateway {gateway:?}'s of the fleet {fleet:?}")]
    OtherGateway {
        /// The gateway that it belongs to.
        gateway: String,
        /// That gateway's fleet.
        fleet: String,
    },
    /// The system reports an error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A first write fails.
    #[error(transparent)]
    Write(#[from] Box<redb::Error>),
    /// It is damaged.
    #[error(transparent)]
    Damaged(#[from] DamagedStore),
    /// It was set aside as damaged, and a new file cannot be read either.
    #[error("a new file can't be read either")]
    NewFileUnreadable,
}

/// Sorts an error of the database: the disk's own, or damage to the file.
pub(super) fn database_error(error: impl Into<redb::Error>) -> OpenError {
    match error.into() {
        redb::Error::Io(error) if !is_damage(&error) => OpenError::Io(error),
        error => OpenError::Damaged(DamagedStore::Database(Box::new(error))),
    }
}

/// Whether the database found wrong or missing bytes, which it reports as errors of reading.
fn is_damage(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof)
}

/// Opens a file that no other process has open, or creates it.
pub(super) fn open_database(path: &Path) -> Result<Database, OpenError> {
    match Database::create(path) {
        Ok(database) => Ok(database),
        Err(DatabaseError::DatabaseAlreadyOpen) => Err(OpenError::Locked),
        Err(DatabaseError::Storage(StorageError::Io(error))) if error.kind() == io::ErrorKind::WouldBlock => {
            Err(OpenError::Locked)
        }
        Err(error) => Err(database_error(error)),
    }
}

/// Opens a file by `open`, and once more if it is damaged and has been set aside. The database checks what it reads, and panics on
/// some states that it takes for impossible.
pub(super) fn open_or_set_aside<T>(
    path: &Path,
    mut open: impl FnMut() -> Result<T, OpenError>,
    mut report: impl FnMut(&DamagedStore, &Path),
) -> Result<T, OpenError> {
    for _ in 0..2 {
        let damage = match catch_unwind(AssertUnwindSafe(&mut open)) {
            Ok(Err(OpenError::Damaged(damage))) => damage,
            Ok(opened) => return opened,
            Err(_) => DamagedStore::Panicked,
        };
        let aside = set_aside(path)?;
        report(&damage, &aside);
    }
    Err(OpenError::NewFileUnreadable)
}

/// Renames a damaged file, so that it can be examined later.
fn set_aside(path: &Path) -> io::Result<PathBuf> {
    let free_name =
        (0..).map(|number| path.with_extension(format!("spoilt-{number}"))).find(|name| !name.exists());
    let aside = free_name.unwrap_or_else(|| path.with_extension("spoilt"));
    std::fs::rename(path, &aside)?;
    Ok(aside)
}
