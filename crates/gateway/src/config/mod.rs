//! The files that configure the gateway: the platform's file (JSON) and the operator's file (TOML).

pub mod config_error;
pub mod operator_file;
pub mod platform_file;
mod platform_keys;
mod reconciliation;
