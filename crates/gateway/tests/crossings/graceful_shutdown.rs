//! SIGTERM at any step of a connection or request.

use super::*;

/// Earliest kill after SIGTERM where a class has a deadline of 3 s or more.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// Connections in the kernel's queue at SIGTERM are still accepted and answered, even if the client capacity is used up at that moment.
#[test]
fn queued_connections_are_answered_after_sigterm_at_full_capacity() {
    let discovery = ScriptedDiscovery::start();
    let mut gateway = Gateway::start(&PROGRAM, "stop-queue", &discovery, 48, &[]);
    let mut clients_at_capacity: Vec<_> = (0..14).map(|_| gateway.connect()).collect();
    for client in &mut clients_at_capacity {
        let text = request("once").replace("\r\n\r\nbody", "\r\nExpect: 100-continue\r\n\r\n");
        client.write(text.replace("40000m", "3000m").as_bytes());
        assert_eq!(client.read().expect("no 100 Continue").status(), 100);
        client.write(b"body");
    }
    // More clients than the gateway answers with 503 at a time, and none of them sends any bytes.
    let silent_clients: Vec<_> = (0..40).map(|_| gateway.connect()).collect();
    gateway.signal("STOP");
    let mut queued_clients: Vec<_> = (0..12).map(|_| gateway.connect()).collect();
    queued_clients.iter_mut().for_each(|client| client.send("look"));
    gateway.signal("TERM");
    gateway.signal("CONT");
    for client in &mut queued_clients {
        assert!(client.read().is_some(), "closed with no answer");
    }
    for client in &mut clients_at_capacity {
        assert!(client.read().is_some(), "an open request must be answered");
    }
    drop(silent_clients);
    assert!(gateway.wait().success());
}

/// A new connection keeps its time for a first request after SIGTERM, although connections may not stay idle any more.
#[test]
fn late_first_request_on_a_new_connection_is_answered_after_sigterm() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (mut gateway, _discovery) = start("stop-first", &[endpoint.entry("s-1", 1)]);
    let mut open_client = gateway.connect();
    open_client.send("brief"); // an open request, so that the process does not exit at once
    let mut new_clients: Vec<_> = (0..6).map(|_| gateway.connect()).collect();
    let signalled_at = Instant::now();
    gateway.signal("TERM");
    for (n, client) in new_clients.iter_mut().enumerate() {
        sleep(
            (Duration::from_millis(400) + Duration::from_millis(50) * n as u32)
                .saturating_sub(signalled_at.elapsed()),
        );
        client.send("look");
        // Requests later than 0.69 s after SIGTERM need not be answered.
        if signalled_at.elapsed() < Duration::from_millis(690) {
            assert_eq!(client.read().map(|answer| answer.status()), Some(200), "request {n}");
        } else {
            client.expect_no_answers();
        }
    }
    assert!(gateway.wait().success());
}

#[test]
fn further_signals_and_a_reload_do_not_change_a_shutdown() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
    let discovery = ScriptedDiscovery::start();
    let config = config_with_admin_api(&discovery, &listed_thirty_times(&endpoint));
    let mut gateway = Gateway::start_with(&PROGRAM, "stop-twice", &discovery, &config);
    let mut clients: Vec<_> = (0..6).map(|_| gateway.connect()).collect();
    clients.iter_mut().for_each(|client| client.send("once"));
    wait_for("the attempts", || endpoint.count() == 6);
    let mut new_config = config.clone();
    new_config["settings"]["classes"].as_array_mut().expect("classes are not an array").truncate(2);
    write_config(&PROGRAM, "stop-twice", &new_config.to_string());
    for signal in ["TERM", "HUP", "TERM", "HUP", "TERM"] {
        gateway.signal(signal);
    }
    endpoint.release();
    for client in &mut clients {
        assert_eq!(client.read().expect("no answer").status(), 200);
    }
    assert!(gateway.wait().success());
    assert_eq!(endpoint.count(), 6);
}

/// The platform kills a process by the longest deadline of the configuration in force.
/// An open request may have a longer deadline, from an earlier configuration, and must be answered before the kill.
#[test]
fn request_with_an_earlier_longer_deadline_is_answered_before_a_kill_by_a_shorter_deadline() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
    let discovery = ScriptedDiscovery::start();
    let config = config_with_admin_api(&discovery, &listed_thirty_times(&endpoint));
    let mut gateway = Gateway::start_with(&PROGRAM, "stop-shorter", &discovery, &config);
    let mut client = gateway.connect();
    client.send("once");
    wait_for("the attempt", || endpoint.count() == 1);
    let mut new_config = config.clone();
    for class in new_config["settings"]["classes"].as_array_mut().expect("classes are not an array") {
        (class["deadline_s"], class["promise_s"]) = (0.5.into(), 0.3.into());
    }
    write_config(&PROGRAM, "stop-shorter", &new_config.to_string());
    gateway.signal("HUP");
    wait_for("the reload of the configuration", || gateway.metric("router_conf_loaded") == Some(1));
    let signalled_at = Instant::now();
    gateway.signal("TERM");
    assert_eq!(client.read().expect("no answer").status(), 504);
    assert!(gateway.wait().success());
    assert!(
        signalled_at.elapsed() < Duration::from_secs(15),
        "{:?}: the limits are 0.5 s and 0.7 s",
        signalled_at.elapsed()
    );
}

/// Guards against a request that gets no answer before the kill, which waits for 3.7 s at most, because a class has a longer deadline.
#[test]
fn request_with_a_deadline_of_more_than_three_seconds_is_answered_before_the_earliest_kill() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
    let (gateway, _discovery) = start("stop-longer", &listed_thirty_times(&endpoint));
    let mut clients: Vec<_> = ["look", "pay", "once"].map(|class| (class, gateway.connect())).into();
    clients.iter_mut().for_each(|(class, client)| client.send(class));
    wait_for("the attempts", || endpoint.count() == 3);
    gateway.signal("TERM");
    sleep(EARLIEST_KILL);
    gateway.signal("KILL");
    for (class, client) in &mut clients {
        assert_eq!(client.read().map(|answer| answer.status()), Some(504), "{class}");
    }
}

/// A successor that gets SIGTERM before it is ready accepts no connection: waiting clients belong to the active process.
#[test]
fn successor_that_gets_sigterm_before_it_is_ready_accepts_no_connection() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    for round in 0..8 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
        let (silent_discovery, working_discovery) = (ScriptedDiscovery::start(), ScriptedDiscovery::start());
        silent_discovery.silent.store(true, Ordering::SeqCst);
        let name = format!("stop-successor-{round}");
        let known_endpoints = [endpoint.entry("s-1", 1)];
        let mut config = config_with_admin_api(&silent_discovery, &[]);
        config["settings"]["discovery"] = "push".into();
        let mut successor = Gateway::start_shared(&PROGRAM, &name, &silent_discovery, &config, &listener);
        let mut waiting_client =
            TcpStream::connect(listener.local_addr().expect("no local address")).expect("connect failed");
        waiting_client.write_all(request("look").as_bytes()).expect("write of the request failed");
        successor.signal("TERM");
        assert!(successor.wait().success());
        let _other = Gateway::start_shared(
            &PROGRAM,
            &name,
            &working_discovery,
            &config_with_admin_api(&working_discovery, &known_endpoints),
            &listener,
        );
        waiting_client.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
        let answer = weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(waiting_client));
        assert_eq!(
            answer.map(|a| a.status()),
            Some(200),
            "round {round}: the stopped successor accepted the connection"
        );
    }
}

/// A client that keeps writing and reads no answer has unread bytes at every check, and must not keep a stopping process from exiting.
#[test]
fn client_that_reads_no_answer_does_not_delay_the_shutdown() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Answer(200, "", vec![b'x'; 60 << 10]));
    let (mut gateway, _discovery) = start("stop-deaf", &listed_thirty_times(&endpoint));
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    client.set_nonblocking(true).expect("set_nonblocking failed");
    let requests: String = (0..2000).map(|_| request("look")).collect();
    let mut written = 0;
    // Writes until neither side makes progress: the answers fill every buffer on the way, and so do the requests.
    let mut last_progress = (Instant::now(), 0);
    while last_progress.0.elapsed() < Duration::from_millis(700) {
        if let Ok(n) = client.write(&requests.as_bytes()[written..]) {
            written += n;
        }
        if endpoint.count() > last_progress.1 {
            last_progress = (Instant::now(), endpoint.count());
        }
        sleep(Duration::from_millis(1));
    }
    let signalled_at = Instant::now();
    gateway.signal("TERM");
    assert!(gateway.wait().success());
    assert!(signalled_at.elapsed() < Duration::from_secs(20), "{:?}", signalled_at.elapsed());
}
