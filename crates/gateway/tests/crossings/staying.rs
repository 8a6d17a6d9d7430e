//! Clients that stop in the middle of a request and stay, and clients that write several requests at once.

use super::*;

/// Who stays is owed an error or a close 3 s after it stopped. This is twice that: the machine may be busy, and what failed here once
/// took from 10 s on.
const OWED: Duration = Duration::from_secs(6);

/// Reads everything until the connection ends, or something is not owed any more; gives the statuses of what was answered and
/// whether it ended.
fn read_to_the_end(mut stream: TcpStream) -> (Vec<u16>, bool) {
    let begun = Instant::now();
    let (mut text, mut space) = (Vec::new(), [0; 4096]);
    let ended = loop {
        let Some(left) = OWED.checked_sub(begun.elapsed()).filter(|left| !left.is_zero()) else {
            break false;
        };
        stream.set_read_timeout(Some(left)).expect("a time-out");
        match stream.read(&mut space) {
            Ok(0) => break true,
            Ok(n) => text.extend_from_slice(&space[..n]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8_lossy(&text);
    // An answer's body ends without a line's end.
    let statuses = text.split("HTTP/1.1 ").skip(1).filter_map(|answer| answer.get(..3)?.parse().ok());
    (statuses.collect(), ended)
}

/// Texts that end in the middle of a request, each with the statuses that come ahead of its end.
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
        ("half a body that is held", long(40_000), vec![408]),
        ("half a body that passes through", long(400_000), vec![408]),
        ("a chunk's size", chunked("5\r\nhello\r\n1"), vec![408]),
        ("half a chunk", chunked("5\r\nhe"), vec![408]),
        ("a chunk's end", chunked("5\r\nhello\r"), vec![408]),
        ("a trailer", chunked("5\r\nhello\r\n0\r\nX-More: s"), vec![408]),
    ]
}

#[test]
fn who_stops_in_the_middle_and_stays_gets_an_error_or_a_close() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, _discovery) = start("stays", &crowd(&host));
    let address = &gateway.address;
    std::thread::scope(|scope| {
        let tried: Vec<_> = unfinished()
            .into_iter()
            .map(|(name, text, statuses)| {
                let tried = scope.spawn(move || {
                    let mut client = TcpStream::connect(address).expect("a connection");
                    client.write_all(&text).expect("written");
                    read_to_the_end(client)
                });
                (name, statuses, tried)
            })
            .collect();
        for (name, statuses, tried) in tried {
            let (answered, ended) = tried.join().expect("a client");
            assert!(ended, "{name}: neither closed nor answered to its end after {OWED:?}: {answered:?}");
            assert_eq!(answered, statuses, "{name}");
        }
    });
}

/// The time of half a head runs while the request ahead of it is with its host: that one is answered, and then its client has had
/// its time.
#[test]
fn half_a_head_has_no_more_time_because_a_host_is_slow() {
    let host = ScriptedEndpoint::start(|_| Reply::Hang);
    let (gateway, _discovery) = start("stays-behind", &crowd(&host));
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    let head = request("look");
    client.write_all((request("look") + &head[..head.len() / 2]).as_bytes()).expect("written");
    wait_for("the attempt", || host.count() == 1);
    sleep(Duration::from_millis(3200)); // longer than its head may take
    host.release();
    let released = Instant::now();
    let (answered, ended) = read_to_the_end(client);
    assert!(ended && answered == [200], "{answered:?}, ended: {ended}");
    assert!(released.elapsed() < Duration::from_millis(2200), "{:?}: it began anew", released.elapsed());
}

/// What has been read is owed an answer, also behind one that ends its connection.
#[test]
fn requests_that_came_together_are_all_answered_by_one_that_is_told_to_end() {
    let host = ScriptedEndpoint::start(|_| Reply::Hang);
    let (mut gateway, _discovery) = start("together-stop", &crowd(&host));
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    let all: String = (0..4).map(|_| request("look")).collect();
    client.write_all(all.as_bytes()).expect("written");
    wait_for("the first attempt", || host.count() == 1);
    gateway.signal("TERM");
    sleep(Duration::from_millis(100)); // the signal is taken well before that
    host.release();
    let (answered, ended) = read_to_the_end(client);
    assert!(ended, "the last answer ends the connection");
    assert_eq!(answered, [200; 4]);
    assert!(gateway.wait().success());
}
