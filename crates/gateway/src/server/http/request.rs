//! One request: its head is checked, its body received, the engine decides it, and its response is built.

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

/// Time for a streamed upload: the longest body at the slowest rate.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(1100);
/// Time for which the rest of a body is read and dropped once its request is over, so that the client comes to read its response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The headers of the protocol, which are forwarded to endpoints; no other is.
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
    /// Completely; the request is counted with its answer.
    Complete(RequestMetricsGuard),
    /// In part; the rest is streamed.
    Streaming(Rc<StreamingUpload>),
}

/// A request that can be handed to the engine.
struct ReceivedRequest {
    payload: RequestPayload,
    receipt: Receipt,
    answer_deadline: Instant,
}

/// A request that the engine has not answered yet. Dropped before that, because its client has disconnected, it says so to the engine.
struct PendingRequest {
    engine: EngineHandle,
    id: RequestId,
    client: Rc<ClientLiveness>,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        // The client's end is recorded before the message: an attempt about to be written looks there.
        if self.client.end() {
            self.engine.send(Message::ClientDisconnected(self.id));
        }
    }
}

impl Server {
    /// The response to a request.
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
                // Where the request's end is in doubt nothing behind it is read: it may be a request smuggled in a body.
                with_connection_close(response)
            }
        }
    }

    /// The response to the platform's health check.
    fn health_response(&self) -> Response<ResponseBody> {
        let status = if self.service.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        plain_response(status, "")
    }

    /// Rejects a request on a connection without a slot of its own, before its body is read. Requests in flight have all slots, and
    /// waiting here would keep out those that come next.
    fn reject_overflow(&self, headers: &HeaderMap) -> Response<ResponseBody> {
        if let Some(class) = header_text(headers, "x-priority-class") {
            self.service.metrics.record_ending(class, RequestEnding::Rejected);
        }
        let retry_after = self.settings.borrow().overflow_retry_after;
        response_for(FinalAnswer::Rejected { retry_after })
    }

    /// Receives a request and has the engine answer it.
    async fn process(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<AnsweredRequest, MalformedRequest> {
        let (parts, body) = request.into_parts();
        // Held to the end of the request: the table of classes keeps their numbers from being given to other classes.
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
        let answer = self.ask_engine(request, request_id, class.clone(), forward, client).await;
        self.finish(answer, receipt, class, connection)
    }

    /// Checks the head of a request that is read now.
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

    /// The earliest moment at which a request that has just been read completely may have arrived. One behind another request has
    /// waited for that one's response, and its client with it.
    fn received_at(&self, connection: &ClientConnection) -> Instant {
        let last_read = connection.io_state.last_read_at.get().unwrap_or_else(Instant::now);
        let read_at = last_read - self.event_loop_delay.current();
        connection.data_queued_since().map_or(read_at, |since| read_at.min(since))
    }

    /// The request as the balancer sees it.
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
        // By the settings in force now, which the engine goes by: the index that a tenant had before may be another's. A tenant that
        // is not in the settings has an index that is nobody's.
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

    /// Hands a request to the engine and waits for its answer. If dropped before that, the engine learns that the client has
    /// disconnected.
    async fn ask_engine(
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
        pending.client.end();
        decided.unwrap_or(FinalAnswer::Failed(StatusCode::BAD_GATEWAY))
    }

    /// Counts an answered request and lets go of what is left of its body.
    ///
    /// # Errors
    /// Where the body of a streamed upload was not valid.
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
        // A client that is still writing reads its response only once it has finished or can write no more.
        spawn_local(async move { upload.discard(DISCARD_TIMEOUT).await });
        if let TransferState::Failed(error) = state {
            return Err(error.into());
        }
        Ok(AnsweredRequest::new(answer, metrics_guard, ConnectionUse::Close))
    }
}

/// A request whose body is forwarded while it arrives.
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
        io_state: connection.io_state.clone(),
    }));
    ReceivedRequest {
        payload: RequestPayload::Streaming(upload.clone()),
        receipt: Receipt::Streaming(upload),
        answer_deadline: Instant::now() + UPLOAD_TIMEOUT,
    }
}

/// The request as it is forwarded to an endpoint.
fn forwarded_request(parts: Parts, body: RequestPayload) -> ForwardedRequest {
    let is_forwarded = |(name, value): (&HeaderName, &HeaderValue)| {
        FORWARDED_HEADERS.contains(name).then(|| (name.clone(), value.clone()))
    };
    let headers = parts.headers.iter().filter_map(is_forwarded).collect();
    ForwardedRequest { method: parts.method, uri: origin_form(&parts.uri), headers, body }
}

/// The target's path and query, without the host that a target in absolute form names.
fn origin_form(uri: &Uri) -> Uri {
    let path_and_query = uri.path_and_query().cloned();
    path_and_query.map_or_else(|| uri.clone(), Uri::from)
}

/// The key of requests that belong on one endpoint: the cookie `k`.
fn affinity_key(headers: &HeaderMap) -> Option<&str> {
    let cookies = headers.get_all(header::COOKIE).iter().filter_map(|value| value.to_str().ok());
    cookies.flat_map(|cookie| cookie.split(';')).find_map(|pair| pair.trim().strip_prefix("k="))
}
