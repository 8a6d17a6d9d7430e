//! Settings of the balancer.

use super::Endpoint;
use std::time::Duration;

/// Whether a request may be sent again after an attempt that was possibly processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated at any time.
    Idempotent,
    /// It carries an idempotency key: the endpoints of `scope` drop a repeat within `window` after an attempt that was possibly processed.
    IdempotencyKey {
        /// The endpoints that share their keys.
        scope: KeyScope,
        /// How long they store a key.
        window: Duration,
    },
    /// It must never be processed twice.
    NotIdempotent,
}

/// The set of endpoints that share idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

impl KeyScope {
    /// Whether the two endpoints share idempotency keys.
    pub fn shares_keys(self, a: &Endpoint, b: &Endpoint) -> bool {
        self.partition_of(a) == self.partition_of(b)
    }

    /// The number of the set of endpoints that the endpoint shares keys with.
    pub fn partition_of(self, endpoint: &Endpoint) -> u32 {
        match self {
            KeyScope::All => 0,
            KeyScope::Zone => endpoint.zone,
            KeyScope::Cell => endpoint.cell,
        }
    }
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time has its full value.
    pub latency_objective: Duration,
    /// The latency objective grows by this many times the cost hint of the request, up to the client's deadline.
    pub objective_stretch: f64,
    /// How long a client waits in all, over all its attempts.
    pub deadline: Duration,
    /// The value of serving one request, against other classes.
    pub priority_weight: f64,
    /// The fraction of the value that an answer after the latency objective still has.
    pub late_value_fraction: f64,
    /// Whether it may be sent again.
    pub idempotency: Idempotency,
    /// Whether requests of one key run one at a time, in the order of their arrival.
    pub sequential: bool,
    /// Whether it has left the settings, so that only requests that were open then still have it.
    pub retired: bool,
}

impl RequestClass {
    /// An idempotent class of priority weight 1 whose late answers have no value.
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

/// What the `weight` of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointWeights {
    /// It has no meaning.
    Off,
    /// Its size, exactly or roughly.
    Size,
    /// Its size divided by 1 + requests in flight on a core, with a delay.
    Live,
}

/// The settings of one gateway's balancer. The default allows everything and has no class.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a permission of its own in the platform's settings"
)]
pub struct Settings {
    /// The number of gateways, this one included. Default 1.
    pub gateway_count: u32,
    /// The availability zone of this gateway. Default 0.
    pub zone: u32,
    /// The request classes; a request names one by its index. Default none.
    pub classes: Vec<RequestClass>,
    /// Each tenant's quota, in requests a second over all gateways; a request names its tenant by its index. The balancer does
    /// not use them. Default none.
    pub tenant_quotas: Vec<f64>,
    /// The value of a request beyond its tenant's quota, as a fraction of its class's. The balancer does not use it. Default 1.
    pub over_quota_weight: f64,
    /// Reference time for the backoff before discovery is polled again, where the gateway must open the watch itself. Default none: lists
    /// are pushed.
    pub discovery_poll_interval: Option<Duration>,
    /// Resolution of the gateway's timers. Default 1 ms.
    pub timer_tick: Duration,
    /// The most attempts for one request. Default 3.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled. Default true.
    pub cancellation_allowed: bool,
    /// Whether two attempts of one request may be in flight at once. Default true.
    pub hedging_allowed: bool,
    /// Whether endpoints may be sent health checks. The balancer sends none. Default true.
    pub probes_allowed: bool,
    /// The longest `Retry-After` that clients obey. Default zero: they are given none.
    pub max_retry_after: Duration,
    /// Fraction of its full capacity that a starting endpoint has at least. Default 0.1.
    pub slow_start_min_capacity: f64,
    /// Time from its start until an endpoint is warm. Default 30 s.
    pub slow_start_duration: Duration,
    /// Load, as a multiple of its capacity, at which a cold endpoint collapses if it lasts for `overload_duration`. Default 2.
    pub overload_factor: f64,
    /// How long such an overload may last. Read from the settings document; the balancer does not use it. Default 1 s.
    pub overload_duration: Duration,
    /// How long a key of a sequential class is kept quiet after an attempt that may still be running. Default zero.
    pub key_quiet_period: Duration,
    /// How long idle connections to a draining endpoint may stay open. Default none: for ever.
    pub drain_close_within: Option<Duration>,
    /// The cost of an attempt in another zone, as a fraction of a request's value. Default 0.
    pub cross_zone_cost: f64,
    /// The cost of a new connection to an endpoint, as a fraction of a request's value. Default 0.
    pub handshake_cost: f64,
    /// Endpoints close a connection that has been idle for this long; gateways close it after half of that. Default 10 s.
    pub keep_alive: Duration,
    /// Whether an endpoint does less work for a key that it served lately. Default false.
    pub key_cache_affinity: bool,
    /// Meaning of [`Endpoint::weight`]. Default [`EndpointWeights::Off`].
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
