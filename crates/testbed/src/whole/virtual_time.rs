//! Fault scenarios in virtual time: the decision code of all gateways runs in this process, with clocks of different rates and with links
//! that are cut, slow or closed. Runs with the same seed are identical.

use super::history::{Figures, History, Seen};
use super::script::{Event, Script, What, Whom};
use crate::draws::{Draws, For, Stream};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;
use weldworks_fleet::audit::RetentionLimits;
use weldworks_fleet::consensus::{StoredRecord, TICK_INTERVAL};
use weldworks_fleet::lease::Lease;
use weldworks_fleet::membership::LinkFailure;
use weldworks_fleet::node::{Node, NodeAction, PeerProcess, SessionState, StoredVote};
use weldworks_fleet::protocol::Frame;
use weldworks_fleet::settings::{FleetSettings, LagPolicy, Peer, WithoutSessionPolicy};
use weldworks_fleet::state_machine::SessionId;
use weldworks_fleet::version::{digest, Incarnation, ListVersion, Version};

/// Time until a connection attempt fails if nothing answers it.
const DIAL: Duration = Duration::from_millis(1000);
/// Mean delay of a frame on a link without faults.
const WAY: Duration = Duration::from_micros(300);
/// Time after the end of the last fault within which all gateways have to be in a session again.
const RECOVERED: Duration = Duration::from_secs(8);

/// A defect inserted on purpose, to test that the checks find it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mistake {
    /// No defect.
    #[default]
    None,
    /// The clock margin is applied with the wrong sign and five times as large: holders rely on a lease too long, and voters wait too
    /// short a time for its end.
    MarginReversed,
    /// The clock of every other gateway runs slow by more than the clock margin.
    ClocksApart,
    /// A restarted process votes under the identity of the previous process, whose votes it does not know.
    VotesAgain,
    /// Frames are sent before the records that they depend on are stored, and every write to disk is slow.
    SaysBeforeStored,
}

/// Result of a run in virtual time.
#[derive(Clone, Debug)]
pub struct Played {
    /// Violated rules, as text.
    pub breaches: Vec<String>,
    /// Figures of the run.
    pub figures: Figures,
    /// All observations of the run.
    pub history: History,
}

#[derive(Clone, Debug)]
enum Do {
    Tick { gateway: usize, process: usize },
    Dial { from: usize, to: usize, process: usize },
    Linked { from: usize, to: usize, process: usize, other: usize },
    Deliver { from: usize, to: usize, generation: u64, frame: Box<Frame> },
    Down { at: usize, other: usize, generation: u64 },
    News,
    Hear { gateway: usize, process: usize, index: u64 },
    Begin(usize),
    End(usize),
    Start(usize),
    Written { gateway: usize, process: usize, stored: Vec<StoredRecord>, frames: Vec<(usize, Frame)> },
    Flap(usize),
    Replace(usize),
}

/// Records to be stored, and the frames that may be sent once the records are on disk.
type Batch = (Vec<StoredRecord>, Vec<(usize, Frame)>);

struct Process {
    agent: Node,
    began: Duration,
    rate: f64,
    number: usize,
    paused: bool,
    waiting: Vec<Do>,
    voter: Incarnation,
    stood: Option<SessionState>,
    first_session: Option<Duration>,
    index: u64,
}

impl Process {
    fn clock(&self, at: Duration) -> Duration {
        (at.saturating_sub(self.began)).mul_f64(self.rate)
    }
}

/// The connection between two gateways; of its two ends that of the lower number comes first.
#[derive(Clone, Debug, Default)]
struct Link {
    generation: u64,
    up: [bool; 2],
}

/// One direction of the network path between two gateways.
#[derive(Clone, Debug, Default)]
struct Way {
    cut: u32,
    slow: Vec<(Duration, Duration)>,
    last: Duration,
    held: Vec<Do>,
}

struct Play<'a> {
    script: &'a Script,
    mistake: Mistake,
    draws: Draws,
    draw: Stream,
    at: Duration,
    order: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    doings: BTreeMap<u64, Do>,
    gateways: Vec<Option<Process>>,
    started: Vec<usize>,
    links: BTreeMap<(usize, usize), Link>,
    ways: BTreeMap<(usize, usize), Way>,
    stuck: BTreeSet<usize>,
    index: u64,
    whom: BTreeMap<usize, Vec<usize>>,
    history: History,
    breaches: Vec<String>,
    figures: Figures,
    frames: u64,
    bytes: u64,
    led: Option<(usize, usize)>,
    no_leader: Option<Duration>,
    lapsed: BTreeSet<SessionId>,
    /// Records on each gateway's disk.
    disks: Vec<Vec<StoredRecord>>,
    /// For each gateway, when the last write to its disk is complete.
    written: Vec<Duration>,
    stuck_since: BTreeMap<usize, Duration>,
    freed: BTreeMap<usize, Duration>,
}

/// Runs a script in virtual time.
pub fn play(script: &Script, seed: u64, mistake: Mistake) -> Played {
    let draws = Draws::new(seed);
    let mut play = Play {
        script,
        mistake,
        draws,
        draw: draws.stream(For::Network, 1),
        at: Duration::ZERO,
        order: 0,
        queue: BinaryHeap::new(),
        doings: BTreeMap::new(),
        gateways: (0..script.gateways).map(|_| None).collect(),
        started: vec![0; script.gateways],
        links: BTreeMap::new(),
        ways: BTreeMap::new(),
        stuck: BTreeSet::new(),
        index: 1,
        whom: BTreeMap::new(),
        history: History::default(),
        breaches: Vec::new(),
        figures: Figures::default(),
        frames: 0,
        bytes: 0,
        led: None,
        no_leader: None,
        lapsed: BTreeSet::new(),
        disks: vec![Vec::new(); script.gateways],
        written: vec![Duration::ZERO; script.gateways],
        stuck_since: BTreeMap::new(),
        freed: BTreeMap::new(),
    };
    play.run();
    play.finish()
}

impl Play<'_> {
    fn soon(&mut self, after: Duration, what: Do) {
        self.order += 1;
        self.queue.push(Reverse((self.at + after, self.order)));
        self.doings.insert(self.order, what);
    }

    fn run(&mut self) {
        for gateway in 0..self.script.gateways {
            let after = Duration::from_millis(self.draw.below(200) as u64);
            self.soon(after, Do::Start(gateway));
        }
        for (n, event) in self.script.events.iter().enumerate() {
            self.soon(event.at, Do::Begin(n));
            if let Some(lasts) = event.lasts {
                self.soon(event.at + lasts, Do::End(n));
            }
        }
        self.soon(self.script.lists, Do::News);
        while let Some(Reverse((at, order))) = self.queue.pop() {
            if at > self.script.lasts {
                break;
            }
            self.at = at;
            if let Some(what) = self.doings.remove(&order) {
                self.carry_out(what);
            }
        }
    }

    fn seats(&self, gateway: usize) -> bool {
        gateway < self.script.council
    }

    fn settings(&self, gateway: usize) -> FleetSettings {
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let peer = |n: usize| Peer { name: name(n), address: nowhere, is_voter: n < self.script.council };
        FleetSettings {
            name: "virtual".to_owned(),
            gateway: name(gateway),
            listen: nowhere,
            peers: (0..self.script.gateways).map(peer).collect(),
            lineage: None,
            lease: Lease { length: self.script.lease, margin: self.script.margin },
            without_session: if self.script.refuses_alone {
                WithoutSessionPolicy::Reject
            } else {
                WithoutSessionPolicy::Serve
            },
            state_folder: None,
            audit_retention: RetentionLimits::default(),
            lag_policy: LagPolicy {
                max_list_lag: self.script.behind.0,
                max_lag_duration: self.script.behind.1,
                max_fenced_fraction: self.script.most_out,
            },
        }
    }

    fn start(&mut self, gateway: usize) {
        let number = self.started[gateway];
        self.started[gateway] += 1;
        let mut settings = self.settings(gateway);
        let margin = self.script.margin;
        // The rate of each clock is off by up to 0.99 of the clock margin, in either direction.
        let mut rate = 1.0 + margin * 0.99 * (2.0 * self.draw.even() - 1.0);
        match self.mistake {
            Mistake::ClocksApart if gateway % 2 == 1 => rate -= 0.3,
            Mistake::MarginReversed => settings.lease.margin *= -5.0,
            _ => {}
        }
        let process = match self.mistake {
            Mistake::VotesAgain => Incarnation(gateway as u64 + 1),
            _ => Incarnation(self.draws.number(For::Gateway, (gateway * 1000 + number) as u64) | 1),
        };
        let index = if self.stuck.contains(&gateway) { self.index.saturating_sub(1) } else { self.index };
        let seed = self.draws.number(For::Gateway, 7_000_000 + (gateway * 1000 + number) as u64);
        let stored = self.disks[gateway].clone();
        // Without a disk each process is a voter of its own; with a disk a process continues as the voter that first used the disk.
        let voter = if self.script.disks { Incarnation(gateway as u64 + 1) } else { process };
        let agent = Node::new(settings, process, version(index), seed, StoredVote { voter, records: stored });
        self.gateways[gateway] = Some(Process {
            agent,
            began: self.at,
            rate,
            number,
            paused: false,
            waiting: Vec::new(),
            voter,
            stood: None,
            first_session: None,
            index,
        });
        self.soon(Duration::ZERO, Do::Tick { gateway, process: number });
        for other in 0..self.script.council {
            if other != gateway && (!self.seats(gateway) || gateway < other) {
                self.soon(Duration::from_millis(1), Do::Dial { from: gateway, to: other, process: number });
            }
        }
    }

    fn alive(&self, gateway: usize, process: usize) -> bool {
        self.gateways[gateway].as_ref().is_some_and(|p| p.number == process)
    }

    fn cut(&self, from: usize, to: usize) -> bool {
        self.ways.get(&(from, to)).is_some_and(|w| w.cut > 0)
    }

    fn carry_out(&mut self, what: Do) {
        // Events for a paused process are deferred until the process continues.
        let whose = match &what {
            Do::Tick { gateway, .. } | Do::Hear { gateway, .. } => Some(*gateway),
            Do::Deliver { to, .. } => Some(*to),
            Do::Down { at, .. } => Some(*at),
            Do::Dial { from, .. } | Do::Linked { from, .. } => Some(*from),
            _ => None,
        };
        if let Some(process) = whose.and_then(|g| self.gateways[g].as_mut()).filter(|p| p.paused) {
            process.waiting.push(what);
            return;
        }
        match what {
            Do::Start(gateway) => {
                if self.gateways[gateway].is_none() {
                    self.start(gateway);
                }
            }
            Do::Tick { gateway, process } if self.alive(gateway, process) => {
                // Ticks are up to 3 ms late.
                let late = Duration::from_micros(self.draw.below(3000) as u64);
                self.soon(TICK_INTERVAL + late, Do::Tick { gateway, process });
                self.with(gateway, |agent, now, out| agent.tick(now, out));
                self.look_for_leader();
            }
            Do::Tick { .. } => {}
            Do::Dial { from, to, process } if self.alive(from, process) => self.dial(from, to, process),
            Do::Dial { .. } => {}
            Do::Linked { from, to, process, other } => {
                let there = self.alive(from, process) && self.alive(to, other);
                let paused = self.gateways[to].as_ref().is_some_and(|p| p.paused);
                if there && !paused && !self.cut(from, to) && !self.cut(to, from) {
                    self.link(from, to);
                } else if self.alive(from, process) {
                    self.with(from, |agent, now, out| {
                        agent.link_down(now, &name(to), LinkFailure::Broken, out);
                    });
                    self.dial_again(from, to, process);
                }
            }
            Do::Deliver { from, to, generation, frame } => self.deliver(from, to, generation, *frame),
            Do::Down { at, other, generation } => {
                let key = (at.min(other), at.max(other));
                let link = self.links.entry(key).or_default();
                let end = usize::from(at > other);
                if link.generation == generation && std::mem::take(&mut link.up[end]) {
                    self.end(at, other);
                }
            }
            Do::News => {
                self.index += 1;
                self.soon(self.script.lists, Do::News);
                let index = self.index;
                for gateway in 0..self.script.gateways {
                    if let Some(process) = self.gateways[gateway].as_ref().map(|p| p.number) {
                        let after = Duration::from_millis(5 + self.draw.below(80) as u64);
                        self.soon(after, Do::Hear { gateway, process, index });
                    }
                }
            }
            Do::Hear { gateway, process, index } if self.alive(gateway, process) => {
                let Some(known) = &mut self.gateways[gateway] else { return };
                if !self.stuck.contains(&gateway) && known.index < index {
                    known.index = index;
                    self.with(gateway, |agent, now, out| agent.set_version(now, version(index), out));
                }
            }
            Do::Hear { .. } => {}
            Do::Begin(n) => self.begin(n),
            Do::End(n) => self.over(n),
            // A process that ended during a write has stored nothing and sends none of the frames that depend on the write.
            Do::Written { gateway, process, stored, frames } if self.alive(gateway, process) => {
                if stored.iter().any(|s| matches!(s, StoredRecord::ConfigStarted { .. })) {
                    self.disks[gateway].clear();
                }
                self.disks[gateway].extend(stored);
                for (to, frame) in frames {
                    self.send(gateway, to, frame);
                }
            }
            Do::Written { .. } => {}
            Do::Flap(n) => self.flap(n),
            Do::Replace(gateway) => {
                self.with(gateway, |agent, now, out| agent.shut_down(now, out));
                self.kill(gateway);
                self.soon(Duration::from_millis(20), Do::Start(gateway));
            }
        }
    }

    fn dial(&mut self, from: usize, to: usize, process: usize) {
        match &self.gateways[to] {
            None if !self.cut(from, to) && !self.cut(to, from) => {
                self.with(from, |agent, now, out| agent.link_down(now, &name(to), LinkFailure::Refused, out));
                self.dial_again(from, to, process);
            }
            Some(other) if !other.paused && !self.cut(from, to) && !self.cut(to, from) => {
                let other = other.number;
                self.soon(WAY * 3, Do::Linked { from, to, process, other });
            }
            _ => {
                let other = usize::MAX; // no process has this number, so the connection attempt times out
                self.soon(DIAL, Do::Linked { from, to, process, other });
            }
        }
    }

    fn dial_again(&mut self, from: usize, to: usize, process: usize) {
        let after = Duration::from_millis(100 + self.draw.below(300) as u64);
        self.soon(after, Do::Dial { from, to, process });
    }

    fn link(&mut self, from: usize, to: usize) {
        let key = (from.min(to), from.max(to));
        let link = self.links.entry(key).or_default();
        let before = std::mem::replace(&mut link.up, [true, true]);
        link.generation += 1;
        for way in [(from, to), (to, from)] {
            self.ways.entry(way).or_default().held.clear();
        }
        for (one, other) in [(from, to), (to, from)] {
            if before[usize::from(one > other)] {
                self.with(one, |agent, now, out| {
                    agent.link_down(now, &name(other), LinkFailure::Broken, out);
                });
            }
        }
        for (one, other) in [(from, to), (to, from)] {
            let Some(peer) = &self.gateways[other] else { continue };
            let remote = PeerProcess { process: peer.agent.process(), voter: peer.voter };
            self.with(one, |agent, now, out| agent.link_up(now, &name(other), remote, out));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, generation: u64, frame: Frame) {
        if self.cut(from, to) {
            let frame = Box::new(frame);
            let way = self.ways.entry((from, to)).or_default();
            way.held.push(Do::Deliver { from, to, generation, frame });
            return;
        }
        let link = self.links.entry((from.min(to), from.max(to))).or_default();
        if link.generation != generation {
            return;
        }
        if self.gateways[to].is_some() && link.up[usize::from(to > from)] {
            self.with(to, |agent, now, out| agent.receive(now, &name(from), frame, out));
        } else {
            // The receiver no longer has this connection, and the sender is notified that the link is down.
            self.way(to, from, Do::Down { at: from, other: to, generation });
        }
    }

    /// Schedules the arrival of an event over the network path between two gateways, with the delays of that direction.
    fn way(&mut self, from: usize, to: usize, what: Do) {
        let jitter = WAY.mul_f64(0.5 + self.draw.even());
        let way = self.ways.entry((from, to)).or_default();
        if way.cut > 0 && matches!(what, Do::Down { .. }) {
            return way.held.push(what);
        }
        let slow = way.slow.last().copied();
        let more =
            slow.map_or(Duration::ZERO, |(least, most)| least + (most - least).mul_f64(self.draw.even()));
        let way = self.ways.entry((from, to)).or_default();
        let arrives = (self.at + jitter + more).max(way.last);
        way.last = arrives;
        self.soon(arrives - self.at, what);
    }

    /// Closes one end of the link between two gateways: the gateway at that end is notified, and reconnects if it is the one that opens
    /// the link.
    fn end(&mut self, at: usize, other: usize) {
        let Some(process) = self.gateways[at].as_ref().map(|p| p.number) else { return };
        self.with(at, |agent, now, out| agent.link_down(now, &name(other), LinkFailure::Broken, out));
        if self.seats(other) && (!self.seats(at) || at < other) {
            self.dial_again(at, other, process);
        }
    }

    /// Passes an event to a gateway's decision code and performs the actions that the code returns.
    fn with(&mut self, gateway: usize, event: impl FnOnce(&mut Node, Duration, &mut Vec<NodeAction>)) {
        let at = self.at;
        let Some(process) = &mut self.gateways[gateway] else { return };
        let now = process.clock(at);
        let before =
            process.agent.state_machine().map(weldworks_fleet::state_machine::StateMachine::log_index);
        let mut out = Vec::new();
        event(&mut process.agent, now, &mut out);
        let number = process.number;
        let acting = process.agent.session_state(now);
        if process.stood.as_ref() != Some(&acting) {
            if matches!(acting, SessionState::InSession(_)) && process.first_session.is_none() {
                process.first_session = Some(at - process.began);
            }
            process.stood = Some(acting.clone());
            if matches!(acting, SessionState::Fenced(_)) {
                if let Some(since) = self.stuck_since.remove(&gateway) {
                    self.figures.to_shut_out_s.push((at - since).as_secs_f64());
                }
            } else if let Some(since) = self.freed.remove(&gateway) {
                self.figures.to_let_in_s.push((at - since).as_secs_f64());
            }
            self.history.note(at, gateway, number, Seen::Stands(acting));
        }
        self.look_at_register(gateway, number, before);
        // Frames that follow records to be stored are sent once these records are on disk.
        let mut behind: Option<Batch> = None;
        for output in out {
            match output {
                NodeAction::Send { to, frame } if self.mistake == Mistake::SaysBeforeStored => {
                    self.send(gateway, number_of(&to), frame);
                }
                NodeAction::Store(stored) if self.script.disks => {
                    let (known, _) = behind.get_or_insert_default();
                    known.extend(stored);
                }
                NodeAction::Store(_) => {}
                NodeAction::Send { to, frame } if behind.is_some() || self.writing(gateway) => {
                    let (_, frames) = behind.get_or_insert_default();
                    frames.push((number_of(&to), frame));
                }
                NodeAction::Send { to, frame } => self.send(gateway, number_of(&to), frame),
                NodeAction::CloseLink(peer) => {
                    let other = number_of(&peer);
                    let link = self.links.entry((gateway.min(other), gateway.max(other))).or_default();
                    let generation = link.generation;
                    if std::mem::take(&mut link.up[usize::from(gateway > other)]) {
                        self.end(gateway, other);
                        self.way(gateway, other, Do::Down { at: other, other: gateway, generation });
                    }
                }
                NodeAction::PollDiscovery { .. } => {
                    let (index, process) = (self.index, number);
                    self.soon(Duration::from_millis(20), Do::Hear { gateway, process, index });
                }
                NodeAction::SessionStateChanged(_)
                | NodeAction::ReloadConfig { .. }
                | NodeAction::EndpointsDeparted(_)
                | NodeAction::Notice(_) => {}
            }
        }
        if let Some((stored, frames)) = behind {
            // Most writes to disk take less than 5 ms, and a few of them up to 150 ms.
            let chance = if self.mistake == Mistake::SaysBeforeStored { 1.0 } else { 0.02 };
            let slow = if self.draw.chance(chance) { 150 } else { 5 };
            let takes = Duration::from_micros(200) + Duration::from_millis(self.draw.below(slow) as u64);
            let after = (self.at + takes).max(self.written[gateway]);
            self.written[gateway] = after;
            self.soon(after - self.at, Do::Written { gateway, process: number, stored, frames });
        }
    }

    /// Whether a write to a gateway's disk is still in progress.
    fn writing(&self, gateway: usize) -> bool {
        self.script.disks && self.written[gateway] >= self.at
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let link = self.links.entry((from.min(to), from.max(to))).or_default();
        if !link.up[usize::from(from > to)] {
            return;
        }
        let generation = link.generation;
        self.frames += 1;
        self.bytes += weldworks_fleet::protocol::encode_frame(&frame).map_or(0, |b| b.len() as u64 + 4);
        self.way(from, to, Do::Deliver { from, to, generation, frame: Box::new(frame) });
    }

    /// Records the entry that a voter has applied, and checks that no gateway considers itself in a session that this voter counts as
    /// expired.
    fn look_at_register(&mut self, gateway: usize, number: usize, before: Option<u64>) {
        let Some(process) = &self.gateways[gateway] else { return };
        let Some(register) = process.agent.state_machine() else { return };
        if before == Some(register.log_index()) {
            return;
        }
        let founding = process.agent.consensus_group().and_then(|c| c.config()).map_or(0, |c| c.group_id);
        let position = register.log_index();
        let hash = digest(format!("{register:?}").as_bytes());
        let lapsed: Vec<SessionId> =
            register.ended_sessions().iter().filter(|(_, e)| e.expired).map(|(id, _)| *id).collect();
        self.history.note(self.at, gateway, number, Seen::Applied { founding, position, digest: hash });
        for session in lapsed {
            if self.lapsed.insert(session) {
                // A paused process re-evaluates its session state when it continues; for a running process the state that it has now
                // counts.
                for (n, holder) in self.gateways.iter_mut().enumerate() {
                    let Some(holder) = holder else { continue };
                    let acting = holder.agent.session_state(holder.clock(self.at));
                    if acting == SessionState::InSession(session) {
                        self.breaches.push(format!(
                            "{:?}: session {session} is over with gateway {gateway}, and gateway {n} acts in it still",
                            self.at
                        ));
                    }
                    if holder.stood == Some(SessionState::InSession(session))
                        && acting != SessionState::InSession(session)
                    {
                        holder.stood = Some(acting.clone());
                        self.history.note(self.at, n, holder.number, Seen::Stands(acting));
                    }
                }
                self.history.note(self.at, gateway, number, Seen::Lapsed(session));
            }
        }
    }

    fn look_for_leader(&mut self) {
        let leads = |(n, p): (usize, &Option<Process>)| {
            let process = p.as_ref().filter(|p| !p.paused)?;
            process.agent.consensus_group().is_some_and(|c| c.is_leader()).then_some((n, process.number))
        };
        let leader = self.gateways.iter().take(self.script.council).enumerate().find_map(leads);
        match leader {
            Some(leader) => {
                if let Some(since) = self.no_leader.take() {
                    let without = (self.at - since).as_secs_f64();
                    self.figures.leaderless_s = self.figures.leaderless_s.max(without);
                }
                if self.led != Some(leader) {
                    self.led = Some(leader);
                    self.history.note(self.at, leader.0, leader.1, Seen::Leads);
                }
            }
            None if self.led.is_some() && self.no_leader.is_none() => self.no_leader = Some(self.at),
            None => {}
        }
    }

    fn met(&mut self, n: usize, event: &Event) -> Vec<usize> {
        if let Some(known) = self.whom.get(&n) {
            return known.clone();
        }
        let whom = match &event.whom {
            Whom::Gateways(all) => all.clone(),
            Whom::Leader => self.led.iter().map(|(g, _)| *g).collect(),
            Whom::All => (0..self.script.gateways).collect(),
        };
        self.whom.insert(n, whom.clone());
        whom
    }

    fn pairs(&mut self, n: usize, event: &Event) -> Vec<(usize, usize)> {
        let whom = self.met(n, event);
        let all: Vec<usize> = (0..self.script.gateways).collect();
        let others = event.others.clone().unwrap_or(all);
        let apart =
            |(one, other): &(usize, usize)| one != other && !(event.others.is_none() && whom.contains(other));
        whom.iter().flat_map(|one| others.iter().map(move |other| (*one, *other))).filter(apart).collect()
    }

    fn begin(&mut self, n: usize) {
        let event = self.script.events[n].clone();
        match &event.what {
            What::Kill => {
                for gateway in self.met(n, &event) {
                    self.kill(gateway);
                }
            }
            What::Pause => {
                for gateway in self.met(n, &event) {
                    if let Some(process) = &mut self.gateways[gateway] {
                        process.paused = true;
                    }
                }
            }
            What::Cut { one_way } => {
                for (one, other) in self.pairs(n, &event) {
                    self.ways.entry((one, other)).or_default().cut += 1;
                    if !one_way {
                        self.ways.entry((other, one)).or_default().cut += 1;
                    }
                }
            }
            What::Slow { by } => {
                for (one, other) in self.pairs(n, &event) {
                    self.ways.entry((one, other)).or_default().slow.push(*by);
                    self.ways.entry((other, one)).or_default().slow.push(*by);
                }
            }
            What::Flap { .. } => self.flap(n),
            What::Stick => {
                for gateway in self.met(n, &event) {
                    self.stuck.insert(gateway);
                    self.stuck_since.insert(gateway, self.at);
                }
            }
            What::Replace { apart } => {
                for (k, gateway) in self.met(n, &event).into_iter().enumerate() {
                    self.soon(*apart * k as u32, Do::Replace(gateway));
                }
            }
            What::Thin { .. } | What::Move | What::Configure { .. } | What::FillDisk => {}
        }
    }

    fn over(&mut self, n: usize) {
        let event = self.script.events[n].clone();
        match &event.what {
            What::Kill => {
                for gateway in self.met(n, &event) {
                    self.soon(Duration::ZERO, Do::Start(gateway));
                }
            }
            What::Pause => {
                for gateway in self.met(n, &event) {
                    self.go_on(gateway);
                }
            }
            What::Cut { one_way } => {
                for (one, other) in self.pairs(n, &event) {
                    self.heal(one, other);
                    if !one_way {
                        self.heal(other, one);
                    }
                }
            }
            What::Slow { .. } => {
                for (one, other) in self.pairs(n, &event) {
                    for way in [(one, other), (other, one)] {
                        self.ways.entry(way).or_default().slow.pop();
                    }
                }
            }
            What::Stick => {
                for gateway in self.met(n, &event) {
                    self.stuck.remove(&gateway);
                    self.stuck_since.remove(&gateway);
                    let stood = self.gateways[gateway].as_ref().and_then(|p| p.stood.clone());
                    if matches!(stood, Some(SessionState::Fenced(_))) {
                        self.freed.insert(gateway, self.at);
                    }
                }
            }
            _ => {}
        }
    }

    /// Closes the links that a fault of flapping links affects, and schedules the next closing.
    fn flap(&mut self, n: usize) {
        let event = self.script.events[n].clone();
        let What::Flap { every } = event.what else { return };
        for (one, other) in self.pairs(n, &event) {
            let generation = self.links.entry((one.min(other), one.max(other))).or_default().generation;
            for (at, end) in [(one, other), (other, one)] {
                self.soon(Duration::ZERO, Do::Down { at, other: end, generation });
            }
        }
        if event.until().is_none_or(|until| self.at + every < until) {
            self.soon(every, Do::Flap(n));
        }
    }

    fn kill(&mut self, gateway: usize) {
        let Some(process) = self.gateways[gateway].take() else { return };
        self.history.note(self.at, gateway, process.number, Seen::Ended);
        for other in 0..self.script.gateways {
            let key = (gateway.min(other), gateway.max(other));
            let Some(link) = self.links.get_mut(&key) else { continue };
            let generation = link.generation;
            link.up[usize::from(gateway > other)] = false;
            self.way(gateway, other, Do::Down { at: other, other: gateway, generation });
        }
    }

    fn go_on(&mut self, gateway: usize) {
        let Some(process) = &mut self.gateways[gateway] else { return };
        process.paused = false;
        let mut waiting = std::mem::take(&mut process.waiting);
        // Timers and sockets of a process that continues are served in either order.
        if self.draw.chance(0.5) {
            waiting.sort_by_key(|w| !matches!(w, Do::Tick { .. }));
        }
        for what in waiting {
            self.carry_out(what);
        }
    }

    fn heal(&mut self, from: usize, to: usize) {
        let way = self.ways.entry((from, to)).or_default();
        way.cut = way.cut.saturating_sub(1);
        if way.cut == 0 {
            for what in std::mem::take(&mut way.held) {
                self.way(from, to, what);
            }
        }
    }

    fn finish(mut self) -> Played {
        self.breaches.extend(self.history.breaches());
        let last = self.script.events.iter().map(|e| e.until().unwrap_or(self.script.lasts)).max();
        let well_by = last.unwrap_or_default() + RECOVERED;
        if well_by <= self.script.lasts {
            for (n, process) in self.gateways.iter().enumerate() {
                let Some(process) = process.as_ref().filter(|p| !p.paused) else { continue };
                let acting = process.agent.session_state(process.clock(self.script.lasts));
                if !matches!(acting, SessionState::InSession(_)) {
                    self.breaches
                        .push(format!("gateway {n} is {acting} at the end, long after the last fault"));
                }
            }
        }
        let (shut, alone) = (self.history.shut_out(), self.history.alone());
        for gateway in &self.script.expected.shut_out {
            if !shut.contains(gateway) {
                self.breaches.push(format!("gateway {gateway} stayed behind and was never shut out"));
            }
        }
        for gateway in &self.script.expected.alone {
            if !alone.contains(gateway) {
                self.breaches.push(format!("gateway {gateway} was never without its session"));
            }
        }
        let sticks = |e: &Event| matches!(e.what, What::Stick);
        if !self.script.events.iter().any(sticks) {
            for gateway in &shut {
                self.breaches
                    .push(format!("gateway {gateway} was shut out, and its discovery was never stuck"));
            }
        }
        self.figures.entries = self
            .gateways
            .iter()
            .flatten()
            .filter_map(|p| p.agent.state_machine())
            .map(weldworks_fleet::state_machine::StateMachine::log_index)
            .max()
            .unwrap_or_default();
        let lasts = self.script.lasts.as_secs_f64();
        (self.figures.frames_s, self.figures.bytes_s) =
            (self.frames as f64 / lasts, self.bytes as f64 / lasts);
        let mut first: Vec<f64> =
            self.gateways.iter().flatten().filter_map(|p| p.first_session).map(|d| d.as_secs_f64()).collect();
        first.sort_by(f64::total_cmp);
        let median = first.get(first.len() / 2).copied().unwrap_or_default();
        self.figures.first_session_s = (median, first.last().copied().unwrap_or_default());
        (self.figures.in_session, self.figures.shut_out) = self.shares();
        Played { breaches: self.breaches, figures: self.figures, history: self.history }
    }

    /// Fractions of all gateways' time, from 3 s after the start of the run, spent in a session and spent fenced.
    fn shares(&self) -> (f64, f64) {
        let from = Duration::from_secs(3);
        let mut stands: BTreeMap<usize, (Duration, Option<SessionState>)> = BTreeMap::new();
        let (mut session, mut out) = (Duration::ZERO, Duration::ZERO);
        let mut add = |since: Duration, until: Duration, acting: &Option<SessionState>| {
            let lasted = until.saturating_sub(since.max(from));
            match acting {
                Some(SessionState::InSession(_)) => session += lasted,
                Some(SessionState::Fenced(_)) => out += lasted,
                _ => {}
            }
        };
        for line in &self.history.lines {
            let next = match &line.seen {
                Seen::Stands(acting) => Some(acting.clone()),
                Seen::Ended => None,
                _ => continue,
            };
            let (since, acting) = stands.insert(line.gateway, (line.at, next)).unwrap_or_default();
            add(since, line.at, &acting);
        }
        for (since, acting) in stands.values() {
            add(*since, self.script.lasts, acting);
        }
        let all = self.script.lasts.saturating_sub(from).as_secs_f64() * self.script.gateways as f64;
        (session.as_secs_f64() / all, out.as_secs_f64() / all)
    }
}

fn name(gateway: usize) -> String {
    format!("g{gateway:03}")
}

fn number_of(name: &str) -> usize {
    name.trim_start_matches('g').parse().unwrap_or_default()
}

fn version(index: u64) -> Version {
    Version {
        list: ListVersion { lineage: "register".to_owned(), index },
        config: 1,
        generation: 1,
        operator: 1,
        build: "virtual".to_owned(),
    }
}

/// Shortens a failing script by removing faults, as long as the remaining script still fails.
pub fn shrunk(script: &Script, seed: u64, mistake: Mistake) -> Script {
    let mut least = script.clone();
    let mut n = 0;
    while n < least.events.len() {
        let mut fewer = least.clone();
        fewer.events.remove(n);
        if play(&fewer, seed, mistake).breaches.is_empty() {
            n += 1;
        } else {
            least = fewer;
        }
    }
    least
}
