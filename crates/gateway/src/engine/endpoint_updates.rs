//! The endpoints as discovery lists them: their numbers, addresses and starts, and what a list or a delta changes of them.

use super::Engine;
use crate::discovery::endpoint_list::{EndpointList, ListFault, ListedEndpoint, ListedStatus};
use crate::upstream::UpstreamEndpoint;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info, warn};
use weldworks_balancer::{EndpointId, EndpointState, Event};
use weldworks_control::endpoint_start::{self, StartEvidence};
use weldworks_fleet::protocol::DepartedEndpoint;

/// So many faults of one list are told, each with its entry.
const FAULTS_TOLD: usize = 3;

/// A wall clock may be off by an hour. What starts later than that by it is no start.
const WALL_CLOCK_OFF: Duration = Duration::from_secs(2 * 3600);

/// What the starts of hosts in one list are dated by.
struct Starts {
    now: Duration,
    /// The newest start of all, in Unix milliseconds.
    newest_ms: u64,
    /// When discovery had last spoken before this list.
    heard_before: Option<Duration>,
}

impl Engine {
    /// Takes in a list that is no word of discovery's: the one that the configuration holds.
    pub fn learn(&mut self, list: EndpointList) {
        self.learn_after(None, list);
    }

    /// Takes a list of hosts in, or what has changed of it, after discovery's word of `heard_before`. What is wrong with it costs
    /// nothing but itself, and is told once until it changes.
    pub(super) fn learn_after(&mut self, heard_before: Option<Instant>, list: EndpointList) {
        let faults = list.faults(self.version, 1 + FAULTS_TOLD);
        let old = matches!(faults.first(), Some(ListFault::Outdated { .. }));
        if !faults.is_empty() && faults != self.faults {
            let told: Vec<_> = faults.iter().take(FAULTS_TOLD).map(ListFault::to_string).collect();
            let more = if faults.len() > FAULTS_TOLD { ", and more" } else { "" };
            warn!(address = %self.discovery, version = list.index, "discovery: {}{more}", told.join("; "));
        }
        self.faults = faults;
        if old {
            // The call that brought it is answered, with no news: the module would wait for its answer for ever.
            return self.decide(Event::EndpointList { is_snapshot: false, endpoints: &[] });
        }
        self.version = list.index;
        let before = self.departing(&list);
        self.free_the_gone();
        if list.is_snapshot {
            // What a whole list lacks is gone.
            self.hosts.iter().for_each(|h| h.is_active.set(false));
            self.listed.iter_mut().for_each(|h| h.state = EndpointState::Removed);
        }
        let starts = self.starts(&list, heard_before);
        let news: Vec<weldworks_balancer::Endpoint> =
            list.endpoints.iter().map(|e| self.host(e, &starts)).collect();
        for host in &news {
            match self.listed.get_mut(host.id.0 as usize) {
                Some(listed) => *listed = host.clone(),
                None => self.listed.push(host.clone()),
            }
        }
        if let Some(storm) = &mut self.storm {
            let up = self.listed.iter().filter(|h| h.state == EndpointState::Up);
            let up: Vec<_> = up
                .map(|h| weldworks_control::retry_storm::StartedEndpoint { started_at: h.started })
                .collect();
            storm.set_endpoints(self.handle.balancer_time(Instant::now()), &up);
        }
        for e in &list.endpoints {
            debug!(host = e.address, name = e.name, zone = e.zone, kind = e.kind, status = ?e.status, since = e.started_unix_ms, "listed");
        }
        debug!(index = list.index, whole = list.is_snapshot, entries = list.endpoints.len(), "list");
        self.pool.retain(|id| self.hosts.get(id.0 as usize).is_some_and(|h| h.is_active.get()));
        self.handle.set_has_active_endpoint(self.hosts.iter().any(|h| h.is_active.get()));
        self.tell_departed(&before);
        self.decide(Event::EndpointList { is_snapshot: list.is_snapshot, endpoints: &news });
    }

    /// Where the fleet is to be told: the hosts that a list is about to change and that take work, by name.
    fn departing(&self, list: &EndpointList) -> Vec<(String, EndpointId)> {
        let Some(fleet) = &self.fleet else { return Vec::new() };
        fleet.begin_endpoint_list(list.index);
        let up =
            |id: EndpointId| self.listed.get(id.0 as usize).is_some_and(|h| h.state == EndpointState::Up);
        let taking = |(name, id): (&String, &EndpointId)| up(*id).then(|| (name.clone(), *id));
        if list.is_snapshot {
            return self.host_ids.iter().filter_map(taking).collect();
        }
        let named = list.endpoints.iter().filter_map(|e| self.host_ids.get_key_value(&e.name));
        named.filter_map(taking).collect()
    }

    /// Tells the fleet which of these leave or are gone now.
    fn tell_departed(&self, before: &[(String, EndpointId)]) {
        let Some(fleet) = &self.fleet else { return };
        let state =
            |id: &EndpointId| self.listed.get(id.0 as usize).map_or(EndpointState::Removed, |h| h.state);
        let departed = before.iter().filter(|(_, id)| state(id) != EndpointState::Up);
        let departed = departed.map(|(name, id)| (name.clone(), state(id) == EndpointState::Removed));
        fleet.apply_endpoint_list(self.version, departed.collect());
    }

    /// Others have a newer list: discovery is asked again, on a connection of its own.
    pub(super) fn catch_up(&mut self, current: u64) {
        if current <= self.version {
            return;
        }
        info!(own = self.version, current, "discovery: other gateways have a newer list; it is asked again");
        let watched = self.end_watch();
        if self.pushed() {
            self.subscribe();
        } else if watched {
            self.decide(Event::DiscoveryFailed { silent_for: Duration::ZERO });
        }
    }

    /// Newer lists than the one held say that hosts leave or are gone: nothing new goes there.
    pub(super) fn turn_from(&mut self, gone: &[DepartedEndpoint]) {
        let Some(fleet) = self.fleet.clone() else { return };
        let mut news = Vec::new();
        for name in fleet.record_remote_departures(gone) {
            let Some(id) = self.host_ids.get(&name) else { continue };
            let Some(listed) = self.listed.get_mut(id.0 as usize) else { continue };
            if listed.state == EndpointState::Up {
                listed.state = EndpointState::Draining;
                news.push(listed.clone());
                if let Some(host) = self.hosts.get(id.0 as usize) {
                    host.is_active.set(false);
                }
            }
        }
        if news.is_empty() {
            return;
        }
        info!(
            hosts = news.len(),
            own = self.version,
            "other gateways were told that hosts leave or are gone; nothing new goes there"
        );
        self.pool.retain(|id| self.hosts.get(id.0 as usize).is_some_and(|h| h.is_active.get()));
        self.handle.set_has_active_endpoint(self.hosts.iter().any(|h| h.is_active.get()));
        self.decide(Event::EndpointList { is_snapshot: false, endpoints: &news });
    }

    /// Frees the numbers of the hosts that are gone and that no open request has been sent to. Hosts come and go for
    /// ever: with a number for each that ever was, every table and every walk over one would grow for ever.
    fn free_the_gone(&mut self) {
        let (hosts, listed, free) = (&self.hosts, &self.listed, &mut self.free_ids);
        self.host_ids.retain(|_, id| {
            let at = id.0 as usize;
            let gone = listed.get(at).is_some_and(|h| h.state == EndpointState::Removed)
                && hosts.get(at).is_some_and(|h| Rc::strong_count(h) == 1);
            if gone {
                free.push(*id);
            }
            !gone
        });
    }

    /// What the starts in a list are dated by.
    fn starts(&self, list: &EndpointList, heard_before: Option<Instant>) -> Starts {
        let now = self.handle.balancer_time(Instant::now());
        let listed = list.endpoints.iter().map(|e| e.started_unix_ms);
        let possible = |unix_ms: &u64| {
            self.handle.balancer_time_of_unix(*unix_ms).is_some_and(|at| at <= now + WALL_CLOCK_OFF)
        };
        let newest_ms = listed.chain(self.since_ms.iter().copied()).filter(possible).max().unwrap_or(0);
        Starts { now, newest_ms, heard_before: heard_before.map(|at| self.handle.balancer_time(at)) }
    }

    /// When a host started that discovery says to be up since this Unix time. One that is known to have started then keeps its date.
    fn started(&mut self, id: EndpointId, since_ms: u64, starts: &Starts) -> Option<Duration> {
        let at = id.0 as usize;
        self.since_ms.resize(self.since_ms.len().max(at + 1), 0);
        let before = std::mem::replace(&mut self.since_ms[at], since_ms);
        if since_ms == 0 {
            return None; // long ago
        }
        if let Some(listed) = self.listed.get(at).filter(|_| before == since_ms) {
            return listed.started;
        }
        Some(endpoint_start::estimate_start(StartEvidence {
            now: starts.now,
            wall_clock_start: self.handle.balancer_time_of_unix(since_ms),
            offset_before_newest: Duration::from_millis(starts.newest_ms.saturating_sub(since_ms)),
            last_discovery_message: starts.heard_before,
        }))
    }

    /// An entry in the module's terms. A host keeps its number by its name for as long as it is known; the module tells
    /// by the name's hash that a number has passed to another.
    fn host(&mut self, entry: &ListedEndpoint, starts: &Starts) -> weldworks_balancer::Endpoint {
        let known = self.host_ids.get(&entry.name).copied();
        let id = known.or_else(|| self.free_ids.pop()).unwrap_or(EndpointId(self.hosts.len() as u32));
        if known.is_none() {
            self.host_ids.insert(entry.name.clone(), id);
            if let Some(since_ms) = self.since_ms.get_mut(id.0 as usize) {
                *since_ms = 0; // another host's
            }
            let host =
                Rc::new(UpstreamEndpoint { id, address: Cell::new(None), is_active: Cell::new(false) });
            match self.hosts.get_mut(id.0 as usize) {
                Some(gone) => *gone = host,
                None => self.hosts.push(host),
            }
        }
        let host = &self.hosts[id.0 as usize];
        let address = entry.address.parse().ok();
        if address.is_some() {
            host.address.set(address);
        }
        if let Some(fleet) = &self.fleet {
            fleet.set_endpoint_name(id, &entry.name);
        }
        let overruled = || self.fleet.as_ref().is_some_and(|fleet| fleet.is_endpoint_overridden(&entry.name));
        let state = match entry.status {
            ListedStatus::Active if host.address.get().is_some() && overruled() => EndpointState::Draining,
            ListedStatus::Active if host.address.get().is_some() => EndpointState::Up,
            ListedStatus::Active | ListedStatus::Left => EndpointState::Removed,
            ListedStatus::Leaving | ListedStatus::Unknown => EndpointState::Draining,
        };
        host.is_active.set(state == EndpointState::Up);
        weldworks_balancer::Endpoint {
            state,
            zone: self.names.zone(&entry.zone, id.0),
            cell: entry.group.unwrap_or(u32::MAX - id.0),
            started: self.started(id, entry.started_unix_ms, starts),
            kind: self.names.kind(&entry.kind, id.0),
            weight: entry.weight,
            ..weldworks_balancer::Endpoint::new(id, &entry.name)
        }
    }
}
