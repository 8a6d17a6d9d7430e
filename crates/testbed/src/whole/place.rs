//! Stand-ins around the gateways of a run on real processes: endpoints, a discovery for each gateway, and clients. Each stand-in records
//! what it observed, with times of the test bed's own clock.

use crate::live::http::{Connection, First, Kind};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// A request that a stand-in endpoint received and answered.
#[derive(Clone, Debug)]
pub struct Served {
    /// The request's `X-Request-ID`.
    pub request: String,
    /// Number of the endpoint that received the request.
    pub node: usize,
    /// When the endpoint had received the complete request.
    pub at: Duration,
}

/// A request that a client sent to its gateway.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The request's `X-Request-ID`.
    pub request: String,
    /// Number of the gateway that the request was sent to.
    pub gateway: usize,
    /// When the client started to send the request.
    pub at: Duration,
    /// When the client received the response or gave up.
    pub until: Duration,
    /// Status of the response; none if there was no response or no connection.
    pub status: Option<u16>,
}

/// What the stand-ins around the gateways observed.
#[derive(Default)]
pub struct Books {
    /// Requests that endpoints answered.
    pub served: RefCell<Vec<Served>>,
    /// Requests that clients sent.
    pub asked: RefCell<Vec<Asked>>,
    /// For each gateway, the indices of the endpoint lists that its discovery sent, with the times of sending.
    pub listed: RefCell<BTreeMap<usize, Vec<(Duration, u64)>>>,
}

/// The test bed's clock, from which all observations of the stand-ins take their time.
#[derive(Clone, Copy, Debug)]
pub struct Clock(pub Instant);

impl Clock {
    /// Time since the clock was started.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Starts a stand-in endpoint that answers each request at once; returns its address.
///
/// # Errors
/// If no port is available.
pub async fn node(number: usize, clock: Clock, books: Rc<Books>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let books = books.clone();
            spawn_local(async move {
                let _ = stream.set_nodelay(true);
                let mut wire = Connection::new(stream);
                while let Ok(request) = wire.read(Kind::Request, || Duration::ZERO, |_, _| {}).await {
                    let id = request.header("x-request-id").unwrap_or_default().to_owned();
                    books.served.borrow_mut().push(Served { request: id, node: number, at: clock.now() });
                    if wire.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Endpoint lists, from which the discoveries of all gateways answer.
pub struct Lists {
    nodes: Vec<SocketAddr>,
    /// Draining endpoints, each with the index of the first list that marks it as draining.
    leaving: RefCell<BTreeMap<usize, u64>>,
    index: Cell<u64>,
    changed: watch::Sender<u64>,
}

impl Lists {
    /// The first list, of these endpoints, none of them draining.
    pub fn new(nodes: Vec<SocketAddr>) -> Rc<Lists> {
        Rc::new(Lists {
            nodes,
            leaving: RefCell::default(),
            index: Cell::new(1),
            changed: watch::Sender::new(1),
        })
    }

    /// Publishes the next list; the endpoint with the given number is draining from that list on.
    pub fn next(&self, leaves: Option<usize>) {
        self.index.set(self.index.get() + 1);
        if let Some(node) = leaves {
            self.leaving.borrow_mut().insert(node, self.index.get());
        }
        self.changed.send_replace(self.index.get());
    }

    /// Index of the newest list.
    pub fn index(&self) -> u64 {
        self.index.get()
    }

    /// Snapshot of the list with this index, in the format of the discovery protocol.
    pub fn whole(&self, index: u64) -> Value {
        let leaving = self.leaving.borrow();
        let entry = |(n, address): (usize, &SocketAddr)| {
            let leaves = leaving.get(&n).is_some_and(|since| *since <= index);
            json!({"name": format!("n{n}"), "address": address.to_string(), "zone": "a", "type": "m1", "group": 0,
                "status": if leaves { "leaving" } else { "active" }, "weight": 1.0, "since_ms": 0})
        };
        json!({"index": index, "snapshot": true, "endpoints": self.nodes.iter().enumerate().map(entry).collect::<Vec<_>>()})
    }
}

/// Starts the discovery stand-in of one gateway. While `stuck` holds an index, discovery sends no list with a higher index.
///
/// # Errors
/// If no port is available.
pub async fn register(
    gateway: usize,
    lists: Rc<Lists>,
    stuck: Rc<Cell<Option<u64>>>,
    clock: Clock,
    books: Rc<Books>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (lists, stuck, books) = (lists.clone(), stuck.clone(), books.clone());
            spawn_local(async move {
                let mut wire = Connection::new(stream);
                let Ok(call) = wire.read(Kind::Request, || Duration::ZERO, |_, _| {}).await else { return };
                let First::Request { path, .. } = &call.first else { return };
                let since = path.split_once("since=").and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
                let mut told: u64 = since;
                let mut changed = lists.changed.subscribe();
                if wire.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
                    return;
                }
                loop {
                    let newest = stuck.get().unwrap_or(u64::MAX).min(lists.index());
                    let line = if newest > told {
                        told = newest;
                        books.listed.borrow_mut().entry(gateway).or_default().push((clock.now(), newest));
                        lists.whole(newest).to_string() + "\n"
                    } else {
                        "\n".to_owned()
                    };
                    if wire.write(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await.is_err() {
                        return;
                    }
                    // An empty line at least every 500 ms shows the gateway that its watch is still open.
                    let _ = timeout(Duration::from_millis(500), changed.changed()).await;
                }
            });
        }
    });
    Ok(address)
}

/// Sends requests to one gateway at a fixed interval, over a keep-alive connection as long as the gateway leaves it open. `address` is
/// where the gateway accepts clients at that moment.
pub async fn client(
    gateway: usize,
    address: Rc<Cell<Option<SocketAddr>>>,
    every: Duration,
    patience: Duration,
    clock: Clock,
    books: Rc<Books>,
) {
    let mut kept: Option<(SocketAddr, Connection)> = None;
    for n in 0u64.. {
        sleep(every).await;
        let Some(to) = address.get() else { continue };
        let request = format!("{:016x}", (gateway as u64 + 1) << 40 | n);
        let at = clock.now();
        let asking = async {
            let mut wire = match kept.take().filter(|(known, _)| *known == to) {
                Some((_, wire)) => wire,
                None => Connection::new(TcpStream::connect(to).await.ok()?),
            };
            let head = format!(
                "GET /look?q=1 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {request}\r\nX-Priority-Class: look\r\n\
                 X-Tenant-Id: acme\r\nCookie: k=7f3a\r\nX-Timeout: 2000m\r\n\r\n"
            );
            wire.write(head.as_bytes()).await.ok()?;
            let answer = wire.read(Kind::Answer, || Duration::ZERO, |_, _| {}).await.ok()?;
            let close = answer.header("connection") == Some("close");
            Some((answer.status(), (!close).then_some((to, wire))))
        };
        let answered = timeout(patience, asking).await.ok().flatten();
        let status = answered.as_ref().map(|(status, _)| *status);
        kept = answered.and_then(|(_, wire)| wire);
        books.asked.borrow_mut().push(Asked { request, gateway, at, until: clock.now(), status });
    }
}
