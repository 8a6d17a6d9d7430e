//! Small stand-ins on the loopback interface, and the built gateway between them.

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// No condition takes this long, on whatever machine.
pub const LONG: Duration = Duration::from_secs(60);

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
    pub first: String,
    pub headers: HashMap<String, String>,
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

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }

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
    pub fn ok(body: &str) -> Reply {
        Reply::Answer(200, "", body.as_bytes().to_vec())
    }
}

type Behaviour = dyn Fn(&Http) -> Reply + Send + Sync;

/// A host. It remembers what it was sent.
#[derive(Clone)]
pub struct FakeHost {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Http>>>,
    pub left: Arc<AtomicUsize>,
    /// How many raw replies have been written whole.
    pub raw: Arc<AtomicUsize>,
    release: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl FakeHost {
    pub fn start(behaviour: impl Fn(&Http) -> Reply + Send + Sync + 'static) -> FakeHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let host = FakeHost {
            address: listener.local_addr().expect("an address"),
            seen: Arc::default(),
            left: Arc::default(),
            raw: Arc::default(),
            release: Arc::default(),
            connections: Arc::default(),
        };
        let (me, behaviour): (FakeHost, Arc<Behaviour>) = (host.clone(), Arc::new(behaviour));
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
            self.seen.lock().expect("lock").push(request);
            let (status, headers, body) = match reply {
                Reply::Answer(status, headers, body) => (status, headers, body),
                Reply::Break => break,
                Reply::Half => {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                    break;
                }
                Reply::Hang => match self.hang(&stream) {
                    true => (200, "", b"released".to_vec()),
                    false => break,
                },
                Reply::Raw(pieces) => {
                    for (n, piece) in pieces.iter().enumerate() {
                        sleep(Duration::from_millis(if n == 0 { 0 } else { 250 }));
                        let _ = stream.write_all(piece.as_bytes());
                    }
                    self.raw.fetch_add(1, Ordering::SeqCst);
                    continue;
                }
            };
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

    pub fn count(&self) -> usize {
        self.seen.lock().expect("lock").len()
    }

    /// Its entry in a list.
    pub fn entry(&self, name: &str, group: u32) -> Value {
        entry(name, &self.address.to_string(), group, "active")
    }
}

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

/// Discovery: a watch at a time, kept alive by empty lines until it is silenced.
#[derive(Clone)]
pub struct FakeDiscovery {
    pub address: SocketAddr,
    /// The request lines of all calls.
    pub calls: Arc<Mutex<Vec<String>>>,
    pub silent: Arc<AtomicBool>,
    /// How many watches the other side has ended.
    pub ended: Arc<AtomicUsize>,
    lines: Arc<Mutex<Vec<Sender<String>>>>,
}

impl FakeDiscovery {
    pub fn start() -> FakeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (calls, silent, ended, lines) = Default::default();
        let discovery = FakeDiscovery { address, calls, silent, ended, lines };
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
            let line = lines.recv_timeout(Duration::from_millis(200)).unwrap_or_default() + "\n";
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            let silent = self.silent.load(Ordering::SeqCst);
            if !silent && stream.write_all(chunk.as_bytes()).is_err() {
                self.ended.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
    }

    pub fn calls(&self) -> usize {
        self.calls.lock().expect("lock").len()
    }

    /// Waits for the watch, then writes a line to it.
    pub fn push(&self, list: Value) {
        wait_for("a watch", || self.calls() > 0);
        let lines = self.lines.lock().expect("lock");
        lines.last().expect("a watch").send(list.to_string()).expect("an open watch");
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
    pub address: String,
}

/// Starts the built program on a configuration file with this text.
pub fn spawn_gateway(name: &str, text: &str) -> Child {
    command(name, text).spawn().expect("the built gateway")
}

fn command(name: &str, text: &str) -> Command {
    write_config(name, text);
    let mut command = Command::new(env!("CARGO_BIN_EXE_ottervane-gateway"));
    command.env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    command.env("ROUTER_CONFIG", config_path(name)).stderr(Stdio::piped());
    command
}

fn config_path(name: &str) -> String {
    format!("{}/{name}.json", env!("CARGO_TARGET_TMPDIR"))
}

/// Puts another file in the place of the configuration.
pub fn write_config(name: &str, text: &str) {
    let new = format!("{}.new", config_path(name));
    std::fs::write(&new, text).expect("a file");
    std::fs::rename(new, config_path(name)).expect("a file in its place");
}

/// A configuration with this discovery, limit and known hosts.
pub fn config(discovery: &str, sockets: usize, known: &[Value]) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "discovery": discovery,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"index": 41, "snapshot": true, "endpoints": known}, "settings": settings()})
}

impl Gateway {
    /// Starts a gateway that knows these hosts, and waits until it is ready.
    pub fn start(name: &str, discovery: &FakeDiscovery, sockets: usize, known: &[Value]) -> Gateway {
        // The variable wins over the file at the start: nobody is at the file's address.
        Gateway::start_with(name, discovery, &config("127.0.0.1:1", sockets, known))
    }

    /// The same, with a configuration of its own.
    pub fn start_with(name: &str, discovery: &FakeDiscovery, config: &Value) -> Gateway {
        let mut command = command(name, &config.to_string());
        command.env("ROUTER_DISCOVERY", discovery.address.to_string());
        let mut child = command.spawn().expect("the built gateway");
        let mut log = BufReader::new(child.stderr.take().expect("a log")).lines().map_while(Result::ok);
        let address = log.find_map(|l| l.strip_prefix("listening on ").map(str::to_owned));
        spawn(move || log.for_each(|line| eprintln!("gateway: {line}")));
        Gateway { child, address: address.expect("an address in the log") }
    }

    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(&self.address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client { reader: BufReader::new(stream) }
    }

    /// A request on a connection of its own, and its answer.
    pub fn ask(&self, class: &str) -> Http {
        self.connect().ask(class)
    }

    pub fn signal(&self, signal: &str) {
        let kill = Command::new("sh").arg("-c").arg(format!("kill -{signal} {}", self.child.id())).status();
        assert!(kill.expect("a shell").success());
    }

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
    }
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
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
        let _ = self.reader.get_mut().write_all(text);
    }

    pub fn send(&mut self, class: &str) {
        self.write(request(class).as_bytes());
    }

    pub fn read(&mut self) -> Option<Http> {
        Http::read(&mut self.reader)
    }

    pub fn ask(&mut self, class: &str) -> Http {
        self.send(class);
        self.read().expect("an answer")
    }
}
