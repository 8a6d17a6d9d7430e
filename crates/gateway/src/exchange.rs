//! What passes through: a request on its way to a host, and its answer on the way back.
//!
//! Bodies up to [`MAX_BODY`](crate::limits::MAX_BODY) are held whole. Larger ones pass through in pieces, one at a time, so that
//! the slower side sets the pace. Neither the listeners nor what sends on need to know which it is: both have a body to poll.

use crate::figures::{Ending, Taken};
use crate::limits::MAX_LARGE;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant, Sleep};

/// A body comes at this rate at least, in bytes a second, once this time has passed: half of what slow clients are owed.
const RATE: f64 = 32e3;
/// See [`RATE`].
const SPARE: Duration = Duration::from_millis(1500);

/// By when a body must have brought so much.
pub fn due(since: Instant, brought: u64) -> Instant {
    since + SPARE + Duration::from_secs_f64(brought as f64 / RATE)
}

/// A client's request, as it goes on to a host.
#[derive(Debug)]
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Payload,
}

/// A request's body.
#[derive(Debug)]
pub enum Payload {
    /// Held whole.
    Whole(Bytes),
    /// Still coming, and not held.
    Coming(Rc<Upload>),
}

impl Default for Payload {
    fn default() -> Payload {
        Payload::Whole(Bytes::new())
    }
}

/// How a body that is not held stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Passage {
    /// Nothing of it has gone to a host.
    #[default]
    Intact,
    /// Some of it has.
    Spent,
    /// All of it has.
    Complete,
    /// It came too slowly, broke off, or is too long.
    Failed,
}

/// A request's body that passes through while it comes.
#[derive(Debug)]
pub struct Upload {
    /// What came of it before it was sent on.
    held: RefCell<Option<Bytes>>,
    rest: RefCell<Incoming>,
    /// How long it says it is.
    length: Option<u64>,
    passage: Cell<Passage>,
    brought: Cell<u64>,
    most: u64,
    /// How long the client waits, from its last byte on.
    pub patience: Duration,
    /// Counts the request as taken, from its last byte on.
    taken: RefCell<Option<Taken>>,
}

/// Why a body that passes through has no end.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// Its sender has stopped, or gone.
    #[error("the body has not come whole")]
    Off,
    /// It is longer than any may be.
    #[error("the body is too long")]
    TooLong,
}

impl Upload {
    /// A body of which `held` has come.
    pub fn new(held: Bytes, rest: Incoming, length: Option<u64>, patience: Duration, taken: Taken) -> Upload {
        let brought = Cell::new(held.len() as u64);
        let (held, rest, passage) = (RefCell::new(Some(held)), RefCell::new(rest), Cell::default());
        let (most, taken) = (MAX_LARGE, RefCell::new(Some(taken)));
        Upload { held, rest, length, passage, brought, most, patience, taken }
    }

    /// What counts the request, for whoever ends it.
    pub fn taken(&self) -> Option<Taken> {
        self.taken.take()
    }

    /// Takes the rest and lets it go, for at most this long: a client that writes is not cut off before it has read
    /// that its request is over.
    pub async fn discard(&self, most: Duration) {
        if self.passage.get() == Passage::Complete {
            return;
        }
        let rest = poll_fn(|cx| loop {
            // Each borrow is over before anything else runs.
            match ready!(Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx)) {
                Some(Ok(_)) => {}
                _ => return Poll::Ready(()),
            }
        });
        let _ = timeout(most, rest).await;
    }

    /// How it stands.
    pub fn passage(&self) -> Passage {
        self.passage.get()
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        if self.passage.get() == Passage::Intact {
            self.passage.set(Passage::Spent);
        }
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(held)));
        }
        loop {
            let frame = ready!(Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx));
            let data = match frame {
                None => {
                    self.passage.set(Passage::Complete);
                    if let Some(taken) = &mut *self.taken.borrow_mut() {
                        taken.open();
                    }
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(self.fail(Broken::Off)))),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Ok(data) = data else { continue }; // trailers are the client's connection's own
            self.brought.set(self.brought.get() + data.len() as u64);
            if self.brought.get() > self.most {
                return Poll::Ready(Some(Err(self.fail(Broken::TooLong))));
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }

    fn fail(&self, why: Broken) -> Broken {
        self.passage.set(Passage::Failed);
        why
    }
}

/// A request's body as it is written to a host.
pub enum Sending {
    /// Held whole; empty once it is gone.
    Whole(Bytes),
    /// Passed on as it comes, within its time.
    Coming {
        /// The body.
        upload: Rc<Upload>,
        /// How long the client has been waited for.
        waited: Duration,
        /// Since when it is waited for.
        since: Option<Instant>,
        /// When its next piece is due.
        due: Pin<Box<Sleep>>,
    },
}

impl Sending {
    /// What goes to a host of this body.
    pub fn new(payload: &Payload) -> Sending {
        match payload {
            Payload::Whole(bytes) => Sending::Whole(bytes.clone()),
            Payload::Coming(upload) => {
                let (waited, since) = Default::default();
                Sending::Coming { upload: upload.clone(), waited, since, due: Box::pin(sleep(SPARE)) }
            }
        }
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Sending::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Sending::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Sending::Coming { upload, waited, since, due: timer } => {
                if let Poll::Ready(piece) = upload.poll(cx) {
                    *waited += since.take().map_or(Duration::ZERO, |since| since.elapsed());
                    return Poll::Ready(piece.map(|piece| piece.map(Frame::data)));
                }
                // Only what waits for the client counts: a host that takes it slowly sets the pace as well.
                if since.is_none() {
                    let now = Instant::now();
                    *since = Some(now);
                    timer.as_mut().reset(due(now, upload.brought.get()) - *waited);
                }
                ready!(timer.as_mut().poll(cx));
                Poll::Ready(Some(Err(upload.fail(Broken::Off))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Sending::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Sending::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Sending::Coming { upload, .. } => {
                upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// A host's answer with status 200.
#[derive(Debug)]
pub struct Answer {
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Reply,
}

/// A piece of an answer that passes through. Without the end it has broken off.
#[derive(Debug)]
pub enum Piece {
    /// Some of it.
    Data(Bytes),
    /// It is whole.
    End,
}

/// An answer's body.
#[derive(Debug)]
pub enum Reply {
    /// Held whole; empty once it is gone.
    Whole(Bytes),
    /// Passed on as it comes.
    Coming {
        /// What is left of its length, where that was said.
        left: Option<u64>,
        /// The pieces.
        pieces: mpsc::Receiver<Piece>,
        /// Whether the end has come.
        over: bool,
        /// Counts the request until then.
        taken: Option<Taken>,
    },
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Reply::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Reply::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Reply::Coming { over: true, .. } => Poll::Ready(None),
            Reply::Coming { left, pieces, over, taken } => match ready!(pieces.poll_recv(cx)) {
                Some(Piece::Data(data)) => {
                    *left = left.map(|left| left.saturating_sub(data.len() as u64));
                    // Where the length is known, nobody asks for the end.
                    if *left == Some(0) {
                        *over = true;
                        if let Some(taken) = taken.take() {
                            taken.ended(Ending::Answered);
                        }
                    }
                    Poll::Ready(Some(Ok(Frame::data(data))))
                }
                Some(Piece::End) => {
                    *over = true;
                    if let Some(taken) = taken.take() {
                        taken.ended(Ending::Answered);
                    }
                    Poll::Ready(None)
                }
                None => {
                    if let Some(taken) = taken.take() {
                        taken.ended(Ending::Errored);
                    }
                    Poll::Ready(Some(Err(Broken::Off)))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Whole(bytes) => bytes.is_empty(),
            Reply::Coming { over, .. } => *over,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Reply::Coming { left, .. } => left.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// Takes a body in until it is whole, or longer than `most`: then what has come, and the rest to be passed on.
///
/// # Errors
/// Where it does not come in time.
pub async fn gather(mut body: Incoming, most: usize) -> Result<(Bytes, Option<Incoming>), Broken> {
    let since = Instant::now();
    let mut held: Option<Bytes> = None;
    let mut grown = Vec::new();
    loop {
        let brought = held.as_ref().map_or(0, Bytes::len) + grown.len();
        if brought > most {
            break;
        }
        let frame = tokio::time::timeout_at(due(since, brought as u64), body.frame());
        let frame = frame.await.map_err(|_| Broken::Off)?;
        let Some(frame) = frame else {
            return Ok((joined(held, grown), None));
        };
        let Ok(data) = frame.map_err(|_| Broken::Off)?.into_data() else { continue };
        // The usual body is one piece, and is not copied.
        match (&held, grown.is_empty()) {
            (None, true) => held = Some(data),
            (Some(first), true) => grown = [&first[..], &data[..]].concat(),
            _ => grown.extend_from_slice(&data),
        }
        if !grown.is_empty() {
            held = None;
        }
    }
    Ok((joined(held, grown), Some(body)))
}

fn joined(held: Option<Bytes>, grown: Vec<u8>) -> Bytes {
    held.unwrap_or_else(|| grown.into())
}
