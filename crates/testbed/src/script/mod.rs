//! A script: the fleet, the load, and what happens when. Read from TOML, checked whole, then only looked at.
//!
//! What a script leaves out is the booking service on an ordinary day: its classes, tenants and kinds of nodes, with
//! the figures that its operators gave. `docs/operate/rehearse.md` lists every key.

mod defaults;
mod read;

use crate::model::{Distribution, EndpointSpec};
use serde_json::{json, Value};
use std::time::Duration;
use weldworks_balancer::Idempotency;

/// A day to rehearse.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Its name, in reports.
    pub name: String,
    /// What it is for, in a line.
    pub about: String,
    /// Requests come for so long.
    pub lasts: Duration,
    /// Who serves.
    pub fleet: Fleet,
    /// What is asked.
    pub load: Load,
    /// Who asks.
    pub clients: Clients,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The list of nodes, and how it is told.
    pub register: Register,
    /// The ways between them, in virtual time; on sockets they are what they are.
    pub network: Network,
    /// What a gateway may use and do.
    pub limits: Limits,
    /// What happens, in the order of the file.
    pub events: Vec<Event>,
}

/// Who serves.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The data centres.
    pub zones: Vec<String>,
    /// How many gateways in virtual time; dealt to the zones in turn.
    pub gateways: usize,
    /// How many on sockets, each a process of its own.
    pub on_sockets: usize,
    /// What gateways are told of their number, as a multiple of the truth.
    pub told: f64,
    /// How many of the gateways start later, by the front of virtual time; all others are warm by then.
    pub joining: usize,
    /// When these do.
    pub joins_at: Duration,
    /// How many gateways are killed, with whatever they hold, in virtual time.
    pub killed: usize,
    /// When.
    pub killed_at: Duration,
    /// After so long they are there again, and know nothing.
    pub back_after: Duration,
    /// So long the front goes on dealing to a gateway that is not there.
    pub noticed: Duration,
    /// How many nodes; likewise.
    pub nodes: usize,
    /// How many nodes of a zone make a rack.
    pub rack: usize,
    /// The kinds of nodes.
    pub kinds: Vec<Kind>,
}

/// A kind of node.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its share of the fleet.
    pub share: f64,
    /// The range from which each node's speed is drawn.
    pub speed: (f64, f64),
    /// The range from which the time between two reports is drawn.
    pub report_every: (Duration, Duration),
    /// The range from which a report's lateness is drawn.
    pub report_late: (Duration, Duration),
    /// All else.
    pub spec: EndpointSpec,
}

/// The shape of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// The same all day.
    Steady,
    /// Up and down.
    Wave,
    /// From nothing to twice the mean.
    Ramp,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// First tries a second, in the mean.
    pub rate: f64,
    /// Their shape.
    pub shape: Shape,
    /// How far a wave swings, as a share of the rate.
    pub swing: f64,
    /// How long one wave is.
    pub period: Duration,
    /// How many distinct subjects there are; 0 for none.
    pub keys: usize,
    /// How much more popular some are (the exponent of Zipf's law).
    pub skew: f64,
    /// So many times as much is dealt to every other gateway of a zone, by the front of virtual time.
    pub uneven: usize,
    /// A request is worth what its class is for the mean work, and more where it is more work.
    pub worth_by_work: bool,
    /// How much more the first zone's clients ask than the others', as a share.
    pub zone_skew: f64,
}

/// Who asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// How often one tries again.
    pub retries: u32,
    /// A try is given up after this share of the class's deadline.
    pub try_share: (f64, f64),
    /// The wait between two tries.
    pub wait: Duration,
    /// The share of clients that heed advice on when to come back.
    pub heed: f64,
    /// They say what a request will cost.
    pub hints: bool,
    /// The share of clients that ask once on a new connection.
    pub fresh_connections: f64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Its mean work, on a core of speed 1.
    pub work: Duration,
    /// How the work is spread.
    pub distribution: Distribution,
    /// The coefficient of variation, where the distribution has one.
    pub spread: f64,
    /// How much an attempt's work differs from node to node, likewise.
    pub attempt_spread: f64,
    /// An answer within this time is worth something.
    pub aim: Duration,
    /// The client gives up after this, all tries together.
    pub deadline: Duration,
    /// The worth of one.
    pub worth: f64,
    /// What repeating it does.
    pub effect: Idempotency,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// What it asks, as a part of its share.
    pub usage: f64,
}

/// The register.
#[derive(Clone, Debug, PartialEq)]
pub struct Register {
    /// How long a process that ended, drains or started is not yet told.
    pub notice: (Duration, Duration),
    /// How long a machine that fell silent is not.
    pub silent_notice: (Duration, Duration),
    /// What one call takes; calls are worked through in turn.
    pub call: Duration,
    /// A call that would wait longer fails.
    pub timeout: Duration,
    /// News come unasked; otherwise to those who watch, for the price of a call.
    pub pushed: bool,
    /// Nodes are given weights by what they hold.
    pub weights: Option<LiveWeights>,
}

/// Weights that tell a node's size, divided by 1 + what it holds a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveWeights {
    /// They are renewed so often.
    pub every: Duration,
    /// They are so old by the time they are told.
    pub late: Duration,
}

/// One-way times in virtual time.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Between a client and its gateway.
    pub client: Duration,
    /// Inside a zone.
    pub same: Duration,
    /// Between zones.
    pub cross: Duration,
    /// The spread of each, as a share.
    pub jitter: f64,
}

/// What a gateway may use and do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: u64,
    /// The most attempts for one request.
    pub attempts: u64,
    /// Clients are told when to come back, and heed at most this.
    pub retry_after: Option<Duration>,
    /// A connection that is not up by then never will be.
    pub dial: Duration,
    /// Nothing new goes to a node so long after its gateway was told that it drains or is gone.
    pub drain_grace: Duration,
}

/// Which nodes an event meets.
#[derive(Clone, Debug, PartialEq)]
pub enum Whom {
    /// All of them.
    All,
    /// These.
    Nodes(Vec<usize>),
    /// Those of a zone.
    Zone(usize),
    /// A share of all, drawn by the seed.
    Share(f64),
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// They fail this share of requests at once.
    Fail {
        /// The share.
        share: f64,
    },
    /// Another program takes this share of their machines, on and off.
    Neighbour {
        /// The share.
        takes: f64,
        /// How long it stays and stays away.
        turns: (Duration, Duration),
    },
    /// A part of one class costs so many times as much.
    Heavy {
        /// The class.
        class: usize,
        /// The part.
        part: f64,
        /// How much more.
        times: (f64, f64),
    },
    /// They are so many times slower.
    Slow {
        /// How many.
        times: f64,
    },
    /// They do nothing.
    Pause,
    /// Their processes end; they start cold when it is over, if it ever is.
    Kill,
    /// Their machines are cut off; they start cold when it is over.
    CutOff,
    /// Their processes end, one after another, and each starts cold after a moment.
    Restart {
        /// How long each is gone.
        gone: Duration,
        /// From one to the next.
        apart: Duration,
    },
    /// They drain, and take work again when it is over.
    Drain,
    /// They let idle connections go after this time.
    LetGo {
        /// The time.
        after: Duration,
        /// They say nothing, and reset what comes on them.
        silently: bool,
    },
    /// The register answers nobody; when it is back its list may lack some.
    RegisterDown {
        /// The nodes that it lists no more.
        without: Vec<usize>,
    },
    /// Their load reports always say this.
    Report {
        /// Requests served a second.
        qps: f64,
        /// Requests held.
        inflight: f64,
    },
    /// The load is so many times what it would be.
    Surge {
        /// How many.
        times: f64,
    },
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// From when.
    pub at: Duration,
    /// For how long; without end where none.
    pub lasts: Option<Duration>,
    /// To whom.
    pub whom: Whom,
    /// What.
    pub what: What,
}

impl Event {
    /// When it is over.
    pub fn until(&self) -> Option<Duration> {
        self.lasts.map(|lasts| self.at + lasts)
    }
}

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    /// All that is wrong with it, each with its line and key.
    pub fn parse(file: &str, text: &str) -> Result<Script, weldworks_config::Problems> {
        read::script(file, text)
    }

    /// When everything that was asked has long been answered or given up.
    pub fn end(&self) -> Duration {
        let longest = self.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        self.lasts + longest + Duration::from_secs(2)
    }

    /// A node's name, as the register lists it.
    pub fn node_name(&self, node: usize) -> String {
        format!("n{node:02}")
    }

    /// The zone of a node or of a gateway, by its number.
    pub fn zone_of(&self, number: usize) -> usize {
        number % self.fleet.zones.len()
    }

    /// The rack of a node; its number is the same at every gateway.
    pub fn rack_of(&self, node: usize) -> usize {
        let zones = self.fleet.zones.len();
        (node / zones / self.fleet.rack.max(1)) * zones + node % zones
    }

    /// What the service would do at the most, in requests a second: from the mean speeds, no key met before.
    pub fn capacity(&self) -> f64 {
        let (mut capacity, mut shares) = (0.0, 0.0);
        for kind in &self.fleet.kinds {
            capacity += kind.share * f64::from(kind.spec.cores) * (kind.speed.0 + kind.speed.1) / 2.0;
            shares += kind.share;
        }
        capacity / shares * self.fleet.nodes as f64 / self.mean_work()
    }

    /// The work of a mean request, in seconds of a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        let (mut work, mut asked) = (0.0, 0.0);
        for class in &self.classes {
            work += class.share * class.work.as_secs_f64();
            asked += class.share;
        }
        work / asked
    }

    /// A tenant's quota, in requests a second over all gateways.
    pub fn quota(&self, tenant: usize) -> f64 {
        self.tenants.get(tenant).map_or(f64::INFINITY, |t| t.share * 0.85 * self.capacity())
    }

    /// The settings of a gateway, in the form that the platform gives them.
    pub fn settings(&self, gateway: usize, gateways: usize) -> Value {
        let classes: Vec<Value> = self.classes.iter().map(class_settings).collect();
        let account = |(n, t): (usize, &Tenant)| json!({"name": t.name, "quota_per_s": self.quota(n), "share": t.share});
        let accounts: Vec<Value> = self.tenants.iter().enumerate().map(account).collect();
        let spec = &self.fleet.kinds[0].spec;
        let coldest = self.fleet.kinds.iter().map(|k| k.spec.cold_from).fold(f64::INFINITY, f64::min);
        let longest = self.fleet.kinds.iter().map(|k| k.spec.cold_for).max().unwrap_or_default();
        let idle = self.fleet.kinds.iter().map(|k| k.spec.keep_alive).min().unwrap_or_default();
        json!({
            "accounts": accounts,
            "azs": self.fleet.zones,
            "classes": classes,
            "client_habits": {"marks_retry": true},
            "costs": {"cross_zone": 0.02, "late_fail": 0.03, "waste": 0.2},
            "discovery": if self.register.pushed { "push" } else { "ask" },
            "family": "proxy",
            "family_info": {"warm_keys": self.fleet.kinds.iter().any(|k| k.spec.key_gain > 0.0)},
            "flavors": self.fleet.kinds.iter().map(|k| k.name.clone()).collect::<Vec<_>>(),
            "fleet_size": (gateways as f64 * self.fleet.told).round().max(1.0) as u64,
            "locality": self.zone_of(gateway),
            "over_share_worth": OVER_SHARE_WORTH,
            "policy_limits": {
                "dial_timeout_s": self.limits.dial.as_secs_f64(),
                "keepalive_s": idle.as_secs_f64(),
                "max_retry_after_s": self.limits.retry_after.unwrap_or_default().as_secs_f64(),
                "may_cancel": true, "peers": false, "probes": false,
                "retry_after": self.limits.retry_after.is_some(),
                "second_copies": false, "streams_per_conn": 1, "try_limit": self.limits.attempts,
            },
            "quantum_s": 0.005,
            "rank": gateway,
            "safety": {
                "ask_within_s": 10.0, "cold_from": coldest, "cold_s": longest.as_secs_f64(),
                "fall_s": spec.fall_over.as_secs_f64(), "grace_to_answer_s": 0.02,
                "overload_factor": spec.fall_at, "stop_sending_within_s": self.limits.drain_grace.as_secs_f64(),
            },
            "stats": {"fields": ["qps", "inflight"], "how": "inline"},
            "tier": 0, "tiers": ["booking"], "weight_source": if self.register.weights.is_some() { "live" } else { "off" },
            "worth_by": if self.load.worth_by_work { "work" } else { "request" },
        })
    }
}

/// What a request beyond its tenant's share is worth, as a part of its class's worth.
pub const OVER_SHARE_WORTH: f64 = 0.2;

fn class_settings(class: &Class) -> Value {
    let (effect, group, window) = match class.effect {
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
    json!({"name": class.name, "promise_s": class.aim.as_secs_f64(), "deadline_s": class.deadline.as_secs_f64(),
        "effect": effect, "group": group, "dedup_window_s": window, "importance": class.worth,
        "late_worth": 0.0, "streaming": false})
}
