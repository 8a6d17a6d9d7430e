//! The last bytes of a long answer, which the gateway can't write yet, while the gateway drains, shuts down, or is replaced.
//!
//! The kernel's queues hold as much of the answer as they have room for, and the gateway holds the rest. The client reads nothing for a
//! while: to the gateway, a slow client whose receive buffer is full looks the same.

use super::*;
use std::io::BufReader;
use std::net::SocketAddr;
use weldworks_testbed::large_bodies::ReceivedMessage;

/// Time for which the client reads nothing: longer than any time limit of a drain, and below the 10 s of a stalled client.
const PAUSE: Duration = Duration::from_secs(4);
/// Size of the chunks in which the endpoint writes its answer, in bytes.
const CHUNK_BYTES: usize = 8 << 10;
/// Number of chunks behind the first that does not fit into the kernel's queues; the gateway holds them all.
const HELD_CHUNKS: usize = 2;
/// Bytes that are written before the first check of the kernel's queues: more than the gateway buffers before it begins to forward.
const UNCHECKED_BYTES: usize = 256 << 10;
/// Time within which the gateway writes a chunk to a client's connection that has room for it: several retries of
/// a blocked write.
const FORWARD_TIME: Duration = Duration::from_secs(4);
/// Longest answer, in bytes: more than the kernel's queues of one connection hold.
const MAX_ANSWER_BYTES: usize = 31 << 20;

/// Bytes in the kernel's queues from the gateway to the client.
fn queued_bytes(gateway: SocketAddr, client: SocketAddr) -> usize {
    let hex_port = |address: SocketAddr| format!("0100007F:{:04X}", address.port());
    let (gateway, client) = (hex_port(gateway), hex_port(client));
    let connections = std::fs::read_to_string("/proc/net/tcp").expect("read of /proc/net/tcp failed");
    let queue_of = |local: &str, remote: &str, index: usize| {
        connections.lines().find_map(|line| {
            let fields: Vec<_> = line.split_whitespace().collect();
            let is_connection = fields.get(1) == Some(&local) && fields.get(2) == Some(&remote);
            let queue = is_connection.then(|| fields.get(4)?.split(':').nth(index))??;
            usize::from_str_radix(queue, 16).ok()
        })
    };
    let unacknowledged = queue_of(&gateway, &client, 0).unwrap_or(0);
    let unread = queue_of(&client, &gateway, 1).unwrap_or(0);
    unacknowledged + unread
}

/// Answers one request with chunks, of which the last do not fit into the kernel's queues, and returns the length of the answer.
fn answer_until_queues_are_full(listener: &TcpListener, queued_bytes: impl Fn() -> usize) -> usize {
    let (mut stream, _) = listener.accept().expect("accept failed");
    let mut reader = BufReader::new(stream.try_clone().expect("clone of the stream failed"));
    ReceivedMessage::read(&mut reader, false, Duration::ZERO).expect("no request");
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("write failed");
    let chunk = [format!("{CHUNK_BYTES:x}\r\n").as_bytes(), &[b'x'; CHUNK_BYTES], b"\r\n"].concat();
    let mut written = 0;
    loop {
        stream.write_all(&chunk).expect("write of a chunk failed");
        written += CHUNK_BYTES;
        let written_at = Instant::now();
        while written > UNCHECKED_BYTES && queued_bytes() < written {
            if written_at.elapsed() > FORWARD_TIME {
                stream.write_all(&chunk.repeat(HELD_CHUNKS)).expect("write of the last chunks failed");
                stream.write_all(b"0\r\n\r\n").expect("write of the end failed");
                return written + HELD_CHUNKS * CHUNK_BYTES;
            }
            sleep(Duration::from_millis(1));
        }
        assert!(written < MAX_ANSWER_BYTES, "the kernel's queues are never full");
    }
}

/// Sends a request for a long answer and reads nothing of the answer, so that the gateway holds the answer's end. `request_close` then
/// asks the gateway to close its connections. After a pause, the client must be able to read the whole answer.
fn check_answer_is_completed_after(
    request_close: impl Fn(&Gateway),
    start: impl Fn(&[Value]) -> (Gateway, ScriptedDiscovery),
) -> Gateway {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
    let endpoint_address = listener.local_addr().expect("no local address").to_string();
    let (gateway, _discovery) =
        start(&[weldworks_testbed::scripted::entry("s-1", &endpoint_address, 1, "active")]);
    let gateway_address: SocketAddr = gateway.address.parse().expect("not an address");
    let mut stream = TcpStream::connect(gateway_address).expect("connect failed");
    let client_address = stream.local_addr().expect("no local address");
    let endpoint = spawn(move || {
        answer_until_queues_are_full(&listener, || queued_bytes(gateway_address, client_address))
    });
    stream.write_all(request("look").as_bytes()).expect("write of the request failed");
    let answer_bytes = endpoint.join().expect("endpoint thread panicked");
    wait_for("the end of the answer's read", || gateway.metric("router_current") == Some(0));
    request_close(&gateway);
    sleep(PAUSE);
    stream.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
    let answer = ReceivedMessage::read(&mut BufReader::new(stream), true, Duration::ZERO).expect("no answer");
    assert_eq!((answer.status(), answer.length, answer.whole), (200, answer_bytes as u64, true));
    gateway
}

/// Guards against an answer without its last bytes, because a connection counted as idle while the gateway still held these bytes.
#[test]
fn last_bytes_of_an_answer_are_delivered_in_a_drain() {
    let drain = |gateway: &Gateway| assert_eq!(gateway.call("PUT", "/_lameduck/on").status(), 200);
    check_answer_is_completed_after(drain, |endpoints| start("last-drain", endpoints));
}

/// Guards against the same loss in a process that shuts down.
#[test]
fn last_bytes_of_an_answer_are_delivered_after_sigterm() {
    let mut gateway = check_answer_is_completed_after(
        |gateway| gateway.signal("TERM"),
        |endpoints| start("last-stop", endpoints),
    );
    assert!(gateway.wait().success());
}

/// Guards against the same loss in a process that shares its listener with its successor.
#[test]
fn last_bytes_of_an_answer_are_delivered_by_a_replaced_process() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
    let start_shared = |endpoints: &[Value]| {
        let discovery = ScriptedDiscovery::start();
        let config = config_with_admin_api(&discovery, endpoints);
        (Gateway::start_shared(&PROGRAM, "last-replaced", &discovery, &config, &listener), discovery)
    };
    let mut gateway = check_answer_is_completed_after(|gateway| gateway.signal("TERM"), start_shared);
    assert!(gateway.wait().success());
}
