//! Streams a response that is too long to be buffered to the client, at the pace of the slower side.

use super::attempt::AttemptProgress;
use super::connection::Connection;
use super::pool::ConnectionPool;
use super::response_reader::PartialBody;
use super::UpstreamEndpoint;
use crate::body::{ResponseBody, ResponseChunk, UpstreamResponse};
use crate::limits::MAX_BODY_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::HeaderMap;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};
use tracing::debug;
use weldworks_balancer::{LoadReport, Outcome};
use weldworks_control::body_streaming::PEER_STALL_TIMEOUT;

/// A response whose start has been read, and the connection on which the rest of the response arrives.
pub(super) struct StreamingResponse {
    pub(super) connection: Connection,
    pub(super) connection_closed: bool,
    pub(super) headers: HeaderMap,
    pub(super) first_byte_at: Instant,
    pub(super) body: PartialBody,
}

/// Why a streamed response ended before all of it was handed to the client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlyEnd {
    /// The client's connection has ended: the client disconnected, or stalled.
    ClientConnectionEnded,
    /// The endpoint's connection broke, or the endpoint violated the framing of the response.
    EndpointFailed,
    /// The endpoint sent no byte for [`PEER_STALL_TIMEOUT`].
    EndpointStalled,
    /// The response is longer than [`MAX_BODY_BYTES`].
    TooLong,
}

impl EarlyEnd {
    fn outcome(self) -> Outcome {
        match self {
            EarlyEnd::ClientConnectionEnded => Outcome::Cancelled,
            EarlyEnd::EndpointFailed | EarlyEnd::EndpointStalled => Outcome::Reset,
            EarlyEnd::TooLong => Outcome::Error,
        }
    }
}

impl ConnectionPool {
    /// Streams the response until it is complete, either side disconnects, or the endpoint stalls. The connection is then closed or in
    /// the pool. A client that stalls is disconnected by its own connection.
    pub(super) async fn stream_response(
        &self,
        response: StreamingResponse,
        endpoint: &UpstreamEndpoint,
        load_report: Option<LoadReport>,
        report: &dyn Fn(AttemptProgress),
    ) -> Outcome {
        let StreamingResponse { mut connection, mut connection_closed, headers, first_byte_at, body } =
            response;
        let PartialBody { buffered, mut unread, length } = body;
        let (chunks, receiver) = mpsc::channel(1);
        let mut received_bytes = buffered.len() as u64;
        let _ = chunks.try_send(ResponseChunk::Data(buffered)); // the channel's capacity is one chunk
        let body = ResponseBody::streaming(length, receiver);
        let response = Box::new(UpstreamResponse { headers, body });
        report(AttemptProgress::ResponseStarted { response, first_byte_at, load_report });
        let early_end = loop {
            let frame = next_frame(&mut unread, &mut connection, &mut connection_closed);
            let frame = tokio::select! {
                biased;
                () = chunks.closed() => break EarlyEnd::ClientConnectionEnded,
                frame = timeout(PEER_STALL_TIMEOUT, frame) => frame,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data(),
                Ok(None) => {
                    if !connection_closed {
                        self.put_back(connection, endpoint).await;
                    }
                    let _ = chunks.send(ResponseChunk::End).await;
                    return Outcome::Served;
                }
                Ok(Some(Err(_))) => break EarlyEnd::EndpointFailed,
                Err(_) => break EarlyEnd::EndpointStalled,
            };
            let Ok(data) = data else { continue }; // trailers are not forwarded: they belong to the endpoint's connection
            received_bytes += data.len() as u64;
            if received_bytes > MAX_BODY_BYTES {
                break EarlyEnd::TooLong;
            }
            if chunks.send(ResponseChunk::Data(data)).await.is_err() {
                break EarlyEnd::ClientConnectionEnded;
            }
        };
        let streamed_ms = first_byte_at.elapsed().as_millis() as u64;
        debug!(reason = ?early_end, received_bytes, streamed_ms, "streamed response ended early");
        early_end.outcome()
    }
}

/// Reads the next frame of the body, and drives the connection meanwhile.
async fn next_frame(
    body: &mut Incoming,
    connection: &mut Connection,
    connection_closed: &mut bool,
) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    poll_fn(|cx| {
        let frame = Pin::new(&mut *body).poll_frame(cx);
        if frame.is_ready() {
            return frame;
        }
        if !*connection_closed {
            *connection_closed = connection.driver.as_mut().poll(cx).is_ready();
        }
        Pin::new(&mut *body).poll_frame(cx)
    })
    .await
}
