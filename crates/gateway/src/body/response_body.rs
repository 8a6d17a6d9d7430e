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

/// A part of a streamed response. One that stops without [`ResponseChunk::End`] is broken off.
#[derive(Debug)]
pub enum ResponseChunk {
    /// Some of the body.
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
        /// How many bytes are to come, where the response states its length.
        remaining: Option<u64>,
        /// The chunks, as the upstream side reads them.
        chunks: mpsc::Receiver<ResponseChunk>,
        /// Whether the end has been reached.
        is_over: bool,
        /// Counts the request as open until then.
        metrics_guard: Option<RequestMetricsGuard>,
        /// Whatever has to last as long as the body does.
        guard: Option<Box<dyn Any>>,
    },
}

impl ResponseBody {
    /// A body that is streamed, of this length in bytes where that is known.
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
                if let Some(ending) = ending_with(chunk.as_ref(), remaining) {
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

/// How the request ends with this chunk, where it does; takes the chunk off the bytes that are to come.
fn ending_with(chunk: Option<&ResponseChunk>, remaining: &mut Option<u64>) -> Option<RequestEnding> {
    match chunk {
        Some(ResponseChunk::Data(data)) => {
            *remaining = remaining.map(|remaining| remaining.saturating_sub(data.len() as u64));
            // Where the length is known, nobody asks for the end behind the last byte.
            (*remaining == Some(0)).then_some(RequestEnding::Served)
        }
        Some(ResponseChunk::End) => Some(RequestEnding::Served),
        None => Some(RequestEnding::Failed),
    }
}
