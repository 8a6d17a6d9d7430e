//! The whole fleet: several gateways, their links and their council, under faults on a timeline; in virtual time with the decisions
//! in process, or on real processes with a relay in each link. One history of each play is what the checks read.

pub mod history;
mod judge;
pub mod live;
pub mod place;
mod relay;
pub mod script;
pub mod virtual_time;
