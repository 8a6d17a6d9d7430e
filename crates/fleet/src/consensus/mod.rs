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

use crate::state_machine::{Command, CommandOutcome, StateMachine};
use crate::version::{digest, GatewayName, Incarnation};
use omnipaxos::messages::Message;
use omnipaxos::storage::NoSnapshot;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;
use storage::{ChangeJournal, LogStorage};

pub use storage::StorageChange;

/// The council's clock ticks so often.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
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

impl omnipaxos::storage::Entry for Command {
    type Snapshot = NoSnapshot;
}

/// A vote: a name, and the process that has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// The name.
    pub name: GatewayName,
    /// The process.
    pub process: Incarnation,
}

/// Who votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupConfig {
    /// Which council: a digest of its first seats.
    pub group_id: u64,
    /// How often it has been seated anew, from 1.
    pub generation: u32,
    /// The seats, by name.
    pub replicas: Vec<Replica>,
}

impl GroupConfig {
    fn found(seats: Vec<Replica>) -> GroupConfig {
        // Members of other builds compute the same digest: the text keeps the names of version 0.2.0.
        let seat = |replica: &Replica| {
            format!("Seat {{ name: {:?}, process: {:?} }}", replica.name, replica.process)
        };
        let text = seats.iter().map(seat).collect::<Vec<_>>().join(", ");
        let founding = digest(format!("[{text}]").as_bytes());
        GroupConfig { group_id: founding, generation: 1, replicas: seats }
    }

    fn tag(&self) -> ConfigTag {
        ConfigTag { group_id: self.group_id, generation: self.generation }
    }

    fn has(&self, name: &str, process: Incarnation) -> bool {
        self.replicas.iter().any(|s| s.name == name && s.process == process)
    }

    /// The library's number of a name; 0 stands for nobody there.
    fn number(&self, name: &str) -> Option<u64> {
        self.replicas.iter().position(|s| s.name == name).map(|n| n as u64 + 1)
    }

    fn cluster(&self) -> ClusterConfig {
        ClusterConfig {
            configuration_id: self.generation,
            nodes: (1..=self.replicas.len() as u64).collect(),
            flexible_quorum: None,
        }
    }
}

/// Names a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigTag {
    /// Which council.
    pub group_id: u64,
    /// Which of its configurations.
    pub generation: u32,
}

/// What members say to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// What I hold: a configuration, or none; then also whom I follow in founding one.
    Holds {
        /// The newest configuration that I know.
        tag: Option<ConfigTag>,
        /// The process of the first name that I follow.
        follows: Option<Incarnation>,
    },
    /// The newest configuration and the register that it began with.
    Formed {
        /// Who votes.
        config: GroupConfig,
        /// The register at its beginning.
        base: Box<StateMachine>,
    },
    /// A message of the library.
    Log {
        /// Under which configuration.
        tag: ConfigTag,
        /// The message.
        message: Box<Message<Command>>,
    },
}

/// A word for a member.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// To whom.
    pub to: GatewayName,
    /// What.
    pub message: ConsensusMessage,
}

/// What has been agreed on.
#[derive(Clone, Debug)]
pub struct Committed {
    /// The entry.
    pub command: Command,
    /// What it came to.
    pub outcome: CommandOutcome,
}

/// What has to be on the disk before anything is said, where this member keeps its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoredRecord {
    /// A configuration begins: what was stored before is of no use any more.
    ConfigStarted {
        /// Who votes.
        config: GroupConfig,
        /// The register at its beginning.
        base: Box<StateMachine>,
    },
    /// A change of its log or promises.
    StorageChanged(StorageChange),
}

/// What comes of an event.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// To be stored before the words go.
    pub records: Vec<StoredRecord>,
    /// Words for other members.
    pub messages: Vec<OutgoingMessage>,
    /// Entries applied, in order.
    pub committed: Vec<Committed>,
    /// The register was replaced as a whole: this member had been away.
    pub state_replaced: bool,
    /// What staff should read.
    pub notices: Vec<String>,
}

/// What this member knows of another.
#[derive(Clone, Debug, Default)]
struct Other {
    /// The process at the other end of the link, where there is one.
    linked: Option<Incarnation>,
    /// What that process has said it holds.
    holds: Option<(Option<ConfigTag>, Option<Incarnation>)>,
    /// For how many ticks its seat has been another's.
    replaced: u64,
}

/// A configuration that this process votes in.
struct Voting {
    paxos: OmniPaxos<Command, LogStorage>,
    applied: usize,
    ending: bool,
}

/// What this member knows of the council.
struct Known {
    config: GroupConfig,
    base: StateMachine,
    /// None where it has no seat.
    voting: Option<Voting>,
}

/// One member.
pub struct ConsensusGroup {
    name: GatewayName,
    process: Incarnation,
    names: Vec<GatewayName>,
    others: BTreeMap<GatewayName, Other>,
    known: Option<Known>,
    register: StateMachine,
    ticks: u64,
    proposed: usize,
    foreign: bool,
    /// The process of the first name that this one follows in founding: the last one that it was linked to.
    follows: Option<Incarnation>,
    journal: ChangeJournal,
}

impl ConsensusGroup {
    /// A member that knows of no council. `names` are all members, this one among them; `empty` is the register to begin with.
    pub fn new(
        name: GatewayName,
        process: Incarnation,
        mut names: Vec<GatewayName>,
        empty: StateMachine,
    ) -> ConsensusGroup {
        names.sort();
        let follows = (names.first() == Some(&name)).then_some(process);
        let others = names.iter().filter(|n| **n != name).map(|n| (n.clone(), Other::default())).collect();
        ConsensusGroup {
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
            journal: ChangeJournal::default(),
        }
    }

    /// Takes in what an earlier process with this vote has stored, in its order. To be called before anything else.
    pub fn restore(&mut self, stored: Vec<StoredRecord>) {
        let mut out = StepOutput::default();
        let (mut began, mut writes) = (None, Vec::new());
        for one in stored {
            match one {
                StoredRecord::ConfigStarted { config, base } => {
                    began = Some((config, base));
                    writes.clear();
                }
                StoredRecord::StorageChanged(write) => writes.push(write),
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
    pub fn state(&self) -> &StateMachine {
        &self.register
    }

    /// The configuration that this member knows of.
    pub fn config(&self) -> Option<&GroupConfig> {
        self.known.as_ref().map(|k| &k.config)
    }

    /// Whether this process has a vote.
    pub fn is_voting(&self) -> bool {
        self.known.as_ref().is_some_and(|k| k.voting.is_some())
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<&GatewayName> {
        let known = self.known.as_ref()?;
        let (leader, accepted) = known.voting.as_ref()?.paxos.get_current_leader()?;
        let seat = known.config.replicas.get((leader as usize).checked_sub(1)?)?;
        // A leader that nobody has followed yet decides nothing.
        (accepted || seat.name == self.name).then_some(&seat.name)
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
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
        act: impl FnOnce(&mut ConsensusGroup, &mut StepOutput) -> T,
    ) -> (Option<T>, StepOutput) {
        let mut doings = StepOutput::default();
        if let Ok(done) = catch_unwind(AssertUnwindSafe(|| act(self, &mut doings))) {
            return (Some(done), doings);
        }
        self.stop_voting();
        self.journal.replace(Default::default());
        let note = format!(
            "the council's library broke off on what {whose} said: this process votes no longer. See whether the members run one build \
             (fleet status), end the odd one, then start this one again"
        );
        (None, StepOutput { notices: vec![note], ..StepOutput::default() })
    }

    /// Proposes an entry. Whether it is on its way; it may be lost still, so whoever needs it proposes it again until it is seen.
    pub fn propose(&mut self, entry: Command) -> bool {
        self.guard("staff or a gateway", |council, _| council.append(entry)).0.unwrap_or_default()
    }

    fn append(&mut self, entry: Command) -> bool {
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
    pub fn link_up(&mut self, name: &str, process: Incarnation) -> StepOutput {
        self.guard(name, |council, out| council.link(name, process, out)).1
    }

    fn link(&mut self, name: &str, process: Incarnation, out: &mut StepOutput) {
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
    pub fn link_down(&mut self, name: &str) {
        if let Some(other) = self.others.get_mut(name) {
            (other.linked, other.holds) = (None, None);
        }
    }

    /// Time goes on: to be called every [`TICK`].
    pub fn tick(&mut self) -> StepOutput {
        self.guard("a member", ConsensusGroup::go_on).1
    }

    fn go_on(&mut self, out: &mut StepOutput) {
        self.ticks += 1;
        if let Some(voting) = self.known.as_mut().and_then(|k| k.voting.as_mut()) {
            voting.paxos.tick();
        }
        if self.ticks.is_multiple_of(SAY) {
            let names: Vec<GatewayName> = self.others.keys().cloned().collect();
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
    pub fn receive(&mut self, from: &str, word: ConsensusMessage) -> StepOutput {
        self.guard(from, |council, out| council.heed(from, word, out)).1
    }

    fn heed(&mut self, from: &str, word: ConsensusMessage, out: &mut StepOutput) {
        let Some(process) = self.others.get(from).and_then(|o| o.linked) else { return };
        match word {
            ConsensusMessage::Holds { tag, follows } => {
                if let Some(other) = self.others.get_mut(from) {
                    other.holds = Some((tag, follows));
                }
                self.hand_on(from, tag, out);
                self.found(out);
            }
            ConsensusMessage::Formed { config, base } => self.adopt(from, config, *base, out),
            ConsensusMessage::Log { tag, message } => {
                let Some(known) = &mut self.known else { return };
                let (from, own) = (known.config.number(from), known.config.number(&self.name));
                // The library trusts numbers: one that is not this seat's, or a seat that is another process's, has no say.
                let fits = known.config.tag() == tag
                    && from.is_some_and(|n| known.config.replicas[n as usize - 1].process == process)
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
    fn say(&self, to: &str, out: &mut StepOutput) {
        if self.others.get(to).is_none_or(|o| o.linked.is_none()) {
            return;
        }
        let tag = self.known.as_ref().map(|k| k.config.tag());
        let word = ConsensusMessage::Holds { tag, follows: self.follows };
        out.messages.push(OutgoingMessage { to: to.to_owned(), message: word });
    }

    /// Hands the newest configuration to one that has an older one or none.
    fn hand_on(&mut self, to: &str, holds: Option<ConfigTag>, out: &mut StepOutput) {
        let Some(known) = &self.known else { return };
        match holds {
            Some(tag) if tag.group_id != known.config.group_id => {
                if !std::mem::replace(&mut self.foreign, true) {
                    out.notices.push(format!(
                        "{to} belongs to another council: two were founded, or one was founded anew while this process was away; \
                         end this process or that one, and start it again"
                    ));
                }
            }
            Some(tag) if tag.generation >= known.config.generation => {}
            _ => {
                let (config, base) = (known.config.clone(), Box::new(known.base.clone()));
                out.messages.push(OutgoingMessage {
                    to: to.to_owned(),
                    message: ConsensusMessage::Formed { config, base },
                });
            }
        }
    }

    /// Founds the first council, where that is this member's to do.
    fn found(&mut self, out: &mut StepOutput) {
        if self.known.is_some() || self.names.first() != Some(&self.name) {
            return;
        }
        let mut seats = vec![Replica { name: self.name.clone(), process: self.process }];
        for (name, other) in &self.others {
            let (Some(process), Some((None, Some(follows)))) = (other.linked, other.holds) else { return };
            if follows != self.process {
                return;
            }
            seats.push(Replica { name: name.clone(), process });
        }
        let config = GroupConfig::found(seats);
        out.notices.push("the council is founded: every member is there, and none knew of one".to_owned());
        self.begin(config, self.register.clone(), out);
        self.flush(out);
    }

    /// Takes over a configuration that another member holds.
    fn adopt(&mut self, from: &str, config: GroupConfig, base: StateMachine, out: &mut StepOutput) {
        match &self.known {
            Some(known)
                if known.config.group_id != config.group_id
                    || known.config.generation >= config.generation =>
            {
                return
            }
            // One that was founded with this process's word counts as long as it follows the founder still. After it has turned to
            // another founder, that one alone can say that there is an older council after all.
            None if config.generation == 1
                && config.has(&self.name, self.process)
                && config.replicas.first().map(|s| s.process) != self.follows
                && self.names.first().is_none_or(|first| first != from) =>
            {
                return;
            }
            _ => {}
        }
        out.state_replaced = true;
        self.begin(config, base, out);
    }

    /// Begins a configuration.
    fn begin(&mut self, config: GroupConfig, base: StateMachine, out: &mut StepOutput) {
        self.journal.borrow_mut().clear();
        out.records
            .push(StoredRecord::ConfigStarted { config: config.clone(), base: Box::new(base.clone()) });
        self.begin_with(config, base, Vec::new(), out);
    }

    /// Begins, or goes on with, a configuration of which this was written.
    fn begin_with(
        &mut self,
        config: GroupConfig,
        base: StateMachine,
        writes: Vec<StorageChange>,
        out: &mut StepOutput,
    ) {
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
            let mut kept = LogStorage::new(self.journal.clone());
            writes.into_iter().for_each(|write| kept.restore(write));
            let paxos = built.build(kept).ok()?;
            Some(Voting { paxos, applied: 0, ending: false })
        });
        let (id, seated) = (config.generation, voting.is_some());
        out.notices.push(format!(
            "council {:016x}, configuration {id}: {}",
            config.group_id,
            if seated { "this process votes" } else { "this process has no vote until it is seated" }
        ));
        self.register = base.clone();
        self.known = Some(Known { config, base, voting });
        let names: Vec<GatewayName> = self.others.keys().cloned().collect();
        for name in names {
            let holds = self.others.get(&name).and_then(|o| o.holds);
            if let Some((tag, _)) = holds {
                self.hand_on(&name, tag, out);
            }
            self.say(&name, out);
        }
    }

    /// Where this member leads, seats those that came back as others, and begins a log anew that has grown long.
    fn seat_anew(&mut self, out: &mut StepOutput) {
        let leads = self.is_leader();
        let Some(known) = &mut self.known else { return };
        let mut seats = known.config.replicas.clone();
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
        if seats == known.config.replicas && !long {
            return;
        }
        let next = GroupConfig {
            group_id: known.config.group_id,
            generation: known.config.generation + 1,
            replicas: seats,
        };
        let Ok(said) = postcard::to_allocvec(&next.replicas) else { return };
        if voting.paxos.reconfigure(next.cluster(), Some(said)).is_ok() {
            voting.ending = true;
            let why = if long { "its log is long" } else { "a member has come back as another process" };
            out.notices.push(format!("council: configuration {} is proposed, for {why}", next.generation));
        }
    }

    /// Applies what has been decided, and passes on what the library has to say.
    fn settle(&mut self, out: &mut StepOutput) {
        let mut next = None;
        if let Some(known) = &mut self.known {
            if let Some(voting) = &mut known.voting {
                let decided = voting.paxos.read_decided_suffix(voting.applied).unwrap_or_default();
                for entry in decided {
                    match entry {
                        LogEntry::Decided(entry) => {
                            voting.applied += 1;
                            let applied = self.register.apply(&entry);
                            out.committed.push(Committed { command: entry, outcome: applied });
                        }
                        LogEntry::StopSign(stop, true) => {
                            let seats = stop.metadata.and_then(|m| postcard::from_bytes(&m).ok());
                            next = seats.map(|seats| GroupConfig {
                                group_id: known.config.group_id,
                                generation: stop.next_config.configuration_id,
                                replicas: seats,
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

    fn flush(&mut self, out: &mut StepOutput) {
        out.records.extend(self.journal.borrow_mut().drain(..).map(StoredRecord::StorageChanged));
        let Some(known) = &mut self.known else { return };
        let Some(voting) = &mut known.voting else { return };
        let mut messages = Vec::new();
        voting.paxos.take_outgoing_messages(&mut messages);
        for message in messages {
            let to =
                (message.get_receiver() as usize).checked_sub(1).and_then(|n| known.config.replicas.get(n));
            let Some(to) = to else { continue };
            // What is meant for a process that is gone is not another's.
            if self.others.get(&to.name).is_some_and(|o| o.linked == Some(to.process)) {
                let word = ConsensusMessage::Log { tag: known.config.tag(), message: Box::new(message) };
                out.messages.push(OutgoingMessage { to: to.name.clone(), message: word });
            }
        }
    }
}
