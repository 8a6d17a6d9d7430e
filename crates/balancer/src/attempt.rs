//! Sends attempts and handles their outcomes. Whether another attempt is allowed is decided in [`crate::retry`],
//! the endpoint that it goes to in [`crate::selection`], and what a failure counts against in [`crate::outlier_detection`].

use crate::api::{Action, EndpointId, EndpointState, Idempotency, Outcome, RequestId};
use crate::balancer::{set_timer, Balancer};
use crate::outlier_detection::ClassFailures;
use crate::request::{AttemptState, RequestState};
use crate::retry::{final_answer, hedge_delay_s, is_attempt_allowed, is_hedge_in_time, latest_write_s};
use crate::retry_budget::AttemptKind;
use crate::traffic_stats::update_average;
use std::time::Duration;

/// Time after which endpoint selection is repeated for a request that had no eligible endpoint, in seconds.
const NO_ELIGIBLE_ENDPOINT_RECHECK_S: f64 = 0.015;
/// Fraction of the keep-alive time for which an idle connection is expected to stay open:
/// gateways close a connection after half of that time.
const IDLE_CONNECTION_KEEP_ALIVE_FRACTION: f64 = 0.5;

/// An attempt that has ended, with the data needed to record its outcome. Times are in seconds.
#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt {
    /// The number of the endpoint that the attempt was sent to.
    pub(crate) endpoint: usize,
    /// The request's class, as an index into [`crate::Settings::classes`].
    pub(crate) class: usize,
    /// How the attempt ended.
    pub(crate) outcome: Outcome,
    /// Time from the send of the attempt to its outcome.
    pub(crate) latency_s: f64,
    /// The latency of the attempt, scaled to a request of mean work.
    scaled_latency_s: f64,
    cost_hint_s: f64,
    deadline_s: f64,
}

impl Balancer {
    /// Takes the next step of an open request. Called on arrival, after each outcome, when the request's key is released and on each of the
    /// request's timers. A timer carries only the request's number, so it may have been set for an earlier attempt.
    ///
    /// A retry that is not allowed, for instance for lack of budget, ends the request at once.
    /// A hedge that is not allowed is dropped and not tried again.
    pub(crate) fn advance(
        &mut self,
        now_s: f64,
        id: RequestId,
        request: &mut RequestState,
        actions: &mut Vec<Action>,
    ) {
        let kind = AttemptKind::of_next(request);
        let idempotency = self.settings.classes[request.class].idempotency;
        let is_allowed = is_attempt_allowed(request, idempotency, now_s) && self.retry_budget.covers(kind);
        let is_expired = now_s >= request.wait_for_endpoint_until_s();
        if kind != AttemptKind::Hedge && (is_expired || !is_allowed) {
            return self.end_unserved(id, request, actions);
        }
        let is_due = is_allowed && now_s >= request.earliest_send_s;
        let selected = if is_due { self.select_endpoint(now_s, request) } else { None };
        let Some(endpoint) = selected else {
            if kind != AttemptKind::Hedge {
                wait_for_endpoint(now_s, id, request, actions);
            }
            return;
        };
        if kind == AttemptKind::Hedge {
            let expected_s = self.endpoints[endpoint].latency_estimate_s * request.relative_work;
            if !is_hedge_in_time(now_s, expected_s, request.deadline_s) {
                return;
            }
        }
        self.retry_budget.spend(kind);
        self.send_attempt(now_s, id, request, endpoint, actions);
    }

    /// Sends an attempt of the request to an endpoint and sets the timer for its hedge.
    fn send_attempt(
        &mut self,
        now_s: f64,
        id: RequestId,
        request: &mut RequestState,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let idempotency = self.settings.classes[request.class].idempotency;
        let sent_at_s = self.track_in_flight(now_s, request, index);
        let endpoint = &mut self.endpoints[index];
        endpoint.spend_attempt_token();
        let key_partition = match idempotency {
            Idempotency::IdempotencyKey { scope, .. } => scope.partition_of(&endpoint.entry),
            _ => 0,
        };
        let write_by =
            latest_write_s(request, idempotency).map(|latest_s| Duration::from_secs_f64(latest_s.max(0.0)));
        request.attempts.push(AttemptState::started(index, key_partition, now_s, sent_at_s));
        actions.push(Action::Send {
            request: id,
            endpoint: EndpointId(index as u32),
            deadline: Duration::from_secs_f64(request.deadline_s),
            write_by,
        });
        self.schedule_hedge(now_s, id, request, index, actions);
    }

    /// Counts a new attempt as in flight at its endpoint and returns the time at which the attempt was sent, in seconds.
    /// An attempt whose body is still arriving does not occupy the endpoint:
    /// the attempt is counted once its body is complete, and its send time is infinite until then.
    fn track_in_flight(&mut self, now_s: f64, request: &RequestState, index: usize) -> f64 {
        if request.body_streaming {
            return f64::INFINITY;
        }
        self.endpoints[index].in_flight_since_s.push(now_s);
        if request.attempts_in_flight() == 0 {
            self.traffic.requests_in_flight += 1.0;
        }
        now_s
    }

    /// Sets the hedge timer for the attempt just sent. No timer is set if the request may have no further attempt,
    /// or if the hedge would be due only at or after the deadline.
    fn schedule_hedge(
        &self,
        now_s: f64,
        id: RequestId,
        request: &RequestState,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let expected_latency_s = if self.traffic.latency_s > 0.0 {
            self.endpoints[index].latency_estimate_s * request.relative_work
        } else {
            // No request was served yet, so there is no expected latency and no hedge.
            request.deadline_s - now_s
        };
        let hedge_delay_s = hedge_delay_s(expected_latency_s, self.settings.timer_tick.as_secs_f64());
        let idempotency = self.settings.classes[request.class].idempotency;
        let is_hedge_possible = is_attempt_allowed(request, idempotency, now_s);
        if is_hedge_possible && now_s + hedge_delay_s < request.deadline_s {
            actions.push(set_timer(hedge_delay_s, id.0));
        }
    }

    /// Handles the last byte of a streamed body: the request's latency objective and its attempt's latency count from now.
    pub(crate) fn on_body_forwarded(
        &mut self,
        now_s: f64,
        id: RequestId,
        client_deadline: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.update_request_and_key(now_s, id, actions, |balancer, request, actions| {
            balancer.start_request_clock(now_s, id, request, client_deadline.as_secs_f64(), actions);
        });
    }

    /// Starts the request's latency objective and its attempt's latency once the streamed body is complete.
    fn start_request_clock(
        &mut self,
        now_s: f64,
        id: RequestId,
        request: &mut RequestState,
        client_deadline_s: f64,
        actions: &mut Vec<Action>,
    ) {
        if !std::mem::take(&mut request.body_streaming) {
            return;
        }
        request.deadline_s = client_deadline_s.min(now_s + request.objective_s);
        // There is at most one attempt in flight: a request whose body is still arriving is not hedged.
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.is_in_flight) {
            self.endpoints[attempt.endpoint].in_flight_since_s.push(now_s);
            self.traffic.requests_in_flight += 1.0;
            attempt.sent_at_s = now_s;
        }
        let deadline = Duration::from_secs_f64(request.deadline_s);
        actions.push(Action::SetAttemptDeadline { request: id, deadline });
    }

    /// Records the outcome of an attempt: whether the request was possibly processed,
    /// and how the endpoint performed. An attempt that is not in flight is ignored.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now_s: f64,
        request: &mut RequestState,
        attempt: u32,
        outcome: Outcome,
        latency_s: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = request.attempts.get_mut(attempt as usize).filter(|attempt| attempt.is_in_flight)
        else {
            return;
        };
        attempt.end(outcome);
        let endpoint = attempt.endpoint;
        let sent_at_s = attempt.sent_at_s;
        if request.attempts_in_flight() == 0 && !request.body_streaming {
            self.traffic.requests_in_flight -= 1.0;
        }
        self.release_endpoint(endpoint, sent_at_s, actions);
        self.begin_quiet_period_if_running(now_s, request, outcome);
        let ended = EndedAttempt {
            endpoint,
            class: request.class,
            outcome,
            latency_s,
            scaled_latency_s: latency_s / request.relative_work,
            cost_hint_s: request.cost_hint_s,
            deadline_s: request.deadline_s,
        };
        let class_count = self.settings.classes.len();
        self.endpoints[endpoint].class_failures.resize(class_count, ClassFailures::default());
        match outcome {
            Outcome::Served => self.record_served(now_s, ended),
            Outcome::Cancelled => self.record_cancelled(now_s, ended),
            Outcome::NotSent => {}
            Outcome::Error
            | Outcome::Rejected
            | Outcome::TimedOut
            | Outcome::NoConnection
            | Outcome::Reset => self.record_failed(now_s, ended),
        }
    }

    /// Removes an attempt from the attempts in flight at its endpoint.
    /// The connection that the attempt used is idle now; if the endpoint is draining, the connection must be closed.
    fn release_endpoint(&mut self, index: usize, sent_at_s: f64, actions: &mut Vec<Action>) {
        let endpoint = &mut self.endpoints[index];
        if let Some(position) = endpoint.in_flight_since_s.iter().position(|&since_s| since_s == sent_at_s) {
            endpoint.in_flight_since_s.remove(position);
        }
        let is_draining = endpoint.entry.state == EndpointState::Draining;
        if is_draining && self.settings.drain_close_within.is_some() {
            actions.push(Action::CloseIdleConnections { endpoint: endpoint.entry.id });
        }
    }

    /// Starts the quiet period of a sequential request's key after an attempt that may still be running.
    fn begin_quiet_period_if_running(&mut self, now_s: f64, request: &RequestState, outcome: Outcome) {
        let is_possibly_running = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if !is_possibly_running || !self.settings.classes[request.class].sequential {
            return;
        }
        let Some(key) = request.key else { return };
        let quiet_until_s = now_s + request.limits.key_quiet_period_s;
        self.key_queues.entry(key).or_default().begin_quiet_period(quiet_until_s);
    }

    /// Records a served request: clears the endpoint's failures and adds its latency to the averages.
    fn record_served(&mut self, now_s: f64, ended: EndedAttempt) {
        let prior_s = self.fleet_latency.prior_s(&self.endpoints[ended.endpoint]);
        let endpoint = &mut self.endpoints[ended.endpoint];
        endpoint.consecutive_failures = 0;
        endpoint.last_served_s = now_s;
        let keep_alive_s = self.settings.keep_alive.as_secs_f64();
        endpoint.idle_connection_until_s = now_s + IDLE_CONNECTION_KEEP_ALIVE_FRACTION * keep_alive_s;
        endpoint.class_failures[ended.class] = ClassFailures::served(now_s);
        if now_s <= ended.deadline_s {
            self.traffic.served_in_time.record();
        }
        if endpoint.is_warm() {
            self.traffic.served_per_warm_endpoint.record();
        }
        endpoint.refund_token_if_unqueued(ended.scaled_latency_s, prior_s, self.derived_settings.dilution);
        endpoint.clear_suspicion_if_fast(ended.scaled_latency_s, prior_s, &self.settings);
        self.observe_latency(now_s, ended.endpoint, ended.scaled_latency_s);
        update_average(&mut self.traffic.class_latency_s[ended.class], ended.latency_s);
        update_average(&mut self.traffic.latency_s, ended.latency_s);
        if ended.cost_hint_s > 0.0 {
            self.traffic.track_latency_per_hint(ended.latency_s, ended.cost_hint_s);
        }
    }

    /// Records a cancelled attempt. Its time in flight is a latency sample only if it is longer than the expected latency:
    /// the answer would have taken at least that long.
    fn record_cancelled(&mut self, now_s: f64, ended: EndedAttempt) {
        if ended.scaled_latency_s > self.endpoints[ended.endpoint].latency_estimate_s {
            self.observe_latency(now_s, ended.endpoint, ended.scaled_latency_s);
        }
    }

    /// Adds a latency sample of an endpoint, in seconds.
    /// Until a request was served, the sample also sets the latency expected of all endpoints.
    pub(crate) fn observe_latency(&mut self, now_s: f64, index: usize, latency_s: f64) {
        let endpoint = &mut self.endpoints[index];
        if self.traffic.latency_s <= 0.0 {
            self.fleet_latency.mean_s = latency_s * endpoint.relative_size;
        }
        let prior_s = self.fleet_latency.prior_s(endpoint);
        endpoint.observe_latency(now_s, latency_s, prior_s);
    }

    /// Ends a request that was not served.
    fn end_unserved(&mut self, id: RequestId, request: &mut RequestState, actions: &mut Vec<Action>) {
        request.open = false;
        self.traffic.unserved.record();
        let idempotency = self.settings.classes[request.class].idempotency;
        actions.push(final_answer(id, request, idempotency));
    }
}

/// Sets a timer for the request's next step: when the quiet period of its key ends, or after [`NO_ELIGIBLE_ENDPOINT_RECHECK_S`].
fn wait_for_endpoint(now_s: f64, id: RequestId, request: &RequestState, actions: &mut Vec<Action>) {
    let wait_s = if now_s < request.earliest_send_s {
        request.earliest_send_s - now_s
    } else {
        NO_ELIGIBLE_ENDPOINT_RECHECK_S
    };
    actions.push(set_timer(wait_s.min(request.deadline_s - now_s), id.0));
}
