//! Builds the endpoint models of a script from the seed. The models are identical in virtual time and on sockets.

use crate::checker::{Checker, ClassTerms};
use crate::discovery::EndpointAction;
use crate::model::{EndpointModel, EndpointSpec, RepeatCache, RepeatCaches, Report, ReportSpec};
use crate::random_variates::{Purpose, RandomStreams};
use crate::script::Script;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The kind of each endpoint: the shares of the kinds become counts, and the endpoints of a kind are spread over the zones.
pub fn kinds(script: &Script) -> Vec<usize> {
    let total_share: f64 = script.fleet.kinds.iter().map(|kind| kind.share).sum();
    let mut owed = vec![0.0; script.fleet.kinds.len()];
    let mut kinds = Vec::with_capacity(script.fleet.nodes);
    for _ in 0..script.fleet.nodes {
        for (owed, kind) in owed.iter_mut().zip(&script.fleet.kinds) {
            *owed += kind.share / total_share;
        }
        let most_owed = (0..owed.len())
            .max_by(|&first, &second| owed[first].total_cmp(&owed[second]).then(second.cmp(&first)))
            .unwrap_or(0);
        owed[most_owed] -= 1.0;
        kinds.push(most_owed);
    }
    kinds
}

fn endpoint_spec(script: &Script, draws: RandomStreams, endpoint: usize, kind: usize) -> EndpointSpec {
    let kind = &script.fleet.kinds[kind];
    let mut random = draws.stream(Purpose::EndpointProperties, endpoint as u64);
    let duration_in =
        |range: (Duration, Duration), fraction: f64| range.0 + (range.1 - range.0).mul_f64(fraction);
    let speed = random.uniform_in(kind.speed);
    let period = duration_in(kind.report_every, random.uniform());
    let late = duration_in(kind.report_late, random.uniform());
    let noise = kind.spec.report.noise;
    let mean_work = script.mean_work();
    EndpointSpec { speed, report: ReportSpec { period, late, noise }, mean_work, ..kind.spec.clone() }
}

/// Models of all endpoints, up and warm.
pub fn endpoints(script: &Script, draws: RandomStreams) -> Vec<EndpointModel> {
    let kinds = kinds(script);
    let fleet_repeats = Rc::<RefCell<RepeatCache>>::default();
    let mut zone_repeats: Vec<Rc<RefCell<RepeatCache>>> = Vec::new();
    let mut rack_repeats: Vec<Rc<RefCell<RepeatCache>>> = Vec::new();
    let shared_repeats = |group_repeats: &mut Vec<Rc<RefCell<RepeatCache>>>, number: usize| {
        if group_repeats.len() <= number {
            group_repeats.resize_with(number + 1, Rc::default);
        }
        group_repeats[number].clone()
    };
    let build_endpoint = |number: usize| {
        let zone = shared_repeats(&mut zone_repeats, script.zone_of(number));
        let rack = shared_repeats(&mut rack_repeats, script.rack_of(number));
        let caches = RepeatCaches { all: fleet_repeats.clone(), zone, rack };
        EndpointModel::new(
            number as u64,
            endpoint_spec(script, draws, number, kinds[number]),
            draws,
            caches,
            Duration::ZERO,
        )
    };
    (0..script.fleet.nodes).map(build_endpoint).collect()
}

/// Applies a scripted action to an endpoint.
pub fn apply_to_model(model: &mut EndpointModel, now: Duration, action: EndpointAction) {
    match action {
        EndpointAction::Kill => model.kill(now),
        EndpointAction::CutOff => model.cut_off(now),
        EndpointAction::Start => model.start_cold(now),
        EndpointAction::Drain(enabled) => model.drain(now, enabled),
        EndpointAction::Fail(fraction) => model.set_failure_share(now, fraction),
        EndpointAction::Neighbour(fraction) => model.set_neighbour_share(now, fraction),
        EndpointAction::Slow(factor) => model.set_slowdown(now, factor),
        EndpointAction::Report(load) => {
            model.override_reports(now, load.map(|(qps, inflight)| Report { qps, inflight }));
        }
        EndpointAction::Pause(duration) => model.pause(now, duration),
        EndpointAction::IdleTimeout(limit) => model.set_idle_timeout(now, limit),
    }
}

/// An empty checker with the script's classes and with the zone and rack of each endpoint.
pub fn empty_checker(script: &Script) -> Checker {
    let terms = |class: &crate::script::Class| ClassTerms {
        latency_objective: class.latency_objective,
        idempotency: class.idempotency,
    };
    let groups = (0..script.fleet.nodes)
        .map(|endpoint| (script.zone_of(endpoint), script.rack_of(endpoint)))
        .collect();
    Checker::new(script.classes.iter().map(terms).collect(), groups)
}
