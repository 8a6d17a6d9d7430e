//! A rig to rehearse outages on: stand-ins for booking nodes, register, clients and front, scripts of what goes
//! wrong, and a ledger that proves the four rules from what they saw.
//!
//! One script is played by two runners. [`simulate`] plays it in virtual time with the decision module in process;
//! [`replay`] plays it on loopback sockets with real gateway processes. Both use the same node [`model`], the same
//! [`plan`] of requests fixed ahead, and the same [`ledger`].

#![allow(
    clippy::too_many_lines,
    clippy::redundant_closure_for_method_calls,
    reason = "the test bed is split by concern in the second half of the standard terms"
)]

pub mod baseline;
pub mod client;
pub mod count;
pub mod discovery;
pub mod endpoint_models;
pub mod fleet_scenario;
pub mod large_bodies;
pub mod ledger;
pub mod live;
pub mod logs;
pub mod model;
pub mod plan;
pub mod random_variates;
pub mod replay;
pub mod report;
pub mod resends;
pub mod script;
pub mod scripted;
pub mod simulate;
pub mod sweep;
pub mod timeline;
