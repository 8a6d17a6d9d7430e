//! The node register on sockets: one address for each gateway, so that it is known who was told what.

use super::http::{Connection, Kind};
use super::nodes::LiveNode;
use super::Day;
use crate::checker::EndpointNotice;
use crate::register::{Call, Entry, List, Register, Status};
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

/// While nothing changes, an empty line comes this often.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// The register of a run.
pub struct LiveRegister {
    day: Rc<Day>,
    model: RefCell<Register>,
    nodes: Vec<Rc<LiveNode>>,
    changed: Notify,
    /// Each node's weight, as last told, and how often they have been renewed.
    weights: RefCell<Vec<f64>>,
    weighed: Cell<u64>,
}

impl LiveRegister {
    /// A register that lists these nodes.
    pub fn new(day: Rc<Day>, model: Register, nodes: Vec<Rc<LiveNode>>) -> Rc<LiveRegister> {
        let (changed, weights) = (Notify::new(), RefCell::new(weights(&day, &nodes)));
        let (model, weighed) = (RefCell::new(model), Cell::new(0));
        Rc::new(LiveRegister { day, model, nodes, changed, weights, weighed })
    }

    /// Renews the weights for as long as it runs, where the script has any.
    pub async fn weigh(&self) {
        let Some(live) = self.day.script.discovery.weights else { return };
        for round in 0u32.. {
            sleep_until(self.day.clock.instant(live.every * round)).await;
            let seen = weights(&self.day, &self.nodes);
            sleep_until(self.day.clock.instant(live.every * round + live.late.min(live.every))).await;
            self.weights.replace(seen);
            self.weighed.set(self.weighed.get() + 1);
            self.changed.notify_waiters();
        }
    }

    /// Listens for a gateway; gives the address.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn listen(self: &Rc<Self>, gateway: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let register = self.clone();
        spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let (register, wire) = (register.clone(), Connection::new(stream));
                    spawn_local(async move { register.serve(wire, gateway).await });
                }
            }
        });
        Ok(address)
    }

    /// Where news are pushed, what an agent has been sent counts as told, whether or not its gateway reads it: books that
    /// for as long as it runs.
    pub async fn tell_agents(&self) {
        if !self.day.script.discovery.pushed {
            return;
        }
        let mut version = 1;
        loop {
            let now = self.day.clock.now();
            if !self.model.borrow().is_down(now) {
                let list = self.model.borrow().since(now, version);
                version = list.version;
                (0..self.day.gateways).for_each(|gateway| self.book(gateway, &list));
            }
            self.next_news(now).await;
        }
    }

    /// Waits until the list changes or the register goes down or comes back.
    async fn next_news(&self, now: Duration) {
        let (change, turn) = {
            let model = self.model.borrow();
            (model.next_change(now), model.next_turn(now))
        };
        let due = async {
            match change.into_iter().chain(turn).min() {
                Some(at) => sleep_until(self.day.clock.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = self.changed.notified() => {}
        }
    }

    /// A node has fallen over.
    pub fn fell(&self, node: usize, at: Duration) {
        self.model.borrow_mut().fell(node, at);
        self.changed.notify_waiters();
    }

    async fn serve(&self, mut wire: Connection, gateway: usize) {
        let now = || self.day.clock.now();
        let Ok(request) = wire.read(Kind::Request, now, |_, _| {}).await else { return };
        let crate::live::http::First::Request { path, .. } = &request.first else { return };
        let parameter = |name: &str| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).map(str::to_owned)
        };
        let since = parameter("since").and_then(|n| n.parse().ok()).unwrap_or(0);
        let follow = parameter("follow").as_deref() == Some("1");
        let call = self.model.borrow_mut().call(now());
        let (Call::Answered(at) | Call::Failed(at)) = call;
        // Where news are pushed the caller has an agent of its own before it, which answers at once.
        let pushed = self.day.script.discovery.pushed;
        if !pushed {
            sleep_until(self.day.clock.instant(at)).await;
        }
        if let (Call::Failed(_), false) = (call, pushed) {
            let _ = wire.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").await;
            return;
        }
        let list = self.model.borrow().since(now(), if follow { since } else { 0 });
        if !follow {
            let text = self.line(gateway, &list);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if wire.write((head + &text).as_bytes()).await.is_ok() {
                self.book(gateway, &list);
            }
            return;
        }
        if wire.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        self.watch(&mut wire, gateway, list).await;
    }

    async fn watch(&self, wire: &mut Connection, gateway: usize, first: List) {
        let mut list = first;
        let mut version = list.version;
        let (mut said, mut weighed) = (false, self.weighed.get());
        loop {
            let now = self.day.clock.now();
            if self.model.borrow().is_down(now) {
                return wire.reset_on_drop();
            }
            if weighed != self.weighed.get() {
                weighed = self.weighed.get();
                list = List { whole: true, entries: self.model.borrow().whole(now), ..list };
            }
            let quiet = said && list.entries.is_empty() && !list.whole;
            let line = if quiet { "\n".to_owned() } else { self.line(gateway, &list) };
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            if wire.write(chunk.as_bytes()).await.is_err() {
                return;
            }
            self.book(gateway, &list);
            said = true;
            tokio::select! {
                _ = timeout(HEARTBEAT, self.next_news(now)) => {}
                more = wire.more() => if !more {
                    return;
                }
            }
            list = self.model.borrow().since(self.day.clock.now(), version);
            version = list.version;
        }
    }

    /// What has been written to a gateway has been told to it.
    fn book(&self, gateway: usize, list: &List) {
        let (now, mut ledger) = (self.day.clock.now(), self.day.ledger.borrow_mut());
        for entry in &list.entries {
            ledger.record_notice(gateway, entry.node, now, entry.told());
        }
        if list.whole {
            let listed = |node: &usize| list.entries.iter().any(|e| e.node == *node);
            for node in (0..self.nodes.len()).filter(|n| !listed(n)) {
                ledger.record_notice(gateway, node, now, EndpointNotice::Removed);
            }
        }
    }

    fn line(&self, gateway: usize, list: &List) -> String {
        let entries: Vec<Value> = list.entries.iter().map(|e| self.entry(gateway, e)).collect();
        json!({"index": list.version, "snapshot": list.whole, "endpoints": entries}).to_string() + "\n"
    }

    /// The list as a gateway's configuration holds it at its start.
    pub fn known(&self, gateway: usize) -> Value {
        let whole = self.model.borrow().whole(Duration::ZERO);
        let entries: Vec<Value> = whole.iter().map(|e| self.entry(gateway, e)).collect();
        json!({"index": 1, "snapshot": true, "endpoints": entries})
    }

    fn entry(&self, gateway: usize, entry: &Entry) -> Value {
        let script = &self.day.script;
        let address = self.nodes[entry.node].address(gateway).map(|a| a.to_string()).unwrap_or_default();
        let status = match entry.status {
            Status::Active => "active",
            Status::Leaving => "leaving",
            Status::Left => "left",
        };
        let since = entry.started.map_or(0, |at| {
            let ago = self.day.clock.now().saturating_sub(at);
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            unix.saturating_sub(ago).as_millis() as u64
        });
        let kind = crate::fleet::kinds(script)[entry.node];
        json!({"name": script.node_name(entry.node), "address": address, "status": status,
            "weight": self.weights.borrow()[entry.node],
            "zone": script.fleet.zones[script.zone_of(entry.node)], "type": script.fleet.kinds[kind].name,
            "group": script.rack_of(entry.node), "since_ms": since})
    }
}

/// What each node is worth now: its size, divided by 1 + what it holds a core.
fn weights(day: &Day, nodes: &[Rc<LiveNode>]) -> Vec<f64> {
    let live = day.script.discovery.weights.is_some();
    nodes.iter().map(|node| if live { node.see(|model| model.live_weight()) } else { 1.0 }).collect()
}
