//! How far a client's request has arrived, from the bytes on its connection, whether the HTTP library has taken them or not.

use super::instrumented_stream::{IoState, SocketProbe};
use super::message_framing::MessageFraming;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;
use weldworks_control::last_byte_bound::ArrivalSample;

/// Most unread bytes with which the receive window counts as open, whatever the size of the receive buffer.
const MAX_UNREAD_WITH_OPEN_WINDOW: u64 = 16 << 10;
/// Fraction of the receive buffer that may be unread while the receive window counts as open: the kernel sets half of the
/// buffer's size aside for its own use.
const RECEIVE_BUFFER_DIVISOR: u64 = 8;

/// Observes the arrival of one request on its client's connection.
#[derive(Debug)]
pub struct RequestArrival {
    /// A probe of the client's connection.
    pub probe: SocketProbe,
    /// The I/O state of the client's connection.
    pub io_state: Rc<IoState>,
    /// The framing of the requests that were read from the connection.
    pub framing: Rc<RefCell<MessageFraming>>,
    /// Number of the request on its connection, from 1.
    pub request_number: u64,
}

impl RequestArrival {
    /// Whether the request's last byte has been read from the connection.
    pub fn is_read_completely(&self) -> bool {
        let framing = self.framing.borrow();
        framing.complete_messages().is_some_and(|messages| messages >= self.request_number)
    }

    /// A sample of the arrival at `now`; `None` where the last byte was read, or where the framing can't be tracked.
    pub fn sample(&self, now: Instant) -> Option<ArrivalSample> {
        let complete_messages = self.framing.borrow().complete_messages()?;
        if complete_messages >= self.request_number {
            return None;
        }
        let unread_bytes = self.unread_bytes();
        let receive_buffer_bytes = self.probe.receive_buffer_bytes().unwrap_or(u64::MAX);
        let max_unread = (receive_buffer_bytes / RECEIVE_BUFFER_DIVISOR).min(MAX_UNREAD_WITH_OPEN_WINDOW);
        Some(ArrivalSample {
            arrived_bytes: self.io_state.bytes_read.get() + unread_bytes,
            unread_bytes,
            is_window_open: unread_bytes < max_unread && !self.io_state.arrival.peer_may_hold_bytes(now),
        })
    }

    /// Number of bytes that have arrived and were not read. Where the system only tells whether there are any, it is enough of them to
    /// close the receive window.
    fn unread_bytes(&self) -> u64 {
        let unread_if_any = || if self.probe.has_unread() { MAX_UNREAD_WITH_OPEN_WINDOW } else { 0 };
        self.probe.unread_bytes().unwrap_or_else(unread_if_any)
    }
}
