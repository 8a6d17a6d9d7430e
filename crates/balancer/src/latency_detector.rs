//! Detection of shifts in the latency of one endpoint: a filtered mean and a two-sided Cusum over it.

/// Weight of a new sample in the tracking mean (α of the Cusum method).
const TRACKING_MEAN_GAIN: f64 = 0.15;
/// Weight of a new latency sample in the mean absolute deviation.
const DEVIATION_GAIN: f64 = 0.1;
/// Smallest latency shift to be detected (K of the Cusum method), as a fraction of the mean of the first epoch.
const MIN_SHIFT_FRACTION: f64 = 0.25;
/// Mean number of samples between false alarms for which the threshold H is chosen.
const FALSE_ALARM_RUN_LENGTH_COUNT: f64 = 40.0;
/// Number of samples that a restored estimate counts as: the mean run between two false alarms.
const RESTORED_SAMPLE_COUNT: u32 = FALSE_ALARM_RUN_LENGTH_COUNT as u32;
/// Lower bound of the epoch estimate after a detected fall, as a fraction of the tracking mean.
const MIN_EPOCH_AFTER_FALL_FRACTION: f64 = 0.2;
/// Relative change of K/σ above which the threshold is computed again; the computation is a bisection of 40 steps.
const THRESHOLD_REFRESH_FRACTION: f64 = 0.1;
/// Smallest mean absolute deviation σ that K is divided by, in seconds.
const MIN_DEVIATION_S: f64 = 1e-9;
/// Number of steps of the bisection that computes the threshold.
const THRESHOLD_BISECTION_STEPS: u32 = 40;
/// Siegmund's correction of the Cusum threshold for discrete samples.
const SIEGMUND_CORRECTION: f64 = 1.166;

/// The latency detector of one endpoint. Samples and estimates are in seconds.
#[derive(Clone, Debug, Default)]
pub struct Cusum {
    /// Filtered mean of the latency samples.
    tracking_mean_s: f64,
    /// Smallest latency shift to be detected (K of the Cusum method).
    min_shift_s: f64,
    /// Mean absolute deviation of the samples from the tracking mean (σ).
    deviation_s: f64,
    rise_sum_s: f64,
    fall_sum_s: f64,
    samples_since_rise: u32,
    samples_since_fall: u32,
    threshold: CachedThreshold,
    /// Latency estimate of the current epoch (E of the Cusum method).
    epoch_estimate_s: f64,
    shift_detected: bool,
    samples: u32,
}

/// The last computed threshold H/σ and the ratio K/σ for which it was computed; a ratio of 0 means that no threshold was computed yet.
#[derive(Clone, Copy, Debug, Default)]
struct CachedThreshold {
    /// Smallest shift to be detected, in standard deviations (K/σ).
    shift_in_deviations: f64,
    /// Detection threshold, in standard deviations (H/σ).
    threshold_in_deviations: f64,
}

impl Cusum {
    /// A detector whose mean starts at `prior` seconds, or at the first sample where `prior` is 0.
    pub fn new(prior: f64) -> Self {
        Cusum {
            tracking_mean_s: prior,
            epoch_estimate_s: prior,
            min_shift_s: MIN_SHIFT_FRACTION * prior,
            deviation_s: MIN_SHIFT_FRACTION * prior,
            ..Cusum::default()
        }
    }

    /// A detector that continues from the estimate of another process, in seconds. The estimate counts as [`RESTORED_SAMPLE_COUNT`]
    /// samples: if it counted as one sample, a single slow answer would move it by half of that answer's excess.
    pub(crate) fn restored(estimate: f64) -> Self {
        Cusum {
            samples: RESTORED_SAMPLE_COUNT,
            samples_since_rise: RESTORED_SAMPLE_COUNT,
            samples_since_fall: RESTORED_SAMPLE_COUNT,
            ..Cusum::new(estimate)
        }
    }

    /// The latency estimate of the current epoch (E of the Cusum method), in seconds.
    pub fn estimate(&self) -> f64 {
        self.epoch_estimate_s
    }

    /// Whether the detector has received any sample.
    pub(crate) fn has_samples(&self) -> bool {
        self.samples > 0
    }

    /// Adds a latency sample in seconds and returns whether it starts a new epoch.
    pub fn add(&mut self, sample: f64) -> bool {
        if self.tracking_mean_s <= 0.0 {
            *self = Cusum::new(sample);
        }
        self.samples += 1;
        self.deviation_s += DEVIATION_GAIN * ((sample - self.tracking_mean_s).abs() - self.deviation_s);
        let previous_mean = self.tracking_mean_s;
        self.tracking_mean_s += TRACKING_MEAN_GAIN * (sample - self.tracking_mean_s);
        if !self.shift_detected {
            self.epoch_estimate_s = self.tracking_mean_s;
            self.min_shift_s = MIN_SHIFT_FRACTION * self.tracking_mean_s;
        }
        self.rise_sum_s = (self.rise_sum_s + sample - (self.tracking_mean_s + self.min_shift_s)).max(0.0);
        self.fall_sum_s = (self.fall_sum_s + (self.tracking_mean_s - self.min_shift_s) - sample).max(0.0);
        self.samples_since_rise += 1;
        self.samples_since_fall += 1;
        let limit = self.current_threshold() * self.deviation_s;
        if self.rise_sum_s > limit {
            let run = f64::from(std::mem::take(&mut self.samples_since_rise));
            self.start_epoch(previous_mean + self.min_shift_s + self.rise_sum_s / run);
            return true;
        }
        if self.fall_sum_s > limit {
            let run = f64::from(std::mem::take(&mut self.samples_since_fall));
            let estimate = previous_mean - self.min_shift_s - self.fall_sum_s / run;
            self.start_epoch(estimate.max(MIN_EPOCH_AFTER_FALL_FRACTION * previous_mean));
            return true;
        }
        false
    }

    fn start_epoch(&mut self, estimate: f64) {
        self.epoch_estimate_s = estimate;
        self.tracking_mean_s = estimate;
        self.shift_detected = true;
        self.rise_sum_s = 0.0;
        self.fall_sum_s = 0.0;
    }

    /// The detection threshold H/σ for the current K/σ.
    fn current_threshold(&mut self) -> f64 {
        let ratio = self.min_shift_s / self.deviation_s.max(MIN_DEVIATION_S);
        let cached_ratio = self.threshold.shift_in_deviations;
        if (ratio / cached_ratio - 1.0).abs() > THRESHOLD_REFRESH_FRACTION || cached_ratio == 0.0 {
            let threshold = Cusum::threshold(ratio, FALSE_ALARM_RUN_LENGTH_COUNT);
            self.threshold =
                CachedThreshold { shift_in_deviations: ratio, threshold_in_deviations: threshold };
        }
        self.threshold.threshold_in_deviations
    }

    /// The detection threshold H/σ at which Siegmund's approximation of the run length reaches `target` samples, for K/σ = `ratio`.
    pub fn threshold(ratio: f64, target: f64) -> f64 {
        let run_length = |threshold: f64| {
            let exponent = 2.0 * ratio * (threshold + SIEGMUND_CORRECTION);
            (exponent.exp() - exponent - 1.0) / (2.0 * ratio * ratio)
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
