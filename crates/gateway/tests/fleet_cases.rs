//! What strangers, doubled names and staff do to a fleet of real processes.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_weldworks-gateway");
const LONG: Duration = Duration::from_secs(60);

/// A door that stands open at a port of the kernel's choice before anybody is behind it.
#[derive(Clone)]
struct Door {
    address: SocketAddr,
    behind: Arc<Mutex<Option<SocketAddr>>>,
}

impl Door {
    fn new() -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let door = Door { address: listener.local_addr().expect("an address"), behind: Arc::default() };
        let behind = door.behind.clone();
        spawn(move || {
            for from in listener.incoming().flatten() {
                let Some(to) = *behind.lock().expect("lock") else { continue };
                let Ok(to) = TcpStream::connect(to) else { continue };
                for (mut from, mut to) in
                    [(from.try_clone().expect("a clone"), to.try_clone().expect("a clone")), (to, from)]
                {
                    spawn(move || {
                        let _ = std::io::copy(&mut from, &mut to);
                        let _ = to.shutdown(std::net::Shutdown::Write);
                    });
                }
            }
        });
        door
    }
}

struct Process {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Process {
    fn says(&self, what: &str) -> bool {
        self.log.lock().expect("lock").contains(what)
    }

    /// The address behind a mark in its log.
    fn address(&self, mark: &str) -> SocketAddr {
        let find = || {
            let log = self.log.lock().expect("lock");
            log.lines().find_map(|l| l.split_once(mark)?.1.trim().parse().ok())
        };
        wait_for(mark, || find().is_some());
        find().expect("an address")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("{}", self.log.lock().expect("lock"));
        }
    }
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < LONG, "waited in vain: {what}");
        sleep(Duration::from_millis(10));
    }
}

/// Four gateways, of which the last has no seat.
struct Fleet {
    folder: String,
    doors: Vec<Door>,
}

impl Fleet {
    fn new(name: &str) -> Fleet {
        let folder = format!("{}/fleet-{name}", env!("CARGO_TARGET_TMPDIR"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let fleet = Fleet { folder, doors: (0..4).map(|_| Door::new()).collect() };
        let peer = |n: usize| {
            let (address, council) = (fleet.doors[n].address, n < 3);
            format!("[[fleet.peer]]\nname = \"g{n}\"\naddress = \"{address}\"\ncouncil = {council}\n")
        };
        let peers: String = (0..4).map(peer).collect();
        for n in 0..4 {
            let text = format!(
                "[fleet]\nname = \"cases\"\ngateway = \"g{n}\"\nlisten = \"127.0.0.1:0\"\nlease = \"2s\"\nlineage = \"r\"\n{peers}"
            );
            std::fs::write(fleet.file(n), text).expect("a file");
        }
        let example = include_str!("../../../deploy/platform.example.json");
        let example =
            example.replace("127.0.0.1:7070", "127.0.0.1:0").replace("127.0.0.1:8500", "127.0.0.1:1");
        std::fs::write(format!("{}/config.json", fleet.folder), example).expect("a file");
        fleet
    }

    fn file(&self, n: usize) -> String {
        format!("{}/g{n}.toml", self.folder)
    }

    fn start(&self, n: usize) -> Process {
        let mut command = Command::new(PROGRAM);
        command.args(["--settings", &self.file(n), "run", "--fleet"]);
        command.env("ROUTER_CONFIG", format!("{}/config.json", self.folder)).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the built program");
        let log = Arc::<Mutex<String>>::default();
        let lines = BufReader::new(child.stderr.take().expect("a log")).lines().map_while(Result::ok);
        let kept = log.clone();
        spawn(move || lines.for_each(|l| *kept.lock().expect("lock") += &(l + "\n")));
        Process { child, log }
    }

    /// Starts one, and stands it behind its door.
    fn open(&self, n: usize) -> Process {
        let process = self.start(n);
        let link = process.address("the link listens address=");
        *self.doors[n].behind.lock().expect("lock") = Some(link);
        process
    }

    fn all(&self) -> Vec<Process> {
        let all: Vec<_> = (0..4).map(|n| self.open(n)).collect();
        for process in &all {
            wait_for("a session", || process.says("standing=in session"));
        }
        all
    }

    fn ask(&self, words: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command.args(["--settings", &self.file(0)]).args(words);
        command.output().expect("the built program")
    }

    fn json(&self, words: &[&str]) -> Value {
        let output = self.ask(words);
        serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {output:?}"))
    }
}

fn status(address: SocketAddr, request: &str) -> u16 {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    stream.write_all(request.as_bytes()).expect("written");
    let mut text = [0; 12];
    stream.read_exact(&mut text).expect("an answer");
    String::from_utf8_lossy(&text[9..]).parse().expect("a status")
}

fn ready(address: SocketAddr) -> u16 {
    status(address, "GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n")
}

fn look(address: SocketAddr, number: &str) -> u16 {
    let request = format!(
        "GET /timetable HTTP/1.1\r\nHost: b\r\nX-Request-ID: {number}\r\nX-Priority-Class: timetable\r\n\
         X-Tenant-Id: civica-centro\r\nCookie: k=1\r\nX-Timeout: 500m\r\n\r\n"
    );
    status(address, &request)
}

#[test]
fn staff_shut_a_gateway_out_and_whoever_could_not_be_asked_is_named() {
    let fleet = Fleet::new("staff");
    let mut all = fleet.all();
    let clients = all[3].address(" listening address=");
    assert_eq!(ready(clients), 200);
    assert!(fleet.ask(&["fleet", "out", "g3"]).status.success());
    wait_for("it is out", || ready(clients) == 503);
    assert_eq!(look(clients, "00000000000000aa"), 503, "what comes is refused");
    let met = fleet.json(&["audit", "--request", "00000000000000aa", "--json"]);
    let steps: Vec<&Value> =
        met["gateways"].as_array().into_iter().flatten().map(|g| &g["answer"]["steps"]).collect();
    assert_eq!(steps.iter().filter(|s| s[0]["kind"] == "Refuse").count(), 1, "{met:#}");
    assert!(fleet.ask(&["fleet", "in", "g3"]).status.success());
    wait_for("it is in again", || ready(clients) == 200);
    let wrong = fleet.ask(&["fleet", "out", "nobody"]);
    assert_eq!(wrong.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("g0, g1, g2, g3"));
    drop(all.pop());
    let asked = fleet.ask(&["audit"]);
    let text = String::from_utf8_lossy(&asked.stdout).into_owned();
    assert_eq!(asked.status.code(), Some(3), "{text}");
    assert!(
        text.contains("g3") && text.contains("could not be asked") && text.contains("incomplete"),
        "{text}"
    );
}

#[test]
fn a_second_process_of_a_name_waits_until_the_first_ones_session_is_over() {
    let fleet = Fleet::new("doubled");
    let mut all = fleet.all();
    let doubled = fleet.start(3);
    wait_for("a member says so", || all[..3].iter().any(|p| p.says("another process of \"g3\" is linked")));
    assert!(!doubled.says("standing=in session"));
    let killed = Instant::now();
    drop(all.pop());
    wait_for("the name is free", || doubled.says("standing=in session"));
    // The lease and its margin, less a quarter of it at most: the first one had renewed it by then.
    assert!(killed.elapsed() > Duration::from_millis(1400), "{:?}", killed.elapsed());
}

#[test]
fn strangers_are_turned_away_one_by_one_and_cost_nothing_else() {
    let fleet = Fleet::new("strangers");
    let all = fleet.all();
    let link = all[0].address("the link listens address=");
    let long = [&u32::MAX.to_be_bytes()[..], b"x"].concat();
    let foreign = [&18u32.to_be_bytes()[..], b"GET / HTTP/1.1\r\n\r\n"].concat();
    // The link's mark and a version that is not there.
    let version = [&5u32.to_be_bytes()[..], b"OVFL\x63"].concat();
    for (bytes, why) in [
        (long, "no frame of a fleet's link"),
        (foreign, "no frame of a fleet's link"),
        (version, "has version 99"),
    ] {
        let mut stream = TcpStream::connect(link).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream.write_all(&bytes).expect("written");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest); // a reset is an end too
        assert!(rest.is_empty(), "nothing is said to a stranger");
        wait_for(why, || all[0].says(why));
    }
    let seen = fleet.json(&["fleet", "status", "--json"]);
    assert_eq!(seen["complete"], true);
    for gateway in seen["gateways"].as_array().into_iter().flatten() {
        assert!(
            gateway["answer"]["standing"].as_str().is_some_and(|s| s.starts_with("in session")),
            "{gateway:#}"
        );
    }
}
