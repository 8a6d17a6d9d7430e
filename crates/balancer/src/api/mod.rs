//! The interface of the decision module: settings in, events in, actions out.
//!
//! Times are [`Duration`]s on the embedding gateway's own clock, which starts anywhere and never runs back.
//! Ids are chosen by the gateway: hosts are numbered densely from 0, requests by any number not used before.
//! An event about a host or request that the module does not know, or that is already over, is passed over.

use std::time::Duration;

/// A host, numbered densely from 0 by the gateway; at most [`EndpointId::LIMIT`] per instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

impl EndpointId {
    /// Hosts numbered from here on are passed over.
    pub const LIMIT: u32 = 1 << 20;
}

/// A request, by a number that the gateway uses once; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent to repeat and to refuse at any time.
    Idempotent,
    /// Carries a key: hosts of `group` drop a repeat within `window` of the send that may have run.
    IdempotencyKey {
        /// The hosts that know each other's keys.
        scope: KeyScope,
        /// How long they remember.
        window: Duration,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// The hosts that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every host.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

impl KeyScope {
    /// Whether the two hosts drop each other's repeats.
    pub fn shares_keys(self, a: &Endpoint, b: &Endpoint) -> bool {
        self.partition_of(a) == self.partition_of(b)
    }

    /// Which one of these groups a host belongs to.
    pub fn partition_of(self, host: &Endpoint) -> u32 {
        match self {
            KeyScope::All => 0,
            KeyScope::Zone => host.zone,
            KeyScope::Cell => host.cell,
        }
    }
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time earns the full worth.
    pub latency_objective: Duration,
    /// The aim grows by this many times the work of the request, up to the deadline.
    pub objective_stretch: f64,
    /// How long a client waits in all, over all its tries.
    pub deadline: Duration,
    /// The worth of one request (or of one unit of its work).
    pub priority_weight: f64,
    /// The part of the worth that an answer after the aim still earns.
    pub late_value_fraction: f64,
    /// What repeating it may do.
    pub idempotency: Idempotency,
    /// Requests of one key run one at a time, in the order taken.
    pub sequential: bool,
    /// It has left the settings: only requests that are open still have it.
    pub retired: bool,
}

impl RequestClass {
    /// A class that is safe to repeat, worth 1 within `aim` and nothing later.
    pub fn new(latency_objective: Duration, deadline: Duration) -> Self {
        RequestClass {
            latency_objective,
            objective_stretch: 0.0,
            deadline,
            priority_weight: 1.0,
            late_value_fraction: 0.0,
            idempotency: Idempotency::Idempotent,
            sequential: false,
            retired: false,
        }
    }
}

/// What a host's `weight` means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointWeights {
    /// Nothing.
    Off,
    /// Its size, exactly or roughly.
    Size,
    /// Its size divided by 1 + requests held per core, some time ago.
    Live,
}

/// What an instance is told at its start. The default allows everything and knows no class.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many gateways there are, this one included.
    pub gateway_count: u32,
    /// The zone of this gateway.
    pub zone: u32,
    /// The request classes; a request names one by its place.
    pub classes: Vec<RequestClass>,
    /// Each tenant's quota, requests per second over all gateways; a request names its tenant by its place.
    pub tenant_quotas: Vec<f64>,
    /// The worth of a request beyond its tenant's quota, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// `Some(t)` where host news comes only to those who ask, and must be asked for every `t`.
    pub discovery_poll_interval: Option<Duration>,
    /// The shortest time between two moments at which the gateway acts.
    pub timer_tick: Duration,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// An attempt may be called off.
    pub cancellation_allowed: bool,
    /// Two attempts of one request may be out at once.
    pub hedging_allowed: bool,
    /// Hosts may be probed.
    pub probes_allowed: bool,
    /// The longest advice to keep away that clients heed; zero where they are told none.
    pub max_retry_after: Duration,
    /// A starting host does at least this part of its full work.
    pub slow_start_min_capacity: f64,
    /// A started host is warm after this time.
    pub slow_start_duration: Duration,
    /// A cold host that is sent this many times what it can do falls over ...
    pub overload_factor: f64,
    /// ... when it lasts this long.
    pub overload_duration: Duration,
    /// How long a key of a sequential class rests after an attempt that may still be running.
    pub key_quiet_period: Duration,
    /// Where given, how long idle connections to a draining host may stay open.
    pub drain_close_within: Option<Duration>,
    /// The price of an attempt in another zone, as a part of a request's worth.
    pub cross_zone_cost: f64,
    /// The price of a new connection to a host, as a part of a request's worth.
    pub handshake_cost: f64,
    /// Hosts close what has been idle for so long; gateways close it after half of that.
    pub keep_alive: Duration,
    /// A host does less work for a key that it met lately.
    pub key_cache_affinity: bool,
    /// What [`Endpoint::weight`] means.
    pub endpoint_weights: EndpointWeights,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            gateway_count: 1,
            zone: 0,
            classes: Vec::new(),
            tenant_quotas: Vec::new(),
            over_quota_weight: 1.0,
            discovery_poll_interval: None,
            timer_tick: Duration::from_millis(1),
            max_attempts: 3,
            cancellation_allowed: true,
            hedging_allowed: true,
            probes_allowed: true,
            max_retry_after: Duration::ZERO,
            slow_start_min_capacity: 0.1,
            slow_start_duration: Duration::from_secs(30),
            overload_factor: 2.0,
            overload_duration: Duration::from_secs(1),
            key_quiet_period: Duration::ZERO,
            drain_close_within: None,
            cross_zone_cost: 0.0,
            handshake_cost: 0.0,
            keep_alive: Duration::from_secs(10),
            key_cache_affinity: false,
            endpoint_weights: EndpointWeights::Off,
        }
    }
}

/// The state of a host, as discovery tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Up,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Gone.
    Removed,
}

/// One entry of a host list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its number at this gateway.
    pub id: EndpointId,
    /// A hash of its lasting name, the same at every gateway: see [`stable_hash`].
    pub hash: u64,
    /// Its state.
    pub state: EndpointState,
    /// Its zone.
    pub zone: u32,
    /// Its cell: the hosts that share the keys they have seen.
    pub cell: u32,
    /// When it last started; `None` for long ago.
    pub started: Option<Duration>,
    /// Its machine kind.
    pub kind: u32,
    /// A figure to compare hosts by: see [`Settings::endpoint_weights`].
    pub weight: f64,
}

impl Endpoint {
    /// A host of zone, cell and kind 0 that has been up for long.
    pub fn new(id: EndpointId, name: &str) -> Self {
        let hash = stable_hash(name);
        Endpoint { id, hash, state: EndpointState::Up, zone: 0, cell: 0, started: None, kind: 0, weight: 1.0 }
    }
}

impl Default for Endpoint {
    /// A host that is not there.
    fn default() -> Self {
        Endpoint { state: EndpointState::Removed, ..Endpoint::new(EndpointId(0), "") }
    }
}

/// A request from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class: a place in [`Settings::classes`].
    pub class: usize,
    /// Its tenant: a place in [`Settings::tenant_quotas`].
    pub tenant: usize,
    /// [`stable_hash`] of its subject; requests of one key are related.
    pub key: Option<u64>,
    /// Expected work, as time on a standard core.
    pub cost_hint: Option<Duration>,
    /// The client has tried before (where clients say so).
    pub is_client_retry: bool,
    /// The part of the admission that it may use: 1 for all of it. Below, it is refused while others still get in;
    /// at 0, unless nothing at all is out.
    pub admission_share: f64,
    /// When the client gives this try up.
    pub client_deadline: Duration,
    /// Its body is still coming and is not held: it goes to one host as it comes, and its time begins with
    /// [`Event::BodyForwarded`].
    pub body_streaming: bool,
}

impl Request {
    /// A plain request: tenant 0, no key, no hint.
    pub fn new(id: RequestId, class: usize, client_deadline: Duration) -> Self {
        Request {
            id,
            class,
            tenant: 0,
            key: None,
            cost_hint: None,
            is_client_retry: false,
            admission_share: 1.0,
            client_deadline,
            body_streaming: false,
        }
    }
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The host answered with an error; it may have run.
    Error,
    /// Turned away unseen; it did not run.
    Rejected,
    /// No answer by the attempt's time-out; it may have run or still be running.
    TimedOut,
    /// No connection could be had; it did not run.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// The gateway did not send it; it did not run.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn proves_not_processed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// What a host says of its load, all gateways together: refreshed now and then, older than it looks, a little noisy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests served a second, over the time since the report before.
    pub requests_per_second: f64,
    /// Requests held when it was made.
    pub in_flight: f64,
}

/// What happens at the gateway.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Endpoint news. In a snapshot a host that is missing is gone.
    EndpointList {
        /// A complete list, not only changes.
        is_snapshot: bool,
        /// The entries.
        endpoints: &'a [Endpoint],
    },
    /// A [`Action::PollDiscovery`] failed or the subscription broke.
    DiscoveryFailed {
        /// For how long it had said nothing, where a subscription broke; a call's time is known.
        silent_for: Duration,
    },
    /// Discovery is another from now on, and nothing of it has been heard: it is to be asked soon, whatever was waited for.
    DiscoveryChanged,
    /// A client's request: one final answer is owed from here on.
    Request(Request),
    /// The body of a [`Request::body_streaming`] has begun to leave: what is gone can't be sent again.
    BodyForwardingStarted {
        /// The request.
        request: RequestId,
    },
    /// The last byte of the body of a [`Request::body_streaming`] has gone: its time, and its host's, counts from now.
    BodyForwarded {
        /// The request.
        request: RequestId,
        /// When the client gives this try up.
        client_deadline: Duration,
    },
    /// An answer is passed on while it comes: the choice is final, its time-outs stop, and how long the rest takes says
    /// nothing of the host. No outcome is awaited.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Which attempt of it, from 0 in the order sent.
        attempt: u32,
        /// From the send until now.
        latency: Duration,
    },
    /// An attempt has ended; each [`Action::Send`] is answered by one of these.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Which attempt of it, from 0 in the order sent.
        attempt: u32,
        /// From the send until now.
        latency: Duration,
        /// How.
        outcome: Outcome,
        /// The request is over: no answer is owed any more.
        request_ended: bool,
    },
    /// An answer of the host carried a load report; told ahead of the answer's [`Event::AttemptEnded`].
    LoadReport {
        /// The host.
        endpoint: EndpointId,
        /// What it says.
        report: LoadReport,
    },
    /// The host has ended an idle connection that the gateway would have kept: told at once, whether or not it is used.
    IdleConnectionClosed {
        /// The host.
        endpoint: EndpointId,
        /// How long the connection had been idle.
        idle: Duration,
        /// How many idle connections to the host are left.
        remaining: usize,
    },
    /// The client has left: the request is over.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer set by [`Action::SetTimer`] is due.
    Timer {
        /// The token given there.
        token: u64,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The host.
        endpoint: EndpointId,
        /// How.
        outcome: Outcome,
        /// From the send until now.
        latency: Duration,
    },
}

/// What the gateway is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to the host and give it up at `deadline`.
    Send {
        /// The request.
        request: RequestId,
        /// Where.
        endpoint: EndpointId,
        /// When the attempt times out.
        deadline: Duration,
        /// Where given, the latest moment for its last byte to be written: an attempt before it may have run, and hosts drop a repeat up
        /// to then. What is not written by then is [`Outcome::NotSent`].
        write_by: Option<Duration>,
    },
    /// The attempts of the request that are out are given up at another time.
    SetAttemptDeadline {
        /// The request.
        request: RequestId,
        /// When.
        deadline: Duration,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0 in the order sent.
        attempt: u32,
    },
    /// Final answer: refused. Trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client is asked to keep away; zero for no advice.
        retry_after: Duration,
    },
    /// Final answer: failed. Whether it ran is not known.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send an [`Event::Timer`] after this time.
    SetTimer {
        /// From now.
        after: Duration,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe the host.
    Probe {
        /// The host.
        endpoint: EndpointId,
    },
    /// Close the idle connections to the host.
    CloseIdleConnections {
        /// The host.
        endpoint: EndpointId,
    },
    /// Ask discovery for all changes from now on; answered by [`Event::EndpointList`] or [`Event::DiscoveryFailed`].
    PollDiscovery,
}

/// A hash that is the same at every gateway and in every build (64-bit FNV-1a, mixed), for host names and keys.
pub fn stable_hash(text: &str) -> u64 {
    let folded = text
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    mix(folded)
}

/// Spreads the bits of a number (the finalizer of MurmurHash3).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
