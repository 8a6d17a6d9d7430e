//! Sweeps: scripts x gateways x seeds x variants in virtual time, pairs by seed, with intervals.
//!
//! The bound beside the rows (`oracle`) is one gateway that takes all requests: one decision module that is fed every
//! event of the day with no delay between gateways. Its connections are pooled as well, so it is a little above what
//! many gateways could reach that knew all.

pub mod plot;
pub mod run;
pub mod study;
pub mod table;

pub use run::{run, Run, RunError};
pub use study::{Study, StudyError};
