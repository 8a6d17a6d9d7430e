//! One gateway's part in the fleet, without I/O: the gateway passes in events and carries out the [`NodeAction`]s that the node returns.

mod rate_limit;
mod session_client;
mod session_manager;
mod session_monitor;
mod session_state;
mod status;

pub use session_state::SessionState;
pub use status::{SessionRow, Status};

use crate::consensus::{ConsensusGroup, StepOutput, StoredRecord};
use crate::membership::{LinkFailure, Membership, HEARTBEAT_INTERVAL};
use crate::protocol::{Frame, StateUpdate};
use crate::settings::{FleetSettings, WithoutSessionPolicy};
use crate::state_machine::{Command, DepartedEndpoint, StateMachine};
use crate::version::{GatewayName, Incarnation, ListVersion, Version};
use session_client::SessionClient;
use session_manager::{describe_committed, SessionManager};
use std::collections::VecDeque;
use std::time::Duration;

/// Time between two ticks above which this process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// An action that the gateway has to carry out for its node.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Write the records to stable storage before any frame of a later action is sent. A gateway without storage ignores the action.
    Store(Vec<StoredRecord>),
    /// Send a frame to a peer, if its link is up.
    Send {
        /// Name of the peer that the frame is sent to.
        to: GatewayName,
        /// Frame to send to the peer.
        frame: Frame,
    },
    /// Close the link to a peer, because the link is half open, and connect again.
    CloseLink(GatewayName),
    /// This gateway's session state has changed.
    SessionStateChanged(SessionState),
    /// Poll discovery: other gateways have a newer endpoint list.
    PollDiscovery {
        /// Current index of the endpoint list's lineage.
        current: u64,
    },
    /// Read the configuration again: administrators require another configuration.
    ReloadConfig {
        /// Digest of the required configuration.
        required: u64,
    },
    /// Send no new requests to the endpoints, which drain or were removed according to lists newer than this gateway's.
    EndpointsDeparted(Vec<DepartedEndpoint>),
    /// Log a text for administrators.
    Notice(String),
}

/// Vote of a process, with the records that an earlier process with the same vote has stored.
#[derive(Debug)]
pub struct StoredVote {
    /// Process whose vote it is: this process, or the earlier process that stored the records.
    pub voter: Incarnation,
    /// Records of the consensus store, in the order in which they were stored.
    pub records: Vec<StoredRecord>,
}

/// Process of a peer that a link leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProcess {
    /// Process that the peer runs as.
    pub process: Incarnation,
    /// Process whose vote the peer holds: its own, or that of the earlier process whose stored state the peer restored.
    pub voter: Incarnation,
}

/// One gateway's part in the fleet: membership, consensus and sessions.
pub struct Node {
    settings: FleetSettings,
    process: Incarnation,
    membership: Membership,
    /// This gateway's part in consensus; absent if the gateway is not a member of the consensus group.
    consensus: Option<ConsensusGroup>,
    session_manager: SessionManager,
    session_client: SessionClient,
    /// Frames from this gateway to itself: a replica's session client may choose the session manager of the same gateway.
    loopback: VecDeque<Frame>,
    last_tick_at: Option<Duration>,
    last_heartbeat_at: Option<Duration>,
    reported_state: Option<SessionState>,
}

impl Node {
    /// Creates the node of this process. The seed spreads the session requests that all gateways would otherwise send at the same moment.
    pub fn new(
        settings: FleetSettings,
        process: Incarnation,
        version: Version,
        seed: u64,
        vote: StoredVote,
    ) -> Node {
        let gateway = settings.gateway.clone();
        let voter_names: Vec<GatewayName> = settings.voters().iter().map(|peer| peer.name.clone()).collect();
        let consensus = voter_names.contains(&gateway).then(|| {
            let initial_state = StateMachine::new(&settings.lag_policy);
            let mut group =
                ConsensusGroup::new(gateway.clone(), vote.voter, voter_names.clone(), initial_state);
            group.restore(vote.records);
            group
        });
        let peer_names = settings.peers.iter().map(|peer| peer.name.clone()).filter(|name| *name != gateway);
        Node {
            process,
            membership: Membership::new(peer_names),
            session_manager: SessionManager::new(settings.lease, settings.lag_policy),
            session_client: SessionClient::new(gateway, voter_names, settings.lease, version, seed),
            consensus,
            settings,
            loopback: VecDeque::new(),
            last_tick_at: None,
            last_heartbeat_at: None,
            reported_state: None,
        }
    }

    /// Name of this gateway.
    pub fn gateway(&self) -> &GatewayName {
        &self.settings.gateway
    }

    /// Identity of this process.
    pub fn process(&self) -> Incarnation {
        self.process
    }

    /// Whether this gateway may act at this moment. Must be checked at every decision, because a lease expires without an event.
    pub fn session_state(&self, now: Duration) -> SessionState {
        self.session_client.state(now)
    }

    /// Whether this gateway accepts client requests at this moment.
    pub fn accepts_clients(&self, now: Duration) -> bool {
        match self.session_client.state(now) {
            SessionState::InSession(_) => true,
            SessionState::WithoutSession => self.settings.without_session == WithoutSessionPolicy::Serve,
            SessionState::Fenced(_) => false,
        }
    }

    /// `Retry-After` for client requests that are rejected because this gateway has no session or is fenced.
    ///
    /// A gateway that reaches a replica again, or has caught up, accepts client requests within one renewal interval.
    pub fn retry_after(&self) -> Duration {
        self.settings.lease.renewal_interval()
    }

    /// Whether a link to the process `process` of a peer may be established now.
    pub fn admits_peer(&self, now: Duration, peer: &str, process: Incarnation) -> bool {
        self.membership.admits(now, peer, process)
    }

    /// Version that this gateway acts on.
    pub fn version(&self) -> &Version {
        self.session_client.version()
    }

    /// The replicated state machine; `None` if this gateway is not a member of the consensus group.
    pub fn state_machine(&self) -> Option<&StateMachine> {
        self.consensus.as_ref().map(ConsensusGroup::state)
    }

    /// Log index up to which this gateway knows the state machine.
    pub fn log_index(&self) -> u64 {
        self.state_machine().map_or(self.last_update().log_index, StateMachine::log_index)
    }

    /// This gateway's part in the consensus group; `None` if the gateway is not a member.
    pub fn consensus_group(&self) -> Option<&ConsensusGroup> {
        self.consensus.as_ref()
    }

    /// The last update that a replica sent to this gateway.
    pub fn last_update(&self) -> &StateUpdate {
        self.session_client.last_update()
    }

    /// Records that this gateway acts on another version from now on.
    pub fn set_version(&mut self, now: Duration, version: Version, out: &mut Vec<NodeAction>) {
        self.session_client.set_version(now, version);
        self.finish_step(now, out);
    }

    /// Records departures that this gateway's endpoint list reports: endpoint names, each with true if the endpoint was removed, and with
    /// false if the endpoint drains.
    pub fn record_departures(
        &mut self,
        now: Duration,
        list: ListVersion,
        endpoints: Vec<(String, bool)>,
        out: &mut Vec<NodeAction>,
    ) {
        self.session_client.record_departures(now, &list, endpoints);
        self.finish_step(now, out);
    }

    /// Records that the link to a peer is up.
    pub fn link_up(&mut self, now: Duration, peer: &str, remote: PeerProcess, out: &mut Vec<NodeAction>) {
        self.membership.link_up(now, peer, remote.process);
        self.step_consensus(now, out, |group| group.link_up(peer, remote.voter));
        self.finish_step(now, out);
    }

    /// Records that the link to a peer broke or could not be established.
    pub fn link_down(&mut self, now: Duration, peer: &str, failure: LinkFailure, out: &mut Vec<NodeAction>) {
        self.membership.link_down(peer, failure);
        if let Some(group) = &mut self.consensus {
            group.link_down(peer);
        }
        self.session_manager.link_down(peer);
        self.session_client.link_down(now, peer);
        self.finish_step(now, out);
    }

    /// Handles a frame that has arrived from a peer.
    pub fn receive(&mut self, now: Duration, from: &str, frame: Frame, out: &mut Vec<NodeAction>) {
        self.membership.record_message(now, from);
        self.dispatch(now, from, frame, out);
        self.finish_step(now, out);
    }

    /// Records that writing to stable storage failed: this process no longer votes.
    pub fn store_failed(&mut self) {
        if let Some(group) = &mut self.consensus {
            group.stop_voting();
        }
    }

    /// Proposes a command of an administrator. Returns whether the command was accepted for replication; it may still be lost.
    pub fn propose(&mut self, command: Command) -> bool {
        self.consensus.as_mut().is_some_and(|group| group.propose(command))
    }

    /// Advances time. Must be called every [`crate::consensus::TICK_INTERVAL`], as punctually as the gateway can.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<NodeAction>) {
        let was_paused = self.last_tick_at.is_some_and(|at| now.saturating_sub(at) > PAUSE_THRESHOLD);
        self.last_tick_at = Some(now);
        out.extend(self.membership.half_open(now).into_iter().map(NodeAction::CloseLink));
        let output = self.consensus.as_mut().map(ConsensusGroup::tick).unwrap_or_default();
        if was_paused {
            self.session_manager.reset_observations(now);
        }
        self.handle_consensus_output(now, output, out);
        if let Some(group) = &mut self.consensus {
            self.session_manager.tick(now, group, out);
        }
        self.send_due_heartbeats(now, out);
        self.finish_step(now, out);
    }

    /// Closes this gateway's session. Must be the last call.
    pub fn shut_down(&mut self, now: Duration, out: &mut Vec<NodeAction>) {
        self.session_client.close(out);
        self.finish_step(now, out);
    }

    fn send_due_heartbeats(&mut self, now: Duration, out: &mut Vec<NodeAction>) {
        let is_due = self.last_heartbeat_at.is_none_or(|at| now.saturating_sub(at) >= HEARTBEAT_INTERVAL);
        if !is_due {
            return;
        }
        self.last_heartbeat_at = Some(now);
        // Views are sent to members of the consensus group only: sent to every gateway, views would be most of the traffic on the links.
        let views = if self.consensus.is_some() { self.membership.views(now) } else { Vec::new() };
        for to in self.membership.reachable_peers() {
            let is_member = self.consensus.as_ref().is_some_and(|group| group.is_member(to));
            let views = if is_member { views.clone() } else { Vec::new() };
            out.push(NodeAction::Send { to: to.clone(), frame: Frame::Heartbeat { views } });
        }
    }

    /// Passes a frame to the part of the node that handles this kind of frame.
    fn dispatch(&mut self, now: Duration, from: &str, frame: Frame, out: &mut Vec<NodeAction>) {
        match frame {
            Frame::Heartbeat { views } => self.membership.record_views(now, from, &views),
            Frame::Consensus(message) => {
                self.step_consensus(now, out, |group| group.receive(from, message));
            }
            Frame::OpenSession { .. }
            | Frame::RenewSession { .. }
            | Frame::Departures { .. }
            | Frame::CloseSession { .. } => {
                let process = self.process_of(from);
                if let (Some(group), Some(process)) = (&mut self.consensus, process) {
                    self.session_manager.receive(from, process, frame, group, out);
                }
            }
            Frame::SessionGranted { .. }
            | Frame::NoSession { .. }
            | Frame::Unavailable { .. }
            | Frame::StateUpdate(_) => self.session_client.receive(now, from, frame, out),
            // Administrators' frames are handled by the gateway's link, not by the node.
            Frame::AdminQuery(_) | Frame::AdminAnswer(_) | Frame::StateSnapshot(_) => {}
        }
    }

    /// Process of a peer whose link is up, or of this gateway itself.
    fn process_of(&self, gateway: &str) -> Option<Incarnation> {
        if gateway == self.settings.gateway {
            return Some(self.process);
        }
        self.membership.process(gateway)
    }

    /// Has the consensus group handle an event, if this gateway is a member of the group.
    fn step_consensus(
        &mut self,
        now: Duration,
        out: &mut Vec<NodeAction>,
        step: impl FnOnce(&mut ConsensusGroup) -> StepOutput,
    ) {
        let output = self.consensus.as_mut().map(step).unwrap_or_default();
        self.handle_consensus_output(now, output, out);
    }

    /// Turns the output of a consensus step into actions. Records come first: messages may only be sent once the records are stored.
    fn handle_consensus_output(&mut self, now: Duration, output: StepOutput, out: &mut Vec<NodeAction>) {
        if !output.records.is_empty() {
            out.push(NodeAction::Store(output.records));
        }
        for message in output.messages {
            out.push(NodeAction::Send { to: message.to, frame: Frame::Consensus(message.message) });
        }
        out.extend(output.notices.iter().map(|notice| NodeAction::Notice(notice.to_string())));
        if output.state_replaced {
            self.session_manager.reset_observations(now);
        }
        let Some(group) = &self.consensus else { return };
        for committed in &output.committed {
            self.session_manager.handle_committed(committed, group.state(), out);
            out.extend(describe_committed(committed).map(NodeAction::Notice));
        }
    }

    /// Ends every step: sends the session client's due request, handles frames to this gateway itself and reports a changed session state.
    fn finish_step(&mut self, now: Duration, out: &mut Vec<NodeAction>) {
        self.session_client.send_due_request(now, &self.membership, out);
        loop {
            self.take_loopback_frames(out);
            let Some(frame) = self.loopback.pop_front() else { break };
            let gateway = self.settings.gateway.clone();
            self.dispatch(now, &gateway, frame, out);
        }
        let state = self.session_client.state(now);
        let is_reported = self.reported_state.as_ref().is_some_and(|reported| reported.is_same_kind(&state));
        if !is_reported {
            self.reported_state = Some(state.clone());
            out.push(NodeAction::SessionStateChanged(state));
        }
    }

    /// Moves frames that are addressed to this gateway from the actions to the loopback queue.
    fn take_loopback_frames(&mut self, out: &mut Vec<NodeAction>) {
        let gateway = &self.settings.gateway;
        let loopback = &mut self.loopback;
        out.retain(|action| match action {
            NodeAction::Send { to, frame } if to == gateway => {
                loopback.push_back(frame.clone());
                false
            }
            _ => true,
        });
    }
}
