//! Random valid event sequences from fixed seeds, checked while they run.
//! Endpoints are not modelled: the outcome of an attempt is drawn at random from the possible ones.

use super::checker::{Checker, TrackedRequest};
use super::{endpoint, ENDPOINT_COUNT};
use std::time::Duration;
use weldworks_balancer::*;

/// An attempt whose outcome is not yet due.
#[derive(Clone, Copy)]
struct PendingOutcome {
    due: Duration,
    request: u64,
    attempt: u32,
}

/// A balancer that gets random events, and the checker that observes it.
pub struct RandomRun {
    pub rng: fastrand::Rng,
    pub checker: Checker,
    pub balancer: Balancer,
    pub now: Duration,
    last_request: u64,
    pending: Vec<PendingOutcome>,
}

impl RandomRun {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut run = RandomRun {
            rng: fastrand::Rng::with_seed(seed),
            checker: Checker::new(settings.clone()),
            balancer: Balancer::new(settings, seed ^ 77),
            now: Duration::from_secs(1000),
            last_request: 0,
            pending: Vec::new(),
        };
        let list: Vec<Endpoint> = (0..ENDPOINT_COUNT).map(|number| endpoint(number, None)).collect();
        run.list_snapshot(&list);
        run
    }

    pub fn list_snapshot(&mut self, list: &[Endpoint]) {
        let known: Vec<Endpoint> = self.checker.endpoints.values().cloned().collect();
        for missing in known.into_iter().filter(|known| list.iter().all(|listed| listed.id != known.id)) {
            let removed = Endpoint { state: EndpointState::Removed, ..missing };
            self.checker.observe_endpoint(self.now, &removed);
        }
        for listed in list {
            self.checker.observe_endpoint(self.now, listed);
        }
        self.handle(Event::EndpointList { is_snapshot: true, endpoints: list });
    }

    pub fn list_delta(&mut self, list: &[Endpoint]) {
        for listed in list {
            self.checker.observe_endpoint(self.now, listed);
        }
        self.handle(Event::EndpointList { is_snapshot: false, endpoints: list });
    }

    pub fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            let Action::Send { request, deadline, .. } = action else { continue };
            let attempt = self.checker.requests[&request.0].attempts.len() as u32;
            let ends_at = self.now + Duration::from_micros(self.rng.u64(500..180_000));
            let sends = actions
                .iter()
                .filter(|other| matches!(other, Action::Send { request: sent, .. } if sent == request));
            assert_eq!(sends.count(), 1, "an event sends a request at most once");
            self.pending.push(PendingOutcome { due: ends_at.min(*deadline), request: request.0, attempt });
        }
        self.checker.check_actions(self.now, &actions);
    }

    pub fn request(&mut self, class: usize) {
        self.last_request += 1;
        let client_deadline = self.now + Duration::from_millis(self.rng.u64(150..900));
        let key = Some(self.rng.u64(0..40)).filter(|&key| key > 0);
        let tracked =
            TrackedRequest { class, key, client_deadline, attempts: Vec::new(), ended: false, answers: 0 };
        self.checker.requests.insert(self.last_request, tracked);
        let mut request = Request::new(RequestId(self.last_request), class, client_deadline);
        request.key = key;
        self.handle(Event::Request(request));
    }

    /// Advances the clock by 5 ms and delivers the outcomes and timers that are due.
    pub fn tick(&mut self) {
        self.now += Duration::from_millis(5);
        let now = self.now;
        let due: Vec<_> = self.pending.iter().filter(|pending| pending.due <= now).copied().collect();
        self.pending.retain(|pending| pending.due > now);
        for pending in due {
            self.deliver_outcome(pending);
        }
        let due: Vec<_> =
            self.checker.timers.iter().filter(|(due, _)| *due <= now).map(|(_, token)| *token).collect();
        self.checker.timers.retain(|(due, _)| *due > now);
        for token in due {
            self.handle(Event::Timer { token });
        }
        self.checker.check_time(now);
    }

    fn deliver_outcome(&mut self, pending: PendingOutcome) {
        let outcome = match self.rng.u32(0..12) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::NoConnection,
            3 => Outcome::Reset,
            4 => Outcome::TimedOut,
            _ => Outcome::Served,
        };
        let request = self.checker.requests.get_mut(&pending.request).unwrap();
        let attempt = &mut request.attempts[pending.attempt as usize];
        attempt.outcome = Some(outcome);
        attempt.ended_at = self.now;
        let latency = self.now - attempt.sent_at;
        let endpoint = attempt.endpoint;
        if outcome == Outcome::Served && !request.ended {
            request.ended = true;
            request.answers = 1;
        }
        let request_ended = request.ended;
        self.checker.observe_connection_use(self.now, endpoint);
        self.handle(Event::AttemptEnded {
            request: RequestId(pending.request),
            attempt: pending.attempt,
            latency,
            outcome,
            request_ended,
        });
    }

    /// Runs this many ticks of random traffic of all classes, with endpoints that drain, are removed and return cold.
    /// Then advances the clock until all requests have ended.
    pub fn run_random_events(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.tick();
            for _ in 0..self.rng.u32(0..3) {
                let class = self.rng.usize(0..self.checker.settings.classes.len());
                self.request(class);
            }
            if self.rng.u32(0..60) == 0 {
                self.close_random_connection();
            }
            if self.rng.u32(0..150) == 0 {
                self.change_random_endpoint();
            }
        }
        for _ in 0..300 {
            self.tick();
        }
    }

    fn close_random_connection(&mut self) {
        let endpoint = EndpointId(self.rng.u32(0..ENDPOINT_COUNT + 2));
        let remaining = self.rng.usize(0..2);
        let idle = Duration::from_millis(self.rng.u64(0..5000));
        self.handle(Event::IdleConnectionClosed { endpoint, idle, remaining });
    }

    fn change_random_endpoint(&mut self) {
        let number = self.rng.u32(0..ENDPOINT_COUNT);
        let mut changed = self.checker.endpoints[&number].clone();
        changed.state = match changed.state {
            EndpointState::Up => EndpointState::Draining,
            EndpointState::Draining => EndpointState::Removed,
            EndpointState::Removed => EndpointState::Up,
        };
        if changed.state == EndpointState::Up {
            changed.started = Some(self.now);
        }
        self.list_delta(&[changed]);
    }
}
