//! What a client does after a try that was not served.

use crate::plan::PlannedRequest;
use crate::script::Script;
use std::time::Duration;
use weldworks_balancer::{Idempotency, KeyScope};

/// Nobody asks again with less time left than an answer needs on its way.
const LEAST: Duration = Duration::from_millis(50);

/// How a try ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// Served.
    Served,
    /// Refused, perhaps with advice on when to come back.
    Refused {
        /// The advice.
        come_back: Option<Duration>,
    },
    /// Failed, or no answer by the time it gave up.
    Failed,
    /// No gateway took it.
    Unreachable,
}

/// When the client tries again, if it does. Its first try was sent at `first`, `tries` have been made, and the last
/// one ended at `now`.
pub fn next_try(
    script: &Script,
    asked: &PlannedRequest,
    first: Duration,
    tries: u32,
    seen: Seen,
    now: Duration,
) -> Option<Duration> {
    let class = &script.classes[asked.class];
    let (harmless, until) = match (class.idempotency, seen) {
        (_, Seen::Served) => (false, first),
        (Idempotency::Idempotent, _) | (_, Seen::Refused { .. } | Seen::Unreachable) => {
            (true, first + class.deadline)
        }
        // The key keeps a repeat from running twice, as long as every node remembers it.
        (Idempotency::IdempotencyKey { scope: KeyScope::All, window }, Seen::Failed) => {
            (true, first + window.min(class.deadline))
        }
        (Idempotency::IdempotencyKey { .. } | Idempotency::NotIdempotent, Seen::Failed) => (false, first),
    };
    let wait = match seen {
        Seen::Refused { come_back: Some(advice) } if asked.honours_retry_after => {
            advice.min(script.limits.retry_after.unwrap_or_default()).max(script.clients.retry_wait)
        }
        _ => script.clients.retry_wait,
    };
    let at = now + wait;
    (harmless && tries <= script.clients.retries && at + LEAST < until).then_some(at)
}

/// How long a try that is sent at `now` is waited for.
pub fn patience(script: &Script, asked: &PlannedRequest, first: Duration, now: Duration) -> Duration {
    let left = (first + script.classes[asked.class].deadline).saturating_sub(now);
    asked.attempt_timeout.min(left)
}
