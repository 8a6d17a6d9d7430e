//! Clients of a run. Clients reuse their connections while these stay open, and disconnect now and then.

use crate::faulty_stand_ins::body_for;
use crate::uploads::Upload;
use crate::workload_history::{Effect, Outcome, RequestRecord, RunState, CLASSES};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use weldworks_testbed::scripted::HttpMessage;

/// Time for which the front load balancer still sends new connections to a process after SIGTERM.
const NOTICE_DELAY: Duration = Duration::from_millis(300);
/// Time after the client's timeout for which a client waits for the final answer; a later answer counts as none.
const ANSWER_GRACE: Duration = Duration::from_millis(1500);

/// A gateway as the front load balancer knows it: the address and number of its current process, and since when the process is stopping.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    pub address: String,
    pub process: u64,
    pub stopping_since: Option<Instant>,
    pub up: bool,
}

pub type Front = Arc<Mutex<Vec<Backend>>>;

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Requests of all classes, with short bodies.
    Usual,
    /// Uploads.
    Uploading,
}

struct Connection {
    reader: BufReader<TcpStream>,
    process: u64,
    used: bool,
}

fn connect(front: &Front, random: &mut fastrand::Rng) -> Option<Connection> {
    let entry = {
        let front = front.lock().expect("lock poisoned");
        let accepts =
            |b: &&Backend| b.up && b.stopping_since.is_none_or(|since| since.elapsed() < NOTICE_DELAY);
        let candidates: Vec<&Backend> = front.iter().filter(accepts).collect();
        candidates.get(random.usize(0..candidates.len().max(1)))?.to_owned().clone()
    };
    let stream = TcpStream::connect(&entry.address).ok()?;
    let _ = stream.set_nodelay(true);
    Some(Connection { reader: BufReader::new(stream), process: entry.process, used: false })
}

/// Runs one client until the run is over.
pub fn run(state: &RunState, front: &Front, number: u64, kind: ClientKind) {
    let mut random = state.random_stream(2 << 40 | number);
    let mut connection: Option<Connection> = None;
    while !state.is_over() {
        sleep(Duration::from_millis(random.u64(0..30)));
        let Some(mut connected) = connection.take().or_else(|| connect(front, &mut random)) else { continue };
        if send_request(state, &mut connected, &mut random, kind) {
            connection = Some(connected);
        }
    }
}

/// Sends a request and records its outcome; returns whether the connection stays open.
fn send_request(
    state: &RunState,
    connection: &mut Connection,
    random: &mut fastrand::Rng,
    kind: ClientKind,
) -> bool {
    let id = state.next_id();
    let class = match kind {
        ClientKind::Usual => random.usize(0..CLASSES.len()),
        ClientKind::Uploading => random.usize(1..CLASSES.len()),
    };
    let client_timeout = state.longest_deadline.mul_f64(0.2 + 0.8 * random.f64());
    let (reused, process) = (std::mem::replace(&mut connection.used, true), connection.process);
    let stream = connection.reader.get_mut();
    let sent = match kind {
        ClientKind::Usual => stream.write_all(request_text(id, class, client_timeout).as_bytes()),
        ClientKind::Uploading => Upload::draw(id, class, client_timeout, random).write(stream),
    };
    let was_written = sent.is_ok();
    let written_at = Instant::now();
    let disconnects = random.u8(0..12) == 0;
    let outcome = if !was_written && kind == ClientKind::Usual {
        Outcome::Closed { reused, partial: false }
    } else if disconnects {
        sleep(state.longest_deadline.mul_f64(0.5 * random.f64()));
        Outcome::Disconnected
    } else {
        read(connection, id, reused, client_timeout + ANSWER_GRACE)
    };
    let keep_open = matches!(&outcome, Outcome::Answered { .. }) && connection.used;
    if disconnects {
        let _ = connection.reader.get_ref().shutdown(std::net::Shutdown::Both);
    }
    let record = RequestRecord {
        class,
        written_at,
        client_timeout,
        was_written,
        ended_at: Instant::now(),
        outcome,
        process,
        reused,
    };
    state.requests.lock().expect("lock poisoned").insert(id, record);
    keep_open
}

fn read(connection: &mut Connection, id: u64, reused: bool, timeout: Duration) -> Outcome {
    connection.reader.get_ref().set_read_timeout(Some(timeout)).expect("set_read_timeout failed");
    let started_at = Instant::now();
    // An answer that breaks off after its first byte counts as partial.
    let partial = std::io::BufRead::fill_buf(&mut connection.reader).is_ok_and(|bytes| !bytes.is_empty());
    match HttpMessage::read(&mut connection.reader) {
        Some(answer) => {
            let is_closing = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            connection.used = !is_closing;
            let matches = answer.status() != 200 || answer.body == body_for(id).as_bytes();
            Outcome::Answered { status: answer.status(), matches }
        }
        None if started_at.elapsed() >= timeout => Outcome::Silent,
        None => Outcome::Closed { reused, partial },
    }
}

fn request_text(id: u64, class: usize, client_timeout: Duration) -> String {
    let (name, effect) = CLASSES[class];
    let common = format!(
        "Host: backend.local\r\nX-Request-ID: {id:016x}\r\nX-Priority-Class: {name}\r\nX-Tenant-Id: acme\r\n\
         X-Timeout: {}u\r\n",
        client_timeout.as_micros()
    );
    match effect {
        Effect::Safe => format!("GET /{name} HTTP/1.1\r\n{common}\r\n"),
        Effect::Keyed => format!(
            "POST /{name} HTTP/1.1\r\n{common}Idempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody"
        ),
        Effect::Unsafe => format!("POST /{name} HTTP/1.1\r\n{common}Content-Length: 4\r\n\r\nbody"),
    }
}
