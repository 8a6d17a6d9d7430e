//! The discovery stand-in on sockets. Each gateway has an address of its own, so that it is known which gateway was sent what.

use super::endpoints::LiveEndpoint;
use super::http::{Connection, Kind};
use super::RunState;
use crate::checker::EndpointNotice;
use crate::discovery::{Discovery, EndpointList, EndpointStatus, ListEntry, PollResult};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

/// Interval of the empty lines on a watch without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The discovery stand-in of a run.
pub struct LiveDiscovery {
    run: Rc<RunState>,
    model: RefCell<Discovery>,
    endpoints: Vec<Rc<LiveEndpoint>>,
    changed: Notify,
    /// The weight of each endpoint that gateways are sent.
    weights: RefCell<Vec<f64>>,
    /// How often the weights have been updated.
    weight_updates: Cell<u64>,
}

impl LiveDiscovery {
    /// Discovery that lists these endpoints.
    pub fn new(run: Rc<RunState>, model: Discovery, endpoints: Vec<Rc<LiveEndpoint>>) -> Rc<LiveDiscovery> {
        let (changed, weights) = (Notify::new(), RefCell::new(weights(&run, &endpoints)));
        let (model, weight_updates) = (RefCell::new(model), Cell::new(0));
        Rc::new(LiveDiscovery { run, model, endpoints, changed, weights, weight_updates })
    }

    /// Updates the live weights until the run ends; returns at once if the script has none.
    pub async fn update_weights(&self) {
        let Some(live_weights) = self.run.script.discovery.weights else { return };
        for round in 0u32.. {
            sleep_until(self.run.clock.instant(live_weights.every * round)).await;
            let sampled = weights(&self.run, &self.endpoints);
            sleep_until(
                self.run
                    .clock
                    .instant(live_weights.every * round + live_weights.late.min(live_weights.every)),
            )
            .await;
            self.weights.replace(sampled);
            self.weight_updates.set(self.weight_updates.get() + 1);
            self.changed.notify_waiters();
        }
    }

    /// Listens for a gateway and returns the address.
    ///
    /// # Errors
    /// If a listener cannot be opened.
    pub async fn listen(self: &Rc<Self>, gateway: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let (discovery, connection) = (discovery.clone(), Connection::new(stream));
                    spawn_local(async move { discovery.serve(connection, gateway).await });
                }
            }
        });
        Ok(address)
    }

    /// If discovery pushes changes, records each list sent to the gateways' agents, until the run ends.
    /// What was sent to an agent counts as notified, whether or not the gateway reads the change.
    pub async fn record_agent_lists(&self) {
        if !self.run.script.discovery.pushed {
            return;
        }
        let mut version = 1;
        loop {
            let now = self.run.clock.now();
            if !self.model.borrow().is_down(now) {
                let list = self.model.borrow().list_since(now, version);
                version = list.version;
                (0..self.run.gateways).for_each(|gateway| self.record_list(gateway, &list));
            }
            self.next_change(now).await;
        }
    }

    /// Waits until the list or the weights change, or discovery goes down or comes back.
    async fn next_change(&self, now: Duration) {
        let (change, outage_change) = {
            let model = self.model.borrow();
            (model.next_change(now), model.next_outage_change(now))
        };
        let due = async {
            match change.into_iter().chain(outage_change).min() {
                Some(at) => sleep_until(self.run.clock.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = self.changed.notified() => {}
        }
    }

    /// Records that an endpoint has crashed from too much work in its slow start.
    pub fn record_crash(&self, endpoint: usize, at: Duration) {
        self.model.borrow_mut().record_crash(endpoint, at);
        self.changed.notify_waiters();
    }

    async fn serve(&self, mut connection: Connection, gateway: usize) {
        let now = || self.run.clock.now();
        let Ok(request) = connection.read(Kind::Request, now, |_, _| {}).await else { return };
        let crate::live::http::First::Request { path, .. } = &request.first else { return };
        let parameter = |name: &str| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).map(str::to_owned)
        };
        let since = parameter("since").and_then(|text| text.parse().ok()).unwrap_or(0);
        let follow = parameter("follow").as_deref() == Some("1");
        let poll_result = self.model.borrow_mut().poll(now());
        let (PollResult::Answered(at) | PollResult::Failed(at)) = poll_result;
        // If discovery pushes changes, the gateway polls an agent of its own, which answers at once.
        let pushed = self.run.script.discovery.pushed;
        if !pushed {
            sleep_until(self.run.clock.instant(at)).await;
        }
        if let (PollResult::Failed(_), false) = (poll_result, pushed) {
            let _ = connection
                .write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                .await;
            return;
        }
        let list = self.model.borrow().list_since(now(), if follow { since } else { 0 });
        if !follow {
            let text = self.line(gateway, &list);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if connection.write((head + &text).as_bytes()).await.is_ok() {
                self.record_list(gateway, &list);
            }
            return;
        }
        if connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        self.watch(&mut connection, gateway, list).await;
    }

    async fn watch(&self, connection: &mut Connection, gateway: usize, first: EndpointList) {
        let mut list = first;
        let mut version = list.version;
        let (mut has_sent, mut weight_updates) = (false, self.weight_updates.get());
        loop {
            let now = self.run.clock.now();
            if self.model.borrow().is_down(now) {
                return connection.reset_on_drop();
            }
            if weight_updates != self.weight_updates.get() {
                weight_updates = self.weight_updates.get();
                list = EndpointList {
                    is_snapshot: true,
                    entries: self.model.borrow().snapshot_entries(now),
                    ..list
                };
            }
            let is_heartbeat = has_sent && list.entries.is_empty() && !list.is_snapshot;
            let line = if is_heartbeat { "\n".to_owned() } else { self.line(gateway, &list) };
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            if connection.write(chunk.as_bytes()).await.is_err() {
                return;
            }
            self.record_list(gateway, &list);
            has_sent = true;
            tokio::select! {
                _ = timeout(HEARTBEAT_INTERVAL, self.next_change(now)) => {}
                is_open = connection.read_more() => if !is_open {
                    return;
                }
            }
            list = self.model.borrow().list_since(self.run.clock.now(), version);
            version = list.version;
        }
    }

    /// Records a list that was sent to a gateway.
    fn record_list(&self, gateway: usize, list: &EndpointList) {
        let (now, mut checker) = (self.run.clock.now(), self.run.checker.borrow_mut());
        for entry in &list.entries {
            checker.record_notice(gateway, entry.endpoint, now, entry.notification());
        }
        if list.is_snapshot {
            let listed = |endpoint: &usize| list.entries.iter().any(|entry| entry.endpoint == *endpoint);
            for endpoint in (0..self.endpoints.len()).filter(|endpoint| !listed(endpoint)) {
                checker.record_notice(gateway, endpoint, now, EndpointNotice::Removed);
            }
        }
    }

    fn line(&self, gateway: usize, list: &EndpointList) -> String {
        let entries: Vec<Value> = list.entries.iter().map(|entry| self.entry(gateway, entry)).collect();
        json!({"index": list.version, "snapshot": list.is_snapshot, "endpoints": entries}).to_string() + "\n"
    }

    /// The endpoint list for a gateway's configuration file.
    pub fn initial_list(&self, gateway: usize) -> Value {
        let snapshot = self.model.borrow().snapshot_entries(Duration::ZERO);
        let entries: Vec<Value> = snapshot.iter().map(|entry| self.entry(gateway, entry)).collect();
        json!({"index": 1, "snapshot": true, "endpoints": entries})
    }

    fn entry(&self, gateway: usize, entry: &ListEntry) -> Value {
        let script = &self.run.script;
        let address = self.endpoints[entry.endpoint]
            .address(gateway)
            .map(|address| address.to_string())
            .unwrap_or_default();
        let status = match entry.status {
            EndpointStatus::Active => "active",
            EndpointStatus::Leaving => "leaving",
            EndpointStatus::Left => "left",
        };
        let since = entry.started.map_or(0, |at| {
            let age = self.run.clock.now().saturating_sub(at);
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            unix.saturating_sub(age).as_millis() as u64
        });
        let kind = crate::endpoint_models::kinds(script)[entry.endpoint];
        json!({"name": script.endpoint_name(entry.endpoint), "address": address, "status": status,
            "weight": self.weights.borrow()[entry.endpoint],
            "zone": script.fleet.zones[script.zone_of(entry.endpoint)], "type": script.fleet.kinds[kind].name,
            "group": script.rack_of(entry.endpoint), "since_ms": since})
    }
}

/// The current live weight of each endpoint: its capacity divided by 1 + its requests in flight per core; 1 without live weights.
fn weights(run: &RunState, endpoints: &[Rc<LiveEndpoint>]) -> Vec<f64> {
    let has_live_weights = run.script.discovery.weights.is_some();
    endpoints
        .iter()
        .map(|endpoint| if has_live_weights { endpoint.read_model(|model| model.live_weight()) } else { 1.0 })
        .collect()
}
