//! What the gateways of a fleet decide together: membership, sessions, consensus and the audit log.
//!
//! The crate does no I/O and reads no clock. `now` is the monotonic time of this process since an arbitrary start, frames and events come
//! in, actions go out, and random numbers come from a seed.
//!
//! Modules refer only to those below them:
//!
//! | module | contents |
//! | --- | --- |
//! | [`node`] | one gateway's whole part: its session client, and the session manager of a replica |
//! | [`departures`] | remote departures that override this gateway's endpoint list |
//! | [`protocol`] | frames and the hello of the links between gateways |
//! | [`consensus`] | the group of gateways that replicates the state machine |
//! | [`state_machine`] | replicated sessions, fences, requirements and departures |
//! | [`settings`] | the `[fleet]` table of the operator's file |
//! | [`membership`] | reachability of the other gateways |
//! | [`audit`] | which decisions were made under which version, in memory and on disk |
//! | [`encoding`] | binary encoding of frames and stored records |
//! | [`lease`] | lease arithmetic and all of its margins |
//! | [`version`] | identities of processes and versions of what they act on |

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
