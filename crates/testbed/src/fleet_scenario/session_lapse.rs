//! When a gateway had lost its session and not yet got the next one, from the history of a run on real processes.

use super::history::{History, HistoryRecord, Observation};
use super::live::OBSERVATION_TOLERANCE;
use super::stand_ins::ClientRequest;
use std::collections::BTreeMap;
use std::time::Duration;
use weldworks_fleet::node::SessionState;
use weldworks_fleet::state_machine::SessionId;

/// The time in which a gateway had no session, because its last one had expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SessionLapse {
    pub(super) gateway: usize,
    /// The session that expired.
    pub(super) session: SessionId,
    /// When a voter reported the expiry.
    pub(super) expired_at: Duration,
    /// When the gateway had its next session, or another process; the end of the run if it had neither.
    pub(super) until: Duration,
}

impl SessionLapse {
    /// Whether the gateway served this request although the client sent it during the lapse.
    pub(super) fn is_served_during(&self, request: &ClientRequest) -> bool {
        request.gateway == self.gateway
            && request.status == Some(200)
            && request.sent_at > self.expired_at + OBSERVATION_TOLERANCE
            && request.ended_at < self.until.saturating_sub(OBSERVATION_TOLERANCE)
    }
}

/// The process that held a session.
#[derive(Clone, Copy)]
struct SessionHolder {
    gateway: usize,
    process: usize,
}

/// The lapses behind all reports of an expiry. Each voter reports an expiry when it applies it.
pub(super) fn session_lapses(history: &History) -> Vec<SessionLapse> {
    let holders = session_holders(history);
    let mut lapses = Vec::new();
    for record in &history.records {
        let Observation::SessionExpired(session) = record.observation else { continue };
        let Some(holder) = holders.get(&session) else { continue };
        let until = lapse_end(history, *holder, session, record.at);
        lapses.push(SessionLapse { gateway: holder.gateway, session, expired_at: record.at, until });
    }
    lapses
}

fn session_holders(history: &History) -> BTreeMap<SessionId, SessionHolder> {
    let mut holders = BTreeMap::new();
    for record in &history.records {
        if let Observation::SessionStateChanged(SessionState::InSession(session)) = record.observation {
            holders.insert(session, SessionHolder { gateway: record.gateway, process: record.process });
        }
    }
    holders
}

/// When the gateway had a newer session, or after the expiry another process. Session ids grow, so that a newer session is known by its id.
/// Its record may lie before the expiry's: a voter that lags applies and reports an expiry after the gateway has got its next session.
fn lapse_end(history: &History, holder: SessionHolder, session: SessionId, expired_at: Duration) -> Duration {
    let ends_lapse = |record: &&HistoryRecord| {
        let has_newer_session = matches!(
            record.observation,
            Observation::SessionStateChanged(SessionState::InSession(other)) if other > session
        );
        let is_later_process = record.process > holder.process && record.at > expired_at;
        record.gateway == holder.gateway && (has_newer_session || is_later_process)
    };
    history.records.iter().find(ends_lapse).map_or(Duration::MAX, |record| record.at)
}

#[cfg(test)]
mod tests;
