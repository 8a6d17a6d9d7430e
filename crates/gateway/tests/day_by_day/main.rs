//! What staff do to a running gateway, and what large and slow clients and hosts do to it: the built program on loopback
//! sockets. No verdict hangs on how fast the machine is.

use ottervane_rig::bulk::{ask, Bulk, BulkNode, Form};
use ottervane_rig::scripted::{
    config, refusing, request, wait_for, write_config, Gateway, Program, Reply, ScriptedNode,
    ScriptedRegister, LONG,
};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

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
fn crowd(entry: impl Fn(&str) -> Value) -> Vec<Value> {
    (0..30).map(|n| entry(&format!("s-{n}"))).collect()
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

#[test]
fn answers_staff_whatever_other_callers_do() {
    let host = ScriptedNode::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("staff", &[host.entry("s-1", 1)]);
    assert_eq!(gateway.call("GET", "/_ready").status(), 200);
    assert_eq!(gateway.call("GET", "/_nothing").status(), 404);
    let wrong = gateway.call("POST", "/_lameduck/on");
    assert_eq!((wrong.status(), wrong.header("allow")), (405, Some("PUT")));
    assert_eq!(gateway.call("GET", "/_vars").header("connection"), Some("close"), "one call a connection");
    // Far more silent and half callers than there are places.
    let mut held: Vec<TcpStream> = (0..60).map(|_| gateway.caller()).collect();
    for half in held.iter_mut().step_by(2) {
        let _ = half.write_all(b"GET /_re"); // one that had to make room already is gone
    }
    let before = Instant::now();
    for _ in 0..5 {
        assert_eq!(gateway.call("GET", "/_ready").status(), 200);
    }
    // Behind all who say nothing it would be six rounds of 3 s.
    assert!(before.elapsed() < Duration::from_secs(10), "{:?}", before.elapsed());
    let mut long = gateway.caller();
    let _ = long.write_all(&[b'x'; 100_000]);
    ended(&mut long);
    held.iter_mut().for_each(ended); // each is let go, sooner or later
    assert_eq!(gateway.call("GET", "/_vars").status(), 200);
}

#[test]
fn counts_what_became_of_each_request() {
    let answers = |r: &ottervane_rig::scripted::Http| match r.first.split(['/', '?', ' ']).nth(2) {
        Some("look") => Reply::ok("ok"),
        Some("brief-once") => Reply::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()),
        Some("once") => Reply::Answer(500, "", Vec::new()),
        _ => Reply::Hang,
    };
    let host = ScriptedNode::start(answers);
    let (gateway, _discovery) = start("figures", &crowd(|name| host.entry(name, 1)));
    let before = gateway.call("GET", "/_vars");
    assert!(
        String::from_utf8_lossy(&before.body).contains("router_answered{group=\"book\"} 0\n"),
        "every class from 0"
    );
    let statuses: Vec<u16> = ["look", "look", "look", "brief-once", "once"]
        .iter()
        .map(|class| gateway.ask(class).status())
        .collect();
    assert_eq!(statuses, [200, 200, 200, 503, 502]);
    let mut malformed = gateway.connect();
    malformed.write(request("look").replace("X-Timeout: 40000m\r\n", "").as_bytes());
    assert_eq!(malformed.read().expect("an answer").status(), 400);
    let mut open = gateway.connect();
    open.send("pay");
    // What was turned away may have been tried at several of them.
    let turned_away = host.count() - 4;
    wait_for("the attempt", || host.count() == turned_away + 5);
    let figure = |name: &str| gateway.figure(name).expect("a figure");
    assert_eq!(figure("router_answered{group=\"look\"}"), 3);
    assert_eq!(figure("router_deferred{group=\"brief-once\"}"), 1);
    assert_eq!(figure("router_errored{group=\"once\"}"), 1);
    assert_eq!((figure("router_current"), figure("router_sends")), (1, host.count() as u64));
    assert_eq!(
        figure("router_errored{group=\"look\"}") + figure("router_deferred{group=\"look\"}"),
        0,
        "no request"
    );
    wait_for("the hosts' figures", || figure("router_cluster_size") == 30);
    host.release();
    assert_eq!(open.read().expect("an answer").status(), 200);
    assert_eq!((figure("router_current"), figure("router_answered{group=\"pay\"}")), (0, 1));
}

#[test]
fn tells_of_hosts_that_it_avoids() {
    let host = ScriptedNode::start(|_| Reply::ok("ok"));
    let (gateway, discovery) =
        start("avoided", &[host.entry("s-1", 1), host.entry("s-2", 1), host.entry("s-3", 1)]);
    wait_for("the hosts' figures", || gateway.figure("router_cluster_size") == Some(3));
    assert_eq!(gateway.figure("router_cluster_unhealthy"), Some(0));
    let leaving = ottervane_rig::scripted::entry("s-2", &host.address.to_string(), 1, "leaving");
    let left = ottervane_rig::scripted::entry("s-3", "", 1, "left");
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [leaving, left]}));
    wait_for("the news", || gateway.figure("router_cluster_size") == Some(2));
    assert_eq!(gateway.figure("router_cluster_unhealthy"), Some(1), "one that leaves is sent nothing new");
}

#[test]
fn leaves_service_and_comes_back() {
    let host = ScriptedNode::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (mut gateway, _discovery) = start("drain", &crowd(|name| host.entry(name, 1)));
    let (mut kept, mut busy) = (gateway.connect(), gateway.connect());
    assert_eq!(kept.ask("look").header("connection"), None);
    busy.send("once");
    wait_for("the attempt", || host.count() == 2);
    let mut silent = TcpStream::connect(&gateway.address).expect("a connection");
    let mut rests = TcpStream::connect(&gateway.address).expect("a connection");
    rests.write_all(request("look").as_bytes()).expect("a request");
    wait_for("the answer", || host.count() == 3);
    let before = Instant::now();
    assert_eq!(gateway.call("PUT", "/_lameduck/on").status(), 200);
    assert_eq!(gateway.call("PUT", "/_lameduck/on").status(), 200, "a second call changes nothing");
    assert_eq!(health(&gateway), 503, "at once");
    assert_eq!(gateway.call("GET", "/_ready").status(), 200, "it can serve still");
    // Who comes before the front has noticed is served; soon answers end their connections.
    wait_for("goodbyes", || gateway.ask("look").header("connection") == Some("close"));
    assert_eq!(kept.ask("look").status(), 200);
    assert!(kept.read().is_none(), "its own answer ends it");
    ended(&mut silent);
    ended(&mut rests);
    if before.elapsed() < Duration::from_secs(3) {
        assert!(before.elapsed() > Duration::from_millis(400), "not while the front may not have noticed");
    }
    host.release();
    assert_eq!(busy.read().expect("an answer").status(), 200, "what was open is answered");
    assert!(gateway.runs());
    assert_eq!(gateway.call("PUT", "/_lameduck/off").status(), 200);
    assert_eq!(health(&gateway), 200);
    let mut again = gateway.connect();
    assert_eq!(again.ask("look").header("connection"), None);
    assert_eq!(again.ask("look").status(), 200);
}

#[test]
fn a_drain_taken_back_at_once_closes_nothing() {
    let host = ScriptedNode::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("drain-back", &[host.entry("s-1", 1)]);
    let mut kept = gateway.connect();
    kept.ask("look");
    for call in ["/_lameduck/on", "/_lameduck/off", "/_lameduck/on", "/_lameduck/off"] {
        assert_eq!(gateway.call("PUT", call).status(), 200);
    }
    sleep(Duration::from_millis(2500)); // an old drain would have ended it by now
    assert_eq!(kept.ask("look").header("connection"), None);
    assert_eq!(health(&gateway), 200);
}

#[test]
fn takes_new_settings_whole_and_open_requests_keep_the_old_ones() {
    let host = ScriptedNode::start(|r| if r.first.contains("pay") { Reply::Hang } else { Reply::ok("ok") });
    let discovery = ScriptedRegister::start();
    let config = managed(&discovery, &crowd(|name| host.entry(name, 1)));
    let gateway = Gateway::start_with(&PROGRAM, "settings", &discovery, &config);
    let mut open = gateway.connect();
    open.send("pay");
    wait_for("the attempt", || host.count() == 1);
    // pay must not be repeated from now on, look is gone, glance has come.
    let mut new = config.clone();
    let classes = new["settings"]["classes"].as_array_mut().expect("classes");
    classes[0]["name"] = "glance".into();
    classes[1]["effect"] = "single_shot".into();
    new["settings"]["policy_limits"]["try_limit"] = 1.into();
    write_config(&PROGRAM, "settings", &new.to_string());
    gateway.signal("HUP");
    wait_for("the new file", || gateway.figure("router_conf_loaded") == Some(1));
    let glance = request("look").replace("look", "glance");
    let mut client = gateway.connect();
    client.write(glance.as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 200);
    wait_for("the end of look", || gateway.ask("look").status() == 400);
    assert_eq!(gateway.ask("pay").status(), 400, "the new pay has no key");
    assert_eq!(gateway.ask("once").status(), 200);
    host.release();
    assert_eq!(open.read().expect("an answer").status(), 200, "it came under the old rules");
    let text = String::from_utf8(gateway.call("GET", "/_vars").body).expect("text");
    assert!(
        text.contains("router_answered{group=\"glance\"} 1\n")
            && text.contains("router_answered{group=\"look\"}")
    );
}

/// Clients turn to new classes a while after the file does.
#[test]
fn a_class_that_was_dropped_is_served_as_long_as_clients_may_use_it() {
    let host = ScriptedNode::start(|_| Reply::ok("ok"));
    let discovery = ScriptedRegister::start();
    let config = managed(&discovery, &crowd(|name| host.entry(name, 1)));
    let gateway = Gateway::start_with(&PROGRAM, "leaving", &discovery, &config);
    let mut new = config.clone();
    let classes = new["settings"]["classes"].as_array_mut().expect("classes");
    classes[0]["name"] = "glance".into();
    classes[1]["effect"] = "free".into();
    write_config(&PROGRAM, "leaving", &new.to_string());
    // Ten signals in a row change nothing more than one.
    (0..10).for_each(|_| gateway.signal("HUP"));
    let changed = Instant::now();
    wait_for("the new file", || gateway.figure("router_conf_loaded") > Some(0));
    let (look, pay) = (gateway.ask("look").status(), gateway.ask("pay").status());
    if changed.elapsed() < Duration::from_millis(1500) {
        assert_eq!((look, pay), (200, 200), "by the old rules");
    }
    let free = request("look").replace("look", "pay");
    let mut client = gateway.connect();
    client.write(free.as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 200, "by the new rules, all the while");
    wait_for("the end of the old rules", || {
        gateway.ask("pay").status() == 405 && gateway.ask("look").status() == 400
    });
}

#[test]
fn a_keyed_request_keeps_its_rules_when_its_class_becomes_unsafe() {
    // The first attempt breaks once the settings have changed; by its own rules the request may be sent again.
    let (changed, first) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(true)));
    let seen = (changed.clone(), first.clone());
    let host = ScriptedNode::start(move |_| {
        if !seen.1.swap(false, Ordering::SeqCst) {
            return Reply::ok("ok");
        }
        wait_for("the new settings", || seen.0.load(Ordering::SeqCst));
        Reply::Break
    });
    let discovery = ScriptedRegister::start();
    let config = managed(&discovery, &crowd(|name| host.entry(name, 1)));
    let gateway = Gateway::start_with(&PROGRAM, "keyed", &discovery, &config);
    let mut open = gateway.connect();
    open.send("pay");
    wait_for("the attempt", || !first.load(Ordering::SeqCst));
    let mut new = config.clone();
    new["settings"]["classes"][1]["effect"] = "single_shot".into();
    new["settings"]["policy_limits"]["try_limit"] = 1.into();
    write_config(&PROGRAM, "keyed", &new.to_string());
    gateway.signal("HUP");
    wait_for("the new file", || gateway.figure("router_conf_loaded") == Some(1));
    changed.store(true, Ordering::SeqCst);
    assert_eq!(open.read().expect("an answer").status(), 200);
    assert_eq!(host.count(), 2);
}

#[test]
fn turns_bad_files_down_whole() {
    let host = ScriptedNode::start(|_| Reply::ok("ok"));
    let discovery = ScriptedRegister::start();
    let config = managed(&discovery, &[host.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "bad-files", &discovery, &config);
    let mut new = config.clone();
    new["settings"]["classes"][0]["name"] = "glance".into();
    let whole = new.to_string();
    let with = |change: &dyn Fn(&mut Value)| {
        let mut bad = new.clone();
        change(&mut bad);
        bad.to_string()
    };
    let bad = [
        String::new(),
        whole[..whole.len() / 2].to_owned(),
        whole[..whole.len() - 1].to_owned(),
        "[]".to_owned(),
        with(&|c| drop(c["settings"].as_object_mut().and_then(|s| s.remove("safety")))),
        with(&|c| drop(c["settings"]["classes"][2].as_object_mut().and_then(|s| s.remove("group")))),
        with(&|c| c["settings"]["classes"][1]["deadline_s"] = json!(-1)),
        with(&|c| c["settings"]["classes"][1]["deadline_s"] = json!("soon")),
        with(&|c| c["settings"]["policy_limits"]["try_limit"] = json!(0)),
        with(&|c| c["settings"]["classes"][1]["name"] = json!("glance")),
        whole.replace("50.0", "1e999"),
    ];
    for (n, text) in (1..).zip(&bad) {
        write_config(&PROGRAM, "bad-files", text);
        gateway.signal("HUP");
        wait_for("the verdict", || gateway.figure("router_conf_invalid") == Some(n));
    }
    assert_eq!(gateway.figure("router_conf_loaded"), Some(0));
    assert_eq!(gateway.ask("look").status(), 200, "all is as before");
    write_config(&PROGRAM, "bad-files", &whole);
    gateway.signal("HUP");
    wait_for("the good file", || gateway.figure("router_conf_loaded") == Some(1));
    wait_for("the end of look", || gateway.ask("look").status() == 400);
}

#[test]
fn a_thousand_files_grow_nothing() {
    let host = ScriptedNode::start(|_| Reply::ok("ok"));
    let discovery = ScriptedRegister::start();
    let config = managed(&discovery, &[host.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "thousand", &discovery, &config);
    let turn = |rounds: std::ops::Range<u64>| {
        for n in rounds {
            let mut new = config.clone();
            new["settings"]["classes"][4]["promise_s"] = json!(1.0 + n as f64 / 1000.0);
            write_config(&PROGRAM, "thousand", &new.to_string());
            gateway.signal("HUP");
            wait_for("the file", || gateway.figure("router_conf_loaded") > Some(n));
        }
    };
    turn(0..50);
    assert_eq!(gateway.ask("look").status(), 200);
    let before = gateway.peak_memory();
    turn(50..300);
    assert_eq!(gateway.ask("brief").status(), 200);
    assert!(gateway.peak_memory() < before + 1024, "{before} KiB, then {}", gateway.peak_memory());
}

#[test]
fn a_new_process_takes_over_without_a_lost_request() {
    let host = ScriptedNode::start(|_| Reply::ok("ok"));
    let hosts = crowd(|name| host.entry(name, 1));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let begin = |name: &str| {
        let discovery = ScriptedRegister::start();
        let gateway =
            Gateway::start_shared(&PROGRAM, name, &discovery, &managed(&discovery, &hosts), &listener);
        discovery.push(json!({"index": 42, "snapshot": true, "endpoints": hosts}));
        wait_for("readiness", || gateway.call("GET", "/_ready").status() == 200);
        (gateway, discovery)
    };
    let (mut old, _discovery) = begin("upgrade-old");
    let mut resting = TcpStream::connect(&address).expect("a connection");
    resting.write_all(request("look").as_bytes()).expect("a request");
    wait_for("the answer", || host.count() == 1);
    // Clients on kept connections, and on new ones, all the while.
    let (over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..4)
        .map(|n| {
            let (address, over, served) = (address.clone(), over.clone(), served.clone());
            spawn(move || {
                let mut stream: Option<TcpStream> = None;
                while !over.load(Ordering::SeqCst) {
                    let mut connected =
                        stream.take().unwrap_or_else(|| TcpStream::connect(&address).expect("accepted"));
                    connected.set_read_timeout(Some(LONG)).expect("a time-out");
                    connected.write_all(request("look").as_bytes()).expect("written");
                    let mut reader = std::io::BufReader::new(connected.try_clone().expect("a clone"));
                    let answer = ottervane_rig::scripted::Http::read(&mut reader).expect("an answer");
                    assert_eq!(answer.status(), 200);
                    served.fetch_add(1, Ordering::SeqCst);
                    let close = answer.header("connection") == Some("close");
                    stream = (n % 2 == 0 && !close).then_some(connected);
                    sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();
    wait_for("traffic", || served.load(Ordering::SeqCst) > 50);
    let (new, _news) = begin("upgrade-new");
    old.signal("TERM");
    assert!(old.wait().success(), "it leaves by itself once nothing is left to answer");
    ended(&mut resting);
    let by_then = served.load(Ordering::SeqCst);
    wait_for("the new process's traffic", || served.load(Ordering::SeqCst) > by_then + 50);
    over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("no request was lost");
    }
    assert!(new.figure("router_answered{group=\"look\"}") > Some(0));
}

/// What an operator reads when a port is taken: which, by which setting, and what to do.
#[test]
fn says_which_address_is_taken_and_by_which_setting() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    for (key, variable) in [("listen", "ROUTER_LISTEN"), ("management", "ROUTER_MANAGEMENT")] {
        let mut config = config("127.0.0.1:1", 256, &[]);
        config[key] = address.clone().into();
        let name = format!("taken-{key}");
        write_config(&PROGRAM, &name, &config.to_string());
        let mut command = std::process::Command::new(PROGRAM.path);
        command.env("ROUTER_CONFIG", format!("{}/{name}.json", PROGRAM.folder));
        for unset in ["ROUTER_LISTEN", "ROUTER_MANAGEMENT", "ROUTER_DISCOVERY", "ROUTER_INHERITED_FD"] {
            command.env_remove(unset);
        }
        let output = command.output().expect("the built gateway");
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{text}");
        assert!(
            [&address, &format!("`{key}`"), variable, "in use"].iter().all(|word| text.contains(word)),
            "{text}"
        );
    }
}

#[test]
fn says_what_is_wrong_with_a_descriptor_handed_on() {
    let discovery = ScriptedRegister::start();
    let text = config(&discovery.address.to_string(), 256, &[]).to_string();
    write_config(&PROGRAM, "handed", &text);
    for (value, told) in
        [("four", "no number"), ("77", "no listening TCP socket"), ("0", "no listening TCP socket")]
    {
        let output = std::process::Command::new(PROGRAM.path)
            .env("ROUTER_CONFIG", format!("{}/handed.json", PROGRAM.folder))
            .env("ROUTER_INHERITED_FD", value)
            .stdin(std::process::Stdio::null())
            .output()
            .expect("the built gateway");
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{text}");
        assert!(text.contains("ROUTER_INHERITED_FD") && text.contains(told), "{text}");
    }
}

#[test]
fn passes_large_bodies_on_unchanged_in_every_form() {
    let size = (3 << 20) + 17;
    for form in [Form::Length, Form::Chunked, Form::Close, Form::Old] {
        let node = BulkNode::start(Bulk::new(size, form));
        let (gateway, _discovery) = start(&format!("large-{form:?}"), &[node.entry("s-1")]);
        let up = Bulk::new(size + 5, if form == Form::Length { Form::Length } else { Form::Chunked });
        let answer = ask(&gateway.address, &request("once"), Some(up), Duration::ZERO).expect("an answer");
        assert_eq!((answer.status(), answer.whole, answer.length), (200, true, size), "{form:?}");
        assert_eq!(answer.digest, Bulk::new(size, form).digest(), "{form:?}");
        let seen = node.seen.lock().expect("lock").pop().expect("a request");
        assert_eq!((seen.length, seen.digest), (up.length, up.digest()), "{form:?}");
        let answer = ask(&gateway.address, &request("look"), None, Duration::ZERO).expect("an answer");
        assert_eq!((answer.status(), answer.whole, answer.length), (200, true, size), "{form:?}");
        wait_for("the count", || gateway.figure("router_answered{group=\"look\"}") == Some(1));
        assert_eq!(gateway.figure("router_current"), Some(0));
    }
}

#[test]
fn takes_every_form_of_a_small_request() {
    let host = ScriptedNode::start(|r| Reply::Answer(200, "", [b"re: ", &r.body[..]].concat()));
    let (gateway, _discovery) = start("forms", &[host.entry("s-1", 1)]);
    let plain = request("once");
    let chunked = |lines: &str| {
        plain.replace(
            "Content-Length: 4\r\n\r\nbody",
            &format!("{lines}\r\n\r\n2;a=\"b\"\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: 1\r\n\r\n"),
        )
    };
    let forms = [
        plain.clone(),
        chunked("Transfer-Encoding: chunked"),
        chunked("tRANSFER-eNCODING: Chunked"),
        plain
            .replace("POST /once", "POST http://backend.local/once")
            .replace("X-Priority-Class", "x-pRIORITY-cLASS"),
        format!("\r\n{plain}"),
    ];
    for (n, text) in forms.iter().enumerate() {
        // In one piece, and a few bytes at a time.
        for size in [text.len(), 7] {
            let id = format!("X-Request-ID: {:016x}", 0x7000 + 2 * n + usize::from(size == 7));
            let text = text.lines().map(|l| if l.starts_with("X-Request-ID") { &id } else { l });
            let text = text.collect::<Vec<_>>().join("\r\n")
                + if text_ends_with_body(&forms[n]) { "" } else { "\r\n\r\n" };
            let mut client = gateway.connect();
            for piece in text.as_bytes().chunks(size) {
                client.write(piece);
                if size == 7 {
                    sleep(Duration::from_millis(1));
                }
            }
            let answer = client.read().expect("an answer");
            assert_eq!((answer.status(), &answer.body[..]), (200, &b"re: body"[..]), "form {n}, by {size}");
        }
    }
    let seen = host.seen.lock().expect("lock");
    assert!(seen.iter().all(|r| r.first == "POST /once HTTP/1.1"), "hosts are asked for paths");
}

fn text_ends_with_body(text: &str) -> bool {
    text.ends_with("body")
}

#[test]
fn neither_side_of_a_large_answer_is_held_to_the_time_of_a_small_one() {
    let pace = Some((32 << 10, Duration::from_millis(30)));
    let node = BulkNode::start(Bulk { pace, ..Bulk::new(2 << 20, Form::Chunked) });
    let (gateway, _discovery) = start("slow-large", &[node.entry("s-1")]);
    // brief is given up after 1.5 s; its answer takes 2 s to come, and as long to be read.
    let answer =
        ask(&gateway.address, &request("brief"), None, Duration::from_millis(10)).expect("an answer");
    assert_eq!((answer.status(), answer.whole, answer.length), (200, true, 2 << 20));
    // Small chunks with extensions, far over what the library allows them together.
    let chunks = Bulk { pace: Some((500, Duration::ZERO)), ..Bulk::new(2 << 20, Form::Chunked) };
    let answer = ask(&gateway.address, &request("once"), Some(chunks), Duration::ZERO).expect("an answer");
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert_eq!(node.seen.lock().expect("lock").pop().expect("a request").digest, chunks.digest());
    // And down: half a megabyte in chunks of 100 bytes with an extension each.
    let small =
        BulkNode::start(Bulk { pace: Some((100, Duration::ZERO)), ..Bulk::new(1 << 19, Form::Chunked) });
    let (extended, _extended_news) = start("extended", &[small.entry("s-1")]);
    let answer = ask(&extended.address, &request("once"), None, Duration::ZERO).expect("an answer");
    assert_eq!((answer.status(), answer.whole, answer.length), (200, true, 1 << 19));
    // A slow body up: its client's time runs from the last byte.
    let up = Bulk { pace, ..Bulk::new(2 << 20, Form::Length) };
    let answer = ask(&gateway.address, &request("brief-once"), Some(up), Duration::ZERO).expect("an answer");
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert_eq!(node.seen.lock().expect("lock").pop().expect("a request").digest, up.digest());
}

#[test]
fn a_host_that_breaks_off_is_told_to_the_client_and_a_client_that_goes_to_the_host() {
    for form in [Form::Length, Form::Chunked] {
        let node = BulkNode::start(Bulk { breaks: Some(1 << 20), ..Bulk::new(4 << 20, form) });
        let (gateway, _discovery) = start(&format!("breaks-{form:?}"), &[node.entry("s-1")]);
        let answer = ask(&gateway.address, &request("look"), None, Duration::ZERO).expect("a beginning");
        assert_eq!(
            (answer.status(), answer.whole),
            (200, false),
            "{form:?}: it must show that it is not whole"
        );
        wait_for("the count", || gateway.figure("router_errored{group=\"look\"}") == Some(1));
        assert_eq!(node.seen.lock().expect("lock").len(), 1, "what was begun is final");
    }
    let node = BulkNode::start(Bulk::new(32 << 20, Form::Length));
    let (gateway, _discovery) = start("goes", &[node.entry("s-1")]);
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    client.write_all(request("look").as_bytes()).expect("a request");
    client.read_exact(&mut [0; 1000]).expect("a beginning");
    drop(client);
    wait_for("the host's release", || node.left.load(Ordering::SeqCst) == 1);
    wait_for("the count", || gateway.figure("router_current") == Some(0));
}

/// The client writes all the while, so that only the host can be at fault; the longest body may take half an hour.
#[test]
fn a_host_that_takes_no_more_of_a_body_is_left() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address").to_string();
    spawn(move || {
        let held: Vec<_> = listener.incoming().take(1).collect();
        sleep(2 * LONG);
        drop(held);
    });
    let (gateway, _discovery) =
        start("takes-none", &[ottervane_rig::scripted::entry("s-1", &at, 1, "active")]);
    let up = Bulk::new(30 << 20, Form::Length);
    let answer = ask(&gateway.address, &request("once"), Some(up), Duration::ZERO).expect("an answer");
    assert_eq!(answer.status(), 503, "it has not had the whole, so it has not run");
}

/// Nothing comes from the host by which the gateway could notice: it looks at the client.
#[test]
fn a_client_that_goes_frees_a_host_that_rests() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address").to_string();
    let freed = Arc::new(AtomicBool::new(false));
    let seen = freed.clone();
    spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n");
        let _ = stream.write_all(&[b'x'; 200_000]);
        let _ = stream.read(&mut [0; 1]);
        seen.store(true, Ordering::SeqCst);
        sleep(LONG);
    });
    let (gateway, _discovery) = start("rests", &[ottervane_rig::scripted::entry("s-1", &at, 1, "active")]);
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    client.write_all(request("look").as_bytes()).expect("a request");
    client.read_exact(&mut vec![0; 150_000]).expect("a beginning");
    let left = Instant::now();
    drop(client);
    wait_for("the host's release", || freed.load(Ordering::SeqCst));
    assert!(left.elapsed() < Duration::from_secs(9), "after 10 s a host that rests is given up anyway");
}

#[test]
fn a_body_that_is_gone_is_not_sent_again_and_one_that_is_not_is() {
    // The host that takes no connection is tried first or not: either way the other one gets the whole body.
    let (_held, nobody) = refusing();
    let node = BulkNode::start(Bulk::new(10, Form::Length));
    let dead = ottervane_rig::scripted::entry("s-0", &nobody, 1, "active");
    let (gateway, _discovery) = start("unspent", &[dead, node.entry("s-1")]);
    for _ in 0..6 {
        let up = Bulk::new(1 << 20, Form::Chunked);
        let answer = ask(&gateway.address, &request("once"), Some(up), Duration::ZERO).expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(node.seen.lock().expect("lock").pop().expect("a request").digest, up.digest());
    }
    // One that closes in the middle of it: refused, for it has not run, and sent nowhere else.
    let breaking = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = breaking.local_addr().expect("an address").to_string();
    let tries = Arc::new(AtomicUsize::new(0));
    let count = tries.clone();
    spawn(move || {
        for stream in breaking.incoming().flatten() {
            count.fetch_add(1, Ordering::SeqCst);
            let mut stream = stream;
            let _ = stream.read_exact(&mut [0; 100_000]);
        }
    });
    let hosts: Vec<Value> =
        (0..3).map(|n| ottervane_rig::scripted::entry(&format!("s-{n}"), &at, 1, "active")).collect();
    let (gateway, _discovery) = start("spent", &hosts);
    let up = Bulk { pace: Some((64 << 10, Duration::from_millis(20))), ..Bulk::new(2 << 20, Form::Length) };
    let answer = ask(&gateway.address, &request("pay"), Some(up), Duration::ZERO).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    assert_eq!(tries.load(Ordering::SeqCst), 1);
}

#[test]
fn ends_bodies_that_come_too_slowly_or_are_too_long() {
    let node = BulkNode::start(Bulk::new(10, Form::Length));
    let (gateway, _discovery) = start("too-slow", &[node.entry("s-1")]);
    // 2 KB a second, within what is held and beyond it.
    for so_far in [1 << 10, 80 << 10] {
        let mut client = gateway.connect();
        let head = request("once").replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 900000\r\n\r\n");
        client.write(head.as_bytes());
        client.write(&vec![b'x'; so_far]);
        assert_eq!(client.read().expect("an answer").status(), 408, "after {so_far}");
    }
    wait_for("the host's release", || node.broken.load(Ordering::SeqCst) == 1);
    let up = Bulk::new((32 << 20) + 1, Form::Chunked);
    let answer = ask(&gateway.address, &request("once"), Some(up), Duration::ZERO);
    assert!(answer.is_none_or(|answer| (400..500).contains(&answer.status())));
    wait_for("the host's release", || node.broken.load(Ordering::SeqCst) == 2);
    assert!(node.seen.lock().expect("lock").is_empty());
    // An answer that is found to be too long, and one that says so.
    let grows = BulkNode::start(Bulk::new((32 << 20) + 1, Form::Chunked));
    let (growing, _growing_news) = start("grows", &[grows.entry("s-1")]);
    let answer = ask(&growing.address, &request("look"), None, Duration::ZERO).expect("a beginning");
    assert_eq!((answer.status(), answer.whole), (200, false), "it must show that it is not whole");
    let long = BulkNode::start(Bulk::new((32 << 20) + 1, Form::Length));
    let (gateway, _discovery) = start("too-long", &[long.entry("s-1")]);
    assert_eq!(ask(&gateway.address, &request("once"), None, Duration::ZERO).map(|a| a.status()), Some(502));
}

#[test]
fn memory_stays_bounded_whatever_passes() {
    // Forty clients at once, 6 MiB each way, read slowly: 480 MiB through a process that may have 64 MB.
    let node = BulkNode::start(Bulk::new(6 << 20, Form::Chunked));
    let discovery = ScriptedRegister::start();
    let mut config = managed(&discovery, &crowd(|name| node.entry(name)));
    config["limits"]["memory_mb"] = 64.into();
    config["limits"]["sockets"] = 512.into();
    let gateway = Gateway::start_with(&PROGRAM, "memory", &discovery, &config);
    let address = &gateway.address;
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..40)
            .map(|n| {
                scope.spawn(move || {
                    let up = Bulk::new(6 << 20, if n % 2 == 0 { Form::Chunked } else { Form::Length });
                    ask(address, &request("pay"), Some(up), Duration::from_millis(1))
                })
            })
            .collect();
        let answers = clients.into_iter().map(|client| client.join().expect("a client"));
        let whole = answers.flatten().filter(|a| a.status() == 200 && a.whole && a.length == 6 << 20).count();
        assert!(whole >= 20, "{whole} were served"); // others may be refused while that many are out
    });
    let peak = gateway.peak_memory();
    assert!(peak < 48 << 10, "{peak} KiB");
}

#[test]
fn what_a_killed_gateway_held_is_free_at_its_hosts_and_served_by_the_next_process() {
    let host = ScriptedNode::start(|r| if r.first.contains("pay") { Reply::Hang } else { Reply::ok("ok") });
    let hosts = crowd(|name| host.entry(name, 1));
    let (mut gateway, _discovery) = start("killed", &hosts);
    let mut held: Vec<_> = (0..8).map(|_| gateway.connect()).collect();
    held.iter_mut().for_each(|client| client.send("pay"));
    wait_for("the attempts", || host.count() == 8);
    gateway.signal("KILL");
    gateway.wait();
    wait_for("the hosts' release", || host.left.load(Ordering::SeqCst) == 8);
    let (next, _discovery) = start("killed", &hosts);
    assert_eq!(next.ask("look").status(), 200);
    assert_eq!(next.figure("router_sends"), Some(1), "each process counts from 0");
    held.iter_mut().for_each(|client| client.forget());
}

#[test]
fn a_new_process_goes_on_from_what_the_old_one_knew_and_shares_the_descriptors() {
    // One host is slow: the old process learns it, and the new one knows it from its first request.
    let quick = ScriptedNode::start(|_| Reply::ok("ok"));
    let slow = ScriptedNode::start(|_| {
        sleep(Duration::from_millis(120));
        Reply::ok("ok")
    });
    let hosts = [quick.entry("s-1", 1), slow.entry("s-2", 1)];
    let folder = format!("{}/handed-memory", env!("CARGO_TARGET_TMPDIR"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let begin = |name: &str| {
        let discovery = ScriptedRegister::start();
        let config = managed(&discovery, &hosts);
        let gateway = Gateway::start_sharing(&PROGRAM, name, &discovery, &config, &listener, &folder);
        discovery.push(json!({"index": 42, "snapshot": true, "endpoints": hosts}));
        wait_for("readiness", || gateway.call("GET", "/_ready").status() == 200);
        (gateway, discovery)
    };
    let (mut old, _old_news) = begin("memory-old");
    for _ in 0..40 {
        assert_eq!(old.ask("look").status(), 200);
    }
    let memory = format!("{folder}/ottervane.memory");
    wait_for("the memory of both hosts", || {
        std::fs::read_to_string(&memory).is_ok_and(|text| text.matches("\nhost ").count() == 2)
    });
    let (new, _new_news) = begin("memory-new");
    old.signal("TERM");
    assert!(old.wait().success());
    // Until a raised E has faded, the slow one gets next to nothing.
    let before = slow.count();
    for _ in 0..20 {
        assert_eq!(new.ask("look").status(), 200);
    }
    assert!(slow.count() - before <= 4, "{} of 20 went to the slow host", slow.count() - before);
    drop(new);
    // A spoilt file costs the memory and nothing else.
    std::fs::write(&memory, "ottervane-handover 1\nwritten soon\n").expect("a file");
    let (spoilt, _news) = begin("memory-spoilt");
    assert_eq!(spoilt.ask("look").status(), 200);
}

/// What clients got is what the figures say, for each class, once all is over; whatever hosts did.
#[test]
fn figures_agree_with_what_clients_got_on_days_drawn_at_random() {
    for seed in [3u64, 11, 29] {
        let drawn = Arc::new(AtomicUsize::new(0));
        let draw = move |n: usize| (ottervane::mix(seed.wrapping_mul(1 << 20) ^ n as u64) % 100) as usize;
        let next = drawn.clone();
        let host = ScriptedNode::start(move |_| match draw(next.fetch_add(1, Ordering::SeqCst)) {
            0..70 => Reply::ok("ok"),
            70..80 => Reply::Answer(500, "", Vec::new()),
            80..90 => Reply::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()),
            90..95 => Reply::Half,
            _ => Reply::Break,
        });
        let (gateway, _discovery) = start(&format!("tally-{seed}"), &crowd(|name| host.entry(name, 1)));
        let classes = ["look", "pay", "book", "once"];
        let mut got = [[0u64; 3]; 4];
        let mut client = gateway.connect();
        for n in 0..160 {
            let class = draw(1000 + n) % classes.len();
            client.send(classes[class]);
            let answer = client.read().expect("an answer");
            let how = match answer.status() {
                200 => 0,
                429 | 503 => 1,
                _ => 2,
            };
            got[class][how] += 1;
            if answer.header("connection") == Some("close") {
                client = gateway.connect();
            }
        }
        for (class, got) in classes.iter().zip(got) {
            let figure = |name: &str| {
                gateway.figure(&format!("router_{name}{{group=\"{class}\"}}")).expect("a figure")
            };
            assert_eq!(
                [figure("answered"), figure("deferred"), figure("errored")],
                got,
                "{class}, seed {seed}"
            );
        }
        assert_eq!(
            (gateway.figure("router_current"), gateway.figure("router_sends")),
            (Some(0), Some(host.count() as u64))
        );
    }
}

/// Cuts change nothing: sizes of pieces and chunks are drawn, both ways.
#[test]
fn pieces_cut_anywhere_arrive_as_they_were_sent() {
    for seed in 0u64..8 {
        let draw = |n: u64, most: u64| 1 + ottervane::mix(seed << 8 | n) % most;
        let paced = |n: u64, length: u64, form: Form| Bulk {
            pace: Some((draw(n, 40_000) as usize, Duration::from_micros(200))),
            ..Bulk::new(length, form)
        };
        let down = paced(1, draw(2, 300_000), if seed % 2 == 0 { Form::Chunked } else { Form::Length });
        let up = paced(3, draw(4, 300_000), if seed % 3 == 0 { Form::Length } else { Form::Chunked });
        let node = BulkNode::start(down);
        let (gateway, _discovery) = start(&format!("cuts-{seed}"), &[node.entry("s-1")]);
        let answer = ask(&gateway.address, &request("once"), Some(up), Duration::ZERO).expect("an answer");
        assert_eq!(
            (answer.status(), answer.whole, answer.length),
            (200, true, down.length),
            "{down:?} for {up:?}"
        );
        assert_eq!(answer.digest, down.digest(), "{down:?}");
        assert_eq!(node.seen.lock().expect("lock").pop().expect("a request").digest, up.digest(), "{up:?}");
    }
}

/// A measurement, not a check of each landing: `cargo test --release -p ottervane-gateway --test day_by_day -- --ignored --nocapture`.
#[test]
#[ignore = "13 GB over loopback"]
fn two_hundred_transfers_of_32_mb_at_once() {
    let node = BulkNode::start(Bulk::new(32_000_000, Form::Length));
    let discovery = ScriptedRegister::start();
    let mut config =
        managed(&discovery, &(0..300).map(|n| node.entry(&format!("s-{n}"))).collect::<Vec<_>>());
    config["limits"]["memory_mb"] = 192.into();
    config["limits"]["sockets"] = 1024.into();
    let gateway = Gateway::start_with(&PROGRAM, "two-hundred", &discovery, &config);
    let address = &gateway.address;
    let begun = Instant::now();
    let whole = std::thread::scope(|scope| {
        let ask_one = |n: u64| {
            move || {
                ask(address, &request("pay"), Some(Bulk::new(32_000_000 - n, Form::Chunked)), Duration::ZERO)
            }
        };
        let clients: Vec<_> = (0..200).map(|n| scope.spawn(ask_one(n))).collect();
        let answers = clients.into_iter().filter_map(|client| client.join().expect("a client"));
        answers.filter(|a| a.status() == 200 && a.whole).count()
    });
    println!("{whole} of 200 whole in {:?}, peak {} KiB", begun.elapsed(), gateway.peak_memory());
    assert!(gateway.peak_memory() < 192 << 10);
}

/// Replacements that go wrong, or come in the middle of something else.
#[test]
fn a_replacement_that_fails_or_comes_twice_leaves_somebody_serving() {
    let host = ScriptedNode::start(|_| Reply::ok("ok"));
    let hosts = crowd(|name| host.entry(name, 1));
    let folder = format!("{}/handed-often", env!("CARGO_TARGET_TMPDIR"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let begin = |name: &str, hosts: &[Value]| {
        let discovery = ScriptedRegister::start();
        let config = managed(&discovery, hosts);
        let gateway = Gateway::start_sharing(&PROGRAM, name, &discovery, &config, &listener, &folder);
        discovery.push(json!({"index": 42, "snapshot": true, "endpoints": hosts}));
        (gateway, discovery)
    };
    let ready = |gateway: &Gateway| wait_for("readiness", || gateway.call("GET", "/_ready").status() == 200);
    let asked = || ask(&address, &request("look"), None, Duration::ZERO).expect("an answer").status();
    let (mut first, _first_news) = begin("often-1", &hosts);
    ready(&first);
    // One that knows no host never says yes; the old one serves on, and the new one is ended.
    let (mut blind, _blind_news) = begin("often-blind", &[]);
    sleep(Duration::from_millis(500));
    let unready = blind.call("GET", "/_ready");
    let why = String::from_utf8_lossy(&unready.body).into_owned();
    assert!(unready.status() == 503 && why.contains("discovery"), "{why}");
    for _ in 0..20 {
        assert_eq!(asked(), 200, "the blind one takes no client from the one that serves");
    }
    blind.signal("TERM");
    assert!(blind.wait().success());
    assert_eq!(asked(), 200);
    // Replaced while it is drained: the new one is not.
    assert_eq!(first.call("PUT", "/_lameduck/on").status(), 200);
    let (mut second, _second_news) = begin("often-2", &hosts);
    ready(&second);
    // Either may answer the front; the new one says yes.
    wait_for("a yes", || health(&second) == 200);
    // A third comes before the first has gone; the first is killed outright, the second told to stop.
    let (third, _third_news) = begin("often-3", &hosts);
    first.signal("KILL");
    first.wait();
    ready(&third);
    second.signal("TERM");
    assert!(second.wait().success());
    for _ in 0..5 {
        assert_eq!(asked(), 200);
    }
    // Alone again, the third one holds the lock, and writes what it knows.
    let memory = format!("{folder}/ottervane.memory");
    let before = std::fs::read_to_string(&memory).unwrap_or_default();
    wait_for("its own word", || std::fs::read_to_string(&memory).is_ok_and(|text| text != before));
}

/// What discovery says binds the new process from its yes on, whatever the old one was told; and both live within one small limit.
#[test]
fn a_replacement_heeds_drains_and_cold_hosts_with_few_descriptors() {
    let ok = || ScriptedNode::start(|_| Reply::ok("ok"));
    let (warm, drained, cold) = (ok(), ok(), ok());
    let folder = format!("{}/handed-small", env!("CARGO_TARGET_TMPDIR"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let known = [warm.entry("s-1", 1), drained.entry("s-2", 1)];
    let begin = |name: &str, news: &[Value]| {
        let discovery = ScriptedRegister::start();
        let mut config = managed(&discovery, &known);
        config["limits"]["sockets"] = 64.into();
        let gateway = Gateway::start_sharing(&PROGRAM, name, &discovery, &config, &listener, &folder);
        discovery.push(json!({"index": 42, "snapshot": true, "endpoints": news}));
        wait_for("readiness", || gateway.call("GET", "/_ready").status() == 200);
        (gateway, discovery)
    };
    let asked = || ask(&address, &request("look"), None, Duration::ZERO).expect("an answer").status();
    let (mut old, _old_news) = begin("small-old", &known);
    for _ in 0..20 {
        assert_eq!(asked(), 200);
    }
    // Clients that rest on most of its places.
    let mut resting: Vec<TcpStream> =
        (0..12).map(|_| TcpStream::connect(&address).expect("a connection")).collect();
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock").as_millis();
    let mut starting = cold.entry("s-3", 1);
    starting["since_ms"] = (now as u64).into();
    let leaving = ottervane_rig::scripted::entry("s-2", &drained.address.to_string(), 1, "leaving");
    let (new, _new_news) = begin("small-new", &[warm.entry("s-1", 1), leaving, starting]);
    old.signal("TERM");
    assert!(old.wait().success());
    resting.iter_mut().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
    let before = (warm.count(), drained.count(), cold.count());
    for _ in 0..60 {
        assert_eq!(asked(), 200);
    }
    let (to_warm, to_cold) = (warm.count() - before.0, cold.count() - before.2);
    assert_eq!(drained.count(), before.1, "nothing new to a host that leaves");
    assert!(to_cold < to_warm, "{to_cold} to the cold host, {to_warm} to the warm one");
    assert!(new.figure("router_cluster_unhealthy") >= Some(1), "the one that leaves");
}
