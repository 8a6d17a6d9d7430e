//! Founding a consensus group and changing its configuration.
//!
//! *Founding*: the member whose name sorts first is the founder. The founder founds a group when it knows of none, is linked to every other
//! member, and each other member has announced that it knows of no group and was last linked to this very process of the founder
//! ([`ConsensusMessage::AnnounceConfig`]). Configuration 1 then contains exactly the linked processes. All members must be up; a majority
//! is not enough. A member that knows of a group announces that group, and no other is founded. A group that lost its majority for good is
//! not replaced automatically: stop all members and start them again.
//!
//! *Reconfiguration*: the leader ends the log of a configuration at one entry, the same for all replicas, and the next configuration
//! starts from the state machine at that entry. A new configuration replaces restarted processes and truncates a log that has grown too
//! long. A member that was disconnected receives the newest configuration together with its state machine.

use super::{
    ConfigTag, ConsensusGroup, ConsensusMessage, ConsensusNotice, GroupConfig, KnownConfig, LogStorage,
    OutgoingMessage, PeerMember, ReconfigurationReason, Replica, StepOutput, StorageChange, StoredRecord,
    VotingReplica,
};
use crate::state_machine::StateMachine;
use crate::version::GatewayName;
use omnipaxos::{OmniPaxosConfig, ServerConfig};
use std::collections::BTreeMap;

/// Ticks between two rounds of the consensus library's election heartbeats. A leader that misses a round is replaced.
const ELECTION_TIMEOUT_TICKS: u64 = 4;
/// Ticks after which the consensus library sends messages again that may have been lost.
const RESEND_TIMEOUT_TICKS: u64 = 10;
/// Ticks after which the consensus library sends a batch of proposals that is not full.
const FLUSH_BATCH_TICKS: u64 = 1;
/// Maximum number of proposals in one batch of the consensus library.
const MAX_BATCH_ENTRIES: usize = 64;
/// Ticks for which another process of a replica's name has to be linked before that process takes over the replica's vote.
const REPLACEMENT_DELAY_TICKS: u64 = 20;
/// Number of log entries at which a new configuration truncates the log.
const MAX_LOG_ENTRIES: usize = 4096;

impl ConsensusGroup {
    /// Announces the configuration that this member knows.
    pub(super) fn announce(&self, to: &str, output: &mut StepOutput) {
        let is_linked = self.peers.get(to).is_some_and(|peer| peer.linked_process.is_some());
        if !is_linked {
            return;
        }
        let tag = self.known_config.as_ref().map(|known| known.config.tag());
        let message = ConsensusMessage::AnnounceConfig { tag, followed_founder: self.followed_founder };
        output.messages.push(OutgoingMessage { to: to.to_owned(), message });
    }

    /// Sends the newest configuration to a member that has announced an older configuration or none.
    pub(super) fn send_newer_config(&mut self, to: &str, tag: Option<ConfigTag>, output: &mut StepOutput) {
        let Some(known) = &self.known_config else { return };
        if let Some(tag) = tag {
            if tag.group_id != known.config.group_id {
                self.report_foreign_group(to, output);
                return;
            }
            if tag.generation >= known.config.generation {
                return;
            }
        }
        let message =
            ConsensusMessage::SendConfig { config: known.config.clone(), base: Box::new(known.base.clone()) };
        output.messages.push(OutgoingMessage { to: to.to_owned(), message });
    }

    fn report_foreign_group(&mut self, peer: &str, output: &mut StepOutput) {
        if self.foreign_group_reported {
            return;
        }
        self.foreign_group_reported = true;
        output.notices.push(ConsensusNotice::ForeignGroup { peer: peer.to_owned() });
    }

    /// Founds the group if this is the founding member and every other member accepts this process as founder.
    pub(super) fn found_group_if_all_linked(&mut self, output: &mut StepOutput) {
        if self.known_config.is_some() || self.member_names.first() != Some(&self.name) {
            return;
        }
        let mut replicas = vec![Replica { name: self.name.clone(), process: self.process }];
        for (name, peer) in &self.peers {
            let Some(process) = peer.linked_process else { return };
            let Some(announcement) = peer.announcement else { return };
            if announcement.tag.is_some() || announcement.followed_founder != Some(self.process) {
                return;
            }
            replicas.push(Replica { name: name.clone(), process });
        }
        output.notices.push(ConsensusNotice::Founded);
        self.start_config(GroupConfig::founding(replicas), self.state_machine.clone(), output);
        self.flush_library_output(output);
    }

    /// Adopts a configuration that another member has sent.
    pub(super) fn adopt_config(
        &mut self,
        from: &str,
        config: GroupConfig,
        base: StateMachine,
        output: &mut StepOutput,
    ) {
        let is_adopted = match &self.known_config {
            Some(known) => {
                known.config.group_id == config.group_id && known.config.generation < config.generation
            }
            None => !self.is_abandoned_founding(from, &config),
        };
        if !is_adopted {
            return;
        }
        output.state_replaced = true;
        self.start_config(config, base, output);
    }

    /// Whether `config` is a first configuration whose founder process this member no longer accepts as founder.
    ///
    /// The founder process may have been replaced by another process, which is about to found a group itself. Adopting the older group then
    /// leaves two groups. A configuration that the founding member itself sends is adopted all the same: then the older group does exist.
    fn is_abandoned_founding(&self, from: &str, config: &GroupConfig) -> bool {
        let founder = config.replicas.first().map(|replica| replica.process);
        let is_from_founding_member = self.member_names.first().is_some_and(|first| first == from);
        config.generation == 1
            && config.contains(&self.name, self.process)
            && founder != self.followed_founder
            && !is_from_founding_member
    }

    /// Starts a configuration with an empty log.
    pub(super) fn start_config(&mut self, config: GroupConfig, base: StateMachine, output: &mut StepOutput) {
        self.journal.borrow_mut().clear();
        let record = StoredRecord::ConfigStarted { config: config.clone(), base: Box::new(base.clone()) };
        output.records.push(record);
        self.resume_config(config, base, Vec::new(), output);
    }

    /// Starts a configuration, or resumes a configuration with the storage changes of an earlier process.
    pub(super) fn resume_config(
        &mut self,
        config: GroupConfig,
        base: StateMachine,
        changes: Vec<StorageChange>,
        output: &mut StepOutput,
    ) {
        let replica = self.start_replica(&config, changes);
        let votes = replica.is_some();
        output.notices.push(ConsensusNotice::ConfigStarted { tag: config.tag(), votes });
        self.state_machine = base.clone();
        self.known_config = Some(KnownConfig { config, base, replica });
        let names: Vec<GatewayName> = self.peers.keys().cloned().collect();
        for name in names {
            if let Some(announcement) = self.peers.get(&name).and_then(|peer| peer.announcement) {
                self.send_newer_config(&name, announcement.tag, output);
            }
            self.announce(&name, output);
        }
    }

    /// Starts the consensus library's replica, if this process votes in the configuration.
    fn start_replica(&self, config: &GroupConfig, changes: Vec<StorageChange>) -> Option<VotingReplica> {
        if !config.contains(&self.name, self.process) {
            return None;
        }
        let server_config = ServerConfig {
            pid: config.library_id(&self.name)?,
            election_tick_timeout: ELECTION_TIMEOUT_TICKS,
            resend_message_tick_timeout: RESEND_TIMEOUT_TICKS,
            flush_batch_tick_timeout: FLUSH_BATCH_TICKS,
            batch_size: MAX_BATCH_ENTRIES,
            ..ServerConfig::default()
        };
        let library_config = OmniPaxosConfig { cluster_config: config.cluster_config(), server_config };
        let mut storage = LogStorage::new(self.journal.clone());
        for change in changes {
            storage.restore(change);
        }
        let paxos = library_config.build(storage).ok()?;
        Some(VotingReplica { paxos, applied_entries: 0, is_ending: false })
    }

    /// If this member is the leader, proposes a new configuration once a replica was replaced or the log has reached [`MAX_LOG_ENTRIES`].
    pub(super) fn reconfigure_if_needed(&mut self, output: &mut StepOutput) {
        let is_leader = self.is_leader();
        let Some(known) = &mut self.known_config else { return };
        let replicas = replace_restarted(&known.config.replicas, &mut self.peers);
        let Some(replica) = &mut known.replica else { return };
        if !is_leader || replica.is_ending {
            return;
        }
        let reason = if replica.applied_entries >= MAX_LOG_ENTRIES {
            ReconfigurationReason::LogFull
        } else if replicas != known.config.replicas {
            ReconfigurationReason::ReplicaReplaced
        } else {
            return;
        };
        let next = known.config.successor(replicas);
        let Ok(metadata) = postcard::to_allocvec(&next.replicas) else { return };
        if replica.paxos.reconfigure(next.cluster_config(), Some(metadata)).is_err() {
            return;
        }
        replica.is_ending = true;
        let generation = next.generation;
        output.notices.push(ConsensusNotice::ReconfigurationProposed { generation, reason });
    }
}

/// Returns the replicas, each with the linked process in place of its own once the two have differed for [`REPLACEMENT_DELAY_TICKS`].
/// Counts one tick for each replica whose linked process differs.
fn replace_restarted(replicas: &[Replica], peers: &mut BTreeMap<GatewayName, PeerMember>) -> Vec<Replica> {
    let mut replicas = replicas.to_vec();
    for replica in &mut replicas {
        let Some(peer) = peers.get_mut(&replica.name) else { continue };
        let successor = peer.linked_process.filter(|process| *process != replica.process);
        let Some(successor) = successor else {
            peer.replaced_ticks = 0;
            continue;
        };
        peer.replaced_ticks += 1;
        if peer.replaced_ticks >= REPLACEMENT_DELAY_TICKS {
            replica.process = successor;
        }
    }
    replicas
}
