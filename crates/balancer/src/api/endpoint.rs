//! Endpoints: their entries in an endpoint list, and the load that endpoints report.

use super::stable_hash;
use std::time::Duration;

/// The number of an endpoint. The gateway numbers endpoints densely from 0; numbers are less than [`EndpointId::LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

impl EndpointId {
    /// Endpoints with this number or a higher one are ignored.
    pub const LIMIT: u32 = 1 << 20;
}

/// The state of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint takes new attempts.
    Up,
    /// The endpoint finishes its attempts in flight; no new attempt may be sent to it.
    Draining,
    /// The endpoint is deregistered.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's number at this gateway.
    pub id: EndpointId,
    /// The hash of the endpoint's name, the same at every gateway: see [`stable_hash`].
    pub hash: u64,
    /// The endpoint's state according to discovery.
    pub state: EndpointState,
    /// The endpoint's availability zone.
    pub zone: u32,
    /// The endpoint's cell: the endpoints of a cell share the idempotency keys that they have seen.
    pub cell: u32,
    /// When the endpoint last started; `None` if it started long ago, before discovery recorded starts.
    pub started: Option<Duration>,
    /// The endpoint's machine kind: endpoints of one kind are expected to be equally fast.
    pub kind: u32,
    /// The endpoint's weight; [`Settings::endpoint_weights`](super::Settings::endpoint_weights) says what the weight means.
    pub weight: f64,
}

impl Endpoint {
    /// An endpoint of zone, cell and kind 0 with weight 1 that started long ago, before discovery recorded starts.
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

/// The load that an endpoint reports, from the requests of all gateways together.
/// The figures are noisy, and older than the response that carries the report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests a second that the endpoint has served since its previous report.
    pub requests_per_second: f64,
    /// Requests in flight at the endpoint when the report was made.
    pub in_flight: f64,
}
