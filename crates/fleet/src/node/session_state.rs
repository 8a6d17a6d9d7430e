//! Session state of a gateway: whether the gateway may act.

use crate::state_machine::{FenceReason, SessionId};
use std::fmt;

/// Session state of a gateway, which determines whether the gateway may act.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// The gateway holds a session whose lease has not expired.
    InSession(SessionId),
    /// The gateway holds no session: no replica is reachable, or no replica grants a session.
    WithoutSession,
    /// The gateway is fenced and accepts no client requests.
    Fenced(FenceReason),
}

impl SessionState {
    /// Whether the two states are equal, apart from the session's identifier.
    pub fn is_same_kind(&self, other: &SessionState) -> bool {
        match (self, other) {
            (SessionState::InSession(_), SessionState::InSession(_)) => true,
            _ => self == other,
        }
    }
}

impl fmt::Display for SessionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionState::InSession(id) => write!(f, "in session {id}"),
            SessionState::WithoutSession => write!(f, "alone"),
            SessionState::Fenced(reason) => write!(f, "shut out: {reason}"),
        }
    }
}
