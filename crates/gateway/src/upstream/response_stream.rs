//! Streams a response that is too long to be buffered to the client, at the pace of the slower side.

use super::attempt::{Attempt, AttemptProgress};
use super::connection::Connection;
use super::pool::ConnectionPool;
use super::response_reader::PartialBody;
use crate::body::{ResponseBody, ResponseChunk, UpstreamResponse};
use crate::limits::MAX_BODY_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::HeaderMap;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};
use tracing::info;
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

/// The endpoint's side of a streamed response.
struct ResponseSource {
    connection: Connection,
    connection_closed: bool,
    /// The part of the body that is still to be read.
    unread: Incoming,
    /// Number of bytes of the body that have been read.
    received_bytes: u64,
}

impl ConnectionPool {
    /// Streams the response until it is complete, either side disconnects, or the endpoint stalls. The connection is then closed or in
    /// the pool. A client that stalls is disconnected by its own connection.
    pub(super) async fn stream_response(
        &self,
        response: StreamingResponse,
        attempt: &Attempt,
        load_report: Option<LoadReport>,
        report: &dyn Fn(AttemptProgress),
    ) -> Outcome {
        let StreamingResponse { connection, connection_closed, headers, first_byte_at, body } = response;
        let PartialBody { buffered, unread, length } = body;
        let received_bytes = buffered.len() as u64;
        let (chunks, receiver) = mpsc::channel(1);
        let _ = chunks.try_send(ResponseChunk::Data(buffered)); // the channel's capacity is one chunk
        let body = ResponseBody::streaming(length, receiver);
        let response = Box::new(UpstreamResponse { headers, body });
        report(AttemptProgress::ResponseStarted { response, first_byte_at, load_report });
        let mut source = ResponseSource { connection, connection_closed, unread, received_bytes };
        if let Err(early_end) = source.forward_to(&chunks).await {
            self.log_early_end(attempt, early_end, &source, first_byte_at);
            return early_end.outcome();
        }
        if !source.connection_closed {
            self.put_back(source.connection, &attempt.endpoint).await;
        }
        let _ = chunks.send(ResponseChunk::End).await;
        Outcome::Served
    }

    fn log_early_end(&self, attempt: &Attempt, reason: EarlyEnd, source: &ResponseSource, began: Instant) {
        let Some(suppressed_lines) = self.early_end_log.admit(Instant::now()) else { return };
        info!(
            request_id = attempt.request_id(),
            endpoint = attempt.endpoint.address.get().map(tracing::field::display),
            ?reason,
            received_bytes = source.received_bytes,
            streamed_ms = began.elapsed().as_millis() as u64,
            suppressed_lines,
            "streamed response ended early"
        );
    }
}

impl ResponseSource {
    /// Reads the rest of the body and hands it to the client's connection, each chunk once that connection takes it.
    async fn forward_to(&mut self, chunks: &mpsc::Sender<ResponseChunk>) -> Result<(), EarlyEnd> {
        loop {
            let frame = tokio::select! {
                biased;
                () = chunks.closed() => return Err(EarlyEnd::ClientConnectionEnded),
                frame = timeout(PEER_STALL_TIMEOUT, self.next_frame()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(EarlyEnd::EndpointFailed),
                Ok(None) => return Ok(()),
                Err(_) => return Err(EarlyEnd::EndpointStalled),
            };
            let Ok(data) = frame.into_data() else { continue }; // trailers are not forwarded: they belong to the endpoint's connection
            self.received_bytes += data.len() as u64;
            if self.received_bytes > MAX_BODY_BYTES {
                return Err(EarlyEnd::TooLong);
            }
            let sent = chunks.send(ResponseChunk::Data(data)).await;
            sent.map_err(|_| EarlyEnd::ClientConnectionEnded)?;
        }
    }

    /// Reads the next frame of the body, and drives the connection meanwhile.
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        poll_fn(|cx| {
            let frame = Pin::new(&mut self.unread).poll_frame(cx);
            if frame.is_ready() {
                return frame;
            }
            if !self.connection_closed {
                self.connection_closed = self.connection.driver.as_mut().poll(cx).is_ready();
            }
            Pin::new(&mut self.unread).poll_frame(cx)
        })
        .await
    }
}
