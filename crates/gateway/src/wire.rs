//! A TCP stream that tells what has passed over it: HTTP is another's work, but which bytes came when is not told.

use crate::framing::Framing;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What has passed since the marks were last cleared.
#[derive(Debug, Default)]
pub struct Marks {
    /// When the first byte was read.
    pub read_since: Cell<Option<Instant>>,
    /// When anything was last read or seen waiting, cleared or not.
    pub last_read: Cell<Option<Instant>>,
    /// Whether anything was written.
    pub written: Cell<bool>,
    /// Whether all that was written since then has gone to the kernel.
    pub flushed: Cell<bool>,
    /// Whether nothing may come now: anything that does is an error.
    pub idle: Cell<bool>,
}

/// A stream with its marks.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    marks: Rc<Marks>,
    framing: Option<Rc<RefCell<Framing>>>,
}

impl Wire {
    /// The stream, and the marks that it leaves.
    pub fn new(stream: TcpStream) -> (Wire, Rc<Marks>) {
        let marks = Rc::<Marks>::default();
        (Wire { stream, marks: marks.clone(), framing: None }, marks)
    }

    /// The same, and has the messages on it followed.
    pub fn followed(self, framing: Framing) -> (Wire, Rc<RefCell<Framing>>) {
        let framing = Rc::new(RefCell::new(framing));
        (Wire { framing: Some(framing.clone()), ..self }, framing)
    }

    /// Whether the kernel holds anything to read, be it the end. The runtime knows only what was there when it last
    /// looked, and on a connection that is about to be used again that may be too long ago.
    fn has_news(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        if matches!(peeked, Ok(n) if n > 0) {
            self.marks.last_read.set(Some(Instant::now()));
        }
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn note(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(n)) if n > 0) {
            self.marks.written.set(true);
        }
        written
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, mut spare) = (buffer.filled().len(), 4);
        let mut read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        while let Some(framing) = self.framing.as_ref().filter(|_| buffer.filled().len() > before) {
            let kept = framing.borrow_mut().take(&mut buffer.filled_mut()[before..]);
            buffer.set_filled(before + kept);
            if kept > 0 {
                break;
            }
            if spare == 0 {
                cx.waker().wake_by_ref(); // others have their turn
                return Poll::Pending;
            }
            spare -= 1;
            read = Pin::new(&mut self.stream).poll_read(cx, buffer); // nothing would be the end
        }
        if read.is_pending() && self.marks.idle.get() && self.has_news() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if buffer.filled().len() > before {
            let now = Some(Instant::now());
            self.marks.read_since.set(self.marks.read_since.get().or(now));
            self.marks.last_read.set(now);
        }
        read
    }
}

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, data);
        self.note(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) && self.marks.written.get() {
            self.marks.flushed.set(true);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        self.note(written)
    }
}
