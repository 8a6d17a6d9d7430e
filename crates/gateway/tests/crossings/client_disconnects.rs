//! Clients that disconnect while their request waits: nothing may be sent for the request any more,
//! whatever the request waits for and whatever further bytes the client has written.
//! The tests wait until the gateway has observed the disconnect; a gateway that does not watch its clients would never observe it.

use super::*;

/// Bytes that a client has written behind its request when it disconnects: none, half a request head, another request, and 60 requests.
fn unread_input_variants() -> [String; 4] {
    let half = "POST /once HTTP/1.1\r\nHost: backend.local\r\nX-Requ".to_owned();
    [String::new(), half, request("once"), (0..60).map(|_| request("look")).collect()]
}

/// Opens a request followed by `unread_input`, and waits until the gateway has read the request; `others` requests are open already.
fn open_waiting_request(gateway: &Gateway, class: &str, unread_input: &str, others: u64) -> Client {
    let mut client = gateway.connect();
    client.write((request(class) + unread_input).as_bytes());
    wait_for_open_requests(gateway, others + 1);
    client
}

/// Disconnects the client, and waits until the gateway has observed the disconnect:
/// long before the request's own deadline of 30 s and the client's timeout of 40 s.
fn disconnect_and_wait(gateway: &Gateway, client: Client, others: u64) {
    let disconnected_at = Instant::now();
    drop(client);
    wait_for_open_requests(gateway, others);
    assert!(
        disconnected_at.elapsed() < Duration::from_secs(20),
        "{:?}: the request ended for another reason",
        disconnected_at.elapsed()
    );
}

#[test]
fn no_attempt_after_disconnect_while_no_endpoint_is_listed() {
    for (n, unread_input) in unread_input_variants().iter().enumerate() {
        let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
        let (gateway, discovery) = start(&format!("left-host-{n}"), &[]);
        disconnect_and_wait(&gateway, open_waiting_request(&gateway, "look", unread_input, 0), 0);
        discovery.push(snapshot(42, &[endpoint.entry("s-1", 1)]));
        assert_eq!(gateway.request("look").status(), 200);
        assert_eq!(endpoint.count(), 1, "{n}: sent for a disconnected client");
    }
}

#[test]
fn no_attempt_after_disconnect_while_a_retry_waits_for_another_endpoint() {
    for (n, unread_input) in unread_input_variants().iter().enumerate() {
        let first = AtomicBool::new(true);
        let breaking_endpoint = ScriptedEndpoint::start(move |_| match first.swap(false, Ordering::SeqCst) {
            true => Reply::Break,
            false => Reply::ok("ok"),
        });
        let other = ScriptedEndpoint::start(|_| Reply::ok("ok"));
        let (gateway, discovery) = start(&format!("left-retry-{n}"), &[breaking_endpoint.entry("s-1", 1)]);
        let client = open_waiting_request(&gateway, "look", unread_input, 0);
        wait_for("the first attempt", || breaking_endpoint.count() == 1);
        disconnect_and_wait(&gateway, client, 0);
        discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [other.entry("s-2", 1)]}));
        assert_eq!(gateway.request("look").status(), 200);
        assert_eq!(breaking_endpoint.count() + other.count(), 2, "{n}: sent again for a disconnected client");
    }
}

#[test]
fn no_attempt_after_disconnect_while_queued_behind_a_request_with_the_same_key() {
    for (n, unread_input) in unread_input_variants().iter().enumerate() {
        let endpoint =
            ScriptedEndpoint::start(|r| if r.first.contains("pay") { Reply::Hang } else { Reply::ok("ok") });
        let discovery = ScriptedDiscovery::start();
        let mut config = config_with_admin_api(&discovery, &listed_thirty_times(&endpoint));
        config["settings"]["classes"][1]["sequential"] = true.into();
        let gateway = Gateway::start_with(&PROGRAM, &format!("left-turn-{n}"), &discovery, &config);
        let mut first = open_waiting_request(&gateway, "pay", "", 0);
        wait_for("the first attempt", || endpoint.count() == 1);
        let second = open_waiting_request(&gateway, "pay", unread_input, 1);
        let mut third = open_waiting_request(&gateway, "pay", "", 2);
        disconnect_and_wait(&gateway, second, 2);
        endpoint.release();
        // The request of the disconnected client is skipped, and the next request with the key is sent.
        assert_eq!(first.read().expect("no answer").status(), 200);
        assert_eq!(third.read().expect("no answer").status(), 200);
        assert_eq!(gateway.request("look").status(), 200);
        assert_eq!(endpoint.count(), 3, "{n}: sent for a disconnected client");
        wait_for_open_requests(&gateway, 0);
    }
}

/// An endpoint that accepts no connection until told to: its listen backlog is full, and the kernel leaves further connections unanswered.
pub(super) struct FullBacklogEndpoint {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl FullBacklogEndpoint {
    pub(super) fn new() -> FullBacklogEndpoint {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("cannot create the socket");
        let any: std::net::SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("bind failed");
        socket.listen(0).expect("listen failed");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("no local address");
        let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        FullBacklogEndpoint { listener, fillers: std::iter::from_fn(fill).collect() }
    }

    pub(super) fn entry(&self, name: &str) -> Value {
        let address = self.listener.local_addr().expect("no local address").to_string();
        weldworks_testbed::scripted::entry(name, &address, 1, "active")
    }

    /// Accepts all connections from now on. Returns counters of the connections beyond those that filled the backlog, and of the requests on them.
    pub(super) fn accept_all(self) -> (Arc<AtomicUsize>, Arc<AtomicUsize>) {
        let (connections, requests) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counters = (connections.clone(), requests.clone());
        spawn(move || {
            let own: Vec<_> =
                self.fillers.iter().map(|f| f.local_addr().expect("no local address")).collect();
            while let Ok((mut stream, from)) = self.listener.accept() {
                if own.contains(&from) {
                    continue;
                }
                connections.fetch_add(1, Ordering::SeqCst);
                let requests = requests.clone();
                spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("clone of the stream failed"));
                    while weldworks_testbed::scripted::HttpMessage::read(&mut reader).is_some() {
                        requests.fetch_add(1, Ordering::SeqCst);
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    }
                });
            }
        });
        counters
    }
}

#[test]
fn no_attempt_after_disconnect_while_the_endpoint_connection_is_being_opened() {
    for (n, unread_input) in unread_input_variants().iter().enumerate() {
        let endpoint = FullBacklogEndpoint::new();
        let discovery = ScriptedDiscovery::start();
        let mut config = config_with_admin_api(&discovery, &[endpoint.entry("s-1")]);
        // The settings forbid the gateway to cancel the pending connection, so the connection is established, late.
        config["settings"]["policy_limits"]["may_cancel"] = false.into();
        config["settings"]["policy_limits"]["dial_timeout_s"] = 30.into();
        let gateway = Gateway::start_with(&PROGRAM, &format!("left-dial-{n}"), &discovery, &config);
        disconnect_and_wait(&gateway, open_waiting_request(&gateway, "once", unread_input, 0), 0);
        let (connections, requests) = endpoint.accept_all();
        wait_for("the late connection", || connections.load(Ordering::SeqCst) > 0);
        assert_eq!(gateway.request("look").status(), 200);
        assert_eq!(requests.load(Ordering::SeqCst), 1, "{n}: sent for a disconnected client");
    }
}

#[test]
fn no_attempt_after_disconnect_before_the_request_is_read() {
    for (n, unread_input) in unread_input_variants().iter().enumerate() {
        let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
        let (gateway, _discovery) = start(&format!("left-queue-{n}"), &listed_thirty_times(&endpoint));
        let mut known_client = gateway.connect();
        assert_eq!(known_client.request("look").status(), 200);
        gateway.signal("STOP");
        let mut new_client = gateway.connect();
        for client in [&mut known_client, &mut new_client] {
            client.write((request("once") + unread_input).as_bytes());
        }
        drop((known_client, new_client));
        gateway.signal("CONT");
        assert_eq!(gateway.request("look").status(), 200);
        wait_for_open_requests(&gateway, 0);
        assert_eq!(endpoint.count(), 2, "{n}: sent for a disconnected client");
    }
}

#[test]
fn no_attempt_after_disconnect_with_an_incomplete_body() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("left-body", &[endpoint.entry("s-1", 1)]);
    for (declared_length, sent_length) in [(4, 1), (60 << 10, 30 << 10), (100 << 10, 10)] {
        let mut client = gateway.connect();
        let text =
            request("once").replace("Content-Length: 4", &format!("Content-Length: {declared_length}"));
        client.write(text.replace("\r\n\r\nbody", "\r\n\r\n").as_bytes());
        client.write(&vec![b'x'; sent_length]);
    }
    assert_eq!(gateway.request("look").status(), 200);
    wait_for("the disconnected clients' requests to end", || gateway.metric("router_current") == Some(0));
    assert_eq!(endpoint.count(), 1);
}

/// A body that is too long to be buffered is read further only once an endpoint takes it.
/// The test's body is no longer than what the gateway and its kernel are certain to read, 64 KiB each:
/// with a longer body the client's end of stream stays behind unread bytes, which `unread_input.rs` tests.
#[test]
fn no_attempt_after_disconnect_while_a_long_body_waits_for_an_endpoint() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) = start("left-upload", &[]);
    let length = 112 << 10;
    let text = request("once").replace("Content-Length: 4", &format!("Content-Length: {length}"));
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    client
        .write_all(text.replace("\r\n\r\nbody", "\r\n\r\n").as_bytes())
        .expect("write of the request head failed");
    client.write_all(&vec![b'x'; length]).expect("write of the body failed");
    client.shutdown(Shutdown::Write).expect("shutdown failed");
    client.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
    // The gateway closes its own side once it observes the client's end of stream, long before the request's deadline.
    let (disconnected_at, mut answer) = (Instant::now(), Vec::new());
    let _ = client.read_to_end(&mut answer);
    assert_eq!(String::from_utf8_lossy(&answer), "");
    assert!(disconnected_at.elapsed() < Duration::from_secs(20), "{:?}", disconnected_at.elapsed());
    discovery.push(snapshot(42, &[endpoint.entry("s-1", 1)]));
    assert_eq!(gateway.request("look").status(), 200);
    assert_eq!(endpoint.count(), 1, "sent for a disconnected client");
}

/// 20 clients disconnect at once, each with further bytes behind its request:
/// afterwards client capacity, key queues and the counts of requests in flight are back at their previous values.
#[test]
fn burst_of_disconnects_releases_all_capacity() {
    let endpoint =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (gateway, _discovery) = start("left-burst", &listed_thirty_times(&endpoint));
    for round in 0..3 {
        let inputs = unread_input_variants();
        let clients: Vec<_> =
            (0..20).map(|n| open_waiting_request(&gateway, "once", &inputs[n % 4], n as u64)).collect();
        wait_for("the attempts", || endpoint.count() == 21 * round + 20);
        drop(clients);
        wait_for_open_requests(&gateway, 0);
        wait_for("the connections to close", || endpoint.left.load(Ordering::SeqCst) == 20 * (round + 1));
        assert_eq!(gateway.request("look").status(), 200);
    }
}

/// Measures how long after their clients' disconnects the last attempts begin under load.
/// Endpoints break off 2 of 3 attempts, so that many clients disconnect between two attempts.
/// The bound allows for a busy machine; `docs/measurements/once-and-told.md` has the measured values.
#[test]
fn no_attempt_begins_long_after_the_client_disconnects() {
    let attempt_starts = Arc::new(std::sync::Mutex::new(Vec::<(String, Instant)>::new()));
    let endpoints: Vec<_> = (0..6u32)
        .map(|n| {
            let (attempt_starts, calls) = (attempt_starts.clone(), AtomicUsize::new(0));
            ScriptedEndpoint::start(move |request| {
                let id = request.header("x-request-id").unwrap_or_default().to_owned();
                attempt_starts.lock().expect("lock poisoned").push((id, Instant::now()));
                sleep(Duration::from_millis(u64::from(n) + 2));
                match calls.fetch_add(1, Ordering::SeqCst) % 3 {
                    0 => Reply::ok("ok"),
                    _ => Reply::Break,
                }
            })
        })
        .collect();
    let entries: Vec<_> =
        endpoints.iter().enumerate().map(|(n, endpoint)| endpoint.entry(&format!("s-{n}"), 1)).collect();
    let (gateway, _discovery) = start("left-load", &entries);
    let left_at = Arc::new(std::sync::Mutex::new(std::collections::HashMap::<String, Instant>::new()));
    let threads: Vec<_> = (0..12u64)
        .map(|thread| {
            let mut clients: Vec<Client> = (0..40).map(|_| gateway.connect()).collect();
            let left_at = left_at.clone();
            spawn(move || {
                let mut random = fastrand::Rng::with_seed(thread);
                while let Some(mut client) = clients.pop() {
                    let text = request("look");
                    let id = text.split("X-Request-ID: ").nth(1).and_then(|t| t.split("\r\n").next());
                    let id = id.expect("no X-Request-ID").to_owned();
                    // Some clients have written further requests, or half a request head, when they disconnect.
                    client.write((text + &unread_input_variants()[random.usize(0..4)]).as_bytes());
                    sleep(Duration::from_micros(random.u64(0..25_000)));
                    drop(client);
                    left_at.lock().expect("lock poisoned").insert(id, Instant::now());
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("client thread panicked"));
    wait_for_open_requests(&gateway, 0);
    let left_at = left_at.lock().expect("lock poisoned");
    let mut delays: Vec<Duration> = attempt_starts
        .lock()
        .expect("lock poisoned")
        .iter()
        .filter_map(|(id, at)| at.checked_duration_since(*left_at.get(id)?).filter(|delay| !delay.is_zero()))
        .collect();
    delays.sort_unstable();
    let quantile = |part: f64| delays.get((delays.len() as f64 * part) as usize).copied().unwrap_or_default();
    println!(
        "{} of {} clients disconnected before an attempt: median {:?}, p99 {:?}, most {:?}",
        delays.len(),
        left_at.len(),
        quantile(0.5),
        quantile(0.99),
        delays.last()
    );
    assert!(delays.last().is_none_or(|longest| *longest < Duration::from_millis(1000)), "{delays:?}");
}
