//! Two events that cross, forced on the built program over loopback sockets: peers that stop at a stated step and go on when told.
//! No verdict hangs on how fast the machine is. The table of crossings is docs/design/crossings.md.

use ottervane_rig::scripted::{
    config, request, wait_for, write_config, Client, Gateway, Program, Reply, ScriptedNode, ScriptedRegister,
    LONG,
};
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

mod closing;
mod leaving;
mod stopping;
mod watching;

const PROGRAM: Program =
    Program { path: env!("CARGO_BIN_EXE_ottervane-gateway"), folder: env!("CARGO_TARGET_TMPDIR") };

fn managed(discovery: &ScriptedRegister, hosts: &[Value]) -> Value {
    let mut config = config(&discovery.address.to_string(), 256, hosts);
    config["management"] = "127.0.0.1:0".into();
    config
}

fn start(name: &str, hosts: &[Value]) -> (Gateway, ScriptedRegister) {
    let discovery = ScriptedRegister::start();
    let gateway = Gateway::start_with(&PROGRAM, name, &discovery, &managed(&discovery, hosts));
    (gateway, discovery)
}

/// One host under many names: the module lets in as many requests at a time as there are hosts.
fn crowd(host: &ScriptedNode) -> Vec<Value> {
    (0..30).map(|n| host.entry(&format!("s-{n}"), 1)).collect()
}

fn whole(index: u64, hosts: &[Value]) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": hosts})
}

/// Waits until so many requests are taken and not ended.
fn held(gateway: &Gateway, requests: u64) {
    wait_for("the requests that are held", || gateway.figure("router_current") == Some(requests));
}
