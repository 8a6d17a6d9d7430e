//! Stand-ins of a run: endpoints that misbehave by the seed, and a discovery service that sends changes at once.

use crate::uploads::FaultyReader;
use crate::workload_history::{Attempt, RunState};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use weldworks_testbed::scripted::HttpMessage;

/// Interval at which a waiting stand-in checks whether its wait is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which discovery writes an empty line as a sign of life.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// The body of an endpoint's answer to the request with this id.
pub fn body_for(id: u64) -> String {
    format!("made for {id:016x}")
}

/// Starts the endpoint with this index; returns its address.
pub fn start_endpoint(state: &Arc<RunState>, endpoint: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
    let address = listener.local_addr().expect("no local address");
    let state = state.clone();
    spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let state = state.clone();
            spawn(move || serve(&state, endpoint, connection as u64, stream));
        }
    });
    address
}

fn serve(state: &RunState, endpoint: usize, connection: u64, mut stream: TcpStream) {
    let mut random = state.random_stream(1 << 40 | (endpoint as u64) << 32 | connection);
    let faulty = FaultyReader::new(state, stream.try_clone().expect("clone of the stream failed"));
    let mut reader = BufReader::new(faulty);
    let _ = stream.set_nodelay(true);
    loop {
        reader.get_mut().draw_fault(&mut random);
        // Waits for the first byte separately, to record when the attempt begins.
        if !matches!(stream.peek(&mut [0]), Ok(1..)) {
            return;
        }
        let first_byte_at = Instant::now();
        let Some(request) = HttpMessage::read(&mut reader) else { return };
        let Some(id) = request.header("x-request-id").and_then(|id| u64::from_str_radix(id, 16).ok()) else {
            return;
        };
        let x_timeout = request.header("x-timeout").and_then(|text| text.strip_suffix('u')?.parse().ok());
        let x_timeout = x_timeout.map_or(Duration::MAX, Duration::from_micros);
        let complete_at = reader.get_ref().earliest_arrival();
        let attempt_index = {
            let mut attempts = state.attempts.lock().expect("lock poisoned");
            let request_attempts = attempts.entry(id).or_default();
            request_attempts.push(Attempt {
                endpoint,
                first_byte_at,
                complete_at,
                x_timeout,
                ended_at: None,
                not_processed: false,
            });
            request_attempts.len() - 1
        };
        let keep_open = answer_attempt(state, endpoint, id, attempt_index, &mut stream, &mut random);
        if !keep_open {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Records the end of the attempt, and whether it proves that the request was not processed.
/// Must be called before the last byte of the answer is written.
fn record_end(state: &RunState, id: u64, attempt_index: usize, not_processed: bool) {
    let mut attempts = state.attempts.lock().expect("lock poisoned");
    let attempt = &mut attempts.get_mut(&id).expect("no such request")[attempt_index];
    (attempt.ended_at, attempt.not_processed) = (Some(Instant::now()), not_processed);
}

/// Handles one attempt; returns whether the connection stays open.
fn answer_attempt(
    state: &RunState,
    endpoint: usize,
    id: u64,
    attempt_index: usize,
    stream: &mut TcpStream,
    random: &mut fastrand::Rng,
) -> bool {
    let body = body_for(id);
    let length = body.len();
    let processing_time =
        Duration::from_millis(if random.u8(0..10) == 0 { random.u64(50..400) } else { random.u64(0..25) });
    let started_at = Instant::now();
    while started_at.elapsed() < processing_time || state.hanging[endpoint].load(Ordering::SeqCst) {
        if is_disconnected(stream) {
            record_end(state, id, attempt_index, false);
            return false;
        }
        if state.is_over() && started_at.elapsed() > Duration::from_secs(3) {
            break;
        }
        sleep(CHECK_INTERVAL);
    }
    let (not_processed, text, keep_open) = match random.u8(0..100) {
        0..=3 => (false, format!("HTTP/1.1 500 Oops\r\nContent-Length: {length}\r\n\r\n{body}"), true),
        4..=8 => {
            (true, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_owned(), true)
        }
        9..=12 => {
            (false, format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}", &body[..5]), false)
        }
        13..=15 => (false, String::new(), false),
        16..=18 => (false, format!("HTTP/1.1 200 OK\r\n\r\n{body}"), false),
        _ => (false, format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"), true),
    };
    record_end(state, id, attempt_index, not_processed);
    stream.write_all(text.as_bytes()).is_ok() && keep_open
}

fn is_disconnected(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("set_nonblocking failed");
    let disconnected = match stream.peek(&mut [0]) {
        Ok(unread) => unread == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).expect("set_nonblocking failed");
    disconnected
}

/// The endpoints as discovery lists them.
pub struct EndpointList {
    pub endpoints: Vec<SocketAddr>,
    pub draining: Vec<bool>,
    pub version: u64,
}

impl EndpointList {
    pub fn entries(&self) -> Vec<Value> {
        let entry = |(n, address): (usize, &SocketAddr)| {
            let status = if self.draining[n] { "leaving" } else { "active" };
            weldworks_testbed::scripted::entry(&format!("s-{n}"), &address.to_string(), n as u32 % 2, status)
        };
        self.endpoints.iter().enumerate().map(entry).collect()
    }

    fn line(&self) -> String {
        json!({ "index": self.version, "snapshot": true, "endpoints": self.entries() }).to_string() + "\n"
    }
}

/// Starts a discovery service; returns its address. Each call gets a snapshot, and a new snapshot after each change.
pub fn start_discovery(listed: &Arc<Mutex<EndpointList>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
    let address = listener.local_addr().expect("no local address");
    let listed = listed.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let listed = listed.clone();
            spawn(move || watch(&listed, stream));
        }
    });
    address
}

fn watch(listed: &Mutex<EndpointList>, mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().expect("clone of the stream failed"));
    if HttpMessage::read(&mut reader).is_none()
        || stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err()
    {
        return;
    }
    let (mut sent_version, mut last_write_at) = (0, Instant::now());
    loop {
        let line = {
            let listed = listed.lock().expect("lock poisoned");
            let is_changed = listed.version > sent_version;
            sent_version = listed.version;
            is_changed.then(|| listed.line())
        };
        let line = match line {
            Some(line) => line,
            None if last_write_at.elapsed() >= KEEP_ALIVE_INTERVAL => "\n".to_owned(),
            None => {
                sleep(CHECK_INTERVAL);
                continue;
            }
        };
        last_write_at = Instant::now();
        if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
            return;
        }
    }
}
