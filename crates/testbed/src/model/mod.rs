//! A model of a stand-in endpoint without I/O: callers pass it events with their times and collect its outputs.
//!
//! The simulation in virtual time and the stand-in endpoints on sockets use the same model,
//! so that a failure found with one of them can be reproduced with the other.

mod budget;
mod choke;
mod endpoint;
mod keys;
mod repeats;
mod reports;
mod spec;

pub use budget::SlowStartBudget;
pub use choke::{Choke, SlidingMean};
pub use endpoint::{
    Answer, AttemptId, ConnectionId, EndpointModel, Output, RejectionReason, RepeatCaches, State, Work,
};
pub use keys::SubjectCache;
pub use repeats::{RepeatCache, RepeatCheck};
pub use reports::{LoadReports, Report};
pub use spec::{ChokeSpec, Distribution, EndpointSpec, PauseSpec, ReportSpec, WarmBy};
