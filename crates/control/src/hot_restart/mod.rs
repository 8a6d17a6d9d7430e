//! Hot restart: a successor process of the gateway takes over from the active process.
//!
//! Both processes share a folder. The active process writes a [`snapshot`](encode_snapshot) of its
//! learned state there, which the successor reads; each process publishes its [`DescriptorUsage`],
//! so that both stay within one descriptor limit; and [`Startup`] decides when the successor may
//! accept clients. This module defines formats and rules; the gateway does the I/O.

mod descriptor_usage;
mod snapshot_format;
mod startup;

pub use descriptor_usage::{peer_check_interval, remaining_descriptors, DescriptorUsage};
pub use snapshot_format::{
    decode_snapshot, encode_snapshot, SnapshotError, MAX_SNAPSHOT_AGE, MAX_SNAPSHOT_BYTES, SNAPSHOT_INTERVAL,
};
pub use startup::{Startup, StartupProgress, StartupWait};
