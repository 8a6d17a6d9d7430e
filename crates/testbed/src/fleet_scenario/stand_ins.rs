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
pub struct ServedRequest {
    /// The request's `X-Request-ID`.
    pub request_id: String,
    /// Number of the endpoint that received the request.
    pub endpoint: usize,
    /// When the endpoint had received the complete request.
    pub received_at: Duration,
}

/// A request that a client sent to its gateway.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The request's `X-Request-ID`.
    pub request_id: String,
    /// Number of the gateway that the request was sent to.
    pub gateway: usize,
    /// When the client started to send the request.
    pub sent_at: Duration,
    /// When the client received the response or gave up.
    pub ended_at: Duration,
    /// HTTP status of the response; none if there was no response or no connection.
    pub status: Option<u16>,
}

/// What the stand-ins around the gateways observed.
#[derive(Default)]
pub struct Observations {
    /// Requests that endpoints answered.
    pub served_requests: RefCell<Vec<ServedRequest>>,
    /// Requests that clients sent.
    pub client_requests: RefCell<Vec<ClientRequest>>,
    /// For each gateway, the indices of the endpoint lists that its discovery sent, with the times of sending.
    pub sent_lists: RefCell<BTreeMap<usize, Vec<(Duration, u64)>>>,
}

/// The test bed's clock, from which all observations of the stand-ins take their time.
#[derive(Clone, Copy, Debug)]
pub struct TestClock(pub Instant);

impl TestClock {
    /// Time since the clock was started.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Starts a stand-in endpoint that answers each request at once; returns its address.
///
/// # Errors
/// If no port is available.
pub async fn start_endpoint(
    number: usize,
    clock: TestClock,
    observations: Rc<Observations>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let observations = observations.clone();
            spawn_local(async move {
                let _ = stream.set_nodelay(true);
                let mut conn = Connection::new(stream);
                while let Ok(request) = conn.read(Kind::Request, || Duration::ZERO, |_, _| {}).await {
                    let id = request.header("x-request-id").unwrap_or_default().to_owned();
                    observations.served_requests.borrow_mut().push(ServedRequest {
                        request_id: id,
                        endpoint: number,
                        received_at: clock.now(),
                    });
                    if conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Endpoint lists, from which the discoveries of all gateways answer.
pub struct EndpointLists {
    endpoints: Vec<SocketAddr>,
    /// Draining endpoints, each with the index of the first list that marks it as draining.
    draining_from: RefCell<BTreeMap<usize, u64>>,
    newest_index: Cell<u64>,
    index_changes: watch::Sender<u64>,
}

impl EndpointLists {
    /// Creates the first list, in which no endpoint is draining.
    pub fn new(endpoints: Vec<SocketAddr>) -> Rc<EndpointLists> {
        Rc::new(EndpointLists {
            endpoints,
            draining_from: RefCell::default(),
            newest_index: Cell::new(1),
            index_changes: watch::Sender::new(1),
        })
    }

    /// Publishes the next list; the endpoint with the given number is draining from that list on.
    pub fn publish_next(&self, draining_endpoint: Option<usize>) {
        self.newest_index.set(self.newest_index.get() + 1);
        if let Some(endpoint) = draining_endpoint {
            self.draining_from.borrow_mut().insert(endpoint, self.newest_index.get());
        }
        self.index_changes.send_replace(self.newest_index.get());
    }

    /// Index of the newest endpoint list.
    pub fn newest_index(&self) -> u64 {
        self.newest_index.get()
    }

    /// Snapshot of the list with this index, in the format of the discovery protocol.
    pub fn snapshot(&self, list_index: u64) -> Value {
        let draining_from = self.draining_from.borrow();
        let entry = |(number, address): (usize, &SocketAddr)| {
            let is_draining =
                draining_from.get(&number).is_some_and(|first_index| *first_index <= list_index);
            json!({"name": format!("n{number}"), "address": address.to_string(), "zone": "a", "type": "m1", "group": 0,
                "status": if is_draining { "leaving" } else { "active" }, "weight": 1.0, "since_ms": 0})
        };
        json!({"index": list_index, "snapshot": true, "endpoints": self.endpoints.iter().enumerate().map(entry).collect::<Vec<_>>()})
    }
}

/// Starts the discovery stand-in of one gateway. While `frozen_index` holds an index, discovery sends no list with a higher index.
///
/// # Errors
/// If no port is available.
pub async fn start_discovery(
    gateway: usize,
    lists: Rc<EndpointLists>,
    frozen_index: Rc<Cell<Option<u64>>>,
    clock: TestClock,
    observations: Rc<Observations>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (lists, frozen_index, observations) =
                (lists.clone(), frozen_index.clone(), observations.clone());
            spawn_local(async move {
                let mut conn = Connection::new(stream);
                let Ok(poll) = conn.read(Kind::Request, || Duration::ZERO, |_, _| {}).await else { return };
                let First::Request { path, .. } = &poll.first else { return };
                let since_index =
                    path.split_once("since=").and_then(|(_, index)| index.parse().ok()).unwrap_or(0);
                let mut last_sent: u64 = since_index;
                let mut index_changes = lists.index_changes.subscribe();
                if conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
                    return;
                }
                loop {
                    let newest_index = frozen_index.get().unwrap_or(u64::MAX).min(lists.newest_index());
                    let line = if newest_index > last_sent {
                        last_sent = newest_index;
                        observations
                            .sent_lists
                            .borrow_mut()
                            .entry(gateway)
                            .or_default()
                            .push((clock.now(), newest_index));
                        lists.snapshot(newest_index).to_string() + "\n"
                    } else {
                        "\n".to_owned()
                    };
                    if conn.write(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await.is_err() {
                        return;
                    }
                    // An empty line at least every 500 ms shows the gateway that its watch is still open.
                    let _ = timeout(Duration::from_millis(500), index_changes.changed()).await;
                }
            });
        }
    });
    Ok(address)
}

/// Sends requests to one gateway at a fixed interval, over a keep-alive connection as long as the gateway leaves it open. `address` is
/// where the gateway accepts clients at that moment.
pub async fn run_client(
    gateway: usize,
    address: Rc<Cell<Option<SocketAddr>>>,
    interval: Duration,
    response_timeout: Duration,
    clock: TestClock,
    observations: Rc<Observations>,
) {
    let mut idle_conn: Option<(SocketAddr, Connection)> = None;
    for sequence in 0u64.. {
        sleep(interval).await;
        let Some(gateway_address) = address.get() else { continue };
        let request_id = format!("{:016x}", (gateway as u64 + 1) << 40 | sequence);
        let sent_at = clock.now();
        let exchange = async {
            let mut conn = match idle_conn.take().filter(|(connected_to, _)| *connected_to == gateway_address)
            {
                Some((_, conn)) => conn,
                None => Connection::new(TcpStream::connect(gateway_address).await.ok()?),
            };
            let head = format!(
                "GET /look?q=1 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {request_id}\r\nX-Priority-Class: look\r\n\
                 X-Tenant-Id: acme\r\nCookie: k=7f3a\r\nX-Timeout: 2000m\r\n\r\n"
            );
            conn.write(head.as_bytes()).await.ok()?;
            let response = conn.read(Kind::Answer, || Duration::ZERO, |_, _| {}).await.ok()?;
            let closes = response.header("connection") == Some("close");
            Some((response.status(), (!closes).then_some((gateway_address, conn))))
        };
        let outcome = timeout(response_timeout, exchange).await.ok().flatten();
        let status = outcome.as_ref().map(|(status, _)| *status);
        idle_conn = outcome.and_then(|(_, conn)| conn);
        observations.client_requests.borrow_mut().push(ClientRequest {
            request_id,
            gateway,
            sent_at,
            ended_at: clock.now(),
            status,
        });
    }
}
