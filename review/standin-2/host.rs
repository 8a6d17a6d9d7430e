//! A booking node: reads requests, works on each for a while and answers 200 with a body that names the request.

use crate::net::{respond, Message, Reader};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that has reached a host whole.
#[derive(Clone)]
pub struct Arrived {
    pub host: usize,
    pub id: String,
    pub first_byte_at: Instant,
    /// `X-Timeout`: how long the gateway says that it will wait.
    pub timeout: Option<Duration>,
}

/// What a host does with a request.
pub struct Work {
    pub takes: Duration,
    /// Whether the host hangs in the middle of the work: the request has run, and no answer comes.
    pub hangs: bool,
}

impl Work {
    /// Work that takes so long and is answered.
    pub fn of(takes: Duration) -> Work {
        Work { takes, hangs: false }
    }
}

/// How long a connection of a host that hangs stays open and silent.
const HANGS_FOR: Duration = Duration::from_secs(60);

pub type Plan = Arc<dyn Fn(usize, &Message) -> Work + Send + Sync>;

#[derive(Clone)]
pub struct Hosts {
    pub addresses: Vec<SocketAddr>,
    pub arrived: Arc<Mutex<Vec<Arrived>>>,
}

/// The body of the answer to a request: the request's id, padded.
pub fn body_of(id: &str) -> Vec<u8> {
    format!("{{\"answer-to\":\"{id}\",\"pad\":\"{}\"}}", "x".repeat(120)).into_bytes()
}

pub fn timeout_of(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at(text.len().checked_sub(1)?);
    let scale = match unit {
        "m" => 1e-3,
        "u" => 1e-6,
        _ => return None,
    };
    Duration::try_from_secs_f64(number.parse::<f64>().ok()? * scale).ok()
}

impl Hosts {
    /// Starts hosts on free loopback ports.
    pub fn start(count: usize, record: &Record, plan: Plan) -> std::io::Result<Hosts> {
        let arrived = Arc::new(Mutex::new(Vec::new()));
        let mut addresses = Vec::new();
        for host in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let (record, plan, arrived) = (record.clone(), plan.clone(), arrived.clone());
            thread::spawn(move || {
                let in_hand = Arc::new(AtomicUsize::new(0));
                for stream in listener.incoming().flatten() {
                    let (record, plan) = (record.clone(), plan.clone());
                    let (arrived, in_hand) = (arrived.clone(), in_hand.clone());
                    thread::spawn(move || {
                        let _ = serve(host, stream, &record, &plan, &arrived, &in_hand);
                    });
                }
            });
        }
        Ok(Hosts { addresses, arrived })
    }

    /// When the first bytes of the requests came that a host got after `limit`, in order.
    pub fn begun_after(&self, host: usize, limit: Instant) -> Vec<Instant> {
        let of_host = self.arrived().into_iter().filter(|arrived| arrived.host == host);
        let mut begun: Vec<Instant> = of_host.map(|a| a.first_byte_at).filter(|at| *at > limit).collect();
        begun.sort();
        begun
    }

    pub fn arrived(&self) -> Vec<Arrived> {
        self.arrived.lock().map(|arrived| arrived.clone()).unwrap_or_default()
    }
}

fn serve(
    host: usize,
    stream: TcpStream,
    record: &Record,
    plan: &Plan,
    arrived: &Mutex<Vec<Arrived>>,
    in_hand: &AtomicUsize,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?; // keepalive_s: an idle connection is closed
    let mut reader = Reader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = reader.message()? {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let timeout = request.header("x-timeout").and_then(timeout_of);
        record.line_at(
            request.last_byte_at,
            &format!("host{host} got {id} {} x-timeout {:?}", request.first, timeout),
        );
        if let Ok(mut arrived) = arrived.lock() {
            arrived.push(Arrived { host, id: id.clone(), first_byte_at: request.first_byte_at, timeout });
        }
        in_hand.fetch_add(1, Ordering::SeqCst);
        let work = plan(host, &request);
        thread::sleep(work.takes);
        if work.hangs {
            record.line(&format!("host{host} has run {id} and hangs"));
            thread::sleep(HANGS_FOR);
            return Ok(());
        }
        let held = in_hand.fetch_sub(1, Ordering::SeqCst) - 1;
        let report = format!("X-Server-Load: TEXT throughput=10.0, outstanding={held}\r\n");
        respond(&mut writer, "200 OK", &report, &body_of(&id))?;
        record.line(&format!("host{host} answered {id}"));
    }
    Ok(())
}
