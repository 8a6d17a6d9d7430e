//! Slow start: how many attempts an endpoint gets after its start, and how restarts that discovery has not reported are detected.
//!
//! A cold endpoint that is sent more than it can serve goes into overload,
//! so each gateway sends it attempts from a token budget that grows with the endpoint's warm-up fraction.

use crate::api::{EndpointId, LoadReport, Settings};
use crate::balancer::Balancer;
use crate::endpoint_state::EndpointRecord;
use crate::outlier_detection::recent_activity_window_s;

/// Maximum number of tokens that a cold endpoint can accumulate.
const MAX_TOKENS: f64 = 1.0;
/// Tokens that an attempt to a cold endpoint costs.
const ATTEMPT_COST_TOKENS: f64 = 1.0;
/// Lowest warm-up fraction: without a lower bound the token budget of an endpoint could stay at 0.
const MIN_WARM_UP_FRACTION: f64 = 0.01;
/// Shortest slow-start duration that the age of an endpoint is divided by, in seconds.
const MIN_SLOW_START_S: f64 = 1e-3;
/// Smallest speed of an endpoint, relative to the average, that its token budget is scaled by.
const MIN_SPEED_RATIO: f64 = 0.5;
/// Largest speed of an endpoint, relative to the average, that its token budget is scaled by.
const MAX_SPEED_RATIO: f64 = 2.0;
/// Latency of an answer, relative to the latency expected of the endpoint's kind, up to which the endpoint has no queue.
const UNQUEUED_LATENCY_RATIO: f64 = 3.0;
/// Fraction of a cold endpoint's token budget that an endpoint gets whose restart is only suspected:
/// gateways without a connection to the endpoint do not notice the restart.
const SUSPECTED_BUDGET_FRACTION: f64 = 0.5;
/// Largest capacity fraction at the start of an endpoint at which one fast answer clears the endpoint of a suspected restart.
/// With a larger fraction a cold endpoint answers fast as well.
const MAX_CLEARANCE_START_CAPACITY_FRACTION: f64 = 0.5;
/// Fraction of its average reported request rate below which an endpoint may have restarted.
const RESTART_RATE_FRACTION: f64 = 0.2;
/// Lowest average request rate at which a drop counts as a restart, in requests a second.
const MIN_RATE_FOR_RESTART_DETECTION_PER_S: f64 = 1.0;
/// Difference from the last idle time up to which an idle time is usual, as a fraction of the last idle time.
const USUAL_IDLE_TOLERANCE_FRACTION: f64 = 0.1;
/// Difference from the last idle time that is usual in addition to the fraction, in seconds;
/// some endpoints close connections right after each answer.
const USUAL_IDLE_TOLERANCE_S: f64 = 0.005;
/// Time within which closes of idle connections by one endpoint belong to one burst, in seconds.
const CLOSE_BURST_S: f64 = 0.1;

/// The last idle connection that any endpoint closed. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastIdleClose {
    endpoint: EndpointId,
    at_s: f64,
    /// How long the closed connection had been idle.
    idle_s: f64,
    /// How long the last connection of the burst before this one had been idle.
    previous_burst_idle_s: f64,
}

impl LastIdleClose {
    /// The state before any endpoint has closed an idle connection.
    pub(crate) fn none() -> Self {
        LastIdleClose {
            endpoint: EndpointId(u32::MAX),
            at_s: f64::NEG_INFINITY,
            idle_s: 0.0,
            previous_burst_idle_s: 0.0,
        }
    }

    /// Records a close and returns the usual idle time in seconds. Connections that an endpoint closes in one burst were idle for similar
    /// times. Such idle times do not show what is usual, so the idle time of the previous burst is returned for the whole burst.
    fn record(&mut self, now_s: f64, endpoint: EndpointId, idle_s: f64) -> f64 {
        let is_same_burst = self.endpoint == endpoint && now_s - self.at_s < CLOSE_BURST_S;
        let usual_s = if is_same_burst { self.previous_burst_idle_s } else { self.idle_s };
        *self = LastIdleClose { endpoint, at_s: now_s, idle_s, previous_burst_idle_s: usual_s };
        usual_s
    }
}

/// Lower bound on an endpoint's capacity, as a fraction of its full capacity, by the time since its start; 1 once the endpoint is warm.
pub(crate) fn warm_up_fraction(now_s: f64, started_s: f64, settings: &Settings) -> f64 {
    let duration_s = settings.slow_start_duration.as_secs_f64().max(MIN_SLOW_START_S);
    // The elapsed fraction is clamped before it is multiplied: infinity times 0 is NaN.
    let elapsed = ((now_s - started_s) / duration_s).min(1.0);
    let start = settings.slow_start_min_capacity;
    (start + (1.0 - start) * elapsed).clamp(MIN_WARM_UP_FRACTION, 1.0)
}

/// Inputs to the growth of token budgets that are the same for all endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetGrowth {
    /// Time since the token budgets last grew, in seconds.
    pub(crate) elapsed_s: f64,
    /// Requests a second that one warm endpoint serves for this gateway.
    pub(crate) warm_endpoint_requests_per_s: f64,
    /// Latency expected of an endpoint of mean size, in seconds.
    pub(crate) mean_latency_s: f64,
}

impl BudgetGrowth {
    /// Adds to the token budget of an endpoint; `prior_s` is the latency in seconds that is expected of the endpoint's kind.
    ///
    /// A kind of endpoint that is slower when warm is slower when cold.
    /// The settings' overload factor limits the load of a cold endpoint relative to its capacity.
    /// A warm endpoint is not full and the warm-up fraction is a lower bound, so the budget stays below that limit.
    pub(crate) fn apply(self, now_s: f64, endpoint: &mut EndpointRecord, prior_s: f64, settings: &Settings) {
        let warm_up = warm_up_fraction(now_s, endpoint.started_s, settings);
        if warm_up >= 1.0 {
            endpoint.slow_start_tokens = f64::INFINITY;
            endpoint.restart_suspected = false;
            return;
        }
        let speed = (self.mean_latency_s / prior_s).clamp(MIN_SPEED_RATIO, MAX_SPEED_RATIO);
        let suspicion_factor = if endpoint.restart_suspected { SUSPECTED_BUDGET_FRACTION } else { 1.0 };
        let load_factor = settings.overload_factor * suspicion_factor;
        let growth = self.elapsed_s * load_factor * speed * warm_up * self.warm_endpoint_requests_per_s;
        endpoint.slow_start_tokens = (endpoint.slow_start_tokens + growth).min(MAX_TOKENS);
    }
}

impl EndpointRecord {
    /// Whether slow start allows an attempt to the endpoint now.
    pub(crate) fn has_attempt_token(&self) -> bool {
        self.slow_start_tokens >= ATTEMPT_COST_TOKENS
    }

    /// Spends the tokens that an attempt to the endpoint costs.
    pub(crate) fn spend_attempt_token(&mut self) {
        self.slow_start_tokens -= ATTEMPT_COST_TOKENS;
    }

    /// Refunds the token of an answered attempt if the latency shows no queue at the endpoint.
    /// The refund is scaled by dilution: with many gateways, one gateway's part of the budget is below one attempt.
    /// `latency_s` is scaled to mean work; `prior_s` is the latency expected of the endpoint's kind.
    pub(crate) fn refund_token_if_unqueued(&mut self, latency_s: f64, prior_s: f64, dilution: f64) {
        let is_unqueued = latency_s <= UNQUEUED_LATENCY_RATIO * prior_s;
        if is_unqueued && !self.restart_suspected {
            self.slow_start_tokens =
                self.slow_start_tokens.max((self.slow_start_tokens + dilution).min(MAX_TOKENS));
        }
    }

    /// Ends the suspicion of a restart if an answer was as fast as the endpoint was before and as its kind is.
    /// A cold endpoint takes several times as long. The endpoint's own latency estimate alone does not suffice,
    /// since the estimate may still be raised from before the restart.
    pub(crate) fn clear_suspicion_if_fast(&mut self, latency_s: f64, prior_s: f64, settings: &Settings) {
        let usual_s = self.detector.estimate().min(prior_s);
        let is_cold_start_slow = settings.slow_start_min_capacity <= MAX_CLEARANCE_START_CAPACITY_FRACTION;
        if self.restart_suspected && latency_s <= usual_s && is_cold_start_slow {
            self.started_s = self.started_before_suspicion_s;
            self.slow_start_tokens = f64::INFINITY;
            self.restart_suspected = false;
        }
    }

    /// Restarts slow start if a load report, `gap_s` seconds after the previous one, shows that the endpoint has restarted although
    /// discovery has not reported it. Closed idle connections are the other sign of a restart: [`Balancer::on_idle_connection_closed`].
    pub(crate) fn on_reported_restart(
        &mut self,
        now_s: f64,
        report: &LoadReport,
        gap_s: f64,
        longest_objective_s: f64,
    ) {
        if self.report_shows_restart(report, gap_s, longest_objective_s) {
            self.restart_slow_start(now_s, 0.0);
        }
    }

    /// Whether a load report, `gap_s` seconds after the previous one, shows that a warm endpoint with a steady rate has restarted.
    fn report_shows_restart(&self, report: &LoadReport, gap_s: f64, longest_objective_s: f64) -> bool {
        let average_per_s = self.reported_requests_per_s;
        average_per_s >= MIN_RATE_FOR_RESTART_DETECTION_PER_S
            && report.requests_per_second < RESTART_RATE_FRACTION * average_per_s
            && gap_s < recent_activity_window_s(longest_objective_s)
            && self.is_warm()
    }

    /// Starts slow start again at `now_s`, with this many tokens.
    pub(crate) fn restart_slow_start(&mut self, now_s: f64, slow_start_tokens: f64) {
        self.started_s = self.started_s.max(now_s);
        self.slow_start_tokens = slow_start_tokens;
    }
}

impl Balancer {
    /// Handles an idle connection that an endpoint has closed. A restart is suspected if the connection was the last idle one
    /// and was closed after an unusual idle time: a process that ends closes its connections to all gateways at once,
    /// long before discovery reports the restart. Load reports are the other sign of a restart: [`EndpointRecord::on_reported_restart`].
    pub(crate) fn on_idle_connection_closed(
        &mut self,
        now_s: f64,
        endpoint: EndpointId,
        idle_s: f64,
        remaining: usize,
    ) {
        let usual_s = self.last_idle_close.record(now_s, endpoint, idle_s);
        let tolerance_s = USUAL_IDLE_TOLERANCE_FRACTION * usual_s + USUAL_IDLE_TOLERANCE_S;
        if remaining == 0 && (idle_s - usual_s).abs() > tolerance_s {
            self.suspect_restart(now_s, endpoint.0 as usize);
        }
    }

    /// Treats an endpoint as restarted although discovery has not reported a restart.
    /// The endpoint starts with a random part of a cold endpoint's token budget; otherwise the first attempts
    /// of all gateways would arrive together. An endpoint with attempts in flight is not treated so, since a restart would have ended them.
    /// No endpoint is treated so if more than half of the endpoints would then be in slow start, which would leave too little capacity.
    fn suspect_restart(&mut self, now_s: f64, index: usize) {
        let cold = self.ready.iter().filter(|&&ready| !self.endpoints[ready].is_warm()).count();
        let leaves_enough_warm = 2 * (cold + 1) <= self.ready.len();
        let initial_tokens = self.rng.f64();
        let Some(endpoint) = self.endpoints.get_mut(index) else { return };
        let is_unused = endpoint.in_flight_since_s.is_empty() && endpoint.is_ready();
        if !leaves_enough_warm || !is_unused || !endpoint.is_warm() {
            return;
        }
        endpoint.started_before_suspicion_s = endpoint.started_s;
        endpoint.restart_suspected = true;
        endpoint.restart_slow_start(now_s, initial_tokens);
    }
}
