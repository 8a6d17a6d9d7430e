//! What the gateway's owner is told, and what it answers: the one way in and the one way out of every front.

use crate::body::{ForwardedRequest, UpstreamResponse};
use crate::discovery::endpoint_list::EndpointList;
use crate::string_interner::StringInterner;
use crate::transport::client_liveness::ClientLiveness;
use hyper::header::HeaderValue;
use hyper::StatusCode;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use weldworks_balancer::{EndpointId, LoadReport, Outcome, RequestId, Settings, Snapshot};
use weldworks_control::class_registry::RegisteredClass;
use weldworks_fleet::protocol::DepartedEndpoint;

/// The gateway's clock starts here, so that hosts started before this process have a time on it.
const BEFORE_START: Duration = Duration::from_secs(86_400);

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// Served by a host.
    Served(UpstreamResponse),
    /// Not done; trying again is harmless.
    Rejected {
        /// How long to keep away; zero for no advice.
        retry_after: Duration,
    },
    /// Not done, or not known to be.
    Failed(StatusCode),
}

impl FinalAnswer {
    /// What it is, in a word.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "refused",
            FinalAnswer::Failed(_) => "failed",
        }
    }
}

/// A request that a client is owed an answer to.
pub struct Arrival {
    /// What the module is told.
    pub request: weldworks_balancer::Request,
    /// The client's number for it, `X-Request-ID`.
    pub request_id: HeaderValue,
    /// What goes on to a host.
    pub forward: ForwardedRequest,
    /// The class it came under; held to its end.
    pub class: Rc<RegisteredClass>,
    /// Where the answer goes.
    pub answer: oneshot::Sender<FinalAnswer>,
    /// Its client; told as soon as no answer is wanted any more.
    pub client: Rc<ClientLiveness>,
}

/// What changes with a new file.
pub struct Reconfiguration {
    /// The settings, classes by the numbers that they are kept under.
    pub settings: Settings,
    /// The names behind the other numbers.
    pub names: StringInterner,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// What holds for connections to hosts.
    pub connections: crate::upstream::ConnectionSettings,
    /// A digest of what the file says of the whole site.
    pub digest: u64,
}

/// What the gateway hears.
pub enum Message {
    /// A client's request.
    RequestArrived(Box<Arrival>),
    /// A connection has been accepted; told where somebody counts them.
    ConnectionAccepted,
    /// The client has gone.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
        /// When it was sent.
        sent: Instant,
        /// How it ended.
        outcome: Outcome,
        /// The answer, where it was served.
        answer: Option<UpstreamResponse>,
        /// What the host said of its load.
        load: Option<LoadReport>,
        /// From the decision to its last byte's going to the kernel, where that went.
        written: Option<Duration>,
    },
    /// The body of a request has begun to leave and is not held.
    BodyForwardingStarted(RequestId),
    /// The last byte of such a body has gone.
    BodyForwarded {
        /// The request.
        request: RequestId,
        /// When its client gives up.
        client_deadline: Instant,
    },
    /// An answer is passed on while it comes.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
        /// From the send, or the last byte of the body, to the answer's first byte.
        latency: Duration,
        /// The answer.
        answer: UpstreamResponse,
        /// What the host said of its load.
        load: Option<LoadReport>,
    },
    /// A host has ended an idle connection.
    IdleConnectionClosed {
        /// Which host.
        endpoint: EndpointId,
        /// Where the connection went.
        address: SocketAddr,
        /// How long the connection had been idle.
        idle: Duration,
        /// How many idle connections to it are left.
        remaining: usize,
    },
    /// News of the hosts.
    EndpointListReceived {
        /// From which watch, counted from 1.
        watch: u64,
        /// What it said.
        list: EndpointList,
        /// When discovery had last said anything before that, if it had.
        heard_before: Option<Instant>,
    },
    /// What another process knew is to be gone on from.
    RestoreSnapshot(Snapshot),
    /// What is known is to be told.
    TakeSnapshot(oneshot::Sender<Snapshot>),
    /// Other settings hold from now on.
    Reconfigure(Box<Reconfiguration>),
    /// Other gateways have a newer list: discovery is to be asked again.
    ListLagging {
        /// The index that most of them have.
        current: u64,
    },
    /// Newer lists than the one held say that hosts leave or are gone.
    RemoteDepartures(Vec<DepartedEndpoint>),
    /// The process is on its way out: what is open has no more time than that.
    ShutdownStarted,
    /// A watch on the hosts has failed or ended.
    DiscoveryFailed {
        /// Which.
        watch: u64,
        /// Why.
        why: String,
        /// For how long it had said nothing, or since when it was called.
        silent_for: Duration,
    },
}

/// What all tasks share: the way to the gateway, the clock, and what is to be seen of its state.
#[derive(Clone)]
pub struct EngineHandle {
    messages: mpsc::UnboundedSender<Message>,
    requests: Rc<Cell<u64>>,
    hosts_up: Rc<Cell<bool>>,
    connections: Rc<Cell<bool>>,
    heard: Rc<Cell<bool>>,
    last_word: Rc<Cell<Option<Instant>>>,
    answers_by: Rc<Cell<Option<Instant>>>,
    clock: Clock,
}

impl EngineHandle {
    /// A handle, and what is told through it and its clones.
    pub fn new() -> (EngineHandle, mpsc::UnboundedReceiver<Message>) {
        let (sender, messages) = mpsc::unbounded_channel();
        let (requests, hosts_up, connections, heard, last_word, answers_by) = Default::default();
        (
            EngineHandle {
                messages: sender,
                requests,
                hosts_up,
                connections,
                heard,
                last_word,
                answers_by,
                clock: Clock::new(),
            },
            messages,
        )
    }

    /// Tells the gateway something. Once it is gone the process ends, and nobody is left to be told.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// From now on the gateway is told of every connection.
    pub fn report_connections(&self) {
        self.connections.set(true);
    }

    /// A connection has been accepted.
    pub fn record_connection(&self) {
        if self.connections.get() {
            self.send(Message::ConnectionAccepted);
        }
    }

    /// A number for a new request.
    pub fn next_request(&self) -> RequestId {
        self.requests.set(self.requests.get() + 1);
        RequestId(self.requests.get())
    }

    /// Where it is to be seen whether any host takes work.
    pub fn has_active_endpoint(&self) -> Rc<Cell<bool>> {
        self.hosts_up.clone()
    }

    /// The latest moment for any answer, where the process is on its way out.
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        self.answers_by.get()
    }

    /// Notes it.
    pub fn set_shutdown_deadline(&self, by: Instant) {
        self.answers_by.set(Some(by));
    }

    /// Whether discovery has said something since the start.
    pub fn discovery_answered(&self) -> bool {
        self.heard.get()
    }

    /// Discovery says something now; gives when it last did before.
    pub fn record_discovery_message(&self) -> Option<Instant> {
        self.last_word.replace(Some(Instant::now()))
    }

    /// Notes that it has.
    pub fn set_discovery_answered(&self) {
        self.heard.set(true);
    }

    /// Notes whether any host takes work.
    pub fn set_has_active_endpoint(&self, up: bool) {
        self.hosts_up.set(up);
    }

    /// The time on the module's clock.
    pub fn balancer_time(&self, at: Instant) -> Duration {
        self.clock.time(at)
    }

    /// The moment of a time on the module's clock.
    pub fn instant(&self, time: Duration) -> Instant {
        self.clock.instant(time)
    }

    /// The time on the module's clock of a Unix time in milliseconds, by the wall clock as it was at the start; none for longer ago
    /// than that has a time for.
    pub fn balancer_time_of_unix(&self, unix_ms: u64) -> Option<Duration> {
        self.clock.by_wall_clock(unix_ms)
    }
}

/// The module's clock: monotonic, tied once to this machine's wall clock, which may be wrong.
#[derive(Clone, Copy, Debug)]
struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }

    fn time(&self, at: Instant) -> Duration {
        (BEFORE_START + at.saturating_duration_since(self.start))
            .saturating_sub(self.start.saturating_duration_since(at))
    }

    fn instant(&self, time: Duration) -> Instant {
        if time < BEFORE_START {
            self.start.checked_sub(BEFORE_START - time).unwrap_or(self.start)
        } else {
            self.start + (time - BEFORE_START)
        }
    }

    fn by_wall_clock(&self, unix_ms: u64) -> Option<Duration> {
        let time = (BEFORE_START + Duration::from_millis(unix_ms)).checked_sub(self.unix)?;
        (!time.is_zero()).then_some(time)
    }
}
