//! Checks a socket without consuming its input: whether the peer has closed the connection, and whether bytes wait to be read.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Number of unread bytes that may hide the peer's close: with this many unread, the peer may have sent more than fits into the receive
/// buffer, and the close only arrives after those bytes. This is a quarter of the smallest receive buffer.
/// A client that sends one request at a time leaves no bytes unread.
const UNREAD_BYTES_THAT_MAY_HIDE_CLOSE: u64 = 16 << 10;

/// Checks the state of a connection from outside the task that reads it.
#[derive(Clone, Debug)]
pub struct SocketProbe(Rc<TcpStream>);

impl SocketProbe {
    pub(super) fn new(stream: Rc<TcpStream>) -> SocketProbe {
        SocketProbe(stream)
    }

    /// Waits until the peer has closed its sending side or the connection is broken. Returns also while earlier bytes are unread, since
    /// the task that reads the connection may not need those bytes yet.
    ///
    /// # Cancellation safety
    /// Cancel safe: no input is lost.
    pub async fn closed(&self) {
        // A stream becomes ready for `PRIORITY` when it ends, or when out-of-band data arrives, which is ignored here.
        while let Ok(ready) = self.0.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
            clear_readiness(&self.0, Interest::PRIORITY);
        }
    }

    /// Whether bytes wait to be read in the kernel's receive buffer.
    pub fn has_unread(&self) -> bool {
        matches!(peek(&self.0), Ok(bytes) if bytes > 0)
    }

    /// Whether the peer has closed its sending side or the connection is broken, and no earlier bytes are left to be read.
    pub fn is_closed(&self) -> bool {
        match peek(&self.0) {
            Ok(unread) => unread == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether so many bytes are unread that the peer may have closed the connection without the close having arrived.
    pub fn may_hide_close(&self) -> bool {
        self.unread_bytes().is_some_and(|unread| unread >= UNREAD_BYTES_THAT_MAY_HIDE_CLOSE)
    }

    /// Number of bytes that wait in the kernel's receive buffer; `None` where the system does not tell.
    pub fn unread_bytes(&self) -> Option<u64> {
        rustix::io::ioctl_fionread(&*self.0).ok()
    }

    /// Size of the kernel's receive buffer in bytes; `None` where the system does not tell.
    pub fn receive_buffer_bytes(&self) -> Option<u64> {
        SockRef::from(&*self.0).recv_buffer_size().ok().map(|bytes| bytes as u64)
    }
}

/// Peeks at the next byte; returns the number of bytes peeked, which is 0 at the end of the stream.
pub(super) fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

/// Clears the readiness that the runtime has recorded for the stream, so that the next wait lasts until the readiness changes.
fn clear_readiness(stream: &TcpStream, interest: Interest) {
    let _ = stream.try_io(interest, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
}
