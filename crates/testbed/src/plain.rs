//! A plain gateway, to measure against: it picks at random, tries again at once, and lets everything in.
//!
//! It keeps what classes ask of repeats and sends nothing to nodes that drain. Cold nodes get as much as warm ones, and what
//! can't be dialled is held until its time is up: the ledger books both. Never part of the program.

use crate::random_variates::RandomStream;
use rustc_hash::FxHashMap;
use std::time::Duration;
use weldworks_balancer::{
    Action, Endpoint, EndpointId, EndpointState, Event, Idempotency, Outcome, RequestId, Settings,
};

/// The wait before discovery is asked again after a failure.
const ASK_AGAIN: Duration = Duration::from_secs(1);
const ASK: u64 = 0;

#[derive(Clone, Debug)]
struct Open {
    class: usize,
    until: Duration,
    attempts: u32,
    out: Option<(EndpointId, Duration)>,
    /// The hosts at which it may have run, and when it was sent there.
    ran: Vec<(EndpointId, Duration)>,
}

/// A plain gateway. It is fed and obeyed as the decision module is.
#[derive(Clone, Debug)]
pub struct Plain {
    settings: Settings,
    draws: RandomStream,
    hosts: FxHashMap<EndpointId, Endpoint>,
    up: Vec<EndpointId>,
    open: FxHashMap<RequestId, Open>,
    asked: bool,
}

impl Plain {
    /// One that knows no host yet.
    pub fn new(settings: Settings, draws: RandomStream) -> Plain {
        let (hosts, up, open) = Default::default();
        Plain { settings, draws, hosts, up, open, asked: false }
    }

    /// Takes an event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { is_snapshot: full, endpoints: hosts } => self.learn(full, hosts, actions),
            Event::DiscoveryFailed { .. } | Event::DiscoveryChanged => {
                actions.push(Action::SetTimer { after: ASK_AGAIN, token: ASK });
            }
            Event::Timer { token: ASK } => actions.push(Action::PollDiscovery),
            Event::Request(r) if r.class < self.settings.classes.len() => {
                let (until, attempts, out, ran) = (r.client_deadline, 0, None, Vec::new());
                self.open.insert(r.id, Open { class: r.class, until, attempts, out, ran });
                self.advance(now, r.id, actions);
            }
            Event::Request(r) => actions.push(Action::Reject { request: r.id, retry_after: Duration::ZERO }),
            Event::AttemptEnded { request, outcome, request_ended: over, .. } => {
                let Some(open) = self.open.get_mut(&request) else { return };
                let sent = open.out.take().filter(|_| !outcome.proves_not_processed());
                open.ran.extend(sent);
                if over || outcome == Outcome::Served {
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

    fn learn(&mut self, full: bool, hosts: &[Endpoint], actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.asked, true) && self.settings.discovery_poll_interval.is_some() {
            actions.push(Action::SetTimer { after: ASK_AGAIN.mul_f64(self.draws.uniform()), token: ASK });
        }
        if full {
            self.hosts.clear();
        }
        self.hosts.extend(hosts.iter().map(|h| (h.id, h.clone())));
        self.up = self.hosts.values().filter(|h| h.state == EndpointState::Up).map(|h| h.id).collect();
        self.up.sort_unstable(); // a hash map's order is not the same in every run
    }

    /// Sends it once more where that is allowed, or ends it.
    fn advance(&mut self, now: Duration, request: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&request) else { return };
        let effect = self.settings.classes[open.class].idempotency;
        let fits = |id: &EndpointId| {
            open.ran.iter().all(|(host, sent)| match effect {
                Idempotency::Idempotent => true,
                Idempotency::NotIdempotent => false,
                Idempotency::IdempotencyKey { scope: group, window } => {
                    let of = (self.hosts.get(host), self.hosts.get(id));
                    now < *sent + window && matches!(of, (Some(a), Some(b)) if group.shares_keys(a, b))
                }
            })
        };
        let fit: Vec<EndpointId> = self.up.iter().copied().filter(fits).collect();
        let may = open.attempts < self.settings.max_attempts && now < open.until && !fit.is_empty();
        if !may {
            let all = matches!(
                effect,
                Idempotency::Idempotent
                    | Idempotency::IdempotencyKey { scope: weldworks_balancer::KeyScope::All, .. }
            );
            let harmless = all || open.ran.is_empty();
            self.open.remove(&request);
            return actions.push(match harmless {
                true => Action::Reject { request, retry_after: self.settings.max_retry_after },
                false => Action::Fail { request },
            });
        }
        let host = fit[self.draws.uniform_below(fit.len())];
        let write_by = match effect {
            Idempotency::IdempotencyKey { window, .. } => {
                open.ran.iter().map(|(_, sent)| *sent + window).min()
            }
            _ => None,
        };
        if let Some(open) = self.open.get_mut(&request) {
            open.attempts += 1;
            open.out = Some((host, now));
            actions.push(Action::Send { request, endpoint: host, deadline: open.until, write_by });
        }
    }
}
