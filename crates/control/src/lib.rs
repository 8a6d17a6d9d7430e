//! Policies of one gateway beside load balancing: drain, hot restart, retry storms, body streaming.
//!
//! No module does any I/O: time comes in as a [`std::time::Duration`], events come in, decisions go out, and random
//! choices come from a seed.

pub mod body_streaming;
pub mod class_registry;
pub mod drain;
pub mod endpoint_start;
pub mod execution;
pub mod hot_restart;
pub mod retry_storm;
pub mod watch_backoff;
