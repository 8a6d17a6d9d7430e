//! The limits of this process, and of the sizes of what it forwards.

use serde::Deserialize;

pub use weldworks_control::body_streaming::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};

/// Most that is read ahead of a head or body on one connection, in bytes.
pub const MAX_READ_AHEAD_BYTES: usize = 32 << 10;

/// The limits that the platform sets this process.
#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, in mebibytes; 192 by default.
    pub memory_mb: usize,
    /// File descriptors; 1024 by default.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}
