//! State shared by a soak run: random streams, the list of drains, and the history that is checked against the clauses.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Whether requests of a class may be repeated: always, with an idempotency key, or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// The request classes by name, in the order of the settings.
pub const CLASSES: [(&str, Effect); 3] =
    [("look", Effect::Safe), ("pay", Effect::Keyed), ("once", Effect::Unsafe)];

/// The course of one attempt, as its endpoint observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub endpoint: usize,
    pub first_byte_at: Instant,
    /// When the request's last byte had arrived, at the earliest: an endpoint that reads slowly reads it later.
    pub complete_at: Instant,
    /// The `X-Timeout` that the endpoint received.
    pub x_timeout: Duration,
    pub ended_at: Option<Instant>,
    /// Whether the endpoint answered that the request was not processed.
    pub not_processed: bool,
}

/// The outcome of a request, as its client observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered {
        status: u16,
        matches: bool,
    },
    /// The connection ended without a complete answer; `reused` says whether the connection had been used before.
    Closed {
        reused: bool,
        partial: bool,
    },
    /// No answer arrived within the client's timeout and the grace.
    Silent,
    /// The client disconnected on purpose.
    Disconnected,
}

#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub class: usize,
    pub written_at: Instant,
    pub client_timeout: Duration,
    /// Whether the client could write the whole request: a gateway may answer an upload and close before its end.
    pub was_written: bool,
    pub ended_at: Instant,
    pub outcome: Outcome,
    /// The process that the request was sent to; `reused` says whether on a connection that had been used before.
    pub process: u64,
    pub reused: bool,
}

/// A period in which an endpoint was listed as draining.
#[derive(Clone, Debug)]
pub struct Drain {
    pub endpoint: usize,
    pub since: Instant,
    pub until: Option<Instant>,
}

/// State of one run.
pub struct RunState {
    pub seed: u64,
    /// The longest deadline of all classes.
    pub longest_deadline: Duration,
    pub idempotency_window: Duration,
    /// How long a connection to an endpoint may take to come up.
    pub dial_timeout: Duration,
    /// Whether requests of one key run one at a time.
    pub runs_keys_in_sequence: bool,
    pub started_at: Instant,
    pub over: AtomicBool,
    /// Whether idle clients use up the descriptors, so that a new connection may be closed unread.
    pub fills_descriptors: bool,
    next: AtomicU64,
    pub attempts: Mutex<HashMap<u64, Vec<Attempt>>>,
    pub requests: Mutex<HashMap<u64, RequestRecord>>,
    pub drains: Mutex<Vec<Drain>>,
    pub hanging: Vec<AtomicBool>,
    /// When each process got its first SIGTERM and when it ended, by its number.
    pub stops: Mutex<HashMap<u64, Stop>>,
    pub recorded_violations: Mutex<Vec<String>>,
}

/// The stop of a process.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    pub signalled_at: Instant,
    pub ended_at: Instant,
}

impl RunState {
    pub fn new(seed: u64, endpoints: usize) -> RunState {
        let mut random = fastrand::Rng::with_seed(seed);
        let longest_deadline = Duration::from_millis([300, 600, 1200][random.usize(0..3)]);
        let idempotency_window = Duration::from_millis([100, 250, 500, 1200][random.usize(0..4)]);
        RunState {
            seed,
            longest_deadline,
            idempotency_window,
            dial_timeout: Duration::from_millis([100, 300, 1000][(seed % 3) as usize]),
            runs_keys_in_sequence: seed % 4 == 1,
            started_at: Instant::now(),
            over: AtomicBool::new(false),
            fills_descriptors: seed % 5 == 4,
            next: AtomicU64::new(1),
            attempts: Mutex::default(),
            requests: Mutex::default(),
            drains: Mutex::default(),
            hanging: (0..endpoints).map(|_| AtomicBool::new(false)).collect(),
            stops: Mutex::default(),
            recorded_violations: Mutex::default(),
        }
    }

    /// An independent random stream for each part of the run.
    pub fn random_stream(&self, part: u64) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part)
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    pub fn next_id(&self) -> u64 {
        self.next.fetch_add(1, Ordering::SeqCst)
    }

    pub fn record_violation(&self, text: String) {
        self.recorded_violations.lock().expect("lock poisoned").push(text);
    }

    /// All violations of the clauses in the run. `slack` is the delay that the machine may add.
    pub fn violations(&self, slack: Duration) -> Vec<String> {
        let (attempts, requests) =
            (self.attempts.lock().expect("lock poisoned"), self.requests.lock().expect("lock poisoned"));
        let mut found = self.recorded_violations.lock().expect("lock poisoned").clone();
        for (id, record) in requests.iter() {
            let request_attempts = attempts.get(id).map(Vec::as_slice).unwrap_or_default();
            found.extend(self.answer_violations(*id, record, request_attempts, slack));
            found.extend(self.attempt_violations(*id, record, request_attempts, slack));
        }
        found.extend(self.drain_violations(&attempts, slack));
        found.sort();
        found
    }

    fn answer_violations(
        &self,
        id: u64,
        record: &RequestRecord,
        request_attempts: &[Attempt],
        slack: Duration,
    ) -> Vec<String> {
        let mut found = Vec::new();
        let (name, effect) = CLASSES[record.class];
        let mut violation =
            |text: &str| found.push(format!("{id:x} ({name}, process {}): {text}", record.process));
        let possibly_processed = request_attempts.iter().any(|a| !a.not_processed);
        match &record.outcome {
            Outcome::Answered { matches: false, .. } => violation("served with a foreign answer"),
            Outcome::Answered { status: 429 | 503, .. } if effect == Effect::Unsafe && possibly_processed => {
                violation("rejected after a possibly processed attempt");
            }
            Outcome::Answered { .. } => {
                let delay =
                    record.ended_at.duration_since(record.written_at).saturating_sub(record.client_timeout);
                if delay > Duration::from_millis(500) + slack {
                    violation(&format!("answered {delay:?} after its deadline"));
                }
            }
            Outcome::Silent => violation(&format!("never answered; {}", self.describe_stop(record))),
            Outcome::Closed { .. } if !record.was_written && request_attempts.is_empty() => {}
            Outcome::Closed { partial: true, .. } => violation("closed in the middle of its answer"),
            Outcome::Closed { reused, .. }
                if !request_attempts.is_empty() || (!reused && !self.fills_descriptors) =>
            {
                violation(&format!(
                    "closed with no answer; reused: {reused}, attempts: {}; {}",
                    request_attempts.len(),
                    self.describe_stop(record)
                ));
            }
            Outcome::Closed { .. } | Outcome::Disconnected => {}
        }
        found
    }

    /// When the request was written and when it ended, relative to the stop of its process, for the report of a violation.
    fn describe_stop(&self, record: &RequestRecord) -> String {
        let stops = self.stops.lock().expect("lock poisoned");
        let Some(stop) = stops.get(&record.process) else { return "its process was not stopped".to_owned() };
        let ms_since_signal = |at: Instant| {
            let after = at.saturating_duration_since(stop.signalled_at).as_millis() as i64;
            after - stop.signalled_at.saturating_duration_since(at).as_millis() as i64
        };
        format!(
            "written {} ms, over {} ms, process ended {} ms after SIGTERM",
            ms_since_signal(record.written_at),
            ms_since_signal(record.ended_at),
            ms_since_signal(stop.ended_at)
        )
    }

    fn attempt_violations(
        &self,
        id: u64,
        record: &RequestRecord,
        request_attempts: &[Attempt],
        slack: Duration,
    ) -> Vec<String> {
        let mut found = Vec::new();
        let (name, effect) = CLASSES[record.class];
        let mut violation =
            |text: String| found.push(format!("{id:x} ({name}, process {}): {text}", record.process));
        for (n, attempt) in request_attempts.iter().enumerate() {
            if record.outcome == Outcome::Disconnected
                && attempt.complete_at > record.ended_at + Duration::from_millis(100) + slack
            {
                violation(format!(
                    "attempt {n} begins {:?} after its client disconnected",
                    attempt.complete_at - record.ended_at
                ));
            }
            if record.outcome != Outcome::Disconnected && attempt.complete_at > record.ended_at + slack {
                violation(format!("attempt {n} begins after the final answer"));
            }
            let time_left =
                (record.written_at + record.client_timeout).saturating_duration_since(attempt.first_byte_at);
            if attempt.x_timeout > time_left + Duration::from_millis(150) + slack {
                let (reused, after) =
                    (record.reused, attempt.first_byte_at.saturating_duration_since(record.written_at));
                violation(format!(
                    "attempt {n}, {after:?} after the request (reused: {reused}, at {:?}), has X-Timeout {:?} with {time_left:?} left",
                    record.written_at.duration_since(self.started_at), attempt.x_timeout
                ));
            }
            for earlier in &request_attempts[..n] {
                if earlier.ended_at.is_none_or(|ended_at| ended_at > attempt.complete_at + slack) {
                    violation(format!("attempt {n} begins while an earlier attempt is in flight"));
                }
                if earlier.not_processed {
                    continue;
                }
                let key_expires_at =
                    earlier.first_byte_at + self.idempotency_window + Duration::from_millis(50);
                match effect {
                    Effect::Safe => {}
                    Effect::Unsafe => violation(format!("attempt {n} follows a possibly processed attempt")),
                    Effect::Keyed if attempt.complete_at > key_expires_at + slack => {
                        violation(format!(
                            "attempt {n} begins {:?} after the idempotency window",
                            attempt.complete_at - key_expires_at
                        ));
                    }
                    Effect::Keyed => {}
                }
            }
        }
        found
    }

    fn drain_violations(&self, attempts: &HashMap<u64, Vec<Attempt>>, slack: Duration) -> Vec<String> {
        let grace = Duration::from_millis(2050);
        let drains = self.drains.lock().expect("lock poisoned");
        let all = attempts
            .iter()
            .flat_map(|(id, request_attempts)| request_attempts.iter().map(move |attempt| (id, attempt)));
        all.filter(|(_, attempt)| {
            drains.iter().any(|drain| {
                let is_in_force = drain.until.is_none_or(|until| attempt.first_byte_at < until);
                drain.endpoint == attempt.endpoint
                    && attempt.first_byte_at > drain.since + grace + slack
                    && is_in_force
            })
        })
        .map(|(id, attempt)| format!("{id:x}: sent to draining endpoint {}", attempt.endpoint))
        .collect()
    }
}
