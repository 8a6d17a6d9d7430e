//! Bodies of requests on their way to an endpoint, and of responses on their way back.
//!
//! Bodies up to [`MAX_BUFFERED_BODY_BYTES`](crate::limits::MAX_BUFFERED_BODY_BYTES) are buffered. Larger bodies are streamed one
//! chunk at a time, so that the slower side sets the pace. The server and the upstream side poll a buffered and a streamed body alike.

mod buffering;
mod request_body;
mod response_body;
mod streaming_upload;

pub use buffering::{buffer_body, BufferedBody};
pub use request_body::{ForwardedRequest, RequestBody, RequestPayload};
pub use response_body::{ResponseBody, ResponseChunk, UpstreamResponse};
pub use streaming_upload::{StreamingUpload, UploadProgress, UploadSource};

use bytes::Bytes;
use hyper::body::Frame;
use std::task::Poll;

/// The next frame of a buffered body: first the whole body, then `None`.
fn buffered_frame<E>(buffered: &mut Bytes) -> Poll<Option<Result<Frame<Bytes>, E>>> {
    let data = std::mem::take(buffered);
    if data.is_empty() {
        return Poll::Ready(None);
    }
    Poll::Ready(Some(Ok(Frame::data(data))))
}
