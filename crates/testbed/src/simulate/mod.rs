//! Simulates a script in virtual time: endpoints, discovery, clients and the decision modules of all gateways run in one process.
//!
//! Sockets and the rest of the gateway program are left out, so a simulation only tests decisions.
//! Fleets too large for one machine are simulated in seconds, and two simulations with the same seed give the same report to the byte.

mod discovery;
mod killed;

use crate::baseline::BaselineBalancer;
use crate::checker::{AttemptEnd, Checker, FinalAnswer, ObservedAttempt, Rules, SentRequest};
use crate::client::{client_timeout, next_retry, ClientOutcome};
use crate::discovery::{endpoint_actions, Discovery, EndpointAction, EndpointList};
use crate::endpoint_models::{apply_to_model, empty_checker, endpoints, kinds};
use crate::model::{Answer, EndpointModel, Output, State, Work};
use crate::plan::{attempt_seconds, plan, PlannedRequest};
use crate::random_variates::{Purpose, RandomStreams};
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

/// Clock of a gateway at the start of a run, so that endpoints that started before the run have a start time.
const CLOCK_AT_START: Duration = Duration::from_secs(86_400);
/// The gateway answers this long before its client's timeout.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Shortest timer: the timers of the gateway program have this resolution, and time must pass before a timer that is set for now.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Why a script cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum SimulateError {
    /// The decision module cannot read the settings that the script makes for it.
    #[error("the decision module cannot read the settings made from the script: {0}")]
    Settings(#[from] serde_json::Error),
}

/// Processor time that decisions took. Not part of the report, since it differs from run to run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Time inside the decision modules of all gateways.
    pub deciding: Duration,
    /// Number of requests that the decision modules handled.
    pub requests: u64,
}

impl Cost {
    /// The mean decision time per request, with all its outcomes and timers.
    pub fn per_request(&self) -> Duration {
        self.deciding / self.requests.max(1) as u32
    }
}

/// The kind of a network message. Together with the number of the request or attempt it selects the random draw of the message's delay.
#[derive(Clone, Copy, Debug)]
enum MessageKind {
    ToGateway = 1,
    ToClient = 2,
    Dial = 3,
    DialEnded = 4,
    ToEndpoint = 5,
    FromEndpoint = 6,
    Disconnect = 7,
}

/// An event of the simulation. Requests, attempts, endpoints and gateways are given by their indices.
#[derive(Debug)]
enum SimulationEvent {
    /// A client sends a planned request, for the first time or as a retry.
    SendRequest { plan_index: usize, retries: u32 },
    /// A request reaches its gateway.
    RequestArrives { request_index: usize },
    /// The client of a request stops waiting for the answer.
    ClientTimeout { request_index: usize },
    /// The time by which the gateway must have answered a request.
    GatewayTimeout { request_index: usize },
    /// A timer of a gateway's decision module fires.
    Timer { gateway: usize, incarnation: u32, token: u64 },
    /// A connection attempt reaches an endpoint.
    DialArrives { attempt_index: usize },
    /// The gateway learns whether its connection attempt was accepted.
    DialEnded { attempt_index: usize, is_up: bool },
    /// The time limit of a connection attempt has passed.
    DialTimeout { attempt_index: usize },
    /// The request of an attempt reaches its endpoint.
    AttemptArrives { attempt_index: usize },
    /// The next internal change of an endpoint is due.
    EndpointChange { endpoint: usize, due: Duration },
    /// An endpoint's answer, or the end of the connection to the endpoint, reaches the gateway.
    AttemptReply { attempt_index: usize, outcome: Outcome, report: Option<LoadReport> },
    /// The time limit of an attempt has passed.
    AttemptTimeout { attempt_index: usize },
    /// An endpoint learns that a gateway has closed a connection.
    ConnectionClosed { endpoint: usize, connection: u64, attempt: Option<u64> },
    /// A gateway learns that an endpoint has closed an idle connection.
    IdleConnectionEnded { gateway: usize, endpoint: usize, connection: u64 },
    /// An answer reaches its client.
    Answered { request_index: usize, outcome: ClientOutcome },
    /// A gateway's poll reaches discovery.
    DiscoveryPolled { gateway: usize },
    /// The endpoint list of discovery, or its failure (`None`), reaches a gateway.
    DiscoveryResponse { gateway: usize, list: Option<EndpointList> },
    /// The endpoint list has changed, or discovery has gone down or come back.
    DiscoveryChange,
    /// Discovery samples the live weights of the endpoints.
    SampleWeights,
    /// Sampled live weights reach the gateways.
    WeightUpdate { weights: Vec<f64> },
    /// An action of the script is applied to an endpoint.
    EndpointAction { endpoint: usize, action: EndpointAction },
    /// The gateways that join during the run start.
    GatewaysJoin,
    /// The gateways that the script names are killed.
    KillGateways,
    /// The front load balancer notices which gateways were killed.
    KillNoticed,
    /// The killed gateways start again.
    RestartGateways,
    /// A sample of the timeline is recorded.
    RecordSample,
}

/// An event and when it is due. Events at one time are processed in the order in which they were scheduled.
struct ScheduledEvent {
    at: Duration,
    order: u64,
    event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reversed: the binary heap pops the greatest element first, which must be the earliest event.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// The implementation that makes a gateway's decisions.
enum DecisionModule {
    Real(Box<Balancer>),
    Baseline(Box<BaselineBalancer>),
}

impl DecisionModule {
    fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        match self {
            DecisionModule::Real(balancer) => balancer.handle(now, event, actions),
            DecisionModule::Baseline(baseline) => baseline.handle(now, event, actions),
        }
    }
}

/// A simulated gateway.
struct Gateway {
    module: DecisionModule,
    storm: Option<RetryStormControl>,
    zone: usize,
    endpoints: Vec<weldworks_balancer::Endpoint>,
    /// For each endpoint, the idle connections and since when each is idle.
    idle: Vec<Vec<(u64, Duration)>>,
    /// Version of the endpoint list that the gateway last received.
    version: u64,
    watching: bool,
    /// Number of the gateway's current process, counted from 0.
    incarnation: u32,
    alive: bool,
}

/// A request of a client as its gateway sees it: a planned request, sent for the first time or as a retry.
struct ClientRequest {
    plan_index: usize,
    number: u64,
    retries: u32,
    gateway: usize,
    /// When the client stops waiting.
    until: Duration,
    /// Whether the client no longer waits for an answer.
    closed: bool,
    /// Whether the gateway has given its final answer.
    answered: bool,
    attempts: Vec<usize>,
}

/// An attempt of a gateway to have a request served by an endpoint.
struct Attempt {
    request_index: usize,
    attempt_number: u32,
    endpoint: usize,
    connection: u64,
    sent: Duration,
    until: Duration,
    write_by: Option<Duration>,
    written: bool,
    ended: bool,
}

struct Simulation<'s> {
    script: &'s Script,
    draws: RandomStreams,
    now: Duration,
    scheduled: BinaryHeap<ScheduledEvent>,
    order: u64,
    planned: Vec<PlannedRequest>,
    first_sent: Vec<Duration>,
    sends: Vec<Vec<(u64, Duration)>>,
    requests: Vec<ClientRequest>,
    attempts: Vec<Attempt>,
    /// The gateway that opened each connection.
    connection_gateways: Vec<usize>,
    kinds: Vec<usize>,
    endpoint_models: Vec<EndpointModel>,
    endpoint_due: Vec<Option<Duration>>,
    gateways: Vec<Gateway>,
    modules: DecisionModules,
    gateways_by_zone: Vec<Vec<usize>>,
    mean_weight: f64,
    discovery: Discovery,
    /// The weight of each endpoint that gateways last received.
    weights: Vec<f64>,
    /// The version of the endpoint list that the gateways' agents have, if discovery pushes changes.
    agent_version: u64,
    checker: Checker,
    counts: Counts,
    timeline: Vec<Sample>,
    sampled_counts: Counts,
    /// Requests served in time, and how many of them there were at the last sample.
    in_time: (u64, u64),
    cost: Cost,
    actions: Vec<Action>,
}

/// Which decision modules the gateways use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionModules {
    /// Each gateway has its own decision module, as in production.
    PerGateway,
    /// One decision module handles the events of all gateways without delay: the upper bound to compare with.
    /// Connections still belong to single gateways.
    Shared,
    /// Each gateway has its own baseline module, which picks endpoints at random, retries at once and admits every request.
    Baseline,
}

/// Simulates a script with the given number of gateways (`None` for the number in the script), with or without retry storm control.
///
/// # Errors
/// If the decision module cannot read the settings that the script makes for it.
pub fn simulate(
    script: &Script,
    seed: u64,
    gateways: Option<usize>,
    storm: Option<StormSettings>,
) -> Result<(Report, Cost), SimulateError> {
    simulate_with(script, seed, gateways, storm, DecisionModules::PerGateway)
}

/// Simulates a script as [`simulate`] does, with a choice of decision modules.
///
/// # Errors
/// If the decision module cannot read the settings that the script makes for it.
pub fn simulate_with(
    script: &Script,
    seed: u64,
    gateways: Option<usize>,
    storm: Option<StormSettings>,
    modules: DecisionModules,
) -> Result<(Report, Cost), SimulateError> {
    let count = gateways.unwrap_or(script.fleet.gateways);
    let mut simulation = Simulation::new(script, RandomStreams::new(seed), count, storm, modules)?;
    let end = script.end();
    while let Some(next) = simulation.scheduled.pop() {
        if next.at > end {
            break;
        }
        simulation.now = next.at;
        simulation.process(next.event);
    }
    Ok(simulation.report(seed))
}

impl<'s> Simulation<'s> {
    fn new(
        script: &'s Script,
        draws: RandomStreams,
        count: usize,
        storm: Option<StormSettings>,
        modules: DecisionModules,
    ) -> Result<Simulation<'s>, SimulateError> {
        let planned = plan(script, draws);
        let initial_count = initial_gateways(script, count);
        let mut gateways = Vec::with_capacity(count);
        for gateway_index in 0..count {
            // A decision module shared by all gateways gets the settings of a single gateway.
            let counted = if modules == DecisionModules::Shared { 1 } else { count };
            let settings: Settings = parse_settings(&script.settings(gateway_index, counted).to_string())?;
            gateways.push(Gateway {
                storm: storm.map(|storm_settings| {
                    let platform_settings = PlatformSettings {
                        slow_start_min_capacity: settings.slow_start_min_capacity,
                        slow_start_duration: settings.slow_start_duration,
                        max_retry_after: settings.max_retry_after,
                        tenant_quotas: &settings.tenant_quotas,
                        gateway_count: settings.gateway_count,
                    };
                    RetryStormControl::new(
                        storm_settings,
                        platform_settings,
                        draws.number(Purpose::RetryAfterJitter, gateway_index as u64),
                    )
                }),
                module: {
                    let seed = draws.number(Purpose::GatewaySeed, gateway_index as u64);
                    match modules {
                        DecisionModules::Baseline => {
                            DecisionModule::Baseline(Box::new(BaselineBalancer::new(
                                settings,
                                draws.stream(Purpose::GatewaySeed, gateway_index as u64),
                            )))
                        }
                        _ => DecisionModule::Real(Box::new(Balancer::new(settings, seed))),
                    }
                },
                zone: script.zone_of(gateway_index),
                endpoints: Vec::new(),
                idle: vec![Vec::new(); script.fleet.nodes],
                version: 0,
                watching: script.discovery.pushed && gateway_index < initial_count,
                incarnation: 0,
                alive: true,
            });
        }
        let (endpoint_models, planned_count) = (endpoints(script, draws), planned.len());
        let mut simulation = Simulation {
            script,
            draws,
            now: Duration::ZERO,
            scheduled: BinaryHeap::new(),
            order: 0,
            first_sent: vec![Duration::ZERO; planned_count],
            sends: vec![Vec::new(); planned_count],
            planned,
            requests: Vec::new(),
            attempts: Vec::new(),
            connection_gateways: Vec::new(),
            kinds: kinds(script),
            endpoint_due: vec![None; endpoint_models.len()],
            endpoint_models,
            gateways,
            modules,
            gateways_by_zone: front_targets(script, initial_count),
            mean_weight: mean_weight(script),
            discovery: Discovery::new(script, draws),
            weights: vec![1.0; script.fleet.nodes],
            agent_version: 1,
            checker: empty_checker(script),
            counts: Counts::default(),
            timeline: Vec::new(),
            sampled_counts: Counts::default(),
            in_time: (0, 0),
            cost: Cost::default(),
            actions: Vec::new(),
        };
        simulation.weights =
            simulation.endpoint_models.iter().map(|endpoint| simulation.weight(endpoint)).collect();
        for gateway_index in 0..simulation.module_count().min(initial_count) {
            let list = simulation.discovery.list_since(Duration::ZERO, 0);
            simulation.deliver_list(gateway_index, list);
        }
        if initial_count < count {
            simulation.schedule(script.fleet.late_start_at, SimulationEvent::GatewaysJoin);
        }
        if script.fleet.killed_gateways > 0 {
            simulation.schedule(script.fleet.killed_at, SimulationEvent::KillGateways);
        }
        for plan_index in 0..planned_count {
            let at = simulation.planned[plan_index].at;
            simulation.schedule(at, SimulationEvent::SendRequest { plan_index, retries: 0 });
        }
        for (at, endpoint, action) in endpoint_actions(script, draws) {
            simulation.schedule(at, SimulationEvent::EndpointAction { endpoint, action });
        }
        (0..simulation.endpoint_models.len()).for_each(|endpoint| simulation.schedule_endpoint(endpoint));
        simulation.schedule_discovery_change();
        if script.discovery.weights.is_some() {
            simulation.schedule(Duration::ZERO, SimulationEvent::SampleWeights);
        }
        simulation.schedule(Duration::ZERO, SimulationEvent::RecordSample);
        Ok(simulation)
    }

    fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.order += 1;
        self.scheduled.push(ScheduledEvent { at: at.max(self.now), order: self.order, event });
    }

    /// The network delay of a message. Its random draw depends only on the seed, `stream_index` and the kind of message.
    fn network_delay(&self, base: Duration, stream_index: u64, kind: MessageKind) -> Duration {
        let mut stream = self.draws.stream_for_pair(Purpose::NetworkDelay, stream_index, kind as u64);
        let jitter = (1.0 + self.script.network.jitter * stream.normal()).clamp(0.3, 4.0);
        base.mul_f64(jitter)
    }

    fn client_delay(&self, request_index: usize, kind: MessageKind) -> Duration {
        self.network_delay(self.script.network.client, self.requests[request_index].number, kind)
    }

    fn endpoint_delay(&self, attempt_index: usize, kind: MessageKind) -> Duration {
        let attempt = &self.attempts[attempt_index];
        let gateway = &self.gateways[self.requests[attempt.request_index].gateway];
        let network = &self.script.network;
        let base = if gateway.zone == self.script.zone_of(attempt.endpoint) {
            network.same_zone
        } else {
            network.cross_zone
        };
        self.network_delay(
            base,
            self.requests[attempt.request_index].number.wrapping_add(u64::from(attempt.attempt_number)),
            kind,
        )
    }

    fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::SendRequest { plan_index, retries } => self.send_request(plan_index, retries),
            SimulationEvent::RequestArrives { request_index } => self.on_request_arrival(request_index),
            SimulationEvent::ClientTimeout { request_index } => self.on_client_timeout(request_index),
            SimulationEvent::GatewayTimeout { request_index } => {
                if !self.requests[request_index].answered {
                    self.send_answer(request_index, ClientOutcome::Failed);
                    self.handle(
                        self.requests[request_index].gateway,
                        Event::ClientDisconnected { request: request_id(request_index) },
                    );
                }
            }
            // A timer that an earlier process of the gateway set is ignored.
            SimulationEvent::Timer { gateway, incarnation, token } => {
                if incarnation == self.gateways[gateway].incarnation {
                    self.handle(gateway, Event::Timer { token });
                }
            }
            SimulationEvent::DialArrives { attempt_index } => self.on_dial(attempt_index),
            SimulationEvent::DialEnded { attempt_index, is_up } => self.on_dial_ended(attempt_index, is_up),
            SimulationEvent::DialTimeout { attempt_index } => {
                let attempt = &self.attempts[attempt_index];
                if !attempt.ended && !attempt.written {
                    self.close_connection(attempt_index);
                    self.end_attempt(attempt_index, Outcome::NoConnection);
                }
            }
            SimulationEvent::AttemptArrives { attempt_index } => self.on_attempt_arrival(attempt_index),
            SimulationEvent::EndpointChange { endpoint, due } => {
                if self.endpoint_due[endpoint] == Some(due) {
                    self.endpoint_due[endpoint] = None;
                    self.endpoint_models[endpoint].advance(self.now);
                    self.take_outputs(endpoint);
                }
            }
            SimulationEvent::AttemptReply { attempt_index, outcome, report } => {
                self.on_reply(attempt_index, outcome, report);
            }
            SimulationEvent::AttemptTimeout { attempt_index } => {
                if !self.attempts[attempt_index].ended {
                    let outcome = if self.attempts[attempt_index].written {
                        Outcome::TimedOut
                    } else {
                        Outcome::NoConnection
                    };
                    self.close_connection(attempt_index);
                    self.end_attempt(attempt_index, outcome);
                }
            }
            SimulationEvent::ConnectionClosed { endpoint, connection, attempt } => {
                if let Some(attempt) = attempt {
                    self.checker.record_end(attempt, self.now, AttemptEnd::Left);
                }
                self.endpoint_models[endpoint].disconnect(self.now, connection);
                self.take_outputs(endpoint);
            }
            SimulationEvent::IdleConnectionEnded { gateway, endpoint, connection } => {
                self.on_idle_connection_ended(gateway, endpoint, connection);
            }
            SimulationEvent::Answered { request_index, outcome } => self.on_answer(request_index, outcome),
            SimulationEvent::DiscoveryPolled { gateway } => self.on_discovery_poll(gateway),
            SimulationEvent::DiscoveryResponse { gateway, list } => self.on_discovery_response(gateway, list),
            SimulationEvent::DiscoveryChange => self.on_discovery_change(),
            SimulationEvent::SampleWeights => self.sample_weights(),
            SimulationEvent::WeightUpdate { weights } => self.on_weight_update(weights),
            SimulationEvent::EndpointAction { endpoint, action } => {
                apply_to_model(&mut self.endpoint_models[endpoint], self.now, action);
                if action == EndpointAction::Start && self.endpoint_models[endpoint].state() == State::Up {
                    self.checker.record_cold_start(endpoint, self.now);
                }
                self.take_outputs(endpoint);
            }
            SimulationEvent::GatewaysJoin => self.start_joining_gateways(),
            SimulationEvent::KillGateways => self.kill_gateways(),
            SimulationEvent::KillNoticed => self.update_front(),
            SimulationEvent::RestartGateways => self.restart_gateways(),
            SimulationEvent::RecordSample => self.record_sample(),
        }
    }

    // ---- clients ----

    fn send_request(&mut self, plan_index: usize, retries: u32) {
        let planned = &self.planned[plan_index];
        if retries == 0 {
            self.first_sent[plan_index] = self.now;
            self.counts.asked += 1;
        }
        self.counts.client_attempts += 1;
        let number = planned.number(self.draws, retries);
        self.sends[plan_index].push((number, self.now));
        let deadline = self.now + client_timeout(self.script, planned, self.first_sent[plan_index], self.now);
        let class = planned.class;
        let own = &self.gateways_by_zone[planned.zone];
        let gateway = own[weldworks_balancer::mix(number) as usize % own.len()];
        self.checker.record_request(number, SentRequest { gateway, class, sent_at: self.now, deadline });
        let request_index = self.requests.len();
        let (closed, answered, attempts) = Default::default();
        self.requests.push(ClientRequest {
            plan_index,
            number,
            retries,
            gateway,
            until: deadline,
            closed,
            answered,
            attempts,
        });
        let delay = self.client_delay(request_index, MessageKind::ToGateway);
        self.schedule(self.now + delay, SimulationEvent::RequestArrives { request_index });
        self.schedule(deadline, SimulationEvent::ClientTimeout { request_index });
    }

    /// The gateways that join during the run receive their first endpoint list, and the front load balancer begins to send them requests.
    fn start_joining_gateways(&mut self) {
        let count = self.gateways.len();
        for gateway_index in initial_gateways(self.script, count)..self.module_count() {
            self.gateways[gateway_index].watching = self.script.discovery.pushed;
            let list = self.discovery.list_since(self.now, 0);
            self.deliver_list(gateway_index, list);
        }
        self.update_front();
    }

    fn on_client_timeout(&mut self, request_index: usize) {
        if self.requests[request_index].closed {
            return;
        }
        self.checker.record_give_up(self.requests[request_index].number, self.now);
        self.close_request(request_index, ClientOutcome::Failed);
        if !self.requests[request_index].answered {
            self.requests[request_index].answered = true;
            self.handle(
                self.requests[request_index].gateway,
                Event::ClientDisconnected { request: request_id(request_index) },
            );
        }
    }

    fn on_answer(&mut self, request_index: usize, outcome: ClientOutcome) {
        let number = self.requests[request_index].number;
        let got = match outcome {
            ClientOutcome::Served => FinalAnswer::Served,
            ClientOutcome::Rejected { .. } => FinalAnswer::Refused,
            ClientOutcome::Failed | ClientOutcome::Unreachable => FinalAnswer::Failed,
        };
        self.checker.record_answer(number, self.now, got);
        if !self.requests[request_index].closed {
            self.close_request(request_index, outcome);
        }
    }

    fn close_request(&mut self, request_index: usize, outcome: ClientOutcome) {
        self.requests[request_index].closed = true;
        let (plan_index, retries) =
            (self.requests[request_index].plan_index, self.requests[request_index].retries + 1);
        let (planned, first) = (&self.planned[plan_index], self.first_sent[plan_index]);
        match outcome {
            ClientOutcome::Served => {
                self.counts.served += 1;
                let in_time_until = first + self.script.classes[planned.class].latency_objective;
                self.in_time.0 += u64::from(self.now <= in_time_until);
            }
            ClientOutcome::Rejected { .. } => self.counts.refused += 1,
            ClientOutcome::Failed => self.counts.failed += 1,
            ClientOutcome::Unreachable => self.counts.unreachable += 1,
        }
        if let Some(at) = next_retry(self.script, planned, first, retries, outcome, self.now) {
            self.schedule(at, SimulationEvent::SendRequest { plan_index, retries });
        }
    }

    // ---- gateways ----

    fn on_request_arrival(&mut self, request_index: usize) {
        let ClientRequest { plan_index, retries, gateway, until, closed, .. } = self.requests[request_index];
        if closed {
            return; // the gateway was killed while the request was on its way
        }
        if !self.gateways[gateway].alive {
            return self.fail_request(request_index, ClientOutcome::Unreachable);
        }
        let planned = &self.planned[plan_index];
        let answer_by = until.saturating_sub(ANSWER_MARGIN);
        let (weight, mean) = (self.script.classes[planned.class].priority_weight, self.mean_weight);
        let arriving = ArrivingRequest {
            is_client_retry: retries > 0,
            identity: retry_identity(planned),
            relative_weight: weight / mean,
            tenant: planned.tenant,
        };
        let admitted_share = match &mut self.gateways[gateway].storm {
            Some(storm) => storm.admit(CLOCK_AT_START + self.now, arriving).admission_share,
            None => 1.0,
        };
        let planned = &self.planned[plan_index];
        let request = Request {
            id: request_id(request_index),
            class: planned.class,
            tenant: planned.tenant,
            key: planned.subject.map(weldworks_balancer::mix),
            cost_hint: self.script.clients.send_cost_hints.then(|| Duration::from_secs_f64(planned.work_s)),
            is_client_retry: retries > 0,
            admission_share: admitted_share,
            client_deadline: CLOCK_AT_START + answer_by,
            body_streaming: false,
        };
        self.cost.requests += 1;
        self.schedule(answer_by, SimulationEvent::GatewayTimeout { request_index });
        self.handle(gateway, Event::Request(request));
    }

    fn handle(&mut self, gateway: usize, event: Event<'_>) {
        let gateway = self.module_of(gateway);
        if !self.gateways[gateway].alive {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        let began = Instant::now();
        self.gateways[gateway].module.handle(CLOCK_AT_START + self.now, event, &mut actions);
        self.cost.deciding += began.elapsed();
        for action in actions.drain(..) {
            self.apply_action(gateway, action);
        }
        if self.actions.capacity() < actions.capacity() {
            self.actions = actions;
        }
    }

    /// The number of decision modules.
    fn module_count(&self) -> usize {
        match self.modules {
            DecisionModules::PerGateway | DecisionModules::Baseline => self.gateways.len(),
            DecisionModules::Shared => 1,
        }
    }

    /// The index of the decision module that decides for a gateway.
    fn module_of(&self, gateway: usize) -> usize {
        match self.modules {
            DecisionModules::PerGateway | DecisionModules::Baseline => gateway,
            DecisionModules::Shared => 0,
        }
    }

    fn apply_action(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Send { request, endpoint: endpoint_id, deadline: until, write_by } => {
                let request_index = request_index_of(request);
                let write_by = write_by.map(|by| by.saturating_sub(CLOCK_AT_START));
                self.send_attempt(
                    self.requests[request_index].gateway,
                    request_index,
                    endpoint_id,
                    until.saturating_sub(CLOCK_AT_START),
                    write_by,
                );
            }
            // Ignored, since request bodies of scripts are never streamed.
            Action::SetAttemptDeadline { .. } => {}
            Action::Cancel { request, attempt } => {
                let request_index = request_index_of(request);
                let found = self
                    .requests
                    .get(request_index)
                    .and_then(|request| request.attempts.get(attempt as usize))
                    .copied();
                if let Some(attempt_index) =
                    found.filter(|attempt_index| !self.attempts[*attempt_index].ended)
                {
                    self.close_connection(attempt_index);
                    self.end_attempt(attempt_index, Outcome::Cancelled);
                }
            }
            Action::Reject { request, retry_after: advised_delay } => {
                let retry_after = Some(advised_delay).filter(|delay| !delay.is_zero());
                self.send_answer(request_index_of(request), ClientOutcome::Rejected { retry_after });
            }
            Action::Fail { request } => self.send_answer(request_index_of(request), ClientOutcome::Failed),
            Action::SetTimer { after, token } => {
                let incarnation = self.gateways[gateway].incarnation;
                self.schedule(
                    self.now + after.max(TIMER_RESOLUTION),
                    SimulationEvent::Timer { gateway, incarnation, token },
                );
            }
            Action::Probe { endpoint: endpoint_id } => {
                let (outcome, latency) = (Outcome::NotSent, Duration::ZERO);
                self.handle(gateway, Event::ProbeEnded { endpoint: endpoint_id, outcome, latency });
            }
            Action::CloseIdleConnections { endpoint: endpoint_id } => {
                let endpoint = endpoint_id.0 as usize;
                for gateway_index in 0..self.gateways.len() {
                    if self.module_of(gateway_index) == gateway {
                        let idle = std::mem::take(&mut self.gateways[gateway_index].idle[endpoint]);
                        for (connection, _) in idle {
                            self.schedule(
                                self.now,
                                SimulationEvent::ConnectionClosed { endpoint, connection, attempt: None },
                            );
                        }
                    }
                }
            }
            Action::PollDiscovery => {
                self.gateways[gateway].watching = false;
                let at = self.now + self.script.network.same_zone;
                self.schedule(at, SimulationEvent::DiscoveryPolled { gateway });
            }
        }
    }

    /// Sends the gateway's final answer to the client; later answers to the same request are ignored.
    fn send_answer(&mut self, request_index: usize, mut outcome: ClientOutcome) {
        if !std::mem::replace(&mut self.requests[request_index].answered, true) {
            let ClientRequest { gateway, plan_index, .. } = self.requests[request_index];
            let now = CLOCK_AT_START + self.now;
            if let Some(storm) = &mut self.gateways[gateway].storm {
                storm.record_result(now, request_result(outcome));
                if let ClientOutcome::Rejected { retry_after } = &mut outcome {
                    let request_retry_after = storm.retry_after(
                        now,
                        retry_identity(&self.planned[plan_index]),
                        retry_after.unwrap_or_default(),
                    );
                    *retry_after = Some(request_retry_after).filter(|delay| !delay.is_zero());
                }
            }
            let delay = self.client_delay(request_index, MessageKind::ToClient);
            self.schedule(self.now + delay, SimulationEvent::Answered { request_index, outcome });
        }
    }

    fn send_attempt(
        &mut self,
        gateway: usize,
        request_index: usize,
        endpoint_id: EndpointId,
        until: Duration,
        write_by: Option<Duration>,
    ) {
        let endpoint = endpoint_id.0 as usize;
        let until = until.min(self.requests[request_index].until.saturating_sub(ANSWER_MARGIN));
        let attempt_index = self.attempts.len();
        let attempt_number = self.requests[request_index].attempts.len() as u32;
        self.requests[request_index].attempts.push(attempt_index);
        let reuse_limit = self.reuse_limit(); // like the gateway program, prefers the connection that was used last
        let idle = &mut self.gateways[gateway].idle[endpoint];
        let reused = loop {
            match idle.pop() {
                Some((connection, since)) if self.now - since < reuse_limit => break Some(connection),
                Some(_) => {}
                None => break None,
            }
        };
        let connection = reused.unwrap_or_else(|| {
            self.connection_gateways.push(gateway);
            self.connection_gateways.len() as u64 - 1
        });
        let (sent, written, ended) = (self.now, reused.is_some(), false);
        self.attempts.push(Attempt {
            request_index,
            attempt_number,
            endpoint,
            connection,
            sent,
            until,
            write_by,
            written,
            ended,
        });
        self.schedule(until, SimulationEvent::AttemptTimeout { attempt_index });
        if written {
            let delay = self.endpoint_delay(attempt_index, MessageKind::ToEndpoint);
            self.schedule(self.now + delay, SimulationEvent::AttemptArrives { attempt_index });
        } else {
            self.counts.connections += 1;
            let delay = self.endpoint_delay(attempt_index, MessageKind::Dial);
            self.schedule(self.now + delay, SimulationEvent::DialArrives { attempt_index });
            self.schedule(
                self.now + self.script.limits.connect_timeout,
                SimulationEvent::DialTimeout { attempt_index },
            );
        }
    }

    fn on_dial(&mut self, attempt_index: usize) {
        let Attempt { endpoint, connection, .. } = self.attempts[attempt_index];
        if self.endpoint_models[endpoint].state() == State::CutOff {
            return;
        }
        let is_up = self.endpoint_models[endpoint].connect(self.now, connection);
        self.take_outputs(endpoint);
        let delay = self.endpoint_delay(attempt_index, MessageKind::DialEnded);
        self.schedule(self.now + delay, SimulationEvent::DialEnded { attempt_index, is_up });
    }

    fn on_dial_ended(&mut self, attempt_index: usize, is_up: bool) {
        let Attempt { request_index, endpoint, connection, write_by, ended, .. } =
            self.attempts[attempt_index];
        let gateway = self.requests[request_index].gateway;
        if ended {
            if is_up {
                self.schedule(
                    self.now,
                    SimulationEvent::ConnectionClosed { endpoint, connection, attempt: None },
                );
            }
            return;
        }
        if !is_up {
            return self.end_attempt(attempt_index, Outcome::NoConnection);
        }
        // The request may have been answered, or the endpoint may have begun to drain, while the connection was established.
        let takes_work = self.gateways[self.module_of(gateway)]
            .endpoints
            .iter()
            .any(|listed| listed.id.0 as usize == endpoint && listed.state == EndpointState::Up);
        if self.requests[request_index].answered || !takes_work || write_by.is_some_and(|by| self.now >= by) {
            self.gateways[gateway].idle[endpoint].push((connection, self.now));
            return self.end_attempt(attempt_index, Outcome::NotSent);
        }
        self.attempts[attempt_index].written = true;
        let delay = self.endpoint_delay(attempt_index, MessageKind::ToEndpoint);
        self.schedule(self.now + delay, SimulationEvent::AttemptArrives { attempt_index });
    }

    fn on_attempt_arrival(&mut self, attempt_index: usize) {
        let Attempt { request_index, endpoint, connection, until, .. } = self.attempts[attempt_index];
        if self.endpoint_models[endpoint].state() == State::CutOff || self.attempts[attempt_index].ended {
            return;
        }
        let ClientRequest { number, plan_index, gateway, .. } = self.requests[request_index];
        let planned = &self.planned[plan_index];
        let class = &self.script.classes[planned.class];
        let work_s = attempt_seconds(self.draws, class, planned, endpoint as u64);
        let keyed = match class.idempotency {
            Idempotency::IdempotencyKey { scope: key_scope, window } => {
                Some((planned.key, key_scope, window))
            }
            _ => None,
        };
        let (attempt, last_byte_at) = (attempt_index as u64, Some(self.now));
        let (first_byte_at, started_at, end) = (self.now, None, None);
        self.checker.record_attempt(
            number,
            ObservedAttempt {
                attempt,
                endpoint,
                gateway,
                first_byte_at,
                last_byte_at,
                started_at,
                end,
                work_s,
            },
        );
        self.counts.attempts += 1;
        let work = Work { request: number, seconds: work_s, subject: planned.subject, keyed, until };
        let is_running = matches!(self.endpoint_models[endpoint].state(), State::Up | State::Draining);
        self.endpoint_models[endpoint].request(self.now, connection, attempt, work);
        self.take_outputs(endpoint);
        if !is_running {
            self.checker.record_end(attempt, self.now, AttemptEnd::Broken);
            let delay = self.endpoint_delay(attempt_index, MessageKind::FromEndpoint);
            self.schedule(
                self.now + delay,
                SimulationEvent::AttemptReply { attempt_index, outcome: Outcome::Reset, report: None },
            );
        }
    }

    fn on_reply(&mut self, attempt_index: usize, outcome: Outcome, report: Option<LoadReport>) {
        let Attempt { request_index, endpoint, connection, ended, .. } = self.attempts[attempt_index];
        if ended {
            return;
        }
        if let Some(report) = report {
            let endpoint_id = EndpointId(endpoint as u32);
            self.handle(
                self.requests[request_index].gateway,
                Event::LoadReport { endpoint: endpoint_id, report },
            );
        }
        if outcome != Outcome::Reset {
            self.gateways[self.requests[request_index].gateway].idle[endpoint].push((connection, self.now));
        }
        if outcome == Outcome::Served {
            self.send_answer(request_index, ClientOutcome::Served);
        }
        self.end_attempt(attempt_index, outcome);
    }

    /// A gateway learns that an endpoint has closed an idle connection.
    fn on_idle_connection_ended(&mut self, gateway: usize, endpoint: usize, connection: u64) {
        let (now, reuse_limit, module) = (self.now, self.reuse_limit(), self.module_of(gateway));
        let idle = &mut self.gateways[gateway].idle[endpoint];
        let Some(at) = idle.iter().position(|(id, _)| *id == connection) else { return };
        let (_, since) = idle.remove(at);
        // A connection that has been idle for longer is closed by the gateway program itself, so its end says nothing about the endpoint.
        if now - since < reuse_limit {
            let gateways_of_module =
                (0..self.gateways.len()).filter(|gateway_index| self.module_of(*gateway_index) == module);
            let idle_of_module =
                gateways_of_module.flat_map(|gateway_index| &self.gateways[gateway_index].idle[endpoint]);
            let remaining_count = idle_of_module.filter(|(_, since)| now - *since < reuse_limit).count();
            self.handle(
                gateway,
                Event::IdleConnectionClosed {
                    endpoint: EndpointId(endpoint as u32),
                    idle: now - since,
                    remaining: remaining_count,
                },
            );
        }
    }

    /// The idle time from which a connection is not reused, because its endpoint may be about to close it.
    fn reuse_limit(&self) -> Duration {
        self.script.fleet.kinds.iter().map(|kind| kind.spec.keep_alive).min().unwrap_or_default() / 2
    }

    /// The gateway closes the connection of an attempt.
    fn close_connection(&mut self, attempt_index: usize) {
        let Attempt { endpoint, connection, written, .. } = self.attempts[attempt_index];
        let delay = self.endpoint_delay(attempt_index, MessageKind::Disconnect);
        let attempt = written.then_some(attempt_index as u64);
        self.schedule(self.now + delay, SimulationEvent::ConnectionClosed { endpoint, connection, attempt });
    }

    fn end_attempt(&mut self, attempt_index: usize, outcome: Outcome) {
        let Attempt { request_index, attempt_number, sent, .. } = self.attempts[attempt_index];
        self.attempts[attempt_index].ended = true;
        let (latency, is_answered) = (self.now - sent, self.requests[request_index].answered);
        let event = Event::AttemptEnded {
            request: request_id(request_index),
            attempt: attempt_number,
            latency,
            outcome,
            request_ended: is_answered,
        };
        self.handle(self.requests[request_index].gateway, event);
    }

    // ---- endpoints ----

    /// Processes the outputs of an endpoint and schedules its next internal change.
    fn take_outputs(&mut self, endpoint: usize) {
        let outputs: Vec<Output> = self.endpoint_models[endpoint].outputs().collect();
        for output in outputs {
            match output {
                Output::Began { attempt } => self.checker.record_start(attempt, self.now),
                Output::Answered { attempt, answer, report, .. } => {
                    let (ended, outcome) = match answer {
                        Answer::Served { dropped } => {
                            self.counts.repeats_dropped += u64::from(dropped);
                            (AttemptEnd::Served, Outcome::Served)
                        }
                        Answer::Error => (AttemptEnd::Error, Outcome::Error),
                        Answer::Rejected(_) => (AttemptEnd::TurnedAway, Outcome::Rejected),
                    };
                    self.checker.record_end(attempt, self.now, ended);
                    let attempt_index = attempt as usize;
                    let delay = self.endpoint_delay(attempt_index, MessageKind::FromEndpoint);
                    let report =
                        LoadReport { requests_per_second: report.qps, in_flight: report.inflight }.checked();
                    self.schedule(
                        self.now + delay,
                        SimulationEvent::AttemptReply { attempt_index, outcome, report },
                    );
                }
                Output::Ended { attempt: Some(attempt), .. } => {
                    self.checker.record_end(attempt, self.now, AttemptEnd::Broken);
                    let attempt_index = attempt as usize;
                    let delay = self.endpoint_delay(attempt_index, MessageKind::FromEndpoint);
                    self.schedule(
                        self.now + delay,
                        SimulationEvent::AttemptReply {
                            attempt_index,
                            outcome: Outcome::Reset,
                            report: None,
                        },
                    );
                }
                Output::Ended { connection, attempt: None } => {
                    let at = self.now + self.script.network.same_zone;
                    let gateway = self.connection_gateways[connection as usize];
                    self.schedule(at, SimulationEvent::IdleConnectionEnded { gateway, endpoint, connection });
                }
                Output::Crashed => {
                    self.counts.fallen += 1;
                    self.checker.record_fall(endpoint, self.now);
                    self.discovery.record_crash(endpoint, self.now);
                    self.schedule_discovery_change();
                }
            }
        }
        self.schedule_endpoint(endpoint);
    }

    fn schedule_endpoint(&mut self, endpoint: usize) {
        let next = self.endpoint_models[endpoint].next();
        if let Some(due) = next.filter(|_| self.endpoint_due[endpoint] != next) {
            self.schedule(due, SimulationEvent::EndpointChange { endpoint, due });
        }
        self.endpoint_due[endpoint] = next;
    }

    // ---- reporting ----

    fn record_sample(&mut self) {
        let step = (self.script.lasts / 240).max(Duration::from_millis(100));
        let (now, before, step_s) = (self.counts, self.sampled_counts, step.as_secs_f64());
        let rate = |now: u64, before: u64| ((now - before) as f64 / step_s * 10.0).round() / 10.0;
        let mut sample = Sample {
            at_s: (self.now.as_secs_f64() * 1000.0).round() / 1000.0,
            asked: rate(now.client_attempts, before.client_attempts),
            in_time: rate(self.in_time.0, self.in_time.1),
            refused: rate(now.refused, before.refused),
            failed: rate(now.failed, before.failed),
            ..Sample::default()
        };
        self.endpoint_models.iter().for_each(|endpoint| sample.see(endpoint));
        self.timeline.push(sample);
        (self.sampled_counts, self.in_time.1) = (now, self.in_time.0);
        if self.now + step <= self.script.end() {
            self.schedule(self.now + step, SimulationEvent::RecordSample);
        }
    }

    fn report(self, seed: u64) -> (Report, Cost) {
        let tallies = tallies(self.script, &self.planned, &self.checker, &self.sends);
        let initial_count = initial_gateways(self.script, self.gateways.len());
        let fresh = (initial_count < self.gateways.len())
            .then(|| fresh(self.script, &tallies, initial_count, |plan_index| self.taken_by(plan_index)));
        let report = Report {
            script: self.script.name.clone(),
            seed,
            runner: Runner::VirtualTime,
            gateways: self.gateways.len(),
            nodes: self.endpoint_models.len(),
            service: Some(service(self.script, &tallies)),
            violations: self
                .checker
                .violations(Rules { drain_grace: self.script.limits.drain_grace, ..Rules::virtual_time() }),
            unsound: None,
            counts: self.counts,
            fresh,
            back_s: back(self.script, &tallies),
            dispersion: self.checker.dispersion(self.script.lasts),
            cold_peak: self
                .endpoint_models
                .iter()
                .map(EndpointModel::slow_start_peak)
                .reduce(f64::max)
                .filter(|peak| *peak > 0.0),
            lateness: None,
            timeline: self.timeline,
        };
        (report, self.cost)
    }

    /// The gateway to which a planned request was first sent.
    fn taken_by(&self, plan_index: usize) -> Option<usize> {
        let (number, _) = self.sends.get(plan_index)?.first()?;
        self.checker.record_of(*number)?.request.as_ref().map(|request| request.gateway)
    }
}

impl Sample {
    /// Adds an endpoint to the counts of this sample.
    pub fn see(&mut self, endpoint: &EndpointModel) {
        self.in_flight += endpoint.in_flight();
        match endpoint.state() {
            State::Up if endpoint.is_choked() => self.choked += 1,
            State::Up if endpoint.warm_up_fraction() < 1.0 => self.cold += 1,
            State::Up => self.warm += 1,
            State::Draining => self.draining += 1,
            State::Down | State::CutOff | State::Crashed => self.down += 1,
        }
    }
}

/// How many of `count` gateways run from the start.
fn initial_gateways(script: &Script, count: usize) -> usize {
    count - script.fleet.late_gateways.min(count.saturating_sub(1))
}

/// For each zone, the gateways among the first `count` to which the front load balancer sends the zone's requests.
fn front_targets(script: &Script, count: usize) -> Vec<Vec<usize>> {
    let mut gateways_by_zone = vec![Vec::new(); script.fleet.zones.len()];
    for gateway_index in 0..count {
        // With uneven load, every other gateway of a zone is in the front load balancer's list several times.
        let is_favoured = (gateway_index / script.fleet.zones.len()).is_multiple_of(2);
        let copies = if is_favoured { script.load.uneven } else { 1 };
        gateways_by_zone[script.zone_of(gateway_index)].extend(std::iter::repeat_n(gateway_index, copies));
    }
    // The requests of a zone without gateways go to all gateways.
    gateways_by_zone.iter_mut().filter(|own| own.is_empty()).for_each(|own| own.extend(0..count));
    gateways_by_zone
}

/// The identity of a planned request, which its retries share.
fn retry_identity(planned: &PlannedRequest) -> Option<u64> {
    Some(planned.key)
}

/// The mean priority weight of a request, by the classes' shares of the load.
fn mean_weight(script: &Script) -> f64 {
    let (weight_sum, share_sum) = script.classes.iter().fold((0.0, 0.0), |(weights, shares), class| {
        (weights + class.priority_weight * class.share, shares + class.share)
    });
    weight_sum / share_sum
}

fn request_result(outcome: ClientOutcome) -> RequestResult {
    match outcome {
        ClientOutcome::Served => RequestResult::Served,
        ClientOutcome::Rejected { .. } => RequestResult::Rejected,
        ClientOutcome::Failed | ClientOutcome::Unreachable => RequestResult::Failed,
    }
}

/// The id of a request in the decision module; never 0.
fn request_id(request_index: usize) -> RequestId {
    RequestId(request_index as u64 + 1)
}

fn request_index_of(request: RequestId) -> usize {
    request.0 as usize - 1
}
