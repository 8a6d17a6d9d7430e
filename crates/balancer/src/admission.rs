//! Admission: whether an arriving request is admitted or shed. What is in flight must still be served within its latency objective.

use crate::api::{Action, Request, RequestClass};
use crate::balancer::Balancer;
use crate::concurrency_limit::{mean_concurrency_at_target, TARGET_IN_FLIGHT_PER_CORE};
use crate::request::{RequestLimits, RequestState};
use crate::traffic_stats::{update_average, TrafficStats};
use std::time::Duration;

/// Fraction of the capacity that is left once requests end unserved and the served ones are slow.
const TIGHTEST_CAPACITY_FRACTION: f64 = 0.3;
/// Mean latency, as a fraction of the shortest objective, from which on served requests count as slow.
const SLOW_LATENCY_FRACTION: f64 = 0.4;
/// Standard deviations of chance added to the capacity while endpoints report load, or report nothing.
const CHANCE_DEVIATION_FACTOR: f64 = 0.5;
/// The same while endpoints report little load: what one gateway has in flight says little then.
const EASED_CHANCE_DEVIATION_FACTOR: f64 = 2.0;
/// Exponent of a class's weight against the mean weight; a small one, since each class counts for the fleet's score.
const PRIORITY_EXPONENT: f64 = 0.25;
/// Load, as a fraction of the one at which admission is tightest, from which on hopeless requests are shed.
const HOPELESS_SHEDDING_LOAD_THRESHOLD: f64 = 0.3;
/// Smallest expected work of a request, against the mean.
const MIN_WORK_RATIO: f64 = 0.25;
/// Largest expected work of a request, against the mean.
const MAX_WORK_RATIO: f64 = 4.0;
/// Fraction of the expected work that does not depend on the cost hint.
const FIXED_WORK_FRACTION: f64 = 0.5;

/// What the estimate of this gateway's capacity is made from.
#[derive(Clone, Copy, Debug)]
struct CapacityInputs {
    /// Requests served in time, a second.
    served_per_s: f64,
    /// Mean latency of served requests, in seconds; 0 before the first.
    latency_s: f64,
    /// The shortest latency objective, in seconds.
    shortest_objective_s: f64,
    /// How many requests end unserved, from 0 to 1 (see [`TrafficStats`]).
    unserved_pressure: f64,
    /// How far load reports allow admission to be eased, from 0 to 1.
    admission_headroom: f64,
    /// Ready endpoints for each gateway: what every gateway may have in flight at least.
    endpoints_per_gateway: f64,
}

/// The number of requests in flight that could be served within the shortest objective: by Little's law on this gateway's own rate, with
/// an allowance for chance. Failures lower it only as far as served requests are slow as well: a few failing endpoints are no overload.
fn estimated_capacity(inputs: &CapacityInputs) -> f64 {
    let slow_latency_s = SLOW_LATENCY_FRACTION * inputs.shortest_objective_s;
    let slowness = (inputs.latency_s / slow_latency_s).powi(2).min(1.0);
    let reduction = (1.0 - TIGHTEST_CAPACITY_FRACTION) * inputs.unserved_pressure * slowness;
    let served_in_objective = inputs.served_per_s * inputs.shortest_objective_s * (1.0 - reduction);
    let chance_range = EASED_CHANCE_DEVIATION_FACTOR - CHANCE_DEVIATION_FACTOR;
    let chance = CHANCE_DEVIATION_FACTOR + chance_range * inputs.admission_headroom;
    served_in_objective + chance * served_in_objective.sqrt() + inputs.endpoints_per_gateway
}

/// The number of requests in flight that recent live weights allow, at least this gateway's share of the endpoints. Where the gateway is
/// one of many (`dilution` near 1) it has one request in flight or none, so a bound on the mean leaves room for chance.
fn capacity_by_listed_load(traffic: &TrafficStats, endpoints_per_gateway: f64, dilution: f64) -> f64 {
    let mean = mean_concurrency_at_target(
        traffic.average_requests_in_flight,
        traffic.listed_in_flight_per_core,
        endpoints_per_gateway,
    );
    (mean + dilution.powi(2) * CHANCE_DEVIATION_FACTOR * mean.sqrt()).max(endpoints_per_gateway)
}

/// Whether a request would, by its cost hint, take longer than there is time, while endpoints are loaded: it would only keep others from
/// being served. `load` is a fraction of the load at which admission is tightest.
fn is_hopeless(cost_hint_s: f64, latency_per_hint: f64, remaining_s: f64, load: f64) -> bool {
    cost_hint_s * latency_per_hint > remaining_s && load > HOPELESS_SHEDDING_LOAD_THRESHOLD
}

/// The factor on the capacity for a class of this weight: classes of little weight are shed first, but not by far.
fn priority_weight(class_weight: f64, mean_weight: f64) -> f64 {
    (class_weight / mean_weight).powf(PRIORITY_EXPONENT)
}

/// Expected work of a request against the mean, by its cost hint (0 for none) or else by its class's latency.
fn expected_relative_work(traffic: &TrafficStats, class: usize, cost_hint_s: f64) -> f64 {
    let work = if cost_hint_s > 0.0 {
        FIXED_WORK_FRACTION + (1.0 - FIXED_WORK_FRACTION) * cost_hint_s / traffic.cost_hint_s
    } else {
        // Not a number before anything was served.
        let by_class = traffic.class_latency_s[class] / traffic.latency_s;
        if by_class > 0.0 {
            by_class
        } else {
            1.0
        }
    };
    work.clamp(MIN_WORK_RATIO, MAX_WORK_RATIO)
}

/// The time that a request has. All in seconds.
struct RequestTimes {
    deadline_s: f64,
    objective_s: f64,
    endpoint_wait_until_s: f64,
}

impl RequestTimes {
    /// A streamed body has the client's deadline until it is complete; a class that values late answers has no objective to end by.
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
    /// Admits an arriving request and performs its first step, or sheds it. A number that is in use is ignored.
    pub(crate) fn on_request(&mut self, now_s: f64, request: &Request, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&request.id.0) {
            return;
        }
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
        self.attempt_budget.earn();
        self.insert_request(request, cost_hint_s, &times);
        self.update_request_and_key(now_s, request.id, actions, |balancer, state, actions| {
            balancer.advance(now_s, request.id, state, actions);
        });
    }

    /// Whether the request is admitted, by capacity, priority and the time that it needs.
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
        let mut capacity = estimated_capacity(&CapacityInputs {
            served_per_s: traffic.served_in_time.per_s,
            latency_s: traffic.latency_s,
            shortest_objective_s: self.fleet_terms.shortest_objective_s,
            unserved_pressure: traffic.unserved_pressure,
            admission_headroom: traffic.admission_headroom,
            endpoints_per_gateway,
        });
        let mut load = traffic.unserved_pressure;
        if self.listed_load.is_recent(now_s) {
            let dilution = self.fleet_terms.dilution;
            capacity = capacity.min(capacity_by_listed_load(traffic, endpoints_per_gateway, dilution));
            load = load.max(traffic.listed_in_flight_per_core / TARGET_IN_FLIGHT_PER_CORE);
        }
        if is_hopeless(cost_hint_s, traffic.latency_per_hint, times.deadline_s - now_s, load) {
            return false;
        }
        let weight = priority_weight(class.priority_weight, traffic.priority_weight);
        // Not `<=`: a capacity that is not a number, as without any class weight, admits.
        let exceeds_capacity = traffic.requests_in_flight > capacity * weight * request.admission_share;
        !exceeds_capacity
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
