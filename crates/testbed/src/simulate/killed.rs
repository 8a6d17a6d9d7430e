//! Gateways that are killed with requests in hand, and come back knowing nothing.

use super::{front, there, Happening, Mind, World};
use crate::client::Seen;
use crate::draws::For;
use crate::plain::Plain;
use weldworks_balancer::parse_settings;
use weldworks_balancer::Balancer;

impl World<'_> {
    /// Which ones: every other one from the first, so that each zone loses its part.
    fn to_kill(&self) -> Vec<usize> {
        let count = there(self.script, self.gateways.len());
        let in_turn = (0..count).step_by(2).chain((1..count).step_by(2));
        in_turn.take(self.script.fleet.killed_gateways.min(count - 1)).collect()
    }

    /// Their machines reset what they hold open: clients and nodes see it at once. What was in hand is for the client to try again.
    pub(super) fn kill(&mut self) {
        let killed = self.to_kill();
        for &g in &killed {
            self.gateways[g].alive = false;
            self.gateways[g].watching = false;
            for node in 0..self.nodes.len() {
                for (connection, _) in std::mem::take(&mut self.gateways[g].idle[node]) {
                    self.at(self.now, Happening::Left { node, connection, attempt: None });
                }
            }
        }
        let of_them = |g: usize| killed.contains(&g);
        let held: Vec<usize> = (0..self.tries.len())
            .filter(|&n| !self.tries[n].answered && of_them(self.tries[n].gateway))
            .collect();
        for n in held {
            for a in self.tries[n].attempts.clone() {
                if !self.attempts[a].over {
                    self.leave(a);
                    self.attempts[a].over = true;
                }
            }
            self.lose(n, Seen::Failed);
        }
        let fleet = &self.script.fleet;
        let (noticed, back) = (self.now + fleet.failover_delay, self.now + fleet.restart_delay);
        self.at(noticed, Happening::Noticed);
        self.at(back, Happening::Back);
    }

    /// A try that its gateway will never answer, and whose client knows.
    pub(super) fn lose(&mut self, n: usize, seen: Seen) {
        self.tries[n].answered = true;
        if !self.tries[n].closed {
            self.ledger.record_give_up(self.tries[n].number, self.now);
            self.close(n, seen);
        }
    }

    /// The front deals to those that are there.
    pub(super) fn deal(&mut self) {
        let mut by_zone = front(self.script, self.gateways.len());
        for own in &mut by_zone {
            if own.iter().any(|&g| self.gateways[g].alive) {
                own.retain(|&g| self.gateways[g].alive);
            }
        }
        self.by_zone = by_zone;
    }

    /// New processes in their places, with the list as the register has it.
    pub(super) fn back(&mut self) {
        let count = self.gateways.len();
        for g in 0..count {
            if self.gateways[g].alive {
                continue;
            }
            let (script, draws) = (self.script, self.draws);
            let life = self.gateways[g].life + 1;
            let seed = draws.number(For::Gateway, g as u64).wrapping_add(u64::from(life));
            let settings = parse_settings(&script.settings(g, count).to_string());
            // The same settings were read at the start of the day.
            let Ok(settings) = settings else { continue };
            let gateway = &mut self.gateways[g];
            gateway.mind = match gateway.mind {
                Mind::Plain(_) => {
                    Mind::Plain(Box::new(Plain::new(settings, draws.stream(For::Gateway, seed))))
                }
                Mind::Module(_) => Mind::Module(Box::new(Balancer::new(settings, seed))),
            };
            (gateway.alive, gateway.life, gateway.version) = (true, life, 0);
            gateway.hosts.clear();
            gateway.watching = script.discovery.pushed;
            let list = self.register.since(self.now, 0);
            self.tell(g, list);
        }
        self.deal();
    }
}
