//! The HTTP servers of the gateway: `http` for clients, `admin` for administrators.
//!
//! The server for clients hands each request to the engine as an [`Arrival`](crate::engine::message::Arrival).

pub mod admin;
pub mod http;
