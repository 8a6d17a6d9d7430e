//! Signals of the load of endpoints (live weights in the endpoint list, and load reports), as inputs of [`crate::admission`].

use crate::api::{EndpointId, LoadReport};
use crate::balancer::Balancer;
use crate::endpoint_state::{EndpointRecord, ReceivedReport};
use rustc_hash::FxHashMap;

/// Upper bound on the requests in flight on a core that are read from a live weight.
const MAX_LISTED_IN_FLIGHT_PER_CORE: f64 = 20.0;
/// Latency according to load reports, as a fraction of the shortest objective, above which there is no admission headroom.
const NO_HEADROOM_LATENCY_FRACTION: f64 = 0.45;
/// Latency according to load reports, as a fraction of the shortest objective, below which admission headroom is full.
const FULL_HEADROOM_LATENCY_FRACTION: f64 = 0.3;
/// Time constant of the average of reported requests in flight, in seconds.
const REPORTED_IN_FLIGHT_TIME_CONSTANT_S: f64 = 0.7;
/// Time constant of the average of reported request rates, in seconds.
const REPORTED_RATE_TIME_CONSTANT_S: f64 = 5.0;
/// Target of the concurrency limit from live weights, in requests in flight on a core:
/// a higher target would slow endpoints down without raising throughput.
pub(crate) const TARGET_IN_FLIGHT_PER_CORE: f64 = 1.6;
/// Lowest listed load, in requests in flight on a core, from which the concurrency limit is computed.
/// Live weights of a lower load are too imprecise.
const MIN_LISTED_IN_FLIGHT_PER_CORE: f64 = 0.2;
/// Allowance for growth of the concurrency limit, as a fraction of this gateway's part of the endpoints.
const GROWTH_ALLOWANCE_FRACTION: f64 = 0.25;
/// Age at which the live weights of an endpoint list are no longer used, in seconds.
const MAX_LISTED_LOAD_AGE_S: f64 = 3.0;

/// The load of the endpoints according to the last endpoint list with live weights.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedLoad {
    /// Requests in flight on a core, averaged over all ready endpoints.
    pub(crate) in_flight_per_core: f64,
    /// When the endpoint list was received, in seconds.
    pub(crate) received_at_s: f64,
}

impl ListedLoad {
    /// The state before any endpoint list with live weights.
    pub(crate) fn none() -> Self {
        ListedLoad { in_flight_per_core: 0.0, received_at_s: f64::NEG_INFINITY }
    }

    /// Whether the listed load is recent enough to limit admission.
    pub(crate) fn is_recent(&self, now_s: f64) -> bool {
        now_s - self.received_at_s < MAX_LISTED_LOAD_AGE_S
    }
}

/// This gateway's mean number of requests in flight at which endpoints reach the target load: the mean number in flight over the last
/// seconds, scaled from the load listed in that time to the target load, with an allowance for growth.
pub(crate) fn mean_concurrency_at_target(
    average_requests_in_flight: f64,
    listed_in_flight_per_core: f64,
    endpoints_per_gateway: f64,
) -> f64 {
    let listed = listed_in_flight_per_core.max(MIN_LISTED_IN_FLIGHT_PER_CORE);
    TARGET_IN_FLIGHT_PER_CORE * average_requests_in_flight / listed
        + GROWTH_ALLOWANCE_FRACTION * endpoints_per_gateway
}

/// Requests in flight on a core over the ready endpoints, by their live weights.
/// A live weight is the endpoint's size divided by `1 + n` for `n` requests in flight on a core.
/// Endpoints of one kind have one size, so an endpoint that was never listed idle has the size of its kind.
pub(crate) fn listed_in_flight_per_core(endpoints: &mut [EndpointRecord], ready: &[usize]) -> f64 {
    let mut size_by_kind: FxHashMap<u32, f64> = FxHashMap::default();
    for endpoint in endpoints.iter_mut() {
        endpoint.idle_weight = endpoint.idle_weight.max(endpoint.entry.weight);
        let size = size_by_kind.entry(endpoint.entry.kind).or_default();
        *size = size.max(endpoint.idle_weight);
    }
    let mut total_in_flight = 0.0;
    let mut total_size = 0.0;
    for &index in ready {
        let entry = &endpoints[index].entry;
        let size = size_by_kind[&entry.kind];
        if entry.weight > 0.0 && size.is_finite() {
            total_in_flight += size * (size / entry.weight - 1.0).min(MAX_LISTED_IN_FLIGHT_PER_CORE);
            total_size += size;
        }
    }
    if total_size > 0.0 {
        total_in_flight / total_size
    } else {
        0.0
    }
}

/// Sums of the load that ready endpoints report.
#[derive(Default)]
pub(crate) struct ReportedLoad {
    in_flight: f64,
    requests_per_s: f64,
}

impl ReportedLoad {
    /// Adds the averages that an endpoint has reported.
    pub(crate) fn add(&mut self, endpoint: &EndpointRecord) {
        self.in_flight += endpoint.reported_in_flight;
        self.requests_per_s += endpoint.reported_requests_per_s;
    }

    /// The admission headroom, from 0 to 1: full where this gateway is one of many (`dilution` near 1) and endpoints report low latencies.
    /// By Little's law, latency is requests in flight divided by requests served a second.
    pub(crate) fn admission_headroom(&self, shortest_objective_s: f64, dilution: f64) -> f64 {
        let latency_fraction = if self.requests_per_s > 0.0 {
            self.in_flight / self.requests_per_s / shortest_objective_s
        } else {
            f64::INFINITY
        };
        let range = NO_HEADROOM_LATENCY_FRACTION - FULL_HEADROOM_LATENCY_FRACTION;
        dilution * ((NO_HEADROOM_LATENCY_FRACTION - latency_fraction) / range).clamp(0.0, 1.0)
    }
}

impl Balancer {
    /// Handles a load report. Load reports cover the requests of all gateways but are seconds old when received,
    /// so they are used for admission and not for selection: docs/design/fleet-size.md.
    pub(crate) fn on_load_report(&mut self, now_s: f64, endpoint: EndpointId, report: LoadReport) {
        let Some(report) = report.checked() else { return };
        let Some(endpoint) = self.endpoints.get_mut(endpoint.0 as usize) else { return };
        let gap_s = match endpoint.last_report {
            // Another response carried the same load report again.
            Some(last) if last.report == report => return,
            Some(last) => now_s - last.received_at_s,
            None => f64::INFINITY,
        };
        endpoint.on_reported_restart(now_s, &report, gap_s, self.derived_settings.longest_objective_s);
        endpoint.last_report = Some(ReceivedReport { report, received_at_s: now_s });
        let gain = |time_constant_s: f64| 1.0 - (-gap_s / time_constant_s).exp();
        endpoint.reported_in_flight +=
            gain(REPORTED_IN_FLIGHT_TIME_CONSTANT_S) * (report.in_flight - endpoint.reported_in_flight);
        endpoint.reported_requests_per_s += gain(REPORTED_RATE_TIME_CONSTANT_S)
            * (report.requests_per_second - endpoint.reported_requests_per_s);
    }
}
