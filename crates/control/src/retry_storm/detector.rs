//! Whether there is a storm, from what one gateway sees alone.
//!
//! Load alone is no storm: an opening-day peak brings many first tries that are served. A storm is repeats that come
//! because others were not served, so both are asked for at once. Each state is left by other limits than it was
//! entered by, so that a figure at the edge changes nothing back and forth.

use super::fair_share::{wilson_lower_bound, Fading};
use super::settings::StormSettings;
use super::RequestResult;
use std::fmt;
use std::time::Duration;

/// The state of the storm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StormState {
    /// Nothing is wrong.
    Calm,
    /// It looks like one, and may be chance.
    Suspected,
    /// Repeats are damped, and refusals say when to come back.
    Storm,
    /// It has passed; repeats are damped still.
    Recovering,
}

/// The figures that a state follows from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The share of arrivals that are marked as repeats.
    pub client_retry_ratio: f64,
    /// The share of arrivals whose key was seen a moment ago.
    pub repeated_key_ratio: f64,
    /// The share of answers that are refusals or failures.
    pub unserved_ratio: f64,
    /// Connections accepted a second.
    pub connections_per_s: f64,
    /// Arrivals a second.
    pub arrivals_per_s: f64,
}

/// A change of state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    /// From.
    pub from: StormState,
    /// To.
    pub to: StormState,
    /// The figures that caused it.
    pub signals: Signals,
}

impl fmt::Display for StateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = &self.signals;
        write!(
            f,
            "storm control: {:?} to {:?}: {:.0}% marked repeats, {:.0}% keys seen a moment ago, {:.0}% unserved, \
             {:.0} arrivals and {:.0} new connections a second",
            self.from,
            self.to,
            100.0 * s.client_retry_ratio,
            100.0 * s.repeated_key_ratio,
            100.0 * s.unserved_ratio,
            s.arrivals_per_s,
            s.connections_per_s
        )
    }
}

/// The fewest arrivals, faded, that tell anything.
const ENOUGH: f64 = 8.0;

/// Notices storms.
#[derive(Clone, Debug)]
pub struct StormDetector {
    settings: StormSettings,
    state: StormState,
    since: f64,
    arrivals: Fading,
    marked: Fading,
    known: Fading,
    answers: Fading,
    unserved: Fading,
    connections: Fading,
}

impl StormDetector {
    /// A calm one.
    pub fn new(settings: &StormSettings) -> StormDetector {
        let (arrivals, marked, known, answers, unserved, connections) = Default::default();
        let (state, since) = (StormState::Calm, 0.0);
        StormDetector {
            settings: *settings,
            state,
            since,
            arrivals,
            marked,
            known,
            answers,
            unserved,
            connections,
        }
    }

    /// The state.
    pub fn state(&self) -> StormState {
        self.state
    }

    /// Since when.
    pub fn since(&self) -> Duration {
        Duration::from_secs_f64(self.since)
    }

    fn window(&self) -> f64 {
        self.settings.window.as_secs_f64()
    }

    /// A request has come.
    pub fn record_arrival(&mut self, now: Duration, marked: bool, known: bool) {
        let (now, window) = (now.as_secs_f64(), self.window());
        self.arrivals.add(now, window, 1.0);
        self.marked.add(now, window, f64::from(u8::from(marked)));
        self.known.add(now, window, f64::from(u8::from(known)));
    }

    /// A request has been answered.
    pub fn record_result(&mut self, now: Duration, how: RequestResult) {
        let (now, window) = (now.as_secs_f64(), self.window());
        self.answers.add(now, window, 1.0);
        self.unserved.add(now, window, f64::from(u8::from(how != RequestResult::Served)));
    }

    /// A connection has been accepted.
    pub fn record_connection(&mut self, now: Duration) {
        self.connections.add(now.as_secs_f64(), self.window(), 1.0);
    }

    /// The figures now.
    pub fn signals(&self, now: Duration) -> Signals {
        let (now, window) = (now.as_secs_f64(), self.window());
        let (arrivals, answers) = (self.arrivals.at(now, window), self.answers.at(now, window));
        let share = |part: Fading, of: f64| if of > 0.0 { part.at(now, window) / of } else { 0.0 };
        Signals {
            client_retry_ratio: share(self.marked, arrivals),
            repeated_key_ratio: share(self.known, arrivals),
            unserved_ratio: share(self.unserved, answers),
            connections_per_s: self.connections.at(now, window) / window,
            arrivals_per_s: arrivals / window,
        }
    }

    /// Goes to the state that the figures ask for; gives the change, where there is one.
    pub fn step(&mut self, now: Duration) -> Option<StateChange> {
        let (signals, at) = (self.signals(now), now.as_secs_f64());
        let enough = self.arrivals.at(at, self.window()) >= ENOUGH;
        let s = &self.settings;
        let marked =
            wilson_lower_bound(self.marked.at(at, self.window()), self.arrivals.at(at, self.window()));
        let unserved =
            wilson_lower_bound(self.unserved.at(at, self.window()), self.answers.at(at, self.window()));
        let bad = enough && marked > s.repeats && unserved > s.unserved;
        // At the edge a share moves with every arrival: what is suspected is so until it is clearly under its limits.
        let doubtful = marked < 0.75 * s.repeats || unserved < 0.75 * s.unserved;
        let good = marked < 0.5 * s.repeats && unserved < 0.5 * s.unserved;
        let stood = |time: Duration| at - self.since >= time.as_secs_f64();
        let to = match self.state {
            StormState::Calm if bad => StormState::Suspected,
            StormState::Suspected if doubtful => StormState::Calm,
            StormState::Suspected if stood(s.confirm) => StormState::Storm,
            StormState::Storm if good && stood(s.calm_after) => StormState::Recovering,
            StormState::Recovering if bad => StormState::Storm,
            StormState::Recovering if stood(s.recover) => StormState::Calm,
            same => same,
        };
        (to != self.state).then(|| {
            let change = StateChange { from: self.state, to, signals };
            (self.state, self.since) = (to, at);
            change
        })
    }
}
