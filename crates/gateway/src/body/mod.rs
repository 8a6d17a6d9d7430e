//! Bodies of requests on their way to an endpoint, and of responses on their way back.
//!
//! Bodies up to [`MAX_BUFFERED_BODY_BYTES`](crate::limits::MAX_BUFFERED_BODY_BYTES) are buffered. Larger ones are streamed one chunk
//! at a time, so that the slower side sets the pace. Neither the server nor the upstream side needs to know which it is: both have a
//! body to poll.

mod buffering;
mod request_body;
mod response_body;
mod streaming_upload;

pub use buffering::{buffer_body, BufferedBody};
pub use request_body::{ForwardedRequest, RequestBody, RequestPayload};
pub use response_body::{ResponseBody, ResponseChunk, UpstreamResponse};
pub use streaming_upload::{StreamingUpload, UploadSource};

use bytes::Bytes;
use hyper::body::Frame;
use std::task::Poll;

/// The next frame of a buffered body: all of it, then none.
fn buffered_frame<E>(buffered: &mut Bytes) -> Poll<Option<Result<Frame<Bytes>, E>>> {
    let data = std::mem::take(buffered);
    if data.is_empty() {
        return Poll::Ready(None);
    }
    Poll::Ready(Some(Ok(Frame::data(data))))
}
