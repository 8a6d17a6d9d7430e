//! The messages that the engine receives, the answers that it gives, and the handle through which other tasks reach it.

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
use weldworks_balancer::{EndpointId, LoadReport, Outcome, RequestId, Settings, Snapshot};
use weldworks_control::class_registry::RegisteredClass;
use weldworks_fleet::protocol::DepartedEndpoint;

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// An endpoint served it.
    Served(UpstreamResponse),
    /// Surely not processed, or safe to repeat: the client may retry.
    Rejected {
        /// `Retry-After` for the client; zero for none.
        retry_after: Duration,
    },
    /// Failed, with this status. It may have been processed, except with 409 (duplicate `X-Request-ID`) and with 504 of a request that
    /// arrived after its deadline.
    Failed(StatusCode),
}

impl FinalAnswer {
    /// The kind of the answer, as logs name it.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "rejected",
            FinalAnswer::Failed(_) => "failed",
        }
    }
}

/// A client's request that waits for its final answer.
pub struct Arrival {
    /// The request as the balancer sees it.
    pub request: weldworks_balancer::Request,
    /// The client's `X-Request-ID`.
    pub request_id: HeaderValue,
    /// What is forwarded to an endpoint.
    pub forward: ForwardedRequest,
    /// The class that it arrived under, which stays registered until the request ends.
    pub class: Rc<RegisteredClass>,
    /// Receives the final answer.
    pub answer: oneshot::Sender<FinalAnswer>,
    /// Whether its client still waits; the engine ends it with the final answer.
    pub client: Rc<ClientLiveness>,
}

/// What a new platform file changes.
pub struct Reconfiguration {
    /// The settings, with classes by the numbers under which they are registered.
    pub settings: Settings,
    /// The names behind the settings' numbers of tenants, zones and machine kinds.
    pub names: StringInterner,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Settings of connections to endpoints.
    pub connections: crate::upstream::ConnectionSettings,
    /// Digest of what the file says of the whole site.
    pub digest: u64,
}

/// The end of an attempt.
pub struct AttemptReport {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Start of the latency: the balancer's decision, or the write of the last byte of a streamed body.
    pub latency_since: Instant,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The response, where the attempt was served and its response not yet started.
    pub response: Option<UpstreamResponse>,
    /// The load report that came with a response of any kind.
    pub load_report: Option<LoadReport>,
    /// Time from the decision to the write of the request's last byte, where that was written.
    pub written_after: Option<Duration>,
}

/// The start of a response that is streamed to the client.
pub struct ResponseStart {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Time from the decision, or from the write of a streamed body's last byte, to the response's first byte.
    pub latency: Duration,
    /// The response, whose body still arrives.
    pub response: UpstreamResponse,
    /// The load report that came with it.
    pub load_report: Option<LoadReport>,
}

/// A message to the engine.
pub enum Message {
    /// A client's request has arrived.
    RequestArrived(Box<Arrival>),
    /// A client's connection was accepted; sent where retry-storm control counts them.
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
        /// By when the gateway answers, a margin before its client gives up.
        answer_deadline: Instant,
    },
    /// A response has begun that is streamed to the client.
    ResponseStarted(ResponseStart),
    /// An endpoint has closed an idle connection.
    IdleConnectionClosed {
        /// The endpoint's id.
        endpoint: EndpointId,
        /// The address that the connection went to.
        address: SocketAddr,
        /// How long the connection had been idle.
        idle: Duration,
        /// How many idle connections to that address are left.
        remaining: usize,
    },
    /// A watch has received an endpoint list or delta.
    EndpointListReceived {
        /// Number of the watch, from 1.
        watch: u64,
        /// The list or delta.
        list: EndpointList,
        /// When the previous message of discovery was received, over any watch and keep-alives included.
        previous_message_at: Option<Instant>,
    },
    /// The learned state of the previous process is to be restored.
    RestoreSnapshot(Snapshot),
    /// The learned state is to be sent to this receiver.
    TakeSnapshot(oneshot::Sender<Snapshot>),
    /// New settings are to be applied.
    Reconfigure(Box<Reconfiguration>),
    /// Other gateways have a newer endpoint list: discovery is to be polled again.
    ListLagging {
        /// The index that most of them have.
        current: u64,
    },
    /// Endpoints that drain or are removed by newer lists than the one in force here.
    RemoteDepartures(Vec<DepartedEndpoint>),
    /// The process is shutting down: open requests have until [`EngineHandle::shutdown_deadline`].
    ShutdownStarted,
    /// A watch has failed or ended.
    DiscoveryFailed {
        /// Number of the watch, from 1.
        watch: u64,
        /// Why the watch ended.
        reason: String,
        /// Time since its last message, or since it was opened.
        silent_for: Duration,
    },
}

/// The way to the engine, its clock, and the part of its state that other tasks may see. Clones share all of it.
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
    /// Creates a handle, and the receiver of what is sent through it and its clones.
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

    /// Sends the engine a message. Once the engine has ended the process ends too, and the message is dropped.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Has [`EngineHandle::record_connection`] report every connection from now on.
    pub fn report_connections(&self) {
        self.reports_connections.set(true);
    }

    /// Reports an accepted client connection, where the engine wants to know of them.
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

    /// A shared flag: whether any endpoint accepts new requests.
    pub fn any_endpoint_accepts(&self) -> Rc<Cell<bool>> {
        self.any_endpoint_accepts.clone()
    }

    /// Sets whether any endpoint accepts new requests.
    pub fn set_any_endpoint_accepts(&self, any_endpoint_accepts: bool) {
        self.any_endpoint_accepts.set(any_endpoint_accepts);
    }

    /// The latest moment for any answer, where the process is shutting down.
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        self.shutdown_deadline.get()
    }

    /// Sets the latest moment for any answer.
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

    /// Records that a message of discovery is received now; returns when the previous one was.
    pub fn record_discovery_message(&self) -> Option<Instant> {
        self.last_discovery_message.replace(Some(Instant::now()))
    }

    /// The time on the balancer's clock.
    pub fn balancer_time(&self, at: Instant) -> Duration {
        self.clock.balancer_time(at)
    }

    /// The instant of a time on the balancer's clock.
    pub fn instant(&self, balancer_time: Duration) -> Instant {
        self.clock.instant(balancer_time)
    }

    /// The time on the balancer's clock of a Unix time in milliseconds, by the wall clock as it was at the start of the process;
    /// none for a moment before the clock's zero.
    pub fn balancer_time_of_unix(&self, unix_ms: u64) -> Option<Duration> {
        self.clock.balancer_time_of_unix(unix_ms)
    }
}
