//! One gateway's whole part in the fleet: events in, frames and changes of standing out. The link carries it out.

mod keeper;
mod session;

pub use session::Acting;

use crate::council::{Council, Doings, Stored, TICK};
use crate::members::{Down, Members, State, PULSE};
use crate::register::{Entry, Register, SessionId};
use crate::settings::{Alone, FleetSettings};
use crate::version::{Incarnation, Listed, Name, Version};
use crate::wire::{Frame, Gone, News};
use keeper::Keeper;
use serde::Serialize;
use session::Holder;
use std::collections::VecDeque;
use std::time::Duration;

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Output {
    /// This is to be on the disk before any frame goes that comes behind it; nothing, where no state is kept.
    Store(Vec<Stored>),
    /// A frame is to go to a peer, where a link is up.
    Send {
        /// To whom.
        to: Name,
        /// What.
        frame: Frame,
    },
    /// A link brings nothing any more: it is to be ended and had again.
    End(Name),
    /// How this gateway stands has changed.
    Standing(Acting),
    /// There is a newer list than the one held: discovery is to be asked again.
    AskDiscovery {
        /// What the others have.
        current: u64,
    },
    /// Staff require another configuration: the file is to be read again.
    Reread {
        /// Its digest.
        required: u64,
    },
    /// Hosts that leave or are gone, by newer lists than the one held.
    Gone(Vec<Gone>),
    /// Something that staff should read.
    Note(String),
}

/// How the fleet looks from one gateway.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// This gateway.
    pub gateway: Name,
    /// Its process.
    pub process: String,
    /// In session, alone or out, and why.
    pub standing: String,
    /// Its session.
    pub session: Option<SessionId>,
    /// For how long it holds yet, in milliseconds.
    pub held_ms: u64,
    /// What it acts on.
    pub version: Version,
    /// How far it knows the register.
    pub position: u64,
    /// The current index of its list's lineage, as it was last told.
    pub current: Option<u64>,
    /// Where it has a seat: who leads.
    pub leader: Option<Name>,
    /// Where it has a seat: the council's configuration, and whether this process votes.
    pub council: Option<(u32, bool)>,
    /// How it sees the others.
    pub members: Vec<(Name, State)>,
    /// Where it has a seat: all sessions, with how far each list is behind and why one is out.
    pub sessions: Vec<Row>,
    /// Where it has a seat: whom staff have shut out.
    pub held_out: Vec<Name>,
}

/// A session, as staff see it.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Whose.
    pub gateway: Name,
    /// Its process.
    pub process: String,
    /// Its number.
    pub session: SessionId,
    /// What it acts on.
    pub version: Version,
    /// By how many versions its list is older than the current one.
    pub behind: u64,
    /// Why it is shut out, where it is.
    pub out: Option<String>,
}

/// One gateway's part.
pub struct Agent {
    settings: FleetSettings,
    process: Incarnation,
    members: Members,
    council: Option<Council>,
    keeper: Keeper,
    holder: Holder,
    /// Frames to itself: a member of the council asks itself as any other gateway asks it.
    own: VecDeque<Frame>,
    ticked: Option<Duration>,
    pulsed: Option<Duration>,
    stood: Option<Acting>,
}

impl Agent {
    /// A part of this process, with the vote of `voter`: its own, or that of the process before whose state `stored` is. The seed spreads
    /// what all gateways would else do at the same moment.
    pub fn new(
        settings: FleetSettings,
        process: Incarnation,
        version: Version,
        seed: u64,
        (voter, stored): (Incarnation, Vec<Stored>),
    ) -> Agent {
        let council = settings.council();
        let names: Vec<Name> = council.iter().map(|p| p.name.clone()).collect();
        let own = settings.gateway.clone();
        let council = names.contains(&own).then(|| {
            let empty = Register::new(&settings.stragglers);
            let mut council = Council::new(own.clone(), voter, names.clone(), empty);
            council.recall(stored);
            council
        });
        let others = settings.peers.iter().map(|p| p.name.clone()).filter(|n| *n != own);
        Agent {
            process,
            members: Members::new(others),
            keeper: Keeper::new(settings.lease, settings.stragglers),
            holder: Holder::new(own, names, settings.lease, version, seed),
            council,
            settings,
            own: VecDeque::new(),
            ticked: None,
            pulsed: None,
            stood: None,
        }
    }

    /// Which gateway's.
    pub fn gateway(&self) -> &Name {
        &self.settings.gateway
    }

    /// This process.
    pub fn process(&self) -> Incarnation {
        self.process
    }

    /// How this gateway may act at this moment: to be asked at every decision.
    pub fn acting(&self, now: Duration) -> Acting {
        self.holder.acting(now)
    }

    /// Whether it takes clients at this moment.
    pub fn takes_clients(&self, now: Duration) -> bool {
        match self.holder.acting(now) {
            Acting::InSession(_) => true,
            Acting::Alone => self.settings.alone == Alone::Serve,
            Acting::Out(_) => false,
        }
    }

    /// When a client that is refused for it may come again. One that a gateway without a session refuses finds another, or this one once
    /// it has reached the council; one that was shut out is let in within its next renewal after it is up to date.
    pub fn keep_away(&self) -> Duration {
        self.settings.lease.renew_every()
    }

    /// Whether a link to this process of a peer may be had now.
    pub fn admits(&self, now: Duration, peer: &str, process: Incarnation) -> bool {
        self.members.admits(now, peer, process)
    }

    /// What it acts on.
    pub fn version(&self) -> &Version {
        &self.holder.version
    }

    /// The register, where this gateway has a seat.
    pub fn register(&self) -> Option<&Register> {
        self.council.as_ref().map(Council::register)
    }

    /// How far it knows the register.
    pub fn position(&self) -> u64 {
        self.register().map_or(self.holder.news.position, Register::position)
    }

    /// The council's part, where this gateway has a seat.
    pub fn council(&self) -> Option<&Council> {
        self.council.as_ref()
    }

    /// It acts on another version from now on.
    pub fn turn_to(&mut self, now: Duration, version: Version, out: &mut Vec<Output>) {
        self.holder.turn_to(now, version);
        self.finish(now, out);
    }

    /// A list says that these leave or are gone.
    pub fn departed(
        &mut self,
        now: Duration,
        list: Listed,
        hosts: Vec<(String, bool)>,
        out: &mut Vec<Output>,
    ) {
        self.holder.departed(now, list, hosts);
        self.finish(now, out);
    }

    /// A link to a peer has come up.
    pub fn linked(
        &mut self,
        now: Duration,
        peer: &str,
        (process, voter): (Incarnation, Incarnation),
        out: &mut Vec<Output>,
    ) {
        self.members.linked(now, peer, process);
        let doings = self.council.as_mut().map(|c| c.linked(peer, voter)).unwrap_or_default();
        self.take(now, doings, out);
        self.finish(now, out);
    }

    /// The link is down, or could not be had.
    pub fn unlinked(&mut self, now: Duration, peer: &str, why: Down, out: &mut Vec<Output>) {
        self.members.unlinked(peer, why);
        if let Some(council) = &mut self.council {
            council.unlinked(peer);
        }
        self.keeper.unlinked(peer);
        self.holder.unlinked(now, peer);
        self.finish(now, out);
    }

    /// A frame has come over a link.
    pub fn hear(&mut self, now: Duration, from: &str, frame: Frame, out: &mut Vec<Output>) {
        self.members.heard(now, from);
        self.frame(now, from, frame, out);
        self.finish(now, out);
    }

    /// What was to be stored could not be: this process votes no longer.
    pub fn store_failed(&mut self) {
        if let Some(council) = &mut self.council {
            council.stop_voting();
        }
    }

    /// Something is to be decided on the word of staff. Whether it is on its way.
    pub fn decide(&mut self, entry: Entry) -> bool {
        self.council.as_mut().is_some_and(|c| c.propose(entry))
    }

    /// Time goes on: to be called every [`TICK`], late where it must be.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        let paused = self.ticked.is_some_and(|at| now.saturating_sub(at) > TICK * 10);
        self.ticked = Some(now);
        for peer in self.members.half_open(now) {
            out.push(Output::End(peer));
        }
        let doings = self.council.as_mut().map(Council::tick).unwrap_or_default();
        if paused {
            self.keeper.start_over(now);
        }
        self.take(now, doings, out);
        if let Some(council) = &mut self.council {
            self.keeper.tick(now, council, &mut |to, frame| out.push(Output::Send { to, frame }));
        }
        if self.pulsed.is_none_or(|at| now.saturating_sub(at) >= PULSE) {
            self.pulsed = Some(now);
            // What is seen of others is of use to the council alone; told to all, it would be most of what the links carry.
            let seated = |name: &Name| self.council.as_ref().is_some_and(|c| c.is_member(name));
            let views = if self.council.is_some() { self.members.views(now) } else { Vec::new() };
            for to in self.members.reached() {
                let views = if seated(to) { views.clone() } else { Vec::new() };
                out.push(Output::Send { to: to.clone(), frame: Frame::Pulse { views } });
            }
        }
        self.finish(now, out);
    }

    /// Ends its session in order: the last thing that it does.
    pub fn close(&mut self, now: Duration, out: &mut Vec<Output>) {
        if let Some((to, frame)) = self.holder.close() {
            out.push(Output::Send { to, frame });
        }
        self.finish(now, out);
    }

    fn frame(&mut self, now: Duration, from: &str, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Pulse { views } => self.members.told(now, from, &views),
            Frame::Council(word) => {
                let doings = self.council.as_mut().map(|c| c.hear(from, word)).unwrap_or_default();
                self.take(now, doings, out);
            }
            Frame::Open { .. } | Frame::Renew { .. } | Frame::Departed { .. } | Frame::Close { .. } => {
                let process = if from == self.settings.gateway {
                    Some(self.process)
                } else {
                    self.members.process(from)
                };
                if let (Some(council), Some(process)) = (&mut self.council, process) {
                    self.keeper.hear(from, process, frame, council, &mut |to, frame| {
                        out.push(Output::Send { to, frame });
                    });
                }
            }
            Frame::Granted { .. } | Frame::NoSession { .. } | Frame::NotNow { .. } | Frame::Told(_) => {
                self.holder.hear(now, from, frame, out);
            }
            // Those of staff are the link's affair.
            Frame::Ask(_) | Frame::Answer(_) | Frame::Whole(_) => {}
        }
    }

    /// Passes on what the council has come to.
    fn take(&mut self, now: Duration, doings: Doings, out: &mut Vec<Output>) {
        if !doings.stored.is_empty() {
            out.push(Output::Store(doings.stored));
        }
        out.extend(doings.said.into_iter().map(|s| Output::Send { to: s.to, frame: Frame::Council(s.word) }));
        out.extend(doings.notes.into_iter().map(Output::Note));
        if doings.caught_up {
            self.keeper.start_over(now);
        }
        if let Some(council) = &self.council {
            for agreed in &doings.agreed {
                let mut send = |to, frame| out.push(Output::Send { to, frame });
                self.keeper.agreed(now, agreed, council.register(), &mut send);
                self.keeper.note(agreed, out);
            }
        }
    }

    /// Has this gateway ask for what it needs, and takes what is for itself.
    fn finish(&mut self, now: Duration, out: &mut Vec<Output>) {
        for (to, frame) in self.holder.ask(now, &self.members) {
            out.push(Output::Send { to, frame });
        }
        loop {
            let mut to_self = Vec::new();
            out.retain(|output| match output {
                Output::Send { to, frame } if *to == self.settings.gateway => {
                    to_self.push(frame.clone());
                    false
                }
                _ => true,
            });
            self.own.extend(to_self);
            let Some(frame) = self.own.pop_front() else { break };
            let own = self.settings.gateway.clone();
            self.frame(now, &own, frame, out);
        }
        let acting = self.holder.acting(now);
        if self.stood.as_ref().is_none_or(|stood| !stood.alike(&acting)) {
            self.stood = Some(acting.clone());
            out.push(Output::Standing(acting));
        }
    }

    /// How the fleet looks from here.
    pub fn status(&self, now: Duration) -> Status {
        let acting = self.holder.acting(now);
        let row = |(id, s): (&SessionId, &crate::register::Session), register: &Register| Row {
            gateway: s.name.clone(),
            process: s.process.to_string(),
            session: *id,
            version: s.version.clone(),
            behind: register
                .current(&s.version.list.lineage)
                .unwrap_or_default()
                .saturating_sub(s.version.list.index),
            out: s.out.as_ref().map(ToString::to_string),
        };
        let register = self.register();
        Status {
            gateway: self.settings.gateway.clone(),
            process: self.process.to_string(),
            standing: acting.to_string(),
            session: self.holder.session(),
            held_ms: self.holder.held_for(now).as_millis() as u64,
            version: self.holder.version.clone(),
            position: self.position(),
            current: self.holder.news.current,
            leader: self.council.as_ref().and_then(Council::leader).cloned(),
            council: self.council.as_ref().and_then(|c| Some((c.config()?.id, c.votes()))),
            members: self.members.states(now),
            sessions: register.map(|r| r.sessions().iter().map(|s| row(s, r)).collect()).unwrap_or_default(),
            held_out: register.map(|r| r.held().cloned().collect()).unwrap_or_default(),
        }
    }

    /// What the register last said to this gateway.
    pub fn news(&self) -> &News {
        &self.holder.news
    }
}
