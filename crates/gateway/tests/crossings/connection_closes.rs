//! Connections that either side closes at the moment of use.

use super::*;

/// A client that receives 413 for its long request and keeps writing for a while is not disconnected before it has read that answer.
#[test]
fn client_that_keeps_writing_can_read_its_answer_before_the_close() {
    let (gateway, _discovery) = start("writes-on", &[]);
    let text = request("once").replace("Content-Length: 4", &format!("Content-Length: {}", 40 << 20));
    let mut client = gateway.connect();
    client.write(text.as_bytes());
    assert_eq!(client.read().expect("no answer").status(), 413);
    // This client writes a bounded amount, more than any buffer on the way holds, and then reads its answer.
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    client.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
    client.write_all(text.as_bytes()).expect("write of the request head failed");
    let part = vec![b'x'; 64 << 10];
    for _ in 0..64 {
        client.write_all(&part).expect("the gateway no longer reads the body");
    }
    let answer =
        weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(client)).expect("no answer");
    assert_eq!(answer.status(), 413);
}

/// Guards against a reset that discards an answer, because the client had written nothing of its body yet when the gateway closed.
#[test]
fn client_that_has_not_begun_its_body_can_write_it_and_read_its_answer() {
    let (gateway, _discovery) = start("writes-late", &[]);
    let text = request("once")
        .replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {}\r\n\r\n", 40 << 20));
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    client.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
    client.write_all(text.as_bytes()).expect("write of the request head failed");
    client.peek(&mut [0]).expect("no answer");
    sleep(Duration::from_millis(50)); // the gateway has written its answer and ended its sending by now
    for _ in 0..16 {
        client.write_all(&[b'x'; 64 << 10]).expect("the gateway no longer reads the body");
        sleep(Duration::from_millis(5)); // a reset by the gateway arrives meanwhile
    }
    let answer = weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(client));
    assert_eq!(answer.map(|answer| answer.status()), Some(413));
}

/// An answer that never ends: the gateway closes its connection in time once the request is over, and serves other requests meanwhile.
#[test]
fn endless_answer_affects_only_its_own_request() {
    let close_count = Arc::<AtomicUsize>::default();
    let closed_connections = close_count.clone();
    let endless_endpoint = StandIn::start(move |_, mut stream| {
        let _ = stream.write_all(CHUNKED_RESPONSE_HEAD);
        while write_chunk(&mut stream, b"x").is_ok() {
            sleep(Duration::from_millis(20)); // one byte every 20 ms, so that no timeout on silence applies
        }
        closed_connections.fetch_add(1, Ordering::SeqCst);
    });
    let (gateway, discovery) = start(
        "endless",
        &[weldworks_testbed::scripted::entry("s-1", &endless_endpoint.address, 1, "active")],
    );
    for (n, class) in ["brief", "brief-once"].into_iter().enumerate() {
        let sent_at = Instant::now();
        let status = gateway.request(class).status();
        assert!(
            [502, 503, 504].contains(&status) && (class == "brief" || status == 504),
            "{class}: {status}"
        );
        assert!(sent_at.elapsed() < Duration::from_secs(15), "{class}: {:?}", sent_at.elapsed());
        wait_for("the connection to be closed", || close_count.load(Ordering::SeqCst) == n + 1);
        wait_for_open_requests(&gateway, 0);
    }
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    discovery.push(snapshot(42, &[endpoint.entry("s-2", 1)]));
    wait_for("the other endpoint", || gateway.request("look").status() == 200);
}

/// A connection is reset after the first byte of an answer: the request is possibly processed, so an unsafe request is not sent again.
/// No client receives the incomplete answer.
#[test]
fn no_part_of_an_answer_on_a_broken_connection_is_forwarded() {
    for (class, status, expected_attempts) in [("look", 200, 2), ("pay", 200, 2), ("once", 502, 1)] {
        let first = AtomicBool::new(true);
        let attempt_counter = Arc::new(AtomicUsize::new(0));
        let attempts = attempt_counter.clone();
        let endpoint = StandIn::start(move |_, mut stream| {
            attempts.fetch_add(1, Ordering::SeqCst);
            if first.swap(false, Ordering::SeqCst) {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhal");
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)); // closing the stream now resets the connection
                return;
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
            hold_until_closed(stream);
        });
        let entry = |name: &str| weldworks_testbed::scripted::entry(name, &endpoint.address, 1, "active");
        let (gateway, _discovery) = start(&format!("reset-{class}"), &[entry("s-1"), entry("s-2")]);
        let answer = gateway.request(class);
        let expected_body: &[u8] = if status == 200 { b"whole" } else { b"failed\n" };
        assert_eq!((answer.status(), &answer.body[..]), (status, expected_body), "{class}");
        assert_eq!(attempt_counter.load(Ordering::SeqCst), expected_attempts, "{class}");
        wait_for_open_requests(&gateway, 0);
    }
}

/// An answer without a length ends with its connection.
/// The answer is forwarded if the connection was closed; after a reset the answer is never forwarded as complete.
#[test]
fn answer_without_length_is_complete_after_a_close_but_not_after_a_reset() {
    for length in [0, 200, 30_000, 200_000] {
        for reset in [false, true] {
            let endpoint = StandIn::start(move |_, mut stream| {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nX-Kind: endless\r\n\r\n");
                let _ = stream.write_all(&vec![b'x'; length]);
                if reset {
                    sleep(Duration::from_millis(30)); // time for the written bytes to arrive
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            });
            let entries: Vec<Value> =
                (0..6).map(|n| entry(&format!("s-{n}"), &endpoint.address, n, "active")).collect();
            let name = format!("no-length-{length}-{reset}");
            let (gateway, _discovery) = start(&name, &entries);
            let complete_answers = (0..6).filter(|_| receives_complete_answer(&gateway, length)).count();
            assert_eq!(complete_answers, if reset { 0 } else { 6 }, "{length} bytes, reset: {reset}");
        }
    }
}

/// Whether a request is answered with 200 and at least `length` bytes, and the answer has a clear end.
fn receives_complete_answer(gateway: &Gateway, length: usize) -> bool {
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    client.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
    let text = request("once").replace("Host:", "Connection: close\r\nHost:");
    client.write_all(text.as_bytes()).expect("write failed");
    let mut answer = Vec::new();
    if client.read_to_end(&mut answer).is_err() || !answer.starts_with(b"HTTP/1.1 200") {
        return false;
    }
    let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
    let ends = text.contains("content-length:") || answer.ends_with(b"0\r\n\r\n");
    ends && answer.iter().filter(|byte| **byte == b'x').count() >= length
}
