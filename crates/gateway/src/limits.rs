//! What the process may use, and the sizes of what passes through it.

use serde::Deserialize;

/// The longest body that is held whole: it can be sent again, and a spoilt one is found out.
pub const MAX_BODY: usize = 64 << 10;
/// The longest body that either side may send.
pub const MAX_LARGE: u64 = 32 << 20;
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
