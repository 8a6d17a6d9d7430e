//! A script in virtual time: nodes, register, clients and the decision module of every gateway in one process.
//!
//! Sockets are left out, and with them all that the program round the module does; what is found here is found about
//! decisions. Sizes that no machine holds are played in seconds, and two runs of a seed are the same to the byte.

mod killed;
mod register;

use crate::checker::{AttemptEnd, Checker, FinalAnswer, ObservedAttempt, Rules, SentRequest};
use crate::client::{next_try, patience, Seen};
use crate::draws::{Draws, For};
use crate::fleet::{carry_out, kinds, ledger, nodes};
use crate::model::{Answer, Node, Output, State, Work};
use crate::plain::Plain;
use crate::plan::{attempt_seconds, plan, PlannedRequest};
use crate::register::{deeds, Deed, List, Register};
use crate::report::{back, fresh, service, tallies, Counts, Report, Runner, Sample};
use crate::script::Script;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};
use weldworks_balancer::parse_settings;
use weldworks_balancer::{
    Action, Balancer, EndpointId, EndpointState, Event, Idempotency, LoadReport, Outcome, Request, RequestId,
    Settings,
};
use weldworks_control::retry_storm::{
    ArrivingRequest, PlatformSettings, RequestResult, RetryStormControl, StormSettings,
};

/// A gateway's clock starts so long before the day, so that what started before it has a time.
const BEFORE: Duration = Duration::from_secs(86_400);
/// The gateway answers so long before its client gives up.
const AHEAD: Duration = Duration::from_millis(15);
/// A timer comes no sooner: the program's have this grain, and a module that asks for one at once must see time pass.
const TICK: Duration = Duration::from_millis(1);

/// Why a script can't be played.
#[derive(Debug, thiserror::Error)]
pub enum SimulateError {
    /// The decision module does not take the settings that the script makes.
    #[error("the decision module does not take the script's settings: {0}")]
    Settings(#[from] serde_json::Error),
}

/// What the decisions took of this machine; no part of the report, for it differs from run to run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Time inside the decision module, all gateways together.
    pub deciding: Duration,
    /// Requests decided.
    pub requests: u64,
}

impl Cost {
    /// The mean for a request with all its outcomes and timers.
    pub fn per_request(&self) -> Duration {
        self.deciding / self.requests.max(1) as u32
    }
}

/// Which way a message goes; part of what its draw belongs to.
#[derive(Clone, Copy, Debug)]
enum Hop {
    ToGateway = 1,
    ToClient = 2,
    Dial = 3,
    Dialled = 4,
    ToNode = 5,
    FromNode = 6,
    Leave = 7,
}

#[derive(Debug)]
enum Happening {
    /// A client sends a try.
    Ask { place: usize, tries: u32 },
    /// It reaches its gateway.
    Arrive { n: usize },
    /// Its client has waited long enough.
    GiveUp { n: usize },
    /// The gateway's last moment for it.
    Backstop { n: usize },
    /// A timer of a gateway's module.
    Timer { gateway: usize, life: u32, token: u64 },
    /// A dial reaches a node.
    Dial { a: usize },
    /// It has come up, or not.
    Dialled { a: usize, up: bool },
    /// A dial has taken too long.
    DialTimeout { a: usize },
    /// A request reaches a node.
    Reach { a: usize },
    /// A node does something by itself.
    Node { node: usize, due: Duration },
    /// A node's answer reaches the gateway, or the end of its connection does.
    Reply { a: usize, outcome: Outcome, report: Option<LoadReport> },
    /// An attempt's time is up.
    AttemptTimeout { a: usize },
    /// The end of a connection reaches its node.
    Left { node: usize, connection: u64, attempt: Option<u64> },
    /// The end of an idle connection reaches its gateway.
    IdleEnded { gateway: usize, node: usize, connection: u64 },
    /// An answer reaches its client.
    Answer { n: usize, seen: Seen },
    /// A call reaches the register.
    RegisterCall { gateway: usize },
    /// The register's word reaches a gateway.
    RegisterSays { gateway: usize, list: Option<List> },
    /// The register's list or its health has changed.
    RegisterTurns,
    /// The register looks at what nodes hold.
    Weigh,
    /// What it saw reaches the gateways.
    Weights { weights: Vec<f64> },
    /// The script does something to a node.
    Deed { node: usize, deed: Deed },
    /// The gateways that start later do.
    Join,
    /// Gateways are killed.
    Kill,
    /// The front has noticed that they are not there.
    Noticed,
    /// They start again.
    Back,
    /// The state is looked at.
    Sample,
}

struct Due {
    at: Duration,
    order: u64,
    what: Happening,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest: the heap gives that first.
    fn cmp(&self, other: &Due) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// What decides for a gateway.
enum Mind {
    Module(Box<Balancer>),
    Plain(Box<Plain>),
}

impl Mind {
    fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        match self {
            Mind::Module(balancer) => balancer.handle(now, event, actions),
            Mind::Plain(plain) => plain.handle(now, event, actions),
        }
    }
}

struct Gateway {
    mind: Mind,
    storm: Option<RetryStormControl>,
    zone: usize,
    hosts: Vec<weldworks_balancer::Endpoint>,
    idle: Vec<Vec<(u64, Duration)>>,
    version: u64,
    watching: bool,
    /// Which of its processes runs, counted from 0, if one does.
    life: u32,
    alive: bool,
}

/// One try of a client.
struct Try {
    place: usize,
    number: u64,
    tries: u32,
    gateway: usize,
    until: Duration,
    /// Nobody waits for it any more, at the client.
    closed: bool,
    /// The gateway has given its final answer.
    answered: bool,
    attempts: Vec<usize>,
}

struct Attempt {
    n: usize,
    in_try: u32,
    node: usize,
    connection: u64,
    sent: Duration,
    until: Duration,
    write_by: Option<Duration>,
    written: bool,
    over: bool,
}

struct World<'s> {
    script: &'s Script,
    draws: Draws,
    now: Duration,
    due: BinaryHeap<Due>,
    order: u64,
    day: Vec<PlannedRequest>,
    firsts: Vec<Duration>,
    tries_of: Vec<Vec<(u64, Duration)>>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    /// Which gateway opened each connection.
    openers: Vec<usize>,
    kinds: Vec<usize>,
    nodes: Vec<Node>,
    node_due: Vec<Option<Duration>>,
    gateways: Vec<Gateway>,
    minds: Minds,
    by_zone: Vec<Vec<usize>>,
    mean_worth: f64,
    register: Register,
    /// Each node's weight, as last told.
    weights: Vec<f64>,
    /// The version that the gateways' agents have, where news are pushed.
    agents: u64,
    ledger: Checker,
    counts: Counts,
    timeline: Vec<Sample>,
    sampled: Counts,
    in_time: (u64, u64),
    cost: Cost,
    actions: Vec<Action>,
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Minds {
    /// Each gateway for itself, as in service.
    Own,
    /// One decision module is fed the events of all gateways, with no delay: the bound to measure against. Connections
    /// stay each gateway's own.
    Shared,
    /// Each gateway for itself, plainly: at random, with retries at once and no admission.
    Plain,
}

/// Plays a script with so many gateways, or with as many as it names, with storm control or without.
///
/// # Errors
/// Where the decision module does not take the settings that the script makes.
pub fn simulate(
    script: &Script,
    seed: u64,
    gateways: Option<usize>,
    storm: Option<StormSettings>,
) -> Result<(Report, Cost), SimulateError> {
    simulate_with(script, seed, gateways, storm, Minds::Own)
}

/// The same, with a choice of who decides.
///
/// # Errors
/// Where the decision module does not take the settings that the script makes.
pub fn simulate_with(
    script: &Script,
    seed: u64,
    gateways: Option<usize>,
    storm: Option<StormSettings>,
    minds: Minds,
) -> Result<(Report, Cost), SimulateError> {
    let count = gateways.unwrap_or(script.fleet.gateways);
    let mut world = World::new(script, Draws::new(seed), count, storm, minds)?;
    let end = script.end();
    while let Some(next) = world.due.pop() {
        if next.at > end {
            break;
        }
        world.now = next.at;
        world.happen(next.what);
    }
    Ok(world.report(seed))
}

impl<'s> World<'s> {
    fn new(
        script: &'s Script,
        draws: Draws,
        count: usize,
        storm: Option<StormSettings>,
        minds: Minds,
    ) -> Result<World<'s>, SimulateError> {
        let day = plan(script, draws);
        let there = there(script, count);
        let mut gateways = Vec::with_capacity(count);
        for g in 0..count {
            // One mind for all is told what a single gateway is told.
            let of = if minds == Minds::Shared { 1 } else { count };
            let settings: Settings = parse_settings(&script.settings(g, of).to_string())?;
            gateways.push(Gateway {
                storm: storm.map(|s| {
                    let terms = PlatformSettings {
                        slow_start_min_capacity: settings.slow_start_min_capacity,
                        slow_start_duration: settings.slow_start_duration,
                        max_retry_after: settings.max_retry_after,
                        tenant_quotas: &settings.tenant_quotas,
                        gateway_count: settings.gateway_count,
                    };
                    RetryStormControl::new(s, terms, draws.number(For::Advice, g as u64))
                }),
                mind: {
                    let seed = draws.number(For::Gateway, g as u64);
                    match minds {
                        Minds::Plain => {
                            Mind::Plain(Box::new(Plain::new(settings, draws.stream(For::Gateway, g as u64))))
                        }
                        _ => Mind::Module(Box::new(Balancer::new(settings, seed))),
                    }
                },
                zone: script.zone_of(g),
                hosts: Vec::new(),
                idle: vec![Vec::new(); script.fleet.nodes],
                version: 0,
                watching: script.discovery.pushed && g < there,
                life: 0,
                alive: true,
            });
        }
        let (nodes, places) = (nodes(script, draws), day.len());
        let mut world = World {
            script,
            draws,
            now: Duration::ZERO,
            due: BinaryHeap::new(),
            order: 0,
            firsts: vec![Duration::ZERO; places],
            tries_of: vec![Vec::new(); places],
            day,
            tries: Vec::new(),
            attempts: Vec::new(),
            openers: Vec::new(),
            kinds: kinds(script),
            node_due: vec![None; nodes.len()],
            nodes,
            gateways,
            minds,
            by_zone: front(script, there),
            mean_worth: mean_worth(script),
            register: Register::new(script, draws),
            weights: vec![1.0; script.fleet.nodes],
            agents: 1,
            ledger: ledger(script),
            counts: Counts::default(),
            timeline: Vec::new(),
            sampled: Counts::default(),
            in_time: (0, 0),
            cost: Cost::default(),
            actions: Vec::new(),
        };
        world.weights = world.nodes.iter().map(|node| world.weight(node)).collect();
        for g in 0..world.minds().min(there) {
            let list = world.register.since(Duration::ZERO, 0);
            world.tell(g, list);
        }
        if there < count {
            world.at(script.fleet.late_start_at, Happening::Join);
        }
        if script.fleet.killed_gateways > 0 {
            world.at(script.fleet.killed_at, Happening::Kill);
        }
        for place in 0..places {
            let at = world.day[place].at;
            world.at(at, Happening::Ask { place, tries: 0 });
        }
        for (at, node, deed) in deeds(script, draws) {
            world.at(at, Happening::Deed { node, deed });
        }
        (0..world.nodes.len()).for_each(|n| world.watch_node(n));
        world.await_register();
        if script.discovery.weights.is_some() {
            world.at(Duration::ZERO, Happening::Weigh);
        }
        world.at(Duration::ZERO, Happening::Sample);
        Ok(world)
    }

    fn at(&mut self, at: Duration, what: Happening) {
        self.order += 1;
        self.due.push(Due { at: at.max(self.now), order: self.order, what });
    }

    /// The way of a message: its draw belongs to what it is about.
    fn way(&self, base: Duration, whose: u64, hop: Hop) -> Duration {
        let mut stream = self.draws.stream_of_two(For::Network, whose, hop as u64);
        let jitter = (1.0 + self.script.network.jitter * stream.normal()).clamp(0.3, 4.0);
        base.mul_f64(jitter)
    }

    fn client_way(&self, n: usize, hop: Hop) -> Duration {
        self.way(self.script.network.client, self.tries[n].number, hop)
    }

    fn node_way(&self, a: usize, hop: Hop) -> Duration {
        let attempt = &self.attempts[a];
        let gateway = &self.gateways[self.tries[attempt.n].gateway];
        let network = &self.script.network;
        let base = if gateway.zone == self.script.zone_of(attempt.node) {
            network.same_zone
        } else {
            network.cross_zone
        };
        self.way(base, self.tries[attempt.n].number.wrapping_add(u64::from(attempt.in_try)), hop)
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Ask { place, tries } => self.ask(place, tries),
            Happening::Arrive { n } => self.arrive(n),
            Happening::GiveUp { n } => self.give_up(n),
            Happening::Backstop { n } => {
                if !self.tries[n].answered {
                    self.answer(n, Seen::Failed);
                    self.decide(self.tries[n].gateway, Event::ClientDisconnected { request: id(n) });
                }
            }
            // One set by a process that is no more is nobody's.
            Happening::Timer { gateway, life, token } => {
                if life == self.gateways[gateway].life {
                    self.decide(gateway, Event::Timer { token });
                }
            }
            Happening::Dial { a } => self.dial(a),
            Happening::Dialled { a, up } => self.dialled(a, up),
            Happening::DialTimeout { a } => {
                let attempt = &self.attempts[a];
                if !attempt.over && !attempt.written {
                    self.leave(a);
                    self.end_attempt(a, Outcome::NoConnection);
                }
            }
            Happening::Reach { a } => self.reach(a),
            Happening::Node { node, due } => {
                if self.node_due[node] == Some(due) {
                    self.node_due[node] = None;
                    self.nodes[node].advance(self.now);
                    self.hear(node);
                }
            }
            Happening::Reply { a, outcome, report } => self.reply(a, outcome, report),
            Happening::AttemptTimeout { a } => {
                if !self.attempts[a].over {
                    let outcome =
                        if self.attempts[a].written { Outcome::TimedOut } else { Outcome::NoConnection };
                    self.leave(a);
                    self.end_attempt(a, outcome);
                }
            }
            Happening::Left { node, connection, attempt } => {
                if let Some(attempt) = attempt {
                    self.ledger.record_end(attempt, self.now, AttemptEnd::Left);
                }
                self.nodes[node].disconnect(self.now, connection);
                self.hear(node);
            }
            Happening::IdleEnded { gateway, node, connection } => self.idle_ended(gateway, node, connection),
            Happening::Answer { n, seen } => self.take_answer(n, seen),
            Happening::RegisterCall { gateway } => self.register_called(gateway),
            Happening::RegisterSays { gateway, list } => self.register_says(gateway, list),
            Happening::RegisterTurns => self.register_turns(),
            Happening::Weigh => self.weigh(),
            Happening::Weights { weights } => self.hear_weights(weights),
            Happening::Deed { node, deed } => {
                carry_out(&mut self.nodes[node], self.now, deed);
                if deed == Deed::Start && self.nodes[node].state() == State::Up {
                    self.ledger.record_cold_start(node, self.now);
                }
                self.hear(node);
            }
            Happening::Join => self.join(),
            Happening::Kill => self.kill(),
            Happening::Noticed => self.deal(),
            Happening::Back => self.back(),
            Happening::Sample => self.sample(),
        }
    }

    // ---- clients -------------------------------------------------------------------------------------------

    fn ask(&mut self, place: usize, tries: u32) {
        let asked = &self.day[place];
        if tries == 0 {
            self.firsts[place] = self.now;
            self.counts.asked += 1;
        }
        self.counts.tries += 1;
        let number = asked.number(self.draws, tries);
        self.tries_of[place].push((number, self.now));
        let deadline = self.now + patience(self.script, asked, self.firsts[place], self.now);
        let class = asked.class;
        let own = &self.by_zone[asked.zone];
        let gateway = own[weldworks_balancer::mix(number) as usize % own.len()];
        self.ledger.record_request(number, SentRequest { gateway, class, sent_at: self.now, deadline });
        let n = self.tries.len();
        let (closed, answered, attempts) = Default::default();
        self.tries.push(Try { place, number, tries, gateway, until: deadline, closed, answered, attempts });
        let way = self.client_way(n, Hop::ToGateway);
        self.at(self.now + way, Happening::Arrive { n });
        self.at(deadline, Happening::GiveUp { n });
    }

    /// The gateways that start later hear their first list, and the front deals to them too.
    fn join(&mut self) {
        let count = self.gateways.len();
        for g in there(self.script, count)..self.minds() {
            self.gateways[g].watching = self.script.discovery.pushed;
            let list = self.register.since(self.now, 0);
            self.tell(g, list);
        }
        self.deal();
    }

    fn give_up(&mut self, n: usize) {
        if self.tries[n].closed {
            return;
        }
        self.ledger.record_give_up(self.tries[n].number, self.now);
        self.close(n, Seen::Failed);
        if !self.tries[n].answered {
            self.tries[n].answered = true;
            self.decide(self.tries[n].gateway, Event::ClientDisconnected { request: id(n) });
        }
    }

    fn take_answer(&mut self, n: usize, seen: Seen) {
        let number = self.tries[n].number;
        let got = match seen {
            Seen::Served => FinalAnswer::Served,
            Seen::Refused { .. } => FinalAnswer::Refused,
            Seen::Failed | Seen::Unreachable => FinalAnswer::Failed,
        };
        self.ledger.record_answer(number, self.now, got);
        if !self.tries[n].closed {
            self.close(n, seen);
        }
    }

    fn close(&mut self, n: usize, seen: Seen) {
        self.tries[n].closed = true;
        let (place, tries) = (self.tries[n].place, self.tries[n].tries + 1);
        let (asked, first) = (&self.day[place], self.firsts[place]);
        match seen {
            Seen::Served => {
                self.counts.served += 1;
                let aim = first + self.script.classes[asked.class].latency_objective;
                self.in_time.0 += u64::from(self.now <= aim);
            }
            Seen::Refused { .. } => self.counts.refused += 1,
            Seen::Failed => self.counts.failed += 1,
            Seen::Unreachable => self.counts.unreachable += 1,
        }
        if let Some(at) = next_try(self.script, asked, first, tries, seen, self.now) {
            self.at(at, Happening::Ask { place, tries });
        }
    }

    // ---- gateways ------------------------------------------------------------------------------------------

    fn arrive(&mut self, n: usize) {
        let Try { place, tries, gateway, until, closed, .. } = self.tries[n];
        if closed {
            return; // its gateway was killed while it was on its way
        }
        if !self.gateways[gateway].alive {
            return self.lose(n, Seen::Unreachable);
        }
        let asked = &self.day[place];
        let give_up = until.saturating_sub(AHEAD);
        let (worth, mean) = (self.script.classes[asked.class].priority_weight, self.mean_worth);
        let arriving = ArrivingRequest {
            is_client_retry: tries > 0,
            identity: identity(asked),
            relative_weight: worth / mean,
            tenant: asked.tenant,
        };
        let allowance = match &mut self.gateways[gateway].storm {
            Some(storm) => storm.admit(BEFORE + self.now, arriving).admission_share,
            None => 1.0,
        };
        let asked = &self.day[place];
        let request = Request {
            id: id(n),
            class: asked.class,
            tenant: asked.tenant,
            key: asked.subject.map(weldworks_balancer::mix),
            cost_hint: self.script.clients.send_cost_hints.then(|| Duration::from_secs_f64(asked.work_s)),
            is_client_retry: tries > 0,
            admission_share: allowance,
            client_deadline: BEFORE + give_up,
            body_streaming: false,
        };
        self.cost.requests += 1;
        self.at(give_up, Happening::Backstop { n });
        self.decide(gateway, Event::Request(request));
    }

    fn decide(&mut self, gateway: usize, event: Event<'_>) {
        let gateway = self.mind_of(gateway);
        if !self.gateways[gateway].alive {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        let began = Instant::now();
        self.gateways[gateway].mind.handle(BEFORE + self.now, event, &mut actions);
        self.cost.deciding += began.elapsed();
        for action in actions.drain(..) {
            self.act(gateway, action);
        }
        if self.actions.capacity() < actions.capacity() {
            self.actions = actions;
        }
    }

    /// How many decision modules there are.
    fn minds(&self) -> usize {
        match self.minds {
            Minds::Own | Minds::Plain => self.gateways.len(),
            Minds::Shared => 1,
        }
    }

    /// Whose decision module decides for a gateway.
    fn mind_of(&self, gateway: usize) -> usize {
        match self.minds {
            Minds::Own | Minds::Plain => gateway,
            Minds::Shared => 0,
        }
    }

    fn act(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Send { request, endpoint: host, deadline: until, write_by } => {
                let n = place_of(request);
                let write_by = write_by.map(|by| by.saturating_sub(BEFORE));
                self.send(self.tries[n].gateway, n, host, until.saturating_sub(BEFORE), write_by);
            }
            // No body of a script comes in pieces.
            Action::SetAttemptDeadline { .. } => {}
            Action::Cancel { request, attempt } => {
                let n = place_of(request);
                let found = self.tries.get(n).and_then(|t| t.attempts.get(attempt as usize)).copied();
                if let Some(a) = found.filter(|a| !self.attempts[*a].over) {
                    self.leave(a);
                    self.end_attempt(a, Outcome::Cancelled);
                }
            }
            Action::Reject { request, retry_after: keep_away } => {
                let come_back = Some(keep_away).filter(|t| !t.is_zero());
                self.answer(place_of(request), Seen::Refused { come_back });
            }
            Action::Fail { request } => self.answer(place_of(request), Seen::Failed),
            Action::SetTimer { after, token } => {
                let life = self.gateways[gateway].life;
                self.at(self.now + after.max(TICK), Happening::Timer { gateway, life, token });
            }
            Action::Probe { endpoint: host } => {
                let (outcome, latency) = (Outcome::NotSent, Duration::ZERO);
                self.decide(gateway, Event::ProbeEnded { endpoint: host, outcome, latency });
            }
            Action::CloseIdleConnections { endpoint: host } => {
                let node = host.0 as usize;
                for g in 0..self.gateways.len() {
                    if self.mind_of(g) == gateway {
                        let idle = std::mem::take(&mut self.gateways[g].idle[node]);
                        for (connection, _) in idle {
                            self.at(self.now, Happening::Left { node, connection, attempt: None });
                        }
                    }
                }
            }
            Action::PollDiscovery => {
                self.gateways[gateway].watching = false;
                let at = self.now + self.script.network.same_zone;
                self.at(at, Happening::RegisterCall { gateway });
            }
        }
    }

    /// The gateway's final answer leaves for the client. Only the first one does.
    fn answer(&mut self, n: usize, mut seen: Seen) {
        if !std::mem::replace(&mut self.tries[n].answered, true) {
            let Try { gateway, place, .. } = self.tries[n];
            let now = BEFORE + self.now;
            if let Some(storm) = &mut self.gateways[gateway].storm {
                storm.record_result(now, answered(seen));
                if let Seen::Refused { come_back } = &mut seen {
                    let advice =
                        storm.retry_after(now, identity(&self.day[place]), come_back.unwrap_or_default());
                    *come_back = Some(advice).filter(|t| !t.is_zero());
                }
            }
            let way = self.client_way(n, Hop::ToClient);
            self.at(self.now + way, Happening::Answer { n, seen });
        }
    }

    fn send(
        &mut self,
        gateway: usize,
        n: usize,
        host: EndpointId,
        until: Duration,
        write_by: Option<Duration>,
    ) {
        let node = host.0 as usize;
        let until = until.min(self.tries[n].until.saturating_sub(AHEAD));
        let a = self.attempts.len();
        let in_try = self.tries[n].attempts.len() as u32;
        self.tries[n].attempts.push(a);
        let fresh = self.fresh(); // as the program does it: the one used last
        let idle = &mut self.gateways[gateway].idle[node];
        let reused = loop {
            match idle.pop() {
                Some((connection, since)) if self.now - since < fresh => break Some(connection),
                Some(_) => {}
                None => break None,
            }
        };
        let connection = reused.unwrap_or_else(|| {
            self.openers.push(gateway);
            self.openers.len() as u64 - 1
        });
        let (sent, written, over) = (self.now, reused.is_some(), false);
        self.attempts.push(Attempt { n, in_try, node, connection, sent, until, write_by, written, over });
        self.at(until, Happening::AttemptTimeout { a });
        if written {
            let way = self.node_way(a, Hop::ToNode);
            self.at(self.now + way, Happening::Reach { a });
        } else {
            self.counts.connections += 1;
            let way = self.node_way(a, Hop::Dial);
            self.at(self.now + way, Happening::Dial { a });
            self.at(self.now + self.script.limits.connect_timeout, Happening::DialTimeout { a });
        }
    }

    fn dial(&mut self, a: usize) {
        let Attempt { node, connection, .. } = self.attempts[a];
        if self.nodes[node].state() == State::Silent {
            return;
        }
        let up = self.nodes[node].connect(self.now, connection);
        self.hear(node);
        let way = self.node_way(a, Hop::Dialled);
        self.at(self.now + way, Happening::Dialled { a, up });
    }

    fn dialled(&mut self, a: usize, up: bool) {
        let Attempt { n, node, connection, write_by, over, .. } = self.attempts[a];
        let gateway = self.tries[n].gateway;
        if over {
            if up {
                self.at(self.now, Happening::Left { node, connection, attempt: None });
            }
            return;
        }
        if !up {
            return self.end_attempt(a, Outcome::NoConnection);
        }
        // The request may have been answered, and the node begun to drain, while the connection came up.
        let takes_work = self.gateways[self.mind_of(gateway)]
            .hosts
            .iter()
            .any(|h| h.id.0 as usize == node && h.state == EndpointState::Up);
        if self.tries[n].answered || !takes_work || write_by.is_some_and(|by| self.now >= by) {
            self.gateways[gateway].idle[node].push((connection, self.now));
            return self.end_attempt(a, Outcome::NotSent);
        }
        self.attempts[a].written = true;
        let way = self.node_way(a, Hop::ToNode);
        self.at(self.now + way, Happening::Reach { a });
    }

    fn reach(&mut self, a: usize) {
        let Attempt { n, node, connection, until, .. } = self.attempts[a];
        if self.nodes[node].state() == State::Silent || self.attempts[a].over {
            return;
        }
        let Try { number, place, gateway, .. } = self.tries[n];
        let asked = &self.day[place];
        let class = &self.script.classes[asked.class];
        let work_s = attempt_seconds(self.draws, class, asked, node as u64);
        let keyed = match class.idempotency {
            Idempotency::IdempotencyKey { scope: group, window } => Some((asked.key, group, window)),
            _ => None,
        };
        let (attempt, last_byte_at) = (a as u64, Some(self.now));
        let (first_byte_at, started_at, end) = (self.now, None, None);
        self.ledger.record_attempt(
            number,
            ObservedAttempt { attempt, node, gateway, first_byte_at, last_byte_at, started_at, end, work_s },
        );
        self.counts.attempts += 1;
        let work = Work { request: number, seconds: work_s, subject: asked.subject, keyed, until };
        let there = matches!(self.nodes[node].state(), State::Up | State::Draining);
        self.nodes[node].request(self.now, connection, attempt, work);
        self.hear(node);
        if !there {
            self.ledger.record_end(attempt, self.now, AttemptEnd::Broken);
            let way = self.node_way(a, Hop::FromNode);
            self.at(self.now + way, Happening::Reply { a, outcome: Outcome::Reset, report: None });
        }
    }

    fn reply(&mut self, a: usize, outcome: Outcome, report: Option<LoadReport>) {
        let Attempt { n, node, connection, over, .. } = self.attempts[a];
        if over {
            return;
        }
        if let Some(report) = report {
            let host = EndpointId(node as u32);
            self.decide(self.tries[n].gateway, Event::LoadReport { endpoint: host, report });
        }
        if outcome != Outcome::Reset {
            self.gateways[self.tries[n].gateway].idle[node].push((connection, self.now));
        }
        if outcome == Outcome::Served {
            self.answer(n, Seen::Served);
        }
        self.end_attempt(a, outcome);
    }

    /// A node has ended an idle connection.
    fn idle_ended(&mut self, gateway: usize, node: usize, connection: u64) {
        let (now, fresh, mind) = (self.now, self.fresh(), self.mind_of(gateway));
        let idle = &mut self.gateways[gateway].idle[node];
        let Some(at) = idle.iter().position(|(c, _)| *c == connection) else { return };
        let (_, since) = idle.remove(at);
        // The program lets go by itself what has been idle for so long: no word of the node.
        if now - since < fresh {
            let of_mind = (0..self.gateways.len()).filter(|g| self.mind_of(*g) == mind);
            let held = of_mind.flat_map(|g| &self.gateways[g].idle[node]);
            let left = held.filter(|(_, since)| now - *since < fresh).count();
            self.decide(
                gateway,
                Event::IdleConnectionClosed {
                    endpoint: EndpointId(node as u32),
                    idle: now - since,
                    remaining: left,
                },
            );
        }
    }

    /// A connection that has been idle for less is used again: none that its node may be about to close.
    fn fresh(&self) -> Duration {
        self.script.fleet.kinds.iter().map(|k| k.spec.keep_alive).min().unwrap_or_default() / 2
    }

    /// The gateway ends the attempt's connection.
    fn leave(&mut self, a: usize) {
        let Attempt { node, connection, written, .. } = self.attempts[a];
        let way = self.node_way(a, Hop::Leave);
        let attempt = written.then_some(a as u64);
        self.at(self.now + way, Happening::Left { node, connection, attempt });
    }

    fn end_attempt(&mut self, a: usize, outcome: Outcome) {
        let Attempt { n, in_try, sent, .. } = self.attempts[a];
        self.attempts[a].over = true;
        let (latency, over) = (self.now - sent, self.tries[n].answered);
        let event =
            Event::AttemptEnded { request: id(n), attempt: in_try, latency, outcome, request_ended: over };
        self.decide(self.tries[n].gateway, event);
    }

    // ---- nodes ---------------------------------------------------------------------------------------------

    /// Takes what a node has to say, and asks when it speaks next.
    fn hear(&mut self, node: usize) {
        let outputs: Vec<Output> = self.nodes[node].outputs().collect();
        for output in outputs {
            match output {
                Output::Began { attempt } => self.ledger.record_start(attempt, self.now),
                Output::Answered { attempt, answer, report, .. } => {
                    let (ended, outcome) = match answer {
                        Answer::Served { dropped } => {
                            self.counts.repeats_dropped += u64::from(dropped);
                            (AttemptEnd::Served, Outcome::Served)
                        }
                        Answer::Error => (AttemptEnd::Error, Outcome::Error),
                        Answer::TurnedAway(_) => (AttemptEnd::TurnedAway, Outcome::Rejected),
                    };
                    self.ledger.record_end(attempt, self.now, ended);
                    let a = attempt as usize;
                    let way = self.node_way(a, Hop::FromNode);
                    let report =
                        LoadReport { requests_per_second: report.qps, in_flight: report.inflight }.checked();
                    self.at(self.now + way, Happening::Reply { a, outcome, report });
                }
                Output::Ended { attempt: Some(attempt), .. } => {
                    self.ledger.record_end(attempt, self.now, AttemptEnd::Broken);
                    let a = attempt as usize;
                    let way = self.node_way(a, Hop::FromNode);
                    self.at(self.now + way, Happening::Reply { a, outcome: Outcome::Reset, report: None });
                }
                Output::Ended { connection, attempt: None } => {
                    let at = self.now + self.script.network.same_zone;
                    let gateway = self.openers[connection as usize];
                    self.at(at, Happening::IdleEnded { gateway, node, connection });
                }
                Output::FellOver => {
                    self.counts.fallen += 1;
                    self.ledger.record_fall(node, self.now);
                    self.register.fell(node, self.now);
                    self.await_register();
                }
            }
        }
        self.watch_node(node);
    }

    fn watch_node(&mut self, node: usize) {
        let next = self.nodes[node].next();
        if let Some(due) = next.filter(|_| self.node_due[node] != next) {
            self.at(due, Happening::Node { node, due });
        }
        self.node_due[node] = next;
    }

    // ---- what it has shown ---------------------------------------------------------------------------------

    fn sample(&mut self) {
        let step = (self.script.lasts / 240).max(Duration::from_millis(100));
        let (now, before, per) = (self.counts, self.sampled, step.as_secs_f64());
        let rate = |now: u64, before: u64| ((now - before) as f64 / per * 10.0).round() / 10.0;
        let mut sample = Sample {
            at_s: (self.now.as_secs_f64() * 1000.0).round() / 1000.0,
            asked: rate(now.tries, before.tries),
            in_time: rate(self.in_time.0, self.in_time.1),
            refused: rate(now.refused, before.refused),
            failed: rate(now.failed, before.failed),
            ..Sample::default()
        };
        self.nodes.iter().for_each(|node| sample.see(node));
        self.timeline.push(sample);
        (self.sampled, self.in_time.1) = (now, self.in_time.0);
        if self.now + step <= self.script.end() {
            self.at(self.now + step, Happening::Sample);
        }
    }

    fn report(self, seed: u64) -> (Report, Cost) {
        let tallies = tallies(self.script, &self.day, &self.ledger, &self.tries_of);
        let there = there(self.script, self.gateways.len());
        let fresh = (there < self.gateways.len())
            .then(|| fresh(self.script, &tallies, there, |place| self.taken_by(place)));
        let report = Report {
            script: self.script.name.clone(),
            seed,
            runner: Runner::VirtualTime,
            gateways: self.gateways.len(),
            nodes: self.nodes.len(),
            service: Some(service(self.script, &tallies)),
            violations: self
                .ledger
                .violations(Rules { drain_grace: self.script.limits.drain_grace, ..Rules::virtual_time() }),
            unsound: None,
            counts: self.counts,
            fresh,
            back_s: back(self.script, &tallies),
            dispersion: self.ledger.dispersion(self.script.lasts),
            cold_peak: self.nodes.iter().map(Node::cold_peak).reduce(f64::max).filter(|peak| *peak > 0.0),
            lateness: None,
            timeline: self.timeline,
        };
        (report, self.cost)
    }

    /// The gateway that took a first try.
    fn taken_by(&self, place: usize) -> Option<usize> {
        let (number, _) = self.tries_of.get(place)?.first()?;
        self.ledger.of(*number)?.request.as_ref().map(|ask| ask.gateway)
    }
}

impl Sample {
    /// Counts a node in.
    pub fn see(&mut self, node: &Node) {
        self.held += node.held();
        match node.state() {
            State::Up if node.choked() => self.choked += 1,
            State::Up if node.warmth() < 1.0 => self.cold += 1,
            State::Up => self.warm += 1,
            State::Draining => self.draining += 1,
            State::Down | State::Silent | State::Fallen => self.down += 1,
        }
    }
}

/// How many of `count` gateways are there from the beginning.
fn there(script: &Script, count: usize) -> usize {
    count - script.fleet.late_gateways.min(count.saturating_sub(1))
}

/// To which of the first `count` gateways the front deals the requests of each zone.
fn front(script: &Script, count: usize) -> Vec<Vec<usize>> {
    let mut by_zone = vec![Vec::new(); script.fleet.zones.len()];
    for g in 0..count {
        // Among those of a zone every other one stands several times in the front's list.
        let favoured = (g / script.fleet.zones.len()).is_multiple_of(2);
        let places = if favoured { script.load.uneven } else { 1 };
        by_zone[script.zone_of(g)].extend(std::iter::repeat_n(g, places));
    }
    // Where a zone has none, to all.
    by_zone.iter_mut().filter(|own| own.is_empty()).for_each(|own| own.extend(0..count));
    by_zone
}

/// What tells a request from the others: a retry has the same.
fn identity(asked: &PlannedRequest) -> Option<u64> {
    Some(asked.key)
}

/// The mean worth of a request, by the classes' shares.
fn mean_worth(script: &Script) -> f64 {
    let (worth, shares) =
        script.classes.iter().fold((0.0, 0.0), |(w, s), c| (w + c.priority_weight * c.share, s + c.share));
    worth / shares
}

fn answered(seen: Seen) -> RequestResult {
    match seen {
        Seen::Served => RequestResult::Served,
        Seen::Refused { .. } => RequestResult::Rejected,
        Seen::Failed | Seen::Unreachable => RequestResult::Failed,
    }
}

/// The module's number of a try; never 0.
fn id(n: usize) -> RequestId {
    RequestId(n as u64 + 1)
}

fn place_of(request: RequestId) -> usize {
    request.0 as usize - 1
}
