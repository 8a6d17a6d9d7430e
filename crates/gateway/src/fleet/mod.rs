//! This gateway's node in its fleet, with its sockets and files. It is created only if the operator's file has the table `[fleet]` and the
//! gateway runs with `--fleet`.
//!
//! A [`Node`] makes all decisions. `peer_link` connects the node to the other gateways, `links` holds one send queue per peer, and
//! `consensus_store` stores a voting member's state on disk; `held_frames` holds back the frames that must not be sent before that state is
//! written. `audit_store` stores the audit log, and `admin` answers administrators. Through `engine_interface` the engine queries whether
//! this process accepts clients, and reports endpoint lists and decisions about requests.

mod admin;
mod audit_store;
mod consensus_store;
mod engine_interface;
mod held_frames;
mod link_codec;
mod links;
mod peer_link;
mod process_identity;
mod send_queue;
mod store_file;
#[cfg(test)]
mod stored_files_tests;

pub use store_file::{DamagedStore, OpenError, StoreError};

use crate::engine::message::{EngineHandle, Message};
use audit_store::{AuditStore, ProcessClock};
use consensus_store::{ConsensusStore, OpenedStore, WriteResult};
use held_frames::{HeldFrames, OutgoingFrame};
use links::Links;
use process_identity::{build_version, new_incarnation};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant, MissedTickBehavior};
use tracing::{error, info, warn};
use weldworks_fleet::audit::AuditLog;
use weldworks_fleet::consensus::{StoredRecord, TICK_INTERVAL};
use weldworks_fleet::departures::RemoteDepartures;
use weldworks_fleet::node::{Node, NodeAction, SessionState, StoredVote};
use weldworks_fleet::protocol::Frame;
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::version::{GatewayName, Incarnation, ListVersion, Version};

/// Time on shutdown for sending the last proposals and frames.
const SHUTDOWN_FLUSH_TIME: Duration = Duration::from_millis(200);
/// Time on shutdown for writing the last segment of the audit log.
const LAST_SEGMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// File descriptors that the fleet's link needs beside its connections: the listener, and a connection that is about to be closed.
const LINK_OWN_DESCRIPTORS: usize = 2;

/// The configuration that this process starts with. Discovery delivers the endpoint list later.
pub struct ConfigVersion {
    /// Digest of the platform's configuration, without the settings that differ between gateways.
    pub config_digest: u64,
    /// Digest of the operator's file, without the settings that differ between gateways.
    pub operator_digest: u64,
    /// The address of discovery.
    pub discovery: SocketAddr,
}

/// This gateway's node in its fleet, with its links and stores.
pub struct Fleet {
    settings: FleetSettings,
    /// Digest of the settings that all gateways must agree on.
    agreement_digest: u64,
    start: Instant,
    /// Start of the process on the wall clock, in Unix milliseconds.
    began_unix_ms: u64,
    /// The incarnation under which this gateway votes: that of the process that created the consensus store.
    voter: Incarnation,
    node: RefCell<Node>,
    audit: RefCell<AuditLog>,
    version: RefCell<Version>,
    departures: RefCell<RemoteDepartures>,
    /// Names of endpoints, indexed by endpoint number.
    endpoint_names: RefCell<Vec<Rc<str>>>,
    /// Index of the newest endpoint list in the fleet that this gateway knows of.
    current_list_index: Cell<u64>,
    audit_store: Option<AuditStore>,
    consensus_store: RefCell<Option<ConsensusStore>>,
    held_frames: RefCell<HeldFrames>,
    links: RefCell<Links>,
    engine: EngineHandle,
    /// Notified when the session state has changed.
    pub changed: Notify,
}

impl Fleet {
    /// Creates this gateway's node, without any connection yet.
    ///
    /// # Errors
    /// If the gateway's state on disk cannot be used.
    pub fn new(
        settings: FleetSettings,
        config_version: &ConfigVersion,
        engine: EngineHandle,
    ) -> Result<Rc<Fleet>, StoreError> {
        let version = initial_version(&settings, config_version);
        let process = new_incarnation();
        let opened = open_consensus_store(&settings, process)?;
        let start = Instant::now();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let began_unix_ms = unix_time.as_millis() as u64;
        let clock = ProcessClock { process, start: start.into_std(), began_unix_ms };
        let audit_store = settings
            .state_folder
            .as_deref()
            .map(|folder| AuditStore::open(folder, &settings, clock))
            .transpose()?;
        let voter = opened.voter;
        let vote = StoredVote { voter, records: opened.records };
        let node = Node::new(settings.clone(), process, version.clone(), process.0, vote);
        info!(
            fleet = settings.name, gateway = settings.gateway, %process, peers = settings.peers.len(), build = version.build,
            "this gateway is in a fleet"
        );
        Ok(Rc::new(Fleet {
            agreement_digest: settings.digest(),
            start,
            began_unix_ms,
            voter,
            node: RefCell::new(node),
            audit: RefCell::new(AuditLog::new(Duration::ZERO, version.clone())),
            version: RefCell::new(version),
            departures: RefCell::default(),
            endpoint_names: RefCell::default(),
            current_list_index: Cell::default(),
            audit_store,
            consensus_store: RefCell::new(opened.store),
            held_frames: RefCell::default(),
            links: RefCell::default(),
            engine,
            settings,
            changed: Notify::new(),
        }))
    }

    /// Maximum number of file descriptors that the fleet's link uses: the connections to linked peers and to administrators, the
    /// listener, and a connection that is about to be closed. Voting members link to all peers, other gateways only to the voting members.
    pub fn descriptor_count(settings: &FleetSettings) -> usize {
        let linked_peers = if is_voter(settings) { settings.peers.len() } else { settings.voters().len() };
        linked_peers + peer_link::MAX_ADMIN_CONNECTIONS + LINK_OWN_DESCRIPTORS
    }

    /// Binds the address on which the fleet's link listens.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn bind_link(settings: &FleetSettings) -> std::io::Result<TcpListener> {
        peer_link::bind(settings.listen)
    }

    /// Runs this gateway's node until the future is dropped. Without a listener, the link's address is bound once it is free.
    ///
    /// Detached tasks are started for the links, the held-back frames and the audit log. These tasks run as long as the process, and a
    /// panic in one of them ends only that task, without being logged here.
    pub async fn run(self: Rc<Self>, listener: Option<TcpListener>) {
        let own_name = self.settings.gateway.clone();
        let is_voter = is_voter(&self.settings);
        for peer in self.settings.peers.clone() {
            // Of two voting members, the one whose name sorts first connects to the other. Gateways without a vote connect to all voting
            // members.
            if peer.is_voter && peer.name != own_name && (!is_voter || own_name < peer.name) {
                spawn_local(peer_link::keep_connected(self.clone(), peer));
            }
        }
        match listener {
            Some(listener) => drop(spawn_local(peer_link::accept(self.clone(), listener))),
            None => drop(spawn_local(peer_link::bind_and_accept(self.clone()))),
        }
        spawn_local(self.clone().release_written_frames());
        spawn_local(self.clone().write_audit_log());
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.step(weldworks_fleet::node::Node::tick);
        }
    }

    /// Closes this gateway's session, and writes the last segment of its audit log.
    pub async fn shut_down(&self) {
        self.step(weldworks_fleet::node::Node::shut_down);
        // The node keeps ticking for a while, so that a voting member's last proposal reaches the other members.
        let deadline = Instant::now() + SHUTDOWN_FLUSH_TIME;
        while Instant::now() < deadline {
            sleep(TICK_INTERVAL / 5).await;
            self.step(weldworks_fleet::node::Node::tick);
        }
        if let Some(audit_store) = &self.audit_store {
            // If the last segment is not written in time, the process is reported as crashed, which is incomplete but not false.
            let write = audit_store.write(&self.audit, || self.now(), true);
            let _ = timeout(LAST_SEGMENT_TIMEOUT, write).await;
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Passes an event to the node and carries out the resulting actions.
    fn step(&self, event: impl FnOnce(&mut Node, Duration, &mut Vec<NodeAction>)) {
        let mut actions = Vec::new();
        event(&mut self.node.borrow_mut(), self.now(), &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        let node = self.node.borrow();
        self.current_list_index.set(node.last_update().current_list_index.unwrap_or_default());
        self.audit.borrow_mut().set_log_index(node.log_index());
    }

    fn carry_out(&self, action: NodeAction) {
        match action {
            NodeAction::Store(records) => self.store(&records),
            NodeAction::Send { to, frame } => self.send(to, frame),
            NodeAction::CloseLink(peer) => self.links.borrow_mut().close(&peer),
            NodeAction::SessionStateChanged(state) => self.session_state_changed(&state),
            NodeAction::PollDiscovery { current } => self.engine.send(Message::ListLagging { current }),
            NodeAction::ReloadConfig { required } => warn!(
                required = format!("{required:016x}"),
                own = format!("{:016x}", self.version.borrow().config),
                "fleet: an administrator requires another configuration, install its file and send SIGHUP"
            ),
            NodeAction::EndpointsDeparted(departed) => {
                self.engine.send(Message::RemoteDepartures(departed));
            }
            NodeAction::Notice(text) => info!("fleet: {text}"),
        }
    }

    fn session_state_changed(&self, state: &SessionState) {
        if matches!(state, SessionState::InSession(_)) {
            info!(standing = %state, "fleet");
        } else {
            warn!(standing = %state, takes_clients = self.accepts_clients(), "fleet");
        }
        self.changed.notify_one();
    }

    /// Queues consensus records for writing, and holds back later frames until the records are on disk.
    fn store(&self, records: &[StoredRecord]) {
        if let Some(store) = self.consensus_store.borrow_mut().as_mut() {
            let batch = store.write(records);
            self.held_frames.borrow_mut().start_batch(batch);
        }
    }

    /// Sends a frame as soon as all earlier records are on disk. A heartbeat depends on no record and is sent at once.
    fn send(&self, to: GatewayName, frame: Frame) {
        let frame = OutgoingFrame { to, frame };
        let ready = if matches!(frame.frame, Frame::Heartbeat { .. }) {
            Some(frame)
        } else {
            self.held_frames.borrow_mut().hold(frame)
        };
        if let Some(OutgoingFrame { to, frame }) = ready {
            self.links.borrow_mut().send(&to, &frame);
        }
    }

    /// Sends held-back frames as their records reach the disk, until a write fails.
    async fn release_written_frames(self: Rc<Self>) {
        let Some(mut written) = self.take_write_results() else { return };
        while let Some(result) = written.recv().await {
            match result {
                Ok(batch) => {
                    let released = self.held_frames.borrow_mut().release(batch);
                    let mut links = self.links.borrow_mut();
                    for OutgoingFrame { to, frame } in &released {
                        links.send(to, frame);
                    }
                }
                Err(error) => return self.stop_voting(&error),
            }
        }
    }

    fn take_write_results(&self) -> Option<mpsc::UnboundedReceiver<WriteResult>> {
        self.consensus_store.borrow_mut().as_mut()?.written.take()
    }

    /// Stops voting in this process: promises that are not stored could be lost in a crash, and the consensus group could decide twice.
    fn stop_voting(&self, error: &redb::Error) {
        let folder = self.settings.state_folder.as_deref().unwrap_or(std::path::Path::new(""));
        error!(
            %error, folder = %folder.display(), remedy = "free or repair the disk that `state` of [fleet] is on, then restart",
            "fleet: consensus store not writable, this process votes no longer"
        );
        self.node.borrow_mut().store_failed();
        self.consensus_store.replace(None);
        self.held_frames.borrow_mut().clear();
    }

    async fn write_audit_log(self: Rc<Self>) {
        if let Some(audit_store) = &self.audit_store {
            audit_store.run(&self.audit, || self.now()).await;
        }
    }
}

/// The version under which a process starts: its configuration, and list index 0.
fn initial_version(settings: &FleetSettings, config_version: &ConfigVersion) -> Version {
    let lineage = settings.lineage.clone().unwrap_or_else(|| config_version.discovery.to_string());
    Version {
        list: ListVersion { lineage, index: 0 },
        config: config_version.config_digest,
        generation: 1,
        operator: config_version.operator_digest,
        build: build_version(),
    }
}

/// Whether this gateway is a voting member of the consensus group.
fn is_voter(settings: &FleetSettings) -> bool {
    settings.peers.iter().any(|peer| peer.is_voter && peer.name == settings.gateway)
}

/// Opens a voting member's consensus store, if `state` of `[fleet]` names a folder. Without a folder, the vote ends with the process.
fn open_consensus_store(settings: &FleetSettings, process: Incarnation) -> Result<OpenedStore, StoreError> {
    match settings.state_folder.as_deref().filter(|_| is_voter(settings)) {
        Some(folder) => consensus_store::open(folder, settings, process),
        None => Ok(OpenedStore { voter: process, records: Vec::new(), store: None }),
    }
}
