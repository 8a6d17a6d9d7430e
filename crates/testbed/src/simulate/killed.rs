//! Gateways that are killed with requests in flight and restart without any state.

use super::{front_targets, initial_gateways, DecisionModule, Simulation, SimulationEvent};
use crate::baseline::BaselineBalancer;
use crate::client::ClientOutcome;
use crate::random_variates::Purpose;
use weldworks_balancer::parse_settings;
use weldworks_balancer::Balancer;

impl Simulation<'_> {
    /// The gateways to kill: every other gateway from the first, so that every zone loses some.
    fn gateways_to_kill(&self) -> Vec<usize> {
        let count = initial_gateways(self.script, self.gateways.len());
        let every_other = (0..count).step_by(2).chain((1..count).step_by(2));
        every_other.take(self.script.fleet.killed_gateways.min(count - 1)).collect()
    }

    /// Kills gateways. Their machines reset all connections, which clients and endpoints observe at once.
    /// Requests in flight are left to their clients to retry.
    pub(super) fn kill_gateways(&mut self) {
        let killed = self.gateways_to_kill();
        for &gateway_index in &killed {
            self.gateways[gateway_index].alive = false;
            self.gateways[gateway_index].watching = false;
            for endpoint in 0..self.endpoint_models.len() {
                for (connection, _) in std::mem::take(&mut self.gateways[gateway_index].idle[endpoint]) {
                    self.schedule(
                        self.now,
                        SimulationEvent::ConnectionClosed { endpoint, connection, attempt: None },
                    );
                }
            }
        }
        let is_killed = |gateway_index: usize| killed.contains(&gateway_index);
        let in_flight: Vec<usize> = (0..self.requests.len())
            .filter(|&index| !self.requests[index].answered && is_killed(self.requests[index].gateway))
            .collect();
        for request_index in in_flight {
            for attempt_index in self.requests[request_index].attempts.clone() {
                if !self.attempts[attempt_index].ended {
                    self.close_connection(attempt_index);
                    self.attempts[attempt_index].ended = true;
                }
            }
            self.fail_request(request_index, ClientOutcome::Failed);
        }
        let fleet = &self.script.fleet;
        let (notice_at, restart_at) = (self.now + fleet.failover_delay, self.now + fleet.restart_delay);
        self.schedule(notice_at, SimulationEvent::KillNoticed);
        self.schedule(restart_at, SimulationEvent::RestartGateways);
    }

    /// Ends a request that its gateway will never answer, with the outcome that its client observes.
    pub(super) fn fail_request(&mut self, request_index: usize, outcome: ClientOutcome) {
        self.requests[request_index].answered = true;
        if !self.requests[request_index].closed {
            self.checker.record_give_up(self.requests[request_index].number, self.now);
            self.close_request(request_index, outcome);
        }
    }

    /// The front load balancer sends requests only to the gateways of a zone that are alive, if there are any.
    pub(super) fn update_front(&mut self) {
        let mut gateways_by_zone = front_targets(self.script, self.gateways.len());
        for targets in &mut gateways_by_zone {
            if targets.iter().any(|&gateway_index| self.gateways[gateway_index].alive) {
                targets.retain(|&gateway_index| self.gateways[gateway_index].alive);
            }
        }
        self.gateways_by_zone = gateways_by_zone;
    }

    /// Restarts the killed gateways with new processes, which get the current endpoint list from discovery.
    pub(super) fn restart_gateways(&mut self) {
        let count = self.gateways.len();
        for gateway_index in 0..count {
            if self.gateways[gateway_index].alive {
                continue;
            }
            let (script, draws) = (self.script, self.draws);
            let incarnation = self.gateways[gateway_index].incarnation + 1;
            let seed =
                draws.number(Purpose::GatewaySeed, gateway_index as u64).wrapping_add(u64::from(incarnation));
            let settings = parse_settings(&script.settings(gateway_index, count).to_string());
            // Reading the settings cannot fail: the same settings were read at the start of the run.
            let Ok(settings) = settings else { continue };
            let gateway = &mut self.gateways[gateway_index];
            gateway.module = match gateway.module {
                DecisionModule::Baseline(_) => DecisionModule::Baseline(Box::new(BaselineBalancer::new(
                    settings,
                    draws.stream(Purpose::GatewaySeed, seed),
                ))),
                DecisionModule::Real(_) => DecisionModule::Real(Box::new(Balancer::new(settings, seed))),
            };
            (gateway.alive, gateway.incarnation, gateway.version) = (true, incarnation, 0);
            gateway.endpoints.clear();
            gateway.watching = script.discovery.pushed;
            let list = self.discovery.list_since(self.now, 0);
            self.deliver_list(gateway_index, list);
        }
        self.update_front();
    }
}
