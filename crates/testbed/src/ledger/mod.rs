//! The ledger: what each client got and what each node saw of every request, and the proof of the rules from that.
//!
//! It is written by those who see a thing happen and by nobody else: a node books what reaches it, a client what it
//! is sent. Nothing the gateway says of itself is believed.

mod evenness;
mod rules;
mod service;

pub use rules::{Breach, Rule, Rules};
pub use service::{back_after, Service, Tally, Window};

use crate::model::AttemptId;
use rustc_hash::FxHashMap;
use std::time::Duration;
use weldworks_balancer::Idempotency;

/// A request's number: one try of a client.
pub type RequestNumber = u64;

/// The final answer, as a client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    /// Served with the answer that a node made for this very request.
    Served,
    /// Served with something else.
    Foreign,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
}

/// How an attempt ended at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Answered with what was asked for.
    Served,
    /// Answered with an error.
    Error,
    /// Turned away; it never ran.
    TurnedAway,
    /// Its connection was ended by the gateway.
    Left,
    /// Its connection was ended by the node.
    Broken,
    /// It never came whole: its connection ended before its last byte.
    Unsent,
}

impl Ended {
    /// Whether this end proves that it never ran.
    fn never_ran(self) -> bool {
        matches!(self, Ended::TurnedAway | Ended::Unsent)
    }
}

/// What the ledger has to know of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassTerms {
    /// See [`weldworks_balancer::RequestClass::latency_objective`].
    pub aim: Duration,
    /// What repeating it does.
    pub effect: Idempotency,
}

/// What a client asked.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Which gateway took it.
    pub gateway: usize,
    /// Its class.
    pub class: usize,
    /// When its last byte was written.
    pub at: Duration,
    /// When its client gives it up.
    pub until: Duration,
}

/// An attempt, as its node saw it.
#[derive(Clone, Debug)]
pub struct AttemptSeen {
    /// Its number.
    pub attempt: AttemptId,
    /// Which node.
    pub node: usize,
    /// From which gateway.
    pub gateway: usize,
    /// When its first byte came.
    pub first: Duration,
    /// When its last byte came.
    pub whole: Option<Duration>,
    /// When it began to run.
    pub began: Option<Duration>,
    /// When and how it ended.
    pub ended: Option<(Duration, Ended)>,
    /// Its work, in seconds.
    pub seconds: f64,
}

/// All that is known of one request.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// What was asked.
    pub ask: Option<Ask>,
    /// What came back, in order; more than one is one too many.
    pub got: Vec<(Duration, Got)>,
    /// The client gave it up.
    pub gave_up: Option<Duration>,
    /// Its connection ended with no whole answer.
    pub lost: Option<Duration>,
    /// The attempts, in the order in which their first bytes came.
    pub attempts: Vec<AttemptSeen>,
}

/// What a gateway was told of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// It takes work; it started then, if that is not long ago.
    Up(Option<Duration>),
    /// It drains.
    Draining,
    /// It is gone.
    Gone,
}

/// The ledger of one run.
#[derive(Debug)]
pub struct Ledger {
    classes: Vec<ClassTerms>,
    records: FxHashMap<RequestNumber, Record>,
    order: Vec<RequestNumber>,
    attempts: FxHashMap<AttemptId, (RequestNumber, usize)>,
    told: FxHashMap<(usize, usize), Vec<(Duration, Told)>>,
    starts: FxHashMap<usize, Vec<Duration>>,
    fallen: Vec<(usize, Duration)>,
    groups: Vec<(usize, usize)>,
}

impl Ledger {
    /// An empty ledger for these classes; `groups` holds the zone and the rack of each node.
    pub fn new(classes: Vec<ClassTerms>, groups: Vec<(usize, usize)>) -> Ledger {
        Ledger {
            classes,
            groups,
            records: FxHashMap::default(),
            order: Vec::new(),
            attempts: FxHashMap::default(),
            told: FxHashMap::default(),
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

    /// A client has written the last byte of a request to a connection that a gateway accepted.
    pub fn asked(&mut self, request: RequestNumber, ask: Ask) {
        self.record(request).ask = Some(ask);
    }

    /// A client has read a whole answer.
    pub fn got(&mut self, request: RequestNumber, at: Duration, got: Got) {
        self.record(request).got.push((at, got));
    }

    /// A client has given a request up, and its connection with it.
    pub fn gave_up(&mut self, request: RequestNumber, at: Duration) {
        self.record(request).gave_up.get_or_insert(at);
    }

    /// A client's connection has ended with no whole answer, through the gateway's doing.
    pub fn lost(&mut self, request: RequestNumber, at: Duration) {
        self.record(request).lost.get_or_insert(at);
    }

    /// The first byte of an attempt has come to a node.
    pub fn attempt(&mut self, request: RequestNumber, seen: AttemptSeen) {
        let (attempt, record) = (seen.attempt, self.record(request));
        record.attempts.push(seen);
        let place = record.attempts.len() - 1;
        self.attempts.insert(attempt, (request, place));
    }

    fn seen(&mut self, attempt: AttemptId) -> Option<&mut AttemptSeen> {
        let (request, place) = self.attempts.get(&attempt)?;
        self.records.get_mut(request)?.attempts.get_mut(*place)
    }

    /// Its last byte has come.
    pub fn whole(&mut self, attempt: AttemptId, at: Duration) {
        if let Some(seen) = self.seen(attempt) {
            seen.whole = Some(at);
        }
    }

    /// It began to run.
    pub fn began(&mut self, attempt: AttemptId, at: Duration) {
        if let Some(seen) = self.seen(attempt) {
            seen.began = Some(at);
        }
    }

    /// It ended. The first word counts.
    pub fn ended(&mut self, attempt: AttemptId, at: Duration, how: Ended) {
        if let Some(seen) = self.seen(attempt) {
            seen.ended.get_or_insert((at, how));
        }
    }

    /// A gateway was told of a node.
    pub fn told(&mut self, gateway: usize, node: usize, at: Duration, what: Told) {
        let told = self.told.entry((gateway, node)).or_default();
        if told.last().is_none_or(|(_, last)| *last != what) {
            told.push((at, what));
        }
    }

    /// A node has started, cold.
    pub fn started(&mut self, node: usize, at: Duration) {
        self.starts.entry(node).or_default().push(at);
    }

    /// A node has fallen over.
    pub fn fell(&mut self, node: usize, at: Duration) {
        self.fallen.push((node, at));
    }

    /// The nodes that have fallen over.
    pub fn fallen(&self) -> &[(usize, Duration)] {
        &self.fallen
    }

    /// All that is known of a request.
    pub fn of(&self, request: RequestNumber) -> Option<&Record> {
        self.records.get(&request)
    }

    /// Whether a node has seen this attempt as one of this request.
    pub fn is_attempt_of(&self, attempt: AttemptId, request: RequestNumber) -> bool {
        self.attempts.get(&attempt).is_some_and(|(of, _)| *of == request)
    }

    /// How many attempts reached nodes.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Every request with what is known of it, in the order in which they were first heard of.
    pub fn records(&self) -> impl Iterator<Item = (RequestNumber, &Record)> {
        self.order.iter().filter_map(|n| self.records.get(n).map(|r| (*n, r)))
    }
}
