//! Commands of the replicated log and their outcomes.

use super::SessionId;
use crate::version::{GatewayName, Incarnation, ListVersion, Version};
use serde::{Deserialize, Serialize};

/// A change of the state machine, as replicated in the log.
///
/// It is stored and sent with `postcard`: the order of variants and fields stays as it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A process asks for a session.
    OpenSession {
        /// Gateway of the process.
        name: GatewayName,
        /// Process that asks.
        process: Incarnation,
        /// Version that it acts on.
        version: Version,
        /// Number of its request. A repeated request counts as a renewal, because the holder counts its lease from the newest one.
        request: u64,
    },
    /// Several sessions are renewed; a replica batches the requests of the gateways.
    RenewSessions(Vec<Renewal>),
    /// A session was not renewed for a lease and its margin, as observed by the replica that proposes this.
    ExpireSession {
        /// Session to expire.
        session: SessionId,
        /// Renewal count that the replica had observed. A later renewal makes the command obsolete.
        renewals: u64,
    },
    /// A process ends its own session while shutting down.
    CloseSession {
        /// Session to close.
        session: SessionId,
    },
    /// A session is to be fenced because its gateway lagged for longer than the policy allows.
    FenceLagging {
        /// Session to fence.
        session: SessionId,
        /// Version that it lagged with. A newer version of the session makes the command obsolete.
        version: Version,
    },
    /// An administrator fences a gateway or ends its fence.
    SetFenced {
        /// Name of the gateway.
        name: GatewayName,
        /// Whether it is fenced from now on.
        fenced: bool,
    },
    /// An administrator declares which versions are required.
    SetRequirements(Requirements),
    /// An endpoint list reports endpoints that drain or were removed.
    RecordDepartures {
        /// The list that reports it.
        list: ListVersion,
        /// Names of the endpoints, each with whether it was removed rather than drains.
        endpoints: Vec<(String, bool)>,
        /// Gateway that received the list.
        reported_by: GatewayName,
    },
}

/// Renewal of one session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    /// Session to renew.
    pub session: SessionId,
    /// Number of the request, counted over the lifetime of its process.
    pub count: u64,
    /// New version that the gateway acts on, if it has changed.
    pub version: Option<Version>,
}

/// Versions that administrators require; an absent one is not restricted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Requirements {
    /// Least index for lists of this lineage.
    pub list: Option<ListVersion>,
    /// Digest of the configuration.
    pub config: Option<u64>,
    /// Build identifier.
    pub build: Option<String>,
}

/// Outcome of an applied command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The session is open.
    Opened(SessionId),
    /// Another process holds a session of this name, which has to end first.
    NameTaken {
        /// The process that holds it.
        holder: Incarnation,
    },
    /// The command changed the state.
    Applied,
    /// The command had no effect: what it referred to had changed before.
    Obsolete,
    /// A lagging session was not fenced, because as many as allowed are fenced already.
    FenceLimitReached,
}
