//! An endpoint's response, and its body as it is written to the client.

use super::buffered_frame;
use crate::metrics::{RequestEnding, RequestMetricsGuard};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderMap;
use std::any::Any;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;
use weldworks_control::body_streaming::BodyError;

/// An endpoint's response with status 200.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The response's end-to-end headers.
    pub headers: HeaderMap,
    /// The response's body.
    pub body: ResponseBody,
}

/// A part of a streamed response body. A body whose chunks stop without [`ResponseChunk::End`] is incomplete.
#[derive(Debug)]
pub enum ResponseChunk {
    /// Data of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// A response's body.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body; empty once it has been written.
    Buffered(Bytes),
    /// A body that is streamed while it arrives.
    Streaming {
        /// How many bytes of the body are to come; `None` where the response does not state its length.
        remaining: Option<u64>,
        /// The chunks that the upstream side reads from the endpoint.
        chunks: mpsc::Receiver<ResponseChunk>,
        /// Whether the body has ended, complete or incomplete.
        is_over: bool,
        /// Counts the request as open until the body has ended.
        metrics_guard: Option<RequestMetricsGuard>,
        /// Any value that must live as long as the body, and is dropped with it.
        guard: Option<Box<dyn Any>>,
    },
}

impl ResponseBody {
    /// Creates a streamed body of this length in bytes; `None` where the length is not known.
    pub fn streaming(length: Option<u64>, chunks: mpsc::Receiver<ResponseChunk>) -> ResponseBody {
        ResponseBody::Streaming {
            remaining: length,
            chunks,
            is_over: false,
            metrics_guard: None,
            guard: None,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) => buffered_frame(bytes),
            ResponseBody::Streaming { is_over: true, .. } => Poll::Ready(None),
            ResponseBody::Streaming { remaining, chunks, is_over, metrics_guard, .. } => {
                let chunk = ready!(chunks.poll_recv(cx));
                if let Some(ending) = ending_after(chunk.as_ref(), remaining) {
                    *is_over = true;
                    if let Some(metrics_guard) = metrics_guard.take() {
                        metrics_guard.finish(ending);
                    }
                }
                Poll::Ready(match chunk {
                    Some(ResponseChunk::Data(data)) => Some(Ok(Frame::data(data))),
                    Some(ResponseChunk::End) => None,
                    None => Some(Err(BodyError::Incomplete)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_empty(),
            ResponseBody::Streaming { is_over, .. } => *is_over,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Streaming { remaining, .. } => {
                remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// How the request ends with this chunk, or `None` where more chunks follow. Subtracts the chunk's bytes from `remaining`.
fn ending_after(chunk: Option<&ResponseChunk>, remaining: &mut Option<u64>) -> Option<RequestEnding> {
    match chunk {
        Some(ResponseChunk::Data(data)) => {
            *remaining = remaining.map(|remaining| remaining.saturating_sub(data.len() as u64));
            // A body of known length is not polled beyond its last byte, so its end is counted here.
            (*remaining == Some(0)).then_some(RequestEnding::Served)
        }
        Some(ResponseChunk::End) => Some(RequestEnding::Served),
        None => Some(RequestEnding::Failed),
    }
}
