//! The decisions of the gateway's subsystems, beside the choice of a node, which is the decision module's.
//!
//! Each subsystem brings a module of its own here. None does any I/O: the time comes in as a [`std::time::Duration`],
//! events come in, actions go out, and what is random comes from a seed.

pub mod body_streaming;
pub mod class_registry;
pub mod drain;
pub mod endpoint_start;
pub mod execution;
pub mod hot_restart;
pub mod retry_storm;
pub mod watch_backoff;
