//! The deadline of a request whose body is streamed. It holds whatever the request waits for: its key, an endpoint, a connection, or
//! an endpoint that takes nothing of the body.

use super::message::FinalAnswer;
use super::request_table::{DeadlineState, RequestEntry};
use super::timers::Timer;
use super::Engine;
use crate::body::{RequestPayload, StreamingUpload};
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use weldworks_balancer::RequestId;
use weldworks_control::last_byte_bound::SAMPLE_INTERVAL;

/// Time within which an attempt reports its end once its deadline has passed.
const ATTEMPT_END_GRACE: Duration = Duration::from_millis(10);

impl Engine {
    /// Starts to observe the body of a request that is streamed; does nothing for a buffered body.
    pub(super) fn watch_upload(&mut self, id: RequestId) {
        if self.requests.get(id).and_then(estimated_upload).is_some() {
            self.timers.push(Instant::now(), Timer::UploadCheck(id));
        }
    }

    /// Observes whether the client of a streamed upload is still writing, and ends the request once its deadline has passed.
    /// From the write of the body's last byte to an endpoint on, the request has a fixed deadline with a timer of its own.
    pub(super) fn check_upload(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(id).filter(|entry| entry.answer.is_some()) else { return };
        let Some(upload) = estimated_upload(entry) else { return };
        let now = Instant::now();
        upload.observe_client(now);
        let answer_deadline = upload.answer_deadline();
        // A client that goes on writing after the shutdown deadline may write its last byte just before the process is killed.
        let shutdown_deadline = self.handle.shutdown_deadline();
        let deadline = shutdown_deadline.map_or(answer_deadline, |at| answer_deadline.min(at));
        if now >= deadline {
            return self.expire_upload(id);
        }
        self.timers.push(deadline.min(now + SAMPLE_INTERVAL), Timer::UploadCheck(id));
    }

    /// Ends a request whose deadline has passed. Attempts in flight are ended first: only their end tells whether an endpoint may have
    /// the complete request.
    fn expire_upload(&mut self, id: RequestId) {
        let now = Instant::now();
        let Some(entry) = self.requests.get_mut(id) else { return };
        if entry.attempts_in_flight == 0 {
            self.answer_expired(id);
            return self.abandon(id);
        }
        entry.attempts.iter().for_each(|attempt| attempt.deadline.shorten_to(now));
        self.await_attempt_end(id);
    }

    /// Leaves a request whose deadline has passed to the end of its attempt, for a moment.
    pub(super) fn await_attempt_end(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.deadline_state = DeadlineState::Expired;
        entry.answer_deadline = Instant::now() + ATTEMPT_END_GRACE;
        self.timers.push(entry.answer_deadline, Timer::RequestDeadline(id));
    }

    /// Answers a request whose deadline has passed and that has no attempt in flight.
    pub(super) fn answer_expired(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(id) else { return };
        let answer = if entry.possibly_processed {
            FinalAnswer::Failed(StatusCode::GATEWAY_TIMEOUT)
        } else {
            FinalAnswer::Rejected { retry_after: self.settings.max_retry_after }
        };
        self.answer(id, answer);
    }
}

/// The upload from which the request's deadline follows.
fn estimated_upload(entry: &RequestEntry) -> Option<&Rc<StreamingUpload>> {
    match &entry.forward.body {
        RequestPayload::Streaming(upload) if entry.deadline_state == DeadlineState::Estimated => Some(upload),
        _ => None,
    }
}
