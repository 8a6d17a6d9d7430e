//! Serves one connection from a client, from the accept to its close.

use super::client_connection::ClientConnection;
use super::client_table::{ConnectionSlot, KeepAlive};
use super::response::plain_response;
use super::Server;
use crate::body::ResponseBody;
use crate::limits::MAX_READ_AHEAD_BYTES;
use crate::transport::instrumented_stream::InstrumentedStream;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Time that a connection has after a graceful close to write a response or to complete a head. It starts again while a request is in
/// flight.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How a connection leaves normal service.
enum ConnectionEnd {
    /// It is over: nothing more is to be done.
    Closed,
    /// It is to be shut down gracefully.
    Shutdown,
}

impl Server {
    /// Serves a connection until it ends.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        stream: InstrumentedStream,
        client: Rc<ClientConnection>,
    ) {
        let _registration = Registration { server: self.clone(), client: client.clone() };
        let service = service_fn(|request| {
            let server = self.clone();
            let client = client.clone();
            async move { Ok::<_, Infallible>(server.respond_on_connection(request, &client).await) }
        });
        let connection = http1::Builder::new()
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        // The HTTP library does not notice a close while it has bytes of a next request, or a body that nobody polls. Without this
        // the requests of a client that has disconnected would still be started.
        let disconnected = client.probe.closed();
        tokio::pin!(connection, disconnected);
        match wait_for_end(connection.as_mut(), disconnected.as_mut(), &client).await {
            ConnectionEnd::Closed => return,
            ConnectionEnd::Shutdown => {}
        }
        // A request in flight is still answered; without one the library closes at once.
        connection.as_mut().graceful_shutdown();
        // A client that neither completes its request nor reads its response must not keep the connection open for ever.
        let finish = async {
            while timeout(CLOSE_TIMEOUT, connection.as_mut()).await.is_err()
                && client.idle_since.get().is_none()
            {}
        };
        tokio::select! {
            biased;
            () = finish => {}
            () = disconnected => {}
        }
    }

    /// Answers a request and decides whether the connection is kept alive after it.
    async fn respond_on_connection(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Rc<ClientConnection>,
    ) -> Response<ResponseBody> {
        client.idle_since.set(None);
        client.request_count.set(client.request_count.get() + 1);
        self.clients.set_keep_alive(client, KeepAlive::NotIdle);
        let slot = self.clients.claim_client_slot(client);
        let mut response = respond_despite_panic(self.respond(request, slot, client)).await;
        if self.closes_after_response(slot, client) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let keep_alive = if response.headers().contains_key(header::CONNECTION) {
            KeepAlive::NotIdle
        } else {
            KeepAlive::Idle
        };
        let in_use = InUseGuard { server: self.clone(), client: client.clone(), keep_alive };
        // A streamed response keeps its connection in use until its body ends; any other is complete already.
        if let ResponseBody::Streaming { guard, .. } = response.body_mut() {
            *guard = Some(Box::new(in_use));
        }
        response
    }

    /// Whether the connection is to end with the response to the current request. A connection kept alive would have to be closed
    /// later, which may cross a request, or would keep new ones out.
    fn closes_after_response(&self, slot: ConnectionSlot, client: &ClientConnection) -> bool {
        let wants_close = self.service.sends_connection_close()
            || client.is_closing.get()
            || slot == ConnectionSlot::Overflow
            || self.clients.is_over_capacity()
            || self.clients.exceeds_idle_limit(client);
        wants_close && !client.has_pipelined_request()
    }
}

/// Waits until the connection ends by itself or is to be closed.
async fn wait_for_end(
    mut connection: Pin<&mut impl Future>,
    mut disconnected: Pin<&mut impl Future<Output = ()>>,
    client: &ClientConnection,
) -> ConnectionEnd {
    let mut spared_at_request = None;
    loop {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return ConnectionEnd::Closed,
            () = disconnected.as_mut() => return ConnectionEnd::Closed,
            () = client.close_requested.notified() => {}
            () = client.abort_requested.notified() => {
                if client.idle_since.get().is_some() {
                    return ConnectionEnd::Closed; // no complete request has arrived, so no response is due
                }
                continue; // a request was completed in the last moment; its response ends the connection
            }
        }
        // A request in flight: its response ends the connection.
        if client.idle_since.get().is_none() {
            continue;
        }
        // The close was decided on what had been read by then; a request that arrived since is still served. But only once for each
        // request: a client that does not read its responses has nothing read from it either, and would be spared for ever.
        let request_count = Some(client.request_count.get());
        if !client.probe.has_unread() || spared_at_request == request_count {
            return ConnectionEnd::Shutdown;
        }
        spared_at_request = request_count;
        client.is_closing.set(false);
    }
}

/// The response, or status 500 if computing it panics: a panic fails one request and no other.
async fn respond_despite_panic(
    response: impl Future<Output = Response<ResponseBody>>,
) -> Response<ResponseBody> {
    let mut response = pin!(response);
    poll_fn(|cx| {
        let poll = AssertUnwindSafe(|| response.as_mut().poll(cx));
        catch_unwind(poll)
            .unwrap_or_else(|_| Poll::Ready(plain_response(StatusCode::INTERNAL_SERVER_ERROR, "")))
    })
    .await
}

/// Marks a connection idle when dropped: a buffered response has been handed to the HTTP library, which may not have written it yet, or
/// a streamed one has ended.
struct InUseGuard {
    server: Rc<Server>,
    client: Rc<ClientConnection>,
    keep_alive: KeepAlive,
}

impl Drop for InUseGuard {
    fn drop(&mut self) {
        self.client.idle_since.set(Some(Instant::now()));
        self.server.clients.set_keep_alive(&self.client, self.keep_alive);
        // A close decided while the connection was in use is decided anew now that it is idle.
        self.client.is_closing.set(false);
        // A head that has begun meanwhile keeps its start: its client gets no more time because an endpoint was slow.
        if !self.client.framing.borrow().is_inside() {
            self.client.io_state.first_read_at.set(None);
        }
    }
}

/// Removes a connection from the table when dropped, however its task ends.
struct Registration {
    server: Rc<Server>,
    client: Rc<ClientConnection>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.server.clients.remove(&self.client);
    }
}
