//! Periodic recomputation of the values that change with time: slow-start budgets, expected latencies, rates and averages.

use crate::balancer::Balancer;
use crate::endpoint_state::{EndpointRecord, FleetLatencySums};
use crate::load_signals::ReportedLoad;
use crate::slow_start::BudgetGrowth;
use crate::traffic_stats::AveragingInterval;

/// Time between two maintenance runs, in seconds.
const MAINTENANCE_INTERVAL_S: f64 = 0.03;
/// Longest time since the last maintenance run that is counted, in seconds.
const MAX_ELAPSED_S: f64 = 1.0;

/// Time of the last maintenance run, and the time covered by all runs, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MaintenanceClock {
    last_run_s: f64,
    /// Time covered by maintenance runs since the first event, in seconds.
    pub(crate) observed_s: f64,
}

impl MaintenanceClock {
    /// The state before the first maintenance run.
    pub(crate) fn new() -> Self {
        MaintenanceClock { last_run_s: f64::NEG_INFINITY, observed_s: 0.0 }
    }

    /// Whether the next maintenance run is due.
    pub(crate) fn is_due(&self, now_s: f64) -> bool {
        now_s - self.last_run_s >= MAINTENANCE_INTERVAL_S
    }

    /// Begins a maintenance run and returns the time since the last run in seconds, at most [`MAX_ELAPSED_S`]; 0 at the first run.
    fn advance(&mut self, now_s: f64) -> f64 {
        let elapsed_s =
            if self.last_run_s.is_finite() { (now_s - self.last_run_s).min(MAX_ELAPSED_S) } else { 0.0 };
        self.last_run_s = now_s;
        self.observed_s += elapsed_s;
        elapsed_s
    }
}

/// Sums of figures over the ready endpoints.
#[derive(Default)]
struct ReadyEndpointSums {
    /// The number of ready endpoints that are past slow start.
    warm: f64,
    latency: FleetLatencySums,
    reported_load: ReportedLoad,
}

impl ReadyEndpointSums {
    fn add(&mut self, endpoint: &EndpointRecord) {
        if endpoint.is_warm() {
            self.warm += 1.0;
        }
        self.latency.add(endpoint);
        self.reported_load.add(endpoint);
    }
}

impl Balancer {
    /// Recomputes the slow-start budgets, expected latencies, rates and averages, which change with time.
    pub(crate) fn run_maintenance(&mut self, now_s: f64) {
        let elapsed_s = self.maintenance.advance(now_s);
        let sums = self.refresh_ready_endpoints(now_s, elapsed_s);
        let derived = &self.derived_settings;
        self.traffic.admission_headroom =
            sums.reported_load.admission_headroom(derived.shortest_objective_s, derived.dilution);
        self.fleet_latency.update(sums.latency);
        self.key_queues.retain(|_, queue| queue.is_in_use(now_s));
        if elapsed_s > 0.0 {
            let interval = AveragingInterval { elapsed_s, observed_s: self.maintenance.observed_s };
            self.traffic.fold(interval, self.listed_load.in_flight_per_core, sums.warm);
        }
    }

    /// Refreshes the slow-start budget and the expected latency of each ready endpoint, and returns sums of their figures.
    fn refresh_ready_endpoints(&mut self, now_s: f64, elapsed_s: f64) -> ReadyEndpointSums {
        let growth = BudgetGrowth {
            elapsed_s,
            warm_endpoint_requests_per_s: self.warm_endpoint_requests_per_s(),
            mean_latency_s: self.fleet_latency.mean_s,
        };
        let longest_objective_s = self.derived_settings.longest_objective_s;
        let mut sums = ReadyEndpointSums::default();
        for &index in &self.ready {
            let endpoint = &mut self.endpoints[index];
            let prior_s = self.fleet_latency.prior_s(endpoint);
            growth.apply(now_s, endpoint, prior_s, &self.settings);
            endpoint.refresh_latency_estimate(now_s, prior_s, longest_objective_s);
            sums.add(endpoint);
        }
        sums
    }

    /// Requests a second that one warm endpoint serves. Where no endpoint has served yet, as when all endpoints start at once,
    /// each endpoint is assumed to serve an equal part of the arriving requests.
    fn warm_endpoint_requests_per_s(&self) -> f64 {
        let served_per_s = self.traffic.served_per_warm_endpoint.per_s;
        if served_per_s > 0.0 {
            served_per_s
        } else {
            self.traffic.first_attempts.per_s / self.ready.len().max(1) as f64
        }
    }
}
