//! One gateway's view of a peer, and the state that several gateways' views of a peer combine to.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One gateway's view of a peer.
///
/// Views are sent with `postcard`: the order of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerView {
    /// The link to the peer is up, and messages arrive.
    Reachable,
    /// The link to the peer is up, and no message arrives.
    Silent,
    /// The peer's machine refuses connections: no process listens at the peer's address.
    Refused,
    /// No link to the peer can be established.
    Unreachable,
    /// No connection to the peer was attempted yet.
    Unknown,
}

/// State of a peer, combined from all recent views of the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// This gateway receives messages from the peer.
    #[serde(rename = "Here")]
    Reachable,
    /// Other gateways receive messages from the peer and this gateway does not: the link between this gateway and the peer is cut.
    CutFromMe,
    /// The peer's machine refuses connections: the peer's process has ended.
    #[serde(rename = "Gone")]
    ProcessEnded,
    /// The links to the peer are up and no message arrives: the peer's process is paused or very slow, or packets are dropped.
    PausedOrSlow,
    /// No gateway reaches the peer: the peer's machine is down, or cut off from all gateways that report views.
    Unreachable,
    /// No view of the peer is recent enough.
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
    /// Combines this gateway's own view of a peer with the recent views of other gateways.
    pub(super) fn from_views(own: PeerView, others: &[PeerView]) -> PeerState {
        let is_seen_as = |view: PeerView| own == view || others.contains(&view);
        if own == PeerView::Reachable {
            return PeerState::Reachable;
        }
        if is_seen_as(PeerView::Reachable) {
            return PeerState::CutFromMe;
        }
        // One refused connection outweighs any silence: a cut link brings no answer, and only a machine without the peer's process refuses.
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
