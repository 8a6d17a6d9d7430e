//! Load reports of a stand-in endpoint: refreshed periodically, delayed, with some noise.

use super::spec::ReportSpec;
use crate::random_variates::{Purpose, RandomStreams};
use std::collections::VecDeque;
use std::time::Duration;

/// A load report, as it is attached to a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests served per second.
    pub qps: f64,
    /// Requests in flight.
    pub inflight: f64,
}

/// The load reports of one stand-in endpoint.
#[derive(Clone, Debug)]
pub struct LoadReports {
    spec: ReportSpec,
    draws: RandomStreams,
    endpoint: u64,
    refreshes: u64,
    first_refresh: Duration,
    last_refresh: Duration,
    served: u64,
    pending: VecDeque<(Duration, Report)>,
    current: Report,
}

impl LoadReports {
    /// The load reports of an endpoint that starts at `now`; the first refresh is due within one period.
    pub fn new(spec: ReportSpec, draws: RandomStreams, endpoint: u64, now: Duration) -> LoadReports {
        let first_refresh =
            now + spec.period.mul_f64(draws.stream(Purpose::LoadReportNoise, endpoint).uniform());
        LoadReports {
            spec,
            draws,
            endpoint,
            refreshes: 0,
            first_refresh,
            last_refresh: now,
            served: 0,
            pending: VecDeque::new(),
            current: Report::default(),
        }
    }

    /// Counts a served request.
    pub fn count_served(&mut self) {
        self.served += 1;
    }

    /// The time of the next refresh.
    pub fn next_refresh(&self) -> Duration {
        self.first_refresh + self.spec.period * self.refreshes as u32
    }

    /// Refreshes the load report at `now`, with `in_flight` requests in flight.
    pub fn refresh(&mut self, now: Duration, in_flight: usize) {
        let elapsed_s = now.saturating_sub(self.last_refresh).as_secs_f64().max(1e-3);
        let mut draws =
            self.draws.stream_for_pair(Purpose::LoadReportNoise, self.endpoint, self.refreshes + 1);
        let mut noisy = |value: f64| (value * (1.0 + self.spec.noise * draws.normal())).max(0.0);
        let report =
            Report { qps: noisy(self.served as f64 / elapsed_s), inflight: noisy(in_flight as f64).round() };
        self.pending.push_back((now + self.spec.late, report));
        (self.last_refresh, self.served, self.refreshes) = (now, 0, self.refreshes + 1);
    }

    /// The load report that a response carries at `now`.
    pub fn current_at(&mut self, now: Duration) -> Report {
        while let Some((_, report)) = self.pending.front().filter(|(due, _)| *due <= now) {
            self.current = *report;
            self.pending.pop_front();
        }
        self.current
    }
}
