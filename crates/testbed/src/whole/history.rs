//! What happened in a play: who stood how, what was decided, who led. All checks read it, whichever runner wrote it.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;
use weldworks_fleet::node::SessionState;
use weldworks_fleet::state_machine::{FenceReason, SessionId};

/// What was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A gateway's process stands like this from now on.
    Stands(SessionState),
    /// A process has ended.
    Ended,
    /// A council member has applied an entry: its council, the entry's position, and a digest of the register after it.
    Applied {
        /// Which council.
        founding: u64,
        /// Where.
        position: u64,
        /// The register's digest.
        digest: u64,
    },
    /// A session is over with a council member.
    Lapsed(SessionId),
    /// A session is shut out, with a council member.
    ShutOut(SessionId),
    /// A member leads.
    Leads,
}

/// A line of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// True time.
    pub at: Duration,
    /// Which gateway.
    pub gateway: usize,
    /// Its process, counted from 0.
    pub process: usize,
    /// What.
    pub seen: Seen,
}

/// A play's history.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All lines, in order.
    pub lines: Vec<Line>,
}

/// Figures of a play.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// The longest time in which nobody led, in seconds, after the first leader.
    pub leaderless_s: f64,
    /// Of all gateways' time after 3 s, the part in a session.
    pub in_session: f64,
    /// Of that time, the part shut out.
    pub shut_out: f64,
    /// From a process's start to its first session, in seconds: median and longest.
    pub first_session_s: (f64, f64),
    /// Entries decided.
    pub entries: u64,
    /// Frames sent by all gateways, a second.
    pub frames_s: f64,
    /// Bytes sent by all gateways, a second.
    pub bytes_s: f64,
    /// From the moment when a gateway's discovery is stuck to its being shut out, in seconds, one a case.
    pub to_shut_out_s: Vec<f64>,
    /// From the moment when it hears again to its being let in, in seconds, one a case.
    pub to_let_in_s: Vec<f64>,
}

impl History {
    /// Adds a line.
    pub fn note(&mut self, at: Duration, gateway: usize, process: usize, seen: Seen) {
        self.lines.push(Line { at, gateway, process, seen });
    }

    /// What can be proved of any play, however it went.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        let mut registers: BTreeMap<(u64, u64), (u64, usize)> = BTreeMap::new();
        let mut councils: BTreeSet<u64> = BTreeSet::new();
        let mut over: BTreeSet<SessionId> = BTreeSet::new();
        // By name: which process is in session.
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

    /// Which gateways were ever shut out for lagging.
    pub fn shut_out(&self) -> BTreeSet<usize> {
        let out = |l: &&Line| matches!(l.seen, Seen::Stands(SessionState::Fenced(FenceReason::Lagging(_))));
        self.lines.iter().filter(out).map(|l| l.gateway).collect()
    }

    /// Which gateways were ever without a session after their process's first one.
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

    /// As text, the lines that matter to a reader.
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
