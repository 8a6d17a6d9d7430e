//! The state of one client connection, which the connection's own task shares with the rest of the server.

use crate::transport::descriptor_budget::DescriptorPermit;
use crate::transport::instrumented_stream::{IoState, SocketProbe};
use crate::transport::message_framing::MessageFraming;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time after the accept within which data that is read may have waited in the kernel together with its connection.
const READ_WITH_ACCEPT_WINDOW: Duration = Duration::from_millis(50);

/// A connection from a client, as the rest of the server sees and controls it.
#[derive(Debug)]
pub(super) struct ClientConnection {
    pub(super) probe: SocketProbe,
    pub(super) accepted_at: Instant,
    /// The earliest moment at which the connection may have entered the accept queue; `None` if it can't have waited there.
    pub(super) queued_since: Option<Instant>,
    pub(super) permit: RefCell<DescriptorPermit>,
    /// Since when no request has been in flight on the connection; `None` while one is in flight. The end of the last response may still
    /// be unwritten, see [`ClientConnection::owes_response`].
    pub(super) idle_since: Cell<Option<Instant>>,
    pub(super) request_count: Cell<u64>,
    /// Whether the connection is kept alive after a response and has not received another request.
    pub(super) is_keep_alive_idle: Cell<bool>,
    /// Whether the server has decided to close the connection.
    pub(super) is_closing: Cell<bool>,
    /// Requests a graceful close of the connection: a request that has already arrived is still answered.
    pub(super) close_requested: Notify,
    /// Requests an immediate close of the connection, unless a request has arrived completely.
    pub(super) abort_requested: Notify,
    pub(super) io_state: Rc<IoState>,
    pub(super) framing: Rc<RefCell<MessageFraming>>,
}

impl ClientConnection {
    /// The earliest moment at which the data that was last read may have arrived; `None` if it can't have waited in the accept queue
    /// together with its connection. [`READ_WITH_ACCEPT_WINDOW`] allows for a poller that reports the data of a new connection one
    /// event loop turn after the connection itself.
    pub(super) fn data_queued_since(&self) -> Option<Instant> {
        let read_with_accept = |read_at: Instant| read_at <= self.accepted_at + READ_WITH_ACCEPT_WINDOW;
        self.queued_since.filter(|_| self.io_state.last_read_at.get().is_some_and(read_with_accept))
    }

    /// Starts the timeout of the next request head, to be called once a request has arrived completely: any further bytes that were
    /// read belong to the next request. If the next head has already begun, its first byte came no later than the last read.
    pub(super) fn await_next_head(&self) {
        let has_begun = self.framing.borrow().is_inside_message();
        self.io_state.first_read_at.set(self.io_state.last_read_at.get().filter(|_| has_begun));
    }

    /// Whether another complete request has been read after the one in flight (HTTP pipelining). That request must be answered as well,
    /// so the connection must not be closed with the current response.
    pub(super) fn has_pipelined_request(&self) -> bool {
        self.framing.borrow().has_message_after(self.request_count.get())
    }

    /// Requests the connection's task to close the connection gracefully.
    pub(super) fn request_close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
    }

    /// Requests the connection's task to drop the connection, unless a request has arrived completely.
    pub(super) fn request_abort(&self) {
        self.is_closing.set(true);
        self.abort_requested.notify_one();
    }

    /// Whether a request is in flight, or the end of a response waits until the client takes more of it. If the connection were dropped
    /// now, the client would not get a complete response.
    pub(super) fn owes_response(&self) -> bool {
        self.idle_since.get().is_none() || self.io_state.is_write_blocked.get()
    }

    /// Whether no response is owed on the connection, and no request has been in flight for at least `limit`.
    pub(super) fn is_idle_for(&self, limit: Duration) -> bool {
        !self.owes_response() && self.idle_since.get().is_some_and(|since| since.elapsed() >= limit)
    }

    /// Whether the connection is idle and the server has not decided to close it.
    pub(super) fn is_open_and_idle(&self) -> bool {
        !self.owes_response() && !self.is_closing.get()
    }

    /// Whether a request head has begun to arrive, or the connection's first request head is awaited.
    pub(super) fn awaits_head(&self) -> bool {
        self.io_state.first_read_at.get().is_some()
    }

    /// Whether nothing has been read from the connection yet.
    pub(super) fn is_unused(&self) -> bool {
        self.io_state.last_read_at.get().is_none()
    }
}
