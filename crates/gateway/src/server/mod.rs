//! The servers: `http` for clients, `admin` for administrators.
//!
//! Every server for clients turns a request into an [`Arrival`](crate::engine::message::Arrival) for the engine.

pub mod admin;
pub mod http;
