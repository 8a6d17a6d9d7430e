//! Log lines of the default level about requests that were not served, or were answered after their time.

use super::message::FinalAnswer;
use super::request_table::RequestEntry;
use crate::log_rate_limit::LogRateLimit;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// Time after the gateway's own deadline for an answer from which the answer is late: the client's time has ended by then.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(15);

/// Writes the log lines, each kind of them at a limited rate.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    unserved: LogRateLimit,
    late: LogRateLimit,
}

impl RequestLog {
    /// Logs the final answer to a request that was not served, or is answered late. Returns whether the answer is late.
    pub(super) fn record_answer(&self, entry: &RequestEntry, answer: &FinalAnswer) -> bool {
        let now = Instant::now();
        let overdue = now.saturating_duration_since(entry.answer_due_at());
        let is_late = overdue > MAX_ANSWER_DELAY;
        let is_served = matches!(answer, FinalAnswer::Served(_));
        let limit = if is_late { &self.late } else { &self.unserved };
        if is_served && !is_late {
            return false;
        }
        let Some(suppressed_lines) = limit.admit(now) else { return is_late };
        if is_late {
            warn!(
                request_id = entry.request_id.to_str().unwrap_or_default(),
                class = entry.class.name,
                result = answer.name(),
                status = answer.status(),
                overdue_ms = overdue.as_millis() as u64,
                duration_ms = entry.arrived_at.elapsed().as_millis() as u64,
                phase = ?entry.phase(),
                body = ?entry.body_progress(),
                attempts = entry.attempts.len(),
                attempts_in_flight = entry.attempts_in_flight,
                endpoint = entry.last_endpoint_address().map(tracing::field::display),
                written_bytes = entry.last_written_bytes(),
                last_outcome = ?entry.last_outcome,
                suppressed_lines,
                "final answer after its time"
            );
        } else {
            info!(
                request_id = entry.request_id.to_str().unwrap_or_default(),
                class = entry.class.name,
                result = answer.name(),
                status = answer.status(),
                duration_ms = entry.arrived_at.elapsed().as_millis() as u64,
                phase = ?entry.phase(),
                body = ?entry.body_progress(),
                attempts = entry.attempts.len(),
                endpoint = entry.last_endpoint_address().map(tracing::field::display),
                written_bytes = entry.last_written_bytes(),
                last_outcome = ?entry.last_outcome,
                suppressed_lines,
                "request not served"
            );
        }
        is_late
    }
}
