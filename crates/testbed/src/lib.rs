//! A test bed that rehearses outages: stand-ins for the booking service's endpoints, for discovery, the clients and the
//! load balancer in front of the gateways; scripts of faults; and a checker of the four rules, by what the stand-ins observed.
//!
//! A script has two runners: [`simulate`] runs the script in virtual time with the balancer in process;
//! [`replay`] runs the script on loopback sockets with real gateway processes. Both runners use the same [`model`] of
//! an endpoint, the same [`plan`] of requests, which is fixed before a run, and the same [`checker`].

#![allow(
    clippy::too_many_lines,
    clippy::redundant_closure_for_method_calls,
    reason = "the test bed is split by concern in the second half of the standard terms"
)]

pub mod baseline;
pub mod checker;
pub mod client;
pub mod count;
pub mod discovery;
pub mod endpoint_models;
pub mod fleet_scenario;
pub mod large_bodies;
pub mod live;
pub mod logs;
pub mod model;
pub mod plan;
pub mod random_variates;
pub mod replay;
pub mod report;
pub mod resends;
pub mod run_folder;
pub mod script;
pub mod scripted;
pub mod simulate;
pub mod sweep;
pub mod timeline;
