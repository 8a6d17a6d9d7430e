//! Endpoints: their entries in an endpoint list, and the load that they report.

use super::stable_hash;
use std::time::Duration;

/// The number of an endpoint, given by the gateway densely from 0; less than [`EndpointId::LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

impl EndpointId {
    /// Endpoints with this number or a higher one are ignored.
    pub const LIMIT: u32 = 1 << 20;
}

/// The state of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new attempts.
    Up,
    /// It finishes its attempts in flight; no new one may be sent.
    Draining,
    /// It is deregistered.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its number at this gateway.
    pub id: EndpointId,
    /// The hash of its name, the same at every gateway: see [`stable_hash`].
    pub hash: u64,
    /// Its state.
    pub state: EndpointState,
    /// Its availability zone.
    pub zone: u32,
    /// Its cell: the endpoints of a cell share the idempotency keys that they have seen.
    pub cell: u32,
    /// When it last started; `None` if it started before records began.
    pub started: Option<Duration>,
    /// Its machine kind: endpoints of one kind are expected to be equally fast.
    pub kind: u32,
    /// Its weight; its meaning is set by [`Settings::endpoint_weights`](super::Settings::endpoint_weights).
    pub weight: f64,
}

impl Endpoint {
    /// An endpoint of zone, cell and kind 0 with weight 1 that started before records began.
    pub fn new(id: EndpointId, name: &str) -> Self {
        let hash = stable_hash(name);
        Endpoint { id, hash, state: EndpointState::Up, zone: 0, cell: 0, started: None, kind: 0, weight: 1.0 }
    }
}

impl Default for Endpoint {
    /// An endpoint that is removed and has no name.
    fn default() -> Self {
        Endpoint { state: EndpointState::Removed, ..Endpoint::new(EndpointId(0), "") }
    }
}

/// The load that an endpoint reports, from all gateways together. It is noisy, and older than the response that carries it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests served a second since the report before.
    pub requests_per_second: f64,
    /// Requests in flight when the report was made.
    pub in_flight: f64,
}
