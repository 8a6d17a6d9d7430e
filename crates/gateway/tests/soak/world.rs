//! What a run of the soak shares: the seed's draws, the list of endpoints, and the history that the clauses are held against.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What a class of requests may have done to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// The classes by name, in the order of the settings.
pub const CLASSES: [(&str, Effect); 3] =
    [("look", Effect::Safe), ("pay", Effect::Keyed), ("once", Effect::Unsafe)];

/// How one attempt went, as its host saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub host: usize,
    pub first: Instant,
    pub whole: Instant,
    /// The time that the host was told.
    pub told: Duration,
    pub ended: Option<Instant>,
    /// The host has said that it never ran.
    pub never_ran: bool,
}

/// What became of a request, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered {
        status: u16,
        own: bool,
    },
    /// The connection ended with no answer; whether it had been used before.
    Closed {
        reused: bool,
        partly: bool,
    },
    /// No answer within its time and the grace.
    Silent,
    /// The client left on purpose.
    Left,
}

#[derive(Clone, Debug)]
pub struct Ask {
    pub class: usize,
    pub written: Instant,
    pub patience: Duration,
    pub ended: Instant,
    pub outcome: Outcome,
    /// Which process it was sent to, and whether on a connection that had been used before.
    pub process: u64,
    pub reused: bool,
}

/// A span in which a host was listed as leaving.
#[derive(Clone, Debug)]
pub struct Drain {
    pub host: usize,
    pub since: Instant,
    pub until: Option<Instant>,
}

/// One run.
pub struct World {
    pub seed: u64,
    /// The longest deadline, and the window of keyed repeats.
    pub longest: Duration,
    pub window: Duration,
    pub begun: Instant,
    pub over: AtomicBool,
    /// Idle clients fill the descriptors: a new connection may be closed unread.
    pub crowd: bool,
    next: AtomicU64,
    pub attempts: Mutex<HashMap<u64, Vec<Attempt>>>,
    pub asks: Mutex<HashMap<u64, Ask>>,
    pub drains: Mutex<Vec<Drain>>,
    pub hanging: Vec<AtomicBool>,
    pub notes: Mutex<Vec<String>>,
}

impl World {
    pub fn new(seed: u64, hosts: usize) -> World {
        let mut draw = fastrand::Rng::with_seed(seed);
        let longest = Duration::from_millis([300, 600, 1200][draw.usize(0..3)]);
        let window = Duration::from_millis([100, 250, 500, 1200][draw.usize(0..4)]);
        World {
            seed,
            longest,
            window,
            begun: Instant::now(),
            over: AtomicBool::new(false),
            crowd: seed % 5 == 4,
            next: AtomicU64::new(1),
            attempts: Mutex::default(),
            asks: Mutex::default(),
            drains: Mutex::default(),
            hanging: (0..hosts).map(|_| AtomicBool::new(false)).collect(),
            notes: Mutex::default(),
        }
    }

    /// A stream of draws of its own for each part of the run.
    pub fn draws(&self, part: u64) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part)
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    pub fn next_id(&self) -> u64 {
        self.next.fetch_add(1, Ordering::SeqCst)
    }

    pub fn note(&self, what: String) {
        self.notes.lock().expect("lock").push(what);
    }

    /// Every way in which the run broke a clause. `slack` is what the machine may be late by.
    pub fn violations(&self, slack: Duration) -> Vec<String> {
        let (attempts, asks) = (self.attempts.lock().expect("lock"), self.asks.lock().expect("lock"));
        let mut found = self.notes.lock().expect("lock").clone();
        for (id, ask) in asks.iter() {
            let tries = attempts.get(id).map(Vec::as_slice).unwrap_or_default();
            found.extend(self.of_answer(*id, ask, tries, slack));
            found.extend(self.of_attempts(*id, ask, tries, slack));
        }
        found.extend(self.of_drains(&attempts, slack));
        found.sort();
        found
    }

    fn of_answer(&self, id: u64, ask: &Ask, tries: &[Attempt], slack: Duration) -> Vec<String> {
        let mut found = Vec::new();
        let (name, effect) = CLASSES[ask.class];
        let mut broken = |what: &str| found.push(format!("{id:x} ({name}, process {}): {what}", ask.process));
        let may_have_run = tries.iter().any(|a| !a.never_ran);
        match &ask.outcome {
            Outcome::Answered { own: false, .. } => broken("served with what no host made for it"),
            Outcome::Answered { status: 429 | 503, .. } if effect == Effect::Unsafe && may_have_run => {
                broken("refused after an attempt that may have run");
            }
            Outcome::Answered { .. } => {
                let late = ask.ended.duration_since(ask.written).saturating_sub(ask.patience);
                if late > Duration::from_millis(500) + slack {
                    broken(&format!("answered {late:?} after its time"));
                }
            }
            Outcome::Silent => broken("never answered"),
            Outcome::Closed { partly: true, .. } => broken("closed in the middle of its answer"),
            Outcome::Closed { reused, .. } if !tries.is_empty() || (!reused && !self.crowd) => {
                broken(&format!("closed with no answer; reused: {reused}, attempts: {}", tries.len()));
            }
            Outcome::Closed { .. } | Outcome::Left => {}
        }
        found
    }

    fn of_attempts(&self, id: u64, ask: &Ask, tries: &[Attempt], slack: Duration) -> Vec<String> {
        let mut found = Vec::new();
        let (name, effect) = CLASSES[ask.class];
        let mut broken =
            |what: String| found.push(format!("{id:x} ({name}, process {}): {what}", ask.process));
        for (n, attempt) in tries.iter().enumerate() {
            if ask.outcome == Outcome::Left && attempt.whole > ask.ended + Duration::from_millis(100) + slack
            {
                broken(format!("attempt {n} begins {:?} after its client left", attempt.whole - ask.ended));
            }
            if ask.outcome != Outcome::Left && attempt.whole > ask.ended + slack {
                broken(format!("attempt {n} begins after the final answer"));
            }
            let left = (ask.written + ask.patience).saturating_duration_since(attempt.first);
            if attempt.told > left + Duration::from_millis(150) + slack {
                let (reused, after) = (ask.reused, attempt.first.saturating_duration_since(ask.written));
                broken(format!(
                    "attempt {n}, {after:?} after the request (reused: {reused}, at {:?}), tells its host {:?} of {left:?} that are left",
                    ask.written.duration_since(self.begun), attempt.told
                ));
            }
            for earlier in &tries[..n] {
                if earlier.ended.is_none_or(|ended| ended > attempt.whole + slack) {
                    broken(format!("attempt {n} begins while an earlier one is out"));
                }
                if earlier.never_ran {
                    continue;
                }
                let known = earlier.first + self.window + Duration::from_millis(50);
                match effect {
                    Effect::Safe => {}
                    Effect::Unsafe => broken(format!("attempt {n} follows one that may have run")),
                    Effect::Keyed if attempt.whole > known + slack => {
                        broken(format!("attempt {n} comes {:?} after the window", attempt.whole - known));
                    }
                    Effect::Keyed => {}
                }
            }
        }
        found
    }

    fn of_drains(&self, attempts: &HashMap<u64, Vec<Attempt>>, slack: Duration) -> Vec<String> {
        let grace = Duration::from_millis(2050);
        let drains = self.drains.lock().expect("lock");
        let all = attempts.iter().flat_map(|(id, tries)| tries.iter().map(move |attempt| (id, attempt)));
        all.filter(|(_, attempt)| {
            drains.iter().any(|drain| {
                let ends = drain.until.is_none_or(|until| attempt.first < until);
                drain.host == attempt.host && attempt.first > drain.since + grace + slack && ends
            })
        })
        .map(|(id, attempt)| format!("{id:x}: sent to host {} that drains", attempt.host))
        .collect()
    }
}
