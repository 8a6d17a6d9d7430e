//! The decisions of the gateway's subsystems, beside the choice of a node, which is the decision module's.
//!
//! Each subsystem brings a module of its own here. None does any I/O: the time comes in as a [`std::time::Duration`],
//! events come in, actions go out, and what is random comes from a seed.

pub mod bodies;
pub mod classes;
pub mod drain;
pub mod execution;
pub mod handover;
pub mod host_start;
pub mod rewatch;
pub mod storm;
