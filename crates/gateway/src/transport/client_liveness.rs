//! Whether a request's client still waits for an answer, checked before each step that can't be taken back.

use crate::transport::socket_probe::SocketProbe;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long after its request was read a client counts as connected without a look at its socket. No attempt may begin more than
/// 0.1 s after its client has disconnected; this is half of that, as is `MAX_UNREAD_BEFORE_CLIENT_CHECK` for streamed bodies.
const ASSUMED_CONNECTED_AFTER_READ: Duration = Duration::from_millis(50);

/// The client of one request.
#[derive(Debug)]
pub struct ClientLiveness {
    is_wanted: Cell<bool>,
    /// When its request was read.
    request_read_at: Instant,
    /// Its connection, where there is one to look at.
    probe: Option<SocketProbe>,
}

impl ClientLiveness {
    /// The client behind this connection, who waits for an answer.
    pub fn new(probe: SocketProbe) -> ClientLiveness {
        ClientLiveness { is_wanted: Cell::new(true), request_read_at: Instant::now(), probe: Some(probe) }
    }

    /// A client without a connection, who waits until [`ClientLiveness::end`].
    #[cfg(test)]
    pub fn unobserved() -> ClientLiveness {
        ClientLiveness { is_wanted: Cell::new(true), request_read_at: Instant::now(), probe: None }
    }

    /// Notes that no answer is wanted any more; true where one was until now.
    pub fn end(&self) -> bool {
        self.is_wanted.replace(false)
    }

    /// Whether an answer is wanted, as far as anybody has noted.
    pub fn is_wanted(&self) -> bool {
        self.is_wanted.get()
    }

    /// Whether an attempt may begin: an answer is wanted, and the client's close would have been seen if it had arrived. With many
    /// bytes unread, the close may still wait on the client's own machine.
    pub fn may_begin(&self) -> bool {
        let may_hide_close = || self.probe.as_ref().is_some_and(SocketProbe::may_hide_close);
        let is_recent = || self.request_read_at.elapsed() < ASSUMED_CONNECTED_AFTER_READ;
        self.is_wanted() && (is_recent() || !may_hide_close())
    }

    /// Whether the client is still connected, once all bytes of its request have been read.
    pub fn is_connected(&self) -> bool {
        self.is_wanted() && !self.probe.as_ref().is_some_and(SocketProbe::is_closed)
    }
}
