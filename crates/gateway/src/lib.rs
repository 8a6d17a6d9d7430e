//! The gateway on real sockets. The decisions are those of [`weldworks_balancer`]; here they are carried out.
//!
//! A folder for each side: [`core`] owns the module and the request table, [`listeners`] take requests in,
//! [`upstream`] sends them on, [`discovery`] brings news of the hosts, [`daemon`] is the process, [`config`] what it
//! is told, [`fleet`] its part among others. [`limits`], [`names`], [`exchange`] and [`sockets`] are leaves that several of them use.

pub mod config;
pub mod core;
pub mod daemon;
pub mod discovery;
pub mod exchange;
pub mod figures;
pub mod fleet;
mod framing;
pub mod limits;
pub mod listeners;
pub mod names;
mod presence;
pub mod sockets;
mod stream;
mod system_errors;
pub mod upstream;
mod wire;
