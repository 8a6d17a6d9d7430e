//! Policies of one gateway beside load balancing: drain, hot restart, retry storms, body streaming.
//!
//! No module does any I/O: the caller passes the time as a [`std::time::Duration`] and events as calls, decisions are
//! return values, and random choices follow from a seed.

pub mod body_streaming;
pub mod class_registry;
pub mod drain;
pub mod endpoint_start;
pub mod execution;
pub mod hot_restart;
pub mod last_byte_bound;
pub mod retry_storm;
pub mod watch_backoff;
