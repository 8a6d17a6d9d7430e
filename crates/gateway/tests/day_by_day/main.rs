//! Administrators' calls to a running gateway, and large and slow clients and endpoints: the built program on loopback sockets.
//! No test result depends on the speed of the machine.

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use weldworks_testbed::large_bodies::{send_request, Framing, LargeBody, LargeBodyEndpoint};
use weldworks_testbed::run_folder::own_run_folder;
use weldworks_testbed::scripted::{
    config, refusing, request, wait_for, write_config, Gateway, Program, Reply, ScriptedDiscovery,
    ScriptedEndpoint, LONG,
};

mod admin_api;
mod bodies;
mod hot_restart;
mod settings;
mod slow_readers;
mod unwritten_responses;

static PROGRAM: LazyLock<Program> = LazyLock::new(|| {
    let folder = own_run_folder(env!("CARGO_TARGET_TMPDIR"));
    Program { path: env!("CARGO_BIN_EXE_weldworks-gateway"), folder }
});

fn config_with_admin_api(discovery: &ScriptedDiscovery, endpoints: &[Value]) -> Value {
    let mut config = config(&discovery.address.to_string(), 256, endpoints);
    config["management"] = "127.0.0.1:0".into();
    config
}

fn start(name: &str, endpoints: &[Value]) -> (Gateway, ScriptedDiscovery) {
    let discovery = ScriptedDiscovery::start();
    let gateway =
        Gateway::start_with(&PROGRAM, name, &discovery, &config_with_admin_api(&discovery, endpoints));
    (gateway, discovery)
}

/// Lists one endpoint under 30 names, as admission admits about as many requests at a time as there are endpoints.
fn listed_thirty_times(entry: impl Fn(&str) -> Value) -> Vec<Value> {
    listed_under_names(30, entry)
}

/// Lists one endpoint under `name_count` names.
fn listed_under_names(name_count: usize, entry: impl Fn(&str) -> Value) -> Vec<Value> {
    (0..name_count).map(|n| entry(&format!("s-{n}"))).collect()
}

fn front_health_status(gateway: &Gateway) -> u16 {
    let mut client = gateway.connect();
    client.write(b"GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n");
    client.read().expect("no answer").status()
}

/// Waits until the other side closes the connection.
fn wait_for_close(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest); // a reset closes the connection too
}
