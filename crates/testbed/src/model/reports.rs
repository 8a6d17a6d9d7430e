//! What a node tells of its load: refreshed now and then, late, a little noisy.

use super::spec::ReportSpec;
use crate::random_variates::{Purpose, RandomStreams};
use std::collections::VecDeque;
use std::time::Duration;

/// A report, as it goes into an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests served a second.
    pub qps: f64,
    /// Requests held.
    pub inflight: f64,
}

/// The reports of one node.
#[derive(Clone, Debug)]
pub struct Reports {
    spec: ReportSpec,
    draws: RandomStreams,
    node: u64,
    next: u64,
    phase: Duration,
    since: Duration,
    served: u64,
    taken: VecDeque<(Duration, Report)>,
    shown: Report,
}

impl Reports {
    /// The reports of a node, the first one due within a period.
    pub fn new(spec: ReportSpec, draws: RandomStreams, node: u64, now: Duration) -> Reports {
        let phase = now + spec.period.mul_f64(draws.stream(Purpose::LoadReportNoise, node).uniform());
        Reports {
            spec,
            draws,
            node,
            next: 0,
            phase,
            since: now,
            served: 0,
            taken: VecDeque::new(),
            shown: Report::default(),
        }
    }

    /// A request has been served.
    pub fn count(&mut self) {
        self.served += 1;
    }

    /// When the node's state is next looked at.
    pub fn next_look(&self) -> Duration {
        self.phase + self.spec.period * self.next as u32
    }

    /// Looks at the node's state: it holds `held` requests now.
    pub fn look(&mut self, now: Duration, held: usize) {
        let over = now.saturating_sub(self.since).as_secs_f64().max(1e-3);
        let mut draws = self.draws.stream_for_pair(Purpose::LoadReportNoise, self.node, self.next + 1);
        let mut noisy = |value: f64| (value * (1.0 + self.spec.noise * draws.normal())).max(0.0);
        let report = Report { qps: noisy(self.served as f64 / over), inflight: noisy(held as f64).round() };
        self.taken.push_back((now + self.spec.late, report));
        (self.since, self.served, self.next) = (now, 0, self.next + 1);
    }

    /// What an answer carries at `now`.
    pub fn at(&mut self, now: Duration) -> Report {
        while let Some((_, report)) = self.taken.front().filter(|(due, _)| *due <= now) {
            self.shown = *report;
            self.taken.pop_front();
        }
        self.shown
    }
}
