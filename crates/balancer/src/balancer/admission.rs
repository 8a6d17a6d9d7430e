//! Which requests are let in: what is out must still be served within its aim.

use super::{follow, Balancer, Limits, Out, Request, COPY_SHARE};
use crate::api::{self, Action};
use std::time::Duration;

/// Requests are let in while what is in flight could be served within the shortest aim, or this part of it
/// once LATE end unserved and what is served takes SLOW of it: a few sick hosts alone are no overload ...
const TIGHT: f64 = 0.3;
const SLOW: f64 = 0.4;
/// ... with so many standard deviations of chance and, over all gateways, so many a host. The first figure holds
/// while hosts report that what they hold takes them CROWD of the shortest aim, or report nothing; the second while
/// it takes EASE of it: then what a single gateway has out says little, and there is no cause to refuse.
const CHANCE: (f64, f64) = (0.5, 2.0);
/// Where live weights tell what hosts hold, what is out is bounded so that they hold about FULL a core: more earns
/// nothing, and a host that is crowded for some seconds slows down. The lists are a second old, so the bound is what
/// was out over CROWD_S per request listed in that time, and AHEAD of a host's share besides, to grow from. Not
/// by lists older than STALE_S.
const FULL: f64 = 1.6;
const EMPTY: f64 = 0.2; // under this the lists say too little of it
const AHEAD: f64 = 0.25;
const STALE_S: f64 = 3.0;
/// Once hosts are so much crowded, or requests end unserved so often, one that by its hint takes longer than there is
/// is refused: it would only keep others from being served. PACE is the part of requests that are faster by their hints.
const HOPELESS: f64 = 0.3;
const SLACK: f64 = 1.0;

impl Balancer {
    pub(super) fn arrive(&mut self, now: f64, r: &api::Request, actions: Out) {
        if self.requests.contains_key(&r.id.0) {
            return;
        }
        let Some(class) = self.set.classes.get(r.class) else {
            return actions.push(Action::Reject { request: r.id, retry_after: Duration::ZERO });
        };
        let t = &mut self.traffic;
        t.asked.count += f64::from(u8::from(!r.is_client_retry));
        let hint = r.cost_hint.map_or(0.0, |h| h.as_secs_f64());
        let own = t.class_latency[r.class] / t.latency; // no number before anything was served
        let mut work = if own > 0.0 { own } else { 1.0 };
        if hint > 0.0 {
            follow(&mut t.hint, hint);
            work = 0.5 + 0.5 * hint / t.hint;
        }
        let work = work.clamp(0.25, 4.0);
        let give_up = r.client_deadline.as_secs_f64();
        let aim = class.latency_objective.as_secs_f64() + class.objective_stretch * hint
            - self.set.timer_tick.as_secs_f64();
        let hold_by = now + aim;
        let aim = if class.late_value_fraction > 0.0 { f64::INFINITY } else { aim };
        let worth_by = if r.body_streaming { give_up } else { give_up.min(now + aim) };
        // Little's law on own in-flight: what is out must still be served within its aim. What is worth least
        // goes first, but not by far: a day is also judged by its worst-served class.
        follow(&mut t.worth, class.priority_weight);
        let slow = (t.latency / (SLOW * self.aims.0)).powi(2).min(1.0);
        let fits = t.served.per_s * self.aims.0 * (1.0 - (1.0 - TIGHT) * t.late * slow);
        let chance = CHANCE.0 + (CHANCE.1 - CHANCE.0) * t.ease;
        let slack = SLACK * self.ready.len() as f64 / f64::from(self.set.gateway_count.max(1));
        let mut room = fits + chance * fits.sqrt() + slack;
        let mut strain = t.late;
        if now - self.listed.1 < STALE_S {
            // Among many a gateway holds one or none: a bound on the mean must leave some room for chance.
            let mean = FULL * t.meant / t.crowd.max(EMPTY) + AHEAD * slack;
            room = room.min((mean + self.many.powi(2) * CHANCE.0 * mean.sqrt()).max(slack));
            strain = strain.max(t.crowd / FULL);
        }
        let hopeless = hint * t.pace > worth_by - now && strain > HOPELESS;
        if hopeless || t.out > room * (class.priority_weight / t.worth).powf(0.25) * r.admission_share {
            return actions.push(Action::Reject { request: r.id, retry_after: self.set.max_retry_after });
        }
        self.spare = (self.spare + COPY_SHARE).min(1.0);
        let mut turn = f64::NEG_INFINITY;
        if let Some(key) = r.key.filter(|_| class.sequential) {
            let turns = self.turns.entry(key).or_default();
            turn = if turns.queue.is_empty() { turns.rested } else { f64::INFINITY };
            turns.queue.push_back(r.id.0);
        }
        let (class, key, attempts) = (r.class, r.key, Vec::new());
        let limits = Limits::of(&self.set);
        let (coming, spent, open) = (r.body_streaming, false, true);
        self.requests.insert(
            r.id.0,
            Request {
                class,
                key,
                work,
                hint,
                worth_by,
                turn,
                coming,
                spent,
                hold_by,
                aim,
                open,
                limits,
                attempts,
            },
        );
        self.with(now, r.id, actions, |me, req, actions| me.advance(now, r.id, req, actions));
    }
}
