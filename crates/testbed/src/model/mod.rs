//! A booking node without any I/O: what comes in is told with its time, what goes out is asked for.
//!
//! The same model serves the runner in virtual time and the nodes on sockets, so that what is found in one can be
//! looked for in the other.

mod budget;
mod choke;
mod keys;
mod node;
mod repeats;
mod reports;
mod spec;

pub use budget::Budget;
pub use choke::{Choke, Load};
pub use keys::Keys;
pub use node::{Answer, AttemptId, ConnectionId, Memories, Node, Output, Refusal, State, Work};
pub use repeats::{Meeting, Repeats};
pub use reports::{Report, Reports};
pub use spec::{ChokeSpec, Distribution, NodeSpec, PauseSpec, ReportSpec, WarmBy};
