//! The whole day's first tries, fixed before it begins.
//!
//! Arrivals don't wait for answers: what a slow gateway leaves unanswered is still asked for. Work belongs to the
//! request, so a retry of a heavy one is as heavy, in every run.

use crate::model::Distribution;
use crate::random_variates::{Purpose, RandomStreams};
use crate::script::{Class, Event, Script, Shape, What, Whom, OVER_SHARE_WORTH};
use rand_distr::{Distribution as _, Zipf};
use std::time::Duration;

/// The most tries of one request, by which their numbers are told apart.
const TRIES: u64 = 128;

/// A first try.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Its place in the day.
    pub place: usize,
    /// When it is asked.
    pub at: Duration,
    /// From which zone.
    pub zone: usize,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// What it is about.
    pub subject: Option<u64>,
    /// Its work, in seconds of a core of speed 1.
    pub seconds: f64,
    /// How long each try is waited for.
    pub patience: Duration,
    /// Its client heeds advice on when to come back.
    pub heeds: bool,
    /// Its client opens a connection for it.
    pub fresh: bool,
    /// What it is worth.
    pub worth: f64,
    /// It lies within its tenant's share.
    pub in_share: bool,
    /// The key by which a node knows its repeats.
    pub key: u64,
}

impl Asked {
    /// The number of a try of it, counted from 0: never 0 itself, and the same in every run of a seed.
    pub fn number(&self, draws: RandomStreams, attempt: u32) -> u64 {
        draws.number(Purpose::RequestId, self.place as u64 * TRIES + u64::from(attempt)) | 1
    }
}

/// The work of one attempt at a node: what the request costs, a little more or less there.
pub fn attempt_seconds(draws: RandomStreams, class: &Class, asked: &Asked, node: u64) -> f64 {
    asked.seconds
        * draws
            .stream_for_pair(Purpose::AttemptCost, asked.place as u64, node)
            .log_normal(class.attempt_spread)
}

/// The load at a time, as a multiple of the mean.
fn shape(script: &Script, at: Duration) -> f64 {
    let (load, t) = (&script.load, at.as_secs_f64());
    let shape = match load.shape {
        Shape::Steady => 1.0,
        Shape::Wave => 1.0 + load.swing * (std::f64::consts::TAU * t / load.period.as_secs_f64()).sin(),
        Shape::Ramp => 2.0 * t / script.lasts.as_secs_f64(),
    };
    let surges = script.events.iter().filter(|e| is_on(e, at));
    surges.fold(shape, |shape, e| if let What::Surge { times } = e.what { shape * times } else { shape })
}

fn is_on(event: &Event, at: Duration) -> bool {
    at >= event.at && event.until().is_none_or(|until| at < until)
}

/// The nodes that an event meets.
pub fn met(script: &Script, draws: RandomStreams, event: usize) -> Vec<usize> {
    let all = 0..script.fleet.nodes;
    match &script.events[event].whom {
        Whom::All => all.collect(),
        Whom::Nodes(nodes) => nodes.clone(),
        Whom::Zone(zone) => all.filter(|&n| script.zone_of(n) == *zone).collect(),
        Whom::Share(share) => {
            let count = (share * script.fleet.nodes as f64).round() as usize;
            let mut drawn: Vec<_> = all
                .map(|n| (draws.stream_for_pair(Purpose::ScriptedEvent, event as u64, n as u64).uniform(), n))
                .collect();
            drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut met: Vec<_> = drawn.into_iter().take(count).map(|(_, n)| n).collect();
            met.sort_unstable();
            met
        }
    }
}

/// All first tries of the day, in order.
pub fn plan(script: &Script, draws: RandomStreams) -> Vec<Asked> {
    let mut stream = draws.stream(Purpose::Arrivals, 0);
    // Arrivals are thinned from the highest rate of the day, so that its shape moves none of the others' draws.
    let steps = 2000;
    let peak = (0..=steps).map(|n| shape(script, script.lasts * n / steps)).fold(0.0, f64::max).max(1e-9);
    let class_weights: Vec<_> = script.classes.iter().map(|c| c.share).collect();
    let tenant_weights: Vec<_> = script.tenants.iter().map(|t| t.share * t.usage).collect();
    let mut zone_weights = vec![1.0; script.fleet.zones.len()];
    zone_weights[0] += script.load.zone_skew;
    let keys = Zipf::new(script.load.keys.max(1) as f64, script.load.skew).ok();
    let mut buckets: Vec<f64> = (0..script.tenants.len()).map(|t| script.quota(t)).collect();
    let mut filled = Duration::ZERO;
    let (mut day, mut t) = (Vec::new(), 0.0);
    loop {
        t += stream.exponential() / (script.load.rate * peak);
        let at = Duration::from_secs_f64(t);
        if at >= script.lasts {
            return day;
        }
        let kept = stream.uniform() * peak < shape(script, at);
        let (class, tenant) = (stream.weighted_index(&class_weights), stream.weighted_index(&tenant_weights));
        let zone = stream.weighted_index(&zone_weights);
        let subject = keys.as_ref().map(|zipf| zipf.sample(stream.generator()) as u64);
        if !kept {
            continue;
        }
        let place = day.len();
        let spec = &script.classes[class];
        let mut work = draws.stream(Purpose::RequestWork, place as u64);
        let mut seconds = spec.work.as_secs_f64();
        seconds *= match spec.distribution {
            Distribution::Fixed => 1.0,
            Distribution::Exponential => work.exponential(),
            Distribution::LogNormal => work.log_normal(spec.spread),
        };
        for event in script.events.iter().filter(|e| is_on(e, at)) {
            if let What::Heavy { class: heavy, part, times } = event.what {
                let (meant, times) = (work.bernoulli(part), work.uniform_in(times));
                if heavy == class && meant {
                    seconds *= times;
                }
            }
        }
        // A tenant's share is a rate that may be saved up for a second.
        let passed = at.saturating_sub(filled).as_secs_f64();
        for (t, bucket) in buckets.iter_mut().enumerate() {
            let quota = script.quota(t);
            *bucket = (*bucket + passed * quota).min(quota);
        }
        filled = at;
        let in_share = buckets[tenant] >= 1.0;
        buckets[tenant] -= f64::from(u8::from(in_share));
        let mut habits = draws.stream(Purpose::ClientBehaviour, place as u64);
        let patience = spec.deadline.mul_f64(habits.uniform_in(script.clients.try_share));
        day.push(Asked {
            place,
            at,
            zone,
            class,
            tenant,
            subject: subject.filter(|_| script.load.keys > 0),
            seconds,
            patience,
            heeds: habits.bernoulli(script.clients.heed),
            fresh: habits.bernoulli(script.clients.fresh_connections),
            worth: spec.worth
                * if in_share { 1.0 } else { OVER_SHARE_WORTH }
                * if script.load.worth_by_work { seconds / spec.work.as_secs_f64() } else { 1.0 },
            in_share,
            key: habits.number(),
        });
    }
}
