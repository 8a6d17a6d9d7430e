//! The engine's handlers for the arrival, progress and end of a request.

use super::message::{Arrival, AttemptReport, FinalAnswer, ResponseStart};
use super::request_table::{DeadlineState, RequestEntry};
use super::retry_storm::retry_identity;
use super::timers::Timer;
use super::Engine;
use crate::body::RequestPayload;
use crate::upstream::UpstreamEndpoint;
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;
use weldworks_balancer::{EndpointId, Event, LoadReport, Outcome, RequestId};
use weldworks_fleet::audit::DecisionKind;

impl Engine {
    /// Passes a new request to the balancer, unless this gateway must reject clients or the request's `X-Request-ID` is in use.
    pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
        if self.must_reject_clients() {
            return self.reject_arrival(arrival);
        }
        if !self.requests.reserve_request_id(&arrival.request_id) {
            // An endpoint could not tell this request from another attempt of the earlier request with the same `X-Request-ID`.
            // The earlier request may be answered already and have an attempt in flight, or its client may lack its result.
            // Nothing is logged about the duplicate `X-Request-ID`: the client sees status 409.
            arrival.client.stop_waiting();
            let _ = arrival.answer.send(FinalAnswer::Failed(StatusCode::CONFLICT)); // the client may have disconnected
            return;
        }
        self.register_arrival(arrival);
    }

    fn register_arrival(&mut self, arrival: Arrival) {
        let Arrival { mut request, request_id, forward, class, answer, client } = arrival;
        let answer_deadline = self.handle.instant(request.client_deadline);
        request.admission_share = self.admission_share(&request);
        debug!(
            request = request.id.0,
            request_id = request_id.to_str().unwrap_or_default(),
            class = class.name,
            idempotency = ?class.class.idempotency,
            client_retry = request.is_client_retry,
            "request arrived"
        );
        let deadline_state = match &forward.body {
            RequestPayload::Buffered(_) => DeadlineState::Fixed,
            RequestPayload::Streaming(_) => DeadlineState::Estimated,
        };
        let entry = RequestEntry {
            request_id,
            retry_identity: retry_identity(&request),
            forward: Rc::new(forward),
            answer: Some(answer),
            client,
            arrived_at: Instant::now(),
            answer_deadline,
            attempts: Vec::new(),
            attempts_in_flight: 0,
            possibly_processed: false,
            client_lacks_result: false,
            deadline_state,
            last_outcome: Outcome::NotSent,
            class_index: request.class,
            class,
        };
        let id = request.id;
        self.timers.push(answer_deadline, Timer::RequestDeadline(id));
        self.requests.insert(id, entry);
        self.watch_upload(id);
        self.notify(Event::Request(request));
        self.requests.remove_if_done(id);
    }

    /// Whether the fleet forbids this gateway to accept requests: the gateway is fenced or has no session.
    fn must_reject_clients(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| !fleet.accepts_clients())
    }

    /// Rejects a request that arrived while this gateway is fenced or has no session in the fleet.
    fn reject_arrival(&self, arrival: Arrival) {
        let mut fleet_retry_after = Duration::ZERO;
        if let Some(fleet) = &self.fleet {
            let request_id = arrival.request_id.to_str().unwrap_or_default();
            fleet.record_decision(DecisionKind::Reject, arrival.request.class, request_id, None);
            fleet_retry_after = fleet.retry_after();
        }
        arrival.client.stop_waiting();
        let retry_after = fleet_retry_after.min(self.settings.max_retry_after);
        let _ = arrival.answer.send(FinalAnswer::Rejected { retry_after }); // the client may have disconnected
    }

    pub(super) fn handle_client_disconnect(&mut self, id: RequestId) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.disconnect_client();
            self.abandon(id);
        }
    }

    /// Fails a request that the balancer has left open until its deadline. Where the deadline has moved since the timer was set, as that of a
    /// streamed upload does with the body's last byte, the timer of the new deadline ends the request.
    pub(super) fn enforce_request_deadline(&mut self, id: RequestId) {
        let now = Instant::now();
        let is_due = |entry: &&mut RequestEntry| entry.answer.is_some() && entry.answer_deadline <= now;
        let Some(entry) = self.requests.get_mut(id).filter(is_due) else { return };
        if entry.deadline_state == DeadlineState::Fixed && entry.is_reading_response() {
            // After a hold-up of this process, the start of a response that came in time may be about to be forwarded.
            return self.await_attempt_end(id);
        }
        self.answer(id, FinalAnswer::Failed(StatusCode::GATEWAY_TIMEOUT));
        self.abandon(id);
    }

    /// Notifies the balancer that a request ended without a decision of the balancer: its client disconnected or its deadline passed.
    pub(super) fn abandon(&mut self, id: RequestId) {
        self.notify(Event::ClientDisconnected { request: id });
        self.requests.remove_if_done(id);
    }

    /// Records how an attempt ended, passes the response to the client, and has the balancer decide what follows.
    pub(super) fn handle_attempt_end(&mut self, report: AttemptReport) {
        let AttemptReport { request, attempt, latency_since, outcome, response, load_report, written_after } =
            report;
        let Some(entry) = self.requests.get_mut(request) else { return };
        entry.attempts_in_flight -= 1;
        entry.last_outcome = outcome;
        entry.possibly_processed |= written_after.is_some() && !outcome.proves_not_processed();
        let is_expired = entry.deadline_state == DeadlineState::Expired && entry.attempts_in_flight == 0;
        let endpoint = entry.attempt_endpoint(attempt).cloned();
        self.forward_load_report(endpoint, load_report);
        if let Some(response) = response {
            self.answer(request, FinalAnswer::Served(response));
        } else if is_expired {
            self.answer_expired(request);
        }
        let Some(entry) = self.requests.get(request) else { return };
        let latency = latency_since.elapsed();
        let request_ended = entry.answer.is_none();
        let address = entry.attempt_endpoint(attempt).and_then(|endpoint| endpoint.address.get());
        debug!(
            request = request.0,
            attempt,
            endpoint = address.map(tracing::field::display),
            latency_ms = latency.as_millis() as u64,
            written_us = written_after.map(|after| after.as_micros() as u64),
            outcome = ?outcome,
            "attempt ended"
        );
        self.notify(Event::AttemptEnded { request, attempt, latency, outcome, request_ended });
        self.requests.remove_if_done(request);
    }

    /// Sets a request's new deadline once the last byte of its streamed body has been written to an endpoint.
    pub(super) fn handle_body_forwarded(&mut self, request: RequestId, answer_deadline: Instant) {
        let Some(entry) = self.requests.get_mut(request) else { return };
        // While the process is shutting down, the answer is due by the shutdown deadline at the latest.
        let shutdown_deadline = self.handle.shutdown_deadline();
        let answer_deadline = shutdown_deadline.map_or(answer_deadline, |at| answer_deadline.min(at));
        entry.answer_deadline = answer_deadline;
        entry.deadline_state = DeadlineState::Fixed;
        self.timers.push(answer_deadline, Timer::RequestDeadline(request));
        let answer_deadline = self.handle.balancer_time(answer_deadline);
        self.notify(Event::BodyForwarded { request, client_deadline: answer_deadline });
    }

    /// Answers the client with a response whose body is still arriving.
    pub(super) fn handle_response_start(&mut self, start: ResponseStart) {
        let ResponseStart { request, attempt, latency, response, load_report } = start;
        let Some(entry) = self.requests.get(request) else { return };
        let endpoint = entry.attempt_endpoint(attempt).cloned();
        self.forward_load_report(endpoint, load_report);
        self.answer(request, FinalAnswer::Served(response));
        debug!(request = request.0, attempt, latency_ms = latency.as_millis() as u64, "response started");
        self.notify(Event::ResponseStarted { request, attempt, latency });
    }

    /// Passes a load report to the balancer, unless the endpoint's id now belongs to another endpoint.
    fn forward_load_report(&mut self, endpoint: Option<Rc<UpstreamEndpoint>>, report: Option<LoadReport>) {
        let Some((endpoint, report)) = endpoint.zip(report) else { return };
        let known = self.endpoints.get(endpoint.id.0 as usize);
        if known.is_some_and(|known| Rc::ptr_eq(known, &endpoint)) {
            self.notify(Event::LoadReport { endpoint: endpoint.id, report });
        }
    }

    /// Sends the final answer, and removes the request if no attempt is in flight.
    pub(super) fn finish(&mut self, id: RequestId, answer: FinalAnswer) {
        self.answer(id, answer);
        self.requests.remove_if_done(id);
    }

    /// Sends the final answer, unless the request was already answered or its client has disconnected.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(entry) = self.requests.get(id).filter(|entry| entry.answer.is_some()) else { return };
        let attempts = entry.attempts.len();
        let duration = entry.arrived_at.elapsed();
        let is_late = self.request_log.record_answer(entry, &answer);
        if let Some(metrics) = self.metrics.as_ref().filter(|_| is_late) {
            metrics.record_late_answer();
        }
        let answer = self.record_final_answer(entry.retry_identity, answer);
        debug!(
            request = id.0,
            attempts,
            duration_ms = duration.as_millis() as u64,
            result = answer.name(),
            "request finished"
        );
        if let Some(entry) = self.requests.get_mut(id) {
            entry.finish(answer);
        }
    }

    /// Records a decision about a request in the fleet's audit log, if this gateway is in a fleet.
    pub(super) fn record_decision(&self, kind: DecisionKind, id: RequestId, endpoint: Option<EndpointId>) {
        let Some((fleet, entry)) = self.fleet.as_ref().zip(self.requests.get(id)) else { return };
        let request_id = entry.request_id.to_str().unwrap_or_default();
        fleet.record_decision(kind, entry.class_index, request_id, endpoint);
    }
}
