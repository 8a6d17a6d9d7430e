//! Commands of the replicated log and the outcomes of commands.

use super::SessionId;
use crate::version::{GatewayName, Incarnation, ListVersion, Version};
use serde::{Deserialize, Serialize};

/// A change of the state machine, as replicated in the log.
///
/// Commands are stored and sent with `postcard`: the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A process requests a session.
    OpenSession {
        /// Name of the gateway that the process runs as.
        name: GatewayName,
        /// Process that requests the session.
        process: Incarnation,
        /// Version that the gateway acts on.
        version: Version,
        /// Number of the request. A repeated request counts as a renewal, because the holder counts its lease from the newest request.
        request: u64,
    },
    /// Several sessions are renewed; a replica batches the renewal requests of the gateways.
    RenewSessions(Vec<Renewal>),
    /// A session was not renewed for the lease length plus the clock margin, as observed by the replica that proposes the command.
    ExpireSession {
        /// Session to expire.
        session: SessionId,
        /// Renewal count of the session that the proposing replica had observed. A later renewal makes the command obsolete.
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
        /// Version that the gateway lagged with. A change of the session's version makes the command obsolete.
        version: Version,
    },
    /// An administrator fences or unfences a gateway.
    SetFenced {
        /// Name of the gateway.
        name: GatewayName,
        /// Whether the gateway is fenced from now on.
        fenced: bool,
    },
    /// An administrator declares which versions are required.
    SetRequirements(Requirements),
    /// An endpoint list reports endpoints that drain or were removed.
    RecordDepartures {
        /// Version of the endpoint list that reports the departures.
        list: ListVersion,
        /// Names of the endpoints, each with a flag: true if the endpoint was removed, false if it drains.
        endpoints: Vec<(String, bool)>,
        /// Gateway that received the endpoint list.
        reported_by: GatewayName,
    },
}

/// Renewal of one session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    /// Session to renew.
    pub session: SessionId,
    /// Number of the renewal request, counted over the lifetime of the requesting process.
    pub count: u64,
    /// New version that the gateway acts on; absent if the version has not changed.
    pub version: Option<Version>,
}

/// Versions that administrators require; an absent requirement restricts nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Requirements {
    /// Lowest permitted index of endpoint lists of this lineage.
    pub list: Option<ListVersion>,
    /// Digest of the required configuration.
    pub config: Option<u64>,
    /// Identifier of the required build.
    pub build: Option<String>,
}

/// Outcome of an applied command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The session is open.
    Opened(SessionId),
    /// Another process holds a session of the same gateway name; that session has to end first.
    NameTaken {
        /// Process that holds the session of that name.
        holder: Incarnation,
    },
    /// The command changed the state.
    Applied,
    /// The command had no effect: the state that the command referred to had changed before.
    Obsolete,
    /// A lagging session was not fenced, because the maximum number of sessions is fenced already.
    FenceLimitReached,
}
