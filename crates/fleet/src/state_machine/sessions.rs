//! Sessions: opening, renewing and ending them, and fences set by administrators.
//!
//! *Opening*: a gateway sends an open request; the replica that receives the request proposes the command, which succeeds if no other
//! process holds the name. *Renewal*: any replica batches renewals and proposes them once a tick; the holder's lease counts from the moment
//! at which the holder sent the request (`Lease::holder_expiry`). *Expiry*: the leader starts a timer when a session's request number
//! changes, and proposes the expiry after `Lease::grantor_expiry`; these timers restart when the replica becomes leader, after a pause, and
//! when its state was replaced. A renewal that is committed first makes the expiry command obsolete. *Fencing*: a session that the leader
//! saw lagging ([`StateMachine::lag_of`]) for the lag policy's duration is fenced until it has caught up, within the limit on fenced
//! sessions ([`StateMachine::fence_capacity`]).

use super::{CommandOutcome, FenceReason, Renewal, Requirements, StateMachine};
use crate::version::{GatewayName, Incarnation, Version};
use serde::{Deserialize, Serialize};

/// Identifier of a session: the log index at which the session was opened.
///
/// Within one consensus group an identifier is never reused and each new session has a higher one, so a recipient can use the identifier
/// as a fencing token. A newly founded group counts from 1 again.
pub type SessionId = u64;

/// Maximum number of ended sessions that are retained for queries.
const MAX_ENDED_SESSIONS: usize = 1024;

/// An open session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// Name of the gateway that holds the session.
    pub name: GatewayName,
    /// Process that holds the session.
    pub process: Incarnation,
    /// Version that the gateway acts on.
    pub version: Version,
    /// Number of the last request that opened or renewed the session.
    pub renewals: u64,
    /// Why the session is fenced; absent if the session is not fenced.
    pub fence_reason: Option<FenceReason>,
}

/// A session that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedSession {
    /// Name of the gateway that held the session.
    pub name: GatewayName,
    /// Process that held the session.
    pub process: Incarnation,
    /// Log index at which the session ended.
    pub log_index: u64,
    /// Whether the session expired; otherwise the process that held the session closed it.
    pub expired: bool,
}

impl StateMachine {
    pub(super) fn open_session(
        &mut self,
        name: &GatewayName,
        process: Incarnation,
        version: &Version,
        request: u64,
    ) -> CommandOutcome {
        if let Some((id, session)) = self.session_of(name) {
            if session.process != process {
                return CommandOutcome::NameTaken { holder: session.process };
            }
            // The answer to the earlier open request was lost. If the repeated request did not count as a renewal, the session could expire
            // while its holder, which counts the lease from the repeated request, still relies on the session.
            if let Some(session) = self.sessions.get_mut(&id) {
                session.renewals = session.renewals.max(request);
            }
            return CommandOutcome::Opened(id);
        }
        let id = self.log_index;
        let is_fenced = self.fenced_gateways.contains_key(name);
        let session = Session {
            name: name.clone(),
            process,
            version: version.clone(),
            renewals: request,
            fence_reason: is_fenced.then_some(FenceReason::Administrator),
        };
        self.sessions.insert(id, session);
        CommandOutcome::Opened(id)
    }

    pub(super) fn renew_sessions(&mut self, renewals: &[Renewal]) -> CommandOutcome {
        let mut outcome = CommandOutcome::Obsolete;
        let mut version_changed = false;
        for renewal in renewals {
            let Some(session) = self.sessions.get_mut(&renewal.session) else { continue };
            if renewal.count <= session.renewals {
                continue;
            }
            session.renewals = renewal.count;
            if let Some(version) = &renewal.version {
                session.version.clone_from(version);
                version_changed = true;
            }
            outcome = CommandOutcome::Applied;
        }
        if version_changed {
            self.unfence_caught_up();
        }
        outcome
    }

    pub(super) fn expire_session(&mut self, id: SessionId, renewals: u64) -> CommandOutcome {
        match self.sessions.get(&id) {
            Some(session) if session.renewals == renewals => self.end_session(id, SessionEnd::Expired),
            _ => CommandOutcome::Obsolete,
        }
    }

    pub(super) fn close_session(&mut self, id: SessionId) -> CommandOutcome {
        self.end_session(id, SessionEnd::Closed)
    }

    fn end_session(&mut self, id: SessionId, end: SessionEnd) -> CommandOutcome {
        let Some(session) = self.sessions.remove(&id) else { return CommandOutcome::Obsolete };
        let ended = EndedSession {
            name: session.name,
            process: session.process,
            log_index: self.log_index,
            expired: end == SessionEnd::Expired,
        };
        self.ended_sessions.insert(id, ended);
        while self.ended_sessions.len() > MAX_ENDED_SESSIONS {
            self.ended_sessions.pop_first();
        }
        // With one session fewer, the list index that the majority of sessions has reached may be lower.
        self.unfence_caught_up();
        CommandOutcome::Applied
    }

    pub(super) fn fence_gateway(&mut self, name: &GatewayName) -> CommandOutcome {
        let was_fenced = self.fenced_gateways.insert(name.clone(), self.log_index).is_some();
        self.set_fence_reason(name, Some(FenceReason::Administrator));
        if was_fenced {
            return CommandOutcome::Obsolete;
        }
        CommandOutcome::Applied
    }

    /// Ends every fence of the gateway, also one for lagging; a gateway that still lags is fenced again after the policy's duration.
    pub(super) fn unfence_gateway(&mut self, name: &GatewayName) -> CommandOutcome {
        let was_fenced = self.fenced_gateways.remove(name).is_some();
        self.set_fence_reason(name, None);
        if was_fenced {
            return CommandOutcome::Applied;
        }
        CommandOutcome::Obsolete
    }

    fn set_fence_reason(&mut self, name: &str, reason: Option<FenceReason>) {
        for session in self.sessions.values_mut().filter(|session| session.name == name) {
            session.fence_reason.clone_from(&reason);
        }
    }

    pub(super) fn set_requirements(&mut self, requirements: &Requirements) -> CommandOutcome {
        self.requirements = requirements.clone();
        self.unfence_caught_up();
        CommandOutcome::Applied
    }
}

/// How a session ended: it expired, or its process closed it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SessionEnd {
    Expired,
    Closed,
}
