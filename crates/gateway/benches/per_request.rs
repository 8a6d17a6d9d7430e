//! What the gateway costs: its processor time for a request, and the latency it adds.
//!
//! Clients ask as fast as they are answered on a few connections, directly at the nodes and through the built gateway
//! by turns in one run, so that a machine whose speed drifts moves both. Nodes answer at once. At 12 and at 69 nodes, and at 12 in
//! a fleet of three that books what it does; the other two are idle.
//!
//!     cargo bench -p weldworks-gateway [-- ROUNDS]

use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use weldworks_testbed::live::gateways::listening;
use weldworks_testbed::live::http::{Connection, Kind};
use weldworks_testbed::script::Script;
use weldworks_testbed::scripted::ScriptedDiscovery;

const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_secs(2);
const WARM_UP: Duration = Duration::from_secs(1);
const CONNECTIONS: usize = 8;

fn local<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// Nodes that answer at once, on a thread of their own.
fn start_nodes(count: usize) -> Vec<SocketAddr> {
    let (sender, addresses) = mpsc::channel();
    std::thread::spawn(move || {
        local(async move {
            let mut listening = Vec::new();
            for _ in 0..count {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                listening.push(listener.local_addr().expect("an address"));
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        spawn_local(serve(Connection::new(stream)));
                    }
                });
            }
            sender.send(listening).expect("somebody waits for it");
            std::future::pending::<()>().await;
        });
    });
    addresses.recv().expect("nodes")
}

async fn serve(mut wire: Connection) {
    let answer = b"HTTP/1.1 200 OK\r\nX-Server-Load: TEXT qps=100.0, inflight=1\r\nContent-Length: 12\r\n\r\nHello there.";
    while wire.read(Kind::Request, || Duration::ZERO, |_, _| {}).await.is_ok() {
        if wire.write(answer).await.is_err() {
            return;
        }
    }
}

/// The operator's files of a fleet of three, on ports that were free a moment ago.
fn fleet_files() -> Vec<String> {
    let free: Vec<_> = (0..3).map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let address = |n: usize| free[n].local_addr().expect("an address");
    let peer =
        |n: usize| format!("[[fleet.peer]]\nname = \"g{n}\"\naddress = \"{}\"\ncouncil = true\n", address(n));
    let peers: String = (0..3).map(peer).collect();
    let file = |n: usize| {
        let path = format!("{}/bench-fleet-{n}.toml", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, format!("[fleet]\nname = \"bench\"\ngateway = \"g{n}\"\n{peers}"))
            .expect("a file");
        path
    };
    (0..3).map(file).collect()
}

/// A gateway, in a fleet where a file says so.
fn start_gateway(
    nodes: &[SocketAddr],
    register: &ScriptedDiscovery,
    fleet: Option<&str>,
) -> (Child, SocketAddr) {
    let script = Script::parse("bench", "name = \"bench\"").expect("a script");
    let entry = |(n, address): (usize, &SocketAddr)| {
        json!({"name": format!("n{n:02}"), "address": address.to_string(), "zone": "via-dante", "type": "std-2c",
            "group": n / 3, "status": "active", "weight": 1.0, "since_ms": 0})
    };
    let known: Vec<Value> = nodes.iter().enumerate().map(entry).collect();
    let config = json!({"name": "g0", "listen": "127.0.0.1:0", "discovery": register.address.to_string(),
        "seed": "1", "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": true, "endpoints": known}, "settings": script.settings(0, 1)});
    let file = format!("{}/bench-{}.json", env!("CARGO_TARGET_TMPDIR"), nodes.len());
    std::fs::write(&file, config.to_string()).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_weldworks-gateway"));
    command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    if let Some(settings) = fleet {
        command.args(["--settings", settings, "run", "--fleet"]);
    }
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the built gateway");
    let mut log = BufReader::new(child.stderr.take().expect("a log")).lines().map_while(Result::ok);
    let address = log.find_map(|l| listening(&l)).expect("an address");
    std::thread::spawn(move || log.for_each(|line| eprintln!("gateway: {line}")));
    (child, address.parse().expect("an address"))
}

/// The time that a process has spent on a processor.
fn cpu(process: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).expect("Linux");
    Duration::from_nanos(text.split_whitespace().next().and_then(|n| n.parse().ok()).expect("a number"))
}

/// Asks on every connection as fast as it is answered; gives each latency, and how many were not served.
fn ask(to: &[SocketAddr], lasts: Duration) -> (Vec<Duration>, usize) {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    local(async {
        let clients: Vec<_> = (0..CONNECTIONS)
            .map(|n| {
                let to = to[n % to.len()];
                spawn_local(async move {
                    let mut wire = Connection::new(TcpStream::connect(to).await.expect("a connection"));
                    let (end, mut latencies, mut unserved) = (Instant::now() + lasts, Vec::new(), 0);
                    while Instant::now() < end {
                        let id = NUMBER.fetch_add(1, Ordering::Relaxed);
                        let text = format!(
                            "GET /timetable HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id:016x}\r\n\
                             X-Priority-Class: timetable\r\nX-Tenant-Id: civica-centro\r\nCookie: k={:x}\r\n\
                             X-Timeout: 600m\r\n\r\n",
                            id % 2400
                        );
                        let asked = Instant::now();
                        wire.write(text.as_bytes()).await.expect("an open connection");
                        let read =
                            wire.read(Kind::Answer, || Duration::ZERO, |_, _| {}).await.expect("an answer");
                        latencies.push(asked.elapsed());
                        unserved += usize::from(read.status() != 200);
                    }
                    (latencies, unserved)
                })
            })
            .collect();
        let (mut all, mut none) = (Vec::new(), 0);
        for client in clients {
            let (latencies, unserved) = client.await.expect("a client");
            all.extend(latencies);
            none += unserved;
        }
        (all, none)
    })
}

fn quantile(sorted: &[Duration], q: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e6
}

fn main() {
    // Cargo adds a flag of its own, which is no number.
    let rounds = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(ROUNDS);
    println!(
        "{rounds} rounds of {ROUND:?}, {CONNECTIONS} connections, direct and through the gateway by turns"
    );
    println!("nodes | fleet | CPU a request, us (min, median, max) | added latency, us: median (min, median, max) | p99 | requests a second | unserved");
    for (count, in_fleet) in [(12, false), (69, false), (12, true)] {
        let (nodes, register) = (start_nodes(count), ScriptedDiscovery::start());
        let files = if in_fleet { fleet_files() } else { Vec::new() };
        let others: Vec<_> =
            files.iter().skip(1).map(|file| start_gateway(&nodes, &register, Some(file)).0).collect();
        let (mut gateway, address) = start_gateway(&nodes, &register, files.first().map(String::as_str));
        let idle = cpu(gateway.id());
        std::thread::sleep(WARM_UP * 3);
        let idle = (cpu(gateway.id()) - idle).as_secs_f64() / (WARM_UP * 3).as_secs_f64();
        ask(&[address], WARM_UP);
        let (mut cost, mut added, mut added_p99, mut rate, mut unserved) =
            (vec![], vec![], vec![], vec![], 0);
        for _ in 0..rounds {
            let (mut direct, _) = ask(&nodes, ROUND);
            let before = cpu(gateway.id());
            let (mut through, none) = ask(&[address], ROUND);
            let spent = cpu(gateway.id()) - before;
            direct.sort_unstable();
            through.sort_unstable();
            cost.push(spent.as_secs_f64() * 1e6 / through.len() as f64);
            added.push(quantile(&through, 0.5) - quantile(&direct, 0.5));
            added_p99.push(quantile(&through, 0.99) - quantile(&direct, 0.99));
            rate.push(through.len() as f64 / ROUND.as_secs_f64());
            unserved += none;
        }
        let three = |figures: &mut Vec<f64>| {
            figures.sort_by(f64::total_cmp);
            let last = figures.len() - 1;
            format!("{:.1}, {:.1}, {:.1}", figures[0], figures[last / 2], figures[last])
        };
        println!(
            "{count} | {} | {} | {} | {} | {} | {unserved} | idle {:.2}% of a core",
            if in_fleet { "on" } else { "off" },
            three(&mut cost),
            three(&mut added),
            three(&mut added_p99),
            three(&mut rate),
            idle * 100.0
        );
        for mut other in others {
            let _ = other.kill();
            let _ = other.wait();
        }
        let _ = gateway.kill(); // it has done its work
        let _ = gateway.wait();
    }
}
