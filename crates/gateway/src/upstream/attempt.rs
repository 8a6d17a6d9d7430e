//! One attempt: writes a request to an endpoint, and derives from the attempt's end whether the endpoint may have processed the request.

use super::attempt_monitor::AttemptMonitor;
use super::connection::Connection;
use super::deadline::Deadline;
use super::headers::{
    build_request, parse_load_report, strip_hop_by_hop, NOT_PROCESSED_HEADER, REQUEST_ID_HEADER,
};
use super::pool::ConnectionPool;
use super::response_reader::{read_response, ReadBody, ReadResponse};
use super::response_stream::StreamingResponse;
use super::response_wait::ResponseWait;
use super::UpstreamEndpoint;
use crate::body::{ForwardedRequest, RequestPayload, ResponseBody, UpstreamResponse};
use crate::transport::client_liveness::ClientLiveness;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::ext::on_informational;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};
use weldworks_balancer::{LoadReport, Outcome};
use weldworks_control::body_streaming::{ExpectedLength, TransferState};
use weldworks_control::execution::{classify_attempt, classify_response, AttemptEnd, ResponseVerdict};

/// How an attempt ended.
pub struct AttemptResult {
    /// The outcome, as the balancer receives it.
    pub outcome: Outcome,
    /// The response of a served attempt; `None` where the response was streamed.
    pub response: Option<UpstreamResponse>,
    /// The load report that came with the endpoint's response, whatever its status.
    pub load_report: Option<LoadReport>,
    /// When the request's last byte was written to the kernel; `None` where that byte was not written.
    pub written_at: Option<Instant>,
}

/// Progress of an attempt that is reported to the engine while the attempt is in flight.
pub enum AttemptProgress {
    /// The first bytes of a streamed request body have been written.
    BodyForwardingStarted,
    /// The last byte of a streamed request body has been written.
    BodyForwarded {
        /// Lower bound of the time at which the body's last byte arrived from the client.
        earliest_last_byte_at: Instant,
    },
    /// A response that is streamed to the client has begun.
    ResponseStarted {
        /// The response, whose body is still arriving.
        response: Box<UpstreamResponse>,
        /// When the response's first byte was read.
        first_byte_at: Instant,
        /// The load report that came with the response.
        load_report: Option<LoadReport>,
    },
}

/// Whether the request may have another attempt after one that was written completely and then failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterWrite {
    /// The request may have another attempt, where the balancer decides so.
    Possible,
    /// No attempt can follow: this attempt's response is the only one that the request can get.
    Impossible,
}

/// One attempt to have a request served.
pub struct Attempt {
    /// The endpoint to which the request is sent.
    pub endpoint: Rc<UpstreamEndpoint>,
    /// The request that is sent.
    pub request: Rc<ForwardedRequest>,
    /// When the attempt times out.
    pub deadline: Rc<Deadline>,
    /// Latest time at which the request's last byte may be written, set where an earlier attempt was possibly processed.
    /// Endpoints recognize the request's idempotency key only until this time.
    pub write_by: Option<Instant>,
    /// Whether another attempt may follow once the request has been written completely.
    pub retry_after_write: RetryAfterWrite,
    /// Whether the client still waits for an answer.
    pub liveness: Rc<ClientLiveness>,
    /// Cancels the attempt.
    pub cancel: Rc<Notify>,
    /// Shows what the attempt is doing.
    pub monitor: Rc<AttemptMonitor>,
}

impl Attempt {
    /// The client's `X-Request-ID`, for the log.
    pub(super) fn request_id(&self) -> &str {
        let id = self.request.headers.get(REQUEST_ID_HEADER);
        id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    fn result(
        &self,
        outcome: Outcome,
        response: Option<UpstreamResponse>,
        load_report: Option<LoadReport>,
    ) -> AttemptResult {
        AttemptResult { outcome, response, load_report, written_at: self.monitor.written_at() }
    }

    fn is_past_write_deadline(&self) -> bool {
        self.write_by.is_some_and(|by| Instant::now() >= by)
    }

    /// Whether the request may be written, checked once the connection is open.
    /// While the connection was being opened, the client may have disconnected, the endpoint begun to drain, or a deadline passed.
    ///
    /// This check is made before the request's first byte. Two checks follow it:
    ///
    /// - `IoState::is_past_write_deadline` before each write of the request to the socket;
    /// - for a streamed body `StreamingRequestBody`, which delays the body's end until the client's connection was checked.
    fn may_be_written(&self) -> bool {
        let is_client_waiting = match &self.request.body {
            RequestPayload::Buffered(_) => self.liveness.may_begin_attempt(),
            // Unread bytes behind the request head belong to the body, and don't show whether the client has disconnected.
            RequestPayload::Streaming(upload) => self.liveness.is_waiting() && !upload.time_left().is_zero(),
        };
        is_client_waiting
            && self.endpoint.accepts_requests.get()
            && !self.is_past_write_deadline()
            && Instant::now() < self.deadline.get()
    }
}

impl ConnectionPool {
    /// Makes the attempt. When the attempt has ended, its connection is closed, or idle in the pool.
    pub async fn attempt(&self, attempt: &Attempt, report: &dyn Fn(AttemptProgress)) -> AttemptResult {
        let load_report = Cell::new(None);
        let exchanged = tokio::select! {
            biased;
            () = attempt.cancel.notified() => Err(AttemptEnd::Cancelled),
            exchanged = self.exchange(attempt, &load_report, report) => match exchanged {
                Ok(Exchanged::Buffered(response)) => Ok(response),
                Ok(Exchanged::Streaming(response)) => {
                    // While its response is streamed, only the client or the endpoint ends the attempt, not its deadline or a cancel.
                    let load_report = load_report.get();
                    let outcome =
                        self.stream_response(*response, attempt, load_report, report).await;
                    return attempt.result(outcome, None, load_report);
                }
                Err(end) => Err(end),
            },
            () = attempt.deadline.passed() => Err(AttemptEnd::TimedOut),
        };
        let end = match &exchanged {
            Ok(_) => AttemptEnd::Answered(ResponseVerdict::Served),
            Err(end) => *end,
        };
        let outcome = classify_attempt(attempt.monitor.write_progress(), end);
        let response = exchanged.ok().filter(|_| outcome == Outcome::Served);
        attempt.result(outcome, response, load_report.get())
    }

    /// Writes the request, and reads the response as far as the response is buffered.
    async fn exchange(
        &self,
        attempt: &Attempt,
        load_report: &Cell<Option<LoadReport>>,
        report: &dyn Fn(AttemptProgress),
    ) -> Result<Exchanged, AttemptEnd> {
        let mut connection = self.connection_for(attempt).await?;
        if !attempt.may_be_written() {
            self.put_back(connection, &attempt.endpoint).await;
            return Err(AttemptEnd::Withheld);
        }
        let received = self.write_and_read(attempt, &mut connection, report).await?;
        let Received { response: ReadResponse { head, body }, connection_closed, request_written } = received;
        load_report.set(parse_load_report(&head.headers, &self.settings.borrow().load_report_fields));
        let body = match body {
            ReadBody::Complete(body) => body,
            ReadBody::Partial(body) if head.status == StatusCode::OK => {
                // A 200 from an endpoint that has not received the complete request does not count as an answer.
                if !request_written {
                    return Err(AttemptEnd::ConnectionFailed);
                }
                let first_byte_at = connection.io_state.first_read_at.get().unwrap_or_else(Instant::now);
                let mut headers = head.headers;
                strip_hop_by_hop(&mut headers);
                return Ok(Exchanged::Streaming(Box::new(StreamingResponse {
                    connection,
                    connection_closed,
                    headers,
                    first_byte_at,
                    body,
                })));
            }
            ReadBody::Broken => return Err(AttemptEnd::ConnectionFailed),
            ReadBody::Partial(_) | ReadBody::TooLong => {
                return Err(AttemptEnd::Answered(ResponseVerdict::Error));
            }
        };
        // A connection on which the endpoint answered before the complete request was written must never get the rest.
        if !connection_closed && request_written {
            self.put_back(connection, &attempt.endpoint).await;
        }
        classify_buffered(head, body)
    }

    /// An idle connection to the attempt's endpoint, or a new connection.
    async fn connection_for(&self, attempt: &Attempt) -> Result<Connection, AttemptEnd> {
        if let Some(connection) = self.reuse(&attempt.endpoint).await {
            return Ok(connection);
        }
        let deadline = attempt.deadline.get();
        let dial_deadline = attempt.write_by.map_or(deadline, |by| by.min(deadline));
        self.dial(&attempt.endpoint, dial_deadline).await.map_err(|end| {
            // A dial that ends because the attempt's write deadline has passed does not count against the endpoint.
            if attempt.is_past_write_deadline() {
                AttemptEnd::Withheld
            } else {
                end
            }
        })
    }

    /// Writes the request on the connection and waits for the response.
    async fn write_and_read(
        &self,
        attempt: &Attempt,
        connection: &mut Connection,
        report: &dyn Fn(AttemptProgress),
    ) -> Result<Received, AttemptEnd> {
        let mut request = build_request(&attempt.request, attempt.deadline.get());
        let informational = Arc::new(AtomicBool::new(false));
        let informational_flag = informational.clone();
        on_informational(&mut request, move |_| informational_flag.store(true, Ordering::Relaxed));
        let io_state = connection.io_state.clone();
        io_state.begin_request(attempt.write_by);
        attempt.monitor.begin_exchange(io_state.clone());
        let started_at = Instant::now();
        let sending = connection.sender.send_request(request);
        let expected_length = Cell::new(ExpectedLength::Short);
        let receiving = receive_response(sending, &attempt.deadline, &expected_length);
        let stall_timer = sleep_until(attempt.deadline.get());
        tokio::pin!(receiving, stall_timer);
        let mut wait = ResponseWait {
            connection,
            io_state: &io_state,
            attempt,
            body: &attempt.request.body,
            metrics: &self.metrics,
            stall_log: &self.stall_log,
            report,
            informational: &informational,
            expected_length: &expected_length,
            stall_timer,
            started_at,
            transfer_state: TransferState::NotForwarded,
            connection_closed: false,
            request_written: false,
        };
        let response = poll_fn(|cx| wait.poll(cx, receiving.as_mut())).await;
        let connection_closed = wait.connection_closed;
        let request_written = wait.request_written;
        let response = response.ok_or(AttemptEnd::ConnectionFailed)?.map_err(|_| {
            if io_state.is_past_write_deadline() {
                AttemptEnd::Withheld
            } else {
                AttemptEnd::ConnectionFailed
            }
        })?;
        Ok(Received { response, connection_closed, request_written })
    }
}

/// Waits for the response and reads it as far as it is buffered. A response that may be long extends the attempt's deadline.
async fn receive_response(
    sending: impl Future<Output = hyper::Result<Response<Incoming>>>,
    deadline: &Deadline,
    expected_length: &Cell<ExpectedLength>,
) -> hyper::Result<ReadResponse> {
    let (head, body) = sending.await?.into_parts();
    if head.status == StatusCode::OK {
        expected_length.set(ExpectedLength::of_served(body.size_hint().exact()));
    }
    if let Some(extension) = expected_length.get().deadline_extension() {
        deadline.extend(extension);
    }
    let margin = expected_length.get().start_margin();
    let stream_at = margin.and_then(|margin| deadline.latest().checked_sub(margin));
    Ok(read_response(head, body, stream_at).await)
}

/// Whether a buffered response serves the request, and if not, how the attempt ends.
fn classify_buffered(head: Parts, body: Bytes) -> Result<Exchanged, AttemptEnd> {
    let not_processed = head.headers.get_all(NOT_PROCESSED_HEADER).iter().map(HeaderValue::as_bytes);
    match classify_response(head.status.as_u16(), not_processed) {
        ResponseVerdict::Served => {
            let mut headers = head.headers;
            strip_hop_by_hop(&mut headers);
            Ok(Exchanged::Buffered(UpstreamResponse { headers, body: ResponseBody::Buffered(body) }))
        }
        verdict => Err(AttemptEnd::Answered(verdict)),
    }
}

/// The response that was received in an exchange.
enum Exchanged {
    Buffered(UpstreamResponse),
    Streaming(Box<StreamingResponse>),
}

/// A response of any status, and the state of the connection after the response.
struct Received {
    response: ReadResponse,
    connection_closed: bool,
    request_written: bool,
}
