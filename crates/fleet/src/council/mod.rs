//! The council: three or five named gateways keep one register. The library decides the order of entries; here is who may vote.
//!
//! Votes are given by *seats*, a name together with a process. A process that comes back without what it promised is another process
//! and has no vote until the others seat it in place of the one that is gone, by a decision of their majority. So nobody votes twice.
//!
//! *Founding*: the first council of a fleet is founded by the process of the first name, once every other member has told it that it
//! belongs to no council and that it follows this very process ([`Word::Holds`]). Who has been told of a council says so, and then
//! none is founded. A council that has lost its majority for good founds nothing by itself: that is for staff.
//!
//! *Seating anew* ends a configuration at one entry, the same for all, and begins the next one with the register as it stood there.
//! The same step empties a log that has grown long, and a member that was away is handed the newest configuration whole.

mod storage;

use crate::register::{Applied, Entry, Register};
use crate::version::{digest, Incarnation, Name};
use omnipaxos::messages::Message;
use omnipaxos::storage::NoSnapshot;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;
use storage::{Journal, Kept};

pub use storage::Write;

/// The council's clock ticks so often.
pub const TICK: Duration = Duration::from_millis(50);
/// Ticks from one round of heartbeats to the next: one that missed a round is no leader.
const ELECTION: u64 = 4;
/// Ticks until what may have been lost is sent again.
const RESEND: u64 = 10;
/// Ticks between two words of what one holds.
const SAY: u64 = 5;
/// A seat whose process is gone, and whose name has another one, is filled anew after so many ticks.
const SEAT_AFTER: u64 = 20;
/// A log of so many entries is begun anew.
const LONG_LOG: usize = 4096;
/// The most proposals on their way.
const PROPOSED: usize = 512;

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = NoSnapshot;
}

/// A vote: a name, and the process that has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seat {
    /// The name.
    pub name: Name,
    /// The process.
    pub process: Incarnation,
}

/// Who votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Config {
    /// Which council: a digest of its first seats.
    pub founding: u64,
    /// How often it has been seated anew, from 1.
    pub id: u32,
    /// The seats, by name.
    pub seats: Vec<Seat>,
}

impl Config {
    fn found(seats: Vec<Seat>) -> Config {
        let founding = digest(format!("{seats:?}").as_bytes());
        Config { founding, id: 1, seats }
    }

    fn tag(&self) -> Tag {
        Tag { founding: self.founding, id: self.id }
    }

    fn has(&self, name: &str, process: Incarnation) -> bool {
        self.seats.iter().any(|s| s.name == name && s.process == process)
    }

    /// The library's number of a name; 0 stands for nobody there.
    fn number(&self, name: &str) -> Option<u64> {
        self.seats.iter().position(|s| s.name == name).map(|n| n as u64 + 1)
    }

    fn cluster(&self) -> ClusterConfig {
        ClusterConfig {
            configuration_id: self.id,
            nodes: (1..=self.seats.len() as u64).collect(),
            flexible_quorum: None,
        }
    }
}

/// Names a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tag {
    /// Which council.
    pub founding: u64,
    /// Which of its configurations.
    pub id: u32,
}

/// What members say to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Word {
    /// What I hold: a configuration, or none; then also whom I follow in founding one.
    Holds {
        /// The newest configuration that I know.
        tag: Option<Tag>,
        /// The process of the first name that I follow.
        follows: Option<Incarnation>,
    },
    /// The newest configuration and the register that it began with.
    Formed {
        /// Who votes.
        config: Config,
        /// The register at its beginning.
        base: Box<Register>,
    },
    /// A message of the library.
    Log {
        /// Under which configuration.
        tag: Tag,
        /// The message.
        message: Box<Message<Entry>>,
    },
}

/// A word for a member.
#[derive(Clone, Debug)]
pub struct Said {
    /// To whom.
    pub to: Name,
    /// What.
    pub word: Word,
}

/// What has been agreed on.
#[derive(Clone, Debug)]
pub struct Agreed {
    /// The entry.
    pub entry: Entry,
    /// What it came to.
    pub applied: Applied,
}

/// What has to be on the disk before anything is said, where this member keeps its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stored {
    /// A configuration begins: what was stored before is of no use any more.
    Began {
        /// Who votes.
        config: Config,
        /// The register at its beginning.
        base: Box<Register>,
    },
    /// A change of its log or promises.
    Wrote(Write),
}

/// What comes of an event.
#[derive(Debug, Default)]
pub struct Doings {
    /// To be stored before the words go.
    pub stored: Vec<Stored>,
    /// Words for other members.
    pub said: Vec<Said>,
    /// Entries applied, in order.
    pub agreed: Vec<Agreed>,
    /// The register was replaced as a whole: this member had been away.
    pub caught_up: bool,
    /// What staff should read.
    pub notes: Vec<String>,
}

/// What this member knows of another.
#[derive(Clone, Debug, Default)]
struct Other {
    /// The process at the other end of the link, where there is one.
    linked: Option<Incarnation>,
    /// What that process has said it holds.
    holds: Option<(Option<Tag>, Option<Incarnation>)>,
    /// For how many ticks its seat has been another's.
    replaced: u64,
}

/// A configuration that this process votes in.
struct Voting {
    paxos: OmniPaxos<Entry, Kept>,
    applied: usize,
    ending: bool,
}

/// What this member knows of the council.
struct Known {
    config: Config,
    base: Register,
    /// None where it has no seat.
    voting: Option<Voting>,
}

/// One member.
pub struct Council {
    name: Name,
    process: Incarnation,
    names: Vec<Name>,
    others: BTreeMap<Name, Other>,
    known: Option<Known>,
    register: Register,
    ticks: u64,
    proposed: usize,
    foreign: bool,
    /// The process of the first name that this one follows in founding: the last one that it was linked to.
    follows: Option<Incarnation>,
    journal: Journal,
}

impl Council {
    /// A member that knows of no council. `names` are all members, this one among them; `empty` is the register to begin with.
    pub fn new(name: Name, process: Incarnation, mut names: Vec<Name>, empty: Register) -> Council {
        names.sort();
        let follows = (names.first() == Some(&name)).then_some(process);
        let others = names.iter().filter(|n| **n != name).map(|n| (n.clone(), Other::default())).collect();
        Council {
            name,
            process,
            names,
            others,
            known: None,
            register: empty,
            ticks: 0,
            proposed: 0,
            foreign: false,
            follows,
            journal: Journal::default(),
        }
    }

    /// Takes in what an earlier process with this vote has stored, in its order. To be called before anything else.
    pub fn recall(&mut self, stored: Vec<Stored>) {
        let mut out = Doings::default();
        let (mut began, mut writes) = (None, Vec::new());
        for one in stored {
            match one {
                Stored::Began { config, base } => {
                    began = Some((config, base));
                    writes.clear();
                }
                Stored::Wrote(write) => writes.push(write),
            }
        }
        if let Some((config, base)) = began {
            self.begin_with(config, *base, writes, &mut out);
            // What it had applied it applies again; who waited for it then is not there any more.
            self.settle(&mut out);
            self.journal.borrow_mut().clear();
        }
    }

    /// Its state can't be stored any more: it votes no longer, for it could not keep what it promises.
    pub fn stop_voting(&mut self) {
        if let Some(known) = &mut self.known {
            known.voting = None;
        }
    }

    /// The register as far as this member knows it.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// The configuration that this member knows of.
    pub fn config(&self) -> Option<&Config> {
        self.known.as_ref().map(|k| &k.config)
    }

    /// Whether this process has a vote.
    pub fn votes(&self) -> bool {
        self.known.as_ref().is_some_and(|k| k.voting.is_some())
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<&Name> {
        let known = self.known.as_ref()?;
        let (leader, accepted) = known.voting.as_ref()?.paxos.get_current_leader()?;
        let seat = known.config.seats.get((leader as usize).checked_sub(1)?)?;
        // A leader that nobody has followed yet decides nothing.
        (accepted || seat.name == self.name).then_some(&seat.name)
    }

    /// Whether this member leads.
    pub fn leads(&self) -> bool {
        self.leader() == Some(&self.name)
    }

    /// Whether this name is a member's.
    pub fn is_member(&self, name: &str) -> bool {
        self.others.contains_key(name) || self.name == name
    }

    /// Has the library do something. It trusts what members tell each other, and breaks off where that can't be: then this member votes
    /// no longer, of what it was about to say and store nothing goes, and the rest of the process lives on.
    fn guard<T>(
        &mut self,
        whose: &str,
        act: impl FnOnce(&mut Council, &mut Doings) -> T,
    ) -> (Option<T>, Doings) {
        let mut doings = Doings::default();
        if let Ok(done) = catch_unwind(AssertUnwindSafe(|| act(self, &mut doings))) {
            return (Some(done), doings);
        }
        self.stop_voting();
        self.journal.replace(Default::default());
        let note = format!(
            "the council's library broke off on what {whose} said: this process votes no longer. See whether the members run one build \
             (fleet status), end the odd one, then start this one again"
        );
        (None, Doings { notes: vec![note], ..Doings::default() })
    }

    /// Proposes an entry. Whether it is on its way; it may be lost still, so whoever needs it proposes it again until it is seen.
    pub fn propose(&mut self, entry: Entry) -> bool {
        self.guard("staff or a gateway", |council, _| council.append(entry)).0.unwrap_or_default()
    }

    fn append(&mut self, entry: Entry) -> bool {
        if self.leader().is_none() || self.proposed >= PROPOSED {
            return false;
        }
        let Some(voting) = self.known.as_mut().and_then(|k| k.voting.as_mut()) else { return false };
        if voting.ending || voting.paxos.append(entry).is_err() {
            return false;
        }
        self.proposed += 1;
        true
    }

    /// A link to another member has come up, to this process of it.
    pub fn linked(&mut self, name: &str, process: Incarnation) -> Doings {
        self.guard(name, |council, out| council.link(name, process, out)).1
    }

    fn link(&mut self, name: &str, process: Incarnation, out: &mut Doings) {
        let Some(other) = self.others.get_mut(name) else { return };
        if other.linked != Some(process) {
            other.holds = None;
        }
        other.linked = Some(process);
        if self.names.first().is_some_and(|first| first == name) {
            self.follows = Some(process);
        }
        self.say(name, out);
        let Some(known) = &mut self.known else { return };
        if known.config.has(name, process) {
            if let (Some(voting), Some(number)) = (&mut known.voting, known.config.number(name)) {
                voting.paxos.reconnected(number);
            }
        }
        self.flush(out);
    }

    /// The link is down.
    pub fn unlinked(&mut self, name: &str) {
        if let Some(other) = self.others.get_mut(name) {
            (other.linked, other.holds) = (None, None);
        }
    }

    /// Time goes on: to be called every [`TICK`].
    pub fn tick(&mut self) -> Doings {
        self.guard("a member", Council::go_on).1
    }

    fn go_on(&mut self, out: &mut Doings) {
        self.ticks += 1;
        if let Some(voting) = self.known.as_mut().and_then(|k| k.voting.as_mut()) {
            voting.paxos.tick();
        }
        if self.ticks.is_multiple_of(SAY) {
            let names: Vec<Name> = self.others.keys().cloned().collect();
            for name in names {
                self.say(&name, out);
            }
        }
        self.found(out);
        self.seat_anew(out);
        self.proposed = 0;
        self.settle(out);
    }

    /// A word of another member's process.
    pub fn hear(&mut self, from: &str, word: Word) -> Doings {
        self.guard(from, |council, out| council.heed(from, word, out)).1
    }

    fn heed(&mut self, from: &str, word: Word, out: &mut Doings) {
        let Some(process) = self.others.get(from).and_then(|o| o.linked) else { return };
        match word {
            Word::Holds { tag, follows } => {
                if let Some(other) = self.others.get_mut(from) {
                    other.holds = Some((tag, follows));
                }
                self.hand_on(from, tag, out);
                self.found(out);
            }
            Word::Formed { config, base } => self.adopt(from, config, *base, out),
            Word::Log { tag, message } => {
                let Some(known) = &mut self.known else { return };
                let (from, own) = (known.config.number(from), known.config.number(&self.name));
                // The library trusts numbers: one that is not this seat's, or a seat that is another process's, has no say.
                let fits = known.config.tag() == tag
                    && from.is_some_and(|n| known.config.seats[n as usize - 1].process == process)
                    && from == Some(message.get_sender())
                    && own == Some(message.get_receiver());
                if let Some(voting) = known.voting.as_mut().filter(|_| fits) {
                    voting.paxos.handle_incoming(*message);
                }
            }
        }
        self.settle(out);
    }

    /// Says what this member holds.
    fn say(&self, to: &str, out: &mut Doings) {
        if self.others.get(to).is_none_or(|o| o.linked.is_none()) {
            return;
        }
        let tag = self.known.as_ref().map(|k| k.config.tag());
        let word = Word::Holds { tag, follows: self.follows };
        out.said.push(Said { to: to.to_owned(), word });
    }

    /// Hands the newest configuration to one that has an older one or none.
    fn hand_on(&mut self, to: &str, holds: Option<Tag>, out: &mut Doings) {
        let Some(known) = &self.known else { return };
        match holds {
            Some(tag) if tag.founding != known.config.founding => {
                if !std::mem::replace(&mut self.foreign, true) {
                    out.notes.push(format!(
                        "{to} belongs to another council: two were founded, or one was founded anew while this process was away; \
                         end this process or that one, and start it again"
                    ));
                }
            }
            Some(tag) if tag.id >= known.config.id => {}
            _ => {
                let (config, base) = (known.config.clone(), Box::new(known.base.clone()));
                out.said.push(Said { to: to.to_owned(), word: Word::Formed { config, base } });
            }
        }
    }

    /// Founds the first council, where that is this member's to do.
    fn found(&mut self, out: &mut Doings) {
        if self.known.is_some() || self.names.first() != Some(&self.name) {
            return;
        }
        let mut seats = vec![Seat { name: self.name.clone(), process: self.process }];
        for (name, other) in &self.others {
            let (Some(process), Some((None, Some(follows)))) = (other.linked, other.holds) else { return };
            if follows != self.process {
                return;
            }
            seats.push(Seat { name: name.clone(), process });
        }
        let config = Config::found(seats);
        out.notes.push("the council is founded: every member is there, and none knew of one".to_owned());
        self.begin(config, self.register.clone(), out);
        self.flush(out);
    }

    /// Takes over a configuration that another member holds.
    fn adopt(&mut self, from: &str, config: Config, base: Register, out: &mut Doings) {
        match &self.known {
            Some(known) if known.config.founding != config.founding || known.config.id >= config.id => return,
            // One that was founded with this process's word counts as long as it follows the founder still. After it has turned to
            // another founder, that one alone can say that there is an older council after all.
            None if config.id == 1
                && config.has(&self.name, self.process)
                && config.seats.first().map(|s| s.process) != self.follows
                && self.names.first().is_none_or(|first| first != from) =>
            {
                return;
            }
            _ => {}
        }
        out.caught_up = true;
        self.begin(config, base, out);
    }

    /// Begins a configuration.
    fn begin(&mut self, config: Config, base: Register, out: &mut Doings) {
        self.journal.borrow_mut().clear();
        out.stored.push(Stored::Began { config: config.clone(), base: Box::new(base.clone()) });
        self.begin_with(config, base, Vec::new(), out);
    }

    /// Begins, or goes on with, a configuration of which this was written.
    fn begin_with(&mut self, config: Config, base: Register, writes: Vec<Write>, out: &mut Doings) {
        let own = config.number(&self.name).filter(|_| config.has(&self.name, self.process));
        let voting = own.and_then(|pid| {
            let server = ServerConfig {
                pid,
                election_tick_timeout: ELECTION,
                resend_message_tick_timeout: RESEND,
                flush_batch_tick_timeout: 1,
                batch_size: 64,
                ..ServerConfig::default()
            };
            let built = OmniPaxosConfig { cluster_config: config.cluster(), server_config: server };
            let mut kept = Kept::new(self.journal.clone());
            writes.into_iter().for_each(|write| kept.recall(write));
            let paxos = built.build(kept).ok()?;
            Some(Voting { paxos, applied: 0, ending: false })
        });
        let (id, seated) = (config.id, voting.is_some());
        out.notes.push(format!(
            "council {:016x}, configuration {id}: {}",
            config.founding,
            if seated { "this process votes" } else { "this process has no vote until it is seated" }
        ));
        self.register = base.clone();
        self.known = Some(Known { config, base, voting });
        let names: Vec<Name> = self.others.keys().cloned().collect();
        for name in names {
            let holds = self.others.get(&name).and_then(|o| o.holds);
            if let Some((tag, _)) = holds {
                self.hand_on(&name, tag, out);
            }
            self.say(&name, out);
        }
    }

    /// Where this member leads, seats those that came back as others, and begins a log anew that has grown long.
    fn seat_anew(&mut self, out: &mut Doings) {
        let leads = self.leads();
        let Some(known) = &mut self.known else { return };
        let mut seats = known.config.seats.clone();
        for seat in &mut seats {
            let Some(other) = self.others.get_mut(&seat.name) else { continue };
            match other.linked {
                Some(process) if process != seat.process => other.replaced += 1,
                _ => other.replaced = 0,
            }
            if let Some(process) = other.linked.filter(|_| other.replaced >= SEAT_AFTER) {
                seat.process = process;
            }
        }
        let Some(voting) = known.voting.as_mut().filter(|v| leads && !v.ending) else { return };
        let long = voting.applied >= LONG_LOG;
        if seats == known.config.seats && !long {
            return;
        }
        let next = Config { founding: known.config.founding, id: known.config.id + 1, seats };
        let Ok(said) = postcard::to_allocvec(&next.seats) else { return };
        if voting.paxos.reconfigure(next.cluster(), Some(said)).is_ok() {
            voting.ending = true;
            let why = if long { "its log is long" } else { "a member has come back as another process" };
            out.notes.push(format!("council: configuration {} is proposed, for {why}", next.id));
        }
    }

    /// Applies what has been decided, and passes on what the library has to say.
    fn settle(&mut self, out: &mut Doings) {
        let mut next = None;
        if let Some(known) = &mut self.known {
            if let Some(voting) = &mut known.voting {
                let decided = voting.paxos.read_decided_suffix(voting.applied).unwrap_or_default();
                for entry in decided {
                    match entry {
                        LogEntry::Decided(entry) => {
                            voting.applied += 1;
                            let applied = self.register.apply(&entry);
                            out.agreed.push(Agreed { entry, applied });
                        }
                        LogEntry::StopSign(stop, true) => {
                            let seats = stop.metadata.and_then(|m| postcard::from_bytes(&m).ok());
                            next = seats.map(|seats| Config {
                                founding: known.config.founding,
                                id: stop.next_config.configuration_id,
                                seats,
                            });
                        }
                        _ => {}
                    }
                }
            }
        }
        // Before the old configuration goes: who has not heard of its end yet has to.
        self.flush(out);
        if let Some(config) = next {
            let base = self.register.clone();
            self.begin(config, base, out);
        }
    }

    fn flush(&mut self, out: &mut Doings) {
        out.stored.extend(self.journal.borrow_mut().drain(..).map(Stored::Wrote));
        let Some(known) = &mut self.known else { return };
        let Some(voting) = &mut known.voting else { return };
        let mut messages = Vec::new();
        voting.paxos.take_outgoing_messages(&mut messages);
        for message in messages {
            let to = (message.get_receiver() as usize).checked_sub(1).and_then(|n| known.config.seats.get(n));
            let Some(to) = to else { continue };
            // What is meant for a process that is gone is not another's.
            if self.others.get(&to.name).is_some_and(|o| o.linked == Some(to.process)) {
                let word = Word::Log { tag: known.config.tag(), message: Box::new(message) };
                out.said.push(Said { to: to.name.clone(), word });
            }
        }
    }
}
