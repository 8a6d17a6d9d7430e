//! Stand-ins that send exactly the bytes that a test gives them, and a handle for a process of the built gateway.
//!
//! [`crate::live`] runs whole scenarios. These stand-ins reproduce single situations:
//! a truncated answer, a watch that falls silent, a request hidden in the body of another.
//! Each stand-in runs on a thread of its own with blocking I/O.
//! One checker per test records what endpoints and clients observe, and applies the rules when the test's [`Gateway`] is dropped.
//!
//! The functions of this module are for tests: a missing port or program ends the test with a panic.

use crate::checker::{
    AttemptEnd, Checker, ClassTerms, FinalAnswer, ObservedAttempt, Rule, Rules, SentRequest,
};
use crate::live::endpoints::parse_request_number;
use serde_json::{json, Value};
use std::collections::{HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use weldworks_balancer::{Idempotency, KeyScope};

mod gateway_process;
mod http_message;

pub use gateway_process::{config, spawn_gateway, write_config, Gateway};
pub use http_message::HttpMessage;

/// Timeout for conditions and answers in tests, longer than any of them takes on a slow machine.
pub const LONG: Duration = Duration::from_secs(60);

/// What all stand-ins of a test have observed.
#[derive(Clone)]
pub struct Observations {
    checker: Arc<Mutex<Checker>>,
    start: Instant,
    attempts: Arc<AtomicU64>,
}

thread_local! {
    /// The record of the current test: each test runs on a thread of its own and creates its stand-ins there.
    static OBSERVATIONS: Observations = Observations::new();
}

/// Idempotency window of the classes in [`settings`].
const IDEMPOTENCY_WINDOW: Duration = Duration::from_secs(40);
/// The request classes of [`settings`]: name, latency objective in milliseconds, and idempotency.
const CLASSES: [(&str, u64, Idempotency); 6] = [
    ("look", 30_000, Idempotency::Idempotent),
    ("pay", 30_000, Idempotency::IdempotencyKey { scope: KeyScope::All, window: IDEMPOTENCY_WINDOW }),
    ("book", 30_000, Idempotency::IdempotencyKey { scope: KeyScope::Cell, window: IDEMPOTENCY_WINDOW }),
    ("once", 30_000, Idempotency::NotIdempotent),
    ("brief", 1500, Idempotency::Idempotent),
    ("brief-once", 1500, Idempotency::NotIdempotent),
];

impl Observations {
    fn new() -> Observations {
        let terms = |(_, objective_ms, idempotency): &(&str, u64, Idempotency)| ClassTerms {
            latency_objective: Duration::from_millis(*objective_ms),
            idempotency: *idempotency,
        };
        let checker = Checker::new(CLASSES.iter().map(terms).collect(), Vec::new());
        Observations {
            checker: Arc::new(Mutex::new(checker)),
            start: Instant::now(),
            attempts: Arc::default(),
        }
    }

    /// The record of the current test.
    pub fn of_this_test() -> Observations {
        OBSERVATIONS.with(Observations::clone)
    }

    fn record(&self, update: impl FnOnce(&mut Checker, Duration)) {
        let now = self.start.elapsed();
        update(&mut self.checker.lock().expect("the lock is poisoned"), now);
    }

    /// Records that an endpoint has received a complete request; returns the attempt's number.
    fn arrived(&self, request: &HttpMessage, endpoint: usize) -> Option<u64> {
        let request = parse_request_number(request.header("x-request-id"))?;
        let attempt = self.attempts.fetch_add(1, Ordering::SeqCst);
        self.record(|checker, now| {
            let (first_byte_at, last_byte_at, started_at, end) = (now, Some(now), Some(now), None);
            let (gateway, work_s) = (0, 0.0);
            checker.record_attempt(
                request,
                ObservedAttempt {
                    attempt,
                    endpoint,
                    gateway,
                    first_byte_at,
                    last_byte_at,
                    started_at,
                    end,
                    work_s,
                },
            );
        });
        Some(attempt)
    }

    /// Records that a stand-in which does not keep requests has received a complete request with this number.
    pub(crate) fn sent_whole(&self, id: Option<&str>) -> Option<u64> {
        let headers = HashMap::from([("x-request-id".to_owned(), id?.to_owned())]);
        self.arrived(&HttpMessage { first: String::new(), headers, body: Vec::new() }, usize::MAX)
    }

    /// Records that an attempt has been answered, completely or partly.
    pub(crate) fn answered(&self, attempt: Option<u64>, whole: bool) {
        self.ended(attempt, if whole { AttemptEnd::Served } else { AttemptEnd::Broken });
    }

    fn ended(&self, attempt: Option<u64>, outcome: AttemptEnd) {
        if let Some(attempt) = attempt {
            self.record(|checker, now| checker.record_end(attempt, now, outcome));
        }
    }

    /// Records that a client has written this text; returns the number of the request, if the text is exactly one request.
    fn request_sent(&self, text: &str) -> Option<u64> {
        let value = |name: &str| text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        if text.matches("X-Request-ID: ").count() != 1 || text.matches(" HTTP/1.1").count() != 1 {
            return None;
        }
        let request = parse_request_number(value("X-Request-ID"))?;
        let class = CLASSES.iter().position(|(name, ..)| Some(*name) == value("X-Priority-Class"))?;
        let timeout = value("X-Timeout")?;
        let unit = if timeout.ends_with('u') { 1e-6 } else { 1e-3 };
        let timeout: f64 = timeout[..timeout.len() - 1].parse().ok()?;
        let timeout = Duration::try_from_secs_f64(timeout * unit).ok()?;
        // A text with a known request number is an altered copy, which the test that sends it checks itself.
        let is_known = self
            .checker
            .lock()
            .expect("the lock is poisoned")
            .record_of(request)
            .is_some_and(|request| request.request.is_some());
        if is_known {
            return None;
        }
        self.record(|checker, at| {
            checker.record_request(
                request,
                SentRequest { gateway: 0, class, sent_at: at, deadline: at + timeout },
            );
        });
        Some(request)
    }

    /// Checks the record against the rules.
    /// The time limits are generous, because threads are delayed on a busy machine and each test checks its own limits.
    /// Requests whose text a test makes up, or that are sent several at a time, are not recorded,
    /// so an attempt without a recorded request is no violation here.
    pub fn check(&self) {
        let slack = Duration::from_secs(2);
        let rules = Rules { slack, held_back: slack, ..Rules::sockets() };
        let mut violations = self.checker.lock().expect("the lock is poisoned").violations(rules);
        violations.retain(|violation| violation.rule != Rule::NobodyAsked);
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// The gateway program under test, and a folder for its files.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The path of the program.
    pub path: &'static str,
    /// The folder for configuration files.
    pub folder: &'static str,
}

/// Waits until the condition holds; panics with the description `what` after a timeout.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LONG, "timed out waiting for: {what}");
        sleep(Duration::from_millis(5));
    }
}

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The endpoint answers with the given status, header lines and body.
    Answer(u16, &'static str, Vec<u8>),
    /// The endpoint ends the connection without an answer.
    Break,
    /// The endpoint sends part of an answer, then ends the connection.
    Half,
    /// The endpoint sends nothing until it is released or the gateway closes the connection.
    Hang,
    /// The endpoint sends the given pieces with a pause between them, and leaves the connection open.
    Raw(Vec<String>),
}

impl Reply {
    /// An answer with status 200 and this body.
    pub fn ok(body: &str) -> Reply {
        Reply::Answer(200, "", body.as_bytes().to_vec())
    }
}

type Behaviour = dyn Fn(&HttpMessage) -> Reply + Send + Sync;

/// A stand-in endpoint that records the requests that it is sent.
#[derive(Clone)]
pub struct ScriptedEndpoint {
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The requests that the endpoint was sent.
    pub seen: Arc<Mutex<Vec<HttpMessage>>>,
    /// How often the gateway closed a connection while the endpoint sent nothing.
    pub left: Arc<AtomicUsize>,
    /// How many raw replies have been written completely.
    pub raw: Arc<AtomicUsize>,
    release: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    observations: Observations,
    number: usize,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that handles each request as `behaviour` says.
    pub fn start(behaviour: impl Fn(&HttpMessage) -> Reply + Send + Sync + 'static) -> ScriptedEndpoint {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
        let endpoint = ScriptedEndpoint {
            address: listener.local_addr().expect("reading the local address failed"),
            seen: Arc::default(),
            left: Arc::default(),
            raw: Arc::default(),
            release: Arc::default(),
            connections: Arc::default(),
            observations: Observations::of_this_test(),
            number: NUMBER.fetch_add(1, Ordering::SeqCst),
        };
        let (accepting, behaviour): (ScriptedEndpoint, Arc<Behaviour>) =
            (endpoint.clone(), Arc::new(behaviour));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (accepting, behaviour) = (accepting.clone(), behaviour.clone());
                accepting.connections.lock().expect("the lock is poisoned").extend(stream.try_clone());
                spawn(move || accepting.serve(stream, &*behaviour));
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream, behaviour: &Behaviour) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloning the stream failed"));
        while let Some(request) = HttpMessage::read(&mut reader) {
            let reply = behaviour(&request);
            let attempt = self.observations.arrived(&request, self.number);
            self.seen.lock().expect("the lock is poisoned").push(request);
            let (status, headers, body) = match reply {
                Reply::Answer(status, headers, body) => (status, headers, body),
                Reply::Break => {
                    self.observations.ended(attempt, AttemptEnd::Broken);
                    break;
                }
                Reply::Half => {
                    self.observations.ended(attempt, AttemptEnd::Broken);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                    break;
                }
                Reply::Hang => match self.hang(&stream) {
                    true => (200, "", b"released".to_vec()),
                    false => {
                        self.observations.ended(attempt, AttemptEnd::Left);
                        break;
                    }
                },
                Reply::Raw(pieces) => {
                    for (index, piece) in pieces.iter().enumerate() {
                        sleep(Duration::from_millis(if index == 0 { 0 } else { 250 }));
                        let _ = stream.write_all(piece.as_bytes());
                    }
                    self.raw.fetch_add(1, Ordering::SeqCst);
                    // The bytes may be anything. By now the gateway has either finished with the reply or closes the connection.
                    self.observations.ended(attempt, AttemptEnd::Error);
                    continue;
                }
            };
            let is_not_processed = headers.contains("X-Not-Processed: 1");
            let outcome = match status {
                200 => AttemptEnd::Served,
                _ if is_not_processed => AttemptEnd::TurnedAway,
                _ => AttemptEnd::Error,
            };
            self.observations.ended(attempt, outcome);
            let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), &body].concat());
        }
        // Closes the connection, which the clone of the stream that is kept for `close_all` would otherwise hold open.
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    /// Waits for the release; false if the gateway closes the connection first.
    fn hang(&self, stream: &TcpStream) -> bool {
        stream.set_read_timeout(Some(Duration::from_millis(10))).expect("setting the read timeout failed");
        while !self.release.load(Ordering::SeqCst) {
            if matches!(stream.peek(&mut [0]), Ok(0)) {
                self.left.fetch_add(1, Ordering::SeqCst);
                return false;
            }
        }
        stream.set_read_timeout(None).expect("removing the read timeout failed");
        true
    }

    /// Makes the endpoint answer the requests to which it has sent nothing.
    pub fn release(&self) {
        self.release.store(true, Ordering::SeqCst);
    }

    /// Ends all connections of the endpoint.
    pub fn close_all(&self) {
        for stream in self.connections.lock().expect("the lock is poisoned").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// How many connections were opened since the last call of `close_all`.
    pub fn connections(&self) -> usize {
        self.connections.lock().expect("the lock is poisoned").len()
    }

    /// How many requests the endpoint was sent.
    pub fn count(&self) -> usize {
        self.seen.lock().expect("the lock is poisoned").len()
    }

    /// The endpoint's entry in an endpoint list.
    pub fn entry(&self, name: &str, group: u32) -> Value {
        entry(name, &self.address.to_string(), group, "active")
    }
}

/// An entry of an endpoint list.
pub fn entry(name: &str, address: &str, group: u32, status: &str) -> Value {
    json!({"name": name, "address": address, "zone": "a", "type": "m1", "group": group,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// The address of a bound port that refuses connections for as long as the returned socket exists.
pub fn refusing() -> (tokio::net::TcpSocket, String) {
    let socket = tokio::net::TcpSocket::new_v4().expect("opening a socket failed");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("binding a port failed");
    let address = socket.local_addr().expect("reading the local address failed").to_string();
    (socket, address)
}

/// First character of a line to send incompletely.
const INCOMPLETE_LINE: char = '\u{0}';

/// Discovery with one watch at a time, on which empty lines are sent until it is silenced.
#[derive(Clone)]
pub struct ScriptedDiscovery {
    /// The address at which discovery listens.
    pub address: SocketAddr,
    /// The request lines of all polls.
    pub calls: Arc<Mutex<Vec<String>>>,
    /// While set, discovery sends nothing and keeps its watches open.
    pub silent: Arc<AtomicBool>,
    /// How many watches the gateway has closed.
    pub ended: Arc<AtomicUsize>,
    lines: Arc<Mutex<Vec<Sender<String>>>>,
}

impl ScriptedDiscovery {
    /// Starts discovery, which sends only the lists that a test pushes.
    pub fn start() -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
        let address = listener.local_addr().expect("reading the local address failed");
        let (calls, silent, ended, lines) = Default::default();
        let discovery = ScriptedDiscovery { address, calls, silent, ended, lines };
        let accepting = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let accepting = accepting.clone();
                spawn(move || accepting.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloning the stream failed"));
        let Some(call) = HttpMessage::read(&mut reader) else { return };
        let (sender, lines): (_, Receiver<String>) = channel();
        self.lines.lock().expect("the lock is poisoned").push(sender);
        self.calls.lock().expect("the lock is poisoned").push(call.first);
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        loop {
            let line = match lines.recv_timeout(Duration::from_millis(200)) {
                Ok(line) if line.starts_with(INCOMPLETE_LINE) => {
                    let part = &line[INCOMPLETE_LINE.len_utf8()..];
                    // A write error only means that the gateway has already closed the connection.
                    let _ = write!(stream, "{:x}\r\n{part}", part.len() + 100);
                    return;
                }
                Ok(line) => line + "\n",
                Err(RecvTimeoutError::Timeout) => "\n".to_owned(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            let silent = self.silent.load(Ordering::SeqCst);
            if !silent && stream.write_all(chunk.as_bytes()).is_err() {
                self.ended.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
    }

    /// How many polls there have been.
    pub fn calls(&self) -> usize {
        self.calls.lock().expect("the lock is poisoned").len()
    }

    /// Ends all watches that gateways have open.
    pub fn end_watches(&self) {
        self.lines.lock().expect("the lock is poisoned").clear();
    }

    /// Waits for the watch, then writes the list to it as a line.
    pub fn push(&self, list: Value) {
        self.write(list.to_string());
    }

    /// Waits for the watch, then writes the beginning of a line and ends the connection.
    pub fn push_incomplete(&self, part: &str) {
        self.write(format!("{INCOMPLETE_LINE}{part}"));
    }

    fn write(&self, line: String) {
        wait_for("a watch", || self.calls() > 0);
        let lines = self.lines.lock().expect("the lock is poisoned");
        lines.last().expect("there is no watch").send(line).expect("the watch has ended");
    }
}

/// Settings with long deadlines, except for the classes named `brief`.
pub fn settings() -> Value {
    let class = |name: &str, objective_s: f64, idempotency: &str, key_scope: &str| {
        json!({"name": name, "promise_s": objective_s, "deadline_s": 50.0, "effect": idempotency, "group": key_scope,
            "dedup_window_s": 40.0, "importance": 1.0, "late_worth": 0.0, "streaming": false})
    };
    json!({
        "accounts": [{"name": "acme", "quota_per_s": 100.0, "share": 1.0}],
        "azs": ["a", "b"],
        "classes": [
            class("look", 30.0, "free", "all"), class("pay", 30.0, "guarded", "all"),
            class("book", 30.0, "guarded", "cell"), class("once", 30.0, "single_shot", "all"),
            class("brief", 1.5, "free", "all"), class("brief-once", 1.5, "single_shot", "all")],
        "discovery": "ask", "family": "proxy", "flavors": ["m1"], "fleet_size": 1, "locality": 0,
        "over_share_worth": 0.2, "quantum_s": 0.005, "rank": 0, "weight_source": "off",
        "policy_limits": {"dial_timeout_s": 5.0, "keepalive_s": 60.0, "max_retry_after_s": 1.2,
            "may_cancel": true, "retry_after": true, "second_copies": false, "try_limit": 6},
        "safety": {"ask_within_s": 1.0, "cold_from": 0.13, "cold_s": 23.0, "fall_s": 2.0,
            "grace_to_answer_s": 0.02, "overload_factor": 2.5, "stop_sending_within_s": 2.0},
        "news to come": {"of no": "concern"}
    })
}

/// A client with one connection.
pub struct Client {
    reader: BufReader<TcpStream>,
    /// The numbers of the requests that were sent and not yet answered; `None` for requests that are not recorded.
    unanswered: VecDeque<Option<u64>>,
    observations: Observations,
}

impl Drop for Client {
    fn drop(&mut self) {
        for request in self.unanswered.drain(..).flatten() {
            self.observations.record(|checker, now| checker.record_give_up(request, now));
        }
    }
}

/// The text of a valid request of the class.
pub fn request(class: &str) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let id = NUMBER.fetch_add(1, Ordering::SeqCst);
    let common = format!(
        "Host: backend.local\r\nX-Request-ID: {id:016x}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: acme\r\nCookie: k=7f3a\r\nX-Timeout: 40000m\r\n"
    );
    match class {
        "look" | "brief" => format!("GET /{class}?q=1 HTTP/1.1\r\n{common}\r\n"),
        "pay" | "book" => {
            format!("POST /{class} HTTP/1.1\r\n{common}Idempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody")
        }
        _ => format!("POST /{class} HTTP/1.1\r\n{common}Content-Length: 4\r\n\r\nbody"),
    }
}

impl Client {
    /// Writes a text. Write errors are ignored: without a connection there will be no answer either.
    pub fn write(&mut self, text: &[u8]) {
        let written = String::from_utf8_lossy(text);
        if written.contains("X-Request-ID") {
            self.unanswered.push_back(self.observations.request_sent(&written));
        }
        let _ = self.reader.get_mut().write_all(text);
    }

    /// Sends a valid request of the class.
    pub fn send(&mut self, class: &str) {
        self.write(request(class).as_bytes());
    }

    /// Records that no answers are expected any more, because the gateway was killed.
    pub fn expect_no_answers(&mut self) {
        for request in self.unanswered.drain(..).flatten() {
            self.observations.record(|checker, now| checker.record_give_up(request, now));
        }
    }

    /// Reads the next answer; `None` if the connection ends.
    pub fn read(&mut self) -> Option<HttpMessage> {
        let answer = HttpMessage::read(&mut self.reader);
        let status = answer.as_ref().map(HttpMessage::status);
        if status.is_some_and(|status| status < 200) {
            return answer;
        }
        if let Some(request) = self.unanswered.pop_front().flatten() {
            self.observations.record(|checker, now| match status {
                Some(200) => checker.record_answer(request, now, FinalAnswer::Served),
                Some(429 | 503) => checker.record_answer(request, now, FinalAnswer::Refused),
                Some(_) => checker.record_answer(request, now, FinalAnswer::Failed),
                None => checker.record_lost_connection(request, now),
            });
        }
        answer
    }

    /// Sends a valid request of the class and returns its answer.
    pub fn request(&mut self, class: &str) -> HttpMessage {
        self.send(class);
        self.read().expect("the gateway did not answer")
    }
}
