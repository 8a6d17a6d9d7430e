//! A scenario script: the fleet, the load, and the events with their times. It is read from TOML, checked as a whole and then
//! never changed.
//!
//! Whatever a script leaves out has the value of the booking service on an ordinary day: its classes, tenants and kinds of
//! endpoints, with the figures that its operators gave. `docs/operate/rehearse.md` lists every key.

mod defaults;
mod read;

use crate::model::{Distribution, EndpointSpec};
use serde_json::{json, Value};
use std::time::Duration;
use weldworks_balancer::Idempotency;

/// A scenario: who serves, what is requested, and which faults occur.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Name of the scenario in reports.
    pub name: String,
    /// Purpose of the scenario, in one line.
    pub about: String,
    /// Time for which clients send new requests.
    pub lasts: Duration,
    /// The gateways and the stand-in endpoints.
    pub fleet: Fleet,
    /// Rate and shape of the requests.
    pub load: Load,
    /// Behaviour of the clients.
    pub clients: Clients,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants, with their shares of the service.
    pub tenants: Vec<Tenant>,
    /// Discovery: how soon gateways are notified of changes to the endpoint list.
    pub discovery: Discovery,
    /// Network delays in virtual time; a run on sockets has the delays of the loopback interface.
    pub network: Network,
    /// Resources and policy limits of a gateway.
    pub limits: Limits,
    /// Events, in the order of the file.
    pub events: Vec<Event>,
}

/// The gateways and the stand-in endpoints of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Names of the zones (data centres).
    pub zones: Vec<String>,
    /// Number of gateways in virtual time; they are assigned to the zones in turn.
    pub gateways: usize,
    /// Number of gateways in a run on sockets, each a process of its own.
    pub on_sockets: usize,
    /// Number of gateways in the settings of a gateway, as a multiple of the actual number.
    pub gateway_count_factor: f64,
    /// Number of gateways that start late, in virtual time; all other gateways have served requests by then.
    pub late_gateways: usize,
    /// Time at which the late gateways start.
    pub late_start_at: Duration,
    /// Number of gateways that are killed, together with their requests in flight, in virtual time.
    pub killed_gateways: usize,
    /// Time at which gateways are killed.
    pub killed_at: Duration,
    /// Time after which killed gateways start again, without any state.
    pub restart_delay: Duration,
    /// Time for which the load balancer in front goes on forwarding to a gateway that was killed.
    pub failover_delay: Duration,
    /// Number of stand-in endpoints; they are assigned to the zones in turn.
    pub nodes: usize,
    /// Number of endpoints in a rack; a rack lies in one zone.
    pub rack: usize,
    /// Kinds of stand-in endpoints.
    pub kinds: Vec<Kind>,
}

/// A kind of stand-in endpoint, such as an older machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Name of the kind.
    pub name: String,
    /// Share of the kind among all endpoints.
    pub share: f64,
    /// Range from which each endpoint's speed is drawn.
    pub speed: (f64, f64),
    /// Range from which the interval between two load reports is drawn.
    pub report_every: (Duration, Duration),
    /// Range from which the delay of a load report is drawn.
    pub report_late: (Duration, Duration),
    /// All other properties of an endpoint.
    pub spec: EndpointSpec,
}

/// The course of the request rate over the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// The rate is constant.
    Steady,
    /// The rate follows a sine wave about the mean.
    Wave,
    /// The rate rises linearly from 0 to twice the mean.
    Ramp,
}

/// Rate and shape of the requests of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Mean number of first attempts of clients, a second.
    pub rate: f64,
    /// Course of the request rate over the run.
    pub shape: Shape,
    /// Amplitude of a wave, as a fraction of the rate.
    pub swing: f64,
    /// Period of a wave.
    pub period: Duration,
    /// Number of distinct subjects of requests; 0 for requests without a subject.
    pub keys: usize,
    /// Exponent of Zipf's law for the popularity of subjects.
    pub skew: f64,
    /// Factor by which every other gateway of a zone receives more requests, in virtual time.
    pub uneven: usize,
    /// Whether the priority weight of a request grows with its work; a request of mean work has the weight of its class.
    pub weight_by_work: bool,
    /// Additional requests of the first zone's clients, as a fraction of another zone's requests.
    pub zone_skew: f64,
}

/// Behaviour of the clients of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Greatest number of retries of a client's request.
    pub retries: u32,
    /// Range of the timeout of a client's attempt, as a fraction of the class's deadline.
    pub timeout_share: (f64, f64),
    /// Time that a client waits before a retry.
    pub retry_wait: Duration,
    /// Share of clients that honour `Retry-After`.
    pub retry_after_share: f64,
    /// Whether clients send a cost hint with each request.
    pub send_cost_hints: bool,
    /// Share of clients that send a single request on a new connection.
    pub fresh_connections: f64,
}

/// A request class of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Share of the class among all requests.
    pub share: f64,
    /// Mean work of a request, on a core of speed 1.
    pub work: Duration,
    /// Distribution of the work.
    pub distribution: Distribution,
    /// Coefficient of variation of the work, for distributions that have this parameter.
    pub spread: f64,
    /// Coefficient of variation of the work of one request's attempts at different endpoints.
    pub attempt_spread: f64,
    /// Latency objective: only answers within this time count as served in time.
    pub latency_objective: Duration,
    /// Time after which the client gives up the request, retries included.
    pub deadline: Duration,
    /// Priority weight of a request.
    pub priority_weight: f64,
    /// Idempotency of a request.
    pub idempotency: Idempotency,
}

/// A tenant of the booking service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Share of the service's capacity that the tenant is entitled to.
    pub share: f64,
    /// Requests that the tenant sends, as a fraction of its share.
    pub usage: f64,
}

/// Discovery, as the stand-in behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Discovery {
    /// Range of the time until discovery lists that a process ended, drains or started.
    pub notice_delay: (Duration, Duration),
    /// Range of the time until discovery lists that a machine was cut off.
    pub silent_notice_delay: (Duration, Duration),
    /// Processing time of one call; calls are processed one after another.
    pub call_time: Duration,
    /// Timeout of a call: a call that would wait longer fails.
    pub timeout: Duration,
    /// Whether discovery pushes changes to gateways; otherwise gateways watch, and each watch costs a call.
    pub pushed: bool,
    /// Live weights of endpoints, by the number of requests in flight; `None` to publish no weights.
    pub weights: Option<LiveWeights>,
}

/// Live weights: the size of an endpoint, divided by 1 + its requests in flight per core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveWeights {
    /// Interval at which live weights are renewed.
    pub every: Duration,
    /// Age of live weights at the time when gateways receive them.
    pub late: Duration,
}

/// One-way network delays in virtual time.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Delay between a client and its gateway.
    pub client: Duration,
    /// Delay between a gateway and an endpoint of the same zone.
    pub same_zone: Duration,
    /// Delay between a gateway and an endpoint of another zone.
    pub cross_zone: Duration,
    /// Variation of each network delay, as a fraction of the delay.
    pub jitter: f64,
}

/// Resources and policy limits of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Memory of a gateway, in MB.
    pub memory_mb: u64,
    /// Descriptor budget of a gateway.
    pub descriptors: u64,
    /// Greatest number of attempts for one request.
    pub max_attempts: u64,
    /// Greatest `Retry-After` that clients honour; `None` where gateways send no `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Connect timeout: a connection that is not established within this time never will be.
    pub connect_timeout: Duration,
    /// Time after a gateway was notified that an endpoint drains or was removed, from which on the gateway sends no attempt to it.
    pub drain_grace: Duration,
}

/// The endpoints that an event affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// All endpoints.
    All,
    /// The endpoints with these numbers.
    Nodes(Vec<usize>),
    /// The endpoints of the zone with this index.
    Zone(usize),
    /// A share of all endpoints, drawn by the seed.
    Share(f64),
}

/// The fault or change that an event brings about.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Endpoints fail a share of the requests at once.
    Fail {
        /// Share of requests that fail.
        share: f64,
    },
    /// Another program uses a share of each endpoint's machine, on and off.
    Neighbour {
        /// Share of the machine that the other program uses.
        takes: f64,
        /// Range of the time for which the other program runs, and of the time for which it pauses.
        turns: (Duration, Duration),
    },
    /// Some requests of a class take a multiple of their work.
    Heavy {
        /// Index of the class.
        class: usize,
        /// Share of the class's requests that take more work.
        part: f64,
        /// Range of the factor on the work.
        times: (f64, f64),
    },
    /// Endpoints become slower.
    Slow {
        /// Factor by which endpoints become slower.
        times: f64,
    },
    /// Endpoints do nothing while the event lasts.
    Pause,
    /// Processes of endpoints end; the endpoints start cold when the event is over, if the event ends at all.
    Kill,
    /// Machines of endpoints are cut off; the endpoints start cold when the event is over.
    CutOff,
    /// Processes of endpoints end, one after another, and each starts cold after a delay.
    Restart {
        /// Time from the end of an endpoint's process to its new start.
        downtime: Duration,
        /// Time between the restarts of two endpoints.
        apart: Duration,
    },
    /// Endpoints drain, and accept requests again when the event is over.
    Drain,
    /// Endpoints close idle connections after a shorter time.
    LetGo {
        /// Idle time after which an endpoint closes a connection.
        after: Duration,
        /// Whether endpoints drop idle connections without closing them, and reset them when data arrives.
        silently: bool,
    },
    /// Discovery answers no call; when it is back, some endpoints may be missing from its list.
    RegisterDown {
        /// Endpoints that discovery no longer lists afterwards.
        without: Vec<usize>,
    },
    /// Endpoints send load reports with fixed values.
    Report {
        /// Reported requests served a second.
        qps: f64,
        /// Reported requests in flight.
        inflight: f64,
    },
    /// The request rate is multiplied.
    Surge {
        /// Factor on the request rate.
        times: f64,
    },
}

/// An event of a scenario: a fault or change, when it begins and ends, and the endpoints that it affects.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time at which the event begins.
    pub at: Duration,
    /// Duration of the event; `None` for an event that does not end.
    pub lasts: Option<Duration>,
    /// Endpoints that the event affects.
    pub target: Target,
    /// The fault or change.
    pub fault: FaultKind,
}

impl Event {
    /// Time at which the event ends; `None` for an event that does not end.
    pub fn until(&self) -> Option<Duration> {
        self.lasts.map(|lasts| self.at + lasts)
    }
}

impl Script {
    /// Parses a script in TOML. Error messages name `file`.
    ///
    /// # Errors
    /// All problems of the script, each with its line and key.
    pub fn parse(file: &str, text: &str) -> Result<Script, weldworks_config::Problems> {
        read::script(file, text)
    }

    /// Time at which the run ends: by then every request has long been answered or given up.
    pub fn end(&self) -> Duration {
        let longest = self.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        self.lasts + longest + Duration::from_secs(2)
    }

    /// Name of an endpoint, as discovery lists it.
    pub fn endpoint_name(&self, endpoint: usize) -> String {
        format!("n{endpoint:02}")
    }

    /// Zone of an endpoint or of a gateway, by its number.
    pub fn zone_of(&self, number: usize) -> usize {
        number % self.fleet.zones.len()
    }

    /// Rack of an endpoint; every gateway uses the same number for a rack.
    pub fn rack_of(&self, endpoint: usize) -> usize {
        let zones = self.fleet.zones.len();
        (endpoint / zones / self.fleet.rack.max(1)) * zones + endpoint % zones
    }

    /// Capacity of the service in requests a second, by the mean speeds of the endpoints and without any cached key.
    pub fn capacity(&self) -> f64 {
        let (mut capacity, mut shares) = (0.0, 0.0);
        for kind in &self.fleet.kinds {
            capacity += kind.share * f64::from(kind.spec.cores) * (kind.speed.0 + kind.speed.1) / 2.0;
            shares += kind.share;
        }
        capacity / shares * self.fleet.nodes as f64 / self.mean_work()
    }

    /// Mean work of a request, in seconds on a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        let (mut work, mut total_share) = (0.0, 0.0);
        for class in &self.classes {
            work += class.share * class.work.as_secs_f64();
            total_share += class.share;
        }
        work / total_share
    }

    /// Quota of a tenant, in requests a second over all gateways.
    pub fn quota(&self, tenant: usize) -> f64 {
        self.tenants.get(tenant).map_or(f64::INFINITY, |tenant| tenant.share * 0.85 * self.capacity())
    }

    /// Settings of a gateway, in the form in which the platform provides them.
    pub fn settings(&self, gateway: usize, gateways: usize) -> Value {
        let classes: Vec<Value> = self.classes.iter().map(class_settings).collect();
        let account = |(index, tenant): (usize, &Tenant)| json!({"name": tenant.name, "quota_per_s": self.quota(index), "share": tenant.share});
        let accounts: Vec<Value> = self.tenants.iter().enumerate().map(account).collect();
        let spec = &self.fleet.kinds[0].spec;
        let coldest = self.fleet.kinds.iter().map(|kind| kind.spec.cold_from).fold(f64::INFINITY, f64::min);
        let longest = self.fleet.kinds.iter().map(|kind| kind.spec.cold_for).max().unwrap_or_default();
        let idle = self.fleet.kinds.iter().map(|kind| kind.spec.keep_alive).min().unwrap_or_default();
        json!({
            "accounts": accounts,
            "azs": self.fleet.zones,
            "classes": classes,
            "client_habits": {"marks_retry": true},
            "costs": {"cross_zone": 0.02, "late_fail": 0.03, "waste": 0.2},
            "discovery": if self.discovery.pushed { "push" } else { "ask" },
            "family": "proxy",
            "family_info": {"warm_keys": self.fleet.kinds.iter().any(|kind| kind.spec.key_gain > 0.0)},
            "flavors": self.fleet.kinds.iter().map(|kind| kind.name.clone()).collect::<Vec<_>>(),
            "fleet_size": (gateways as f64 * self.fleet.gateway_count_factor).round().max(1.0) as u64,
            "locality": self.zone_of(gateway),
            "over_share_worth": OVER_SHARE_WORTH,
            "policy_limits": {
                "dial_timeout_s": self.limits.connect_timeout.as_secs_f64(),
                "keepalive_s": idle.as_secs_f64(),
                "max_retry_after_s": self.limits.retry_after.unwrap_or_default().as_secs_f64(),
                "may_cancel": true, "peers": false, "probes": false,
                "retry_after": self.limits.retry_after.is_some(),
                "second_copies": false, "streams_per_conn": 1, "try_limit": self.limits.max_attempts,
            },
            "quantum_s": 0.005,
            "rank": gateway,
            "safety": {
                "ask_within_s": 10.0, "cold_from": coldest, "cold_s": longest.as_secs_f64(),
                "fall_s": spec.fall_over.as_secs_f64(), "grace_to_answer_s": 0.02,
                "overload_factor": spec.fall_at, "stop_sending_within_s": self.limits.drain_grace.as_secs_f64(),
            },
            "stats": {"fields": ["qps", "inflight"], "how": "inline"},
            "tier": 0, "tiers": ["booking"], "weight_source": if self.discovery.weights.is_some() { "live" } else { "off" },
            "worth_by": if self.load.weight_by_work { "work" } else { "request" },
        })
    }
}

/// Priority weight of a request beyond its tenant's share, as a fraction of its class's weight.
pub const OVER_SHARE_WORTH: f64 = 0.2;

fn class_settings(class: &Class) -> Value {
    let (effect, group, window) = match class.idempotency {
        Idempotency::Idempotent => ("free", "all", 5.0),
        Idempotency::NotIdempotent => ("single_shot", "all", 5.0),
        Idempotency::IdempotencyKey { scope: group, window } => {
            let group = match group {
                weldworks_balancer::KeyScope::All => "all",
                weldworks_balancer::KeyScope::Zone => "zone",
                weldworks_balancer::KeyScope::Cell => "cell",
            };
            ("guarded", group, window.as_secs_f64())
        }
    };
    json!({"name": class.name, "promise_s": class.latency_objective.as_secs_f64(), "deadline_s": class.deadline.as_secs_f64(),
        "effect": effect, "group": group, "dedup_window_s": window, "importance": class.priority_weight,
        "late_worth": 0.0, "streaming": false})
}
