//! Two processes of one gateway, while one replaces the other: what each knows of the other through the folder they share, and the
//! file in which the old one keeps what the new one should know. Nobody waits for anybody.

use crate::engine::message::{EngineHandle, Message};
use crate::lifecycle::service::ServiceState;
use crate::transport::descriptor_budget::DescriptorBudget;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;
use tokio::sync::oneshot;
use tracing::{info, warn};
use weldworks_balancer::Snapshot;
use weldworks_control::hot_restart::{
    self, peer_check_interval, DescriptorUsage, SnapshotError, MAX_SNAPSHOT_BYTES, SNAPSHOT_INTERVAL,
};

/// While the folder can't be used it is tried again this often.
const FOLDER_AGAIN: Duration = Duration::from_millis(250);
/// What is known, whole at any time.
const MEMORY: &str = "ottervane.memory";
/// Held by the process that serves, until it is told to stop.
const SERVES: &str = "ottervane.serves";
/// Held by one that has come to replace it, until it gets the other.
const FOLLOWS: &str = "ottervane.follows";

/// The machine's monotonic clock, which both processes share and nobody steps.
fn monotonic() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Duration::new(now.tv_sec.try_into().unwrap_or_default(), now.tv_nsec.try_into().unwrap_or_default())
}

/// What a process before this one knew, where it has just written it.
pub fn read_snapshot(folder: &Path) -> Option<Snapshot> {
    let mut text = String::new();
    let file = match File::open(folder.join(MEMORY)) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return None, // the first one
        Err(error) => {
            warn!(%error, "what the process before knew can't be read; starting without");
            return None;
        }
    };
    // One byte more than may be read tells that it is too long.
    let read = file.take(MAX_SNAPSHOT_BYTES as u64 + 1).read_to_string(&mut text);
    match read.map(|_| hot_restart::decode_snapshot(&text, monotonic())) {
        Ok(Ok(memory)) => Some(memory),
        Ok(Err(SnapshotError::Expired(_))) => None, // nobody serves beside this one
        Ok(Err(why)) => {
            warn!(%why, "what the process before knew is passed over; starting without");
            None
        }
        Err(error) => {
            warn!(%error, "what the process before knew can't be read; starting without");
            None
        }
    }
}

fn write(folder: &Path, memory: &Snapshot) -> io::Result<()> {
    // The folder is memory: nothing outlives the machine, so there is nothing to make durable.
    let beside = folder.join(format!("{MEMORY}.{}", std::process::id()));
    fs::write(&beside, hot_restart::encode_snapshot(memory, monotonic()))?;
    fs::rename(beside, folder.join(MEMORY))
}

/// The lock of this name, if nobody has it. It lasts as long as what is given, and no longer than the process.
fn lock(folder: &Path, name: &str) -> io::Result<Option<File>> {
    let file = File::options().create(true).truncate(false).write(true).open(folder.join(name))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// How this process stands to others.
enum Place {
    /// It serves, and holds the lock that says so.
    Serves(File),
    /// Another one serves still; this one follows it, and holds that lock unless a third does.
    Follows(Option<File>),
}

/// Looks for another process of this gateway, until this one is told to stop. While there is one, each says what it has open, and
/// leaves the other that much of the descriptors. The one that serves writes down what it knows.
pub async fn run(folder: &Path, gateway: &EngineHandle, budget: &DescriptorBudget, service: &ServiceState) {
    let mut place = Place::Follows(None);
    let (mut written, mut shared, mut failing) = (None, None, false);
    loop {
        let other = match look(folder, &mut place, budget.usage()) {
            Ok(other) => other,
            // What is known of the other holds until the folder can be used again: both together have one limit.
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!(
                        %error, folder = %folder.display(),
                        "the folder shared with the next process can't be used; trying again every {FOLDER_AGAIN:?}"
                    );
                }
                tokio::select! {
                    () = tokio::time::sleep(FOLDER_AGAIN) => continue,
                    () = service.stopped.notified() => return drop(place),
                }
            }
        };
        failing = false;
        budget.reserve_for_peer(other.unwrap_or_default());
        if shared.replace(other.is_some()) != Some(other.is_some()) {
            match other {
                Some(_) => info!(
                    "another process of this gateway is there: what it has open of the descriptors is left to it"
                ),
                None => info!("no other process of this gateway: all descriptors are this one's"),
            }
        }
        let due = written.is_none_or(|at: tokio::time::Instant| at.elapsed() >= SNAPSHOT_INTERVAL);
        if due && matches!(place, Place::Serves(_)) {
            let (answer, told) = oneshot::channel();
            gateway.send(Message::TakeSnapshot(answer));
            if let Ok(memory) = told.await {
                if let Err(error) = write(folder, &memory) {
                    warn!(%error, "what this process knows can't be written; the next one starts from nothing");
                }
            }
            written = Some(tokio::time::Instant::now());
        }
        tokio::select! {
            () = tokio::time::sleep(peer_check_interval(other)) => {}
            // It takes nobody in any more: what its clients leave is the other's to give them.
            () = service.stopped.notified() => return drop(place),
        }
    }
}

/// Finds out where it stands now, and what another one has open, if there is one. What it has open itself is said.
///
/// # Errors
/// Where the folder can't be used. The locks that it holds stay held.
fn look(folder: &Path, place: &mut Place, own: DescriptorUsage) -> io::Result<Option<DescriptorUsage>> {
    if let Place::Follows(held) = place {
        if let Some(serves) = lock(folder, SERVES)? {
            *place = Place::Serves(serves);
        } else if held.is_none() {
            *held = lock(folder, FOLLOWS)?;
        }
    }
    let other = match place {
        Place::Serves(file) => {
            file.write_all_at(own.encode().as_bytes(), 0)?;
            // Taken for a moment only, and free again before anything else runs.
            lock(folder, FOLLOWS)?.is_none().then_some(FOLLOWS)
        }
        Place::Follows(file) => {
            if let Some(file) = file {
                file.write_all_at(own.encode().as_bytes(), 0)?;
            }
            Some(SERVES)
        }
    };
    // One that has just come has said nothing yet, and has nothing.
    let says = |name: &str| {
        fs::read_to_string(folder.join(name)).ok().and_then(|text| DescriptorUsage::decode(&text))
    };
    Ok(other.map(|name| says(name).unwrap_or_default()))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Locks of one process exclude each other like those of two, as each opens the file anew.
    #[test]
    fn each_knows_of_the_other_until_it_has_gone() {
        let folder = std::env::temp_dir().join(format!("weldworks-places-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let step = |mut place| {
            let other =
                look(&folder, &mut place, DescriptorUsage { clients: 7, ..DescriptorUsage::default() })
                    .expect("the folder can be used");
            (place, other.map(|held| held.clients))
        };
        let (old, other) = step(Place::Follows(None));
        assert!(matches!(old, Place::Serves(_)) && other.is_none(), "alone");
        let (new, other) = step(Place::Follows(None));
        assert!(matches!(new, Place::Follows(Some(_))) && other == Some(7), "it says what it has open");
        let (old, other) = step(old);
        assert_eq!(other, Some(7), "the old one sees it come");
        let (third, other) = step(Place::Follows(None));
        assert!(matches!(third, Place::Follows(None)) && other == Some(7));
        drop(old);
        let (new, other) = step(new);
        assert!(matches!(new, Place::Serves(_)) && other.is_none());
        let (third, _) = step(third);
        assert!(matches!(third, Place::Follows(Some(_))));
        let (mut new, other) = step(new);
        assert_eq!(other, Some(7), "and then it sees the third");
        // The folder fails for a while: the lock is not let go, or a third process would take this one's place.
        let away = folder.with_extension("away");
        fs::rename(&folder, &away).expect("a folder that is away");
        assert!(look(&folder, &mut new, DescriptorUsage::default()).is_err());
        fs::rename(&away, &folder).expect("it is back");
        assert!(lock(&folder, SERVES).expect("the folder").is_none(), "the lock is held still");
        drop((new, third));
        assert!(lock(&folder, SERVES).expect("the folder").is_some(), "nothing outlives those who held it");
        let _ = fs::remove_dir_all(&folder);
    }
}
