//! A TCP stream that stays ready for reads and writes until the kernel returns "would block".
//!
//! The poller reports each change of readiness once. The runtime's own stream clears a socket's readiness as soon as a call transfers
//! fewer bytes than requested, which saves a call that would only return "would block". Linux does not guarantee that the next call
//! would block: a read ends early at out-of-band data, and both reads and writes end early at a signal. The remaining bytes would then
//! wait for a change of readiness that never comes, and the connection would hang.
//! This stream clears readiness only after "would block", and repeats an interrupted call.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Reads available bytes into the buffer; reads no bytes if the peer has shut down its sending side.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buffer) {
            Err(error) if is_transient(&error) => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// Writes to the stream by calling `write`; returns how many bytes the kernel accepted.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(error) if is_transient(&error) => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Whether a failed call is to be repeated: at once if it was interrupted, or when the socket is ready again if it would have blocked.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// A TCP stream that clears readiness only after "would block", with the runtime's I/O traits.
#[derive(Debug)]
pub struct Stream(TcpStream);

impl Stream {
    /// Wraps a connected TCP stream.
    pub fn new(stream: TcpStream) -> Stream {
        Stream(stream)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, |stream| stream.try_write(data))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, |stream| stream.try_write_vectored(data))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Does nothing: each write is passed to the kernel at once, without a buffer to flush.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
