//! When discovery is polled in pull mode: backoff after failures, within a limit, with jitter so that many gateways do not poll together.
//! The backoff in push mode is `watch_backoff` of the control package.

use crate::api::{Action, PollFailure, Settings};
use crate::balancer::{set_timer, DISCOVERY_POLL_TIMER_TOKEN};
use std::time::Duration;

/// Time within which a gateway must receive a change while discovery is reachable, in seconds.
const NOTIFICATION_DEADLINE_S: f64 = 6.0;
/// Longest time until discovery answers a poll, including the wait for a connection, in seconds.
const MAX_POLL_DURATION_S: f64 = 2.4;
/// Longest delay of the first poll, in seconds: with the poll's duration this ends within the grace of drains after
/// the notification deadline, and it spreads the polls of gateways that start together.
const MAX_FIRST_POLL_DELAY_S: f64 = 4.0;
/// Shortest jitter window before a poll, in seconds.
const MIN_JITTER_WINDOW_S: f64 = 0.3;
/// Jitter window after a change to another discovery service, in seconds:
/// the first answer of the new service is due 4 s after the change, and drains have 2 s of grace.
const NEW_SERVICE_JITTER_WINDOW_S: f64 = 3.0;
/// Backoff window before it is doubled, as a fraction of the poll interval. The window is doubled at least twice.
const BACKOFF_WINDOW_FRACTION: f64 = 0.1;
/// Maximum number of failed polls in a row that each double the backoff window.
const MAX_BACKOFF_DOUBLINGS: i32 = 3;
/// Largest backoff window, as a fraction of the poll interval.
const MAX_BACKOFF_WINDOW_FRACTION: f64 = 0.8;
/// Time within which a gateway must receive the endpoint list of a new discovery service, in seconds from the change to that service.
const NEW_SERVICE_NOTIFICATION_DEADLINE_S: f64 = 4.0;
/// Longest delay after a poll that was turned away, as a fraction of the time that is left until the gateway needs an answer.
/// The mean delay is a quarter of that time: where discovery answers one poll of four, fewer and fewer gateways still poll,
/// and all of them together poll at an even rate.
const TURNED_AWAY_DELAY_FRACTION: f64 = 0.35;
/// Longest delay after a poll that was turned away once the answer is overdue, as a fraction of the time since it was needed.
const OVERDUE_DELAY_FRACTION: f64 = 0.6;
/// Smallest value of the longest delay after a poll that was turned away, in seconds.
const MIN_TURNED_AWAY_DELAY_S: f64 = 0.25;
/// Shortest delay after a poll that was turned away, as a fraction of the longest delay.
const SHORTEST_DELAY_FRACTION: f64 = 0.4;
/// Time by which a timer may fire early because of rounding, in seconds.
const TIMER_TOLERANCE_S: f64 = 1e-3;

/// Whether polling of discovery has started, and how many polls failed in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollHistory {
    /// There was no endpoint list and no failure of discovery yet.
    NotStarted,
    /// The first poll of discovery was scheduled.
    Started {
        /// Number of polls that failed in a row.
        consecutive_failures: i32,
    },
}

impl PollHistory {
    /// The history after another failure. The very first endpoint list or failure only starts polling and does not count as a failure.
    fn after_failure(self) -> Self {
        let consecutive_failures = match self {
            PollHistory::NotStarted => 0,
            PollHistory::Started { consecutive_failures } => consecutive_failures + 1,
        };
        PollHistory::Started { consecutive_failures }
    }
}

/// The state of discovery polling. Times are in seconds.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryPolling {
    awaiting_answer: bool,
    history: PollHistory,
    last_poll_s: f64,
    /// Since when the gateway may have missed changes that discovery had and could have told it; infinite while a subscription is open.
    unanswered_since_s: f64,
    /// When the next poll is due; infinite while none is scheduled.
    next_poll_s: f64,
}

impl DiscoveryPolling {
    /// The state at the start: no poll is scheduled before the first endpoint list.
    pub(crate) fn new() -> Self {
        DiscoveryPolling {
            awaiting_answer: false,
            history: PollHistory::NotStarted,
            last_poll_s: 0.0,
            unanswered_since_s: f64::INFINITY,
            next_poll_s: f64::INFINITY,
        }
    }

    /// Handles an endpoint list. The first list schedules the first poll, at a random time that spreads the polls of the gateways.
    pub(crate) fn on_endpoint_list(
        &mut self,
        now_s: f64,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        if self.history == PollHistory::NotStarted {
            self.schedule_first_poll(now_s, settings, rng, actions);
        } else if std::mem::take(&mut self.awaiting_answer) {
            self.history = PollHistory::Started { consecutive_failures: 0 };
            self.unanswered_since_s = f64::INFINITY;
        }
    }

    /// Schedules another poll after a poll that failed, or after a subscription that broke and had been silent for `silent_for`.
    pub(crate) fn on_failure(
        &mut self,
        now_s: f64,
        silent_for: Duration,
        cause: PollFailure,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        if !self.awaiting_answer {
            let silent_s = silent_for.as_secs_f64();
            self.unanswered_since_s = now_s - silent_s;
            return self.poll_with_backoff(now_s, silent_s, settings, rng, actions);
        }
        let silent_s = now_s - self.last_poll_s;
        match cause {
            PollFailure::Unreachable => {
                // Discovery may have come back, with a change, right after the poll.
                self.unanswered_since_s = self.last_poll_s;
                self.poll_with_backoff(now_s, silent_s, settings, rng, actions);
            }
            PollFailure::TurnedAway => {
                self.poll_after_turned_away(now_s, silent_s, settings, rng, actions);
            }
        }
    }

    /// Schedules a poll after a change to another discovery service.
    pub(crate) fn on_service_changed(
        &mut self,
        now_s: f64,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        let earlier_notification_s = NOTIFICATION_DEADLINE_S - NEW_SERVICE_NOTIFICATION_DEADLINE_S;
        self.unanswered_since_s = self.unanswered_since_s.min(now_s - earlier_notification_s);
        self.poll_within(now_s, NEW_SERVICE_JITTER_WINDOW_S, settings, rng, actions);
    }

    /// Polls discovery, unless the poll that the timer was set for was replaced by an earlier poll.
    pub(crate) fn on_timer(&mut self, now_s: f64, actions: &mut Vec<Action>) {
        if now_s + TIMER_TOLERANCE_S < self.next_poll_s {
            return;
        }
        self.awaiting_answer = true;
        self.last_poll_s = now_s;
        self.next_poll_s = f64::INFINITY;
        actions.push(Action::PollDiscovery);
    }

    /// Schedules the first poll at a random time in the initial backoff window.
    fn schedule_first_poll(
        &mut self,
        now_s: f64,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        self.unanswered_since_s = now_s;
        self.poll_with_backoff(now_s, 0.0, settings, rng, actions);
    }

    /// Schedules a poll after a backoff that grows with each failure in a row. The first endpoint list or failure starts polling.
    fn poll_with_backoff(
        &mut self,
        now_s: f64,
        silent_s: f64,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        if let Some(window_s) = self.record_failure(silent_s, settings) {
            self.poll_within(now_s, window_s, settings, rng, actions);
        }
    }

    /// Counts a failure, drops the poll that was scheduled, and returns the longest delay of the next poll in seconds;
    /// `None` where discovery is not polled.
    fn record_failure(&mut self, silent_s: f64, settings: &Settings) -> Option<f64> {
        let interval = settings.discovery_poll_interval?;
        let window_s = backoff_window_s(interval.as_secs_f64(), self.history, silent_s);
        self.history = self.history.after_failure();
        self.next_poll_s = f64::INFINITY;
        Some(window_s)
    }

    /// Schedules a poll after a poll that was turned away. Discovery is up and answers other gateways meanwhile, so what it tells them
    /// must be known here in time as well: polls follow each other faster as the time without an answer approaches its limit.
    fn poll_after_turned_away(
        &mut self,
        now_s: f64,
        silent_s: f64,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(window_s) = self.record_failure(silent_s, settings) else { return };
        let answer_needed_s =
            self.unanswered_since_s + NOTIFICATION_DEADLINE_S + settings.drain_grace.as_secs_f64();
        let longest_delay_s = window_s.min(longest_delay_after_turned_away_s(answer_needed_s - now_s));
        let shortest_delay_s = SHORTEST_DELAY_FRACTION * longest_delay_s;
        let delay_s = shortest_delay_s + (longest_delay_s - shortest_delay_s) * rng.f64();
        self.poll_after(now_s, delay_s, settings, actions);
    }

    /// Schedules a poll at a random time within the next `window_s` seconds, unless a poll is already due before that time.
    fn poll_within(
        &mut self,
        now_s: f64,
        window_s: f64,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        self.poll_after(now_s, window_s * rng.f64(), settings, actions);
    }

    /// Schedules a poll in `delay_s` seconds, unless a poll is already due before that time.
    fn poll_after(&mut self, now_s: f64, delay_s: f64, settings: &Settings, actions: &mut Vec<Action>) {
        self.awaiting_answer = false;
        let poll_at_s = now_s + delay_s;
        if settings.discovery_poll_interval.is_some() && poll_at_s < self.next_poll_s {
            self.next_poll_s = poll_at_s;
            actions.push(set_timer(poll_at_s - now_s, DISCOVERY_POLL_TIMER_TOKEN));
        }
    }
}

/// Longest delay after a poll that was turned away, in seconds, with `remaining_s` until the gateway needs an answer.
/// Once the answer is overdue the delay grows again, as discovery is probably down.
fn longest_delay_after_turned_away_s(remaining_s: f64) -> f64 {
    let delay_s = if remaining_s > 0.0 {
        TURNED_AWAY_DELAY_FRACTION * remaining_s
    } else {
        -OVERDUE_DELAY_FRACTION * remaining_s
    };
    delay_s.max(MIN_TURNED_AWAY_DELAY_S)
}

/// Longest time until the next poll, in seconds. The time grows with each failure in a row. Once polling has started, the time is limited
/// so that the gateway receives changes of the last `silent_s` seconds, in which discovery was silent, before the notification deadline.
fn backoff_window_s(interval_s: f64, history: PollHistory, silent_s: f64) -> f64 {
    let consecutive_failures = match history {
        PollHistory::NotStarted => 0,
        PollHistory::Started { consecutive_failures } => consecutive_failures,
    };
    let doublings = consecutive_failures.clamp(1, MAX_BACKOFF_DOUBLINGS) + 1;
    let fraction = (BACKOFF_WINDOW_FRACTION * 2f64.powi(doublings)).min(MAX_BACKOFF_WINDOW_FRACTION);
    let window_s = interval_s * fraction;
    if history == PollHistory::NotStarted {
        return window_s.min(MAX_FIRST_POLL_DELAY_S);
    }
    let remaining_s = NOTIFICATION_DEADLINE_S - MAX_POLL_DURATION_S - silent_s;
    window_s.min(remaining_s.max(MIN_JITTER_WINDOW_S))
}
