//! An independent checker of the four rules and of the two further ones, and legal event sequences from fixed seeds. No server is modelled:
//! outcomes are drawn at random from what could happen.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use weldworks_balancer::*;

/// A gateway may be held up for so long between reading its clock and writing.
pub const HELD_UP: Duration = Duration::from_millis(150);
pub const HOSTS: u32 = 12;
pub const COLD_S: f64 = 20.0;

pub fn settings() -> Settings {
    let ms = Duration::from_millis;
    let class = |effect| RequestClass { idempotency: effect, ..RequestClass::new(ms(300), ms(1200)) };
    let keyed = |group| Idempotency::IdempotencyKey { scope: group, window: ms(500) };
    Settings {
        gateway_count: 4,
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed(KeyScope::All)),
            class(keyed(KeyScope::Zone)),
            class(keyed(KeyScope::Cell)),
            class(Idempotency::NotIdempotent),
            RequestClass { late_value_fraction: 0.3, ..class(Idempotency::NotIdempotent) },
        ],
        max_attempts: 4,
        slow_start_min_capacity: 0.15,
        slow_start_duration: Duration::from_secs_f64(COLD_S),
        ..Settings::default()
    }
}

/// The same, with the further rules on: one class of each effect takes turns, drains close connections.
pub fn further() -> Settings {
    let mut set = settings();
    for class in [0, 2, 4] {
        set.classes[class].sequential = true;
    }
    let (key_rest, release_within) = (Duration::from_millis(50), Some(Duration::from_millis(400)));
    Settings { key_quiet_period: key_rest, drain_close_within: release_within, ..set }
}

#[derive(Clone)]
pub struct Sent {
    /// The host as it was listed then.
    pub entry: Endpoint,
    pub host: u32,
    pub at: Duration,
    pub outcome: Option<Outcome>,
    /// When the outcome came.
    pub ended: Duration,
}

pub struct Open {
    pub class: usize,
    pub key: Option<u64>,
    pub give_up: Duration,
    pub sent: Vec<Sent>,
    pub over: bool,
    pub answered: u32,
}

/// What a run did, as the checker saw it.
#[derive(Default)]
pub struct Seen {
    pub broken: BTreeSet<&'static str>,
    pub sends: u64,
    pub repeats: u64,
    pub refused: u64,
    pub failed: u64,
    pub cold_sends: u64,
    pub closed: u64,
    pub log: Vec<(Duration, Action)>,
}

/// Checks actions against the rules as the page states them; it knows nothing of how they were chosen.
pub struct Checker {
    pub settings: Settings,
    pub hosts: BTreeMap<u32, Endpoint>,
    pub requests: BTreeMap<u64, Open>,
    /// Per draining host: when its idle connections became due for closing.
    pub unclosed: BTreeMap<u32, Duration>,
    pub timers: Vec<(Duration, u64)>,
    pub seen: Seen,
}

impl Checker {
    pub fn new(settings: Settings) -> Self {
        let (hosts, requests) = (BTreeMap::new(), BTreeMap::new());
        let (unclosed, timers, seen) = (BTreeMap::new(), Vec::new(), Seen::default());
        Checker { settings, hosts, requests, unclosed, timers, seen }
    }

    /// Host news: a drain starts the time for closing; a host that is back or gone has none.
    pub fn learn(&mut self, now: Duration, host: &Endpoint) {
        let before = self.hosts.insert(host.id.0, host.clone()).map(|h| h.state);
        if host.state != EndpointState::Draining {
            self.unclosed.remove(&host.id.0);
        } else if before != Some(EndpointState::Draining) {
            self.unclosed.insert(host.id.0, now);
        }
    }

    /// A send or outcome at a host: while it drains, its connections are due for closing anew.
    pub fn used(&mut self, now: Duration, host: u32) {
        if self.hosts[&host].state == EndpointState::Draining {
            self.unclosed.insert(host, now);
        }
    }

    /// What time alone breaks.
    pub fn look(&mut self, now: Duration) {
        for req in self.requests.values() {
            if !req.over && now > req.give_up + Duration::from_millis(20) {
                self.seen.broken.insert("not answered in time");
            }
        }
        if let Some(within) = self.settings.drain_close_within {
            if self.unclosed.values().any(|&since| now > since + within) {
                self.seen.broken.insert("left connections to a draining host open");
            }
        }
    }

    /// Whether a request of this key taken before `id` is not over, still has an attempt out, or rests.
    fn out_of_turn(&self, now: Duration, id: u64) -> bool {
        let turns = |r: &Open| r.key.filter(|_| self.settings.classes[r.class].sequential);
        let req = &self.requests[&id];
        let rests = |s: &Sent| match s.outcome {
            None => true,
            Some(Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) => {
                now < s.ended + self.settings.key_quiet_period
            }
            Some(_) => false,
        };
        let Some(key) = turns(req) else { return false };
        let earlier = self.requests.range(..id).map(|(_, r)| r).filter(|r| turns(r) == Some(key));
        earlier.into_iter().any(|r| !r.over || (req.sent.is_empty() && r.sent.iter().any(rests)))
    }

    fn may_have_run(s: &Sent) -> bool {
        !matches!(s.outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent))
    }

    pub fn take(&mut self, now: Duration, actions: &[Action]) {
        for action in actions {
            self.seen.log.push((now, action.clone()));
            match action {
                Action::Send { request, endpoint: host, deadline: until, write_by } => {
                    self.send(now, request.0, host.0, *until, *write_by)
                }
                Action::Reject { request, .. } => {
                    let req = self.requests.get_mut(&request.0).expect("refused a known request");
                    let effect = self.settings.classes[req.class].idempotency;
                    let harmless = matches!(
                        effect,
                        Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
                    );
                    if !harmless && req.sent.iter().any(Self::may_have_run) {
                        self.seen.broken.insert("refused what may have run");
                    }
                    self.seen.refused += 1;
                    self.answer(request.0);
                }
                Action::Fail { request } => {
                    self.seen.failed += 1;
                    self.answer(request.0);
                }
                Action::SetTimer { after, token } => self.timers.push((now + *after, *token)),
                Action::Cancel { request, attempt } => {
                    assert!(self.requests[&request.0].sent.get(*attempt as usize).is_some());
                }
                Action::CloseIdleConnections { endpoint: host } => {
                    self.unclosed.remove(&host.0);
                    self.seen.closed += 1;
                }
                Action::Probe { .. } | Action::PollDiscovery | Action::SetAttemptDeadline { .. } => {}
            }
        }
    }

    fn answer(&mut self, id: u64) {
        let req = self.requests.get_mut(&id).expect("answered a known request");
        if req.over {
            self.seen.broken.insert("answered twice");
        }
        (req.over, req.answered) = (true, req.answered + 1);
    }

    fn send(&mut self, now: Duration, id: u64, host: u32, until: Duration, write_by: Option<Duration>) {
        let entry = self.hosts.get(&host).expect("sent to a listed host").clone();
        let out_of_turn = self.out_of_turn(now, id);
        self.used(now, host);
        let req = self.requests.get_mut(&id).expect("sent a known request");
        let broken = &mut self.seen.broken;
        let mut rule = |bad: bool, name| {
            if bad {
                broken.insert(name);
            }
        };
        rule(req.over, "sent after the end");
        rule(out_of_turn, "sent out of turn");
        rule(entry.state != EndpointState::Up, "sent to a host that drains or is gone");
        rule(until > req.give_up, "sent beyond the client's time");
        rule(req.sent.len() as u32 >= self.settings.max_attempts, "too many attempts");
        let out = req.sent.iter().filter(|s| s.outcome.is_none()).count();
        rule(out > usize::from(self.settings.hedging_allowed), "too many attempts out at once");
        let mut known_until = None;
        for earlier in req.sent.iter().filter(|s| Self::may_have_run(s)) {
            let first = &earlier.entry; // as it was listed then: that is whom it told of the key
            match self.settings.classes[req.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => rule(true, "ran an unsafe request twice"),
                Idempotency::IdempotencyKey { scope: group, window } => {
                    let until = (earlier.at + window).saturating_sub(HELD_UP);
                    known_until = known_until.into_iter().chain([until]).min();
                    rule(now >= until, "repeated a key after its window");
                    rule(
                        group == KeyScope::Zone && first.zone != entry.zone,
                        "repeated a key outside its zone",
                    );
                    rule(
                        group == KeyScope::Cell && first.cell != entry.cell,
                        "repeated a key outside its cell",
                    );
                }
            }
        }
        let apart = |a: Duration, b: Duration| a.abs_diff(b) > Duration::from_micros(1);
        let wrong = match (write_by, known_until) {
            (Some(by), Some(until)) => apart(by, until),
            (by, until) => by.is_some() != until.is_some(),
        };
        rule(wrong, "may be written at another time than hosts know its key");
        self.seen.repeats += u64::from(!req.sent.is_empty());
        self.seen.sends += 1;
        let cold = entry.started.is_some_and(|s| now < s + self.settings.slow_start_duration);
        self.seen.cold_sends += u64::from(cold);
        req.sent.push(Sent { host, entry, at: now, outcome: None, ended: now });
    }
}

/// Plays `steps` legal events from a seed against a balancer and returns what the checker saw.
pub struct Play {
    pub rng: fastrand::Rng,
    pub check: Checker,
    pub balancer: Balancer,
    pub now: Duration,
    next: u64,
    pending: Vec<(Duration, u64, u32)>,
}

impl Play {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut play = Play {
            rng: fastrand::Rng::with_seed(seed),
            check: Checker::new(settings.clone()),
            balancer: Balancer::new(settings, seed ^ 77),
            now: Duration::from_secs(1000),
            next: 0,
            pending: Vec::new(),
        };
        let list: Vec<Endpoint> = (0..HOSTS).map(|i| host(i, None)).collect();
        play.news(true, &list);
        play
    }

    pub fn news(&mut self, full: bool, list: &[Endpoint]) {
        if full {
            let gone: Vec<Endpoint> = self.check.hosts.values().cloned().collect();
            for h in gone.into_iter().filter(|h| list.iter().all(|l| l.id != h.id)) {
                self.check.learn(self.now, &Endpoint { state: EndpointState::Removed, ..h });
            }
        }
        for h in list {
            self.check.learn(self.now, h);
        }
        self.give(Event::EndpointList { is_snapshot: full, endpoints: list });
    }

    pub fn give(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for a in &actions {
            if let Action::Send { request, deadline: until, .. } = a {
                let n = self.check.requests[&request.0].sent.len() as u32;
                let ends = self.now + Duration::from_micros(self.rng.u64(500..180_000));
                let sends =
                    actions.iter().filter(|b| matches!(b, Action::Send { request: r, .. } if r == request));
                assert_eq!(sends.count(), 1, "one send of a request at a time");
                self.pending.push((ends.min(*until), request.0, n));
            }
        }
        self.check.take(self.now, &actions);
    }

    pub fn request(&mut self, class: usize) {
        self.next += 1;
        let give_up = self.now + Duration::from_millis(self.rng.u64(150..900));
        let key = Some(self.rng.u64(0..40)).filter(|&k| k > 0);
        let req = Open { class, key, give_up, sent: Vec::new(), over: false, answered: 0 };
        self.check.requests.insert(self.next, req);
        let mut r = Request::new(RequestId(self.next), class, give_up);
        r.key = key;
        self.give(Event::Request(r));
    }

    /// Moves the clock on by a tick and delivers what is due.
    pub fn tick(&mut self) {
        self.now += Duration::from_millis(5);
        let now = self.now;
        let due: Vec<_> = self.pending.iter().filter(|p| p.0 <= now).copied().collect();
        self.pending.retain(|p| p.0 > now);
        for (_, id, attempt) in due {
            let outcome = match self.rng.u32(0..12) {
                0 => Outcome::Error,
                1 => Outcome::Rejected,
                2 => Outcome::NoConnection,
                3 => Outcome::Reset,
                4 => Outcome::TimedOut,
                _ => Outcome::Served,
            };
            let req = self.check.requests.get_mut(&id).unwrap();
            let sent = &mut req.sent[attempt as usize];
            (sent.outcome, sent.ended) = (Some(outcome), now);
            let (latency, host) = (now - sent.at, sent.host);
            if outcome == Outcome::Served && !req.over {
                (req.over, req.answered) = (true, 1);
            }
            let over = req.over;
            self.check.used(now, host);
            let request = RequestId(id);
            self.give(Event::AttemptEnded { request, attempt, latency, outcome, request_ended: over });
        }
        let due: Vec<_> = self.check.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
        self.check.timers.retain(|t| t.0 > now);
        for token in due {
            self.give(Event::Timer { token });
        }
        self.check.look(now);
    }

    /// A random legal day: traffic of all classes, hosts that drain, leave, come back cold.
    pub fn day(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.tick();
            for _ in 0..self.rng.u32(0..3) {
                let class = self.rng.usize(0..self.check.settings.classes.len());
                self.request(class);
            }
            if self.rng.u32(0..60) == 0 {
                let (host, left) = (EndpointId(self.rng.u32(0..HOSTS + 2)), self.rng.usize(0..2));
                let idle = Duration::from_millis(self.rng.u64(0..5000));
                self.give(Event::IdleConnectionClosed { endpoint: host, idle, remaining: left });
            }
            if self.rng.u32(0..150) == 0 {
                let i = self.rng.u32(0..HOSTS);
                let mut h = self.check.hosts[&i].clone();
                h.state = match h.state {
                    EndpointState::Up => EndpointState::Draining,
                    EndpointState::Draining => EndpointState::Removed,
                    EndpointState::Removed => EndpointState::Up,
                };
                if h.state == EndpointState::Up {
                    h.started = Some(self.now);
                }
                self.news(false, &[h]);
            }
        }
        for _ in 0..300 {
            self.tick();
        }
    }
}

pub fn host(i: u32, started: Option<Duration>) -> Endpoint {
    Endpoint { zone: i % 2, cell: i / 3, started, ..Endpoint::new(EndpointId(i), &format!("10.0.0.{i}:80")) }
}

/// One module, told one thing after another.
pub struct Bench {
    pub b: Balancer,
    pub now: Duration,
    pub id: u64,
    pub last: Vec<Action>,
}

impl Bench {
    pub fn new(settings: Settings, hosts: u32) -> Self {
        Bench::seeded(settings, hosts, 1)
    }

    pub fn seeded(settings: Settings, hosts: u32, seed: u64) -> Self {
        let mut bench =
            Bench { b: Balancer::new(settings, seed), now: Duration::from_secs(5), id: 0, last: vec![] };
        let list: Vec<Endpoint> = (0..hosts).map(|i| Endpoint { zone: 0, ..host(i, None) }).collect();
        bench.give(Event::EndpointList { is_snapshot: true, endpoints: &list });
        bench
    }

    pub fn give(&mut self, event: Event<'_>) {
        self.last.clear();
        self.b.handle(self.now, event, &mut self.last);
    }

    /// A new request; the host it was sent to, if any.
    pub fn request(&mut self, class: usize, key: Option<u64>) -> Option<u32> {
        self.id += 1;
        let mut r = Request::new(RequestId(self.id), class, self.now + Duration::from_secs(1));
        r.key = key;
        self.give(Event::Request(r));
        self.sent_to()
    }

    pub fn sent_to(&self) -> Option<u32> {
        self.last.iter().find_map(|a| {
            if let Action::Send { endpoint: host, .. } = a {
                Some(host.0)
            } else {
                None
            }
        })
    }

    pub fn outcome(&mut self, id: u64, attempt: u32, latency: Duration, outcome: Outcome) {
        let over = outcome == Outcome::Served;
        let request = RequestId(id);
        self.give(Event::AttemptEnded { request, attempt, latency, outcome, request_ended: over });
    }

    /// `n` requests one after another, each host taking its own time.
    pub fn serve(&mut self, n: u32, ms: impl Fn(u32) -> u64) -> Vec<u32> {
        let mut counts = vec![0; 64];
        for _ in 0..n {
            let host = self.request(0, None).expect("a host is ready");
            counts[host as usize] += 1;
            let took = Duration::from_millis(ms(host));
            self.now += took;
            self.outcome(self.id, 0, took, Outcome::Served);
        }
        counts
    }
}
