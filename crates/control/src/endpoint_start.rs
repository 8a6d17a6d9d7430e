//! Estimates when an endpoint last started, without trusting this machine's wall clock. The gateway's engine calls
//! [`estimate_start`] when an endpoint list first reports a start, and keeps the estimate.
//!
//! Discovery dates a start by a clock that all machines should share, but a wall clock may be stepped by an hour. The
//! date of a start is therefore clamped between two bounds that use no wall clock:
//!
//! - starts in one endpoint list are as far apart as their dates, and no start lies in the future;
//! - a start that is first reported while this process watches discovery lies
//!   at most [`MAX_START_REPORT_DELAY`] before the previous discovery message.
//!
//! Where neither bound helps, the later start is assumed: an endpoint past its slow start may then get too few requests
//! for a while, but an endpoint in slow start never gets too many.

use std::time::Duration;

/// Longest usual delay between a start and the discovery message that reports it.
pub const MAX_START_REPORT_DELAY: Duration = Duration::from_secs(2);

/// Evidence of an endpoint's start when an endpoint list first
/// reports it. All times are on this process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct StartEvidence {
    /// Current time.
    pub now: Duration,
    /// Start of the endpoint by the wall clock, possibly in the future; `None`
    /// where it is too long ago to be converted to the monotonic clock.
    pub wall_clock_start: Option<Duration>,
    /// Time between this start and the newest start in the list.
    pub offset_before_newest: Duration,
    /// Time of the last discovery message before the one that reported the start; `None` where the start was in the
    /// first message that this process received.
    pub last_discovery_message: Option<Duration>,
}

/// The estimated time of the start.
pub fn estimate_start(evidence: StartEvidence) -> Duration {
    let now = evidence.now;
    // The newest start in the list is not in the future, and this endpoint started `offset_before_newest` earlier.
    let latest = now.saturating_sub(evidence.offset_before_newest);
    let earliest = match evidence.last_discovery_message {
        Some(message_at) => message_at.saturating_sub(MAX_START_REPORT_DELAY).min(now),
        None => latest,
    };
    match evidence.wall_clock_start {
        // A start in the future shows that the wall clock is behind, so that date is ignored.
        Some(start) if start > now => earliest.max(latest),
        Some(start) => earliest.max(start),
        None => earliest,
    }
}
