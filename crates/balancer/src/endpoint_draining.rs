//! Connections to draining endpoints: idle connections are closed at once, and again in rounds while the drain lasts.

use crate::api::{Action, EndpointState};
use crate::balancer::{set_timer, Balancer, ENDPOINT_DRAIN_TIMER_TOKEN};

/// Rounds of closing idle connections in each `drain_close_within`; rounds repeat while any endpoint is draining.
const CLOSE_ROUNDS_PER_LIMIT: f64 = 3.0;

impl Balancer {
    /// Closes the idle connections to draining endpoints and sets a timer for the next round of closing.
    /// One round is not enough: the balancer gets no event when the connection of a cancelled attempt becomes idle.
    pub(crate) fn close_idle_connections_to_draining(&mut self, actions: &mut Vec<Action>) {
        let Some(close_within) = self.settings.drain_close_within else { return };
        let actions_before = actions.len();
        let draining =
            self.endpoints.iter().filter(|endpoint| endpoint.entry.state == EndpointState::Draining);
        actions.extend(draining.map(|endpoint| Action::CloseIdleConnections { endpoint: endpoint.entry.id }));
        let any_draining = actions.len() > actions_before;
        if any_draining && !self.drain_timer_set {
            self.drain_timer_set = true;
            actions.push(set_timer(
                close_within.as_secs_f64() / CLOSE_ROUNDS_PER_LIMIT,
                ENDPOINT_DRAIN_TIMER_TOKEN,
            ));
        }
    }

    /// Runs the next round of closing idle connections to draining endpoints.
    pub(crate) fn on_drain_timer(&mut self, actions: &mut Vec<Action>) {
        self.drain_timer_set = false;
        self.close_idle_connections_to_draining(actions);
    }
}
