//! When bytes of a message were read from a connection and written to it.

use std::cell::Cell;
use tokio::time::Instant;
use weldworks_control::execution::WriteProgress;

/// I/O on a connection since [`IoTimestamps::begin_request`].
#[derive(Debug, Default)]
pub struct IoTimestamps {
    /// When the first byte was read.
    pub first_read_at: Cell<Option<Instant>>,
    /// When anything was last read or seen waiting, on the connection as a whole.
    pub last_read_at: Cell<Option<Instant>>,
    /// When there was last nothing to be read.
    pub(super) last_empty: Cell<Option<Instant>>,
    /// What was last read arrived after this moment: there was nothing to be read then.
    pub received_after: Cell<Option<Instant>>,
    /// How much of the request has been written to the kernel, where requests are tracked.
    pub write_progress: Cell<WriteProgress>,
    /// When the request's last byte was written.
    pub written_at: Cell<Option<Instant>>,
    /// From this moment on no byte of the request is written, where it is not complete by then.
    pub write_by: Cell<Option<Instant>>,
    /// Whether the connection is idle, so that anything that arrives is an error.
    pub is_idle: Cell<bool>,
}

impl IoTimestamps {
    /// Clears the record for a request that is to be written completely by `write_by`, or not at all from then on.
    pub fn begin_request(&self, write_by: Option<Instant>) {
        self.write_progress.set(WriteProgress::Nothing);
        self.written_at.set(None);
        self.write_by.set(write_by);
        self.first_read_at.set(None);
    }

    /// Whether it is too late to write any more of the request.
    pub fn is_past_write_deadline(&self) -> bool {
        self.write_progress.get() != WriteProgress::Complete
            && self.write_by.get().is_some_and(|by| Instant::now() >= by)
    }
}
