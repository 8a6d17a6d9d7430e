//! When a host last started, as far as this process can tell without trusting its machine's wall clock.
//!
//! Discovery dates a start by the clock that all machines are meant to share. A wall clock may be stepped by an hour, so what it says
//! is held between two bounds that hang on no wall clock: starts that discovery dates differ by what their dates differ, and none
//! lies ahead; and a start that this process saw appear came after discovery's word before, give or take how late that tells.
//! Where neither helps, a host is taken for started later: a host that is warm is spared for a while, a cold one is never flooded.

use std::time::Duration;

/// Discovery tells of a start so late, as a rule: what came with its next word may have started so long before the word ahead of it.
pub const MAX_START_REPORT_DELAY: Duration = Duration::from_secs(2);

/// What is known of a start when it is first listed. All times are on the process's own monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct StartEvidence {
    /// Now.
    pub now: Duration,
    /// When it was by the wall clock, perhaps ahead of now; none for longer ago than that clock's tie reaches.
    pub wall_clock_start: Option<Duration>,
    /// How long before the newest start of all that are listed.
    pub offset_before_newest: Duration,
    /// When discovery had last spoken before it told of this start, where it had since the process began.
    pub last_discovery_message: Option<Duration>,
}

/// When the host started.
pub fn estimate_start(evidence: StartEvidence) -> Duration {
    let StartEvidence {
        now,
        wall_clock_start: by_wall_clock,
        offset_before_newest: before_newest,
        last_discovery_message: heard_before,
    } = evidence;
    // The newest start is not ahead of now, and this one came so long before.
    let latest = now.saturating_sub(before_newest);
    let earliest = heard_before.map_or(latest, |heard| heard.saturating_sub(MAX_START_REPORT_DELAY).min(now));
    match by_wall_clock {
        // A clock that is behind says nothing.
        Some(by) if by > now => earliest.max(latest),
        Some(by) => earliest.max(by),
        None => earliest,
    }
}
