//! Requests that may be processed only once: a request that is rejected or sent again was surely not processed,
//! or its retry goes to an endpoint that knows its idempotency key, within the idempotency window.

use super::client_disconnects::FullBacklogEndpoint;
use super::*;
use weldworks_testbed::scripted::entry;

/// Body lengths: the first exceeds what the gateway buffers, so that the body is streamed; the second exceeds all buffers on the way.
const STREAMED_BODY_BYTES: usize = 100 << 10;
const UNBUFFERABLE_BODY_BYTES: usize = 24 << 20;

/// An endpoint that reads a given part of each request's body (`None`: all of it), writes a fixed answer,
/// and then resets the connection or waits for its end. Counts requests and bytes of bodies.
struct CuttingEndpoint {
    address: String,
    request_count: Arc<AtomicUsize>,
    body_bytes: Arc<AtomicUsize>,
}

#[derive(Clone, Copy)]
struct CuttingBehaviour {
    body_bytes_read: Option<usize>,
    answer: &'static [u8],
    reset_connection: bool,
}

impl CuttingEndpoint {
    fn start(behaviour: CuttingBehaviour) -> CuttingEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
        let address = listener.local_addr().expect("no local address").to_string();
        let (request_count, body_bytes) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counters = (request_count.clone(), body_bytes.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let counters = counters.clone();
                spawn(move || CuttingEndpoint::serve(stream, behaviour, &counters.0, &counters.1));
            }
        });
        CuttingEndpoint { address, request_count, body_bytes }
    }

    fn serve(
        mut stream: TcpStream,
        behaviour: CuttingBehaviour,
        request_count: &AtomicUsize,
        body_bytes: &AtomicUsize,
    ) {
        let (mut text, mut buffer) = (Vec::new(), [0; 16 << 10]);
        let head = loop {
            if let Some(position) = text.windows(4).position(|w| w == b"\r\n\r\n") {
                break position + 4;
            }
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => text.extend_from_slice(&buffer[..n]),
                _ => return,
            }
        };
        let lower_case_head = String::from_utf8_lossy(&text[..head]).to_ascii_lowercase();
        let length =
            lower_case_head.lines().find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
        request_count.fetch_add(1, Ordering::SeqCst);
        let (mut body, mut tail) = (text.len() - head, text.split_off(head));
        let is_complete = |body: usize, tail: &[u8]| match (behaviour.body_bytes_read, length) {
            (Some(body_bytes_read), _) => body >= body_bytes_read,
            (None, Some(length)) => body >= length,
            (None, None) => tail.ends_with(b"\r\n0\r\n\r\n"),
        };
        while !is_complete(body, &tail) {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => {
                    body += n;
                    tail.extend_from_slice(&buffer[..n]);
                    tail.drain(..tail.len().saturating_sub(16));
                }
                _ => return,
            }
        }
        body_bytes.fetch_add(body, Ordering::SeqCst);
        let _ = stream.write_all(behaviour.answer);
        if behaviour.reset_connection {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)); // closing the stream now resets the connection
            return;
        }
        // Bytes that arrive after the answer was written count too.
        while let Ok(n @ 1..) = stream.read(&mut buffer) {
            body_bytes.fetch_add(n, Ordering::SeqCst);
        }
    }

    fn entry(&self, name: &str) -> Value {
        entry(name, &self.address, 1, "active")
    }

    fn request_count(&self) -> usize {
        self.request_count.load(Ordering::SeqCst)
    }
}

/// Sends a request with a body of this length, declared by `Content-Length` or sent in one chunk; returns the status of the answer.
fn send_long_request(gateway: &Gateway, class: &str, length: usize, chunked: bool) -> u16 {
    let plain = request(class);
    let (head, _) = plain.split_once("Content-Length").expect("no Content-Length");
    let stream = TcpStream::connect(&gateway.address).expect("connect failed");
    stream.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
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
    let mut writer = stream.try_clone().expect("clone of the stream failed");
    let writing = spawn(move || writer.write_all(&text));
    let answer =
        weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(stream)).expect("no answer");
    let _ = writing.join(); // the answer may arrive before the whole request is written
    answer.status()
}

/// A streamed body is completely sent with its last byte, even if nothing polls the body for more data afterwards.
/// A request that the endpoint resets after that is possibly processed: if it were rejected, the client would send it again.
#[test]
fn completely_streamed_body_is_not_rejected_after_a_reset() {
    for (class, chunked) in [("book", false), ("book", true), ("once", false), ("once", true)] {
        let endpoint = CuttingEndpoint::start(CuttingBehaviour {
            body_bytes_read: None,
            answer: b"",
            reset_connection: true,
        });
        let (gateway, _discovery) =
            start(&format!("whole-{class}-{chunked}"), &[endpoint.entry("s-1"), endpoint.entry("s-2")]);
        let status = send_long_request(&gateway, class, STREAMED_BODY_BYTES, chunked);
        assert_eq!((status, endpoint.request_count()), (502, 1), "{class}, in chunks: {chunked}");
    }
}

/// A request whose body was not sent completely was surely not processed: its client may send the request again.
#[test]
fn incompletely_streamed_body_is_rejected_as_not_processed() {
    for chunked in [false, true] {
        let endpoint = CuttingEndpoint::start(CuttingBehaviour {
            body_bytes_read: Some(1),
            answer: b"",
            reset_connection: true,
        });
        let (gateway, _discovery) = start(&format!("short-{chunked}"), &[endpoint.entry("s-1")]);
        let status = send_long_request(&gateway, "once", UNBUFFERABLE_BODY_BYTES, chunked);
        assert_eq!((status, endpoint.request_count()), (503, 1), "in chunks: {chunked}");
    }
}

/// A streamed body with a declared length is complete with its last byte: the deadline of its class runs from that byte,
/// and its connection can be reused for another request.
#[test]
fn hanging_endpoint_has_the_deadline_of_the_class_after_a_complete_body() {
    for chunked in [false, true] {
        let endpoint = CuttingEndpoint::start(CuttingBehaviour {
            body_bytes_read: None,
            answer: b"",
            reset_connection: false,
        });
        let (gateway, _discovery) = start(&format!("hangs-{chunked}"), &[endpoint.entry("s-1")]);
        let status = send_long_request(&gateway, "brief-once", STREAMED_BODY_BYTES, chunked);
        assert_eq!((status, endpoint.request_count()), (504, 1), "in chunks: {chunked}");
    }
}

/// An endpoint that answers before it has received the whole request never receives the rest, with which it would begin to process the request.
/// An answer sent before the end of the request is not served either, as it answers something else.
#[test]
fn answer_before_the_end_of_the_request_closes_the_connection() {
    let answers: [(&[u8], u16); 3] = [
        (b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", 502),
        (b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 2\r\n\r\nno", 503),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 503),
    ];
    for (n, (answer, expected)) in answers.into_iter().enumerate() {
        let endpoint = CuttingEndpoint::start(CuttingBehaviour {
            body_bytes_read: Some(1),
            answer,
            reset_connection: false,
        });
        let (gateway, _discovery) = start(&format!("early-{n}"), &[endpoint.entry("s-1")]);
        assert_eq!(send_long_request(&gateway, "once", UNBUFFERABLE_BODY_BYTES, false), expected, "{n}");
        wait_for_open_requests(&gateway, 0);
        let body_bytes = endpoint.body_bytes.load(Ordering::SeqCst);
        assert!(
            endpoint.request_count() == 1 && body_bytes < UNBUFFERABLE_BODY_BYTES,
            "{n}: {body_bytes} bytes of {UNBUFFERABLE_BODY_BYTES} were sent"
        );
    }
}

/// Only a single well-formed `X-Not-Processed: 1` header proves that a request was not processed.
#[test]
fn malformed_not_processed_header_proves_nothing() {
    for (n, (mark, expected_attempts)) in [
        ("X-Not-Processed: 1\r\n", 2),
        ("X-Not-Processed: 1\r\nX-Not-Processed: 1\r\n", 1),
        ("X-Not-Processed: yes\r\n", 1),
        ("X-Not-Processed: 1, 1\r\n", 1),
    ]
    .into_iter()
    .enumerate()
    {
        let attempt_counter = Arc::<AtomicUsize>::default();
        let calls = attempt_counter.clone();
        let endpoint = StandIn::start(move |_, mut stream| {
            let first = calls.fetch_add(1, Ordering::SeqCst) == 0;
            let head = if first { format!("503 No\r\n{mark}") } else { "200 OK\r\n".to_owned() };
            let _ = stream.write_all(format!("HTTP/1.1 {head}Content-Length: 2\r\n\r\nok").as_bytes());
            hold_until_closed(stream);
        });
        let entry_at = |name: &str| entry(name, &endpoint.address, 1, "active");
        let (gateway, _discovery) = start(&format!("odd-{n}"), &[entry_at("s-1"), entry_at("s-2")]);
        let status = gateway.request("once").status();
        assert_eq!(
            (status, endpoint.calls()),
            (if expected_attempts == 2 { 200 } else { 502 }, expected_attempts),
            "{mark:?}"
        );
    }
}

/// Starts a gateway whose class `book` has the given key scope, idempotency window and latency objective.
fn keyed(
    name: &str,
    group: &str,
    window_s: f64,
    objective_s: f64,
    endpoints: &[Value],
) -> (Gateway, ScriptedDiscovery) {
    let discovery = ScriptedDiscovery::start();
    let mut config = config_with_admin_api(&discovery, endpoints);
    config["settings"]["classes"][2]["group"] = group.into();
    config["settings"]["classes"][2]["dedup_window_s"] = window_s.into();
    config["settings"]["classes"][2]["promise_s"] = objective_s.into();
    let gateway = Gateway::start_with(&PROGRAM, name, &discovery, &config);
    (gateway, discovery)
}

/// The second attempt is chosen while endpoints know the key, and its connection is established after the idempotency window:
/// the request must not be written on that connection.
#[test]
fn retry_is_not_sent_after_the_idempotency_window() {
    const WINDOW: f64 = 2.4;
    let (break_connection, break_signal) = std::sync::mpsc::channel::<()>();
    let break_signal = std::sync::Mutex::new(break_signal);
    let first = StandIn::start(move |_, stream| {
        let _ = break_signal.lock().expect("lock poisoned").recv();
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        // closing the stream now resets the connection
    });
    let late_endpoint = FullBacklogEndpoint::new();
    let listed = entry("s-1", &first.address, 1, "active");
    let (gateway, discovery) = keyed("window", "cell", WINDOW, 30.0, &[listed]);
    let mut client = gateway.connect();
    client.send("book");
    let sent = Instant::now();
    wait_for("the first attempt", || first.calls() == 1);
    discovery.push(json!({"index": 42, "snapshot": false, "endpoints": [late_endpoint.entry("s-2")]}));
    wait_for("the second endpoint", || gateway.metric("router_cluster_size") == Some(2));
    break_connection.send(()).expect("the endpoint thread has ended");
    // The backlog is accepted after the idempotency window; the kernel's pending connection attempt succeeds then.
    sleep(Duration::from_secs_f64(WINDOW + 0.1).saturating_sub(sent.elapsed()));
    let (connections, requests) = late_endpoint.accept_all();
    assert_eq!(
        client.read().expect("no answer").status(),
        502,
        "the request is possibly processed and its key has expired"
    );
    // Another request opens its connection after the retry's connection, so a written retry would have been counted.
    drop(break_connection);
    let mut other_client = gateway.connect();
    other_client.send("look");
    wait_for("an endpoint connection", || connections.load(Ordering::SeqCst) > 0);
    assert_eq!(other_client.read().expect("no answer").status(), 200);
    assert_eq!(requests.load(Ordering::SeqCst), 1, "only the other request may arrive");
}

/// Two zones that the settings do not name are distinct, and endpoints without a zone belong to no key scope; cells behave alike.
#[test]
fn unknown_zones_and_cells_do_not_form_a_key_scope() {
    let cases = [
        ("zone", json!({"zone": "x"}), json!({"zone": "y"}), 502),
        ("zone", json!({"zone": "x"}), json!({"zone": "x"}), 200),
        ("zone", json!({"zone": ""}), json!({"zone": ""}), 502),
        ("zone", json!({"zone": "a"}), json!({"zone": "z"}), 502),
        ("cell", json!({"group": null}), json!({"group": null}), 502),
        ("cell", json!({"group": 3}), json!({"group": 3}), 200),
        ("cell", json!({"group": 3}), json!({"group": 4}), 502),
    ];
    for (n, (group, first_place, second_place, expected)) in cases.into_iter().enumerate() {
        let attempt_counter = Arc::<AtomicUsize>::default();
        let calls = attempt_counter.clone();
        let endpoint = StandIn::start(move |_, mut stream| {
            if calls.fetch_add(1, Ordering::SeqCst) > 0 {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                hold_until_closed(stream);
            }
        });
        let entry_at = |name: &str, fields: &Value| {
            let mut listed = entry(name, &endpoint.address, 1, "active");
            for (key, value) in fields.as_object().expect("not an object") {
                listed[key] = value.clone();
            }
            listed
        };
        let (gateway, _discovery) = keyed(
            &format!("group-{n}"),
            group,
            40.0,
            3.0,
            &[entry_at("s-1", &first_place), entry_at("s-2", &second_place)],
        );
        let status = gateway.request("book").status();
        let expected_attempts = if expected == 200 { 2 } else { 1 };
        assert_eq!(
            (status, endpoint.calls()),
            (expected, expected_attempts),
            "{group}: {first_place} and {second_place}"
        );
    }
}

/// Bytes behind a request that an endpoint has received, valid or not, close the client's connection with the answer and not before.
#[test]
fn forwarded_request_is_answered_whatever_bytes_follow_it() {
    let bytes_behind: [&[u8]; 5] = [
        b"",
        b"\0\x01 no request at all\r\n\r\n",
        b"GET /look HTTP/1.1\r\nHost: backend.local\r\n\r\n",
        b"POST /once HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        &[b'x'; 40 << 10],
    ];
    for (n, tail) in bytes_behind.into_iter().enumerate() {
        let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
        let (gateway, _discovery) = start(&format!("behind-{n}"), &[endpoint.entry("s-1", 1)]);
        let mut client = gateway.connect();
        client.write(&[request("once").as_bytes(), tail].concat());
        wait_for("the attempt", || endpoint.count() == 1);
        if n == 0 {
            gateway.signal("TERM");
        }
        endpoint.release();
        let answer = client.read().unwrap_or_else(|| panic!("{n}: no answer to a forwarded request"));
        assert!(![429, 503].contains(&answer.status()), "{n}: {}", answer.status());
    }
}

/// A not-processed answer that breaks off, in its head or in its body, is incomplete and proves nothing.
#[test]
fn incomplete_not_processed_answer_proves_nothing() {
    let halves: [&[u8]; 3] = [
        b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 10\r\n\r\nno",
        b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\n",
        b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n",
    ];
    for (n, half) in halves.into_iter().enumerate() {
        let endpoint = StandIn::start(move |_, mut stream| {
            let _ = stream.write_all(half);
        });
        let entry_at = |name: &str| entry(name, &endpoint.address, 1, "active");
        let (gateway, _discovery) = start(&format!("half-{n}"), &[entry_at("s-1"), entry_at("s-2")]);
        assert_eq!((gateway.request("once").status(), endpoint.calls()), (502, 1), "{n}");
    }
}

/// A request keeps the effect, key scope and idempotency window that its class had on arrival when a reload changes the class.
#[test]
fn request_keeps_its_class_settings_across_a_reload() {
    // Each case: the class before and after the reload, then status and number of attempts of a request whose endpoint breaks off after the reload.
    let (single_shot, safe) = (json!({"effect": "single_shot"}), json!({"effect": "free"}));
    let keyed = |group: &str, s: f64| json!({"effect": "guarded", "group": group, "dedup_window_s": s});
    let cases = [
        ("once", single_shot.clone(), keyed("all", 40.0), 502, 1),
        ("once", single_shot.clone(), safe, 502, 1),
        ("book", keyed("cell", 40.0), keyed("all", 40.0), 502, 1),
        ("book", keyed("all", 40.0), keyed("cell", 40.0), 200, 2),
        ("book", keyed("all", 40.0), single_shot, 200, 2),
        ("book", keyed("cell", 0.001), keyed("all", 40.0), 502, 1),
    ];
    for (n, (class, class_before, class_after, status, expected_attempts)) in cases.into_iter().enumerate() {
        let (break_connection, break_signal) = std::sync::mpsc::channel::<()>();
        let break_signal = std::sync::Mutex::new(break_signal);
        let endpoint = StandIn::start(move |call, mut stream| {
            if call == 0 {
                let _ = break_signal.lock().expect("lock poisoned").recv();
                return;
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            hold_until_closed(stream);
        });
        let class_index = if class == "once" { 3 } else { 2 };
        let discovery = ScriptedDiscovery::start();
        let listed =
            [entry("s-1", &endpoint.address, 1, "active"), entry("s-2", &endpoint.address, 2, "active")];
        let mut config = config_with_admin_api(&discovery, &listed);
        let mut config_with_class = |of: &Value| {
            for (key, value) in of.as_object().expect("not an object") {
                config["settings"]["classes"][class_index][key] = value.clone();
            }
            config["settings"]["classes"][class_index]["promise_s"] = 8.0.into(); // longer than a reload takes
            config.clone()
        };
        let (before, after) = (config_with_class(&class_before), config_with_class(&class_after));
        let name = format!("keeps-{n}");
        let gateway = Gateway::start_with(&PROGRAM, &name, &discovery, &before);
        let mut client = gateway.connect();
        client.send(class);
        wait_for("the first attempt", || endpoint.calls() == 1);
        write_config(&PROGRAM, &name, &after.to_string());
        gateway.signal("HUP");
        wait_for("the reload of the configuration", || gateway.metric("router_conf_loaded") == Some(1));
        break_connection.send(()).expect("the endpoint thread has ended");
        let answer = client.read().expect("no answer").status();
        assert_eq!(
            (answer, endpoint.calls()),
            (status, expected_attempts),
            "{n}: {class}, {class_before} and then {class_after}"
        );
    }
}

/// Guards against a request that runs twice: its client left while the endpoint processed it, and came again with the same id. The gateway
/// had forgotten the id with the cancelled attempt and sent the request to an endpoint once more.
#[test]
fn id_of_a_request_whose_client_left_is_not_sent_again() {
    for class in ["pay", "book", "once"] {
        let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
        let (gateway, _discovery) = start(&format!("same-id-{class}"), &listed_thirty_times(&endpoint));
        let text = request(class);
        let mut client = gateway.connect();
        client.write(text.as_bytes());
        wait_for("the attempt", || endpoint.count() == 1);
        drop(client);
        wait_for_open_requests(&gateway, 0);
        let mut client = gateway.connect();
        client.write(text.as_bytes());
        assert_eq!(client.read().expect("no answer").status(), 409, "{class}");
        assert_eq!(endpoint.count(), 1, "{class}");
        client.write(request("look").as_bytes());
        wait_for("a request with another id", || endpoint.count() == 2);
    }
}

/// A client that was told that its request failed does not know whether it was processed either.
#[test]
fn id_of_a_failed_request_is_not_sent_again() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Break);
    let (gateway, _discovery) = start("failed-id", &listed_thirty_times(&endpoint));
    let text = request("once");
    for status in [502, 409] {
        let mut client = gateway.connect();
        client.write(text.as_bytes());
        assert_eq!(client.read().expect("no answer").status(), status);
    }
    assert_eq!(endpoint.count(), 1);
}
