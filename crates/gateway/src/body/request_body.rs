//! A client's request as it is forwarded, and its body as it is written to an endpoint.

use super::buffered_frame;
use super::streaming_upload::StreamingUpload;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};
use weldworks_control::body_streaming::{BodyError, TransferState};

/// How long the end of a streamed body is delayed where the client may have disconnected.
/// The kernel reports the client's close only once all bytes before the close have been read.
const CLOSE_DETECTION_DELAY: Duration = Duration::from_millis(5);

/// A client's request as it is forwarded to an endpoint.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The request's method.
    pub method: Method,
    /// The request's path and query.
    pub uri: Uri,
    /// The request's headers that are on the allow list of the protocol. All other headers, such as `Content-Type`, are dropped.
    pub headers: HeaderMap,
    /// The request's body.
    pub body: RequestPayload,
}

/// A request's body, from which each attempt creates its own [`RequestBody`].
#[derive(Debug)]
pub enum RequestPayload {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is still arriving, which can be forwarded in one attempt only.
    Streaming(Rc<StreamingUpload>),
}

impl Default for RequestPayload {
    fn default() -> RequestPayload {
        RequestPayload::Buffered(Bytes::new())
    }
}

/// A request's body as one attempt writes it.
pub enum RequestBody {
    /// The complete body; empty once it has been written.
    Buffered(Bytes),
    /// A body that is streamed while it arrives.
    Streaming(StreamingRequestBody),
}

/// A streamed request body as it is written to an endpoint.
pub struct StreamingRequestBody {
    upload: Rc<StreamingUpload>,
    /// Fires when the client's next data is overdue, or when the delayed end of the body may be forwarded.
    timer: Pin<Box<Sleep>>,
    delayed_end: Option<DelayedEnd>,
    /// Whether the client was found connected after the complete body was read.
    client_confirmed: bool,
}

/// The end of a body, delayed until it is known whether the client is still connected.
struct DelayedEnd {
    last_chunk: Option<Bytes>,
}

impl RequestBody {
    /// Creates the body for one attempt.
    pub fn new(payload: &RequestPayload) -> RequestBody {
        match payload {
            RequestPayload::Buffered(bytes) => RequestBody::Buffered(bytes.clone()),
            RequestPayload::Streaming(upload) => RequestBody::Streaming(StreamingRequestBody {
                upload: upload.clone(),
                timer: Box::pin(sleep(Duration::ZERO)),
                delayed_end: None,
                client_confirmed: false,
            }),
        }
    }
}

impl StreamingRequestBody {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.delayed_end.is_none() {
            if let Poll::Ready(chunk) = self.upload.poll_data(cx) {
                let chunk = match chunk.transpose() {
                    Err(error) => return Poll::Ready(Some(Err(error))),
                    Ok(chunk) => chunk,
                };
                if !self.must_confirm_client() {
                    return Poll::Ready(data_frame(chunk));
                }
                self.timer.as_mut().reset(Instant::now() + CLOSE_DETECTION_DELAY);
                self.delayed_end = Some(DelayedEnd { last_chunk: chunk });
            }
        }
        if self.delayed_end.is_some() {
            self.poll_body_end(cx)
        } else {
            self.poll_timeout(cx)
        }
    }

    /// Whether the body is complete and its client may have disconnected before the body's last byte was read.
    fn must_confirm_client(&self) -> bool {
        let is_complete = self.upload.state() == TransferState::Complete;
        !self.client_confirmed && is_complete && self.upload.client_may_have_disconnected()
    }

    /// Forwards the body's end after the delay, or fails the body where the client has disconnected.
    fn poll_body_end(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        ready!(self.timer.as_mut().poll(cx));
        if !self.upload.client.is_connected() {
            return Poll::Ready(Some(Err(self.upload.fail_incomplete())));
        }
        self.client_confirmed = true;
        let last_chunk = self.delayed_end.take().and_then(|end| end.last_chunk);
        Poll::Ready(data_frame(last_chunk))
    }

    /// Fails the body once the client takes too long to send more data.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let deadline = self.upload.client_deadline();
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        ready!(self.timer.as_mut().poll(cx));
        Poll::Ready(Some(Err(self.upload.fail_incomplete())))
    }
}

fn data_frame(data: Option<Bytes>) -> Option<Result<Frame<Bytes>, BodyError>> {
    data.map(|data| Ok(Frame::data(data)))
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            RequestBody::Buffered(bytes) => buffered_frame(bytes),
            RequestBody::Streaming(streaming) => streaming.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, RequestBody::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            RequestBody::Streaming(streaming) => {
                streaming.upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
