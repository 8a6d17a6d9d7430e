//! The state of a request and of its attempts from arrival to the last outcome.

use crate::api::{Outcome, Settings};
use std::time::Duration;

/// A request that is open, or that is closed but has attempts in flight. Times are in seconds.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    /// The request's class, as an index into [`Settings::classes`].
    pub(crate) class: usize,
    pub(crate) key: Option<u64>,
    /// Expected work, relative to the mean work of a request.
    pub(crate) relative_work: f64,
    /// The client's cost hint, in seconds; 0 for none.
    pub(crate) cost_hint_s: f64,
    /// Time on the gateway's clock after which an answer has no value.
    pub(crate) deadline_s: f64,
    /// When the request may first be sent; infinite while an earlier request of its key is open.
    pub(crate) earliest_send_s: f64,
    /// Whether the request's body is still arriving, so that its latency objective does not count yet.
    pub(crate) body_streaming: bool,
    /// Whether a part of the streamed body has been forwarded, so that no further attempt is possible.
    pub(crate) body_forwarding_started: bool,
    /// Until when the request waits for an eligible endpoint while its body arrives.
    pub(crate) endpoint_wait_until_s: f64,
    /// Time from the end of the request's body until an answer loses its value, in seconds; infinite where late answers have value.
    pub(crate) objective_s: f64,
    /// Whether the client has yet to get a final answer.
    pub(crate) open: bool,
    pub(crate) limits: RequestLimits,
    /// The request's attempts, in the order in which they were sent.
    pub(crate) attempts: Vec<AttemptState>,
}

impl RequestState {
    /// The number of the request's attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight).count()
    }

    /// Until when the request waits for an endpoint that is eligible for its next attempt, in seconds.
    pub(crate) fn wait_for_endpoint_until_s(&self) -> f64 {
        if self.body_streaming {
            self.endpoint_wait_until_s
        } else {
            self.deadline_s
        }
    }
}

/// One attempt of a request. Times are in seconds.
#[derive(Clone, Debug)]
pub(crate) struct AttemptState {
    /// The number of the endpoint that the attempt was sent to.
    pub(crate) endpoint: usize,
    /// The set of endpoints that shared idempotency keys with the attempt's endpoint when the attempt was sent; 0 for no keys.
    pub(crate) key_partition: u32,
    /// When the balancer decided to send the attempt.
    pub(crate) decided_at_s: f64,
    /// When the endpoint was sent the complete request: the time of the decision, or infinite while a streamed body is being forwarded.
    pub(crate) sent_at_s: f64,
    pub(crate) is_in_flight: bool,
    /// Whether the outcome proves that the endpoint did not process the attempt.
    pub(crate) not_processed: bool,
}

impl AttemptState {
    /// An attempt that is being sent.
    pub(crate) fn started(endpoint: usize, key_partition: u32, decided_at_s: f64, sent_at_s: f64) -> Self {
        AttemptState {
            endpoint,
            key_partition,
            decided_at_s,
            sent_at_s,
            is_in_flight: true,
            not_processed: false,
        }
    }

    /// Records the outcome of the attempt.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        self.is_in_flight = false;
        self.not_processed = outcome.proves_not_processed();
    }
}

/// Limits of a request. A request keeps the limits of the settings under which it arrived, until it ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLimits {
    /// Maximum number of attempts of the request.
    pub(crate) max_attempts: u32,
    /// Maximum number of attempts in flight when the next attempt is sent: 1 with hedging, 0 without.
    pub(crate) max_in_flight_for_next_attempt: usize,
    pub(crate) cancellation_allowed: bool,
    /// Quiet period of the request's key after an attempt that may still be running, in seconds.
    pub(crate) key_quiet_period_s: f64,
    /// The `Retry-After` of a rejection; zero for none.
    pub(crate) retry_after: Duration,
}

impl RequestLimits {
    /// The limits of a request that arrives under these settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        RequestLimits {
            max_attempts: settings.max_attempts,
            max_in_flight_for_next_attempt: if settings.hedging_allowed { 1 } else { 0 },
            cancellation_allowed: settings.cancellation_allowed,
            key_quiet_period_s: settings.key_quiet_period.as_secs_f64(),
            retry_after: settings.max_retry_after,
        }
    }
}
