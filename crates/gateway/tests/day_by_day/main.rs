//! What staff do to a running gateway, and what large and slow clients and hosts do to it: the built program on loopback
//! sockets. No verdict hangs on how fast the machine is.

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use weldworks_testbed::large_bodies::{send_request, Framing, LargeBody, LargeBodyEndpoint};
use weldworks_testbed::scripted::{
    config, refusing, request, wait_for, write_config, Gateway, Program, Reply, ScriptedDiscovery,
    ScriptedEndpoint, LONG,
};

mod bodies;
mod settings;
mod staff;
mod upgrade;

const PROGRAM: Program =
    Program { path: env!("CARGO_BIN_EXE_weldworks-gateway"), folder: env!("CARGO_TARGET_TMPDIR") };

fn managed(discovery: &ScriptedDiscovery, hosts: &[Value]) -> Value {
    let mut config = config(&discovery.address.to_string(), 256, hosts);
    config["management"] = "127.0.0.1:0".into();
    config
}

fn start(name: &str, hosts: &[Value]) -> (Gateway, ScriptedDiscovery) {
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start_with(&PROGRAM, name, &discovery, &managed(&discovery, hosts));
    (gateway, discovery)
}

/// One host under many names: the module lets in as many requests at a time as there are hosts.
fn crowd(entry: impl Fn(&str) -> Value) -> Vec<Value> {
    many(30, entry)
}

/// The same under so many names.
fn many(names: usize, entry: impl Fn(&str) -> Value) -> Vec<Value> {
    (0..names).map(|n| entry(&format!("s-{n}"))).collect()
}

fn health(gateway: &Gateway) -> u16 {
    let mut client = gateway.connect();
    client.write(b"GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n");
    client.read().expect("an answer").status()
}

/// Waits for the other side to end the connection.
fn ended(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest); // a reset is an end too
}
