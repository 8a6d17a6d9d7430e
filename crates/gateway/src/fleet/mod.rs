//! This gateway's part in its fleet, on sockets: off, and none of it built, without `[fleet]` in the operator's file and `--fleet`.
//!
//! [`Agent`] decides; here is what carries it out: `link` the connections to the others, `store` a member's state on disk, `books` the audit's, `staff` the answers to questions,
//! [`commands`] the questions. `core` asks how this process stands before it acts, and books what it does.

mod admin;
mod audit_store;
mod consensus_store;
mod peer_link;
#[cfg(test)]
mod stored_files_tests;

use crate::engine::message::{EngineHandle, Message};
pub use consensus_store::StoreError;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::VecDeque;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant, MissedTickBehavior};
use tracing::{error, info, warn};
use weldworks_balancer::EndpointId;
use weldworks_fleet::audit::{AuditLog, Decision, DecisionKind, Exception};
use weldworks_fleet::consensus::TICK_INTERVAL;
use weldworks_fleet::departures::RemoteDepartures;
use weldworks_fleet::node::{Node, NodeAction, SessionState, StoredVote};
use weldworks_fleet::protocol::{DepartedEndpoint, Frame};
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::version::{digest, GatewayName, Incarnation, ListVersion, Version};

/// The most frames that wait behind one batch for the disk.
const WAITING: usize = 4096;
/// What has been said at the end has this long to leave.
const FLUSH: Duration = Duration::from_millis(200);
/// The last page of the books has this long.
const LAST_PAGE: Duration = Duration::from_secs(1);

/// What this process acts on, as far as it is known at the start; the list comes later.
pub struct Basis {
    /// A digest of the platform's configuration, without what differs from gateway to gateway.
    pub config: u64,
    /// A digest of the operator's file, likewise.
    pub operator: u64,
    /// Where discovery answers.
    pub discovery: SocketAddr,
}

/// A number that no other process has had or will have, however the wall clock is set.
fn incarnation() -> Incarnation {
    // The library's keys are the system's random numbers.
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    hasher.write_u128(unix.as_nanos());
    Incarnation(hasher.finish() | 1)
}

/// The version with a digest of the program itself: two builds may share a version.
fn build() -> String {
    let program = std::env::current_exe().and_then(std::fs::read).map(|bytes| digest(&bytes));
    match program {
        Ok(digest) => format!("{}+{digest:016x}", env!("CARGO_PKG_VERSION")),
        Err(_) => format!("{}+unknown", env!("CARGO_PKG_VERSION")),
    }
}

/// Frames that wait for a batch to be on the disk: its number, and what goes to whom.
type Behind = (u64, Vec<(GatewayName, Frame)>);

/// This gateway's part.
pub struct Fleet {
    settings: FleetSettings,
    terms: u64,
    start: Instant,
    agent: RefCell<Node>,
    audit: RefCell<AuditLog>,
    version: RefCell<Version>,
    /// Whether the configuration names the lineage; otherwise it is the address of discovery.
    departures: RefCell<RemoteDepartures>,
    /// Hosts by number; a name is kept as long as a host has that number.
    hosts: RefCell<Vec<Rc<str>>>,
    told: Cell<u64>,
    voter: Incarnation,
    /// When this process began, by its wall clock.
    began_unix_ms: u64,
    books: Option<audit_store::AuditStore>,
    store: RefCell<Option<consensus_store::ConsensusStore>>,
    /// Frames that wait until something is on the disk: behind which batch, and what.
    behind: RefCell<VecDeque<Behind>>,
    links: RefCell<peer_link::Links>,
    gateway: EngineHandle,
    /// Wakes who waits for a change of standing.
    pub changed: Notify,
}

impl Fleet {
    /// A part of this process, that speaks to nobody yet.
    ///
    /// # Errors
    /// Where its state on disk can't be used.
    pub fn new(
        settings: FleetSettings,
        basis: &Basis,
        gateway: EngineHandle,
    ) -> Result<Rc<Fleet>, StoreError> {
        let lineage = settings.lineage.clone().unwrap_or_else(|| basis.discovery.to_string());
        let version = Version {
            list: ListVersion { lineage, index: 0 },
            config: basis.config,
            generation: 1,
            operator: basis.operator,
            build: build(),
        };
        let process = incarnation();
        let seated = settings.voters().iter().any(|p| p.name == settings.gateway);
        let found = match settings.state_folder.as_deref().filter(|_| seated) {
            Some(folder) => consensus_store::open(folder, &settings, process)?,
            None => consensus_store::OpenedStore { voter: process, records: Vec::new(), store: None },
        };
        let start = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let began_unix_ms = unix.as_millis() as u64;
        let clock = audit_store::ProcessClock { process, start: start.into_std(), began_unix_ms };
        let books = settings
            .state_folder
            .as_deref()
            .map(|folder| audit_store::AuditStore::open(folder, &settings, clock))
            .transpose()?;
        let (voter, store) = (found.voter, found.store);
        let vote = StoredVote { voter, records: found.records };
        let agent = Node::new(settings.clone(), process, version.clone(), process.0, vote);
        info!(
            fleet = settings.name, gateway = settings.gateway, %process, peers = settings.peers.len(), build = version.build,
            "this gateway is in a fleet"
        );
        Ok(Rc::new(Fleet {
            voter,
            began_unix_ms,
            books,
            store: RefCell::new(store),
            behind: RefCell::default(),
            terms: settings.digest(),
            start,
            agent: RefCell::new(agent),
            audit: RefCell::new(AuditLog::new(Duration::ZERO, version.clone())),
            version: RefCell::new(version),
            departures: RefCell::default(),
            hosts: RefCell::default(),
            told: Cell::default(),
            links: RefCell::new(peer_link::Links::default()),
            gateway,
            settings,
            changed: Notify::new(),
        }))
    }

    /// So many descriptors it may have open: a link to or from each peer that there is one with, staff, and what listens.
    pub fn descriptors(settings: &FleetSettings) -> usize {
        let seated = settings.peers.iter().any(|p| p.is_voter && p.name == settings.gateway);
        let linked = if seated { settings.peers.len() } else { settings.voters().len() };
        linked + peer_link::STAFF + 2
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Has the agent hear of something, and carries out what it says.
    fn step(&self, event: impl FnOnce(&mut Node, Duration, &mut Vec<NodeAction>)) {
        let mut out = Vec::new();
        event(&mut self.agent.borrow_mut(), self.now(), &mut out);
        for output in out {
            match output {
                NodeAction::Store(stored) => {
                    if let Some(store) = self.store.borrow_mut().as_mut() {
                        let number = store.write(&stored);
                        self.behind.borrow_mut().push_back((number, Vec::new()));
                    }
                }
                NodeAction::Send { to, frame } => self.send(to, frame),
                NodeAction::CloseLink(peer) => self.links.borrow_mut().end(&peer),
                NodeAction::SessionStateChanged(acting) => {
                    let fine = matches!(acting, SessionState::InSession(_));
                    if fine {
                        info!(standing = %acting, "fleet");
                    } else {
                        warn!(standing = %acting, takes_clients = self.takes_clients(), "fleet");
                    }
                    self.changed.notify_one();
                }
                NodeAction::PollDiscovery { current } => self.gateway.send(Message::ListLagging { current }),
                NodeAction::ReloadConfig { required } => warn!(
                    required = format!("{required:016x}"),
                    own = format!("{:016x}", self.version.borrow().config),
                    "fleet: staff require another configuration than this process has; put the file in place and send SIGHUP"
                ),
                NodeAction::EndpointsDeparted(gone) => self.gateway.send(Message::RemoteDepartures(gone)),
                NodeAction::Notice(text) => info!("fleet: {text}"),
            }
        }
        let agent = self.agent.borrow();
        self.told.set(agent.last_update().current_list_index.unwrap_or_default());
        self.audit.borrow_mut().set_log_index(agent.log_index());
    }

    /// Sends a frame, behind what is to be on the disk first. That one is here can be said at any time.
    fn send(&self, to: GatewayName, frame: Frame) {
        let mut behind = self.behind.borrow_mut();
        match behind.back_mut() {
            Some((_, frames)) if !matches!(frame, Frame::Heartbeat { .. }) => {
                // A disk that hangs costs this member what it would have said; the library says it again.
                if frames.len() < WAITING {
                    frames.push((to, frame));
                }
            }
            _ => self.links.borrow_mut().send(&to, &frame),
        }
    }

    /// Says what has waited for the disk, for as long as there is one.
    async fn follow_disk(self: Rc<Self>) {
        let written = self.store.borrow_mut().as_mut().and_then(|store| store.written.take());
        let Some(mut written) = written else { return };
        while let Some(done) = written.recv().await {
            match done {
                Ok(number) => {
                    let mut ready = Vec::new();
                    {
                        let mut behind = self.behind.borrow_mut();
                        while behind.front().is_some_and(|(n, _)| *n <= number) {
                            ready.extend(behind.pop_front().into_iter().flat_map(|(_, frames)| frames));
                        }
                    }
                    let mut links = self.links.borrow_mut();
                    ready.iter().for_each(|(to, frame)| links.send(to, frame));
                }
                Err(why) => {
                    let state =
                        self.settings.state_folder.as_deref().unwrap_or(std::path::Path::new("")).display();
                    error!(
                        why, folder = %state,
                        "fleet: the council's state can't be written: this process votes no longer. Make room or mend the disk of `state` of \
                         [fleet], and start it again"
                    );
                    self.agent.borrow_mut().store_failed();
                    self.store.replace(None);
                    self.behind.borrow_mut().clear();
                    return;
                }
            }
        }
    }

    /// Whether clients are taken at this moment.
    pub fn takes_clients(&self) -> bool {
        self.agent.borrow().accepts_clients(self.now())
    }

    /// When those that are not may come again.
    pub fn keep_away(&self) -> Duration {
        self.agent.borrow().retry_after()
    }

    /// Why they are not, in a word.
    pub fn unready(&self) -> Option<&'static str> {
        let agent = self.agent.borrow();
        match agent.session_state(self.now()) {
            _ if agent.accepts_clients(self.now()) => None,
            SessionState::Fenced(_) => Some("shut out of the fleet"),
            _ => Some("without a session in the fleet"),
        }
    }

    /// A number stands for this host from now on.
    pub fn know_host(&self, id: EndpointId, name: &str) {
        let mut hosts = self.hosts.borrow_mut();
        let at = id.0 as usize;
        if hosts.len() <= at {
            hosts.resize(at + 1, Rc::from(""));
        }
        if &*hosts[at] != name {
            hosts[at] = Rc::from(name);
        }
    }

    /// Whether others' newer lists forbid anything new to a host.
    pub fn overrules(&self, host: &str) -> bool {
        self.departures.borrow().overrides(host)
    }

    /// Others say that hosts leave or are gone; gives those to turn away from.
    pub fn told_gone(&self, gone: &[DepartedEndpoint]) -> Vec<String> {
        let own = self.version.borrow().list.index;
        self.departures.borrow_mut().record_remote(own, gone)
    }

    /// A list of this index is about to be taken in.
    pub fn lists(&self, index: u64) {
        self.departures.borrow_mut().record_own_list(index);
    }

    /// A list is in force, by which these hosts leave or are gone that did not before.
    pub fn listed(&self, index: u64, departed: Vec<(String, bool)>) {
        let list = ListVersion { index, ..self.version.borrow().list.clone() };
        self.turn_to(|version| version.list = list.clone());
        for (host, _) in &departed {
            let decision =
                Decision { kind: DecisionKind::Drain, class: 0, request_id: "", endpoint: Some(host) };
            self.audit.borrow_mut().record_decision(self.now(), decision);
        }
        if !departed.is_empty() {
            self.step(|agent, now, out| agent.record_departures(now, list, departed, out));
        }
    }

    /// Another configuration is in force.
    pub fn configured(&self, config: u64, discovery: SocketAddr) {
        let lineage = self.settings.lineage.clone().unwrap_or_else(|| discovery.to_string());
        self.turn_to(|version| {
            version.config = config;
            version.generation += 1;
            if version.list.lineage != lineage {
                version.list = ListVersion { lineage, index: 0 };
                self.departures.borrow_mut().clear();
            }
        });
    }

    fn turn_to(&self, change: impl FnOnce(&mut Version)) {
        change(&mut self.version.borrow_mut());
        let version = self.version.borrow().clone();
        self.audit.borrow_mut().set_version(self.now(), version.clone());
        self.step(|agent, now, out| agent.set_version(now, version, out));
    }

    /// Books a decision about a request, and what speaks against it.
    pub fn book(&self, kind: DecisionKind, class: usize, request: &str, host: Option<EndpointId>) {
        let now = self.now();
        let hosts = self.hosts.borrow();
        let host = host.and_then(|id| hosts.get(id.0 as usize)).map(|name| &**name);
        let mut audit = self.audit.borrow_mut();
        audit.record_decision(now, Decision { kind, class, request_id: request, endpoint: host });
        let sends = matches!(kind, DecisionKind::Pick | DecisionKind::Retry);
        match self.agent.borrow().session_state(now) {
            SessionState::InSession(_) => {}
            SessionState::WithoutSession => audit.record_exception(now, Exception::WithoutSession, request),
            // What it held when it was shut out it finishes; what comes is refused, as it should be.
            SessionState::Fenced(_) if kind == DecisionKind::Pick => {
                audit.record_exception(now, Exception::Fenced, request)
            }
            SessionState::Fenced(_) => {}
        }
        if !sends {
            return;
        }
        let (own, told) = (self.version.borrow().list.index, self.told.get());
        if told > own {
            audit.record_exception(now, Exception::StaleList { own, newest_known: told }, request);
        }
        if let Some(host) = host.filter(|host| self.overrules(host)) {
            audit.record_exception(now, Exception::RemovedEndpoint { endpoint: host.to_owned() }, request);
        }
    }

    /// Runs its part for as long as it is polled.
    pub async fn run(self: Rc<Self>, listener: Option<TcpListener>) {
        for peer in self.settings.peers.clone() {
            let (own, seated) = (self.settings.gateway.clone(), self.seated());
            // Of two members, the first by name calls the other; whoever has no seat calls all that have.
            if peer.is_voter && peer.name != own && (!seated || own < peer.name) {
                spawn_local(peer_link::call(self.clone(), peer));
            }
        }
        match listener {
            Some(listener) => drop(spawn_local(peer_link::answer(self.clone(), listener))),
            None => drop(spawn_local(peer_link::listen_later(self.clone()))),
        }
        spawn_local(self.clone().follow_disk());
        spawn_local(self.clone().keep_books());
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.step(|agent, now, out| agent.tick(now, out));
        }
    }

    fn seated(&self) -> bool {
        self.settings.peers.iter().any(|p| p.is_voter && p.name == self.settings.gateway)
    }

    async fn keep_books(self: Rc<Self>) {
        if let Some(books) = &self.books {
            books.run(&self.audit, || self.now()).await;
        }
    }

    /// Ends the session in order, and the books.
    pub async fn leave(&self) {
        self.step(|agent, now, out| agent.shut_down(now, out));
        // Where this process has a seat, what it has just proposed has to reach the others.
        let until = Instant::now() + FLUSH;
        while Instant::now() < until {
            sleep(TICK_INTERVAL / 5).await;
            self.step(|agent, now, out| agent.tick(now, out));
        }
        if let Some(books) = &self.books {
            // One that is not written is told as a crash: what is said then is less, and true.
            let _ = timeout(LAST_PAGE, books.write(&self.audit, || self.now(), true)).await;
        }
    }

    /// Binds the link's address; none where another process of this gateway has it still.
    ///
    /// # Errors
    /// Where it can't be bound for another reason.
    pub fn listen(settings: &FleetSettings, shared: bool) -> std::io::Result<Option<TcpListener>> {
        match peer_link::bind(settings.listen) {
            Ok(listener) => Ok(Some(listener)),
            Err(error) if shared && error.kind() == std::io::ErrorKind::AddrInUse => Ok(None),
            Err(error) => Err(error),
        }
    }
}
