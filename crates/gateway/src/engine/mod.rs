//! The sole owner of the decisions, the request table and the timers: events in, actions carried out, outcomes
//! told. What to do with a request is decided by [`Balancer`] alone.

mod endpoint_updates;
pub mod message;

use crate::body::{ForwardedRequest, RequestPayload};
use crate::discovery::endpoint_list::ListFault;
use crate::discovery::watch::watch;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::string_interner::StringInterner;
use crate::transport::client_liveness::ClientLiveness;
use crate::upstream::{Attempt, AttemptProgress, AttemptResult, ConnectionPool, Deadline, UpstreamEndpoint};
use hyper::header::HeaderValue;
use hyper::StatusCode;
use message::{Arrival, EngineHandle, FinalAnswer, Message, Reconfiguration};
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
use weldworks_balancer::{
    Action, Balancer, EndpointId, EndpointState, Event, LoadReport, Outcome, RequestId, Settings,
};
use weldworks_control::body_streaming::TransferState;
use weldworks_control::class_registry::RegisteredClass;
use weldworks_control::retry_storm::{
    ArrivingRequest, PlatformTerms, RequestResult, RetryStormControl, StormSettings,
};
use weldworks_control::watch_backoff::{self, WatchBackoff};
use weldworks_fleet::audit::DecisionKind;

/// The figures of the hosts are taken this often; they may be half a second late.
const FIGURES: Duration = Duration::from_millis(250);

/// A request that is open or has an attempt out.
struct Entry {
    number: HeaderValue,
    identity: Option<u64>,
    forward: Rc<ForwardedRequest>,
    answer: Option<oneshot::Sender<FinalAnswer>>,
    client: Rc<ClientLiveness>,
    arrived: Instant,
    give_up: Instant,
    attempts: Vec<(Rc<UpstreamEndpoint>, Rc<Notify>, Rc<Deadline>)>,
    out: u32,
    last: Outcome,
    class: usize,
    _class: Rc<RegisteredClass>,
}

impl Entry {
    /// Gives the final answer, unless it was given. No attempt goes out from here on.
    fn finish(&mut self, answer: FinalAnswer) {
        self.client.end();
        if let Some(sender) = self.answer.take() {
            let _ = sender.send(answer); // a client that has gone wants none
        }
    }
}

/// What tells a request from the others: its client's retry is about the same subject.
fn identity(request: &weldworks_balancer::Request) -> Option<u64> {
    let place = (request.class as u64) << 32 | request.tenant as u64;
    request.key.map(|key| weldworks_balancer::mix(key) ^ weldworks_balancer::mix(place))
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
    gateway: EngineHandle,
    request: RequestId,
    attempt: u32,
    /// When it was sent, or the last byte of a body that came in pieces.
    sent: Cell<Instant>,
    /// When it was decided.
    decided: Instant,
    patience: Duration,
    end: AttemptResult,
}

impl Report {
    /// Tells what becomes of the attempt on its way.
    fn stage(&self, stage: AttemptProgress) {
        let (request, attempt) = (self.request, self.attempt);
        self.gateway.send(match stage {
            AttemptProgress::BodyForwardingStarted => Message::BodyForwardingStarted(request),
            AttemptProgress::BodyForwarded { came } => {
                self.sent.set(Instant::now());
                Message::BodyForwarded { request, client_deadline: came + self.patience }
            }
            AttemptProgress::ResponseStarted { answer, first, load } => {
                let latency = first.saturating_duration_since(self.sent.get());
                Message::ResponseStarted { request, attempt, latency, answer: *answer, load }
            }
        });
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        let (request, attempt, sent) = (self.request, self.attempt, self.sent.get());
        let (outcome, answer, load) = (self.end.outcome, self.end.response.take(), self.end.load_report);
        let written = self.end.written_at.map(|at| at.saturating_duration_since(self.decided));
        self.gateway.send(Message::AttemptEnded { request, attempt, sent, outcome, answer, load, written });
    }
}

/// A gateway.
pub struct Engine {
    balancer: Balancer,
    settings: Settings,
    seed: u64,
    names: StringInterner,
    pool: Rc<ConnectionPool>,
    discovery: SocketAddr,
    version: u64,
    /// What was wrong with the list before.
    faults: Vec<ListFault>,
    watch: u64,
    watching: Option<JoinHandle<()>>,
    rewatch: WatchBackoff,
    hosts: Vec<Rc<UpstreamEndpoint>>,
    listed: Vec<weldworks_balancer::Endpoint>,
    /// When each last started, as discovery dates it; 0 for long ago.
    since_ms: Vec<u64>,
    host_ids: FxHashMap<String, EndpointId>,
    free_ids: Vec<EndpointId>,
    requests: FxHashMap<RequestId, Entry>,
    numbers: FxHashSet<HeaderValue>,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    messages: mpsc::UnboundedReceiver<Message>,
    handle: EngineHandle,
    storm: Option<RetryStormControl>,
    storms: Option<StormSettings>,
    figures: Option<Rc<Metrics>>,
    fleet: Option<Rc<Fleet>>,
}

impl Engine {
    /// A gateway that knows no host yet, and the way to tell it things.
    pub fn new(
        settings: Settings,
        seed: u64,
        names: StringInterner,
        pool: Rc<ConnectionPool>,
        discovery: SocketAddr,
    ) -> (Engine, EngineHandle) {
        let (handle, messages) = EngineHandle::new();
        let gateway = Engine {
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
            rewatch: WatchBackoff::default(),
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
    pub fn enable_retry_storm_control(&mut self, storms: StormSettings) {
        let set = &self.settings;
        let terms = PlatformTerms {
            slow_start_min_capacity: set.slow_start_min_capacity,
            slow_start_duration: set.slow_start_duration,
            max_retry_after: set.max_retry_after,
            tenant_quotas: &set.tenant_quotas,
            gateway_count: set.gateway_count,
        };
        let storm = RetryStormControl::new(storms, terms, self.seed);
        (self.storm, self.storms) = (Some(storm), Some(storms));
        self.handle.report_connections();
    }

    /// Makes it part of a fleet.
    pub fn join_fleet(&mut self, fleet: Rc<Fleet>) {
        self.fleet = Some(fleet);
    }

    /// Books a decision about a request, where there are books.
    fn book(&self, kind: DecisionKind, id: RequestId, host: Option<EndpointId>) {
        let Some((fleet, entry)) = self.fleet.as_ref().zip(self.requests.get(&id)) else { return };
        fleet.record_decision(kind, entry.class, entry.number.to_str().unwrap_or_default(), host);
    }

    /// Refuses what a gateway that is shut out may not take in.
    fn turned_away(&self, arrival: &Arrival) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| {
            let away = !fleet.accepts_clients();
            if away {
                let number = arrival.request_id.to_str().unwrap_or_default();
                fleet.record_decision(DecisionKind::Reject, arrival.request.class, number, None);
            }
            away
        })
    }

    /// Has the figures of the hosts kept.
    pub fn attach_metrics(&mut self, figures: Rc<Metrics>) {
        self.figures = Some(figures);
        self.timers.push(Reverse((Instant::now(), Timer::Figures)));
    }

    fn note_hosts(&mut self) {
        let Some(figures) = &self.figures else { return };
        let listed = self.listed.iter().filter(|h| h.state != EndpointState::Removed).count();
        let avoided = self.balancer.avoided(self.handle.balancer_time(Instant::now()));
        figures.cluster_size.set(listed as u64);
        figures.cluster_unhealthy.set(avoided as u64);
        self.timers.push(Reverse((Instant::now() + FIGURES, Timer::Figures)));
    }

    /// What storm control allows a request.
    fn allowance(&mut self, request: &weldworks_balancer::Request) -> f64 {
        let Some(storm) = &mut self.storm else { return 1.0 };
        let worths = self.settings.classes.iter().map(|c| c.priority_weight);
        let mean = worths.sum::<f64>() / self.settings.classes.len().max(1) as f64;
        let worth =
            self.settings.classes.get(request.class).map_or(1.0, |c| c.priority_weight / mean.max(1e-9));
        let (repeat, tenant) = (request.is_client_retry, request.tenant);
        let arriving = ArrivingRequest {
            is_client_retry: repeat,
            identity: identity(request),
            relative_weight: worth,
            tenant,
        };
        let part = storm.admit(self.handle.balancer_time(Instant::now()), arriving).admission_share;
        self.tell_storm();
        part
    }

    /// Tells storm control how a request was answered; gives the answer with the advice that goes with it.
    fn weather(&mut self, identity: Option<u64>, answer: FinalAnswer) -> FinalAnswer {
        let Some(storm) = &mut self.storm else { return answer };
        let now = self.handle.balancer_time(Instant::now());
        let answer = match answer {
            FinalAnswer::Served(_) => {
                storm.record_result(now, RequestResult::Served);
                answer
            }
            FinalAnswer::Failed(_) => {
                storm.record_result(now, RequestResult::Failed);
                answer
            }
            FinalAnswer::Rejected { retry_after: keep_away } => {
                storm.record_result(now, RequestResult::Rejected);
                FinalAnswer::Rejected { retry_after: storm.retry_after(now, identity, keep_away) }
            }
        };
        self.tell_storm();
        answer
    }

    fn tell_storm(&mut self) {
        if let Some(change) = self.storm.as_mut().and_then(RetryStormControl::take_change) {
            info!("{change}");
        }
    }

    /// Whether host news come unasked. Then the watch is the gateway's own affair: the module asks only where asking
    /// has a price.
    fn pushed(&self) -> bool {
        self.settings.discovery_poll_interval.is_none()
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
            self.answer(id, FinalAnswer::Failed(StatusCode::GATEWAY_TIMEOUT));
            self.abandon(id);
        }
    }

    /// Tells the module that a request is over without its doing.
    fn abandon(&mut self, id: RequestId) {
        self.decide(Event::ClientDisconnected { request: id });
        self.forget_if_done(id);
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::ConnectionAccepted => {
                if let Some(storm) = &mut self.storm {
                    storm.record_connection(self.handle.balancer_time(Instant::now()));
                }
            }
            Message::RequestArrived(arrival) if self.turned_away(&arrival) => {
                arrival.client.end();
                let advised = self.fleet.as_ref().map_or(Duration::ZERO, |fleet| fleet.retry_after());
                let keep_away = advised.min(self.settings.max_retry_after);
                let _ = arrival.answer.send(FinalAnswer::Rejected { retry_after: keep_away });
                // a client that has gone wants none
            }
            Message::RequestArrived(arrival) => {
                let Arrival { mut request, request_id: number, forward, class, answer, client } = *arrival;
                if !self.numbers.insert(number.clone()) {
                    // A host could not tell it from a second copy of the request that has this number.
                    client.end();
                    let _ = answer.send(FinalAnswer::Failed(StatusCode::CONFLICT)); // a client that has gone wants none
                    return;
                }
                let give_up = self.handle.instant(request.client_deadline);
                request.admission_share = self.allowance(&request);
                let identity = identity(&request);
                let (forward, answer) = (Rc::new(forward), Some(answer));
                let (attempts, out, last) = (Vec::new(), 0, Outcome::NotSent);
                let (arrived, place) = (Instant::now(), request.class);
                debug!(
                    request = request.id.0, number = number.to_str().unwrap_or_default(), class = class.name,
                    effect = ?class.class.idempotency, repeat = request.is_client_retry, "arrived"
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
            Message::ClientDisconnected(id) => {
                if let Some(entry) = self.requests.get_mut(&id) {
                    entry.client.end();
                    entry.answer = None;
                    self.abandon(id);
                }
            }
            Message::AttemptEnded { request, attempt, sent, outcome, answer, load, written } => {
                let Some(entry) = self.requests.get_mut(&request) else { return };
                entry.out -= 1;
                entry.last = outcome;
                // A number may have gone to another host meanwhile, which said nothing.
                let host = entry.attempts.get(attempt as usize).map(|(host, ..)| host.clone());
                self.book_load(host, load);
                if let Some(answer) = answer {
                    self.answer(request, FinalAnswer::Served(answer));
                }
                let Some(entry) = self.requests.get(&request) else { return };
                let (latency, over) = (sent.elapsed(), entry.answer.is_none());
                let to = entry.attempts.get(attempt as usize).and_then(|(h, ..)| h.address.get());
                debug!(
                    request = request.0, attempt, host = to.map(tracing::field::display),
                    ms = latency.as_millis() as u64, written_us = written.map(|w| w.as_micros() as u64), how = ?outcome, "ended"
                );
                self.decide(Event::AttemptEnded { request, attempt, latency, outcome, request_ended: over });
                self.forget_if_done(request);
            }
            Message::BodyForwardingStarted(request) => self.decide(Event::BodyForwardingStarted { request }),
            Message::BodyForwarded { request, client_deadline: give_up } => {
                let Some(entry) = self.requests.get_mut(&request) else { return };
                // A stop that has come meanwhile has its own end.
                let give_up = self.handle.shutdown_deadline().map_or(give_up, |by| give_up.min(by));
                entry.give_up = give_up;
                self.timers.push(Reverse((give_up, Timer::Backstop(request))));
                let give_up_at = self.handle.balancer_time(give_up);
                self.decide(Event::BodyForwarded { request, client_deadline: give_up_at });
            }
            Message::ResponseStarted { request, attempt, latency, answer, load } => {
                let Some(entry) = self.requests.get(&request) else { return };
                let host = entry.attempts.get(attempt as usize).map(|(host, ..)| host.clone());
                self.book_load(host, load);
                self.answer(request, FinalAnswer::Served(answer));
                debug!(request = request.0, attempt, ms = latency.as_millis() as u64, "started");
                self.decide(Event::ResponseStarted { request, attempt, latency });
            }
            // A number may have gone to another host meanwhile, which ended nothing.
            Message::IdleConnectionClosed { endpoint: host, address, idle, remaining: left } => {
                if self.hosts.get(host.0 as usize).is_some_and(|h| h.address.get() == Some(address)) {
                    self.decide(Event::IdleConnectionClosed { endpoint: host, idle, remaining: left });
                }
            }
            // What a watch said before it was ended may wait here still: it is no news of the present discovery.
            Message::EndpointListReceived { watch, list, heard_before } if watch == self.watch => {
                self.handle.set_discovery_answered();
                if let Some(silent) = self.rewatch.record_message(self.handle.balancer_time(Instant::now())) {
                    info!(address = %self.discovery, after = ?silent, "discovery: news are pushed again");
                }
                self.learn_after(heard_before, list);
            }
            Message::DiscoveryFailed { watch, why, silent_for: quiet } if watch == self.watch => {
                self.watch_failed(&why, quiet)
            }
            Message::EndpointListReceived { .. } | Message::DiscoveryFailed { .. } => {}
            Message::RestoreSnapshot(memory) => {
                let taken = self.balancer.restore(self.handle.balancer_time(Instant::now()), &memory);
                info!(hosts = memory.endpoints.len(), taken, "going on from what the process before knew");
            }
            // Who asked may have been told to stop.
            Message::TakeSnapshot(answer) => drop(answer.send(self.balancer.snapshot())),
            Message::Reconfigure(retune) => self.retune(*retune),
            Message::ShutdownStarted => self.hasten(),
            Message::ListLagging { current } => self.catch_up(current),
            Message::RemoteDepartures(gone) => self.turn_from(&gone),
        }
    }

    /// Holds what is open to the latest moment for any answer. The longest deadline of the file in force sets that, and what came
    /// under an older file may have a longer one.
    fn hasten(&mut self) {
        let Some(by) = self.handle.shutdown_deadline() else { return };
        for (id, entry) in self.requests.iter_mut().filter(|(_, entry)| entry.give_up > by) {
            // A body that still comes is not taken yet, and gets its time with its last byte.
            if matches!(&entry.forward.body, RequestPayload::Streaming(upload) if upload.state() != TransferState::Complete)
            {
                continue;
            }
            entry.give_up = by;
            entry.attempts.iter().for_each(|(.., until)| until.bring_forward(by));
            self.timers.push(Reverse((by, Timer::Backstop(*id))));
        }
    }

    fn book_load(&mut self, host: Option<Rc<UpstreamEndpoint>>, load: Option<LoadReport>) {
        let known = |h: &Rc<UpstreamEndpoint>| {
            self.hosts.get(h.id.0 as usize).is_some_and(|known| Rc::ptr_eq(known, h))
        };
        if let Some((host, report)) = host.filter(known).zip(load) {
            self.decide(Event::LoadReport { endpoint: host.id, report });
        }
    }

    /// The watch has ended by itself. When to begin the next is for the module to decide or, where lists are pushed, for
    /// [`Rewatch`].
    fn watch_failed(&mut self, why: &str, quiet: Duration) {
        self.end_watch();
        let (address, version) = (self.discovery, self.version);
        if !self.pushed() {
            warn!(%address, version, why, "discovery: the watch has ended; it is asked again within seconds");
            return self.decide(Event::DiscoveryFailed { silent_for: quiet });
        }
        let now = Instant::now();
        let lost = self.rewatch.record_loss(self.handle.balancer_time(now));
        if lost.should_report {
            warn!(
                %address, version, why, failed = lost.consecutive_failures,
                "discovery: no news of drains and new hosts; going on with the list held and trying again every {:?} at the \
                 latest. `failed` counts watches in a row that lasted under {:?}. The address is `discovery` in the file \
                 that ROUTER_CONFIG names; after a change there, send SIGHUP",
                watch_backoff::MAX_RETRY_DELAY,
                watch_backoff::STABLE_WATCH_AGE
            );
        }
        self.timers.push(Reverse((now + lost.retry_delay, Timer::Watch)));
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
        self.rewatch.record_open(self.handle.balancer_time(Instant::now()));
        let (version, number, pushed) = (self.version, self.watch, self.pushed());
        let watching = spawn_local(watch(self.discovery, version, number, pushed, self.handle.clone()));
        if let Some(before) = self.watching.replace(watching) {
            before.abort();
        }
    }

    /// Goes on under other settings.
    fn retune(&mut self, retune: Reconfiguration) {
        let Reconfiguration { mut settings, names, discovery, connections, digest } = retune;
        if let Some(fleet) = &self.fleet {
            fleet.apply_config(digest, discovery);
        }
        self.pool.reconfigure(connections);
        // The numbers of zones and kinds that hosts are known by stay.
        let zone = names.zones.get(settings.zone as usize).cloned();
        self.names.replace_keeping_numbers(names);
        if let Some(zone) = zone.and_then(|zone| self.names.zones.iter().position(|z| *z == zone)) {
            settings.zone = zone as u32;
        }
        let before = std::mem::replace(&mut self.settings, settings.clone());
        let weather = |s: &Settings| {
            (
                s.tenant_quotas.clone(),
                s.max_retry_after,
                s.slow_start_min_capacity,
                s.slow_start_duration,
                s.gateway_count,
            )
        };
        if let Some(storms) = self.storms.filter(|_| weather(&before) != weather(&settings)) {
            self.enable_retry_storm_control(storms); // what it had seen was by other shares
        }
        self.balancer.retune(settings);
        self.rediscover(discovery);
    }

    /// Turns to another discovery. Its versions are its own, so the whole list is asked for.
    fn rediscover(&mut self, address: SocketAddr) {
        if address != self.discovery {
            (self.discovery, self.version) = (address, 0);
            self.rewatch.reset();
            self.end_watch();
            if self.pushed() {
                self.subscribe();
            } else {
                self.decide(Event::DiscoveryChanged);
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

    /// Has the module decide, and does what it says.
    fn decide(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = self.handle.balancer_time(Instant::now());
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
            entry.finish(FinalAnswer::Failed(StatusCode::BAD_GATEWAY));
            entry.attempts.iter().for_each(|(_, cancel, _)| cancel.notify_one());
        }
        self.requests.retain(|_, entry| entry.out > 0);
        self.numbers = self.requests.values().map(|entry| entry.number.clone()).collect();
        self.timers.retain(|Reverse((_, timer))| matches!(timer, Timer::Watch | Timer::Figures));
        self.balancer = Balancer::new(self.settings.clone(), self.seed);
        let (mut actions, now) = (Vec::new(), self.handle.balancer_time(Instant::now()));
        // Another panic is not caught: a module that cannot take the list in serves nobody, so the process ends.
        self.balancer.handle(
            now,
            Event::EndpointList { is_snapshot: true, endpoints: &self.listed },
            &mut actions,
        );
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint: host, deadline: until, write_by } => {
                if self.fleet.is_some() {
                    let again = self.requests.get(&request).is_some_and(|e| !e.attempts.is_empty());
                    self.book(
                        if again { DecisionKind::Retry } else { DecisionKind::Pick },
                        request,
                        Some(host),
                    );
                }
                self.send(request, host, until, write_by);
            }
            Action::SetAttemptDeadline { request, deadline: until } => {
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
            Action::Reject { request, retry_after: keep_away } => {
                self.book(DecisionKind::Reject, request, None);
                self.finish(request, FinalAnswer::Rejected { retry_after: keep_away });
            }
            Action::Fail { request } => {
                let late = self.requests.get(&request).is_some_and(|e| e.last == Outcome::TimedOut);
                let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                self.finish(request, FinalAnswer::Failed(status));
            }
            Action::SetTimer { after, token } => {
                self.timers.push(Reverse((Instant::now() + after, Timer::Module(token))));
            }
            // The module asks for none: probing has no place in its design.
            Action::Probe { endpoint: host } => {
                let (outcome, latency) = (Outcome::NotSent, Duration::ZERO);
                self.decide(Event::ProbeEnded { endpoint: host, outcome, latency });
            }
            Action::CloseIdleConnections { endpoint: host } => self.pool.close_idle(host),
            Action::PollDiscovery => self.subscribe(),
        }
    }

    fn finish(&mut self, id: RequestId, answer: FinalAnswer) {
        self.answer(id, answer);
        self.forget_if_done(id);
    }

    /// Gives the final answer, unless it was given.
    fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(entry) = self.requests.get(&id).filter(|e| e.answer.is_some()) else { return };
        let (attempts, after) = (entry.attempts.len(), entry.arrived.elapsed());
        let answer = self.weather(entry.identity, answer);
        debug!(request = id.0, attempts, ms = after.as_millis() as u64, "{}", answer.name());
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.finish(answer);
        }
    }

    fn send(&mut self, id: RequestId, host: EndpointId, until: Duration, write_by: Option<Duration>) {
        let (until, write_by) = (self.handle.instant(until), write_by.map(|by| self.handle.instant(by)));
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let listed = self.listed.get(host.0 as usize).map(|h| (h.zone, h.cell));
        let Some(host) = self.hosts.get(host.0 as usize) else { return };
        let (cancel, until) = (Rc::new(Notify::new()), Deadline::new(until.min(entry.give_up)));
        let patience = match &entry.forward.body {
            RequestPayload::Buffered(_) => Duration::ZERO,
            RequestPayload::Streaming(upload) => upload.client_timeout,
        };
        let attempt = Attempt {
            endpoint: host.clone(),
            request: entry.forward.clone(),
            deadline: until.clone(),
            write_by,
            liveness: entry.client.clone(),
            cancel: cancel.clone(),
        };
        let (gateway, sent) = (self.handle.clone(), Instant::now());
        let to = host.address.get().map(tracing::field::display);
        let number = entry.attempts.len() as u32;
        let left = write_by.map(|by| by.saturating_duration_since(sent).as_micros() as u64);
        let (zone, cell) = listed.unzip();
        debug!(request = id.0, attempt = number, host = to, zone, cell, left_us = left, "sent");
        let end =
            AttemptResult { outcome: Outcome::Reset, response: None, load_report: None, written_at: None };
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
mod tests;
