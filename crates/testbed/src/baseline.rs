//! A baseline balancer to compare with: it picks endpoints at random, retries at once and admits every request.
//!
//! The balancer respects the idempotency of request classes and sends nothing to draining endpoints.
//! Endpoints in slow start get as many requests as others, and a request to an unreachable endpoint is held up by the connection attempt.
//! The checker records both effects.
//! The gateway program does not use this balancer.

use crate::random_variates::RandomStream;
use rustc_hash::FxHashMap;
use std::time::Duration;
use weldworks_balancer::{
    Action, Endpoint, EndpointId, EndpointState, Event, Idempotency, Outcome, RequestId, Settings,
};

/// Delay before discovery is polled again after a failure.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Token of the timer for the next poll of discovery.
const POLL_TIMER: u64 = 0;

/// An open request.
#[derive(Clone, Debug)]
struct OpenRequest {
    class: usize,
    until: Duration,
    attempts: u32,
    in_flight: Option<(EndpointId, Duration)>,
    /// The endpoints at which the request was possibly processed, and when it was sent to each.
    possibly_processed: Vec<(EndpointId, Duration)>,
}

/// The baseline balancer. It handles the events and returns the actions of the decision module.
#[derive(Clone, Debug)]
pub struct BaselineBalancer {
    settings: Settings,
    draws: RandomStream,
    endpoints: FxHashMap<EndpointId, Endpoint>,
    ready: Vec<EndpointId>,
    open: FxHashMap<RequestId, OpenRequest>,
    has_scheduled_poll: bool,
}

impl BaselineBalancer {
    /// A baseline balancer without endpoints.
    pub fn new(settings: Settings, draws: RandomStream) -> BaselineBalancer {
        let (endpoints, ready, open) = Default::default();
        BaselineBalancer { settings, draws, endpoints, ready, open, has_scheduled_poll: false }
    }

    /// Handles an event at `now` and appends the actions to carry out.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { is_snapshot: snapshot, endpoints: listed } => {
                self.update(snapshot, listed, actions);
            }
            Event::DiscoveryFailed { .. } | Event::DiscoveryChanged => {
                actions.push(Action::SetTimer { after: DISCOVERY_RETRY_DELAY, token: POLL_TIMER });
            }
            Event::Timer { token: POLL_TIMER } => actions.push(Action::PollDiscovery),
            Event::Request(new) if new.class < self.settings.classes.len() => {
                let (until, attempts, in_flight, possibly_processed) =
                    (new.client_deadline, 0, None, Vec::new());
                self.open.insert(
                    new.id,
                    OpenRequest { class: new.class, until, attempts, in_flight, possibly_processed },
                );
                self.advance(now, new.id, actions);
            }
            Event::Request(new) => {
                actions.push(Action::Reject { request: new.id, retry_after: Duration::ZERO });
            }
            Event::AttemptEnded { request, outcome, request_ended: ended, .. } => {
                let Some(open) = self.open.get_mut(&request) else { return };
                let sent = open.in_flight.take().filter(|_| !outcome.proves_not_processed());
                open.possibly_processed.extend(sent);
                if ended || outcome == Outcome::Served {
                    self.open.remove(&request);
                } else {
                    self.advance(now, request, actions);
                }
            }
            Event::ClientDisconnected { request } => {
                self.open.remove(&request);
            }
            Event::ResponseStarted { .. }
            | Event::BodyForwardingStarted { .. }
            | Event::BodyForwarded { .. }
            | Event::LoadReport { .. }
            | Event::IdleConnectionClosed { .. }
            | Event::Timer { .. }
            | Event::ProbeEnded { .. } => {}
        }
    }

    fn update(&mut self, is_snapshot: bool, endpoints: &[Endpoint], actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.has_scheduled_poll, true)
            && self.settings.discovery_poll_interval.is_some()
        {
            actions.push(Action::SetTimer {
                after: DISCOVERY_RETRY_DELAY.mul_f64(self.draws.uniform()),
                token: POLL_TIMER,
            });
        }
        if is_snapshot {
            self.endpoints.clear();
        }
        self.endpoints.extend(endpoints.iter().map(|endpoint| (endpoint.id, endpoint.clone())));
        self.ready = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.state == EndpointState::Up)
            .map(|endpoint| endpoint.id)
            .collect();
        self.ready.sort_unstable(); // the iteration order of a hash map differs from run to run
    }

    /// Sends a request to a random permitted endpoint, or ends the request if no attempt is permitted.
    fn advance(&mut self, now: Duration, request: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&request) else { return };
        let idempotency = self.settings.classes[open.class].idempotency;
        let is_permitted = |id: &EndpointId| {
            open.possibly_processed.iter().all(|(earlier, sent)| match idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NotIdempotent => false,
                Idempotency::IdempotencyKey { scope: key_scope, window } => {
                    let pair = (self.endpoints.get(earlier), self.endpoints.get(id));
                    now < *sent + window
                        && matches!(pair, (Some(earlier), Some(next)) if key_scope.shares_keys(earlier, next))
                }
            })
        };
        let permitted: Vec<EndpointId> = self.ready.iter().copied().filter(is_permitted).collect();
        let may_send =
            open.attempts < self.settings.max_attempts && now < open.until && !permitted.is_empty();
        if !may_send {
            let repeats_are_safe = matches!(
                idempotency,
                Idempotency::Idempotent
                    | Idempotency::IdempotencyKey { scope: weldworks_balancer::KeyScope::All, .. }
            );
            let may_reject = repeats_are_safe || open.possibly_processed.is_empty();
            self.open.remove(&request);
            return actions.push(match may_reject {
                true => Action::Reject { request, retry_after: self.settings.max_retry_after },
                false => Action::Fail { request },
            });
        }
        let endpoint_id = permitted[self.draws.uniform_below(permitted.len())];
        let write_by = match idempotency {
            Idempotency::IdempotencyKey { window, .. } => {
                open.possibly_processed.iter().map(|(_, sent)| *sent + window).min()
            }
            _ => None,
        };
        if let Some(open) = self.open.get_mut(&request) {
            open.attempts += 1;
            open.in_flight = Some((endpoint_id, now));
            actions.push(Action::Send { request, endpoint: endpoint_id, deadline: open.until, write_by });
        }
    }
}
