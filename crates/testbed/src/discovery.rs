//! A model of discovery without I/O: which endpoints it lists at a time, and which polls it answers when.
//!
//! The actions of a script on endpoints are known ahead, so most changes of the list are on a timeline from the start.
//! Endpoints that crash from too much work are added to the timeline when they do. The version of a list is a position on the timeline.

use crate::checker::EndpointNotice;
use crate::plan::affected_endpoints;
use crate::random_variates::{Purpose, RandomStreams};
use crate::script::{FaultKind, Script};
use std::time::Duration;

/// The state of an endpoint in the list of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint takes requests.
    Active,
    /// The endpoint drains: it finishes the requests that it has.
    Leaving,
    /// The endpoint was removed.
    Left,
}

/// An entry of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// The index of the endpoint.
    pub endpoint: usize,
    /// The state of the endpoint.
    pub status: EndpointStatus,
    /// When the endpoint last started; `None` if it has not started during the run.
    pub started: Option<Duration>,
}

impl ListEntry {
    /// What a gateway that receives this entry has been notified of.
    pub fn notification(&self) -> EndpointNotice {
        match self.status {
            EndpointStatus::Active => EndpointNotice::Up(self.started),
            EndpointStatus::Leaving => EndpointNotice::Draining,
            EndpointStatus::Left => EndpointNotice::Removed,
        }
    }
}

/// A change of the list, visible from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Change {
    at: Duration,
    entry: ListEntry,
}

/// An endpoint list: a snapshot or a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// Whether the list is a snapshot; otherwise it is a delta.
    pub is_snapshot: bool,
    /// The entries of the list.
    pub entries: Vec<ListEntry>,
}

/// An action of a script on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointAction {
    /// The process of the endpoint ends.
    Kill,
    /// The machine of the endpoint is cut off.
    CutOff,
    /// The endpoint starts with a slow start.
    Start,
    /// The endpoint begins to drain (true) or takes requests again (false).
    Drain(bool),
    /// The endpoint fails this share of its requests.
    Fail(f64),
    /// Another program on the endpoint's machine takes this share of its speed.
    Neighbour(f64),
    /// The endpoint becomes slower by this factor.
    Slow(f64),
    /// The endpoint processes nothing for this time.
    Pause(Duration),
    /// All load reports of the endpoint carry these values (requests served per second, requests in flight); `None` for true reports.
    Report(Option<(f64, f64)>),
    /// Sets the endpoint's idle timeout, and whether connections are dropped without being closed; `None` for its normal timeout.
    IdleTimeout(Option<(Duration, bool)>),
}

/// All actions of a script on endpoints, in order of time.
pub fn endpoint_actions(script: &Script, draws: RandomStreams) -> Vec<(Duration, usize, EndpointAction)> {
    let mut actions = Vec::new();
    for (event_index, event) in script.events.iter().enumerate() {
        let (from, until) = (event.at, event.until());
        for (order, endpoint) in affected_endpoints(script, draws, event_index).into_iter().enumerate() {
            let mut during = |start: EndpointAction, end: EndpointAction| {
                actions.push((from, endpoint, start));
                actions.extend(until.map(|until| (until, endpoint, end)));
            };
            match event.fault {
                FaultKind::Fail { share } => during(EndpointAction::Fail(share), EndpointAction::Fail(0.0)),
                FaultKind::Slow { times } => during(EndpointAction::Slow(times), EndpointAction::Slow(1.0)),
                FaultKind::Report { qps, inflight } => {
                    during(EndpointAction::Report(Some((qps, inflight))), EndpointAction::Report(None));
                }
                FaultKind::Kill => during(EndpointAction::Kill, EndpointAction::Start),
                FaultKind::CutOff => during(EndpointAction::CutOff, EndpointAction::Start),
                FaultKind::Drain => during(EndpointAction::Drain(true), EndpointAction::Drain(false)),
                FaultKind::LetGo { after, silently } => {
                    during(
                        EndpointAction::IdleTimeout(Some((after, silently))),
                        EndpointAction::IdleTimeout(None),
                    );
                }
                FaultKind::Pause => {
                    actions.push((from, endpoint, EndpointAction::Pause(event.lasts.unwrap_or_default())));
                }
                FaultKind::Restart { downtime, apart } => {
                    let restart_at = from + apart * order as u32;
                    actions.push((restart_at, endpoint, EndpointAction::Kill));
                    actions.push((restart_at + downtime, endpoint, EndpointAction::Start));
                }
                FaultKind::Neighbour { takes, turns } => {
                    let mut stream =
                        draws.stream_for_pair(Purpose::NoisyNeighbour, event_index as u64, endpoint as u64);
                    let range = (turns.0.as_secs_f64(), turns.1.as_secs_f64());
                    let (mut at, mut is_active) = (from, true);
                    let end = until.unwrap_or(script.lasts);
                    while at < end {
                        actions.push((
                            at,
                            endpoint,
                            EndpointAction::Neighbour(if is_active { takes } else { 0.0 }),
                        ));
                        (at, is_active) =
                            (at + Duration::from_secs_f64(stream.uniform_in(range)), !is_active);
                    }
                    actions.push((end, endpoint, EndpointAction::Neighbour(0.0)));
                }
                FaultKind::Heavy { .. } | FaultKind::RegisterDown { .. } | FaultKind::Surge { .. } => {}
            }
        }
    }
    actions.sort_by_key(|(at, endpoint, _)| (*at, *endpoint));
    actions
}

/// The model of discovery in a run.
#[derive(Clone, Debug)]
pub struct Discovery {
    changes: Vec<Change>,
    endpoint_count: usize,
    outages: Vec<(Duration, Duration, Vec<usize>)>,
    /// Time that discovery needs to answer one poll.
    call_time: Duration,
    timeout: Duration,
    busy_until: Duration,
    /// Delay until an endpoint that stops responding is removed from the list.
    silent_notice: Duration,
}

/// The result of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollResult {
    /// The poll is answered at this time.
    Answered(Duration),
    /// The poll fails at this time.
    Failed(Duration),
}

impl Discovery {
    /// Discovery of a script, with all changes and outages that are known ahead.
    pub fn new(script: &Script, draws: RandomStreams) -> Discovery {
        let mut changes = Vec::new();
        let mut notice_count = 0;
        let mut notice_delay = |range: (Duration, Duration)| {
            notice_count += 1;
            let mut stream = draws.stream(Purpose::DiscoveryDelay, notice_count);
            Duration::from_secs_f64(stream.uniform_in((range.0.as_secs_f64(), range.1.as_secs_f64())))
        };
        let mut started = vec![None; script.fleet.nodes];
        let mut is_silent = vec![false; script.fleet.nodes];
        for (at, endpoint, action) in endpoint_actions(script, draws) {
            let status = match action {
                EndpointAction::Kill => EndpointStatus::Left,
                EndpointAction::CutOff => {
                    is_silent[endpoint] = true;
                    let entry =
                        ListEntry { endpoint, status: EndpointStatus::Left, started: started[endpoint] };
                    changes
                        .push(Change { at: at + notice_delay(script.discovery.silent_notice_delay), entry });
                    continue;
                }
                EndpointAction::Start => {
                    (started[endpoint], is_silent[endpoint]) = (Some(at), false);
                    EndpointStatus::Active
                }
                EndpointAction::Drain(true) => EndpointStatus::Leaving,
                EndpointAction::Drain(false) => EndpointStatus::Active,
                _ => continue,
            };
            let entry = ListEntry { endpoint, status, started: started[endpoint] };
            changes.push(Change { at: at + notice_delay(script.discovery.notice_delay), entry });
        }
        // A change of an endpoint is never listed before an earlier change of the same endpoint.
        let mut last_change = vec![Duration::ZERO; script.fleet.nodes];
        for change in &mut changes {
            change.at = change.at.max(last_change[change.entry.endpoint]);
            last_change[change.entry.endpoint] = change.at;
        }
        changes.sort_by_key(|change| (change.at, change.entry.endpoint));
        let outages = script.events.iter().filter_map(|event| match &event.fault {
            FaultKind::RegisterDown { without } => {
                Some((event.at, event.until().unwrap_or(Duration::MAX), without.clone()))
            }
            _ => None,
        });
        Discovery {
            changes,
            endpoint_count: script.fleet.nodes,
            outages: outages.collect(),
            call_time: script.discovery.call_time,
            timeout: script.discovery.timeout,
            busy_until: Duration::ZERO,
            silent_notice: script.discovery.silent_notice_delay.0,
        }
    }

    /// Adds to the timeline that an endpoint has crashed from too much work; a script does not say when this happens.
    pub fn record_crash(&mut self, endpoint: usize, at: Duration) {
        let entry = ListEntry { endpoint, status: EndpointStatus::Left, started: None };
        let at = at + self.silent_notice;
        self.changes.retain(|change| change.entry.endpoint != endpoint || change.at < at);
        let position = self.changes.partition_point(|change| change.at <= at);
        self.changes.insert(position, Change { at, entry });
    }

    /// Whether discovery is down.
    pub fn is_down(&self, now: Duration) -> bool {
        self.outages.iter().any(|(from, until, _)| (*from..*until).contains(&now))
    }

    /// The next time at which discovery goes down or comes back.
    pub fn next_outage_change(&self, now: Duration) -> Option<Duration> {
        let changes = self.outages.iter().flat_map(|(from, until, _)| [*from, *until]);
        changes.filter(|at| *at > now).min()
    }

    /// The version of the list at a time; 1 at the start.
    pub fn version(&self, now: Duration) -> u64 {
        1 + self.changes.partition_point(|change| change.at <= now) as u64 + self.outages_with_loss(now)
    }

    /// How many outages have ended after which discovery lacks some endpoints.
    fn outages_with_loss(&self, now: Duration) -> u64 {
        self.outages.iter().filter(|(_, until, without)| *until <= now && !without.is_empty()).count() as u64
    }

    /// The next time at which the list changes.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let changed = self.changes.iter().map(|change| change.at).find(|at| *at > now);
        let lost = self
            .outages
            .iter()
            .filter(|outage| !outage.2.is_empty())
            .map(|outage| outage.1)
            .filter(|at| *at > now)
            .min();
        changed.into_iter().chain(lost).min()
    }

    /// The delta since a version, or a snapshot if discovery cannot give a delta for that version.
    pub fn list_since(&self, now: Duration, version: u64) -> EndpointList {
        let current = self.version(now);
        let lost = self.outages_with_loss(now) > 0;
        // After an outage with lost endpoints, only a snapshot shows which endpoints are missing.
        if version == 0 || version > current || lost && version < current {
            return EndpointList { version: current, is_snapshot: true, entries: self.snapshot_entries(now) };
        }
        let visible =
            self.changes.iter().filter(|change| change.at <= now).skip(version.saturating_sub(1) as usize);
        let entries =
            if version == current { Vec::new() } else { visible.map(|change| change.entry).collect() };
        EndpointList { version: current, is_snapshot: false, entries }
    }

    /// The entries of a snapshot at a time.
    pub fn snapshot_entries(&self, now: Duration) -> Vec<ListEntry> {
        let initial = |endpoint| ListEntry { endpoint, status: EndpointStatus::Active, started: None };
        let mut entries: Vec<ListEntry> = (0..self.endpoint_count).map(initial).collect();
        for change in self.changes.iter().filter(|change| change.at <= now) {
            entries[change.entry.endpoint] = change.entry;
        }
        let lost = |endpoint: usize| {
            self.outages.iter().any(|(_, until, without)| *until <= now && without.contains(&endpoint))
        };
        entries.retain(|entry| entry.status != EndpointStatus::Left && !lost(entry.endpoint));
        entries
    }

    /// Handles a poll that arrives at `now`. Polls are answered one after another; a poll whose answer would come after the timeout fails.
    pub fn poll(&mut self, now: Duration) -> PollResult {
        if self.is_down(now) {
            return PollResult::Failed(now);
        }
        let answered_at = self.busy_until.max(now) + self.call_time;
        if answered_at > now + self.timeout {
            return PollResult::Failed(now + self.timeout);
        }
        self.busy_until = answered_at;
        if self.is_down(answered_at) {
            PollResult::Failed(answered_at)
        } else {
            PollResult::Answered(answered_at)
        }
    }
}
