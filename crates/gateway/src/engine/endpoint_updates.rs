//! Applies endpoint lists of discovery: updates the ids, addresses, states and start times of the endpoints.

use super::Engine;
use crate::discovery::endpoint_list::{EndpointList, ListFault, ListedEndpoint, ListedStatus};
use crate::upstream::UpstreamEndpoint;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info, warn};
use weldworks_balancer::{Endpoint, EndpointId, EndpointState, Event};
use weldworks_control::endpoint_start::{self, StartEvidence};
use weldworks_control::retry_storm::StartedEndpoint;
use weldworks_fleet::protocol::DepartedEndpoint;

/// Largest number of faults of one endpoint list that are logged, each with the faulty entry.
const MAX_LOGGED_LIST_FAULTS: usize = 3;

/// How far in the future a start time may lie to be used as the newest start. A wall clock may be off by an hour.
const MAX_WALL_CLOCK_ERROR: Duration = Duration::from_secs(2 * 3600);

/// Reference times for estimating the start times in one endpoint list.
struct StartReference {
    now: Duration,
    /// The newest start of any endpoint, listed now or before, in Unix milliseconds.
    newest_start_unix_ms: u64,
    /// When the previous discovery message, keep-alives included, was received.
    previous_message_at: Option<Duration>,
}

impl Engine {
    /// Applies an endpoint list that did not come from discovery but from the configuration.
    pub fn apply_endpoint_list(&mut self, list: EndpointList) {
        self.apply_received_list(None, list);
    }

    /// Applies an endpoint list; `previous_message_at` is when discovery's previous message was received.
    ///
    /// A faulty entry does not affect the other entries. Faults are logged once, and again when they change.
    pub(super) fn apply_received_list(&mut self, previous_message_at: Option<Instant>, list: EndpointList) {
        let faults = list.faults(self.list_index, 1 + MAX_LOGGED_LIST_FAULTS);
        let is_outdated = matches!(faults.first(), Some(ListFault::Outdated { .. }));
        if !faults.is_empty() && faults != self.list_faults {
            self.log_list_faults(list.index, &faults);
        }
        self.list_faults = faults;
        if is_outdated {
            // The outdated list still answers a poll. Without this event the balancer would wait for the poll's answer for ever.
            return self.notify(Event::EndpointList { is_snapshot: false, endpoints: &[] });
        }
        self.list_index = list.index;
        let active_before = self.active_endpoints_named_in(&list);
        self.free_removed_ids();
        if list.is_snapshot {
            self.mark_all_removed();
        }
        let reference = self.start_reference(&list, previous_message_at);
        let changed: Vec<Endpoint> =
            list.endpoints.iter().map(|entry| self.update_endpoint(entry, &reference)).collect();
        self.store_listed(&changed);
        self.report_starts_to_storm_control();
        log_list(&list);
        self.close_connections_to_unavailable();
        self.report_departures(&active_before);
        self.notify(Event::EndpointList { is_snapshot: list.is_snapshot, endpoints: &changed });
    }

    fn log_list_faults(&self, received_index: u64, faults: &[ListFault]) {
        let logged: Vec<_> = faults.iter().take(MAX_LOGGED_LIST_FAULTS).map(ListFault::to_string).collect();
        let more = faults.len() > MAX_LOGGED_LIST_FAULTS;
        warn!(
            address = %self.discovery_address,
            received_index,
            faults = logged.join("; "),
            more,
            "endpoint list has faults"
        );
    }

    /// Marks all endpoints removed, because endpoints that are missing in a snapshot are removed.
    fn mark_all_removed(&mut self) {
        self.endpoints.iter().for_each(|endpoint| endpoint.accepts_requests.set(false));
        self.listed_endpoints.iter_mut().for_each(|listed| listed.state = EndpointState::Removed);
    }

    fn store_listed(&mut self, changed: &[Endpoint]) {
        for endpoint in changed {
            match self.listed_endpoints.get_mut(endpoint.id.0 as usize) {
                Some(listed) => *listed = endpoint.clone(),
                None => self.listed_endpoints.push(endpoint.clone()),
            }
        }
    }

    fn report_starts_to_storm_control(&mut self) {
        let Some(storm) = &mut self.retry_storm else { return };
        let active = self.listed_endpoints.iter().filter(|listed| listed.state == EndpointState::Up);
        let started: Vec<_> = active.map(|listed| StartedEndpoint { started_at: listed.started }).collect();
        storm.set_endpoints(self.handle.balancer_time(Instant::now()), &started);
    }

    /// Closes idle connections to endpoints that accept no new requests, and publishes whether any endpoint accepts requests.
    fn close_connections_to_unavailable(&self) {
        let accepts_requests = |id: EndpointId| {
            self.endpoints.get(id.0 as usize).is_some_and(|endpoint| endpoint.accepts_requests.get())
        };
        self.pool.retain(accepts_requests);
        let any_endpoint_accepts = self.endpoints.iter().any(|endpoint| endpoint.accepts_requests.get());
        self.handle.set_any_endpoint_accepts(any_endpoint_accepts);
    }

    /// Reports the received list to the fleet, and returns the endpoints that are up and that the list may change; empty without a fleet.
    fn active_endpoints_named_in(&self, list: &EndpointList) -> Vec<(String, EndpointId)> {
        let Some(fleet) = &self.fleet else { return Vec::new() };
        fleet.record_list_received(list.index);
        let if_up = |(name, id): (&String, &EndpointId)| {
            let is_up = self.listed_state(*id) == Some(EndpointState::Up);
            is_up.then(|| (name.clone(), *id))
        };
        if list.is_snapshot {
            return self.endpoint_ids.iter().filter_map(if_up).collect();
        }
        let named = list.endpoints.iter().filter_map(|entry| self.endpoint_ids.get_key_value(&entry.name));
        named.filter_map(if_up).collect()
    }

    fn listed_state(&self, id: EndpointId) -> Option<EndpointState> {
        self.listed_endpoints.get(id.0 as usize).map(|listed| listed.state)
    }

    /// Reports the applied list to the fleet, with the endpoints of `active_before` that are draining or removed now.
    fn report_departures(&self, active_before: &[(String, EndpointId)]) {
        let Some(fleet) = &self.fleet else { return };
        let departed = active_before.iter().filter_map(|(name, id)| {
            let state = self.listed_state(*id).unwrap_or(EndpointState::Removed);
            let has_departed = state != EndpointState::Up;
            has_departed.then(|| (name.clone(), state == EndpointState::Removed))
        });
        fleet.record_applied_list(self.list_index, departed.collect());
    }

    /// Drains endpoints that are draining or removed in newer endpoint lists of other gateways.
    pub(super) fn drain_remote_departures(&mut self, departed: &[DepartedEndpoint]) {
        let Some(fleet) = self.fleet.clone() else { return };
        let mut drained = Vec::new();
        for name in fleet.record_remote_departures(departed) {
            drained.extend(self.drain_endpoint(&name));
        }
        if drained.is_empty() {
            return;
        }
        info!(
            endpoints = drained.len(),
            list_index = self.list_index,
            "draining endpoints that drain or are removed in other gateways' newer endpoint lists"
        );
        self.close_connections_to_unavailable();
        self.notify(Event::EndpointList { is_snapshot: false, endpoints: &drained });
    }

    /// Sets an endpoint to draining and returns it, if it is up; `None` for an unknown endpoint or one that is not up.
    fn drain_endpoint(&mut self, name: &str) -> Option<Endpoint> {
        let id = self.endpoint_ids.get(name)?;
        let listed = self.listed_endpoints.get_mut(id.0 as usize)?;
        if listed.state != EndpointState::Up {
            return None;
        }
        listed.state = EndpointState::Draining;
        if let Some(endpoint) = self.endpoints.get(id.0 as usize) {
            endpoint.accepts_requests.set(false);
        }
        Some(listed.clone())
    }

    /// Frees the ids of removed endpoints that no request in the request table was sent to.
    ///
    /// Endpoints are added and removed for as long as the process runs.
    /// Without reuse of ids, every table of endpoints and every iteration over such a table would grow without bound.
    fn free_removed_ids(&mut self) {
        let endpoints = &self.endpoints;
        let listed_endpoints = &self.listed_endpoints;
        let free_ids = &mut self.free_ids;
        self.endpoint_ids.retain(|_, id| {
            let index = id.0 as usize;
            let is_removed =
                listed_endpoints.get(index).is_some_and(|listed| listed.state == EndpointState::Removed);
            let is_unused = endpoints.get(index).is_some_and(|endpoint| Rc::strong_count(endpoint) == 1);
            let is_free = is_removed && is_unused;
            if is_free {
                free_ids.push(*id);
            }
            !is_free
        });
    }

    fn start_reference(&self, list: &EndpointList, previous_message_at: Option<Instant>) -> StartReference {
        let now = self.handle.balancer_time(Instant::now());
        let in_list = list.endpoints.iter().map(|entry| entry.started_unix_ms);
        let is_possible = |unix_ms: &u64| {
            let start = self.handle.balancer_time_of_unix(*unix_ms);
            start.is_some_and(|at| at <= now + MAX_WALL_CLOCK_ERROR)
        };
        let known = self.started_unix_ms.iter().copied();
        let newest = in_list.chain(known).filter(is_possible).max();
        StartReference {
            now,
            newest_start_unix_ms: newest.unwrap_or(0),
            previous_message_at: previous_message_at.map(|at| self.handle.balancer_time(at)),
        }
    }

    /// Estimates on the balancer's clock when an endpoint started, from the start time that discovery reports.
    /// The estimate is kept for as long as discovery reports the same start time.
    fn estimate_start(
        &mut self,
        id: EndpointId,
        started_unix_ms: u64,
        reference: &StartReference,
    ) -> Option<Duration> {
        let index = id.0 as usize;
        let known = self.started_unix_ms.len().max(index + 1);
        self.started_unix_ms.resize(known, 0);
        let previous_unix_ms = std::mem::replace(&mut self.started_unix_ms[index], started_unix_ms);
        if started_unix_ms == 0 {
            return None; // 0 stands for a start long ago
        }
        if previous_unix_ms == started_unix_ms {
            if let Some(listed) = self.listed_endpoints.get(index) {
                return listed.started;
            }
        }
        let before_newest_ms = reference.newest_start_unix_ms.saturating_sub(started_unix_ms);
        Some(endpoint_start::estimate_start(StartEvidence {
            now: reference.now,
            wall_clock_start: self.handle.balancer_time_of_unix(started_unix_ms),
            offset_before_newest: Duration::from_millis(before_newest_ms),
            last_discovery_message: reference.previous_message_at,
        }))
    }

    /// Updates an endpoint's connection side from its list entry, and returns the endpoint as the balancer sees it.
    fn update_endpoint(&mut self, entry: &ListedEndpoint, reference: &StartReference) -> Endpoint {
        let id = self.endpoint_id(&entry.name);
        let endpoint = &self.endpoints[id.0 as usize];
        let address = entry.address.parse().ok();
        if address.is_some() {
            endpoint.address.set(address);
        }
        if let Some(fleet) = &self.fleet {
            fleet.set_endpoint_name(id, &entry.name);
        }
        let state = self.endpoint_state(entry, endpoint);
        endpoint.accepts_requests.set(state == EndpointState::Up);
        Endpoint {
            state,
            zone: self.names.zone(&entry.zone, id.0),
            cell: entry.cell.unwrap_or(u32::MAX - id.0),
            started: self.estimate_start(id, entry.started_unix_ms, reference),
            kind: self.names.kind(&entry.kind, id.0),
            weight: entry.weight,
            ..Endpoint::new(id, &entry.name)
        }
    }

    /// The id of the endpoint with this name, allocated where the name is new.
    /// The balancer recognizes by the hash of the name that an id has been reused for another endpoint.
    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.endpoint_ids.get(name) {
            return *id;
        }
        let id = self.free_ids.pop().unwrap_or(EndpointId(self.endpoints.len() as u32));
        self.endpoint_ids.insert(name.to_owned(), id);
        if let Some(started_unix_ms) = self.started_unix_ms.get_mut(id.0 as usize) {
            *started_unix_ms = 0; // discards the start of the id's previous endpoint
        }
        let endpoint =
            Rc::new(UpstreamEndpoint { id, address: Cell::new(None), accepts_requests: Cell::new(false) });
        match self.endpoints.get_mut(id.0 as usize) {
            Some(previous) => *previous = endpoint,
            None => self.endpoints.push(endpoint),
        }
        id
    }

    /// The state of an endpoint by its list entry. An endpoint without an address counts as removed, since nothing can be sent to it.
    /// An endpoint that is draining or removed in other gateways' newer lists stays draining.
    /// An endpoint whose status is unknown to this build drains, and the unknown status is not logged as a fault of the list.
    fn endpoint_state(&self, entry: &ListedEndpoint, endpoint: &UpstreamEndpoint) -> EndpointState {
        match entry.status {
            ListedStatus::Active if endpoint.address.get().is_none() => EndpointState::Removed,
            ListedStatus::Active if self.has_departed_remotely(&entry.name) => EndpointState::Draining,
            ListedStatus::Active => EndpointState::Up,
            ListedStatus::Removed => EndpointState::Removed,
            ListedStatus::Draining | ListedStatus::Unknown => EndpointState::Draining,
        }
    }

    fn has_departed_remotely(&self, name: &str) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| fleet.is_endpoint_overridden(name))
    }
}

fn log_list(list: &EndpointList) {
    for entry in &list.endpoints {
        debug!(
            endpoint = entry.address,
            name = entry.name,
            zone = entry.zone,
            kind = entry.kind,
            status = ?entry.status,
            started_unix_ms = entry.started_unix_ms,
            "endpoint listed"
        );
    }
    debug!(
        list_index = list.index,
        snapshot = list.is_snapshot,
        entries = list.endpoints.len(),
        "endpoint list received"
    );
}
