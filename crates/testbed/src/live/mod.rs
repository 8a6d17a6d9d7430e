//! The stand-ins on loopback sockets. One thread carries them all, so the ledger needs no lock and its times are one
//! clock's.

pub mod clients;
pub mod gateways;
pub mod http;
pub mod nodes;
pub mod register;

use crate::checker::Checker;
use crate::draws::Draws;
use crate::plan::PlannedRequest;
use crate::report::{Counts, Sample};
use crate::script::Script;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::time::Instant;

/// The clock of a run. The day begins at 0; what is before that is 0 too.
#[derive(Debug)]
pub struct Clock(Cell<Option<Instant>>);

impl Clock {
    /// The time of the day.
    pub fn now(&self) -> Duration {
        self.0.get().map_or(Duration::ZERO, |start| start.elapsed())
    }

    /// The moment of a time of the day, once it has begun.
    pub fn instant(&self, at: Duration) -> Instant {
        self.0.get().unwrap_or_else(Instant::now) + at
    }

    /// The day begins.
    pub fn begin(&self) {
        self.0.set(Some(Instant::now()));
    }
}

/// What all stand-ins of a run share.
#[derive(Debug)]
pub struct Day {
    /// The script.
    pub script: Script,
    /// The draws of its seed.
    pub draws: Draws,
    /// How many gateways there are.
    pub gateways: usize,
    /// The first tries.
    pub plan: Vec<PlannedRequest>,
    /// The time.
    pub clock: Clock,
    /// What was seen.
    pub ledger: RefCell<Checker>,
    /// How often things happened.
    pub counts: Cell<Counts>,
    /// Tries that were served in time.
    pub in_time: Cell<u64>,
    /// The state over time.
    pub timeline: RefCell<Vec<Sample>>,
    /// Which first try a number belongs to.
    pub places: RefCell<FxHashMap<u64, usize>>,
}

impl Day {
    /// A day that has not begun.
    pub fn new(script: &Script, seed: u64, gateways: usize) -> Day {
        let draws = Draws::new(seed);
        Day {
            script: script.clone(),
            draws,
            gateways,
            plan: crate::plan::plan(script, draws),
            clock: Clock(Cell::new(None)),
            ledger: RefCell::new(crate::fleet::ledger(script)),
            counts: Cell::default(),
            in_time: Cell::default(),
            timeline: RefCell::default(),
            places: RefCell::default(),
        }
    }

    /// Counts something.
    pub fn count(&self, what: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        what(&mut counts);
        self.counts.set(counts);
    }
}

/// The address at which a gateway sees a node: one of its own for each pair, so that a node knows who sends.
pub fn node_address(gateway: usize, node: usize) -> Ipv4Addr {
    let (gateway, node) = (gateway as u32, node as u32);
    Ipv4Addr::new(127, 16 + (gateway / 250) as u8, (gateway % 250) as u8, 1 + node as u8)
}
