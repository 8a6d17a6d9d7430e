//! Retry storms: detected from the traffic of one gateway, damped by lower admission limits in the balancer, and ended by
//! a `Retry-After` that spreads the retries.
//!
//! [`RetryStormControl`] rejects nothing itself. It gives each request an allowance,
//! which scales the balancer's admission limits for the request, and each rejection
//! a `Retry-After`. Without a storm the allowance is 1, and only counters change.
//!
//! The retry budget follows Google's Site Reliability Engineering
//! book (chapter "Handling Overload", ratio of retries per client).

mod allowance;
mod client_retry_budget;
mod decaying_counter;
mod detector;
mod fair_share;
mod repeat_cache;
mod reservation_cache;
mod retry_after;
mod settings;
mod slot_table;
mod storm_control;
mod wilson_interval;

pub use allowance::{Allowance, AllowanceCounts, AllowanceReason};
pub use client_retry_budget::ClientRetryBudget;
pub use detector::{RetrySigns, Signals, StateChange, StormDetector, StormState};
pub use fair_share::FairShare;
pub use repeat_cache::RepeatCache;
pub use reservation_cache::ReservationCache;
pub use retry_after::{Reservation, RetryAfterSchedule};
pub use settings::StormSettings;
pub use storm_control::{
    ArrivingRequest, PlatformSettings, RequestResult, RetryStormControl, RetryStormStatus, StartedEndpoint,
};
pub use wilson_interval::wilson_lower_bound;
