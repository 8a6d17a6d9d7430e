//! A TCP stream that tells what has passed over it: HTTP is another's work, but which bytes came when is not told.

use crate::transport::message_framing::MessageFraming;
use crate::transport::stream::{self, is_transient};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};
use weldworks_control::execution::WriteProgress;

/// What the other side still writes when this one has said its last is read, and let go, for so long: a close with bytes unread is a
/// reset, and that may take the last answer with it before it is read.
const LINGER: Duration = Duration::from_secs(1);
/// With so many bytes unread behind a request, more may be on its way than the kernel takes here, and the end of the connection
/// behind that: a quarter of the least that it takes at first. Who sends one request at a time has none.
const MAY_HIDE_AN_END: u64 = 16 << 10;
/// It is read in pieces of this size.
const LET_GO: usize = 4 << 10;

/// What has passed since the marks were last cleared.
#[derive(Debug, Default)]
pub struct IoTimestamps {
    /// When the first byte was read.
    pub read_since: Cell<Option<Instant>>,
    /// When anything was last read or seen waiting, cleared or not.
    pub last_read: Cell<Option<Instant>>,
    /// When there was last nothing to be read.
    empty_at: Cell<Option<Instant>>,
    /// What was last read has come after this moment: there was nothing to be read then.
    pub came_after: Cell<Option<Instant>>,
    /// How much of a request has gone to the kernel, where what is sent is followed.
    pub written: Cell<WriteProgress>,
    /// When its last byte went.
    pub written_at: Cell<Option<Instant>>,
    /// From this moment on no byte of it is written any more, where it is not whole by then.
    pub write_by: Cell<Option<Instant>>,
    /// Whether nothing may come now: anything that does is an error.
    pub idle: Cell<bool>,
}

impl IoTimestamps {
    /// A request is about to be written, whole by then or not at all.
    pub fn begin(&self, write_by: Option<Instant>) {
        self.written.set(WriteProgress::Nothing);
        self.written_at.set(None);
        self.write_by.set(write_by);
        self.read_since.set(None);
    }

    /// Whether it is too late to write any more of the request.
    pub fn is_late(&self) -> bool {
        self.written.get() != WriteProgress::Complete
            && self.write_by.get().is_some_and(|by| Instant::now() >= by)
    }
}

/// What is to be seen of a connection by others than who reads it.
#[derive(Clone, Debug)]
pub struct SocketProbe(Rc<TcpStream>);

impl SocketProbe {
    /// Waits until the other side has ended its sending, or the connection is broken, also where bytes before that have not been
    /// read: who reads it may have no use for them yet. Cancel safe.
    pub async fn closed(&self) {
        // A stream is never ready in this way but for its end.
        while let Ok(ready) = self.0.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
            forget(&self.0, Interest::PRIORITY);
        }
    }

    /// Whether bytes wait to be read, as far as the kernel knows now.
    pub fn has_unread(&self) -> bool {
        matches!(peek(&self.0), Ok(n) if n > 0)
    }

    /// Whether the other side has ended its sending, or the connection is broken, with nothing before that left to be read.
    pub fn has_ended(&self) -> bool {
        match peek(&self.0) {
            Ok(unread) => unread == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether so much is unread that the other side's end may stand behind it, unseen.
    pub fn may_hide_an_end(&self) -> bool {
        rustix::io::ioctl_fionread(&*self.0).is_ok_and(|unread| unread >= MAY_HIDE_AN_END)
    }
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

/// Has the runtime forget that the stream was ready: its next change tells.
fn forget(stream: &TcpStream, how: Interest) {
    let _ = stream.try_io(how, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
}

/// A stream with its marks.
#[derive(Debug)]
pub struct InstrumentedStream {
    stream: Rc<TcpStream>,
    marks: Rc<IoTimestamps>,
    framing: Option<Rc<RefCell<MessageFraming>>>,
    /// Where the requests that are sent on it end.
    sent: Option<RefCell<MessageFraming>>,
    lingering: Option<Pin<Box<Sleep>>>,
}

impl InstrumentedStream {
    /// The stream, and the marks that it leaves.
    pub fn new(stream: TcpStream) -> (InstrumentedStream, Rc<IoTimestamps>) {
        let marks = Rc::<IoTimestamps>::default();
        let (framing, sent, lingering) = Default::default();
        (
            InstrumentedStream { stream: Rc::new(stream), marks: marks.clone(), framing, sent, lingering },
            marks,
        )
    }

    /// What others may see of it.
    pub fn probe(&self) -> SocketProbe {
        SocketProbe(self.stream.clone())
    }

    /// The same, and has the messages on it followed.
    pub fn with_framing(self, framing: MessageFraming) -> (InstrumentedStream, Rc<RefCell<MessageFraming>>) {
        let framing = Rc::new(RefCell::new(framing));
        (InstrumentedStream { framing: Some(framing.clone()), ..self }, framing)
    }

    /// The same, and has the requests that are sent on it followed.
    pub fn tracking_requests(self) -> InstrumentedStream {
        InstrumentedStream { sent: Some(RefCell::default()), ..self }
    }

    /// Whether the kernel holds anything to read, be it the end. The runtime knows only what was there when it last
    /// looked, and on a connection that is about to be used again that may be too long ago.
    fn has_news(&self) -> bool {
        let peeked = peek(&self.stream);
        if matches!(peeked, Ok(n) if n > 0) {
            self.marks.last_read.set(Some(Instant::now()));
        }
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Has `put` write to the stream, where what is written may still be.
    fn poll_put(
        &self,
        cx: &mut Context<'_>,
        put: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        stream::poll_write(&self.stream, cx, |stream| {
            if self.marks.is_late() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            put(stream)
        })
    }

    /// Notes that the first `written` of these bytes have gone.
    fn note<'a>(&self, pieces: impl Iterator<Item = &'a [u8]>, mut written: usize) {
        let Some(mut sent) = self.sent.as_ref().filter(|_| written > 0).map(RefCell::borrow_mut) else {
            return;
        };
        let before = sent.messages();
        for piece in pieces {
            let gone = piece.get(..written).unwrap_or(piece);
            sent.follow(gone);
            written -= gone.len();
        }
        // What can't be followed may be whole.
        if sent.messages().is_none() || sent.messages() > before {
            self.marks.written.set(WriteProgress::Complete);
            self.marks.written_at.set(Some(Instant::now()));
        } else if self.marks.written.get() == WriteProgress::Nothing {
            self.marks.written.set(WriteProgress::Partial);
        }
    }
}

impl AsyncRead for InstrumentedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, mut spare) = (buffer.filled().len(), 4);
        let mut read = stream::poll_read(&self.stream, cx, buffer);
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
            read = stream::poll_read(&self.stream, cx, buffer); // nothing would be the end
        }
        if read.is_pending() && self.marks.idle.get() && self.has_news() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if read.is_pending() {
            self.marks.empty_at.set(Some(Instant::now()));
        }
        if buffer.filled().len() > before {
            let now = Some(Instant::now());
            self.marks.came_after.set(self.marks.empty_at.get());
            self.marks.read_since.set(self.marks.read_since.get().or(now));
            self.marks.last_read.set(now);
        }
        read
    }
}

impl AsyncWrite for InstrumentedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let put = ready!(self.poll_put(cx, |stream| stream.try_write(data)))?;
        self.note([data].into_iter(), put);
        Poll::Ready(Ok(put))
    }

    /// What is written goes to the kernel at once.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Ends the sending. Where the other side is known to have more to say, that is let go for a while before the close.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.lingering.is_none() {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            if !self.probe().has_unread() {
                return Poll::Ready(Ok(()));
            }
        }
        let mut space = [0; LET_GO];
        let stream = self.stream.clone();
        let over = self.lingering.get_or_insert_with(|| Box::pin(sleep(LINGER)));
        while over.as_mut().poll(cx).is_pending() {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read(&mut space) {
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
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let put = ready!(self.poll_put(cx, |stream| stream.try_write_vectored(data)))?;
        self.note(data.iter().map(|piece| &**piece), put);
        Poll::Ready(Ok(put))
    }
}

#[cfg(test)]
mod tests;
