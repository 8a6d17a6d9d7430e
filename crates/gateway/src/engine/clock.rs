//! The balancer's clock: monotonic, tied once to this machine's wall clock, which may be wrong.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Balancer time at the start of this process, one day: endpoints that started before it have a time on the clock too.
const BALANCER_TIME_AT_PROCESS_START: Duration = Duration::from_secs(86_400);

/// Converts between [`Instant`], balancer time and Unix time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    process_start: Instant,
    /// Unix time at the start of the process, by the wall clock as it was then.
    process_start_unix: Duration,
}

impl Clock {
    pub(super) fn new() -> Clock {
        let process_start_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { process_start: Instant::now(), process_start_unix }
    }

    pub(super) fn balancer_time(&self, at: Instant) -> Duration {
        (BALANCER_TIME_AT_PROCESS_START + at.saturating_duration_since(self.process_start))
            .saturating_sub(self.process_start.saturating_duration_since(at))
    }

    pub(super) fn instant(&self, balancer_time: Duration) -> Instant {
        if balancer_time < BALANCER_TIME_AT_PROCESS_START {
            let before_start = BALANCER_TIME_AT_PROCESS_START - balancer_time;
            self.process_start.checked_sub(before_start).unwrap_or(self.process_start)
        } else {
            self.process_start + (balancer_time - BALANCER_TIME_AT_PROCESS_START)
        }
    }

    /// Balancer time of a Unix time in milliseconds; none where it lies before the clock's zero.
    pub(super) fn balancer_time_of_unix(&self, unix_ms: u64) -> Option<Duration> {
        let unshifted = BALANCER_TIME_AT_PROCESS_START + Duration::from_millis(unix_ms);
        let time = unshifted.checked_sub(self.process_start_unix)?;
        (!time.is_zero()).then_some(time)
    }
}
