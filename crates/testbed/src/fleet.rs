//! The nodes of a script, built by the seed: the same ones in virtual time and on sockets.

use crate::discovery::EndpointAction;
use crate::draws::{Draws, For};
use crate::ledger::{ClassTerms, Ledger};
use crate::model::{EndpointModel, EndpointSpec, RepeatCache, RepeatCaches, Report, ReportSpec};
use crate::script::Script;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The kind of each node: shares become counts, and the nodes of a kind are spread over the zones.
pub fn kinds(script: &Script) -> Vec<usize> {
    let all: f64 = script.fleet.kinds.iter().map(|k| k.share).sum();
    let mut owed = vec![0.0; script.fleet.kinds.len()];
    let mut kinds = Vec::with_capacity(script.fleet.nodes);
    for _ in 0..script.fleet.nodes {
        for (owed, kind) in owed.iter_mut().zip(&script.fleet.kinds) {
            *owed += kind.share / all;
        }
        let most = (0..owed.len()).max_by(|&a, &b| owed[a].total_cmp(&owed[b]).then(b.cmp(&a))).unwrap_or(0);
        owed[most] -= 1.0;
        kinds.push(most);
    }
    kinds
}

fn spec(script: &Script, draws: Draws, node: usize, kind: usize) -> EndpointSpec {
    let kind = &script.fleet.kinds[kind];
    let mut build = draws.stream(For::Build, node as u64);
    let time = |range: (Duration, Duration), part: f64| range.0 + (range.1 - range.0).mul_f64(part);
    let speed = build.within(kind.speed);
    let period = time(kind.report_every, build.even());
    let late = time(kind.report_late, build.even());
    let noise = kind.spec.report.noise;
    let mean_work = script.mean_work();
    EndpointSpec { speed, report: ReportSpec { period, late, noise }, mean_work, ..kind.spec.clone() }
}

/// All nodes, up and warm.
pub fn nodes(script: &Script, draws: Draws) -> Vec<EndpointModel> {
    let kinds = kinds(script);
    let all = Rc::<RefCell<RepeatCache>>::default();
    let mut zones: Vec<Rc<RefCell<RepeatCache>>> = Vec::new();
    let mut racks: Vec<Rc<RefCell<RepeatCache>>> = Vec::new();
    let shared = |memories: &mut Vec<Rc<RefCell<RepeatCache>>>, number: usize| {
        if memories.len() <= number {
            memories.resize_with(number + 1, Rc::default);
        }
        memories[number].clone()
    };
    let node = |n: usize| {
        let zone = shared(&mut zones, script.zone_of(n));
        let rack = shared(&mut racks, script.rack_of(n));
        let memories = RepeatCaches { all: all.clone(), zone, rack };
        EndpointModel::new(n as u64, spec(script, draws, n, kinds[n]), draws, memories, Duration::ZERO)
    };
    (0..script.fleet.nodes).map(node).collect()
}

/// Has a deed of the script done to a node.
pub fn carry_out(node: &mut EndpointModel, now: Duration, deed: EndpointAction) {
    match deed {
        EndpointAction::Kill => node.kill(now),
        EndpointAction::CutOff => node.cut_off(now),
        EndpointAction::Start => node.start_cold(now),
        EndpointAction::Drain(on) => node.drain(now, on),
        EndpointAction::Fail(share) => node.set_failure_share(now, share),
        EndpointAction::Neighbour(share) => node.set_neighbour_share(now, share),
        EndpointAction::Slow(times) => node.set_slowdown(now, times),
        EndpointAction::Report(says) => {
            node.override_reports(now, says.map(|(qps, inflight)| Report { qps, inflight }));
        }
        EndpointAction::Pause(lasts) => node.pause(now, lasts),
        EndpointAction::IdleTimeout(limit) => node.set_idle_timeout(now, limit),
    }
}

/// An empty ledger for a script.
pub fn ledger(script: &Script) -> Ledger {
    let terms = |c: &crate::script::Class| ClassTerms { aim: c.aim, effect: c.effect };
    let groups = (0..script.fleet.nodes).map(|n| (script.zone_of(n), script.rack_of(n))).collect();
    Ledger::new(script.classes.iter().map(terms).collect(), groups)
}
