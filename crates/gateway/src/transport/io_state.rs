//! The I/O state of a connection: when bytes were read and written, until when they may be written, and whether any are expected.

use std::cell::Cell;
use tokio::time::Instant;
use weldworks_control::execution::WriteProgress;

/// I/O on a connection since [`IoState::begin_request`].
///
/// Two of the fields also act on the stream: `write_by` stops writes, and `is_idle` turns any input into an error.
#[derive(Debug, Default)]
pub struct IoState {
    /// On a connection to an endpoint: when the response's first byte was read. On a client's connection: since when a request head is
    /// awaited, which is the accept or the head's first byte, and none between requests.
    pub first_read_at: Cell<Option<Instant>>,
    /// When anything was last read or seen waiting, on the connection as a whole.
    pub last_read_at: Cell<Option<Instant>>,
    /// When there was last nothing to be read.
    pub(super) last_empty: Cell<Option<Instant>>,
    /// When there was last nothing to be read, as of the latest read: what was read then arrived after this moment.
    pub last_empty_before_read: Cell<Option<Instant>>,
    /// How much of the request has been written to the kernel, where requests are tracked.
    pub write_progress: Cell<WriteProgress>,
    /// When the request's last byte was written.
    pub written_at: Cell<Option<Instant>>,
    /// From this moment on no byte of the request is written, where it is not complete by then.
    pub write_by: Cell<Option<Instant>>,
    /// Whether the connection is idle, so that anything that arrives is an error.
    pub is_idle: Cell<bool>,
}

impl IoState {
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
