//! The state of one gateway's balancer, and the dispatch of events to the modules that make the decisions.

use crate::api::{Action, Event, Outcome, RequestClass, RequestId, Settings};
use crate::derived_settings::DerivedSettings;
use crate::discovery_polling::DiscoveryPolling;
use crate::endpoint_list::ListKind;
use crate::endpoint_state::{EndpointRecord, FleetLatency};
use crate::key_sequencing::KeyQueue;
use crate::load_signals::ListedLoad;
use crate::maintenance::MaintenanceClock;
use crate::outlier_detection::ClassFailures;
use crate::request::RequestState;
use crate::retry_budget::RetryBudget;
use crate::slow_start::LastIdleClose;
use crate::traffic_stats::TrafficStats;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Timer token of the next discovery poll; all tokens but this and [`ENDPOINT_DRAIN_TIMER_TOKEN`] are request numbers.
pub(crate) const DISCOVERY_POLL_TIMER_TOKEN: u64 = 0;
/// Timer token of the next round of closing connections to draining endpoints.
pub(crate) const ENDPOINT_DRAIN_TIMER_TOKEN: u64 = 1 << 62;

/// The load balancer of one gateway: it takes events and returns actions for the gateway to carry out.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) derived_settings: DerivedSettings,
    pub(crate) rng: fastrand::Rng,
    /// State of the endpoints, indexed by endpoint number.
    pub(crate) endpoints: Vec<EndpointRecord>,
    /// Numbers of the endpoints that take new attempts.
    pub(crate) ready: Vec<usize>,
    pub(crate) fleet_latency: FleetLatency,
    /// Requests that are open or have attempts in flight, by request number.
    pub(crate) requests: FxHashMap<u64, RequestState>,
    /// Queues of the requests of sequential classes, by request key.
    pub(crate) key_queues: FxHashMap<u64, KeyQueue>,
    pub(crate) traffic: TrafficStats,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) maintenance: MaintenanceClock,
    pub(crate) listed_load: ListedLoad,
    pub(crate) discovery: DiscoveryPolling,
    pub(crate) drain_timer_set: bool,
    pub(crate) last_idle_close: LastIdleClose,
}

/// An action that sets a timer, `after_s` seconds from now.
pub(crate) fn set_timer(after_s: f64, token: u64) -> Action {
    Action::SetTimer { after: Duration::from_secs_f64(after_s.max(0.0)), token }
}

impl Balancer {
    /// A balancer with the settings of its gateway and a random seed, which should differ between gateways.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let derived_settings = DerivedSettings::new(&settings);
        Balancer {
            derived_settings,
            fleet_latency: FleetLatency::initial(derived_settings.shortest_objective_s),
            traffic: TrafficStats::new(settings.classes.len()),
            settings,
            rng: fastrand::Rng::with_seed(seed),
            endpoints: Vec::new(),
            ready: Vec::new(),
            requests: FxHashMap::default(),
            key_queues: FxHashMap::default(),
            retry_budget: RetryBudget::new(),
            maintenance: MaintenanceClock::new(),
            listed_load: ListedLoad::none(),
            discovery: DiscoveryPolling::new(),
            drain_timer_set: false,
            last_idle_close: LastIdleClose::none(),
        }
    }

    /// Replaces the settings. The learned state of endpoints stays.
    /// Open requests keep their class and limits. A class that differs from the previous class at its index starts without statistics.
    /// Class indices must stay valid: keep removed classes in the list with `retired = true`.
    pub fn apply_settings(&mut self, settings: Settings) {
        self.derived_settings = DerivedSettings::new(&settings);
        self.traffic.class_latency_s.resize(settings.classes.len(), 0.0);
        for (index, (old, new)) in self.settings.classes.iter().zip(&settings.classes).enumerate() {
            if is_same_class(old, new) {
                continue;
            }
            self.traffic.class_latency_s[index] = 0.0;
            for endpoint in &mut self.endpoints {
                if let Some(failures) = endpoint.class_failures.get_mut(index) {
                    *failures = ClassFailures::default();
                }
            }
        }
        self.settings = settings;
    }

    /// Handles an event at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        let now_s = now.as_secs_f64();
        if self.maintenance.is_due(now_s) {
            self.run_maintenance(now_s);
        }
        match event {
            Event::EndpointList { is_snapshot, endpoints } => {
                let kind = if is_snapshot { ListKind::Snapshot } else { ListKind::Delta };
                self.on_endpoint_list(now_s, kind, endpoints, actions);
            }
            Event::DiscoveryFailed { silent_for, cause } => {
                self.discovery.on_failure(now_s, silent_for, cause, &self.settings, &mut self.rng, actions);
            }
            Event::DiscoveryChanged => {
                self.discovery.on_service_changed(now_s, &self.settings, &mut self.rng, actions);
            }
            Event::Request(request) => self.on_request(now_s, &request, actions),
            Event::ResponseStarted { request, attempt, latency } => {
                self.on_response_started(now_s, request, attempt, latency, actions);
            }
            Event::BodyForwardingStarted { request } => {
                self.update_request_and_key(now_s, request, actions, |_, state, _| {
                    state.body_forwarding_started = true;
                });
            }
            Event::BodyForwarded { request, client_deadline } => {
                self.on_body_forwarded(now_s, request, client_deadline, actions);
            }
            Event::AttemptEnded { request, attempt, latency, outcome, request_ended } => {
                self.update_request_and_key(now_s, request, actions, |balancer, state, actions| {
                    state.open &= !request_ended;
                    let latency_s = latency.as_secs_f64();
                    balancer.on_attempt_ended(now_s, state, attempt, outcome, latency_s, actions);
                    if state.open && state.attempts_in_flight() == 0 {
                        balancer.advance(now_s, request, state, actions);
                    }
                });
            }
            Event::ClientDisconnected { request } => {
                self.update_request_and_key(now_s, request, actions, |_, state, _| state.open = false);
            }
            Event::Timer { token } => self.on_timer(now_s, token, actions),
            Event::LoadReport { endpoint, report } => self.on_load_report(now_s, endpoint, report),
            Event::IdleConnectionClosed { endpoint, idle, remaining } => {
                self.on_idle_connection_closed(now_s, endpoint, idle.as_secs_f64(), remaining);
            }
            Event::ProbeEnded { .. } => {}
        }
    }

    /// Ends a request whose response is being forwarded while it is received:
    /// its attempt counts as served, and no outcome of the attempt follows.
    fn on_response_started(
        &mut self,
        now_s: f64,
        request: RequestId,
        attempt: u32,
        latency: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.update_request_and_key(now_s, request, actions, |balancer, state, actions| {
            state.open = false;
            let latency_s = latency.as_secs_f64();
            balancer.on_attempt_ended(now_s, state, attempt, Outcome::Served, latency_s, actions);
        });
    }

    fn on_timer(&mut self, now_s: f64, token: u64, actions: &mut Vec<Action>) {
        match token {
            DISCOVERY_POLL_TIMER_TOKEN => self.discovery.on_timer(now_s, actions),
            ENDPOINT_DRAIN_TIMER_TOKEN => self.on_drain_timer(actions),
            request => {
                let id = RequestId(request);
                self.update_request_and_key(now_s, id, actions, |balancer, state, actions| {
                    if state.open {
                        balancer.advance(now_s, id, state, actions);
                    }
                });
            }
        }
    }

    /// Runs `update` on a request, if the request is known.
    /// Then takes the next step of the requests with the same key that the update has released.
    pub(crate) fn update_request_and_key(
        &mut self,
        now_s: f64,
        id: RequestId,
        actions: &mut Vec<Action>,
        update: impl FnOnce(&mut Self, &mut RequestState, &mut Vec<Action>),
    ) {
        let mut released_key = self.update_request(id, actions, update);
        while let Some(next) = released_key.and_then(|key| self.release_next_of_key(key)) {
            let id = RequestId(next);
            released_key = self.update_request(id, actions, |balancer, state, actions| {
                balancer.advance(now_s, id, state, actions);
            });
        }
    }

    /// Runs `update` on a request, if the request is known. If the update closes the request, its attempts in flight are cancelled.
    /// A closed request without attempts in flight is removed, and its key is returned if its class is sequential.
    fn update_request(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
        update: impl FnOnce(&mut Self, &mut RequestState, &mut Vec<Action>),
    ) -> Option<u64> {
        let mut request = self.requests.remove(&id.0)?;
        let was_open = request.open;
        update(self, &mut request, actions);
        if was_open && !request.open && request.limits.cancellation_allowed {
            let numbered = (0u32..).zip(&request.attempts);
            let in_flight = numbered.filter(|(_, attempt)| attempt.is_in_flight);
            actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        }
        if request.open || request.attempts_in_flight() > 0 {
            self.requests.insert(id.0, request);
            return None;
        }
        request.key.filter(|_| self.settings.classes[request.class].sequential)
    }
}

/// Whether two request classes are equal except for `retired`.
fn is_same_class(old: &RequestClass, new: &RequestClass) -> bool {
    *old == RequestClass { retired: old.retired, ..new.clone() }
}
