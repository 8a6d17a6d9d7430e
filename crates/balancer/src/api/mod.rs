//! The interface of the balancer: settings and events in, actions out.
//!
//! Times are [`Duration`](std::time::Duration)s on the clock of the embedding gateway, which may start at any value and
//! never runs backwards. The gateway chooses the numbers: endpoints are numbered densely from 0, requests by any number not used before.
//! An event about an endpoint or a request that is unknown or has ended is ignored.

mod action;
mod endpoint;
mod event;
mod hash;
mod request;
mod settings;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointId, EndpointState, LoadReport};
pub use event::{Event, PollFailure};
pub use hash::{mix, stable_hash};
pub use request::{Outcome, Request, RequestId};
pub use settings::{EndpointWeights, Idempotency, KeyScope, RequestClass, Settings};
