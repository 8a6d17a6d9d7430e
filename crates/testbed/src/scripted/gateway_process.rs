//! A process of the built gateway, as a test controls it.

use super::{settings, Client, HttpMessage, Observations, Program, ScriptedDiscovery, LONG};
use crate::live::gateways::listening;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A gateway process, which is killed when the value is dropped.
pub struct Gateway {
    child: Child,
    /// The address at which the gateway takes requests.
    pub address: String,
    /// The address of the gateway's admin API, if it has one.
    pub management: Option<String>,
}

/// Starts the built program with a configuration file of this text.
pub fn spawn_gateway(program: &Program, name: &str, text: &str) -> Child {
    command(program, name, text).spawn().expect("starting the built gateway failed")
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

/// Replaces the configuration file with a file of this text.
pub fn write_config(program: &Program, name: &str, text: &str) {
    let new = format!("{}.new", config_path(program, name));
    std::fs::write(&new, text).expect("writing the configuration failed");
    std::fs::rename(new, config_path(program, name)).expect("replacing the configuration failed");
}

/// A configuration with this discovery address, limit of sockets and known endpoints.
pub fn config(discovery: &str, sockets: usize, known: &[Value]) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "discovery": discovery,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"index": 41, "snapshot": true, "endpoints": known}, "settings": settings()})
}

impl Gateway {
    /// Starts a gateway with these known endpoints and waits until it listens.
    pub fn start(
        program: &Program,
        name: &str,
        discovery: &ScriptedDiscovery,
        sockets: usize,
        known: &[Value],
    ) -> Gateway {
        // The environment variable has precedence over the file: nothing listens at the address in the file.
        Gateway::start_with(program, name, discovery, &config("127.0.0.1:1", sockets, known))
    }

    /// Starts a gateway with the given configuration and waits until it listens.
    pub fn start_with(
        program: &Program,
        name: &str,
        discovery: &ScriptedDiscovery,
        config: &Value,
    ) -> Gateway {
        let mut command = command(program, name, &config.to_string());
        command.env("ROUTER_DISCOVERY", discovery.address.to_string());
        Gateway::running(command)
    }

    /// Starts a gateway that inherits the client listener of this process, as descriptor 4.
    pub fn start_shared(
        program: &Program,
        name: &str,
        discovery: &ScriptedDiscovery,
        config: &Value,
        listener: &TcpListener,
    ) -> Gateway {
        Gateway::start_sharing(program, name, discovery, config, listener, "")
    }

    /// Starts a gateway that inherits the client listener of this process, with a folder that all processes of the gateway share; no folder if the name is empty.
    pub fn start_sharing(
        program: &Program,
        name: &str,
        discovery: &ScriptedDiscovery,
        config: &Value,
        listener: &TcpListener,
        folder: &str,
    ) -> Gateway {
        let direct = command(program, name, &config.to_string());
        let mut command = Command::new("sh");
        command.args(["-c", "exec 4<&0 </dev/null; exec \"$0\"", program.path]);
        for (key, value) in direct.get_envs() {
            match value {
                Some(value) => command.env(key, value),
                None => command.env_remove(key),
            };
        }
        let inherited: std::os::fd::OwnedFd = listener.try_clone().expect("cloning the stream failed").into();
        command.stdin(inherited).stderr(Stdio::piped()).env("ROUTER_INHERITED_FD", "4");
        command.env("ROUTER_DISCOVERY", discovery.address.to_string()).env_remove("TMPDIR");
        if !folder.is_empty() {
            command.env("TMPDIR", folder);
        }
        Gateway::running(command)
    }

    fn running(mut command: Command) -> Gateway {
        let mut child = command.spawn().expect("starting the built gateway failed");
        let mut management = None;
        let mut log = BufReader::new(child.stderr.take().expect("the gateway's log is not captured"))
            .lines()
            .map_while(Result::ok);
        let address = log.find_map(|line| {
            let admin_address = line.split_once(" calls are answered address=");
            management = admin_address.map(|(_, address)| address.trim().to_owned()).or(management.take());
            listening(&line)
        });
        spawn(move || log.for_each(|line| eprintln!("gateway: {line}")));
        Gateway { child, address: address.expect("the gateway's log states no address"), management }
    }

    /// Sends a request to the admin API and returns its answer.
    pub fn call(&self, method: &str, path: &str) -> HttpMessage {
        let mut stream = self.connect_admin();
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: staff\r\n\r\n")
            .expect("writing to the admin API failed");
        HttpMessage::read(&mut BufReader::new(stream)).expect("the admin API did not answer")
    }

    /// A connection to the admin API.
    pub fn connect_admin(&self) -> TcpStream {
        let address = self.management.as_ref().expect("the gateway has no admin API");
        let stream = TcpStream::connect(address).expect("connecting to the gateway failed");
        stream.set_read_timeout(Some(LONG)).expect("setting the read timeout failed");
        stream
    }

    /// The value of a metric, by its name and labels as they are written in the metrics.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let text = String::from_utf8(self.call("GET", "/_vars").body).expect("the metrics are not text");
        text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Whether the gateway process is running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("reading the state of the gateway process failed").is_none()
    }

    /// The peak memory of the gateway process, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("reading the process status failed");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("the process status has no peak memory");
        line.trim().trim_end_matches(" kB").parse().expect("the value is not a number")
    }

    /// The processor time that the gateway process has used so far.
    pub fn cpu(&self) -> Duration {
        // The first number is the time on a processor, in nanoseconds, of the one thread that does the work.
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))
            .expect("reading the processor time failed");
        let spent = text.split_whitespace().next().and_then(|ns| ns.parse().ok());
        Duration::from_nanos(spent.expect("the value is not a number"))
    }

    /// How many descriptors the gateway process has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("reading the open descriptors failed")
            .count()
    }

    /// Opens a connection of a new client.
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(&self.address).expect("connecting to the gateway failed");
        stream.set_read_timeout(Some(LONG)).expect("setting the read timeout failed");
        Client {
            reader: BufReader::new(stream),
            unanswered: VecDeque::new(),
            observations: Observations::of_this_test(),
        }
    }

    /// Sends a request on a new connection and returns its answer.
    pub fn request(&self, class: &str) -> HttpMessage {
        self.connect().request(class)
    }

    /// Sends the gateway process a signal, given by its name without SIG.
    pub fn signal(&self, signal: &str) {
        let kill = Command::new("sh").arg("-c").arg(format!("kill -{signal} {}", self.child.id())).status();
        assert!(kill.expect("starting a shell failed").success());
    }

    /// Waits until the gateway process ends.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) =
                self.child.try_wait().expect("reading the state of the gateway process failed")
            {
                return status;
            }
            assert!(start.elapsed() < LONG, "the gateway has not ended in time");
            sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if !std::thread::panicking() {
            Observations::of_this_test().check();
        }
    }
}
