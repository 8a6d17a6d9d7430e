//! The stand-in endpoint model itself: connections, slots, the queue, and the speed at which work is done.
//!
//! Running jobs share the cores evenly, each at most one core: processor sharing up to the number of slots, first come first served beyond.
//! Speed changes in steps and is constant between two steps, so the times at which jobs end are computed directly.

use super::budget::SlowStartBudget;
use super::choke::Choke;
use super::keys::SubjectCache;
use super::repeats::{RepeatCache, RepeatCheck};
use super::reports::{LoadReports, Report};
use super::spec::{EndpointSpec, WarmBy};
use crate::random_variates::{Purpose, RandomStream, RandomStreams};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use weldworks_balancer::KeyScope;

/// Identifies an attempt; never reused.
pub type AttemptId = u64;
/// Identifies a connection; never reused.
pub type ConnectionId = u64;

/// Interval, in seconds, at which gradual changes (warm-up, the load averages of choking) are updated.
const UPDATE_INTERVAL_S: f64 = 0.05;
/// Seconds of remaining work below which a job counts as done, since callers round times to nanoseconds.
const WORK_TOLERANCE_S: f64 = 2e-9;

/// The work of a request at a stand-in endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The request's number, the same at every endpoint.
    pub request: u64,
    /// The request's work, in seconds of a core of speed 1.
    pub seconds: f64,
    /// The subject of the request, by which the endpoint's cache is keyed.
    pub subject: Option<u64>,
    /// The idempotency key, the scope of endpoints that drop its repeats, and the idempotency window.
    pub keyed: Option<(u64, KeyScope, Duration)>,
    /// The request's deadline.
    pub until: Duration,
}

/// Why an endpoint rejected a request without processing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// No free slot, and the queue is full.
    QueueFull,
    /// The endpoint is draining: it finishes the requests that it has and takes no new ones.
    Draining,
    /// The request's deadline passed before processing began.
    Expired,
}

/// How an endpoint answers a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The request was processed, or was a repeat that is dropped and answered like the first request.
    Served {
        /// Whether the request was a dropped repeat.
        dropped: bool,
    },
    /// An error: the request was possibly processed.
    Error,
    /// The request was rejected and not processed.
    Rejected(RejectionReason),
}

/// An output of the endpoint model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// The processing of an attempt begins. There is no such output for a dropped repeat.
    Began {
        /// The attempt whose processing begins.
        attempt: AttemptId,
    },
    /// The endpoint answers an attempt.
    Answered {
        /// The answered attempt.
        attempt: AttemptId,
        /// The connection of the attempt.
        connection: ConnectionId,
        /// The answer to the attempt.
        answer: Answer,
        /// The load report in the answer.
        report: Report,
    },
    /// The endpoint ends a connection. An attempt in flight on the connection gets no answer.
    Ended {
        /// The ended connection.
        connection: ConnectionId,
        /// The attempt that was in flight on the connection.
        attempt: Option<AttemptId>,
    },
    /// The endpoint was sent too much work in its slow start; it has crashed and stays down.
    Crashed,
}

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The endpoint takes requests.
    Up,
    /// The endpoint finishes the requests that it has and rejects new ones.
    Draining,
    /// The process has ended: connections are refused.
    Down,
    /// The machine is cut off: nothing is received and nothing is sent.
    CutOff,
    /// The endpoint crashed from too much work in its slow start: connections are refused, and the endpoint does not restart.
    Crashed,
}

/// The repeat caches that an endpoint shares with others, one for each key scope.
#[derive(Clone, Debug, Default)]
pub struct RepeatCaches {
    /// Shared by all endpoints.
    pub all: Rc<RefCell<RepeatCache>>,
    /// Shared by the endpoints of the zone.
    pub zone: Rc<RefCell<RepeatCache>>,
    /// Shared by the endpoints of the rack.
    pub rack: Rc<RefCell<RepeatCache>>,
}

impl RepeatCaches {
    fn in_scope(&self, scope: KeyScope) -> &Rc<RefCell<RepeatCache>> {
        match scope {
            KeyScope::All => &self.all,
            KeyScope::Zone => &self.zone,
            KeyScope::Cell => &self.rack,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Connection {
    /// Whether the handshake is done.
    ready: bool,
    /// Whether the endpoint has dropped the connection without closing it, so that the gateway does not know.
    silently_dropped: bool,
    attempt: Option<AttemptId>,
    idle_since: f64,
}

/// An attempt that is running or queued.
#[derive(Clone, Debug)]
struct AttemptInFlight {
    connection: ConnectionId,
    work: Work,
    /// The value of [`EndpointModel::work_per_job`] at which the attempt is done, while it is running.
    job_end: Option<f64>,
    fails: bool,
    dropped: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Job {
    Handshake(ConnectionId),
    Request(AttemptId),
    /// A cancelled attempt that runs on to its end.
    CancelledRequest(AttemptId),
}

/// The model of a stand-in endpoint.
#[derive(Debug)]
pub struct EndpointModel {
    number: u64,
    spec: EndpointSpec,
    draws: RandomStreams,
    repeat_caches: RepeatCaches,
    state: State,
    now: f64,
    started_at: Option<f64>,
    work_done: f64,
    budget: SlowStartBudget,
    /// The highest [`SlowStartBudget::peak`] of earlier starts of this endpoint.
    slow_start_peak: f64,
    choke: Option<Choke>,
    choke_updated_at: f64,
    subject_cache: SubjectCache,
    reports: LoadReports,
    reported_always: Option<Report>,
    /// Work done since the model was created by a job that would have run all the time, in seconds: the clock of the jobs' progress.
    work_per_job: f64,
    jobs: BTreeMap<(u64, Job), ()>,
    in_flight: FxHashMap<AttemptId, AttemptInFlight>,
    running: usize,
    queue: VecDeque<AttemptId>,
    connections: FxHashMap<ConnectionId, Connection>,
    idle: BTreeSet<(u64, ConnectionId)>,
    open_connections: usize,
    next_pause: Option<(RandomStream, f64)>,
    paused_until: Option<f64>,
    neighbour_share: f64,
    slowdown: f64,
    failure_share: f64,
    idle_timeout_override: Option<(f64, bool)>,
    outputs: Vec<Output>,
}

/// The work that an endpoint with these properties may be sent during its slow start.
fn slow_start_budget(spec: &EndpointSpec) -> SlowStartBudget {
    SlowStartBudget::new(spec.fall_at, spec.fall_over.as_secs_f64(), spec.mean_work)
        .with_random_allowance(spec.grants_chance)
}

impl EndpointModel {
    /// An endpoint that has been up for long, so that its slow start is over.
    pub fn new(
        number: u64,
        spec: EndpointSpec,
        draws: RandomStreams,
        repeat_caches: RepeatCaches,
        now: Duration,
    ) -> EndpointModel {
        let now_s = now.as_secs_f64();
        let mut next_pause = spec
            .pause
            .map(|pause| (draws.stream(Purpose::EndpointPauses, number), pause.every.as_secs_f64()));
        let next_pause = next_pause.take().map(|(mut stream, mean_interval_s)| {
            let first = now_s + stream.exponential() * mean_interval_s;
            (stream, first)
        });
        EndpointModel {
            number,
            draws,
            repeat_caches,
            state: State::Up,
            now: now_s,
            started_at: None,
            work_done: 0.0,
            budget: slow_start_budget(&spec),
            slow_start_peak: 0.0,
            choke: spec.choke.map(|choke| Choke::new(choke, now_s)),
            choke_updated_at: now_s,
            subject_cache: SubjectCache::new(spec.key_places, spec.key_for.as_secs_f64()),
            reports: LoadReports::new(spec.report, draws, number, now),
            reported_always: None,
            work_per_job: 0.0,
            jobs: BTreeMap::new(),
            in_flight: FxHashMap::default(),
            running: 0,
            queue: VecDeque::new(),
            connections: FxHashMap::default(),
            idle: BTreeSet::new(),
            open_connections: 0,
            next_pause,
            paused_until: None,
            neighbour_share: 0.0,
            slowdown: 1.0,
            failure_share: 0.0,
            idle_timeout_override: None,
            outputs: Vec::new(),
            spec,
        }
    }

    /// The state of the endpoint.
    pub fn state(&self) -> State {
        self.state
    }

    /// Number of requests in flight, running or queued.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// The endpoint's live weight: its capacity divided by 1 + its requests in flight per core.
    pub fn live_weight(&self) -> f64 {
        let cores = f64::from(self.spec.cores);
        cores * self.spec.speed / (1.0 + self.in_flight() as f64 / cores)
    }

    /// Number of open connections as the endpoint knows them.
    pub fn open_connections(&self) -> usize {
        self.open_connections
    }

    /// Whether the endpoint is choked.
    pub fn is_choked(&self) -> bool {
        self.choke.as_ref().is_some_and(|choke| choke.slowdown_factor() > 1.0)
    }

    /// The warm-up fraction: the fraction of its full capacity that slow start allows.
    pub fn warm_up_fraction(&self) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let cold_for = self.spec.cold_for.as_secs_f64().max(1e-6);
        let by_time = (self.now - started_at) / cold_for;
        let progress = match self.spec.warm_by {
            WarmBy::Time => by_time,
            WarmBy::Work => by_time.max(self.work_done / (self.spec.capacity() * cold_for * 0.5)),
        };
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * progress).min(1.0)
    }

    /// Takes the outputs since the previous call.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    // ---- speed ----

    fn cores(&self) -> f64 {
        f64::from(self.spec.cores)
    }

    /// The current speed of one core.
    fn core_speed(&self) -> f64 {
        if self.paused_until.is_some() || !matches!(self.state, State::Up | State::Draining) {
            return 0.0;
        }
        let per_core = self.in_flight.len() as f64 / self.cores();
        let crowding_range = (f64::from(self.spec.slots) / self.cores() - self.spec.crowded_at).max(1e-9);
        let crowding_level = ((per_core - self.spec.crowded_at) / crowding_range).clamp(0.0, 1.0);
        let tax =
            self.spec.connection_tax * self.open_connections as f64 / f64::from(self.spec.connections.max(1));
        let choke = self.choke.as_ref().map_or(1.0, Choke::slowdown_factor);
        self.spec.speed
            * self.warm_up_fraction()
            * (1.0 - self.spec.crowding * crowding_level)
            * (1.0 - self.neighbour_share)
            * (1.0 - tax.min(1.0))
            / (choke * self.slowdown)
    }

    /// The speed at which each running job proceeds.
    fn job_speed(&self) -> f64 {
        let jobs = self.jobs.len().max(1) as f64;
        self.core_speed() * (self.cores() / jobs).min(1.0)
    }

    // ---- time ----

    /// The time of the next change that needs no input.
    pub fn next(&self) -> Option<Duration> {
        self.next_at().map(|next_s| Duration::from_secs_f64(next_s.max(0.0)))
    }

    fn next_at(&self) -> Option<f64> {
        if matches!(self.state, State::Down | State::CutOff | State::Crashed) {
            return None;
        }
        let mut next = self.reports.next_refresh().as_secs_f64();
        if let Some(((end, _), ())) = self.jobs.first_key_value() {
            let rate = self.job_speed();
            if rate > 0.0 {
                next = next.min(self.now + (f64::from_bits(*end) - self.work_per_job).max(0.0) / rate);
            }
        }
        if let Some(&(due, _)) = self.idle.first() {
            next = next.min(f64::from_bits(due));
        }
        next = next.min(
            self.paused_until.or(self.next_pause.as_ref().map(|pause| pause.1)).unwrap_or(f64::INFINITY),
        );
        let changes = self.warm_up_fraction() < 1.0
            || self.choke.is_some() && (!self.in_flight.is_empty() || self.is_choked());
        Some(if changes { next.min(self.choke_updated_at.max(self.now) + UPDATE_INTERVAL_S) } else { next })
    }

    /// Advances the model to `now`.
    pub fn advance(&mut self, now: Duration) {
        let until = now.as_secs_f64();
        while let Some(at) = self.next_at().filter(|at| *at <= until + 1e-9) {
            self.advance_to(at.max(self.now));
            self.process_due();
        }
        self.advance_to(until.max(self.now));
    }

    /// Advances the model through a time in which nothing changes but the work done.
    fn advance_to(&mut self, until: f64) {
        let elapsed_s = until - self.now;
        if elapsed_s <= 0.0 {
            return;
        }
        let (rate, jobs) = (self.job_speed(), self.jobs.len() as f64);
        self.work_per_job += rate * elapsed_s;
        self.work_done += rate * elapsed_s * jobs;
        let (cores, in_flight) = (self.cores(), self.in_flight.len() as f64);
        let busy = if rate > 0.0 { (jobs / cores).min(1.0) } else { f64::from(u8::from(jobs > 0.0)) };
        self.now = until;
        if let Some(choke) = &mut self.choke {
            choke.advance(until, in_flight, cores, busy);
        }
        self.choke_updated_at = until;
    }

    /// Processes everything that is due: finished jobs, idle connections, pauses, load reports.
    fn process_due(&mut self) {
        while let Some((&(end, job), ())) = self.jobs.first_key_value() {
            if f64::from_bits(end) > self.work_per_job + WORK_TOLERANCE_S {
                break;
            }
            self.jobs.remove(&(end, job));
            self.finish_job(job);
        }
        while let Some(&(due, connection)) =
            self.idle.first().filter(|idle| f64::from_bits(idle.0) <= self.now)
        {
            self.idle.remove(&(due, connection));
            self.close_idle(connection);
        }
        if self.paused_until.is_some_and(|until| until <= self.now) {
            self.paused_until = None;
        }
        if let (Some(spec), Some((stream, pause_at))) = (self.spec.pause, &mut self.next_pause) {
            if *pause_at <= self.now && self.paused_until.is_none() {
                let slot_usage = (self.running as f64 / f64::from(self.spec.slots.max(1))).min(1.0);
                let length_s = spec.lasts.as_secs_f64() * (1.0 + spec.grows * slot_usage);
                self.paused_until = Some(self.now + length_s);
                *pause_at = self.now + length_s + stream.exponential() * spec.every.as_secs_f64();
            }
        }
        let refresh_at = self.reports.next_refresh();
        if refresh_at.as_secs_f64() <= self.now + 1e-9 {
            self.reports.refresh(refresh_at, self.in_flight.len());
        }
    }

    // ---- connections ----

    /// Opens a connection; false if the process is not running or has the maximum number of connections.
    pub fn connect(&mut self, now: Duration, connection: ConnectionId) -> bool {
        self.advance(now);
        let is_running = matches!(self.state, State::Up | State::Draining);
        if !is_running || self.open_connections >= self.spec.connections as usize {
            return false;
        }
        self.open_connections += 1;
        let idle_since = self.now;
        let ready = self.spec.handshake <= 0.0;
        self.connections.insert(connection, Connection { ready, idle_since, ..Connection::default() });
        if ready {
            self.mark_idle(connection);
        } else {
            self.start_job(Job::Handshake(connection), self.spec.handshake);
            self.record_work(self.spec.handshake);
        }
        self.connections.contains_key(&connection)
    }

    /// The gateway has ended a connection. An attempt in flight on the connection is cancelled.
    pub fn disconnect(&mut self, now: Duration, connection: ConnectionId) {
        self.advance(now);
        let Some(ended) = self.connections.remove(&connection) else { return };
        self.mark_busy(connection, &ended);
        self.open_connections -= usize::from(!ended.silently_dropped);
        if let Some(attempt) = ended.attempt {
            self.drop_attempt(attempt);
        }
        self.jobs.retain(|(_, job), ()| *job != Job::Handshake(connection));
    }

    /// Cancels one attempt and keeps its connection, as in a protocol with several requests on one connection.
    pub fn cancel(&mut self, now: Duration, attempt: AttemptId) {
        self.advance(now);
        let Some(attempt_state) = self.in_flight.get(&attempt) else { return };
        let connection = attempt_state.connection;
        if let Some(connection_state) = self.connections.get_mut(&connection) {
            connection_state.attempt = None;
        }
        self.drop_attempt(attempt);
        self.mark_idle(connection);
    }

    fn idle_due(&self, since: f64) -> u64 {
        let timeout_s =
            self.idle_timeout_override.map_or(self.spec.keep_alive.as_secs_f64(), |timeout| timeout.0);
        (since + timeout_s).to_bits()
    }

    fn mark_idle(&mut self, connection: ConnectionId) {
        let now = self.now;
        let due = self.idle_due(now);
        if let Some(connection_state) =
            self.connections.get_mut(&connection).filter(|state| state.ready && state.attempt.is_none())
        {
            connection_state.idle_since = now;
            self.idle.insert((due, connection));
        }
    }

    fn mark_busy(&mut self, connection: ConnectionId, connection_state: &Connection) {
        let due = self.idle_due(connection_state.idle_since);
        if !self.idle.remove(&(due, connection)) {
            // The connection became idle under another idle timeout, so it is listed with another time.
            self.idle.retain(|(_, idle)| *idle != connection);
        }
    }

    /// Closes a connection whose idle timeout has passed, or drops it without closing it.
    fn close_idle(&mut self, connection: ConnectionId) {
        let silently = self.idle_timeout_override.is_some_and(|timeout| timeout.1);
        if silently {
            if let Some(connection_state) = self.connections.get_mut(&connection) {
                connection_state.silently_dropped = true;
                self.open_connections -= 1;
            }
        } else if self.connections.remove(&connection).is_some() {
            self.open_connections -= 1;
            self.outputs.push(Output::Ended { connection, attempt: None });
        }
    }

    // ---- requests ----

    /// A request has been received up to its last byte.
    pub fn request(&mut self, now: Duration, connection: ConnectionId, attempt: AttemptId, work: Work) {
        self.advance(now);
        if self.state == State::CutOff {
            return;
        }
        let Some(connection_state) = self.connections.get(&connection) else { return };
        let connection_state = connection_state.clone();
        self.mark_busy(connection, &connection_state);
        if connection_state.silently_dropped {
            self.connections.remove(&connection);
            return self.outputs.push(Output::Ended { connection, attempt: Some(attempt) });
        }
        if let Some(connection_state) = self.connections.get_mut(&connection) {
            connection_state.attempt = Some(attempt);
        }
        let seconds = work.seconds;
        let fails = {
            let mut draws = self.draws.stream_for_pair(Purpose::AttemptFailure, work.request, self.number);
            let (fails_at_once, fails_at_end) =
                (draws.bernoulli(self.failure_share), draws.bernoulli(self.spec.error_rate));
            (fails_at_once, fails_at_end)
        };
        self.in_flight.insert(
            attempt,
            AttemptInFlight { connection, work, job_end: None, fails: fails.0 || fails.1, dropped: false },
        );
        self.record_work(seconds);
        if !self.in_flight.contains_key(&attempt) {
            return; // the endpoint has crashed from too much work in its slow start
        }
        if self.state == State::Draining {
            return self.send_answer(attempt, Answer::Rejected(RejectionReason::Draining));
        }
        if fails.0 {
            self.outputs.push(Output::Began { attempt });
            return self.send_answer(attempt, Answer::Error);
        }
        if connection_state.ready {
            self.admit(attempt);
        }
    }

    /// Starts the attempt if a slot is free, otherwise queues it, or rejects it if the queue is full.
    fn admit(&mut self, attempt: AttemptId) {
        if self.running < self.spec.slots as usize {
            self.start_attempt(attempt);
        } else if self.queue.len() < self.spec.queue as usize {
            self.queue.push_back(attempt);
        } else {
            self.send_answer(attempt, Answer::Rejected(RejectionReason::QueueFull));
        }
    }

    fn start_attempt(&mut self, attempt: AttemptId) {
        let now = Duration::from_secs_f64(self.now);
        let Some(attempt_state) = self.in_flight.get_mut(&attempt) else { return };
        if self.spec.drops_expired && attempt_state.work.until <= now {
            return self.send_answer(attempt, Answer::Rejected(RejectionReason::Expired));
        }
        let mut seconds = attempt_state.work.seconds;
        if let Some((key, scope, window)) = attempt_state.work.keyed {
            let repeats = self.repeat_caches.in_scope(scope);
            attempt_state.dropped = repeats.borrow_mut().check(now, key, window) == RepeatCheck::Dropped;
        }
        if attempt_state.dropped {
            seconds = self.spec.repeat_work;
        } else {
            if attempt_state.work.subject.is_some_and(|key| self.subject_cache.record_use(self.now, key)) {
                seconds *= 1.0 - self.spec.key_gain;
            }
            self.outputs.push(Output::Began { attempt });
        }
        self.running += 1;
        let end = self.start_job(Job::Request(attempt), seconds);
        if let Some(attempt_state) = self.in_flight.get_mut(&attempt) {
            attempt_state.job_end = Some(end);
        }
    }

    fn start_job(&mut self, job: Job, seconds: f64) -> f64 {
        let end = self.work_per_job + seconds.max(0.0);
        self.jobs.insert((end.to_bits(), job), ());
        end
    }

    fn finish_job(&mut self, job: Job) {
        match job {
            Job::Handshake(connection) => {
                let Some(connection_state) = self.connections.get_mut(&connection) else { return };
                connection_state.ready = true;
                match connection_state.attempt {
                    Some(attempt) => self.admit(attempt),
                    None => self.mark_idle(connection),
                }
            }
            Job::Request(attempt) => {
                let Some(attempt_state) = self.in_flight.get(&attempt) else { return };
                let (fails, dropped) = (attempt_state.fails, attempt_state.dropped);
                if !fails {
                    self.reports.count_served();
                    if let Some((key, scope, _)) = attempt_state.work.keyed.filter(|_| !dropped) {
                        let now = Duration::from_secs_f64(self.now);
                        self.repeat_caches.in_scope(scope).borrow_mut().record_completed(now, key);
                    }
                }
                let answer = if fails && !dropped { Answer::Error } else { Answer::Served { dropped } };
                self.send_answer(attempt, answer);
            }
            Job::CancelledRequest(_) => {
                self.running -= 1;
                self.start_queued();
            }
        }
    }

    fn send_answer(&mut self, attempt: AttemptId, answer: Answer) {
        let Some(attempt_state) = self.in_flight.remove(&attempt) else { return };
        let report = self.reports.current_at(Duration::from_secs_f64(self.now));
        let report = self.reported_always.unwrap_or(report);
        let connection = attempt_state.connection;
        self.outputs.push(Output::Answered { attempt, connection, answer, report });
        if let Some(connection_state) = self.connections.get_mut(&connection) {
            connection_state.attempt = None;
        }
        self.mark_idle(connection);
        if attempt_state.job_end.is_some() {
            self.running -= 1;
            self.start_queued();
        }
    }

    fn start_queued(&mut self) {
        while self.running < self.spec.slots as usize {
            let Some(attempt) = self.queue.pop_front() else { return };
            self.start_attempt(attempt);
        }
    }

    /// Removes a cancelled attempt.
    fn drop_attempt(&mut self, attempt: AttemptId) {
        let Some(attempt_state) = self.in_flight.remove(&attempt) else { return };
        match attempt_state.job_end {
            Some(end) => {
                self.jobs.remove(&(end.to_bits(), Job::Request(attempt)));
                if self.spec.cancels {
                    self.running -= 1;
                    self.start_queued();
                } else {
                    // The cancelled attempt runs on to its end, so its repeats must be dropped.
                    // Its key is recorded here, slightly before the attempt ends.
                    if let Some((key, scope, _)) =
                        attempt_state.work.keyed.filter(|_| !attempt_state.fails && !attempt_state.dropped)
                    {
                        let now = Duration::from_secs_f64(self.now);
                        self.repeat_caches.in_scope(scope).borrow_mut().record_completed(now, key);
                    }
                    self.jobs.insert((end.to_bits(), Job::CancelledRequest(attempt)), ());
                }
            }
            None => self.queue.retain(|queued| *queued != attempt),
        }
    }

    /// Records work that was sent to the endpoint. During slow start, too much work makes the endpoint crash.
    fn record_work(&mut self, seconds: f64) {
        let warm_up_fraction = self.warm_up_fraction();
        if warm_up_fraction < 1.0
            && self.budget.record_and_check(self.now, seconds, self.spec.capacity() * warm_up_fraction)
        {
            self.outputs.push(Output::Crashed);
            self.close_everything(State::Crashed);
        }
    }

    /// The highest work sent in a window during slow start, divided by the allowance of that window; 0 if the endpoint had no slow start.
    pub fn slow_start_peak(&self) -> f64 {
        self.slow_start_peak.max(self.budget.peak())
    }

    // ---- faults of the script ----

    fn close_everything(&mut self, state: State) {
        self.state = state;
        let mut connections: Vec<_> = self.connections.drain().collect();
        connections.sort_unstable_by_key(|(id, _)| *id);
        for (connection, ended) in connections {
            self.outputs.push(Output::Ended { connection, attempt: ended.attempt });
        }
        self.in_flight.clear();
        self.jobs.clear();
        self.queue.clear();
        self.idle.clear();
        (self.running, self.open_connections) = (0, 0);
    }

    /// The process of the endpoint ends.
    pub fn kill(&mut self, now: Duration) {
        self.advance(now);
        if self.state != State::Crashed {
            self.close_everything(State::Down);
        }
    }

    /// The machine of the endpoint is cut off. Its requests are lost; its connections stay open but carry nothing.
    pub fn cut_off(&mut self, now: Duration) {
        self.advance(now);
        if self.state == State::Crashed {
            return;
        }
        self.in_flight.clear();
        self.jobs.clear();
        self.queue.clear();
        self.idle.clear();
        (self.state, self.running) = (State::CutOff, 0);
    }

    /// The endpoint starts with a slow start. An endpoint that has crashed from too much work stays down.
    pub fn start_cold(&mut self, now: Duration) {
        self.advance(now);
        if self.state == State::Crashed {
            return;
        }
        self.close_everything(State::Up);
        (self.started_at, self.work_done) = (Some(self.now), 0.0);
        self.slow_start_peak = self.slow_start_peak();
        self.budget = slow_start_budget(&self.spec);
        self.choke = self.spec.choke.map(|choke| Choke::new(choke, self.now));
        self.subject_cache = SubjectCache::new(self.spec.key_places, self.spec.key_for.as_secs_f64());
    }

    /// The endpoint starts to drain (finishes the requests that it has and rejects new ones), or takes requests again.
    pub fn drain(&mut self, now: Duration, on: bool) {
        self.advance(now);
        self.state = match (self.state, on) {
            (State::Up, true) => State::Draining,
            (State::Draining, false) => State::Up,
            (other, _) => other,
        };
    }

    /// Another program on the machine takes this share of the endpoint's speed.
    pub fn set_neighbour_share(&mut self, now: Duration, share: f64) {
        self.advance(now);
        self.neighbour_share = share;
    }

    /// The endpoint becomes `times` times slower than its properties say.
    pub fn set_slowdown(&mut self, now: Duration, times: f64) {
        self.advance(now);
        self.slowdown = times.max(1e-3);
    }

    /// Makes all load reports of the endpoint carry the given values; `None` restores true reports.
    pub fn override_reports(&mut self, now: Duration, report: Option<Report>) {
        self.advance(now);
        self.reported_always = report;
    }

    /// The endpoint answers this share of its requests with an error at once.
    pub fn set_failure_share(&mut self, now: Duration, share: f64) {
        self.advance(now);
        self.failure_share = share;
    }

    /// Sets the idle timeout, and whether idle connections are dropped without being closed; `None` for the idle timeout of the properties.
    pub fn set_idle_timeout(&mut self, now: Duration, limit: Option<(Duration, bool)>) {
        self.advance(now);
        self.idle_timeout_override = limit.map(|(time, silently)| (time.as_secs_f64(), silently));
        let idle_connections: Vec<_> = self.idle.iter().map(|(_, connection)| *connection).collect();
        self.idle.clear();
        for connection in idle_connections {
            let since = self.connections.get(&connection).map_or(self.now, |state| state.idle_since);
            self.idle.insert((self.idle_due(since), connection));
        }
    }

    /// The endpoint processes nothing for a while.
    pub fn pause(&mut self, now: Duration, length: Duration) {
        self.advance(now);
        let until = self.now + length.as_secs_f64();
        self.paused_until = Some(self.paused_until.map_or(until, |paused_until| paused_until.max(until)));
    }
}
