//! The state of a request and of its attempts from arrival to the last outcome.

use crate::api::{Outcome, Settings};
use std::time::Duration;

/// A request that is open, or closed with attempts still in flight. Times are in seconds.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    /// Its class, as an index into the settings.
    pub(crate) class: usize,
    pub(crate) key: Option<u64>,
    /// Expected work against that of an average request.
    pub(crate) relative_work: f64,
    /// The client's cost hint, in seconds; 0 for none.
    pub(crate) cost_hint_s: f64,
    /// Time after which an answer has no value.
    pub(crate) deadline_s: f64,
    /// When it may first be sent; infinite while an earlier request of its key is open.
    pub(crate) earliest_send_s: f64,
    /// Its body is still arriving: it has an objective but its clock has not started.
    pub(crate) body_streaming: bool,
    /// A part of the streamed body has been forwarded, so no other attempt can follow.
    pub(crate) body_forwarding_started: bool,
    /// Until when it waits for an endpoint while its body arrives.
    pub(crate) endpoint_wait_until_s: f64,
    /// Time from the end of its body until an answer loses its value, in seconds; infinite where late answers have some.
    pub(crate) objective_s: f64,
    /// An answer to the client is still owed.
    pub(crate) open: bool,
    pub(crate) limits: RequestLimits,
    /// Its attempts in the order sent.
    pub(crate) attempts: Vec<AttemptState>,
}

impl RequestState {
    /// The number of its attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight).count()
    }

    /// Until when it waits for an endpoint that may take its next attempt, in seconds.
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
    /// The endpoint's number.
    pub(crate) endpoint: usize,
    /// The set of endpoints that share idempotency keys with it, as listed when it was sent; 0 where the class has none.
    pub(crate) key_partition: u32,
    /// When it was decided.
    pub(crate) decided_at_s: f64,
    /// When its endpoint had received all of it: the same time, or infinite while a streamed body is being forwarded.
    pub(crate) sent_at_s: f64,
    pub(crate) is_in_flight: bool,
    /// Its outcome proves that the endpoint did not process it.
    pub(crate) not_processed: bool,
}

impl AttemptState {
    /// An attempt that is sent now.
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

    /// Records its outcome.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        self.is_in_flight = false;
        self.not_processed = outcome.proves_not_processed();
    }
}

/// Limits of a request: those of the settings under which it arrived, until it ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLimits {
    /// Most attempts in all.
    pub(crate) max_attempts: u32,
    /// Most attempts that may be in flight when the next one is sent: 1 with hedging, 0 without.
    pub(crate) max_in_flight_for_next_attempt: usize,
    pub(crate) cancellation_allowed: bool,
    /// Quiet period of its key after an attempt that may still be running, in seconds.
    pub(crate) key_quiet_period_s: f64,
    /// `Retry-After` of a rejection.
    pub(crate) retry_after: Duration,
}

impl RequestLimits {
    /// The limits under these settings.
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
