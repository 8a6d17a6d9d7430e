//! The sole owner of the decisions, the request table and the timers: events in, actions carried out, outcomes
//! told. What to do with a request is decided by [`Balancer`] alone.

pub mod messages;

use crate::discovery::list::{Endpoint, Fault, List, Status};
use crate::discovery::watch::watch;
use crate::exchange::{Forward, Payload};
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::names::Names;
use crate::presence::Presence;
use crate::upstream::{Attempt, End, Host, Pool, Stage, Until};
use hyper::header::HeaderValue;
use hyper::StatusCode;
use messages::{Arrival, Final, Handle, Message, Retune};
use ottervane::{Action, Balancer, Event, HostId, HostState, LoadReport, Outcome, RequestId, Settings};
use ottervane_control::bodies::Passage;
use ottervane_control::classes::Kept;
use ottervane_control::host_start::{self, Evidence};
use ottervane_control::rewatch::{self, Rewatch};
use ottervane_control::storm::{Answered, Arriving, Storm, StormSettings, Terms};
use ottervane_fleet::audit::Kind;
use ottervane_fleet::wire::Gone;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, Instant};
use tracing::{debug, error, info, warn};

/// So many faults of one list are told, each with its entry.
const FAULTS_TOLD: usize = 3;

/// The figures of the hosts are taken this often; they may be half a second late.
const FIGURES: Duration = Duration::from_millis(250);

/// A wall clock may be off by an hour. What starts later than that by it is no start.
const WALL_CLOCK_OFF: Duration = Duration::from_secs(2 * 3600);

/// What the starts of hosts in one list are dated by.
struct Starts {
    now: Duration,
    /// The newest start of all, in Unix milliseconds.
    newest_ms: u64,
    /// When discovery had last spoken before this list.
    heard_before: Option<Duration>,
}

/// A request that is open or has an attempt out.
struct Entry {
    number: HeaderValue,
    identity: Option<u64>,
    forward: Rc<Forward>,
    answer: Option<oneshot::Sender<Final>>,
    client: Rc<Presence>,
    arrived: Instant,
    give_up: Instant,
    attempts: Vec<(Rc<Host>, Rc<Notify>, Rc<Until>)>,
    out: u32,
    last: Outcome,
    class: usize,
    _class: Rc<Kept>,
}

impl Entry {
    /// Gives the final answer, unless it was given. No attempt goes out from here on.
    fn finish(&mut self, answer: Final) {
        self.client.end();
        if let Some(sender) = self.answer.take() {
            let _ = sender.send(answer); // a client that has gone wants none
        }
    }
}

/// What tells a request from the others: its client's retry is about the same subject.
fn identity(request: &ottervane::Request) -> Option<u64> {
    let place = (request.class as u64) << 32 | request.tenant as u64;
    request.key.map(|key| ottervane::mix(key) ^ ottervane::mix(place))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u64),
    Backstop(RequestId),
    Watch,
    Figures,
}

/// Reports how an attempt ended, also where its task panics: the request may have run by then.
struct Report {
    gateway: Handle,
    request: RequestId,
    attempt: u32,
    /// When it was sent, or the last byte of a body that came in pieces.
    sent: Cell<Instant>,
    /// When it was decided.
    decided: Instant,
    patience: Duration,
    end: End,
}

impl Report {
    /// Tells what becomes of the attempt on its way.
    fn stage(&self, stage: Stage) {
        let (request, attempt) = (self.request, self.attempt);
        self.gateway.tell(match stage {
            Stage::Spent => Message::Spent(request),
            Stage::Complete { came } => {
                self.sent.set(Instant::now());
                Message::Complete { request, give_up: came + self.patience }
            }
            Stage::Started { answer, first, load } => {
                let latency = first.saturating_duration_since(self.sent.get());
                Message::Started { request, attempt, latency, answer: *answer, load }
            }
        });
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        let (request, attempt, sent) = (self.request, self.attempt, self.sent.get());
        let (outcome, answer, load) = (self.end.outcome, self.end.answer.take(), self.end.load);
        let written = self.end.written.map(|at| at.saturating_duration_since(self.decided));
        self.gateway.tell(Message::Ended { request, attempt, sent, outcome, answer, load, written });
    }
}

/// A gateway.
pub struct Gateway {
    balancer: Balancer,
    settings: Settings,
    seed: u64,
    names: Names,
    pool: Rc<Pool>,
    discovery: SocketAddr,
    version: u64,
    /// What was wrong with the list before.
    faults: Vec<Fault>,
    watch: u64,
    watching: Option<JoinHandle<()>>,
    rewatch: Rewatch,
    hosts: Vec<Rc<Host>>,
    listed: Vec<ottervane::Host>,
    /// When each last started, as discovery dates it; 0 for long ago.
    since_ms: Vec<u64>,
    host_ids: FxHashMap<String, HostId>,
    free_ids: Vec<HostId>,
    requests: FxHashMap<RequestId, Entry>,
    numbers: FxHashSet<HeaderValue>,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    messages: mpsc::UnboundedReceiver<Message>,
    handle: Handle,
    storm: Option<Storm>,
    storms: Option<StormSettings>,
    figures: Option<Rc<Figures>>,
    fleet: Option<Rc<Fleet>>,
}

impl Gateway {
    /// A gateway that knows no host yet, and the way to tell it things.
    pub fn new(
        settings: Settings,
        seed: u64,
        names: Names,
        pool: Rc<Pool>,
        discovery: SocketAddr,
    ) -> (Gateway, Handle) {
        let (handle, messages) = Handle::new();
        let gateway = Gateway {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            seed,
            names,
            pool,
            discovery,
            version: 0,
            faults: Vec::new(),
            watch: 0,
            watching: None,
            rewatch: Rewatch::default(),
            hosts: Vec::new(),
            listed: Vec::new(),
            since_ms: Vec::new(),
            host_ids: FxHashMap::default(),
            free_ids: Vec::new(),
            requests: FxHashMap::default(),
            numbers: FxHashSet::default(),
            timers: BinaryHeap::new(),
            messages,
            handle: handle.clone(),
            storm: None,
            storms: None,
            figures: None,
            fleet: None,
        };
        (gateway, handle)
    }

    /// Switches storm control on.
    pub fn control_storms(&mut self, storms: StormSettings) {
        let set = &self.settings;
        let terms = Terms {
            cold_from: set.cold_from,
            cold_for: set.cold_for,
            most: set.max_keep_away,
            quotas: &set.quotas,
            gateways: set.gateways,
        };
        let storm = Storm::new(storms, terms, self.seed);
        (self.storm, self.storms) = (Some(storm), Some(storms));
        self.handle.count_connections();
    }

    /// Makes it part of a fleet.
    pub fn join(&mut self, fleet: Rc<Fleet>) {
        self.fleet = Some(fleet);
    }

    /// Books a decision about a request, where there are books.
    fn book(&self, kind: Kind, id: RequestId, host: Option<HostId>) {
        let Some((fleet, entry)) = self.fleet.as_ref().zip(self.requests.get(&id)) else { return };
        fleet.book(kind, entry.class, entry.number.to_str().unwrap_or_default(), host);
    }

    /// Refuses what a gateway that is shut out may not take in.
    fn turned_away(&self, arrival: &Arrival) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| {
            let away = !fleet.takes_clients();
            if away {
                let number = arrival.number.to_str().unwrap_or_default();
                fleet.book(Kind::Refuse, arrival.request.class, number, None);
            }
            away
        })
    }

    /// Has the figures of the hosts kept.
    pub fn keep_figures(&mut self, figures: Rc<Figures>) {
        self.figures = Some(figures);
        self.timers.push(Reverse((Instant::now(), Timer::Figures)));
    }

    fn note_hosts(&mut self) {
        let Some(figures) = &self.figures else { return };
        let listed = self.listed.iter().filter(|h| h.state != HostState::Removed).count();
        let avoided = self.balancer.avoided(self.handle.time(Instant::now()));
        figures.cluster_size.set(listed as u64);
        figures.cluster_unhealthy.set(avoided as u64);
        self.timers.push(Reverse((Instant::now() + FIGURES, Timer::Figures)));
    }

    /// What storm control allows a request.
    fn allowance(&mut self, request: &ottervane::Request) -> f64 {
        let Some(storm) = &mut self.storm else { return 1.0 };
        let worths = self.settings.classes.iter().map(|c| c.worth);
        let mean = worths.sum::<f64>() / self.settings.classes.len().max(1) as f64;
        let worth = self.settings.classes.get(request.class).map_or(1.0, |c| c.worth / mean.max(1e-9));
        let (repeat, tenant) = (request.repeat, request.tenant);
        let arriving = Arriving { repeat, identity: identity(request), worth, tenant };
        let part = storm.arrive(self.handle.time(Instant::now()), arriving).part;
        self.tell_storm();
        part
    }

    /// Tells storm control how a request was answered; gives the answer with the advice that goes with it.
    fn weather(&mut self, identity: Option<u64>, answer: Final) -> Final {
        let Some(storm) = &mut self.storm else { return answer };
        let now = self.handle.time(Instant::now());
        let answer = match answer {
            Final::Served(_) => {
                storm.answered(now, Answered::Served);
                answer
            }
            Final::Failed(_) => {
                storm.answered(now, Answered::Failed);
                answer
            }
            Final::Refused { keep_away } => {
                storm.answered(now, Answered::Refused);
                Final::Refused { keep_away: storm.refuse(now, identity, keep_away) }
            }
        };
        self.tell_storm();
        answer
    }

    fn tell_storm(&mut self) {
        if let Some(change) = self.storm.as_mut().and_then(Storm::take_change) {
            info!("{change}");
        }
    }

    /// Whether host news come unasked. Then the watch is the gateway's own affair: the module asks only where asking
    /// has a price.
    fn pushed(&self) -> bool {
        self.settings.ask_within.is_none()
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        if self.pushed() {
            self.subscribe();
        }
        loop {
            let next = self.timers.peek().map(|Reverse((at, _))| *at);
            let timer = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                message = self.messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = timer => {}
            }
            self.fire();
        }
    }

    fn fire(&mut self) {
        let now = Instant::now();
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            match self.timers.pop() {
                Some(Reverse((_, Timer::Module(token)))) => self.decide(Event::Timer { token }),
                Some(Reverse((_, Timer::Backstop(id)))) => self.backstop(id),
                // Another discovery may have been turned to meanwhile.
                Some(Reverse((_, Timer::Watch))) if self.watching.is_none() => self.subscribe(),
                Some(Reverse((_, Timer::Watch))) => {}
                Some(Reverse((_, Timer::Figures))) => self.note_hosts(),
                None => {}
            }
        }
    }

    /// Answers what the module has left unanswered until the last moment.
    fn backstop(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|e| e.answer.is_some()) {
            self.answer(id, Final::Failed(StatusCode::GATEWAY_TIMEOUT));
            self.abandon(id);
        }
    }

    /// Tells the module that a request is over without its doing.
    fn abandon(&mut self, id: RequestId) {
        self.decide(Event::Abandoned { request: id });
        self.forget_if_done(id);
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Connected => {
                if let Some(storm) = &mut self.storm {
                    storm.connected(self.handle.time(Instant::now()));
                }
            }
            Message::Arrived(arrival) if self.turned_away(&arrival) => {
                arrival.client.end();
                let advised = self.fleet.as_ref().map_or(Duration::ZERO, |fleet| fleet.keep_away());
                let keep_away = advised.min(self.settings.max_keep_away);
                let _ = arrival.answer.send(Final::Refused { keep_away }); // a client that has gone wants none
            }
            Message::Arrived(arrival) => {
                let Arrival { mut request, number, forward, class, answer, client } = *arrival;
                if !self.numbers.insert(number.clone()) {
                    // A host could not tell it from a second copy of the request that has this number.
                    client.end();
                    let _ = answer.send(Final::Failed(StatusCode::CONFLICT)); // a client that has gone wants none
                    return;
                }
                let give_up = self.handle.instant(request.give_up_at);
                request.allowance = self.allowance(&request);
                let identity = identity(&request);
                let (forward, answer) = (Rc::new(forward), Some(answer));
                let (attempts, out, last) = (Vec::new(), 0, Outcome::NotSent);
                let (arrived, place) = (Instant::now(), request.class);
                debug!(
                    request = request.id.0, number = number.to_str().unwrap_or_default(), class = class.name,
                    effect = ?class.class.effect, repeat = request.repeat, "arrived"
                );
                self.timers.push(Reverse((give_up, Timer::Backstop(request.id))));
                let id = request.id;
                let _class = class;
                let entry = Entry {
                    number,
                    identity,
                    forward,
                    answer,
                    client,
                    arrived,
                    give_up,
                    attempts,
                    out,
                    last,
                    class: place,
                    _class,
                };
                self.requests.insert(id, entry);
                self.decide(Event::Request(request));
                self.forget_if_done(id);
            }
            Message::Gone(id) => {
                if let Some(entry) = self.requests.get_mut(&id) {
                    entry.client.end();
                    entry.answer = None;
                    self.abandon(id);
                }
            }
            Message::Ended { request, attempt, sent, outcome, answer, load, written } => {
                let Some(entry) = self.requests.get_mut(&request) else { return };
                entry.out -= 1;
                entry.last = outcome;
                // A number may have gone to another host meanwhile, which said nothing.
                let host = entry.attempts.get(attempt as usize).map(|(host, ..)| host.clone());
                self.book_load(host, load);
                if let Some(answer) = answer {
                    self.answer(request, Final::Served(answer));
                }
                let Some(entry) = self.requests.get(&request) else { return };
                let (latency, over) = (sent.elapsed(), entry.answer.is_none());
                let to = entry.attempts.get(attempt as usize).and_then(|(h, ..)| h.address.get());
                debug!(
                    request = request.0, attempt, host = to.map(tracing::field::display),
                    ms = latency.as_millis() as u64, written_us = written.map(|w| w.as_micros() as u64), how = ?outcome, "ended"
                );
                self.decide(Event::Outcome { request, attempt, latency, outcome, over });
                self.forget_if_done(request);
            }
            Message::Spent(request) => self.decide(Event::Spent { request }),
            Message::Complete { request, give_up } => {
                let Some(entry) = self.requests.get_mut(&request) else { return };
                // A stop that has come meanwhile has its own end.
                let give_up = self.handle.answers_by().map_or(give_up, |by| give_up.min(by));
                entry.give_up = give_up;
                self.timers.push(Reverse((give_up, Timer::Backstop(request))));
                let give_up_at = self.handle.time(give_up);
                self.decide(Event::Complete { request, give_up_at });
            }
            Message::Started { request, attempt, latency, answer, load } => {
                let Some(entry) = self.requests.get(&request) else { return };
                let host = entry.attempts.get(attempt as usize).map(|(host, ..)| host.clone());
                self.book_load(host, load);
                self.answer(request, Final::Served(answer));
                debug!(request = request.0, attempt, ms = latency.as_millis() as u64, "started");
                self.decide(Event::Started { request, attempt, latency });
            }
            // A number may have gone to another host meanwhile, which ended nothing.
            Message::Closed { host, address, idle, left } => {
                if self.hosts.get(host.0 as usize).is_some_and(|h| h.address.get() == Some(address)) {
                    self.decide(Event::Closed { host, idle, left });
                }
            }
            // What a watch said before it was ended may wait here still: it is no news of the present discovery.
            Message::Hosts { watch, list, heard_before } if watch == self.watch => {
                self.handle.note_heard();
                if let Some(silent) = self.rewatch.heard(self.handle.time(Instant::now())) {
                    info!(address = %self.discovery, after = ?silent, "discovery: news are pushed again");
                }
                self.learn_after(heard_before, list);
            }
            Message::DiscoveryFailed { watch, why, quiet } if watch == self.watch => {
                self.watch_failed(&why, quiet)
            }
            Message::Hosts { .. } | Message::DiscoveryFailed { .. } => {}
            Message::Recall(memory) => {
                let taken = self.balancer.recall(self.handle.time(Instant::now()), &memory);
                info!(hosts = memory.hosts.len(), taken, "going on from what the process before knew");
            }
            // Who asked may have been told to stop.
            Message::Remember(answer) => drop(answer.send(self.balancer.memory())),
            Message::Retune(retune) => self.retune(*retune),
            Message::Stopping => self.hasten(),
            Message::Behind { current } => self.catch_up(current),
            Message::Told(gone) => self.turn_from(&gone),
        }
    }

    /// Holds what is open to the latest moment for any answer. The longest deadline of the file in force sets that, and what came
    /// under an older file may have a longer one.
    fn hasten(&mut self) {
        let Some(by) = self.handle.answers_by() else { return };
        for (id, entry) in self.requests.iter_mut().filter(|(_, entry)| entry.give_up > by) {
            // A body that still comes is not taken yet, and gets its time with its last byte.
            if matches!(&entry.forward.body, Payload::Coming(upload) if upload.passage() != Passage::Complete)
            {
                continue;
            }
            entry.give_up = by;
            entry.attempts.iter().for_each(|(.., until)| until.hasten(by));
            self.timers.push(Reverse((by, Timer::Backstop(*id))));
        }
    }

    fn book_load(&mut self, host: Option<Rc<Host>>, load: Option<LoadReport>) {
        let known = |h: &Rc<Host>| self.hosts.get(h.id.0 as usize).is_some_and(|known| Rc::ptr_eq(known, h));
        if let Some((host, report)) = host.filter(known).zip(load) {
            self.decide(Event::Load { host: host.id, report });
        }
    }

    /// The watch has ended by itself. When to begin the next is for the module to decide or, where lists are pushed, for
    /// [`Rewatch`].
    fn watch_failed(&mut self, why: &str, quiet: Duration) {
        self.end_watch();
        let (address, version) = (self.discovery, self.version);
        if !self.pushed() {
            warn!(%address, version, why, "discovery: the watch has ended; it is asked again within seconds");
            return self.decide(Event::DiscoveryFailed { quiet });
        }
        let now = Instant::now();
        let lost = self.rewatch.lost(self.handle.time(now));
        if lost.report {
            warn!(
                %address, version, why, failed = lost.failed,
                "discovery: no news of drains and new hosts; going on with the list held and trying again every {:?} at the \
                 latest. `failed` counts watches in a row that lasted under {:?}. The address is `discovery` in the file \
                 that ROUTER_CONFIG names; after a change there, send SIGHUP",
                rewatch::LONGEST,
                rewatch::HELD
            );
        }
        self.timers.push(Reverse((now + lost.wait, Timer::Watch)));
    }

    /// Ends the watch, if there is one; whether there was.
    fn end_watch(&mut self) -> bool {
        let Some(watching) = self.watching.take() else { return false };
        watching.abort();
        self.watch += 1; // nobody has this number, so whatever the old one still has to say is late
        true
    }

    /// Begins a watch from the version held, in place of the one before.
    fn subscribe(&mut self) {
        debug!(version = self.version, "watch");
        self.watch += 1;
        self.rewatch.opened(self.handle.time(Instant::now()));
        let (version, number, pushed) = (self.version, self.watch, self.pushed());
        let watching = spawn_local(watch(self.discovery, version, number, pushed, self.handle.clone()));
        if let Some(before) = self.watching.replace(watching) {
            before.abort();
        }
    }

    /// Goes on under other settings.
    fn retune(&mut self, retune: Retune) {
        let Retune { mut settings, names, discovery, connections, digest } = retune;
        if let Some(fleet) = &self.fleet {
            fleet.configured(digest, discovery);
        }
        self.pool.retune(connections);
        // The numbers of zones and kinds that hosts are known by stay.
        let zone = names.zones.get(settings.zone as usize).cloned();
        self.names.go_on_as(names);
        if let Some(zone) = zone.and_then(|zone| self.names.zones.iter().position(|z| *z == zone)) {
            settings.zone = zone as u32;
        }
        let before = std::mem::replace(&mut self.settings, settings.clone());
        let weather = |s: &Settings| (s.quotas.clone(), s.max_keep_away, s.cold_from, s.cold_for, s.gateways);
        if let Some(storms) = self.storms.filter(|_| weather(&before) != weather(&settings)) {
            self.control_storms(storms); // what it had seen was by other shares
        }
        self.balancer.retune(settings);
        self.rediscover(discovery);
    }

    /// Turns to another discovery. Its versions are its own, so the whole list is asked for.
    fn rediscover(&mut self, address: SocketAddr) {
        if address != self.discovery {
            (self.discovery, self.version) = (address, 0);
            self.rewatch.turned();
            self.end_watch();
            if self.pushed() {
                self.subscribe();
            } else {
                self.decide(Event::DiscoveryMoved);
            }
        }
    }

    fn forget_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|e| e.answer.is_none() && e.out == 0) {
            if let Some(entry) = self.requests.remove(&id) {
                self.numbers.remove(&entry.number);
            }
        }
    }

    /// Takes in a list that is no word of discovery's: the one that the configuration holds.
    pub fn learn(&mut self, list: List) {
        self.learn_after(None, list);
    }

    /// Takes a list of hosts in, or what has changed of it, after discovery's word of `heard_before`. What is wrong with it costs
    /// nothing but itself, and is told once until it changes.
    fn learn_after(&mut self, heard_before: Option<Instant>, list: List) {
        let faults = list.faults(self.version, 1 + FAULTS_TOLD);
        let old = matches!(faults.first(), Some(Fault::Old { .. }));
        if !faults.is_empty() && faults != self.faults {
            let told: Vec<_> = faults.iter().take(FAULTS_TOLD).map(Fault::to_string).collect();
            let more = if faults.len() > FAULTS_TOLD { ", and more" } else { "" };
            warn!(address = %self.discovery, version = list.index, "discovery: {}{more}", told.join("; "));
        }
        self.faults = faults;
        if old {
            // The call that brought it is answered, with no news: the module would wait for its answer for ever.
            return self.decide(Event::Hosts { full: false, hosts: &[] });
        }
        self.version = list.index;
        let before = self.departing(&list);
        self.free_the_gone();
        if list.snapshot {
            // What a whole list lacks is gone.
            self.hosts.iter().for_each(|h| h.takes_work.set(false));
            self.listed.iter_mut().for_each(|h| h.state = HostState::Removed);
        }
        let starts = self.starts(&list, heard_before);
        let news: Vec<ottervane::Host> = list.endpoints.iter().map(|e| self.host(e, &starts)).collect();
        for host in &news {
            match self.listed.get_mut(host.id.0 as usize) {
                Some(listed) => *listed = host.clone(),
                None => self.listed.push(host.clone()),
            }
        }
        if let Some(storm) = &mut self.storm {
            let up = self.listed.iter().filter(|h| h.state == HostState::Up);
            let up: Vec<_> = up.map(|h| ottervane_control::storm::Host { started: h.started }).collect();
            storm.hosts(self.handle.time(Instant::now()), &up);
        }
        for e in &list.endpoints {
            debug!(host = e.address, name = e.name, zone = e.zone, kind = e.kind, status = ?e.status, since = e.since_ms, "listed");
        }
        debug!(index = list.index, whole = list.snapshot, entries = list.endpoints.len(), "list");
        self.pool.keep(|id| self.hosts.get(id.0 as usize).is_some_and(|h| h.takes_work.get()));
        self.handle.set_hosts_up(self.hosts.iter().any(|h| h.takes_work.get()));
        self.tell_departed(&before);
        self.decide(Event::Hosts { full: list.snapshot, hosts: &news });
    }

    /// Where the fleet is to be told: the hosts that a list is about to change and that take work, by name.
    fn departing(&self, list: &List) -> Vec<(String, HostId)> {
        let Some(fleet) = &self.fleet else { return Vec::new() };
        fleet.lists(list.index);
        let up = |id: HostId| self.listed.get(id.0 as usize).is_some_and(|h| h.state == HostState::Up);
        let taking = |(name, id): (&String, &HostId)| up(*id).then(|| (name.clone(), *id));
        if list.snapshot {
            return self.host_ids.iter().filter_map(taking).collect();
        }
        let named = list.endpoints.iter().filter_map(|e| self.host_ids.get_key_value(&e.name));
        named.filter_map(taking).collect()
    }

    /// Tells the fleet which of these leave or are gone now.
    fn tell_departed(&self, before: &[(String, HostId)]) {
        let Some(fleet) = &self.fleet else { return };
        let state = |id: &HostId| self.listed.get(id.0 as usize).map_or(HostState::Removed, |h| h.state);
        let departed = before.iter().filter(|(_, id)| state(id) != HostState::Up);
        let departed = departed.map(|(name, id)| (name.clone(), state(id) == HostState::Removed));
        fleet.listed(self.version, departed.collect());
    }

    /// Others have a newer list: discovery is asked again, on a connection of its own.
    fn catch_up(&mut self, current: u64) {
        if current <= self.version {
            return;
        }
        info!(own = self.version, current, "discovery: other gateways have a newer list; it is asked again");
        let watched = self.end_watch();
        if self.pushed() {
            self.subscribe();
        } else if watched {
            self.decide(Event::DiscoveryFailed { quiet: Duration::ZERO });
        }
    }

    /// Newer lists than the one held say that hosts leave or are gone: nothing new goes there.
    fn turn_from(&mut self, gone: &[Gone]) {
        let Some(fleet) = self.fleet.clone() else { return };
        let mut news = Vec::new();
        for name in fleet.told_gone(gone) {
            let Some(id) = self.host_ids.get(&name) else { continue };
            let Some(listed) = self.listed.get_mut(id.0 as usize) else { continue };
            if listed.state == HostState::Up {
                listed.state = HostState::Draining;
                news.push(listed.clone());
                if let Some(host) = self.hosts.get(id.0 as usize) {
                    host.takes_work.set(false);
                }
            }
        }
        if news.is_empty() {
            return;
        }
        info!(
            hosts = news.len(),
            own = self.version,
            "other gateways were told that hosts leave or are gone; nothing new goes there"
        );
        self.pool.keep(|id| self.hosts.get(id.0 as usize).is_some_and(|h| h.takes_work.get()));
        self.handle.set_hosts_up(self.hosts.iter().any(|h| h.takes_work.get()));
        self.decide(Event::Hosts { full: false, hosts: &news });
    }

    /// Frees the numbers of the hosts that are gone and that no open request has been sent to. Hosts come and go for
    /// ever: with a number for each that ever was, every table and every walk over one would grow for ever.
    fn free_the_gone(&mut self) {
        let (hosts, listed, free) = (&self.hosts, &self.listed, &mut self.free_ids);
        self.host_ids.retain(|_, id| {
            let at = id.0 as usize;
            let gone = listed.get(at).is_some_and(|h| h.state == HostState::Removed)
                && hosts.get(at).is_some_and(|h| Rc::strong_count(h) == 1);
            if gone {
                free.push(*id);
            }
            !gone
        });
    }

    /// What the starts in a list are dated by.
    fn starts(&self, list: &List, heard_before: Option<Instant>) -> Starts {
        let now = self.handle.time(Instant::now());
        let listed = list.endpoints.iter().map(|e| e.since_ms);
        let possible =
            |unix_ms: &u64| self.handle.by_wall_clock(*unix_ms).is_some_and(|at| at <= now + WALL_CLOCK_OFF);
        let newest_ms = listed.chain(self.since_ms.iter().copied()).filter(possible).max().unwrap_or(0);
        Starts { now, newest_ms, heard_before: heard_before.map(|at| self.handle.time(at)) }
    }

    /// When a host started that discovery says to be up since this Unix time. One that is known to have started then keeps its date.
    fn started(&mut self, id: HostId, since_ms: u64, starts: &Starts) -> Option<Duration> {
        let at = id.0 as usize;
        self.since_ms.resize(self.since_ms.len().max(at + 1), 0);
        let before = std::mem::replace(&mut self.since_ms[at], since_ms);
        if since_ms == 0 {
            return None; // long ago
        }
        if let Some(listed) = self.listed.get(at).filter(|_| before == since_ms) {
            return listed.started;
        }
        Some(host_start::started(Evidence {
            now: starts.now,
            by_wall_clock: self.handle.by_wall_clock(since_ms),
            before_newest: Duration::from_millis(starts.newest_ms.saturating_sub(since_ms)),
            heard_before: starts.heard_before,
        }))
    }

    /// An entry in the module's terms. A host keeps its number by its name for as long as it is known; the module tells
    /// by the name's hash that a number has passed to another.
    fn host(&mut self, entry: &Endpoint, starts: &Starts) -> ottervane::Host {
        let known = self.host_ids.get(&entry.name).copied();
        let id = known.or_else(|| self.free_ids.pop()).unwrap_or(HostId(self.hosts.len() as u32));
        if known.is_none() {
            self.host_ids.insert(entry.name.clone(), id);
            if let Some(since_ms) = self.since_ms.get_mut(id.0 as usize) {
                *since_ms = 0; // another host's
            }
            let host = Rc::new(Host { id, address: Cell::new(None), takes_work: Cell::new(false) });
            match self.hosts.get_mut(id.0 as usize) {
                Some(gone) => *gone = host,
                None => self.hosts.push(host),
            }
        }
        let host = &self.hosts[id.0 as usize];
        let address = entry.address.parse().ok();
        if address.is_some() {
            host.address.set(address);
        }
        if let Some(fleet) = &self.fleet {
            fleet.know_host(id, &entry.name);
        }
        let overruled = || self.fleet.as_ref().is_some_and(|fleet| fleet.overrules(&entry.name));
        let state = match entry.status {
            Status::Active if host.address.get().is_some() && overruled() => HostState::Draining,
            Status::Active if host.address.get().is_some() => HostState::Up,
            Status::Active | Status::Left => HostState::Removed,
            Status::Leaving | Status::Unknown => HostState::Draining,
        };
        host.takes_work.set(state == HostState::Up);
        ottervane::Host {
            state,
            zone: self.names.zone(&entry.zone, id.0),
            cell: entry.group.unwrap_or(u32::MAX - id.0),
            started: self.started(id, entry.since_ms, starts),
            kind: self.names.kind(&entry.kind, id.0),
            weight: entry.weight,
            ..ottervane::Host::new(id, &entry.name)
        }
    }

    /// Has the module decide, and does what it says.
    fn decide(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = self.handle.time(Instant::now());
        let deciding = AssertUnwindSafe(|| self.balancer.handle(now, event, &mut actions));
        if catch_unwind(deciding).is_err() {
            return self.start_over();
        }
        for action in actions {
            self.act(action);
        }
    }

    /// Begins anew with a module that knows the hosts only. The one that panicked may have left anything behind, and
    /// would leave what is held without an answer: all of that fails now.
    fn start_over(&mut self) {
        error!("the decision module has panicked: what is held fails, and it starts anew");
        for entry in self.requests.values_mut() {
            entry.finish(Final::Failed(StatusCode::BAD_GATEWAY));
            entry.attempts.iter().for_each(|(_, cancel, _)| cancel.notify_one());
        }
        self.requests.retain(|_, entry| entry.out > 0);
        self.numbers = self.requests.values().map(|entry| entry.number.clone()).collect();
        self.timers.retain(|Reverse((_, timer))| matches!(timer, Timer::Watch | Timer::Figures));
        self.balancer = Balancer::new(self.settings.clone(), self.seed);
        let (mut actions, now) = (Vec::new(), self.handle.time(Instant::now()));
        // Another panic is not caught: a module that cannot take the list in serves nobody, so the process ends.
        self.balancer.handle(now, Event::Hosts { full: true, hosts: &self.listed }, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, host, until, write_by } => {
                if self.fleet.is_some() {
                    let again = self.requests.get(&request).is_some_and(|e| !e.attempts.is_empty());
                    self.book(if again { Kind::Resend } else { Kind::Pick }, request, Some(host));
                }
                self.send(request, host, until, write_by);
            }
            Action::Until { request, until } => {
                let until = self.handle.instant(until);
                if let Some(entry) = self.requests.get(&request) {
                    entry.attempts.iter().for_each(|(.., at)| at.set(until.min(entry.give_up)));
                }
            }
            Action::Cancel { request, attempt } => {
                let attempts = self.requests.get(&request).map(|e| &e.attempts);
                if let Some((_, cancel, _)) = attempts.and_then(|a| a.get(attempt as usize)) {
                    cancel.notify_one();
                }
            }
            Action::Refuse { request, keep_away } => {
                self.book(Kind::Refuse, request, None);
                self.finish(request, Final::Refused { keep_away });
            }
            Action::Fail { request } => {
                let late = self.requests.get(&request).is_some_and(|e| e.last == Outcome::TimedOut);
                let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                self.finish(request, Final::Failed(status));
            }
            Action::Wake { after, token } => {
                self.timers.push(Reverse((Instant::now() + after, Timer::Module(token))));
            }
            // The module asks for none: probing has no place in its design.
            Action::Probe { host } => {
                let (outcome, latency) = (Outcome::NotSent, Duration::ZERO);
                self.decide(Event::Probed { host, outcome, latency });
            }
            Action::Close { host } => self.pool.close(host),
            Action::Subscribe => self.subscribe(),
        }
    }

    fn finish(&mut self, id: RequestId, answer: Final) {
        self.answer(id, answer);
        self.forget_if_done(id);
    }

    /// Gives the final answer, unless it was given.
    fn answer(&mut self, id: RequestId, answer: Final) {
        let Some(entry) = self.requests.get(&id).filter(|e| e.answer.is_some()) else { return };
        let (attempts, after) = (entry.attempts.len(), entry.arrived.elapsed());
        let answer = self.weather(entry.identity, answer);
        debug!(request = id.0, attempts, ms = after.as_millis() as u64, "{}", answer.name());
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.finish(answer);
        }
    }

    fn send(&mut self, id: RequestId, host: HostId, until: Duration, write_by: Option<Duration>) {
        let (until, write_by) = (self.handle.instant(until), write_by.map(|by| self.handle.instant(by)));
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let listed = self.listed.get(host.0 as usize).map(|h| (h.zone, h.cell));
        let Some(host) = self.hosts.get(host.0 as usize) else { return };
        let (cancel, until) = (Rc::new(Notify::new()), Until::new(until.min(entry.give_up)));
        let patience = match &entry.forward.body {
            Payload::Whole(_) => Duration::ZERO,
            Payload::Coming(upload) => upload.patience,
        };
        let attempt = Attempt {
            host: host.clone(),
            forward: entry.forward.clone(),
            until: until.clone(),
            write_by,
            client: entry.client.clone(),
            cancel: cancel.clone(),
        };
        let (gateway, sent) = (self.handle.clone(), Instant::now());
        let to = host.address.get().map(tracing::field::display);
        let number = entry.attempts.len() as u32;
        let left = write_by.map(|by| by.saturating_duration_since(sent).as_micros() as u64);
        let (zone, cell) = listed.unzip();
        debug!(request = id.0, attempt = number, host = to, zone, cell, left_us = left, "sent");
        let end = End { outcome: Outcome::Reset, answer: None, load: None, written: None };
        let (decided, sent) = (sent, Cell::new(sent));
        let report = Report { gateway, request: id, attempt: number, sent, decided, patience, end };
        entry.attempts.push((host.clone(), cancel, until));
        entry.out += 1;
        let pool = self.pool.clone();
        spawn_local(async move {
            let mut report = report; // the whole of it, for its drop is what reports
            let end = pool.attempt(&attempt, &|stage| report.stage(stage)).await;
            report.end = end;
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sockets::Budget;
    use tokio::task::LocalSet;

    fn arrival(handle: &Handle) -> (Box<Arrival>, oneshot::Receiver<Final>) {
        let (answer, answered) = oneshot::channel();
        let give_up = handle.time(Instant::now()) + Duration::from_secs(20);
        let request = ottervane::Request::new(handle.next_request(), 0, give_up);
        let (method, uri) = Default::default();
        let forward = Forward { method, uri, headers: Default::default(), body: Default::default() };
        let number = HeaderValue::from(request.id.0);
        let class = ottervane::Class::new(Duration::from_secs(10), Duration::from_secs(30));
        let class = Rc::new(Kept { name: "look".into(), number: 0, class });
        let client = Rc::new(Presence::unseen());
        (Box::new(Arrival { request, number, forward, class, answer, client }), answered)
    }

    fn gateway() -> (Gateway, Handle) {
        let mut settings = Settings::default();
        settings.classes.push(ottervane::Class::new(Duration::from_secs(10), Duration::from_secs(30)));
        let names = Names { tenants: vec![], zones: vec![], kinds: vec![] };
        let budget = Budget::new(&Default::default(), false);
        let (dial_timeout, keepalive) = (Duration::from_secs(5), Duration::from_secs(10));
        let terms = crate::upstream::Terms { dial_timeout, keepalive, reports: Default::default() };
        let pool = Rc::new(Pool::new(budget.hosts, terms, Rc::default()));
        let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
        Gateway::new(settings, 1, names, pool, nobody)
    }

    fn list(name: &str) -> List {
        let text = r#"{"snapshot":true,"endpoints":[{"name":"NAME","address":"127.0.0.1:1"}]}"#;
        serde_json::from_str(&text.replace("NAME", name)).expect("a list")
    }

    /// What grows with all hosts that ever were would fill the memory in the end.
    #[tokio::test]
    async fn numbers_of_hosts_that_are_gone_are_used_again() {
        let local = LocalSet::new();
        let _inside = local.enter();
        let (mut gateway, handle) = gateway();
        gateway.learn(list("first"));
        let (held, _answered) = arrival(&handle);
        gateway.take(Message::Arrived(held));
        for n in 0..100 {
            gateway.learn(list(&format!("s-{n}")));
        }
        assert!(gateway.hosts.len() <= 4, "{} numbers for one host at a time", gateway.hosts.len());
        assert!(gateway.host_ids.len() <= 4 && gateway.listed.len() == gateway.hosts.len());
        // But not while an open request has been sent to the one that is gone.
        let host = gateway.host_ids.get("first").copied();
        assert_eq!(host, Some(HostId(0)), "its request is open still");
    }

    /// Two of sixty hosts are replaced by new ones every half second for a minute, some while a request is out there.
    #[tokio::test]
    async fn a_minute_of_replaced_hosts_leaves_no_more_numbers_than_hosts() {
        let local = LocalSet::new();
        let _inside = local.enter();
        let (mut gateway, handle) = gateway();
        let entry = |n: usize, status: &str| serde_json::json!({ "name": format!("s-{n}"), "address": format!("127.0.0.1:{}", 1 + n % 60), "status": status });
        let whole: Vec<_> = (0..60).map(|n| entry(n, "active")).collect();
        let list = |index: usize, snapshot: bool, endpoints: Vec<serde_json::Value>| {
            let list = serde_json::json!({ "index": index, "snapshot": snapshot, "endpoints": endpoints });
            serde_json::from_value::<List>(list).expect("a list")
        };
        gateway.learn(list(1, true, whole));
        for step in 0..120 {
            let (held, _answered) = arrival(&handle);
            let id = held.request.id;
            gateway.take(Message::Arrived(held));
            let (old, new) = (2 * step, 60 + 2 * step);
            let changes = vec![
                entry(old, "left"),
                entry(old + 1, "left"),
                entry(new, "active"),
                entry(new + 1, "active"),
            ];
            gateway.learn(list(2 + step, false, changes));
            gateway.take(Message::Gone(id));
            // The attempt is called off, and its task tells so.
            while gateway.requests.contains_key(&id) {
                local.run_until(tokio::task::yield_now()).await;
                while let Ok(message) = gateway.messages.try_recv() {
                    gateway.take(message);
                }
            }
        }
        let up = gateway.listed.iter().filter(|h| h.state == HostState::Up).count();
        assert_eq!((up, gateway.requests.len()), (60, 0));
        assert!(gateway.hosts.len() <= 70, "{} numbers for 60 hosts at a time", gateway.hosts.len());
    }

    /// An old replica, or an answer overtaken on its way, must not undo a drain.
    #[tokio::test]
    async fn a_bad_list_costs_only_itself_and_an_old_one_nothing() {
        let local = LocalSet::new();
        let _inside = local.enter();
        let (mut gateway, _handle) = gateway();
        let news = |text: &str| serde_json::from_str::<List>(text).expect("a list");
        gateway.learn(news(
            r#"{"index":7,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1"},{"name":"b","address":"127.0.0.1:2"}]}"#,
        ));
        gateway.learn(news(
            r#"{"index":9,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"leaving"}]}"#,
        ));
        gateway.learn(news(r#"{"index":8,"endpoints":[{"name":"a","address":"127.0.0.1:1"}]}"#));
        let state = |gateway: &Gateway, name: &str| {
            gateway.host_ids.get(name).map(|id| gateway.listed[id.0 as usize].state)
        };
        assert_eq!(state(&gateway, "a"), Some(HostState::Draining), "the older word is passed over");
        assert_eq!(gateway.version, 9);
        gateway.learn(news(
            r#"{"index":10,"endpoints":[{"name":"b","address":"nowhere"},{"name":"c","address":"127.0.0.1:3","status":"leaving"},{"name":"c","address":"127.0.0.1:3"},{"name":"d","address":"?"}]}"#,
        ));
        assert_eq!(state(&gateway, "b"), Some(HostState::Up), "it keeps the address it is known by");
        assert_eq!(state(&gateway, "c"), Some(HostState::Up), "the last one counts");
        assert_eq!(state(&gateway, "d"), Some(HostState::Removed), "nowhere to send to");
        assert_eq!(gateway.faults.len(), 3);
    }

    /// The time of a body that came in pieces begins with its end, which may come when the process is already on its way out.
    #[tokio::test]
    async fn a_body_that_ends_during_a_stop_has_no_more_time_than_that() {
        let local = LocalSet::new();
        let _inside = local.enter();
        let (mut gateway, handle) = gateway();
        let (held, _answered) = arrival(&handle);
        let id = held.request.id;
        gateway.take(Message::Arrived(held));
        let late = Instant::now() + Duration::from_secs(20);
        gateway.take(Message::Complete { request: id, give_up: late });
        assert_eq!(gateway.requests.get(&id).map(|e| e.give_up), Some(late));
        let by = Instant::now() + Duration::from_secs(1);
        handle.set_answers_by(by);
        gateway.take(Message::Complete { request: id, give_up: late });
        assert_eq!(gateway.requests.get(&id).map(|e| e.give_up), Some(by));
    }

    /// A list of one host by this name that started at this Unix time, in seconds from now by this machine's wall clock.
    fn started_at(name: &str, index: u64, whole: bool, from_now: i64) -> List {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
        let since = i64::try_from(unix.as_millis()).expect("this age") + 1000 * from_now;
        let list = serde_json::json!({ "index": index, "snapshot": whole, "endpoints": [
            { "name": name, "address": "127.0.0.1:1", "since_ms": since }] });
        serde_json::from_value(list).expect("a list")
    }

    /// How long ago the module takes the host for started.
    fn age(gateway: &Gateway, name: &str) -> Option<Duration> {
        let started = gateway.listed[gateway.host_ids[name].0 as usize].started?;
        gateway.handle.time(Instant::now()).checked_sub(started)
    }

    /// What a new discovery has to tell counts 4 s after the signal, a call may wait 2.4 s for its turn there, and nothing new goes to a
    /// host 2 s after it is told to drain: the call is due before the sum of these, whether a watch was on or a call was waited for.
    #[tokio::test]
    async fn a_new_discovery_is_asked_in_time_also_while_the_old_one_was_waited_for() {
        let local = LocalSet::new();
        let _inside = local.enter();
        for seed in 0..200 {
            let (mut gateway, _handle) = gateway();
            let settings = Settings { ask_within: Some(Duration::from_secs(10)), ..gateway.settings.clone() };
            gateway.balancer = Balancer::new(settings.clone(), seed);
            gateway.settings = settings;
            gateway.learn(list("s-1"));
            if seed % 2 == 0 {
                gateway.subscribe();
            }
            gateway.timers.clear();
            gateway.decide(Event::DiscoveryFailed { quiet: Duration::ZERO }); // the next call is seconds away
            let moved = Instant::now();
            gateway.rediscover(SocketAddr::from(([127, 0, 0, 1], 2)));
            let asks = gateway.timers.iter().filter(|Reverse((_, timer))| *timer == Timer::Module(0));
            let next = asks.map(|Reverse((at, _))| *at).min().expect("a call to come");
            let wait = next.saturating_duration_since(moved);
            assert!(wait <= Duration::from_millis(3050), "seed {seed}: asked after {wait:?}");
        }
    }

    /// The wall clock is an hour ahead: a host that was seen to restart a moment ago looks an hour old by it.
    #[tokio::test]
    async fn a_restart_that_was_seen_is_not_hidden_by_a_clock_that_is_ahead() {
        let local = LocalSet::new();
        let _inside = local.enter();
        let (mut gateway, _handle) = gateway();
        gateway.learn(started_at("a", 1, true, -9000));
        let heard = Some(Instant::now());
        for (index, name, from_now) in [(2, "a", -3600), (3, "a", -3599), (4, "b", -3602)] {
            gateway.learn_after(heard, started_at(name, index, false, from_now));
            let age = age(&gateway, name).expect("a start in the past");
            assert!(age < Duration::from_secs(10), "version {index}: taken for {age:?} old");
        }
    }

    /// The wall clock is an hour behind: every host that has a start comes from the future, and would be cold until then.
    #[tokio::test]
    async fn a_start_does_not_lie_in_the_future_of_a_clock_that_is_behind() {
        let local = LocalSet::new();
        let _inside = local.enter();
        let (mut gateway, _handle) = gateway();
        gateway.learn(started_at("a", 1, true, 3000));
        gateway.learn(started_at("b", 2, false, 3600));
        for name in ["a", "b"] {
            assert!(age(&gateway, name).is_some(), "{name} starts in the future");
        }
    }

    /// A panic of the module can't be had from outside; what follows one can.
    #[tokio::test]
    async fn starting_over_fails_what_is_held_and_serves_on() {
        let local = LocalSet::new();
        let _inside = local.enter();
        let (mut gateway, handle) = gateway();
        gateway.learn(list("s-1"));
        let (held, mut answered) = arrival(&handle);
        gateway.take(Message::Arrived(held));
        assert!(answered.try_recv().is_err(), "nothing has answered it so far");
        gateway.start_over();
        assert!(matches!(answered.try_recv(), Ok(Final::Failed(StatusCode::BAD_GATEWAY))));
        let (next, _answered) = arrival(&handle);
        let id = next.request.id;
        gateway.take(Message::Arrived(next));
        assert_eq!(gateway.requests.get(&id).map(|e| e.out), Some(1), "the hosts are known still");
    }
}
