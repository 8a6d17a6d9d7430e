//! Sweeps: scripts x gateways x seeds x variants in virtual time, pairs by seed, with intervals.
//!
//! The bound beside the rows (`oracle`) is one decision module that is fed the events of all gateways with no delay. Each
//! gateway keeps its own connections, so what the bound lacks is the price of many connections and not of knowledge.

pub mod plot;
pub mod run;
pub mod study;
pub mod table;

pub use run::{run, Run, RunError};
pub use study::{Study, StudyError};
