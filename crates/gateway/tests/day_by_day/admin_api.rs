//! The admin API: calls, metrics and drains.

use super::*;

#[test]
fn answers_administrators_despite_silent_and_incomplete_callers() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("staff", &[endpoint.entry("s-1", 1)]);
    assert_eq!(gateway.call("GET", "/_ready").status(), 200);
    assert_eq!(gateway.call("GET", "/_nothing").status(), 404);
    let wrong_method = gateway.call("POST", "/_lameduck/on");
    assert_eq!((wrong_method.status(), wrong_method.header("allow")), (405, Some("PUT")));
    assert_eq!(
        gateway.call("GET", "/_vars").header("connection"),
        Some("close"),
        "each connection must serve one call"
    );
    // Far more silent and incomplete callers than the admin API accepts at a time.
    let mut silent_callers: Vec<TcpStream> = (0..60).map(|_| gateway.connect_admin()).collect();
    for incomplete_caller in silent_callers.iter_mut().step_by(2) {
        let _ = incomplete_caller.write_all(b"GET /_re"); // a caller that was closed to make room has disconnected already
    }
    let before = Instant::now();
    for _ in 0..5 {
        assert_eq!(gateway.call("GET", "/_ready").status(), 200);
    }
    // If a call had to wait behind all silent callers, it would take six rounds of 3 s.
    assert!(before.elapsed() < Duration::from_secs(10), "{:?}", before.elapsed());
    let mut oversized_caller = gateway.connect_admin();
    let _ = oversized_caller.write_all(&[b'x'; 100_000]);
    wait_for_close(&mut oversized_caller);
    silent_callers.iter_mut().for_each(wait_for_close); // each caller is disconnected sooner or later
    assert_eq!(gateway.call("GET", "/_vars").status(), 200);
}

#[test]
fn counts_the_outcome_of_each_request() {
    let answers = |r: &weldworks_testbed::scripted::HttpMessage| match r.first.split(['/', '?', ' ']).nth(2) {
        Some("look") => Reply::ok("ok"),
        Some("brief-once") => Reply::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()),
        Some("once") => Reply::Answer(500, "", Vec::new()),
        _ => Reply::Hang,
    };
    let endpoint = ScriptedEndpoint::start(answers);
    let (gateway, _discovery) = start("figures", &listed_thirty_times(|name| endpoint.entry(name, 1)));
    let before = gateway.call("GET", "/_vars");
    assert!(
        String::from_utf8_lossy(&before.body).contains("router_answered{group=\"book\"} 0\n"),
        "every class must be reported from 0 on"
    );
    let statuses: Vec<u16> = ["look", "look", "look", "brief-once", "once"]
        .iter()
        .map(|class| gateway.request(class).status())
        .collect();
    assert_eq!(statuses, [200, 200, 200, 503, 502]);
    let mut malformed = gateway.connect();
    malformed.write(request("look").replace("X-Timeout: 40000m\r\n", "").as_bytes());
    assert_eq!(malformed.read().expect("no answer").status(), 400);
    let mut open_client = gateway.connect();
    open_client.send("pay");
    // The rejected request may have been attempted at several endpoints.
    let rejected_attempts = endpoint.count() - 4;
    wait_for("the attempt", || endpoint.count() == rejected_attempts + 5);
    let figure = |name: &str| gateway.metric(name).expect("no such metric");
    assert_eq!(figure("router_answered{group=\"look\"}"), 3);
    assert_eq!(figure("router_deferred{group=\"brief-once\"}"), 1);
    assert_eq!(figure("router_errored{group=\"once\"}"), 1);
    assert_eq!((figure("router_current"), figure("router_sends")), (1, endpoint.count() as u64));
    assert_eq!(
        figure("router_errored{group=\"look\"}") + figure("router_deferred{group=\"look\"}"),
        0,
        "malformed requests must not count"
    );
    wait_for("the endpoint metrics", || figure("router_cluster_size") == 30);
    endpoint.release();
    assert_eq!(open_client.read().expect("no answer").status(), 200);
    assert_eq!((figure("router_current"), figure("router_answered{group=\"pay\"}")), (0, 1));
}

#[test]
fn reports_endpoints_that_it_avoids() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) =
        start("avoided", &[endpoint.entry("s-1", 1), endpoint.entry("s-2", 1), endpoint.entry("s-3", 1)]);
    wait_for("the endpoint metrics", || gateway.metric("router_cluster_size") == Some(3));
    assert_eq!(gateway.metric("router_cluster_unhealthy"), Some(0));
    let draining_entry =
        weldworks_testbed::scripted::entry("s-2", &endpoint.address.to_string(), 1, "leaving");
    let removed_entry = weldworks_testbed::scripted::entry("s-3", "", 1, "left");
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [draining_entry, removed_entry]}));
    wait_for("the new list to be in use", || gateway.metric("router_cluster_size") == Some(2));
    assert_eq!(
        gateway.metric("router_cluster_unhealthy"),
        Some(1),
        "a draining endpoint is sent nothing new"
    );
}

#[test]
fn drains_and_returns_to_service() {
    let endpoint =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (mut gateway, _discovery) = start("drain", &listed_thirty_times(|name| endpoint.entry(name, 1)));
    let (mut idle_client, mut busy_client) = (gateway.connect(), gateway.connect());
    assert_eq!(idle_client.request("look").header("connection"), None);
    busy_client.send("once");
    wait_for("the attempt", || endpoint.count() == 2);
    let mut silent_client = TcpStream::connect(&gateway.address).expect("connect failed");
    let mut resting_client = TcpStream::connect(&gateway.address).expect("connect failed");
    resting_client.write_all(request("look").as_bytes()).expect("write of the request failed");
    wait_for("the answer", || endpoint.count() == 3);
    let before = Instant::now();
    assert_eq!(gateway.call("PUT", "/_lameduck/on").status(), 200);
    assert_eq!(gateway.call("PUT", "/_lameduck/on").status(), 200, "a second call changes nothing");
    assert_eq!(front_health_status(&gateway), 503, "the health check must fail at once");
    assert_eq!(gateway.call("GET", "/_ready").status(), 200, "a draining gateway must still be ready");
    // Clients that connect before the front load balancer has noticed the drain are served; soon afterwards answers close their connections.
    wait_for("answers with Connection: close", || {
        gateway.request("look").header("connection") == Some("close")
    });
    assert_eq!(idle_client.request("look").status(), 200);
    assert!(idle_client.read().is_none(), "the connection must close after its answer");
    wait_for_close(&mut silent_client);
    wait_for_close(&mut resting_client);
    if before.elapsed() < Duration::from_secs(3) {
        assert!(
            before.elapsed() > Duration::from_millis(400),
            "idle connections must stay open until the front load balancer has noticed"
        );
    }
    endpoint.release();
    assert_eq!(busy_client.read().expect("no answer").status(), 200, "open requests must be answered");
    assert!(gateway.is_running());
    assert_eq!(gateway.call("PUT", "/_lameduck/off").status(), 200);
    assert_eq!(front_health_status(&gateway), 200);
    let mut new_client = gateway.connect();
    assert_eq!(new_client.request("look").header("connection"), None);
    assert_eq!(new_client.request("look").status(), 200);
}

#[test]
fn drain_that_is_cancelled_at_once_closes_no_connection() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("drain-back", &[endpoint.entry("s-1", 1)]);
    let mut idle_client = gateway.connect();
    idle_client.request("look");
    for call in ["/_lameduck/on", "/_lameduck/off", "/_lameduck/on", "/_lameduck/off"] {
        assert_eq!(gateway.call("PUT", call).status(), 200);
    }
    sleep(Duration::from_millis(2500)); // a drain that is still in force would have closed the connection by now
    assert_eq!(idle_client.request("look").header("connection"), None);
    assert_eq!(front_health_status(&gateway), 200);
}

/// For each class the metrics match the answers that clients received once all requests have ended, whatever the endpoints did.
#[test]
fn metrics_match_the_answers_of_clients_in_random_runs() {
    for seed in [3u64, 11, 29] {
        let draws = Arc::new(AtomicUsize::new(0));
        let random_percent =
            move |n: usize| (weldworks_balancer::mix(seed.wrapping_mul(1 << 20) ^ n as u64) % 100) as usize;
        let next_draw = draws.clone();
        let endpoint = ScriptedEndpoint::start(move |_| {
            match random_percent(next_draw.fetch_add(1, Ordering::SeqCst)) {
                0..70 => Reply::ok("ok"),
                70..80 => Reply::Answer(500, "", Vec::new()),
                80..90 => Reply::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()),
                90..95 => Reply::Half,
                _ => Reply::Break,
            }
        });
        let (gateway, _discovery) =
            start(&format!("tally-{seed}"), &listed_thirty_times(|name| endpoint.entry(name, 1)));
        let classes = ["look", "pay", "book", "once"];
        let mut answers_by_outcome = [[0u64; 3]; 4];
        let mut client = gateway.connect();
        for n in 0..160 {
            let class = random_percent(1000 + n) % classes.len();
            client.send(classes[class]);
            let answer = client.read().expect("no answer");
            let outcome = match answer.status() {
                200 => 0,
                429 | 503 => 1,
                _ => 2,
            };
            answers_by_outcome[class][outcome] += 1;
            if answer.header("connection") == Some("close") {
                client = gateway.connect();
            }
        }
        for (class, answers_by_outcome) in classes.iter().zip(answers_by_outcome) {
            let figure = |name: &str| {
                gateway.metric(&format!("router_{name}{{group=\"{class}\"}}")).expect("no such metric")
            };
            assert_eq!(
                [figure("answered"), figure("deferred"), figure("errored")],
                answers_by_outcome,
                "{class}, seed {seed}"
            );
        }
        assert_eq!(
            (gateway.metric("router_current"), gateway.metric("router_sends")),
            (Some(0), Some(endpoint.count() as u64))
        );
    }
}

/// The admin API answers from the start of the process to its end, and while the client capacity is used up.
#[test]
fn answers_administrators_at_full_client_capacity_and_during_shutdown() {
    let endpoint =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let discovery = ScriptedDiscovery::start();
    let mut config = config_with_admin_api(&discovery, &listed_thirty_times(|name| endpoint.entry(name, 1)));
    config["limits"]["sockets"] = 64.into();
    let mut gateway = Gateway::start_with(&PROGRAM, "every-place", &discovery, &config);
    // Opens requests until a request is rejected because the client capacity is used up.
    let mut busy_clients = Vec::new();
    wait_for("the client capacity to be used up", || {
        let mut client = gateway.connect();
        client.send("once");
        busy_clients.push(client);
        sleep(Duration::from_millis(20));
        gateway.metric("router_deferred{group=\"once\"}") > Some(0)
    });
    assert_eq!(
        gateway.call("GET", "/_ready").status(),
        200,
        "administrators' connections must have a capacity of their own"
    );
    // The request of a disconnected client counts as no outcome.
    let before = gateway.metric("router_current").expect("no such metric");
    drop(busy_clients.remove(0));
    wait_for("the request to end", || gateway.metric("router_current").is_some_and(|now| now < before));
    assert_eq!(gateway.metric("router_errored{group=\"once\"}"), Some(0));
    gateway.signal("TERM");
    wait_for("the stop", || gateway.call("GET", "/_ready").status() == 503);
    let drain = gateway.call("PUT", "/_lameduck/on");
    assert_eq!(
        (drain.status(), &drain.body[..]),
        (200, &b"stopping\n"[..]),
        "a shutdown must not be reversible"
    );
    assert!(gateway.metric("router_current") > Some(0));
    endpoint.release();
    assert!(gateway.wait().success());
}

/// A drain closes idle connections and no connection that has a request or an answer under way.
#[test]
fn drain_does_not_cut_off_a_long_answer() {
    let pace = Some((32 << 10, Duration::from_millis(40)));
    let endpoint = LargeBodyEndpoint::start(LargeBody { pace, ..LargeBody::new(3 << 20, Framing::Chunked) });
    let (gateway, _discovery) = start("long-drain", &[endpoint.entry("s-1")]);
    let address = gateway.address.clone();
    let client = spawn(move || send_request(&address, &request("look"), None, Duration::ZERO));
    wait_for("the start of the request", || !endpoint.seen.lock().expect("lock poisoned").is_empty());
    assert_eq!(gateway.call("PUT", "/_lameduck/on").status(), 200);
    let answer = client.join().expect("client thread panicked").expect("no answer");
    assert_eq!((answer.whole, answer.length), (true, 3 << 20));
    wait_for("no open request", || gateway.metric("router_current") == Some(0));
}
