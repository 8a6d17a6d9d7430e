//! The service of a run: priority weight of the requests served within their latency objectives, divided by the weight of all
//! requests. A client's retries count with its first attempt.

use serde::Serialize;
use std::time::Duration;

/// The service of a part of the run's requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Name of the part: a class, a tenant or an interval of time.
    pub name: String,
    /// Service of the part, from 0 to 1.
    pub service: f64,
    /// Number of first attempts in the part.
    pub asked: usize,
}

/// The service of a run, as a whole and in its worst parts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Service of the whole run.
    pub whole: f64,
    /// The 10 s with the lowest service.
    pub worst_10s: Window,
    /// The class with the lowest service.
    pub worst_class: Window,
    /// The tenant with the lowest service, counting only requests within its share.
    pub worst_tenant: Window,
    /// Service of each class.
    pub classes: Vec<Window>,
    /// Service of each tenant, counting only requests within its share.
    pub tenants: Vec<Window>,
}

/// A client's first attempt, with the result of this attempt and its retries.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// Planned time of the first attempt.
    pub at: Duration,
    /// Class of the request.
    pub class: usize,
    /// Tenant of the request.
    pub tenant: usize,
    /// Priority weight of the request.
    pub priority_weight: f64,
    /// Whether the request lies within its tenant's share.
    pub in_share: bool,
    /// Whether the first attempt or a retry was served within the latency objective.
    pub in_time: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    requested: f64,
    served: f64,
    count: usize,
}

impl Sum {
    fn add(&mut self, tally: &RequestResult) {
        self.requested += tally.priority_weight;
        self.served += if tally.in_time { tally.priority_weight } else { 0.0 };
        self.count += 1;
    }

    fn named(self, name: String) -> Window {
        let service = if self.requested > 0.0 { self.served / self.requested } else { 1.0 };
        Window { name, service, asked: self.count }
    }
}

/// Length of the windows among which the worst is searched, in seconds.
const WINDOW_S: usize = 10;

/// Service counts as recovered once every window from then on has at least this service.
const RECOVERED_SERVICE: f64 = 0.95;
/// Length of the windows by which recovery is determined, in seconds.
const RECOVERY_WINDOW_S: usize = 2;

/// Seconds from `from` until service had recovered to 0.95 for the rest of the run, by 2 s windows of first attempts.
/// The result is 0 where service was never lower after `from`, and `None` where it had not recovered by the end of the run.
pub fn back_after(tallies: &[RequestResult], from: Duration) -> Option<f64> {
    let mut by_second: Vec<Sum> = Vec::new();
    for tally in tallies.iter().filter(|tally| tally.at >= from) {
        let second = (tally.at - from).as_secs() as usize;
        by_second.resize(by_second.len().max(second + 1), Sum::default());
        by_second[second].add(tally);
    }
    // The last second is rarely complete and is left out.
    by_second.pop();
    let is_low = |window: &[Sum]| {
        let (served, requested) = window
            .iter()
            .fold((0.0, 0.0), |(served, requested), sum| (served + sum.served, requested + sum.requested));
        served < RECOVERED_SERVICE * requested
    };
    let last = by_second.windows(RECOVERY_WINDOW_S).rposition(is_low);
    let recovered = last.map_or(0, |at| at + RECOVERY_WINDOW_S);
    (recovered < by_second.len() || last.is_none()).then_some(recovered as f64)
}

impl Service {
    /// Computes the service from the results of all first attempts.
    pub fn count(tallies: &[RequestResult], classes: &[String], tenants: &[String]) -> Service {
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
                    requested: a.requested + b.requested,
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
            let with_requests = windows.iter().filter(|window| window.asked > 0);
            let worst = with_requests.min_by(|a, b| a.service.total_cmp(&b.service)).cloned();
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

    /// The results of ten first attempts a second, of which `served` gives the number that is served in each second.
    fn tallies(served: &[usize]) -> Vec<RequestResult> {
        let mut tallies = Vec::new();
        for (second, served) in served.iter().enumerate() {
            for n in 0..10 {
                let at = Duration::from_secs(second as u64) + Duration::from_millis(n as u64);
                let (class, tenant, priority_weight, in_share, in_time) = (0, 0, 1.0, true, n < *served);
                tallies.push(RequestResult { at, class, tenant, priority_weight, in_share, in_time });
            }
        }
        tallies
    }

    #[test]
    fn recovery_time_ends_with_the_last_window_of_low_service() {
        let from = Duration::from_secs(2);
        let after = |served: &[usize]| back_after(&tallies(served), from);
        assert_eq!(
            after(&[0, 0, 10, 10, 10, 10]),
            Some(0.0),
            "the seconds before the end of the event must not count"
        );
        // The last window under 95 % consists of the seconds 5 and 6; service has recovered at 7 s, which is 5 s after the event.
        assert_eq!(after(&[0, 0, 5, 10, 10, 5, 10, 10, 10]), Some(5.0));
        assert_eq!(after(&[0, 0, 10, 10, 5, 5, 5]), None);
    }
}
