//! Choking: a stand-in endpoint with far more requests in flight than it can process becomes slower, until it has been mostly idle for a while.

use super::spec::ChokeSpec;
use std::collections::VecDeque;

/// The mean of a quantity over a sliding window, kept as the sums of short steps.
#[derive(Clone, Debug)]
pub struct SlidingMean {
    window: f64,
    steps: VecDeque<(f64, f64)>, // start time and integral of each step
    updated_at: f64,
}

/// Steps that a window of [`SlidingMean`] is divided into.
const STEPS: f64 = 20.0;

impl SlidingMean {
    /// A mean over the last `window` seconds, without values before `now`.
    pub fn new(window: f64, now: f64) -> SlidingMean {
        SlidingMean { window, steps: VecDeque::from([(now, 0.0)]), updated_at: now }
    }

    /// Records that the quantity was `value` from the previous call until `now`.
    pub fn add(&mut self, now: f64, value: f64) {
        let step = self.window / STEPS;
        while self.updated_at < now {
            let step_start = self.steps.back().map_or(self.updated_at, |last_step| last_step.0);
            let add_until = now.min(step_start + step);
            if add_until <= self.updated_at {
                self.steps.push_back((self.updated_at, 0.0));
                continue;
            }
            if let Some(current) = self.steps.back_mut() {
                current.1 += value * (add_until - self.updated_at);
            }
            self.updated_at = add_until;
        }
        while self.steps.len() > 1
            && self.steps.front().is_some_and(|oldest| oldest.0 + step <= now - self.window)
        {
            self.steps.pop_front();
        }
    }

    /// The mean over the window; `None` until a full window has passed.
    pub fn mean(&self) -> Option<f64> {
        let window_start = self.steps.front()?.0;
        let length = self.updated_at - window_start;
        (length >= self.window * (1.0 - 1.0 / STEPS))
            .then(|| self.steps.iter().map(|past_step| past_step.1).sum::<f64>() / length)
    }
}

/// Whether a stand-in endpoint is choked, and the load history that decides it.
#[derive(Clone, Debug)]
pub struct Choke {
    spec: ChokeSpec,
    in_flight: SlidingMean,
    busy: SlidingMean,
    choked_since: Option<f64>,
    has_recovered: bool,
}

impl Choke {
    /// The state of an endpoint that is not choked at `now`.
    pub fn new(spec: ChokeSpec, now: f64) -> Choke {
        let (in_flight, busy) =
            (SlidingMean::new(spec.over.as_secs_f64(), now), SlidingMean::new(spec.rest.as_secs_f64(), now));
        Choke { spec, in_flight, busy, choked_since: None, has_recovered: false }
    }

    /// The factor by which choking slows the endpoint down; 1 while it is not choked.
    pub fn slowdown_factor(&self) -> f64 {
        if self.choked_since.is_some() {
            self.spec.slower
        } else {
            1.0
        }
    }

    /// Records that from the previous call until `now` the endpoint had `in_flight` requests on `cores` cores,
    /// and that the fraction `busy` of its cores was busy.
    pub fn advance(&mut self, now: f64, in_flight: f64, cores: f64, busy: f64) {
        self.in_flight.add(now, in_flight);
        self.busy.add(now, busy);
        match self.choked_since {
            None => {
                let limit = cores + self.spec.at * cores.sqrt();
                // An endpoint chokes at most once in a run.
                if !self.has_recovered && self.in_flight.mean().is_some_and(|mean| mean > limit) {
                    self.choked_since = Some(now);
                    self.busy = SlidingMean::new(self.spec.rest.as_secs_f64(), now);
                }
            }
            Some(choked_since) => {
                let rested = self.busy.mean().is_some_and(|mean| mean < self.spec.below);
                if rested || now - choked_since >= self.spec.most.as_secs_f64() {
                    (self.choked_since, self.has_recovered) = (None, true);
                }
            }
        }
    }
}
