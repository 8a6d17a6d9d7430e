//! Messages between members, records for stable storage, and the output of each step.

use super::{ConfigTag, GroupConfig, StorageChange};
use crate::state_machine::{Command, CommandOutcome, StateMachine};
use crate::version::{GatewayName, Incarnation};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A message from member to member.
///
/// It is sent with `postcard`: the order of variants and fields stays as it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// Announces the configuration that the sender knows.
    Holds {
        /// The newest configuration that the sender knows, if any.
        tag: Option<ConfigTag>,
        /// Process of the founding gateway that the sender would follow.
        follows: Option<Incarnation>,
    },
    /// Transfers a configuration to a member that has an older one or none.
    Formed {
        /// The configuration.
        config: GroupConfig,
        /// State machine at the beginning of the configuration.
        base: Box<StateMachine>,
    },
    /// Carries a message of the replication library.
    Log {
        /// Configuration that the message belongs to.
        tag: ConfigTag,
        /// Message of the library.
        message: Box<Message<Command>>,
    },
}

/// A message that is to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Member that it is sent to.
    pub to: GatewayName,
    /// Message to send.
    pub message: ConsensusMessage,
}

/// A command that was committed and applied.
#[derive(Clone, Debug)]
pub struct Committed {
    /// Command that was applied.
    pub command: Command,
    /// Outcome of the command.
    pub outcome: CommandOutcome,
}

/// A record of the consensus store.
///
/// It is stored with `postcard`: the order of variants and fields stays as it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoredRecord {
    /// A configuration begins. All earlier records are obsolete.
    ConfigStarted {
        /// The configuration.
        config: GroupConfig,
        /// State machine at its beginning.
        base: Box<StateMachine>,
    },
    /// The log or a promise of this replica has changed.
    StorageChanged(StorageChange),
}

/// Output of one step of a member.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Records that have to be on stable storage before any of the messages is sent.
    pub records: Vec<StoredRecord>,
    /// Messages to other members.
    pub messages: Vec<OutgoingMessage>,
    /// Commands applied, in log order.
    pub committed: Vec<Committed>,
    /// Whether the whole state machine was replaced, because this member had been away.
    pub state_replaced: bool,
    /// Events for the log of the administrators.
    pub notices: Vec<ConsensusNotice>,
}

/// An event that administrators should know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsensusNotice {
    /// This member founded the group.
    Founded,
    /// A configuration begins.
    ConfigStarted {
        /// The configuration.
        tag: ConfigTag,
        /// Whether this process votes in it.
        votes: bool,
    },
    /// The leader proposes a new configuration.
    ReconfigurationProposed {
        /// Number of the new configuration.
        generation: u32,
        /// Why it is needed.
        reason: ReconfigurationReason,
    },
    /// A peer belongs to another consensus group of the same fleet.
    ForeignGroup {
        /// Name of the peer.
        peer: GatewayName,
    },
    /// The replication library panicked; this process does not vote any more.
    LibraryFailed {
        /// Who sent the input that the library failed on.
        origin: String,
    },
}

/// Why a new configuration is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconfigurationReason {
    /// The log has grown long and is started again from the current state.
    LogFull,
    /// A member has restarted as another process, which takes its vote over.
    ReplicaReplaced,
}

impl fmt::Display for ConsensusNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConsensusNotice::Founded => {
                f.write_str("consensus group founded: every member is linked, and none knew of a group")
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
                "{peer} belongs to another consensus group: two were founded, or one was founded again while this process was away. \
                 End this process or that one, and start it again"
            ),
            ConsensusNotice::LibraryFailed { origin } => write!(
                f,
                "consensus library panicked on a message of {origin}: this process votes no longer. See whether the members run one \
                 build (fleet status), end the odd one, then start this one again"
            ),
        }
    }
}

impl fmt::Display for ReconfigurationReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReconfigurationReason::LogFull => "the log has grown long",
            ReconfigurationReason::ReplicaReplaced => "a member has restarted as another process",
        })
    }
}
