//! Detects retry storms from the traffic of one gateway alone.
//!
//! High load alone is no storm: in a peak many first attempts arrive and are served. In a storm clients retry because
//! their requests were not served, so both signals are required. A state is left at other limits than those at which it
//! was entered, so that a signal at a limit does not make the state oscillate.

use super::decaying_counter::DecayingCounter;
use super::settings::StormSettings;
use super::wilson_interval::wilson_lower_bound;
use super::RequestResult;
use std::fmt;
use std::time::Duration;

/// State of the detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StormState {
    /// Normal operation without a retry storm.
    Calm,
    /// The signals exceed their limits, possibly by chance. Rejections carry
    /// a computed `Retry-After` if enabled; retries are not damped yet.
    Suspected,
    /// Retries are damped, and rejections carry a computed `Retry-After` if enabled.
    Storm,
    /// The storm is over; retries are still damped, and rejections still carry a computed `Retry-After` if enabled.
    Recovering,
}

/// Signals for operators. The state follows from the lower confidence
/// bounds of [`Self::client_retry_ratio`] and [`Self::unserved_ratio`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Fraction of arriving requests that their clients mark as retries.
    pub client_retry_ratio: f64,
    /// Fraction of arriving requests whose identity was seen within [`StormSettings::repeat_window`].
    pub repeated_key_ratio: f64,
    /// Fraction of responses that are rejections or failures.
    pub unserved_ratio: f64,
    /// Accepted connections per second.
    pub connections_per_s: f64,
    /// Arriving requests per second.
    pub arrivals_per_s: f64,
}

/// A change of the detector's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    /// State of the detector before the change.
    pub from: StormState,
    /// State of the detector after the change.
    pub to: StormState,
    /// Signals that caused the change of state.
    pub signals: Signals,
}

impl fmt::Display for StateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let signals = &self.signals;
        write!(
            f,
            "storm control: {:?} to {:?}: {:.0}% client retries, {:.0}% repeated keys, {:.0}% unserved, \
             {:.0} arrivals and {:.0} new connections per second",
            self.from,
            self.to,
            100.0 * signals.client_retry_ratio,
            100.0 * signals.repeated_key_ratio,
            100.0 * signals.unserved_ratio,
            signals.arrivals_per_s,
            signals.connections_per_s
        )
    }
}

/// Signs that an arriving request is a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySigns {
    /// Whether the client marks the request as a retry.
    pub is_client_retry: bool,
    /// Whether the identity of the request was seen within [`StormSettings::repeat_window`].
    pub is_repeated_key: bool,
}

impl RetrySigns {
    /// Whether there is any sign that the request is a retry.
    pub fn is_retry(self) -> bool {
        self.is_client_retry || self.is_repeated_key
    }
}

/// Least decayed number of arriving requests with which a storm may be suspected.
const MIN_ARRIVALS: f64 = 8.0;
/// Fraction of a ratio's limit below which the suspicion of a storm is dropped.
/// Nearer to the limit, every arriving request could change the state.
const SUSPICION_EXIT_FRACTION: f64 = 0.75;
/// A storm is over once both ratios are below this fraction of their limits.
const STORM_EXIT_FRACTION: f64 = 0.5;

/// Detector of retry storms.
#[derive(Clone, Debug)]
pub struct StormDetector {
    settings: StormSettings,
    state: StormState,
    state_since_s: f64,
    arrivals: DecayingCounter,
    client_retries: DecayingCounter,
    repeated_keys: DecayingCounter,
    results: DecayingCounter,
    unserved: DecayingCounter,
    connections: DecayingCounter,
}

impl StormDetector {
    /// Creates a detector in the calm state.
    pub fn new(settings: &StormSettings) -> StormDetector {
        let counter = DecayingCounter::new(settings.signal_window.as_secs_f64());
        StormDetector {
            settings: *settings,
            state: StormState::Calm,
            state_since_s: 0.0,
            arrivals: counter,
            client_retries: counter,
            repeated_keys: counter,
            results: counter,
            unserved: counter,
            connections: counter,
        }
    }

    /// The current state of the detector.
    pub fn state(&self) -> StormState {
        self.state
    }

    /// Time at which the detector entered its current state.
    pub fn since(&self) -> Duration {
        Duration::from_secs_f64(self.state_since_s)
    }

    /// Records an arriving request.
    pub fn record_arrival(&mut self, now: Duration, signs: RetrySigns) {
        let now_s = now.as_secs_f64();
        self.arrivals.add(now_s, 1.0);
        self.client_retries.add(now_s, if signs.is_client_retry { 1.0 } else { 0.0 });
        self.repeated_keys.add(now_s, if signs.is_repeated_key { 1.0 } else { 0.0 });
    }

    /// Records how a request was answered.
    pub fn record_result(&mut self, now: Duration, result: RequestResult) {
        let now_s = now.as_secs_f64();
        self.results.add(now_s, 1.0);
        self.unserved.add(now_s, if result == RequestResult::Served { 0.0 } else { 1.0 });
    }

    /// Records an accepted connection.
    pub fn record_connection(&mut self, now: Duration) {
        self.connections.add(now.as_secs_f64(), 1.0);
    }

    /// The signals at the time `now`.
    pub fn signals(&self, now: Duration) -> Signals {
        let now_s = now.as_secs_f64();
        let arrivals = self.arrivals.value_at(now_s);
        let results = self.results.value_at(now_s);
        Signals {
            client_retry_ratio: ratio(self.client_retries.value_at(now_s), arrivals),
            repeated_key_ratio: ratio(self.repeated_keys.value_at(now_s), arrivals),
            unserved_ratio: ratio(self.unserved.value_at(now_s), results),
            connections_per_s: self.connections.rate_at(now_s),
            arrivals_per_s: self.arrivals.rate_at(now_s),
        }
    }

    /// Enters the state that follows from the signals, and returns the change if the state changed.
    pub fn update_state(&mut self, now: Duration) -> Option<StateChange> {
        let now_s = now.as_secs_f64();
        let next = self.next_state(now_s);
        if next == self.state {
            return None;
        }
        let change = StateChange { from: self.state, to: next, signals: self.signals(now) };
        self.state = next;
        self.state_since_s = now_s;
        Some(change)
    }

    /// The state that follows from the signals now. The order is Calm -> Suspected -> Storm -> Recovering -> Calm, with
    /// Suspected -> Calm when the suspicion is refuted and Recovering -> Storm when the limits are exceeded again.
    fn next_state(&self, now_s: f64) -> StormState {
        let settings = &self.settings;
        let evidence = self.evidence(now_s);
        let age_s = now_s - self.state_since_s;
        let has_lasted = |time: Duration| age_s >= time.as_secs_f64();
        match self.state {
            StormState::Calm if evidence.indicates_storm(settings) => StormState::Suspected,
            StormState::Suspected if evidence.refutes_suspicion(settings) => StormState::Calm,
            StormState::Suspected if has_lasted(settings.confirmation_time) => StormState::Storm,
            StormState::Storm
                if evidence.indicates_end_of_storm(settings) && has_lasted(settings.min_storm_time) =>
            {
                StormState::Recovering
            }
            StormState::Recovering if evidence.indicates_storm(settings) => StormState::Storm,
            StormState::Recovering if has_lasted(settings.recovery_time) => StormState::Calm,
            unchanged => unchanged,
        }
    }

    fn evidence(&self, now_s: f64) -> Evidence {
        let arrivals = self.arrivals.value_at(now_s);
        let results = self.results.value_at(now_s);
        Evidence {
            has_enough_arrivals: arrivals >= MIN_ARRIVALS,
            client_retry_ratio: wilson_lower_bound(self.client_retries.value_at(now_s), arrivals),
            unserved_ratio: wilson_lower_bound(self.unserved.value_at(now_s), results),
        }
    }
}

/// Evidence from which the state of the detector follows; ratios are the lower bounds of their confidence intervals.
struct Evidence {
    has_enough_arrivals: bool,
    client_retry_ratio: f64,
    unserved_ratio: f64,
}

impl Evidence {
    /// Whether both ratios exceed their limits, with enough arriving requests.
    fn indicates_storm(&self, settings: &StormSettings) -> bool {
        self.has_enough_arrivals
            && self.client_retry_ratio > settings.client_retry_ratio_limit
            && self.unserved_ratio > settings.unserved_ratio_limit
    }

    /// Whether one of the two ratios is clearly below its limit.
    fn refutes_suspicion(&self, settings: &StormSettings) -> bool {
        self.client_retry_ratio < SUSPICION_EXIT_FRACTION * settings.client_retry_ratio_limit
            || self.unserved_ratio < SUSPICION_EXIT_FRACTION * settings.unserved_ratio_limit
    }

    /// Whether both ratios are far enough below their limits for a storm to be over.
    fn indicates_end_of_storm(&self, settings: &StormSettings) -> bool {
        self.client_retry_ratio < STORM_EXIT_FRACTION * settings.client_retry_ratio_limit
            && self.unserved_ratio < STORM_EXIT_FRACTION * settings.unserved_ratio_limit
    }
}

/// The ratio of two decayed counts; 0 where `total` is 0.
fn ratio(part: f64, total: f64) -> f64 {
    if total > 0.0 {
        part / total
    } else {
        0.0
    }
}
