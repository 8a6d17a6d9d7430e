//! The resource limits of this process, and the size limits of the messages that it forwards.

use serde::Deserialize;

pub use weldworks_control::body_streaming::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};

/// Largest number of bytes that are read ahead of a message head or body on one connection.
pub const MAX_READ_AHEAD_BYTES: usize = 32 << 10;

/// The resource limits that the platform sets for this process.
#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory limit, in mebibytes; 192 by default.
    pub memory_mb: usize,
    /// Number of file descriptors; 1024 by default.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}
