//! What is known of hosts: from lists, from their reports and answers, and from the ends of idle connections.

use super::{Balancer, Cusum, Ended, Host, Out, RETEST};
use crate::api::{self, EndpointId, EndpointState, EndpointWeights};
use rustc_hash::FxHashMap;

const CROWDED_MOST: f64 = 20.0; // what a core holds at most, as far as it counts
/// A host that served RUNS a second and reports less than this part of it begins anew: it may be cold.
const ANEW: f64 = 0.2;
const RUNS: f64 = 1.0;
/// A host that ends the last idle connection to it may be a process that has ended and comes back cold; not where the
/// connection was idle for about as long as the one ended before, within this part: then that is how long it keeps any.
const LAPSE: f64 = 0.1;
const LAPSE_S: f64 = 0.005; // and so many seconds: some close right after each answer
const BURST_S: f64 = 0.1; // ends of one host's connections within so many seconds belong together
/// It is sent this part of what a cold one may be: gateways that held no connection to it go on as before.
pub(super) const UNTOLD: f64 = 0.5;
/// It is cleared by one answer as quick as ever, where hosts begin with this part of their work at most.
const CLEAR: f64 = 0.5;
const HELD_S: f64 = 0.7; // time constants of what hosts report to hold and to serve, in seconds
const QPS_S: f64 = 5.0;

impl Balancer {
    pub(super) fn learn(&mut self, now: f64, full: bool, list: &[api::Endpoint], actions: Out) {
        if self.asks_failed < 0 {
            self.ask_later(now, 0.0, actions); // first list: spread the gateways' first calls
        } else if std::mem::take(&mut self.asking) {
            self.asks_failed = 0;
        }
        self.hosts.iter_mut().filter(|_| full).for_each(|h| h.entry.state = EndpointState::Removed);
        for entry in list.iter().filter(|e| e.id.0 < EndpointId::LIMIT) {
            let (i, known) = (entry.id.0 as usize, self.hosts.len());
            let unknown = || Host { started: f64::NEG_INFINITY, size: 1.0, ..Host::default() };
            self.hosts.resize_with(self.hosts.len().max(i + 1), unknown);
            let h = &mut self.hosts[i];
            let started = entry.started.map_or(f64::NEG_INFINITY, |t| t.as_secs_f64());
            if started > h.started || (i < known && h.entry.hash != entry.hash) {
                // A new process or another host: nothing learnt before holds. Its first send as a cold host
                // falls at a random place, or every gateway's first would arrive together.
                let out = std::mem::take(&mut h.out);
                *h = Host { started, out, tokens: self.rng.f64(), size: 1.0, ..Host::default() };
            }
            h.entry = entry.clone();
        }
        self.close_draining(actions);
        self.ready =
            (0..self.hosts.len()).filter(|&i| self.hosts[i].entry.state == EndpointState::Up).collect();
        let weights: f64 = self.ready.iter().map(|&i| self.hosts[i].entry.weight).sum();
        for &i in
            self.ready.iter().filter(|_| self.set.endpoint_weights == EndpointWeights::Size && weights > 0.0)
        {
            let h = &mut self.hosts[i];
            h.size = (h.entry.weight * self.ready.len() as f64 / weights).clamp(0.1, 10.0);
        }
        if self.set.endpoint_weights == EndpointWeights::Live && !list.is_empty() {
            self.listed = (self.crowding(), now);
        }
        self.upkeep(now);
    }

    /// How many requests a core holds, over all ready hosts, by their live weights: nominal size / (1 + held a core).
    /// Hosts of one kind have one size, so that one which nobody has seen idle is read by its like.
    pub(super) fn crowding(&mut self) -> f64 {
        let mut sizes: FxHashMap<u32, f64> = FxHashMap::default();
        for h in &mut self.hosts {
            h.nominal = h.nominal.max(h.entry.weight);
            let size = sizes.entry(h.entry.kind).or_default();
            *size = size.max(h.nominal);
        }
        let (mut held, mut all) = (0.0, 0.0);
        for h in self.ready.iter().map(|&i| &self.hosts[i]) {
            let (size, weight) = (sizes[&h.entry.kind], h.entry.weight);
            if weight > 0.0 && size.is_finite() {
                (held, all) = (held + size * (size / weight - 1.0).min(CROWDED_MOST), all + size);
            }
        }
        if all > 0.0 {
            held / all
        } else {
            0.0
        }
    }

    /// How much of its full work a host can do at least, from its start.
    pub(super) fn warmth(&self, now: f64, h: &Host) -> f64 {
        // Held to 1: where hosts are never cold, what has been up for ever gives 0 x infinity.
        let part = ((now - h.started) / self.set.slow_start_duration.as_secs_f64().max(1e-3)).min(1.0);
        (self.set.slow_start_min_capacity + (1.0 - self.set.slow_start_min_capacity) * part).clamp(0.01, 1.0)
    }

    /// What a host not heard from is taken for: the mean of its kind, or of all, scaled by its size.
    pub(super) fn prior(&self, h: &Host) -> f64 {
        self.kinds.get(&h.entry.kind).unwrap_or(&self.mean) / h.size
    }

    /// Books a load report. It tells of all gateways' requests but is seconds old by the time it is heard, so it says
    /// how full the fleet is and not where the next request should go: docs/design/fleet-size.md.
    pub(super) fn take_report(&mut self, now: f64, host: EndpointId, report: api::LoadReport) {
        let Some(report) = report.checked() else { return };
        let Some(h) = self.hosts.get_mut(host.0 as usize) else { return };
        let gap = match h.report {
            Some((last, _)) if last == report => return, // heard before
            Some((_, at)) => now - at,
            None => f64::INFINITY,
        };
        if h.qps >= RUNS
            && report.requests_per_second < ANEW * h.qps
            && gap < self.aims.1 * RETEST
            && h.tokens.is_infinite()
        {
            // It served steadily a moment ago and begins at nothing: perhaps a new process, not told of yet.
            (h.started, h.tokens) = (h.started.max(now), 0.0);
        }
        h.report = Some((report, now));
        let gain = |time: f64| 1.0 - (-gap / time).exp();
        h.held += gain(HELD_S) * (report.in_flight - h.held);
        h.qps += gain(QPS_S) * (report.requests_per_second - h.qps);
    }

    /// Books that a host has ended an idle connection. A process that ends does so to all gateways in one moment, long
    /// before discovery tells of it.
    pub(super) fn take_close(&mut self, now: f64, host: EndpointId, idle: f64, left: usize) {
        // Several of one host that end together were idle for alike times too, and say nothing of its habit.
        let burst = self.ended.host == host && now - self.ended.at < BURST_S;
        let usual = if burst { self.ended.usual } else { self.ended.last };
        self.ended = Ended { host, at: now, usual, last: idle };
        if left == 0 && (idle - usual).abs() > LAPSE * usual + LAPSE_S {
            self.suspect(now, host.0 as usize);
        }
    }

    /// Takes a host for a new process that nobody has told of. It begins with the little that a cold one may be sent, at
    /// a random place, or the first sends of all gateways would arrive together. Not while anything is out there: that
    /// would have ended too.
    pub(super) fn suspect(&mut self, now: f64, host: usize) {
        // Most of them at once is no restart that one could spare: somebody has to serve.
        let cold = self.ready.iter().filter(|&&i| self.hosts[i].tokens.is_finite()).count();
        let spared = 2 * (cold + 1) <= self.ready.len();
        let first = self.rng.f64();
        if let Some(h) = self.hosts.get_mut(host) {
            let idle = h.out.is_empty() && h.entry.state == EndpointState::Up;
            if spared && idle && h.tokens.is_infinite() {
                (h.cleared, h.untold) = (h.started, true);
                (h.started, h.tokens) = (h.started.max(now), first);
            }
        }
    }

    /// A suspected host has served: one that is cold takes several times as long as it used to, and as its kind does. Its
    /// own E alone may be raised by trouble from before it ended.
    pub(super) fn clear(&mut self, host: usize, y: f64) {
        let prior = self.prior(&self.hosts[host]);
        let h = &mut self.hosts[host];
        if h.untold && y <= h.detector.estimate().min(prior) && self.set.slow_start_min_capacity <= CLEAR {
            (h.started, h.tokens, h.untold) = (h.cleared, f64::INFINITY, false);
        }
    }

    pub(super) fn observe(&mut self, now: f64, host: usize, y: f64) {
        self.mean = if self.traffic.latency > 0.0 { self.mean } else { y * self.hosts[host].size };
        let prior = self.prior(&self.hosts[host]);
        let h = &mut self.hosts[host];
        if h.detector.samples == 0 {
            h.detector = Cusum::new(prior);
        }
        h.detector.add(y);
        (h.e, h.heard) = (h.detector.estimate(), now);
    }
}
