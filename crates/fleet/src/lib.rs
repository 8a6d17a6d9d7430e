//! What gateways decide together. No socket, no file, no clock: `now` is this process's monotonic time since any start of its own,
//! frames and events come in, frames and changes of standing go out, and randomness comes from a seed.
//!
//! One way downwards: [`agent`] is one gateway's whole part; it drives [`council`], which replicates [`register`]; [`members`] is
//! what one gateway sees of the others; [`audit`] keeps what was done under which [`version`]; [`clock`] holds every margin;
//! [`wire`] is what gateways say to each other; [`settings`] what the operator says.

pub mod audit;
pub mod consensus;
pub mod departures;
pub mod encoding;
pub mod lease;
pub mod membership;
pub mod node;
pub mod protocol;
pub mod settings;
pub mod state_machine;
pub mod version;
