//! Tracks whether a request's client still waits for an answer, which is checked before each step that can't be undone.

use crate::transport::socket_probe::SocketProbe;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the read of its request for which a client counts as connected without a check of its socket. No attempt may begin more
/// than 0.1 s after its client has disconnected; this time is half of that, as is `MAX_UNREAD_BEFORE_CLIENT_CHECK` for streamed bodies.
const ASSUMED_CONNECTED_AFTER_READ: Duration = Duration::from_millis(50);

/// The client of one request.
#[derive(Debug)]
pub struct ClientLiveness {
    is_waiting: Cell<bool>,
    /// When the client's request was read.
    request_read_at: Instant,
    /// A probe of the client's connection; `None` only in tests, for a client without a connection.
    probe: Option<SocketProbe>,
}

impl ClientLiveness {
    /// Creates the state of a client that waits for an answer on the probed connection.
    pub fn new(probe: SocketProbe) -> ClientLiveness {
        ClientLiveness { is_waiting: Cell::new(true), request_read_at: Instant::now(), probe: Some(probe) }
    }

    /// Creates the state of a client without a connection, which waits for an answer until [`ClientLiveness::stop_waiting`] is called.
    #[cfg(test)]
    pub fn without_connection() -> ClientLiveness {
        ClientLiveness { is_waiting: Cell::new(true), request_read_at: Instant::now(), probe: None }
    }

    /// Records that the client no longer waits for an answer; returns whether it was waiting until now.
    pub fn stop_waiting(&self) -> bool {
        self.is_waiting.replace(false)
    }

    /// Whether the client waits for an answer, by what [`ClientLiveness::stop_waiting`] has recorded and without a check of its socket.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting.get()
    }

    /// Whether an attempt may begin: the client waits for an answer, and its close would have been noticed if it had arrived. With many
    /// unread bytes on the connection, the close may still be held up in the send buffer of the client's machine.
    pub fn may_begin_attempt(&self) -> bool {
        let may_hide_close = || self.probe.as_ref().is_some_and(SocketProbe::may_hide_close);
        let is_recent = || self.request_read_at.elapsed() < ASSUMED_CONNECTED_AFTER_READ;
        self.is_waiting() && (is_recent() || !may_hide_close())
    }

    /// Whether the client is still connected, by a check of its socket; to be called once all bytes of its request have been read.
    pub fn is_connected(&self) -> bool {
        self.is_waiting() && !self.probe.as_ref().is_some_and(SocketProbe::is_closed)
    }
}
