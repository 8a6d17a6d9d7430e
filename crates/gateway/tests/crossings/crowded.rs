//! Clients that rest and fill the descriptors while discovery is down.

use super::*;
use weldworks_testbed::scripted::entry;

/// Many clients that each come, are answered or never say a word, and rest.
fn fill(gateway: &Gateway, clients: usize, asks: bool) -> Vec<TcpStream> {
    let come = |_| {
        let mut stream = TcpStream::connect(&gateway.address).expect("a connection");
        if asks {
            let _ = stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        stream
    };
    (0..clients).map(come).collect()
}

/// Discovery falls silent and takes no call; twice as many clients as there are descriptors come and rest. It is reached again at its
/// return, and everybody else is served meanwhile.
#[test]
fn clients_that_rest_keep_neither_discovery_nor_staff_nor_others_out() {
    for (n, asks) in [(0, false), (1, true)] {
        let [first, other] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
        let back = Arc::new(AtomicBool::new(false));
        let news = json!({"index": 50, "snapshot": true, "endpoints": [
            entry("s-1", &first.address.to_string(), 1, "leaving"), other.entry("s-2", 1)]});
        let told = back.clone();
        let agent = Agent::start(move |_, mut stream| {
            if told.load(Ordering::SeqCst) {
                let _ = stream.write_all(HEAD);
                let _ = chunk(&mut stream, format!("{news}\n").as_bytes());
                hold(stream);
            }
        });
        let nobody = ScriptedDiscovery::start();
        let mut text = managed(&nobody, &[first.entry("s-1", 1)]);
        text["discovery"] = agent.address.clone().into();
        text["limits"]["sockets"] = 64.into();
        let gateway = Gateway::start_with(&PROGRAM, &format!("crowded-{n}"), &nobody, &text);
        gateway.signal("HUP");
        wait_for("the outage to be noticed", || agent.calls() > 1);
        let resting = fill(&gateway, 128, asks);
        assert_eq!(gateway.ask("look").status(), 200, "a new client, by the list held");
        assert_eq!(gateway.call("GET", "/_ready").status(), 200);
        let calls = agent.calls();
        wait_for("another call to discovery", || agent.calls() > calls);
        back.store(true, Ordering::SeqCst);
        wait_for("the news", || gateway.ask("look").status() == 200 && other.count() > 0);
        assert_eq!(gateway.call("GET", "/_ready").status(), 200);
        drop(resting);
    }
}

/// The system gives the process fewer descriptors than the file says: it goes by the fewer, what rests makes room for who comes, and
/// discovery and hosts are reached.
#[test]
fn a_process_that_is_given_fewer_descriptors_than_promised_serves_on() {
    let few = |name: &str, most: u32| {
        let script = std::path::Path::new(PROGRAM.folder).join(format!("{name}.sh"));
        let text = format!("#!/bin/sh\nulimit -n {most}\nexec {} \"$@\"\n", PROGRAM.path);
        std::fs::write(&script, text).expect("a script");
        let mode = std::os::unix::fs::PermissionsExt::from_mode(0o755);
        std::fs::set_permissions(&script, mode).expect("a program");
        let path: &'static str = Box::leak(script.display().to_string().into_boxed_str());
        Program { path, ..PROGRAM }
    };
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let mut config = managed(&discovery, &[host.entry("s-1", 1)]);
    config["limits"]["sockets"] = 256.into();
    let gateway = Gateway::start_with(&few("few-descriptors", 56), "few-descriptors", &discovery, &config);
    let resting = fill(&gateway, 100, true);
    assert_eq!(gateway.ask("look").status(), 200);
    assert_eq!(gateway.call("GET", "/_ready").status(), 200);
    let other = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    discovery.push(json!({"index": 43, "snapshot": true, "endpoints": [other.entry("s-2", 1)]}));
    wait_for("the news", || gateway.ask("look").status() == 200 && other.count() > 0);
    drop(resting);
    let mut too_few = weldworks_testbed::scripted::spawn_gateway(
        &few("too-few-descriptors", 40),
        "too-few-descriptors",
        &config.to_string(),
    );
    wait_for("its end", || too_few.try_wait().expect("a state").is_some_and(|status| !status.success()));
}

/// A connection waits to be accepted while every place is taken, and its client's time runs: the host is told no more than is left.
#[test]
fn a_request_that_waited_to_be_accepted_has_no_more_time_for_it() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let gateway = Gateway::start(&PROGRAM, "crowded-time", &discovery, 48, &crowd(&host));
    // All places and those beyond. One that has said nothing makes room after half a second.
    let first = Instant::now();
    let silent: Vec<_> = (0..18).map(|_| gateway.connect()).collect();
    let mut client = gateway.connect();
    client.write(request("look").replace("40000m", "2000m").as_bytes());
    let waits = Duration::from_millis(500).saturating_sub(first.elapsed());
    assert_eq!(client.read().expect("an answer").status(), 200);
    let seen = host.seen.lock().expect("lock").pop().expect("an attempt");
    let told = seen.header("x-timeout").and_then(|text| text.strip_suffix('u')?.parse().ok());
    let told = told.map(Duration::from_micros).expect("a time");
    let left = Duration::from_secs(2) - waits;
    assert!(told <= left + Duration::from_millis(150), "{told:?} of {left:?} at the most");
    drop(silent);
}
