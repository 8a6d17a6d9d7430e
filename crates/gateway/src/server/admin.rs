//! The second address: staff and their programs ask how this process stands, read its figures, and have it leave service.
//!
//! HTTP/1.1, one call to a connection. An answer reads what stands in shared cells and waits for nobody, so it is due as soon
//! as the event loop comes round. Callers have a few descriptors of their own, and each a short time to say what they want:
//! who says nothing, or half a call, makes room for the next once all are in use.

use crate::lifecycle::service::ServiceState;
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

/// Who has not been answered by then is cut off; a whole call is answered at once.
const CALL: Duration = Duration::from_secs(3);
/// The most that is read of a call's head, the least that the library takes.
const HEAD: usize = 8 << 10;
/// Wait after a failed accept.
const AGAIN: Duration = Duration::from_millis(20);

/// The callers, in the order in which they came.
struct Callers {
    slots: DescriptorQuota,
    unanswered: RefCell<VecDeque<Rc<Notify>>>,
    left: Notify,
}

impl Callers {
    /// A place for a caller. Where all are taken, the one that has said least for longest makes room.
    async fn place(&self) -> DescriptorPermit {
        loop {
            if let Some(slot) = self.slots.acquire() {
                return slot;
            }
            if let Some(oldest) = self.unanswered.borrow_mut().pop_front() {
                oldest.notify_one();
            }
            self.left.notified().await;
        }
    }
}

/// Answers calls for as long as it runs.
pub async fn serve_admin(listener: TcpListener, slots: DescriptorQuota, service: Rc<ServiceState>) {
    let callers = Rc::new(Callers { slots, unanswered: RefCell::default(), left: Notify::new() });
    let mut failing = false; // said once, until one succeeds
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    error!(%error, "no call can be accepted at the second address; trying again every {AGAIN:?}");
                }
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        };
        failing = false;
        // The newest caller is a descriptor over the reserve for as long as an older one makes room: one turn of the loop.
        let slot = callers.place().await;
        // In the queue before the next one is accepted, which may have to look for the oldest at once.
        let make_room = Rc::new(Notify::new());
        callers.unanswered.borrow_mut().push_back(make_room.clone());
        spawn_local(serve(stream, slot, make_room, callers.clone(), service.clone()));
    }
}

async fn serve(
    stream: TcpStream,
    slot: DescriptorPermit,
    make_room: Rc<Notify>,
    callers: Rc<Callers>,
    service: Rc<ServiceState>,
) {
    let _ = stream.set_nodelay(true);
    let called = service_fn(|request: Request<Incoming>| {
        let response = respond(&request, &service);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).max_buf_size(HEAD);
    let connection = builder.serve_connection(TokioIo::new(Stream::new(stream)), called);
    tokio::select! {
        // What can't be read is answered by the library with 400, or 431 where it is too long.
        _ = timeout(CALL, connection) => {}
        () = make_room.notified() => {}
    }
    callers.unanswered.borrow_mut().retain(|other| !Rc::ptr_eq(other, &make_room));
    drop(slot);
    callers.left.notify_one();
}

fn respond(request: &Request<Incoming>, service: &ServiceState) -> Response<Full<Bytes>> {
    let (allowed, path) = match request.uri().path() {
        path @ ("/_ready" | "/_vars") => (Method::GET, path),
        path @ ("/_lameduck/on" | "/_lameduck/off") => (Method::PUT, path),
        _ => {
            return said(
                StatusCode::NOT_FOUND,
                "no such call: /_ready, /_vars, /_lameduck/on, /_lameduck/off\n".into(),
            )
        }
    };
    if request.method() != allowed {
        let mut response = said(StatusCode::METHOD_NOT_ALLOWED, format!("this call is a {allowed}\n"));
        if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
            response.headers_mut().insert(header::ALLOW, allowed);
        }
        return response;
    }
    match path {
        "/_vars" => said(StatusCode::OK, service.figures.text()),
        "/_ready" => match service.not_ready_reason() {
            None => said(StatusCode::OK, "yes\n".into()),
            Some(why) => said(StatusCode::SERVICE_UNAVAILABLE, format!("no: {why}\n")),
        },
        path => {
            let on = path.ends_with("/on");
            if service.set_draining(on) {
                info!(on, "drain, by a call at the second address");
            }
            let state = match (service.is_shutting_down(), on) {
                (true, _) => "stopping\n",
                (false, true) => "draining\n",
                (false, false) => "in service\n",
            };
            said(StatusCode::OK, state.into())
        }
    }
}

fn said(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
