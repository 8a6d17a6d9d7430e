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
pub enum Seen {
    /// The session state of a gateway process changed to this one.
    Stands(SessionState),
    /// A gateway process ended.
    Ended,
    /// A voter applied a log entry to its state machine.
    Applied {
        /// Identifier of the consensus group.
        founding: u64,
        /// Log index of the applied entry.
        position: u64,
        /// Digest of the state machine after the entry was applied.
        digest: u64,
    },
    /// A voter counts this session as expired.
    Lapsed(SessionId),
    /// A voter has fenced this session.
    ShutOut(SessionId),
    /// A voter became the leader.
    Leads,
}

/// One observation, with its time and its gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time since the start of the run, by the test bed's own clock and not by the gateway's.
    pub at: Duration,
    /// Number of the gateway, counted from 0.
    pub gateway: usize,
    /// Number of the gateway's process, counted from 0: each restart adds one.
    pub process: usize,
    /// What was observed of the gateway process.
    pub seen: Seen,
}

/// All observations of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The records in the order in which they were made.
    pub lines: Vec<Line>,
}

/// Figures of a run in virtual time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Longest time without a leader after the first leader, in seconds.
    pub leaderless_s: f64,
    /// Fraction of all gateways' time that is spent in a session, from 3 s after the start of the run.
    pub in_session: f64,
    /// Fraction of all gateways' time that is spent fenced, from 3 s after the start of the run.
    pub shut_out: f64,
    /// Time from a process's start to its first session, in seconds: median and maximum.
    pub first_session_s: (f64, f64),
    /// Number of entries in the consensus group's log at the end of the run.
    pub entries: u64,
    /// Frames sent by all gateways together, per second.
    pub frames_s: f64,
    /// Bytes sent by all gateways together, per second.
    pub bytes_s: f64,
    /// Time from a gateway's discovery being frozen until the gateway is fenced, in seconds, one value for each case.
    pub to_shut_out_s: Vec<f64>,
    /// Time from a gateway's discovery working again until the gateway is unfenced, in seconds, one value for each case.
    pub to_let_in_s: Vec<f64>,
}

impl History {
    /// Appends a record to the history.
    pub fn note(&mut self, at: Duration, gateway: usize, process: usize, seen: Seen) {
        self.lines.push(Line { at, gateway, process, seen });
    }

    /// Violations of the rules that hold in every run, whatever its faults.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        let mut registers: BTreeMap<(u64, u64), (u64, usize)> = BTreeMap::new();
        let mut councils: BTreeSet<u64> = BTreeSet::new();
        let mut over: BTreeSet<SessionId> = BTreeSet::new();
        // For each gateway, the processes that are in a session, with the session's identifier.
        let mut holders: BTreeMap<usize, BTreeMap<usize, SessionId>> = BTreeMap::new();
        for line in &self.lines {
            let (gateway, process, at) = (line.gateway, line.process, line.at);
            match &line.seen {
                Seen::Applied { founding, position, digest } => {
                    councils.insert(*founding);
                    let (known, by) = *registers.entry((*founding, *position)).or_insert((*digest, gateway));
                    if known != *digest {
                        breaches.push(format!(
                            "{at:?}: the registers of gateways {by} and {gateway} differ after entry {position}"
                        ));
                    }
                }
                Seen::Lapsed(session) => {
                    over.insert(*session);
                    let held = holders.iter().find(|(_, p)| p.values().any(|s| s == session));
                    if let Some((holder, _)) = held {
                        breaches.push(format!(
                            "{at:?}: session {session} is over with gateway {gateway}, and gateway {holder} acts in it still"
                        ));
                    }
                }
                Seen::Stands(SessionState::InSession(session)) => {
                    if over.contains(session) {
                        breaches.push(format!(
                            "{at:?}: gateway {gateway} acts in session {session}, which is over"
                        ));
                    }
                    let of_name = holders.entry(gateway).or_default();
                    of_name.insert(process, *session);
                    if of_name.len() > 1 {
                        breaches.push(format!("{at:?}: two processes of gateway {gateway} act in sessions"));
                    }
                }
                Seen::Stands(_) | Seen::Ended => {
                    if let Some(of_name) = holders.get_mut(&gateway) {
                        of_name.remove(&process);
                    }
                }
                Seen::ShutOut(_) | Seen::Leads => {}
            }
        }
        if councils.len() > 1 {
            breaches.push(format!("{} councils were founded where one was to be", councils.len()));
        }
        breaches
    }

    /// Gateways that were fenced for version lag at any time of the run.
    pub fn shut_out(&self) -> BTreeSet<usize> {
        let out = |l: &&Line| matches!(l.seen, Seen::Stands(SessionState::Fenced(FenceReason::Lagging(_))));
        self.lines.iter().filter(out).map(|l| l.gateway).collect()
    }

    /// Gateways with a process that lost its session: it was without one at any time after its first one.
    pub fn alone(&self) -> BTreeSet<usize> {
        let mut had = BTreeSet::new();
        let mut alone = BTreeSet::new();
        for line in &self.lines {
            match &line.seen {
                Seen::Stands(SessionState::InSession(_)) => drop(had.insert((line.gateway, line.process))),
                Seen::Stands(SessionState::WithoutSession) if had.contains(&(line.gateway, line.process)) => {
                    alone.insert(line.gateway);
                }
                _ => {}
            }
        }
        alone
    }

    /// The history as text for a reader, without the applied log entries.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            let told = match &line.seen {
                Seen::Stands(acting) => acting.to_string(),
                Seen::Ended => "ends".to_owned(),
                Seen::Lapsed(session) => format!("session {session} is over"),
                Seen::ShutOut(session) => format!("session {session} is shut out"),
                Seen::Leads => "leads".to_owned(),
                Seen::Applied { .. } => continue,
            };
            let _ =
                writeln!(text, "{:>9.3} g{}.{} {told}", line.at.as_secs_f64(), line.gateway, line.process);
        }
        text
    }
}
