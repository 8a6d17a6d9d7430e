//! Failures of endpoints by request class, and how long a failure or a raised latency estimate counts.

/// Time without a sample in which half of the excess of a raised estimate remains, in units of the longest latency objective.
const HALF_DECAY_OBJECTIVE_FACTOR: f64 = 6.0;
/// Failures in a row, each of which doubles the decay time, up to this many.
const MAX_DECAY_DOUBLINGS: i32 = 4;

/// Failures in a row of one class at one endpoint. Moments are in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassFailures {
    /// Failures in a row that counted against this class alone.
    pub(crate) consecutive: i32,
    /// When the endpoint last served this class.
    pub(crate) last_served_s: f64,
    /// When the last counted failure was.
    pub(crate) last_failure_s: f64,
}

impl ClassFailures {
    /// The state after a served request.
    pub(crate) fn served(now_s: f64) -> Self {
        ClassFailures { last_served_s: now_s, ..ClassFailures::default() }
    }

    /// Counts a failure against this class alone.
    pub(crate) fn record_failure(&mut self, now_s: f64) {
        self.consecutive += 1;
        self.last_failure_s = now_s;
    }

    /// What the failures add to the expected latency of this class, in seconds: one latency objective each, decaying with time.
    pub(crate) fn latency_penalty_s(
        &self,
        now_s: f64,
        class_objective_s: f64,
        longest_objective_s: f64,
    ) -> f64 {
        let silent_s = now_s - self.last_failure_s;
        let retained = retained_fraction(silent_s, longest_objective_s, self.consecutive);
        f64::from(self.consecutive) * class_objective_s * retained
    }
}

/// Time that counts as recent when an endpoint is judged, in seconds.
pub(crate) fn recent_activity_window_s(longest_objective_s: f64) -> f64 {
    longest_objective_s * HALF_DECAY_OBJECTIVE_FACTOR
}

/// The fraction of a raised estimate's excess that still counts after `silent_s` seconds without a sample. An avoided endpoint gets no
/// sample that could clear it, so it is tried again after a while, later with each failure in a row.
pub(crate) fn retained_fraction(silent_s: f64, longest_objective_s: f64, consecutive_failures: i32) -> f64 {
    let doublings = consecutive_failures.min(MAX_DECAY_DOUBLINGS);
    let half_decays = silent_s / (HALF_DECAY_OBJECTIVE_FACTOR * longest_objective_s * 2f64.powi(doublings));
    1.0 / (1.0 + half_decays * half_decays)
}
