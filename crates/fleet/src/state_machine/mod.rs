//! The register: one deterministic state machine, the same at every council member. [`Register::apply`] and nothing else moves it; it
//! knows no clock, so whatever depends on time is proposed by somebody who waited for it, and names what he had seen when he began to.

mod replica_lag;

pub use replica_lag::{FenceReason, ReplicaLag};

use crate::settings::LagPolicy;
use crate::version::{GatewayName, Incarnation, ListVersion, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of a session: the position at which it was opened. It never comes again, and a later one is larger, so it also tells an
/// order to whoever is written to.
pub type SessionId = u64;

/// The most departures that are remembered: those of the newest lists.
const DEPARTURES: usize = 1024;
/// The most that is remembered of ended sessions, for questions.
const ENDED: usize = 1024;

/// A change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A process asks for a session.
    OpenSession {
        /// Its gateway.
        name: GatewayName,
        /// The process.
        process: Incarnation,
        /// What it acts on.
        version: Version,
        /// The number of its asking: asked again, it counts as a renewal, for its lease is counted from there.
        request: u64,
    },
    /// Sessions go on. Several at once: a council member gathers them.
    RenewSessions(Vec<Renewal>),
    /// A session has not been renewed for a lease and its margin, says one who saw this many renewals and none since.
    ExpireSession {
        /// The session.
        session: SessionId,
        /// The renewals that had been seen.
        renewals: u64,
    },
    /// A process ends its own session, in order.
    CloseSession {
        /// The session.
        session: SessionId,
    },
    /// A straggler is to be shut out, says one who saw it behind for the stated time.
    FenceLagging {
        /// The session.
        session: SessionId,
        /// The version it was behind with: a newer one since makes this void.
        version: Version,
    },
    /// Staff shut a gateway out, or let it in again.
    SetFenced {
        /// The gateway.
        name: GatewayName,
        /// Out, or in again.
        fenced: bool,
    },
    /// Staff declare what counts as current.
    SetRequirements(Requirements),
    /// A host leaves or is gone, by a list.
    RecordDepartures {
        /// The list that says so.
        list: ListVersion,
        /// The hosts' names, and whether each is gone.
        endpoints: Vec<(String, bool)>,
        /// Who was told.
        reported_by: GatewayName,
    },
}

/// A session goes on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    /// Which.
    pub session: SessionId,
    /// The number of this asking, counted over the life of its process.
    pub count: u64,
    /// What its gateway acts on from now on, where that has changed.
    pub version: Option<Version>,
}

/// What counts as current by the word of staff.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Requirements {
    /// Lists of this lineage have at least this index.
    pub list: Option<ListVersion>,
    /// The configuration is this.
    pub config: Option<u64>,
    /// The build is this.
    pub build: Option<String>,
}

/// A session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// The gateway.
    pub name: GatewayName,
    /// The process.
    pub process: Incarnation,
    /// What it acts on.
    pub version: Version,
    /// The number of the last asking that renewed it.
    pub renewals: u64,
    /// Why it is shut out, where it is.
    pub fence_reason: Option<FenceReason>,
}

/// A session that is over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedSession {
    /// The gateway.
    pub name: GatewayName,
    /// The process.
    pub process: Incarnation,
    /// Where it ended.
    pub log_index: u64,
    /// Whether it lapsed; otherwise its own process closed it.
    pub expired: bool,
}

/// A host that leaves or is gone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// The index of the list that says so.
    pub list_index: u64,
    /// Gone; otherwise it leaves.
    pub removed: bool,
    /// The gateway that was told.
    pub reported_by: GatewayName,
    /// Where it came into the register.
    pub log_index: u64,
}

/// What an entry came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// A session was opened.
    Opened(SessionId),
    /// Its name has a session of another process, which has to end first.
    NameTaken {
        /// The process that has it.
        holder: Incarnation,
    },
    /// It changed something.
    Applied,
    /// It was void: what it was about had changed before.
    Obsolete,
    /// A straggler was not shut out, for too many are.
    FenceLimitReached,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateMachine {
    position: u64,
    sessions: BTreeMap<SessionId, Session>,
    ended: BTreeMap<SessionId, EndedSession>,
    departures: BTreeMap<(String, String), Departure>,
    required: Requirements,
    held: BTreeMap<GatewayName, u64>,
    /// The most that may be shut out at once, in thousandths of the sessions; whole numbers, so that all members reckon alike.
    most_out: u64,
    behind: u64,
}

impl StateMachine {
    /// An empty one, under these terms, which all members have alike.
    pub fn new(terms: &LagPolicy) -> StateMachine {
        StateMachine {
            most_out: (terms.max_fenced_fraction * 1000.0).round() as u64,
            behind: terms.max_list_lag,
            ..StateMachine::default()
        }
    }

    /// How many entries have been applied.
    pub fn log_index(&self) -> u64 {
        self.position
    }

    /// The sessions.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// The newest sessions that are over.
    pub fn ended_sessions(&self) -> &BTreeMap<SessionId, EndedSession> {
        &self.ended
    }

    /// What staff require.
    pub fn requirements(&self) -> &Requirements {
        &self.required
    }

    /// Whom staff have shut out.
    pub fn fenced_by_administrator(&self) -> impl Iterator<Item = &GatewayName> {
        self.held.keys()
    }

    /// A gateway's session.
    pub fn session_of(&self, name: &str) -> Option<(SessionId, &Session)> {
        self.sessions.iter().find(|(_, s)| s.name == name).map(|(id, s)| (*id, s))
    }

    /// What a gateway that acts on this list should know of hosts: what newer lists of the same lineage say.
    pub fn departures_since<'a>(
        &'a self,
        list: &'a ListVersion,
    ) -> impl Iterator<Item = (&'a str, &'a Departure)> + 'a {
        let of = self.departures.range((list.lineage.clone(), String::new())..);
        of.take_while(|((lineage, _), _)| *lineage == list.lineage)
            .filter(|(_, d)| d.list_index > list.index)
            .map(|((_, host), d)| (host.as_str(), d))
    }

    /// Whether it is known already that these leave or are gone, by this list or a newer one.
    pub fn has_departure(&self, list: &ListVersion, host: &str, gone: bool) -> bool {
        let known = self.departures.get(&(list.lineage.clone(), host.to_owned()));
        known.is_some_and(|d| {
            d.list_index > list.index || (d.list_index == list.index && (d.removed || !gone))
        })
    }

    /// Applies an entry.
    pub fn apply(&mut self, entry: &Command) -> CommandOutcome {
        self.position += 1;
        match entry {
            Command::OpenSession { name, process, version, request: ask } => {
                self.open(name, *process, version, *ask)
            }
            Command::RenewSessions(renewals) => {
                let (mut applied, mut turned) = (CommandOutcome::Obsolete, false);
                for renewal in renewals {
                    if let Some(session) = self.sessions.get_mut(&renewal.session) {
                        if renewal.count > session.renewals {
                            session.renewals = renewal.count;
                            if let Some(version) = &renewal.version {
                                session.version.clone_from(version);
                                turned = true;
                            }
                            applied = CommandOutcome::Applied;
                        }
                    }
                }
                if turned {
                    self.let_in();
                }
                applied
            }
            Command::ExpireSession { session, renewals } => match self.sessions.get(session) {
                Some(known) if known.renewals == *renewals => self.end(*session, true),
                _ => CommandOutcome::Obsolete,
            },
            Command::CloseSession { session } => self.end(*session, false),
            Command::FenceLagging { session, version } => self.shut_out(*session, version),
            Command::SetFenced { name, fenced: out } => {
                let changed = match out {
                    true => self.held.insert(name.clone(), self.position).is_none(),
                    false => self.held.remove(name).is_some(),
                };
                for session in self.sessions.values_mut().filter(|s| s.name == *name) {
                    session.fence_reason = out.then_some(FenceReason::Administrator);
                }
                if changed {
                    CommandOutcome::Applied
                } else {
                    CommandOutcome::Obsolete
                }
            }
            Command::SetRequirements(require) => {
                self.required = require.clone();
                self.let_in();
                CommandOutcome::Applied
            }
            Command::RecordDepartures { list, endpoints: hosts, reported_by: by } => {
                let mut applied = CommandOutcome::Obsolete;
                for (host, gone) in hosts {
                    if !self.has_departure(list, host, *gone) {
                        let departure = Departure {
                            list_index: list.index,
                            removed: *gone,
                            reported_by: by.clone(),
                            log_index: self.position,
                        };
                        self.departures.insert((list.lineage.clone(), host.clone()), departure);
                        applied = CommandOutcome::Applied;
                    }
                }
                self.forget_departures();
                applied
            }
        }
    }

    fn open(
        &mut self,
        name: &GatewayName,
        process: Incarnation,
        version: &Version,
        ask: u64,
    ) -> CommandOutcome {
        if let Some((id, session)) = self.session_of(name) {
            if session.process != process {
                return CommandOutcome::NameTaken { holder: session.process };
            }
            // Asked again, for the answer was lost.
            if let Some(session) = self.sessions.get_mut(&id) {
                session.renewals = session.renewals.max(ask);
            }
            return CommandOutcome::Opened(id);
        }
        let id = self.position;
        let out = self.held.contains_key(name).then_some(FenceReason::Administrator);
        let session = Session {
            name: name.clone(),
            process,
            version: version.clone(),
            renewals: ask,
            fence_reason: out,
        };
        self.sessions.insert(id, session);
        CommandOutcome::Opened(id)
    }

    fn end(&mut self, id: SessionId, lapsed: bool) -> CommandOutcome {
        let Some(session) = self.sessions.remove(&id) else { return CommandOutcome::Obsolete };
        let ended = EndedSession {
            name: session.name,
            process: session.process,
            log_index: self.position,
            expired: lapsed,
        };
        self.ended.insert(id, ended);
        while self.ended.len() > ENDED {
            self.ended.pop_first();
        }
        self.let_in();
        CommandOutcome::Applied
    }

    /// Keeps the departures bounded: the oldest lists' go first.
    fn forget_departures(&mut self) {
        while self.departures.len() > DEPARTURES {
            let oldest = self.departures.iter().min_by_key(|(_, d)| d.log_index).map(|(key, _)| key.clone());
            let Some(oldest) = oldest else { return };
            self.departures.remove(&oldest);
        }
    }
}
