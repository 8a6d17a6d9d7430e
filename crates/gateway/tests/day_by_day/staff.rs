//! The second address: calls, figures, drains.

use super::*;

#[test]
fn answers_staff_whatever_other_callers_do() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("staff", &[host.entry("s-1", 1)]);
    assert_eq!(gateway.call("GET", "/_ready").status(), 200);
    assert_eq!(gateway.call("GET", "/_nothing").status(), 404);
    let wrong = gateway.call("POST", "/_lameduck/on");
    assert_eq!((wrong.status(), wrong.header("allow")), (405, Some("PUT")));
    assert_eq!(gateway.call("GET", "/_vars").header("connection"), Some("close"), "one call a connection");
    // Far more silent and half callers than there are places.
    let mut held: Vec<TcpStream> = (0..60).map(|_| gateway.connect_admin()).collect();
    for half in held.iter_mut().step_by(2) {
        let _ = half.write_all(b"GET /_re"); // one that had to make room already is gone
    }
    let before = Instant::now();
    for _ in 0..5 {
        assert_eq!(gateway.call("GET", "/_ready").status(), 200);
    }
    // Behind all who say nothing it would be six rounds of 3 s.
    assert!(before.elapsed() < Duration::from_secs(10), "{:?}", before.elapsed());
    let mut long = gateway.connect_admin();
    let _ = long.write_all(&[b'x'; 100_000]);
    ended(&mut long);
    held.iter_mut().for_each(ended); // each is let go, sooner or later
    assert_eq!(gateway.call("GET", "/_vars").status(), 200);
}

#[test]
fn counts_what_became_of_each_request() {
    let answers = |r: &weldworks_testbed::scripted::HttpMessage| match r.first.split(['/', '?', ' ']).nth(2) {
        Some("look") => Reply::ok("ok"),
        Some("brief-once") => Reply::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()),
        Some("once") => Reply::Answer(500, "", Vec::new()),
        _ => Reply::Hang,
    };
    let host = ScriptedEndpoint::start(answers);
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
    let figure = |name: &str| gateway.metric(name).expect("a figure");
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
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) =
        start("avoided", &[host.entry("s-1", 1), host.entry("s-2", 1), host.entry("s-3", 1)]);
    wait_for("the hosts' figures", || gateway.metric("router_cluster_size") == Some(3));
    assert_eq!(gateway.metric("router_cluster_unhealthy"), Some(0));
    let leaving = weldworks_testbed::scripted::entry("s-2", &host.address.to_string(), 1, "leaving");
    let left = weldworks_testbed::scripted::entry("s-3", "", 1, "left");
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [leaving, left]}));
    wait_for("the news", || gateway.metric("router_cluster_size") == Some(2));
    assert_eq!(gateway.metric("router_cluster_unhealthy"), Some(1), "one that leaves is sent nothing new");
}

#[test]
fn leaves_service_and_comes_back() {
    let host =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
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
    assert!(gateway.is_running());
    assert_eq!(gateway.call("PUT", "/_lameduck/off").status(), 200);
    assert_eq!(health(&gateway), 200);
    let mut again = gateway.connect();
    assert_eq!(again.ask("look").header("connection"), None);
    assert_eq!(again.ask("look").status(), 200);
}

#[test]
fn a_drain_taken_back_at_once_closes_nothing() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
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

/// What clients got is what the figures say, for each class, once all is over; whatever hosts did.
#[test]
fn figures_agree_with_what_clients_got_on_days_drawn_at_random() {
    for seed in [3u64, 11, 29] {
        let drawn = Arc::new(AtomicUsize::new(0));
        let draw =
            move |n: usize| (weldworks_balancer::mix(seed.wrapping_mul(1 << 20) ^ n as u64) % 100) as usize;
        let next = drawn.clone();
        let host = ScriptedEndpoint::start(move |_| match draw(next.fetch_add(1, Ordering::SeqCst)) {
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
                gateway.metric(&format!("router_{name}{{group=\"{class}\"}}")).expect("a figure")
            };
            assert_eq!(
                [figure("answered"), figure("deferred"), figure("errored")],
                got,
                "{class}, seed {seed}"
            );
        }
        assert_eq!(
            (gateway.metric("router_current"), gateway.metric("router_sends")),
            (Some(0), Some(host.count() as u64))
        );
    }
}

/// From its first moment to its last, and while clients have every place.
#[test]
fn answers_staff_while_clients_have_every_place_and_while_it_stops() {
    let host =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let discovery = ScriptedDiscovery::start();
    let mut config = managed(&discovery, &crowd(|name| host.entry(name, 1)));
    config["limits"]["sockets"] = 64.into();
    let mut gateway = Gateway::start_with(&PROGRAM, "every-place", &discovery, &config);
    // Requests in hand until somebody is refused for want of a place.
    let mut held = Vec::new();
    wait_for("the last place", || {
        let mut client = gateway.connect();
        client.send("once");
        held.push(client);
        sleep(Duration::from_millis(20));
        gateway.metric("router_deferred{group=\"once\"}") > Some(0)
    });
    assert_eq!(gateway.call("GET", "/_ready").status(), 200, "staff have places of their own");
    // A client that goes counts as nothing.
    let before = gateway.metric("router_current").expect("a figure");
    drop(held.remove(0));
    wait_for("its end", || gateway.metric("router_current").is_some_and(|now| now < before));
    assert_eq!(gateway.metric("router_errored{group=\"once\"}"), Some(0));
    gateway.signal("TERM");
    wait_for("the stop", || gateway.call("GET", "/_ready").status() == 503);
    let drain = gateway.call("PUT", "/_lameduck/on");
    assert_eq!((drain.status(), &drain.body[..]), (200, &b"stopping\n"[..]), "there is no way back");
    assert!(gateway.metric("router_current") > Some(0));
    host.release();
    assert!(gateway.wait().success());
}

/// A drain ends what rests and nothing that is on its way.
#[test]
fn a_drain_lets_a_long_answer_come_to_its_end() {
    let pace = Some((32 << 10, Duration::from_millis(40)));
    let node = LargeBodyEndpoint::start(LargeBody { pace, ..LargeBody::new(3 << 20, Framing::Chunked) });
    let (gateway, _discovery) = start("long-drain", &[node.entry("s-1")]);
    let address = gateway.address.clone();
    let client = spawn(move || send_request(&address, &request("look"), None, Duration::ZERO));
    wait_for("its beginning", || !node.seen.lock().expect("lock").is_empty());
    assert_eq!(gateway.call("PUT", "/_lameduck/on").status(), 200);
    let answer = client.join().expect("a client").expect("an answer");
    assert_eq!((answer.whole, answer.length), (true, 3 << 20));
    wait_for("nothing in hand", || gateway.metric("router_current") == Some(0));
}
