//! What one process's decisions can hand to those of the next: how quick each host is, and how much is asked and served.

use super::{Balancer, Cusum};
use crate::api::HostState;
use std::time::Duration;

/// The longest time that a host can be remembered to take, in seconds.
const SLOWEST: f64 = 600.0;
/// The most requests a second that can be remembered.
const BUSIEST: f64 = 1e7;

/// What is remembered of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostMemory {
    /// The hash of its lasting name.
    pub hash: u64,
    /// Its epoch estimate E, in seconds.
    pub e: f64,
}

/// What is remembered in all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    /// The hosts that have answered.
    pub hosts: Vec<HostMemory>,
    /// Requests a second that were served in time, first tries that came, and what a warm host served.
    pub rates: [f64; 3],
    /// The mean latency, in seconds; 0 before any.
    pub latency: f64,
}

impl Memory {
    /// Whether every figure can be true.
    pub fn holds(&self) -> bool {
        let within = |x: f64, most: f64| (0.0..=most).contains(&x);
        let hosts = self.hosts.iter().all(|h| h.e > 0.0 && within(h.e, SLOWEST));
        hosts && self.rates.iter().all(|r| within(*r, BUSIEST)) && within(self.latency, SLOWEST)
    }
}

impl Balancer {
    /// What another process that goes on from here should know.
    pub fn memory(&self) -> Memory {
        let known = self.hosts.iter().filter(|h| h.entry.state == HostState::Up && h.detector.samples > 0);
        let t = &self.traffic;
        Memory {
            hosts: known.map(|h| HostMemory { hash: h.entry.hash, e: h.e.clamp(1e-6, SLOWEST) }).collect(),
            rates: [t.served.per_s, t.asked.per_s, t.warm.per_s].map(|rate| rate.clamp(0.0, BUSIEST)),
            latency: t.latency.clamp(0.0, SLOWEST),
        }
    }

    /// Goes on from what another process knew: of hosts that this one has heard nothing of, and of the traffic where it has had
    /// none. Tokens of cold hosts begin at nothing, for the other may have spent its own a moment ago. Nothing is taken of a
    /// memory that does not hold.
    pub fn recall(&mut self, now: Duration, memory: &Memory) -> bool {
        if !memory.holds() {
            return false;
        }
        let now = now.as_secs_f64();
        for told in &memory.hosts {
            let unheard =
                self.hosts.iter_mut().find(|h| h.entry.hash == told.hash && h.detector.samples == 0);
            if let Some(h) = unheard {
                h.detector = Cusum::new(told.e);
                h.detector.add(told.e);
                (h.e, h.heard) = (told.e, now);
                h.tokens = if h.tokens.is_infinite() { h.tokens } else { 0.0 };
            }
        }
        let t = &mut self.traffic;
        if t.latency == 0.0 {
            t.latency = memory.latency;
            for (rate, known) in [&mut t.served, &mut t.asked, &mut t.warm].into_iter().zip(memory.rates) {
                rate.per_s = known;
            }
            self.age = self.age.max(super::RATE_S); // or the first moments would count as all there ever was
        }
        self.upkeep(now);
        true
    }
}
