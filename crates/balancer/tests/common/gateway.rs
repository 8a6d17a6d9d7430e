//! A balancer to which a test reports one event after another.

use super::local_endpoint;
use std::time::Duration;
use weldworks_balancer::*;

/// A balancer with a clock and the actions that its last event resulted in.
pub struct TestGateway {
    pub balancer: Balancer,
    pub now: Duration,
    /// The number of the last request.
    pub last_request: u64,
    /// The actions that the last event resulted in.
    pub actions: Vec<Action>,
}

impl TestGateway {
    /// A gateway whose clock is at 5 s, with warm endpoints in its own zone.
    pub fn new(settings: Settings, endpoint_count: u32) -> Self {
        TestGateway::with_seed(settings, endpoint_count, 1)
    }

    pub fn with_seed(settings: Settings, endpoint_count: u32, seed: u64) -> Self {
        let mut gateway = TestGateway {
            balancer: Balancer::new(settings, seed),
            now: Duration::from_secs(5),
            last_request: 0,
            actions: Vec::new(),
        };
        let list: Vec<Endpoint> = (0..endpoint_count).map(|number| local_endpoint(number, None)).collect();
        gateway.list_snapshot(&list);
        gateway
    }

    pub fn handle(&mut self, event: Event<'_>) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    pub fn list_snapshot(&mut self, endpoints: &[Endpoint]) {
        self.handle(Event::EndpointList { is_snapshot: true, endpoints });
    }

    pub fn list_delta(&mut self, endpoints: &[Endpoint]) {
        self.handle(Event::EndpointList { is_snapshot: false, endpoints });
    }

    pub fn close_idle_connection(&mut self, endpoint: u32, idle_ms: u64, remaining: usize) {
        let idle = Duration::from_millis(idle_ms);
        self.handle(Event::IdleConnectionClosed { endpoint: EndpointId(endpoint), idle, remaining });
    }

    /// Sends a new request and returns the endpoint that it was sent to, if any.
    pub fn request(&mut self, class: usize, key: Option<u64>) -> Option<u32> {
        self.last_request += 1;
        let client_deadline = self.now + Duration::from_secs(1);
        let mut request = Request::new(RequestId(self.last_request), class, client_deadline);
        request.key = key;
        self.handle(Event::Request(request));
        self.sent_endpoint()
    }

    /// The endpoint that the last event sent an attempt to, if any.
    pub fn sent_endpoint(&self) -> Option<u32> {
        self.actions.iter().find_map(|action| match action {
            Action::Send { endpoint, .. } => Some(endpoint.0),
            _ => None,
        })
    }

    /// The first timer that the last event set, if any.
    pub fn timer(&self) -> Option<Duration> {
        self.actions.iter().find_map(|action| match action {
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        })
    }

    pub fn end_attempt(&mut self, request: u64, attempt: u32, latency: Duration, outcome: Outcome) {
        let request_ended = outcome == Outcome::Served;
        let request = RequestId(request);
        self.handle(Event::AttemptEnded { request, attempt, latency, outcome, request_ended });
    }

    /// Advances the clock by `latency` and ends the first attempt of the last request with that latency.
    pub fn end_last_after(&mut self, latency: Duration, outcome: Outcome) {
        self.now += latency;
        self.end_attempt(self.last_request, 0, latency, outcome);
    }

    /// Serves `count` requests one after another, with a latency in milliseconds for each endpoint.
    /// Returns the number of requests that each endpoint got.
    pub fn serve(&mut self, count: u32, latency_ms: impl Fn(u32) -> u64) -> Vec<u32> {
        let mut requests_by_endpoint = vec![0; 64];
        for _ in 0..count {
            let endpoint = self.request(0, None).expect("the request is sent to an endpoint");
            requests_by_endpoint[endpoint as usize] += 1;
            self.end_last_after(Duration::from_millis(latency_ms(endpoint)), Outcome::Served);
        }
        requests_by_endpoint
    }
}
