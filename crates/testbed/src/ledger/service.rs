//! The service: worth answered within its aim, over worth asked for. Retries count with their first try.

use serde::Serialize;
use std::time::Duration;

/// The service over some part of the day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Which part: a class's or tenant's name, or the time at which a window begins.
    pub name: String,
    /// The service, from 0 to 1.
    pub service: f64,
    /// First tries.
    pub asked: usize,
}

/// The service of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Of the whole run.
    pub whole: f64,
    /// The worst 10 s.
    pub worst_10s: Window,
    /// The worst-served class.
    pub worst_class: Window,
    /// The worst-served tenant, within its share.
    pub worst_tenant: Window,
    /// Every class.
    pub classes: Vec<Window>,
    /// Every tenant, within its share.
    pub tenants: Vec<Window>,
}

/// A first try with what became of it and its retries.
#[derive(Clone, Copy, Debug)]
pub struct Tally {
    /// When it was asked.
    pub at: Duration,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// What it is worth.
    pub worth: f64,
    /// It lies within its tenant's share.
    pub in_share: bool,
    /// It, or a retry of it, was served within the aim.
    pub in_time: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    asked: f64,
    served: f64,
    count: usize,
}

impl Sum {
    fn add(&mut self, tally: &Tally) {
        self.asked += tally.worth;
        self.served += if tally.in_time { tally.worth } else { 0.0 };
        self.count += 1;
    }

    fn named(self, name: String) -> Window {
        let service = if self.asked > 0.0 { self.served / self.asked } else { 1.0 };
        Window { name, service, asked: self.count }
    }
}

/// The length of the window that is searched for the worst one.
const WINDOW_S: usize = 10;

/// Service is back where it holds at this in every window of 2 s.
const BACK: f64 = 0.95;
const BACK_WINDOW_S: usize = 2;

/// How many seconds after `from` service was back at 0.95 for good, by 2 s windows of first tries; 0 where it was never
/// under that from then on, none where it was not back by the end of the day.
pub fn back_after(tallies: &[Tally], from: Duration) -> Option<f64> {
    let mut by_second: Vec<Sum> = Vec::new();
    for tally in tallies.iter().filter(|t| t.at >= from) {
        let second = (tally.at - from).as_secs() as usize;
        by_second.resize(by_second.len().max(second + 1), Sum::default());
        by_second[second].add(tally);
    }
    // The last second is rarely whole.
    by_second.pop();
    let bad = |window: &[Sum]| {
        let (served, asked) = window.iter().fold((0.0, 0.0), |(s, a), w| (s + w.served, a + w.asked));
        served < BACK * asked
    };
    let last = by_second.windows(BACK_WINDOW_S).rposition(bad);
    let back = last.map_or(0, |at| at + BACK_WINDOW_S);
    (back < by_second.len() || last.is_none()).then_some(back as f64)
}

impl Service {
    /// Counts what became of all first tries.
    pub fn count(tallies: &[Tally], classes: &[String], tenants: &[String]) -> Service {
        let mut whole = Sum::default();
        let mut by_class = vec![Sum::default(); classes.len()];
        let mut by_tenant = vec![Sum::default(); tenants.len()];
        let mut by_second: Vec<Sum> = Vec::new();
        for tally in tallies {
            whole.add(tally);
            if let Some(sum) = by_class.get_mut(tally.class) {
                sum.add(tally);
            }
            if let Some(sum) = by_tenant.get_mut(tally.tenant).filter(|_| tally.in_share) {
                sum.add(tally);
            }
            let second = tally.at.as_secs() as usize;
            if by_second.len() <= second {
                by_second.resize(second + 1, Sum::default());
            }
            by_second[second].add(tally);
        }
        let windows =
            by_second.windows(WINDOW_S.min(by_second.len()).max(1)).enumerate().map(|(from, seconds)| {
                let sum = seconds.iter().fold(Sum::default(), |a, b| Sum {
                    asked: a.asked + b.asked,
                    served: a.served + b.served,
                    count: a.count + b.count,
                });
                sum.named(format!("{from} s to {} s", from + seconds.len()))
            });
        let named = |sums: Vec<Sum>, names: &[String]| -> Vec<Window> {
            sums.into_iter().zip(names).map(|(sum, name)| sum.named(name.clone())).collect()
        };
        let (classes, tenants) = (named(by_class, classes), named(by_tenant, tenants));
        let worst = |windows: &[Window]| {
            let asked = windows.iter().filter(|w| w.asked > 0);
            let worst = asked.min_by(|a, b| a.service.total_cmp(&b.service)).cloned();
            worst.unwrap_or(Window { name: "none".to_owned(), service: 1.0, asked: 0 })
        };
        Service {
            whole: whole.named(String::new()).service,
            worst_10s: worst(&windows.collect::<Vec<_>>()),
            worst_class: worst(&classes),
            worst_tenant: worst(&tenants),
            classes,
            tenants,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Ten first tries a second, of which so many are served.
    fn day(served: &[usize]) -> Vec<Tally> {
        let mut tallies = Vec::new();
        for (second, served) in served.iter().enumerate() {
            for n in 0..10 {
                let at = Duration::from_secs(second as u64) + Duration::from_millis(n as u64);
                let (class, tenant, worth, in_share, in_time) = (0, 0, 1.0, true, n < *served);
                tallies.push(Tally { at, class, tenant, worth, in_share, in_time });
            }
        }
        tallies
    }

    #[test]
    fn service_is_back_once_it_stays() {
        let from = Duration::from_secs(2);
        let after = |served: &[usize]| back_after(&day(served), from);
        assert_eq!(
            after(&[0, 0, 10, 10, 10, 10]),
            Some(0.0),
            "what came before the end of the event does not count"
        );
        // The last window under 95 % is that of the seconds 5 and 6: back at 7, which is 5 s after.
        assert_eq!(after(&[0, 0, 5, 10, 10, 5, 10, 10, 10]), Some(5.0));
        assert_eq!(after(&[0, 0, 10, 10, 5, 5, 5]), None);
    }
}
