//! An independent checker of the rules for attempts, answers, key order and draining.
//! The checker does not know how the balancer chooses its actions.

use super::MAX_WRITE_DELAY;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use weldworks_balancer::*;

/// The rule that an action violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    AnsweredTwice,
    NotAnsweredInTime,
    SentAfterEnd,
    SentOutOfKeyOrder,
    SentToUnavailableEndpoint,
    SentBeyondClientDeadline,
    TooManyAttempts,
    TooManyAttemptsInFlight,
    NotIdempotentProcessedTwice,
    KeyRepeatedAfterWindow,
    KeyRepeatedOutsideZone,
    KeyRepeatedOutsideCell,
    WriteDeadlineDiffersFromKeyWindow,
    RejectedThoughPossiblyProcessed,
    DrainingConnectionsLeftOpen,
}

/// An attempt as the checker has observed it.
#[derive(Clone)]
pub struct TrackedAttempt {
    /// The entry of the endpoint when the attempt was sent.
    pub entry: Endpoint,
    pub endpoint: u32,
    pub sent_at: Duration,
    pub outcome: Option<Outcome>,
    /// When the outcome was reported to the balancer.
    pub ended_at: Duration,
}

impl TrackedAttempt {
    fn is_possibly_processed(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent))
    }
}

/// A request as the checker has observed it.
pub struct TrackedRequest {
    pub class: usize,
    pub key: Option<u64>,
    pub client_deadline: Duration,
    pub attempts: Vec<TrackedAttempt>,
    pub ended: bool,
    pub answers: u32,
}

/// Violations, counts and actions that a run produced.
#[derive(Default)]
pub struct Observations {
    pub violations: BTreeSet<Violation>,
    pub sends: u64,
    /// Number of sends of requests that had been sent before.
    pub repeats: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Number of sends to endpoints in slow start.
    pub cold_sends: u64,
    pub connection_closes: u64,
    pub log: Vec<(Duration, Action)>,
}

/// Checks the balancer's actions against the rules.
pub struct Checker {
    pub settings: Settings,
    pub endpoints: BTreeMap<u32, Endpoint>,
    pub requests: BTreeMap<u64, TrackedRequest>,
    /// For each draining endpoint, when its idle connections became due for closing.
    pub close_due_since: BTreeMap<u32, Duration>,
    /// Timers that the balancer has set: when each is due, and its token.
    pub timers: Vec<(Duration, u64)>,
    pub observed: Observations,
}

impl Checker {
    pub fn new(settings: Settings) -> Self {
        Checker {
            settings,
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            close_due_since: BTreeMap::new(),
            timers: Vec::new(),
            observed: Observations::default(),
        }
    }

    /// Observes an entry of an endpoint list. A drain starts the time in which connections must be closed;
    /// an endpoint that is up or removed has no such time.
    pub fn observe_endpoint(&mut self, now: Duration, endpoint: &Endpoint) {
        let previous = self.endpoints.insert(endpoint.id.0, endpoint.clone());
        let was_draining = previous.is_some_and(|previous| previous.state == EndpointState::Draining);
        if endpoint.state != EndpointState::Draining {
            self.close_due_since.remove(&endpoint.id.0);
        } else if !was_draining {
            self.close_due_since.insert(endpoint.id.0, now);
        }
    }

    /// Observes a send to an endpoint or an outcome from it.
    /// While the endpoint drains, the time in which its connections must be closed starts again.
    pub fn observe_connection_use(&mut self, now: Duration, endpoint: u32) {
        if self.endpoints[&endpoint].state == EndpointState::Draining {
            self.close_due_since.insert(endpoint, now);
        }
    }

    /// Checks the rules that are violated by the passing of time alone.
    pub fn check_time(&mut self, now: Duration) {
        for request in self.requests.values() {
            if !request.ended && now > request.client_deadline + Duration::from_millis(20) {
                self.observed.violations.insert(Violation::NotAnsweredInTime);
            }
        }
        if let Some(within) = self.settings.drain_close_within {
            if self.close_due_since.values().any(|&since| now > since + within) {
                self.observed.violations.insert(Violation::DrainingConnectionsLeftOpen);
            }
        }
    }

    /// Checks the actions that the balancer returned for an event.
    pub fn check_actions(&mut self, now: Duration, actions: &[Action]) {
        for action in actions {
            self.observed.log.push((now, action.clone()));
            match action {
                Action::Send { request, endpoint, deadline, write_by } => {
                    self.check_send(now, request.0, endpoint.0, *deadline, *write_by);
                }
                Action::Reject { request, .. } => self.check_rejection(request.0),
                Action::Fail { request } => {
                    self.observed.failed += 1;
                    self.check_answer(request.0);
                }
                Action::SetTimer { after, token } => self.timers.push((now + *after, *token)),
                Action::Cancel { request, attempt } => {
                    assert!(self.requests[&request.0].attempts.get(*attempt as usize).is_some());
                }
                Action::CloseIdleConnections { endpoint } => {
                    self.close_due_since.remove(&endpoint.0);
                    self.observed.connection_closes += 1;
                }
                Action::Probe { .. } | Action::PollDiscovery | Action::SetAttemptDeadline { .. } => {}
            }
        }
    }

    fn check_rejection(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("the rejected request is known");
        let is_retry_safe = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
        );
        if !is_retry_safe && request.attempts.iter().any(TrackedAttempt::is_possibly_processed) {
            self.observed.violations.insert(Violation::RejectedThoughPossiblyProcessed);
        }
        self.observed.rejected += 1;
        self.check_answer(id);
    }

    fn check_answer(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("the answered request is known");
        if request.ended {
            self.observed.violations.insert(Violation::AnsweredTwice);
        }
        request.ended = true;
        request.answers += 1;
    }

    fn check_send(
        &mut self,
        now: Duration,
        id: u64,
        endpoint: u32,
        deadline: Duration,
        write_by: Option<Duration>,
    ) {
        let entry = self.endpoints.get(&endpoint).expect("the endpoint of the send is listed").clone();
        self.check_limits(now, id, &entry, deadline);
        self.check_idempotency(now, id, &entry, write_by);
        self.observe_connection_use(now, endpoint);
        let request = self.requests.get_mut(&id).expect("the request that is sent is known");
        if !request.attempts.is_empty() {
            self.observed.repeats += 1;
        }
        self.observed.sends += 1;
        if entry.started.is_some_and(|started| now < started + self.settings.slow_start_duration) {
            self.observed.cold_sends += 1;
        }
        request.attempts.push(TrackedAttempt { endpoint, entry, sent_at: now, outcome: None, ended_at: now });
    }

    fn check_limits(&mut self, now: Duration, id: u64, entry: &Endpoint, deadline: Duration) {
        let request = &self.requests[&id];
        let in_flight = request.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        let max_in_flight_before = if self.settings.hedging_allowed { 1 } else { 0 };
        let checks = [
            (request.ended, Violation::SentAfterEnd),
            (self.is_out_of_key_order(now, id), Violation::SentOutOfKeyOrder),
            (entry.state != EndpointState::Up, Violation::SentToUnavailableEndpoint),
            (deadline > request.client_deadline, Violation::SentBeyondClientDeadline),
            (request.attempts.len() as u32 >= self.settings.max_attempts, Violation::TooManyAttempts),
            (in_flight > max_in_flight_before, Violation::TooManyAttemptsInFlight),
        ];
        self.observed.record(checks);
    }

    /// Checks a send against each earlier attempt that was possibly processed. The zone and cell of an earlier attempt are those of its
    /// endpoint's entry when it was sent: the endpoint shared the key with that zone or cell.
    fn check_idempotency(&mut self, now: Duration, id: u64, entry: &Endpoint, write_by: Option<Duration>) {
        let request = &self.requests[&id];
        let mut key_known_until: Option<Duration> = None;
        for earlier in request.attempts.iter().filter(|attempt| attempt.is_possibly_processed()) {
            match self.settings.classes[request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    self.observed.record([(true, Violation::NotIdempotentProcessedTwice)]);
                }
                Idempotency::IdempotencyKey { scope, window } => {
                    let known_until = (earlier.sent_at + window).saturating_sub(MAX_WRITE_DELAY);
                    key_known_until = key_known_until.into_iter().chain([known_until]).min();
                    let is_other_zone = earlier.entry.zone != entry.zone;
                    let is_other_cell = earlier.entry.cell != entry.cell;
                    self.observed.record([
                        (now >= known_until, Violation::KeyRepeatedAfterWindow),
                        (scope == KeyScope::Zone && is_other_zone, Violation::KeyRepeatedOutsideZone),
                        (scope == KeyScope::Cell && is_other_cell, Violation::KeyRepeatedOutsideCell),
                    ]);
                }
            }
        }
        let is_wrong_write_deadline = match (write_by, key_known_until) {
            (Some(write_by), Some(known_until)) => write_by.abs_diff(known_until) > Duration::from_micros(1),
            (write_by, known_until) => write_by.is_some() != known_until.is_some(),
        };
        self.observed.record([(is_wrong_write_deadline, Violation::WriteDeadlineDiffersFromKeyWindow)]);
    }

    /// Whether an earlier request of the same key is still open, has an attempt in flight, or has started a quiet period that is not over.
    fn is_out_of_key_order(&self, now: Duration, id: u64) -> bool {
        let sequential_key = |request: &TrackedRequest| {
            request.key.filter(|_| self.settings.classes[request.class].sequential)
        };
        let request = &self.requests[&id];
        let keeps_key_busy = |attempt: &TrackedAttempt| match attempt.outcome {
            None => true,
            Some(Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) => {
                now < attempt.ended_at + self.settings.key_quiet_period
            }
            Some(_) => false,
        };
        let Some(key) = sequential_key(request) else { return false };
        self.requests
            .range(..id)
            .map(|(_, earlier)| earlier)
            .filter(|earlier| sequential_key(earlier) == Some(key))
            .any(|earlier| {
                !earlier.ended || (request.attempts.is_empty() && earlier.attempts.iter().any(keeps_key_busy))
            })
    }
}

impl Observations {
    /// Records each violation whose condition is true.
    fn record<const COUNT: usize>(&mut self, checks: [(bool, Violation); COUNT]) {
        for (is_violated, violation) in checks {
            if is_violated {
                self.violations.insert(violation);
            }
        }
    }
}
