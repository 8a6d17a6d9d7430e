//! Stand-ins that do what a test says, byte by byte, and the built gateway between them.
//!
//! Where [`crate::live`] plays a day, these play one moment: an answer that breaks off, a watch that falls silent, a
//! request that hides in a body. Each has a thread of its own and blocks. What nodes and clients see goes into one
//! ledger for each test, which is held against the rules when the test's [`Gateway`] is dropped.
//!
//! These functions are for tests: what can't be had (a port, a program) ends the test with a panic.

use crate::checker::{
    AttemptEnd, Checker, ClassTerms, FinalAnswer, ObservedAttempt, Rule, Rules, SentRequest,
};
use crate::live::gateways::listening;
use crate::live::nodes::number;
use serde_json::{json, Value};
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use weldworks_balancer::{Idempotency, KeyScope};

/// No condition takes this long, on whatever machine.
pub const LONG: Duration = Duration::from_secs(60);

/// What has been seen in a test, by all its stand-ins.
#[derive(Clone)]
pub struct Book {
    ledger: Arc<Mutex<Checker>>,
    start: Instant,
    attempts: Arc<AtomicU64>,
}

thread_local! {
    /// A test runs on a thread of its own, and makes its stand-ins there.
    static BOOK: Book = Book::new();
}

/// The classes of [`settings`], by name: the aim, and what a repeat does.
const WINDOW: Duration = Duration::from_secs(40);
const CLASSES: [(&str, u64, Idempotency); 6] = [
    ("look", 30_000, Idempotency::Idempotent),
    ("pay", 30_000, Idempotency::IdempotencyKey { scope: KeyScope::All, window: WINDOW }),
    ("book", 30_000, Idempotency::IdempotencyKey { scope: KeyScope::Cell, window: WINDOW }),
    ("once", 30_000, Idempotency::NotIdempotent),
    ("brief", 1500, Idempotency::Idempotent),
    ("brief-once", 1500, Idempotency::NotIdempotent),
];

impl Book {
    fn new() -> Book {
        let terms = |(_, aim, effect): &(&str, u64, Idempotency)| ClassTerms {
            latency_objective: Duration::from_millis(*aim),
            idempotency: *effect,
        };
        let ledger = Checker::new(CLASSES.iter().map(terms).collect(), Vec::new());
        Book { ledger: Arc::new(Mutex::new(ledger)), start: Instant::now(), attempts: Arc::default() }
    }

    /// That of the present test.
    pub fn of_this_test() -> Book {
        BOOK.with(Book::clone)
    }

    fn note(&self, what: impl FnOnce(&mut Checker, Duration)) {
        let now = self.start.elapsed();
        what(&mut self.ledger.lock().expect("lock"), now);
    }

    /// A request has come whole to a node; gives the attempt's number.
    fn arrived(&self, request: &Http, node: usize) -> Option<u64> {
        let request = number(request.header("x-request-id"))?;
        let attempt = self.attempts.fetch_add(1, Ordering::SeqCst);
        self.note(|ledger, now| {
            let (first_byte_at, last_byte_at, started_at, end) = (now, Some(now), Some(now), None);
            let (gateway, work_s) = (0, 0.0);
            ledger.record_attempt(
                request,
                ObservedAttempt {
                    attempt,
                    node,
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

    /// A request with this number has come whole to a stand-in that keeps no more of it.
    pub(crate) fn sent_whole(&self, id: Option<&str>) -> Option<u64> {
        let headers = HashMap::from([("x-request-id".to_owned(), id?.to_owned())]);
        self.arrived(&Http { first: String::new(), headers, body: Vec::new() }, usize::MAX)
    }

    /// It has been answered, whole or not.
    pub(crate) fn answered(&self, attempt: Option<u64>, whole: bool) {
        self.ended(attempt, if whole { AttemptEnd::Served } else { AttemptEnd::Broken });
    }

    fn ended(&self, attempt: Option<u64>, how: AttemptEnd) {
        if let Some(attempt) = attempt {
            self.note(|ledger, now| ledger.record_end(attempt, now, how));
        }
    }

    /// A client has written this; gives the number of the request, where it is just one.
    fn asked(&self, text: &str) -> Option<u64> {
        let value = |name: &str| text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        if text.matches("X-Request-ID: ").count() != 1 || text.matches(" HTTP/1.1").count() != 1 {
            return None;
        }
        let request = number(value("X-Request-ID"))?;
        let class = CLASSES.iter().position(|(name, ..)| Some(*name) == value("X-Priority-Class"))?;
        let wait = value("X-Timeout")?;
        let unit = if wait.ends_with('u') { 1e-6 } else { 1e-3 };
        let wait: f64 = wait[..wait.len() - 1].parse().ok()?;
        let wait = Duration::try_from_secs_f64(wait * unit).ok()?;
        // A text that is sent again, with something else wrong in it, is one test's own affair.
        let known = self.ledger.lock().expect("lock").of(request).is_some_and(|r| r.request.is_some());
        if known {
            return None;
        }
        self.note(|ledger, at| {
            ledger
                .record_request(request, SentRequest { gateway: 0, class, sent_at: at, deadline: at + wait });
        });
        Some(request)
    }

    /// Holds what was seen against the rules. The limits are generous: threads come late on a busy machine, and each
    /// test has its own say on what is quick. Requests that a test words itself, or several at a time, are not booked,
    /// so that an attempt without one proves nothing here.
    pub fn check(&self) {
        let slack = Duration::from_secs(2);
        let rules = Rules { slack, held_back: slack, ..Rules::sockets() };
        let mut violations = self.ledger.lock().expect("lock").violations(rules);
        violations.retain(|b| b.rule != Rule::NobodyAsked);
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// The program under test, and a folder for its files.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Its path.
    pub path: &'static str,
    /// The folder.
    pub folder: &'static str,
}

/// Waits until the condition holds.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LONG, "waited in vain: {what}");
        sleep(Duration::from_millis(5));
    }
}

/// A message of HTTP/1.1, either way.
#[derive(Clone, Debug)]
pub struct Http {
    /// Its first line.
    pub first: String,
    /// Its headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Http {
    /// Reads one message; none where the connection ends first.
    pub fn read(from: &mut impl BufRead) -> Option<Http> {
        let mut line = || {
            let mut line = String::new();
            (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
        };
        let first = line()?;
        let mut headers = HashMap::new();
        loop {
            let line = line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").map_or(0, |n| n.parse().expect("a length"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        Some(Http { first, headers, body })
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// What a host does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers with this status, these header lines and this body.
    Answer(u16, &'static str, Vec<u8>),
    /// Ends the connection.
    Break,
    /// Sends part of an answer, then ends the connection.
    Half,
    /// Says nothing until released or left.
    Hang,
    /// Sends these bytes, one piece a while after another, and leaves the connection open.
    Raw(Vec<String>),
}

impl Reply {
    /// An answer 200 with this body.
    pub fn ok(body: &str) -> Reply {
        Reply::Answer(200, "", body.as_bytes().to_vec())
    }
}

type Behaviour = dyn Fn(&Http) -> Reply + Send + Sync;

/// A host. It remembers what it was sent.
#[derive(Clone)]
pub struct ScriptedNode {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it was sent.
    pub seen: Arc<Mutex<Vec<Http>>>,
    /// How often it was left while it said nothing.
    pub left: Arc<AtomicUsize>,
    /// How many raw replies have been written whole.
    pub raw: Arc<AtomicUsize>,
    release: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    book: Book,
    number: usize,
}

impl ScriptedNode {
    /// A node that treats each request as told.
    pub fn start(behaviour: impl Fn(&Http) -> Reply + Send + Sync + 'static) -> ScriptedNode {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let host = ScriptedNode {
            address: listener.local_addr().expect("an address"),
            seen: Arc::default(),
            left: Arc::default(),
            raw: Arc::default(),
            release: Arc::default(),
            connections: Arc::default(),
            book: Book::of_this_test(),
            number: NUMBER.fetch_add(1, Ordering::SeqCst),
        };
        let (me, behaviour): (ScriptedNode, Arc<Behaviour>) = (host.clone(), Arc::new(behaviour));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (me, behaviour) = (me.clone(), behaviour.clone());
                me.connections.lock().expect("lock").extend(stream.try_clone());
                spawn(move || me.serve(stream, &*behaviour));
            }
        });
        host
    }

    fn serve(&self, mut stream: TcpStream, behaviour: &Behaviour) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        while let Some(request) = Http::read(&mut reader) {
            let reply = behaviour(&request);
            let attempt = self.book.arrived(&request, self.number);
            self.seen.lock().expect("lock").push(request);
            let (status, headers, body) = match reply {
                Reply::Answer(status, headers, body) => (status, headers, body),
                Reply::Break => {
                    self.book.ended(attempt, AttemptEnd::Broken);
                    break;
                }
                Reply::Half => {
                    self.book.ended(attempt, AttemptEnd::Broken);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                    break;
                }
                Reply::Hang => match self.hang(&stream) {
                    true => (200, "", b"released".to_vec()),
                    false => {
                        self.book.ended(attempt, AttemptEnd::Left);
                        break;
                    }
                },
                Reply::Raw(pieces) => {
                    for (n, piece) in pieces.iter().enumerate() {
                        sleep(Duration::from_millis(if n == 0 { 0 } else { 250 }));
                        let _ = stream.write_all(piece.as_bytes());
                    }
                    self.raw.fetch_add(1, Ordering::SeqCst);
                    // What is in it may be anything: the gateway is through with it by now, or leaves.
                    self.book.ended(attempt, AttemptEnd::Error);
                    continue;
                }
            };
            let never_ran = headers.contains("X-Not-Processed: 1");
            let how = match status {
                200 => AttemptEnd::Served,
                _ if never_ran => AttemptEnd::TurnedAway,
                _ => AttemptEnd::Error,
            };
            self.book.ended(attempt, how);
            let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), &body].concat());
        }
        // The clone kept for `close_all` must not hold the connection open.
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    /// Waits for the release; false where the other side ends the connection first.
    fn hang(&self, stream: &TcpStream) -> bool {
        stream.set_read_timeout(Some(Duration::from_millis(10))).expect("a time-out");
        while !self.release.load(Ordering::SeqCst) {
            if matches!(stream.peek(&mut [0]), Ok(0)) {
                self.left.fetch_add(1, Ordering::SeqCst);
                return false;
            }
        }
        stream.set_read_timeout(None).expect("no time-out");
        true
    }

    /// Has it answer whatever it has said nothing to.
    pub fn release(&self) {
        self.release.store(true, Ordering::SeqCst);
    }

    /// Ends all connections.
    pub fn close_all(&self) {
        for stream in self.connections.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// How many connections there have been since the last call of `close_all`.
    pub fn connections(&self) -> usize {
        self.connections.lock().expect("lock").len()
    }

    /// How many requests it was sent.
    pub fn count(&self) -> usize {
        self.seen.lock().expect("lock").len()
    }

    /// Its entry in a list.
    pub fn entry(&self, name: &str, group: u32) -> Value {
        entry(name, &self.address.to_string(), group, "active")
    }
}

/// An entry of a list.
pub fn entry(name: &str, address: &str, group: u32, status: &str) -> Value {
    json!({"name": name, "address": address, "zone": "a", "type": "m1", "group": group,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// A port that is taken but refuses connections for as long as the socket lives.
pub fn refusing() -> (tokio::net::TcpSocket, String) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let address = socket.local_addr().expect("an address").to_string();
    (socket, address)
}

/// Marks a line that is broken off.
const BROKEN_OFF: char = '\u{0}';

/// Discovery: a watch at a time, kept alive by empty lines until it is silenced.
#[derive(Clone)]
pub struct ScriptedRegister {
    /// Where it listens.
    pub address: SocketAddr,
    /// The request lines of all calls.
    pub calls: Arc<Mutex<Vec<String>>>,
    /// While this is set it says nothing, and keeps its watches open.
    pub silent: Arc<AtomicBool>,
    /// How many watches the other side has ended.
    pub ended: Arc<AtomicUsize>,
    lines: Arc<Mutex<Vec<Sender<String>>>>,
}

impl ScriptedRegister {
    /// A register that lists nothing by itself.
    pub fn start() -> ScriptedRegister {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (calls, silent, ended, lines) = Default::default();
        let discovery = ScriptedRegister { address, calls, silent, ended, lines };
        let me = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let me = me.clone();
                spawn(move || me.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        let Some(call) = Http::read(&mut reader) else { return };
        let (sender, lines): (_, Receiver<String>) = channel();
        self.lines.lock().expect("lock").push(sender);
        self.calls.lock().expect("lock").push(call.first);
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        loop {
            let line = match lines.recv_timeout(Duration::from_millis(200)) {
                Ok(line) if line.starts_with(BROKEN_OFF) => {
                    let part = &line[BROKEN_OFF.len_utf8()..];
                    // Who has left already sees no more of it either way.
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

    /// How many calls there have been.
    pub fn calls(&self) -> usize {
        self.calls.lock().expect("lock").len()
    }

    /// Ends every watch there is.
    pub fn hang_up(&self) {
        self.lines.lock().expect("lock").clear();
    }

    /// Waits for the watch, then writes a line to it.
    pub fn push(&self, list: Value) {
        self.write(list.to_string());
    }

    /// Waits for the watch, then writes this as the beginning of a line and ends the connection.
    pub fn break_off(&self, part: &str) {
        self.write(format!("{BROKEN_OFF}{part}"));
    }

    fn write(&self, line: String) {
        wait_for("a watch", || self.calls() > 0);
        let lines = self.lines.lock().expect("lock");
        lines.last().expect("a watch").send(line).expect("an open watch");
    }
}

/// Settings in which nothing is hurried unless its class says so.
pub fn settings() -> Value {
    let class = |name: &str, aim: f64, effect: &str, group: &str| {
        json!({"name": name, "promise_s": aim, "deadline_s": 50.0, "effect": effect, "group": group,
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

/// The gateway's process; killed with its test.
pub struct Gateway {
    child: Child,
    /// Where it takes requests.
    pub address: String,
    /// Its second address, where it has one.
    pub management: Option<String>,
}

/// Starts the built program on a configuration file with this text.
pub fn spawn_gateway(program: &Program, name: &str, text: &str) -> Child {
    command(program, name, text).spawn().expect("the built gateway")
}

fn command(program: &Program, name: &str, text: &str) -> Command {
    write_config(program, name, text);
    let mut command = Command::new(program.path);
    command.env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    command.env("ROUTER_CONFIG", config_path(program, name)).stderr(Stdio::piped());
    command
}

fn config_path(program: &Program, name: &str) -> String {
    format!("{}/{name}.json", program.folder)
}

/// Puts another file in the place of the configuration.
pub fn write_config(program: &Program, name: &str, text: &str) {
    let new = format!("{}.new", config_path(program, name));
    std::fs::write(&new, text).expect("a file");
    std::fs::rename(new, config_path(program, name)).expect("a file in its place");
}

/// A configuration with this discovery, limit and known hosts.
pub fn config(discovery: &str, sockets: usize, known: &[Value]) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "discovery": discovery,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"index": 41, "snapshot": true, "endpoints": known}, "settings": settings()})
}

impl Gateway {
    /// Starts a gateway that knows these hosts, and waits until it is ready.
    pub fn start(
        program: &Program,
        name: &str,
        discovery: &ScriptedRegister,
        sockets: usize,
        known: &[Value],
    ) -> Gateway {
        // The variable wins over the file at the start: nobody is at the file's address.
        Gateway::start_with(program, name, discovery, &config("127.0.0.1:1", sockets, known))
    }

    /// The same, with a configuration of its own.
    pub fn start_with(
        program: &Program,
        name: &str,
        discovery: &ScriptedRegister,
        config: &Value,
    ) -> Gateway {
        let mut command = command(program, name, &config.to_string());
        command.env("ROUTER_DISCOVERY", discovery.address.to_string());
        Gateway::running(command)
    }

    /// Starts one on the clients' listener that this process holds, as descriptor 4.
    pub fn start_shared(
        program: &Program,
        name: &str,
        discovery: &ScriptedRegister,
        config: &Value,
        listener: &TcpListener,
    ) -> Gateway {
        Gateway::start_sharing(program, name, discovery, config, listener, "")
    }

    /// The same, with a folder that all processes of the gateway share; none where it is empty.
    pub fn start_sharing(
        program: &Program,
        name: &str,
        discovery: &ScriptedRegister,
        config: &Value,
        listener: &TcpListener,
        folder: &str,
    ) -> Gateway {
        let plain = command(program, name, &config.to_string());
        let mut command = Command::new("sh");
        command.args(["-c", "exec 4<&0 </dev/null; exec \"$0\"", program.path]);
        for (key, value) in plain.get_envs() {
            match value {
                Some(value) => command.env(key, value),
                None => command.env_remove(key),
            };
        }
        let handed: std::os::fd::OwnedFd = listener.try_clone().expect("a clone").into();
        command.stdin(handed).stderr(Stdio::piped()).env("ROUTER_INHERITED_FD", "4");
        command.env("ROUTER_DISCOVERY", discovery.address.to_string()).env_remove("TMPDIR");
        if !folder.is_empty() {
            command.env("TMPDIR", folder);
        }
        Gateway::running(command)
    }

    fn running(mut command: Command) -> Gateway {
        let mut child = command.spawn().expect("the built gateway");
        let mut management = None;
        let mut log = BufReader::new(child.stderr.take().expect("a log")).lines().map_while(Result::ok);
        let address = log.find_map(|l| {
            let calls = l.split_once(" calls are answered address=");
            management = calls.map(|(_, address)| address.trim().to_owned()).or(management.take());
            listening(&l)
        });
        spawn(move || log.for_each(|line| eprintln!("gateway: {line}")));
        Gateway { child, address: address.expect("an address in the log"), management }
    }

    /// A call at the second address: its answer.
    pub fn call(&self, method: &str, path: &str) -> Http {
        let mut stream = self.caller();
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: staff\r\n\r\n").expect("a call");
        Http::read(&mut BufReader::new(stream)).expect("an answer to a call")
    }

    /// A connection to the second address.
    pub fn caller(&self) -> TcpStream {
        let address = self.management.as_ref().expect("a second address");
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream
    }

    /// A figure, by its name and label as they stand.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let text = String::from_utf8(self.call("GET", "/_vars").body).expect("text");
        text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Whether it has not ended.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// The most memory that it has had, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a status");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// The time that its processors have spent on it so far.
    pub fn cpu(&self) -> Duration {
        // The first figure is the time on a processor, in nanoseconds, of the one thread that does the work.
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).expect("a figure");
        let spent = text.split_whitespace().next().and_then(|ns| ns.parse().ok());
        Duration::from_nanos(spent.expect("a number"))
    }

    /// How many descriptors it has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("a folder").count()
    }

    /// A client with a connection of its own.
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(&self.address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client { reader: BufReader::new(stream), owed: VecDeque::new(), book: Book::of_this_test() }
    }

    /// A request on a connection of its own, and its answer.
    pub fn ask(&self, class: &str) -> Http {
        self.connect().ask(class)
    }

    /// Sends it a signal, by its name without SIG.
    pub fn signal(&self, signal: &str) {
        let kill = Command::new("sh").arg("-c").arg(format!("kill -{signal} {}", self.child.id())).status();
        assert!(kill.expect("a shell").success());
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(start.elapsed() < LONG, "the gateway does not end");
            sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if !std::thread::panicking() {
            Book::of_this_test().check();
        }
    }
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
    /// The requests that it has sent and that were not answered yet, where they are booked.
    owed: VecDeque<Option<u64>>,
    book: Book,
}

impl Drop for Client {
    fn drop(&mut self) {
        for request in self.owed.drain(..).flatten() {
            self.book.note(|ledger, now| ledger.record_give_up(request, now));
        }
    }
}

/// The text of a well-formed request of the class.
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
    /// What can't be written for want of a connection gets no answer either.
    pub fn write(&mut self, text: &[u8]) {
        let words = String::from_utf8_lossy(text);
        if words.contains("X-Request-ID") {
            self.owed.push_back(self.book.asked(&words));
        }
        let _ = self.reader.get_mut().write_all(text);
    }

    /// Sends a well-formed request of the class.
    pub fn send(&mut self, class: &str) {
        self.write(request(class).as_bytes());
    }

    /// Its gateway was killed: no answer is owed to it any more.
    pub fn forget(&mut self) {
        for request in self.owed.drain(..).flatten() {
            self.book.note(|ledger, now| ledger.record_give_up(request, now));
        }
    }

    /// The next answer; none where the connection ends.
    pub fn read(&mut self) -> Option<Http> {
        let answer = Http::read(&mut self.reader);
        let status = answer.as_ref().map(Http::status);
        if status.is_some_and(|s| s < 200) {
            return answer;
        }
        if let Some(request) = self.owed.pop_front().flatten() {
            self.book.note(|ledger, now| match status {
                Some(200) => ledger.record_answer(request, now, FinalAnswer::Served),
                Some(429 | 503) => ledger.record_answer(request, now, FinalAnswer::Refused),
                Some(_) => ledger.record_answer(request, now, FinalAnswer::Failed),
                None => ledger.record_lost_connection(request, now),
            });
        }
        answer
    }

    /// The same, and reads the answer.
    pub fn ask(&mut self, class: &str) -> Http {
        self.send(class);
        self.read().expect("an answer")
    }
}
