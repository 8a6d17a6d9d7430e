//! One gateway's whole part in the fleet: events in, frames and changes of standing out. The link carries it out.

mod session_client;
mod session_manager;

pub use session_client::SessionState;

use crate::consensus::{ConsensusGroup, StepOutput, StoredRecord, TICK_INTERVAL};
use crate::membership::{LinkFailure, Membership, PeerState, HEARTBEAT_INTERVAL};
use crate::protocol::{DepartedEndpoint, Frame, StateUpdate};
use crate::settings::{FleetSettings, WithoutSessionPolicy};
use crate::state_machine::{Command, SessionId, StateMachine};
use crate::version::{GatewayName, Incarnation, ListVersion, Version};
use serde::Serialize;
use session_client::Holder;
use session_manager::Keeper;
use std::collections::VecDeque;
use std::time::Duration;

/// What is to be done.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// This is to be on the disk before any frame goes that comes behind it; nothing, where no state is kept.
    Store(Vec<StoredRecord>),
    /// A frame is to go to a peer, where a link is up.
    Send {
        /// To whom.
        to: GatewayName,
        /// What.
        frame: Frame,
    },
    /// A link brings nothing any more: it is to be ended and had again.
    CloseLink(GatewayName),
    /// How this gateway stands has changed.
    SessionStateChanged(SessionState),
    /// There is a newer list than the one held: discovery is to be asked again.
    PollDiscovery {
        /// What the others have.
        current: u64,
    },
    /// Staff require another configuration: the file is to be read again.
    ReloadConfig {
        /// Its digest.
        required: u64,
    },
    /// Hosts that leave or are gone, by newer lists than the one held.
    EndpointsDeparted(Vec<DepartedEndpoint>),
    /// Something that staff should read.
    Notice(String),
}

/// How the fleet looks from one gateway.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// This gateway.
    pub gateway: GatewayName,
    /// Its process.
    pub process: String,
    /// In session, alone or out, and why.
    pub standing: String,
    /// Its session.
    pub session: Option<SessionId>,
    /// For how long it holds yet, in milliseconds.
    pub held_ms: u64,
    /// What it acts on.
    pub version: Version,
    /// How far it knows the register.
    pub position: u64,
    /// The current index of its list's lineage, as it was last told.
    pub current: Option<u64>,
    /// Where it has a seat: who leads.
    pub leader: Option<GatewayName>,
    /// Where it has a seat: the council's configuration, and whether this process votes.
    pub council: Option<(u32, bool)>,
    /// How it sees the others.
    pub members: Vec<(GatewayName, PeerState)>,
    /// Where it has a seat: all sessions, with how far each list is behind and why one is out.
    pub sessions: Vec<SessionRow>,
    /// Where it has a seat: whom staff have shut out.
    pub held_out: Vec<GatewayName>,
}

/// A session, as staff see it.
#[derive(Clone, Debug, Serialize)]
pub struct SessionRow {
    /// Whose.
    pub gateway: GatewayName,
    /// Its process.
    pub process: String,
    /// Its number.
    pub session: SessionId,
    /// What it acts on.
    pub version: Version,
    /// By how many versions its list is older than the current one.
    pub behind: u64,
    /// Why it is shut out, where it is.
    pub out: Option<String>,
}

/// One gateway's part.
pub struct Node {
    settings: FleetSettings,
    process: Incarnation,
    members: Membership,
    council: Option<ConsensusGroup>,
    keeper: Keeper,
    holder: Holder,
    /// Frames to itself: a member of the council asks itself as any other gateway asks it.
    own: VecDeque<Frame>,
    ticked: Option<Duration>,
    pulsed: Option<Duration>,
    stood: Option<SessionState>,
}

impl Node {
    /// A part of this process, with the vote of `voter`: its own, or that of the process before whose state `stored` is. The seed spreads
    /// what all gateways would else do at the same moment.
    pub fn new(
        settings: FleetSettings,
        process: Incarnation,
        version: Version,
        seed: u64,
        (voter, stored): (Incarnation, Vec<StoredRecord>),
    ) -> Node {
        let council = settings.voters();
        let names: Vec<GatewayName> = council.iter().map(|p| p.name.clone()).collect();
        let own = settings.gateway.clone();
        let council = names.contains(&own).then(|| {
            let empty = StateMachine::new(&settings.lag_policy);
            let mut council = ConsensusGroup::new(own.clone(), voter, names.clone(), empty);
            council.restore(stored);
            council
        });
        let others = settings.peers.iter().map(|p| p.name.clone()).filter(|n| *n != own);
        Node {
            process,
            members: Membership::new(others),
            keeper: Keeper::new(settings.lease, settings.lag_policy),
            holder: Holder::new(own, names, settings.lease, version, seed),
            council,
            settings,
            own: VecDeque::new(),
            ticked: None,
            pulsed: None,
            stood: None,
        }
    }

    /// Which gateway's.
    pub fn gateway(&self) -> &GatewayName {
        &self.settings.gateway
    }

    /// This process.
    pub fn process(&self) -> Incarnation {
        self.process
    }

    /// How this gateway may act at this moment: to be asked at every decision.
    pub fn session_state(&self, now: Duration) -> SessionState {
        self.holder.acting(now)
    }

    /// Whether it takes clients at this moment.
    pub fn accepts_clients(&self, now: Duration) -> bool {
        match self.holder.acting(now) {
            SessionState::InSession(_) => true,
            SessionState::WithoutSession => self.settings.without_session == WithoutSessionPolicy::Serve,
            SessionState::Fenced(_) => false,
        }
    }

    /// When a client that is refused for it may come again. One that a gateway without a session refuses finds another, or this one once
    /// it has reached the council; one that was shut out is let in within its next renewal after it is up to date.
    pub fn retry_after(&self) -> Duration {
        self.settings.lease.renewal_interval()
    }

    /// Whether a link to this process of a peer may be had now.
    pub fn admits_peer(&self, now: Duration, peer: &str, process: Incarnation) -> bool {
        self.members.admits(now, peer, process)
    }

    /// What it acts on.
    pub fn version(&self) -> &Version {
        &self.holder.version
    }

    /// The register, where this gateway has a seat.
    pub fn state_machine(&self) -> Option<&StateMachine> {
        self.council.as_ref().map(ConsensusGroup::state)
    }

    /// How far it knows the register.
    pub fn log_index(&self) -> u64 {
        self.state_machine().map_or(self.holder.news.log_index, StateMachine::log_index)
    }

    /// The council's part, where this gateway has a seat.
    pub fn consensus_group(&self) -> Option<&ConsensusGroup> {
        self.council.as_ref()
    }

    /// It acts on another version from now on.
    pub fn set_version(&mut self, now: Duration, version: Version, out: &mut Vec<NodeAction>) {
        self.holder.turn_to(now, version);
        self.finish(now, out);
    }

    /// A list says that these leave or are gone.
    pub fn record_departures(
        &mut self,
        now: Duration,
        list: ListVersion,
        hosts: Vec<(String, bool)>,
        out: &mut Vec<NodeAction>,
    ) {
        self.holder.departed(now, list, hosts);
        self.finish(now, out);
    }

    /// A link to a peer has come up.
    pub fn link_up(
        &mut self,
        now: Duration,
        peer: &str,
        (process, voter): (Incarnation, Incarnation),
        out: &mut Vec<NodeAction>,
    ) {
        self.members.link_up(now, peer, process);
        let doings = self.council.as_mut().map(|c| c.link_up(peer, voter)).unwrap_or_default();
        self.take(now, doings, out);
        self.finish(now, out);
    }

    /// The link is down, or could not be had.
    pub fn link_down(&mut self, now: Duration, peer: &str, why: LinkFailure, out: &mut Vec<NodeAction>) {
        self.members.link_down(peer, why);
        if let Some(council) = &mut self.council {
            council.link_down(peer);
        }
        self.keeper.unlinked(peer);
        self.holder.unlinked(now, peer);
        self.finish(now, out);
    }

    /// A frame has come over a link.
    pub fn receive(&mut self, now: Duration, from: &str, frame: Frame, out: &mut Vec<NodeAction>) {
        self.members.record_message(now, from);
        self.frame(now, from, frame, out);
        self.finish(now, out);
    }

    /// What was to be stored could not be: this process votes no longer.
    pub fn store_failed(&mut self) {
        if let Some(council) = &mut self.council {
            council.stop_voting();
        }
    }

    /// Something is to be decided on the word of staff. Whether it is on its way.
    pub fn propose(&mut self, entry: Command) -> bool {
        self.council.as_mut().is_some_and(|c| c.propose(entry))
    }

    /// Time goes on: to be called every [`TICK`], late where it must be.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<NodeAction>) {
        let paused = self.ticked.is_some_and(|at| now.saturating_sub(at) > TICK_INTERVAL * 10);
        self.ticked = Some(now);
        for peer in self.members.half_open(now) {
            out.push(NodeAction::CloseLink(peer));
        }
        let doings = self.council.as_mut().map(ConsensusGroup::tick).unwrap_or_default();
        if paused {
            self.keeper.start_over(now);
        }
        self.take(now, doings, out);
        if let Some(council) = &mut self.council {
            self.keeper.tick(now, council, &mut |to, frame| out.push(NodeAction::Send { to, frame }));
        }
        if self.pulsed.is_none_or(|at| now.saturating_sub(at) >= HEARTBEAT_INTERVAL) {
            self.pulsed = Some(now);
            // What is seen of others is of use to the council alone; told to all, it would be most of what the links carry.
            let seated = |name: &GatewayName| self.council.as_ref().is_some_and(|c| c.is_member(name));
            let views = if self.council.is_some() { self.members.views(now) } else { Vec::new() };
            for to in self.members.reachable_peers() {
                let views = if seated(to) { views.clone() } else { Vec::new() };
                out.push(NodeAction::Send { to: to.clone(), frame: Frame::Heartbeat { views } });
            }
        }
        self.finish(now, out);
    }

    /// Ends its session in order: the last thing that it does.
    pub fn shut_down(&mut self, now: Duration, out: &mut Vec<NodeAction>) {
        if let Some((to, frame)) = self.holder.close() {
            out.push(NodeAction::Send { to, frame });
        }
        self.finish(now, out);
    }

    fn frame(&mut self, now: Duration, from: &str, frame: Frame, out: &mut Vec<NodeAction>) {
        match frame {
            Frame::Heartbeat { views } => self.members.record_views(now, from, &views),
            Frame::Consensus(word) => {
                let doings = self.council.as_mut().map(|c| c.receive(from, word)).unwrap_or_default();
                self.take(now, doings, out);
            }
            Frame::OpenSession { .. }
            | Frame::RenewSession { .. }
            | Frame::Departures { .. }
            | Frame::CloseSession { .. } => {
                let process = if from == self.settings.gateway {
                    Some(self.process)
                } else {
                    self.members.process(from)
                };
                if let (Some(council), Some(process)) = (&mut self.council, process) {
                    self.keeper.hear(from, process, frame, council, &mut |to, frame| {
                        out.push(NodeAction::Send { to, frame });
                    });
                }
            }
            Frame::SessionGranted { .. }
            | Frame::NoSession { .. }
            | Frame::Unavailable { .. }
            | Frame::StateUpdate(_) => {
                self.holder.hear(now, from, frame, out);
            }
            // Those of staff are the link's affair.
            Frame::AdminQuery(_) | Frame::AdminAnswer(_) | Frame::StateSnapshot(_) => {}
        }
    }

    /// Passes on what the council has come to.
    fn take(&mut self, now: Duration, doings: StepOutput, out: &mut Vec<NodeAction>) {
        if !doings.records.is_empty() {
            out.push(NodeAction::Store(doings.records));
        }
        out.extend(
            doings
                .messages
                .into_iter()
                .map(|s| NodeAction::Send { to: s.to, frame: Frame::Consensus(s.message) }),
        );
        out.extend(doings.notices.iter().map(|notice| NodeAction::Notice(notice.to_string())));
        if doings.state_replaced {
            self.keeper.start_over(now);
        }
        if let Some(council) = &self.council {
            for agreed in &doings.committed {
                let mut send = |to, frame| out.push(NodeAction::Send { to, frame });
                self.keeper.agreed(now, agreed, council.state(), &mut send);
                self.keeper.note(agreed, out);
            }
        }
    }

    /// Has this gateway ask for what it needs, and takes what is for itself.
    fn finish(&mut self, now: Duration, out: &mut Vec<NodeAction>) {
        for (to, frame) in self.holder.ask(now, &self.members) {
            out.push(NodeAction::Send { to, frame });
        }
        loop {
            let mut to_self = Vec::new();
            out.retain(|output| match output {
                NodeAction::Send { to, frame } if *to == self.settings.gateway => {
                    to_self.push(frame.clone());
                    false
                }
                _ => true,
            });
            self.own.extend(to_self);
            let Some(frame) = self.own.pop_front() else { break };
            let own = self.settings.gateway.clone();
            self.frame(now, &own, frame, out);
        }
        let acting = self.holder.acting(now);
        if self.stood.as_ref().is_none_or(|stood| !stood.is_same_kind(&acting)) {
            self.stood = Some(acting.clone());
            out.push(NodeAction::SessionStateChanged(acting));
        }
    }

    /// How the fleet looks from here.
    pub fn status(&self, now: Duration) -> Status {
        let acting = self.holder.acting(now);
        let row =
            |(id, s): (&SessionId, &crate::state_machine::Session), register: &StateMachine| SessionRow {
                gateway: s.name.clone(),
                process: s.process.to_string(),
                session: *id,
                version: s.version.clone(),
                behind: register
                    .current_list_index(&s.version.list.lineage)
                    .unwrap_or_default()
                    .saturating_sub(s.version.list.index),
                out: s.fence_reason.as_ref().map(ToString::to_string),
            };
        let register = self.state_machine();
        Status {
            gateway: self.settings.gateway.clone(),
            process: self.process.to_string(),
            standing: acting.to_string(),
            session: self.holder.session(),
            held_ms: self.holder.held_for(now).as_millis() as u64,
            version: self.holder.version.clone(),
            position: self.log_index(),
            current: self.holder.news.current_list_index,
            leader: self.council.as_ref().and_then(ConsensusGroup::leader).cloned(),
            council: self.council.as_ref().and_then(|c| Some((c.config()?.generation, c.is_voting()))),
            members: self.members.states(now),
            sessions: register.map(|r| r.sessions().iter().map(|s| row(s, r)).collect()).unwrap_or_default(),
            held_out: register.map(|r| r.fenced_by_administrator().cloned().collect()).unwrap_or_default(),
        }
    }

    /// What the register last said to this gateway.
    pub fn last_update(&self) -> &StateUpdate {
        &self.holder.news
    }
}
