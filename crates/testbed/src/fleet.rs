//! The nodes of a script, built by the seed: the same ones in virtual time and on sockets.

use crate::checker::{Checker, ClassTerms};
use crate::draws::{Draws, For};
use crate::model::{Memories, Node, NodeSpec, Repeats, Report, ReportSpec};
use crate::register::Deed;
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

fn spec(script: &Script, draws: Draws, node: usize, kind: usize) -> NodeSpec {
    let kind = &script.fleet.kinds[kind];
    let mut build = draws.stream(For::Build, node as u64);
    let time = |range: (Duration, Duration), part: f64| range.0 + (range.1 - range.0).mul_f64(part);
    let speed = build.within(kind.speed);
    let period = time(kind.report_every, build.even());
    let late = time(kind.report_late, build.even());
    let noise = kind.spec.report.noise;
    let mean_work = script.mean_work();
    NodeSpec { speed, report: ReportSpec { period, late, noise }, mean_work, ..kind.spec.clone() }
}

/// All nodes, up and warm.
pub fn nodes(script: &Script, draws: Draws) -> Vec<Node> {
    let kinds = kinds(script);
    let all = Rc::<RefCell<Repeats>>::default();
    let mut zones: Vec<Rc<RefCell<Repeats>>> = Vec::new();
    let mut racks: Vec<Rc<RefCell<Repeats>>> = Vec::new();
    let shared = |memories: &mut Vec<Rc<RefCell<Repeats>>>, number: usize| {
        if memories.len() <= number {
            memories.resize_with(number + 1, Rc::default);
        }
        memories[number].clone()
    };
    let node = |n: usize| {
        let zone = shared(&mut zones, script.zone_of(n));
        let rack = shared(&mut racks, script.rack_of(n));
        let memories = Memories { all: all.clone(), zone, rack };
        Node::new(n as u64, spec(script, draws, n, kinds[n]), draws, memories, Duration::ZERO)
    };
    (0..script.fleet.nodes).map(node).collect()
}

/// Has a deed of the script done to a node.
pub fn carry_out(node: &mut Node, now: Duration, deed: Deed) {
    match deed {
        Deed::Kill => node.kill(now),
        Deed::CutOff => node.cut_off(now),
        Deed::Start => node.start_cold(now),
        Deed::Drain(on) => node.drain(now, on),
        Deed::Fail(share) => node.fail(now, share),
        Deed::Neighbour(share) => node.share_with_neighbour(now, share),
        Deed::Slow(times) => node.slow_down(now, times),
        Deed::Report(says) => node.report_always(now, says.map(|(qps, inflight)| Report { qps, inflight })),
        Deed::Pause(lasts) => node.pause(now, lasts),
        Deed::LetGo(limit) => node.let_go_after(now, limit),
    }
}

/// An empty ledger for a script.
pub fn ledger(script: &Script) -> Checker {
    let terms = |c: &crate::script::Class| ClassTerms {
        latency_objective: c.latency_objective,
        idempotency: c.idempotency,
    };
    let groups = (0..script.fleet.nodes).map(|n| (script.zone_of(n), script.rack_of(n))).collect();
    Checker::new(script.classes.iter().map(terms).collect(), groups)
}
