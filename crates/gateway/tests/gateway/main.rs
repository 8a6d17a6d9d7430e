//! The built gateway on loopback sockets, with endpoints and a discovery that fail on purpose.
//! Each test guards against one failure; no test depends on the speed of the machine.

use serde_json::{json, Value};
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread::sleep;
use std::time::{Duration, Instant};
use weldworks_testbed::run_folder::own_run_folder;
use weldworks_testbed::scripted::{
    config, entry, refusing, request, settings, spawn_gateway, wait_for, write_config, Client, Gateway,
    HttpMessage, Program, Reply, ScriptedDiscovery, ScriptedEndpoint,
};

static PROGRAM: LazyLock<Program> = LazyLock::new(|| {
    let folder = own_run_folder(env!("CARGO_TARGET_TMPDIR"));
    Program { path: env!("CARGO_BIN_EXE_weldworks-gateway"), folder }
});

/// Clients that fill the gateway's client capacity with requests waiting for an endpoint, as no endpoint is listed.
fn fill_client_capacity(gateway: &Gateway) -> Vec<Client> {
    hold_clients(gateway, CLIENT_CAPACITY_AT_48_DESCRIPTORS)
}

fn hold_clients(gateway: &Gateway, client_count: usize) -> Vec<Client> {
    let mut open_clients: Vec<_> = (0..client_count).map(|_| gateway.connect()).collect();
    for client in &mut open_clients {
        let text = request("once").replace("\r\n\r\nbody", "\r\nExpect: 100-continue\r\n\r\n");
        client.write(text.as_bytes());
        assert_eq!(client.read().expect("no 100 Continue").status(), 100);
        client.write(b"body");
    }
    open_clients
}

/// Number of client connections that the gateway accepts with a limit of 48 descriptors.
const CLIENT_CAPACITY_AT_48_DESCRIPTORS: usize = 14;
/// Number of client connections that the gateway accepts beyond its client capacity, to answer 503, with a limit of 48 descriptors.
const OVERFLOW_CLIENTS_AT_48_DESCRIPTORS: usize = 4;

fn start(name: &str, endpoints: &[Value]) -> (Gateway, ScriptedDiscovery) {
    let discovery = ScriptedDiscovery::start();
    (Gateway::start(&PROGRAM, name, &discovery, 1024, endpoints), discovery)
}

/// Endpoints in these cells: the first attempt on any of the endpoints gets `reply`, all further attempts are served.
fn endpoints_with_first_reply(reply: Reply, cells: &[u32]) -> Vec<ScriptedEndpoint> {
    let first = Arc::new(AtomicBool::new(true));
    let endpoint = |_| {
        let (first, reply) = (first.clone(), reply.clone());
        ScriptedEndpoint::start(move |_| {
            if first.swap(false, Ordering::SeqCst) {
                reply.clone()
            } else {
                Reply::ok("ok")
            }
        })
    };
    cells.iter().map(endpoint).collect()
}

fn entries(endpoints: &[ScriptedEndpoint], cells: &[u32]) -> Vec<Value> {
    (0..)
        .zip(endpoints)
        .zip(cells)
        .map(|((n, h), &cell): ((u32, _), _)| h.entry(&format!("s-{n}"), cell))
        .collect()
}

/// Lists one endpoint under 30 names, as admission admits about as many requests at a time as there are endpoints.
fn listed_thirty_times(endpoint: &ScriptedEndpoint) -> Vec<Value> {
    (0..30).map(|n| endpoint.entry(&format!("s-{n}"), 1)).collect()
}

fn total_requests(endpoints: &[ScriptedEndpoint]) -> usize {
    endpoints.iter().map(ScriptedEndpoint::count).sum()
}

#[test]
fn serves_the_answer_of_the_endpoint() {
    let endpoint =
        ScriptedEndpoint::start(|r| Reply::Answer(200, "X-Kind: fine\r\n", [b"re: ", &r.body[..]].concat()));
    let (gateway, _discovery) = start("served", &[endpoint.entry("s-1", 1)]);
    let mut client = gateway.connect();
    for round in 1..=3 {
        let answer = client.request("once");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"re: body"[..]));
        assert_eq!(answer.header("x-kind"), Some("fine"));
        assert_eq!(endpoint.count(), round);
    }
    gateway.request("pay");
    let seen = endpoint.seen.lock().expect("lock poisoned").pop().expect("no request received");
    assert_eq!(seen.first, "POST /pay HTTP/1.1");
    assert_eq!(seen.header("x-request-id").map(str::len), Some(16));
    assert!(seen.header("idempotency-key").is_some_and(|k| k.starts_with("key-")));
    let timeout_us = seen.header("x-timeout").and_then(|t| t.strip_suffix('u')).and_then(|t| t.parse().ok());
    assert!(
        timeout_us.is_some_and(|us: u64| us > 0 && us < 40_000_000),
        "{timeout_us:?}: not within the time left"
    );
}

#[test]
fn rejects_unprocessed_request_with_retry_after() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()));
    let (gateway, _discovery) = start("refused", &[endpoint.entry("s-1", 1)]);
    let answer = gateway.request("brief-once");
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").and_then(|s| s.parse().ok()).expect("no valid Retry-After");
    assert!(after > 0.0 && after <= 1.2, "{after} is not within the settings' limit");
    assert_eq!(endpoint.count(), 1);
}

#[test]
fn fails_possibly_processed_request() {
    // A 503 without `X-Not-Processed` does not prove that the request was not processed.
    for (name, status) in [("failed-500", 500), ("failed-503", 503), ("failed-404", 404)] {
        let endpoints = endpoints_with_first_reply(Reply::Answer(status, "", Vec::new()), &[1, 1]);
        let (gateway, _discovery) = start(name, &entries(&endpoints, &[1, 1]));
        assert_eq!(gateway.request("once").status(), 502);
        assert_eq!(total_requests(&endpoints), 1);
    }
}

#[test]
fn retries_on_another_endpoint_after_a_refused_connection() {
    let (_refusing_socket, refusing_address) = refusing();
    let (gateway, discovery) = start("no-connection", &[entry("s-1", &refusing_address, 1, "active")]);
    let mut client = gateway.connect();
    client.send("once");
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [endpoint.entry("s-2", 1)]}));
    assert_eq!(client.read().expect("no answer").status(), 200);
    assert_eq!(endpoint.count(), 1);
}

#[test]
fn retries_safe_request() {
    for (name, reply) in [("safe-break", Reply::Break), ("safe-half", Reply::Half)] {
        let endpoints = endpoints_with_first_reply(reply, &[1, 2]);
        let (gateway, _discovery) = start(name, &entries(&endpoints, &[1, 2]));
        let answer = gateway.request("look");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"ok"[..]));
        assert_eq!(total_requests(&endpoints), 2);
    }
}

#[test]
fn retries_safe_request_when_many_connections_break() {
    let breaks = Arc::new(AtomicBool::new(false));
    let endpoint = |_| {
        let breaks = breaks.clone();
        ScriptedEndpoint::start(move |_| match breaks.fetch_xor(true, Ordering::SeqCst) {
            false => Reply::Break,
            true => Reply::ok("ok"),
        })
    };
    let endpoints: Vec<_> = (0..3).map(endpoint).collect();
    let (gateway, _discovery) = start("many-breaks", &entries(&endpoints, &[1, 1, 1]));
    for round in 0..5 {
        assert_eq!(
            gateway.request("look").status(),
            200,
            "request {round}: the retry after the broken attempt failed"
        );
    }
    assert_eq!(total_requests(&endpoints), 10);
}

#[test]
fn ends_attempt_on_malformed_answer_long_before_its_timeout() {
    let malformed_answers = [
        "\u{1}\u{2}noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Endless: ",
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nlong",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort",
    ];
    for (n, text) in malformed_answers.into_iter().enumerate() {
        // A possibly processed request may be sent again only where its class allows it.
        for (class, status, attempts) in [("look", 200, 2), ("once", 502, 1)] {
            let endpoints = endpoints_with_first_reply(Reply::Raw(vec![text.to_owned()]), &[1, 1]);
            let (gateway, _discovery) = start(&format!("spoilt-{n}-{class}"), &entries(&endpoints, &[1, 1]));
            let sent_at = Instant::now();
            assert_eq!(gateway.request(class).status(), status, "{class}: {text}");
            assert_eq!(total_requests(&endpoints), attempts, "{class}: {text}");
            assert!(sent_at.elapsed() < Duration::from_secs(15), "{class}: waited for the rest of {text}");
        }
    }
}

#[test]
fn waits_for_the_final_answer_after_a_1xx() {
    let early = "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n".to_owned();
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate".to_owned();
    let endpoint = ScriptedEndpoint::start(move |_| Reply::Raw(vec![early.clone(), answer.clone()]));
    let (gateway, _discovery) = start("early", &[endpoint.entry("s-1", 1)]);
    let answer = gateway.request("once");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"late"[..]));
}

#[test]
fn bytes_after_an_answer_are_not_taken_as_the_next_answer() {
    let good = |r: &HttpMessage, ahead: &str, extra: &str| {
        let id = r.header("x-request-id").expect("no X-Request-ID");
        format!("{ahead}HTTP/1.1 200 OK\r\n{extra}Content-Length: {}\r\n\r\n{id}", id.len())
    };
    // Extra bytes after the answer: a copy right behind it, a copy just after the connection became idle, and noise.
    let answers_with_extra_bytes: [fn(String) -> Vec<String>; 3] = [
        |answer| vec![format!("{answer}{answer}")],
        |answer| vec![answer.clone(), answer],
        |answer| vec![format!("{answer}\r\nnoise")],
    ];
    for (n, more) in answers_with_extra_bytes.into_iter().enumerate() {
        let report = "X-Server-Load: =,;inflight=many, qps\r\n";
        let endpoint = ScriptedEndpoint::start(move |r| {
            Reply::Raw(more(good(r, "HTTP/1.1 102 Processing\r\nX-Early: 1\r\n\r\n", report)))
        });
        let (gateway, _discovery) = start(&format!("behind-{n}"), &[endpoint.entry("s-1", 1)]);
        let mut client = gateway.connect();
        for round in 0..6 {
            let text = request("look");
            client.write(text.as_bytes());
            let answer = client.read().expect("no answer");
            assert_eq!(answer.status(), 200, "{n}, {round}");
            assert!(text.contains(&String::from_utf8_lossy(&answer.body).into_owned()), "{n}, {round}");
            wait_for("the endpoint to write all", || endpoint.raw.load(Ordering::SeqCst) == round + 1);
        }
    }
}

#[test]
fn retries_keyed_request_only_within_its_key_scope() {
    let cells = [1, 1, 2, 2];
    let endpoints = endpoints_with_first_reply(Reply::Break, &cells);
    let (gateway, _discovery) = start("keyed", &entries(&endpoints, &cells));
    assert_eq!(gateway.request("book").status(), 200);
    let cells: Vec<u32> =
        endpoints.iter().zip(cells).filter(|(h, _)| h.count() > 0).map(|(_, c)| c).collect();
    assert!(cells == [1, 1] || cells == [2, 2], "sent to cells {cells:?}");

    // A keyed request without another endpoint in its key scope fails: a rejection would claim that the request was not processed.
    let endpoints = endpoints_with_first_reply(Reply::Break, &[1, 2]);
    let (gateway, _discovery) = start("keyed-alone", &entries(&endpoints, &[1, 2]));
    let mut client = gateway.connect();
    client.write(request("book").replace("40000m", "900m").as_bytes());
    let status = client.read().expect("no answer").status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    assert_eq!(total_requests(&endpoints), 1);
}

#[test]
fn never_retries_an_unsafe_request() {
    for (name, reply) in [("unsafe-break", Reply::Break), ("unsafe-half", Reply::Half)] {
        let endpoints = endpoints_with_first_reply(reply, &[1, 1]);
        let (gateway, _discovery) = start(name, &entries(&endpoints, &[1, 1]));
        assert_eq!(gateway.request("once").status(), 502);
        assert_eq!(total_requests(&endpoints), 1);
    }
}

#[test]
fn answers_at_the_deadline_and_disconnects_from_the_endpoint() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
    let (gateway, _discovery) = start("time-out", &[endpoint.entry("s-1", 1)]);
    assert_eq!(gateway.request("brief").status(), 503);
    assert_eq!(gateway.request("brief-once").status(), 504);
    // The gateway's own deadline timer: the latency objective of this class is far off, but the client's timeout is 1.5 s.
    let mut client = gateway.connect();
    let sent_at = Instant::now();
    client.write(request("once").replace("40000m", "1500000u").as_bytes());
    assert_eq!(client.read().expect("no answer").status(), 504);
    assert!(sent_at.elapsed() < Duration::from_secs(20));
    wait_for("the connection to the endpoint to be closed", || endpoint.left.load(Ordering::SeqCst) == 3);
}

#[test]
fn deadline_includes_the_time_before_the_request_is_read() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("stalled", &[endpoint.entry("s-1", 1)]);
    let mut client = gateway.connect();
    assert_eq!(client.request("look").status(), 200);
    gateway.signal("STOP");
    client.write(request("look").replace("40000m", "1000m").as_bytes());
    sleep(Duration::from_millis(2000));
    gateway.signal("CONT");
    assert_eq!(client.read().expect("no answer").status(), 504);
    assert_eq!(endpoint.count(), 1, "sent after the client's deadline");
}

#[test]
fn deadline_includes_the_time_behind_a_pipelined_request() {
    let endpoint =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (gateway, _discovery) = start("pipelined", &listed_thirty_times(&endpoint));
    let mut client = gateway.connect();
    client.write((request("once") + &request("look").replace("40000m", "400m")).as_bytes());
    wait_for("the attempt", || endpoint.count() == 1);
    sleep(Duration::from_millis(1500));
    endpoint.release();
    assert_eq!(client.read().expect("no answer").status(), 200);
    assert_eq!(client.read().expect("no answer").status(), 504, "the client's deadline has passed");
    assert_eq!(endpoint.count(), 1);
}

#[test]
fn cancels_the_attempt_when_the_client_disconnects() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
    let (gateway, _discovery) = start("client-gone", &[endpoint.entry("s-1", 1)]);
    let mut client = gateway.connect();
    client.send("once");
    wait_for("the attempt", || endpoint.count() == 1);
    assert_eq!(endpoint.left.load(Ordering::SeqCst), 0);
    drop(client);
    let disconnected_at = Instant::now();
    wait_for("the connection to the endpoint to be closed", || endpoint.left.load(Ordering::SeqCst) == 1);
    assert!(disconnected_at.elapsed() < Duration::from_secs(25), "only the timeout ended the attempt");
}

#[test]
fn sends_nothing_to_a_draining_or_removed_endpoint() {
    let [draining, missing, added] = [(); 3].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let known = [draining.entry("s-1", 1), missing.entry("s-2", 1)];
    let (gateway, discovery) = start("drain", &known);
    assert_eq!(gateway.request("look").status(), 200);
    let draining_entry = entry("s-1", &draining.address.to_string(), 1, "leaving");
    discovery
        .push(json!({"index": 42, "snapshot": true, "endpoints": [draining_entry, added.entry("s-3", 1)]}));
    wait_for("the new list to be in use", || gateway.request("look").status() == 200 && added.count() > 0);
    let before = draining.count() + missing.count();
    for _ in 0..20 {
        assert_eq!(gateway.request("look").status(), 200);
    }
    assert_eq!(draining.count() + missing.count(), before);
}

/// Configuration in which discovery pushes its lists, so that the balancer does not poll.
fn push_config(discovery: &ScriptedDiscovery, known: &[Value]) -> Value {
    let mut text = config(&discovery.address.to_string(), 1024, known);
    text["settings"]["discovery"] = json!("push");
    text
}

#[test]
fn observes_a_drain_when_lists_are_pushed() {
    let [draining, other] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let discovery = ScriptedDiscovery::start();
    let text = push_config(&discovery, &[draining.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "pushed-drain", &discovery, &text);
    let draining_entry = entry("s-1", &draining.address.to_string(), 1, "leaving");
    discovery
        .push(json!({"index": 42, "snapshot": false, "endpoints": [draining_entry, other.entry("s-2", 1)]}));
    wait_for("the new list to be in use", || gateway.request("look").status() == 200 && other.count() > 0);
    let before = draining.count();
    for _ in 0..20 {
        assert_eq!(gateway.request("look").status(), 200);
    }
    assert_eq!(draining.count(), before);
}

#[test]
fn keeps_renewing_the_watch_when_lists_are_pushed() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let text = push_config(&discovery, &[endpoint.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "pushed-again", &discovery, &text);
    // 20 rounds exceed the number of doublings of the backoff between two watches: the backoff must be bounded, and the watches must not end.
    for round in 0..20 {
        wait_for("a watch", || discovery.calls() > round);
        discovery.end_watches();
    }
    wait_for("a watch", || discovery.calls() > 20);
    discovery.push(json!({"index": 57, "snapshot": true, "endpoints": []}));
    wait_for("the new list to be in use", || gateway.request("look").status() != 200);
}

#[test]
fn uses_the_new_address_of_an_endpoint() {
    let [old, new] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let (gateway, discovery) = start("address", &[old.entry("s-1", 1)]);
    assert_eq!(gateway.request("look").status(), 200);
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [new.entry("s-1", 1)]}));
    wait_for("the new address to be in use", || gateway.request("look").status() == 200 && new.count() > 0);
    let before = old.count();
    assert_eq!(gateway.request("look").status(), 200);
    assert_eq!(old.count(), before);
}

#[test]
fn new_endpoint_at_an_old_address_gets_new_connections() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) = start("churn", &[endpoint.entry("s-0", 1)]);
    assert_eq!(gateway.request("look").status(), 200);
    for n in 1..8 {
        let before = endpoint.connections();
        let list = [endpoint.entry(&format!("s-{n}"), 1)];
        discovery.push(json!({"index": 41 + n, "snapshot": true, "endpoints": list}));
        // The old endpoint's open connections would otherwise be reused without end.
        wait_for("a reconnect", || {
            gateway.request("look").status() == 200 && endpoint.connections() > before
        });
    }
}

/// Invalid data from discovery leaves the list in force unchanged, and a drain that arrives after the invalid data takes effect.
#[test]
fn retains_its_list_when_discovery_sends_truncated_or_invalid_lists() {
    let drained = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    // This endpoint is slower, so it receives requests only because the other endpoint is draining.
    let other = ScriptedEndpoint::start(|_| {
        sleep(Duration::from_millis(30));
        Reply::ok("ok")
    });
    let list = [drained.entry("s-1", 1), other.entry("s-2", 1)];
    let (gateway, discovery) = start("garbled-discovery", &list);
    discovery.push(json!("no list at all"));
    wait_for("a poll after the invalid list", || discovery.calls() > 1);
    discovery.push_incomplete("{\"index\": 60, \"snapshot\": true, \"endpoints\": [");
    wait_for("a poll after the truncated list", || discovery.calls() > 2);
    assert_eq!(gateway.request("look").status(), 200, "the list in force is retained");
    let bad = json!({"name": "s-9", "address": "nowhere"});
    let drain =
        json!({"name": "s-1", "group": 1, "address": drained.address.to_string(), "status": "leaving"});
    discovery.push(json!({"index": 61, "snapshot": false, "endpoints": [bad, drain.clone(), drain]}));
    // The gateway is notified once discovery has written the drain; the next list follows the drain on the same watch.
    wait_for("the drain", || {
        let before = drained.count();
        let statuses: Vec<u16> = (0..6).map(|_| gateway.request("look").status()).collect();
        assert_eq!(statuses, [200; 6]);
        drained.count() == before
    });
    discovery.push(json!({"index": 59, "snapshot": false, "endpoints": [drained.entry("s-1", 1)]}));
    discovery.push(
        json!({"index": 62, "snapshot": false, "endpoints": [json!({"name": "s-3", "status": "left"})]}),
    );
    let before = drained.count();
    for _ in 0..20 {
        assert_eq!(gateway.request("look").status(), 200);
        sleep(Duration::from_millis(10));
    }
    assert_eq!(drained.count(), before, "an older list index undoes no drain");
}

#[test]
fn renews_the_watch_when_it_falls_silent() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (_gateway, discovery) = start("dead-watch", &[endpoint.entry("s-1", 1)]);
    discovery.push(json!({"index": 57, "snapshot": false, "endpoints": []}));
    sleep(Duration::from_millis(500));
    discovery.silent.store(true, Ordering::SeqCst);
    wait_for("another poll", || discovery.calls() > 1);
    let calls = discovery.calls.lock().expect("lock poisoned").clone();
    assert_eq!(calls[0], "GET /registry/instances?follow=1&since=41 HTTP/1.1");
    assert_eq!(calls[1], "GET /registry/instances?follow=1&since=57 HTTP/1.1");
}

#[test]
fn uses_the_discovery_of_the_new_file_after_sighup() {
    let [old, new] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let (mut gateway, discovery) = start("reload", &[old.entry("s-1", 1)]);
    let mut client = gateway.connect();
    assert_eq!(client.request("look").status(), 200);
    wait_for("the first watch", || discovery.calls() > 0);
    // An invalid configuration file changes nothing and ends no connection.
    for bad in ["{".to_owned(), config("nowhere", 1024, &[]).to_string()] {
        write_config(&PROGRAM, "reload", &bad);
        gateway.signal("HUP");
        assert_eq!(client.request("look").status(), 200);
    }
    let next = ScriptedDiscovery::start();
    write_config(&PROGRAM, "reload", &config(&next.address.to_string(), 1024, &[]).to_string());
    gateway.signal("HUP");
    gateway.signal("HUP");
    wait_for("a watch on the new discovery", || next.calls() > 0);
    wait_for("the end of the old watch", || discovery.ended.load(Ordering::SeqCst) > 0);
    // List indices of the old discovery mean nothing to the new one, so the new watch begins at index 0.
    let call = next.calls.lock().expect("lock poisoned")[0].clone();
    assert_eq!(call, "GET /registry/instances?follow=1&since=0 HTTP/1.1");
    next.push(json!({"index": 3, "snapshot": true, "endpoints": [new.entry("s-2", 1)]}));
    wait_for("the new list to be in use", || client.request("look").status() == 200 && new.count() > 0);
    let before = old.count();
    assert_eq!(client.request("look").status(), 200);
    assert_eq!(old.count(), before);
    gateway.signal("TERM");
    gateway.signal("HUP");
    assert!(gateway.wait().success());
}

#[test]
fn serves_more_clients_than_it_has_descriptors() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "sockets", &discovery, 48, &[endpoint.entry("s-1", 1)]);
    let mut clients = Vec::new();
    for _ in 0..60 {
        // An idle client is closed to make room for a new client, but not at once.
        wait_for("capacity for the client", || {
            let mut client = gateway.connect();
            let status = client.request("look").status();
            clients.push(client);
            status == 200
        });
    }
}

#[test]
fn closes_no_idle_client_below_capacity() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "room", &discovery, 48, &[endpoint.entry("s-1", 1)]);
    let mut clients: Vec<_> = (0..CLIENT_CAPACITY_AT_48_DESCRIPTORS).map(|_| gateway.connect()).collect();
    // A client may be closed after an answer with `Connection: close`; no client is closed between two requests without it.
    for _ in 0..2 {
        clients.retain_mut(|c| {
            let answer = c.request("look");
            assert_eq!(answer.status(), 200);
            answer.header("connection").is_none()
        });
    }
    assert!(
        clients.len() > CLIENT_CAPACITY_AT_48_DESCRIPTORS / 2,
        "{} connections were retained",
        clients.len()
    );
}

#[test]
fn rejects_clients_beyond_capacity_at_once() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "no-room", &discovery, 48, &[]);
    let mut open_clients = fill_client_capacity(&gateway);
    let mut rejected_clients = Vec::new();
    for _ in 0..10 {
        let mut client = gateway.connect();
        let answer = client.request("once");
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
        let after: f64 =
            answer.header("retry-after").and_then(|s| s.parse().ok()).expect("no valid Retry-After");
        assert!(after > 0.0 && after <= 1.2, "{after} is not within the settings' limit");
        rejected_clients.push(client); // the rejected client keeps its connection open, and must not block the next client
    }
    assert_eq!(endpoint.count(), 0);
    discovery.push(json!({"index": 42, "snapshot": true, "endpoints": [endpoint.entry("s-1", 1)]}));
    // The gateway has fewer descriptors for endpoints than for clients, so some requests may be rejected.
    let answers: Vec<_> = open_clients.iter_mut().map(|c| c.read().expect("no answer").status()).collect();
    assert!(answers.contains(&200) && answers.iter().all(|a| [200, 503].contains(a)), "{answers:?}");
    wait_for("an idle connection to be closed for a new client", || gateway.request("once").status() == 200);
}

#[test]
fn accepts_clients_on_more_than_a_third_of_its_descriptors_in_32_mb() {
    let discovery = ScriptedDiscovery::start();
    let mut config = config("127.0.0.1:1", 256, &[]);
    config["limits"]["memory_mb"] = json!(32);
    let gateway = Gateway::start_with(&PROGRAM, "places", &discovery, &config);
    let _open_clients = hold_clients(&gateway, 100);
}

#[test]
fn retains_active_connections_and_limits_idle_ones() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (discovery, sockets) = (ScriptedDiscovery::start(), 384);
    let gateway = Gateway::start(&PROGRAM, "resting", &discovery, sockets, &[endpoint.entry("s-1", 1)]);
    let mut active_client = gateway.connect();
    let mut idle_clients = Vec::new();
    // Each client sends one request on a new connection and keeps the connection open.
    // Clients together may hold a third of the descriptors at most: before that the gateway must announce closes in its answers,
    // or the next client can open no connection for its request.
    for n in 0..sockets {
        let mut client = gateway.connect();
        let answer = client.request("look");
        assert_eq!(answer.status(), 200, "client {n}");
        if answer.header("connection") != Some("close") {
            idle_clients.push(client);
        }
        let answer = active_client.request("look");
        assert_eq!((answer.status(), answer.header("connection")), (200, None), "after client {n}");
    }
    assert!(idle_clients.len() < sockets / 4, "{} connections are idle", idle_clients.len());
    assert!(idle_clients.len() > sockets / 8, "only {} connections were retained", idle_clients.len());
}

#[test]
fn announces_close_in_an_answer_when_other_clients_wait() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "crowded", &discovery, 48, &[]);
    let mut open_clients = fill_client_capacity(&gateway);
    // One more client connects. A connection closed between two requests could cross a new request of its client;
    // `Connection: close` in an answer can't cross a request.
    let _other = gateway.connect();
    discovery.push(json!({"index": 42, "snapshot": true, "endpoints": [endpoint.entry("s-1", 1)]}));
    let close_announced = open_clients
        .iter_mut()
        .any(|client| client.read().expect("no answer").header("connection") == Some("close"));
    assert!(close_announced);
}

#[test]
fn new_clients_have_time_to_send_a_request() {
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "new-clients", &discovery, 48, &[]);
    let open_clients = fill_client_capacity(&gateway);
    // As many clients as the gateway accepts beyond its capacity: none of these clients may be closed to make room for a possible further client.
    let requests_sent_soon = || {
        let connected = Instant::now();
        let mut new: Vec<_> = (0..OVERFLOW_CLIENTS_AT_48_DESCRIPTORS).map(|_| gateway.connect()).collect();
        sleep(Duration::from_millis(50));
        new.iter_mut().for_each(|c| c.write(request("once").as_bytes()));
        // New clients may be closed if this machine needed longer to send the requests than new clients have.
        let sent_soon = connected.elapsed() < Duration::from_millis(250);
        let answers: Vec<_> = new.iter_mut().map(|c| c.read().map(|a| a.status())).collect();
        assert!(!sent_soon || answers == [Some(503); OVERFLOW_CLIENTS_AT_48_DESCRIPTORS], "{answers:?}");
        sent_soon
    };
    wait_for("a round within the time limit", requests_sent_soon);
    drop(open_clients);
}

#[test]
fn lack_of_descriptors_does_not_count_against_an_endpoint() {
    let endpoint =
        ScriptedEndpoint::start(|r| if r.first.contains("look") { Reply::Hang } else { Reply::ok("ok") });
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "host-sockets", &discovery, 48, &listed_thirty_times(&endpoint));
    // The number of clients exceeds the descriptors for endpoints and is one below the client capacity.
    let mut open_clients: Vec<_> =
        (1..CLIENT_CAPACITY_AT_48_DESCRIPTORS).map(|_| gateway.connect()).collect();
    open_clients.iter_mut().for_each(|c| c.send("look"));
    wait_for("the descriptors to run out", || endpoint.count() >= 10);
    // The request was not sent for lack of a descriptor, so it was surely not processed:
    // the gateway rejects the request although the request is unsafe to repeat.
    assert_eq!(gateway.request("brief-once").status(), 503);
    endpoint.release();
    open_clients.iter_mut().for_each(|c| assert!(c.read().is_some()));
    assert_eq!(gateway.request("once").status(), 200);
}

#[test]
fn reuses_no_connection_that_the_endpoint_closed() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("stale", &[endpoint.entry("s-1", 1)]);
    for _ in 0..5 {
        assert_eq!(gateway.request("once").status(), 200);
        endpoint.close_all();
    }
}

/// A process that exits closes its connections long before discovery reports the exit.
/// An endpoint that may have restarted is sent few requests.
#[test]
fn sends_few_requests_to_an_endpoint_that_closed_its_idle_connections() {
    let hangs = Arc::new(AtomicBool::new(false));
    let endpoint = |_| {
        let hangs = hangs.clone();
        ScriptedEndpoint::start(move |_| {
            sleep(Duration::from_millis(20));
            if hangs.load(Ordering::SeqCst) {
                Reply::Hang
            } else {
                Reply::ok("ok")
            }
        })
    };
    let endpoints: Vec<_> = (0..2).map(endpoint).collect();
    let discovery = ScriptedDiscovery::start();
    let mut config = config("127.0.0.1:1", 1024, &entries(&endpoints, &[1, 2]));
    // The warm-up fraction is so low that slow start allows hardly any request, even if a busy machine stands still for a while.
    config["settings"]["safety"]["cold_from"] = json!(0.01);
    config["settings"]["safety"]["cold_s"] = json!(3600.0);
    let gateway = Gateway::start_with(&PROGRAM, "ended", &discovery, &config);
    let mut clients: Vec<_> = (0..12).map(|_| gateway.connect()).collect();
    // Two requests at a time, so that both endpoints serve; enough requests for admission to admit all twelve later.
    for _ in 0..30 {
        clients[..2].iter_mut().for_each(|client| client.send("look"));
        assert!(clients[..2].iter_mut().all(|c| c.read().is_some_and(|answer| answer.status() == 200)));
    }
    assert!(endpoints.iter().all(|h| h.count() > 10));
    sleep(Duration::from_millis(200));
    endpoints[0].close_all();
    // The test cannot see when the gateway has observed the closed connections: it takes 50 ms at most on an idle machine, and the test waits 1 s.
    sleep(Duration::from_secs(1));
    hangs.store(true, Ordering::SeqCst);
    let before = endpoints[0].count();
    let all = total_requests(&endpoints) + clients.len();
    clients.iter_mut().for_each(|client| client.send("look"));
    wait_for("all requests to be sent", || total_requests(&endpoints) == all);
    // About 6 of the 12 requests would go to this endpoint if the gateway had not observed the closed connections.
    assert!(endpoints[0].count() - before <= 3, "{} of 12", endpoints[0].count() - before);
    endpoints.iter().for_each(ScriptedEndpoint::release);
    assert!(clients.iter_mut().all(|client| client.read().is_some_and(|answer| answer.status() == 200)));
}

#[test]
fn answers_open_requests_before_it_exits_on_sigterm() {
    let endpoint =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (mut gateway, _discovery) = start("sigterm", &listed_thirty_times(&endpoint));
    let mut idle = gateway.connect();
    assert_eq!(idle.request("look").status(), 200);
    let mut open_clients: Vec<_> = (0..3).map(|_| gateway.connect()).collect();
    open_clients.iter_mut().for_each(|c| c.send("once"));
    wait_for("the attempts", || endpoint.count() == 4);
    let (mut late, mut half) = (gateway.connect(), gateway.connect());
    half.write(b"GET /look HTTP/1.1\r\n"); // an unfinished request, which must not keep the gateway from exiting
    gateway.signal("TERM");
    late.send("look");
    let answer = late.read().expect("no answer on a connection made before SIGTERM");
    assert_eq!((answer.status(), late.read().map(|a| a.first)), (200, None));
    endpoint.release();
    for client in &mut open_clients {
        let answer = client.read().expect("no answer");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"released"[..]));
        assert_eq!(answer.header("connection"), Some("close"));
    }
    assert!(gateway.wait().success());
}

#[test]
fn answers_malformed_requests_itself() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("malformed", &[endpoint.entry("s-1", 1)]);
    let (look, pay) = (request("look"), request("pay"));
    let malformed = [
        look.replace("X-Priority-Class: look\r\n", ""),
        look.replace("X-Priority-Class: look", "X-Priority-Class: nothing"),
        look.replace("GET /look", "GET /pay"),
        look.replace("GET ", "DELETE "),
        look.replace("40000m", "soon"),
        look.replace("40000m", "40000"),
        look.replace("40000m", "-5m"),
        look.replace("40000m", "NaNm"),
        look.replace("40000m", "0m"),
        look.replace("X-Timeout: 40000m\r\n", ""),
        look.replace("Cookie", "X-Cost: much\r\nCookie"),
        pay.replace("Idempotency-Key", "X-Other"),
        request("once").replace("Cookie", "Idempotency-Key: k\r\nCookie"),
        pay.replace("X-Request-ID", "X-Other"),
        pay.replace("Content-Length: 4", &format!("Content-Length: {}", (32 << 20) + 1)),
        pay.replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\nmuch\r\n"),
        pay.replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
        "no HTTP at all\r\n\r\n".to_owned(),
    ];
    for text in malformed {
        let head: String = text.chars().take(400).collect();
        let mut client = gateway.connect();
        client.write(text.as_bytes());
        let status = client.read().unwrap_or_else(|| panic!("no answer to {head}")).status();
        assert!((400..500).contains(&status) && status != 429, "{status} to {head}");
    }
    assert_eq!(endpoint.count(), 0);
    assert_eq!(gateway.request("look").status(), 200);
}

#[test]
fn rejects_the_id_of_an_open_request() {
    let endpoint =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (gateway, _discovery) = start("same-id", &listed_thirty_times(&endpoint));
    let (mut first, mut second) = (gateway.connect(), gateway.connect());
    let number = |text: String| {
        let lines =
            text.lines().map(|l| if l.starts_with("X-Request-ID") { "X-Request-ID: twice" } else { l });
        lines.collect::<Vec<_>>().join("\r\n") + if text.ends_with("body") { "" } else { "\r\n\r\n" }
    };
    first.write(number(request("once")).as_bytes());
    wait_for("the attempt", || endpoint.count() == 1);
    // An endpoint could not distinguish the second request from a hedged copy of the first.
    second.write(number(request("look")).as_bytes());
    assert_eq!(second.read().expect("no answer").status(), 409);
    assert_eq!(endpoint.count(), 1);
    endpoint.release();
    assert_eq!(first.read().expect("no answer").status(), 200);
    // The request id may be used again when the first request has ended.
    let mut third = gateway.connect();
    third.write(number(request("look")).as_bytes());
    assert_eq!(third.read().expect("no answer").status(), 200);
}

#[test]
fn forwards_no_request_smuggled_in_a_body() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("hidden", &[endpoint.entry("s-1", 1)]);
    let hidden = request("look");
    let (length, coding) = (format!("Content-Length: {}", hidden.len() + 5), "Transfer-Encoding: chunked");
    let framed = |lines: String| {
        let open = request("pay").replace("Content-Length: 4", &lines);
        open.replace("body", &format!("0\r\n\r\n{hidden}"))
    };
    let smuggling_requests = [
        framed(format!("{length}\r\n{coding}")),
        framed(format!("{coding}\r\n{length}")),
        framed(format!("{coding}\r\n{coding}")),
        framed("Transfer-Encoding: chunked, chunked".to_owned()),
        framed(format!("{length}\r\nContent-Length: 5")),
        framed("Content-Length: -5".to_owned()),
        framed("Content-Length: 99999999999999999999999".to_owned()),
        // An endpoint that uses the other one of two duplicate headers sees a different request than the gateway.
        request("pay").replace("X-Tenant", "X-Request-ID: other\r\nX-Tenant") + &hidden,
        request("pay").replace("X-Tenant", "Idempotency-Key: other\r\nX-Tenant") + &hidden,
        request("look").replace("X-Tenant", "Content-Length: 5\r\nX-Tenant") + "12345" + &hidden,
    ];
    for text in smuggling_requests {
        let mut client = gateway.connect();
        client.write(text.as_bytes());
        let status = client.read().unwrap_or_else(|| panic!("no answer to {text}")).status();
        assert!((400..500).contains(&status), "{status} to {text}");
        assert!(client.read().is_none(), "bytes after the request were read: {text}");
    }
    assert_eq!(endpoint.count(), 0);
}

#[test]
fn forwards_only_the_headers_that_the_protocol_names() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("passed-on", &[endpoint.entry("s-1", 1)]);
    let mut client = gateway.connect();
    let extra_headers = "X-Not-Processed: 1\r\nUpgrade: other\r\nX-Attrs: a=1\r\nX-Tenant-Id";
    client.write(request("look").replace("X-Tenant-Id", extra_headers).as_bytes());
    assert_eq!(client.read().expect("no answer").status(), 200);
    let seen = endpoint.seen.lock().expect("lock poisoned").pop().expect("no request received");
    let mut names: Vec<&str> = seen.headers.keys().map(String::as_str).collect();
    names.sort_unstable();
    let forwarded_headers =
        ["cookie", "host", "x-attrs", "x-priority-class", "x-request-id", "x-tenant-id", "x-timeout"];
    assert_eq!(names, forwarded_headers);
}

#[test]
fn closes_incomplete_requests_and_retains_idle_connections() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("silent", &[endpoint.entry("s-1", 1)]);
    let mut idle_client = gateway.connect();
    assert_eq!(idle_client.request("look").status(), 200);
    let started = Instant::now();
    let mut incomplete_clients: Vec<_> = (0..4).map(|_| gateway.connect()).collect();
    incomplete_clients[1].write(b"GET /look HTTP/1.1\r\nX-Half: ");
    assert_eq!(incomplete_clients[2].request("look").status(), 200);
    incomplete_clients[2].write(b"GET /look HTTP/1.1\r\n");
    incomplete_clients[3].write(request("pay").replace("\r\n\r\nbody", "\r\n\r\nbo").as_bytes());
    for (n, client) in incomplete_clients.iter_mut().enumerate() {
        let status = client.read().map(|a| a.status());
        assert_eq!(status, (n == 3).then_some(408), "client {n}");
    }
    assert!(started.elapsed() < Duration::from_secs(25), "the connections stayed open");
    assert_eq!(idle_client.request("look").status(), 200, "an idle client was closed below capacity");
}

#[test]
fn is_ready_once_an_endpoint_is_listed() {
    let (gateway, discovery) = start("ready", &[]);
    let ready = || {
        let mut client = gateway.connect();
        client.write(b"GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n");
        client.read().expect("no answer").status()
    };
    assert_eq!(ready(), 503);
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    discovery.push(json!({"index": 42, "snapshot": true, "endpoints": [endpoint.entry("s-1", 1)]}));
    wait_for("readiness", || ready() == 200);
    assert_eq!(gateway.request("look").status(), 200);
}

#[test]
fn reports_configuration_errors() {
    let good = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()});
    let with = |key: &str, value: Value| {
        let mut config = good.clone();
        config[key] = value;
        config.to_string()
    };
    let bad = [
        ("no-json", "{".to_owned()),
        ("bad-listen", with("listen", json!("here"))),
        ("bad-settings", with("settings", json!({"classes": 7}))),
        ("no-class", with("settings", json!({}))),
        ("few-sockets", with("limits", json!({"sockets": 3}))),
        ("little-memory", with("limits", json!({"memory_mb": 1}))),
    ];
    for (name, text) in bad {
        let mut child = spawn_gateway(&PROGRAM, name, &text);
        let mut log = String::new();
        child.stderr.take().expect("no stderr pipe").read_to_string(&mut log).expect("not UTF-8");
        assert!(!child.wait().expect("cannot wait for the process").success(), "{name}");
        assert_eq!(log.lines().count(), 1, "{name}: {log}");
        assert!(log.starts_with("weldworks-gateway: "), "{name}: {log}");
    }
}
