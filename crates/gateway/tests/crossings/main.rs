//! Two events that cross, forced on the built program over loopback sockets: stand-ins stop at a defined step and continue on the test's signal.
//! No test result depends on the speed of the machine. docs/design/crossings.md has the table of crossings.

use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use weldworks_testbed::run_folder::own_run_folder;
use weldworks_testbed::scripted::{
    config, entry, request, wait_for, write_config, Client, Gateway, Program, Reply, ScriptedDiscovery,
    ScriptedEndpoint, LONG,
};

mod client_disconnects;
mod connection_closes;
mod descriptor_limits;
mod graceful_shutdown;
mod short_reads;
mod single_processing;
mod stalled_clients;
mod unread_input;
mod watches;

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
fn listed_thirty_times(endpoint: &ScriptedEndpoint) -> Vec<Value> {
    (0..30).map(|n| endpoint.entry(&format!("s-{n}"), 1)).collect()
}

fn snapshot(index: u64, endpoints: &[Value]) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": endpoints})
}

/// Waits until exactly this many requests have been read and have not ended.
fn wait_for_open_requests(gateway: &Gateway, requests: u64) {
    wait_for("the number of open requests", || gateway.metric("router_current") == Some(requests));
}

/// A stand-in for an endpoint or for discovery: reads and counts one request on each connection, then passes the connection to `handle`.
struct StandIn {
    address: String,
    calls: Arc<AtomicUsize>,
}

impl StandIn {
    fn start(handle: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
        let address = listener.local_addr().expect("no local address").to_string();
        let (calls, handle) = (Arc::<AtomicUsize>::default(), Arc::new(handle));
        let counter = calls.clone();
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (counter, handle) = (counter.clone(), handle.clone());
                spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("clone of the stream failed"));
                    if weldworks_testbed::scripted::HttpMessage::read(&mut reader).is_none() {
                        return;
                    }
                    let call = counter.fetch_add(1, Ordering::SeqCst);
                    let _ = stream.flush();
                    handle(call, stream);
                });
            }
        });
        StandIn { address, calls }
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// Keeps the connection open until the other side closes it.
fn hold_until_closed(mut stream: TcpStream) {
    let _ = stream.read_to_end(&mut Vec::new());
}

const CHUNKED_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn write_chunk(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n", text.len()).as_bytes())?;
    stream.write_all(&[text, b"\r\n"].concat())
}
