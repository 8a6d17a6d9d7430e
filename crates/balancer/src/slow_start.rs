//! Slow start: how much work an endpoint gets after its start, and how restarts that discovery has not announced are detected.
//!
//! A cold endpoint that is sent more than it can do collapses, so each gateway sends it attempts from a token budget that grows with
//! the endpoint's warm-up.

use crate::api::{EndpointId, LoadReport, Settings};
use crate::balancer::Balancer;
use crate::endpoint_state::EndpointRecord;
use crate::failure_tracking::recent_activity_window_s;

/// Most tokens that a cold endpoint can save up.
const MAX_TOKENS: f64 = 1.0;
/// Tokens that an attempt costs.
const ATTEMPT_COST_TOKENS: f64 = 1.0;
/// Lowest warm-up fraction: without it the budget of an endpoint could stay at nothing.
const MIN_WARM_UP_FRACTION: f64 = 0.01;
/// Shortest slow start that the age of an endpoint is divided by, in seconds.
const MIN_SLOW_START_S: f64 = 1e-3;
/// Smallest speed of an endpoint against the average that its budget is scaled by.
const MIN_SPEED_RATIO: f64 = 0.5;
/// Largest speed of an endpoint against the average that its budget is scaled by.
const MAX_SPEED_RATIO: f64 = 2.0;
/// An answer within this many times the latency expected of the endpoint's kind shows that it has no queue.
const UNQUEUED_LATENCY_RATIO: f64 = 3.0;
/// Fraction of a cold endpoint's budget that a suspected one gets: gateways without a connection to it do not notice the restart.
const SUSPECTED_BUDGET_FRACTION: f64 = 0.5;
/// Largest starting capacity at which a single quick answer clears a suspected endpoint; above it a cold one is quick as well.
const MAX_CLEARANCE_START_CAPACITY_FRACTION: f64 = 0.5;
/// An endpoint whose reported rate falls below this fraction of its average may have restarted.
const RESTART_RATE_FRACTION: f64 = 0.2;
/// Lowest average rate at which that is judged, in requests a second.
const MIN_RATE_TO_JUDGE_RESTART_PER_S: f64 = 1.0;
/// Difference from the idle time before up to which an idle time is usual, as a fraction of it.
const USUAL_IDLE_TOLERANCE_FRACTION: f64 = 0.1;
/// Difference from the idle time before that is allowed on top, in seconds; some endpoints close connections right after each answer.
const USUAL_IDLE_TOLERANCE_S: f64 = 0.005;
/// Idle connections of one endpoint that close within this time belong to one event, in seconds.
const CLOSE_BURST_S: f64 = 0.1;

/// The last idle connection that an endpoint closed. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastIdleClose {
    endpoint: EndpointId,
    at_s: f64,
    /// How long the connection had been idle.
    idle_s: f64,
    /// How long the last connection of an earlier burst had been idle.
    previous_burst_idle_s: f64,
}

impl LastIdleClose {
    /// The state before any close.
    pub(crate) fn none() -> Self {
        LastIdleClose {
            endpoint: EndpointId(u32::MAX),
            at_s: f64::NEG_INFINITY,
            idle_s: 0.0,
            previous_burst_idle_s: 0.0,
        }
    }

    /// Records a close and returns the idle time that is usual. Connections that close together were idle for similar times and say
    /// nothing of what is usual, so the idle time of the burst before is returned.
    fn record(&mut self, now_s: f64, endpoint: EndpointId, idle_s: f64) -> f64 {
        let is_same_burst = self.endpoint == endpoint && now_s - self.at_s < CLOSE_BURST_S;
        let usual_s = if is_same_burst { self.previous_burst_idle_s } else { self.idle_s };
        *self = LastIdleClose { endpoint, at_s: now_s, idle_s, previous_burst_idle_s: usual_s };
        usual_s
    }
}

/// The smallest fraction of its full work that an endpoint can do, by the time since its start; 1 once it is warm.
pub(crate) fn warm_up_fraction(now_s: f64, started_s: f64, settings: &Settings) -> f64 {
    let duration_s = settings.slow_start_duration.as_secs_f64().max(MIN_SLOW_START_S);
    // Bounded before the multiplication: an infinite age times a rest of 0 would be no number.
    let elapsed = ((now_s - started_s) / duration_s).min(1.0);
    let start = settings.slow_start_min_capacity;
    (start + (1.0 - start) * elapsed).clamp(MIN_WARM_UP_FRACTION, 1.0)
}

/// What the token budgets of all endpoints grow by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetGrowth {
    /// Time since the budgets last grew, in seconds.
    pub(crate) elapsed_s: f64,
    /// Requests a second that a warm endpoint serves for this gateway.
    pub(crate) warm_endpoint_requests_per_s: f64,
    /// Latency expected of an endpoint of mean size, in seconds.
    pub(crate) mean_latency_s: f64,
}

impl BudgetGrowth {
    /// Lets the budget of an endpoint grow; `prior_s` is the latency in seconds that is expected of its kind.
    ///
    /// A kind that is slower when warm is slower when cold. The settings' overload factor bounds what a cold endpoint is sent against
    /// what it can do; since a warm one is not full and the warm-up fraction is a lower bound, the budget stays below that.
    pub(crate) fn apply(self, now_s: f64, endpoint: &mut EndpointRecord, prior_s: f64, settings: &Settings) {
        let warm_up = warm_up_fraction(now_s, endpoint.started_s, settings);
        if warm_up >= 1.0 {
            endpoint.tokens = f64::INFINITY;
            endpoint.restart_suspected = false;
            return;
        }
        let speed = (self.mean_latency_s / prior_s).clamp(MIN_SPEED_RATIO, MAX_SPEED_RATIO);
        let suspicion = if endpoint.restart_suspected { SUSPECTED_BUDGET_FRACTION } else { 1.0 };
        let share = settings.overload_factor * suspicion;
        let growth = self.elapsed_s * share * speed * warm_up * self.warm_endpoint_requests_per_s;
        endpoint.tokens = (endpoint.tokens + growth).min(MAX_TOKENS);
    }
}

impl EndpointRecord {
    /// Whether slow start allows an attempt now.
    pub(crate) fn has_attempt_token(&self) -> bool {
        self.tokens >= ATTEMPT_COST_TOKENS
    }

    /// Takes the tokens of an attempt.
    pub(crate) fn spend_attempt_token(&mut self) {
        self.tokens -= ATTEMPT_COST_TOKENS;
    }

    /// Gives the token of an answered attempt back, if the answer shows that the endpoint has no queue: as far as other gateways share
    /// the endpoint, one gateway's budget is coarse. `latency_s` is scaled to mean work; `prior_s` is expected of its kind.
    pub(crate) fn refund_token_if_unqueued(&mut self, latency_s: f64, prior_s: f64, dilution: f64) {
        let is_unqueued = latency_s <= UNQUEUED_LATENCY_RATIO * prior_s;
        if is_unqueued && !self.restart_suspected {
            self.tokens = self.tokens.max((self.tokens + dilution).min(MAX_TOKENS));
        }
    }

    /// Ends the suspicion of a restart, if the answer was as quick as the endpoint used to be and as its kind is: a cold one takes
    /// several times as long. Its own estimate alone may still be raised from before it ended.
    pub(crate) fn clear_suspicion_if_quick(&mut self, latency_s: f64, prior_s: f64, settings: &Settings) {
        let usual_s = self.detector.estimate().min(prior_s);
        let is_telling = settings.slow_start_min_capacity <= MAX_CLEARANCE_START_CAPACITY_FRACTION;
        if self.restart_suspected && latency_s <= usual_s && is_telling {
            self.started_s = self.started_before_suspicion_s;
            self.tokens = f64::INFINITY;
            self.restart_suspected = false;
        }
    }

    /// Whether a load report, `gap_s` seconds after the one before, shows that a warm endpoint which served steadily begins anew.
    pub(crate) fn report_shows_restart(
        &self,
        report: &LoadReport,
        gap_s: f64,
        longest_objective_s: f64,
    ) -> bool {
        let average_per_s = self.reported_requests_per_s;
        average_per_s >= MIN_RATE_TO_JUDGE_RESTART_PER_S
            && report.requests_per_second < RESTART_RATE_FRACTION * average_per_s
            && gap_s < recent_activity_window_s(longest_objective_s)
            && self.is_warm()
    }

    /// Puts the endpoint back to the beginning of slow start, with this many tokens.
    pub(crate) fn restart_slow_start(&mut self, now_s: f64, tokens: f64) {
        self.started_s = self.started_s.max(now_s);
        self.tokens = tokens;
    }
}

impl Balancer {
    /// Handles an idle connection that an endpoint has closed. A process that ends closes its connections to all gateways at once,
    /// long before discovery reports it; a close after the usual idle time is no sign of a restart.
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

    /// Treats an endpoint as restarted without notice: it starts with a part of a cold one's budget, drawn at random, or the first
    /// attempts of all gateways would arrive together. Nothing changes while it has attempts in flight, which a restart would have
    /// ended, or while as many as half of the endpoints would be in slow start: someone has to serve.
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
