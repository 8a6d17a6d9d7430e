//! What the process may use, and the sizes of what passes through it.

use serde::Deserialize;

pub use weldworks_control::body_streaming::{
    MAX_BODY_BYTES as MAX_LARGE, MAX_BUFFERED_BODY_BYTES as MAX_BODY,
};
/// The most that is read ahead of a head or body on one connection.
pub const MAX_BUFFER: usize = 32 << 10;

/// The limits that the platform sets this process.
#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, in MB.
    pub memory_mb: usize,
    /// Descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}
