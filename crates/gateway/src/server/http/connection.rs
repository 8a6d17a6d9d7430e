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
use tracing::debug;

/// Time limit of a graceful close, within which the client may also complete a request head. While a response is owed, the limit starts
/// again.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How normal service of a client connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The HTTP library has ended the connection: after a last response, or because of an error or a malformed request.
    Finished,
    /// The client has closed its sending side, or the connection is broken.
    Disconnected,
    /// The server aborts the connection, on which no response is owed.
    Aborted,
    /// The connection is to be shut down gracefully.
    Shutdown,
}

impl Server {
    /// Serves a client connection until it ends.
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
        // The HTTP library does not notice a close while it has bytes of a next request, or a body that is not polled. Without the
        // socket probe, requests of a client that has disconnected would still be started.
        let disconnected = client.probe.closed();
        tokio::pin!(connection, disconnected);
        let end = wait_for_end(connection.as_mut(), disconnected.as_mut(), &client).await;
        let requests = client.request_count.get();
        debug!(reason = ?end, requests, owes_response = client.owes_response(), "client connection ends");
        if end != ConnectionEnd::Shutdown {
            return;
        }
        // A request in flight is still answered; without one the HTTP library closes the connection at once.
        connection.as_mut().graceful_shutdown();
        // The timeout prevents a client that does not complete its request from keeping the connection open. A client that does not take
        // its response is disconnected by the stream.
        let finish = async {
            while timeout(CLOSE_TIMEOUT, connection.as_mut()).await.is_err() && client.owes_response() {}
        };
        tokio::select! {
            biased;
            () = finish => {}
            () = disconnected => {}
        }
    }

    /// Answers a request and decides whether its connection is kept alive after the response.
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
        // A streamed response keeps its connection in use until the response body ends; a buffered response is already complete.
        if let ResponseBody::Streaming { guard, .. } = response.body_mut() {
            *guard = Some(Box::new(in_use));
        }
        response
    }

    /// Whether the connection is to be closed with the response to the current request. If kept alive, the connection would have to be
    /// closed later, when the client may just be sending a request, or would occupy a slot that new connections need.
    fn closes_after_response(&self, slot: ConnectionSlot, client: &ClientConnection) -> bool {
        let wants_close = self.service.sends_connection_close()
            || client.is_closing.get()
            || slot == ConnectionSlot::Overflow
            || self.clients.is_over_capacity()
            || self.clients.exceeds_idle_limit(client);
        wants_close && !client.has_pipelined_request()
    }
}

/// Waits until the client connection ends by itself or is to be closed.
async fn wait_for_end(
    mut connection: Pin<&mut impl Future>,
    mut disconnected: Pin<&mut impl Future<Output = ()>>,
    client: &ClientConnection,
) -> ConnectionEnd {
    let mut deferred_at_request = None;
    loop {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return ConnectionEnd::Finished,
            () = disconnected.as_mut() => return ConnectionEnd::Disconnected,
            () = client.close_requested.notified() => {}
            () = client.abort_requested.notified() => {
                if !client.owes_response() {
                    return ConnectionEnd::Aborted;
                }
                if client.idle_since.get().is_some() {
                    return ConnectionEnd::Shutdown; // only the end of an earlier response is still to be written
                }
                continue; // a request was completed just before the abort; the connection is closed with its response
            }
        }
        // While a request is in flight, the connection is closed with the response to it.
        if client.idle_since.get().is_none() {
            continue;
        }
        // The close was decided by what had been read until then; a request that has arrived since is still served.
        // The close is deferred only once per request: from a client that does not read its responses no request is read either, so
        // without this limit the connection of such a client would never be closed.
        let request_count = Some(client.request_count.get());
        if !client.probe.has_unread() || deferred_at_request == request_count {
            return ConnectionEnd::Shutdown;
        }
        deferred_at_request = request_count;
        client.is_closing.set(false);
    }
}

/// Returns the response, or status 500 if computing the response panics, so that a panic fails only the request that caused it.
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

/// Marks a client connection as idle when dropped, which is once the whole response has been handed to the HTTP library. The library may
/// still have to write the end of the response.
struct InUseGuard {
    server: Rc<Server>,
    client: Rc<ClientConnection>,
    keep_alive: KeepAlive,
}

impl Drop for InUseGuard {
    fn drop(&mut self) {
        self.client.idle_since.set(Some(Instant::now()));
        self.server.clients.set_keep_alive(&self.client, self.keep_alive);
        // Cancels a close that was decided while the connection was in use; now that the connection is idle, it is decided anew.
        self.client.is_closing.set(false);
        // If the next head has begun meanwhile, its timeout keeps its start: a slow endpoint does not extend the client's time.
        if !self.client.framing.borrow().is_inside_message() {
            self.client.io_state.first_read_at.set(None);
        }
    }
}

/// Removes a connection from the client table when dropped, however the connection's task ends.
struct Registration {
    server: Rc<Server>,
    client: Rc<ClientConnection>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.server.clients.remove(&self.client);
    }
}
