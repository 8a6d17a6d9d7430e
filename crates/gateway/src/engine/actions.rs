//! Executes the actions that the balancer returns.

use super::attempt_reporter::AttemptReporter;
use super::message::FinalAnswer;
use super::request_table::{AttemptEntry, RequestEntry};
use super::timers::Timer;
use super::Engine;
use crate::body::RequestPayload;
use crate::upstream::{Attempt, AttemptMonitor, AttemptResult, Deadline, RetryAfterWrite};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::debug;
use weldworks_balancer::{Action, EndpointId, Event, Idempotency, Outcome, RequestId};
use weldworks_fleet::audit::DecisionKind;

/// The deadlines of an attempt.
#[derive(Clone, Copy)]
struct AttemptDeadlines {
    /// When the attempt times out.
    answer_by: Instant,
    /// Latest time at which the request's last byte may be written; `None` where the time is not limited.
    write_by: Option<Instant>,
}

impl Engine {
    /// Executes one action of the balancer.
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, deadline, write_by } => {
                let deadlines = AttemptDeadlines {
                    answer_by: self.handle.instant(deadline),
                    write_by: write_by.map(|by| self.handle.instant(by)),
                };
                self.record_selection(request, endpoint);
                self.start_attempt(request, endpoint, deadlines);
            }
            Action::SetAttemptDeadline { request, deadline } => self.set_attempt_deadline(request, deadline),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject { request, retry_after } => {
                self.record_decision(DecisionKind::Reject, request, None);
                self.finish(request, FinalAnswer::Rejected { retry_after });
            }
            Action::Fail { request } => self.fail(request),
            Action::SetTimer { after, token } => {
                self.timers.push(Instant::now() + after, Timer::Balancer(token));
            }
            // The balancer requests no probes, because it assesses endpoints by the requests that they serve.
            Action::Probe { endpoint } => {
                self.notify(Event::ProbeEnded {
                    endpoint,
                    outcome: Outcome::NotSent,
                    latency: Duration::ZERO,
                });
            }
            Action::CloseIdleConnections { endpoint } => self.pool.close_idle(endpoint),
            Action::PollDiscovery => self.open_watch(),
        }
    }

    /// Records the selected endpoint in the fleet's audit log, if this gateway is in a fleet.
    fn record_selection(&self, request: RequestId, endpoint: EndpointId) {
        if self.fleet.is_none() {
            return;
        }
        let is_retry = self.requests.get(request).is_some_and(|entry| !entry.attempts.is_empty());
        let kind = if is_retry { DecisionKind::Retry } else { DecisionKind::Pick };
        self.record_decision(kind, request, Some(endpoint));
    }

    fn set_attempt_deadline(&self, request: RequestId, deadline: Duration) {
        let deadline = self.handle.instant(deadline);
        if let Some(entry) = self.requests.get(request) {
            let latest = entry.answer_deadline;
            entry.attempts.iter().for_each(|attempt| attempt.deadline.set(deadline, latest));
        }
    }

    fn cancel_attempt(&self, request: RequestId, attempt: u32) {
        let Some(entry) = self.requests.get(request) else { return };
        if let Some(attempt) = entry.attempts.get(attempt as usize) {
            attempt.cancel.notify_one();
        }
    }

    fn fail(&mut self, request: RequestId) {
        let last_outcome = self.requests.get(request).map(|entry| entry.last_outcome);
        let status = match last_outcome {
            Some(Outcome::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        self.finish(request, FinalAnswer::Failed(status));
    }

    /// Starts the task of an attempt, which reports to the engine how the attempt ends.
    fn start_attempt(&mut self, id: RequestId, endpoint: EndpointId, deadlines: AttemptDeadlines) {
        let index = endpoint.0 as usize;
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(endpoint) = self.endpoints.get(index) else { return };
        let cancel = Rc::new(Notify::new());
        let monitor = Rc::new(AttemptMonitor::default());
        let deadline = Deadline::new(deadlines.answer_by, entry.answer_deadline);
        let attempt = Attempt {
            endpoint: endpoint.clone(),
            request: entry.forward.clone(),
            deadline: deadline.clone(),
            write_by: deadlines.write_by,
            retry_after_write: retry_after_write(entry),
            liveness: entry.client.clone(),
            cancel: cancel.clone(),
            monitor: monitor.clone(),
        };
        let decided_at = Instant::now();
        let number = entry.attempts.len() as u32;
        log_attempt(id, number, &attempt, self.listed_endpoints.get(index), decided_at);
        let reporter = AttemptReporter {
            engine: self.handle.clone(),
            request: id,
            attempt: number,
            latency_since: Cell::new(decided_at),
            decided_at,
            answer_timeout: answer_timeout(entry),
            result: AttemptResult {
                outcome: Outcome::Reset,
                response: None,
                load_report: None,
                written_at: None,
            },
        };
        entry.attempts.push(AttemptEntry { endpoint: endpoint.clone(), cancel, deadline, monitor });
        entry.attempts_in_flight += 1;
        let pool = self.pool.clone();
        spawn_local(async move {
            let mut reporter = reporter; // the whole reporter moves into this task: its drop reports the attempt's end
            let result = pool.attempt(&attempt, &|progress| reporter.report_progress(progress)).await;
            reporter.result = result;
        });
    }
}

/// Time limit for the gateway's answer, counted from the last byte of a streamed request body; zero for a buffered body.
fn answer_timeout(entry: &RequestEntry) -> Duration {
    match &entry.forward.body {
        RequestPayload::Buffered(_) => Duration::ZERO,
        RequestPayload::Streaming(upload) => upload.answer_timeout,
    }
}

/// Whether another attempt of the request may follow one that was written completely. A streamed body is gone once it has been written.
fn retry_after_write(entry: &RequestEntry) -> RetryAfterWrite {
    let is_streamed = matches!(entry.forward.body, RequestPayload::Streaming(_));
    let is_idempotent = entry.class.class.idempotency != Idempotency::NotIdempotent;
    if is_idempotent && !is_streamed {
        RetryAfterWrite::Possible
    } else {
        RetryAfterWrite::Impossible
    }
}

fn log_attempt(
    id: RequestId,
    number: u32,
    attempt: &Attempt,
    listed: Option<&weldworks_balancer::Endpoint>,
    decided_at: Instant,
) {
    let write_window = attempt.write_by.map(|by| by.saturating_duration_since(decided_at));
    debug!(
        request = id.0,
        attempt = number,
        endpoint = attempt.endpoint.address.get().map(tracing::field::display),
        zone = listed.map(|endpoint| endpoint.zone),
        cell = listed.map(|endpoint| endpoint.cell),
        write_window_us = write_window.map(|window| window.as_micros() as u64),
        "attempt sent"
    );
}
