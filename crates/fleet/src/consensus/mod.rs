//! The consensus group: three or five named gateways replicate one state machine.
//!
//! The library `omnipaxos` orders the log. This module decides who may vote. A vote belongs to a [`Replica`], a gateway's name together
//! with one process. A process that restarts without its stored promises is another replica, and has no vote until a majority replaces the
//! earlier replica by the new one (module `reconfiguration`); so no vote is cast twice.

mod config;
mod message;
mod reconfiguration;
mod storage;

pub use config::{ConfigTag, GroupConfig, Replica};
pub use message::{
    Committed, ConsensusMessage, ConsensusNotice, OutgoingMessage, ReconfigurationReason, StepOutput,
    StoredRecord,
};
pub use storage::StorageChange;

use crate::state_machine::{Command, StateMachine};
use crate::version::{GatewayName, Incarnation};
use omnipaxos::messages::Message;
use omnipaxos::storage::NoSnapshot;
use omnipaxos::util::LogEntry;
use omnipaxos::OmniPaxos;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;
use storage::{ChangeJournal, LogStorage};

/// Interval between two calls of [`ConsensusGroup::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between two announcements of this member's configuration to each other member.
const ANNOUNCEMENT_INTERVAL_TICKS: u64 = 5;
/// Maximum number of commands that are proposed between two ticks.
const MAX_PROPOSALS_PER_TICK: usize = 512;

impl omnipaxos::storage::Entry for Command {
    type Snapshot = NoSnapshot;
}

/// What this member knows of another member.
#[derive(Clone, Debug, Default)]
struct PeerMember {
    /// Process of the other member that the link leads to, if the link is up.
    linked_process: Option<Incarnation>,
    /// Last announcement of the linked process.
    announcement: Option<Announcement>,
    /// Number of ticks for which a process other than the voting one has been linked under the member's name.
    replaced_ticks: u64,
}

/// Content of [`ConsensusMessage::AnnounceConfig`].
#[derive(Clone, Copy, Debug)]
struct Announcement {
    tag: Option<ConfigTag>,
    followed_founder: Option<Incarnation>,
}

/// The consensus library's replica, for a configuration in which this process votes.
struct VotingReplica {
    paxos: OmniPaxos<Command, LogStorage>,
    /// Number of log entries applied to the state machine.
    applied_entries: usize,
    /// Whether the next configuration was proposed: the log of the current one takes no more entries.
    is_ending: bool,
}

/// The newest configuration that this member knows.
struct KnownConfig {
    config: GroupConfig,
    /// State machine at the beginning of the configuration.
    base: StateMachine,
    /// The library's replica; absent if this process has no vote.
    replica: Option<VotingReplica>,
}

/// One member of the consensus group.
pub struct ConsensusGroup {
    name: GatewayName,
    process: Incarnation,
    /// Names of all members in ascending order; the first one founds the group.
    member_names: Vec<GatewayName>,
    peers: BTreeMap<GatewayName, PeerMember>,
    known_config: Option<KnownConfig>,
    state_machine: StateMachine,
    ticks: u64,
    proposals_since_tick: usize,
    foreign_group_reported: bool,
    /// Process of the founding member that this member accepts as founder: the one that this member was last linked to.
    followed_founder: Option<Incarnation>,
    journal: ChangeJournal,
}

impl ConsensusGroup {
    /// Creates a member that knows of no group. `member_names` lists all members including this one; a new group starts with the state
    /// machine `initial_state`.
    pub fn new(
        name: GatewayName,
        process: Incarnation,
        mut member_names: Vec<GatewayName>,
        initial_state: StateMachine,
    ) -> ConsensusGroup {
        member_names.sort();
        let is_founder = member_names.first() == Some(&name);
        let peer_names = member_names.iter().filter(|member| **member != name);
        let peers = peer_names.map(|member| (member.clone(), PeerMember::default())).collect();
        ConsensusGroup {
            name,
            process,
            member_names,
            peers,
            known_config: None,
            state_machine: initial_state,
            ticks: 0,
            proposals_since_tick: 0,
            foreign_group_reported: false,
            followed_founder: is_founder.then_some(process),
            journal: ChangeJournal::default(),
        }
    }

    /// Restores the records that an earlier process with this vote has stored, in their order. Must be called before any other method.
    pub fn restore(&mut self, records: Vec<StoredRecord>) {
        let mut started = None;
        let mut changes = Vec::new();
        for record in records {
            match record {
                StoredRecord::ConfigStarted { config, base } => {
                    started = Some((config, base));
                    changes.clear();
                }
                StoredRecord::StorageChanged(change) => changes.push(change),
            }
        }
        let Some((config, base)) = started else { return };
        // The output of the restored steps is dropped: nobody waits for commands that an earlier process applied, and no link is up yet.
        let mut output = StepOutput::default();
        self.resume_config(config, *base, changes, &mut output);
        self.apply_decided(&mut output);
        self.journal.borrow_mut().clear();
    }

    /// Ends this process's vote, because its promises can no longer be stored.
    pub fn stop_voting(&mut self) {
        if let Some(known) = &mut self.known_config {
            known.replica = None;
        }
    }

    /// The state machine as far as this member has applied the log.
    pub fn state(&self) -> &StateMachine {
        &self.state_machine
    }

    /// The newest configuration that this member knows.
    pub fn config(&self) -> Option<&GroupConfig> {
        self.known_config.as_ref().map(|known| &known.config)
    }

    /// Whether this process votes in the newest configuration.
    pub fn is_voting(&self) -> bool {
        self.known_config.as_ref().is_some_and(|known| known.replica.is_some())
    }

    /// Name of the leader, as far as this member knows.
    pub fn leader(&self) -> Option<&GatewayName> {
        let known = self.known_config.as_ref()?;
        let (leader_id, is_followed) = known.replica.as_ref()?.paxos.get_current_leader()?;
        let leader = known.config.replica_by_library_id(leader_id)?;
        // A leader that no replica follows yet cannot commit anything.
        (is_followed || leader.name == self.name).then_some(&leader.name)
    }

    /// Whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        self.leader() == Some(&self.name)
    }

    /// Whether a gateway of this name is a member.
    pub fn is_member(&self, name: &str) -> bool {
        self.peers.contains_key(name) || self.name == name
    }

    /// Proposes a command. Returns whether the command was accepted for replication. An accepted command may still be lost: the caller must
    /// propose the command again until it is committed.
    pub fn propose(&mut self, command: Command) -> bool {
        let mut is_proposed = false;
        self.run_guarded("an administrator or a gateway", |group, _| is_proposed = group.append(command));
        is_proposed
    }

    /// Records that the link to this process of another member is up.
    pub fn link_up(&mut self, name: &str, process: Incarnation) -> StepOutput {
        self.run_guarded(name, |group, output| group.handle_link_up(name, process, output))
    }

    /// Records that the link to another member is down.
    pub fn link_down(&mut self, name: &str) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.linked_process = None;
        peer.announcement = None;
    }

    /// Advances time by one [`TICK_INTERVAL`].
    pub fn tick(&mut self) -> StepOutput {
        self.run_guarded("a member", ConsensusGroup::advance_tick)
    }

    /// Handles a message of another member.
    pub fn receive(&mut self, from: &str, message: ConsensusMessage) -> StepOutput {
        self.run_guarded(from, |group, output| group.handle_message(from, message, output))
    }

    /// Runs a step that calls the consensus library, and ends this member's vote if the library panics.
    ///
    /// The library trusts the messages of other replicas and panics if messages contradict each other, as messages from another build or a
    /// faulty machine may. Without this guard, one contradictory message would end the gateway. After a panic this member no longer votes,
    /// and no message or record of the failed step is sent or stored, since the library's state may be inconsistent.
    fn run_guarded(
        &mut self,
        origin: &str,
        step: impl FnOnce(&mut ConsensusGroup, &mut StepOutput),
    ) -> StepOutput {
        let mut output = StepOutput::default();
        let result = catch_unwind(AssertUnwindSafe(|| step(self, &mut output)));
        if result.is_ok() {
            return output;
        }
        self.stop_voting();
        self.journal.replace(Vec::new());
        let notice = ConsensusNotice::LibraryFailed { origin: origin.to_owned() };
        StepOutput { notices: vec![notice], ..StepOutput::default() }
    }

    fn append(&mut self, command: Command) -> bool {
        if self.leader().is_none() || self.proposals_since_tick >= MAX_PROPOSALS_PER_TICK {
            return false;
        }
        let Some(replica) = self.known_config.as_mut().and_then(|known| known.replica.as_mut()) else {
            return false;
        };
        if replica.is_ending || replica.paxos.append(command).is_err() {
            return false;
        }
        self.proposals_since_tick += 1;
        true
    }

    fn handle_link_up(&mut self, name: &str, process: Incarnation, output: &mut StepOutput) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.linked_process != Some(process) {
            peer.announcement = None;
        }
        peer.linked_process = Some(process);
        if self.member_names.first().is_some_and(|founder| founder == name) {
            self.followed_founder = Some(process);
        }
        self.announce(name, output);
        let Some(known) = &mut self.known_config else { return };
        if known.config.contains(name, process) {
            if let (Some(replica), Some(id)) = (&mut known.replica, known.config.library_id(name)) {
                replica.paxos.reconnected(id);
            }
        }
        self.flush_library_output(output);
    }

    fn advance_tick(&mut self, output: &mut StepOutput) {
        self.ticks += 1;
        if let Some(replica) = self.known_config.as_mut().and_then(|known| known.replica.as_mut()) {
            replica.paxos.tick();
        }
        if self.ticks.is_multiple_of(ANNOUNCEMENT_INTERVAL_TICKS) {
            let names: Vec<GatewayName> = self.peers.keys().cloned().collect();
            for name in names {
                self.announce(&name, output);
            }
        }
        self.found_group_if_all_linked(output);
        self.reconfigure_if_needed(output);
        self.proposals_since_tick = 0;
        self.apply_decided(output);
    }

    fn handle_message(&mut self, from: &str, message: ConsensusMessage, output: &mut StepOutput) {
        let Some(process) = self.peers.get(from).and_then(|peer| peer.linked_process) else { return };
        match message {
            ConsensusMessage::AnnounceConfig { tag, followed_founder } => {
                if let Some(peer) = self.peers.get_mut(from) {
                    peer.announcement = Some(Announcement { tag, followed_founder });
                }
                self.send_newer_config(from, tag, output);
                self.found_group_if_all_linked(output);
            }
            ConsensusMessage::SendConfig { config, base } => self.adopt_config(from, config, *base, output),
            ConsensusMessage::Paxos { tag, message } => self.handle_log_message(from, process, tag, *message),
        }
        self.apply_decided(output);
    }

    /// Passes a message to the consensus library if the message comes from the replica that it names as its sender.
    ///
    /// The library trusts the identifiers in a message. Without this check, a restarted process could vote in place of an earlier one.
    fn handle_log_message(
        &mut self,
        from: &str,
        process: Incarnation,
        tag: ConfigTag,
        message: Message<Command>,
    ) {
        let Some(known) = &mut self.known_config else { return };
        let config = &known.config;
        let sender_id = config.library_id(from);
        let own_id = config.library_id(&self.name);
        let sender = sender_id.and_then(|id| config.replica_by_library_id(id));
        let is_from_replica = sender.is_some_and(|replica| replica.process == process);
        let ids_match = sender_id == Some(message.get_sender()) && own_id == Some(message.get_receiver());
        if config.tag() != tag || !is_from_replica || !ids_match {
            return;
        }
        if let Some(replica) = &mut known.replica {
            replica.paxos.handle_incoming(message);
        }
    }

    /// Applies the log entries that have been decided, sends the messages of the consensus library, and starts the next configuration if
    /// the log of the current configuration has ended.
    fn apply_decided(&mut self, output: &mut StepOutput) {
        let next_config = self.apply_decided_entries(output);
        // The ending configuration's messages are sent before that configuration is dropped: members that have not seen the end need them.
        self.flush_library_output(output);
        if let Some(config) = next_config {
            let base = self.state_machine.clone();
            self.start_config(config, base, output);
        }
    }

    /// Applies the decided log entries; returns the next configuration if the log of the current one has ended.
    fn apply_decided_entries(&mut self, output: &mut StepOutput) -> Option<GroupConfig> {
        let known = self.known_config.as_mut()?;
        let replica = known.replica.as_mut()?;
        let mut next_config = None;
        for entry in replica.paxos.read_decided_suffix(replica.applied_entries).unwrap_or_default() {
            match entry {
                LogEntry::Decided(command) => {
                    replica.applied_entries += 1;
                    let outcome = self.state_machine.apply(&command);
                    output.committed.push(Committed { command, outcome });
                }
                LogEntry::StopSign(stop_sign, true) => {
                    let metadata = stop_sign.metadata;
                    let replicas = metadata.and_then(|bytes| postcard::from_bytes(&bytes).ok());
                    next_config = replicas.map(|replicas| GroupConfig {
                        group_id: known.config.group_id,
                        generation: stop_sign.next_config.configuration_id,
                        replicas,
                    });
                }
                _ => {}
            }
        }
        next_config
    }

    /// Moves the consensus library's storage changes and messages to the step's output.
    fn flush_library_output(&mut self, output: &mut StepOutput) {
        output.records.extend(self.journal.borrow_mut().drain(..).map(StoredRecord::StorageChanged));
        let Some(known) = &mut self.known_config else { return };
        let Some(replica) = &mut known.replica else { return };
        let mut messages = Vec::new();
        replica.paxos.take_outgoing_messages(&mut messages);
        for message in messages {
            let Some(receiver) = known.config.replica_by_library_id(message.get_receiver()) else { continue };
            // A process that replaced the receiving process must not get messages that were meant for the replaced one.
            let linked_process = self.peers.get(&receiver.name).and_then(|peer| peer.linked_process);
            if linked_process != Some(receiver.process) {
                continue;
            }
            let message = ConsensusMessage::Paxos { tag: known.config.tag(), message: Box::new(message) };
            output.messages.push(OutgoingMessage { to: receiver.name.clone(), message });
        }
    }
}
