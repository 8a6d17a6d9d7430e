//! Reads a client's body until it is complete, or too long to be buffered.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{timeout_at, Instant};
use weldworks_control::body_streaming::{BodyError, BodyTransfer};

/// A body as far as it has been read.
pub struct BufferedBody {
    /// The part of the body that has been read.
    pub buffered: Bytes,
    /// The unread rest of a body that is too long to be buffered; `None` where the body has been read completely.
    pub unread: Option<Incoming>,
}

/// The body data that has been read. A usual body is one frame, which is not copied.
#[derive(Default)]
struct Buffer {
    first_frame: Bytes,
    joined: BytesMut,
}

impl Buffer {
    fn len(&self) -> usize {
        self.first_frame.len() + self.joined.len()
    }

    fn push(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.first_frame = data;
            return;
        }
        let first_frame = std::mem::take(&mut self.first_frame);
        self.joined.extend_from_slice(&first_frame);
        self.joined.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() {
            self.first_frame
        } else {
            self.joined.freeze()
        }
    }
}

/// Reads a body until it is complete, or longer than `max_bytes`.
///
/// # Errors
/// [`BodyError::Incomplete`] where the body does not arrive in time or its connection breaks.
/// [`BodyError::TooLong`] where the body is longer than any body may be.
pub async fn buffer_body(mut body: Incoming, max_bytes: usize) -> Result<BufferedBody, BodyError> {
    let start = Instant::now();
    let mut transfer = BodyTransfer::default();
    let mut buffer = Buffer::default();
    while buffer.len() <= max_bytes {
        let deadline = start + transfer.next_client_data_deadline(start.elapsed());
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| BodyError::Incomplete)?;
        let Some(frame) = frame else {
            return Ok(BufferedBody { buffered: buffer.into_bytes(), unread: None });
        };
        let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else { continue };
        transfer.record_received(start.elapsed(), data.len() as u64)?;
        buffer.push(data);
    }
    Ok(BufferedBody { buffered: buffer.into_bytes(), unread: Some(body) })
}
