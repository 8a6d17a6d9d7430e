//! What passes through: a request on its way to a host, and its answer on the way back.
//!
//! Bodies up to [`MAX_BODY`](crate::limits::MAX_BODY) are held whole. Larger ones pass through in pieces, one at a time, so that
//! the slower side sets the pace. Neither the listeners nor what sends on need to know which it is: both have a body to poll.

use crate::figures::{Ending, Taken};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use ottervane_control::bodies::{Fault, Passage, Transit};
use std::any::Any;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, timeout_at, Instant, Sleep};

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

/// A request's body that passes through while it comes.
#[derive(Debug)]
pub struct Upload {
    /// What came of it before it was sent on.
    held: RefCell<Option<Bytes>>,
    rest: RefCell<Incoming>,
    /// How long it says it is.
    length: Option<u64>,
    /// Since when its times count.
    start: Instant,
    transit: RefCell<Transit>,
    /// How long the client waits, from its last byte on.
    pub patience: Duration,
    /// Counts the request as taken, from its last byte on.
    taken: RefCell<Option<Taken>>,
}

impl Upload {
    /// A body of which `held` has come.
    pub fn new(held: Bytes, rest: Incoming, length: Option<u64>, patience: Duration, taken: Taken) -> Upload {
        let transit = RefCell::new(Transit::new(held.len() as u64));
        let (held, rest, taken) = (RefCell::new(Some(held)), RefCell::new(rest), RefCell::new(Some(taken)));
        Upload { held, rest, length, start: Instant::now(), transit, patience, taken }
    }

    /// What counts the request, for whoever ends it.
    pub fn taken(&self) -> Option<Taken> {
        self.taken.take()
    }

    /// Takes the rest and lets it go, for at most this long: a client that writes is not cut off before it has read
    /// that its request is over.
    pub async fn discard(&self, most: Duration) {
        if self.passage() == Passage::Complete {
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
        self.transit.borrow().passage()
    }

    /// By when its host must take more of it, where that is waited for.
    pub fn host_due(&self) -> Option<Instant> {
        Some(self.start + self.transit.borrow().host_due()?)
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        let now = self.start.elapsed();
        let mut transit = self.transit.borrow_mut();
        transit.wanted(now);
        if let Some(held) = self.held.take() {
            self.note_end(&mut transit);
            return Poll::Ready(Some(Ok(held)));
        }
        loop {
            let frame = ready!(Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx));
            let data = match frame {
                None => {
                    self.note_end(&mut transit);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(transit.fail(Fault::Off)))),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Ok(data) = data else { continue }; // trailers are the client's connection's own
            let came = transit.came(now, data.len() as u64).map(|()| data);
            if came.is_ok() {
                self.note_end(&mut transit);
            }
            return Poll::Ready(Some(came));
        }
    }

    /// Notes the end of the body where it has come. One whose length was said ends with its last byte: nobody asks for more of it.
    fn note_end(&self, transit: &mut Transit) {
        if self.rest.borrow().is_end_stream() && transit.passage() != Passage::Complete {
            transit.ended();
            if let Some(taken) = &mut *self.taken.borrow_mut() {
                taken.open();
            }
        }
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
        /// When its next piece is due.
        due: Pin<Box<Sleep>>,
    },
}

/// The next frame of a body that is held whole: all of it, then none.
fn held_frame<E>(held: &mut Bytes) -> Poll<Option<Result<Frame<Bytes>, E>>> {
    let held = std::mem::take(held);
    Poll::Ready((!held.is_empty()).then(|| Ok(Frame::data(held))))
}

impl Sending {
    /// What goes to a host of this body.
    pub fn new(payload: &Payload) -> Sending {
        match payload {
            Payload::Whole(bytes) => Sending::Whole(bytes.clone()),
            Payload::Coming(upload) => {
                Sending::Coming { upload: upload.clone(), due: Box::pin(sleep(Duration::ZERO)) }
            }
        }
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match &mut *self {
            Sending::Whole(bytes) => held_frame(bytes),
            Sending::Coming { upload, due } => {
                if let Poll::Ready(piece) = upload.poll(cx) {
                    return Poll::Ready(piece.map(|piece| piece.map(Frame::data)));
                }
                let mut transit = upload.transit.borrow_mut();
                let at = upload.start + transit.await_client(upload.start.elapsed());
                if due.deadline() != at {
                    due.as_mut().reset(at);
                }
                ready!(due.as_mut().poll(cx));
                Poll::Ready(Some(Err(transit.fail(Fault::Off))))
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
        /// Whatever has to last as long as the body does.
        guard: Option<Box<dyn Any>>,
    },
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match &mut *self {
            Reply::Whole(bytes) => held_frame(bytes),
            Reply::Coming { over: true, .. } => Poll::Ready(None),
            Reply::Coming { left, pieces, over, taken, .. } => {
                let (frame, ending) = match ready!(pieces.poll_recv(cx)) {
                    Some(Piece::Data(data)) => {
                        *left = left.map(|left| left.saturating_sub(data.len() as u64));
                        // Where the length is known, nobody asks for the end.
                        let ending = (*left == Some(0)).then_some(Ending::Answered);
                        (Some(Ok(Frame::data(data))), ending)
                    }
                    Some(Piece::End) => (None, Some(Ending::Answered)),
                    None => (Some(Err(Fault::Off)), Some(Ending::Errored)),
                };
                if let Some(ending) = ending {
                    *over = true;
                    if let Some(taken) = taken.take() {
                        taken.ended(ending);
                    }
                }
                Poll::Ready(frame)
            }
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
pub async fn gather(mut body: Incoming, most: usize) -> Result<(Bytes, Option<Incoming>), Fault> {
    let (start, mut transit) = (Instant::now(), Transit::default());
    let (mut held, mut grown) = (Bytes::new(), BytesMut::new());
    while held.len() + grown.len() <= most {
        let due = start + transit.await_client(start.elapsed());
        let frame = timeout_at(due, body.frame()).await.map_err(|_| Fault::Off)?;
        let Some(frame) = frame else {
            return Ok((joined(held, grown), None));
        };
        let Ok(data) = frame.map_err(|_| Fault::Off)?.into_data() else { continue };
        transit.came(start.elapsed(), data.len() as u64)?;
        // The usual body is one piece, and is not copied.
        if held.is_empty() && grown.is_empty() {
            held = data;
        } else {
            grown.extend_from_slice(&std::mem::take(&mut held));
            grown.extend_from_slice(&data);
        }
    }
    Ok((joined(held, grown), Some(body)))
}

fn joined(held: Bytes, grown: BytesMut) -> Bytes {
    if grown.is_empty() {
        held
    } else {
        grown.freeze()
    }
}
