//! What the gateway is told: by the platform, and by its operators.

mod change;
pub mod operator;
pub mod platform;
