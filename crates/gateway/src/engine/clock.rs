//! The balancer's clock: monotonic, and related only once, at process start, to this machine's wall clock, which may be wrong.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Balancer time at process start: one day, so that endpoints that started within the day before have a balancer time too.
const BALANCER_TIME_AT_PROCESS_START: Duration = Duration::from_secs(86_400);

/// Converts [`Instant`] to and from balancer time, and Unix time to balancer time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    process_start: Instant,
    /// The wall clock's reading at process start, as time since the Unix epoch.
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

    /// Converts a Unix time in milliseconds to balancer time; `None` for a Unix time at or before balancer time zero.
    pub(super) fn balancer_time_of_unix(&self, unix_ms: u64) -> Option<Duration> {
        let unshifted = BALANCER_TIME_AT_PROCESS_START + Duration::from_millis(unix_ms);
        let time = unshifted.checked_sub(self.process_start_unix)?;
        (!time.is_zero()).then_some(time)
    }
}
