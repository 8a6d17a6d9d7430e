//! What the gateway is told: by the platform, and by its operators.

pub mod operator_file;
pub mod platform_file;
mod reconciliation;
