//! Reports the progress and the end of an attempt to the engine.

use super::message::{AttemptReport, EngineHandle, Message, ResponseStart};
use crate::upstream::{AttemptProgress, AttemptResult};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;
use weldworks_balancer::RequestId;

/// Reports the progress of an attempt to the engine, and on drop how the attempt ended.
///
/// The drop reports the attempt's end even where the attempt's task panics: the endpoint may have processed the request by then.
/// Without the report, the request would stay open until its deadline.
pub(super) struct AttemptReporter {
    pub(super) engine: EngineHandle,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    /// When the latency starts: at the balancer's decision, or for a streamed body at the write of its last byte.
    pub(super) latency_since: Cell<Instant>,
    /// When the balancer decided on the attempt.
    pub(super) decided_at: Instant,
    /// Time limit for the gateway's answer, counted from the last byte of a streamed request body.
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
