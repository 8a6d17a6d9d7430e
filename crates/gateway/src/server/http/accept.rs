//! The accept loop for client connections, in normal service and during shutdown.

use super::client_connection::ClientConnection;
use super::client_table::ConnectionSlot;
use super::Server;
use crate::transport::descriptor_budget::DescriptorPermit;
use crate::transport::instrumented_stream::InstrumentedStream;
use crate::transport::message_framing::MessageFraming;
use crate::transport::system_errors::{accept_failure, AcceptFailure};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::Instant;
use tracing::{error, warn};

/// Delay before the next accept of a client connection after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Tracks whether connections may be waiting in the kernel's accept queue.
#[derive(Default)]
pub(super) struct AcceptQueue {
    waiting_since: Cell<Option<Instant>>,
}

impl AcceptQueue {
    /// Records that connections may be waiting in the accept queue, from now on unless an earlier start is recorded.
    fn record_waiting(&self) {
        let since = self.waiting_since.get().unwrap_or_else(Instant::now);
        self.waiting_since.set(Some(since));
    }

    /// Records that the accept queue is empty.
    fn record_empty(&self) {
        self.waiting_since.set(None);
    }
}

impl Server {
    /// Accepts client connections until this future is dropped. Idle connections are closed only when a new connection needs the slot,
    /// since the client may just be sending a request on an idle connection. Cancel safe.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener) {
        let mut failure_is_logged = false; // reset by the next successful accept
        loop {
            let Some(permit) = self.clients.acquire_permit() else {
                self.wait_for_slot().await;
                continue;
            };
            let accepted = poll_fn(|cx| {
                let accepted = listener.poll_accept(cx);
                if accepted.is_pending() {
                    self.accept_queue.record_empty();
                }
                accepted
            });
            let stream = match accepted.await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    self.accept_queue.record_waiting();
                    let failure = accept_failure(&error);
                    if failure == AcceptFailure::ConnectionFailed {
                        yield_now().await;
                        continue;
                    }
                    if !failure_is_logged {
                        error!(%error, retry_delay = ?ACCEPT_RETRY_DELAY, "accept failed, retrying");
                        failure_is_logged = true;
                    }
                    self.recover_from(failure).await;
                    continue;
                }
            };
            failure_is_logged = false;
            if self.clients.slot_of(&permit) == ConnectionSlot::Overflow {
                self.clients.close_longest_idle();
            }
            self.start_connection(stream, permit);
        }
    }

    /// Accepts the connections that still wait in the accept queue, until the deadline at the latest, then closes the listener; the
    /// kernel resets the connections left in the queue. Every failed accept is logged, also a repeated failure, except where only the
    /// connection to be accepted has failed.
    pub async fn drain_backlog(self: &Rc<Self>, listener: TcpListener, deadline: Instant) {
        while Instant::now() < deadline {
            let Some(permit) = self.clients.acquire_permit() else {
                self.wait_for_slot().await;
                continue;
            };
            let error = match accept_from_kernel(&listener) {
                Ok(stream) => {
                    self.start_connection(stream, permit);
                    continue;
                }
                Err(error) => error,
            };
            match accept_failure(&error) {
                _ if error.kind() == io::ErrorKind::WouldBlock => return,
                AcceptFailure::ConnectionFailed => yield_now().await,
                failure => {
                    warn!(%error, retry_delay = ?ACCEPT_RETRY_DELAY, "accept failed during shutdown, retrying");
                    self.recover_from(failure).await;
                }
            }
        }
        warn!("shutdown deadline reached, closing connections in the accept queue");
    }

    /// Closes an idle connection to free a slot for a new one, and waits until a slot may be free.
    async fn wait_for_slot(&self) {
        self.accept_queue.record_waiting();
        self.clients.close_longest_idle();
        self.clients.wait_for_released_slot().await;
    }

    /// Waits before the next accept, and first closes an idle connection if descriptors or memory are exhausted.
    async fn recover_from(&self, failure: AcceptFailure) {
        if failure == AcceptFailure::ResourcesExhausted {
            self.clients.close_longest_idle();
        }
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Registers an accepted client connection and starts the task that serves it.
    pub(super) fn start_connection(self: &Rc<Self>, stream: TcpStream, permit: DescriptorPermit) {
        self.service.record_accept();
        self.engine.record_connection();
        let _ = stream.set_nodelay(true);
        let (stream, io_state) = InstrumentedStream::new(stream);
        let (stream, framing) = stream.with_framing(MessageFraming::default());
        let probe = stream.probe();
        let idle_since = Some(Instant::now());
        io_state.first_read_at.set(idle_since); // the first request head is awaited from now on
        let accepted_at = Instant::now();
        let connection = Rc::new(ClientConnection {
            probe,
            accepted_at,
            queued_since: self.queued_since(accepted_at),
            permit: RefCell::new(permit),
            idle_since: Cell::new(idle_since),
            request_count: Cell::new(0),
            is_keep_alive_idle: Cell::new(false),
            is_closing: Cell::new(false),
            close_requested: Notify::new(),
            abort_requested: Notify::new(),
            io_state,
            framing,
        });
        self.clients.insert(connection.clone());
        spawn_local(self.clone().serve_connection(stream, connection));
    }

    /// The earliest moment at which a connection accepted now may have entered the accept queue; `None` if it can't have waited there. A
    /// connection may have waited if the queue was not empty, or if the process did not run for a while.
    fn queued_since(&self, accepted_at: Instant) -> Option<Instant> {
        let delay = self.event_loop_delay.current();
        let delayed_since = (!delay.is_zero()).then(|| accepted_at - delay);
        [self.accept_queue.waiting_since.get(), delayed_since].into_iter().flatten().min()
    }
}

/// Accepts a connection by a direct system call: the runtime knows only of the connections that were queued when it last polled.
fn accept_from_kernel(listener: &TcpListener) -> io::Result<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}
