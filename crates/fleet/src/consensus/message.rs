//! Messages between members of the consensus group, records for stable storage, and the output of each step.

use super::{ConfigTag, GroupConfig, StorageChange};
use crate::state_machine::{Command, CommandOutcome, StateMachine};
use crate::version::{GatewayName, Incarnation};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A message from one member of the consensus group to another.
///
/// Messages are sent with `postcard`: the order of variants and fields must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// Announces the configuration that the sender knows.
    #[serde(rename = "Holds")]
    AnnounceConfig {
        /// The newest configuration that the sender knows, if any.
        tag: Option<ConfigTag>,
        /// Process of the founding member that the sender was last linked to, and would accept as founder.
        #[serde(rename = "follows")]
        followed_founder: Option<Incarnation>,
    },
    /// Sends a configuration to a member that has an older configuration or none.
    #[serde(rename = "Formed")]
    SendConfig {
        /// Configuration that is sent.
        config: GroupConfig,
        /// State machine at the beginning of the configuration.
        base: Box<StateMachine>,
    },
    /// Carries a message of the consensus library between two replicas.
    #[serde(rename = "Log")]
    Paxos {
        /// Configuration that the library's message belongs to.
        tag: ConfigTag,
        /// Message of the consensus library.
        message: Box<Message<Command>>,
    },
}

/// A message to send to another member.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Name of the member that the message is sent to.
    pub to: GatewayName,
    /// Message to send to the member.
    pub message: ConsensusMessage,
}

/// A command that was committed and applied.
#[derive(Clone, Debug)]
pub struct Committed {
    /// Command that was committed and applied.
    pub command: Command,
    /// Outcome of the command.
    pub outcome: CommandOutcome,
}

/// A record of the consensus store.
///
/// Records are stored with `postcard`: the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoredRecord {
    /// A configuration of the consensus group begins. All earlier records are obsolete.
    ConfigStarted {
        /// Configuration of the consensus group that begins.
        config: GroupConfig,
        /// State machine at the beginning of the configuration.
        base: Box<StateMachine>,
    },
    /// The log or a promise of this replica has changed.
    StorageChanged(StorageChange),
}

/// Output of one step of a member of the consensus group.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Records that have to be on stable storage before any of the messages is sent.
    pub records: Vec<StoredRecord>,
    /// Messages to other members of the consensus group.
    pub messages: Vec<OutgoingMessage>,
    /// Commands that were committed and applied, in log order.
    pub committed: Vec<Committed>,
    /// Whether the whole state machine was replaced by another member's, because this member had an older configuration or none.
    pub state_replaced: bool,
    /// Events that are logged for administrators.
    pub notices: Vec<ConsensusNotice>,
}

/// An event that administrators should know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsensusNotice {
    /// This member founded the group.
    Founded,
    /// A configuration of the consensus group begins.
    ConfigStarted {
        /// Identifier of the configuration that begins.
        tag: ConfigTag,
        /// Whether this process votes in the configuration.
        votes: bool,
    },
    /// The leader proposes a new configuration.
    ReconfigurationProposed {
        /// Generation number of the new configuration.
        generation: u32,
        /// Why the new configuration is needed.
        reason: ReconfigurationReason,
    },
    /// A peer belongs to another consensus group, although it is in the same fleet.
    ForeignGroup {
        /// Name of the peer.
        peer: GatewayName,
    },
    /// The consensus library panicked; this process no longer votes.
    LibraryFailed {
        /// Sender of the input that the consensus library panicked on.
        origin: String,
    },
}

/// Why a new configuration is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconfigurationReason {
    /// The log has reached its maximum length and is restarted from the current state.
    LogFull,
    /// A member has restarted as another process, which takes over the vote of the earlier process.
    ReplicaReplaced,
}

impl fmt::Display for ConsensusNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConsensusNotice::Founded => {
                f.write_str("consensus group founded: every member is linked, and no member knew of a group")
            }
            ConsensusNotice::ConfigStarted { tag: ConfigTag { group_id, generation }, votes } => {
                let role = if *votes {
                    "this process votes"
                } else {
                    "this process has no vote until the other members add it"
                };
                write!(f, "consensus group {group_id:016x}, configuration {generation}: {role}")
            }
            ConsensusNotice::ReconfigurationProposed { generation, reason } => {
                write!(f, "consensus group: configuration {generation} proposed, because {reason}")
            }
            ConsensusNotice::ForeignGroup { peer } => write!(
                f,
                "{peer} belongs to another consensus group: two groups were founded, or the group was founded again while this process was \
                 disconnected. Stop and restart this process or that peer"
            ),
            ConsensusNotice::LibraryFailed { origin } => write!(
                f,
                "consensus library panicked on a message of {origin}: this process votes no longer. Check whether all members run the \
                 same build (fleet status), stop any member with another build, then restart this process"
            ),
        }
    }
}

impl fmt::Display for ReconfigurationReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReconfigurationReason::LogFull => "the log has reached its maximum length",
            ReconfigurationReason::ReplicaReplaced => "a member has restarted as another process",
        })
    }
}
