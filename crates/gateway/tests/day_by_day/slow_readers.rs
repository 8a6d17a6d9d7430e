//! Clients and endpoints that read a long body slowly and without a pause.

use super::*;
use std::io::BufReader;
use weldworks_testbed::large_bodies::ReceivedMessage;

/// The rate at which slow clients are guaranteed to be served, in bytes per second.
const GUARANTEED_BYTES_PER_S: f64 = 64e3;
/// Size of the reads of a slow reader, in bytes: twenty a second at the guaranteed rate.
const SLOW_READ_BYTES: usize = 3200;
/// Time for which a reader is slow: longer than the 10 s after which a reader that takes no byte counts as stalled.
const SLOW_FOR: Duration = Duration::from_secs(15);
/// Length of the bodies, in bytes: far more than the kernel buffers on the way hold.
const BODY_BYTES: u64 = 12 << 20;
/// Length of a body that is longer than a kernel buffer that has grown, in bytes.
const VERY_LONG_BODY_BYTES: u64 = 31 << 20;

/// Reads a connection at [`GUARANTEED_BYTES_PER_S`] at first, and then as fast as it can.
struct SlowReader {
    stream: TcpStream,
    slow_for: Duration,
    started_at: Instant,
    read_bytes: usize,
}

impl SlowReader {
    fn new(stream: TcpStream, slow_for: Duration) -> BufReader<SlowReader> {
        stream.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
        BufReader::new(SlowReader { stream, slow_for, started_at: Instant::now(), read_bytes: 0 })
    }
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.started_at.elapsed() >= self.slow_for {
            return self.stream.read(buffer);
        }
        let due = Duration::from_secs_f64(self.read_bytes as f64 / GUARANTEED_BYTES_PER_S);
        sleep(due.saturating_sub(self.started_at.elapsed()));
        let limit = buffer.len().min(SLOW_READ_BYTES);
        let read = self.stream.read(&mut buffer[..limit])?;
        self.read_bytes += read;
        Ok(read)
    }
}

/// Guards against an answer that is cut off after 10 s while its client reads steadily, because a write was only retried once the
/// kernel had reported a third of the send buffer as free.
#[test]
fn long_answer_is_delivered_to_a_client_that_reads_steadily_at_64_kb_a_second() {
    let answer_body = LargeBody::new(BODY_BYTES, Framing::Length);
    let endpoint = LargeBodyEndpoint::start(answer_body);
    let (gateway, _discovery) = start("slow-client", &[endpoint.entry("s-1")]);
    let mut stream = TcpStream::connect(&gateway.address).expect("connect failed");
    stream.write_all(request("look").as_bytes()).expect("write of the request failed");
    let answer = ReceivedMessage::read(&mut SlowReader::new(stream, SLOW_FOR), true, Duration::ZERO)
        .expect("no answer");
    assert_eq!((answer.status(), answer.whole, answer.length), (200, true, BODY_BYTES));
    assert_eq!(answer.digest, answer_body.digest());
}

/// Guards against an upload that is given up after 10 s while its endpoint reads steadily, for the same reason.
#[test]
fn long_upload_is_delivered_to_an_endpoint_that_reads_steadily_at_64_kb_a_second() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
    let address = listener.local_addr().expect("no local address").to_string();
    let endpoint = spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept failed");
        let mut reader = SlowReader::new(stream.try_clone().expect("clone of the stream failed"), SLOW_FOR);
        let received = ReceivedMessage::read(&mut reader, false, Duration::ZERO).expect("no request");
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        received
    });
    let (gateway, _discovery) =
        start("slow-endpoint", &[weldworks_testbed::scripted::entry("s-1", &address, 1, "active")]);
    let upload = LargeBody::new(BODY_BYTES, Framing::Length);
    let answer =
        send_request(&gateway.address, &request("once"), Some(upload), Duration::ZERO).expect("no answer");
    assert_eq!((answer.status(), answer.whole), (200, true));
    let received = endpoint.join().expect("endpoint thread panicked");
    assert_eq!((received.whole, received.length, received.digest), (true, BODY_BYTES, upload.digest()));
}

/// Guards against an answer that is cut off after 10 s for a client whose receive buffer has grown: its kernel reports no read to the
/// gateway before a part of the buffer is free, which at 64 kB a second takes longer. The client seems to pause.
#[test]
fn client_with_a_large_receive_buffer_seems_to_pause_and_gets_its_answer() {
    let endpoint = LargeBodyEndpoint::start(LargeBody::new(VERY_LONG_BODY_BYTES, Framing::Length));
    let (gateway, _discovery) = start("large-buffer", &[endpoint.entry("s-1")]);
    let mut stream = TcpStream::connect(&gateway.address).expect("connect failed");
    stream.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
    let mut reader = BufReader::new(stream.try_clone().expect("clone of the stream failed"));
    for pause in [Duration::ZERO, SLOW_FOR] {
        stream.write_all(request("look").as_bytes()).expect("write of the request failed");
        sleep(pause);
        let answer = ReceivedMessage::read(&mut reader, true, Duration::ZERO).expect("no answer");
        assert_eq!(
            (answer.status(), answer.whole, answer.length),
            (200, true, VERY_LONG_BODY_BYTES),
            "after {pause:?}"
        );
    }
}

/// Guards against a client that takes no byte of a long answer and holds the connections of both sides for as long as it stays.
#[test]
fn client_that_takes_no_byte_of_a_long_answer_is_disconnected() {
    let endpoint = LargeBodyEndpoint::start(LargeBody::new(BODY_BYTES, Framing::Length));
    let (gateway, _discovery) = start("stalled-client", &[endpoint.entry("s-1")]);
    let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
    client.write_all(request("look").as_bytes()).expect("write of the request failed");
    wait_for("the close of the endpoint connection", || endpoint.left.load(Ordering::SeqCst) == 1);
    wait_for("the end of the request", || gateway.metric("router_current") == Some(0));
}
