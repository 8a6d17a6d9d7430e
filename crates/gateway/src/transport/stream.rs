//! A TCP stream that never takes a short read or write for the end of what the kernel has or takes.
//!
//! The poller tells of a change once. The runtime's own stream forgets that a socket is ready as soon as a call moves less than it
//! was asked to, which saves a call that would only answer "would block". Linux promises no such thing: a read ends early at a byte
//! sent out of band, either call at a signal. What is left would then wait for a change that never comes. Here readiness is
//! forgotten only when the kernel says "would block", and a call that was interrupted is made again.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Reads what there is into the buffer; nothing where the other side has ended its sending.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buffer) {
            Err(error) if is_transient(&error) => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// Has `put` write to the stream, and gives how much the kernel took.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    put: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match put(stream) {
            Err(error) if is_transient(&error) => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Whether the call is to be made again: at once where it was interrupted, else once the socket is ready again.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// The stream, for what reads and writes through the runtime's traits.
#[derive(Debug)]
pub struct Stream(TcpStream);

impl Stream {
    /// This stream.
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

    /// What is written goes to the kernel at once.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
