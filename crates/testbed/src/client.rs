//! What a client does after a request that was not served.

use crate::plan::PlannedRequest;
use crate::script::Script;
use std::time::Duration;
use weldworks_balancer::{Idempotency, KeyScope};

/// A client does not retry with less time left than this, since an answer could not arrive in time.
const MIN_TIME_FOR_ANSWER: Duration = Duration::from_millis(50);

/// How a request ended, as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientOutcome {
    /// The request was served.
    Served,
    /// The request was rejected, possibly with a `Retry-After`.
    Rejected {
        /// The `Retry-After` of the answer.
        retry_after: Option<Duration>,
    },
    /// The request failed, or the client's timeout passed without an answer.
    Failed,
    /// No gateway could be reached.
    Unreachable,
}

/// When the client retries a planned request; `None` if it does not.
/// The request was first sent at `first` and has been sent `sent_count` times, the last of which ended at `now`.
pub fn next_retry(
    script: &Script,
    planned: &PlannedRequest,
    first: Duration,
    sent_count: u32,
    outcome: ClientOutcome,
    now: Duration,
) -> Option<Duration> {
    let class = &script.classes[planned.class];
    let (may_retry, until) = match (class.idempotency, outcome) {
        (_, ClientOutcome::Served) => (false, first),
        (Idempotency::Idempotent, _) | (_, ClientOutcome::Rejected { .. } | ClientOutcome::Unreachable) => {
            (true, first + class.deadline)
        }
        // A repeat is not processed twice as long as every endpoint retains the idempotency key.
        (Idempotency::IdempotencyKey { scope: KeyScope::All, window }, ClientOutcome::Failed) => {
            (true, first + window.min(class.deadline))
        }
        (Idempotency::IdempotencyKey { .. } | Idempotency::NotIdempotent, ClientOutcome::Failed) => {
            (false, first)
        }
    };
    let wait = match outcome {
        ClientOutcome::Rejected { retry_after: Some(delay) } if planned.honours_retry_after => {
            delay.min(script.limits.retry_after.unwrap_or_default()).max(script.clients.retry_wait)
        }
        _ => script.clients.retry_wait,
    };
    let at = now + wait;
    (may_retry && sent_count <= script.clients.retries && at + MIN_TIME_FOR_ANSWER < until).then_some(at)
}

/// How long a client waits for the answer to a request that is sent at `now`.
pub fn client_timeout(script: &Script, planned: &PlannedRequest, first: Duration, now: Duration) -> Duration {
    let left = (first + script.classes[planned.class].deadline).saturating_sub(now);
    planned.attempt_timeout.min(left)
}
