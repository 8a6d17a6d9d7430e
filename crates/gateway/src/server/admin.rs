//! The admin API on the second address: administrators and their tools ask whether this process is ready, read its metrics, and
//! have it drain.
//!
//! HTTP/1.1, one call to a connection. An answer reads shared cells and waits for nothing, so it is sent as soon as the event loop
//! comes round. Callers share a few descriptors of their own: once all are in use, the oldest caller without an answer is closed.

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

/// Time for a complete call, after which its connection is closed.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Buffer for a call's head, in bytes: the least that the HTTP library takes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The open connections of callers, oldest first.
struct Callers {
    quota: DescriptorQuota,
    /// Asks the callers without an answer to close.
    unanswered: RefCell<VecDeque<Rc<Notify>>>,
    slot_released: Notify,
}

impl Callers {
    /// Acquires a slot for a new caller. While all are in use, the oldest caller without an answer is closed.
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

    /// Adds a caller without an answer; the result is notified when it is to close.
    fn register(&self) -> Rc<Notify> {
        let close_requested = Rc::new(Notify::new());
        self.unanswered.borrow_mut().push_back(close_requested.clone());
        close_requested
    }

    /// Removes a caller and gives its slot back.
    fn release(&self, close_requested: &Rc<Notify>, permit: DescriptorPermit) {
        self.unanswered.borrow_mut().retain(|other| !Rc::ptr_eq(other, close_requested));
        drop(permit);
        self.slot_released.notify_one();
    }
}

/// Answers admin calls until it is dropped.
pub async fn serve_admin(listener: TcpListener, quota: DescriptorQuota, service: Rc<ServiceState>) {
    let callers = Rc::new(Callers { quota, unanswered: RefCell::default(), slot_released: Notify::new() });
    let mut failure_is_logged = false; // reset by the next success
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
        // While an older caller is closed, which takes one turn of the event loop, this one exceeds the quota by a descriptor.
        let permit = callers.acquire_slot().await;
        // Registered before the next accept, which may need to close the oldest caller at once.
        let close_requested = callers.register();
        spawn_local(serve_call(stream, permit, close_requested, callers.clone(), service.clone()));
    }
}

/// Serves one caller's connection until its call is answered, its time is over, or it has to make room.
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
        // The library answers what it can't parse with 400, or with 431 if it is too long.
        _ = timeout(CALL_TIMEOUT, connection) => {}
        () = close_requested.notified() => {}
    }
    callers.release(&close_requested, permit);
}

/// The calls of the admin API.
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

/// The state after a call, which has no effect during a shutdown.
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

/// A response of this status and text, with the content type of the metrics' text format.
fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
