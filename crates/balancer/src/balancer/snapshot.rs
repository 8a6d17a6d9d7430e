//! What one process's decisions can hand to those of the next: how quick each host is, and how much is asked and served.

use super::{Balancer, Cusum};
use crate::api::EndpointState;
use std::time::Duration;

/// Longest latency that a snapshot may hold, in seconds.
const MAX_LATENCY_S: f64 = 600.0;
/// Shortest latency estimate that is written, in seconds: 0 would read as no estimate.
const MIN_LATENCY_ESTIMATE_S: f64 = 1e-6;
/// Highest request rate that a snapshot may hold, in requests a second.
const MAX_REQUESTS_PER_S: f64 = 1e7;

/// What is remembered of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// The hash of its lasting name.
    pub name_hash: u64,
    /// Its epoch estimate E, in seconds.
    pub latency_estimate_s: f64,
}

/// What is remembered in all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The hosts that have answered.
    pub endpoints: Vec<EndpointSnapshot>,
    /// Requests a second that were served within their latency objective.
    pub served_per_s: f64,
    /// First attempts of clients a second.
    pub first_attempts_per_s: f64,
    /// Requests a second that one warm endpoint served.
    pub served_per_warm_endpoint_per_s: f64,
    /// Mean latency in seconds; 0 before any.
    pub mean_latency_s: f64,
}

impl Snapshot {
    /// Whether every figure is one that a gateway can have measured.
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
    /// What a successor process should start from.
    pub fn snapshot(&self) -> Snapshot {
        let known =
            self.hosts.iter().filter(|h| h.entry.state == EndpointState::Up && h.detector.samples > 0);
        let endpoint = |h: &super::Host| EndpointSnapshot {
            name_hash: h.entry.hash,
            latency_estimate_s: h.e.clamp(MIN_LATENCY_ESTIMATE_S, MAX_LATENCY_S),
        };
        let rate = |rate: &super::Rate| rate.per_s.clamp(0.0, MAX_REQUESTS_PER_S);
        let traffic = &self.traffic;
        Snapshot {
            endpoints: known.map(endpoint).collect(),
            served_per_s: rate(&traffic.served),
            first_attempts_per_s: rate(&traffic.asked),
            served_per_warm_endpoint_per_s: rate(&traffic.warm),
            mean_latency_s: traffic.latency.clamp(0.0, MAX_LATENCY_S),
        }
    }

    /// Starts from another process's snapshot: its estimates stand in for endpoints that this one has no sample of, and its traffic
    /// figures where this one has seen no traffic. Nothing is taken of an invalid snapshot; returns whether it was taken.
    pub fn restore(&mut self, now: Duration, snapshot: &Snapshot) -> bool {
        if !snapshot.is_valid() {
            return false;
        }
        let now = now.as_secs_f64();
        for known in &snapshot.endpoints {
            let unsampled =
                self.hosts.iter_mut().find(|h| h.entry.hash == known.name_hash && h.detector.samples == 0);
            let Some(h) = unsampled else { continue };
            h.detector = Cusum::new(known.latency_estimate_s);
            h.detector.add(known.latency_estimate_s);
            h.e = known.latency_estimate_s;
            h.heard = now;
            if h.tokens.is_finite() {
                // The predecessor may have spent its own tokens a moment ago: together they would overload a cold endpoint.
                h.tokens = 0.0;
            }
        }
        let traffic = &mut self.traffic;
        if traffic.latency == 0.0 {
            traffic.latency = snapshot.mean_latency_s;
            traffic.served.per_s = snapshot.served_per_s;
            traffic.asked.per_s = snapshot.first_attempts_per_s;
            traffic.warm.per_s = snapshot.served_per_warm_endpoint_per_s;
            // Without this the first moments would outweigh all that the predecessor measured.
            self.age = self.age.max(super::RATE_S);
        }
        self.upkeep(now);
        true
    }
}
