//! A TCP stream that records when bytes are read and written, which the HTTP library above does not report.

pub use super::io_state::IoState;
pub use super::socket_probe::SocketProbe;

use super::blocked_write::BlockedWrite;
use super::socket_probe::peek;
use crate::transport::message_framing::MessageFraming;
use crate::transport::stream::{self, is_transient};
use socket2::SockRef;
use std::cell::RefCell;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};
use weldworks_control::execution::WriteProgress;

/// Maximum time for which the peer's bytes are read and dropped after this side has shut down its sending. The close of a socket with
/// unread bytes resets the connection, which may discard the last response before the peer has read it.
const MAX_LINGER_AFTER_SHUTDOWN: Duration = Duration::from_secs(1);

/// Size of the reads that drop the peer's bytes after a shutdown, in bytes.
const LINGER_READ_BYTES: usize = 4 << 10;

/// Maximum number of further reads in one poll while all bytes read so far are dropped as chunk extensions.
const MAX_FURTHER_READS: usize = 4;

/// A TCP stream that records its I/O in an [`IoState`].
#[derive(Debug)]
pub struct InstrumentedStream {
    stream: Rc<TcpStream>,
    io_state: Rc<IoState>,
    /// Tracks the framing of the messages that are read.
    read_framing: Option<Rc<RefCell<MessageFraming>>>,
    /// Tracks the framing of the requests that are written, to find the end of each request.
    write_framing: Option<RefCell<MessageFraming>>,
    linger_timer: Option<Pin<Box<Sleep>>>,
    /// Number of bytes that the kernel has accepted over the whole life of the connection.
    sent_bytes: u64,
    /// The wait for room in the kernel's send buffer; `None` while the poller reports room.
    blocked_write: Option<BlockedWrite>,
}

impl InstrumentedStream {
    /// Wraps a TCP stream; returns the instrumented stream and the I/O state that it updates.
    pub fn new(stream: TcpStream) -> (InstrumentedStream, Rc<IoState>) {
        let io_state = Rc::<IoState>::default();
        let instrumented = InstrumentedStream {
            stream: Rc::new(stream),
            io_state: io_state.clone(),
            read_framing: None,
            write_framing: None,
            linger_timer: None,
            sent_bytes: 0,
            blocked_write: None,
        };
        (instrumented, io_state)
    }

    /// Creates a probe that checks the connection from outside the task that reads it.
    pub fn probe(&self) -> SocketProbe {
        SocketProbe::new(self.stream.clone())
    }

    /// Makes the stream track the messages that are read; returns the stream and the framing that it updates.
    pub fn with_framing(self, framing: MessageFraming) -> (InstrumentedStream, Rc<RefCell<MessageFraming>>) {
        let framing = Rc::new(RefCell::new(framing));
        (InstrumentedStream { read_framing: Some(framing.clone()), ..self }, framing)
    }

    /// Makes the stream track the requests that are written.
    pub fn tracking_requests(self) -> InstrumentedStream {
        InstrumentedStream { write_framing: Some(RefCell::default()), ..self }
    }

    /// Whether the kernel has input for this stream, including the end of the stream. The runtime knows only of input that had arrived
    /// when it last polled, which may be too long ago for a connection that is about to be reused.
    fn has_input(&self) -> bool {
        let peeked = peek(&self.stream);
        if matches!(peeked, Ok(bytes) if bytes > 0) {
            self.io_state.last_read_at.set(Some(Instant::now()));
        }
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes to the stream by calling `write`, which writes `first_piece` and any further pieces. While `write` waits for the poller,
    /// `first_piece` is retried at intervals.
    ///
    /// # Errors
    /// `TimedOut` if the request's write deadline has passed, or the peer has stalled.
    fn poll_write_before_deadline(
        &mut self,
        cx: &mut Context<'_>,
        first_piece: &[u8],
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let check_deadline = || {
            if self.io_state.is_past_write_deadline() {
                return Err(io::Error::from(io::ErrorKind::TimedOut));
            }
            Ok(())
        };
        let mut written = stream::poll_write(&self.stream, cx, |stream| {
            check_deadline()?;
            write(stream)
        });
        if written.is_ready() {
            self.blocked_write = None;
        } else {
            let blocked_write = self.blocked_write.get_or_insert_with(BlockedWrite::new);
            written = blocked_write.poll_retry(cx, self.sent_bytes, || {
                check_deadline()?;
                SockRef::from(&*self.stream).send(first_piece)
            });
        }
        if let Poll::Ready(Ok(accepted)) = written {
            self.sent_bytes += accepted as u64;
        }
        // A write that the kernel accepted in part is followed at once by a write of the rest.
        self.io_state.is_write_blocked.set(written.is_pending());
        written
    }

    /// Records that the first `written` bytes of `pieces` have been written to the kernel.
    fn record_write<'a>(&self, pieces: impl Iterator<Item = &'a [u8]>, mut written: usize) {
        if written == 0 {
            return;
        }
        let Some(framing) = &self.write_framing else { return };
        let written_before = self.io_state.request_bytes_written.get();
        self.io_state.request_bytes_written.set(written_before + written as u64);
        let mut framing = framing.borrow_mut();
        let messages_before = framing.complete_messages();
        for piece in pieces {
            let written_part = piece.get(..written).unwrap_or(piece);
            framing.scan(written_part);
            written -= written_part.len();
        }
        // A request whose framing can't be tracked may be complete, so it counts as complete.
        if framing.complete_messages().is_none() || framing.complete_messages() > messages_before {
            self.io_state.write_progress.set(WriteProgress::Complete);
            self.io_state.written_at.set(Some(Instant::now()));
        } else if self.io_state.write_progress.get() == WriteProgress::Nothing {
            self.io_state.write_progress.set(WriteProgress::Partial);
        }
    }

    /// Reads from the socket and counts the bytes, including those that are stripped later.
    fn poll_read_counted(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = stream::poll_read(&self.stream, cx, buffer);
        let bytes = (buffer.filled().len() - before) as u64;
        self.io_state.bytes_read.set(self.io_state.bytes_read.get() + bytes);
        read
    }

    fn record_read(&self, bytes: usize) {
        let now = Instant::now();
        self.io_state.arrival.record_bytes(now, bytes as u64);
        self.io_state.first_read_at.set(self.io_state.first_read_at.get().or(Some(now)));
        self.io_state.last_read_at.set(Some(now));
    }
}

impl AsyncRead for InstrumentedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut further_reads = MAX_FURTHER_READS;
        self.io_state.arrival.record_read_start(Instant::now());
        let mut read = self.poll_read_counted(cx, buffer);
        while let Some(framing) = self.read_framing.as_ref().filter(|_| buffer.filled().len() > before) {
            let retained = framing.borrow_mut().strip_chunk_extensions(&mut buffer.filled_mut()[before..]);
            buffer.set_filled(before + retained);
            if retained > 0 {
                break;
            }
            if further_reads == 0 {
                cx.waker().wake_by_ref(); // continues reading after other tasks have run
                return Poll::Pending;
            }
            further_reads -= 1;
            // Another read is made, since returning without any bytes would mean the end of the stream.
            read = self.poll_read_counted(cx, buffer);
        }
        if read.is_pending() && self.io_state.is_idle.get() && self.has_input() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if read.is_pending() {
            self.io_state.arrival.record_empty(Instant::now());
        }
        if buffer.filled().len() > before {
            self.record_read(buffer.filled().len() - before);
        }
        read
    }
}

impl AsyncWrite for InstrumentedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(self.poll_write_before_deadline(cx, data, |stream| stream.try_write(data)))?;
        self.record_write([data].into_iter(), written);
        Poll::Ready(Ok(written))
    }

    /// Does nothing: each write is passed to the kernel at once, without a buffer to flush.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Shuts down the sending side. If bytes of the peer are unread, or the rest of a message is still to come, reads and drops the
    /// peer's bytes for up to [`MAX_LINGER_AFTER_SHUTDOWN`] before the connection is closed.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_timer.is_none() {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            let is_inside_message =
                self.read_framing.as_ref().is_some_and(|framing| framing.borrow().is_inside_message());
            if !is_inside_message && !self.probe().has_unread() {
                return Poll::Ready(Ok(()));
            }
        }
        let mut dropped = [0; LINGER_READ_BYTES];
        let stream = self.stream.clone();
        let timer = self.linger_timer.get_or_insert_with(|| Box::pin(sleep(MAX_LINGER_AFTER_SHUTDOWN)));
        while timer.as_mut().poll(cx).is_pending() {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read(&mut dropped) {
                Ok(0) => break,
                Err(error) if !is_transient(&error) => break,
                _ => {}
            }
        }
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first_piece: &[u8] = data.iter().find(|piece| !piece.is_empty()).map_or(&[], |piece| piece);
        let written = ready!(
            self.poll_write_before_deadline(cx, first_piece, |stream| stream.try_write_vectored(data))
        )?;
        self.record_write(data.iter().map(|piece| &**piece), written);
        Poll::Ready(Ok(written))
    }
}

#[cfg(test)]
mod tests;
