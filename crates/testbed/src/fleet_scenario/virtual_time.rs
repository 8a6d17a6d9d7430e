//! Fault scenarios in virtual time: the decision code of all gateways runs in this process, with clocks of different rates and with links
//! that are cut, slow or closed. Runs with the same seed are identical.

use super::history::{Figures, History, Observation};
use super::script::{Fault, FaultKind, Script, Target};
use crate::random_variates::{Purpose, RandomStream, RandomStreams};
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
const DIAL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Mean delay of a frame on a link without faults.
const LINK_DELAY: Duration = Duration::from_micros(300);
/// Time after the end of the last fault within which all gateways have to be in a session again.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// A defect inserted on purpose, to test that the checks find it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// The code is tested without an inserted defect.
    #[default]
    None,
    /// The clock margin is applied with the wrong sign and five times as large: holders rely on a lease too long, and voters wait too
    /// short a time for its end.
    ReversedMargin,
    /// The clock of every other gateway runs slow by more than the clock margin.
    ClocksBeyondMargin,
    /// A restarted process votes under the identity of the previous process, whose votes it does not know.
    ForgottenVotes,
    /// Frames are sent before the records that they depend on are stored, and every write to disk is slow.
    SendBeforeStore,
}

/// Result of a run in virtual time.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Violated rules, as text.
    pub violations: Vec<String>,
    /// Figures of the run.
    pub figures: Figures,
    /// All observations of the run.
    pub history: History,
}

#[derive(Clone, Debug)]
enum Event {
    Tick { gateway: usize, process: usize },
    Dial { from: usize, to: usize, process: usize },
    DialCompleted { from: usize, to: usize, process: usize, peer_process: usize },
    DeliverFrame { from: usize, to: usize, generation: u64, frame: Box<Frame> },
    LinkDown { gateway: usize, peer: usize, generation: u64 },
    PublishList,
    ReceiveList { gateway: usize, process: usize, index: u64 },
    StartFault(usize),
    EndFault(usize),
    StartProcess(usize),
    WriteCompleted { gateway: usize, process: usize, records: Vec<StoredRecord>, frames: Vec<(usize, Frame)> },
    FlapLinks(usize),
    ReplaceProcess(usize),
}

/// Records to be stored, and the frames that may be sent once the records are on disk.
type PendingWrite = (Vec<StoredRecord>, Vec<(usize, Frame)>);

struct Process {
    node: Node,
    started_at: Duration,
    clock_rate: f64,
    number: usize,
    paused: bool,
    deferred_events: Vec<Event>,
    voter: Incarnation,
    last_session_state: Option<SessionState>,
    time_to_first_session: Option<Duration>,
    list_index: u64,
}

impl Process {
    fn clock(&self, true_time: Duration) -> Duration {
        (true_time.saturating_sub(self.started_at)).mul_f64(self.clock_rate)
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
struct LinkDirection {
    active_cuts: u32,
    delay_ranges: Vec<(Duration, Duration)>,
    last_arrival: Duration,
    held_events: Vec<Event>,
}

struct FleetSimulation<'a> {
    script: &'a Script,
    mutation: Mutation,
    random_streams: RandomStreams,
    random: RandomStream,
    now: Duration,
    last_event_id: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pending_events: BTreeMap<u64, Event>,
    gateways: Vec<Option<Process>>,
    process_counts: Vec<usize>,
    links: BTreeMap<(usize, usize), Link>,
    link_directions: BTreeMap<(usize, usize), LinkDirection>,
    frozen_discovery: BTreeSet<usize>,
    newest_list_index: u64,
    fault_targets: BTreeMap<usize, Vec<usize>>,
    history: History,
    violations: Vec<String>,
    figures: Figures,
    frames_sent: u64,
    bytes_sent: u64,
    leader: Option<(usize, usize)>,
    leader_lost: Option<Duration>,
    expired_sessions: BTreeSet<SessionId>,
    /// Records on each gateway's disk.
    disks: Vec<Vec<StoredRecord>>,
    /// For each gateway, when the last write to its disk is complete.
    write_completed_at: Vec<Duration>,
    discovery_frozen_at: BTreeMap<usize, Duration>,
    discovery_unfrozen_at: BTreeMap<usize, Duration>,
}

/// Runs a script in virtual time.
pub fn run_script(script: &Script, seed: u64, mutation: Mutation) -> RunResult {
    let random_streams = RandomStreams::new(seed);
    let mut simulation = FleetSimulation {
        script,
        mutation,
        random_streams,
        random: random_streams.stream(Purpose::NetworkDelay, 1),
        now: Duration::ZERO,
        last_event_id: 0,
        queue: BinaryHeap::new(),
        pending_events: BTreeMap::new(),
        gateways: (0..script.gateway_count).map(|_| None).collect(),
        process_counts: vec![0; script.gateway_count],
        links: BTreeMap::new(),
        link_directions: BTreeMap::new(),
        frozen_discovery: BTreeSet::new(),
        newest_list_index: 1,
        fault_targets: BTreeMap::new(),
        history: History::default(),
        violations: Vec::new(),
        figures: Figures::default(),
        frames_sent: 0,
        bytes_sent: 0,
        leader: None,
        leader_lost: None,
        expired_sessions: BTreeSet::new(),
        disks: vec![Vec::new(); script.gateway_count],
        write_completed_at: vec![Duration::ZERO; script.gateway_count],
        discovery_frozen_at: BTreeMap::new(),
        discovery_unfrozen_at: BTreeMap::new(),
    };
    simulation.run();
    simulation.finish()
}

impl FleetSimulation<'_> {
    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_event_id += 1;
        self.queue.push(Reverse((self.now + delay, self.last_event_id)));
        self.pending_events.insert(self.last_event_id, event);
    }

    fn run(&mut self) {
        for gateway in 0..self.script.gateway_count {
            let delay = Duration::from_millis(self.random.uniform_below(200) as u64);
            self.schedule(delay, Event::StartProcess(gateway));
        }
        for (index, fault) in self.script.faults.iter().enumerate() {
            self.schedule(fault.start, Event::StartFault(index));
            if let Some(duration) = fault.duration {
                self.schedule(fault.start + duration, Event::EndFault(index));
            }
        }
        self.schedule(self.script.list_interval, Event::PublishList);
        while let Some(Reverse((time, event_id))) = self.queue.pop() {
            if time > self.script.duration {
                break;
            }
            self.now = time;
            if let Some(event) = self.pending_events.remove(&event_id) {
                self.handle_event(event);
            }
        }
    }

    fn is_voter(&self, gateway: usize) -> bool {
        gateway < self.script.voter_count
    }

    fn settings(&self, gateway: usize) -> FleetSettings {
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let peer = |number: usize| Peer {
            name: name(number),
            address: nowhere,
            is_voter: number < self.script.voter_count,
        };
        FleetSettings {
            name: "virtual".to_owned(),
            gateway: name(gateway),
            listen: nowhere,
            peers: (0..self.script.gateway_count).map(peer).collect(),
            lineage: None,
            lease: Lease { length: self.script.lease_length, margin: self.script.clock_margin },
            without_session: if self.script.rejects_without_session {
                WithoutSessionPolicy::Reject
            } else {
                WithoutSessionPolicy::Serve
            },
            state_folder: None,
            audit_retention: RetentionLimits::default(),
            lag_policy: LagPolicy {
                max_list_lag: self.script.lag_limit.0,
                max_lag_duration: self.script.lag_limit.1,
                max_fenced_fraction: self.script.max_fenced_fraction,
            },
        }
    }

    fn start(&mut self, gateway: usize) {
        let number = self.process_counts[gateway];
        self.process_counts[gateway] += 1;
        let mut settings = self.settings(gateway);
        let margin = self.script.clock_margin;
        // The rate of each clock is off by up to 0.99 of the clock margin, in either direction.
        let mut clock_rate = 1.0 + margin * 0.99 * (2.0 * self.random.uniform() - 1.0);
        match self.mutation {
            Mutation::ClocksBeyondMargin if gateway % 2 == 1 => clock_rate -= 0.3,
            Mutation::ReversedMargin => settings.lease.margin *= -5.0,
            _ => {}
        }
        let process = match self.mutation {
            Mutation::ForgottenVotes => Incarnation(gateway as u64 + 1),
            _ => Incarnation(
                self.random_streams.number(Purpose::GatewaySeed, (gateway * 1000 + number) as u64) | 1,
            ),
        };
        let list_index = if self.frozen_discovery.contains(&gateway) {
            self.newest_list_index.saturating_sub(1)
        } else {
            self.newest_list_index
        };
        let seed =
            self.random_streams.number(Purpose::GatewaySeed, 7_000_000 + (gateway * 1000 + number) as u64);
        let stored_records = self.disks[gateway].clone();
        // Without a disk each process is a voter of its own; with a disk a process continues as the voter that first used the disk.
        let voter = if self.script.has_disks { Incarnation(gateway as u64 + 1) } else { process };
        let node = Node::new(
            settings,
            process,
            version(list_index),
            seed,
            StoredVote { voter, records: stored_records },
        );
        self.gateways[gateway] = Some(Process {
            node,
            started_at: self.now,
            clock_rate,
            number,
            paused: false,
            deferred_events: Vec::new(),
            voter,
            last_session_state: None,
            time_to_first_session: None,
            list_index,
        });
        self.schedule(Duration::ZERO, Event::Tick { gateway, process: number });
        for other in 0..self.script.voter_count {
            if other != gateway && (!self.is_voter(gateway) || gateway < other) {
                self.schedule(
                    Duration::from_millis(1),
                    Event::Dial { from: gateway, to: other, process: number },
                );
            }
        }
    }

    fn is_alive(&self, gateway: usize, process: usize) -> bool {
        self.gateways[gateway].as_ref().is_some_and(|running| running.number == process)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.link_directions.get(&(from, to)).is_some_and(|direction| direction.active_cuts > 0)
    }

    fn handle_event(&mut self, event: Event) {
        // Events for a paused process are deferred until the process continues.
        let addressee = match &event {
            Event::Tick { gateway, .. } | Event::ReceiveList { gateway, .. } => Some(*gateway),
            Event::DeliverFrame { to, .. } => Some(*to),
            Event::LinkDown { gateway, .. } => Some(*gateway),
            Event::Dial { from, .. } | Event::DialCompleted { from, .. } => Some(*from),
            _ => None,
        };
        if let Some(process) =
            addressee.and_then(|gateway| self.gateways[gateway].as_mut()).filter(|running| running.paused)
        {
            process.deferred_events.push(event);
            return;
        }
        match event {
            Event::StartProcess(gateway) => {
                if self.gateways[gateway].is_none() {
                    self.start(gateway);
                }
            }
            Event::Tick { gateway, process } if self.is_alive(gateway, process) => {
                // Timer ticks of a gateway are up to 3 ms late.
                let lateness = Duration::from_micros(self.random.uniform_below(3000) as u64);
                self.schedule(TICK_INTERVAL + lateness, Event::Tick { gateway, process });
                self.apply(gateway, |node, now, out| node.tick(now, out));
                self.update_leader();
            }
            Event::Tick { .. } => {}
            Event::Dial { from, to, process } if self.is_alive(from, process) => self.dial(from, to, process),
            Event::Dial { .. } => {}
            Event::DialCompleted { from, to, process, peer_process } => {
                let both_running = self.is_alive(from, process) && self.is_alive(to, peer_process);
                let paused = self.gateways[to].as_ref().is_some_and(|running| running.paused);
                if both_running && !paused && !self.is_cut(from, to) && !self.is_cut(to, from) {
                    self.establish_link(from, to);
                } else if self.is_alive(from, process) {
                    self.apply(from, |node, now, out| {
                        node.link_down(now, &name(to), LinkFailure::Broken, out);
                    });
                    self.schedule_redial(from, to, process);
                }
            }
            Event::DeliverFrame { from, to, generation, frame } => self.deliver(from, to, generation, *frame),
            Event::LinkDown { gateway, peer, generation } => {
                let key = (gateway.min(peer), gateway.max(peer));
                let link = self.links.entry(key).or_default();
                let link_end = usize::from(gateway > peer);
                if link.generation == generation && std::mem::take(&mut link.up[link_end]) {
                    self.close_link_end(gateway, peer);
                }
            }
            Event::PublishList => {
                self.newest_list_index += 1;
                self.schedule(self.script.list_interval, Event::PublishList);
                let index = self.newest_list_index;
                for gateway in 0..self.script.gateway_count {
                    if let Some(process) = self.gateways[gateway].as_ref().map(|running| running.number) {
                        let delay = Duration::from_millis(5 + self.random.uniform_below(80) as u64);
                        self.schedule(delay, Event::ReceiveList { gateway, process, index });
                    }
                }
            }
            Event::ReceiveList { gateway, process, index } if self.is_alive(gateway, process) => {
                let Some(running) = &mut self.gateways[gateway] else { return };
                if !self.frozen_discovery.contains(&gateway) && running.list_index < index {
                    running.list_index = index;
                    self.apply(gateway, |node, now, out| node.set_version(now, version(index), out));
                }
            }
            Event::ReceiveList { .. } => {}
            Event::StartFault(fault_index) => self.start_fault(fault_index),
            Event::EndFault(fault_index) => self.end_fault(fault_index),
            // A process that ended during a write has stored nothing and sends none of the frames that depend on the write.
            Event::WriteCompleted { gateway, process, records, frames }
                if self.is_alive(gateway, process) =>
            {
                if records.iter().any(|record| matches!(record, StoredRecord::ConfigStarted { .. })) {
                    self.disks[gateway].clear();
                }
                self.disks[gateway].extend(records);
                for (to, frame) in frames {
                    self.send(gateway, to, frame);
                }
            }
            Event::WriteCompleted { .. } => {}
            Event::FlapLinks(fault_index) => self.reset_flapping_links(fault_index),
            Event::ReplaceProcess(gateway) => {
                self.apply(gateway, |node, now, out| node.shut_down(now, out));
                self.kill(gateway);
                self.schedule(Duration::from_millis(20), Event::StartProcess(gateway));
            }
        }
    }

    fn dial(&mut self, from: usize, to: usize, process: usize) {
        match &self.gateways[to] {
            None if !self.is_cut(from, to) && !self.is_cut(to, from) => {
                self.apply(from, |node, now, out| node.link_down(now, &name(to), LinkFailure::Refused, out));
                self.schedule_redial(from, to, process);
            }
            Some(peer) if !peer.paused && !self.is_cut(from, to) && !self.is_cut(to, from) => {
                let peer_process = peer.number;
                self.schedule(LINK_DELAY * 3, Event::DialCompleted { from, to, process, peer_process });
            }
            _ => {
                let peer_process = usize::MAX; // no process has this number, so the connection attempt times out
                self.schedule(DIAL_TIMEOUT, Event::DialCompleted { from, to, process, peer_process });
            }
        }
    }

    fn schedule_redial(&mut self, from: usize, to: usize, process: usize) {
        let delay = Duration::from_millis(100 + self.random.uniform_below(300) as u64);
        self.schedule(delay, Event::Dial { from, to, process });
    }

    fn establish_link(&mut self, from: usize, to: usize) {
        let key = (from.min(to), from.max(to));
        let link = self.links.entry(key).or_default();
        let were_up = std::mem::replace(&mut link.up, [true, true]);
        link.generation += 1;
        for direction in [(from, to), (to, from)] {
            self.link_directions.entry(direction).or_default().held_events.clear();
        }
        for (gateway, other) in [(from, to), (to, from)] {
            if were_up[usize::from(gateway > other)] {
                self.apply(gateway, |node, now, out| {
                    node.link_down(now, &name(other), LinkFailure::Broken, out);
                });
            }
        }
        for (gateway, other) in [(from, to), (to, from)] {
            let Some(peer) = &self.gateways[other] else { continue };
            let remote = PeerProcess { process: peer.node.process(), voter: peer.voter };
            self.apply(gateway, |node, now, out| node.link_up(now, &name(other), remote, out));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, generation: u64, frame: Frame) {
        if self.is_cut(from, to) {
            let frame = Box::new(frame);
            let direction = self.link_directions.entry((from, to)).or_default();
            direction.held_events.push(Event::DeliverFrame { from, to, generation, frame });
            return;
        }
        let link = self.links.entry((from.min(to), from.max(to))).or_default();
        if link.generation != generation {
            return;
        }
        if self.gateways[to].is_some() && link.up[usize::from(to > from)] {
            self.apply(to, |node, now, out| node.receive(now, &name(from), frame, out));
        } else {
            // The receiver no longer has this connection, and the sender is notified that the link is down.
            self.send_over_link(to, from, Event::LinkDown { gateway: from, peer: to, generation });
        }
    }

    /// Schedules the arrival of an event over the network path between two gateways, with the delays of that direction.
    fn send_over_link(&mut self, from: usize, to: usize, event: Event) {
        let jitter = LINK_DELAY.mul_f64(0.5 + self.random.uniform());
        let direction = self.link_directions.entry((from, to)).or_default();
        if direction.active_cuts > 0 && matches!(event, Event::LinkDown { .. }) {
            return direction.held_events.push(event);
        }
        let delay_range = direction.delay_ranges.last().copied();
        let added_delay = delay_range.map_or(Duration::ZERO, |(min_delay, max_delay)| {
            min_delay + (max_delay - min_delay).mul_f64(self.random.uniform())
        });
        let direction = self.link_directions.entry((from, to)).or_default();
        let arrival = (self.now + jitter + added_delay).max(direction.last_arrival);
        direction.last_arrival = arrival;
        self.schedule(arrival - self.now, event);
    }

    /// Closes one end of the link between two gateways: the gateway at that end is notified, and reconnects if it is the one that opens
    /// the link.
    fn close_link_end(&mut self, gateway: usize, peer: usize) {
        let Some(process) = self.gateways[gateway].as_ref().map(|running| running.number) else { return };
        self.apply(gateway, |node, now, out| node.link_down(now, &name(peer), LinkFailure::Broken, out));
        if self.is_voter(peer) && (!self.is_voter(gateway) || gateway < peer) {
            self.schedule_redial(gateway, peer, process);
        }
    }

    /// Passes an event to a gateway's decision code and performs the actions that the code returns.
    fn apply(&mut self, gateway: usize, event: impl FnOnce(&mut Node, Duration, &mut Vec<NodeAction>)) {
        let true_time = self.now;
        let Some(process) = &mut self.gateways[gateway] else { return };
        let now = process.clock(true_time);
        let log_index_before =
            process.node.state_machine().map(weldworks_fleet::state_machine::StateMachine::log_index);
        let mut out = Vec::new();
        event(&mut process.node, now, &mut out);
        let number = process.number;
        let session_state = process.node.session_state(now);
        if process.last_session_state.as_ref() != Some(&session_state) {
            if matches!(session_state, SessionState::InSession(_)) && process.time_to_first_session.is_none()
            {
                process.time_to_first_session = Some(true_time - process.started_at);
            }
            process.last_session_state = Some(session_state.clone());
            if matches!(session_state, SessionState::Fenced(_)) {
                if let Some(frozen_at) = self.discovery_frozen_at.remove(&gateway) {
                    self.figures.time_to_fence_s.push((true_time - frozen_at).as_secs_f64());
                }
            } else if let Some(unfrozen_at) = self.discovery_unfrozen_at.remove(&gateway) {
                self.figures.time_to_unfence_s.push((true_time - unfrozen_at).as_secs_f64());
            }
            self.history.append(true_time, gateway, number, Observation::SessionStateChanged(session_state));
        }
        self.check_applied_entry(gateway, number, log_index_before);
        // Frames that follow records to be stored are sent once these records are on disk.
        let mut pending_write: Option<PendingWrite> = None;
        for action in out {
            match action {
                NodeAction::Send { to, frame } if self.mutation == Mutation::SendBeforeStore => {
                    self.send(gateway, gateway_number(&to), frame);
                }
                NodeAction::Store(records) if self.script.has_disks => {
                    let (pending_records, _) = pending_write.get_or_insert_default();
                    pending_records.extend(records);
                }
                NodeAction::Store(_) => {}
                NodeAction::Send { to, frame } if pending_write.is_some() || self.is_writing(gateway) => {
                    let (_, frames) = pending_write.get_or_insert_default();
                    frames.push((gateway_number(&to), frame));
                }
                NodeAction::Send { to, frame } => self.send(gateway, gateway_number(&to), frame),
                NodeAction::CloseLink(peer) => {
                    let other = gateway_number(&peer);
                    let link = self.links.entry((gateway.min(other), gateway.max(other))).or_default();
                    let generation = link.generation;
                    if std::mem::take(&mut link.up[usize::from(gateway > other)]) {
                        self.close_link_end(gateway, other);
                        self.send_over_link(
                            gateway,
                            other,
                            Event::LinkDown { gateway: other, peer: gateway, generation },
                        );
                    }
                }
                NodeAction::PollDiscovery { .. } => {
                    let (index, process) = (self.newest_list_index, number);
                    self.schedule(Duration::from_millis(20), Event::ReceiveList { gateway, process, index });
                }
                NodeAction::SessionStateChanged(_)
                | NodeAction::ReloadConfig { .. }
                | NodeAction::EndpointsDeparted(_)
                | NodeAction::Notice(_) => {}
            }
        }
        if let Some((records, frames)) = pending_write {
            // Most writes to disk take less than 5 ms, and a few of them up to 150 ms.
            let slow_chance = if self.mutation == Mutation::SendBeforeStore { 1.0 } else { 0.02 };
            let max_delay_ms = if self.random.bernoulli(slow_chance) { 150 } else { 5 };
            let write_duration = Duration::from_micros(200)
                + Duration::from_millis(self.random.uniform_below(max_delay_ms) as u64);
            let completed_at = (self.now + write_duration).max(self.write_completed_at[gateway]);
            self.write_completed_at[gateway] = completed_at;
            self.schedule(
                completed_at - self.now,
                Event::WriteCompleted { gateway, process: number, records, frames },
            );
        }
    }

    /// Whether a write to a gateway's disk is still in progress.
    fn is_writing(&self, gateway: usize) -> bool {
        self.script.has_disks && self.write_completed_at[gateway] >= self.now
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let link = self.links.entry((from.min(to), from.max(to))).or_default();
        if !link.up[usize::from(from > to)] {
            return;
        }
        let generation = link.generation;
        self.frames_sent += 1;
        self.bytes_sent +=
            weldworks_fleet::protocol::encode_frame(&frame).map_or(0, |encoded| encoded.len() as u64 + 4);
        self.send_over_link(from, to, Event::DeliverFrame { from, to, generation, frame: Box::new(frame) });
    }

    /// Records the entry that a voter has applied, and checks that no gateway considers itself in a session that this voter counts as
    /// expired.
    fn check_applied_entry(&mut self, gateway: usize, process_number: usize, log_index_before: Option<u64>) {
        let Some(process) = &self.gateways[gateway] else { return };
        let Some(state_machine) = process.node.state_machine() else { return };
        if log_index_before == Some(state_machine.log_index()) {
            return;
        }
        let group_id =
            process.node.consensus_group().and_then(|group| group.config()).map_or(0, |group| group.group_id);
        let log_index = state_machine.log_index();
        let state_digest = digest(format!("{state_machine:?}").as_bytes());
        let newly_expired: Vec<SessionId> = state_machine
            .ended_sessions()
            .iter()
            .filter(|(_, ending)| ending.expired)
            .map(|(session, _)| *session)
            .collect();
        self.history.append(
            self.now,
            gateway,
            process_number,
            Observation::EntryApplied { group_id, log_index, digest: state_digest },
        );
        for session in newly_expired {
            if self.expired_sessions.insert(session) {
                // A paused process re-evaluates its session state when it continues; for a running process the state that it has now
                // counts.
                for (holder_number, holder) in self.gateways.iter_mut().enumerate() {
                    let Some(holder) = holder else { continue };
                    let session_state = holder.node.session_state(holder.clock(self.now));
                    if session_state == SessionState::InSession(session) {
                        self.violations.push(format!(
                            "{:?}: session {session} has expired at gateway {gateway}, but gateway {holder_number} still acts in it",
                            self.now
                        ));
                    }
                    if holder.last_session_state == Some(SessionState::InSession(session))
                        && session_state != SessionState::InSession(session)
                    {
                        holder.last_session_state = Some(session_state.clone());
                        self.history.append(
                            self.now,
                            holder_number,
                            holder.number,
                            Observation::SessionStateChanged(session_state),
                        );
                    }
                }
                self.history.append(self.now, gateway, process_number, Observation::SessionExpired(session));
            }
        }
    }

    fn update_leader(&mut self) {
        let leads = |(gateway, running): (usize, &Option<Process>)| {
            let process = running.as_ref().filter(|running| !running.paused)?;
            process
                .node
                .consensus_group()
                .is_some_and(|group| group.is_leader())
                .then_some((gateway, process.number))
        };
        let leader = self.gateways.iter().take(self.script.voter_count).enumerate().find_map(leads);
        match leader {
            Some(leader) => {
                if let Some(leaderless_from) = self.leader_lost.take() {
                    let leaderless_time = (self.now - leaderless_from).as_secs_f64();
                    self.figures.leaderless_s = self.figures.leaderless_s.max(leaderless_time);
                }
                if self.leader != Some(leader) {
                    self.leader = Some(leader);
                    self.history.append(self.now, leader.0, leader.1, Observation::BecameLeader);
                }
            }
            None if self.leader.is_some() && self.leader_lost.is_none() => self.leader_lost = Some(self.now),
            None => {}
        }
    }

    fn targets_of(&mut self, fault_index: usize, fault: &Fault) -> Vec<usize> {
        if let Some(known_targets) = self.fault_targets.get(&fault_index) {
            return known_targets.clone();
        }
        let targets = match &fault.target {
            Target::Gateways(gateways) => gateways.clone(),
            Target::Leader => self.leader.iter().map(|(gateway, _)| *gateway).collect(),
            Target::All => (0..self.script.gateway_count).collect(),
        };
        self.fault_targets.insert(fault_index, targets.clone());
        targets
    }

    fn affected_pairs(&mut self, fault_index: usize, fault: &Fault) -> Vec<(usize, usize)> {
        let targets = self.targets_of(fault_index, fault);
        let all: Vec<usize> = (0..self.script.gateway_count).collect();
        let other_side = fault.other_side.clone().unwrap_or(all);
        let is_affected = |(one, other): &(usize, usize)| {
            one != other && !(fault.other_side.is_none() && targets.contains(other))
        };
        targets
            .iter()
            .flat_map(|one| other_side.iter().map(move |other| (*one, *other)))
            .filter(is_affected)
            .collect()
    }

    fn start_fault(&mut self, fault_index: usize) {
        let fault = self.script.faults[fault_index].clone();
        match &fault.kind {
            FaultKind::KillProcess => {
                for gateway in self.targets_of(fault_index, &fault) {
                    self.kill(gateway);
                }
            }
            FaultKind::PauseProcess => {
                for gateway in self.targets_of(fault_index, &fault) {
                    if let Some(process) = &mut self.gateways[gateway] {
                        process.paused = true;
                    }
                }
            }
            FaultKind::CutLinks { one_way } => {
                for (one, other) in self.affected_pairs(fault_index, &fault) {
                    self.link_directions.entry((one, other)).or_default().active_cuts += 1;
                    if !one_way {
                        self.link_directions.entry((other, one)).or_default().active_cuts += 1;
                    }
                }
            }
            FaultKind::DelayLinks { delay_range } => {
                for (one, other) in self.affected_pairs(fault_index, &fault) {
                    self.link_directions.entry((one, other)).or_default().delay_ranges.push(*delay_range);
                    self.link_directions.entry((other, one)).or_default().delay_ranges.push(*delay_range);
                }
            }
            FaultKind::FlapLinks { .. } => self.reset_flapping_links(fault_index),
            FaultKind::FreezeDiscovery => {
                for gateway in self.targets_of(fault_index, &fault) {
                    self.frozen_discovery.insert(gateway);
                    self.discovery_frozen_at.insert(gateway, self.now);
                }
            }
            FaultKind::ReplaceProcesses { interval } => {
                for (position, gateway) in self.targets_of(fault_index, &fault).into_iter().enumerate() {
                    self.schedule(*interval * position as u32, Event::ReplaceProcess(gateway));
                }
            }
            FaultKind::LimitBandwidth { .. }
            | FaultKind::MoveDiscovery
            | FaultKind::RewriteConfig { .. }
            | FaultKind::FillDisk => {}
        }
    }

    fn end_fault(&mut self, fault_index: usize) {
        let fault = self.script.faults[fault_index].clone();
        match &fault.kind {
            FaultKind::KillProcess => {
                for gateway in self.targets_of(fault_index, &fault) {
                    self.schedule(Duration::ZERO, Event::StartProcess(gateway));
                }
            }
            FaultKind::PauseProcess => {
                for gateway in self.targets_of(fault_index, &fault) {
                    self.resume(gateway);
                }
            }
            FaultKind::CutLinks { one_way } => {
                for (one, other) in self.affected_pairs(fault_index, &fault) {
                    self.end_cut(one, other);
                    if !one_way {
                        self.end_cut(other, one);
                    }
                }
            }
            FaultKind::DelayLinks { .. } => {
                for (one, other) in self.affected_pairs(fault_index, &fault) {
                    for direction in [(one, other), (other, one)] {
                        self.link_directions.entry(direction).or_default().delay_ranges.pop();
                    }
                }
            }
            FaultKind::FreezeDiscovery => {
                for gateway in self.targets_of(fault_index, &fault) {
                    self.frozen_discovery.remove(&gateway);
                    self.discovery_frozen_at.remove(&gateway);
                    let session_state = self.gateways[gateway]
                        .as_ref()
                        .and_then(|running| running.last_session_state.clone());
                    if matches!(session_state, Some(SessionState::Fenced(_))) {
                        self.discovery_unfrozen_at.insert(gateway, self.now);
                    }
                }
            }
            _ => {}
        }
    }

    /// Closes the links that a fault of flapping links affects, and schedules the next closing.
    fn reset_flapping_links(&mut self, fault_index: usize) {
        let fault = self.script.faults[fault_index].clone();
        let FaultKind::FlapLinks { interval } = fault.kind else { return };
        for (one, other) in self.affected_pairs(fault_index, &fault) {
            let generation = self.links.entry((one.min(other), one.max(other))).or_default().generation;
            for (gateway, other_end) in [(one, other), (other, one)] {
                self.schedule(Duration::ZERO, Event::LinkDown { gateway, peer: other_end, generation });
            }
        }
        if fault.end().is_none_or(|end| self.now + interval < end) {
            self.schedule(interval, Event::FlapLinks(fault_index));
        }
    }

    fn kill(&mut self, gateway: usize) {
        let Some(process) = self.gateways[gateway].take() else { return };
        self.history.append(self.now, gateway, process.number, Observation::ProcessEnded);
        for other in 0..self.script.gateway_count {
            let key = (gateway.min(other), gateway.max(other));
            let Some(link) = self.links.get_mut(&key) else { continue };
            let generation = link.generation;
            link.up[usize::from(gateway > other)] = false;
            self.send_over_link(
                gateway,
                other,
                Event::LinkDown { gateway: other, peer: gateway, generation },
            );
        }
    }

    fn resume(&mut self, gateway: usize) {
        let Some(process) = &mut self.gateways[gateway] else { return };
        process.paused = false;
        let mut deferred_events = std::mem::take(&mut process.deferred_events);
        // Timers and sockets of a process that continues are served in either order.
        if self.random.bernoulli(0.5) {
            deferred_events.sort_by_key(|event| !matches!(event, Event::Tick { .. }));
        }
        for event in deferred_events {
            self.handle_event(event);
        }
    }

    fn end_cut(&mut self, from: usize, to: usize) {
        let direction = self.link_directions.entry((from, to)).or_default();
        direction.active_cuts = direction.active_cuts.saturating_sub(1);
        if direction.active_cuts == 0 {
            for event in std::mem::take(&mut direction.held_events) {
                self.send_over_link(from, to, event);
            }
        }
    }

    fn finish(mut self) -> RunResult {
        self.violations.extend(self.history.violations());
        let last_fault_end =
            self.script.faults.iter().map(|fault| fault.end().unwrap_or(self.script.duration)).max();
        let recovered_by = last_fault_end.unwrap_or_default() + RECOVERY_TIME;
        if recovered_by <= self.script.duration {
            for (gateway, process) in self.gateways.iter().enumerate() {
                let Some(process) = process.as_ref().filter(|running| !running.paused) else { continue };
                let session_state = process.node.session_state(process.clock(self.script.duration));
                if !matches!(session_state, SessionState::InSession(_)) {
                    self.violations.push(format!(
                        "gateway {gateway} is {session_state} at the end, long after the last fault"
                    ));
                }
            }
        }
        let (fenced, without_session) =
            (self.history.fenced_gateways(), self.history.gateways_without_session());
        for gateway in &self.script.expected.fenced {
            if !fenced.contains(gateway) {
                self.violations.push(format!("gateway {gateway} was never fenced, as the script expects"));
            }
        }
        for gateway in &self.script.expected.without_session {
            if !without_session.contains(gateway) {
                self.violations
                    .push(format!("gateway {gateway} was never without a session, as the script expects"));
            }
        }
        let freezes_discovery = |fault: &Fault| matches!(fault.kind, FaultKind::FreezeDiscovery);
        if !self.script.faults.iter().any(freezes_discovery) {
            for gateway in &fenced {
                self.violations
                    .push(format!("gateway {gateway} was fenced, but its discovery was never frozen"));
            }
        }
        self.figures.log_entries = self
            .gateways
            .iter()
            .flatten()
            .filter_map(|running| running.node.state_machine())
            .map(weldworks_fleet::state_machine::StateMachine::log_index)
            .max()
            .unwrap_or_default();
        let duration_s = self.script.duration.as_secs_f64();
        (self.figures.frames_per_s, self.figures.bytes_per_s) =
            (self.frames_sent as f64 / duration_s, self.bytes_sent as f64 / duration_s);
        let mut first_session_s: Vec<f64> = self
            .gateways
            .iter()
            .flatten()
            .filter_map(|running| running.time_to_first_session)
            .map(|delay| delay.as_secs_f64())
            .collect();
        first_session_s.sort_by(f64::total_cmp);
        let median = first_session_s.get(first_session_s.len() / 2).copied().unwrap_or_default();
        self.figures.first_session_s = (median, first_session_s.last().copied().unwrap_or_default());
        (self.figures.in_session_fraction, self.figures.fenced_fraction) = self.session_fractions();
        RunResult { violations: self.violations, figures: self.figures, history: self.history }
    }

    /// Fractions of all gateways' time, from 3 s after the start of the run, spent in a session and spent fenced.
    fn session_fractions(&self) -> (f64, f64) {
        let measured_from = Duration::from_secs(3);
        let mut states: BTreeMap<usize, (Duration, Option<SessionState>)> = BTreeMap::new();
        let (mut in_session, mut fenced) = (Duration::ZERO, Duration::ZERO);
        let mut add = |since: Duration, until: Duration, state: &Option<SessionState>| {
            let duration = until.saturating_sub(since.max(measured_from));
            match state {
                Some(SessionState::InSession(_)) => in_session += duration,
                Some(SessionState::Fenced(_)) => fenced += duration,
                _ => {}
            }
        };
        for record in &self.history.records {
            let next = match &record.observation {
                Observation::SessionStateChanged(state) => Some(state.clone()),
                Observation::ProcessEnded => None,
                _ => continue,
            };
            let (since, state) = states.insert(record.gateway, (record.at, next)).unwrap_or_default();
            add(since, record.at, &state);
        }
        for (since, state) in states.values() {
            add(*since, self.script.duration, state);
        }
        let total_s = self.script.duration.saturating_sub(measured_from).as_secs_f64()
            * self.script.gateway_count as f64;
        (in_session.as_secs_f64() / total_s, fenced.as_secs_f64() / total_s)
    }
}

fn name(gateway: usize) -> String {
    format!("g{gateway:03}")
}

fn gateway_number(name: &str) -> usize {
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
pub fn shrink_script(script: &Script, seed: u64, mutation: Mutation) -> Script {
    let mut shortest = script.clone();
    let mut index = 0;
    while index < shortest.faults.len() {
        let mut candidate = shortest.clone();
        candidate.faults.remove(index);
        if run_script(&candidate, seed, mutation).violations.is_empty() {
            index += 1;
        } else {
            shortest = candidate;
        }
    }
    shortest
}
