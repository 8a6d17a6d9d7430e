//! What the server knows of one connection from a client.

use crate::transport::descriptor_budget::DescriptorPermit;
use crate::transport::instrumented_stream::{IoState, SocketProbe};
use crate::transport::message_framing::MessageFraming;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Data that is read within this time after the accept may have waited in the kernel together with its connection.
const READ_WITH_ACCEPT_WINDOW: Duration = Duration::from_millis(50);

/// A connection from a client, as the rest of the server sees it.
#[derive(Debug)]
pub(super) struct ClientConnection {
    pub(super) probe: SocketProbe,
    pub(super) accepted_at: Instant,
    /// The earliest moment at which it may have entered the accept queue, if it may have waited there.
    pub(super) queued_since: Option<Instant>,
    pub(super) permit: RefCell<DescriptorPermit>,
    /// Since when no request is in flight on it; none while one is.
    pub(super) idle_since: Cell<Option<Instant>>,
    pub(super) request_count: Cell<u64>,
    /// Whether it is kept alive after a response and has not begun another request.
    pub(super) is_keep_alive_idle: Cell<bool>,
    /// Whether a close has been decided.
    pub(super) is_closing: Cell<bool>,
    /// Asks for a graceful close: a request that is there is still answered.
    pub(super) close_requested: Notify,
    /// Asks for an immediate close if no request has arrived completely.
    pub(super) abort_requested: Notify,
    pub(super) io_state: Rc<IoState>,
    pub(super) framing: Rc<RefCell<MessageFraming>>,
}

impl ClientConnection {
    /// The earliest moment at which the data that was last read may have arrived, if it may have waited in the accept queue with its
    /// connection. The poller may report the data of a new connection a turn later than the connection, hence the window.
    pub(super) fn data_queued_since(&self) -> Option<Instant> {
        let read_with_accept = |read_at: Instant| read_at <= self.accepted_at + READ_WITH_ACCEPT_WINDOW;
        self.queued_since.filter(|_| self.io_state.last_read_at.get().is_some_and(read_with_accept))
    }

    /// Starts the time of the next head: a request has arrived completely, so whatever was read beyond it belongs to the next. A head
    /// that has begun already arrived with the last read at the latest.
    pub(super) fn await_next_head(&self) {
        let has_begun = self.framing.borrow().is_inside();
        self.io_state.first_read_at.set(self.io_state.last_read_at.get().filter(|_| has_begun));
    }

    /// Whether another complete request has been read behind the one in flight. It must be answered too, so the connection must not
    /// end with the current response.
    pub(super) fn has_pipelined_request(&self) -> bool {
        self.framing.borrow().has_message_after(self.request_count.get())
    }

    /// Asks the connection's task to close it gracefully.
    pub(super) fn request_close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
    }

    /// Asks the connection's task to drop it unless a request has arrived completely.
    pub(super) fn request_abort(&self) {
        self.is_closing.set(true);
        self.abort_requested.notify_one();
    }

    /// Whether no request has been in flight on it for at least this long.
    pub(super) fn is_idle_for(&self, limit: Duration) -> bool {
        self.idle_since.get().is_some_and(|since| since.elapsed() >= limit)
    }

    /// Whether it is idle and no close has been decided.
    pub(super) fn is_open_and_idle(&self) -> bool {
        self.idle_since.get().is_some() && !self.is_closing.get()
    }

    /// Whether a request head has begun to arrive, or the first one is awaited.
    pub(super) fn awaits_head(&self) -> bool {
        self.io_state.first_read_at.get().is_some()
    }

    /// Whether nothing has been read from it yet.
    pub(super) fn is_unused(&self) -> bool {
        self.io_state.last_read_at.get().is_none()
    }
}
