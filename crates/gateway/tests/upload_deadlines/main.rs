//! Uploads whose final answer is owed by a time, while something hangs in one phase of the upload: the built program on loopback sockets.
//!
//! The stated target: a request has its final answer at most half a second after its time, which counts from its last byte. Trouble at
//! endpoints frees no request of it. The bound leaves alone what is not owed yet: a client that is still writing.

mod clients;
mod endpoints;
mod phases;

use clients::{Framing, Upload, UploadResult};
use endpoints::{start_endpoint, Behaviour, Received, UnreachableEndpoint};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;
use weldworks_testbed::run_folder::own_run_folder;
use weldworks_testbed::scripted::{config, entry, Gateway, Program, ScriptedDiscovery};

static PROGRAM: LazyLock<Program> = LazyLock::new(|| {
    let folder = own_run_folder(env!("CARGO_TARGET_TMPDIR"));
    Program { path: env!("CARGO_BIN_EXE_weldworks-gateway"), folder }
});

/// Time after a request's time within which its final answer must have come.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Number of endpoints in the list.
const ENDPOINT_COUNT: usize = 6;

/// Whether a class runs one request of a key at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyOrder {
    Parallel,
    Sequential,
}

/// The settings that a test varies.
#[derive(Clone, Copy, Debug)]
struct Terms {
    dial_timeout: Duration,
    key_order: KeyOrder,
    /// The gateway's limit of descriptors.
    sockets: usize,
    /// The longest time that a request may have.
    deadline: Duration,
}

const DEFAULT_TERMS: Terms = Terms {
    dial_timeout: Duration::from_millis(100),
    key_order: KeyOrder::Parallel,
    sockets: 256,
    deadline: Duration::from_millis(1200),
};

fn settings(terms: Terms) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "promise_s": terms.deadline.as_secs_f64() / 2.0, "deadline_s": terms.deadline.as_secs_f64(), "effect": effect, "group": "all", "dedup_window_s": 4.0,
            "importance": 1.0, "late_worth": 0.0, "streaming": false, "sequential": terms.key_order == KeyOrder::Sequential})
    };
    let mut settings = weldworks_testbed::scripted::settings();
    settings["classes"] = json!([class("once", "single_shot"), class("pay", "guarded")]);
    settings["policy_limits"]["dial_timeout_s"] = terms.dial_timeout.as_secs_f64().into();
    settings["safety"]["key_rest_s"] = 0.0.into();
    settings
}

/// Starts a gateway with these endpoints.
fn start(name: &str, terms: Terms, endpoints: &[SocketAddr]) -> (Gateway, ScriptedDiscovery) {
    let discovery = ScriptedDiscovery::start();
    let known: Vec<Value> = endpoints
        .iter()
        .enumerate()
        .map(|(index, address)| entry(&format!("s-{index}"), &address.to_string(), 1, "active"))
        .collect();
    let mut config = config(&discovery.address.to_string(), terms.sockets, &known);
    config["settings"] = settings(terms);
    let gateway = Gateway::start_with(&PROGRAM, name, &discovery, &config);
    (gateway, discovery)
}

/// Starts endpoints that all behave alike.
fn start_alike(received: &Received, behaviour: Behaviour) -> Vec<SocketAddr> {
    (0..ENDPOINT_COUNT).map(|_| start_endpoint(received, move || behaviour)).collect()
}

/// Checks that the client got an answer by its time and the slack of the rule.
fn assert_answered_in_time(result: UploadResult, upload: &Upload) {
    assert!(result.was_written, "the client could not write its request: {upload:?} {result:?}");
    assert!(result.status.is_some() && result.late <= MAX_LATENESS, "{upload:?} {result:?}");
}

/// Checks that an upload that was not served had no effect if it was rejected.
fn assert_rejected_without_effect(result: UploadResult, received: &Received, request_id: &str) {
    if result.status == Some(503) {
        assert!(received.of(request_id).is_empty(), "rejected, but an endpoint has the whole request");
    }
}
