//! Processes a single request: validates its head, receives its body, hands it to the engine and builds the response.

use super::client_connection::ClientConnection;
use super::client_table::ConnectionSlot;
use super::request_head::{header_text, MalformedRequest, RequestHead};
use super::request_settings::RequestSettings;
use super::response::{plain_response, response_for, with_connection_close, AnsweredRequest, ConnectionUse};
use super::Server;
use crate::body::{
    buffer_body, BufferedBody, ForwardedRequest, RequestPayload, ResponseBody, StreamingUpload, UploadSource,
};
use crate::engine::message::{Arrival, EngineHandle, FinalAnswer, Message};
use crate::limits::MAX_BUFFERED_BODY_BYTES;
use crate::metrics::{RequestEnding, RequestMetricsGuard};
use crate::transport::client_liveness::ClientLiveness;
use crate::transport::request_arrival::RequestArrival;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;
use weldworks_balancer::{stable_hash, RequestId};
use weldworks_control::body_streaming::TransferState;
use weldworks_control::class_registry::RegisteredClass;

/// Timeout of a streamed upload: the time that the longest body takes at the slowest rate.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(1100);
/// Maximum time for reading and dropping the rest of a body after its request has ended, so that the client gets to read its response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The request headers of the protocol, which are forwarded to endpoints; all other headers are dropped.
const FORWARDED_HEADERS: [HeaderName; 9] = [
    header::HOST,
    header::COOKIE,
    HeaderName::from_static("x-request-id"),
    HeaderName::from_static("x-priority-class"),
    HeaderName::from_static("x-tenant-id"),
    HeaderName::from_static("x-retried"),
    HeaderName::from_static("x-cost"),
    HeaderName::from_static("x-attrs"),
    HeaderName::from_static("idempotency-key"),
];

/// How far the body of a request has been received when the engine gets the request.
enum Receipt {
    /// The body is complete; the metrics count the request with its answer.
    Complete(RequestMetricsGuard),
    /// The body has been received in part; the rest is streamed to the endpoint.
    Streaming(Rc<StreamingUpload>),
}

/// A request whose body is received far enough to hand the request to the engine.
struct ReceivedRequest {
    payload: RequestPayload,
    receipt: Receipt,
    answer_deadline: Instant,
}

/// A request that the engine has not answered yet. When dropped before the answer, it notifies the engine that the client disconnected.
struct PendingRequest {
    engine: EngineHandle,
    id: RequestId,
    client: Rc<ClientLiveness>,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        // The disconnect is recorded before the message is sent: an attempt that is about to be written checks that record.
        if self.client.stop_waiting() {
            self.engine.send(Message::ClientDisconnected(self.id));
        }
    }
}

impl Server {
    /// Processes a request and returns the response to it.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        slot: ConnectionSlot,
        connection: &ClientConnection,
    ) -> Response<ResponseBody> {
        if request.uri().path() == "/health/ready" {
            return self.health_response();
        }
        if slot == ConnectionSlot::Overflow {
            return self.reject_overflow(request.headers());
        }
        match self.process(request, connection).await {
            Ok(answered) => answered.into_response(),
            Err(malformed) => {
                let response = plain_response(malformed.status(), &format!("{malformed}\n"));
                // The connection is closed: if the end of a request is ambiguous, further bytes may be a request smuggled in a body.
                with_connection_close(response)
            }
        }
    }

    /// The response to the platform's health check.
    fn health_response(&self) -> Response<ResponseBody> {
        let status = if self.service.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        plain_response(status, "")
    }

    /// Rejects a request on a connection in the overflow quota, before the request's body is read. All slots of the client quota are in
    /// use by requests in flight, and a request waiting for a slot would block the requests that arrive after it.
    fn reject_overflow(&self, headers: &HeaderMap) -> Response<ResponseBody> {
        if let Some(class) = header_text(headers, "x-priority-class") {
            self.service.metrics.record_ending(class, RequestEnding::Rejected);
        }
        let retry_after = self.settings.borrow().overflow_retry_after;
        response_for(FinalAnswer::Rejected { retry_after })
    }

    /// Receives a request, hands it to the engine and waits for the answer.
    async fn process(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<AnsweredRequest, MalformedRequest> {
        let (parts, body) = request.into_parts();
        // The settings are held until the end of the request: their class table prevents the reuse of class numbers for other classes.
        let settings = self.settings.borrow().clone();
        let head = self.check_head(&parts, &body, connection, &settings)?;
        let BufferedBody { buffered, unread } = buffer_body(body, MAX_BUFFERED_BODY_BYTES).await?;
        if parts.method == Method::GET && !buffered.is_empty() {
            return Err(MalformedRequest::UnexpectedBody);
        }
        let mut metrics_guard = RequestMetricsGuard::new(self.service.metrics.clone(), head.class.clone());
        let client = Rc::new(ClientLiveness::new(connection.probe.clone()));
        let received = match unread {
            None => {
                let answer_deadline = self.received_at(connection) + head.answer_timeout;
                connection.await_next_head();
                metrics_guard.mark_open();
                if Instant::now() >= answer_deadline {
                    let timeout = FinalAnswer::Failed(StatusCode::GATEWAY_TIMEOUT);
                    return Ok(AnsweredRequest::new(timeout, metrics_guard, ConnectionUse::KeepAlive));
                }
                let payload = RequestPayload::Buffered(buffered);
                ReceivedRequest { payload, receipt: Receipt::Complete(metrics_guard), answer_deadline }
            }
            Some(unread) => start_upload(buffered, unread, &head, metrics_guard, &client, connection),
        };
        let ReceivedRequest { payload, receipt, answer_deadline } = received;
        let request = self.balancer_request(&parts.headers, &head, &receipt, answer_deadline);
        let forward = forwarded_request(parts, payload);
        let RequestHead { request_id, class, .. } = head;
        let answer = self.submit_to_engine(request, request_id, class.clone(), forward, client).await;
        self.finish(answer, receipt, class, connection)
    }

    /// Validates the head of a request that is read now.
    fn check_head(
        &self,
        parts: &Parts,
        body: &Incoming,
        connection: &ClientConnection,
        settings: &RequestSettings,
    ) -> Result<RequestHead, MalformedRequest> {
        let body_length = body.size_hint().exact();
        let now = self.engine.balancer_time(Instant::now());
        RequestHead::parse(parts, body_length, connection, settings, now)
    }

    /// The earliest moment at which a request that has just been read completely may have arrived.
    /// The time for which a pipelined request waited for the response to the request before it counts, since its client waited as well.
    fn received_at(&self, connection: &ClientConnection) -> Instant {
        let last_read = connection.io_state.last_read_at.get().unwrap_or_else(Instant::now);
        let read_at = last_read - self.event_loop_delay.current();
        connection.data_queued_since().map_or(read_at, |since| read_at.min(since))
    }

    /// Converts a request to the form that the balancer decides on.
    fn balancer_request(
        &self,
        headers: &HeaderMap,
        head: &RequestHead,
        receipt: &Receipt,
        answer_deadline: Instant,
    ) -> weldworks_balancer::Request {
        let shutdown_deadline = self.engine.shutdown_deadline();
        let answer_deadline =
            shutdown_deadline.map_or(answer_deadline, |deadline| answer_deadline.min(deadline));
        let id = self.engine.next_request();
        // The tenant's index is looked up in the settings in force now, which the engine uses as well: after a reload, its index in
        // earlier settings may be that of another tenant. A tenant that is not in the settings gets an index that no tenant has.
        let tenant = self.settings.borrow().tenant_index(header_text(headers, "x-tenant-id"));
        weldworks_balancer::Request {
            id,
            class: head.class.number,
            tenant,
            key: affinity_key(headers).map(stable_hash),
            cost_hint: head.cost_hint,
            is_client_retry: header_text(headers, "x-retried") == Some("1"),
            admission_share: 1.0,
            client_deadline: self.engine.balancer_time(answer_deadline),
            body_streaming: matches!(receipt, Receipt::Streaming(_)),
        }
    }

    /// Hands a request to the engine and waits for the engine's answer.
    /// If this future is dropped before the answer, the engine is notified that the client has disconnected.
    async fn submit_to_engine(
        &self,
        request: weldworks_balancer::Request,
        request_id: HeaderValue,
        class: Rc<RegisteredClass>,
        forward: ForwardedRequest,
        client: Rc<ClientLiveness>,
    ) -> FinalAnswer {
        let (answer, decided) = oneshot::channel();
        let pending = PendingRequest { engine: self.engine.clone(), id: request.id, client: client.clone() };
        self.engine.send(Message::RequestArrived(Box::new(Arrival {
            request,
            request_id,
            forward,
            class,
            answer,
            client,
        })));
        let decided = decided.await;
        pending.client.stop_waiting();
        decided.unwrap_or(FinalAnswer::Failed(StatusCode::BAD_GATEWAY))
    }

    /// Counts an answered request in the metrics, and reads and drops what is left of its body.
    ///
    /// # Errors
    /// If the body of a streamed upload was invalid.
    fn finish(
        &self,
        answer: FinalAnswer,
        receipt: Receipt,
        class: Rc<RegisteredClass>,
        connection: &ClientConnection,
    ) -> Result<AnsweredRequest, MalformedRequest> {
        let upload = match receipt {
            Receipt::Complete(metrics_guard) => {
                return Ok(AnsweredRequest::new(answer, metrics_guard, ConnectionUse::KeepAlive));
            }
            Receipt::Streaming(upload) => upload,
        };
        let state = upload.state();
        let metrics_guard = upload
            .take_metrics_guard()
            .unwrap_or_else(|| RequestMetricsGuard::new(self.service.metrics.clone(), class));
        if state == TransferState::Complete {
            connection.await_next_head();
            return Ok(AnsweredRequest::new(answer, metrics_guard, ConnectionUse::KeepAlive));
        }
        // The rest is read because a client that is still writing reads the response only once it has finished or can write no more.
        spawn_local(async move { upload.discard(DISCARD_TIMEOUT).await });
        if let TransferState::Failed(error) = state {
            return Err(error.into());
        }
        Ok(AnsweredRequest::new(answer, metrics_guard, ConnectionUse::Close))
    }
}

/// Starts a streamed upload: a request whose body is forwarded while it arrives.
fn start_upload(
    buffered: Bytes,
    unread: Incoming,
    head: &RequestHead,
    metrics_guard: RequestMetricsGuard,
    client: &Rc<ClientLiveness>,
    connection: &ClientConnection,
) -> ReceivedRequest {
    let upload = Rc::new(StreamingUpload::new(UploadSource {
        buffered,
        unread,
        length: head.body_length,
        answer_timeout: head.answer_timeout,
        metrics_guard,
        client: client.clone(),
        arrival: RequestArrival {
            probe: connection.probe.clone(),
            io_state: connection.io_state.clone(),
            framing: connection.framing.clone(),
            request_number: connection.request_count.get(),
        },
    }));
    ReceivedRequest {
        payload: RequestPayload::Streaming(upload.clone()),
        receipt: Receipt::Streaming(upload),
        answer_deadline: Instant::now() + UPLOAD_TIMEOUT,
    }
}

/// Converts a client's request to the form that is forwarded to an endpoint.
fn forwarded_request(parts: Parts, body: RequestPayload) -> ForwardedRequest {
    let is_forwarded = |(name, value): (&HeaderName, &HeaderValue)| {
        FORWARDED_HEADERS.contains(name).then(|| (name.clone(), value.clone()))
    };
    let headers = parts.headers.iter().filter_map(is_forwarded).collect();
    ForwardedRequest { method: parts.method, uri: origin_form(&parts.uri), headers, body }
}

/// The path and query of a request target, without the host of a target in absolute form.
fn origin_form(uri: &Uri) -> Uri {
    let path_and_query = uri.path_and_query().cloned();
    path_and_query.map_or_else(|| uri.clone(), Uri::from)
}

/// The affinity key, which is the cookie `k`: requests with the same key should go to the same endpoint.
fn affinity_key(headers: &HeaderMap) -> Option<&str> {
    let cookies = headers.get_all(header::COOKIE).iter().filter_map(|value| value.to_str().ok());
    cookies.flat_map(|cookie| cookie.split(';')).find_map(|pair| pair.trim().strip_prefix("k="))
}
