//! The register: one deterministic state machine, the same at every council member. [`Register::apply`] and nothing else moves it; it
//! knows no clock, so whatever depends on time is proposed by somebody who waited for it, and names what he had seen when he began to.

mod standing;

pub use standing::{Behind, Cause};

use crate::settings::Stragglers;
use crate::version::{Incarnation, Listed, Name, Version};
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
pub enum Entry {
    /// A process asks for a session.
    Open {
        /// Its gateway.
        name: Name,
        /// The process.
        process: Incarnation,
        /// What it acts on.
        version: Version,
        /// The number of its asking: asked again, it counts as a renewal, for its lease is counted from there.
        ask: u64,
    },
    /// Sessions go on. Several at once: a council member gathers them.
    Renew(Vec<Renewal>),
    /// A session has not been renewed for a lease and its margin, says one who saw this many renewals and none since.
    Lapse {
        /// The session.
        session: SessionId,
        /// The renewals that had been seen.
        renewals: u64,
    },
    /// A process ends its own session, in order.
    Close {
        /// The session.
        session: SessionId,
    },
    /// A straggler is to be shut out, says one who saw it behind for the stated time.
    ShutOut {
        /// The session.
        session: SessionId,
        /// The version it was behind with: a newer one since makes this void.
        version: Version,
    },
    /// Staff shut a gateway out, or let it in again.
    Hold {
        /// The gateway.
        name: Name,
        /// Out, or in again.
        out: bool,
    },
    /// Staff declare what counts as current.
    Require(Require),
    /// A host leaves or is gone, by a list.
    Departed {
        /// The list that says so.
        list: Listed,
        /// The hosts' names, and whether each is gone.
        hosts: Vec<(String, bool)>,
        /// Who was told.
        by: Name,
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
pub struct Require {
    /// Lists of this lineage have at least this index.
    pub list: Option<Listed>,
    /// The configuration is this.
    pub config: Option<u64>,
    /// The build is this.
    pub build: Option<String>,
}

/// A session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// The gateway.
    pub name: Name,
    /// The process.
    pub process: Incarnation,
    /// What it acts on.
    pub version: Version,
    /// The number of the last asking that renewed it.
    pub renewals: u64,
    /// Why it is shut out, where it is.
    pub out: Option<Cause>,
}

/// A session that is over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ended {
    /// The gateway.
    pub name: Name,
    /// The process.
    pub process: Incarnation,
    /// Where it ended.
    pub position: u64,
    /// Whether it lapsed; otherwise its own process closed it.
    pub lapsed: bool,
}

/// A host that leaves or is gone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// The index of the list that says so.
    pub index: u64,
    /// Gone; otherwise it leaves.
    pub gone: bool,
    /// The gateway that was told.
    pub by: Name,
    /// Where it came into the register.
    pub position: u64,
}

/// What an entry came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A session was opened.
    Opened(SessionId),
    /// Its name has a session of another process, which has to end first.
    NameTaken {
        /// The process that has it.
        by: Incarnation,
    },
    /// It changed something.
    Done,
    /// It was void: what it was about had changed before.
    Void,
    /// A straggler was not shut out, for too many are.
    TooMany,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Register {
    position: u64,
    sessions: BTreeMap<SessionId, Session>,
    ended: BTreeMap<SessionId, Ended>,
    departures: BTreeMap<(String, String), Departure>,
    required: Require,
    held: BTreeMap<Name, u64>,
    /// The most that may be shut out at once, in thousandths of the sessions; whole numbers, so that all members reckon alike.
    most_out: u64,
    behind: u64,
}

impl Register {
    /// An empty one, under these terms, which all members have alike.
    pub fn new(terms: &Stragglers) -> Register {
        Register {
            most_out: (terms.most * 1000.0).round() as u64,
            behind: terms.versions,
            ..Register::default()
        }
    }

    /// How many entries have been applied.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The sessions.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// The newest sessions that are over.
    pub fn ended(&self) -> &BTreeMap<SessionId, Ended> {
        &self.ended
    }

    /// What staff require.
    pub fn required(&self) -> &Require {
        &self.required
    }

    /// Whom staff have shut out.
    pub fn held(&self) -> impl Iterator<Item = &Name> {
        self.held.keys()
    }

    /// A gateway's session.
    pub fn session_of(&self, name: &str) -> Option<(SessionId, &Session)> {
        self.sessions.iter().find(|(_, s)| s.name == name).map(|(id, s)| (*id, s))
    }

    /// What a gateway that acts on this list should know of hosts: what newer lists of the same lineage say.
    pub fn departures_since<'a>(
        &'a self,
        list: &'a Listed,
    ) -> impl Iterator<Item = (&'a str, &'a Departure)> + 'a {
        let of = self.departures.range((list.lineage.clone(), String::new())..);
        of.take_while(|((lineage, _), _)| *lineage == list.lineage)
            .filter(|(_, d)| d.index > list.index)
            .map(|((_, host), d)| (host.as_str(), d))
    }

    /// Whether it is known already that these leave or are gone, by this list or a newer one.
    pub fn knows_departed(&self, list: &Listed, host: &str, gone: bool) -> bool {
        let known = self.departures.get(&(list.lineage.clone(), host.to_owned()));
        known.is_some_and(|d| d.index > list.index || (d.index == list.index && (d.gone || !gone)))
    }

    /// Applies an entry.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        self.position += 1;
        match entry {
            Entry::Open { name, process, version, ask } => self.open(name, *process, version, *ask),
            Entry::Renew(renewals) => {
                let (mut applied, mut turned) = (Applied::Void, false);
                for renewal in renewals {
                    if let Some(session) = self.sessions.get_mut(&renewal.session) {
                        if renewal.count > session.renewals {
                            session.renewals = renewal.count;
                            if let Some(version) = &renewal.version {
                                session.version.clone_from(version);
                                turned = true;
                            }
                            applied = Applied::Done;
                        }
                    }
                }
                if turned {
                    self.let_in();
                }
                applied
            }
            Entry::Lapse { session, renewals } => match self.sessions.get(session) {
                Some(known) if known.renewals == *renewals => self.end(*session, true),
                _ => Applied::Void,
            },
            Entry::Close { session } => self.end(*session, false),
            Entry::ShutOut { session, version } => self.shut_out(*session, version),
            Entry::Hold { name, out } => {
                let changed = match out {
                    true => self.held.insert(name.clone(), self.position).is_none(),
                    false => self.held.remove(name).is_some(),
                };
                for session in self.sessions.values_mut().filter(|s| s.name == *name) {
                    session.out = out.then_some(Cause::Held);
                }
                if changed {
                    Applied::Done
                } else {
                    Applied::Void
                }
            }
            Entry::Require(require) => {
                self.required = require.clone();
                self.let_in();
                Applied::Done
            }
            Entry::Departed { list, hosts, by } => {
                let mut applied = Applied::Void;
                for (host, gone) in hosts {
                    if !self.knows_departed(list, host, *gone) {
                        let departure = Departure {
                            index: list.index,
                            gone: *gone,
                            by: by.clone(),
                            position: self.position,
                        };
                        self.departures.insert((list.lineage.clone(), host.clone()), departure);
                        applied = Applied::Done;
                    }
                }
                self.forget_departures();
                applied
            }
        }
    }

    fn open(&mut self, name: &Name, process: Incarnation, version: &Version, ask: u64) -> Applied {
        if let Some((id, session)) = self.session_of(name) {
            if session.process != process {
                return Applied::NameTaken { by: session.process };
            }
            // Asked again, for the answer was lost.
            if let Some(session) = self.sessions.get_mut(&id) {
                session.renewals = session.renewals.max(ask);
            }
            return Applied::Opened(id);
        }
        let id = self.position;
        let out = self.held.contains_key(name).then_some(Cause::Held);
        let session = Session { name: name.clone(), process, version: version.clone(), renewals: ask, out };
        self.sessions.insert(id, session);
        Applied::Opened(id)
    }

    fn end(&mut self, id: SessionId, lapsed: bool) -> Applied {
        let Some(session) = self.sessions.remove(&id) else { return Applied::Void };
        let ended = Ended { name: session.name, process: session.process, position: self.position, lapsed };
        self.ended.insert(id, ended);
        while self.ended.len() > ENDED {
            self.ended.pop_first();
        }
        self.let_in();
        Applied::Done
    }

    /// Keeps the departures bounded: the oldest lists' go first.
    fn forget_departures(&mut self) {
        while self.departures.len() > DEPARTURES {
            let oldest = self.departures.iter().min_by_key(|(_, d)| d.position).map(|(key, _)| key.clone());
            let Some(oldest) = oldest else { return };
            self.departures.remove(&oldest);
        }
    }
}
