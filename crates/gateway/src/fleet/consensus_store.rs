//! A council member's state on disk: its vote, its promises and its log, in one file of `redb`. Written by a thread of its own, one
//! transaction at a time, each synced before it counts as written; what is to be said behind it waits for that.
//!
//! `redb` and not `fjall`: one file with checksums and one sync a transaction; `fjall` keeps a folder of journals and tables with threads
//! that compact, which pays where there is much more data than the few hundred KB here.

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition};
use serde::{Deserialize, Serialize};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::mpsc as threads;
use tokio::sync::mpsc;
use tracing::{info, warn};
use weldworks_fleet::consensus::StoredRecord;
use weldworks_fleet::protocol;
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::version::{digest, Incarnation};

/// The form of what is stored: raised when it changes.
const FORM: u32 = 1;
const HEAD: TableDefinition<'_, u32, &[u8]> = TableDefinition::new("head");
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");

/// Whose a file is.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    form: u32,
    fleet: String,
    gateway: String,
    voter: Incarnation,
}

/// Why the state can't be had, and the process does not start.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Something about the folder or the disk.
    #[error("cannot use {path}, which is in `state` of [fleet] in the operator's file: {why}; mend that, or leave `state` out")]
    Unusable {
        /// The file.
        path: PathBuf,
        /// Why.
        why: String,
    },
    /// It is another gateway's.
    #[error("{path} is the state of gateway {gateway:?} of the fleet {fleet:?}: give each gateway a folder of its own")]
    Another {
        /// The file.
        path: PathBuf,
        /// Whose it is.
        gateway: String,
        /// Of which fleet.
        fleet: String,
    },
}

/// Why a file is set aside.
#[derive(Debug, thiserror::Error)]
pub(super) enum Spoilt {
    #[error("{0}")]
    Torn(String),
    #[error("its form is {0}, this build writes {FORM}")]
    Form(u32),
}

/// What was found.
pub struct OpenedStore {
    /// Whose vote this process has.
    pub voter: Incarnation,
    /// What was stored, in order.
    pub records: Vec<StoredRecord>,
    /// Where to write on; none where another process of this gateway has the file.
    pub store: Option<ConsensusStore>,
}

/// The way to the thread that writes.
pub struct ConsensusStore {
    batches: threads::Sender<(u64, Vec<Vec<u8>>, bool)>,
    next: u64,
    /// The numbers of batches that are written, or why no more will be.
    pub written: Option<mpsc::UnboundedReceiver<Result<u64, String>>>,
}

impl ConsensusStore {
    /// Gives something to be written; its number.
    pub fn write(&mut self, stored: &[StoredRecord]) -> u64 {
        self.next += 1;
        let anew = stored.iter().rposition(|s| matches!(s, StoredRecord::ConfigStarted { .. }));
        let bytes = stored[anew.unwrap_or(0)..].iter().map(sealed).collect();
        // A thread that has ended has said why.
        let _ = self.batches.send((self.next, bytes, anew.is_some()));
        self.next
    }
}

/// With a digest in front, beside the file's own checksums: a record is taken whole or not at all.
fn sealed(stored: &StoredRecord) -> Vec<u8> {
    let bytes = protocol::encode_frame(stored).unwrap_or_default();
    [&digest(&bytes).to_le_bytes()[..], &bytes].concat()
}

fn unsealed(bytes: &[u8]) -> Option<StoredRecord> {
    let (seal, bytes) = bytes.split_at_checked(8)?;
    (seal == digest(bytes).to_le_bytes()).then(|| protocol::decode_frame(bytes).ok())?
}

/// Opens the state of a gateway. One that is spoilt is set aside, with the reason in the log, and the process begins without.
///
/// # Errors
/// Where there is no using the folder, or the file is another gateway's.
pub fn open(
    folder: &Path,
    settings: &FleetSettings,
    process: Incarnation,
) -> Result<OpenedStore, StoreError> {
    let path = folder.join(format!("council-{}.redb", settings.gateway));
    let unusable = |why: String| StoreError::Unusable { path: path.clone(), why };
    std::fs::create_dir_all(folder).map_err(|e| unusable(e.to_string()))?;
    for _ in 0..2 {
        // The library checks what it reads, and breaks off where it finds what it holds for impossible.
        let tried = catch_unwind(AssertUnwindSafe(|| try_open(&path, settings, process)));
        let spoilt = match tried {
            Ok(Ok(found)) => return Ok(found),
            Ok(Err(Tried::Held)) => {
                warn!(file = %path.display(), "fleet: another process has the council's state; this one has no vote until it is seated");
                return Ok(OpenedStore { voter: process, records: Vec::new(), store: None });
            }
            Ok(Err(Tried::Another { gateway, fleet })) => {
                return Err(StoreError::Another { path, gateway, fleet });
            }
            Ok(Err(Tried::Unusable(why))) => return Err(unusable(why)),
            Ok(Err(Tried::Spoilt(spoilt))) => spoilt.to_string(),
            Err(_) => "the library broke off reading it".to_owned(),
        };
        let aside = set_aside(&path).map_err(|e| unusable(e.to_string()))?;
        warn!(
            why = spoilt, aside = %aside.display(),
            "fleet: the council's state can't be read and is set aside; this process has no vote until the others seat it"
        );
    }
    Err(unusable("a new file can't be read either".to_owned()))
}

/// Renames a file that can't be read, so that it can be looked at.
pub(super) fn set_aside(path: &Path) -> std::io::Result<PathBuf> {
    let aside = (0..).map(|n| path.with_extension(format!("spoilt-{n}"))).find(|p| !p.exists());
    let aside = aside.unwrap_or_else(|| path.with_extension("spoilt"));
    std::fs::rename(path, &aside)?;
    Ok(aside)
}

/// Why a file was not opened.
pub(super) enum Tried {
    Held,
    Another { gateway: String, fleet: String },
    Unusable(String),
    Spoilt(Spoilt),
}

impl From<Spoilt> for Tried {
    fn from(spoilt: Spoilt) -> Tried {
        Tried::Spoilt(spoilt)
    }
}

pub(super) fn torn(error: impl Into<redb::Error>) -> Tried {
    match error.into() {
        redb::Error::Io(error)
            if error.kind() != std::io::ErrorKind::InvalidData
                && error.kind() != std::io::ErrorKind::UnexpectedEof =>
        {
            Tried::Unusable(error.to_string())
        }
        error => Tried::Spoilt(Spoilt::Torn(error.to_string())),
    }
}

/// Opens a file, or begins one, that no other process has open.
pub(super) fn create(path: &Path) -> Result<Database, Tried> {
    match Database::create(path) {
        Ok(db) => Ok(db),
        Err(DatabaseError::DatabaseAlreadyOpen) => Err(Tried::Held),
        Err(DatabaseError::Storage(StorageError::Io(e))) if e.kind() == std::io::ErrorKind::WouldBlock => {
            Err(Tried::Held)
        }
        Err(error) => Err(torn(error)),
    }
}

fn try_open(path: &Path, settings: &FleetSettings, process: Incarnation) -> Result<OpenedStore, Tried> {
    let db = create(path)?;
    let new = {
        let writing = db.begin_write().map_err(torn)?;
        let new = {
            let mut head = writing.open_table(HEAD).map_err(torn)?;
            writing.open_table(LOG).map_err(torn)?;
            let new = head.get(0).map_err(torn)?.is_none();
            if new {
                let own = Head {
                    form: FORM,
                    fleet: settings.name.clone(),
                    gateway: settings.gateway.clone(),
                    voter: process,
                };
                let bytes = protocol::encode_frame(&own).unwrap_or_default();
                head.insert(0, &bytes[..]).map_err(torn)?;
            }
            new
        };
        writing.commit().map_err(torn)?;
        new
    };
    let reading = db.begin_read().map_err(torn)?;
    let head = {
        let table = reading.open_table(HEAD).map_err(torn)?;
        let bytes = table.get(0).map_err(torn)?.ok_or_else(|| Spoilt::Torn("it has no head".to_owned()))?;
        let form = bytes.value().first().copied().unwrap_or_default();
        if u32::from(form) != FORM {
            return Err(Spoilt::Form(form.into()).into());
        }
        protocol::decode_frame::<Head>(bytes.value()).map_err(|e| Spoilt::Torn(e.to_string()))?
    };
    if head.fleet != settings.name || head.gateway != settings.gateway {
        return Err(Tried::Another { gateway: head.gateway, fleet: head.fleet });
    }
    let mut stored = Vec::new();
    let mut next = 0;
    for entry in reading.open_table(LOG).map_err(torn)?.iter().map_err(torn)? {
        let (key, value) = entry.map_err(torn)?;
        let whole = unsealed(value.value()).filter(|_| key.value() == next);
        stored.push(
            whole.ok_or_else(|| Spoilt::Torn(format!("record {} is not as it was written", key.value())))?,
        );
        next += 1;
    }
    if !new {
        info!(records = stored.len(), voter = %head.voter, "fleet: going on with the council's state on disk");
    }
    let (batches, to_write) = threads::channel();
    let (done, written) = mpsc::unbounded_channel();
    std::thread::Builder::new()
        .name("council-state".to_owned())
        .spawn(move || write_all(&db, next, &to_write, &done))
        .map_err(|e| Tried::Unusable(e.to_string()))?;
    let store = ConsensusStore { batches, next: 0, written: Some(written) };
    Ok(OpenedStore { voter: head.voter, records: stored, store: Some(store) })
}

/// Writes what it is given until nobody gives any more, or it fails.
fn write_all(
    db: &Database,
    mut next: u64,
    batches: &threads::Receiver<(u64, Vec<Vec<u8>>, bool)>,
    done: &mpsc::UnboundedSender<Result<u64, String>>,
) {
    while let Ok(first) = batches.recv() {
        // What has come meanwhile goes with it: one sync for all.
        let mut all = vec![first];
        all.extend(batches.try_iter().take(256));
        let last = all.last().map_or(0, |(number, ..)| *number);
        let written = write(db, &mut next, all);
        let failed = written.is_err();
        let _ = done.send(written.map(|()| last)); // nobody waits in a process that ends
        if failed {
            return;
        }
    }
}

fn write(db: &Database, next: &mut u64, all: Vec<(u64, Vec<Vec<u8>>, bool)>) -> Result<(), String> {
    let told = |error: redb::Error| error.to_string();
    let writing = db.begin_write().map_err(|e| told(e.into()))?;
    {
        let mut log = writing.open_table(LOG).map_err(|e| told(e.into()))?;
        for (_, records, anew) in all {
            if anew {
                log.retain(|_, _| false).map_err(|e| told(e.into()))?;
                *next = 0;
            }
            for record in records {
                log.insert(*next, &record[..]).map_err(|e| told(e.into()))?;
                *next += 1;
            }
        }
    }
    writing.commit().map_err(|e| told(e.into()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use weldworks_fleet::consensus::{GroupConfig, Replica, StorageChange};

    fn settings(gateway: &str) -> FleetSettings {
        let text = format!(
            "[fleet]\nname = \"f\"\ngateway = \"{gateway}\"\n{}",
            ["a", "b", "c"]
                .map(|n| format!(
                    "[[fleet.peer]]\nname = \"{n}\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n"
                ))
                .concat()
        );
        crate::config::operator_file::OperatorFile::parse("f.toml", &text)
            .expect("a table")
            .fleet
            .expect("a fleet")
    }

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("weldworks-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        folder
    }

    fn began(id: u32) -> StoredRecord {
        let seats = vec![Replica { name: "a".into(), process: Incarnation(7) }];
        StoredRecord::ConfigStarted {
            config: GroupConfig { group_id: 1, generation: id, replicas: seats },
            base: Box::default(),
        }
    }

    fn wrote(n: usize) -> StoredRecord {
        StoredRecord::StorageChanged(StorageChange::Decided(n))
    }

    /// Writes batches and waits for each.
    fn written(found: &mut OpenedStore, batches: &[Vec<StoredRecord>]) {
        let store = found.store.as_mut().expect("a store");
        let mut done = store.written.take().expect("news of it");
        for batch in batches {
            let number = store.write(batch);
            while done.blocking_recv().expect("the thread lives").expect("written") < number {}
        }
        store.written = Some(done);
    }

    /// The thread lets go of the file when nobody can give it anything any more.
    fn reopen(folder: &Path, process: u64) -> OpenedStore {
        for _ in 0..500 {
            let found = open(folder, &settings("a"), Incarnation(process)).expect("it can be used");
            if found.store.is_some() {
                return found;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        panic!("the file is held for good");
    }

    #[test]
    fn what_was_written_is_found_and_a_new_configuration_begins_anew() {
        let folder = folder("found");
        let mut found = reopen(&folder, 1);
        assert_eq!((found.voter, found.records.len()), (Incarnation(1), 0));
        written(&mut found, &[vec![began(1), wrote(1)], vec![wrote(2)]]);
        drop(found);
        let mut found = reopen(&folder, 2);
        assert_eq!(found.voter, Incarnation(1), "it votes as the one before");
        assert_eq!(found.records, [began(1), wrote(1), wrote(2)]);
        written(&mut found, &[vec![wrote(3), began(2), wrote(4)]]);
        drop(found);
        assert_eq!(reopen(&folder, 3).records, [began(2), wrote(4)]);
        let another = open(&folder, &settings("b"), Incarnation(4)).expect("a file of its own");
        assert_eq!(another.records.len(), 0);
        let _ = std::fs::remove_dir_all(&folder);
    }

    #[test]
    fn a_second_process_has_no_vote_and_anothers_file_is_an_error() {
        let folder = folder("held");
        let first = reopen(&folder, 1);
        let second = open(&folder, &settings("a"), Incarnation(2)).expect("it starts all the same");
        assert!(second.store.is_none() && second.voter == Incarnation(2));
        drop(first);
        let path = folder.join("council-a.redb");
        drop(reopen(&folder, 3));
        for _ in 0..500 {
            if Database::open(&path).is_ok() {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        std::fs::copy(&path, folder.join("council-b.redb")).expect("a copy");
        let error = open(&folder, &settings("b"), Incarnation(4)).err().expect("not its own").to_string();
        assert!(error.contains("\"a\"") && error.contains("folder of its own"), "{error}");
        let _ = std::fs::remove_dir_all(&folder);
    }

    /// A file that is cut, or in which a byte is another, is read as it was or set aside: never half, never with a panic.
    #[test]
    fn a_torn_file_is_whole_or_set_aside() {
        let folder = folder("torn");
        let mut found = reopen(&folder, 1);
        let batches: Vec<Vec<StoredRecord>> =
            (0..20).map(|n| vec![if n == 0 { began(1) } else { wrote(n) }]).collect();
        written(&mut found, &batches);
        drop(found);
        let whole = reopen(&folder, 2).records;
        assert_eq!(whole.len(), 20);
        let path = folder.join("council-a.redb");
        std::thread::sleep(std::time::Duration::from_millis(50));
        let bytes = std::fs::read(&path).expect("the file");
        let (mut aside, mut same) = (0, 0);
        for n in 0..60 {
            let at = bytes.len() * n / 60;
            for cut in [true, false] {
                let mut spoilt = bytes.clone();
                if cut {
                    spoilt.truncate(at);
                } else {
                    spoilt[at] ^= 0xff;
                }
                let place = folder.join(format!("{n}-{cut}"));
                std::fs::create_dir_all(&place).expect("a folder");
                std::fs::write(place.join("council-a.redb"), &spoilt).expect("a file");
                let found = open(&place, &settings("a"), Incarnation(9)).expect("it starts all the same");
                if found.voter == Incarnation(1) {
                    assert_eq!(found.records, whole, "{n} {cut}: another state than was written");
                    same += 1;
                } else {
                    assert!(found.records.is_empty() && found.voter == Incarnation(9));
                    aside += 1;
                }
            }
        }
        assert!(aside > 20 && same > 0, "{aside} set aside, {same} the same");
        let _ = std::fs::remove_dir_all(&folder);
    }

    #[test]
    fn a_folder_that_can_t_be_used_says_so() {
        let file = folder("file");
        std::fs::write(&file, "no folder").expect("a file");
        let error = open(&file, &settings("a"), Incarnation(1)).err().expect("no folder").to_string();
        assert!(error.contains("`state` of [fleet]"), "{error}");
        let _ = std::fs::remove_file(&file);
    }
}
