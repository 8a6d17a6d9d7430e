//! State of the fleet as one gateway sees it, for administrators. The JSON field names are those of version 0.2.0.

use super::Node;
use crate::consensus::ConsensusGroup;
use crate::membership::PeerState;
use crate::state_machine::{Session, SessionId, StateMachine};
use crate::version::{GatewayName, Version};
use serde::Serialize;
use std::time::Duration;

/// State of the fleet as one gateway sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of this gateway.
    pub gateway: GatewayName,
    /// Incarnation of this gateway's process, as text.
    pub process: String,
    /// Session state ([`super::SessionState`]) of this gateway, as text.
    #[serde(rename = "standing")]
    pub session_state: String,
    /// Session that this gateway holds, if any.
    pub session: Option<SessionId>,
    /// Time for which this gateway may still rely on its session, in milliseconds.
    #[serde(rename = "held_ms")]
    pub remaining_lease_ms: u64,
    /// Version that this gateway acts on.
    pub version: Version,
    /// Log index up to which this gateway knows the state machine.
    #[serde(rename = "position")]
    pub log_index: u64,
    /// Current list index in the lineage of this gateway's endpoint list, from a replica's last update.
    #[serde(rename = "current")]
    pub current_list_index: Option<u64>,
    /// Leader of the consensus group, if this gateway is a member and knows a leader.
    pub leader: Option<GatewayName>,
    /// Generation of the consensus group's configuration and whether this process votes, if this gateway is a member.
    #[serde(rename = "council")]
    pub consensus: Option<(u32, bool)>,
    /// State of each peer.
    pub members: Vec<(GatewayName, PeerState)>,
    /// All open sessions; empty if this gateway is not a member of the consensus group.
    pub sessions: Vec<SessionRow>,
    /// Gateways that administrators have fenced; empty if this gateway is not a member of the consensus group.
    #[serde(rename = "held_out")]
    pub fenced_by_administrator: Vec<GatewayName>,
}

/// An open session, as shown to administrators.
#[derive(Clone, Debug, Serialize)]
pub struct SessionRow {
    /// Name of the gateway that holds the session.
    pub gateway: GatewayName,
    /// Process that holds the session.
    pub process: String,
    /// Identifier of the session.
    pub session: SessionId,
    /// Version that the gateway acts on.
    pub version: Version,
    /// Number of versions by which the gateway's endpoint list is older than the current one.
    #[serde(rename = "behind")]
    pub list_lag: u64,
    /// Why the session is fenced; absent if the session is not fenced.
    #[serde(rename = "out")]
    pub fence_reason: Option<String>,
}

impl SessionRow {
    fn new(id: SessionId, session: &Session, state: &StateMachine) -> SessionRow {
        let list = &session.version.list;
        let current_index = state.current_list_index(&list.lineage).unwrap_or_default();
        SessionRow {
            gateway: session.name.clone(),
            process: session.process.to_string(),
            session: id,
            version: session.version.clone(),
            list_lag: current_index.saturating_sub(list.index),
            fence_reason: session.fence_reason.as_ref().map(ToString::to_string),
        }
    }
}

impl Node {
    /// State of the fleet as this gateway sees it.
    pub fn status(&self, now: Duration) -> Status {
        let state = self.state_machine();
        let consensus = self.consensus.as_ref();
        Status {
            gateway: self.settings.gateway.clone(),
            process: self.process.to_string(),
            session_state: self.session_client.state(now).to_string(),
            session: self.session_client.session(),
            remaining_lease_ms: self.session_client.remaining_lease(now).as_millis() as u64,
            version: self.session_client.version().clone(),
            log_index: self.log_index(),
            current_list_index: self.session_client.last_update().current_list_index,
            leader: consensus.and_then(ConsensusGroup::leader).cloned(),
            consensus: consensus.and_then(|group| Some((group.config()?.generation, group.is_voting()))),
            members: self.membership.states(now),
            sessions: state.map(session_rows).unwrap_or_default(),
            fenced_by_administrator: state
                .map(|state| state.fenced_by_administrator().cloned().collect())
                .unwrap_or_default(),
        }
    }
}

fn session_rows(state: &StateMachine) -> Vec<SessionRow> {
    state.sessions().iter().map(|(id, session)| SessionRow::new(*id, session, state)).collect()
}
