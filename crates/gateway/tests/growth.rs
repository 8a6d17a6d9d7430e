//! What a gateway needs as the list of endpoints grows sixteenfold while its own traffic stays the same, held against the operators'
//! table. Processor time counts with optimisation only: `cargo test --release --test growth -- --nocapture`.

use serde_json::{json, Value};
use std::thread::sleep;
use std::time::{Duration, Instant};
use weldworks_testbed::scripted::{
    config, wait_for, Gateway, Program, Reply, ScriptedDiscovery, ScriptedEndpoint,
};

const PROGRAM: Program =
    Program { path: env!("CARGO_BIN_EXE_weldworks-gateway"), folder: env!("CARGO_TARGET_TMPDIR") };

/// The usual number of endpoints, and the most.
const USUAL: usize = 200;
const MOST: usize = 3200;
/// How long clients ask, and how often.
const LASTS: Duration = Duration::from_secs(12);
const EVERY: Duration = Duration::from_millis(40);
/// Endpoints change this often, a few at a time.
const CHANGES_EVERY: Duration = Duration::from_millis(500);

/// What a gateway has needed.
#[derive(Clone, Copy, Debug)]
struct Needs {
    cpu_s: f64,
    memory_mb: f64,
    descriptors: usize,
    connections: usize,
    served: usize,
}

fn entries(host: &ScriptedEndpoint, hosts: usize) -> Vec<Value> {
    (0..hosts).map(|n| host.entry(&format!("s-{n:08x}"), n as u32 / 4)).collect()
}

/// Plays the same traffic with so many endpoints; they all are one stand-in.
fn play(hosts: usize) -> Needs {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let listed = entries(&host, hosts);
    let mut config = config(&discovery.address.to_string(), 1024, &listed);
    config["settings"]["policy_limits"]["keepalive_s"] = 10.0.into();
    config["settings"]["fleet_size"] = 300.into();
    let gateway = Gateway::start_with(&PROGRAM, &format!("growth-{hosts}"), &discovery, &config);
    discovery.push(json!({ "index": 100, "snapshot": true, "endpoints": listed }));
    wait_for("a host", || gateway.ask("look").status() == 200);
    let (begun, mut changed, mut served, mut descriptors) = (Instant::now(), Instant::now(), 0, 0);
    let mut clients: Vec<_> = (0..4).map(|_| gateway.connect()).collect();
    for round in 0.. {
        sleep((EVERY * round).saturating_sub(begun.elapsed()));
        if begun.elapsed() >= LASTS {
            break;
        }
        served += usize::from(clients[round as usize % 4].ask("look").status() == 200);
        descriptors = descriptors.max(gateway.descriptors());
        if changed.elapsed() >= CHANGES_EVERY {
            changed = Instant::now();
            let some = listed.iter().skip(round as usize % hosts).take(3).cloned().collect::<Vec<_>>();
            discovery.push(json!({ "index": 101 + round, "snapshot": false, "endpoints": some }));
        }
    }
    let (cpu_s, memory_mb) = (gateway.cpu().as_secs_f64(), gateway.peak_memory() as f64 / 1024.0);
    Needs { cpu_s, memory_mb, descriptors, connections: host.connections(), served }
}

#[test]
fn a_sixteenfold_list_costs_no_more_than_the_operators_allow() {
    let (usual, most) = (play(USUAL), play(MOST));
    println!("{USUAL} endpoints: {usual:?}\n{MOST} endpoints: {most:?}");
    let thousands = MOST as f64 / 1000.0;
    let memory = 1.5 * usual.memory_mb + 8.0 + 4.0 * thousands;
    assert!(most.memory_mb <= memory, "{} MB of {memory}", most.memory_mb);
    assert!(most.descriptors <= 2 * usual.descriptors + 40, "{} descriptors", most.descriptors);
    let connections = 2.5 * usual.connections as f64 + 40.0;
    assert!(most.connections as f64 <= connections, "{} connections of {connections}", most.connections);
    assert!(most.served as f64 >= 0.85 * usual.served as f64, "{} of {} served", most.served, usual.served);
    if !cfg!(debug_assertions) {
        let cpu = 1.4 * usual.cpu_s + 0.02 + 0.03 * thousands;
        assert!(most.cpu_s <= cpu, "{} s of processor time of {cpu}", most.cpu_s);
    }
}
