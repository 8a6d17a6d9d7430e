//! How evenly attempts arrive at endpoints: the index of dispersion of the number of attempts in short windows.

use super::{Checker, EndpointNotice};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Length of a counting window: several service times, and shorter than the interval between two endpoint lists.
const WINDOW: Duration = Duration::from_millis(500);
/// Least number of windows in which an endpoint is listed as up; the variance over fewer windows is not meaningful.
const MIN_WINDOWS: usize = 8;

impl Checker {
    /// The variance over the mean of the number of attempts that reach an endpoint in 500 ms (Fano's index of dispersion),
    /// as the mean over all endpoints, weighted by their attempts. Independent arrivals (a Poisson process) give 1. The index is
    /// below 1 when the fleet spreads attempts more evenly, and far above 1 when gateways choose the same endpoint at the same time.
    ///
    /// Windows in which the first gateway was notified of any change of an endpoint, or after it was notified that the endpoint
    /// is not up, don't count. An endpoint that is up in fewer than eight windows doesn't count either; the result is `None` where
    /// no endpoint counts or no attempt was sent.
    pub fn dispersion(&self, lasts: Duration) -> Option<f64> {
        let window_of = |at: Duration| (at.as_nanos() / WINDOW.as_nanos()) as usize;
        let windows = window_of(lasts);
        let mut counts: FxHashMap<usize, Vec<f64>> = FxHashMap::default();
        for (_, record) in self.records() {
            for seen in &record.attempts {
                let of_endpoint = counts.entry(seen.endpoint).or_insert_with(|| vec![0.0; windows]);
                if let Some(count) = of_endpoint.get_mut(window_of(seen.first_byte_at)) {
                    *count += 1.0;
                }
            }
        }
        let (mut sum, mut weight) = (0.0, 0.0);
        // The sum runs in the order of the endpoints: in a hash map's order it would not be the same to the last bit.
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_unstable_by_key(|(endpoint, _)| *endpoint);
        for (endpoint, of_endpoint) in counts {
            let offered = self.offered(endpoint, windows);
            let counted: Vec<f64> = of_endpoint
                .iter()
                .zip(offered)
                .filter(|(_, is_offered)| *is_offered)
                .map(|(count, _)| *count)
                .collect();
            let mean = counted.iter().sum::<f64>() / counted.len().max(1) as f64;
            if counted.len() >= MIN_WINDOWS && mean > 0.0 {
                let squares: f64 = counted.iter().map(|count| (count - mean).powi(2)).sum();
                sum += squares / (counted.len() - 1) as f64 / mean * mean;
                weight += mean;
            }
        }
        (weight > 0.0).then(|| sum / weight)
    }

    /// For each window, whether the first gateway considers the endpoint up throughout.
    fn offered(&self, endpoint: usize, windows: usize) -> Vec<bool> {
        let notices = self.notices.get(&(0, endpoint)).map(Vec::as_slice).unwrap_or_default();
        let mut offered = Vec::with_capacity(windows);
        let (mut next, mut up) = (0, false);
        for window in 0..windows {
            let (from, until) = (WINDOW * window as u32, WINDOW * (window as u32 + 1));
            let mut whole = true;
            while let Some((at, notice)) = notices.get(next).filter(|(at, _)| *at < until) {
                up = matches!(notice, EndpointNotice::Up(_));
                whole &= *at <= from;
                next += 1;
            }
            offered.push(up && whole);
        }
        offered
    }
}

#[cfg(test)]
mod tests {
    use super::super::ObservedAttempt;
    use super::*;

    /// A checker that recorded these numbers of attempts at endpoint 0, one number for each window.
    fn checker(counts: &[u64]) -> Checker {
        let mut checker = Checker::new(Vec::new(), vec![(0, 0)]);
        checker.record_notice(0, 0, Duration::ZERO, EndpointNotice::Up(None));
        let mut attempt = 0;
        for (window, count) in counts.iter().enumerate() {
            for n in 0..*count {
                attempt += 1;
                let first_byte_at = WINDOW * window as u32 + Duration::from_millis(n);
                let (gateway, endpoint, last_byte_at, started_at, end) = (0, 0, None, None, None);
                let seen = ObservedAttempt {
                    attempt,
                    endpoint,
                    gateway,
                    first_byte_at,
                    last_byte_at,
                    started_at,
                    end,
                    work_s: 0.01,
                };
                checker.record_attempt(attempt, seen);
            }
        }
        checker
    }

    #[test]
    fn dispersion_is_zero_for_even_arrivals_and_high_for_alternating_ones() {
        let lasts = WINDOW * 10;
        assert_eq!(checker(&[7; 10]).dispersion(lasts), Some(0.0));
        // With 0 and 20 attempts in turn the mean is 10 and the variance 1000 / 9.
        let alternating = checker(&[0, 20, 0, 20, 0, 20, 0, 20, 0, 20])
            .dispersion(lasts)
            .expect("the run has no dispersion");
        assert!((alternating - 100.0 / 9.0).abs() < 1e-9, "{alternating}");
        assert_eq!(checker(&[0; 10]).dispersion(lasts), None);
        assert_eq!(checker(&[7; 7]).dispersion(WINDOW * 7), None, "too few windows");
    }

    #[test]
    fn windows_in_which_an_endpoint_is_not_listed_as_up_do_not_count() {
        let mut drained = checker(&[7, 7, 7, 7, 7, 0, 0, 0, 7, 7, 7, 7, 7]);
        drained.record_notice(0, 0, WINDOW * 5 - Duration::from_millis(1), EndpointNotice::Draining);
        drained.record_notice(0, 0, WINDOW * 7 + Duration::from_millis(1), EndpointNotice::Up(None));
        assert_eq!(drained.dispersion(WINDOW * 13), Some(0.0));
    }
}
