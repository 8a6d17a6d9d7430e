//! The I/O state of a connection: when bytes were read and written, until when they may be written, and whether input is expected.

use super::arrival_time::ArrivalTime;
use std::cell::Cell;
use tokio::time::Instant;
use weldworks_control::execution::WriteProgress;

/// The record of the I/O on a connection; some fields are reset by [`IoState::begin_request`].
///
/// Two fields also control the stream: `write_by` stops writes, and `is_idle` makes any input an error.
#[derive(Debug, Default)]
pub struct IoState {
    /// On a connection to an endpoint: when the response's first byte was read. On a client's connection: since when a request head has
    /// been awaited, which is the accept or the head's first byte; `None` between requests.
    pub first_read_at: Cell<Option<Instant>>,
    /// When bytes were last read or found waiting to be read, over the whole life of the connection.
    pub last_read_at: Cell<Option<Instant>>,
    /// Number of bytes that were read over the whole life of the connection.
    pub bytes_read: Cell<u64>,
    /// When the bytes that were read last had been written by the peer.
    pub arrival: ArrivalTime,
    /// How much of the request has been written to the kernel, on streams that track the requests written.
    pub write_progress: Cell<WriteProgress>,
    /// How many bytes of the request have been written to the kernel, on streams that track the requests written.
    pub request_bytes_written: Cell<u64>,
    /// When the last byte of the request was written to the kernel.
    pub written_at: Cell<Option<Instant>>,
    /// The write deadline: from this moment on no further byte of an incomplete request is written.
    pub write_by: Cell<Option<Instant>>,
    /// Whether bytes to be written wait for room in the kernel's send buffer.
    pub is_write_blocked: Cell<bool>,
    /// Whether the connection is idle, so that any input on it is an error.
    pub is_idle: Cell<bool>,
}

impl IoState {
    /// Resets the record for a new request, of which nothing may be written after `write_by` if the request is not complete by then.
    pub fn begin_request(&self, write_by: Option<Instant>) {
        self.write_progress.set(WriteProgress::Nothing);
        self.request_bytes_written.set(0);
        self.written_at.set(None);
        self.write_by.set(write_by);
        self.first_read_at.set(None);
    }

    /// Whether the write deadline has passed before the request was written completely.
    pub fn is_past_write_deadline(&self) -> bool {
        self.write_progress.get() != WriteProgress::Complete
            && self.write_by.get().is_some_and(|by| Instant::now() >= by)
    }
}
