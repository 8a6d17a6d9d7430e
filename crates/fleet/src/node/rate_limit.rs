//! Rate limit: a minimum interval between two occurrences of an action.

use std::time::Duration;

/// Permits an action at most once in `min_interval`.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    min_interval: Duration,
    last_permitted_at: Option<Duration>,
}

impl RateLimit {
    pub(super) fn new(min_interval: Duration) -> RateLimit {
        RateLimit { min_interval, last_permitted_at: None }
    }

    /// Whether the action is permitted now; a permitted action counts as performed.
    pub(super) fn try_acquire(&mut self, now: Duration) -> bool {
        let is_permitted =
            self.last_permitted_at.is_none_or(|at| now.saturating_sub(at) >= self.min_interval);
        if is_permitted {
            self.last_permitted_at = Some(now);
        }
        is_permitted
    }
}
