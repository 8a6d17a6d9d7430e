//! Properties of a stand-in endpoint.

use std::time::Duration;

/// The distribution of the work of a request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Distribution {
    /// Every request has the mean work.
    Fixed,
    /// Exponential distribution of the work.
    Exponential,
    /// Log-normal distribution of the work.
    LogNormal,
}

/// What makes the slow start of an endpoint progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmBy {
    /// Slow start progresses with the time since the endpoint's start.
    Time,
    /// Slow start progresses with the work done since the endpoint's start, and never slower than by time.
    Work,
}

/// The conditions under which an endpoint with too many requests in flight chokes (becomes slower) and recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChokeSpec {
    /// The endpoint chokes when its mean number of requests in flight exceeds its cores by more than `at` times their square root.
    pub at: f64,
    /// Time over which the requests in flight are averaged.
    pub over: Duration,
    /// Factor by which a choked endpoint is slower.
    pub slower: f64,
    /// A choked endpoint recovers when the busy fraction of its cores is below this value.
    pub below: f64,
    /// Time over which the busy fraction is averaged.
    pub rest: Duration,
    /// Time after which a choked endpoint recovers in any case.
    pub most: Duration,
}

/// Pauses in which an endpoint processes nothing, as in a garbage collection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseSpec {
    /// Mean time between two pauses.
    pub every: Duration,
    /// Length of a pause while the endpoint is idle.
    pub lasts: Duration,
    /// Fraction by which a pause is longer when all slots are in use.
    pub grows: f64,
}

/// Timing and noise of an endpoint's load reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportSpec {
    /// Time between two refreshes of the load report.
    pub period: Duration,
    /// Delay between a refresh and the first response that carries it.
    pub late: Duration,
    /// Standard deviation of the noise, as a fraction of the reported value.
    pub noise: f64,
}

/// Properties of a stand-in endpoint. Work is given in seconds of a core of speed 1.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Number of cores.
    pub cores: u32,
    /// Speed of each core.
    pub speed: f64,
    /// Requests that are processed concurrently.
    pub slots: u32,
    /// Length of the queue of requests that wait for a slot.
    pub queue: u32,
    /// Fraction of its speed that the endpoint loses with all slots in use.
    /// With fewer requests, but more than `crowded_at` a core, the loss is proportionally smaller.
    pub crowding: f64,
    /// Requests in flight per core above which the endpoint loses speed by `crowding`.
    pub crowded_at: f64,
    /// Fraction of its capacity that the endpoint has at the beginning of its slow start.
    pub cold_from: f64,
    /// Longest duration of the slow start.
    pub cold_for: Duration,
    /// What makes the slow start progress.
    pub warm_by: WarmBy,
    /// In its slow start the endpoint crashes when it is sent more than this multiple of its current capacity within `fall_over`.
    pub fall_at: f64,
    /// Length of the sliding window over which `fall_at` is checked.
    pub fall_over: Duration,
    /// Whether an allowance for random variation is added to `fall_at`, as the operators' terms grant it; by default none is added.
    pub grants_chance: bool,
    /// Work of a mean request, in seconds of a core of speed 1.
    pub mean_work: f64,
    /// When the endpoint chokes; `None` if it never does.
    pub choke: Option<ChokeSpec>,
    /// Pauses of the endpoint; `None` if it has none.
    pub pause: Option<PauseSpec>,
    /// Fraction of attempts that end in an error without any fault of the script.
    pub error_rate: f64,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Work of a connection handshake, in seconds.
    pub handshake: f64,
    /// Fraction of its speed that the endpoint loses with the maximum number of open connections.
    pub connection_tax: f64,
    /// Idle time after which the endpoint closes a connection.
    pub keep_alive: Duration,
    /// Whether the endpoint rejects a request whose deadline has passed before processing begins.
    pub drops_expired: bool,
    /// Whether work stops when its request is cancelled.
    pub cancels: bool,
    /// Fraction of the work that is saved when the subject of a request is in the cache.
    pub key_gain: f64,
    /// Time for which a key stays in the cache.
    pub key_for: Duration,
    /// Number of keys that the cache holds.
    pub key_places: usize,
    /// Work of a dropped repeat, in seconds.
    pub repeat_work: f64,
    /// Timing and noise of the load reports.
    pub report: ReportSpec,
}

impl Default for EndpointSpec {
    /// A warm endpoint with two cores of speed 1 that has no errors, no pauses and no loss of speed.
    fn default() -> Self {
        EndpointSpec {
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

impl EndpointSpec {
    /// Capacity without slow start, in seconds of work per second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }
}
