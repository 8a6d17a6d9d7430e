//! Hot restart: a new process of a gateway replaces the old one while both run. Each process detects the other by lock files in a folder
//! that they share. The old process also writes a snapshot of its learned state to this folder, for the new process to restore.
//! Neither process waits for the other.

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

/// Delay before the shared folder is accessed again after an error.
const FOLDER_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The file with the snapshot, which is replaced as a whole and so complete at any time.
const SNAPSHOT_FILE: &str = "ottervane.memory";
/// The lock file that the active process holds until it shuts down.
const ACTIVE_LOCK: &str = "ottervane.serves";
/// The lock file that a successor holds until it has the lock of the active process.
const SUCCESSOR_LOCK: &str = "ottervane.follows";

/// The time on the machine's monotonic clock, which both processes share and which cannot be set.
fn monotonic_now() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Duration::new(now.tv_sec.try_into().unwrap_or_default(), now.tv_nsec.try_into().unwrap_or_default())
}

/// Reads the snapshot of the predecessor, if the snapshot was written recently.
pub fn read_snapshot(folder: &Path) -> Option<Snapshot> {
    let text = match read_snapshot_text(&folder.join(SNAPSHOT_FILE)) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return None, // there was no predecessor
        Err(error) => {
            warn!(%error, "snapshot unreadable, starting without it");
            return None;
        }
    };
    match hot_restart::decode_snapshot(&text, monotonic_now()) {
        Ok(snapshot) => Some(snapshot),
        Err(SnapshotError::Expired(_)) => None, // left by a process that ended earlier, which needs no warning
        Err(error) => {
            warn!(%error, "snapshot invalid, starting without it");
            None
        }
    }
}

/// Reads the snapshot file up to one byte beyond the maximum size, which is enough to detect a file that is too long.
fn read_snapshot_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(MAX_SNAPSHOT_BYTES as u64 + 1).read_to_string(&mut text)?;
    Ok(text)
}

/// Replaces the snapshot file. The file is not synced: the folder is in memory, and a snapshot is useless after a reboot.
fn write_snapshot(folder: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let temporary = folder.join(format!("{SNAPSHOT_FILE}.{}", std::process::id()));
    fs::write(&temporary, hot_restart::encode_snapshot(snapshot, monotonic_now()))?;
    fs::rename(temporary, folder.join(SNAPSHOT_FILE))
}

/// Acquires a lock file unless another process holds it. The lock is released when the file is dropped, or when the process ends.
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
    /// This process is active: it serves clients and holds the lock of the active process.
    Active(File),
    /// Another process is still active. This process holds the successor's lock, unless a third process holds that lock.
    Successor(Option<File>),
}

/// Coordinates with another process of this gateway until this process shuts down. While both run, each process publishes how many
/// descriptors it has open and reserves as many as the other has published; a predecessor that already drains is no longer counted.
/// The active process also writes the snapshot.
pub async fn run(folder: &Path, engine: &EngineHandle, budget: &DescriptorBudget, service: &ServiceState) {
    let mut role = Role::Successor(None);
    let mut snapshot_written: Option<Instant> = None;
    let mut peer_was_present: Option<bool> = None;
    let mut failure_is_logged = false; // reset by the next successful access
    loop {
        let peer = match observe_peer(folder, &mut role, budget.usage()) {
            Ok(peer) => peer,
            // The last known usage of the other process stays reserved, since both processes share one descriptor limit.
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
            log_peer_presence(peer.as_ref());
            peer_was_present = Some(peer.is_some());
        }
        let snapshot_is_due = snapshot_written.is_none_or(|at| at.elapsed() >= SNAPSHOT_INTERVAL);
        if snapshot_is_due && matches!(role, Role::Active(_)) {
            update_snapshot(folder, engine).await;
            snapshot_written = Some(Instant::now());
        }
        tokio::select! {
            () = tokio::time::sleep(peer_check_interval(peer)) => {}
            // At the start of the shutdown the lock is released, so that the successor becomes active while this process drains. From
            // then on the successor doesn't count the descriptors that this process still has open.
            () = service.shutdown_started.notified() => return drop(role),
        }
    }
}

fn log_peer_presence(peer: Option<&DescriptorUsage>) {
    match peer {
        Some(_) => info!("another process of this gateway found, sharing the descriptor limit with it"),
        None => info!("no other process of this gateway, using the whole descriptor limit"),
    }
}

/// Requests a snapshot from the engine and writes it to the snapshot file.
async fn update_snapshot(folder: &Path, engine: &EngineHandle) {
    let (sender, receiver) = oneshot::channel();
    engine.send(Message::TakeSnapshot(sender));
    let Ok(snapshot) = receiver.await else { return };
    if let Err(error) = write_snapshot(folder, &snapshot) {
        warn!(%error, "snapshot not written, the next process starts without it");
    }
}

/// Updates this process's role, publishes its descriptor usage, and returns the usage of the other process, if there is one.
///
/// # Errors
/// If the shared folder cannot be used. Locks that this process holds stay held.
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
            // The successor's lock is only probed: if it is free, it is acquired here and released again at once.
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

/// The descriptor usage that a process has published. If a process has published none, it has just started and has no descriptors open.
fn published_usage(path: &Path) -> DescriptorUsage {
    let text = fs::read_to_string(path).ok();
    text.and_then(|text| DescriptorUsage::decode(&text)).unwrap_or_default()
}

#[cfg(test)]
mod tests;
