//! Looks at a socket without reading from it: whether its peer has closed it, and whether bytes wait.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// How many unread bytes may hide the peer's close: with so many, more may be on their way than the kernel takes here, and the close
/// behind them. A quarter of the least receive buffer. A client that sends one request at a time has none unread.
const UNREAD_BYTES_THAT_MAY_HIDE_CLOSE: u64 = 16 << 10;

/// A view of a connection for others than the one that reads it.
#[derive(Clone, Debug)]
pub struct SocketProbe(Rc<TcpStream>);

impl SocketProbe {
    pub(super) fn new(stream: Rc<TcpStream>) -> SocketProbe {
        SocketProbe(stream)
    }

    /// Waits until the peer has closed its sending side or the connection is broken, also where bytes before that are unread: the one
    /// that reads them may have no use for them yet.
    ///
    /// # Cancellation safety
    /// Cancel safe: nothing is lost.
    pub async fn closed(&self) {
        // A stream becomes ready in this way only by its end.
        while let Ok(ready) = self.0.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
            clear_readiness(&self.0, Interest::PRIORITY);
        }
    }

    /// Whether bytes wait to be read, as far as the kernel knows now.
    pub fn has_unread(&self) -> bool {
        matches!(peek(&self.0), Ok(bytes) if bytes > 0)
    }

    /// Whether the peer has closed its sending side or the connection is broken, with nothing before that left to be read.
    pub fn is_closed(&self) -> bool {
        match peek(&self.0) {
            Ok(unread) => unread == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether so much is unread that the peer's close may wait behind it, unseen.
    pub fn may_hide_close(&self) -> bool {
        rustix::io::ioctl_fionread(&*self.0).is_ok_and(|unread| unread >= UNREAD_BYTES_THAT_MAY_HIDE_CLOSE)
    }
}

/// Looks for a byte to be read; 0 at the end of the stream.
pub(super) fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

/// Has the runtime forget that the stream was ready, so that it waits for the next change.
fn clear_readiness(stream: &TcpStream, interest: Interest) {
    let _ = stream.try_io(interest, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
}
