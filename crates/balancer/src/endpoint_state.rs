//! The state of one endpoint at this gateway, and the latency that is expected of endpoints without samples.

use crate::api::{Endpoint, EndpointState, LoadReport};
use crate::latency_detector::Cusum;
use crate::outlier_detection::{retained_fraction, ClassFailures};
use rustc_hash::FxHashMap;

/// Latency expected of an endpoint before any sample, as a fraction of the shortest latency objective.
const INITIAL_LATENCY_FRACTION: f64 = 0.25;

/// This gateway's record of an endpoint. Times are in seconds on the gateway's clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointRecord {
    /// The endpoint's latest entry in the endpoint list.
    pub(crate) entry: Endpoint,
    /// When the endpoint last started; minus infinity if it started long ago, before discovery recorded starts.
    pub(crate) started_s: f64,
    /// The endpoint's size relative to the mean of the ready endpoints, where weights are sizes; 1 otherwise.
    pub(crate) relative_size: f64,
    /// Detector of shifts in the endpoint's latency, scaled to a request of mean work.
    pub(crate) detector: Cusum,
    /// Latency that selection expects of the endpoint for a request of mean work, in seconds.
    pub(crate) latency_estimate_s: f64,
    /// When the endpoint's attempts in flight were sent, oldest first.
    pub(crate) in_flight_since_s: Vec<f64>,
    /// When the last latency sample of the endpoint was recorded.
    pub(crate) last_sample_s: f64,
    /// Until when a connection to the endpoint that has been idle since the last answer is expected to be open.
    pub(crate) idle_connection_until_s: f64,
    /// Number of failures in a row that counted against the endpoint as a whole.
    pub(crate) consecutive_failures: i32,
    /// When the endpoint last served a request of any class.
    pub(crate) last_served_s: f64,
    /// The endpoint's failures by request class; classes beyond the end of the list have none.
    pub(crate) class_failures: Vec<ClassFailures>,
    /// Attempts that slow start allows to the endpoint now. Infinite means warm: see [`EndpointRecord::is_warm`].
    pub(crate) slow_start_tokens: f64,
    /// Whether the endpoint is treated as restarted although discovery has not reported a restart.
    pub(crate) restart_suspected: bool,
    /// When the endpoint last started, as known before a restart was suspected.
    pub(crate) started_before_suspicion_s: f64,
    /// The last load report of the endpoint.
    pub(crate) last_report: Option<ReceivedReport>,
    /// Average of the endpoint's reported requests in flight, from all gateways.
    pub(crate) reported_in_flight: f64,
    /// Average of the endpoint's reported requests served a second, from all gateways.
    pub(crate) reported_requests_per_s: f64,
    /// Largest live weight that the endpoint was listed with, which is its weight when idle.
    pub(crate) idle_weight: f64,
}

/// A load report and when it was received, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) report: LoadReport,
    pub(crate) received_at_s: f64,
}

impl EndpointRecord {
    /// An endpoint about which nothing is known: started long ago, and of mean size.
    pub(crate) fn unknown() -> Self {
        EndpointRecord { started_s: f64::NEG_INFINITY, relative_size: 1.0, ..EndpointRecord::default() }
    }

    /// Clears what was learned from an earlier process or another endpoint of this number; attempts in flight stay.
    pub(crate) fn reset_for_new_process(&mut self, started_s: f64, slow_start_tokens: f64) {
        let in_flight_since_s = std::mem::take(&mut self.in_flight_since_s);
        *self = EndpointRecord {
            started_s,
            in_flight_since_s,
            slow_start_tokens,
            relative_size: 1.0,
            ..Self::default()
        };
    }

    /// Whether the endpoint takes new attempts.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Up
    }

    /// Whether the endpoint is past slow start: a warm endpoint has infinite tokens.
    pub(crate) fn is_warm(&self) -> bool {
        self.slow_start_tokens.is_infinite()
    }

    /// The latency expected of the endpoint, in seconds. An overdue attempt counts as a sample of at least its age:
    /// an endpoint that stops answering must not look fast.
    pub(crate) fn latency_with_overdue_s(&self, now_s: f64) -> f64 {
        match self.in_flight_since_s.first() {
            Some(oldest_sent_s) => self.latency_estimate_s.max(now_s - oldest_sent_s),
            None => self.latency_estimate_s,
        }
    }

    /// Adds a latency sample in seconds, scaled to a request of mean work. The first sample starts the detector at `prior_s`.
    pub(crate) fn observe_latency(&mut self, now_s: f64, latency_s: f64, prior_s: f64) {
        if !self.detector.has_samples() {
            self.detector = Cusum::new(prior_s);
        }
        self.detector.add(latency_s);
        self.latency_estimate_s = self.detector.estimate();
        self.last_sample_s = now_s;
    }

    /// Recomputes the endpoint's expected latency. Without samples the latency is `prior_s`.
    /// With samples the latency is the detector's estimate, of which the part above `prior_s` decays while no samples arrive:
    /// without the decay an avoided endpoint would never get the sample that clears it.
    pub(crate) fn refresh_latency_estimate(&mut self, now_s: f64, prior_s: f64, longest_objective_s: f64) {
        self.latency_estimate_s = prior_s;
        if !self.detector.has_samples() {
            return;
        }
        let detected_s = self.detector.estimate();
        let excess_s = (detected_s - prior_s).max(0.0);
        let silent_s = now_s - self.last_sample_s;
        let retained = retained_fraction(silent_s, longest_objective_s, self.consecutive_failures);
        self.latency_estimate_s = detected_s - excess_s * (1.0 - retained);
    }
}

/// The latency expected of endpoints without samples, in seconds at mean size: the average of their machine kind, or else of all endpoints.
#[derive(Clone, Debug)]
pub(crate) struct FleetLatency {
    /// Average latency of the ready endpoints that have samples, in seconds at mean size.
    pub(crate) mean_s: f64,
    by_kind_s: FxHashMap<u32, f64>,
}

impl FleetLatency {
    /// The latency expected of endpoints before any sample.
    pub(crate) fn initial(shortest_objective_s: f64) -> Self {
        FleetLatency {
            mean_s: INITIAL_LATENCY_FRACTION * shortest_objective_s,
            by_kind_s: FxHashMap::default(),
        }
    }

    /// The latency expected of this endpoint if it has no samples, in seconds.
    pub(crate) fn prior_s(&self, endpoint: &EndpointRecord) -> f64 {
        self.by_kind_s.get(&endpoint.entry.kind).unwrap_or(&self.mean_s) / endpoint.relative_size
    }

    /// Takes over the averages of the endpoints with samples; kinds without samples now keep their last average.
    pub(crate) fn update(&mut self, sums: FleetLatencySums) {
        if sums.all.count > 0.0 {
            self.mean_s = sums.all.mean();
        }
        self.by_kind_s.extend(sums.by_kind.into_iter().map(|(kind, sum)| (kind, sum.mean())));
    }
}

/// Sums of the latency estimates of endpoints, scaled to mean size.
#[derive(Default)]
pub(crate) struct FleetLatencySums {
    all: LatencySum,
    by_kind: FxHashMap<u32, LatencySum>,
}

impl FleetLatencySums {
    /// Adds the latency estimate of an endpoint, if it has samples.
    pub(crate) fn add(&mut self, endpoint: &EndpointRecord) {
        if !endpoint.detector.has_samples() {
            return;
        }
        let scaled_s = endpoint.latency_estimate_s * endpoint.relative_size;
        self.all.add(scaled_s);
        self.by_kind.entry(endpoint.entry.kind).or_default().add(scaled_s);
    }
}

#[derive(Default)]
struct LatencySum {
    sum_s: f64,
    count: f64,
}

impl LatencySum {
    fn add(&mut self, latency_s: f64) {
        self.sum_s += latency_s;
        self.count += 1.0;
    }

    fn mean(&self) -> f64 {
        self.sum_s / self.count
    }
}
