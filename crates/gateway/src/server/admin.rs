//! The admin API, on an address of its own: administrators and their tools check whether this process is ready, read its metrics,
//! and start or end a drain.
//!
//! The admin API speaks HTTP/1.1 with one call per connection. A response is built from in-memory state without waiting, so it is sent
//! in the next turn of the event loop. Admin connections have a small descriptor quota of their own: once the quota is used up, the
//! oldest admin connection without a response is closed to accept a new one.

use crate::lifecycle::service_state::ServiceState;
use crate::transport::descriptor_budget::{DescriptorPermit, DescriptorQuota};
use crate::transport::stream::Stream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::{error, info};

/// Timeout for a complete admin call; the connection is closed when it expires.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Buffer size for the head of an admin call, in bytes: the minimum that the HTTP library accepts.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Delay before the next accept on the admin listener after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The open connections to the admin API.
struct Callers {
    quota: DescriptorQuota,
    /// One entry per caller without a response, oldest first; notified when the caller's connection is to be closed.
    unanswered: RefCell<VecDeque<Rc<Notify>>>,
    slot_released: Notify,
}

impl Callers {
    /// Acquires a descriptor for a new admin connection. While none is free, closes the oldest connection without a response.
    async fn acquire_slot(&self) -> DescriptorPermit {
        loop {
            if let Some(permit) = self.quota.acquire() {
                return permit;
            }
            if let Some(oldest) = self.unanswered.borrow_mut().pop_front() {
                oldest.notify_one();
            }
            self.slot_released.notified().await;
        }
    }

    /// Adds a caller without a response. The returned `Notify` is notified when the caller's connection is to be closed.
    fn register(&self) -> Rc<Notify> {
        let close_requested = Rc::new(Notify::new());
        self.unanswered.borrow_mut().push_back(close_requested.clone());
        close_requested
    }

    /// Removes a caller and returns its descriptor to the quota.
    fn release(&self, close_requested: &Rc<Notify>, permit: DescriptorPermit) {
        self.unanswered.borrow_mut().retain(|other| !Rc::ptr_eq(other, close_requested));
        drop(permit);
        self.slot_released.notify_one();
    }
}

/// Accepts and serves admin connections until this future is dropped.
pub async fn serve_admin(listener: TcpListener, quota: DescriptorQuota, service: Rc<ServiceState>) {
    let callers = Rc::new(Callers { quota, unanswered: RefCell::default(), slot_released: Notify::new() });
    let mut failure_is_logged = false; // reset by the next successful accept
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                if !failure_is_logged {
                    error!(%error, retry_delay = ?ACCEPT_RETRY_DELAY, "admin API: accept failed, retrying");
                    failure_is_logged = true;
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        failure_is_logged = false;
        // The new connection exceeds the quota by one descriptor until an older one is closed, which takes one turn of the event loop.
        let permit = callers.acquire_slot().await;
        // The caller is registered before the next accept, since the next accept may have to close the oldest caller's connection.
        let close_requested = callers.register();
        spawn_local(serve_call(stream, permit, close_requested, callers.clone(), service.clone()));
    }
}

/// Serves one admin connection until its call is answered, [`CALL_TIMEOUT`] expires, or the descriptor is needed for a new caller.
async fn serve_call(
    stream: TcpStream,
    permit: DescriptorPermit,
    close_requested: Rc<Notify>,
    callers: Rc<Callers>,
    service: Rc<ServiceState>,
) {
    let _ = stream.set_nodelay(true);
    let respond_to = service_fn(|request: Request<Incoming>| {
        let response = respond(&request, &service);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
    let connection = builder.serve_connection(TokioIo::new(Stream::new(stream)), respond_to);
    tokio::select! {
        // The HTTP library itself answers a head that it can't parse with status 400, and one that is too long with 431.
        _ = timeout(CALL_TIMEOUT, connection) => {}
        () = close_requested.notified() => {}
    }
    callers.release(&close_requested, permit);
}

/// The calls that the admin API offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdminCall {
    Readiness,
    Metrics,
    StartDrain,
    EndDrain,
}

impl AdminCall {
    fn from_path(path: &str) -> Option<AdminCall> {
        match path {
            "/_ready" => Some(AdminCall::Readiness),
            "/_vars" => Some(AdminCall::Metrics),
            "/_lameduck/on" => Some(AdminCall::StartDrain),
            "/_lameduck/off" => Some(AdminCall::EndDrain),
            _ => None,
        }
    }

    fn method(self) -> Method {
        match self {
            AdminCall::Readiness | AdminCall::Metrics => Method::GET,
            AdminCall::StartDrain | AdminCall::EndDrain => Method::PUT,
        }
    }
}

fn respond(request: &Request<Incoming>, service: &ServiceState) -> Response<Full<Bytes>> {
    let Some(call) = AdminCall::from_path(request.uri().path()) else {
        let calls = "no such call: /_ready, /_vars, /_lameduck/on, /_lameduck/off\n";
        return text_response(StatusCode::NOT_FOUND, calls.into());
    };
    let method = call.method();
    if request.method() != method {
        return method_not_allowed(&method);
    }
    match call {
        AdminCall::Metrics => text_response(StatusCode::OK, service.metrics.text()),
        AdminCall::Readiness => match service.cannot_serve_reason() {
            None => text_response(StatusCode::OK, "yes\n".into()),
            Some(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("no: {reason}\n")),
        },
        AdminCall::StartDrain => start_drain(service),
        AdminCall::EndDrain => end_drain(service),
    }
}

fn start_drain(service: &ServiceState) -> Response<Full<Bytes>> {
    if service.start_drain() {
        info!("drain started by an administrator");
    }
    drain_response(service, "draining\n")
}

fn end_drain(service: &ServiceState) -> Response<Full<Bytes>> {
    if service.end_drain() {
        info!("drain ended by an administrator");
    }
    drain_response(service, "in service\n")
}

/// The response to a drain call: `state`, or "stopping" during a shutdown, when drain calls have no effect.
fn drain_response(service: &ServiceState, state: &str) -> Response<Full<Bytes>> {
    let state = if service.is_shutting_down() { "stopping\n" } else { state };
    text_response(StatusCode::OK, state.into())
}

fn method_not_allowed(allowed: &Method) -> Response<Full<Bytes>> {
    let text = format!("this call is a {allowed}\n");
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, text);
    if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
        response.headers_mut().insert(header::ALLOW, allowed);
    }
    response
}

/// A response with this status and text, whose content type is that of the metrics' text format.
fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
