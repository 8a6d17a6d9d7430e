//! What takes requests in. Every front makes the same [`crate::core::messages::Arrival`] of what it reads.

pub mod http;
pub mod management;
