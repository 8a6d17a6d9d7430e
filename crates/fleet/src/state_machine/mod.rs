//! The replicated state machine: sessions, fences, requirements and departed endpoints, equal at every replica.
//!
//! Only [`StateMachine::apply`] changes the state. It is deterministic and reads no clock: a command that depends on time is proposed by a
//! replica that waited, and names the state that this replica observed, so that the command has no effect if that state has changed.

mod command;
mod departures;
mod sessions;
mod version_lag;

pub use command::{Command, CommandOutcome, Renewal, Requirements};
pub use departures::{DepartedEndpoint, Departure, DepartureKind};
pub use sessions::{EndedSession, Session, SessionId};
pub use version_lag::{FenceReason, LaggingSession, VersionLag};

use crate::settings::LagPolicy;
use crate::version::GatewayName;
use departures::DepartureKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State that the consensus group replicates.
///
/// The state is stored and sent with `postcard` and hashed by the model checker: the order of the fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateMachine {
    log_index: u64,
    sessions: BTreeMap<SessionId, Session>,
    ended_sessions: BTreeMap<SessionId, EndedSession>,
    departures: BTreeMap<DepartureKey, Departure>,
    requirements: Requirements,
    /// Gateways that an administrator has fenced, each with the log index of the command that did so.
    fenced_gateways: BTreeMap<GatewayName, u64>,
    /// Maximum fraction of the sessions that may be fenced at once, in thousandths: a whole number, so that all replicas compute the same.
    max_fenced_permille: u64,
    /// Number of versions by which an endpoint list must be older than the current one to count as lagging.
    max_list_lag: u64,
}

impl StateMachine {
    /// Creates an empty state machine. All replicas must have the same lag policy.
    pub fn new(policy: &LagPolicy) -> StateMachine {
        StateMachine {
            max_fenced_permille: (policy.max_fenced_fraction * 1000.0).round() as u64,
            max_list_lag: policy.max_list_lag,
            ..StateMachine::default()
        }
    }

    /// Number of commands applied since the group was founded, across all configurations. The log index is not an index of the consensus
    /// library's log, which starts empty with each configuration.
    pub fn log_index(&self) -> u64 {
        self.log_index
    }

    /// Open sessions, by identifier.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// Sessions that have ended, by identifier; only the most recently opened ones are retained.
    pub fn ended_sessions(&self) -> &BTreeMap<SessionId, EndedSession> {
        &self.ended_sessions
    }

    /// Versions that administrators require.
    pub fn requirements(&self) -> &Requirements {
        &self.requirements
    }

    /// Gateways that administrators have fenced, by name.
    pub fn fenced_by_administrator(&self) -> impl Iterator<Item = &GatewayName> {
        self.fenced_gateways.keys()
    }

    /// Open session of the named gateway, if there is one.
    pub fn session_of(&self, name: &str) -> Option<(SessionId, &Session)> {
        self.sessions.iter().find(|(_, session)| session.name == name).map(|(id, session)| (*id, session))
    }

    /// Applies the next command of the replicated log.
    pub fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.log_index += 1;
        match command {
            Command::OpenSession { name, process, version, request } => {
                self.open_session(name, *process, version, *request)
            }
            Command::RenewSessions(renewals) => self.renew_sessions(renewals),
            Command::ExpireSession { session, renewals } => self.expire_session(*session, *renewals),
            Command::CloseSession { session } => self.close_session(*session),
            Command::FenceLagging { session, version } => self.fence_lagging(*session, version),
            Command::SetFenced { name, fenced: true } => self.fence_gateway(name),
            Command::SetFenced { name, fenced: false } => self.unfence_gateway(name),
            Command::SetRequirements(requirements) => self.set_requirements(requirements),
            Command::RecordDepartures { list, endpoints, reported_by } => {
                self.record_departures(list, endpoints, reported_by)
            }
        }
    }
}
