//! SIGTERM at any step.

use super::*;

/// Connections that wait in the kernel when the process is told to end are taken still, where no place is free at once.
#[test]
fn what_waits_in_a_full_queue_is_answered() {
    let discovery = ScriptedDiscovery::start();
    let mut gateway = Gateway::start(&PROGRAM, "stop-queue", &discovery, 48, &[]);
    let mut places: Vec<_> = (0..14).map(|_| gateway.connect()).collect();
    for client in &mut places {
        let text = request("once").replace("\r\n\r\nbody", "\r\nExpect: 100-continue\r\n\r\n");
        client.write(text.replace("40000m", "3000m").as_bytes());
        assert_eq!(client.read().expect("a word to go on").status(), 100);
        client.write(b"body");
    }
    // More than are told at a time that there is no room, and none of them says a word.
    let silent: Vec<_> = (0..40).map(|_| gateway.connect()).collect();
    gateway.signal("STOP");
    let mut waiting: Vec<_> = (0..12).map(|_| gateway.connect()).collect();
    waiting.iter_mut().for_each(|client| client.send("look"));
    gateway.signal("TERM");
    gateway.signal("CONT");
    for client in &mut waiting {
        assert!(client.read().is_some(), "closed with no answer");
    }
    for client in &mut places {
        assert!(client.read().is_some(), "what was held is answered");
    }
    drop(silent);
    assert!(gateway.wait().success());
}

/// A new connection has its time to bring a first request, also when others may not rest any more.
#[test]
fn a_first_request_that_comes_late_on_a_new_connection_is_answered() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (mut gateway, _discovery) = start("stop-first", &[host.entry("s-1", 1)]);
    let mut held = gateway.connect();
    held.send("brief"); // so that there is somebody to stay for
    let mut new: Vec<_> = (0..6).map(|_| gateway.connect()).collect();
    let told = Instant::now();
    gateway.signal("TERM");
    for (n, client) in new.iter_mut().enumerate() {
        sleep(
            (Duration::from_millis(400) + Duration::from_millis(50) * n as u32)
                .saturating_sub(told.elapsed()),
        );
        client.send("look");
        // What comes later than that need not be answered.
        if told.elapsed() < Duration::from_millis(690) {
            assert_eq!(client.read().map(|answer| answer.status()), Some(200), "request {n}");
        } else {
            client.expect_no_answers();
        }
    }
    assert!(gateway.wait().success());
}

#[test]
fn a_second_signal_and_a_new_file_change_nothing_of_a_stop() {
    let host = ScriptedEndpoint::start(|_| Reply::Hang);
    let discovery = ScriptedDiscovery::start();
    let config = managed(&discovery, &crowd(&host));
    let mut gateway = Gateway::start_with(&PROGRAM, "stop-twice", &discovery, &config);
    let mut clients: Vec<_> = (0..6).map(|_| gateway.connect()).collect();
    clients.iter_mut().for_each(|client| client.send("once"));
    wait_for("the attempts", || host.count() == 6);
    let mut new = config.clone();
    new["settings"]["classes"].as_array_mut().expect("classes").truncate(2);
    write_config(&PROGRAM, "stop-twice", &new.to_string());
    for signal in ["TERM", "HUP", "TERM", "HUP", "TERM"] {
        gateway.signal(signal);
    }
    host.release();
    for client in &mut clients {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    assert!(gateway.wait().success());
    assert_eq!(host.count(), 6);
}

/// The kill comes by the longest deadline of the file in force; what is open may have come under another.
#[test]
fn what_came_under_a_longer_deadline_is_answered_before_the_kill_by_a_shorter_one() {
    let host = ScriptedEndpoint::start(|_| Reply::Hang);
    let discovery = ScriptedDiscovery::start();
    let config = managed(&discovery, &crowd(&host));
    let mut gateway = Gateway::start_with(&PROGRAM, "stop-shorter", &discovery, &config);
    let mut client = gateway.connect();
    client.send("once");
    wait_for("the attempt", || host.count() == 1);
    let mut new = config.clone();
    for class in new["settings"]["classes"].as_array_mut().expect("classes") {
        (class["deadline_s"], class["promise_s"]) = (0.5.into(), 0.3.into());
    }
    write_config(&PROGRAM, "stop-shorter", &new.to_string());
    gateway.signal("HUP");
    wait_for("the new file", || gateway.metric("router_conf_loaded") == Some(1));
    let told = Instant::now();
    gateway.signal("TERM");
    assert_eq!(client.read().expect("an answer").status(), 504);
    assert!(gateway.wait().success());
    assert!(told.elapsed() < Duration::from_secs(15), "{:?}: it has 0.5 s and 0.7 s", told.elapsed());
}

/// A successor that is told to end before it is ready takes nobody: those who wait are the other's.
#[test]
fn a_successor_that_is_told_to_end_before_it_is_ready_takes_nobody() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    for round in 0..8 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (mute, speaks) = (ScriptedDiscovery::start(), ScriptedDiscovery::start());
        mute.silent.store(true, Ordering::SeqCst);
        let name = format!("stop-successor-{round}");
        let known = [host.entry("s-1", 1)];
        let mut text = managed(&mute, &[]);
        text["settings"]["discovery"] = "push".into();
        let mut successor = Gateway::start_shared(&PROGRAM, &name, &mute, &text, &listener);
        let mut waiting =
            TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        waiting.write_all(request("look").as_bytes()).expect("a request");
        successor.signal("TERM");
        assert!(successor.wait().success());
        let _other = Gateway::start_shared(&PROGRAM, &name, &speaks, &managed(&speaks, &known), &listener);
        waiting.set_read_timeout(Some(LONG)).expect("a time-out");
        let answer = weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(waiting));
        assert_eq!(answer.map(|a| a.status()), Some(200), "round {round}: taken by one that may take nobody");
    }
}

/// A client that writes on and takes no answer has bytes unread whenever it is looked at, and must not keep a process that ends.
#[test]
fn a_client_that_takes_no_answer_does_not_keep_a_stop() {
    let host = ScriptedEndpoint::start(|_| Reply::Answer(200, "", vec![b'x'; 60 << 10]));
    let (mut gateway, _discovery) = start("stop-deaf", &crowd(&host));
    let mut deaf = TcpStream::connect(&gateway.address).expect("a connection");
    deaf.set_nonblocking(true).expect("no waiting");
    let all: String = (0..2000).map(|_| request("look")).collect();
    let mut written = 0;
    // Until neither side takes more: the answers fill every buffer on the way, and so do the requests.
    let mut last = (Instant::now(), 0);
    while last.0.elapsed() < Duration::from_millis(700) {
        if let Ok(n) = deaf.write(&all.as_bytes()[written..]) {
            written += n;
        }
        if host.count() > last.1 {
            last = (Instant::now(), host.count());
        }
        sleep(Duration::from_millis(1));
    }
    let told = Instant::now();
    gateway.signal("TERM");
    assert!(gateway.wait().success());
    assert!(told.elapsed() < Duration::from_secs(20), "{:?}", told.elapsed());
}
