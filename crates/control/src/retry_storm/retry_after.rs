//! When refused clients should come back: spread so that what returns never outruns what hosts will be able to do.

use super::{RequestResult, StartedEndpoint};
use std::time::Duration;

/// Advice on when to come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// From now.
    pub after: Duration,
    /// A place is kept for it then. Otherwise all places within the longest advice are given away.
    pub is_reserved: bool,
}

/// Over how long rates are averaged, in seconds.
const WINDOW: f64 = 2.0;
/// The part of the expected capacity that first tries and promised repeats together may use.
const USE: f64 = 0.9;
/// The rate that may be promised where first tries alone take all, as a part of the capacity: somebody has to come
/// back to show that it is over.
const LEAST: f64 = 0.05;
/// Advice is jittered by this share, so that those promised one after another don't come in step.
const JITTER: f64 = 0.1;
/// No advice is shorter: an answer takes its way, too.
const SHORTEST: f64 = 0.02;

/// The times given away, as one pointer that moves by the time each return takes up.
#[derive(Clone, Debug)]
pub struct RetryAfterSchedule {
    cold_from: f64,
    cold_for: f64,
    most: f64,
    rng: fastrand::Rng,
    hosts: Vec<StartedEndpoint>,
    served: (f64, f64),
    firsts: (f64, f64),
    each: f64,
    next: f64,
}

fn fade(rate: &mut (f64, f64), now: f64, count: f64) -> f64 {
    let (sum, at) = *rate;
    *rate = (sum * (-(now - at).max(0.0) / WINDOW).exp() + count, now.max(at));
    rate.0 / WINDOW
}

impl RetryAfterSchedule {
    /// Hosts start at `cold_from` of what they can do and are warm after `cold_for`; clients heed at most `most`.
    pub fn new(cold_from: f64, cold_for: Duration, most: Duration, seed: u64) -> RetryAfterSchedule {
        RetryAfterSchedule {
            cold_from: cold_from.clamp(0.01, 1.0),
            cold_for: cold_for.as_secs_f64().max(1e-3),
            most: most.as_secs_f64(),
            rng: fastrand::Rng::with_seed(seed),
            hosts: Vec::new(),
            served: (0.0, 0.0),
            firsts: (0.0, 0.0),
            each: 0.0,
            next: 0.0,
        }
    }

    /// The hosts that take work now.
    pub fn set_endpoints(&mut self, now: Duration, hosts: &[StartedEndpoint]) {
        self.hosts = hosts.to_vec();
        self.next = self.next.min(now.as_secs_f64() + self.most);
    }

    /// A first try has come.
    pub fn record_first_attempt(&mut self, now: Duration) {
        fade(&mut self.firsts, now.as_secs_f64(), 1.0);
    }

    /// A request has been answered. What is served while others are refused is what the hosts can do.
    pub fn record_result(&mut self, now: Duration, how: RequestResult) {
        let now = now.as_secs_f64();
        match how {
            RequestResult::Served => {
                fade(&mut self.served, now, 1.0);
            }
            RequestResult::Rejected => {
                let rate = fade(&mut self.served, now, 0.0);
                let warm = self.warm_hosts(now);
                if warm > 0.0 {
                    self.each = if self.each > 0.0 {
                        self.each + 0.05 * (rate / warm - self.each)
                    } else {
                        rate / warm
                    };
                }
            }
            RequestResult::Failed => {}
        }
    }

    /// The hosts that take work, each counted by the share of its capacity that it has at a time.
    fn warm_hosts(&self, at: f64) -> f64 {
        let warmth = |host: &StartedEndpoint| match host.started_at {
            None => 1.0,
            Some(started) => {
                let part = ((at - started.as_secs_f64()) / self.cold_for).clamp(0.0, 1.0);
                self.cold_from + (1.0 - self.cold_from) * part
            }
        };
        self.hosts.iter().map(warmth).sum()
    }

    /// What can be done at a time, in requests a second; 0 as long as nothing is known.
    pub fn capacity(&self, at: Duration) -> f64 {
        self.each * self.warm_hosts(at.as_secs_f64())
    }

    /// The rate of returns that fits in at a time, in requests a second.
    pub fn spare_rate(&self, now: Duration, at: Duration) -> f64 {
        let (sum, since) = self.firsts;
        let firsts = sum * (-(now.as_secs_f64() - since).max(0.0) / WINDOW).exp() / WINDOW;
        let capacity = self.capacity(at);
        (USE * capacity - firsts).max(LEAST * capacity)
    }

    /// A storm begins: nothing is given away yet.
    pub fn reset(&mut self, now: Duration) {
        self.next = now.as_secs_f64();
    }

    /// When the next one to be refused should come back.
    pub fn reserve(&mut self, now: Duration) -> Reservation {
        let at = now.as_secs_f64();
        let earliest = at + SHORTEST.min(self.most);
        self.next = self.next.max(earliest);
        let jitter = 1.0 + JITTER * (2.0 * self.rng.f64() - 1.0);
        if self.next > at + self.most * (1.0 - JITTER) {
            // Every place is given away. Who can't be promised one is spread over the later half of what clients heed.
            let after = self.most * (0.5 + 0.5 * self.rng.f64());
            return Reservation { after: Duration::from_secs_f64(after), is_reserved: false };
        }
        let after = ((self.next - at) * jitter).clamp(SHORTEST.min(self.most), self.most);
        let rate = self.spare_rate(now, Duration::from_secs_f64(self.next));
        self.next += if rate > 0.0 { 1.0 / rate } else { self.most };
        Reservation { after: Duration::from_secs_f64(after), is_reserved: true }
    }
}
