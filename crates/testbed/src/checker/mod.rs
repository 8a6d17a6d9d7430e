//! The checker of the four rules: records the answers that each client received and the attempts that each endpoint observed.
//! From these records the checker finds the violations of the rules.
//!
//! Only the stand-ins record events, each what it observed itself: an endpoint the attempts that reach it, a client the answers
//! that it receives. What a gateway reports about itself is not used.

mod evenness;
mod rules;
mod service;

pub use rules::{Rule, Rules, Violation};
pub use service::{back_after, RequestResult, Service, Window};

use crate::model::AttemptId;
use rustc_hash::FxHashMap;
use std::time::Duration;
use weldworks_balancer::Idempotency;

/// Number of one attempt of a client: a client's retry has a number of its own.
pub type RequestNumber = u64;

/// The final answer to a request, as its client received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Served with the answer that an endpoint made for this request.
    Served,
    /// Served with an answer that no endpoint made for this request.
    Foreign,
    /// Rejected, which promises that a retry is harmless.
    Refused,
    /// Failed: the request was possibly processed.
    Failed,
}

/// How an attempt ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Answered successfully.
    Served,
    /// Answered with an error by the endpoint.
    Error,
    /// Rejected by the endpoint, without being processed.
    TurnedAway,
    /// The gateway closed the attempt's connection.
    Left,
    /// The endpoint closed the attempt's connection.
    Broken,
    /// The attempt never arrived as a whole: its connection ended before its last byte.
    Unsent,
}

impl AttemptEnd {
    /// Whether this end proves that the attempt was not processed.
    fn not_processed(self) -> bool {
        matches!(self, AttemptEnd::TurnedAway | AttemptEnd::Unsent)
    }
}

/// The properties of a request class that the rules depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassTerms {
    /// See [`weldworks_balancer::RequestClass::latency_objective`].
    pub latency_objective: Duration,
    /// Idempotency of a request of the class.
    pub idempotency: Idempotency,
}

/// A request, as its client sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Gateway that accepted the request.
    pub gateway: usize,
    /// Class of the request.
    pub class: usize,
    /// Time at which the client wrote the last byte of the request.
    pub sent_at: Duration,
    /// Time at which the client gives the request up.
    pub deadline: Duration,
}

/// An attempt, as its endpoint observed it.
#[derive(Clone, Debug)]
pub struct ObservedAttempt {
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Endpoint that received the attempt.
    pub endpoint: usize,
    /// Gateway that sent the attempt.
    pub gateway: usize,
    /// Time at which the attempt's first byte arrived.
    pub first_byte_at: Duration,
    /// Time at which the attempt's last byte arrived.
    pub last_byte_at: Option<Duration>,
    /// Time at which the endpoint began to process the attempt.
    pub started_at: Option<Duration>,
    /// Time and manner of the attempt's end.
    pub end: Option<(Duration, AttemptEnd)>,
    /// Work of the attempt, in seconds.
    pub work_s: f64,
}

/// All that was observed of one request.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The request as its client sent it; `None` for a request that no client sent.
    pub request: Option<SentRequest>,
    /// Final answers that the client received, in order; more than one is a violation.
    pub answers: Vec<(Duration, FinalAnswer)>,
    /// Time at which the client gave the request up.
    pub gave_up_at: Option<Duration>,
    /// Time at which the client's connection ended without a complete answer.
    pub lost_at: Option<Duration>,
    /// Attempts, in the order in which their first bytes arrived.
    pub attempts: Vec<ObservedAttempt>,
}

/// What discovery notified a gateway of about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointNotice {
    /// The endpoint accepts requests; the time is that of its start, if the start was recent.
    Up(Option<Duration>),
    /// The endpoint drains.
    Draining,
    /// The endpoint was removed.
    Removed,
}

/// The checker of one run: records what clients and endpoints observe, and finds violations of the rules.
#[derive(Debug)]
pub struct Checker {
    classes: Vec<ClassTerms>,
    records: FxHashMap<RequestNumber, Record>,
    order: Vec<RequestNumber>,
    attempts: FxHashMap<AttemptId, (RequestNumber, usize)>,
    notices: FxHashMap<(usize, usize), Vec<(Duration, EndpointNotice)>>,
    starts: FxHashMap<usize, Vec<Duration>>,
    fallen: Vec<(usize, Duration)>,
    groups: Vec<(usize, usize)>,
}

impl Checker {
    /// A checker without records, for these request classes; `groups` holds the zone and the rack of each endpoint.
    pub fn new(classes: Vec<ClassTerms>, groups: Vec<(usize, usize)>) -> Checker {
        Checker {
            classes,
            groups,
            records: FxHashMap::default(),
            order: Vec::new(),
            attempts: FxHashMap::default(),
            notices: FxHashMap::default(),
            starts: FxHashMap::default(),
            fallen: Vec::new(),
        }
    }

    fn record(&mut self, request: RequestNumber) -> &mut Record {
        if !self.records.contains_key(&request) {
            self.order.push(request);
        }
        self.records.entry(request).or_default()
    }

    /// Records that a client has written the last byte of a request to a connection that a gateway accepted.
    pub fn record_request(&mut self, request: RequestNumber, sent: SentRequest) {
        self.record(request).request = Some(sent);
    }

    /// Records that a client has received a complete answer.
    pub fn record_answer(&mut self, request: RequestNumber, at: Duration, answer: FinalAnswer) {
        self.record(request).answers.push((at, answer));
    }

    /// Records that a client has given a request up and closed its connection.
    pub fn record_give_up(&mut self, request: RequestNumber, at: Duration) {
        self.record(request).gave_up_at.get_or_insert(at);
    }

    /// Records that a gateway has closed a client's connection without a complete answer.
    pub fn record_lost_connection(&mut self, request: RequestNumber, at: Duration) {
        self.record(request).lost_at.get_or_insert(at);
    }

    /// Records that the first byte of an attempt has arrived at an endpoint.
    pub fn record_attempt(&mut self, request: RequestNumber, seen: ObservedAttempt) {
        let (attempt, record) = (seen.attempt, self.record(request));
        record.attempts.push(seen);
        let index = record.attempts.len() - 1;
        self.attempts.insert(attempt, (request, index));
    }

    fn seen(&mut self, attempt: AttemptId) -> Option<&mut ObservedAttempt> {
        let (request, index) = self.attempts.get(&attempt)?;
        self.records.get_mut(request)?.attempts.get_mut(*index)
    }

    /// Records that the last byte of an attempt has arrived.
    pub fn record_whole_attempt(&mut self, attempt: AttemptId, at: Duration) {
        if let Some(seen) = self.seen(attempt) {
            seen.last_byte_at = Some(at);
        }
    }

    /// Records that an endpoint has begun to process an attempt.
    pub fn record_start(&mut self, attempt: AttemptId, at: Duration) {
        if let Some(seen) = self.seen(attempt) {
            seen.started_at = Some(at);
        }
    }

    /// Records the end of an attempt; only the first end that is recorded counts.
    pub fn record_end(&mut self, attempt: AttemptId, at: Duration, how: AttemptEnd) {
        if let Some(seen) = self.seen(attempt) {
            seen.end.get_or_insert((at, how));
        }
    }

    /// Records that discovery notified a gateway of an endpoint's state.
    pub fn record_notice(&mut self, gateway: usize, endpoint: usize, at: Duration, notice: EndpointNotice) {
        let notices = self.notices.entry((gateway, endpoint)).or_default();
        if notices.last().is_none_or(|(_, last)| *last != notice) {
            notices.push((at, notice));
        }
    }

    /// Records the cold start of an endpoint.
    pub fn record_cold_start(&mut self, endpoint: usize, at: Duration) {
        self.starts.entry(endpoint).or_default().push(at);
    }

    /// Records that an endpoint has fallen over.
    pub fn record_fall(&mut self, endpoint: usize, at: Duration) {
        self.fallen.push((endpoint, at));
    }

    /// Endpoints that have fallen over, each with the time.
    pub fn fallen(&self) -> &[(usize, Duration)] {
        &self.fallen
    }

    /// All that was observed of a request; `None` for an unknown number.
    pub fn record_of(&self, request: RequestNumber) -> Option<&Record> {
        self.records.get(&request)
    }

    /// Whether an endpoint has observed this attempt as an attempt of this request.
    pub fn is_attempt_of(&self, attempt: AttemptId, request: RequestNumber) -> bool {
        self.attempts.get(&attempt).is_some_and(|(of, _)| *of == request)
    }

    /// Number of attempts that reached endpoints.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// All requests with their records, in the order in which the requests were first observed.
    pub fn records(&self) -> impl Iterator<Item = (RequestNumber, &Record)> {
        self.order.iter().filter_map(|number| self.records.get(number).map(|record| (*number, record)))
    }
}
