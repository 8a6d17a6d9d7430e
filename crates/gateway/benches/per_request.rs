//! Measures the gateway's processor time for a request and the latency that the gateway adds.
//!
//! Clients on a few connections send requests as fast as these are answered.
//! They send alternately to the endpoints directly and through the built gateway in one run, so that a drift of the machine's speed affects both.
//! Endpoints answer at once. The runs have 12 and 69 endpoints, and 12 endpoints with a fleet of three that keeps its audit log;
//! the other two gateways of the fleet are idle.
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
const ROUND_DURATION: Duration = Duration::from_secs(2);
const WARM_UP_DURATION: Duration = Duration::from_secs(1);
const CONNECTION_COUNT: usize = 8;

fn run_local<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("cannot build the runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// Starts endpoints that answer at once, on a thread of their own.
fn start_endpoints(count: usize) -> Vec<SocketAddr> {
    let (sender, addresses) = mpsc::channel();
    std::thread::spawn(move || {
        run_local(async move {
            let mut listening = Vec::new();
            for _ in 0..count {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind failed");
                listening.push(listener.local_addr().expect("no local address"));
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        spawn_local(serve(Connection::new(stream)));
                    }
                });
            }
            sender.send(listening).expect("the receiver has ended");
            std::future::pending::<()>().await;
        });
    });
    addresses.recv().expect("no endpoint addresses")
}

async fn serve(mut connection: Connection) {
    let answer = b"HTTP/1.1 200 OK\r\nX-Server-Load: TEXT qps=100.0, inflight=1\r\nContent-Length: 12\r\n\r\nHello there.";
    while connection.read(Kind::Request, || Duration::ZERO, |_, _| {}).await.is_ok() {
        if connection.write(answer).await.is_err() {
            return;
        }
    }
}

/// Writes the operators' settings files of a fleet of three, on ports that were free a moment ago.
fn fleet_files() -> Vec<String> {
    let listeners: Vec<_> =
        (0..3).map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("bind failed")).collect();
    let address = |n: usize| listeners[n].local_addr().expect("no local address");
    let peer =
        |n: usize| format!("[[fleet.peer]]\nname = \"g{n}\"\naddress = \"{}\"\ncouncil = true\n", address(n));
    let peers: String = (0..3).map(peer).collect();
    let file = |n: usize| {
        let path = format!("{}/bench-fleet-{n}.toml", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, format!("[fleet]\nname = \"bench\"\ngateway = \"g{n}\"\n{peers}"))
            .expect("file write failed");
        path
    };
    (0..3).map(file).collect()
}

/// Starts a gateway, as a member of a fleet if `fleet` names a settings file.
fn start_gateway(
    endpoints: &[SocketAddr],
    discovery: &ScriptedDiscovery,
    fleet: Option<&str>,
) -> (Child, SocketAddr) {
    let script = Script::parse("bench", "name = \"bench\"").expect("invalid script");
    let entry = |(n, address): (usize, &SocketAddr)| {
        json!({"name": format!("n{n:02}"), "address": address.to_string(), "zone": "via-dante", "type": "std-2c",
            "group": n / 3, "status": "active", "weight": 1.0, "since_ms": 0})
    };
    let known: Vec<Value> = endpoints.iter().enumerate().map(entry).collect();
    let config = json!({"name": "g0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "1", "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": true, "endpoints": known}, "settings": script.settings(0, 1)});
    let file = format!("{}/bench-{}.json", env!("CARGO_TARGET_TMPDIR"), endpoints.len());
    std::fs::write(&file, config.to_string()).expect("file write failed");
    let mut command = Command::new(env!("CARGO_BIN_EXE_weldworks-gateway"));
    command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    if let Some(settings) = fleet {
        command.args(["--settings", settings, "run", "--fleet"]);
    }
    let mut child = command.stderr(Stdio::piped()).spawn().expect("cannot start the gateway program");
    let mut log = BufReader::new(child.stderr.take().expect("no stderr pipe")).lines().map_while(Result::ok);
    let address = log.find_map(|l| listening(&l)).expect("no listening address in the log");
    std::thread::spawn(move || log.for_each(|line| eprintln!("gateway: {line}")));
    (child, address.parse().expect("invalid address"))
}

/// The processor time that a process has used.
fn cpu_time(process: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).expect("cannot read /proc");
    Duration::from_nanos(
        text.split_whitespace().next().and_then(|n| n.parse().ok()).expect("no processor time in schedstat"),
    )
}

/// Sends requests on every connection as fast as they are answered; returns all latencies and the number of requests that were not served.
fn measure_latencies(addresses: &[SocketAddr], duration: Duration) -> (Vec<Duration>, usize) {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    run_local(async {
        let clients: Vec<_> = (0..CONNECTION_COUNT)
            .map(|n| {
                let address = addresses[n % addresses.len()];
                spawn_local(async move {
                    let mut connection =
                        Connection::new(TcpStream::connect(address).await.expect("connect failed"));
                    let (end, mut latencies, mut unserved) = (Instant::now() + duration, Vec::new(), 0);
                    while Instant::now() < end {
                        let id = NUMBER.fetch_add(1, Ordering::Relaxed);
                        let text = format!(
                            "GET /timetable HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id:016x}\r\n\
                             X-Priority-Class: timetable\r\nX-Tenant-Id: civica-centro\r\nCookie: k={:x}\r\n\
                             X-Timeout: 600m\r\n\r\n",
                            id % 2400
                        );
                        let sent_at = Instant::now();
                        connection.write(text.as_bytes()).await.expect("write failed");
                        let read = connection
                            .read(Kind::Answer, || Duration::ZERO, |_, _| {})
                            .await
                            .expect("no answer");
                        latencies.push(sent_at.elapsed());
                        unserved += usize::from(read.status() != 200);
                    }
                    (latencies, unserved)
                })
            })
            .collect();
        let (mut all_latencies, mut unserved_count) = (Vec::new(), 0);
        for client in clients {
            let (latencies, unserved) = client.await.expect("client task panicked");
            all_latencies.extend(latencies);
            unserved_count += unserved;
        }
        (all_latencies, unserved_count)
    })
}

fn quantile(sorted: &[Duration], q: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e6
}

fn main() {
    // Cargo adds a flag of its own, which does not parse as a number.
    let rounds = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(ROUNDS);
    println!(
        "{rounds} rounds of {ROUND_DURATION:?}, {CONNECTION_COUNT} connections, direct and through the gateway by turns"
    );
    println!("nodes | fleet | CPU a request, us (min, median, max) | added latency, us: median (min, median, max) | p99 | requests a second | unserved");
    for (count, in_fleet) in [(12, false), (69, false), (12, true)] {
        let (endpoints, discovery) = (start_endpoints(count), ScriptedDiscovery::start());
        let files = if in_fleet { fleet_files() } else { Vec::new() };
        let other_gateways: Vec<_> =
            files.iter().skip(1).map(|file| start_gateway(&endpoints, &discovery, Some(file)).0).collect();
        let (mut gateway, address) = start_gateway(&endpoints, &discovery, files.first().map(String::as_str));
        let idle = cpu_time(gateway.id());
        std::thread::sleep(WARM_UP_DURATION * 3);
        let idle = (cpu_time(gateway.id()) - idle).as_secs_f64() / (WARM_UP_DURATION * 3).as_secs_f64();
        measure_latencies(&[address], WARM_UP_DURATION);
        let (mut cost, mut added, mut added_p99, mut rate, mut unserved) =
            (vec![], vec![], vec![], vec![], 0);
        for _ in 0..rounds {
            let (mut direct, _) = measure_latencies(&endpoints, ROUND_DURATION);
            let before = cpu_time(gateway.id());
            let (mut via_gateway, unserved_count) = measure_latencies(&[address], ROUND_DURATION);
            let spent = cpu_time(gateway.id()) - before;
            direct.sort_unstable();
            via_gateway.sort_unstable();
            cost.push(spent.as_secs_f64() * 1e6 / via_gateway.len() as f64);
            added.push(quantile(&via_gateway, 0.5) - quantile(&direct, 0.5));
            added_p99.push(quantile(&via_gateway, 0.99) - quantile(&direct, 0.99));
            rate.push(via_gateway.len() as f64 / ROUND_DURATION.as_secs_f64());
            unserved += unserved_count;
        }
        let min_median_max = |figures: &mut Vec<f64>| {
            figures.sort_by(f64::total_cmp);
            let last = figures.len() - 1;
            format!("{:.1}, {:.1}, {:.1}", figures[0], figures[last / 2], figures[last])
        };
        println!(
            "{count} | {} | {} | {} | {} | {} | {unserved} | idle {:.2}% of a core",
            if in_fleet { "on" } else { "off" },
            min_median_max(&mut cost),
            min_median_max(&mut added),
            min_median_max(&mut added_p99),
            min_median_max(&mut rate),
            idle * 100.0
        );
        for mut other_gateway in other_gateways {
            let _ = other_gateway.kill();
            let _ = other_gateway.wait();
        }
        let _ = gateway.kill(); // the measurement is complete
        let _ = gateway.wait();
    }
}
