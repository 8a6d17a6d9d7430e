//! The node itself: connections, slots, the waiting room, and how fast work gets done.
//!
//! All that runs shares the cores evenly, each at most one core (processor sharing up to the slots, first come first
//! served beyond). Speed changes in steps; between two steps it is constant, so ends are computed and not searched.

use super::budget::Budget;
use super::choke::Choke;
use super::keys::Keys;
use super::repeats::{Meeting, Repeats};
use super::reports::{Report, Reports};
use super::spec::{NodeSpec, WarmBy};
use crate::random_variates::{Purpose, RandomStream, RandomStreams};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use weldworks_balancer::KeyScope;

/// An attempt, by a number that is used once.
pub type AttemptId = u64;
/// A connection, by a number that is used once.
pub type ConnectionId = u64;

/// What changes by itself (warming up, load) is looked at this often, in seconds.
const STEP: f64 = 0.05;
/// Work that is this near to its end is done: times are rounded to nanoseconds outside.
const NEAR: f64 = 2e-9;

/// What a request asks of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The request's number, the same at every node.
    pub request: u64,
    /// Its work, in seconds of a core of speed 1.
    pub seconds: f64,
    /// What it is about.
    pub subject: Option<u64>,
    /// The key by which repeats are known, who drops them and for how long.
    pub keyed: Option<(u64, KeyScope, Duration)>,
    /// When it is over.
    pub until: Duration,
}

/// Why a node turns a request away unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No slot and no place in the waiting room.
    QueueFull,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// The request's time was up before it ran.
    Expired,
}

/// What a node answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Done; or a repeat, dropped and answered like the first.
    Served {
        /// It was a repeat.
        dropped: bool,
    },
    /// An error: it may have run.
    Error,
    /// Never run.
    TurnedAway(Refusal),
}

/// What comes out of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// An attempt begins to run; a repeat that is dropped does not.
    Began {
        /// Which.
        attempt: AttemptId,
    },
    /// An attempt is answered.
    Answered {
        /// Which.
        attempt: AttemptId,
        /// On which connection.
        connection: ConnectionId,
        /// How.
        answer: Answer,
        /// The load report that goes with it.
        report: Report,
    },
    /// A connection ends. What was out on it gets no answer.
    Ended {
        /// Which.
        connection: ConnectionId,
        /// The attempt that was out on it.
        attempt: Option<AttemptId>,
    },
    /// It was sent too much while it was cold, and stays down.
    FellOver,
}

/// Whether a node is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Up,
    /// It finishes what it has.
    Draining,
    /// Its process has ended: connections are refused.
    Down,
    /// Its machine is cut off: nothing comes and nothing goes.
    Silent,
    /// It was pushed over: as if its process had ended, and no restart of its own.
    Fallen,
}

/// The memories of repeats that the nodes of a group share.
#[derive(Clone, Debug, Default)]
pub struct Memories {
    /// Of all nodes.
    pub all: Rc<RefCell<Repeats>>,
    /// Of the nodes of its zone.
    pub zone: Rc<RefCell<Repeats>>,
    /// Of the nodes of its rack.
    pub rack: Rc<RefCell<Repeats>>,
}

impl Memories {
    fn of(&self, group: KeyScope) -> &Rc<RefCell<Repeats>> {
        match group {
            KeyScope::All => &self.all,
            KeyScope::Zone => &self.zone,
            KeyScope::Cell => &self.rack,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Connection {
    /// Its handshake is done.
    ready: bool,
    /// It is in the table no more, and the other side has not been told.
    forgotten: bool,
    attempt: Option<AttemptId>,
    idle_since: f64,
}

#[derive(Clone, Debug)]
struct Held {
    connection: ConnectionId,
    work: Work,
    /// The virtual time at which it is done, while it runs.
    running: Option<f64>,
    fails: bool,
    dropped: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Job {
    Handshake(ConnectionId),
    Request(AttemptId),
    /// Cancelled, and it goes on all the same.
    Ghost(AttemptId),
}

/// A node. See the module's page.
#[derive(Debug)]
pub struct Node {
    number: u64,
    spec: NodeSpec,
    draws: RandomStreams,
    memories: Memories,
    state: State,
    now: f64,
    started: Option<f64>,
    worked: f64,
    budget: Budget,
    /// The most that a window of its earlier starts has held, as [`Budget::peak`] has it.
    cold_peak: f64,
    choke: Option<Choke>,
    choke_seen: f64,
    keys: Keys,
    reports: Reports,
    claims: Option<Report>,
    /// The work that each running job has had since the node began, were it always running.
    clock: f64,
    jobs: BTreeMap<(u64, Job), ()>,
    held: FxHashMap<AttemptId, Held>,
    running: usize,
    queue: VecDeque<AttemptId>,
    connections: FxHashMap<ConnectionId, Connection>,
    idle: BTreeSet<(u64, ConnectionId)>,
    open: usize,
    pauses: Option<(RandomStream, f64)>,
    paused_until: Option<f64>,
    neighbour: f64,
    slowed: f64,
    failing: f64,
    forgets: Option<(f64, bool)>,
    out: Vec<Output>,
}

/// What a node of this kind may be sent while it is cold.
fn budget(spec: &NodeSpec) -> Budget {
    Budget::new(spec.fall_at, spec.fall_over.as_secs_f64(), spec.mean_work)
        .granting_chance(spec.grants_chance)
}

impl Node {
    /// A node that has been up and warm for long.
    pub fn new(number: u64, spec: NodeSpec, draws: RandomStreams, memories: Memories, now: Duration) -> Node {
        let t = now.as_secs_f64();
        let mut pauses =
            spec.pause.map(|p| (draws.stream(Purpose::EndpointPauses, number), p.every.as_secs_f64()));
        let pauses = pauses.take().map(|(mut s, every)| {
            let first = t + s.exponential() * every;
            (s, first)
        });
        Node {
            number,
            draws,
            memories,
            state: State::Up,
            now: t,
            started: None,
            worked: 0.0,
            budget: budget(&spec),
            cold_peak: 0.0,
            choke: spec.choke.map(|c| Choke::new(c, t)),
            choke_seen: t,
            keys: Keys::new(spec.key_places, spec.key_for.as_secs_f64()),
            reports: Reports::new(spec.report, draws, number, now),
            claims: None,
            clock: 0.0,
            jobs: BTreeMap::new(),
            held: FxHashMap::default(),
            running: 0,
            queue: VecDeque::new(),
            connections: FxHashMap::default(),
            idle: BTreeSet::new(),
            open: 0,
            pauses,
            paused_until: None,
            neighbour: 0.0,
            slowed: 1.0,
            failing: 0.0,
            forgets: None,
            out: Vec::new(),
            spec,
        }
    }

    /// Whether it is there.
    pub fn state(&self) -> State {
        self.state
    }

    /// Requests that it holds, running or waiting.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Its size, divided by 1 + the requests it holds a core.
    pub fn live_weight(&self) -> f64 {
        let cores = f64::from(self.spec.cores);
        cores * self.spec.speed / (1.0 + self.held() as f64 / cores)
    }

    /// Connections that are open as far as it knows.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether it is choked.
    pub fn choked(&self) -> bool {
        self.choke.as_ref().is_some_and(|c| c.slower() > 1.0)
    }

    /// The share of its capacity that it has, for want of warmth.
    pub fn warmth(&self) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let cold_for = self.spec.cold_for.as_secs_f64().max(1e-6);
        let by_time = (self.now - started) / cold_for;
        let part = match self.spec.warm_by {
            WarmBy::Time => by_time,
            WarmBy::Work => by_time.max(self.worked / (self.spec.capacity() * cold_for * 0.5)),
        };
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * part).min(1.0)
    }

    /// What has come out since the last call.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.out.drain(..)
    }

    // ---- how fast ------------------------------------------------------------------------------------------

    fn cores(&self) -> f64 {
        f64::from(self.spec.cores)
    }

    /// The speed of one core now.
    fn core_speed(&self) -> f64 {
        if self.paused_until.is_some() || !matches!(self.state, State::Up | State::Draining) {
            return 0.0;
        }
        let per_core = self.held.len() as f64 / self.cores();
        let full = (f64::from(self.spec.slots) / self.cores() - self.spec.crowded_at).max(1e-9);
        let crowded = ((per_core - self.spec.crowded_at) / full).clamp(0.0, 1.0);
        let tax = self.spec.connection_tax * self.open as f64 / f64::from(self.spec.connections.max(1));
        let choke = self.choke.as_ref().map_or(1.0, Choke::slower);
        self.spec.speed
            * self.warmth()
            * (1.0 - self.spec.crowding * crowded)
            * (1.0 - self.neighbour)
            * (1.0 - tax.min(1.0))
            / (choke * self.slowed)
    }

    /// How fast one running job goes.
    fn rate(&self) -> f64 {
        let jobs = self.jobs.len().max(1) as f64;
        self.core_speed() * (self.cores() / jobs).min(1.0)
    }

    // ---- time ----------------------------------------------------------------------------------------------

    /// When something happens next by itself.
    pub fn next(&self) -> Option<Duration> {
        self.next_at().map(|t| Duration::from_secs_f64(t.max(0.0)))
    }

    fn next_at(&self) -> Option<f64> {
        if matches!(self.state, State::Down | State::Silent | State::Fallen) {
            return None;
        }
        let mut next = self.reports.next_look().as_secs_f64();
        if let Some(((end, _), ())) = self.jobs.first_key_value() {
            let rate = self.rate();
            if rate > 0.0 {
                next = next.min(self.now + (f64::from_bits(*end) - self.clock).max(0.0) / rate);
            }
        }
        if let Some(&(due, _)) = self.idle.first() {
            next = next.min(f64::from_bits(due));
        }
        next = next.min(self.paused_until.or(self.pauses.as_ref().map(|p| p.1)).unwrap_or(f64::INFINITY));
        let changes = self.warmth() < 1.0 || self.choke.is_some() && (!self.held.is_empty() || self.choked());
        Some(if changes { next.min(self.choke_seen.max(self.now) + STEP) } else { next })
    }

    /// Lets time pass until `now`.
    pub fn advance(&mut self, now: Duration) {
        let until = now.as_secs_f64();
        while let Some(at) = self.next_at().filter(|at| *at <= until + 1e-9) {
            self.pass(at.max(self.now));
            self.happen();
        }
        self.pass(until.max(self.now));
    }

    /// Lets time pass in which nothing changes but the work done.
    fn pass(&mut self, until: f64) {
        let dt = until - self.now;
        if dt <= 0.0 {
            return;
        }
        let (rate, jobs) = (self.rate(), self.jobs.len() as f64);
        self.clock += rate * dt;
        self.worked += rate * dt * jobs;
        let (cores, held) = (self.cores(), self.held.len() as f64);
        let busy = if rate > 0.0 { (jobs / cores).min(1.0) } else { f64::from(u8::from(jobs > 0.0)) };
        self.now = until;
        if let Some(choke) = &mut self.choke {
            choke.pass(until, held, cores, busy);
        }
        self.choke_seen = until;
    }

    /// What is due now.
    fn happen(&mut self) {
        while let Some((&(end, job), ())) = self.jobs.first_key_value() {
            if f64::from_bits(end) > self.clock + NEAR {
                break;
            }
            self.jobs.remove(&(end, job));
            self.finish(job);
        }
        while let Some(&(due, connection)) = self.idle.first().filter(|i| f64::from_bits(i.0) <= self.now) {
            self.idle.remove(&(due, connection));
            self.let_go(connection);
        }
        if self.paused_until.is_some_and(|until| until <= self.now) {
            self.paused_until = None;
        }
        if let (Some(spec), Some((stream, at))) = (self.spec.pause, &mut self.pauses) {
            if *at <= self.now && self.paused_until.is_none() {
                let full = (self.running as f64 / f64::from(self.spec.slots.max(1))).min(1.0);
                let lasts = spec.lasts.as_secs_f64() * (1.0 + spec.grows * full);
                self.paused_until = Some(self.now + lasts);
                *at = self.now + lasts + stream.exponential() * spec.every.as_secs_f64();
            }
        }
        let look = self.reports.next_look();
        if look.as_secs_f64() <= self.now + 1e-9 {
            self.reports.look(look, self.held.len());
        }
    }

    // ---- connections ---------------------------------------------------------------------------------------

    /// A connection is wanted. Refused where the process is not there or its table is full.
    pub fn connect(&mut self, now: Duration, connection: ConnectionId) -> bool {
        self.advance(now);
        let there = matches!(self.state, State::Up | State::Draining);
        if !there || self.open >= self.spec.connections as usize {
            return false;
        }
        self.open += 1;
        let idle_since = self.now;
        let ready = self.spec.handshake <= 0.0;
        self.connections.insert(connection, Connection { ready, idle_since, ..Connection::default() });
        if ready {
            self.rest(connection);
        } else {
            self.start(Job::Handshake(connection), self.spec.handshake);
            self.bear(self.spec.handshake);
        }
        self.connections.contains_key(&connection)
    }

    /// The other side has ended a connection. What was out on it is cancelled.
    pub fn disconnect(&mut self, now: Duration, connection: ConnectionId) {
        self.advance(now);
        let Some(ended) = self.connections.remove(&connection) else { return };
        self.unrest(connection, &ended);
        self.open -= usize::from(!ended.forgotten);
        if let Some(attempt) = ended.attempt {
            self.drop_attempt(attempt);
        }
        self.jobs.retain(|(_, job), ()| *job != Job::Handshake(connection));
    }

    /// One attempt is called off and its connection stays, as where a protocol carries several on one.
    pub fn cancel(&mut self, now: Duration, attempt: AttemptId) {
        self.advance(now);
        let Some(held) = self.held.get(&attempt) else { return };
        let connection = held.connection;
        if let Some(c) = self.connections.get_mut(&connection) {
            c.attempt = None;
        }
        self.drop_attempt(attempt);
        self.rest(connection);
    }

    fn idle_due(&self, since: f64) -> u64 {
        let lasts = self.forgets.map_or(self.spec.keep_alive.as_secs_f64(), |f| f.0);
        (since + lasts).to_bits()
    }

    fn rest(&mut self, connection: ConnectionId) {
        let now = self.now;
        let due = self.idle_due(now);
        if let Some(c) = self.connections.get_mut(&connection).filter(|c| c.ready && c.attempt.is_none()) {
            c.idle_since = now;
            self.idle.insert((due, connection));
        }
    }

    fn unrest(&mut self, connection: ConnectionId, of: &Connection) {
        let due = self.idle_due(of.idle_since);
        if !self.idle.remove(&(due, connection)) {
            // It came to rest under another limit.
            self.idle.retain(|(_, c)| *c != connection);
        }
    }

    /// Ends a connection that has been idle for long, or forgets it and says nothing.
    fn let_go(&mut self, connection: ConnectionId) {
        let silently = self.forgets.is_some_and(|f| f.1);
        if silently {
            if let Some(c) = self.connections.get_mut(&connection) {
                c.forgotten = true;
                self.open -= 1;
            }
        } else if self.connections.remove(&connection).is_some() {
            self.open -= 1;
            self.out.push(Output::Ended { connection, attempt: None });
        }
    }

    // ---- requests ------------------------------------------------------------------------------------------

    /// The last byte of a request has come.
    pub fn request(&mut self, now: Duration, connection: ConnectionId, attempt: AttemptId, work: Work) {
        self.advance(now);
        if self.state == State::Silent {
            return;
        }
        let Some(c) = self.connections.get(&connection) else { return };
        let c = c.clone();
        self.unrest(connection, &c);
        if c.forgotten {
            self.connections.remove(&connection);
            return self.out.push(Output::Ended { connection, attempt: Some(attempt) });
        }
        if let Some(c) = self.connections.get_mut(&connection) {
            c.attempt = Some(attempt);
        }
        let seconds = work.seconds;
        let fails = {
            let mut draws = self.draws.stream_for_pair(Purpose::AttemptFailure, work.request, self.number);
            let (at_once, at_the_end) =
                (draws.bernoulli(self.failing), draws.bernoulli(self.spec.error_rate));
            (at_once, at_the_end)
        };
        self.held.insert(
            attempt,
            Held { connection, work, running: None, fails: fails.0 || fails.1, dropped: false },
        );
        self.bear(seconds);
        if !self.held.contains_key(&attempt) {
            return; // that was too much, and it is down
        }
        if self.state == State::Draining {
            return self.answer(attempt, Answer::TurnedAway(Refusal::Draining));
        }
        if fails.0 {
            self.out.push(Output::Began { attempt });
            return self.answer(attempt, Answer::Error);
        }
        if c.ready {
            self.admit(attempt);
        }
    }

    /// Gives the attempt a slot or a place in the waiting room.
    fn admit(&mut self, attempt: AttemptId) {
        if self.running < self.spec.slots as usize {
            self.run(attempt);
        } else if self.queue.len() < self.spec.queue as usize {
            self.queue.push_back(attempt);
        } else {
            self.answer(attempt, Answer::TurnedAway(Refusal::QueueFull));
        }
    }

    fn run(&mut self, attempt: AttemptId) {
        let now = Duration::from_secs_f64(self.now);
        let Some(held) = self.held.get_mut(&attempt) else { return };
        if self.spec.drops_expired && held.work.until <= now {
            return self.answer(attempt, Answer::TurnedAway(Refusal::Expired));
        }
        let mut seconds = held.work.seconds;
        if let Some((key, group, window)) = held.work.keyed {
            let memory = self.memories.of(group);
            held.dropped = memory.borrow_mut().meet(now, key, window) == Meeting::Dropped;
        }
        if held.dropped {
            seconds = self.spec.repeat_work;
        } else {
            if held.work.subject.is_some_and(|key| self.keys.meet(self.now, key)) {
                seconds *= 1.0 - self.spec.key_gain;
            }
            self.out.push(Output::Began { attempt });
        }
        self.running += 1;
        let end = self.start(Job::Request(attempt), seconds);
        if let Some(held) = self.held.get_mut(&attempt) {
            held.running = Some(end);
        }
    }

    fn start(&mut self, job: Job, seconds: f64) -> f64 {
        let end = self.clock + seconds.max(0.0);
        self.jobs.insert((end.to_bits(), job), ());
        end
    }

    fn finish(&mut self, job: Job) {
        match job {
            Job::Handshake(connection) => {
                let Some(c) = self.connections.get_mut(&connection) else { return };
                c.ready = true;
                match c.attempt {
                    Some(attempt) => self.admit(attempt),
                    None => self.rest(connection),
                }
            }
            Job::Request(attempt) => {
                let Some(held) = self.held.get(&attempt) else { return };
                let (fails, dropped) = (held.fails, held.dropped);
                if !fails {
                    self.reports.count();
                    if let Some((key, group, _)) = held.work.keyed.filter(|_| !dropped) {
                        let now = Duration::from_secs_f64(self.now);
                        self.memories.of(group).borrow_mut().done(now, key);
                    }
                }
                let answer = if fails && !dropped { Answer::Error } else { Answer::Served { dropped } };
                self.answer(attempt, answer);
            }
            Job::Ghost(_) => {
                self.running -= 1;
                self.next_in_line();
            }
        }
    }

    fn answer(&mut self, attempt: AttemptId, answer: Answer) {
        let Some(held) = self.held.remove(&attempt) else { return };
        let report = self.reports.at(Duration::from_secs_f64(self.now));
        let report = self.claims.unwrap_or(report);
        let connection = held.connection;
        self.out.push(Output::Answered { attempt, connection, answer, report });
        if let Some(c) = self.connections.get_mut(&connection) {
            c.attempt = None;
        }
        self.rest(connection);
        if held.running.is_some() {
            self.running -= 1;
            self.next_in_line();
        }
    }

    fn next_in_line(&mut self) {
        while self.running < self.spec.slots as usize {
            let Some(attempt) = self.queue.pop_front() else { return };
            self.run(attempt);
        }
    }

    /// Forgets an attempt that nobody waits for any more.
    fn drop_attempt(&mut self, attempt: AttemptId) {
        let Some(held) = self.held.remove(&attempt) else { return };
        match held.running {
            Some(end) => {
                self.jobs.remove(&(end.to_bits(), Job::Request(attempt)));
                if self.spec.cancels {
                    self.running -= 1;
                    self.next_in_line();
                } else {
                    // It runs on to its end, so its repeat need not: booked here, a moment ahead of that.
                    if let Some((key, group, _)) = held.work.keyed.filter(|_| !held.fails && !held.dropped) {
                        let now = Duration::from_secs_f64(self.now);
                        self.memories.of(group).borrow_mut().done(now, key);
                    }
                    self.jobs.insert((end.to_bits(), Job::Ghost(attempt)), ());
                }
            }
            None => self.queue.retain(|a| *a != attempt),
        }
    }

    /// Books work that has reached it; while it is cold that may be too much.
    fn bear(&mut self, seconds: f64) {
        let warmth = self.warmth();
        if warmth < 1.0 && self.budget.overspent(self.now, seconds, self.spec.capacity() * warmth) {
            self.out.push(Output::FellOver);
            self.end_all(State::Fallen);
        }
    }

    /// The most that it was sent while it was cold, as a part of what it may be sent in a window; 0 where it never was cold.
    pub fn cold_peak(&self) -> f64 {
        self.cold_peak.max(self.budget.peak())
    }

    // ---- what the script does to it ------------------------------------------------------------------------

    fn end_all(&mut self, state: State) {
        self.state = state;
        let mut connections: Vec<_> = self.connections.drain().collect();
        connections.sort_unstable_by_key(|(id, _)| *id);
        for (connection, c) in connections {
            self.out.push(Output::Ended { connection, attempt: c.attempt });
        }
        self.held.clear();
        self.jobs.clear();
        self.queue.clear();
        self.idle.clear();
        (self.running, self.open) = (0, 0);
    }

    /// Its process ends.
    pub fn kill(&mut self, now: Duration) {
        self.advance(now);
        if self.state != State::Fallen {
            self.end_all(State::Down);
        }
    }

    /// Its machine is cut off. What it holds is lost; connections stay open and silent.
    pub fn cut_off(&mut self, now: Duration) {
        self.advance(now);
        if self.state == State::Fallen {
            return;
        }
        self.held.clear();
        self.jobs.clear();
        self.queue.clear();
        self.idle.clear();
        (self.state, self.running) = (State::Silent, 0);
    }

    /// It starts, cold. One that has fallen over stays down.
    pub fn start_cold(&mut self, now: Duration) {
        self.advance(now);
        if self.state == State::Fallen {
            return;
        }
        self.end_all(State::Up);
        (self.started, self.worked) = (Some(self.now), 0.0);
        self.cold_peak = self.cold_peak();
        self.budget = budget(&self.spec);
        self.choke = self.spec.choke.map(|c| Choke::new(c, self.now));
        self.keys = Keys::new(self.spec.key_places, self.spec.key_for.as_secs_f64());
    }

    /// It finishes what it has and takes nothing new, or takes work again.
    pub fn drain(&mut self, now: Duration, on: bool) {
        self.advance(now);
        self.state = match (self.state, on) {
            (State::Up, true) => State::Draining,
            (State::Draining, false) => State::Up,
            (other, _) => other,
        };
    }

    /// Another program takes this share of its machine.
    pub fn share_with_neighbour(&mut self, now: Duration, share: f64) {
        self.advance(now);
        self.neighbour = share;
    }

    /// It is so many times slower than it was built.
    pub fn slow_down(&mut self, now: Duration, times: f64) {
        self.advance(now);
        self.slowed = times.max(1e-3);
    }

    /// Its load reports always say this, or what is true.
    pub fn report_always(&mut self, now: Duration, says: Option<Report>) {
        self.advance(now);
        self.claims = says;
    }

    /// It fails this share of its requests at once.
    pub fn fail(&mut self, now: Duration, share: f64) {
        self.advance(now);
        self.failing = share;
    }

    /// It lets idle connections go after this time, and may say nothing of it; or as it was built.
    pub fn let_go_after(&mut self, now: Duration, limit: Option<(Duration, bool)>) {
        self.advance(now);
        self.forgets = limit.map(|(time, silently)| (time.as_secs_f64(), silently));
        let resting: Vec<_> = self.idle.iter().map(|(_, c)| *c).collect();
        self.idle.clear();
        for connection in resting {
            let since = self.connections.get(&connection).map_or(self.now, |c| c.idle_since);
            self.idle.insert((self.idle_due(since), connection));
        }
    }

    /// It does nothing for a while.
    pub fn pause(&mut self, now: Duration, lasts: Duration) {
        self.advance(now);
        let until = self.now + lasts.as_secs_f64();
        self.paused_until = Some(self.paused_until.map_or(until, |p| p.max(until)));
    }
}
