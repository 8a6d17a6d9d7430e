//! How one gateway sees a peer, and what several views of it combine to.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How one gateway sees a peer.
///
/// It is sent with `postcard`: the order of the variants stays as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerView {
    /// The link is up, and messages arrive.
    Reachable,
    /// The link is up, and no message arrives.
    Silent,
    /// Its machine refuses connections: no process listens there.
    Refused,
    /// No link can be established.
    Unreachable,
    /// No connection was attempted yet.
    Unknown,
}

/// State of a peer, from all recent views of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// This gateway receives its messages.
    #[serde(rename = "Here")]
    Reachable,
    /// Other gateways receive its messages and this one does not: the link between the two is cut.
    CutFromMe,
    /// Its machine refuses connections: its process has ended.
    #[serde(rename = "Gone")]
    ProcessEnded,
    /// Its links are up and nothing arrives: the process is paused or very slow, or packets are dropped.
    PausedOrSlow,
    /// No gateway reaches it: its machine is down, or cut off from all that report.
    Unreachable,
    /// No view of it is recent enough.
    Unknown,
}

impl fmt::Display for PeerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerState::Reachable => "here",
            PeerState::CutFromMe => "cut from here",
            PeerState::ProcessEnded => "gone",
            PeerState::PausedOrSlow => "paused or slow",
            PeerState::Unreachable => "unreachable",
            PeerState::Unknown => "unknown",
        })
    }
}

impl PeerState {
    /// Combines this gateway's own view with the recent views of others.
    pub(super) fn from_views(own: PeerView, others: &[PeerView]) -> PeerState {
        let is_seen_as = |view: PeerView| own == view || others.contains(&view);
        if own == PeerView::Reachable {
            return PeerState::Reachable;
        }
        if is_seen_as(PeerView::Reachable) {
            return PeerState::CutFromMe;
        }
        // One refusal outweighs any silence: a cut link brings no answer at all, and only a machine without the process refuses.
        if is_seen_as(PeerView::Refused) {
            return PeerState::ProcessEnded;
        }
        if is_seen_as(PeerView::Silent) {
            return PeerState::PausedOrSlow;
        }
        if is_seen_as(PeerView::Unreachable) {
            return PeerState::Unreachable;
        }
        PeerState::Unknown
    }
}
