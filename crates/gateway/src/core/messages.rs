//! What the gateway's owner is told, and what it answers: the one way in and the one way out of every front.

use crate::discovery::list::List;
use crate::exchange::{Answer, Forward};
use crate::names::Names;
use crate::presence::Presence;
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
pub enum Final {
    /// Served by a host.
    Served(Answer),
    /// Not done; trying again is harmless.
    Refused {
        /// How long to keep away; zero for no advice.
        keep_away: Duration,
    },
    /// Not done, or not known to be.
    Failed(StatusCode),
}

impl Final {
    /// What it is, in a word.
    pub fn name(&self) -> &'static str {
        match self {
            Final::Served(_) => "served",
            Final::Refused { .. } => "refused",
            Final::Failed(_) => "failed",
        }
    }
}

/// A request that a client is owed an answer to.
pub struct Arrival {
    /// What the module is told.
    pub request: weldworks_balancer::Request,
    /// The client's number for it, `X-Request-ID`.
    pub number: HeaderValue,
    /// What goes on to a host.
    pub forward: Forward,
    /// The class it came under; held to its end.
    pub class: Rc<RegisteredClass>,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Final>,
    /// Its client; told as soon as no answer is wanted any more.
    pub client: Rc<Presence>,
}

/// What changes with a new file.
pub struct Retune {
    /// The settings, classes by the numbers that they are kept under.
    pub settings: Settings,
    /// The names behind the other numbers.
    pub names: Names,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// What holds for connections to hosts.
    pub connections: crate::upstream::Terms,
    /// A digest of what the file says of the whole site.
    pub digest: u64,
}

/// What the gateway hears.
pub enum Message {
    /// A client's request.
    Arrived(Box<Arrival>),
    /// A connection has been accepted; told where somebody counts them.
    Connected,
    /// The client has gone.
    Gone(RequestId),
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
        /// When it was sent.
        sent: Instant,
        /// How it ended.
        outcome: Outcome,
        /// The answer, where it was served.
        answer: Option<Answer>,
        /// What the host said of its load.
        load: Option<LoadReport>,
        /// From the decision to its last byte's going to the kernel, where that went.
        written: Option<Duration>,
    },
    /// The body of a request has begun to leave and is not held.
    Spent(RequestId),
    /// The last byte of such a body has gone.
    Complete {
        /// The request.
        request: RequestId,
        /// When its client gives up.
        give_up: Instant,
    },
    /// An answer is passed on while it comes.
    Started {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
        /// From the send, or the last byte of the body, to the answer's first byte.
        latency: Duration,
        /// The answer.
        answer: Answer,
        /// What the host said of its load.
        load: Option<LoadReport>,
    },
    /// A host has ended an idle connection.
    Closed {
        /// Which host.
        host: EndpointId,
        /// Where the connection went.
        address: SocketAddr,
        /// How long the connection had been idle.
        idle: Duration,
        /// How many idle connections to it are left.
        left: usize,
    },
    /// News of the hosts.
    Hosts {
        /// From which watch, counted from 1.
        watch: u64,
        /// What it said.
        list: List,
        /// When discovery had last said anything before that, if it had.
        heard_before: Option<Instant>,
    },
    /// What another process knew is to be gone on from.
    Recall(Snapshot),
    /// What is known is to be told.
    Remember(oneshot::Sender<Snapshot>),
    /// Other settings hold from now on.
    Retune(Box<Retune>),
    /// Other gateways have a newer list: discovery is to be asked again.
    Behind {
        /// The index that most of them have.
        current: u64,
    },
    /// Newer lists than the one held say that hosts leave or are gone.
    Told(Vec<DepartedEndpoint>),
    /// The process is on its way out: what is open has no more time than that.
    Stopping,
    /// A watch on the hosts has failed or ended.
    DiscoveryFailed {
        /// Which.
        watch: u64,
        /// Why.
        why: String,
        /// For how long it had said nothing, or since when it was called.
        quiet: Duration,
    },
}

/// What all tasks share: the way to the gateway, the clock, and what is to be seen of its state.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    requests: Rc<Cell<u64>>,
    hosts_up: Rc<Cell<bool>>,
    connections: Rc<Cell<bool>>,
    heard: Rc<Cell<bool>>,
    last_word: Rc<Cell<Option<Instant>>>,
    answers_by: Rc<Cell<Option<Instant>>>,
    clock: Clock,
}

impl Handle {
    /// A handle, and what is told through it and its clones.
    pub fn new() -> (Handle, mpsc::UnboundedReceiver<Message>) {
        let (sender, messages) = mpsc::unbounded_channel();
        let (requests, hosts_up, connections, heard, last_word, answers_by) = Default::default();
        (
            Handle {
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
    pub fn tell(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// From now on the gateway is told of every connection.
    pub fn count_connections(&self) {
        self.connections.set(true);
    }

    /// A connection has been accepted.
    pub fn connected(&self) {
        if self.connections.get() {
            self.tell(Message::Connected);
        }
    }

    /// A number for a new request.
    pub fn next_request(&self) -> RequestId {
        self.requests.set(self.requests.get() + 1);
        RequestId(self.requests.get())
    }

    /// Where it is to be seen whether any host takes work.
    pub fn hosts_up(&self) -> Rc<Cell<bool>> {
        self.hosts_up.clone()
    }

    /// The latest moment for any answer, where the process is on its way out.
    pub fn answers_by(&self) -> Option<Instant> {
        self.answers_by.get()
    }

    /// Notes it.
    pub fn set_answers_by(&self, by: Instant) {
        self.answers_by.set(Some(by));
    }

    /// Whether discovery has said something since the start.
    pub fn heard(&self) -> bool {
        self.heard.get()
    }

    /// Discovery says something now; gives when it last did before.
    pub fn note_word(&self) -> Option<Instant> {
        self.last_word.replace(Some(Instant::now()))
    }

    /// Notes that it has.
    pub fn note_heard(&self) {
        self.heard.set(true);
    }

    /// Notes whether any host takes work.
    pub fn set_hosts_up(&self, up: bool) {
        self.hosts_up.set(up);
    }

    /// The time on the module's clock.
    pub fn time(&self, at: Instant) -> Duration {
        self.clock.time(at)
    }

    /// The moment of a time on the module's clock.
    pub fn instant(&self, time: Duration) -> Instant {
        self.clock.instant(time)
    }

    /// The time on the module's clock of a Unix time in milliseconds, by the wall clock as it was at the start; none for longer ago
    /// than that has a time for.
    pub fn by_wall_clock(&self, unix_ms: u64) -> Option<Duration> {
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
