//! The requests that are open or have an attempt in flight, and the `X-Request-ID`s that they have reserved.

use super::message::FinalAnswer;
use super::request_ids::RequestIds;
use crate::body::{ForwardedRequest, RequestPayload, UploadProgress};
use crate::transport::client_liveness::ClientLiveness;
use crate::upstream::{AttemptMonitor, AttemptPhase, Deadline, UpstreamEndpoint};
use hyper::header::HeaderValue;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use weldworks_balancer::{Idempotency, Outcome, RequestId};
use weldworks_control::class_registry::RegisteredClass;

/// One attempt of a request, in flight or ended.
pub(super) struct AttemptEntry {
    pub(super) endpoint: Rc<UpstreamEndpoint>,
    pub(super) cancel: Rc<Notify>,
    pub(super) deadline: Rc<Deadline>,
    pub(super) monitor: Rc<AttemptMonitor>,
}

/// What a request waits for, or waited for when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// No attempt has begun: the request was shed, or waits for its key or for an eligible endpoint.
    NoAttempt,
    /// The last attempt is, or was, in this phase.
    Attempt(AttemptPhase),
}

/// How the deadline of a request is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineState {
    /// The deadline is `answer_deadline`.
    Fixed,
    /// The body is streamed and no endpoint has been sent all of it: the deadline follows from what is known of the client's last byte.
    Estimated,
    /// The deadline has passed: the request is answered with the end of its attempt.
    Expired,
}

/// A request that is open or has an attempt in flight.
pub(super) struct RequestEntry {
    pub(super) request_id: HeaderValue,
    /// Identity by which a client's retry of the request is recognized; `None` for a request without an affinity key (the cookie `k`).
    pub(super) retry_identity: Option<u64>,
    pub(super) forward: Rc<ForwardedRequest>,
    /// Sender of the final answer; `None` once the request is answered or its client has disconnected.
    pub(super) answer: Option<oneshot::Sender<FinalAnswer>>,
    pub(super) client: Rc<ClientLiveness>,
    pub(super) arrived_at: Instant,
    /// Deadline for the final answer, a margin before the client's own timeout.
    pub(super) answer_deadline: Instant,
    /// All attempts of the request, indexed by attempt number.
    pub(super) attempts: Vec<AttemptEntry>,
    pub(super) attempts_in_flight: u32,
    /// Whether an attempt was written completely and did not prove that the request was not processed.
    pub(super) possibly_processed: bool,
    /// Whether the client has disconnected or was told that the request failed, and so does not know whether it was processed.
    pub(super) client_lacks_result: bool,
    pub(super) deadline_state: DeadlineState,
    pub(super) last_outcome: Outcome,
    pub(super) class_index: usize,
    /// The class under which the request arrived, which stays registered until the request is removed from the table.
    pub(super) class: Rc<RegisteredClass>,
}

impl RequestEntry {
    /// Sends the request's final answer, unless it was sent before. No attempt of the request begins after this.
    pub(super) fn finish(&mut self, answer: FinalAnswer) {
        self.client.stop_waiting();
        if let RequestPayload::Streaming(upload) = &self.forward.body {
            upload.abandon();
        }
        self.client_lacks_result = matches!(answer, FinalAnswer::Failed(_));
        if let Some(sender) = self.answer.take() {
            let _ = sender.send(answer); // sending fails where the client has disconnected
        }
    }

    /// The endpoint of an attempt, by the attempt's number.
    pub(super) fn attempt_endpoint(&self, attempt: u32) -> Option<&Rc<UpstreamEndpoint>> {
        self.attempts.get(attempt as usize).map(|attempt| &attempt.endpoint)
    }

    /// When the final answer is due, by what is known now of the client's last byte.
    pub(super) fn answer_due_at(&self) -> Instant {
        match &self.forward.body {
            RequestPayload::Buffered(_) => self.answer_deadline,
            RequestPayload::Streaming(upload) => upload.answer_deadline(),
        }
    }

    /// What the request waits for.
    pub(super) fn phase(&self) -> RequestPhase {
        let last = self.attempts.last();
        last.map_or(RequestPhase::NoAttempt, |attempt| RequestPhase::Attempt(attempt.monitor.phase()))
    }

    /// Whether an attempt is in flight that has read a part of its response.
    pub(super) fn is_reading_response(&self) -> bool {
        self.attempts_in_flight > 0 && self.phase() == RequestPhase::Attempt(AttemptPhase::ReadingResponse)
    }

    /// The progress of a streamed body; `None` for a body that was buffered.
    pub(super) fn body_progress(&self) -> Option<UploadProgress> {
        match &self.forward.body {
            RequestPayload::Buffered(_) => None,
            RequestPayload::Streaming(upload) => Some(upload.progress()),
        }
    }

    /// The address of the endpoint of the last attempt.
    pub(super) fn last_endpoint_address(&self) -> Option<SocketAddr> {
        self.attempts.last()?.endpoint.address.get()
    }

    /// How many bytes of the request the last attempt has written.
    pub(super) fn last_written_bytes(&self) -> u64 {
        self.attempts.last().map_or(0, |attempt| attempt.monitor.written_bytes())
    }

    /// Ends the wait for an answer because the client has disconnected.
    pub(super) fn disconnect_client(&mut self) {
        self.client.stop_waiting();
        self.client_lacks_result |= self.answer.take().is_some();
    }

    /// Whether the request must not be processed again under its id.
    fn must_retain_id(&self) -> bool {
        let is_repeatable = self.class.class.idempotency == Idempotency::Idempotent;
        self.possibly_processed && self.client_lacks_result && !is_repeatable
    }

    fn is_done(&self) -> bool {
        self.answer.is_none() && self.attempts_in_flight == 0
    }
}

/// All requests that are open or have an attempt in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    entries: FxHashMap<RequestId, RequestEntry>,
    request_ids: RequestIds,
}

impl RequestTable {
    /// Reserves an `X-Request-ID`; false where another request has reserved the same id: one that is open, has an attempt in flight, or was
    /// possibly processed without its client knowing the result.
    pub(super) fn reserve_request_id(&mut self, request_id: &HeaderValue) -> bool {
        self.request_ids.reserve(request_id, Instant::now())
    }

    /// Adds a request whose `X-Request-ID` has been reserved.
    pub(super) fn insert(&mut self, id: RequestId, entry: RequestEntry) {
        self.entries.insert(id, entry);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&RequestId, &mut RequestEntry)> {
        self.entries.iter_mut()
    }

    /// Removes a request that is answered and has no attempt in flight, and releases its `X-Request-ID` or retains it.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if !self.entries.get(&id).is_some_and(RequestEntry::is_done) {
            return;
        }
        if let Some(entry) = self.entries.remove(&id) {
            if entry.must_retain_id() {
                self.request_ids.retain(&entry.request_id, Instant::now());
            } else {
                self.request_ids.release(&entry.request_id);
            }
        }
    }

    /// Fails every open request with this status, cancels all attempts, and removes the requests that have no attempt in flight.
    pub(super) fn fail_all(&mut self, status: hyper::StatusCode) {
        for entry in self.entries.values_mut() {
            entry.finish(FinalAnswer::Failed(status));
            entry.attempts.iter().for_each(|attempt| attempt.cancel.notify_one());
        }
        let done: Vec<RequestId> = self.entries.keys().copied().collect();
        done.into_iter().for_each(|id| self.remove_if_done(id));
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
