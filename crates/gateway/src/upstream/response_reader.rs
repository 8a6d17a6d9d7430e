//! Reads a response's body until it is complete, or known to be too long to be buffered.

use crate::limits::MAX_BUFFERED_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::http::response::Parts;
use tokio::time::{sleep_until, Instant};
use weldworks_control::body_streaming::{BufferingDecision, ResponseBuffering};

/// A response body as far as it has been read.
pub(super) enum ReadBody {
    /// The complete body.
    Complete(Bytes),
    /// The start of a body that is to be streamed.
    Partial(PartialBody),
    /// The body is longer than any response body may be.
    TooLong,
    /// The connection broke, or the body was malformed.
    Broken,
}

/// The start of a body that is too long to be buffered, and the part that is still to be read.
pub(super) struct PartialBody {
    pub(super) buffered: Bytes,
    pub(super) unread: Incoming,
    /// The length of the complete body in bytes, where the response states it.
    pub(super) length: Option<u64>,
}

/// A response whose body has been read as far as it is buffered.
pub(super) struct ReadResponse {
    pub(super) head: Parts,
    pub(super) body: ReadBody,
}

/// Reads the body of a response until the body is complete or is to be streamed, which it is from `stream_at` on at the latest.
pub(super) async fn read_response(head: Parts, body: Incoming, stream_at: Option<Instant>) -> ReadResponse {
    ReadResponse { head, body: read_body(body, stream_at).await }
}

async fn read_body(mut body: Incoming, stream_at: Option<Instant>) -> ReadBody {
    let length = body.size_hint().exact();
    let start = Instant::now();
    let mut buffering = ResponseBuffering::new(length);
    let mut buffered = BytesMut::new();
    loop {
        match buffering.decide(start.elapsed()) {
            BufferingDecision::KeepBuffering => {}
            BufferingDecision::Stream => {
                return ReadBody::Partial(PartialBody { buffered: buffered.freeze(), unread: body, length });
            }
            BufferingDecision::TooLong => return ReadBody::TooLong,
        }
        let decided_at = buffering.next_decision_at().map(|at| start + at);
        let next_check_at = decided_at.into_iter().chain(stream_at).min();
        let frame = match frame_until(&mut body, next_check_at).await {
            NextFrame::Waited if stream_at.is_some_and(|at| Instant::now() >= at) => {
                return ReadBody::Partial(PartialBody { buffered: buffered.freeze(), unread: body, length });
            }
            NextFrame::Waited => continue,
            NextFrame::Received(None) => return ReadBody::Complete(buffered.freeze()),
            NextFrame::Received(Some(Err(_))) => return ReadBody::Broken,
            NextFrame::Received(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        buffering.record_received(start.elapsed(), data.len() as u64);
        // The body of a usual response is one frame, which is not copied.
        if buffered.is_empty() && length == Some(data.len() as u64) && data.len() <= MAX_BUFFERED_BODY_BYTES {
            return ReadBody::Complete(data);
        }
        buffered.extend_from_slice(&data);
    }
}

/// The result of a wait for the next frame of a body.
enum NextFrame {
    /// The next frame, or the end of the body.
    Received(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// No frame was received in time.
    Waited,
}

/// Waits for the next frame of the body until `deadline`, if there is one. A frame that has been received already is always returned.
async fn frame_until(body: &mut Incoming, deadline: Option<Instant>) -> NextFrame {
    let Some(deadline) = deadline else { return NextFrame::Received(body.frame().await) };
    tokio::select! {
        biased;
        frame = body.frame() => NextFrame::Received(frame),
        () = sleep_until(deadline) => NextFrame::Waited,
    }
}
