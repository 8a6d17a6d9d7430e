//! Clients of whom more is on its way than the kernel here takes: their end, and the end of what they write, stand behind that.

use super::*;

/// Far more than any buffer between a client and the gateway holds unread.
const MUCH: usize = 6 << 20;

fn upload(length: usize, patience: &str) -> Vec<u8> {
    let text = request("once").replace("\r\n\r\nbody", "\r\n\r\n").replace("40000m", patience);
    let head = text.replace("Content-Length: 4", &format!("Content-Length: {length}"));
    [head.as_bytes(), &vec![b'x'; length]].concat()
}

/// Writes what the kernel takes at once, and leaves.
fn write_and_leave(gateway: &Gateway, text: &[u8]) {
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    client.write_all(&text[..600]).expect("a head");
    held(gateway, 1);
    client.set_nonblocking(true).expect("no waiting");
    let mut written = 600;
    while let Ok(more) = client.write(&text[written..]) {
        written += more;
    }
}

fn attempts(host: &ScriptedEndpoint, class: &str) -> usize {
    host.seen.lock().expect("lock").iter().filter(|seen| seen.first.contains(class)).count()
}

/// What waits for a host is looked at again within this.
const LOOKED_AT: Duration = Duration::from_millis(500);

/// No attempt begins for a client that has gone, and a host begins a request with its last byte.
#[test]
fn a_client_that_left_behind_a_long_body_has_no_attempt() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) = start("unread-body", &[]);
    let text = upload(300 << 10, "40000m");
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    client.write_all(&text).expect("written");
    drop(client);
    sleep(Duration::from_millis(300));
    discovery.push(whole(42, &crowd(&host)));
    wait_for("a host", || gateway.ask("look").status() == 200);
    sleep(LOOKED_AT);
    assert_eq!(attempts(&host, "/once"), 0, "begun for a client that had gone");
}

/// The same where it is requests that stand between the one that waits and the end.
#[test]
fn a_client_that_left_behind_many_requests_has_no_attempt() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) = start("unread-requests", &[]);
    let mut text = request("once").into_bytes();
    while text.len() < MUCH {
        text.extend_from_slice(request("look").as_bytes());
    }
    write_and_leave(&gateway, &text);
    sleep(Duration::from_millis(300));
    discovery.push(whole(42, &crowd(&host)));
    wait_for("a host", || gateway.ask("pay").status() == 200);
    sleep(LOOKED_AT);
    assert_eq!(attempts(&host, "/once"), 0, "begun for a client that had gone");
}

/// A client's time runs from when it wrote its last byte, also while that waits to be read because no host takes the body: its
/// host is told no more than is left, and its answer comes by then.
#[test]
fn a_long_body_has_no_more_time_because_it_waited_unread() {
    let host = ScriptedEndpoint::start(|_| Reply::Hang);
    let (gateway, discovery) = start("unread-time", &[]);
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    client.set_read_timeout(Some(LONG)).expect("a time-out");
    client.write_all(&upload(150 << 10, "3000m")).expect("written");
    let written = Instant::now();
    sleep(Duration::from_millis(1500));
    let listed = Instant::now();
    discovery.push(whole(42, &crowd(&host)));
    let answer =
        weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(client)).expect("an answer");
    assert!([502, 504].contains(&answer.status()), "{}: it may have run", answer.status());
    // It has half a second of grace at the most; from the listing on it would have 3 s.
    assert!(written.elapsed() < Duration::from_millis(4300), "{:?}", written.elapsed());
    let seen = host.seen.lock().expect("lock").pop().expect("an attempt");
    let told = seen.header("x-timeout").and_then(|text| text.strip_suffix('u')?.parse().ok());
    let left = Duration::from_secs(3) - listed.duration_since(written);
    assert!(
        told.map(Duration::from_micros) < Some(left + Duration::from_millis(150)),
        "{told:?} of {left:?}"
    );
}
