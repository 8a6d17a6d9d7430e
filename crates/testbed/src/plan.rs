//! The plan of a run: the first attempts of all clients, fixed before the run begins.
//!
//! Arrivals don't wait for answers: new requests arrive however slow a gateway answers earlier ones. Work belongs to the
//! request, so that a retry of a request with much work has as much work, in every run.

use crate::model::Distribution;
use crate::random_variates::{Purpose, RandomStreams};
use crate::script::{Class, Event, FaultKind, Script, Shape, Target, OVER_SHARE_WORTH};
use rand_distr::{Distribution as _, Zipf};
use std::time::Duration;

/// Greatest number of a client's attempts for one request; each request has this many numbers, one for each attempt.
const MAX_CLIENT_ATTEMPTS: u64 = 128;

/// A client's first attempt, as planned.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Index of the request in the plan.
    pub index: usize,
    /// Time at which the client sends the first attempt.
    pub at: Duration,
    /// Zone of the client.
    pub zone: usize,
    /// Class of the request.
    pub class: usize,
    /// Tenant of the request.
    pub tenant: usize,
    /// Subject of the request, if it has one: endpoints process a recently seen subject faster.
    pub subject: Option<u64>,
    /// Work of the request, in seconds on a core of speed 1.
    pub work_s: f64,
    /// Timeout of each of the client's attempts.
    pub attempt_timeout: Duration,
    /// Whether the client honours `Retry-After`.
    pub honours_retry_after: bool,
    /// Whether the client opens a new connection for the request.
    pub new_connection: bool,
    /// Priority weight of the request.
    pub priority_weight: f64,
    /// Whether the request lies within its tenant's share.
    pub in_share: bool,
    /// Idempotency key by which an endpoint recognises repeats of the request.
    pub key: u64,
}

impl PlannedRequest {
    /// Number of one of the client's attempts for this request; `attempt` counts from 0. The number is never 0, and it is the same in
    /// every run with the same seed.
    pub fn number(&self, draws: RandomStreams, attempt: u32) -> u64 {
        draws.number(Purpose::RequestId, self.index as u64 * MAX_CLIENT_ATTEMPTS + u64::from(attempt)) | 1
    }
}

/// Work of an attempt at an endpoint, in seconds: the request's work with the variation of this endpoint.
pub fn attempt_seconds(draws: RandomStreams, class: &Class, planned: &PlannedRequest, endpoint: u64) -> f64 {
    planned.work_s
        * draws
            .stream_for_pair(Purpose::AttemptCost, planned.index as u64, endpoint)
            .log_normal(class.attempt_spread)
}

/// The request rate at a time, as a multiple of the mean rate.
fn shape(script: &Script, at: Duration) -> f64 {
    let (load, time_s) = (&script.load, at.as_secs_f64());
    let shape = match load.shape {
        Shape::Steady => 1.0,
        Shape::Wave => 1.0 + load.swing * (std::f64::consts::TAU * time_s / load.period.as_secs_f64()).sin(),
        Shape::Ramp => 2.0 * time_s / script.lasts.as_secs_f64(),
    };
    let surges = script.events.iter().filter(|event| is_active(event, at));
    surges.fold(
        shape,
        |shape, event| if let FaultKind::Surge { times } = event.fault { shape * times } else { shape },
    )
}

fn is_active(event: &Event, at: Duration) -> bool {
    at >= event.at && event.until().is_none_or(|until| at < until)
}

/// The endpoints that an event affects, by the index of the event in the script.
pub fn affected_endpoints(script: &Script, draws: RandomStreams, event: usize) -> Vec<usize> {
    let all = 0..script.fleet.nodes;
    match &script.events[event].target {
        Target::All => all.collect(),
        Target::Nodes(nodes) => nodes.clone(),
        Target::Zone(zone) => all.filter(|&endpoint| script.zone_of(endpoint) == *zone).collect(),
        Target::Share(share) => {
            let count = (share * script.fleet.nodes as f64).round() as usize;
            let mut drawn: Vec<_> = all
                .map(|endpoint| {
                    (
                        draws
                            .stream_for_pair(Purpose::ScriptedEvent, event as u64, endpoint as u64)
                            .uniform(),
                        endpoint,
                    )
                })
                .collect();
            drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut met: Vec<_> = drawn.into_iter().take(count).map(|(_, endpoint)| endpoint).collect();
            met.sort_unstable();
            met
        }
    }
}

/// All first attempts of a run, in the order of time.
pub fn plan(script: &Script, draws: RandomStreams) -> Vec<PlannedRequest> {
    let mut stream = draws.stream(Purpose::Arrivals, 0);
    // Arrivals are drawn at the run's highest rate and then thinned, so that the shape of the load changes no draw of another request.
    let steps = 2000;
    let peak =
        (0..=steps).map(|step| shape(script, script.lasts * step / steps)).fold(0.0, f64::max).max(1e-9);
    let class_weights: Vec<_> = script.classes.iter().map(|class| class.share).collect();
    let tenant_weights: Vec<_> = script.tenants.iter().map(|tenant| tenant.share * tenant.usage).collect();
    let mut zone_weights = vec![1.0; script.fleet.zones.len()];
    zone_weights[0] += script.load.zone_skew;
    let keys = Zipf::new(script.load.keys.max(1) as f64, script.load.skew).ok();
    let mut buckets: Vec<f64> = (0..script.tenants.len()).map(|tenant| script.quota(tenant)).collect();
    let mut refilled_at = Duration::ZERO;
    let (mut plan, mut time_s) = (Vec::new(), 0.0);
    loop {
        time_s += stream.exponential() / (script.load.rate * peak);
        let at = Duration::from_secs_f64(time_s);
        if at >= script.lasts {
            return plan;
        }
        let kept = stream.uniform() * peak < shape(script, at);
        let (class, tenant) = (stream.weighted_index(&class_weights), stream.weighted_index(&tenant_weights));
        let zone = stream.weighted_index(&zone_weights);
        let subject = keys.as_ref().map(|zipf| zipf.sample(stream.generator()) as u64);
        if !kept {
            continue;
        }
        let index = plan.len();
        let spec = &script.classes[class];
        let mut work = draws.stream(Purpose::RequestWork, index as u64);
        let mut work_s = spec.work.as_secs_f64();
        work_s *= match spec.distribution {
            Distribution::Fixed => 1.0,
            Distribution::Exponential => work.exponential(),
            Distribution::LogNormal => work.log_normal(spec.spread),
        };
        for event in script.events.iter().filter(|event| is_active(event, at)) {
            if let FaultKind::Heavy { class: heavy, part, times } = event.fault {
                let (meant, times) = (work.bernoulli(part), work.uniform_in(times));
                if heavy == class && meant {
                    work_s *= times;
                }
            }
        }
        // A tenant's share is a token bucket: its rate is the quota, and it holds the tokens of one second.
        let elapsed_s = at.saturating_sub(refilled_at).as_secs_f64();
        for (tenant, bucket) in buckets.iter_mut().enumerate() {
            let quota = script.quota(tenant);
            *bucket = (*bucket + elapsed_s * quota).min(quota);
        }
        refilled_at = at;
        let in_share = buckets[tenant] >= 1.0;
        buckets[tenant] -= f64::from(u8::from(in_share));
        let mut habits = draws.stream(Purpose::ClientBehaviour, index as u64);
        let attempt_timeout = spec.deadline.mul_f64(habits.uniform_in(script.clients.timeout_share));
        plan.push(PlannedRequest {
            index,
            at,
            zone,
            class,
            tenant,
            subject: subject.filter(|_| script.load.keys > 0),
            work_s,
            attempt_timeout,
            honours_retry_after: habits.bernoulli(script.clients.retry_after_share),
            new_connection: habits.bernoulli(script.clients.fresh_connections),
            priority_weight: spec.priority_weight
                * if in_share { 1.0 } else { OVER_SHARE_WORTH }
                * if script.load.weight_by_work { work_s / spec.work.as_secs_f64() } else { 1.0 },
            in_share,
            key: habits.number(),
        });
    }
}
