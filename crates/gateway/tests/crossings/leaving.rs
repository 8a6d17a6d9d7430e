//! Clients that leave while their request waits: nothing is sent for it any more, whatever it waited for, and whatever else they had
//! written by then. That the gateway has seen them go is waited for; with nothing that looks for it, that would be for ever.

use super::*;

/// What a client has written behind a request when it goes: nothing, half a head, another request, and many.
fn behind() -> [String; 4] {
    let half = "POST /once HTTP/1.1\r\nHost: backend.local\r\nX-Requ".to_owned();
    [String::new(), half, request("once"), (0..60).map(|_| request("look")).collect()]
}

/// Has a request held, with that behind it; `others` are held already.
fn waits(gateway: &Gateway, class: &str, tail: &str, others: u64) -> Client {
    let mut client = gateway.connect();
    client.write((request(class) + tail).as_bytes());
    held(gateway, others + 1);
    client
}

/// Waits until the gateway has seen it go: long before the request's time is up, 30 s, or the client's, 40 s.
fn seen_to_go(gateway: &Gateway, client: Client, others: u64) {
    let gone = Instant::now();
    drop(client);
    held(gateway, others);
    assert!(gone.elapsed() < Duration::from_secs(20), "{:?}: it ended for another reason", gone.elapsed());
}

#[test]
fn while_no_host_was_there() {
    for (n, tail) in behind().iter().enumerate() {
        let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
        let (gateway, discovery) = start(&format!("left-host-{n}"), &[]);
        seen_to_go(&gateway, waits(&gateway, "look", tail, 0), 0);
        discovery.push(whole(42, &[host.entry("s-1", 1)]));
        assert_eq!(gateway.ask("look").status(), 200);
        assert_eq!(host.count(), 1, "{n}: sent for a client that had gone");
    }
}

#[test]
fn while_a_retry_waited_for_another_host() {
    for (n, tail) in behind().iter().enumerate() {
        let first = AtomicBool::new(true);
        let breaks = ScriptedEndpoint::start(move |_| match first.swap(false, Ordering::SeqCst) {
            true => Reply::Break,
            false => Reply::ok("ok"),
        });
        let other = ScriptedEndpoint::start(|_| Reply::ok("ok"));
        let (gateway, discovery) = start(&format!("left-retry-{n}"), &[breaks.entry("s-1", 1)]);
        let client = waits(&gateway, "look", tail, 0);
        wait_for("the first attempt", || breaks.count() == 1);
        seen_to_go(&gateway, client, 0);
        discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [other.entry("s-2", 1)]}));
        assert_eq!(gateway.ask("look").status(), 200);
        assert_eq!(breaks.count() + other.count(), 2, "{n}: sent again for a client that had gone");
    }
}

#[test]
fn while_the_turn_of_its_key_was_anothers() {
    for (n, tail) in behind().iter().enumerate() {
        let host =
            ScriptedEndpoint::start(|r| if r.first.contains("pay") { Reply::Hang } else { Reply::ok("ok") });
        let discovery = ScriptedDiscovery::start();
        let mut config = managed(&discovery, &crowd(&host));
        config["settings"]["classes"][1]["sequential"] = true.into();
        let gateway = Gateway::start_with(&PROGRAM, &format!("left-turn-{n}"), &discovery, &config);
        let mut first = waits(&gateway, "pay", "", 0);
        wait_for("the first attempt", || host.count() == 1);
        let second = waits(&gateway, "pay", tail, 1);
        let mut third = waits(&gateway, "pay", "", 2);
        seen_to_go(&gateway, second, 2);
        host.release();
        // The turn passes over the one that has gone, to the one behind it.
        assert_eq!(first.read().expect("an answer").status(), 200);
        assert_eq!(third.read().expect("an answer").status(), 200);
        assert_eq!(gateway.ask("look").status(), 200);
        assert_eq!(host.count(), 3, "{n}: sent for a client that had gone");
        held(&gateway, 0);
    }
}

/// A host that takes no connection before it is told to: its queue is full, and the kernel leaves further ones unanswered.
pub(super) struct Shut {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl Shut {
    pub(super) fn new() -> Shut {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: std::net::SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("a queue");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        Shut { listener, fillers: std::iter::from_fn(fill).collect() }
    }

    pub(super) fn entry(&self, name: &str) -> Value {
        let address = self.listener.local_addr().expect("an address").to_string();
        weldworks_testbed::scripted::entry(name, &address, 1, "active")
    }

    /// Takes all connections from now on; gives how many came beyond those that filled the queue, and what was asked on them.
    pub(super) fn open(self) -> (Arc<AtomicUsize>, Arc<AtomicUsize>) {
        let (came, asked) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let told = (came.clone(), asked.clone());
        spawn(move || {
            let own: Vec<_> = self.fillers.iter().map(|f| f.local_addr().expect("an address")).collect();
            while let Ok((mut stream, from)) = self.listener.accept() {
                if own.contains(&from) {
                    continue;
                }
                came.fetch_add(1, Ordering::SeqCst);
                let asked = asked.clone();
                spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    while weldworks_testbed::scripted::HttpMessage::read(&mut reader).is_some() {
                        asked.fetch_add(1, Ordering::SeqCst);
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    }
                });
            }
        });
        told
    }
}

#[test]
fn while_a_connection_to_its_host_was_coming_up() {
    for (n, tail) in behind().iter().enumerate() {
        let host = Shut::new();
        let discovery = ScriptedDiscovery::start();
        let mut config = managed(&discovery, &[host.entry("s-1")]);
        // Nothing is called off, so that the connection does come up, late.
        config["settings"]["policy_limits"]["may_cancel"] = false.into();
        config["settings"]["policy_limits"]["dial_timeout_s"] = 30.into();
        let gateway = Gateway::start_with(&PROGRAM, &format!("left-dial-{n}"), &discovery, &config);
        seen_to_go(&gateway, waits(&gateway, "once", tail, 0), 0);
        let (came, asked) = host.open();
        wait_for("the late connection", || came.load(Ordering::SeqCst) > 0);
        assert_eq!(gateway.ask("look").status(), 200);
        assert_eq!(asked.load(Ordering::SeqCst), 1, "{n}: sent for a client that had gone");
    }
}

#[test]
fn while_nobody_had_taken_its_connection_or_read_its_request() {
    for (n, tail) in behind().iter().enumerate() {
        let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
        let (gateway, _discovery) = start(&format!("left-queue-{n}"), &crowd(&host));
        let mut known = gateway.connect();
        assert_eq!(known.ask("look").status(), 200);
        gateway.signal("STOP");
        let mut new = gateway.connect();
        for client in [&mut known, &mut new] {
            client.write((request("once") + tail).as_bytes());
        }
        drop((known, new));
        gateway.signal("CONT");
        assert_eq!(gateway.ask("look").status(), 200);
        held(&gateway, 0);
        assert_eq!(host.count(), 2, "{n}: sent for a client that had gone");
    }
}

#[test]
fn while_the_rest_of_its_body_had_not_come() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("left-body", &[host.entry("s-1", 1)]);
    for (said, brought) in [(4, 1), (60 << 10, 30 << 10), (100 << 10, 10)] {
        let mut client = gateway.connect();
        let text = request("once").replace("Content-Length: 4", &format!("Content-Length: {said}"));
        client.write(text.replace("\r\n\r\nbody", "\r\n\r\n").as_bytes());
        client.write(&vec![b'x'; brought]);
    }
    assert_eq!(gateway.ask("look").status(), 200);
    wait_for("the clients to be gone", || gateway.metric("router_current") == Some(0));
    assert_eq!(host.count(), 1);
}

/// A body that is too long to be held is read on only once a host takes it. It is no longer than what the gateway reads and its kernel
/// takes for sure, 64 KiB each: beyond that the client's end stands behind what is unread, and `unread.rs` has its tests.
#[test]
fn while_its_long_body_waited_for_a_host() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) = start("left-upload", &[]);
    let length = 112 << 10;
    let text = request("once").replace("Content-Length: 4", &format!("Content-Length: {length}"));
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    client.write_all(text.replace("\r\n\r\nbody", "\r\n\r\n").as_bytes()).expect("a head");
    client.write_all(&vec![b'x'; length]).expect("a body");
    client.shutdown(Shutdown::Write).expect("an end");
    client.set_read_timeout(Some(LONG)).expect("a time-out");
    // That its end is seen shows in the gateway's own, long before the request's time is up.
    let (gone, mut answer) = (Instant::now(), Vec::new());
    let _ = client.read_to_end(&mut answer);
    assert_eq!(String::from_utf8_lossy(&answer), "");
    assert!(gone.elapsed() < Duration::from_secs(20), "{:?}", gone.elapsed());
    discovery.push(whole(42, &[host.entry("s-1", 1)]));
    assert_eq!(gateway.ask("look").status(), 200);
    assert_eq!(host.count(), 1, "sent for a client that had gone");
}

/// Many at once, each with something behind its request: places, turns and what is booked as out come back to what they were.
#[test]
fn in_a_burst_and_all_places_come_back() {
    let host =
        ScriptedEndpoint::start(|r| if r.first.contains("once") { Reply::Hang } else { Reply::ok("ok") });
    let (gateway, _discovery) = start("left-burst", &crowd(&host));
    for round in 0..3 {
        let tails = behind();
        let clients: Vec<_> = (0..20).map(|n| waits(&gateway, "once", &tails[n % 4], n as u64)).collect();
        wait_for("the attempts", || host.count() == 21 * round + 20);
        drop(clients);
        held(&gateway, 0);
        wait_for("the host to be left", || host.left.load(Ordering::SeqCst) == 20 * (round + 1));
        assert_eq!(gateway.ask("look").status(), 200);
    }
}

/// How long after their clients left the last attempts began, under load: each request is broken off once or more on its way, so that
/// many leave between two attempts. The bound is that of a busy machine; `docs/measurements/once-and-told.md` has what was measured.
#[test]
fn no_attempt_begins_long_after_its_client_has_left() {
    let begun = Arc::new(std::sync::Mutex::new(Vec::<(String, Instant)>::new()));
    let hosts: Vec<_> = (0..6u32)
        .map(|n| {
            let (begun, calls) = (begun.clone(), AtomicUsize::new(0));
            ScriptedEndpoint::start(move |request| {
                let id = request.header("x-request-id").unwrap_or_default().to_owned();
                begun.lock().expect("lock").push((id, Instant::now()));
                sleep(Duration::from_millis(u64::from(n) + 2));
                match calls.fetch_add(1, Ordering::SeqCst) % 3 {
                    0 => Reply::ok("ok"),
                    _ => Reply::Break,
                }
            })
        })
        .collect();
    let entries: Vec<_> =
        hosts.iter().enumerate().map(|(n, host)| host.entry(&format!("s-{n}"), 1)).collect();
    let (gateway, _discovery) = start("left-load", &entries);
    let left = Arc::new(std::sync::Mutex::new(std::collections::HashMap::<String, Instant>::new()));
    let threads: Vec<_> = (0..12u64)
        .map(|thread| {
            let mut clients: Vec<Client> = (0..40).map(|_| gateway.connect()).collect();
            let left = left.clone();
            spawn(move || {
                let mut draws = fastrand::Rng::with_seed(thread);
                while let Some(mut client) = clients.pop() {
                    let text = request("look");
                    let id = text.split("X-Request-ID: ").nth(1).and_then(|t| t.split("\r\n").next());
                    let id = id.expect("a number").to_owned();
                    // Some have further requests, or half a head, behind it when they go.
                    client.write((text + &behind()[draws.usize(0..4)]).as_bytes());
                    sleep(Duration::from_micros(draws.u64(0..25_000)));
                    drop(client);
                    left.lock().expect("lock").insert(id, Instant::now());
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("clients"));
    held(&gateway, 0);
    let left = left.lock().expect("lock");
    let mut late: Vec<Duration> = begun
        .lock()
        .expect("lock")
        .iter()
        .filter_map(|(id, at)| at.checked_duration_since(*left.get(id)?).filter(|late| !late.is_zero()))
        .collect();
    late.sort_unstable();
    let at = |part: f64| late.get((late.len() as f64 * part) as usize).copied().unwrap_or_default();
    println!(
        "{} of {} left before an attempt: median {:?}, p99 {:?}, most {:?}",
        late.len(),
        left.len(),
        at(0.5),
        at(0.99),
        late.last()
    );
    assert!(late.last().is_none_or(|most| *most < Duration::from_millis(1000)), "{late:?}");
}
