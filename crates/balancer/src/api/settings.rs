//! Settings of the balancer.

use super::Endpoint;
use std::time::Duration;

/// Whether a request may be sent again after an attempt that was possibly processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated at any time.
    Idempotent,
    /// The request carries an idempotency key. Within `window` after an attempt that was possibly processed,
    /// the endpoints of `scope` drop a repeated request.
    IdempotencyKey {
        /// The endpoints that share their idempotency keys.
        scope: KeyScope,
        /// How long endpoints store an idempotency key.
        window: Duration,
    },
    /// The request must never be processed twice.
    NotIdempotent,
}

/// The set of endpoints that share idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints share their idempotency keys.
    All,
    /// The endpoints of one zone share their idempotency keys.
    Zone,
    /// The endpoints of one cell share their idempotency keys.
    Cell,
}

impl KeyScope {
    /// Whether the two endpoints share idempotency keys.
    pub fn shares_keys(self, a: &Endpoint, b: &Endpoint) -> bool {
        self.partition_of(a) == self.partition_of(b)
    }

    /// The number of the set of endpoints that share idempotency keys with this endpoint.
    pub fn partition_of(self, endpoint: &Endpoint) -> u32 {
        match self {
            KeyScope::All => 0,
            KeyScope::Zone => endpoint.zone,
            KeyScope::Cell => endpoint.cell,
        }
    }
}

/// A request class: the objectives and rules that its requests have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency up to which an answer has its full value.
    pub latency_objective: Duration,
    /// The latency objective grows by this many times the cost hint of the request, up to the client's deadline.
    pub objective_stretch: f64,
    /// How long a client waits for an answer in total, over all its attempts.
    pub deadline: Duration,
    /// The value of serving one request of this class, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the value that an answer after the latency objective still has.
    pub late_value_fraction: f64,
    /// Whether a request of this class may be sent again after an attempt.
    pub idempotency: Idempotency,
    /// Whether requests of one key run one at a time, in the order of their arrival.
    pub sequential: bool,
    /// Whether the class was removed from the settings, so that only requests that were open at that time still have it.
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
    /// The weight has no meaning.
    Off,
    /// The weight is the size of the endpoint, exact or rough.
    Size,
    /// The weight is the size of the endpoint divided by 1 + its requests in flight on a core, reported with a delay.
    Live,
}

/// The settings of one gateway's balancer. The default settings permit everything and have no request class.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a permission of its own in the platform's settings"
)]
pub struct Settings {
    /// The number of gateways in the fleet, this gateway included. Default 1.
    pub gateway_count: u32,
    /// The availability zone of this gateway. Default 0.
    pub zone: u32,
    /// The request classes; a request names its class by its index. Default none.
    pub classes: Vec<RequestClass>,
    /// Each tenant's quota, in requests a second over all gateways; a request names its tenant by its index.
    /// The balancer does not use the quotas. Default none.
    pub tenant_quotas: Vec<f64>,
    /// The value of a request beyond its tenant's quota, as a fraction of its class's priority weight.
    /// The balancer does not use this value. Default 1.
    pub over_quota_weight: f64,
    /// Reference time for the backoff before discovery is polled again, where the gateway itself must poll.
    /// Default none: discovery pushes endpoint lists.
    pub discovery_poll_interval: Option<Duration>,
    /// Resolution of the gateway's timers. Default 1 ms.
    pub timer_tick: Duration,
    /// Maximum number of attempts for one request. Default 3.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled. Default true.
    pub cancellation_allowed: bool,
    /// Whether two attempts of one request may be in flight at once. Default true.
    pub hedging_allowed: bool,
    /// Whether health checks may be sent to endpoints. The balancer sends no health checks at present. Default true.
    pub probes_allowed: bool,
    /// The longest `Retry-After` that clients obey. Default zero: answers carry no `Retry-After`.
    pub max_retry_after: Duration,
    /// Smallest fraction of its full capacity that an endpoint has just after its start. Default 0.1.
    pub slow_start_min_capacity: f64,
    /// Time from the start of an endpoint until it is warm. Default 30 s.
    pub slow_start_duration: Duration,
    /// Load, as a multiple of capacity, that overloads a cold endpoint if the load lasts for `overload_duration`. Default 2.
    pub overload_factor: f64,
    /// How long a load of `overload_factor` must last to overload a cold endpoint.
    /// Read from the settings document; the balancer does not use this duration. Default 1 s.
    pub overload_duration: Duration,
    /// Quiet period of a key of a sequential class.
    /// No request of the key is sent for this long after an attempt that may still be running. Default zero.
    pub key_quiet_period: Duration,
    /// How long requests may still be sent to an endpoint after a list has shown that it drains. Default 2 s.
    pub drain_grace: Duration,
    /// How long idle connections to a draining endpoint may stay open. Default none: without limit.
    pub drain_close_within: Option<Duration>,
    /// The cost of an attempt in another zone, as a fraction of a request's value. Default 0.
    pub cross_zone_cost: f64,
    /// The cost of a new connection to an endpoint, as a fraction of a request's value. Default 0.
    pub handshake_cost: f64,
    /// Endpoints close a connection that has been idle for this long; gateways close a connection after half of that time. Default 10 s.
    pub keep_alive: Duration,
    /// Whether an endpoint needs less work for a request whose key it has served recently. Default false.
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
            drain_grace: Duration::from_secs(2),
            drain_close_within: None,
            cross_zone_cost: 0.0,
            handshake_cost: 0.0,
            keep_alive: Duration::from_secs(10),
            key_cache_affinity: false,
            endpoint_weights: EndpointWeights::Off,
        }
    }
}
