//! Whether a gateway may act.

use crate::state_machine::{FenceReason, SessionId};
use std::fmt;

/// Whether a gateway may act, and on what ground.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// It holds a session whose lease has not expired.
    InSession(SessionId),
    /// It holds none: no replica is reachable, or none grants one.
    WithoutSession,
    /// It is fenced and accepts no clients.
    Fenced(FenceReason),
}

impl SessionState {
    /// Whether both states permit the same, whatever the session.
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
