//! Clients that stall inside a request and stay connected, and clients that write several requests at once.

use super::*;

/// Time within which a stalled client must get an error or a close. The gateway closes 3 s after a client stalls;
/// this timeout is twice that for busy machines, and a fault that these tests once found took at least 10 s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Reads until the connection ends or the timeout has passed; returns the statuses of all answers and whether the connection ended.
fn read_to_the_end(mut stream: TcpStream) -> (Vec<u16>, bool) {
    let begun = Instant::now();
    let (mut text, mut buffer) = (Vec::new(), [0; 4096]);
    let ended = loop {
        let Some(time_left) =
            CLOSE_TIMEOUT.checked_sub(begun.elapsed()).filter(|time_left| !time_left.is_zero())
        else {
            break false;
        };
        stream.set_read_timeout(Some(time_left)).expect("set_read_timeout failed");
        match stream.read(&mut buffer) {
            Ok(0) => break true,
            Ok(n) => text.extend_from_slice(&buffer[..n]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8_lossy(&text);
    // The body of an answer has no line break at its end, so the next status line may follow within the same line.
    let statuses = text.split("HTTP/1.1 ").skip(1).filter_map(|answer| answer.get(..3)?.parse().ok());
    (statuses.collect(), ended)
}

/// Texts that end inside a request, each with the statuses of the answers expected before the connection ends.
fn unfinished() -> Vec<(&'static str, Vec<u8>, Vec<u16>)> {
    let once = |framing: &str| request("once").replace("Content-Length: 4\r\n\r\nbody", framing);
    let chunked = |rest: &str| once(&format!("Transfer-Encoding: chunked\r\n\r\n{rest}")).into_bytes();
    let long = |sent: usize| {
        let head = once(&format!("Content-Length: {}\r\n\r\n", sent + 100_000));
        [head.as_bytes(), &vec![b'x'; sent]].concat()
    };
    let head = request("look");
    let half = &head[..head.len() / 2];
    vec![
        ("half a head", half.as_bytes().to_vec(), vec![]),
        ("half a head behind a whole request", (request("look") + half).into_bytes(), vec![200]),
        ("half a head behind two", (request("look") + &request("look") + half).into_bytes(), vec![200, 200]),
        ("half a buffered body", long(40_000), vec![408]),
        ("half a streamed body", long(400_000), vec![408]),
        ("a chunk's size", chunked("5\r\nhello\r\n1"), vec![408]),
        ("half a chunk", chunked("5\r\nhe"), vec![408]),
        ("a chunk's end", chunked("5\r\nhello\r"), vec![408]),
        ("a trailer", chunked("5\r\nhello\r\n0\r\nX-More: s"), vec![408]),
    ]
}

#[test]
fn client_that_stalls_inside_a_request_gets_an_error_or_a_close() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("stays", &listed_thirty_times(&endpoint));
    let address = &gateway.address;
    std::thread::scope(|scope| {
        let readers: Vec<_> = unfinished()
            .into_iter()
            .map(|(name, text, statuses)| {
                let reader = scope.spawn(move || {
                    let mut client = TcpStream::connect(address).expect("connect failed");
                    client.write_all(&text).expect("write failed");
                    read_to_the_end(client)
                });
                (name, statuses, reader)
            })
            .collect();
        for (name, statuses, reader) in readers {
            let (answered, ended) = reader.join().expect("client thread panicked");
            assert!(
                ended,
                "{name}: neither closed nor answered to its end after {CLOSE_TIMEOUT:?}: {answered:?}"
            );
            assert_eq!(answered, statuses, "{name}");
        }
    });
}

/// The time for an incomplete request head runs while the request before it is with its endpoint:
/// that earlier request is answered, and then the time for the incomplete head is over.
#[test]
fn slow_endpoint_does_not_extend_the_time_for_an_incomplete_head() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
    let (gateway, _discovery) = start("stays-behind", &listed_thirty_times(&endpoint));
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    let head = request("look");
    client.write_all((request("look") + &head[..head.len() / 2]).as_bytes()).expect("write failed");
    wait_for("the attempt", || endpoint.count() == 1);
    sleep(Duration::from_millis(3200)); // longer than the time for a request head
    endpoint.release();
    let released_at = Instant::now();
    let (answered, ended) = read_to_the_end(client);
    assert!(ended && answered == [200], "{answered:?}, ended: {ended}");
    assert!(
        released_at.elapsed() < Duration::from_millis(2200),
        "{:?}: the time began anew",
        released_at.elapsed()
    );
}

/// Every request that was read must be answered, also behind an answer that would otherwise close the connection.
#[test]
fn pipelined_requests_are_all_answered_after_sigterm() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
    let (mut gateway, _discovery) = start("together-stop", &listed_thirty_times(&endpoint));
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    let all: String = (0..4).map(|_| request("look")).collect();
    client.write_all(all.as_bytes()).expect("write failed");
    wait_for("the first attempt", || endpoint.count() == 1);
    gateway.signal("TERM");
    sleep(Duration::from_millis(100)); // the gateway handles SIGTERM well within 100 ms
    endpoint.release();
    let (answered, ended) = read_to_the_end(client);
    assert!(ended, "the last answer must close the connection");
    assert_eq!(answered, [200; 4]);
    assert!(gateway.wait().success());
}
