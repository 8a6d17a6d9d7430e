//! Shared by the consensus store and the audit store: opening a database file, the errors of doing so, and setting a damaged file aside.

use redb::{Database, DatabaseError, StorageError};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use weldworks_fleet::protocol::ProtocolError;

/// Version of the stored format. It must be raised whenever the format changes.
pub(super) const FORMAT_VERSION: u32 = 1;

/// Why a gateway's state on disk cannot be used. The process does not start with such an error.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The state folder or its disk is unusable.
    #[error("cannot use {path}, in the folder that `state` of [fleet] in the operator's file names: {source}; fix this, or remove `state`")]
    Unusable {
        /// Path of the file.
        path: PathBuf,
        /// The cause, as reported by the operating system or the database library.
        source: OpenError,
    },
    /// The file belongs to another gateway.
    #[error(
        "{path} belongs to gateway {gateway:?} of the fleet {fleet:?}: give each gateway a folder of its own"
    )]
    OtherGateway {
        /// Path of the file.
        path: PathBuf,
        /// The gateway that the file belongs to.
        gateway: String,
        /// The fleet of the gateway that the file belongs to.
        fleet: String,
    },
}

impl StoreError {
    /// Creates the error for the file at `path`.
    pub(super) fn new(path: PathBuf, error: OpenError) -> StoreError {
        match error {
            OpenError::OtherGateway { gateway, fleet } => StoreError::OtherGateway { path, gateway, fleet },
            source => StoreError::Unusable { path, source },
        }
    }
}

/// Why a database file counts as damaged and is set aside, that is, renamed.
#[derive(Debug, thiserror::Error)]
pub enum DamagedStore {
    /// The database library cannot read the file.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// The database library panicked while reading the file.
    #[error("the database library panicked while reading the file")]
    Panicked,
    /// The file has no record of the gateway that it belongs to.
    #[error("the owner record is missing")]
    OwnerMissing,
    /// The file's record of the gateway that it belongs to cannot be decoded.
    #[error(transparent)]
    OwnerUndecodable(#[from] ProtocolError),
    /// A record has a wrong digest or key, or cannot be decoded, so it differs from what was written.
    #[error("record {0} differs from what was written")]
    RecordMismatch(u64),
    /// The file has another version of the stored format. It is set aside like a damaged file, so that a gateway also starts after a
    /// rollback across a change of the format. The gateway then starts without its state: a voting member has no vote until the other
    /// members add it.
    #[error("the file has format version {0}, but this build reads version {FORMAT_VERSION}")]
    OtherFormat(u32),
}

/// Why a database file could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// Another process of this gateway has the file open.
    #[error("another process of this gateway has the file open")]
    Locked,
    /// The file belongs to another gateway.
    #[error("the file belongs to gateway {gateway:?} of the fleet {fleet:?}")]
    OtherGateway {
        /// The gateway that the file belongs to.
        gateway: String,
        /// The fleet of the gateway that the file belongs to.
        fleet: String,
    },
    /// The operating system reports an error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The first write to the file failed.
    #[error(transparent)]
    Write(#[from] Box<redb::Error>),
    /// The file is damaged.
    #[error(transparent)]
    Damaged(#[from] DamagedStore),
    /// A damaged file was set aside, and the new file cannot be read either.
    #[error("the file was damaged and set aside, and a new file cannot be read either")]
    NewFileUnreadable,
}

/// Classifies an error of the database library: an I/O error of the disk, or damage to the file.
pub(super) fn database_error(error: impl Into<redb::Error>) -> OpenError {
    match error.into() {
        redb::Error::Io(error) if !is_damage(&error) => OpenError::Io(error),
        error => OpenError::Damaged(DamagedStore::Database(Box::new(error))),
    }
}

/// Whether an I/O error means wrong or missing bytes in the file. The database library reports those as read errors.
fn is_damage(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof)
}

/// Opens a database file, or creates it if it does not exist. A file that another process has open is [`OpenError::Locked`].
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

/// Opens a file by calling `open`. If the file is damaged, it is set aside and `open` is called once more. A panic of `open` also counts as
/// damage, because the database library panics on some file contents that it considers impossible.
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

/// Renames a damaged file, so that it can be examined later, and returns its new path.
fn set_aside(path: &Path) -> io::Result<PathBuf> {
    let free_name =
        (0..).map(|number| path.with_extension(format!("spoilt-{number}"))).find(|name| !name.exists());
    let aside = free_name.unwrap_or_else(|| path.with_extension("spoilt"));
    std::fs::rename(path, &aside)?;
    Ok(aside)
}
