//! Protocol of the links between gateways and of the administrators' command line: a [`Hello`] in each direction, then [`Frame`]s.
//!
//! Frames are encoded by [`crate::encoding`]; the link writes the length of a frame before it. Names and lists in a frame are bounded by
//! the length of the frame.

mod hello;

pub use crate::state_machine::DepartedEndpoint;
pub use hello::{accept_hello, Caller, Hello, ProtocolError, PROTOCOL_VERSION};

use crate::consensus::ConsensusMessage;
use crate::encoding;
use crate::membership::PeerView;
use crate::state_machine::{Command, FenceReason, SessionId, StateMachine};
use crate::version::{GatewayName, Incarnation, ListVersion, Version};
use serde::{Deserialize, Serialize};

/// Maximum length of a frame, in bytes. A longer one closes the connection.
pub const MAX_FRAME_BYTES: usize = encoding::MAX_ENCODED_BYTES;

/// Decodes a frame or a stored record.
///
/// # Errors
/// [`ProtocolError::NotAFrame`] if the bytes are malformed or continue after the frame.
pub fn decode_frame<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, ProtocolError> {
    encoding::decode(bytes).map_err(|error| ProtocolError::NotAFrame(error.to_string()))
}

/// Encodes a frame or a stored record; `None` if it would be longer than [`MAX_FRAME_BYTES`].
pub fn encode_frame<T: Serialize>(frame: &T) -> Option<Vec<u8>> {
    encoding::encode(frame)
}

/// What a replica tells a gateway about its session and the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// Log index up to which the replica had applied commands.
    pub log_index: u64,
    /// Why the gateway is fenced, if it is.
    pub fence_reason: Option<FenceReason>,
    /// Current index of the lineage of the gateway's endpoint list.
    pub current_list_index: Option<u64>,
    /// Digest of the configuration that administrators require.
    pub required_config: Option<u64>,
    /// Departures that newer lists than the gateway's report.
    pub departures: Vec<DepartedEndpoint>,
}

/// A query or command of an administrator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminQuery {
    /// State of the gateway and of the fleet.
    Status,
    /// Decisions under endpoint lists with indices in a range.
    Audit {
        /// Least list index.
        from_index: u64,
        /// Greatest list index.
        to_index: u64,
    },
    /// Decisions about one request.
    Request {
        /// Identifier of the request, as the client sent it.
        request_id: String,
    },
    /// Proposes a command to the consensus group.
    Propose(Box<Command>),
}

/// A message between gateways, or between an administrator and a gateway.
///
/// It is sent with `postcard`: the order of variants and fields stays as it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// The sender is alive.
    Heartbeat {
        /// How it sees the other gateways.
        views: Vec<(GatewayName, PeerView)>,
    },
    /// A message between members of the consensus group.
    Consensus(ConsensusMessage),
    /// A gateway asks for a session.
    OpenSession {
        /// Number of the request.
        request: u64,
        /// Version that the gateway acts on.
        version: Version,
    },
    /// A gateway renews its session.
    RenewSession {
        /// The session.
        session: SessionId,
        /// Number of the request.
        request: u64,
        /// Version that the gateway acts on.
        version: Version,
    },
    /// The session is open or was renewed.
    SessionGranted {
        /// The session.
        session: SessionId,
        /// Number of the request that this answers.
        request: u64,
        /// What has changed for the gateway.
        update: StateUpdate,
    },
    /// Something has changed for a gateway between two renewals.
    StateUpdate(StateUpdate),
    /// The session does not exist, or another process holds one of this name.
    NoSession {
        /// Number of the request that this answers.
        request: u64,
        /// The process that holds the name, if that is the reason.
        holder: Option<Incarnation>,
    },
    /// The replica cannot have anything committed now; the gateway should ask another one.
    Unavailable {
        /// Number of the request that this answers.
        request: u64,
    },
    /// The sender's endpoint list reports endpoints that drain or were removed.
    Departures {
        /// The sender's list.
        list: ListVersion,
        /// Names of the endpoints, each with whether it was removed rather than drains.
        endpoints: Vec<(String, bool)>,
    },
    /// A gateway ends its session.
    CloseSession {
        /// The session.
        session: SessionId,
    },
    /// A query of an administrator.
    AdminQuery(AdminQuery),
    /// Answer to a query, as JSON.
    AdminAnswer(String),
    /// The whole state machine, for administrators.
    StateSnapshot(Box<StateMachine>),
}

#[cfg(test)]
mod tests;
