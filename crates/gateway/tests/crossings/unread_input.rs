//! Clients that have sent more bytes than the gateway's kernel buffers: their disconnect and their end of stream come behind unread bytes.

use super::*;

/// Far more bytes than all buffers between a client and the gateway hold unread.
const OVERSIZED_INPUT_BYTES: usize = 6 << 20;

fn upload(length: usize, client_timeout: &str) -> Vec<u8> {
    let text = request("once").replace("\r\n\r\nbody", "\r\n\r\n").replace("40000m", client_timeout);
    let head = text.replace("Content-Length: 4", &format!("Content-Length: {length}"));
    [head.as_bytes(), &vec![b'x'; length]].concat()
}

/// Writes as many bytes as the kernel takes at once, and disconnects.
fn write_and_disconnect(gateway: &Gateway, text: &[u8]) {
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    client.write_all(&text[..600]).expect("write of the request head failed");
    wait_for_open_requests(gateway, 1);
    client.set_nonblocking(true).expect("set_nonblocking failed");
    let mut written_at = 600;
    while let Ok(byte_count) = client.write(&text[written_at..]) {
        written_at += byte_count;
    }
}

fn attempts(endpoint: &ScriptedEndpoint, class: &str) -> usize {
    endpoint.seen.lock().expect("lock poisoned").iter().filter(|seen| seen.first.contains(class)).count()
}

/// The gateway checks the client of a request that waits for an endpoint at least this often.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// No attempt begins for a disconnected client; an attempt begins when an endpoint has the last byte of the request.
#[test]
fn no_attempt_for_a_client_that_disconnects_behind_a_long_body() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) = start("unread-body", &[]);
    let text = upload(300 << 10, "40000m");
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    client.write_all(&text).expect("write failed");
    drop(client);
    sleep(Duration::from_millis(300));
    discovery.push(snapshot(42, &listed_thirty_times(&endpoint)));
    wait_for("an endpoint", || gateway.request("look").status() == 200);
    sleep(CLIENT_CHECK_INTERVAL);
    assert_eq!(attempts(&endpoint, "/once"), 0, "an attempt began for a disconnected client");
}

/// Also no attempt begins when pipelined requests, rather than a body, stand between the waiting request and the client's end of stream.
#[test]
fn no_attempt_for_a_client_that_disconnects_behind_many_requests() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let (gateway, discovery) = start("unread-requests", &[]);
    let mut text = request("once").into_bytes();
    while text.len() < OVERSIZED_INPUT_BYTES {
        text.extend_from_slice(request("look").as_bytes());
    }
    write_and_disconnect(&gateway, &text);
    sleep(Duration::from_millis(300));
    discovery.push(snapshot(42, &listed_thirty_times(&endpoint)));
    wait_for("an endpoint", || gateway.request("pay").status() == 200);
    sleep(CLIENT_CHECK_INTERVAL);
    assert_eq!(attempts(&endpoint, "/once"), 0, "an attempt began for a disconnected client");
}

/// A client's timeout runs from its last written byte, also while that byte is unread because no endpoint takes the body:
/// the `X-Timeout` sent to the endpoint is no longer than the time left, and the answer comes in that time.
#[test]
fn wait_of_an_unread_body_does_not_extend_the_deadline() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::Hang);
    let (gateway, discovery) = start("unread-time", &[]);
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    client.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
    client.write_all(&upload(150 << 10, "3000m")).expect("write failed");
    let written_at = Instant::now();
    sleep(Duration::from_millis(1500));
    let listed_at = Instant::now();
    discovery.push(snapshot(42, &listed_thirty_times(&endpoint)));
    let answer =
        weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(client)).expect("no answer");
    assert!(
        [502, 504].contains(&answer.status()),
        "{}: a possibly processed request must fail",
        answer.status()
    );
    // The answer has half a second of grace at most; counted from the listing of the endpoint, the timeout would be 3 s.
    assert!(written_at.elapsed() < Duration::from_millis(4300), "{:?}", written_at.elapsed());
    let seen = endpoint.seen.lock().expect("lock poisoned").pop().expect("no attempt received");
    let x_timeout = seen.header("x-timeout").and_then(|text| text.strip_suffix('u')?.parse().ok());
    let time_left = Duration::from_secs(3) - listed_at.duration_since(written_at);
    assert!(
        x_timeout.map(Duration::from_micros) < Some(time_left + Duration::from_millis(150)),
        "X-Timeout: {x_timeout:?}; time left: {time_left:?}"
    );
}
