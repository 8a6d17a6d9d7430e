//! History of a run: session states of the gateways, entries applied by the consensus group, and leaders. All checks read this history,
//! whichever runner wrote it.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;
use weldworks_fleet::node::SessionState;
use weldworks_fleet::state_machine::{FenceReason, SessionId};

/// What a runner observed of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The session state of a gateway process changed to the given state.
    SessionStateChanged(SessionState),
    /// A gateway process ended.
    ProcessEnded,
    /// A voter applied a log entry to its state machine.
    EntryApplied {
        /// Identifier of the consensus group.
        group_id: u64,
        /// Log index of the applied entry.
        log_index: u64,
        /// Digest of the state machine after the entry was applied.
        digest: u64,
    },
    /// A voter counts the session with this identifier as expired.
    SessionExpired(SessionId),
    /// A voter has fenced the session with this identifier.
    SessionFenced(SessionId),
    /// A voter became the leader.
    BecameLeader,
}

/// One observation, with its time and its gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryRecord {
    /// Time since the start of the run, by the test bed's own clock and not by the gateway's.
    pub at: Duration,
    /// Number of the gateway, counted from 0.
    pub gateway: usize,
    /// Number of the gateway's process, counted from 0: each restart adds one.
    pub process: usize,
    /// What was observed of the gateway process.
    pub observation: Observation,
}

/// All observations of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The records in the order in which they were made.
    pub records: Vec<HistoryRecord>,
}

/// Figures of a run in virtual time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Longest time without a leader after the first leader, in seconds.
    pub leaderless_s: f64,
    /// Fraction of all gateways' time that is spent in a session, from 3 s after the start of the run.
    #[serde(rename = "in_session")]
    pub in_session_fraction: f64,
    /// Fraction of all gateways' time that is spent fenced, from 3 s after the start of the run.
    #[serde(rename = "shut_out")]
    pub fenced_fraction: f64,
    /// Time from a process's start to its first session, in seconds: median and maximum.
    pub first_session_s: (f64, f64),
    /// Number of entries in the consensus group's log at the end of the run.
    #[serde(rename = "entries")]
    pub log_entries: u64,
    /// Frames sent by all gateways together, per second.
    #[serde(rename = "frames_s")]
    pub frames_per_s: f64,
    /// Bytes sent by all gateways together, per second.
    #[serde(rename = "bytes_s")]
    pub bytes_per_s: f64,
    /// Time from a gateway's discovery being frozen until the gateway is fenced, in seconds, one value for each case.
    #[serde(rename = "to_shut_out_s")]
    pub time_to_fence_s: Vec<f64>,
    /// Time from a gateway's discovery working again until the gateway is unfenced, in seconds, one value for each case.
    #[serde(rename = "to_let_in_s")]
    pub time_to_unfence_s: Vec<f64>,
}

impl History {
    /// Appends a record to the history.
    pub fn append(&mut self, at: Duration, gateway: usize, process: usize, observation: Observation) {
        self.records.push(HistoryRecord { at, gateway, process, observation });
    }

    /// Violations of the rules that hold in every run, whatever its faults.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut first_digests: BTreeMap<(u64, u64), (u64, usize)> = BTreeMap::new();
        let mut group_ids: BTreeSet<u64> = BTreeSet::new();
        let mut expired: BTreeSet<SessionId> = BTreeSet::new();
        // For each gateway, the processes that are in a session, with the session's identifier.
        let mut active_sessions: BTreeMap<usize, BTreeMap<usize, SessionId>> = BTreeMap::new();
        for record in &self.records {
            let (gateway, process, at) = (record.gateway, record.process, record.at);
            match &record.observation {
                Observation::EntryApplied { group_id, log_index, digest } => {
                    group_ids.insert(*group_id);
                    let (first_digest, first_gateway) =
                        *first_digests.entry((*group_id, *log_index)).or_insert((*digest, gateway));
                    if first_digest != *digest {
                        violations.push(format!(
                            "{at:?}: the state machines of gateways {first_gateway} and {gateway} differ after entry {log_index}"
                        ));
                    }
                }
                Observation::SessionExpired(session) => {
                    expired.insert(*session);
                    let active = active_sessions.iter().find(|(_, sessions)| {
                        sessions.values().any(|active_session| active_session == session)
                    });
                    if let Some((holder, _)) = active {
                        violations.push(format!(
                            "{at:?}: session {session} has expired at gateway {gateway}, but gateway {holder} still acts in it"
                        ));
                    }
                }
                Observation::SessionStateChanged(SessionState::InSession(session)) => {
                    if expired.contains(session) {
                        violations.push(format!(
                            "{at:?}: gateway {gateway} acts in session {session}, which has expired"
                        ));
                    }
                    let sessions = active_sessions.entry(gateway).or_default();
                    sessions.insert(process, *session);
                    if sessions.len() > 1 {
                        violations.push(format!(
                            "{at:?}: two processes of gateway {gateway} act in sessions at once"
                        ));
                    }
                }
                Observation::SessionStateChanged(_) | Observation::ProcessEnded => {
                    if let Some(sessions) = active_sessions.get_mut(&gateway) {
                        sessions.remove(&process);
                    }
                }
                Observation::SessionFenced(_) | Observation::BecameLeader => {}
            }
        }
        if group_ids.len() > 1 {
            violations.push(format!("{} consensus groups were formed, expected at most 1", group_ids.len()));
        }
        violations
    }

    /// Gateways that were fenced for version lag at any time of the run.
    pub fn fenced_gateways(&self) -> BTreeSet<usize> {
        let fenced_for_lag = |record: &&HistoryRecord| {
            matches!(
                record.observation,
                Observation::SessionStateChanged(SessionState::Fenced(FenceReason::Lagging(_)))
            )
        };
        self.records.iter().filter(fenced_for_lag).map(|record| record.gateway).collect()
    }

    /// Gateways with a process that lost its session, and so was without a session at any time after its first session.
    pub fn gateways_without_session(&self) -> BTreeSet<usize> {
        let mut had_session = BTreeSet::new();
        let mut without_session = BTreeSet::new();
        for record in &self.records {
            match &record.observation {
                Observation::SessionStateChanged(SessionState::InSession(_)) => {
                    had_session.insert((record.gateway, record.process));
                }
                Observation::SessionStateChanged(SessionState::WithoutSession)
                    if had_session.contains(&(record.gateway, record.process)) =>
                {
                    without_session.insert(record.gateway);
                }
                _ => {}
            }
        }
        without_session
    }

    /// The history as text for a reader, without the applied log entries.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for record in &self.records {
            let description = match &record.observation {
                Observation::SessionStateChanged(session_state) => session_state.to_string(),
                Observation::ProcessEnded => "ends".to_owned(),
                Observation::SessionExpired(session) => format!("session {session} is over"),
                Observation::SessionFenced(session) => format!("session {session} is shut out"),
                Observation::BecameLeader => "leads".to_owned(),
                Observation::EntryApplied { .. } => continue,
            };
            let _ = writeln!(
                text,
                "{:>9.3} g{}.{} {description}",
                record.at.as_secs_f64(),
                record.gateway,
                record.process
            );
        }
        text
    }
}
