//! The gateway on real sockets. The decisions are those of [`weldworks_balancer`]; here they are carried out.
//!
//! A request passes `server` (client side), `engine` (sole owner of the balancer, the request table and the timers) and `upstream`
//! (endpoint side). `discovery` brings endpoint lists, `lifecycle` is the process from start to exit, `config` the files that it reads,
//! `fleet` its part among other gateways, `transport` what lies below HTTP, `body` request and response bodies, `cli` the subcommands.

pub mod body;
pub mod cli;
pub mod config;
pub mod discovery;
pub mod engine;
pub mod fleet;
pub mod lifecycle;
pub mod limits;
pub mod metrics;
pub mod server;
pub mod string_interner;
mod transport;
pub mod upstream;
