//! Stand-in endpoints, discovery and clients on loopback sockets.
//! All of them run on one thread, so the checker needs no lock and all its times are of one clock.

pub mod clients;
pub mod discovery;
pub mod endpoints;
pub mod gateways;
pub mod http;

use crate::checker::Checker;
use crate::plan::PlannedRequest;
use crate::random_variates::RandomStreams;
use crate::report::{Counts, Sample};
use crate::script::Script;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::time::Instant;

/// The clock of a run. Its time is 0 until the run begins.
#[derive(Debug)]
pub struct Clock(Cell<Option<Instant>>);

impl Clock {
    /// Time since the beginning of the run.
    pub fn now(&self) -> Duration {
        self.0.get().map_or(Duration::ZERO, |start| start.elapsed())
    }

    /// Converts a time of the run to an instant. Before the run has begun, the time counts from now.
    pub fn instant(&self, at: Duration) -> Instant {
        self.0.get().unwrap_or_else(Instant::now) + at
    }

    /// Begins the run.
    pub fn begin(&self) {
        self.0.set(Some(Instant::now()));
    }
}

/// State that all stand-ins of a run share.
#[derive(Debug)]
pub struct RunState {
    /// The script of the run.
    pub script: Script,
    /// The random draws of the run's seed.
    pub draws: RandomStreams,
    /// The number of gateways.
    pub gateways: usize,
    /// The planned requests.
    pub plan: Vec<PlannedRequest>,
    /// The clock of the run.
    pub clock: Clock,
    /// What clients, endpoints and discovery have observed.
    pub checker: RefCell<Checker>,
    /// The counters of the report.
    pub counts: Cell<Counts>,
    /// Number of requests that were served in time.
    pub in_time: Cell<u64>,
    /// Samples of the run's state over time.
    pub timeline: RefCell<Vec<Sample>>,
    /// The index in the plan of the planned request to which each request number belongs.
    pub plan_indices: RefCell<FxHashMap<u64, usize>>,
}

impl RunState {
    /// A run that has not begun.
    pub fn new(script: &Script, seed: u64, gateways: usize) -> RunState {
        let draws = RandomStreams::new(seed);
        RunState {
            script: script.clone(),
            draws,
            gateways,
            plan: crate::plan::plan(script, draws),
            clock: Clock(Cell::new(None)),
            checker: RefCell::new(crate::endpoint_models::empty_checker(script)),
            counts: Cell::default(),
            in_time: Cell::default(),
            timeline: RefCell::default(),
            plan_indices: RefCell::default(),
        }
    }

    /// Updates the counters of the report.
    pub fn count(&self, update: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        update(&mut counts);
        self.counts.set(counts);
    }
}

/// The address of an endpoint for one gateway. Every pair has an address of its own, by which the endpoint knows which gateway sends.
pub fn endpoint_address(gateway: usize, endpoint: usize) -> Ipv4Addr {
    let (gateway, endpoint) = (gateway as u32, endpoint as u32);
    Ipv4Addr::new(127, 16 + (gateway / 250) as u8, (gateway % 250) as u8, 1 + endpoint as u8)
}
