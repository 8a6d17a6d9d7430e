//! What a node is made of.

use std::time::Duration;

/// How the work of a class is spread about its mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Distribution {
    /// Always the mean.
    Fixed,
    /// Exponential.
    Exponential,
    /// Log-normal.
    LogNormal,
}

/// What warms a cold node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmBy {
    /// Time alone.
    Time,
    /// The work it has done, and never slower than time.
    Work,
}

/// When a node that holds too much turns slower, and until when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChokeSpec {
    /// It turns slower when the mean of what it holds exceeds its cores and this many times their root ...
    pub at: f64,
    /// ... over this time.
    pub over: Duration,
    /// So many times slower.
    pub slower: f64,
    /// Until its cores were busy for less than this share ...
    pub below: f64,
    /// ... over this time,
    pub rest: Duration,
    /// or this time is up.
    pub most: Duration,
}

/// Pauses in which a node does nothing at all, as for the collection of garbage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseSpec {
    /// The mean time between two of them.
    pub every: Duration,
    /// How long one lasts while the node is idle.
    pub lasts: Duration,
    /// It is longer by this share when all slots are taken.
    pub grows: f64,
}

/// How a node tells its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportSpec {
    /// The time between two refreshes.
    pub period: Duration,
    /// How much older than its refresh a report is.
    pub late: Duration,
    /// The deviation of its noise, as a share.
    pub noise: f64,
}

/// What a node is made of. Work is counted in seconds of a core of speed 1.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSpec {
    /// Its cores.
    pub cores: u32,
    /// The speed of each.
    pub speed: f64,
    /// Requests that run at one time.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// The share of its efficiency that it loses while it holds more than `crowded_at` requests a core; a full
    /// slot table loses all of this share.
    pub crowding: f64,
    /// See `crowding`.
    pub crowded_at: f64,
    /// The share of its capacity with which it starts.
    pub cold_from: f64,
    /// It is warm after this time at the latest.
    pub cold_for: Duration,
    /// What warms it.
    pub warm_by: WarmBy,
    /// While it is cold, more than this many times its present capacity ...
    pub fall_at: f64,
    /// ... sent over this time makes it fall over.
    pub fall_over: Duration,
    /// Whether it bears what chance adds to that, as the operators' terms grant it; by default it bears nothing more.
    pub grants_chance: bool,
    /// The work of a mean request, in seconds of a core of speed 1.
    pub mean_work: f64,
    /// Whether and when it chokes.
    pub choke: Option<ChokeSpec>,
    /// Whether and how it pauses.
    pub pause: Option<PauseSpec>,
    /// The share of attempts that end in an error on an ordinary day.
    pub error_rate: f64,
    /// Connections that it takes at one time.
    pub connections: u32,
    /// What a new connection costs it, in seconds of work.
    pub handshake: f64,
    /// The share of its capacity that a full table of connections takes.
    pub connection_tax: f64,
    /// It ends a connection that has been idle for so long.
    pub keep_alive: Duration,
    /// It drops a request whose time is up before it runs.
    pub drops_expired: bool,
    /// Work stops when its request is cancelled.
    pub cancels: bool,
    /// The share of work that a key saves which was met lately.
    pub key_gain: f64,
    /// How long it remembers a key.
    pub key_for: Duration,
    /// How many keys it remembers.
    pub key_places: usize,
    /// The work of a repeat that it drops, in seconds.
    pub repeat_work: f64,
    /// How it tells its load.
    pub report: ReportSpec,
}

impl Default for NodeSpec {
    /// A warm node of two cores of speed 1 on a good day, which loses nothing to anything.
    fn default() -> Self {
        NodeSpec {
            cores: 2,
            speed: 1.0,
            slots: 16,
            queue: 500,
            crowding: 0.0,
            crowded_at: 6.0,
            cold_from: 0.2,
            cold_for: Duration::from_secs(15),
            warm_by: WarmBy::Time,
            fall_at: 2.5,
            fall_over: Duration::from_secs(2),
            grants_chance: false,
            mean_work: 0.05,
            choke: None,
            pause: None,
            error_rate: 0.0,
            connections: 600,
            handshake: 0.0,
            connection_tax: 0.0,
            keep_alive: Duration::from_secs(10),
            drops_expired: true,
            cancels: true,
            key_gain: 0.0,
            key_for: Duration::from_secs(8),
            key_places: 80,
            repeat_work: 0.001,
            report: ReportSpec { period: Duration::from_millis(700), late: Duration::ZERO, noise: 0.0 },
        }
    }
}

impl NodeSpec {
    /// The work a warm node can do, in seconds of work a second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }
}
