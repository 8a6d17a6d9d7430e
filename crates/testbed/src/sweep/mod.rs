//! Studies: each script is run in virtual time with each number of gateways, seed and variant. Variants are compared seed by seed,
//! with confidence intervals.
//!
//! The variant `oracle` is an upper bound of the service: one balancer that receives the events of all gateways without delay.
//! Each gateway still has its own connections, so the bound has the cost of many connections but not that of incomplete knowledge.

pub mod plot;
pub mod run;
pub mod study;
pub mod table;

pub use run::{run, Run, RunError};
pub use study::{Study, StudyError};
