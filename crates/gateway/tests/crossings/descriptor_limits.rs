//! Idle clients that use up the descriptors while discovery is down.

use super::*;
use weldworks_testbed::scripted::entry;

/// Opens many client connections that then stay idle: each sends one request, or none at all.
fn open_idle_clients(gateway: &Gateway, clients: usize, sends_request: bool) -> Vec<TcpStream> {
    let open_client = |_| {
        let mut stream = TcpStream::connect(&gateway.address).expect("connect failed");
        if sends_request {
            let _ = stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        stream
    };
    (0..clients).map(open_client).collect()
}

/// Discovery falls silent and answers no poll, while twice as many clients as there are descriptors connect and stay idle.
/// The gateway reaches discovery again when discovery returns, and serves all other callers meanwhile.
#[test]
fn idle_clients_block_neither_discovery_nor_administrators_nor_other_clients() {
    for (n, sends_request) in [(0, false), (1, true)] {
        let [draining, other] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
        let discovery_restored = Arc::new(AtomicBool::new(false));
        let new_list = json!({"index": 50, "snapshot": true, "endpoints": [
            entry("s-1", &draining.address.to_string(), 1, "leaving"), other.entry("s-2", 1)]});
        let is_restored = discovery_restored.clone();
        let discovery_stand_in = StandIn::start(move |_, mut stream| {
            if is_restored.load(Ordering::SeqCst) {
                let _ = stream.write_all(CHUNKED_RESPONSE_HEAD);
                let _ = write_chunk(&mut stream, format!("{new_list}\n").as_bytes());
                hold_until_closed(stream);
            }
        });
        let unused_discovery = ScriptedDiscovery::start();
        let mut config = config_with_admin_api(&unused_discovery, &[draining.entry("s-1", 1)]);
        config["discovery"] = discovery_stand_in.address.clone().into();
        config["limits"]["sockets"] = 64.into();
        let gateway = Gateway::start_with(&PROGRAM, &format!("crowded-{n}"), &unused_discovery, &config);
        gateway.signal("HUP");
        wait_for("a poll after the outage", || discovery_stand_in.calls() > 1);
        let idle_clients = open_idle_clients(&gateway, 128, sends_request);
        assert_eq!(gateway.request("look").status(), 200, "a new client must be served by the retained list");
        assert_eq!(gateway.call("GET", "/_ready").status(), 200);
        let calls = discovery_stand_in.calls();
        wait_for("another poll of discovery", || discovery_stand_in.calls() > calls);
        discovery_restored.store(true, Ordering::SeqCst);
        wait_for("the new list to be in use", || {
            gateway.request("look").status() == 200 && other.count() > 0
        });
        assert_eq!(gateway.call("GET", "/_ready").status(), 200);
        drop(idle_clients);
    }
}

/// The operating system grants the process fewer descriptors than the configuration file claims.
/// The gateway goes by the lower number: idle clients make room for new clients, and discovery and endpoints are reached.
#[test]
fn process_serves_with_fewer_descriptors_than_configured() {
    let program_with_limit = |name: &str, descriptor_limit: u32| {
        let script = std::path::Path::new(PROGRAM.folder).join(format!("{name}.sh"));
        let text = format!("#!/bin/sh\nulimit -n {descriptor_limit}\nexec {} \"$@\"\n", PROGRAM.path);
        std::fs::write(&script, text).expect("cannot write the script");
        let mode = std::os::unix::fs::PermissionsExt::from_mode(0o755);
        std::fs::set_permissions(&script, mode).expect("cannot make the script executable");
        let path: &'static str = Box::leak(script.display().to_string().into_boxed_str());
        Program { path, ..*PROGRAM }
    };
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let mut config = config_with_admin_api(&discovery, &[endpoint.entry("s-1", 1)]);
    config["limits"]["sockets"] = 256.into();
    let gateway = Gateway::start_with(
        &program_with_limit("few-descriptors", 56),
        "few-descriptors",
        &discovery,
        &config,
    );
    let idle_clients = open_idle_clients(&gateway, 100, true);
    assert_eq!(gateway.request("look").status(), 200);
    assert_eq!(gateway.call("GET", "/_ready").status(), 200);
    let other = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    discovery.push(json!({"index": 43, "snapshot": true, "endpoints": [other.entry("s-2", 1)]}));
    wait_for("the new list to be in use", || gateway.request("look").status() == 200 && other.count() > 0);
    drop(idle_clients);
    let mut too_few = weldworks_testbed::scripted::spawn_gateway(
        &program_with_limit("too-few-descriptors", 40),
        "too-few-descriptors",
        &config.to_string(),
    );
    wait_for("exit", || too_few.try_wait().expect("wait failed").is_some_and(|status| !status.success()));
}

/// A connection waits to be accepted while the client capacity is used up, and the client's deadline runs meanwhile.
/// The `X-Timeout` sent to the endpoint is no longer than the time that is left.
#[test]
fn wait_before_accept_does_not_extend_the_deadline() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "crowded-time", &discovery, 48, &listed_thirty_times(&endpoint));
    // These 18 clients use up the capacity and the overflow beyond it. A client that has sent nothing is closed after half a second.
    let first_connect_at = Instant::now();
    let silent_clients: Vec<_> = (0..18).map(|_| gateway.connect()).collect();
    let mut client = gateway.connect();
    client.write(request("look").replace("40000m", "2000m").as_bytes());
    let minimum_wait = Duration::from_millis(500).saturating_sub(first_connect_at.elapsed());
    assert_eq!(client.read().expect("no answer").status(), 200);
    let seen = endpoint.seen.lock().expect("lock poisoned").pop().expect("no attempt received");
    let x_timeout = seen.header("x-timeout").and_then(|text| text.strip_suffix('u')?.parse().ok());
    let x_timeout = x_timeout.map(Duration::from_micros).expect("no valid X-Timeout");
    let time_left = Duration::from_secs(2) - minimum_wait;
    assert!(
        x_timeout <= time_left + Duration::from_millis(150),
        "X-Timeout: {x_timeout:?}; time left: {time_left:?}"
    );
    drop(silent_clients);
}
