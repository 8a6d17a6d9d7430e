//! A TCP stream that reads and writes on until the kernel says "would block".
//!
//! The poller reports a change once. The runtime's own stream clears a socket's readiness as soon as a call moves fewer bytes than it
//! was asked to, which saves a call that would only return "would block". Linux does not promise that: a read ends early at a byte
//! sent out of band, and either call at a signal. The bytes left would then wait for a change that never comes, and the connection
//! would hang. Here readiness is cleared only by "would block", and an interrupted call is made again.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Reads available bytes into the buffer; none where the peer has shut its sending side down.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buffer) {
            Err(error) if is_transient(&error) => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// Writes to the stream with `write`; returns how many bytes the kernel took.
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

/// Whether the call is to be made again: at once where it was interrupted, or when the socket is ready again.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Such a stream behind the runtime's I/O traits.
#[derive(Debug)]
pub struct Stream(TcpStream);

impl Stream {
    /// Wraps a connected stream.
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

    /// Does nothing: each write goes to the kernel at once.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
