//! Reachability of the other gateways, as this gateway and its peers see it.
//!
//! Membership is used to choose the replica that requests are sent to, and to inform administrators. No decision of the consensus group
//! depends on membership: sessions expire only because they are not renewed.

mod peer_state;

pub use peer_state::{PeerState, PeerView};

use crate::version::{GatewayName, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between heartbeats on each link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a message from a peer after which the peer counts as silent although its link is up.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without a message on a link after which the link counts as half open and is closed.
pub const HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time after which a view that a peer reported expires.
const REMOTE_VIEW_TTL: Duration = Duration::from_millis(2000);

/// Why a link is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFailure {
    /// The peer's machine refused the connection.
    Refused,
    /// The connection broke, or could not be established for a reason other than a refusal.
    Broken,
}

/// What this gateway knows of one peer.
#[derive(Clone, Debug, Default)]
struct PeerRecord {
    /// Process of the peer that the link leads to, if the link is up.
    linked_process: Option<Incarnation>,
    last_message_at: Option<Duration>,
    link_failure: Option<LinkFailure>,
    /// Views of this peer that other gateways reported, by the name of the reporting gateway.
    remote_views: BTreeMap<GatewayName, RemoteView>,
}

impl PeerRecord {
    /// Whether the link to this peer is up and has brought no message for `timeout`.
    fn is_quiet_for(&self, timeout: Duration, now: Duration) -> bool {
        let Some(last_message_at) = self.last_message_at else { return false };
        self.linked_process.is_some() && now.saturating_sub(last_message_at) >= timeout
    }

    fn view(&self, now: Duration) -> PeerView {
        if self.linked_process.is_some() {
            return if self.is_quiet_for(HEARTBEAT_TIMEOUT, now) {
                PeerView::Silent
            } else {
                PeerView::Reachable
            };
        }
        match self.link_failure {
            Some(LinkFailure::Refused) => PeerView::Refused,
            Some(LinkFailure::Broken) => PeerView::Unreachable,
            None => PeerView::Unknown,
        }
    }
}

/// A view of a peer that another gateway reported.
#[derive(Clone, Copy, Debug)]
struct RemoteView {
    view: PeerView,
    received_at: Duration,
}

/// Reachability of all peers of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    peers: BTreeMap<GatewayName, PeerRecord>,
}

impl Membership {
    /// Creates the membership of the named peers, all of them in unknown state.
    pub fn new(names: impl Iterator<Item = GatewayName>) -> Membership {
        Membership { peers: names.map(|name| (name, PeerRecord::default())).collect() }
    }

    /// Records that the link to a peer's process is up.
    pub fn link_up(&mut self, now: Duration, name: &str, process: Incarnation) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.linked_process = Some(process);
        peer.last_message_at = Some(now);
        peer.link_failure = None;
    }

    /// Records that the link to a peer broke or could not be established.
    pub fn link_down(&mut self, name: &str, failure: LinkFailure) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.linked_process = None;
        peer.link_failure = Some(failure);
    }

    /// Records that a message of a peer has arrived.
    pub fn record_message(&mut self, now: Duration, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.last_message_at = Some(now);
        }
    }

    /// Records the views that a peer reported of other peers. A view that a peer reports of itself is ignored.
    pub fn record_views(&mut self, now: Duration, reporter: &str, views: &[(GatewayName, PeerView)]) {
        for (name, view) in views {
            if name == reporter {
                continue;
            }
            if let Some(peer) = self.peers.get_mut(name) {
                let remote_view = RemoteView { view: *view, received_at: now };
                peer.remote_views.insert(reporter.to_owned(), remote_view);
            }
        }
    }

    /// Process that the link to a peer leads to, if the link is up.
    pub fn process(&self, name: &str) -> Option<Incarnation> {
        self.peers.get(name)?.linked_process
    }

    /// Whether a link to `process` may replace the link to the same peer that is up, if there is one.
    ///
    /// A link to a reachable process is not replaced by a link to another process of that name: two processes that run under one name by
    /// mistake would close each other's links for ever. A link to a silent process, or an older link to the same process, is replaced.
    pub fn admits(&self, now: Duration, name: &str, process: Incarnation) -> bool {
        let is_other_process = self.process(name).is_some_and(|linked| linked != process);
        !(is_other_process && self.view(now, name) == PeerView::Reachable)
    }

    /// Peers whose link is up.
    pub fn reachable_peers(&self) -> impl Iterator<Item = &GatewayName> {
        self.peers.iter().filter(|(_, peer)| peer.linked_process.is_some()).map(|(name, _)| name)
    }

    /// Peers whose link is up and has brought no message for [`HALF_OPEN_TIMEOUT`].
    pub fn half_open(&self, now: Duration) -> Vec<GatewayName> {
        let half_open = self.peers.iter().filter(|(_, peer)| peer.is_quiet_for(HALF_OPEN_TIMEOUT, now));
        half_open.map(|(name, _)| name.clone()).collect()
    }

    /// This gateway's own view of a peer.
    pub fn view(&self, now: Duration, name: &str) -> PeerView {
        self.peers.get(name).map_or(PeerView::Unknown, |peer| peer.view(now))
    }

    /// This gateway's own views of all peers that this gateway has tried to connect to.
    pub fn views(&self, now: Duration) -> Vec<(GatewayName, PeerView)> {
        let views = self.peers.iter().map(|(name, peer)| (name.clone(), peer.view(now)));
        views.filter(|(_, view)| *view != PeerView::Unknown).collect()
    }

    /// State of a peer, combined from all views that have not expired.
    pub fn state(&self, now: Duration, name: &str) -> PeerState {
        let Some(peer) = self.peers.get(name) else { return PeerState::Unknown };
        let remote_views: Vec<PeerView> = peer
            .remote_views
            .values()
            .filter(|remote| now.saturating_sub(remote.received_at) < REMOTE_VIEW_TTL)
            .map(|remote| remote.view)
            .collect();
        PeerState::from_views(peer.view(now), &remote_views)
    }

    /// State of each peer, by name.
    pub fn states(&self, now: Duration) -> Vec<(GatewayName, PeerState)> {
        self.peers.keys().map(|name| (name.clone(), self.state(now, name))).collect()
    }
}

#[cfg(test)]
mod tests;
