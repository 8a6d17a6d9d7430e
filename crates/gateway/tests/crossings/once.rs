//! Work that may run only once: what is refused or sent again has surely never run, or goes where its key is known, and in time.

use super::leaving::Shut;
use super::*;
use weldworks_testbed::scripted::entry;

/// More than is held whole, and more than any buffers on the way take in.
const LONG_BODY: usize = 100 << 10;
const HUGE_BODY: usize = 24 << 20;

/// A host that takes so much of each request's body, all of it for nothing else, says this, and resets the connection or waits for its
/// end. Counts requests and bytes of bodies.
struct Cutter {
    address: String,
    begun: Arc<AtomicUsize>,
    brought: Arc<AtomicUsize>,
}

#[derive(Clone, Copy)]
struct Cut {
    takes: Option<usize>,
    says: &'static [u8],
    resets: bool,
}

impl Cutter {
    fn start(cut: Cut) -> Cutter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (begun, brought) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let told = (begun.clone(), brought.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let told = told.clone();
                spawn(move || Cutter::treat(stream, cut, &told.0, &told.1));
            }
        });
        Cutter { address, begun, brought }
    }

    fn treat(mut stream: TcpStream, cut: Cut, begun: &AtomicUsize, brought: &AtomicUsize) {
        let (mut text, mut space) = (Vec::new(), [0; 16 << 10]);
        let head = loop {
            if let Some(at) = text.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            match stream.read(&mut space) {
                Ok(n) if n > 0 => text.extend_from_slice(&space[..n]),
                _ => return,
            }
        };
        let words = String::from_utf8_lossy(&text[..head]).to_ascii_lowercase();
        let length = words.lines().find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
        begun.fetch_add(1, Ordering::SeqCst);
        let (mut body, mut tail) = (text.len() - head, text.split_off(head));
        let over = |body: usize, tail: &[u8]| match (cut.takes, length) {
            (Some(takes), _) => body >= takes,
            (None, Some(length)) => body >= length,
            (None, None) => tail.ends_with(b"\r\n0\r\n\r\n"),
        };
        while !over(body, &tail) {
            match stream.read(&mut space) {
                Ok(n) if n > 0 => {
                    body += n;
                    tail.extend_from_slice(&space[..n]);
                    tail.drain(..tail.len().saturating_sub(16));
                }
                _ => return,
            }
        }
        brought.fetch_add(body, Ordering::SeqCst);
        let _ = stream.write_all(cut.says);
        if cut.resets {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)); // its close is a reset
            return;
        }
        // Whatever is still written after the answer counts too.
        while let Ok(n @ 1..) = stream.read(&mut space) {
            brought.fetch_add(n, Ordering::SeqCst);
        }
    }

    fn entry(&self, name: &str) -> Value {
        entry(name, &self.address, 1, "active")
    }

    fn begun(&self) -> usize {
        self.begun.load(Ordering::SeqCst)
    }
}

/// Asks with a body of this length, said ahead or in chunks; the status.
fn ask_long(gateway: &Gateway, class: &str, length: usize, chunked: bool) -> u16 {
    let plain = request(class);
    let (head, _) = plain.split_once("Content-Length").expect("a length");
    let stream = TcpStream::connect(&gateway.address).expect("a connection");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    let body = vec![b'x'; length];
    let text = if chunked {
        [
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n").as_bytes(),
            &body,
            b"\r\n0\r\n\r\n",
        ]
        .concat()
    } else {
        [format!("{head}Content-Length: {length}\r\n\r\n").as_bytes(), &body].concat()
    };
    let mut writer = stream.try_clone().expect("a clone");
    let writing = spawn(move || writer.write_all(&text));
    let answer =
        weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(stream)).expect("an answer");
    let _ = writing.join(); // it may be told before it has written all
    answer.status()
}

/// A body that is not held has gone to its host with its last byte, also where nobody asks whether there is more: what the host resets
/// then may have run. Refused, its client would send it again.
#[test]
fn a_streamed_body_that_has_gone_whole_is_not_refused() {
    for (class, chunked) in [("book", false), ("book", true), ("once", false), ("once", true)] {
        let host = Cutter::start(Cut { takes: None, says: b"", resets: true });
        let (gateway, _discovery) =
            start(&format!("whole-{class}-{chunked}"), &[host.entry("s-1"), host.entry("s-2")]);
        let status = ask_long(&gateway, class, LONG_BODY, chunked);
        assert_eq!((status, host.begun()), (502, 1), "{class}, in chunks: {chunked}");
    }
}

/// One that has not gone whole has surely never run: its client may send it again.
#[test]
fn a_streamed_body_that_was_cut_short_is_refused() {
    for chunked in [false, true] {
        let host = Cutter::start(Cut { takes: Some(1), says: b"", resets: true });
        let (gateway, _discovery) = start(&format!("short-{chunked}"), &[host.entry("s-1")]);
        let status = ask_long(&gateway, "once", HUGE_BODY, chunked);
        assert_eq!((status, host.begun()), (503, 1), "in chunks: {chunked}");
    }
}

/// A streamed body whose length was said is complete with its last byte: its class's time counts from then on, and its connection
/// is used again.
#[test]
fn a_host_that_hangs_over_a_whole_body_has_the_time_of_its_class() {
    for chunked in [false, true] {
        let host = Cutter::start(Cut { takes: None, says: b"", resets: false });
        let (gateway, _discovery) = start(&format!("hangs-{chunked}"), &[host.entry("s-1")]);
        let status = ask_long(&gateway, "brief-once", LONG_BODY, chunked);
        assert_eq!((status, host.begun()), (504, 1), "in chunks: {chunked}");
    }
}

/// What answers before it has had the whole never gets the rest: with that it would begin. Nor is such an answer served, for it
/// answers something else.
#[test]
fn an_answer_that_comes_before_the_request_has_gone_ends_its_connection() {
    let answers: [(&[u8], u16); 3] = [
        (b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", 502),
        (b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 2\r\n\r\nno", 503),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 503),
    ];
    for (n, (says, wanted)) in answers.into_iter().enumerate() {
        let host = Cutter::start(Cut { takes: Some(1), says, resets: false });
        let (gateway, _discovery) = start(&format!("early-{n}"), &[host.entry("s-1")]);
        assert_eq!(ask_long(&gateway, "once", HUGE_BODY, false), wanted, "{n}");
        held(&gateway, 0);
        let brought = host.brought.load(Ordering::SeqCst);
        assert!(host.begun() == 1 && brought < HUGE_BODY, "{n}: {brought} bytes of {HUGE_BODY} went");
    }
}

/// Only a plain word proves that a request was not processed.
#[test]
fn an_odd_word_of_not_having_processed_it_proves_nothing() {
    for (n, (mark, wanted)) in [
        ("X-Not-Processed: 1\r\n", 2),
        ("X-Not-Processed: 1\r\nX-Not-Processed: 1\r\n", 1),
        ("X-Not-Processed: yes\r\n", 1),
        ("X-Not-Processed: 1, 1\r\n", 1),
    ]
    .into_iter()
    .enumerate()
    {
        let told = Arc::<AtomicUsize>::default();
        let calls = told.clone();
        let host = Agent::start(move |_, mut stream| {
            let first = calls.fetch_add(1, Ordering::SeqCst) == 0;
            let head = if first { format!("503 No\r\n{mark}") } else { "200 OK\r\n".to_owned() };
            let _ = stream.write_all(format!("HTTP/1.1 {head}Content-Length: 2\r\n\r\nok").as_bytes());
            hold(stream);
        });
        let at = |name: &str| entry(name, &host.address, 1, "active");
        let (gateway, _discovery) = start(&format!("odd-{n}"), &[at("s-1"), at("s-2")]);
        let status = gateway.ask("once").status();
        assert_eq!((status, host.calls()), (if wanted == 2 { 200 } else { 502 }, wanted), "{mark:?}");
    }
}

/// Starts a gateway whose class `book` is keyed by this group, known for so long, and held for a host for so long.
fn keyed(
    name: &str,
    group: &str,
    window_s: f64,
    aim_s: f64,
    hosts: &[Value],
) -> (Gateway, ScriptedDiscovery) {
    let discovery = ScriptedDiscovery::start();
    let mut config = managed(&discovery, hosts);
    config["settings"]["classes"][2]["group"] = group.into();
    config["settings"]["classes"][2]["dedup_window_s"] = window_s.into();
    config["settings"]["classes"][2]["promise_s"] = aim_s.into();
    let gateway = Gateway::start_with(&PROGRAM, name, &discovery, &config);
    (gateway, discovery)
}

/// The second attempt is decided while hosts know the key, and its connection comes up once they do not any more: nothing is written.
#[test]
fn a_repeat_is_not_written_after_its_window() {
    const WINDOW: f64 = 2.4;
    let (go, going) = std::sync::mpsc::channel::<()>();
    let going = std::sync::Mutex::new(going);
    let first = Agent::start(move |_, stream| {
        let _ = going.lock().expect("lock").recv();
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        // a reset
    });
    let late = Shut::new();
    let at = entry("s-1", &first.address, 1, "active");
    let (gateway, discovery) = keyed("window", "cell", WINDOW, 30.0, &[at]);
    let mut client = gateway.connect();
    client.send("book");
    let sent = Instant::now();
    wait_for("the first attempt", || first.calls() == 1);
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [late.entry("s-2")]}));
    wait_for("the second host", || gateway.metric("router_cluster_size") == Some(2));
    go.send(()).expect("it waits");
    // The queue is opened once the window is over: what the kernel still tries to open comes up then.
    sleep(Duration::from_secs_f64(WINDOW + 0.1).saturating_sub(sent.elapsed()));
    let (came, asked) = late.open();
    assert_eq!(
        client.read().expect("an answer").status(),
        502,
        "it may have run, and nobody knows it any more"
    );
    // Another request has its connection come up behind it, so that it would have been seen.
    drop(go);
    let mut other = gateway.connect();
    other.send("look");
    wait_for("a connection", || came.load(Ordering::SeqCst) > 0);
    assert_eq!(other.read().expect("an answer").status(), 200);
    assert_eq!(asked.load(Ordering::SeqCst), 1, "the other request");
}

/// Two zones that the settings do not name are two, and hosts of none are in nobody's; the same for cells.
#[test]
fn unknown_zones_and_cells_are_not_one_group() {
    let cases = [
        ("zone", json!({"zone": "x"}), json!({"zone": "y"}), 502),
        ("zone", json!({"zone": "x"}), json!({"zone": "x"}), 200),
        ("zone", json!({"zone": ""}), json!({"zone": ""}), 502),
        ("zone", json!({"zone": "a"}), json!({"zone": "z"}), 502),
        ("cell", json!({"group": null}), json!({"group": null}), 502),
        ("cell", json!({"group": 3}), json!({"group": 3}), 200),
        ("cell", json!({"group": 3}), json!({"group": 4}), 502),
    ];
    for (n, (group, one, other, wanted)) in cases.into_iter().enumerate() {
        let told = Arc::<AtomicUsize>::default();
        let calls = told.clone();
        let host = Agent::start(move |_, mut stream| {
            if calls.fetch_add(1, Ordering::SeqCst) > 0 {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                hold(stream);
            }
        });
        let at = |name: &str, place: &Value| {
            let mut at = entry(name, &host.address, 1, "active");
            for (key, value) in place.as_object().expect("an object") {
                at[key] = value.clone();
            }
            at
        };
        let (gateway, _discovery) =
            keyed(&format!("group-{n}"), group, 40.0, 3.0, &[at("s-1", &one), at("s-2", &other)]);
        let status = gateway.ask("book").status();
        let tries = if wanted == 200 { 2 } else { 1 };
        assert_eq!((status, host.calls()), (wanted, tries), "{group}: {one} and {other}");
    }
}

/// What comes behind a request that a host has, good or bad, ends its connection with its answer and not before.
#[test]
fn a_request_that_a_host_has_is_answered_whatever_comes_behind_it() {
    let behind: [&[u8]; 5] = [
        b"",
        b"\0\x01 no request at all\r\n\r\n",
        b"GET /look HTTP/1.1\r\nHost: backend.local\r\n\r\n",
        b"POST /once HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        &[b'x'; 40 << 10],
    ];
    for (n, tail) in behind.into_iter().enumerate() {
        let host = ScriptedEndpoint::start(|_| Reply::Hang);
        let (gateway, _discovery) = start(&format!("behind-{n}"), &[host.entry("s-1", 1)]);
        let mut client = gateway.connect();
        client.write(&[request("once").as_bytes(), tail].concat());
        wait_for("the attempt", || host.count() == 1);
        if n == 0 {
            gateway.signal("TERM");
        }
        host.release();
        let answer = client.read().unwrap_or_else(|| panic!("{n}: no answer to what a host has had"));
        assert!(![429, 503].contains(&answer.status()), "{n}: {}", answer.status());
    }
}

/// A word of not having processed it that breaks off, or comes with a body that does, is half an answer and proves nothing.
#[test]
fn half_a_word_of_not_having_processed_it_proves_nothing() {
    let halves: [&[u8]; 3] = [
        b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 10\r\n\r\nno",
        b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\n",
        b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n",
    ];
    for (n, half) in halves.into_iter().enumerate() {
        let host = Agent::start(move |_, mut stream| {
            let _ = stream.write_all(half);
        });
        let at = |name: &str| entry(name, &host.address, 1, "active");
        let (gateway, _discovery) = start(&format!("half-{n}"), &[at("s-1"), at("s-2")]);
        assert_eq!((gateway.ask("once").status(), host.calls()), (502, 1), "{n}");
    }
}

/// A request keeps its class's effect, group and window while the file gives the class others.
#[test]
fn a_request_keeps_what_its_class_was_when_it_came() {
    // What the class is at first, and then; how the request ends whose host breaks off after the file has changed.
    let (unsafe_, safe) = (json!({"effect": "single_shot"}), json!({"effect": "free"}));
    let keyed = |group: &str, s: f64| json!({"effect": "guarded", "group": group, "dedup_window_s": s});
    let cases = [
        ("once", unsafe_.clone(), keyed("all", 40.0), 502, 1),
        ("once", unsafe_.clone(), safe, 502, 1),
        ("book", keyed("cell", 40.0), keyed("all", 40.0), 502, 1),
        ("book", keyed("all", 40.0), keyed("cell", 40.0), 200, 2),
        ("book", keyed("all", 40.0), unsafe_, 200, 2),
        ("book", keyed("cell", 0.001), keyed("all", 40.0), 502, 1),
    ];
    for (n, (class, was, is, status, tries)) in cases.into_iter().enumerate() {
        let (go, going) = std::sync::mpsc::channel::<()>();
        let going = std::sync::Mutex::new(going);
        let host = Agent::start(move |call, mut stream| {
            if call == 0 {
                let _ = going.lock().expect("lock").recv();
                return;
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            hold(stream);
        });
        let place = if class == "once" { 3 } else { 2 };
        let discovery = ScriptedDiscovery::start();
        let at = [entry("s-1", &host.address, 1, "active"), entry("s-2", &host.address, 2, "active")];
        let mut config = managed(&discovery, &at);
        let mut rules = |of: &Value| {
            for (key, value) in of.as_object().expect("an object") {
                config["settings"]["classes"][place][key] = value.clone();
            }
            config["settings"]["classes"][place]["promise_s"] = 8.0.into(); // longer than a new file takes
            config.clone()
        };
        let (before, after) = (rules(&was), rules(&is));
        let name = format!("keeps-{n}");
        let gateway = Gateway::start_with(&PROGRAM, &name, &discovery, &before);
        let mut client = gateway.connect();
        client.send(class);
        wait_for("the first attempt", || host.calls() == 1);
        write_config(&PROGRAM, &name, &after.to_string());
        gateway.signal("HUP");
        wait_for("the new file", || gateway.metric("router_conf_loaded") == Some(1));
        go.send(()).expect("it waits");
        let answer = client.read().expect("an answer").status();
        assert_eq!((answer, host.calls()), (status, tries), "{n}: {class}, {was} and then {is}");
    }
}
