//! Hot restart: two processes of one gateway while one replaces the other. Each learns of the other by lock files in a folder that they
//! share, and the old one writes a snapshot there of what the new one should know. Neither waits for the other.

use super::service_state::ServiceState;
use crate::engine::message::{EngineHandle, Message};
use crate::transport::descriptor_budget::DescriptorBudget;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::{info, warn};
use weldworks_balancer::Snapshot;
use weldworks_control::hot_restart::{
    self, peer_check_interval, DescriptorUsage, SnapshotError, MAX_SNAPSHOT_BYTES, SNAPSHOT_INTERVAL,
};

/// Interval at which an unusable folder is tried again.
const FOLDER_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The file with the snapshot, complete at any time.
const SNAPSHOT_FILE: &str = "ottervane.memory";
/// The lock of the active process, until it shuts down.
const ACTIVE_LOCK: &str = "ottervane.serves";
/// The lock of a successor, until it has the other.
const SUCCESSOR_LOCK: &str = "ottervane.follows";

/// The machine's monotonic clock, which both processes share and nobody sets.
fn monotonic_now() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Duration::new(now.tv_sec.try_into().unwrap_or_default(), now.tv_nsec.try_into().unwrap_or_default())
}

/// Reads the snapshot of the process before this one, if it has been written recently.
pub fn read_snapshot(folder: &Path) -> Option<Snapshot> {
    let text = match read_snapshot_text(&folder.join(SNAPSHOT_FILE)) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return None, // the first process
        Err(error) => {
            warn!(%error, "snapshot unreadable, starting without it");
            return None;
        }
    };
    match hot_restart::decode_snapshot(&text, monotonic_now()) {
        Ok(snapshot) => Some(snapshot),
        Err(SnapshotError::Expired(_)) => None, // of an earlier process that has ended: no warning
        Err(error) => {
            warn!(%error, "snapshot invalid, starting without it");
            None
        }
    }
}

/// Reads the file, and at most one byte more than a snapshot may have: that much shows that it is too long.
fn read_snapshot_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(MAX_SNAPSHOT_BYTES as u64 + 1).read_to_string(&mut text)?;
    Ok(text)
}

/// Replaces the snapshot. It is not synced: the folder is in memory, and the snapshot is of no use after a reboot.
fn write_snapshot(folder: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let temporary = folder.join(format!("{SNAPSHOT_FILE}.{}", std::process::id()));
    fs::write(&temporary, hot_restart::encode_snapshot(snapshot, monotonic_now()))?;
    fs::rename(temporary, folder.join(SNAPSHOT_FILE))
}

/// Takes a lock unless another process has it. It is released when the file is dropped, and with the process at the latest.
fn try_lock(folder: &Path, name: &str) -> io::Result<Option<File>> {
    let file = File::options().create(true).truncate(false).write(true).open(folder.join(name))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// This process's role among the processes of its gateway.
enum Role {
    /// It serves, and holds the active process's lock.
    Active(File),
    /// Another process is active still. This one holds the successor's lock unless a third does.
    Successor(Option<File>),
}

/// Watches for another process of this gateway until this one shuts down. While there is one, each publishes how many descriptors it has
/// open and leaves the other as many; a predecessor that already drains is no longer counted. The active process also writes the
/// snapshot.
pub async fn run(folder: &Path, engine: &EngineHandle, budget: &DescriptorBudget, service: &ServiceState) {
    let mut role = Role::Successor(None);
    let mut snapshot_written: Option<Instant> = None;
    let mut peer_was_present: Option<bool> = None;
    let mut failure_is_logged = false; // reset by the next success
    loop {
        let peer = match observe_peer(folder, &mut role, budget.usage()) {
            Ok(peer) => peer,
            // The last known usage of the other process stays reserved: both together have one limit.
            Err(error) => {
                if !failure_is_logged {
                    warn!(
                        %error, folder = %folder.display(), retry_delay = ?FOLDER_RETRY_DELAY,
                        "hot-restart folder unusable, retrying"
                    );
                    failure_is_logged = true;
                }
                tokio::select! {
                    () = tokio::time::sleep(FOLDER_RETRY_DELAY) => continue,
                    () = service.shutdown_started.notified() => return drop(role),
                }
            }
        };
        failure_is_logged = false;
        budget.reserve_for_peer(peer.unwrap_or_default());
        if peer_was_present != Some(peer.is_some()) {
            log_presence(peer.as_ref());
            peer_was_present = Some(peer.is_some());
        }
        let snapshot_is_due = snapshot_written.is_none_or(|at| at.elapsed() >= SNAPSHOT_INTERVAL);
        if snapshot_is_due && matches!(role, Role::Active(_)) {
            update_snapshot(folder, engine).await;
            snapshot_written = Some(Instant::now());
        }
        tokio::select! {
            () = tokio::time::sleep(peer_check_interval(peer)) => {}
            // The lock is released here, so that the successor becomes active while this process drains. From then on the successor
            // doesn't count the descriptors that this process still has open.
            () = service.shutdown_started.notified() => return drop(role),
        }
    }
}

fn log_presence(peer: Option<&DescriptorUsage>) {
    match peer {
        Some(_) => info!("another process of this gateway found, sharing the descriptor limit with it"),
        None => info!("no other process of this gateway, using the whole descriptor limit"),
    }
}

/// Asks the engine for a snapshot and writes it.
async fn update_snapshot(folder: &Path, engine: &EngineHandle) {
    let (sender, receiver) = oneshot::channel();
    engine.send(Message::TakeSnapshot(sender));
    let Ok(snapshot) = receiver.await else { return };
    if let Err(error) = write_snapshot(folder, &snapshot) {
        warn!(%error, "snapshot not written, the next process starts without it");
    }
}

/// Updates this process's role, publishes its usage, and gives the usage of another process, if there is one.
///
/// # Errors
/// Where the folder cannot be used. Locks that are held stay held.
fn observe_peer(folder: &Path, role: &mut Role, own: DescriptorUsage) -> io::Result<Option<DescriptorUsage>> {
    if let Role::Successor(successor_lock) = role {
        if let Some(active_lock) = try_lock(folder, ACTIVE_LOCK)? {
            *role = Role::Active(active_lock);
        } else if successor_lock.is_none() {
            *successor_lock = try_lock(folder, SUCCESSOR_LOCK)?;
        }
    }
    let peer_file = match role {
        Role::Active(file) => {
            file.write_all_at(own.encode().as_bytes(), 0)?;
            // A lock taken here is released again at once.
            let successor_is_present = try_lock(folder, SUCCESSOR_LOCK)?.is_none();
            successor_is_present.then_some(SUCCESSOR_LOCK)
        }
        Role::Successor(file) => {
            if let Some(file) = file {
                file.write_all_at(own.encode().as_bytes(), 0)?;
            }
            Some(ACTIVE_LOCK)
        }
    };
    Ok(peer_file.map(|name| published_usage(&folder.join(name))))
}

/// The usage that a process has published. A process that has just started has published nothing, and has nothing open.
fn published_usage(path: &Path) -> DescriptorUsage {
    let text = fs::read_to_string(path).ok();
    text.and_then(|text| DescriptorUsage::decode(&text)).unwrap_or_default()
}

#[cfg(test)]
mod tests;
