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
