//! Detection of shifts in the latency of one endpoint: a filtered mean and a two-sided Cusum over it.

use crate::traffic_stats::AVERAGE_GAIN;

/// Weight of a new sample in the tracking mean (α of the method).
const MEAN_GAIN: f64 = 0.15;
/// Smallest shift worth detecting (K of the method), as a fraction of the mean of the first epoch.
const MIN_SHIFT_FRACTION: f64 = 0.25;
/// Mean number of samples between false alarms that the threshold H is chosen for.
const FALSE_ALARM_RUN_LENGTH_COUNT: f64 = 40.0;
/// Smallest fraction of the mean to which one detected fall lowers the epoch estimate.
const MIN_EPOCH_AFTER_FALL_FRACTION: f64 = 0.2;
/// Change of K/σ, as a fraction, from which on the threshold is computed anew: the bisection costs 40 steps.
const THRESHOLD_REFRESH_FRACTION: f64 = 0.1;
/// Smallest deviation that K is divided by, in seconds.
const MIN_DEVIATION_S: f64 = 1e-9;
/// Steps of the bisection for the threshold.
const THRESHOLD_BISECTION_STEPS: u32 = 40;
/// Siegmund's correction of the threshold for discrete samples.
const SIEGMUND_CORRECTION: f64 = 1.166;

/// The latency detector of one endpoint. Samples and estimates are in seconds.
#[derive(Clone, Debug, Default)]
pub struct Cusum {
    mean: f64,
    shift: f64,
    deviation: f64,
    rise_sum: f64,
    fall_sum: f64,
    samples_since_rise: u32,
    samples_since_fall: u32,
    threshold: CachedThreshold,
    epoch: f64,
    shift_detected: bool,
    samples: u32,
}

/// The last computed threshold H/σ and the ratio K/σ that it holds for; a ratio of 0 stands for none.
#[derive(Clone, Copy, Debug, Default)]
struct CachedThreshold {
    ratio: f64,
    threshold: f64,
}

impl Cusum {
    /// A detector that starts at `prior` seconds, or at its first sample where that is 0.
    pub fn new(prior: f64) -> Self {
        Cusum {
            mean: prior,
            epoch: prior,
            shift: MIN_SHIFT_FRACTION * prior,
            deviation: MIN_SHIFT_FRACTION * prior,
            ..Cusum::default()
        }
    }

    /// The estimate of the current epoch (E of the method), in seconds.
    pub fn estimate(&self) -> f64 {
        self.epoch
    }

    /// Whether the detector has taken any sample.
    pub(crate) fn has_samples(&self) -> bool {
        self.samples > 0
    }

    /// Takes a sample in seconds and returns whether it starts a new epoch.
    pub fn add(&mut self, sample: f64) -> bool {
        if self.mean <= 0.0 {
            *self = Cusum::new(sample);
        }
        self.samples += 1;
        self.deviation += AVERAGE_GAIN * ((sample - self.mean).abs() - self.deviation);
        let previous_mean = self.mean;
        self.mean += MEAN_GAIN * (sample - self.mean);
        if !self.shift_detected {
            self.epoch = self.mean;
            self.shift = MIN_SHIFT_FRACTION * self.mean;
        }
        self.rise_sum = (self.rise_sum + sample - (self.mean + self.shift)).max(0.0);
        self.fall_sum = (self.fall_sum + (self.mean - self.shift) - sample).max(0.0);
        self.samples_since_rise += 1;
        self.samples_since_fall += 1;
        let limit = self.current_threshold() * self.deviation;
        if self.rise_sum > limit {
            let run = f64::from(std::mem::take(&mut self.samples_since_rise));
            self.start_epoch(previous_mean + self.shift + self.rise_sum / run);
            return true;
        }
        if self.fall_sum > limit {
            let run = f64::from(std::mem::take(&mut self.samples_since_fall));
            let estimate = previous_mean - self.shift - self.fall_sum / run;
            self.start_epoch(estimate.max(MIN_EPOCH_AFTER_FALL_FRACTION * previous_mean));
            return true;
        }
        false
    }

    fn start_epoch(&mut self, estimate: f64) {
        self.epoch = estimate;
        self.mean = estimate;
        self.shift_detected = true;
        self.rise_sum = 0.0;
        self.fall_sum = 0.0;
    }

    /// The threshold H/σ for the present K/σ.
    fn current_threshold(&mut self) -> f64 {
        let ratio = self.shift / self.deviation.max(MIN_DEVIATION_S);
        let cached = self.threshold.ratio;
        if (ratio / cached - 1.0).abs() > THRESHOLD_REFRESH_FRACTION || cached == 0.0 {
            let threshold = Cusum::threshold(ratio, FALSE_ALARM_RUN_LENGTH_COUNT);
            self.threshold = CachedThreshold { ratio, threshold };
        }
        self.threshold.threshold
    }

    /// The threshold H/σ at which Siegmund's approximation of the run length reaches `target` samples, for K/σ = `ratio`.
    pub fn threshold(ratio: f64, target: f64) -> f64 {
        let run_length = |threshold: f64| {
            let x = 2.0 * ratio * (threshold + SIEGMUND_CORRECTION);
            (x.exp() - x - 1.0) / (2.0 * ratio * ratio)
        };
        let mut low = 0.0;
        let mut high = target.sqrt();
        for _ in 0..THRESHOLD_BISECTION_STEPS {
            let middle = 0.5 * (low + high);
            if run_length(middle) < target {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }
}
