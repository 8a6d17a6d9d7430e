//! The detector of a shift in one host's latency: a mean and a two-sided Cusum over it (docs/design.md).

use super::SPREAD_GAIN;

const ALPHA: f64 = 0.15; // weight of a sample in the tracking mean (α)
const SHIFT: f64 = 0.25; // smallest shift worth detecting (K), as a part of the first epoch's mean
const RUN_LENGTH: f64 = 40.0; // samples between false alarms that the threshold H aims at
const FLOOR: f64 = 0.2; // the most by which an epoch estimate falls at one change

/// The detector of one host: an α-filtered mean and a two-sided Cusum over it.
#[derive(Clone, Debug, Default)]
pub struct Cusum {
    mean: f64,
    shift: f64,
    spread: f64,
    rise: f64,
    fall: f64,
    since_rise: u32,
    since_fall: u32,
    limit: (f64, f64),
    epoch: f64,
    moved: bool,
    pub(super) samples: u32,
}

impl Cusum {
    /// A detector that starts at `prior`, or at its first sample where that is 0.
    pub fn new(prior: f64) -> Self {
        Cusum { mean: prior, epoch: prior, shift: SHIFT * prior, spread: SHIFT * prior, ..Cusum::default() }
    }

    /// The epoch estimate E.
    pub fn estimate(&self) -> f64 {
        self.epoch
    }

    /// Takes a sample; true when it starts a new epoch.
    pub fn add(&mut self, y: f64) -> bool {
        if self.mean <= 0.0 {
            *self = Cusum::new(y);
        }
        self.samples += 1;
        self.spread += SPREAD_GAIN * ((y - self.mean).abs() - self.spread);
        let before = self.mean;
        self.mean += ALPHA * (y - self.mean);
        if !self.moved {
            (self.epoch, self.shift) = (self.mean, SHIFT * self.mean);
        }
        self.rise = (self.rise + y - (self.mean + self.shift)).max(0.0);
        self.fall = (self.fall + (self.mean - self.shift) - y).max(0.0);
        (self.since_rise, self.since_fall) = (self.since_rise + 1, self.since_fall + 1);
        // The bisection is repeated only once K/σ has moved by a tenth.
        let ratio = self.shift / self.spread.max(1e-9);
        if (ratio / self.limit.0 - 1.0).abs() > 0.1 || self.limit.0 == 0.0 {
            self.limit = (ratio, Cusum::threshold(ratio, RUN_LENGTH));
        }
        let limit = self.limit.1 * self.spread;
        let to = if self.rise > limit {
            before + self.shift + self.rise / f64::from(std::mem::take(&mut self.since_rise))
        } else if self.fall > limit {
            let to = before - self.shift - self.fall / f64::from(std::mem::take(&mut self.since_fall));
            to.max(FLOOR * before)
        } else {
            return false;
        };
        (self.epoch, self.mean, self.moved, self.rise, self.fall) = (to, to, true, 0.0, 0.0);
        true
    }

    /// H/σ at which Siegmund's run length reaches `target` samples, for K/σ = `ratio`, by bisection.
    pub fn threshold(ratio: f64, target: f64) -> f64 {
        let run_length = |h: f64| {
            let x = 2.0 * ratio * (h + 1.166);
            (x.exp() - x - 1.0) / (2.0 * ratio * ratio)
        };
        let (mut low, mut high) = (0.0, target.sqrt());
        for _ in 0..40 {
            let mid = 0.5 * (low + high);
            *(if run_length(mid) < target { &mut low } else { &mut high }) = mid;
        }
        high
    }
}
