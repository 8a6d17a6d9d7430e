//! The node register without I/O: what it lists at a time, and which calls it answers when.
//!
//! What a script does to nodes is known ahead, so most changes stand on a timeline from the start. Nodes that fall
//! over are added when they do. A version is a place on the timeline.

use crate::checker::EndpointNotice;
use crate::draws::{Draws, For};
use crate::plan::affected_endpoints;
use crate::script::{FaultKind, Script};
use std::time::Duration;

/// A node's state, as the register lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes work.
    Active,
    /// Finishes what it has.
    Leaving,
    /// Gone.
    Left,
}

/// One entry of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Which node.
    pub node: usize,
    /// Its state.
    pub status: Status,
    /// When it last started, if that is not long ago.
    pub started: Option<Duration>,
}

impl Entry {
    /// What a gateway that hears it has been told.
    pub fn told(&self) -> EndpointNotice {
        match self.status {
            Status::Active => EndpointNotice::Up(self.started),
            Status::Leaving => EndpointNotice::Draining,
            Status::Left => EndpointNotice::Removed,
        }
    }
}

/// A change, told from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Change {
    at: Duration,
    entry: Entry,
}

/// What a call brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    /// Its version.
    pub version: u64,
    /// Whether it is whole.
    pub whole: bool,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// What the script does to one node, in order of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    /// Its process ends.
    Kill,
    /// Its machine is cut off.
    CutOff,
    /// It starts, cold.
    Start,
    /// It drains, or no longer does.
    Drain(bool),
    /// It fails this share of its requests.
    Fail(f64),
    /// Its neighbour takes this share.
    Neighbour(f64),
    /// It is so many times slower.
    Slow(f64),
    /// It does nothing for so long.
    Pause(Duration),
    /// Its load reports always say this (requests served a second, requests held); or what is true.
    Report(Option<(f64, f64)>),
    /// It lets connections go after this time, silently or not; or as it was built.
    LetGo(Option<(Duration, bool)>),
}

/// Everything that a script does to nodes, in order of time.
pub fn deeds(script: &Script, draws: Draws) -> Vec<(Duration, usize, Deed)> {
    let mut deeds = Vec::new();
    for (n, event) in script.events.iter().enumerate() {
        let (from, until) = (event.at, event.until());
        for (k, node) in affected_endpoints(script, draws, n).into_iter().enumerate() {
            let mut during = |on: Deed, off: Deed| {
                deeds.push((from, node, on));
                deeds.extend(until.map(|until| (until, node, off)));
            };
            match event.fault {
                FaultKind::Fail { share } => during(Deed::Fail(share), Deed::Fail(0.0)),
                FaultKind::Slow { times } => during(Deed::Slow(times), Deed::Slow(1.0)),
                FaultKind::Report { qps, inflight } => {
                    during(Deed::Report(Some((qps, inflight))), Deed::Report(None));
                }
                FaultKind::Kill => during(Deed::Kill, Deed::Start),
                FaultKind::CutOff => during(Deed::CutOff, Deed::Start),
                FaultKind::Drain => during(Deed::Drain(true), Deed::Drain(false)),
                FaultKind::LetGo { after, silently } => {
                    during(Deed::LetGo(Some((after, silently))), Deed::LetGo(None));
                }
                FaultKind::Pause => deeds.push((from, node, Deed::Pause(event.lasts.unwrap_or_default()))),
                FaultKind::Restart { gone, apart } => {
                    let at = from + apart * k as u32;
                    deeds.push((at, node, Deed::Kill));
                    deeds.push((at + gone, node, Deed::Start));
                }
                FaultKind::Neighbour { takes, turns } => {
                    let mut stream = draws.stream_of_two(For::Neighbour, n as u64, node as u64);
                    let range = (turns.0.as_secs_f64(), turns.1.as_secs_f64());
                    let (mut at, mut on) = (from, true);
                    let end = until.unwrap_or(script.lasts);
                    while at < end {
                        deeds.push((at, node, Deed::Neighbour(if on { takes } else { 0.0 })));
                        (at, on) = (at + Duration::from_secs_f64(stream.within(range)), !on);
                    }
                    deeds.push((end, node, Deed::Neighbour(0.0)));
                }
                FaultKind::Heavy { .. } | FaultKind::RegisterDown { .. } | FaultKind::Surge { .. } => {}
            }
        }
    }
    deeds.sort_by_key(|(at, node, _)| (*at, *node));
    deeds
}

/// The register of a run.
#[derive(Clone, Debug)]
pub struct Register {
    changes: Vec<Change>,
    nodes: usize,
    down: Vec<(Duration, Duration, Vec<usize>)>,
    call: Duration,
    timeout: Duration,
    busy_until: Duration,
    silent_notice: Duration,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// It is answered then.
    Answered(Duration),
    /// It fails then.
    Failed(Duration),
}

impl Register {
    /// The register of a script.
    pub fn new(script: &Script, draws: Draws) -> Register {
        let mut changes = Vec::new();
        let mut notices = 0;
        let mut notice = |range: (Duration, Duration)| {
            notices += 1;
            let mut stream = draws.stream(For::Register, notices);
            Duration::from_secs_f64(stream.within((range.0.as_secs_f64(), range.1.as_secs_f64())))
        };
        let mut started = vec![None; script.fleet.nodes];
        let mut silent = vec![false; script.fleet.nodes];
        for (at, node, deed) in deeds(script, draws) {
            let status = match deed {
                Deed::Kill => Status::Left,
                Deed::CutOff => {
                    silent[node] = true;
                    let entry = Entry { node, status: Status::Left, started: started[node] };
                    changes.push(Change { at: at + notice(script.discovery.silent_notice_delay), entry });
                    continue;
                }
                Deed::Start => {
                    (started[node], silent[node]) = (Some(at), false);
                    Status::Active
                }
                Deed::Drain(true) => Status::Leaving,
                Deed::Drain(false) => Status::Active,
                _ => continue,
            };
            let entry = Entry { node, status, started: started[node] };
            changes.push(Change { at: at + notice(script.discovery.notice_delay), entry });
        }
        // A later deed is never told before an earlier one of the same node.
        let mut last = vec![Duration::ZERO; script.fleet.nodes];
        for change in &mut changes {
            change.at = change.at.max(last[change.entry.node]);
            last[change.entry.node] = change.at;
        }
        changes.sort_by_key(|c| (c.at, c.entry.node));
        let down = script.events.iter().filter_map(|e| match &e.fault {
            FaultKind::RegisterDown { without } => {
                Some((e.at, e.until().unwrap_or(Duration::MAX), without.clone()))
            }
            _ => None,
        });
        Register {
            changes,
            nodes: script.fleet.nodes,
            down: down.collect(),
            call: script.discovery.call_time,
            timeout: script.discovery.timeout,
            busy_until: Duration::ZERO,
            silent_notice: script.discovery.silent_notice_delay.0,
        }
    }

    /// A node has fallen over, which no script foresaw.
    pub fn fell(&mut self, node: usize, at: Duration) {
        let entry = Entry { node, status: Status::Left, started: None };
        let at = at + self.silent_notice;
        self.changes.retain(|c| c.entry.node != node || c.at < at);
        let place = self.changes.partition_point(|c| c.at <= at);
        self.changes.insert(place, Change { at, entry });
    }

    /// Whether it answers nobody.
    pub fn is_down(&self, now: Duration) -> bool {
        self.down.iter().any(|(from, until, _)| (*from..*until).contains(&now))
    }

    /// When that changes next.
    pub fn next_turn(&self, now: Duration) -> Option<Duration> {
        let turns = self.down.iter().flat_map(|(from, until, _)| [*from, *until]);
        turns.filter(|at| *at > now).min()
    }

    /// The version at a time; 1 at the start.
    pub fn version(&self, now: Duration) -> u64 {
        1 + self.changes.partition_point(|c| c.at <= now) as u64 + self.losses(now)
    }

    fn losses(&self, now: Duration) -> u64 {
        self.down.iter().filter(|(_, until, without)| *until <= now && !without.is_empty()).count() as u64
    }

    /// When the list changes next.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let told = self.changes.iter().map(|c| c.at).find(|at| *at > now);
        let lost = self.down.iter().filter(|d| !d.2.is_empty()).map(|d| d.1).filter(|at| *at > now).min();
        told.into_iter().chain(lost).min()
    }

    /// What has changed since a version, or the whole list where that version is none of this register's.
    pub fn since(&self, now: Duration, version: u64) -> List {
        let current = self.version(now);
        let lost = self.losses(now) > 0;
        // Once it has come back with another list, only the whole list tells what it lacks.
        if version == 0 || version > current || lost && version < current {
            return List { version: current, whole: true, entries: self.whole(now) };
        }
        let told = self.changes.iter().filter(|c| c.at <= now).skip(version.saturating_sub(1) as usize);
        let entries = if version == current { Vec::new() } else { told.map(|c| c.entry).collect() };
        List { version: current, whole: false, entries }
    }

    /// The whole list.
    pub fn whole(&self, now: Duration) -> Vec<Entry> {
        let fresh = |node| Entry { node, status: Status::Active, started: None };
        let mut entries: Vec<Entry> = (0..self.nodes).map(fresh).collect();
        for change in self.changes.iter().filter(|c| c.at <= now) {
            entries[change.entry.node] = change.entry;
        }
        let lost = |node: usize| self.down.iter().any(|(_, until, w)| *until <= now && w.contains(&node));
        entries.retain(|e| e.status != Status::Left && !lost(e.node));
        entries
    }

    /// A call comes at `now`. Calls are worked through in turn; one that would wait too long fails.
    pub fn call(&mut self, now: Duration) -> Call {
        if self.is_down(now) {
            return Call::Failed(now);
        }
        let done = self.busy_until.max(now) + self.call;
        if done > now + self.timeout {
            return Call::Failed(now + self.timeout);
        }
        self.busy_until = done;
        if self.is_down(done) {
            Call::Failed(done)
        } else {
            Call::Answered(done)
        }
    }
}
