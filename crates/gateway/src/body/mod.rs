//! What passes through: a request on its way to a host, and its answer on the way back.
//!
//! Bodies up to [`MAX_BODY`](crate::limits::MAX_BODY) are held whole. Larger ones pass through in pieces, one at a time, so that
//! the slower side sets the pace. Neither the listeners nor what sends on need to know which it is: both have a body to poll.

use crate::metrics::{CountedRequest, RequestEnding};
use crate::transport::client_liveness::ClientLiveness;
use crate::transport::instrumented_stream::IoTimestamps;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, timeout_at, Instant, Sleep};
use weldworks_control::body_streaming::{BodyError, BodyTransfer, TransferState};

/// What nobody has read for so long may be all that its client wrote before it left. An attempt begins with its last byte, and none may
/// begin more than 0.1 s after its client has left.
const UNREAD: Duration = Duration::from_millis(50);
/// The end of such a body is held back for so long: the kernel of the client tells of its end once all before it has been read.
const SETTLE: Duration = Duration::from_millis(5);
/// What comes after a wait of so long came just then; what comes sooner may have lain unread.
const AWAITED: Duration = Duration::from_millis(20);

/// A client's request, as it goes on to a host.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestPayload,
}

/// A request's body.
#[derive(Debug)]
pub enum RequestPayload {
    /// Held whole.
    Buffered(Bytes),
    /// Still coming, and not held.
    Streaming(Rc<StreamingUpload>),
}

impl Default for RequestPayload {
    fn default() -> RequestPayload {
        RequestPayload::Buffered(Bytes::new())
    }
}

/// A request's body that passes through while it comes.
#[derive(Debug)]
pub struct StreamingUpload {
    /// What came of it before it was sent on.
    held: RefCell<Option<Bytes>>,
    rest: RefCell<Incoming>,
    /// How long it says it is.
    length: Option<u64>,
    /// Since when its times count.
    start: Instant,
    transit: RefCell<BodyTransfer>,
    /// How long the client waits, from its last byte on.
    pub client_timeout: Duration,
    /// Who sends it, and what has passed over its connection.
    client: Rc<ClientLiveness>,
    marks: Rc<IoTimestamps>,
    /// Since when more of it is waited for, and when what came last did so after such a wait.
    awaited: Cell<Option<Instant>>,
    came_awaited: Cell<Option<Instant>>,
    /// Counts the request as taken, from its last byte on.
    taken: RefCell<Option<CountedRequest>>,
}

impl StreamingUpload {
    /// A body of which `held` has come.
    pub fn new(
        held: Bytes,
        rest: Incoming,
        length: Option<u64>,
        patience: Duration,
        taken: CountedRequest,
        client: Rc<ClientLiveness>,
        marks: Rc<IoTimestamps>,
    ) -> StreamingUpload {
        let transit = RefCell::new(BodyTransfer::new(held.len() as u64));
        let (held, rest, taken) = (RefCell::new(Some(held)), RefCell::new(rest), RefCell::new(Some(taken)));
        let (awaited, came_awaited) = Default::default();
        let start = Instant::now();
        StreamingUpload {
            held,
            rest,
            length,
            start,
            transit,
            client_timeout: patience,
            client,
            marks,
            awaited,
            came_awaited,
            taken,
        }
    }

    /// What has come of it last came after this moment, and with it perhaps its last byte: while nobody reads it, nobody knows.
    pub fn last_byte_not_before(&self) -> Instant {
        let known = [self.marks.received_after.get(), self.came_awaited.get()];
        known.into_iter().flatten().fold(self.start, Instant::max)
    }

    /// How long its client still waits at least.
    pub fn time_left(&self) -> Duration {
        self.client_timeout.saturating_sub(self.last_byte_not_before().elapsed())
    }

    /// Whether its last byte may have waited so long that its client has gone since.
    fn may_be_left(&self) -> bool {
        self.last_byte_not_before().elapsed() >= UNREAD
    }

    /// What counts the request, for whoever ends it.
    pub fn take_counted_request(&self) -> Option<CountedRequest> {
        self.taken.take()
    }

    /// Takes the rest and lets it go, for at most this long: a client that writes is not cut off before it has read
    /// that its request is over.
    pub async fn discard(&self, most: Duration) {
        if self.state() == TransferState::Complete {
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
    pub fn state(&self) -> TransferState {
        self.transit.borrow().state()
    }

    /// By when its host must take more of it, where that is waited for.
    pub fn endpoint_deadline(&self) -> Option<Instant> {
        Some(self.start + self.transit.borrow().endpoint_deadline()?)
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let now = self.start.elapsed();
        let mut transit = self.transit.borrow_mut();
        transit.record_demand(now);
        if let Some(held) = self.held.take() {
            self.note_end(&mut transit);
            return Poll::Ready(Some(Ok(held)));
        }
        loop {
            let frame = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx);
            let frame = self.note_wait(frame);
            let data = match ready!(frame) {
                None => {
                    self.note_end(&mut transit);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(transit.fail(BodyError::Incomplete)))),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Ok(data) = data else { continue }; // trailers are the client's connection's own
            let came = transit.record_received(now, data.len() as u64).map(|()| data);
            if came.is_ok() {
                self.note_end(&mut transit);
            }
            return Poll::Ready(Some(came));
        }
    }

    /// Notes how long it has been waited for, and when what was waited for came. What comes at once may have lain unread.
    fn note_wait<T>(&self, frame: Poll<T>) -> Poll<T> {
        let now = Instant::now();
        if frame.is_pending() {
            self.awaited.set(self.awaited.get().or(Some(now)));
        } else if self.awaited.take().is_some_and(|since| now - since >= AWAITED) {
            self.came_awaited.set(Some(now));
        }
        frame
    }

    /// Notes the end of the body where it has come. One whose length was said ends with its last byte: nobody asks for more of it.
    fn note_end(&self, transit: &mut BodyTransfer) {
        if self.rest.borrow().is_end_stream() && transit.state() != TransferState::Complete {
            transit.record_end();
            if let Some(taken) = &mut *self.taken.borrow_mut() {
                taken.mark_open();
            }
        }
    }
}

/// A request's body as it is written to a host.
pub enum RequestBody {
    /// Held whole; empty once it is gone.
    Buffered(Bytes),
    /// Passed on as it comes, within its time.
    Streaming {
        /// The body.
        upload: Rc<StreamingUpload>,
        /// When its next piece is due.
        due: Pin<Box<Sleep>>,
        /// Its end, while that is held back to see whether its client is there.
        end: Option<Option<Bytes>>,
        /// That has been seen.
        stayed: bool,
    },
}

/// The next frame of a body that is held whole: all of it, then none.
fn held_frame<E>(held: &mut Bytes) -> Poll<Option<Result<Frame<Bytes>, E>>> {
    let held = std::mem::take(held);
    Poll::Ready((!held.is_empty()).then(|| Ok(Frame::data(held))))
}

impl RequestBody {
    /// What goes to a host of this body.
    pub fn new(payload: &RequestPayload) -> RequestBody {
        match payload {
            RequestPayload::Buffered(bytes) => RequestBody::Buffered(bytes.clone()),
            RequestPayload::Streaming(upload) => {
                let due = Box::pin(sleep(Duration::ZERO));
                RequestBody::Streaming { upload: upload.clone(), due, end: None, stayed: false }
            }
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            RequestBody::Buffered(bytes) => held_frame(bytes),
            RequestBody::Streaming { upload, due, end, stayed } => {
                if end.is_none() {
                    match upload.poll(cx) {
                        Poll::Ready(Some(Err(fault))) => return Poll::Ready(Some(Err(fault))),
                        Poll::Ready(piece) => {
                            let piece = piece.and_then(Result::ok);
                            let ends = upload.state() == TransferState::Complete;
                            if *stayed || !ends || !upload.may_be_left() {
                                return Poll::Ready(piece.map(|data| Ok(Frame::data(data))));
                            }
                            due.as_mut().reset(Instant::now() + SETTLE);
                            *end = Some(piece);
                        }
                        Poll::Pending => {}
                    }
                }
                if end.is_some() {
                    ready!(due.as_mut().poll(cx));
                    if !upload.client.is_connected() {
                        return Poll::Ready(Some(Err(upload
                            .transit
                            .borrow_mut()
                            .fail(BodyError::Incomplete))));
                    }
                    *stayed = true;
                    return Poll::Ready(end.take().flatten().map(|data| Ok(Frame::data(data))));
                }
                let mut transit = upload.transit.borrow_mut();
                let at = upload.start + transit.client_deadline(upload.start.elapsed());
                if due.deadline() != at {
                    due.as_mut().reset(at);
                }
                ready!(due.as_mut().poll(cx));
                Poll::Ready(Some(Err(transit.fail(BodyError::Incomplete))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, RequestBody::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            RequestBody::Streaming { upload, .. } => {
                upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// A host's answer with status 200.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
}

/// A piece of an answer that passes through. Without the end it has broken off.
#[derive(Debug)]
pub enum ResponseChunk {
    /// Some of it.
    Data(Bytes),
    /// It is whole.
    End,
}

/// An answer's body.
#[derive(Debug)]
pub enum ResponseBody {
    /// Held whole; empty once it is gone.
    Buffered(Bytes),
    /// Passed on as it comes.
    Streaming {
        /// What is left of its length, where that was said.
        left: Option<u64>,
        /// The pieces.
        pieces: mpsc::Receiver<ResponseChunk>,
        /// Whether the end has come.
        over: bool,
        /// Counts the request until then.
        taken: Option<CountedRequest>,
        /// Whatever has to last as long as the body does.
        guard: Option<Box<dyn Any>>,
    },
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) => held_frame(bytes),
            ResponseBody::Streaming { over: true, .. } => Poll::Ready(None),
            ResponseBody::Streaming { left, pieces, over, taken, .. } => {
                let (frame, ending) = match ready!(pieces.poll_recv(cx)) {
                    Some(ResponseChunk::Data(data)) => {
                        *left = left.map(|left| left.saturating_sub(data.len() as u64));
                        // Where the length is known, nobody asks for the end.
                        let ending = (*left == Some(0)).then_some(RequestEnding::Answered);
                        (Some(Ok(Frame::data(data))), ending)
                    }
                    Some(ResponseChunk::End) => (None, Some(RequestEnding::Answered)),
                    None => (Some(Err(BodyError::Incomplete)), Some(RequestEnding::Errored)),
                };
                if let Some(ending) = ending {
                    *over = true;
                    if let Some(taken) = taken.take() {
                        taken.finish(ending);
                    }
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_empty(),
            ResponseBody::Streaming { over, .. } => *over,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Streaming { left, .. } => left.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// Takes a body in until it is whole, or longer than `most`: then what has come, and the rest to be passed on.
///
/// # Errors
/// Where it does not come in time.
pub async fn buffer_body(mut body: Incoming, most: usize) -> Result<(Bytes, Option<Incoming>), BodyError> {
    let (start, mut transit) = (Instant::now(), BodyTransfer::default());
    let (mut held, mut grown) = (Bytes::new(), BytesMut::new());
    while held.len() + grown.len() <= most {
        let due = start + transit.client_deadline(start.elapsed());
        let frame = timeout_at(due, body.frame()).await.map_err(|_| BodyError::Incomplete)?;
        let Some(frame) = frame else {
            return Ok((joined(held, grown), None));
        };
        let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else { continue };
        transit.record_received(start.elapsed(), data.len() as u64)?;
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
