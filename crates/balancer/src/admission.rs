//! Admission: whether an arriving request is admitted or shed.
//! Requests are shed so that those in flight are still served within their latency objectives.

use crate::api::{Action, Request, RequestClass};
use crate::balancer::Balancer;
use crate::load_signals::{mean_concurrency_at_target, TARGET_IN_FLIGHT_PER_CORE};
use crate::request::{RequestLimits, RequestState};
use crate::traffic_stats::{update_average, TrafficStats};
use std::time::Duration;

/// Fraction of the concurrency limit that remains when requests end unserved and served requests are slow.
const TIGHTEST_LIMIT_FRACTION: f64 = 0.3;
/// Mean latency, as a fraction of the shortest objective, above which served requests count as slow.
const SLOW_LATENCY_FRACTION: f64 = 0.4;
/// Standard deviations of the number of requests in flight that are added to the concurrency limit without admission headroom.
const HEADROOM_DEVIATIONS_MIN: f64 = 0.5;
/// Standard deviations of the number of requests in flight that are added to the concurrency limit with full admission headroom.
const HEADROOM_DEVIATIONS_MAX: f64 = 2.0;
/// Exponent of a class's priority weight relative to the mean weight.
/// Below 1, so that weights only moderately change which requests are shed.
const PRIORITY_EXPONENT: f64 = 0.25;
/// Overload level above which requests are shed that are expected to end after their deadlines.
/// An overload level of 1 is the load at which admission is tightest.
const HOPELESS_SHEDDING_OVERLOAD_LEVEL: f64 = 0.3;
/// Smallest expected work of a request, relative to the mean work.
const MIN_WORK_RATIO: f64 = 0.25;
/// Largest expected work of a request, relative to the mean work.
const MAX_WORK_RATIO: f64 = 4.0;
/// Fraction of a request's expected work that does not depend on its cost hint.
const FIXED_WORK_FRACTION: f64 = 0.5;

/// Inputs of the estimate of this gateway's concurrency limit.
#[derive(Clone, Copy, Debug)]
struct ConcurrencyLimitInputs {
    /// Requests served in time, in requests a second.
    served_per_s: f64,
    /// Mean latency of served requests, in seconds; 0 before the first request is served.
    latency_s: f64,
    /// The shortest latency objective, in seconds.
    shortest_objective_s: f64,
    /// Unserved pressure, from 0 to 1: see [`TrafficStats`].
    unserved_pressure: f64,
    /// How far load reports allow the concurrency limit to be raised, from 0 to 1.
    admission_headroom: f64,
    /// Ready endpoints divided by gateways: the lower bound of the estimated concurrency limit.
    endpoints_per_gateway: f64,
}

/// The number of requests in flight that could be served within the shortest objective:
/// by Little's law on this gateway's own rate, with an allowance for random variation.
/// Requests that end unserved lower the limit only as far as served requests are slow as well: a few failing endpoints are no overload.
fn estimated_concurrency_limit(inputs: &ConcurrencyLimitInputs) -> f64 {
    let slow_latency_s = SLOW_LATENCY_FRACTION * inputs.shortest_objective_s;
    let slowness = (inputs.latency_s / slow_latency_s).powi(2).min(1.0);
    let reduction = (1.0 - TIGHTEST_LIMIT_FRACTION) * inputs.unserved_pressure * slowness;
    let served_in_objective = inputs.served_per_s * inputs.shortest_objective_s * (1.0 - reduction);
    let deviations_range = HEADROOM_DEVIATIONS_MAX - HEADROOM_DEVIATIONS_MIN;
    let deviations = HEADROOM_DEVIATIONS_MIN + deviations_range * inputs.admission_headroom;
    served_in_objective + deviations * served_in_objective.sqrt() + inputs.endpoints_per_gateway
}

/// The number of requests in flight that recent live weights allow; at least this gateway's fraction of the endpoints.
/// With many gateways (`dilution` near 1) each gateway has few requests in flight, so up to half a standard deviation is added to the mean.
fn concurrency_limit_by_listed_load(
    traffic: &TrafficStats,
    endpoints_per_gateway: f64,
    dilution: f64,
) -> f64 {
    let mean = mean_concurrency_at_target(
        traffic.average_requests_in_flight,
        traffic.listed_in_flight_per_core,
        endpoints_per_gateway,
    );
    (mean + dilution.powi(2) * HEADROOM_DEVIATIONS_MIN * mean.sqrt()).max(endpoints_per_gateway)
}

/// Whether a request, by its cost hint, would end after its deadline while endpoints are loaded.
/// At an `overload_level` of 1 admission is tightest.
fn is_hopeless(cost_hint_s: f64, latency_per_hint: f64, remaining_s: f64, overload_level: f64) -> bool {
    cost_hint_s * latency_per_hint > remaining_s && overload_level > HOPELESS_SHEDDING_OVERLOAD_LEVEL
}

/// The factor on the concurrency limit for a class of this priority weight: classes with a low weight are shed somewhat earlier.
fn concurrency_limit_factor(class_weight: f64, mean_weight: f64) -> f64 {
    (class_weight / mean_weight).powf(PRIORITY_EXPONENT)
}

/// Expected work of a request relative to the mean work, by its cost hint (0 for none) or else by the latency of its class.
fn expected_relative_work(traffic: &TrafficStats, class: usize, cost_hint_s: f64) -> f64 {
    let work = if cost_hint_s > 0.0 {
        FIXED_WORK_FRACTION + (1.0 - FIXED_WORK_FRACTION) * cost_hint_s / traffic.cost_hint_s
    } else {
        // The ratio is NaN before any request was served.
        let by_class = traffic.class_latency_s[class] / traffic.latency_s;
        if by_class > 0.0 {
            by_class
        } else {
            1.0
        }
    };
    work.clamp(MIN_WORK_RATIO, MAX_WORK_RATIO)
}

/// The deadlines and the latency objective of a request, in seconds.
struct RequestTimes {
    deadline_s: f64,
    objective_s: f64,
    endpoint_wait_until_s: f64,
}

impl RequestTimes {
    /// The times of an arriving request. With a streamed body its deadline is the client's until the body is complete.
    /// A class whose late answers have value has no latency objective.
    fn new(now_s: f64, request: &Request, class: &RequestClass, cost_hint_s: f64, timer_tick_s: f64) -> Self {
        let client_deadline_s = request.client_deadline.as_secs_f64();
        let full_value_s =
            class.latency_objective.as_secs_f64() + class.objective_stretch * cost_hint_s - timer_tick_s;
        let objective_s = if class.late_value_fraction > 0.0 { f64::INFINITY } else { full_value_s };
        let deadline_s = if request.body_streaming {
            client_deadline_s
        } else {
            client_deadline_s.min(now_s + objective_s)
        };
        RequestTimes { deadline_s, objective_s, endpoint_wait_until_s: now_s + full_value_s }
    }
}

impl Balancer {
    /// Admits an arriving request and takes its first step, or sheds the request. A request whose number is in use is ignored.
    pub(crate) fn on_request(&mut self, now_s: f64, request: &Request, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&request.id.0) {
            return;
        }
        // The caller resolves request classes; an unknown class is a bug of the caller.
        let Some(class) = self.settings.classes.get(request.class) else {
            return actions.push(Action::Reject { request: request.id, retry_after: Duration::ZERO });
        };
        if !request.is_client_retry {
            self.traffic.first_attempts.record();
        }
        let cost_hint_s = request.cost_hint.map_or(0.0, |hint| hint.as_secs_f64());
        if cost_hint_s > 0.0 {
            update_average(&mut self.traffic.cost_hint_s, cost_hint_s);
        }
        update_average(&mut self.traffic.priority_weight, class.priority_weight);
        let timer_tick_s = self.settings.timer_tick.as_secs_f64();
        let times = RequestTimes::new(now_s, request, class, cost_hint_s, timer_tick_s);
        if !self.is_admitted(now_s, request, class, cost_hint_s, &times) {
            let retry_after = self.settings.max_retry_after;
            return actions.push(Action::Reject { request: request.id, retry_after });
        }
        self.retry_budget.earn();
        self.insert_request(request, cost_hint_s, &times);
        self.update_request_and_key(now_s, request.id, actions, |balancer, state, actions| {
            balancer.advance(now_s, request.id, state, actions);
        });
    }

    /// Whether the request is admitted, by the concurrency limit, the priority weight of its class and the time that it needs.
    fn is_admitted(
        &self,
        now_s: f64,
        request: &Request,
        class: &RequestClass,
        cost_hint_s: f64,
        times: &RequestTimes,
    ) -> bool {
        let traffic = &self.traffic;
        let gateway_count = f64::from(self.settings.gateway_count.max(1));
        let endpoints_per_gateway = self.ready.len() as f64 / gateway_count;
        let mut concurrency_limit = estimated_concurrency_limit(&ConcurrencyLimitInputs {
            served_per_s: traffic.served_in_time.per_s,
            latency_s: traffic.latency_s,
            shortest_objective_s: self.derived_settings.shortest_objective_s,
            unserved_pressure: traffic.unserved_pressure,
            admission_headroom: traffic.admission_headroom,
            endpoints_per_gateway,
        });
        let mut overload_level = traffic.unserved_pressure;
        if self.listed_load.is_recent(now_s) {
            let dilution = self.derived_settings.dilution;
            concurrency_limit = concurrency_limit.min(concurrency_limit_by_listed_load(
                traffic,
                endpoints_per_gateway,
                dilution,
            ));
            overload_level =
                overload_level.max(traffic.listed_in_flight_per_core / TARGET_IN_FLIGHT_PER_CORE);
        }
        if is_hopeless(cost_hint_s, traffic.latency_per_hint, times.deadline_s - now_s, overload_level) {
            return false;
        }
        let limit_factor = concurrency_limit_factor(class.priority_weight, traffic.priority_weight);
        // In a retry storm, `control::retry_storm` applies the class weight a second time, through `admission_share`.
        let request_limit = concurrency_limit * limit_factor * request.admission_share;
        // The comparison is not `requests_in_flight <= request_limit`:
        // without any class weight the limit is NaN, with which every comparison is false, and the request must be admitted.
        let exceeds_limit = traffic.requests_in_flight > request_limit;
        !exceeds_limit
    }

    fn insert_request(&mut self, request: &Request, cost_hint_s: f64, times: &RequestTimes) {
        let is_sequential = self.settings.classes[request.class].sequential;
        let earliest_send_s = match request.key.filter(|_| is_sequential) {
            Some(key) => self.key_queues.entry(key).or_default().push(request.id.0),
            None => f64::NEG_INFINITY,
        };
        let state = RequestState {
            class: request.class,
            key: request.key,
            relative_work: expected_relative_work(&self.traffic, request.class, cost_hint_s),
            cost_hint_s,
            deadline_s: times.deadline_s,
            earliest_send_s,
            body_streaming: request.body_streaming,
            body_forwarding_started: false,
            endpoint_wait_until_s: times.endpoint_wait_until_s,
            objective_s: times.objective_s,
            open: true,
            limits: RequestLimits::new(&self.settings),
            attempts: Vec::new(),
        };
        self.requests.insert(request.id.0, state);
    }
}
