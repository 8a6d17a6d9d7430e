//! How evenly attempts come to nodes: the index of dispersion of their counts in short windows.

use super::{Ledger, Told};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The length of a window: several service times, and shorter than any list's renewal.
const WINDOW: Duration = Duration::from_millis(500);
/// Fewer windows in which a node is offered say nothing of it.
const FEWEST: usize = 8;

impl Ledger {
    /// The variance over the mean of the attempts that reach a node in 500 ms (Fano's index of dispersion), as the mean
    /// of all nodes, each by its attempts. Chance alone, Poisson's, gives 1; below it the fleet spreads better than
    /// chance does; far above it gateways come and go together.
    ///
    /// Windows in which the first gateway was told that a node is not up, or of any change of it, don't count. None
    /// where a node is offered in fewer than eight windows, or nothing was sent.
    pub fn dispersion(&self, lasts: Duration) -> Option<f64> {
        let place = |at: Duration| (at.as_nanos() / WINDOW.as_nanos()) as usize;
        let windows = place(lasts);
        let mut counts: FxHashMap<usize, Vec<f64>> = FxHashMap::default();
        for (_, record) in self.records() {
            for seen in &record.attempts {
                let of_node = counts.entry(seen.node).or_insert_with(|| vec![0.0; windows]);
                if let Some(count) = of_node.get_mut(place(seen.first)) {
                    *count += 1.0;
                }
            }
        }
        let (mut sum, mut weight) = (0.0, 0.0);
        // In the order of nodes: a sum in a hash map's order would not be the same to the last bit.
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_unstable_by_key(|(node, _)| *node);
        for (node, of_node) in counts {
            let offered = self.offered(node, windows);
            let kept: Vec<f64> = of_node.iter().zip(offered).filter(|(_, o)| *o).map(|(c, _)| *c).collect();
            let mean = kept.iter().sum::<f64>() / kept.len().max(1) as f64;
            if kept.len() >= FEWEST && mean > 0.0 {
                let squares: f64 = kept.iter().map(|c| (c - mean).powi(2)).sum();
                sum += squares / (kept.len() - 1) as f64 / mean * mean;
                weight += mean;
            }
        }
        (weight > 0.0).then(|| sum / weight)
    }

    /// For each window, whether the first gateway takes the node for up throughout.
    fn offered(&self, node: usize, windows: usize) -> Vec<bool> {
        let told = self.told.get(&(0, node)).map(Vec::as_slice).unwrap_or_default();
        let mut offered = Vec::with_capacity(windows);
        let (mut next, mut up) = (0, false);
        for window in 0..windows {
            let (from, until) = (WINDOW * window as u32, WINDOW * (window as u32 + 1));
            let mut whole = true;
            while let Some((at, what)) = told.get(next).filter(|(at, _)| *at < until) {
                up = matches!(what, Told::Up(_));
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
    use super::super::AttemptSeen;
    use super::*;

    /// A ledger in which so many attempts come to node 0 in each window.
    fn ledger(counts: &[u64]) -> Ledger {
        let mut ledger = Ledger::new(Vec::new(), vec![(0, 0)]);
        ledger.told(0, 0, Duration::ZERO, Told::Up(None));
        let mut attempt = 0;
        for (window, count) in counts.iter().enumerate() {
            for n in 0..*count {
                attempt += 1;
                let first = WINDOW * window as u32 + Duration::from_millis(n);
                let (gateway, node, whole, began, ended) = (0, 0, None, None, None);
                let seen = AttemptSeen { attempt, node, gateway, first, whole, began, ended, seconds: 0.01 };
                ledger.attempt(attempt, seen);
            }
        }
        ledger
    }

    #[test]
    fn what_comes_evenly_has_none_and_what_comes_and_goes_has_much() {
        let lasts = WINDOW * 10;
        assert_eq!(ledger(&[7; 10]).dispersion(lasts), Some(0.0));
        // Nothing and twenty by turns: the mean is 10, the variance 1000 / 9.
        let swings = ledger(&[0, 20, 0, 20, 0, 20, 0, 20, 0, 20]).dispersion(lasts).expect("a figure");
        assert!((swings - 100.0 / 9.0).abs() < 1e-9, "{swings}");
        assert_eq!(ledger(&[0; 10]).dispersion(lasts), None);
        assert_eq!(ledger(&[7; 7]).dispersion(WINDOW * 7), None, "too few windows");
    }

    #[test]
    fn windows_in_which_a_node_is_not_offered_do_not_count() {
        let mut drained = ledger(&[7, 7, 7, 7, 7, 0, 0, 0, 7, 7, 7, 7, 7]);
        drained.told(0, 0, WINDOW * 5 - Duration::from_millis(1), Told::Draining);
        drained.told(0, 0, WINDOW * 7 + Duration::from_millis(1), Told::Up(None));
        assert_eq!(drained.dispersion(WINDOW * 13), Some(0.0));
    }
}
