//! The gateway on real sockets. [`weldworks_balancer`] makes the decisions about requests, and this crate carries them out.
//!
//! A request passes through `server` (client side), `engine` (sole owner of the balancer, the request table and the timers) and `upstream`
//! (endpoint side). `discovery` receives endpoint lists, `lifecycle` runs the process from start to exit, `config` reads the configuration
//! files, `fleet` connects this gateway to the others of its fleet, `transport` contains the layers below HTTP, `body` handles request and
//! response bodies, and `cli` implements the subcommands.

pub mod body;
pub mod cli;
pub mod config;
pub mod discovery;
pub mod engine;
pub mod fleet;
pub mod lifecycle;
pub mod limits;
pub mod log_rate_limit;
pub mod metrics;
pub mod server;
pub mod string_interner;
mod transport;
pub mod upstream;
