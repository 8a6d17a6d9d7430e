//! Connections that either side closes at the moment of use.

use super::*;

/// A client that is told that its request is too long, and writes on for a while, is not cut off before it has read that.
#[test]
fn who_writes_on_is_not_cut_off_before_it_has_read_its_answer() {
    let (gateway, _discovery) = start("writes-on", &[]);
    let text = request("once").replace("Content-Length: 4", &format!("Content-Length: {}", 40 << 20));
    let mut client = gateway.connect();
    client.write(text.as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 413);
    // The same, with an end: it writes more than any buffer on the way holds, and then reads.
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    client.set_read_timeout(Some(LONG)).expect("a time-out");
    client.write_all(text.as_bytes()).expect("a head");
    let piece = vec![b'x'; 64 << 10];
    for _ in 0..64 {
        client.write_all(&piece).expect("it is still read");
    }
    let answer =
        weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(client)).expect("an answer");
    assert_eq!(answer.status(), 413);
}

/// An answer that never ends: what nobody is owed any more is left, in time, and others are served meanwhile.
#[test]
fn an_answer_that_never_ends_costs_its_own_request_only() {
    let left = Arc::<AtomicUsize>::default();
    let told = left.clone();
    let endless = Agent::start(move |_, mut stream| {
        let _ = stream.write_all(HEAD);
        while chunk(&mut stream, b"x").is_ok() {
            sleep(Duration::from_millis(20)); // the pace of the answer, which no silence betrays
        }
        told.fetch_add(1, Ordering::SeqCst);
    });
    let (gateway, discovery) =
        start("endless", &[weldworks_testbed::scripted::entry("s-1", &endless.address, 1, "active")]);
    for (n, class) in ["brief", "brief-once"].into_iter().enumerate() {
        let asked = Instant::now();
        let status = gateway.ask(class).status();
        assert!(
            [502, 503, 504].contains(&status) && (class == "brief" || status == 504),
            "{class}: {status}"
        );
        assert!(asked.elapsed() < Duration::from_secs(15), "{class}: {:?}", asked.elapsed());
        wait_for("the host to be left", || left.load(Ordering::SeqCst) == n + 1);
        held(&gateway, 0);
    }
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    discovery.push(whole(42, &[host.entry("s-2", 1)]));
    wait_for("another host", || gateway.ask("look").status() == 200);
}

/// A reset, or an end, after the first byte of an answer: it may have run, so that what is unsafe is not sent again, and nobody gets
/// the half that came.
#[test]
fn a_connection_that_breaks_under_an_answer_gives_nothing_to_anybody() {
    for (class, status, tries) in [("look", 200, 2), ("pay", 200, 2), ("once", 502, 1)] {
        let first = AtomicBool::new(true);
        let cut = Arc::new(AtomicUsize::new(0));
        let told = cut.clone();
        let host = Agent::start(move |_, mut stream| {
            told.fetch_add(1, Ordering::SeqCst);
            if first.swap(false, Ordering::SeqCst) {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhal");
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)); // its close is a reset
                return;
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
            hold(stream);
        });
        let entry = |name: &str| weldworks_testbed::scripted::entry(name, &host.address, 1, "active");
        let (gateway, _discovery) = start(&format!("reset-{class}"), &[entry("s-1"), entry("s-2")]);
        let answer = gateway.ask(class);
        let wanted: &[u8] = if status == 200 { b"whole" } else { b"failed\n" };
        assert_eq!((answer.status(), &answer.body[..]), (status, wanted), "{class}");
        assert_eq!(cut.load(Ordering::SeqCst), tries, "{class}");
        held(&gateway, 0);
    }
}

/// An answer that says no length ends with its connection: one that ended is forwarded, one that was reset passes as whole nowhere.
#[test]
fn an_answer_with_no_length_is_whole_where_its_connection_ended_and_not_where_it_was_reset() {
    for length in [0, 200, 30_000, 200_000] {
        for resets in [false, true] {
            let host = Agent::start(move |_, mut stream| {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nX-Kind: endless\r\n\r\n");
                let _ = stream.write_all(&vec![b'x'; length]);
                if resets {
                    sleep(Duration::from_millis(30)); // so that what was written has come
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            });
            let entries: Vec<Value> =
                (0..6).map(|n| entry(&format!("s-{n}"), &host.address, n, "active")).collect();
            let name = format!("no-length-{length}-{resets}");
            let (gateway, _discovery) = start(&name, &entries);
            let whole = (0..6).filter(|_| reads_whole(&gateway, length)).count();
            assert_eq!(whole, if resets { 0 } else { 6 }, "{length} bytes, reset: {resets}");
        }
    }
}

/// Whether a request is answered with 200 and this many bytes, to a clear end.
fn reads_whole(gateway: &Gateway, length: usize) -> bool {
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    client.set_read_timeout(Some(LONG)).expect("a time-out");
    let text = request("once").replace("Host:", "Connection: close\r\nHost:");
    client.write_all(text.as_bytes()).expect("written");
    let mut answer = Vec::new();
    if client.read_to_end(&mut answer).is_err() || !answer.starts_with(b"HTTP/1.1 200") {
        return false;
    }
    let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
    let ends = text.contains("content-length:") || answer.ends_with(b"0\r\n\r\n");
    ends && answer.iter().filter(|byte| **byte == b'x').count() >= length
}
