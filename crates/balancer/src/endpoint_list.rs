//! Handles endpoint lists from discovery: adds and removes endpoints, detects new processes and sets endpoint sizes.

use crate::api::{Action, Endpoint, EndpointId, EndpointState, EndpointWeights};
use crate::balancer::Balancer;
use crate::endpoint_state::EndpointRecord;
use crate::load_signals::{listed_in_flight_per_core, ListedLoad};

/// Smallest size of an endpoint, relative to the mean size.
const MIN_SIZE_RATIO: f64 = 0.1;
/// Largest size of an endpoint, relative to the mean size.
const MAX_SIZE_RATIO: f64 = 10.0;

/// Whether an endpoint list contains all endpoints or only those that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    /// The endpoint list contains all endpoints; an endpoint missing from the list is removed.
    Snapshot,
    /// The endpoint list contains only the endpoints that changed.
    Delta,
}

impl Balancer {
    /// Handles an endpoint list from discovery.
    pub(crate) fn on_endpoint_list(
        &mut self,
        now_s: f64,
        kind: ListKind,
        list: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        self.discovery.on_endpoint_list(now_s, &self.settings, &mut self.rng, actions);
        if kind == ListKind::Snapshot {
            for endpoint in &mut self.endpoints {
                endpoint.entry.state = EndpointState::Removed;
            }
        }
        for entry in list.iter().filter(|entry| entry.id.0 < EndpointId::LIMIT) {
            self.update_entry(entry);
        }
        self.close_idle_connections_to_draining(actions);
        self.ready = (0..self.endpoints.len()).filter(|&index| self.endpoints[index].is_ready()).collect();
        match self.settings.endpoint_weights {
            EndpointWeights::Off => {}
            EndpointWeights::Size => self.update_relative_sizes(),
            EndpointWeights::Live if list.is_empty() => {}
            EndpointWeights::Live => {
                let in_flight_per_core = listed_in_flight_per_core(&mut self.endpoints, &self.ready);
                self.listed_load = ListedLoad { in_flight_per_core, received_at_s: now_s };
            }
        }
        self.run_maintenance(now_s);
    }

    /// Applies an entry of an endpoint list.
    /// A later start, or another name under the same number, means a new process, which starts without learned state.
    /// Its first attempt under slow start is sent at a random time; otherwise the first attempts of all gateways would arrive together.
    fn update_entry(&mut self, entry: &Endpoint) {
        let index = entry.id.0 as usize;
        let is_known = index < self.endpoints.len();
        let count = self.endpoints.len().max(index + 1);
        self.endpoints.resize_with(count, EndpointRecord::unknown);
        let endpoint = &mut self.endpoints[index];
        let started_s = entry.started.map_or(f64::NEG_INFINITY, |started| started.as_secs_f64());
        let is_other_endpoint = is_known && endpoint.entry.hash != entry.hash;
        if started_s > endpoint.started_s || is_other_endpoint {
            endpoint.reset_for_new_process(started_s, self.rng.f64());
        }
        endpoint.entry = entry.clone();
    }

    /// Sets the relative sizes of ready endpoints from their weights, where weights are sizes.
    fn update_relative_sizes(&mut self) {
        let total: f64 = self.ready.iter().map(|&index| self.endpoints[index].entry.weight).sum();
        if total <= 0.0 || total.is_nan() {
            return;
        }
        let count = self.ready.len() as f64;
        for &index in &self.ready {
            let endpoint = &mut self.endpoints[index];
            let size = endpoint.entry.weight * count / total;
            endpoint.relative_size = size.clamp(MIN_SIZE_RATIO, MAX_SIZE_RATIO);
        }
    }
}
