//! Retries, hedged requests and final answers: whether a request may have another attempt, when a hedge is due,
//! and how a request ends that was not served. How many retries and hedges all requests together may have: [`crate::retry_budget`].

use crate::api::{Action, Idempotency, KeyScope, RequestId};
use crate::request::RequestState;

/// Time from a send until its hedge is due, as a multiple of the expected latency.
const HEDGE_LATENCY_RATIO: f64 = 3.0;
/// Longest time that the process may be suspended between reading the clock and the end of the write, in seconds. Idempotency windows are
/// shortened by this time; otherwise a late write could arrive after the endpoint has dropped the key, and the request be processed twice.
const MAX_WRITE_DELAY_S: f64 = 0.15;

/// Whether the request may have another attempt at all, by its body, its limits and its idempotency window.
/// The caller also checks the retry budget and whether an endpoint is eligible ([`crate::selection`]).
pub(crate) fn is_attempt_allowed(request: &RequestState, idempotency: Idempotency, now_s: f64) -> bool {
    if request.body_forwarding_started {
        return false;
    }
    let in_flight = request.attempts_in_flight();
    if request.body_streaming && in_flight > 0 {
        return false;
    }
    if request.attempts.len() as u32 >= request.limits.max_attempts {
        return false;
    }
    if in_flight > request.limits.max_in_flight_for_next_attempt {
        return false;
    }
    latest_write_s(request, idempotency).is_none_or(|latest_s| now_s < latest_s)
}

/// Time until which the next attempt must be written, in seconds; `None` for any time.
/// Where an earlier attempt was possibly processed, that is as long as its endpoints store the idempotency key, less [`MAX_WRITE_DELAY_S`].
/// A window of at most `MAX_WRITE_DELAY_S` allows no further attempt.
pub(crate) fn latest_write_s(request: &RequestState, idempotency: Idempotency) -> Option<f64> {
    let window_s = match idempotency {
        Idempotency::Idempotent => return None,
        Idempotency::IdempotencyKey { window, .. } => window.as_secs_f64() - MAX_WRITE_DELAY_S,
        Idempotency::NotIdempotent => f64::NEG_INFINITY,
    };
    let possibly_processed = request.attempts.iter().filter(|attempt| !attempt.not_processed);
    possibly_processed.map(|attempt| attempt.decided_at_s + window_s).min_by(f64::total_cmp)
}

/// Time from a send until its hedge is due if there is no answer by then, in seconds.
pub(crate) fn hedge_delay_s(expected_latency_s: f64, timer_tick_s: f64) -> f64 {
    (HEDGE_LATENCY_RATIO * expected_latency_s).max(timer_tick_s)
}

/// Whether a hedge that is sent now is expected to be answered before the deadline.
pub(crate) fn is_hedge_in_time(now_s: f64, expected_latency_s: f64, deadline_s: f64) -> bool {
    now_s + expected_latency_s < deadline_s
}

/// The final answer to a request that was not served: a rejection where the client may safely retry the request, a failure otherwise.
pub(crate) fn final_answer(id: RequestId, request: &RequestState, idempotency: Idempotency) -> Action {
    let is_retry_safe = match idempotency {
        Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
        _ => request.attempts.iter().all(|attempt| attempt.not_processed),
    };
    if is_retry_safe {
        Action::Reject { request: id, retry_after: request.limits.retry_after }
    } else {
        Action::Fail { request: id }
    }
}
