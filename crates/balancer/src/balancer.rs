//! Every decision of a gateway. The interface (settings, events, actions) stands in `src/api.rs`.
//!
//! Ordinary path: a two-sided [`Cusum`] on each host's latency moves the host's epoch estimate E at detected
//! shifts; a request goes to the ready host with the lowest (in-flight + 1) x E. Exceptions: docs/design.md.
//!
//! Here are the state, the events, and a request's way from one attempt to the next. Beside it stand the detector, what is
//! known of hosts (`knowledge`), which requests are let in (`admission`) and where they go (`pick`).

mod admission;
mod detector;
mod knowledge;
mod pick;
mod snapshot;

pub use detector::Cusum;
pub use snapshot::{EndpointSnapshot, Snapshot};

use crate::api::{self, Action, EndpointId, EndpointState, Event, Idempotency, Outcome, RequestId, Settings};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

const SPREAD_GAIN: f64 = 0.1; // weight of a sample in the spread (σ), the class means and the mean hint
const UPKEEP_S: f64 = 0.03; // seconds between upkeeps: rates, decay and the hosts' current estimates
const RATE_S: f64 = 3.0; // time constant of the measured rates, in seconds
const RETEST: f64 = 6.0; // longest aims without a sample in which a raised E loses half its excess
const COPY_AT: f64 = 3.0; // a second copy goes out when an attempt takes this many times its expected latency
const FIRST_E: f64 = 0.25; // part of the shortest aim that stands in for E until anything is heard
const COPY_SHARE: f64 = 0.03; // second copies that each first try pays for
const RETRY: f64 = 0.15; // what a retry costs of a copy: it follows an attempt that did no work, or lost it
/// A cold host that answers within so many times what its kind takes has no queue: one at a third of its speed takes three
/// times as long. The send's token comes back then, among many gateways: what is one of theirs is coarse. Once the host is
/// pushed its answers are slow, and none does.
const QUICK: f64 = 3.0;
const LATE: f64 = 0.06; // part of all that ends unserved at which admission is tightest
/// Parts of the shortest aim that reports say hosts take, from which on admission is not eased, and up to which it is
/// eased in full.
const CROWD: f64 = 0.45;
const EASE: f64 = 0.3;
const CROWD_S: f64 = 2.5; // time constant of what lists and this gateway have out, in seconds
const PACE: f64 = 0.4; // part of requests that are faster by their hints than the pace
const PACE_GAIN: f64 = 0.02; // slow, or it follows the queues of the moment in place of the hosts
const ENOUGH: f64 = 20.0; // least requests that the rates of served and lost average: few come at size
const HOLD_S: f64 = 0.015; // a request for which no host is ready is looked at again after so many seconds
/// A process may be held up for so long between its last look at the clock and its write: a repeat's window ends that much sooner.
const HELD_UP_S: f64 = 0.15;
/// A change counts as told so long after discovery had it and could be reached, and a call is answered within this, its turn included:
/// what is left of the first is for noticing and for the wait before the call, which is this at least.
const TOLD_S: f64 = 6.0;
const ANSWER_S: f64 = 2.4;
const SPREAD_S: f64 = 0.3;
/// What a new discovery has to tell counts 4 s after the signal, and drains have 2 s of grace: a call that is spread over this leaves
/// 0.6 s beside its answer.
const MOVED_S: f64 = 3.0;
const TIMER_GRAIN_S: f64 = 1e-3; // a timer may seem to come so much too soon, by rounding
const ASK: u64 = 0; // the timer token of discovery upkeep
const CLOSE: u64 = 1 << 62; // the timer token of closing on drains

/// What follows from the settings alone: how little of a host's traffic is this gateway's own, the shortest and the longest aim.
fn terms(settings: &Settings) -> (f64, (f64, f64)) {
    let aims = settings.classes.iter().filter(|c| !c.retired).map(|c| c.latency_objective.as_secs_f64());
    let aims = (aims.clone().fold(f64::INFINITY, f64::min), aims.fold(0.0, f64::max));
    ((1.0 - 1.0 / f64::from(settings.gateway_count.max(1))).powi(4), aims)
}

type Out<'a> = &'a mut Vec<Action>;

fn wake(after: f64, token: u64) -> Action {
    Action::SetTimer { after: Duration::from_secs_f64(after.max(0.0)), token }
}

/// A host as this gateway sees it.
#[derive(Clone, Debug, Default)]
struct Host {
    entry: api::Endpoint,
    started: f64,
    size: f64, // its weight against the mean of the ready hosts, where weights tell sizes
    detector: Cusum,
    e: f64,        // E as the pick uses it: aged, or the others' mean where nothing was heard
    out: Vec<f64>, // when the attempts out were sent, oldest first
    heard: f64,
    rests: f64, // until when a connection to it rests: one that served a moment ago
    failures: i32,
    served: f64,                            // when it last served anything
    ill: Vec<Ill>,                          // by class
    tokens: f64,                            // sends that it may get now; without end once it is warm
    cleared: f64,                           // its start, should it turn out that it has not started anew
    untold: bool,                           // taken for started, and discovery has not said so
    report: Option<(api::LoadReport, f64)>, // its last load report and when that was heard
    held: f64, // what it reports to hold and to serve a second, all gateways together
    qps: f64,
    nominal: f64, // the largest live weight that it was listed with: that of an idle one
}

/// Failures in a row of one class at one host: how many, the first and the last.
#[derive(Clone, Copy, Debug, Default)]
struct Ill {
    count: i32,
    served: f64,
    last: f64,
}

#[derive(Clone, Debug)]
struct Attempt {
    host: usize,
    group: u32, // its host's when it was sent, where the class has groups
    begun: f64, // when it was decided
    sent: f64,  // the same, or when its last byte had gone where its body comes in pieces
    out: bool,
    never_ran: bool,
}

#[derive(Clone, Debug)]
struct Request {
    class: usize,
    key: Option<u64>,
    work: f64,     // expected work, relative to the mean request
    hint: f64,     // what the client says of it, in seconds; 0 for nothing
    worth_by: f64, // after this nothing can be earned
    turn: f64, // when it may first be sent for its key's sake; without end while an earlier one has the turn
    coming: bool, // its body is on its way: it has an aim but no time yet
    spent: bool, // and some of it has left, so no other attempt can follow
    hold_by: f64, // while it comes, it is held for a host until then
    aim: f64,
    open: bool,
    limits: Limits,
    attempts: Vec<Attempt>,
}

/// What the settings that a request came under allow it, to its end.
#[derive(Clone, Copy, Debug)]
struct Limits {
    attempts: u32, // the most, and the most that may be out when another is made
    copies: usize,
    cancel: bool,
    key_rest: f64,
    keep_away: Duration,
}

impl Limits {
    fn of(set: &Settings) -> Limits {
        Limits {
            attempts: set.max_attempts,
            copies: usize::from(set.hedging_allowed),
            cancel: set.cancellation_allowed,
            key_rest: set.key_quiet_period.as_secs_f64(),
            keep_away: set.max_retry_after,
        }
    }
}

impl Request {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.out).count()
    }
}

/// The requests of one key that run one at a time, as taken: the first one has the turn, from `rested` on.
#[derive(Clone, Debug, Default)]
struct Turns {
    queue: VecDeque<u64>,
    rested: f64,
}

/// Events per second, as an average that fades.
#[derive(Clone, Debug, Default)]
struct Rate {
    count: f64,
    per_s: f64,
}

impl Rate {
    fn fold(&mut self, dt: f64, gain: f64) {
        self.per_s += gain * (std::mem::take(&mut self.count) / dt - self.per_s);
    }
}

/// What lasts of a raised E so long after the last sample: a shunned host gets none to undo it, so it is
/// tried again after a while, later with each failure in a row.
fn lasting(quiet: f64, longest_aim: f64, failures: i32) -> f64 {
    let rest = quiet / (RETEST * longest_aim * 2f64.powi(failures.min(4)));
    1.0 / (1.0 + rest * rest)
}

/// Lets a mean follow its samples; the first one sets it.
fn follow(mean: &mut f64, y: f64) {
    *mean += if *mean > 0.0 { SPREAD_GAIN * (y - *mean) } else { y };
}

/// What this gateway has measured of its own traffic.
#[derive(Clone, Debug, Default)]
struct Traffic {
    served: Rate, // requests let in that were served in time, and those that ended unserved
    lost: Rate,
    late: f64,  // how much of LATE is lost, at most 1
    crowd: f64, // requests held a core over all hosts, as listed, and what was out, over the same while
    meant: f64,
    warm: Rate,   // served by one warm host
    asked: Rate,  // first tries
    out: f64,     // requests with an attempt out
    ease: f64,    // how little hosts report to hold, from 0 to 1
    latency: f64, // mean latency of all requests and of each class, mean hint and mean worth
    class_latency: Vec<f64>,
    hint: f64,
    pace: f64, // quantile PACE of latency over hint
    worth: f64,
}

/// The last idle connection that a host ended: when, how long it had been idle, and the one before of another moment.
#[derive(Clone, Copy, Debug)]
struct Ended {
    host: EndpointId,
    at: f64,
    usual: f64,
    last: f64,
}

/// The decisions of one gateway: feed it events, carry out the actions.
#[derive(Clone, Debug)]
pub struct Balancer {
    set: Settings,
    many: f64, // how little of a host's traffic is this gateway's own: 0 alone, near 1 among many
    aims: (f64, f64), // the shortest and the longest aim, in seconds
    rng: fastrand::Rng,
    hosts: Vec<Host>,
    ready: Vec<usize>,
    mean: f64, // mean E of the ready hosts, each as if of mean size, and of those of each machine kind
    kinds: FxHashMap<u32, f64>,
    requests: FxHashMap<u64, Request>,
    turns: FxHashMap<u64, Turns>,
    traffic: Traffic,
    spare: f64, // retries and second copies that may be made now
    upkept: f64,
    age: f64,           // seconds since the first event
    listed: (f64, f64), // requests held a core, as the last list with live weights has it, and when that came
    asking: bool, // discovery: an answer is awaited; calls failed in a row, below 0 before the first list
    asks_failed: i32,
    asked: f64,    // when it was asked last
    ask_due: f64,  // when it is asked next; without end where no call is waited for
    closing: bool, // A timer for closing on drains is set
    ended: Ended,
}

impl Balancer {
    /// A gateway's decisions, from its settings and a seed of its own.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (many, aims) = terms(&settings);
        Balancer {
            many,
            aims,
            mean: FIRST_E * aims.0,
            traffic: Traffic { class_latency: vec![0.0; settings.classes.len()], ..Traffic::default() },
            set: settings,
            rng: fastrand::Rng::with_seed(seed),
            hosts: Vec::new(),
            ready: Vec::new(),
            kinds: FxHashMap::default(),
            requests: FxHashMap::default(),
            turns: FxHashMap::default(),
            spare: 1.0,
            upkept: f64::NEG_INFINITY,
            age: 0.0,
            listed: (0.0, f64::NEG_INFINITY),
            asking: false,
            asks_failed: -1,
            asked: 0.0,
            ask_due: f64::INFINITY,
            closing: false,
            ended: Ended { host: EndpointId(u32::MAX), at: f64::NEG_INFINITY, usual: 0.0, last: 0.0 },
        }
    }

    /// Goes on under other settings. What is known of hosts stays; what is open keeps its class and its limits, and a class
    /// that has another's number now starts from nothing.
    pub fn retune(&mut self, settings: Settings) {
        (self.many, self.aims) = terms(&settings);
        self.traffic.class_latency.resize(settings.classes.len(), 0.0);
        let same = |(a, b): (&api::RequestClass, &api::RequestClass)| {
            a == &api::RequestClass { retired: a.retired, ..b.clone() }
        };
        let both = self.set.classes.iter().zip(&settings.classes);
        for (n, _) in both.enumerate().filter(|(_, pair)| !same(*pair)) {
            self.traffic.class_latency[n] = 0.0;
            self.hosts.iter_mut().filter_map(|h| h.ill.get_mut(n)).for_each(|ill| *ill = Ill::default());
        }
        self.set = settings;
    }

    /// Takes an event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        let now = now.as_secs_f64();
        if now - self.upkept >= UPKEEP_S {
            self.upkeep(now);
        }
        match event {
            Event::EndpointList { is_snapshot: full, endpoints: hosts } => {
                self.learn(now, full, hosts, actions)
            }
            Event::DiscoveryFailed { silent_for: quiet } => {
                let quiet = if self.asking { now - self.asked } else { quiet.as_secs_f64() };
                self.ask_later(now, quiet, actions);
            }
            Event::DiscoveryChanged => self.ask_within(now, MOVED_S, actions),
            Event::Request(r) => self.arrive(now, &r, actions),
            // What follows is between the host and the client: the module is through with it.
            Event::ResponseStarted { request, attempt, latency } => {
                self.with(now, request, actions, |me, req, actions| {
                    req.open = false;
                    me.settle(now, req, attempt, Outcome::Served, latency.as_secs_f64(), actions);
                })
            }
            Event::BodyForwardingStarted { request } => {
                self.with(now, request, actions, |_, req, _| req.spent = true)
            }
            Event::BodyForwarded { request, client_deadline: give_up_at } => {
                self.with(now, request, actions, |me, req, actions| {
                    me.complete(now, request, req, give_up_at.as_secs_f64(), actions);
                })
            }
            Event::AttemptEnded { request, attempt, latency, outcome, request_ended: over } => {
                self.with(now, request, actions, |me, req, actions| {
                    req.open &= !over;
                    me.settle(now, req, attempt, outcome, latency.as_secs_f64(), actions);
                    if req.open && req.out() == 0 {
                        me.advance(now, request, req, actions);
                    }
                })
            }
            Event::ClientDisconnected { request } => {
                self.with(now, request, actions, |_, req, _| req.open = false)
            }
            // One that a sooner call has taken the place of.
            Event::Timer { token: ASK } if now + TIMER_GRAIN_S < self.ask_due => {}
            Event::Timer { token: ASK } => {
                (self.asking, self.asked, self.ask_due) = (true, now, f64::INFINITY);
                actions.push(Action::PollDiscovery);
            }
            Event::Timer { token: CLOSE } => {
                self.closing = false;
                self.close_draining(actions);
            }
            Event::Timer { token } => self.with(now, RequestId(token), actions, |me, req, actions| {
                if req.open {
                    me.advance(now, RequestId(token), req, actions);
                }
            }),
            Event::LoadReport { endpoint: host, report } => self.take_report(now, host, report),
            Event::IdleConnectionClosed { endpoint: host, idle, remaining: left } => {
                self.take_close(now, host, idle.as_secs_f64(), left)
            }
            Event::ProbeEnded { .. } => {}
        }
    }

    /// Runs `f` on a known request, and those of its key whose turn comes by that.
    fn with(&mut self, now: f64, id: RequestId, actions: Out, f: impl FnOnce(&mut Self, &mut Request, Out)) {
        let mut done = self.step(id, actions, f);
        while let Some(next) = done.and_then(|key| self.next_turn(key)) {
            let id = RequestId(next);
            done = self.step(id, actions, |me, req, actions| me.advance(now, id, req, actions));
        }
    }

    /// Runs `f` on a known request. Once that is over, what is out of it is called off; when the last outcome
    /// has come it is forgotten, and its key returned if it took turns.
    fn step(
        &mut self,
        id: RequestId,
        actions: Out,
        f: impl FnOnce(&mut Self, &mut Request, Out),
    ) -> Option<u64> {
        let mut req = self.requests.remove(&id.0)?;
        let open = req.open;
        f(self, &mut req, actions);
        if open && !req.open && req.limits.cancel {
            let out = (0u32..).zip(&req.attempts).filter(|(_, a)| a.out);
            actions.extend(out.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        }
        if req.open || req.out() > 0 {
            self.requests.insert(id.0, req);
            return None;
        }
        req.key.filter(|_| self.set.classes[req.class].sequential)
    }

    /// Gives the turn at a key to its first request that is not over; that one, if it had to wait until now.
    /// Each request leaves the queue once, so a long one costs no more per event.
    fn next_turn(&mut self, key: u64) -> Option<u64> {
        let turns = self.turns.get_mut(&key)?;
        while let Some(&id) = turns.queue.front() {
            if let Some(req) = self.requests.get_mut(&id) {
                let waited = req.turn == f64::INFINITY;
                req.turn = req.turn.min(turns.rested);
                return waited.then_some(id);
            }
            turns.queue.pop_front();
        }
        None
    }

    /// Idle connections to draining hosts are closed at once, and again while the drain lasts: one that an
    /// attempt called off still holds turns idle unseen.
    fn close_draining(&mut self, actions: Out) {
        let Some(within) = self.set.drain_close_within else { return };
        let (before, draining) = (actions.len(), |h: &&Host| h.entry.state == EndpointState::Draining);
        actions.extend(
            self.hosts.iter().filter(draining).map(|h| Action::CloseIdleConnections { endpoint: h.entry.id }),
        );
        if actions.len() > before && !std::mem::replace(&mut self.closing, true) {
            actions.push(wake(within.as_secs_f64() / 3.0, CLOSE));
        }
    }

    /// Asks discovery after a while, later with each failure in a row, but soon enough for what it may have had to tell since it
    /// fell `quiet`. The wait is spread from next to nothing, so that many gateways do not come together.
    fn ask_later(&mut self, now: f64, quiet: f64, actions: Out) {
        let Some(within) = self.set.discovery_poll_interval else { return };
        let most = within.as_secs_f64() * (0.1 * 2f64.powi(self.asks_failed.clamp(1, 3) + 1)).min(0.8);
        let most =
            if self.asks_failed < 0 { most } else { most.min((TOLD_S - ANSWER_S - quiet).max(SPREAD_S)) };
        self.asks_failed += 1;
        self.ask_due = f64::INFINITY;
        self.ask_within(now, most, actions);
    }

    /// Asks discovery at some moment of the next `most` seconds, or when it was to be asked, where that is sooner.
    fn ask_within(&mut self, now: f64, most: f64, actions: Out) {
        self.asking = false;
        let at = now + most * self.rng.f64();
        if self.set.discovery_poll_interval.is_some() && at < self.ask_due {
            self.ask_due = at;
            actions.push(wake(at - now, ASK));
        }
    }

    fn upkeep(&mut self, now: f64) {
        let dt = if self.upkept.is_finite() { (now - self.upkept).min(1.0) } else { 0.0 };
        (self.upkept, self.age) = (now, self.age + dt);
        let gain = |rate_s: f64| (1.0 - (-dt / rate_s).exp()).max(dt / self.age); // at first the plain mean
        let (mut warm, mut sum, mut heard, mean) = (0.0, 0.0, 0.0, self.mean);
        let (mut held, mut qps) = (0.0, 0.0);
        let mut kinds: FxHashMap<u32, (f64, f64)> = FxHashMap::default();
        // Where no warm host has served yet, as when nodes and gateways start together, each would be asked its part.
        let rate = match self.traffic.warm.per_s {
            served if served > 0.0 => served,
            _ => self.traffic.asked.per_s / self.ready.len().max(1) as f64,
        };
        for &i in &self.ready {
            let (warmth, prior) = (self.warmth(now, &self.hosts[i]), self.prior(&self.hosts[i]));
            let h = &mut self.hosts[i];
            // Tokens bound what a cold one gets, so that no queue forms there: a request takes about what it takes at
            // its kind's, while those of the warm ones grow.
            h.e = prior;
            // A kind that is slower when warm is slower when cold.
            let speed = (mean / prior).clamp(0.5, 2.0);
            // What falls over is sent overload_factor times what it can do. That many times what a warm one serves, at
            // the least warmth that the settings allow, is less: a warm one is not full, nor a cold one at its least.
            let share = self.set.overload_factor * if h.untold { knowledge::UNTOLD } else { 1.0 };
            h.tokens = (h.tokens + dt * share * speed * warmth * rate).min(1.0);
            if warmth >= 1.0 {
                (warm, h.tokens, h.untold) = (warm + 1.0, f64::INFINITY, false);
            }
            (held, qps) = (held + h.held, qps + h.qps);
            if h.detector.samples > 0 {
                h.e = h.detector.estimate();
                let excess = (h.e - prior).max(0.0);
                h.e -= excess * (1.0 - lasting(now - h.heard, self.aims.1, h.failures));
                (sum, heard) = (sum + h.e * h.size, heard + 1.0);
                let kind = kinds.entry(h.entry.kind).or_default();
                *kind = (kind.0 + h.e * h.size, kind.1 + 1.0);
            }
        }
        self.mean = if heard > 0.0 { sum / heard } else { self.mean };
        self.kinds.extend(kinds.into_iter().map(|(kind, (sum, heard))| (kind, sum / heard)));
        // By Little's law, what is held over what is served a second is the time that it takes.
        let takes = if qps > 0.0 { held / qps / self.aims.0 } else { f64::INFINITY };
        self.traffic.ease = self.many * ((CROWD - takes) / (CROWD - EASE)).clamp(0.0, 1.0);
        self.turns.retain(|_, t| !t.queue.is_empty() || t.rested > now);
        if dt > 0.0 {
            let t = &mut self.traffic;
            let long = (RATE_S / 2.0).max(ENOUGH / (t.served.per_s + t.lost.per_s).max(0.1));
            t.crowd += gain(CROWD_S) * (self.listed.0 - t.crowd);
            t.meant += gain(CROWD_S) * (t.out - t.meant);
            t.served.fold(dt, gain(long));
            t.lost.fold(dt, gain(long));
            t.asked.fold(dt, gain(RATE_S));
            t.late = (t.lost.per_s / (t.lost.per_s + t.served.per_s).max(1e-9) / LATE).min(1.0);
            if warm > 0.0 {
                t.warm.fold(dt * warm, gain(RATE_S));
            }
        }
    }

    /// The next step of an open request: a send, where nothing is out also a hold or the end.
    fn advance(&mut self, now: f64, id: RequestId, req: &mut Request, actions: Out) {
        let (idle, again) = (req.out() == 0, !req.attempts.is_empty());
        let cost = if again { [1.0, RETRY][usize::from(idle)] } else { 0.0 };
        let go = self.may_go_on(now, req) && self.spare >= cost;
        if idle && (now >= if req.coming { req.hold_by } else { req.worth_by } || !go) {
            return self.end(id, req, actions);
        }
        match (go && now >= req.turn).then(|| self.pick(now, req)).flatten() {
            // A second copy only goes where it is likely to be in time.
            Some(host) if idle || now + self.hosts[host].e * req.work < req.worth_by => {
                self.spare -= cost;
                self.send(now, id, req, host, actions);
            }
            None if idle => {
                let hold = if now < req.turn { req.turn - now } else { HOLD_S };
                actions.push(wake(hold.min(req.worth_by - now), id.0));
            }
            _ => {}
        }
    }

    /// Whether any attempt may still be made, by limits and effect; where to is for [`Self::may_send`].
    fn may_go_on(&self, now: f64, req: &Request) -> bool {
        let held = !req.spent && (!req.coming || req.out() == 0);
        held && (req.attempts.len() as u32) < req.limits.attempts
            && req.out() <= req.limits.copies
            && self.write_by(req).is_none_or(|by| now < by)
    }

    /// Until when another attempt may be written, where one before may have run: as long as its host's group knows the key, however
    /// late the write comes after the last look at the clock. A window that is no longer than that allows none.
    fn write_by(&self, req: &Request) -> Option<f64> {
        let known = match self.set.classes[req.class].idempotency {
            Idempotency::Idempotent => return None,
            Idempotency::IdempotencyKey { window, .. } => window.as_secs_f64() - HELD_UP_S,
            Idempotency::NotIdempotent => f64::NEG_INFINITY,
        };
        let ran = req.attempts.iter().filter(|a| !a.never_ran);
        ran.map(|a| a.begun + known).min_by(f64::total_cmp)
    }

    fn send(&mut self, now: f64, id: RequestId, req: &mut Request, host: usize, actions: Out) {
        let h = &mut self.hosts[host];
        // A body on its way keeps no host at work: it counts once it is complete.
        let sent = if req.coming { f64::INFINITY } else { now };
        if !req.coming {
            h.out.push(sent);
            self.traffic.out += f64::from(u8::from(req.out() == 0));
        }
        h.tokens -= 1.0;
        let e = if self.traffic.latency > 0.0 { h.e * req.work } else { req.worth_by - now }; // no blind copy
        let group = match self.set.classes[req.class].idempotency {
            Idempotency::IdempotencyKey { scope: group, .. } => group.partition_of(&h.entry),
            _ => 0,
        };
        let look = (COPY_AT * e).max(self.set.timer_tick.as_secs_f64());
        let write_by = self.write_by(req).map(|by| Duration::from_secs_f64(by.max(0.0)));
        req.attempts.push(Attempt { host, group, begun: now, sent, out: true, never_ran: false });
        let (host, until) = (EndpointId(host as u32), Duration::from_secs_f64(req.worth_by));
        actions.push(Action::Send { request: id, endpoint: host, deadline: until, write_by });
        if self.may_go_on(now, req) && now + look < req.worth_by {
            actions.push(wake(look, id.0));
        }
    }

    /// The last byte of a body that came in pieces has gone to its host: both have their time from now on.
    fn complete(&mut self, now: f64, id: RequestId, req: &mut Request, give_up: f64, actions: Out) {
        if !std::mem::take(&mut req.coming) {
            return;
        }
        req.worth_by = give_up.min(now + req.aim);
        for a in req.attempts.iter_mut().filter(|a| a.out) {
            self.hosts[a.host].out.push(now);
            self.traffic.out += 1.0; // there is one at the most
            a.sent = now;
        }
        let until = Duration::from_secs_f64(req.worth_by);
        actions.push(Action::SetAttemptDeadline { request: id, deadline: until });
    }

    /// Books the end of an attempt: what it proves of the request and what it tells of the host.
    fn settle(&mut self, now: f64, req: &mut Request, n: u32, how: Outcome, y: f64, actions: Out) {
        let (work, class, key_rest) = (req.work, req.class, req.limits.key_rest);
        let Some(a) = req.attempts.get_mut(n as usize).filter(|a| a.out) else { return };
        (a.out, a.never_ran) = (false, how.proves_not_processed());
        let (host, sent) = (a.host, a.sent);
        self.traffic.out -= f64::from(u8::from(req.out() == 0 && !req.coming));
        let (h, t) = (&mut self.hosts[host], &mut self.traffic);
        let _ = h.out.iter().position(|&t| t == sent).map(|at| h.out.remove(at));
        if h.entry.state == EndpointState::Draining && self.set.drain_close_within.is_some() {
            actions.push(Action::CloseIdleConnections { endpoint: h.entry.id });
        }
        // What may still be running keeps its key at rest.
        let rests = matches!(how, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if let Some(key) = req.key.filter(|_| rests && self.set.classes[class].sequential) {
            self.turns.entry(key).or_default().rested = now + key_rest;
        }
        h.ill.resize(self.set.classes.len(), Ill::default());
        match how {
            Outcome::Served => {
                (h.failures, h.served) = (0, now);
                h.rests = now + 0.5 * self.set.keep_alive.as_secs_f64();
                h.ill[class] = Ill { served: now, ..Ill::default() };
                t.served.count += f64::from(u8::from(now <= req.worth_by));
                t.warm.count += f64::from(u8::from(h.tokens.is_infinite()));
                follow(&mut t.class_latency[class], y);
                let quick = y / work <= QUICK * self.prior(&self.hosts[host]);
                let h = &mut self.hosts[host];
                if quick && !h.untold {
                    h.tokens = h.tokens.max((h.tokens + self.many).min(1.0));
                }
                self.clear(host, y / work);
                self.observe(now, host, y / work);
                follow(&mut self.traffic.latency, y);
                if req.hint > 0.0 {
                    let (pace, x) = (&mut self.traffic.pace, y / req.hint);
                    let step = PACE - f64::from(u8::from(x < *pace));
                    *pace = if *pace > 0.0 { *pace * (1.0 + PACE_GAIN * step) } else { x };
                }
            }
            Outcome::Cancelled if y / work > h.e => self.observe(now, host, y / work),
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => {
                let ill = &mut h.ill[class];
                // A host that has served others since this class began to fail is not to blame as a whole.
                if h.served > ill.served && !how.proves_not_processed() {
                    return (ill.count, ill.last) = (ill.count + 1, now);
                }
                h.failures += 1;
                self.observe(now, host, self.set.classes[class].latency_objective.as_secs_f64().max(y));
            }
        }
    }

    /// The one way to end a request: refused where that is true, failed otherwise.
    fn end(&mut self, id: RequestId, req: &mut Request, actions: Out) {
        let harmless = match self.set.classes[req.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: api::KeyScope::All, .. } => true,
            _ => req.attempts.iter().all(|a| a.never_ran),
        };
        req.open = false;
        self.traffic.lost.count += 1.0;
        actions.push(if harmless {
            Action::Reject { request: id, retry_after: req.limits.keep_away }
        } else {
            Action::Fail { request: id }
        });
    }
}
