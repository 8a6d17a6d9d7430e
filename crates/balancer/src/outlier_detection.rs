//! Outlier detection by failures: whether a failure counts against an endpoint or only against one request class at the endpoint,
//! and how long a failure or a raised latency estimate counts. Detection by latency: [`crate::latency_detector`].

use crate::attempt::EndedAttempt;
use crate::balancer::Balancer;

/// Time without a latency sample after which half of the excess of a raised estimate remains, in units of the longest latency objective.
const HALF_DECAY_OBJECTIVE_FACTOR: f64 = 6.0;
/// Maximum number of failures in a row that each double the decay time.
const MAX_DECAY_DOUBLINGS: i32 = 4;

/// Failures in a row of one class at one endpoint. Times are in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassFailures {
    /// Number of failures in a row that counted against this class alone.
    pub(crate) consecutive: i32,
    /// When the endpoint last served this class.
    pub(crate) last_served_s: f64,
    /// When the last failure that counted against this class alone was recorded.
    pub(crate) last_failure_s: f64,
}

impl ClassFailures {
    /// The failures of a class after the endpoint has served a request of the class.
    pub(crate) fn served(now_s: f64) -> Self {
        ClassFailures { last_served_s: now_s, ..ClassFailures::default() }
    }

    /// Counts a failure against this class alone.
    pub(crate) fn record_failure(&mut self, now_s: f64) {
        self.consecutive += 1;
        self.last_failure_s = now_s;
    }

    /// Latency penalty of this class for its failures, in seconds: one latency objective for each failure, decaying with time.
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

impl Balancer {
    /// Records a failed attempt as a latency sample of at least the latency objective;
    /// otherwise an endpoint that fails fast would attract traffic.
    ///
    /// A failure of a possibly processed attempt counts against its class alone if the endpoint has served another class more recently.
    /// All other failures count against the endpoint.
    pub(crate) fn record_failed(&mut self, now_s: f64, ended: EndedAttempt) {
        let endpoint = &mut self.endpoints[ended.endpoint];
        let class_failures = &mut endpoint.class_failures[ended.class];
        let served_other_classes = endpoint.last_served_s > class_failures.last_served_s;
        if served_other_classes && !ended.outcome.proves_not_processed() {
            class_failures.record_failure(now_s);
            return;
        }
        endpoint.consecutive_failures += 1;
        let objective_s = self.settings.classes[ended.class].latency_objective.as_secs_f64();
        self.observe_latency(now_s, ended.endpoint, objective_s.max(ended.latency_s));
    }
}

/// Time within which activity of an endpoint counts as recent, in seconds.
pub(crate) fn recent_activity_window_s(longest_objective_s: f64) -> f64 {
    longest_objective_s * HALF_DECAY_OBJECTIVE_FACTOR
}

/// The fraction of a raised latency estimate's excess that still counts after `silent_s` seconds without a sample. An avoided endpoint gets
/// no sample that could clear it, so the excess decays until the endpoint is selected again. Each failure in a row doubles the decay time.
pub(crate) fn retained_fraction(silent_s: f64, longest_objective_s: f64, consecutive_failures: i32) -> f64 {
    let doublings = consecutive_failures.min(MAX_DECAY_DOUBLINGS);
    let half_decays = silent_s / (HALF_DECAY_OBJECTIVE_FACTOR * longest_objective_s * 2f64.powi(doublings));
    1.0 / (1.0 + half_decays * half_decays)
}
