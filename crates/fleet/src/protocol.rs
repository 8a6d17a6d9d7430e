//! Protocol of the links between gateways and of the administrator's command line: a [`Hello`] in each direction, then [`Frame`]s.
//!
//! Frames are encoded by [`crate::encoding`], and the link writes the length of a frame before the frame. Names and lists in a frame are
//! bounded only by the maximum length of the frame.

mod hello;

pub use crate::state_machine::DepartedEndpoint;
pub use hello::{accept_hello, Caller, Hello, ProtocolError, PROTOCOL_VERSION};

use crate::consensus::ConsensusMessage;
use crate::encoding;
use crate::membership::PeerView;
use crate::state_machine::{Command, FenceReason, SessionId, StateMachine};
use crate::version::{GatewayName, Incarnation, ListVersion, Version};
use serde::{Deserialize, Serialize};

/// Maximum length of a frame, in bytes. A connection that brings a longer frame is closed.
pub const MAX_FRAME_BYTES: usize = encoding::MAX_ENCODED_BYTES;

/// Decodes a frame or a stored record.
///
/// # Errors
/// [`ProtocolError::NotAFrame`] if the bytes are malformed or continue after the frame.
pub fn decode_frame<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, ProtocolError> {
    encoding::decode(bytes).map_err(|error| ProtocolError::NotAFrame(error.to_string()))
}

/// Encodes a frame or a stored record; `None` if the encoding would be longer than [`MAX_FRAME_BYTES`].
pub fn encode_frame<T: Serialize>(frame: &T) -> Option<Vec<u8>> {
    encoding::encode(frame)
}

/// Replicated state that a replica reports to a gateway: the fence of the gateway's session and what the fleet requires.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// Log index up to which the replica had applied commands when it sent the update.
    pub log_index: u64,
    /// Why the gateway is fenced; absent if the gateway is not fenced.
    pub fence_reason: Option<FenceReason>,
    /// Current list index in the lineage of the gateway's endpoint list.
    pub current_list_index: Option<u64>,
    /// Digest of the configuration that administrators require.
    pub required_config: Option<u64>,
    /// Departures that lists newer than the gateway's list report.
    pub departures: Vec<DepartedEndpoint>,
}

/// A query or command of an administrator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminQuery {
    /// Query for the state of the gateway and of the fleet.
    Status,
    /// Query for the decisions under endpoint lists with indices in a range.
    Audit {
        /// Lowest list index of the range.
        from_index: u64,
        /// Highest list index of the range.
        to_index: u64,
    },
    /// Query for the decisions about one request.
    Request {
        /// Identifier of the request, as the client sent it.
        request_id: String,
    },
    /// Proposes a command to the consensus group.
    Propose(Box<Command>),
}

/// A message between gateways, or between an administrator and a gateway.
///
/// Frames are sent with `postcard`: the order of variants and fields must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Heartbeat: shows that the sender is alive.
    Heartbeat {
        /// The sender's view of each of the other gateways.
        views: Vec<(GatewayName, PeerView)>,
    },
    /// A message between members of the consensus group.
    Consensus(ConsensusMessage),
    /// A gateway requests a session.
    OpenSession {
        /// Number of the session request.
        request: u64,
        /// Version that the gateway acts on.
        version: Version,
    },
    /// A gateway renews its session.
    RenewSession {
        /// Session to renew.
        session: SessionId,
        /// Number of the session request.
        request: u64,
        /// Version that the gateway acts on.
        version: Version,
    },
    /// Answer to `OpenSession` or `RenewSession`: the session is open or was renewed.
    SessionGranted {
        /// Session that is granted.
        session: SessionId,
        /// Number of the session request that the frame answers.
        request: u64,
        /// State of the session and the fleet at the time of the grant.
        update: StateUpdate,
    },
    /// State that has changed for a gateway between two renewals.
    StateUpdate(StateUpdate),
    /// Answer to `OpenSession` or `RenewSession`: the session does not exist, or another process holds a session of this gateway's name.
    NoSession {
        /// Number of the session request that the frame answers.
        request: u64,
        /// Process that holds a session of the gateway's name; absent if the session does not exist.
        holder: Option<Incarnation>,
    },
    /// Answer to `OpenSession` or `RenewSession`: the replica can get no command committed now; the gateway should try another replica.
    Unavailable {
        /// Number of the session request that the frame answers.
        request: u64,
    },
    /// The sender's endpoint list reports endpoints that drain or were removed.
    Departures {
        /// Version of the sender's endpoint list.
        list: ListVersion,
        /// Names of the endpoints, each with a flag: true if the endpoint was removed, false if it drains.
        endpoints: Vec<(String, bool)>,
    },
    /// A gateway ends its session.
    CloseSession {
        /// Session to close.
        session: SessionId,
    },
    /// A query of an administrator.
    AdminQuery(AdminQuery),
    /// Answer to an administrator's query, as JSON.
    AdminAnswer(String),
    /// The whole replicated state machine, for administrators.
    StateSnapshot(Box<StateMachine>),
}

#[cfg(test)]
mod tests;
