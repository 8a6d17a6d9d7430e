//! Where a request goes: among the hosts that it may be sent to, the one with the lowest (in flight + 1) x E.

use super::{lasting, Attempt, Balancer, Request};
use crate::api::{self, Idempotency};

const CROSSING: f64 = 30.0; // what a zone crossing adds to a host's score, times its price, while all is well
/// What a new connection adds to a host's score, times its price. Where many gateways see little of each host, an idle
/// connection is mostly given up before its next use; with this each keeps to some hosts as long as they do well.
const DIALLING: f64 = 20.0;
const SPILL: f64 = 0.85; // part of both that goes as requests end unserved: what is in trouble spills over
const CROWDED: f64 = 3.0; // a key leaves its own hosts when their score is this many times the best

impl Balancer {
    /// How many listed hosts get next to nothing now: those that drain, and those that would be the choice only once every other
    /// one had two requests more out than they have on the mean.
    pub fn avoided(&self, now: std::time::Duration) -> usize {
        let now = now.as_secs_f64();
        let e = |h: &super::Host| h.out.first().map_or(h.e, |sent| h.e.max(now - sent)) * h.size;
        let ready = self.ready.len() as f64;
        let all: f64 = self.ready.iter().map(|&i| e(&self.hosts[i])).sum();
        let usual = 2.0 + self.traffic.out / ready.max(1.0);
        let shunned = |h: &&super::Host| match h.entry.state {
            api::EndpointState::Removed => false,
            api::EndpointState::Draining => true,
            api::EndpointState::Up => ready > 1.0 && e(h) > usual * (all - e(h)) / (ready - 1.0),
        };
        self.hosts.iter().filter(shunned).count()
    }

    /// The gate of every send to a host.
    pub(super) fn may_send(&self, now: f64, req: &Request, host: usize) -> bool {
        let h = &self.hosts[host];
        let joins = |a: &Attempt| match self.set.classes[req.class].idempotency {
            Idempotency::IdempotencyKey { scope: group, .. } => group.partition_of(&h.entry) == a.group,
            _ => true,
        };
        now >= req.turn
            && h.tokens >= 1.0
            && req.attempts.iter().all(|a| a.host != host && (a.never_ran || joins(a)))
    }

    /// The ready host with the lowest (in-flight + 1) x E among those that may be sent to.
    pub(super) fn pick(&mut self, now: f64, req: &Request) -> Option<usize> {
        let (mut best, mut own) = ((f64::INFINITY, None), [(0, f64::INFINITY, 0); 2]);
        let aim = self.set.classes[req.class].latency_objective.as_secs_f64();
        let calm = 1.0 - SPILL * self.traffic.late;
        let crossing = CROSSING * self.set.cross_zone_cost * calm;
        let dialling = DIALLING * self.set.handshake_cost * calm;
        let start = self.rng.usize(0..=self.ready.len()); // of equals the first wins
        for &i in self.ready[start..].iter().chain(&self.ready[..start]) {
            let h = &self.hosts[i];
            // An attempt overdue is a sample of at least its age: silence must not look like speed.
            let mut e = h.out.first().map_or(h.e, |sent| h.e.max(now - sent));
            // Where this class alone fails, each failure in a row costs an aim, and fades as a raised E does.
            let ill = h.ill.get(req.class).copied().unwrap_or_default();
            e += f64::from(ill.count) * aim * lasting(now - ill.last, self.aims.1, ill.count);
            let away = if h.entry.zone == self.set.zone { 1.0 } else { 1.0 + crossing };
            // A cold host has few connections because its tokens are few: they bound what it gets, and nothing else does.
            let dials = h.tokens.is_infinite() && (now >= h.rests || !h.out.is_empty());
            let new = if dials { 1.0 + dialling } else { 1.0 };
            let score = (h.out.len() as f64 + 1.0) * e * away * new;
            let score = if self.may_send(now, req, i) { score } else { f64::INFINITY };
            if let Some(key) = req.key.filter(|_| self.set.key_cache_affinity) {
                let rank = api::mix(key ^ h.entry.hash);
                if rank > own[0].0 {
                    own = [(rank, score, i), own[0]];
                } else if rank > own[1].0 {
                    own[1] = (rank, score, i);
                }
            }
            if score < best.0 {
                best = (score, Some(i));
            }
        }
        // The key's own two hosts come first, unless they are crowded or ill.
        match own.iter().min_by(|a, b| a.1.total_cmp(&b.1)) {
            Some(&(_, score, host)) if score < CROWDED * best.0 => Some(host),
            _ => best.1,
        }
    }
}
