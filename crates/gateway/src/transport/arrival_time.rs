//! Estimates when the bytes that are read from a connection were written by the peer.
//!
//! Bytes that are read late may have been written long before: they wait in this side's receive buffer or, once that buffer is full, in
//! the peer's send buffer. A read that finds the receive buffer empty shows that the next bytes arrived later, but not that they were
//! written later if the peer's send buffer held them back meanwhile.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Data that ends a wait of at least this long was written just then.
const MIN_WAIT_FOR_FRESH_DATA: Duration = Duration::from_millis(20);
/// Time between two reads from which reading counts as paused.
const MIN_READ_PAUSE: Duration = Duration::from_millis(20);
/// Number of unread bytes from which the receive buffer may have been full.
const MIN_FULL_RECEIVE_BUFFER_BYTES: u64 = 64 << 10;
/// Time after a full receive buffer was emptied within which the peer's send buffer is emptied.
const PEER_SEND_BUFFER_TIME: Duration = Duration::from_millis(100);

/// Lower bound of when the bytes that were read last had been written by the peer.
#[derive(Debug, Default)]
pub struct ArrivalTime {
    earliest_write: Cell<Option<Instant>>,
    /// When the latest read returned bytes.
    last_read_at: Cell<Option<Instant>>,
    /// Number of bytes that were read since the receive buffer was last found empty.
    bytes_since_empty: Cell<u64>,
    /// Whether reading paused since the receive buffer was last found empty.
    paused_since_empty: Cell<bool>,
    /// When a receive buffer that may have been full was last found empty.
    full_buffer_emptied_at: Cell<Option<Instant>>,
    /// When the receive buffer was first found empty since the latest read that returned bytes.
    empty_since: Cell<Option<Instant>>,
    /// When the receive buffer was last found empty since the latest read that returned bytes.
    last_empty: Cell<Option<Instant>>,
}

impl ArrivalTime {
    /// Lower bound of when the bytes that were read last had been written by the peer; `None` if nothing is known.
    pub fn earliest_write(&self) -> Option<Instant> {
        self.earliest_write.get()
    }

    /// Records that a read is made, before its result is known.
    pub(super) fn record_read_start(&self, now: Instant) {
        let was_reading = self.empty_since.get().is_none();
        let last_read = self.last_read_at.get().filter(|_| was_reading);
        if last_read.is_some_and(|at| now - at >= MIN_READ_PAUSE) {
            self.paused_since_empty.set(true);
        }
    }

    /// Records that a read found the receive buffer empty.
    pub(super) fn record_empty(&self, now: Instant) {
        let may_have_been_full = self.bytes_since_empty.get() >= MIN_FULL_RECEIVE_BUFFER_BYTES;
        if self.paused_since_empty.take() && may_have_been_full {
            self.full_buffer_emptied_at.set(Some(now));
        }
        self.bytes_since_empty.set(0);
        self.empty_since.set(self.empty_since.get().or(Some(now)));
        self.last_empty.set(Some(now));
    }

    /// Records that a read returned `bytes`.
    pub(super) fn record_bytes(&self, now: Instant, bytes: u64) {
        self.bytes_since_empty.set(self.bytes_since_empty.get() + bytes);
        self.last_read_at.set(Some(now));
        let Some(empty_since) = self.empty_since.take() else { return };
        let last_empty = self.last_empty.take().unwrap_or(empty_since);
        let waited = now - empty_since;
        let required_wait = if self.peer_may_hold_bytes(empty_since) {
            PEER_SEND_BUFFER_TIME
        } else {
            MIN_WAIT_FOR_FRESH_DATA
        };
        if waited >= required_wait {
            self.earliest_write.set(Some(now));
        } else if !self.peer_may_hold_bytes(last_empty) {
            self.earliest_write.set(Some(last_empty));
        }
    }

    /// Whether the peer's send buffer may still hold bytes that it could not send while the receive buffer was full.
    pub fn peer_may_hold_bytes(&self, at: Instant) -> bool {
        self.full_buffer_emptied_at.get().is_some_and(|emptied_at| at - emptied_at < PEER_SEND_BUFFER_TIME)
    }
}

#[cfg(test)]
mod tests;
