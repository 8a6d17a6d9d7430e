//! Reports the progress and the end of an attempt to the engine.

use super::message::{AttemptReport, EngineHandle, Message, ResponseStart};
use crate::upstream::{AttemptProgress, AttemptResult};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;
use weldworks_balancer::RequestId;

/// Reports how an attempt ended when it is dropped.
///
/// The report is sent on drop so that the engine learns of the end also where the attempt's task panics: the endpoint may have
/// processed the request by then, and without the report the request would stay open until its deadline.
pub(super) struct AttemptReporter {
    pub(super) engine: EngineHandle,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    /// Start of the latency: the balancer's decision, or the write of the last byte of a streamed body.
    pub(super) latency_since: Cell<Instant>,
    /// When the balancer decided on the attempt.
    pub(super) decided_at: Instant,
    /// Time from the last byte of a streamed body by which the gateway answers.
    pub(super) answer_timeout: Duration,
    pub(super) result: AttemptResult,
}

impl AttemptReporter {
    /// Reports the attempt's progress to the engine.
    pub(super) fn report_progress(&self, progress: AttemptProgress) {
        let request = self.request;
        let attempt = self.attempt;
        self.engine.send(match progress {
            AttemptProgress::BodyForwardingStarted => Message::BodyForwardingStarted(request),
            AttemptProgress::BodyForwarded { earliest_last_byte_at } => {
                self.latency_since.set(Instant::now());
                Message::BodyForwarded {
                    request,
                    answer_deadline: earliest_last_byte_at + self.answer_timeout,
                }
            }
            AttemptProgress::ResponseStarted { response, first_byte_at, load_report } => {
                let latency = first_byte_at.saturating_duration_since(self.latency_since.get());
                Message::ResponseStarted(ResponseStart {
                    request,
                    attempt,
                    latency,
                    response: *response,
                    load_report,
                })
            }
        });
    }
}

impl Drop for AttemptReporter {
    fn drop(&mut self) {
        let written_after = self.result.written_at.map(|at| at.saturating_duration_since(self.decided_at));
        self.engine.send(Message::AttemptEnded(AttemptReport {
            request: self.request,
            attempt: self.attempt,
            latency_since: self.latency_since.get(),
            outcome: self.result.outcome,
            response: self.result.response.take(),
            load_report: self.result.load_report,
            written_after,
        }));
    }
}
