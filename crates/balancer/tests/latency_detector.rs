//! Tests of the latency detector against sequences calculated by hand and figures from the literature.

use weldworks_balancer::Cusum;

#[test]
fn estimate_after_a_rise_follows_the_formula_of_the_design_page() {
    let mut detector = Cusum::new(1.0);
    assert!(!detector.add(1.0), "a sample at the mean changes nothing");
    assert!((detector.estimate() - 1.0).abs() < 1e-12);
    // Calculated by hand: K = 0.25 x 1; sigma starts at 0.25 and is 0.225 after the first sample.
    // The second sample is y = 2: sigma = 0.225 + 0.1 (1 - 0.225) = 0.3025, m = 1 + 0.15 = 1.15, K = 0.2875, g+ = 2 - 1.4375 = 0.5625.
    // For K/sigma = 0.950 and 40 samples, H/sigma is about 1.09 and H about 0.33: a shift is detected, with N+ = 2.
    assert!(detector.add(2.0));
    assert!((detector.estimate() - (1.0 + 0.2875 + 0.5625 / 2.0)).abs() < 1e-9, "{}", detector.estimate());
}

#[test]
fn estimate_after_a_fall_follows_the_formula_of_the_design_page() {
    let mut detector = Cusum::new(1.0);
    detector.add(1.0);
    // Calculated by hand for the second sample: sigma = 0.225 + 0.1 (0.8 - 0.225) = 0.2825,
    // m = 1 - 0.12 = 0.88, K = 0.22, g- = 0.66 - 0.2 = 0.46, N- = 2.
    assert!(detector.add(0.2));
    assert!((detector.estimate() - (1.0 - 0.22 - 0.46 / 2.0)).abs() < 1e-9, "{}", detector.estimate());
}

/// Siegmund's approximation of the run length, written from the literature independently of the detector.
fn run_length(k: f64, h: f64) -> f64 {
    let drift = -k;
    let bound = h + 1.166;
    ((-2.0 * drift * bound).exp() + 2.0 * drift * bound - 1.0) / (2.0 * drift * drift)
}

#[test]
fn threshold_inverts_the_run_length_and_is_monotone() {
    for k in [0.1, 0.25, 0.5, 0.8] {
        let mut previous = 0.0;
        for target in [50.0, 200.0, 1000.0] {
            let threshold = Cusum::threshold(k, target);
            assert!(
                (run_length(k, threshold) / target - 1.0).abs() < 1e-6,
                "k {k} target {target} threshold {threshold}"
            );
            assert!(threshold > previous, "a longer run needs a higher threshold");
            previous = threshold;
        }
    }
    assert!(
        Cusum::threshold(0.25, 200.0) > Cusum::threshold(0.5, 200.0),
        "a larger shift needs a lower threshold"
    );
    // Montgomery's table for k = 0.5, h = 4 has a run length of 168 one-sided by simulation; this approximation gives 336.
    assert!((run_length(0.5, 4.0) - 336.0).abs() < 3.0);
}

fn noise(rng: &mut fastrand::Rng) -> f64 {
    // The sum of four uniform random numbers, scaled to mean 1 and standard deviation 0.144.
    0.75 + (0..4).map(|_| rng.f64()).sum::<f64>() / 8.0
}

#[test]
fn step_in_either_direction_is_detected_within_a_few_samples() {
    for (from, to, within) in [(1.0, 3.0, 3), (3.0, 1.0, 12), (1.0, 8.0, 2)] {
        let mut detector = Cusum::new(from);
        let mut rng = fastrand::Rng::with_seed(11);
        for _ in 0..60 {
            detector.add(from * noise(&mut rng));
        }
        let detected = (1..=within).any(|_| detector.add(to * noise(&mut rng)));
        assert!(detected, "no shift detected from {from} to {to} within {within} samples");
        // The first change of the estimate is too small, since N counts the whole steady epoch; later shifts complete the change.
        for _ in 0..within + 6 {
            detector.add(to * noise(&mut rng));
        }
        assert!(
            (detector.estimate() - to).abs() < 0.4 * to,
            "after a step from {from} to {to} the estimate is {}",
            detector.estimate()
        );
    }
}

#[test]
fn false_alarms_on_steady_noise_are_rare() {
    // K is 0.25 of the mean, nearly two standard deviations of this noise, so alarms are rarer than the target run length.
    let mut detector = Cusum::new(1.0);
    let mut rng = fastrand::Rng::with_seed(5);
    let alarms = (0..4000).filter(|_| detector.add(noise(&mut rng))).count();
    assert!(alarms <= 4000 / 20, "{alarms} alarms in 4000 samples");
}

#[test]
fn estimate_follows_the_mean_until_the_first_shift_and_is_constant_after_it() {
    let mut detector = Cusum::new(1.0);
    detector.add(1.1);
    assert!((detector.estimate() - 1.015).abs() < 1e-12, "{}", detector.estimate());
    while !detector.add(3.0) {}
    let estimate = detector.estimate();
    assert!(!detector.add(estimate));
    assert_eq!(detector.estimate(), estimate);
}
