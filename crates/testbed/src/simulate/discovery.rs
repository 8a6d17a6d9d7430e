//! Discovery in virtual time: polls, pushed changes of the endpoint list, and live weights of the endpoints.

use super::{Simulation, SimulationEvent, CLOCK_AT_START};
use crate::checker::EndpointNotice;
use crate::discovery::{EndpointList, EndpointStatus, ListEntry, PollResult};
use crate::model::EndpointModel;
use weldworks_balancer::{EndpointId, EndpointState, Event, PollFailure};

impl Simulation<'_> {
    /// A gateway's poll has reached discovery.
    pub(super) fn on_discovery_poll(&mut self, gateway: usize) {
        let delay = self.script.network.same_zone;
        match self.discovery.poll(self.now) {
            PollResult::Answered(at) => {
                let list = self.discovery.list_since(at, self.gateways[gateway].version);
                self.schedule(at + delay, SimulationEvent::DiscoveryResponse { gateway, list: Some(list) });
            }
            PollResult::Failed(at) => {
                self.schedule(at + delay, SimulationEvent::DiscoveryResponse { gateway, list: None });
            }
        }
    }

    /// A gateway receives the endpoint list of a poll or watch, or learns that discovery failed.
    pub(super) fn on_discovery_response(&mut self, gateway: usize, list: Option<EndpointList>) {
        if !self.gateways[gateway].alive {
            return;
        }
        self.gateways[gateway].watching = list.is_some();
        match list {
            Some(list) => self.deliver_list(gateway, list),
            None => {
                let silent_for = std::time::Duration::ZERO;
                self.handle(gateway, Event::DiscoveryFailed { silent_for, cause: PollFailure::Unreachable });
            }
        }
    }

    pub(super) fn schedule_discovery_change(&mut self) {
        let (change, outage_change) =
            (self.discovery.next_change(self.now), self.discovery.next_outage_change(self.now));
        if let Some(at) = change.into_iter().chain(outage_change).min() {
            self.schedule(at, SimulationEvent::DiscoveryChange);
        }
    }

    pub(super) fn on_discovery_change(&mut self) {
        let (down, delay) = (self.discovery.is_down(self.now), self.script.network.same_zone);
        if self.script.discovery.pushed && !down {
            self.update_agents();
        }
        for gateway in 0..self.gateways.len() {
            if !self.gateways[gateway].watching {
                continue;
            }
            if down && self.script.discovery.pushed {
                continue; // with pushed changes, a gateway does not notice that discovery is down
            }
            if down {
                self.schedule(self.now + delay, SimulationEvent::DiscoveryResponse { gateway, list: None });
                continue;
            }
            let list = self.discovery.list_since(self.now, self.gateways[gateway].version);
            if list.is_snapshot || !list.entries.is_empty() {
                self.schedule(
                    self.now + delay,
                    SimulationEvent::DiscoveryResponse { gateway, list: Some(list) },
                );
            }
        }
        self.schedule_discovery_change();
    }

    /// A change that was sent to a gateway's agent counts as notified, whether or not the gateway reads the change.
    fn update_agents(&mut self) {
        let list = self.discovery.list_since(self.now, self.agent_version);
        self.agent_version = list.version;
        for gateway in 0..self.module_count() {
            for entry in &list.entries {
                self.checker.record_notice(gateway, entry.endpoint, self.now, entry.notification());
            }
            let listed = |endpoint: &usize| list.entries.iter().any(|entry| entry.endpoint == *endpoint);
            for endpoint in
                (0..self.endpoint_models.len()).filter(|endpoint| list.is_snapshot && !listed(endpoint))
            {
                self.checker.record_notice(gateway, endpoint, self.now, EndpointNotice::Removed);
            }
        }
    }

    /// Delivers an endpoint list to a gateway.
    pub(super) fn deliver_list(&mut self, gateway: usize, list: EndpointList) {
        if list.version < self.gateways[gateway].version {
            return; // an older list, overtaken on its way by a newer one
        }
        let endpoints: Vec<weldworks_balancer::Endpoint> =
            list.entries.iter().map(|entry| self.endpoint(entry)).collect();
        let gateway_state = &mut self.gateways[gateway];
        gateway_state.version = list.version;
        if list.is_snapshot {
            for known in &mut gateway_state.endpoints {
                if !endpoints.iter().any(|endpoint| endpoint.id == known.id) {
                    known.state = EndpointState::Removed;
                    self.checker.record_notice(
                        gateway,
                        known.id.0 as usize,
                        self.now,
                        EndpointNotice::Removed,
                    );
                }
            }
        }
        for (endpoint, entry) in endpoints.iter().zip(&list.entries) {
            match gateway_state.endpoints.iter_mut().find(|known| known.id == endpoint.id) {
                Some(known) => *known = endpoint.clone(),
                None => gateway_state.endpoints.push(endpoint.clone()),
            }
            self.checker.record_notice(gateway, entry.endpoint, self.now, entry.notification());
        }
        if let Some(storm) = &mut gateway_state.storm {
            let up = gateway_state.endpoints.iter().filter(|endpoint| endpoint.state == EndpointState::Up);
            let up: Vec<_> = up
                .map(|endpoint| weldworks_control::retry_storm::StartedEndpoint {
                    started_at: endpoint.started,
                })
                .collect();
            storm.set_endpoints(CLOCK_AT_START + self.now, &up);
        }
        self.handle(gateway, Event::EndpointList { is_snapshot: list.is_snapshot, endpoints: &endpoints });
    }

    /// The current live weight of an endpoint: its capacity divided by 1 + its requests in flight per core; 1 without live weights.
    pub(super) fn weight(&self, endpoint: &EndpointModel) -> f64 {
        match self.script.discovery.weights {
            Some(_) => endpoint.live_weight(),
            None => 1.0,
        }
    }

    /// Samples the live weights of all endpoints, which reach the gateways after a delay, and schedules the next sample.
    pub(super) fn sample_weights(&mut self) {
        let Some(weights) = self.script.discovery.weights else { return };
        let sampled = self.endpoint_models.iter().map(|endpoint| self.weight(endpoint)).collect();
        self.schedule(self.now + weights.late, SimulationEvent::WeightUpdate { weights: sampled });
        if self.now + weights.every <= self.script.end() {
            self.schedule(self.now + weights.every, SimulationEvent::SampleWeights);
        }
    }

    /// The gateways that watch discovery receive new live weights, unless discovery is down.
    pub(super) fn on_weight_update(&mut self, weights: Vec<f64>) {
        if self.discovery.is_down(self.now) {
            return;
        }
        self.weights = weights;
        for gateway in 0..self.module_count() {
            if !self.gateways[gateway].watching {
                continue;
            }
            let mut endpoints = self.gateways[gateway].endpoints.clone();
            endpoints.retain(|endpoint| endpoint.state != EndpointState::Removed);
            for endpoint in &mut endpoints {
                endpoint.weight = self.weights[endpoint.id.0 as usize];
            }
            self.handle(gateway, Event::EndpointList { is_snapshot: false, endpoints: &endpoints });
        }
    }

    /// Converts a list entry to the endpoint type of the decision module.
    fn endpoint(&self, entry: &ListEntry) -> weldworks_balancer::Endpoint {
        let script = self.script;
        let state = match entry.status {
            EndpointStatus::Active => EndpointState::Up,
            EndpointStatus::Leaving => EndpointState::Draining,
            EndpointStatus::Left => EndpointState::Removed,
        };
        weldworks_balancer::Endpoint {
            state,
            zone: script.zone_of(entry.endpoint) as u32,
            cell: script.rack_of(entry.endpoint) as u32,
            started: entry.started.map(|at| CLOCK_AT_START + at),
            weight: self.weights[entry.endpoint],
            kind: self.kinds[entry.endpoint] as u32,
            ..weldworks_balancer::Endpoint::new(
                EndpointId(entry.endpoint as u32),
                &script.endpoint_name(entry.endpoint),
            )
        }
    }
}
