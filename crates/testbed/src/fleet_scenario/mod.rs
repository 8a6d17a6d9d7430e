//! Fault scenarios on a fleet: several gateways, the links between them and their consensus group, under faults on a timeline. A scenario
//! runs either in virtual time with the gateways' decision code in process, or on real gateway processes with a relay in each link. The
//! checks read one history of each run.

mod audited_process;
mod checker;
pub mod history;
pub mod live;
mod relay;
pub mod script;
mod session_lapse;
pub mod stand_ins;
pub mod virtual_time;
