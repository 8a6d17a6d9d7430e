//! What takes requests in. Every front makes the same [`crate::engine::message::Arrival`] of what it reads.

pub mod admin;
pub mod http;
