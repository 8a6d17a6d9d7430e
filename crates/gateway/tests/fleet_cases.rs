//! A fleet of real processes under foreign connections, a name that two processes use, and administrators' calls.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use weldworks_testbed::run_folder::own_run_folder;

const PROGRAM: &str = env!("CARGO_BIN_EXE_weldworks-gateway");
const TIMEOUT: Duration = Duration::from_secs(60);

/// A relay that listens on a port of the kernel's choice before the gateway behind the relay has started.
#[derive(Clone)]
struct Relay {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Relay {
    fn new() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
        let relay =
            Relay { address: listener.local_addr().expect("no local address"), target: Arc::default() };
        let target = relay.target.clone();
        spawn(move || {
            for client in listener.incoming().flatten() {
                let Some(gateway) = *target.lock().expect("lock poisoned") else { continue };
                let Ok(gateway) = TcpStream::connect(gateway) else { continue };
                for (mut source, mut destination) in [
                    (
                        client.try_clone().expect("clone of the stream failed"),
                        gateway.try_clone().expect("clone of the stream failed"),
                    ),
                    (gateway, client),
                ] {
                    spawn(move || {
                        let _ = std::io::copy(&mut source, &mut destination);
                        let _ = destination.shutdown(std::net::Shutdown::Write);
                    });
                }
            }
        });
        relay
    }
}

struct Process {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Process {
    fn logs(&self, expected: &str) -> bool {
        self.log.lock().expect("lock poisoned").contains(expected)
    }

    /// The address that follows `prefix` in the log of the process.
    fn address(&self, prefix: &str) -> SocketAddr {
        let find = || {
            let log = self.log.lock().expect("lock poisoned");
            log.lines().find_map(|l| l.split_once(prefix)?.1.trim().parse().ok())
        };
        wait_for(prefix, || find().is_some());
        find().expect("no address in the log")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("{}", self.log.lock().expect("lock poisoned"));
        }
    }
}

fn wait_for(expected: &str, mut condition: impl FnMut() -> bool) {
    let waiting_since = Instant::now();
    while !condition() {
        assert!(waiting_since.elapsed() < TIMEOUT, "timed out waiting for: {expected}");
        sleep(Duration::from_millis(10));
    }
}

/// Four gateways; the last gateway has no replica of the consensus group.
struct Fleet {
    folder: String,
    relays: Vec<Relay>,
}

impl Fleet {
    fn new(name: &str) -> Fleet {
        let folder = format!("{}/fleet-{name}", own_run_folder(env!("CARGO_TARGET_TMPDIR")));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("cannot create the directory");
        let fleet = Fleet { folder, relays: (0..4).map(|_| Relay::new()).collect() };
        let peer = |n: usize| {
            let (address, council) = (fleet.relays[n].address, n < 3);
            format!("[[fleet.peer]]\nname = \"g{n}\"\naddress = \"{address}\"\ncouncil = {council}\n")
        };
        let peers: String = (0..4).map(peer).collect();
        for n in 0..4 {
            let text = format!(
                "[fleet]\nname = \"cases\"\ngateway = \"g{n}\"\nlisten = \"127.0.0.1:0\"\nlease = \"2s\"\nlineage = \"r\"\n{peers}"
            );
            std::fs::write(fleet.settings_file(n), text).expect("file write failed");
        }
        let example = include_str!("../../../deploy/platform.example.json");
        let example =
            example.replace("127.0.0.1:7070", "127.0.0.1:0").replace("127.0.0.1:8500", "127.0.0.1:1");
        std::fs::write(format!("{}/config.json", fleet.folder), example).expect("file write failed");
        fleet
    }

    fn settings_file(&self, n: usize) -> String {
        format!("{}/g{n}.toml", self.folder)
    }

    fn start(&self, n: usize) -> Process {
        let mut command = Command::new(PROGRAM);
        command.args(["--settings", &self.settings_file(n), "run", "--fleet"]);
        command.env("ROUTER_CONFIG", format!("{}/config.json", self.folder)).stderr(Stdio::piped());
        let mut child = command.spawn().expect("cannot start the gateway program");
        let log = Arc::<Mutex<String>>::default();
        let lines =
            BufReader::new(child.stderr.take().expect("no stderr pipe")).lines().map_while(Result::ok);
        let collected = log.clone();
        spawn(move || lines.for_each(|l| *collected.lock().expect("lock poisoned") += &(l + "\n")));
        Process { child, log }
    }

    /// Starts gateway `n`, and forwards its relay to the address that its link listens on.
    fn start_behind_relay(&self, n: usize) -> Process {
        let process = self.start(n);
        let link = process.address("the link listens address=");
        *self.relays[n].target.lock().expect("lock poisoned") = Some(link);
        process
    }

    fn start_all(&self) -> Vec<Process> {
        let processes: Vec<_> = (0..4).map(|n| self.start_behind_relay(n)).collect();
        for process in &processes {
            wait_for("a session of each process", || process.logs("standing=in session"));
        }
        processes
    }

    fn run_command(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command.args(["--settings", &self.settings_file(0)]).args(arguments);
        command.output().expect("cannot start the gateway program")
    }

    fn json_output(&self, arguments: &[&str]) -> Value {
        let output = self.run_command(arguments);
        serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {output:?}"))
    }
}

fn status(address: SocketAddr, request: &str) -> u16 {
    let mut stream = TcpStream::connect(address).expect("connect failed");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set_read_timeout failed");
    stream.write_all(request.as_bytes()).expect("write failed");
    let mut text = [0; 12];
    stream.read_exact(&mut text).expect("no answer");
    String::from_utf8_lossy(&text[9..]).parse().expect("invalid status code")
}

fn ready_status(address: SocketAddr) -> u16 {
    status(address, "GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n")
}

fn request_status(address: SocketAddr, request_id: &str) -> u16 {
    let request = format!(
        "GET /timetable HTTP/1.1\r\nHost: b\r\nX-Request-ID: {request_id}\r\nX-Priority-Class: timetable\r\n\
         X-Tenant-Id: civica-centro\r\nCookie: k=1\r\nX-Timeout: 500m\r\n\r\n"
    );
    status(address, &request)
}

#[test]
fn administrator_fences_a_gateway_and_unreachable_gateways_are_named() {
    let fleet = Fleet::new("staff");
    let mut processes = fleet.start_all();
    let client_address = processes[3].address(" listening address=");
    assert_eq!(ready_status(client_address), 200);
    assert!(fleet.run_command(&["fleet", "out", "g3"]).status.success());
    wait_for("gateway g3 to be fenced", || ready_status(client_address) == 503);
    assert_eq!(
        request_status(client_address, "00000000000000aa"),
        503,
        "a fenced gateway must reject requests"
    );
    let audit_output = fleet.json_output(&["audit", "--request", "00000000000000aa", "--json"]);
    let steps: Vec<&Value> =
        audit_output["gateways"].as_array().into_iter().flatten().map(|g| &g["answer"]["steps"]).collect();
    assert_eq!(steps.iter().filter(|s| s[0]["kind"] == "Refuse").count(), 1, "{audit_output:#}");
    assert!(fleet.run_command(&["fleet", "in", "g3"]).status.success());
    wait_for("gateway g3 to be unfenced", || ready_status(client_address) == 200);
    let unknown_gateway = fleet.run_command(&["fleet", "out", "nobody"]);
    assert_eq!(unknown_gateway.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&unknown_gateway.stderr).contains("g0, g1, g2, g3"));
    drop(processes.pop());
    let audit = fleet.run_command(&["audit"]);
    let text = String::from_utf8_lossy(&audit.stdout).into_owned();
    assert_eq!(audit.status.code(), Some(3), "{text}");
    assert!(
        text.contains("g3") && text.contains("could not be asked") && text.contains("incomplete"),
        "{text}"
    );
}

#[test]
fn second_process_with_the_same_name_waits_for_the_end_of_the_first_session() {
    let fleet = Fleet::new("doubled");
    let mut processes = fleet.start_all();
    let second_process = fleet.start(3);
    wait_for("the report", || processes[..3].iter().any(|p| p.logs("another process of \"g3\" is linked")));
    assert!(!second_process.logs("standing=in session"));
    let killed = Instant::now();
    drop(processes.pop());
    wait_for("the second process to get a session", || second_process.logs("standing=in session"));
    // The second process waits for the 2 s lease and its margin, less a quarter of the lease at most: the first process had renewed its lease by then.
    assert!(killed.elapsed() > Duration::from_millis(1400), "{:?}", killed.elapsed());
}

#[test]
fn foreign_connections_are_rejected_and_the_fleet_stays_in_session() {
    let fleet = Fleet::new("strangers");
    let processes = fleet.start_all();
    let link = processes[0].address("the link listens address=");
    let long = [&u32::MAX.to_be_bytes()[..], b"x"].concat();
    let foreign = [&18u32.to_be_bytes()[..], b"GET / HTTP/1.1\r\n\r\n"].concat();
    // The magic bytes of the fleet link, followed by a version that does not exist.
    let version = [&5u32.to_be_bytes()[..], b"OVFL\x63"].concat();
    for (bytes, reason) in [
        (long, "no frame of a fleet's link"),
        (foreign, "no frame of a fleet's link"),
        (version, "has version 99"),
    ] {
        let mut stream = TcpStream::connect(link).expect("connect failed");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set_read_timeout failed");
        stream.write_all(&bytes).expect("write failed");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest); // a reset ends the connection too
        assert!(rest.is_empty(), "a foreign connection must receive no bytes");
        wait_for(reason, || processes[0].logs(reason));
    }
    let status_output = fleet.json_output(&["fleet", "status", "--json"]);
    assert_eq!(status_output["complete"], true);
    for gateway in status_output["gateways"].as_array().into_iter().flatten() {
        assert!(
            gateway["answer"]["standing"].as_str().is_some_and(|s| s.starts_with("in session")),
            "{gateway:#}"
        );
    }
}
