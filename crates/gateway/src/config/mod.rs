//! What the gateway is told: by the platform, and by its operators.

pub mod operator;
pub mod platform;
