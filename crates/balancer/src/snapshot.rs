//! Learned state that a process passes to its successor: the latency of each endpoint, and the rates of requests and of served requests.

use crate::balancer::Balancer;
use crate::endpoint_state::EndpointRecord;
use crate::latency_detector::Cusum;
use crate::traffic_stats::{EventRate, RATE_TIME_CONSTANT_S};
use std::time::Duration;

/// Longest latency that a snapshot may contain, in seconds.
const MAX_LATENCY_S: f64 = 600.0;
/// Shortest latency estimate that is written to a snapshot, in seconds: 0 would be read as no estimate.
const MIN_LATENCY_ESTIMATE_S: f64 = 1e-6;
/// Highest request rate that a snapshot may contain, in requests a second.
const MAX_REQUESTS_PER_S: f64 = 1e7;

/// Learned state of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// The hash of the endpoint's name: see [`crate::stable_hash`].
    pub name_hash: u64,
    /// The endpoint's expected latency, in seconds.
    pub latency_estimate_s: f64,
}

/// Learned state of one gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The endpoints that have latency samples.
    pub endpoints: Vec<EndpointSnapshot>,
    /// Requests a second that were served within their latency objective.
    pub served_per_s: f64,
    /// Requests a second that clients do not mark as retries.
    pub first_attempts_per_s: f64,
    /// Requests a second that one warm endpoint served.
    pub served_per_warm_endpoint_per_s: f64,
    /// Mean latency of served requests in seconds; 0 before the first.
    pub mean_latency_s: f64,
}

impl Snapshot {
    /// Whether every value of the snapshot is within the range that a gateway can measure.
    pub fn is_valid(&self) -> bool {
        let is_within = |value: f64, max: f64| (0.0..=max).contains(&value);
        let rates = [self.served_per_s, self.first_attempts_per_s, self.served_per_warm_endpoint_per_s];
        let is_valid_estimate = |endpoint: &EndpointSnapshot| {
            endpoint.latency_estimate_s > 0.0 && is_within(endpoint.latency_estimate_s, MAX_LATENCY_S)
        };
        self.endpoints.iter().all(is_valid_estimate)
            && rates.iter().all(|rate| is_within(*rate, MAX_REQUESTS_PER_S))
            && is_within(self.mean_latency_s, MAX_LATENCY_S)
    }
}

impl Balancer {
    /// The balancer's learned state, for a successor process.
    pub fn snapshot(&self) -> Snapshot {
        let learned =
            self.endpoints.iter().filter(|endpoint| endpoint.is_ready() && endpoint.detector.has_samples());
        let endpoint_snapshot = |endpoint: &EndpointRecord| EndpointSnapshot {
            name_hash: endpoint.entry.hash,
            latency_estimate_s: endpoint.latency_estimate_s.clamp(MIN_LATENCY_ESTIMATE_S, MAX_LATENCY_S),
        };
        let bounded = |rate: &EventRate| rate.per_s.clamp(0.0, MAX_REQUESTS_PER_S);
        let traffic = &self.traffic;
        Snapshot {
            endpoints: learned.map(endpoint_snapshot).collect(),
            served_per_s: bounded(&traffic.served_in_time),
            first_attempts_per_s: bounded(&traffic.first_attempts),
            served_per_warm_endpoint_per_s: bounded(&traffic.served_per_warm_endpoint),
            mean_latency_s: traffic.latency_s.clamp(0.0, MAX_LATENCY_S),
        }
    }

    /// Starts from another process's snapshot. Its latency estimates are used for endpoints without samples here, and its request rates and
    /// mean latency if no request was served here. An invalid snapshot is ignored; returns whether the snapshot was applied.
    pub fn restore(&mut self, now: Duration, snapshot: &Snapshot) -> bool {
        if !snapshot.is_valid() {
            return false;
        }
        let now_s = now.as_secs_f64();
        for learned in &snapshot.endpoints {
            self.restore_endpoint(now_s, learned);
        }
        self.restore_traffic(snapshot);
        self.run_maintenance(now_s);
        true
    }

    fn restore_endpoint(&mut self, now_s: f64, learned: &EndpointSnapshot) {
        let unsampled = self
            .endpoints
            .iter_mut()
            .find(|endpoint| endpoint.entry.hash == learned.name_hash && !endpoint.detector.has_samples());
        let Some(endpoint) = unsampled else { return };
        endpoint.detector = Cusum::restored(learned.latency_estimate_s);
        endpoint.latency_estimate_s = learned.latency_estimate_s;
        endpoint.last_sample_s = now_s;
        if !endpoint.is_warm() {
            // The predecessor may just have spent its own slow-start tokens: both token budgets together would overload a cold endpoint.
            endpoint.slow_start_tokens = 0.0;
        }
    }

    fn restore_traffic(&mut self, snapshot: &Snapshot) {
        let traffic = &mut self.traffic;
        if traffic.latency_s != 0.0 {
            return;
        }
        traffic.latency_s = snapshot.mean_latency_s;
        // The work of a class is its average latency relative to the mean, so both averages must have the same history.
        traffic.class_latency_s.fill(snapshot.mean_latency_s);
        traffic.served_in_time.per_s = snapshot.served_per_s;
        traffic.first_attempts.per_s = snapshot.first_attempts_per_s;
        traffic.served_per_warm_endpoint.per_s = snapshot.served_per_warm_endpoint_per_s;
        // Without this minimum the first averaging interval would outweigh everything that the predecessor measured.
        self.maintenance.observed_s = self.maintenance.observed_s.max(RATE_TIME_CONSTANT_S);
    }
}
