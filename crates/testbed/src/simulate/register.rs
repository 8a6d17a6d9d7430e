//! The register in virtual time: calls, news, and the weights that it gives nodes by what they hold.

use super::{Happening, World, BEFORE};
use crate::checker::EndpointNotice;
use crate::model::Node;
use crate::register::{Call, Entry, List, Status};
use weldworks_balancer::{EndpointId, EndpointState, Event};

impl World<'_> {
    /// A gateway's call has come.
    pub(super) fn register_called(&mut self, gateway: usize) {
        let way = self.script.network.same_zone;
        match self.register.call(self.now) {
            Call::Answered(at) => {
                let list = self.register.since(at, self.gateways[gateway].version);
                self.at(at + way, Happening::RegisterSays { gateway, list: Some(list) });
            }
            Call::Failed(at) => self.at(at + way, Happening::RegisterSays { gateway, list: None }),
        }
    }

    /// A gateway hears the register's word, or that there is none.
    pub(super) fn register_says(&mut self, gateway: usize, list: Option<List>) {
        if !self.gateways[gateway].alive {
            return;
        }
        self.gateways[gateway].watching = list.is_some();
        match list {
            Some(list) => self.tell(gateway, list),
            None => self.decide(gateway, Event::DiscoveryFailed { silent_for: std::time::Duration::ZERO }),
        }
    }

    pub(super) fn await_register(&mut self) {
        let (change, turn) = (self.register.next_change(self.now), self.register.next_turn(self.now));
        if let Some(at) = change.into_iter().chain(turn).min() {
            self.at(at, Happening::RegisterTurns);
        }
    }

    pub(super) fn register_turns(&mut self) {
        let (down, way) = (self.register.is_down(self.now), self.script.network.same_zone);
        if self.script.discovery.pushed && !down {
            self.tell_agents();
        }
        for gateway in 0..self.gateways.len() {
            if !self.gateways[gateway].watching {
                continue;
            }
            if down && self.script.discovery.pushed {
                continue; // silent, for who is told unasked notices nothing
            }
            if down {
                self.at(self.now + way, Happening::RegisterSays { gateway, list: None });
                continue;
            }
            let list = self.register.since(self.now, self.gateways[gateway].version);
            if list.whole || !list.entries.is_empty() {
                self.at(self.now + way, Happening::RegisterSays { gateway, list: Some(list) });
            }
        }
        self.await_register();
    }

    /// What an agent has been sent counts as told, whether or not its gateway reads it.
    fn tell_agents(&mut self) {
        let list = self.register.since(self.now, self.agents);
        self.agents = list.version;
        for gateway in 0..self.minds() {
            for entry in &list.entries {
                self.ledger.record_notice(gateway, entry.node, self.now, entry.told());
            }
            let listed = |node: &usize| list.entries.iter().any(|e| e.node == *node);
            for node in (0..self.nodes.len()).filter(|n| list.whole && !listed(n)) {
                self.ledger.record_notice(gateway, node, self.now, EndpointNotice::Removed);
            }
        }
    }

    /// A gateway hears a list.
    pub(super) fn tell(&mut self, gateway: usize, list: List) {
        if list.version < self.gateways[gateway].version {
            return; // an older word, overtaken on its way
        }
        let hosts: Vec<weldworks_balancer::Endpoint> = list.entries.iter().map(|e| self.host(e)).collect();
        let g = &mut self.gateways[gateway];
        g.version = list.version;
        if list.whole {
            for known in &mut g.hosts {
                if !hosts.iter().any(|h| h.id == known.id) {
                    known.state = EndpointState::Removed;
                    self.ledger.record_notice(
                        gateway,
                        known.id.0 as usize,
                        self.now,
                        EndpointNotice::Removed,
                    );
                }
            }
        }
        for (host, entry) in hosts.iter().zip(&list.entries) {
            match g.hosts.iter_mut().find(|h| h.id == host.id) {
                Some(known) => *known = host.clone(),
                None => g.hosts.push(host.clone()),
            }
            self.ledger.record_notice(gateway, entry.node, self.now, entry.told());
        }
        if let Some(storm) = &mut g.storm {
            let up = g.hosts.iter().filter(|h| h.state == EndpointState::Up);
            let up: Vec<_> = up
                .map(|h| weldworks_control::retry_storm::StartedEndpoint { started_at: h.started })
                .collect();
            storm.set_endpoints(BEFORE + self.now, &up);
        }
        self.decide(gateway, Event::EndpointList { is_snapshot: list.whole, endpoints: &hosts });
    }

    /// What a node is worth now: its size, divided by 1 + what it holds a core.
    pub(super) fn weight(&self, node: &Node) -> f64 {
        match self.script.discovery.weights {
            Some(_) => node.live_weight(),
            None => 1.0,
        }
    }

    /// Looks at all nodes and has the gateways told, later; then looks again.
    pub(super) fn weigh(&mut self) {
        let Some(weights) = self.script.discovery.weights else { return };
        let seen = self.nodes.iter().map(|node| self.weight(node)).collect();
        self.at(self.now + weights.late, Happening::Weights { weights: seen });
        if self.now + weights.every <= self.script.end() {
            self.at(self.now + weights.every, Happening::Weigh);
        }
    }

    /// The gateways that watch hear new weights, unless the register is down.
    pub(super) fn hear_weights(&mut self, weights: Vec<f64>) {
        if self.register.is_down(self.now) {
            return;
        }
        self.weights = weights;
        for gateway in 0..self.minds() {
            if !self.gateways[gateway].watching {
                continue;
            }
            let mut hosts = self.gateways[gateway].hosts.clone();
            hosts.retain(|h| h.state != EndpointState::Removed);
            for host in &mut hosts {
                host.weight = self.weights[host.id.0 as usize];
            }
            self.decide(gateway, Event::EndpointList { is_snapshot: false, endpoints: &hosts });
        }
    }

    /// An entry in the module's terms.
    fn host(&self, entry: &Entry) -> weldworks_balancer::Endpoint {
        let script = self.script;
        let state = match entry.status {
            Status::Active => EndpointState::Up,
            Status::Leaving => EndpointState::Draining,
            Status::Left => EndpointState::Removed,
        };
        weldworks_balancer::Endpoint {
            state,
            zone: script.zone_of(entry.node) as u32,
            cell: script.rack_of(entry.node) as u32,
            started: entry.started.map(|at| BEFORE + at),
            weight: self.weights[entry.node],
            kind: self.kinds[entry.node] as u32,
            ..weldworks_balancer::Endpoint::new(EndpointId(entry.node as u32), &script.node_name(entry.node))
        }
    }
}
