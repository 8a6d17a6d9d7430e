//! Checks a gateway's resource use against the operators' table while the list of endpoints grows sixteenfold and its own traffic is unchanged.
//! Processor time is checked in optimised builds only: `cargo test --release --test growth -- --nocapture`.

use serde_json::{json, Value};
use std::sync::LazyLock;
use std::thread::sleep;
use std::time::{Duration, Instant};
use weldworks_testbed::run_folder::own_run_folder;
use weldworks_testbed::scripted::{
    config, wait_for, Gateway, Program, Reply, ScriptedDiscovery, ScriptedEndpoint,
};

static PROGRAM: LazyLock<Program> = LazyLock::new(|| {
    let folder = own_run_folder(env!("CARGO_TARGET_TMPDIR"));
    Program { path: env!("CARGO_BIN_EXE_weldworks-gateway"), folder }
});

/// The usual number of listed endpoints.
const USUAL_ENDPOINTS: usize = 200;
const MAX_ENDPOINTS: usize = 3200;
/// How long clients send requests in each measurement.
const RUN_TIME: Duration = Duration::from_secs(12);
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between two deltas, each with 3 endpoints.
const LIST_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Resource use of a gateway over one measurement.
#[derive(Clone, Copy, Debug)]
struct ResourceUse {
    cpu_s: f64,
    memory_mb: f64,
    descriptors: usize,
    connections: usize,
    served: usize,
}

fn entries(endpoint: &ScriptedEndpoint, endpoint_count: usize) -> Vec<Value> {
    (0..endpoint_count).map(|n| endpoint.entry(&format!("s-{n:08x}"), n as u32 / 4)).collect()
}

/// Runs the same traffic with `endpoint_count` listed endpoints, which are all one stand-in endpoint.
fn measure(endpoint_count: usize) -> ResourceUse {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let listed = entries(&endpoint, endpoint_count);
    let mut config = config(&discovery.address.to_string(), 1024, &listed);
    config["settings"]["policy_limits"]["keepalive_s"] = 10.0.into();
    config["settings"]["fleet_size"] = 300.into();
    let gateway = Gateway::start_with(&PROGRAM, &format!("growth-{endpoint_count}"), &discovery, &config);
    discovery.push(json!({ "index": 100, "snapshot": true, "endpoints": listed }));
    wait_for("an endpoint", || gateway.request("look").status() == 200);
    let (started_at, mut changed_at, mut served, mut descriptors) = (Instant::now(), Instant::now(), 0, 0);
    let mut clients: Vec<_> = (0..4).map(|_| gateway.connect()).collect();
    for round in 0.. {
        sleep((REQUEST_INTERVAL * round).saturating_sub(started_at.elapsed()));
        if started_at.elapsed() >= RUN_TIME {
            break;
        }
        served += usize::from(clients[round as usize % 4].request("look").status() == 200);
        descriptors = descriptors.max(gateway.descriptors());
        if changed_at.elapsed() >= LIST_CHANGE_INTERVAL {
            changed_at = Instant::now();
            let changed_entries =
                listed.iter().skip(round as usize % endpoint_count).take(3).cloned().collect::<Vec<_>>();
            discovery.push(json!({ "index": 101 + round, "snapshot": false, "endpoints": changed_entries }));
        }
    }
    let (cpu_s, memory_mb) = (gateway.cpu().as_secs_f64(), gateway.peak_memory() as f64 / 1024.0);
    ResourceUse { cpu_s, memory_mb, descriptors, connections: endpoint.connections(), served }
}

#[test]
fn resource_use_with_a_sixteenfold_list_stays_within_the_operators_limits() {
    let (usual, at_max) = (measure(USUAL_ENDPOINTS), measure(MAX_ENDPOINTS));
    println!("{USUAL_ENDPOINTS} endpoints: {usual:?}\n{MAX_ENDPOINTS} endpoints: {at_max:?}");
    let thousands = MAX_ENDPOINTS as f64 / 1000.0;
    let memory = 1.5 * usual.memory_mb + 8.0 + 4.0 * thousands;
    assert!(at_max.memory_mb <= memory, "{} MB; the limit is {memory} MB", at_max.memory_mb);
    assert!(at_max.descriptors <= 2 * usual.descriptors + 40, "{} descriptors", at_max.descriptors);
    let connections = 2.5 * usual.connections as f64 + 40.0;
    assert!(
        at_max.connections as f64 <= connections,
        "{} connections; the limit is {connections}",
        at_max.connections
    );
    assert!(
        at_max.served as f64 >= 0.85 * usual.served as f64,
        "{} of {} served",
        at_max.served,
        usual.served
    );
    if !cfg!(debug_assertions) {
        let cpu = 1.4 * usual.cpu_s + 0.02 + 0.03 * thousands;
        assert!(at_max.cpu_s <= cpu, "{} s of processor time; the limit is {cpu} s", at_max.cpu_s);
    }
}
