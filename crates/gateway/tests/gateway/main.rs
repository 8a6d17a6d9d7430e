//! The built gateway on loopback sockets, against hosts and a discovery that fail on purpose. Each test guards
//! against one failure; none depends on how fast the machine is.

use serde_json::{json, Value};
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use weldworks_testbed::scripted::{
    config, entry, refusing, request, settings, spawn_gateway, wait_for, write_config, Client, Gateway,
    HttpMessage, Program, Reply, ScriptedDiscovery, ScriptedEndpoint,
};

const PROGRAM: Program =
    Program { path: env!("CARGO_BIN_EXE_weldworks-gateway"), folder: env!("CARGO_TARGET_TMPDIR") };

/// Clients that have every place, with requests that wait for a host: the gateway knows none.
fn hold_all_places(gateway: &Gateway) -> Vec<Client> {
    hold_places(gateway, CLIENTS_OF_48)
}

fn hold_places(gateway: &Gateway, places: usize) -> Vec<Client> {
    let mut held: Vec<_> = (0..places).map(|_| gateway.connect()).collect();
    for client in &mut held {
        let text = request("once").replace("\r\n\r\nbody", "\r\nExpect: 100-continue\r\n\r\n");
        client.write(text.as_bytes());
        assert_eq!(client.read().expect("a word to go on").status(), 100);
        client.write(b"body");
    }
    held
}

/// The clients for which there is room under a limit of 48 descriptors.
const CLIENTS_OF_48: usize = 14;
/// The clients that are taken in beyond those.
const OVERFLOW_OF_48: usize = 4;

fn start(name: &str, hosts: &[Value]) -> (Gateway, ScriptedDiscovery) {
    let discovery = ScriptedDiscovery::start();
    (Gateway::start(&PROGRAM, name, &discovery, 1024, hosts), discovery)
}

/// Hosts of these cells, of which the first to be sent a request treats it like this and the others serve.
fn first_does(reply: Reply, cells: &[u32]) -> Vec<ScriptedEndpoint> {
    let first = Arc::new(AtomicBool::new(true));
    let host = |_| {
        let (first, reply) = (first.clone(), reply.clone());
        ScriptedEndpoint::start(move |_| {
            if first.swap(false, Ordering::SeqCst) {
                reply.clone()
            } else {
                Reply::ok("ok")
            }
        })
    };
    cells.iter().map(host).collect()
}

fn entries(hosts: &[ScriptedEndpoint], cells: &[u32]) -> Vec<Value> {
    (0..)
        .zip(hosts)
        .zip(cells)
        .map(|((n, h), &cell): ((u32, _), _)| h.entry(&format!("s-{n}"), cell))
        .collect()
}

/// One host under many names: the module lets in as many requests at a time as there are hosts.
fn crowd(host: &ScriptedEndpoint) -> Vec<Value> {
    (0..30).map(|n| host.entry(&format!("s-{n}"), 1)).collect()
}

fn sent(hosts: &[ScriptedEndpoint]) -> usize {
    hosts.iter().map(ScriptedEndpoint::count).sum()
}

#[test]
fn serves_what_the_host_made() {
    let host =
        ScriptedEndpoint::start(|r| Reply::Answer(200, "X-Kind: fine\r\n", [b"re: ", &r.body[..]].concat()));
    let (gateway, _discovery) = start("served", &[host.entry("s-1", 1)]);
    let mut client = gateway.connect();
    for round in 1..=3 {
        let answer = client.ask("once");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"re: body"[..]));
        assert_eq!(answer.header("x-kind"), Some("fine"));
        assert_eq!(host.count(), round);
    }
    gateway.ask("pay");
    let seen = host.seen.lock().expect("lock").pop().expect("a request");
    assert_eq!(seen.first, "POST /pay HTTP/1.1");
    assert_eq!(seen.header("x-request-id").map(str::len), Some(16));
    assert!(seen.header("idempotency-key").is_some_and(|k| k.starts_with("key-")));
    let wait = seen.header("x-timeout").and_then(|t| t.strip_suffix('u')).and_then(|t| t.parse().ok());
    assert!(wait.is_some_and(|us: u64| us > 0 && us < 40_000_000), "{wait:?}: what is left of the wait");
}

#[test]
fn refuses_what_never_ran_and_says_when_to_come_back() {
    let host = ScriptedEndpoint::start(|_| Reply::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()));
    let (gateway, _discovery) = start("refused", &[host.entry("s-1", 1)]);
    let answer = gateway.ask("brief-once");
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").and_then(|s| s.parse().ok()).expect("a time");
    assert!(after > 0.0 && after <= 1.2, "{after} is not within the settings' limit");
    assert_eq!(host.count(), 1);
}

#[test]
fn fails_what_may_have_run() {
    // A 503 that does not say that the request never ran proves nothing.
    for (name, status) in [("failed-500", 500), ("failed-503", 503), ("failed-404", 404)] {
        let hosts = first_does(Reply::Answer(status, "", Vec::new()), &[1, 1]);
        let (gateway, _discovery) = start(name, &entries(&hosts, &[1, 1]));
        assert_eq!(gateway.ask("once").status(), 502);
        assert_eq!(sent(&hosts), 1);
    }
}

#[test]
fn tries_elsewhere_after_a_refused_connection() {
    let (_held, nobody) = refusing();
    let (gateway, discovery) = start("no-connection", &[entry("s-1", &nobody, 1, "active")]);
    let mut client = gateway.connect();
    client.send("once");
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [host.entry("s-2", 1)]}));
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert_eq!(host.count(), 1);
}

#[test]
fn sends_again_what_is_safe() {
    for (name, reply) in [("safe-break", Reply::Break), ("safe-half", Reply::Half)] {
        let hosts = first_does(reply, &[1, 2]);
        let (gateway, _discovery) = start(name, &entries(&hosts, &[1, 2]));
        let answer = gateway.ask("look");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"ok"[..]));
        assert_eq!(sent(&hosts), 2);
    }
}

#[test]
fn sends_again_also_where_many_connections_break() {
    let breaks = Arc::new(AtomicBool::new(false));
    let host = |_| {
        let breaks = breaks.clone();
        ScriptedEndpoint::start(move |_| match breaks.fetch_xor(true, Ordering::SeqCst) {
            false => Reply::Break,
            true => Reply::ok("ok"),
        })
    };
    let hosts: Vec<_> = (0..3).map(host).collect();
    let (gateway, _discovery) = start("many-breaks", &entries(&hosts, &[1, 1, 1]));
    for round in 0..5 {
        assert_eq!(gateway.ask("look").status(), 200, "request {round}, whose first attempt broke");
    }
    assert_eq!(sent(&hosts), 10);
}

#[test]
fn gives_a_spoilt_answer_up_long_before_its_time_out() {
    let spoilt = [
        "\u{1}\u{2}noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Endless: ",
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nlong",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort",
    ];
    for (n, text) in spoilt.into_iter().enumerate() {
        // What has run may run again only where its class allows.
        for (class, status, tries) in [("look", 200, 2), ("once", 502, 1)] {
            let hosts = first_does(Reply::Raw(vec![text.to_owned()]), &[1, 1]);
            let (gateway, _discovery) = start(&format!("spoilt-{n}-{class}"), &entries(&hosts, &[1, 1]));
            let asked = Instant::now();
            assert_eq!(gateway.ask(class).status(), status, "{class}: {text}");
            assert_eq!(sent(&hosts), tries, "{class}: {text}");
            assert!(asked.elapsed() < Duration::from_secs(15), "{class} waited for more of {text}");
        }
    }
}

#[test]
fn waits_for_the_answer_behind_a_1xx() {
    let early = "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n".to_owned();
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate".to_owned();
    let host = ScriptedEndpoint::start(move |_| Reply::Raw(vec![early.clone(), answer.clone()]));
    let (gateway, _discovery) = start("early", &[host.entry("s-1", 1)]);
    let answer = gateway.ask("once");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"late"[..]));
}

#[test]
fn reads_nothing_beyond_an_answer_as_the_next_one() {
    let good = |r: &HttpMessage, ahead: &str, extra: &str| {
        let id = r.header("x-request-id").expect("an id");
        format!("{ahead}HTTP/1.1 200 OK\r\n{extra}Content-Length: {}\r\n\r\n{id}", id.len())
    };
    // Right behind, just after the connection has gone idle, and noise in place of a copy.
    let behind: [fn(String) -> Vec<String>; 3] = [
        |answer| vec![format!("{answer}{answer}")],
        |answer| vec![answer.clone(), answer],
        |answer| vec![format!("{answer}\r\nnoise")],
    ];
    for (n, more) in behind.into_iter().enumerate() {
        let report = "X-Server-Load: =,;inflight=many, qps\r\n";
        let host = ScriptedEndpoint::start(move |r| {
            Reply::Raw(more(good(r, "HTTP/1.1 102 Processing\r\nX-Early: 1\r\n\r\n", report)))
        });
        let (gateway, _discovery) = start(&format!("behind-{n}"), &[host.entry("s-1", 1)]);
        let mut client = gateway.connect();
        for round in 0..6 {
            let text = request("look");
            client.write(text.as_bytes());
            let answer = client.read().expect("an answer");
            assert_eq!(answer.status(), 200, "{n}, {round}");
            assert!(text.contains(&String::from_utf8_lossy(&answer.body).into_owned()), "{n}, {round}");
            wait_for("all that the host sends", || host.raw.load(Ordering::SeqCst) == round + 1);
        }
    }
}

#[test]
fn sends_a_keyed_request_again_inside_its_group_only() {
    let cells = [1, 1, 2, 2];
    let hosts = first_does(Reply::Break, &cells);
    let (gateway, _discovery) = start("keyed", &entries(&hosts, &cells));
    assert_eq!(gateway.ask("book").status(), 200);
    let cells: Vec<u32> = hosts.iter().zip(cells).filter(|(h, _)| h.count() > 0).map(|(_, c)| c).collect();
    assert!(cells == [1, 1] || cells == [2, 2], "sent to cells {cells:?}");

    // Where the group holds no other host it fails: a refusal would promise that it never ran.
    let hosts = first_does(Reply::Break, &[1, 2]);
    let (gateway, _discovery) = start("keyed-alone", &entries(&hosts, &[1, 2]));
    let mut client = gateway.connect();
    client.write(request("book").replace("40000m", "900m").as_bytes());
    let status = client.read().expect("an answer").status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    assert_eq!(sent(&hosts), 1);
}

#[test]
fn never_sends_an_unsafe_request_again() {
    for (name, reply) in [("unsafe-break", Reply::Break), ("unsafe-half", Reply::Half)] {
        let hosts = first_does(reply, &[1, 1]);
        let (gateway, _discovery) = start(name, &entries(&hosts, &[1, 1]));
        assert_eq!(gateway.ask("once").status(), 502);
        assert_eq!(sent(&hosts), 1);
    }
}

#[test]
fn gives_up_in_time_and_leaves_the_host() {
    let host = ScriptedEndpoint::start(|_| Reply::Hang);
    let (gateway, _discovery) = start("time-out", &[host.entry("s-1", 1)]);
    assert_eq!(gateway.ask("brief").status(), 503);
    assert_eq!(gateway.ask("brief-once").status(), 504);
    // The gateway's own backstop: this aim is far away, but the client waits no longer.
    let mut client = gateway.connect();
    let asked = Instant::now();
    client.write(request("once").replace("40000m", "1500000u").as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 504);
    assert!(asked.elapsed() < Duration::from_secs(20));
    wait_for("the host to be left", || host.left.load(Ordering::SeqCst) == 3);
}

#[test]
fn counts_the_time_before_it_reads_a_request() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("stalled", &[host.entry("s-1", 1)]);
    let mut client = gateway.connect();
    assert_eq!(client.ask("look").status(), 200);
    gateway.signal("STOP");
    client.write(request("look").replace("40000m", "1000m").as_bytes());
    sleep(Duration::from_millis(2000));
    gateway.signal("CONT");
    assert_eq!(client.read().expect("an answer").status(), 504);
    assert_eq!(host.count(), 1, "sent when the client's time was up");
}

#[test]
fn counts_the_time_that_a_request_waits_behind_another() {
    let host =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (gateway, _discovery) = start("pipelined", &crowd(&host));
    let mut client = gateway.connect();
    client.write((request("once") + &request("look").replace("40000m", "400m")).as_bytes());
    wait_for("the attempt", || host.count() == 1);
    sleep(Duration::from_millis(1500));
    host.release();
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert_eq!(client.read().expect("an answer").status(), 504, "its client's time was up");
    assert_eq!(host.count(), 1);
}

#[test]
fn leaves_the_host_when_the_client_has_gone() {
    let host = ScriptedEndpoint::start(|_| Reply::Hang);
    let (gateway, _discovery) = start("client-gone", &[host.entry("s-1", 1)]);
    let mut client = gateway.connect();
    client.send("once");
    wait_for("the attempt", || host.count() == 1);
    assert_eq!(host.left.load(Ordering::SeqCst), 0);
    drop(client);
    let gone = Instant::now();
    wait_for("the host to be left", || host.left.load(Ordering::SeqCst) == 1);
    assert!(gone.elapsed() < Duration::from_secs(25), "only its time-out ended the attempt");
}

#[test]
fn sends_nothing_to_a_host_that_drains_or_is_gone() {
    let [draining, missing, added] = [(); 3].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let known = [draining.entry("s-1", 1), missing.entry("s-2", 1)];
    let (gateway, discovery) = start("drain", &known);
    assert_eq!(gateway.ask("look").status(), 200);
    let leaving = entry("s-1", &draining.address.to_string(), 1, "leaving");
    discovery.push(json!({"index": 42, "snapshot": true, "endpoints": [leaving, added.entry("s-3", 1)]}));
    wait_for("the list to be known", || gateway.ask("look").status() == 200 && added.count() > 0);
    let before = draining.count() + missing.count();
    for _ in 0..20 {
        assert_eq!(gateway.ask("look").status(), 200);
    }
    assert_eq!(draining.count() + missing.count(), before);
}

/// Settings under which discovery pushes its lists: the module asks for nothing then.
fn pushed(discovery: &ScriptedDiscovery, known: &[Value]) -> Value {
    let mut text = config(&discovery.address.to_string(), 1024, known);
    text["settings"]["discovery"] = json!("push");
    text
}

#[test]
fn hears_of_a_drain_where_lists_are_pushed() {
    let [draining, other] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let discovery = ScriptedDiscovery::start();
    let text = pushed(&discovery, &[draining.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "pushed-drain", &discovery, &text);
    let leaving = entry("s-1", &draining.address.to_string(), 1, "leaving");
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [leaving, other.entry("s-2", 1)]}));
    wait_for("the list to be known", || gateway.ask("look").status() == 200 && other.count() > 0);
    let before = draining.count();
    for _ in 0..20 {
        assert_eq!(gateway.ask("look").status(), 200);
    }
    assert_eq!(draining.count(), before);
}

#[test]
fn watches_again_and_again_where_lists_are_pushed() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let text = pushed(&discovery, &[host.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "pushed-again", &discovery, &text);
    // More often than the wait between two watches doubles: it must not go on growing, nor ever end.
    for round in 0..20 {
        wait_for("a watch", || discovery.calls() > round);
        discovery.end_watches();
    }
    wait_for("a watch", || discovery.calls() > 20);
    discovery.push(json!({"index": 57, "snapshot": true, "endpoints": []}));
    wait_for("the list to be known", || gateway.ask("look").status() != 200);
}

#[test]
fn follows_a_host_to_its_new_address() {
    let [old, new] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let (gateway, discovery) = start("address", &[old.entry("s-1", 1)]);
    assert_eq!(gateway.ask("look").status(), 200);
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [new.entry("s-1", 1)]}));
    wait_for("the address to be known", || gateway.ask("look").status() == 200 && new.count() > 0);
    let before = old.count();
    assert_eq!(gateway.ask("look").status(), 200);
    assert_eq!(old.count(), before);
}

#[test]
fn gives_a_new_host_at_an_old_address_connections_of_its_own() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) = start("churn", &[host.entry("s-0", 1)]);
    assert_eq!(gateway.ask("look").status(), 200);
    for n in 1..8 {
        let before = host.connections();
        let list = [host.entry(&format!("s-{n}"), 1)];
        discovery.push(json!({"index": 41 + n, "snapshot": true, "endpoints": list}));
        // What the one that is gone had open would be used on and on.
        wait_for("a new connection", || gateway.ask("look").status() == 200 && host.connections() > before);
    }
}

/// What discovery spoils costs itself only: the list held stays, and a drain that comes after it is heeded.
#[test]
fn goes_on_with_its_list_while_discovery_breaks_off_and_sends_what_is_no_list() {
    let drained = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    // The slower one gets what it gets because the other may not be sent to.
    let other = ScriptedEndpoint::start(|_| {
        sleep(Duration::from_millis(30));
        Reply::ok("ok")
    });
    let list = [drained.entry("s-1", 1), other.entry("s-2", 1)];
    let (gateway, discovery) = start("garbled-discovery", &list);
    discovery.push(json!("no list at all"));
    wait_for("a call after what is no list", || discovery.calls() > 1);
    discovery.push_incomplete("{\"index\": 60, \"snapshot\": true, \"endpoints\": [");
    wait_for("a call after a list that was broken off", || discovery.calls() > 2);
    assert_eq!(gateway.ask("look").status(), 200, "the list held stays in force");
    let bad = json!({"name": "s-9", "address": "nowhere"});
    let drain =
        json!({"name": "s-1", "group": 1, "address": drained.address.to_string(), "status": "leaving"});
    discovery.push(json!({"index": 61, "snapshot": false, "endpoints": [bad, drain.clone(), drain]}));
    // A gateway is told once discovery has written it; the next list comes after it on the same watch.
    wait_for("the drain", || {
        let before = drained.count();
        let statuses: Vec<u16> = (0..6).map(|_| gateway.ask("look").status()).collect();
        assert_eq!(statuses, [200; 6]);
        drained.count() == before
    });
    discovery.push(json!({"index": 59, "snapshot": false, "endpoints": [drained.entry("s-1", 1)]}));
    discovery.push(
        json!({"index": 62, "snapshot": false, "endpoints": [json!({"name": "s-3", "status": "left"})]}),
    );
    let before = drained.count();
    for _ in 0..20 {
        assert_eq!(gateway.ask("look").status(), 200);
        sleep(Duration::from_millis(10));
    }
    assert_eq!(drained.count(), before, "an older word undoes no drain");
}

#[test]
fn asks_again_when_the_watch_falls_silent() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (_gateway, discovery) = start("dead-watch", &[host.entry("s-1", 1)]);
    discovery.push(json!({"index": 57, "snapshot": false, "endpoints": []}));
    sleep(Duration::from_millis(500));
    discovery.silent.store(true, Ordering::SeqCst);
    wait_for("another call", || discovery.calls() > 1);
    let calls = discovery.calls.lock().expect("lock").clone();
    assert_eq!(calls[0], "GET /registry/instances?follow=1&since=41 HTTP/1.1");
    assert_eq!(calls[1], "GET /registry/instances?follow=1&since=57 HTTP/1.1");
}

#[test]
fn turns_to_the_discovery_of_the_new_file_on_sighup() {
    let [old, new] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let (mut gateway, discovery) = start("reload", &[old.entry("s-1", 1)]);
    let mut client = gateway.connect();
    assert_eq!(client.ask("look").status(), 200);
    wait_for("the first watch", || discovery.calls() > 0);
    // A file that can't be used changes nothing, and ends nothing.
    for bad in ["{".to_owned(), config("nowhere", 1024, &[]).to_string()] {
        write_config(&PROGRAM, "reload", &bad);
        gateway.signal("HUP");
        assert_eq!(client.ask("look").status(), 200);
    }
    let next = ScriptedDiscovery::start();
    write_config(&PROGRAM, "reload", &config(&next.address.to_string(), 1024, &[]).to_string());
    gateway.signal("HUP");
    gateway.signal("HUP");
    wait_for("a watch on the new one", || next.calls() > 0);
    wait_for("the end of the old watch", || discovery.ended.load(Ordering::SeqCst) > 0);
    // The versions of the one mean nothing to the other.
    let call = next.calls.lock().expect("lock")[0].clone();
    assert_eq!(call, "GET /registry/instances?follow=1&since=0 HTTP/1.1");
    next.push(json!({"index": 3, "snapshot": true, "endpoints": [new.entry("s-2", 1)]}));
    wait_for("the list to be known", || client.ask("look").status() == 200 && new.count() > 0);
    let before = old.count();
    assert_eq!(client.ask("look").status(), 200);
    assert_eq!(old.count(), before);
    gateway.signal("TERM");
    gateway.signal("HUP");
    assert!(gateway.wait().success());
}

#[test]
fn serves_more_clients_than_it_has_sockets() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "sockets", &discovery, 48, &[host.entry("s-1", 1)]);
    let mut clients = Vec::new();
    for _ in 0..60 {
        // One that is idle makes room, but not at once.
        wait_for("a place", || {
            let mut client = gateway.connect();
            let status = client.ask("look").status();
            clients.push(client);
            status == 200
        });
    }
}

#[test]
fn closes_no_idle_client_while_there_is_room() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "room", &discovery, 48, &[host.entry("s-1", 1)]);
    let mut clients: Vec<_> = (0..CLIENTS_OF_48).map(|_| gateway.connect()).collect();
    // Who is told so with an answer may have to go; nobody is cut off between two requests.
    for _ in 0..2 {
        clients.retain_mut(|c| {
            let answer = c.ask("look");
            assert_eq!(answer.status(), 200);
            answer.header("connection").is_none()
        });
    }
    assert!(clients.len() > CLIENTS_OF_48 / 2, "{} were kept", clients.len());
}

#[test]
fn refuses_at_once_whom_it_has_no_room_for() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "no-room", &discovery, 48, &[]);
    let mut held = hold_all_places(&gateway);
    let mut refused = Vec::new();
    for _ in 0..10 {
        let mut client = gateway.connect();
        let answer = client.ask("once");
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
        let after: f64 = answer.header("retry-after").and_then(|s| s.parse().ok()).expect("a time");
        assert!(after > 0.0 && after <= 1.2, "{after} is not within the settings' limit");
        refused.push(client); // does not close, and must not keep the next one out
    }
    assert_eq!(host.count(), 0);
    discovery.push(json!({"index": 42, "snapshot": true, "endpoints": [host.entry("s-1", 1)]}));
    // There are fewer sockets to hosts than places for clients, so some may be turned away.
    let answers: Vec<_> = held.iter_mut().map(|c| c.read().expect("an answer").status()).collect();
    assert!(answers.contains(&200) && answers.iter().all(|a| [200, 503].contains(a)), "{answers:?}");
    wait_for("an idle connection to make room", || gateway.ask("once").status() == 200);
}

#[test]
fn has_places_for_more_than_a_third_of_its_descriptors_in_32_mb() {
    let discovery = ScriptedDiscovery::start();
    let mut config = config("127.0.0.1:1", 256, &[]);
    config["limits"]["memory_mb"] = json!(32);
    let gateway = Gateway::start_with(&PROGRAM, "places", &discovery, &config);
    let _held = hold_places(&gateway, 100);
}

#[test]
fn keeps_the_connections_that_are_used_and_few_that_only_rest() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (discovery, sockets) = (ScriptedDiscovery::start(), 384);
    let gateway = Gateway::start(&PROGRAM, "resting", &discovery, sockets, &[host.entry("s-1", 1)]);
    let mut used = gateway.connect();
    let mut kept = Vec::new();
    // Each asks once on a new connection and keeps it. Who may hold a third of the descriptors and no more has to
    // be told to let go before that, or can open no connection for the next request.
    for n in 0..sockets {
        let mut client = gateway.connect();
        let answer = client.ask("look");
        assert_eq!(answer.status(), 200, "client {n}");
        if answer.header("connection") != Some("close") {
            kept.push(client);
        }
        let answer = used.ask("look");
        assert_eq!((answer.status(), answer.header("connection")), (200, None), "after client {n}");
    }
    assert!(kept.len() < sockets / 4, "{} rest", kept.len());
    assert!(kept.len() > sockets / 8, "only {} were kept", kept.len());
}

#[test]
fn says_goodbye_with_an_answer_when_others_wait_for_a_place() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "crowded", &discovery, 48, &[]);
    let mut held = hold_all_places(&gateway);
    // Another comes. A close between requests could cross one, a word with an answer can't.
    let _other = gateway.connect();
    discovery.push(json!({"index": 42, "snapshot": true, "endpoints": [host.entry("s-1", 1)]}));
    let told_to_close =
        held.iter_mut().any(|client| client.read().expect("an answer").header("connection") == Some("close"));
    assert!(told_to_close);
}

#[test]
fn leaves_new_clients_the_time_to_ask() {
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "new-clients", &discovery, 48, &[]);
    let held = hold_all_places(&gateway);
    // As many as it can take in beyond its places: none may be cut off to make room for one that may come.
    let asked_soon = || {
        let connected = Instant::now();
        let mut new: Vec<_> = (0..OVERFLOW_OF_48).map(|_| gateway.connect()).collect();
        sleep(Duration::from_millis(50));
        new.iter_mut().for_each(|c| c.write(request("once").as_bytes()));
        // Where this machine took longer than new clients have, they may be cut off.
        let soon = connected.elapsed() < Duration::from_millis(250);
        let answers: Vec<_> = new.iter_mut().map(|c| c.read().map(|a| a.status())).collect();
        assert!(!soon || answers == [Some(503); OVERFLOW_OF_48], "{answers:?}");
        soon
    };
    wait_for("a machine that is not too busy", asked_soon);
    drop(held);
}

#[test]
fn holds_its_own_want_of_sockets_against_no_host() {
    let host =
        ScriptedEndpoint::start(|r| if r.first.contains("look") { Reply::Hang } else { Reply::ok("ok") });
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "host-sockets", &discovery, 48, &crowd(&host));
    // More than there are sockets to hosts, and one less than there is room for clients.
    let mut held: Vec<_> = (1..CLIENTS_OF_48).map(|_| gateway.connect()).collect();
    held.iter_mut().for_each(|c| c.send("look"));
    wait_for("the sockets to run out", || host.count() >= 10);
    // Not sent for want of a socket, so surely not run: refused, though it is unsafe to repeat.
    assert_eq!(gateway.ask("brief-once").status(), 503);
    host.release();
    held.iter_mut().for_each(|c| assert!(c.read().is_some()));
    assert_eq!(gateway.ask("once").status(), 200);
}

#[test]
fn sees_that_the_host_closed_a_connection() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("stale", &[host.entry("s-1", 1)]);
    for _ in 0..5 {
        assert_eq!(gateway.ask("once").status(), 200);
        host.close_all();
    }
}

/// A process that ends closes its connections long before discovery tells: what may have started anew is sent little.
#[test]
fn sends_little_to_a_host_that_ended_its_idle_connections() {
    let hangs = Arc::new(AtomicBool::new(false));
    let host = |_| {
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
    let hosts: Vec<_> = (0..2).map(host).collect();
    let discovery = ScriptedDiscovery::start();
    let mut config = config("127.0.0.1:1", 1024, &entries(&hosts, &[1, 2]));
    // So little that hardly anything comes due while a busy machine stands still.
    config["settings"]["safety"]["cold_from"] = json!(0.01);
    config["settings"]["safety"]["cold_s"] = json!(3600.0);
    let gateway = Gateway::start_with(&PROGRAM, "ended", &discovery, &config);
    let mut clients: Vec<_> = (0..12).map(|_| gateway.connect()).collect();
    // Two at a time, so that both hosts serve; enough for the admission to let all twelve in later.
    for _ in 0..30 {
        clients[..2].iter_mut().for_each(|client| client.send("look"));
        assert!(clients[..2].iter_mut().all(|c| c.read().is_some_and(|answer| answer.status() == 200)));
    }
    assert!(hosts.iter().all(|h| h.count() > 10));
    sleep(Duration::from_millis(200));
    hosts[0].close_all();
    // Nothing shows from outside when the gateway has seen it: within 50 ms, on a machine that has time.
    sleep(Duration::from_secs(1));
    hangs.store(true, Ordering::SeqCst);
    let before = hosts[0].count();
    let all = sent(&hosts) + clients.len();
    clients.iter_mut().for_each(|client| client.send("look"));
    wait_for("all to be sent", || sent(&hosts) == all);
    // Half of them, were nothing known.
    assert!(hosts[0].count() - before <= 3, "{} of 12", hosts[0].count() - before);
    hosts.iter().for_each(ScriptedEndpoint::release);
    assert!(clients.iter_mut().all(|client| client.read().is_some_and(|answer| answer.status() == 200)));
}

#[test]
fn answers_what_it_holds_before_it_ends() {
    let host =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (mut gateway, _discovery) = start("sigterm", &crowd(&host));
    let mut idle = gateway.connect();
    assert_eq!(idle.ask("look").status(), 200);
    let mut held: Vec<_> = (0..3).map(|_| gateway.connect()).collect();
    held.iter_mut().for_each(|c| c.send("once"));
    wait_for("the attempts", || host.count() == 4);
    let (mut late, mut half) = (gateway.connect(), gateway.connect());
    half.write(b"GET /look HTTP/1.1\r\n"); // never ends, and must not keep the gateway
    gateway.signal("TERM");
    late.send("look");
    let answer = late.read().expect("an answer to a connection made before the end");
    assert_eq!((answer.status(), late.read().map(|a| a.first)), (200, None));
    host.release();
    for client in &mut held {
        let answer = client.read().expect("an answer");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"released"[..]));
        assert_eq!(answer.header("connection"), Some("close"));
    }
    assert!(gateway.wait().success());
}

#[test]
fn answers_malformed_requests_itself() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("malformed", &[host.entry("s-1", 1)]);
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
    assert_eq!(host.count(), 0);
    assert_eq!(gateway.ask("look").status(), 200);
}

#[test]
fn rejects_an_id_that_an_open_request_has() {
    let host =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (gateway, _discovery) = start("same-id", &crowd(&host));
    let (mut first, mut second) = (gateway.connect(), gateway.connect());
    let number = |text: String| {
        let lines =
            text.lines().map(|l| if l.starts_with("X-Request-ID") { "X-Request-ID: twice" } else { l });
        lines.collect::<Vec<_>>().join("\r\n") + if text.ends_with("body") { "" } else { "\r\n\r\n" }
    };
    first.write(number(request("once")).as_bytes());
    wait_for("the attempt", || host.count() == 1);
    // A host could not tell it from a second copy.
    second.write(number(request("look")).as_bytes());
    assert_eq!(second.read().expect("an answer").status(), 409);
    assert_eq!(host.count(), 1);
    host.release();
    assert_eq!(first.read().expect("an answer").status(), 200);
    // It is free again when that one is over.
    let mut third = gateway.connect();
    third.write(number(request("look")).as_bytes());
    assert_eq!(third.read().expect("an answer").status(), 200);
}

#[test]
fn passes_on_no_request_that_hides_in_a_body() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("hidden", &[host.entry("s-1", 1)]);
    let hidden = request("look");
    let (length, coding) = (format!("Content-Length: {}", hidden.len() + 5), "Transfer-Encoding: chunked");
    let framed = |lines: String| {
        let open = request("pay").replace("Content-Length: 4", &lines);
        open.replace("body", &format!("0\r\n\r\n{hidden}"))
    };
    let hiding = [
        framed(format!("{length}\r\n{coding}")),
        framed(format!("{coding}\r\n{length}")),
        framed(format!("{coding}\r\n{coding}")),
        framed("Transfer-Encoding: chunked, chunked".to_owned()),
        framed(format!("{length}\r\nContent-Length: 5")),
        framed("Content-Length: -5".to_owned()),
        framed("Content-Length: 99999999999999999999999".to_owned()),
        // Who reads the other one of two reads another request.
        request("pay").replace("X-Tenant", "X-Request-ID: other\r\nX-Tenant") + &hidden,
        request("pay").replace("X-Tenant", "Idempotency-Key: other\r\nX-Tenant") + &hidden,
        request("look").replace("X-Tenant", "Content-Length: 5\r\nX-Tenant") + "12345" + &hidden,
    ];
    for text in hiding {
        let mut client = gateway.connect();
        client.write(text.as_bytes());
        let status = client.read().unwrap_or_else(|| panic!("no answer to {text}")).status();
        assert!((400..500).contains(&status), "{status} to {text}");
        assert!(client.read().is_none(), "what follows was read: {text}");
    }
    assert_eq!(host.count(), 0);
}

#[test]
fn sends_hosts_what_the_protocol_names() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("passed-on", &[host.entry("s-1", 1)]);
    let mut client = gateway.connect();
    let odd = "X-Not-Processed: 1\r\nUpgrade: other\r\nX-Attrs: a=1\r\nX-Tenant-Id";
    client.write(request("look").replace("X-Tenant-Id", odd).as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 200);
    let seen = host.seen.lock().expect("lock").pop().expect("a request");
    let mut names: Vec<&str> = seen.headers.keys().map(String::as_str).collect();
    names.sort_unstable();
    let named = ["cookie", "host", "x-attrs", "x-priority-class", "x-request-id", "x-tenant-id", "x-timeout"];
    assert_eq!(names, named);
}

#[test]
fn ends_what_never_becomes_a_request_and_keeps_what_rests() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("silent", &[host.entry("s-1", 1)]);
    let mut resting = gateway.connect();
    assert_eq!(resting.ask("look").status(), 200);
    let started = Instant::now();
    let mut wanting: Vec<_> = (0..4).map(|_| gateway.connect()).collect();
    wanting[1].write(b"GET /look HTTP/1.1\r\nX-Half: ");
    assert_eq!(wanting[2].ask("look").status(), 200);
    wanting[2].write(b"GET /look HTTP/1.1\r\n");
    wanting[3].write(request("pay").replace("\r\n\r\nbody", "\r\n\r\nbo").as_bytes());
    for (n, client) in wanting.iter_mut().enumerate() {
        let status = client.read().map(|a| a.status());
        assert_eq!(status, (n == 3).then_some(408), "client {n}");
    }
    assert!(started.elapsed() < Duration::from_secs(25), "they kept their places");
    assert_eq!(resting.ask("look").status(), 200, "with room for all, a client may rest");
}

#[test]
fn is_ready_once_it_knows_a_host() {
    let (gateway, discovery) = start("ready", &[]);
    let ready = || {
        let mut client = gateway.connect();
        client.write(b"GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n");
        client.read().expect("an answer").status()
    };
    assert_eq!(ready(), 503);
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    discovery.push(json!({"index": 42, "snapshot": true, "endpoints": [host.entry("s-1", 1)]}));
    wait_for("readiness", || ready() == 200);
    assert_eq!(gateway.ask("look").status(), 200);
}

#[test]
fn says_what_is_wrong_with_its_configuration() {
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
        child.stderr.take().expect("a log").read_to_string(&mut log).expect("text");
        assert!(!child.wait().expect("a status").success(), "{name}");
        assert_eq!(log.lines().count(), 1, "{name}: {log}");
        assert!(log.starts_with("weldworks-gateway: "), "{name}: {log}");
    }
}
