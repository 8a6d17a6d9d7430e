//! The messages that the engine receives, the answers that it gives, and the handle through which other tasks reach the engine.

use super::clock::Clock;
use crate::body::{ForwardedRequest, UpstreamResponse};
use crate::discovery::endpoint_list::EndpointList;
use crate::string_interner::StringInterner;
use crate::transport::client_liveness::ClientLiveness;
use hyper::header::HeaderValue;
use hyper::StatusCode;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use weldworks_balancer::{EndpointId, LoadReport, Outcome, PollFailure, RequestId, Settings, Snapshot};
use weldworks_control::class_registry::RegisteredClass;
use weldworks_fleet::protocol::DepartedEndpoint;

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// An endpoint served the request.
    Served(UpstreamResponse),
    /// The request was not processed or is safe to repeat, so the client may retry.
    Rejected {
        /// Value of `Retry-After` in the answer; zero where the answer has no `Retry-After`.
        retry_after: Duration,
    },
    /// The request failed with this status, and was possibly processed except in two cases:
    /// status 409 for a duplicate `X-Request-ID`, and status 504 for a request that arrived after its deadline.
    Failed(StatusCode),
}

impl FinalAnswer {
    /// The kind of the answer, as written to the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "rejected",
            FinalAnswer::Failed(_) => "failed",
        }
    }

    /// The status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            FinalAnswer::Served(_) => StatusCode::OK,
            FinalAnswer::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
            FinalAnswer::Failed(status) => *status,
        }
        .as_u16()
    }
}

/// A client's request that has arrived and waits for its final answer.
pub struct Arrival {
    /// The request as the balancer sees it.
    pub request: weldworks_balancer::Request,
    /// The client's `X-Request-ID`.
    pub request_id: HeaderValue,
    /// The request as it is forwarded to an endpoint.
    pub forward: ForwardedRequest,
    /// The class under which the request arrived, which stays registered until the request ends.
    pub class: Rc<RegisteredClass>,
    /// Sender of the final answer to the client's connection.
    pub answer: oneshot::Sender<FinalAnswer>,
    /// Whether the client still waits for an answer; the engine ends this state with the final answer.
    pub client: Rc<ClientLiveness>,
}

/// The changes that a new platform file brings to the engine.
pub struct Reconfiguration {
    /// The balancer's settings; the index of a class is the number under which the class is registered.
    pub settings: Settings,
    /// The names of the tenants, zones and machine kinds to which the settings refer by number.
    pub names: StringInterner,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Settings of connections to endpoints.
    pub connections: crate::upstream::ConnectionSettings,
    /// Digest of the platform file without the settings that differ from gateway to gateway.
    pub digest: u64,
}

/// The report of how an attempt ended.
pub struct AttemptReport {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// When the latency starts: at the balancer's decision, or for a streamed body at the write of its last byte.
    pub latency_since: Instant,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The response of a served attempt, unless [`Message::ResponseStarted`] has already passed on the response.
    pub response: Option<UpstreamResponse>,
    /// The load report that came with the endpoint's response, whatever its status.
    pub load_report: Option<LoadReport>,
    /// Time from the balancer's decision to the write of the request's last byte; `None` where that byte was not written.
    pub written_after: Option<Duration>,
}

/// The start of a response that is streamed to the client.
pub struct ResponseStart {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Time from the balancer's decision, or from the write of a streamed body's last byte, to the response's first byte.
    pub latency: Duration,
    /// The response, whose body is still arriving.
    pub response: UpstreamResponse,
    /// The load report that came with the response.
    pub load_report: Option<LoadReport>,
}

/// A message to the engine.
pub enum Message {
    /// A client's request has arrived.
    RequestArrived(Box<Arrival>),
    /// A client connection was accepted; sent only while retry-storm control counts connections.
    ConnectionAccepted,
    /// The client of this request has disconnected.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// The first bytes of a streamed request body have been written to an endpoint.
    BodyForwardingStarted(RequestId),
    /// The last byte of a streamed request body has been written to an endpoint.
    BodyForwarded {
        /// The request that the body belongs to.
        request: RequestId,
        /// Deadline for the gateway's answer, a margin before the client's own timeout.
        answer_deadline: Instant,
    },
    /// A response that is streamed to the client has begun.
    ResponseStarted(ResponseStart),
    /// An endpoint has closed an idle connection.
    IdleConnectionClosed {
        /// The endpoint's id.
        endpoint: EndpointId,
        /// The endpoint's address on the closed connection.
        address: SocketAddr,
        /// How long the closed connection had been idle.
        idle: Duration,
        /// How many idle connections to the endpoint's address are left.
        remaining: usize,
    },
    /// A watch has received an endpoint list.
    EndpointListReceived {
        /// Number of the watch, from 1.
        watch: u64,
        /// The endpoint list, which is a snapshot or a delta.
        list: EndpointList,
        /// When the previous discovery message, keep-alives included, was received on any watch.
        previous_message_at: Option<Instant>,
    },
    /// The balancer is to restore the learned state of the previous process.
    RestoreSnapshot(Snapshot),
    /// A snapshot of the balancer's learned state is to be sent to this receiver.
    TakeSnapshot(oneshot::Sender<Snapshot>),
    /// New settings are to be applied.
    Reconfigure(Box<Reconfiguration>),
    /// Other gateways have a newer endpoint list, so discovery is to be polled again.
    ListLagging {
        /// The endpoint list index that more than half of the gateways have reached, or a higher index that is required.
        current: u64,
    },
    /// Endpoints that are draining or removed in endpoint lists newer than the list in force here.
    RemoteDepartures(Vec<DepartedEndpoint>),
    /// The process is shutting down: open requests must be answered by [`EngineHandle::shutdown_deadline`].
    ShutdownStarted,
    /// A discovery watch has failed or ended.
    DiscoveryFailed {
        /// Number of the watch, from 1.
        watch: u64,
        /// How the watch ended.
        end: WatchEnd,
    },
}

/// How a discovery watch has ended.
#[derive(Debug)]
pub struct WatchEnd {
    /// The error that ended the watch, for the log.
    pub reason: String,
    /// Why the poll failed, where the watch ended before its first message.
    pub cause: PollFailure,
    /// Time since the watch's last message, or since the watch was opened.
    pub silent_for: Duration,
}

/// Sends messages to the engine, and gives access to the engine's clock and shared state. Clones share all state.
#[derive(Clone)]
pub struct EngineHandle {
    messages: mpsc::UnboundedSender<Message>,
    /// Number of the newest request.
    last_request: Rc<Cell<u64>>,
    any_endpoint_accepts: Rc<Cell<bool>>,
    reports_connections: Rc<Cell<bool>>,
    discovery_answered: Rc<Cell<bool>>,
    last_discovery_message: Rc<Cell<Option<Instant>>>,
    shutdown_deadline: Rc<Cell<Option<Instant>>>,
    clock: Clock,
}

impl EngineHandle {
    /// Creates a handle, and the receiver of the messages that are sent through the handle and its clones.
    pub fn new() -> (EngineHandle, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let handle = EngineHandle {
            messages: sender,
            last_request: Rc::default(),
            any_endpoint_accepts: Rc::default(),
            reports_connections: Rc::default(),
            discovery_answered: Rc::default(),
            last_discovery_message: Rc::default(),
            shutdown_deadline: Rc::default(),
            clock: Clock::new(),
        };
        (handle, receiver)
    }

    /// Sends the engine a message. A message to an engine that has ended is dropped: the process ends with its engine.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Makes [`EngineHandle::record_connection`] report every connection from now on.
    pub fn report_connections(&self) {
        self.reports_connections.set(true);
    }

    /// Reports an accepted client connection to the engine, once [`EngineHandle::report_connections`] was called.
    pub fn record_connection(&self) {
        if self.reports_connections.get() {
            self.send(Message::ConnectionAccepted);
        }
    }

    /// Allocates the number of a new request.
    pub fn next_request(&self) -> RequestId {
        self.last_request.set(self.last_request.get() + 1);
        RequestId(self.last_request.get())
    }

    /// Shared flag that tells whether any endpoint accepts new requests.
    pub fn any_endpoint_accepts(&self) -> Rc<Cell<bool>> {
        self.any_endpoint_accepts.clone()
    }

    /// Sets whether any endpoint accepts new requests.
    pub fn set_any_endpoint_accepts(&self, any_endpoint_accepts: bool) {
        self.any_endpoint_accepts.set(any_endpoint_accepts);
    }

    /// Deadline for all answers while the process is shutting down; `None` before the shutdown.
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        self.shutdown_deadline.get()
    }

    /// Sets the deadline for all answers when the process shuts down.
    pub fn set_shutdown_deadline(&self, at: Instant) {
        self.shutdown_deadline.set(Some(at));
    }

    /// Whether discovery has answered, with a list or a keep-alive, since the start of the process.
    pub fn discovery_answered(&self) -> bool {
        self.discovery_answered.get()
    }

    /// Records that discovery has answered.
    pub fn set_discovery_answered(&self) {
        self.discovery_answered.set(true);
    }

    /// Records that a discovery message was received now; returns when the previous message was received.
    pub fn record_discovery_message(&self) -> Option<Instant> {
        self.last_discovery_message.replace(Some(Instant::now()))
    }

    /// Time since the last discovery message; `None` before the first message.
    pub fn time_since_discovery_message(&self) -> Option<Duration> {
        self.last_discovery_message.get().map(|at| at.elapsed())
    }

    /// Converts an instant to a time on the balancer's clock.
    pub fn balancer_time(&self, at: Instant) -> Duration {
        self.clock.balancer_time(at)
    }

    /// Converts a time on the balancer's clock to an instant.
    pub fn instant(&self, balancer_time: Duration) -> Instant {
        self.clock.instant(balancer_time)
    }

    /// Converts a Unix time in milliseconds to a time on the balancer's clock, using the wall clock's reading at process start;
    /// `None` for a Unix time at or before the zero of the balancer's clock.
    pub fn balancer_time_of_unix(&self, unix_ms: u64) -> Option<Duration> {
        self.clock.balancer_time_of_unix(unix_ms)
    }
}
