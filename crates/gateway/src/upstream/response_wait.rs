//! Drives one connection while a request is written and its response read, and ends the wait when either side stalls.

use super::attempt::{Attempt, AttemptProgress, RetryAfterWrite};
use super::connection::Connection;
use crate::body::RequestPayload;
use crate::log_rate_limit::LogRateLimit;
use crate::metrics::Metrics;
use crate::transport::instrumented_stream::IoState;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::time::{Instant, Sleep};
use tracing::info;
use weldworks_control::body_streaming::{ExpectedLength, ResponseBuffering, TransferState};
use weldworks_control::execution::WriteProgress;

/// The state of one request and response on a connection.
pub(super) struct ResponseWait<'a> {
    pub(super) connection: &'a mut Connection,
    pub(super) io_state: &'a IoState,
    pub(super) attempt: &'a Attempt,
    pub(super) body: &'a RequestPayload,
    pub(super) metrics: &'a Metrics,
    pub(super) stall_log: &'a LogRateLimit,
    pub(super) report: &'a dyn Fn(AttemptProgress),
    /// Set when a 1xx response has arrived.
    pub(super) informational: &'a AtomicBool,
    /// The expected length of the response; short until its head is complete.
    pub(super) expected_length: &'a Cell<ExpectedLength>,
    pub(super) stall_timer: Pin<&'a mut Sleep>,
    pub(super) started_at: Instant,
    pub(super) transfer_state: TransferState,
    pub(super) connection_closed: bool,
    pub(super) request_written: bool,
}

impl ResponseWait<'_> {
    /// Polls the response and its connection; resolves to `None` once either side has stalled.
    pub(super) fn poll<F: Future>(
        &mut self,
        cx: &mut Context<'_>,
        mut response: Pin<&mut F>,
    ) -> Poll<Option<F::Output>> {
        if let Poll::Ready(response) = response.as_mut().poll(cx) {
            return Poll::Ready(Some(response));
        }
        self.drive_connection(cx);
        self.report_body_start();
        self.report_written();
        if let Poll::Ready(response) = response.as_mut().poll(cx) {
            return Poll::Ready(Some(response));
        }
        let Some(deadline) = self.stall_deadline() else { return Poll::Pending };
        if self.stall_timer.deadline() != deadline {
            self.stall_timer.as_mut().reset(deadline);
        }
        self.stall_timer.as_mut().poll(cx).map(|()| {
            self.log_stall();
            None
        })
    }

    fn log_stall(&self) {
        let Some(suppressed_lines) = self.stall_log.admit(Instant::now()) else { return };
        let response_idle = self.io_state.last_read_at.get().map(|at| at.elapsed());
        info!(
            request_id = self.attempt.request_id(),
            endpoint = self.attempt.endpoint.address.get().map(tracing::field::display),
            written_bytes = self.attempt.monitor.written_bytes(),
            request_written = self.request_written,
            response_begun = self.io_state.first_read_at.get().is_some(),
            response_idle_ms = response_idle.map(|idle| idle.as_millis() as u64),
            suppressed_lines,
            "connection to endpoint stalled, attempt abandoned"
        );
    }

    fn drive_connection(&mut self, cx: &mut Context<'_>) {
        if !self.connection_closed {
            self.connection_closed = self.connection.driver.as_mut().poll(cx).is_ready();
        }
    }

    /// Reports, once for an attempt, that the first part of a streamed body has been forwarded.
    fn report_body_start(&mut self) {
        let RequestPayload::Streaming(upload) = self.body else { return };
        let previous = std::mem::replace(&mut self.transfer_state, upload.state());
        if previous == TransferState::NotForwarded && self.transfer_state != previous {
            (self.report)(AttemptProgress::BodyForwardingStarted);
        }
    }

    /// Records, once for an attempt, that the request's last byte has been written, and reports the end of a streamed body.
    fn report_written(&mut self) {
        if self.request_written || self.io_state.write_progress.get() != WriteProgress::Complete {
            return;
        }
        self.request_written = true;
        self.metrics.record_written_attempt();
        if let RequestPayload::Streaming(upload) = self.body {
            let earliest_last_byte_at = upload.earliest_last_byte_at();
            (self.report)(AttemptProgress::BodyForwarded { earliest_last_byte_at });
        }
    }

    /// When the side that the attempt waits for counts as stalled; `None` while that side has no time limit.
    fn stall_deadline(&self) -> Option<Instant> {
        match self.body {
            RequestPayload::Streaming(upload)
                if !self.request_written && self.io_state.first_read_at.get().is_none() =>
            {
                upload.endpoint_deadline()
            }
            _ => self.response_stall_deadline(),
        }
    }

    /// When a response that has begun counts as stalled; `None` before the response has begun.
    ///
    /// After a 1xx response, this first clears the time of the first byte, which belongs to the 1xx.
    /// A final response whose start was read together with the 1xx counts as begun from the next read on.
    fn response_stall_deadline(&self) -> Option<Instant> {
        if self.informational.swap(false, Ordering::Relaxed) {
            // The bytes read so far are a 1xx response, so the final response has not begun.
            self.io_state.first_read_at.set(None);
        }
        let first_read = self.io_state.first_read_at.get()?;
        let last_read = self.io_state.last_read_at.get().unwrap_or(first_read);
        let response_start = first_read - self.started_at;
        let last_read = last_read.saturating_duration_since(self.started_at);
        let next_byte_deadline = match self.attempt.retry_after_write {
            RetryAfterWrite::Possible => {
                let expected_length = self.expected_length.get();
                ResponseBuffering::next_byte_deadline(response_start, last_read, expected_length)
            }
            RetryAfterWrite::Impossible => {
                ResponseBuffering::next_byte_deadline_without_retry(response_start, last_read)
            }
        };
        Some(self.started_at + next_byte_deadline)
    }
}
