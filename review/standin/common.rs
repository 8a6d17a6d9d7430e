//! Helpers that the cases share: the record, the gateway process, discovery, and a plain HTTP/1.1 reader.
//! Standard library only; every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a case that has not ended is stopped; the limit for a case is 120 s.
const CASE_LIMIT: Duration = Duration::from_secs(110);

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Opens the record, makes the temporary folder and starts the time limit. The first argument is the folder of the case.
pub fn begin() {
    START.get_or_init(Instant::now);
    let case = PathBuf::from(std::env::args().nth(1).expect("the folder of the case is the first argument"));
    let file = File::create(case.join("record.txt")).expect("create record.txt");
    RECORD.set(Mutex::new(file)).expect("the record is opened once");
    let folder = std::env::temp_dir().join(format!("weldworks-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("make a temporary folder");
    FOLDER.set(folder).expect("the folder is made once");
    record(&format!("trouble: {}", with_trouble()));
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        record("time limit of the case reached");
        finish(NOT_RUN);
    });
    std::panic::set_hook(Box::new(|panic| {
        record(&format!("the case could not run: {panic}"));
        finish(NOT_RUN);
    }));
}

/// Writes a line to the record, with the time since the start of the case.
pub fn record(text: &str) {
    let at = START.get_or_init(Instant::now).elapsed();
    let line = format!("{:9.4} {text}\n", at.as_secs_f64());
    let _ = io::stdout().write_all(line.as_bytes());
    if let Some(file) = RECORD.get() {
        let _ = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).write_all(line.as_bytes());
    }
}

/// Ends all processes that the case started, and the case itself.
pub fn finish(code: i32) -> ! {
    let pids = PIDS.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
    for pid in pids {
        signal(pid, "KILL");
    }
    if let Some(folder) = FOLDER.get() {
        let _ = fs::remove_dir_all(folder);
    }
    let verdict = match code {
        HELD => "held",
        BROKEN => "BROKEN",
        _ => "could not run",
    };
    record(&format!("result: {verdict} (exit {code})"));
    std::process::exit(code);
}

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {pid}")])
        .stderr(Stdio::null())
        .status();
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("find a free port")
}

extern "C" {
    fn prctl(option: i32, argument: u64, unused: u64, unused: u64, unused: u64) -> i32;
}

/// Has the system end a started process when the thread that started it ends, so that none outlives a case that is stopped by hand.
fn end_with_the_case(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: `prctl` with this option sets an attribute of the calling process, touches no memory and may be called after a fork.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        })
    }
}

/// A gateway, started with the command `run` of the deploy file.
pub struct Gateway {
    pub child: Child,
    pub listen: SocketAddr,
    pub management: SocketAddr,
    pub log: PathBuf,
}

fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("read the deploy file");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("the deploy file has `run`");
    line.trim().trim_matches('"').to_owned()
}

impl Gateway {
    /// Starts a gateway and waits until `GET /health/ready` answers 200.
    pub fn start(name: &str, discovery: SocketAddr, known: &str, settings: &str) -> Gateway {
        Gateway::start_with(name, discovery, known, settings, 192, 1024)
    }

    /// Starts a gateway with these limits.
    pub fn start_with(
        name: &str,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        memory_mb: usize,
        sockets: usize,
    ) -> Gateway {
        let listen = free_address();
        let management = free_address();
        let folder = FOLDER.get().expect("the case has begun").join(name);
        fs::create_dir_all(&folder).expect("make the gateway's folder");
        let config = folder.join("config.json");
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","management":"{management}","discovery":"{discovery}",
"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},"settings":{settings}}}"#
        );
        fs::write(&config, text).expect("write the configuration");
        let log = folder.join("log.txt");
        let mut command = Command::new("/bin/sh");
        let child = end_with_the_case(&mut command)
            .args(["-c", &run_command()])
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_MANAGEMENT", management.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).expect("make the gateway's log"))
            .spawn()
            .expect("start the gateway");
        PIDS.lock().expect("the list of processes").push(child.id());
        record(&format!("gateway {name}: process {}, clients at {listen}", child.id()));
        let gateway = Gateway { child, listen, management, log };
        let begun = Instant::now();
        while !gateway.is_ready() {
            assert!(begun.elapsed() < ms(20_000), "the gateway is not ready after 20 s");
            thread::sleep(ms(20));
        }
        record(&format!("gateway {name}: ready"));
        gateway
    }

    pub fn is_ready(&self) -> bool {
        let call = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(self.listen)?;
            stream.set_read_timeout(Some(ms(2000)))?;
            stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")?;
            let mut reader = BufReader::new(stream);
            Ok(read_head(&mut reader)?.status())
        };
        matches!(call(), Ok(200))
    }

    /// Makes a call to the second address and returns the status.
    pub fn manage(&self, method: &str, path: &str) -> io::Result<u16> {
        let mut stream = TcpStream::connect(self.management)?;
        stream.set_read_timeout(Some(ms(3000)))?;
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: staff\r\nContent-Length: 0\r\n\r\n")?;
        Ok(read_head(&mut BufReader::new(stream))?.status())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Copies the gateway's log into the record.
    pub fn record_log(&self) {
        if let Ok(text) = fs::read_to_string(&self.log) {
            for line in text.lines().take(200) {
                record(&format!("log: {line}"));
            }
        }
    }
}

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn length(&self) -> Option<usize> {
        self.headers.get("content-length")?.parse().ok()
    }
}

/// Reads a head; fails with `UnexpectedEof` where the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(head);
        }
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a body of known length.
pub fn read_body(reader: &mut impl Read, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = vec![0; head.length().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A request as a host received it.
pub struct Received {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Received {
    pub fn id(&self) -> &str {
        self.head.get("x-request-id")
    }
}

/// Starts a host: each connection carries one request at a time, which `answer` answers. `false` ends the connection.
pub fn start_host(
    name: &'static str,
    answer: impl Fn(&Received, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind the host's address");
    let address = listener.local_addr().expect("read the host's address");
    record(&format!("host {name}: at {address}"));
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(head) = read_head(&mut reader) {
                    let Ok(body) = read_body(&mut reader, &head) else { return };
                    if !answer(&Received { head, body }, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn respond(stream: &mut TcpStream, status: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// An entry of discovery's list.
pub fn entry(name: &str, address: SocketAddr, zone: &str, group: u32, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"std-2c","group":{group},"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

pub fn list(index: u64, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Starts discovery with a list that does not change: each watch gets the whole list, then an empty line every 2 s.
pub fn start_discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind discovery's address");
    let address = listener.local_addr().expect("read discovery's address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve_discovery(stream, &list));
        }
    });
    address
}

fn serve_discovery(stream: TcpStream, list: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let head = read_head(&mut BufReader::new(stream))?;
    if !head.start.contains("follow=1") {
        write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
        return Ok(());
    }
    write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(ms(2000));
        writer.write_all(b"1\r\n\n\r\n")?;
    }
}

/// A request of the sites' classes; `key` is the `Idempotency-Key` of a keyed class.
pub fn request(method: &str, class: &str, id: &str, timeout_ms: u64, key: Option<&str>, body: &[u8]) -> Vec<u8> {
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: civica-centro\r\nX-Timeout: {timeout_ms}m\r\n{key}{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Starts a proxy in front of `target` that delivers what either side writes one way `delay` later, as a network of that latency does.
/// An end of a side is passed on in the same way.
pub fn start_delay_proxy(target: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind the proxy's address");
    let address = listener.local_addr().expect("read the proxy's address");
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            if let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) {
                delay_direction(near, far_out, delay);
                delay_direction(far, near_out, delay);
            }
        }
    });
    address
}

fn delay_direction(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            if sender.send((Instant::now() + delay, buffer[..read].to_vec())).is_err() || read == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, data) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if data.is_empty() || to.write_all(&data).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}
