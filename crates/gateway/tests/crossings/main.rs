//! Two events that cross, forced on the built program over loopback sockets: peers that stop at a stated step and go on when told.
//! No verdict hangs on how fast the machine is. The table of crossings is docs/design/crossings.md.

use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use weldworks_testbed::scripted::{
    config, entry, request, wait_for, write_config, Client, Gateway, Program, Reply, ScriptedDiscovery,
    ScriptedEndpoint, LONG,
};

mod closing;
mod crowded;
mod leaving;
mod once;
mod short_reads;
mod staying;
mod stopping;
mod unread;
mod watching;

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
fn crowd(host: &ScriptedEndpoint) -> Vec<Value> {
    (0..30).map(|n| host.entry(&format!("s-{n}"), 1)).collect()
}

fn whole(index: u64, hosts: &[Value]) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": hosts})
}

/// Waits until so many requests are taken and not ended.
fn held(gateway: &Gateway, requests: u64) {
    wait_for("the requests that are held", || gateway.metric("router_current") == Some(requests));
}

/// A peer that hears one request on each connection, does with it what it is told, and counts them.
struct Agent {
    address: String,
    calls: Arc<AtomicUsize>,
}

impl Agent {
    fn start(treat: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (calls, treat) = (Arc::<AtomicUsize>::default(), Arc::new(treat));
        let counted = calls.clone();
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (counted, treat) = (counted.clone(), treat.clone());
                spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    if weldworks_testbed::scripted::HttpMessage::read(&mut reader).is_none() {
                        return;
                    }
                    let call = counted.fetch_add(1, Ordering::SeqCst);
                    let _ = stream.flush();
                    treat(call, stream);
                });
            }
        });
        Agent { address, calls }
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// Holds the connection until the other side ends it.
fn hold(mut stream: TcpStream) {
    let _ = stream.read_to_end(&mut Vec::new());
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n", text.len()).as_bytes())?;
    stream.write_all(&[text, b"\r\n"].concat())
}
