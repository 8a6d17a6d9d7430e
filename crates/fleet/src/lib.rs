//! What the gateways of a fleet decide together: membership, consensus, sessions and the audit log.
//!
//! The crate does no I/O and reads no clock. The caller passes `now`, the monotonic time of this process since an arbitrary start, as well
//! as frames and events, and carries out the actions that are returned. Random numbers are drawn from a seed.
//!
//! Each module refers only to modules that are listed below it:
//!
//! | module | contents |
//! | --- | --- |
//! | [`node`] | one gateway's part in the fleet: its session client and, at a replica, its session manager |
//! | [`departures`] | remote departures that override this gateway's endpoint list |
//! | [`protocol`] | frames and the hello of the links between gateways |
//! | [`consensus`] | the group of gateways that replicates the state machine |
//! | [`state_machine`] | replicated sessions, fences, requirements and departures |
//! | [`settings`] | the `[fleet]` table of the operator's file |
//! | [`membership`] | reachability of the other gateways |
//! | [`audit`] | which decisions were made under which version, in memory and on disk |
//! | [`encoding`] | binary encoding of frames and stored records |
//! | [`lease`] | expiry times of leases, with the clock margins |
//! | [`version`] | identities of processes and versions of the state that they act on |

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
