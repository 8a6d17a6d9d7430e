//! A node that holds far more than it can work on turns slower, and stays so until it has rested.

use super::spec::ChokeSpec;
use std::collections::VecDeque;

/// The mean of a figure over a window, in steps.
#[derive(Clone, Debug)]
pub struct Load {
    window: f64,
    steps: VecDeque<(f64, f64)>, // when each began, and its integral
    last: f64,
}

const STEPS: f64 = 20.0;

impl Load {
    /// The mean over `window` seconds from `now` on.
    pub fn new(window: f64, now: f64) -> Load {
        Load { window, steps: VecDeque::from([(now, 0.0)]), last: now }
    }

    /// The figure was `value` from the last call until `now`.
    pub fn add(&mut self, now: f64, value: f64) {
        let step = self.window / STEPS;
        while self.last < now {
            let began = self.steps.back().map_or(self.last, |s| s.0);
            let until = now.min(began + step);
            if until <= self.last {
                self.steps.push_back((self.last, 0.0));
                continue;
            }
            if let Some(last) = self.steps.back_mut() {
                last.1 += value * (until - self.last);
            }
            self.last = until;
        }
        while self.steps.len() > 1 && self.steps.front().is_some_and(|s| s.0 + step <= now - self.window) {
            self.steps.pop_front();
        }
    }

    /// The mean, once a whole window has passed.
    pub fn mean(&self) -> Option<f64> {
        let began = self.steps.front()?.0;
        let length = self.last - began;
        (length >= self.window * (1.0 - 1.0 / STEPS))
            .then(|| self.steps.iter().map(|s| s.1).sum::<f64>() / length)
    }
}

/// Whether a node is choked.
#[derive(Clone, Debug)]
pub struct Choke {
    spec: ChokeSpec,
    held: Load,
    busy: Load,
    since: Option<f64>,
    done: bool,
}

impl Choke {
    /// A node that is not.
    pub fn new(spec: ChokeSpec, now: f64) -> Choke {
        let (held, busy) = (Load::new(spec.over.as_secs_f64(), now), Load::new(spec.rest.as_secs_f64(), now));
        Choke { spec, held, busy, since: None, done: false }
    }

    /// So many times slower than it would be.
    pub fn slower(&self) -> f64 {
        if self.since.is_some() {
            self.spec.slower
        } else {
            1.0
        }
    }

    /// From the last call until `now` it held `held` requests on `cores` cores, of which this share was busy.
    pub fn pass(&mut self, now: f64, held: f64, cores: f64, busy: f64) {
        self.held.add(now, held);
        self.busy.add(now, busy);
        match self.since {
            None => {
                let limit = cores + self.spec.at * cores.sqrt();
                // Once is enough for a day: what has been choked and has rested is left alone.
                if !self.done && self.held.mean().is_some_and(|mean| mean > limit) {
                    self.since = Some(now);
                    self.busy = Load::new(self.spec.rest.as_secs_f64(), now);
                }
            }
            Some(since) => {
                let rested = self.busy.mean().is_some_and(|mean| mean < self.spec.below);
                if rested || now - since >= self.spec.most.as_secs_f64() {
                    (self.since, self.done) = (None, true);
                }
            }
        }
    }
}
