//! What one gateway sees of the others, and what several views together say: gone, cut from me, paused or slow.
//!
//! Nothing is decided by it that could break a rule: sessions end by renewals alone. It tells staff where to look, and a gateway whom
//! to ask.

use crate::version::{GatewayName, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A pulse goes out so often.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// One that has said nothing for so long, over a link that is up, is silent.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);
/// A link that has brought nothing for so long is half open, and is ended.
pub const HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(3000);
/// What others saw counts for so long.
const FRESH: Duration = Duration::from_millis(2000);

/// How one gateway sees another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerView {
    /// It speaks.
    Reachable,
    /// The link is up, and nothing comes.
    Silent,
    /// Its machine turns connections down: no process is there.
    Refused,
    /// No link comes up.
    Unreachable,
    /// Not tried yet.
    Unknown,
}

/// What several views come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// It speaks to this gateway.
    #[serde(rename = "Here")]
    Reachable,
    /// It speaks to others and not to this one: the link between is cut.
    CutFromMe,
    /// Its process is gone, by the word of its machine.
    #[serde(rename = "Gone")]
    ProcessEnded,
    /// Its links are up and nothing comes: it is paused, or very slow, or its links are cut without a word.
    PausedOrSlow,
    /// Nobody reaches it: its machine is gone, or cut off from all who tell.
    Unreachable,
    /// Too little is known.
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

/// Why a link is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFailure {
    /// The other machine turned the connection down.
    Refused,
    /// It could not be had, or broke off.
    Broken,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    linked: Option<Incarnation>,
    heard: Option<Duration>,
    down: Option<LinkFailure>,
    /// What others see of it: by whom, what, when.
    others: BTreeMap<GatewayName, (PeerView, Duration)>,
}

/// The others.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    peers: BTreeMap<GatewayName, Peer>,
}

impl Membership {
    /// Those of these names.
    pub fn new(names: impl Iterator<Item = GatewayName>) -> Membership {
        Membership { peers: names.map(|name| (name, Peer::default())).collect() }
    }

    /// A link is up.
    pub fn link_up(&mut self, now: Duration, name: &str, process: Incarnation) {
        if let Some(peer) = self.peers.get_mut(name) {
            (peer.linked, peer.heard, peer.down) = (Some(process), Some(now), None);
        }
    }

    /// A link is down, or could not be had.
    pub fn link_down(&mut self, name: &str, why: LinkFailure) {
        if let Some(peer) = self.peers.get_mut(name) {
            (peer.linked, peer.down) = (None, Some(why));
        }
    }

    /// Something has come from it.
    pub fn record_message(&mut self, now: Duration, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.heard = Some(now);
        }
    }

    /// Another has said what it sees.
    pub fn record_views(&mut self, now: Duration, by: &str, views: &[(GatewayName, PeerView)]) {
        for (name, view) in views {
            if let Some(peer) = self.peers.get_mut(name).filter(|_| name != by) {
                peer.others.insert(by.to_owned(), (*view, now));
            }
        }
    }

    /// The process at the other end of a link that is up.
    pub fn process(&self, name: &str) -> Option<Incarnation> {
        self.peers.get(name)?.linked
    }

    /// Whether a link to this process may take the place of the one that is there. Two processes of one name would else end each other's
    /// links for ever; one that is silent, or the same process anew, makes room.
    pub fn admits(&self, now: Duration, name: &str, process: Incarnation) -> bool {
        let other = self.process(name).is_some_and(|linked| linked != process);
        !(other && self.view(now, name) == PeerView::Reachable)
    }

    /// Those a link is up to.
    pub fn reachable_peers(&self) -> impl Iterator<Item = &GatewayName> {
        self.peers.iter().filter(|(_, p)| p.linked.is_some()).map(|(name, _)| name)
    }

    /// Links that have brought nothing for too long.
    pub fn half_open(&self, now: Duration) -> Vec<GatewayName> {
        let dead = |p: &Peer| {
            p.linked.is_some() && p.heard.is_some_and(|at| now.saturating_sub(at) >= HALF_OPEN_TIMEOUT)
        };
        self.peers.iter().filter(|(_, p)| dead(p)).map(|(name, _)| name.clone()).collect()
    }

    /// How this gateway sees one.
    pub fn view(&self, now: Duration, name: &str) -> PeerView {
        let Some(peer) = self.peers.get(name) else { return PeerView::Unknown };
        match (peer.linked, peer.down) {
            (Some(_), _) if peer.heard.is_some_and(|at| now.saturating_sub(at) >= HEARTBEAT_TIMEOUT) => {
                PeerView::Silent
            }
            (Some(_), _) => PeerView::Reachable,
            (None, Some(LinkFailure::Refused)) => PeerView::Refused,
            (None, Some(LinkFailure::Broken)) => PeerView::Unreachable,
            (None, None) => PeerView::Unknown,
        }
    }

    /// How this gateway sees all that it has tried.
    pub fn views(&self, now: Duration) -> Vec<(GatewayName, PeerView)> {
        let all = self.peers.keys().map(|name| (name.clone(), self.view(now, name)));
        all.filter(|(_, view)| *view != PeerView::Unknown).collect()
    }

    /// What all fresh views together say of one.
    pub fn state(&self, now: Duration, name: &str) -> PeerState {
        let own = self.view(now, name);
        let Some(peer) = self.peers.get(name) else { return PeerState::Unknown };
        let fresh =
            peer.others.values().filter(|(_, at)| now.saturating_sub(*at) < FRESH).map(|(view, _)| *view);
        let all: Vec<PeerView> = fresh.chain([own]).collect();
        let any = |view: PeerView| all.contains(&view);
        match own {
            PeerView::Reachable => PeerState::Reachable,
            _ if any(PeerView::Reachable) => PeerState::CutFromMe,
            // One refusal outweighs silence: a cut link says nothing, a machine without the process says no.
            _ if any(PeerView::Refused) => PeerState::ProcessEnded,
            _ if any(PeerView::Silent) => PeerState::PausedOrSlow,
            _ if any(PeerView::Unreachable) => PeerState::Unreachable,
            _ => PeerState::Unknown,
        }
    }

    /// What all fresh views say of each.
    pub fn states(&self, now: Duration) -> Vec<(GatewayName, PeerState)> {
        self.peers.keys().map(|name| (name.clone(), self.state(now, name))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn members() -> Membership {
        Membership::new(["b", "c"].iter().map(|n| (*n).to_owned()))
    }

    #[test]
    fn gone_cut_and_paused_are_told_apart_where_they_can_be() {
        let mut seen = members();
        assert_eq!(seen.state(ms(0), "b"), PeerState::Unknown);
        seen.link_up(ms(0), "b", Incarnation(1));
        assert_eq!(seen.state(ms(999), "b"), PeerState::Reachable);
        assert_eq!(seen.state(ms(1000), "b"), PeerState::PausedOrSlow, "the link is up, and nothing comes");
        let sees = |view| [("b".to_owned(), view)];
        seen.record_views(ms(1000), "c", &sees(PeerView::Reachable));
        assert_eq!(seen.state(ms(1100), "b"), PeerState::CutFromMe, "another hears it");
        assert_eq!(
            seen.state(ms(3100), "b"),
            PeerState::PausedOrSlow,
            "what was seen long ago does not count"
        );
        seen.record_views(ms(3100), "c", &sees(PeerView::Refused));
        assert_eq!(seen.state(ms(3200), "b"), PeerState::ProcessEnded);
        assert_eq!(seen.half_open(ms(3200)), ["b"]);
        seen.link_down("b", LinkFailure::Broken);
        assert!(seen.half_open(ms(9000)).is_empty());
        assert_eq!(seen.state(ms(9000), "b"), PeerState::Unreachable);
        seen.link_down("b", LinkFailure::Refused);
        assert_eq!(seen.state(ms(9000), "b"), PeerState::ProcessEnded);
    }

    #[test]
    fn a_second_process_of_a_name_waits_until_the_first_is_silent() {
        let mut seen = members();
        assert!(seen.admits(ms(0), "b", Incarnation(1)));
        seen.link_up(ms(0), "b", Incarnation(1));
        assert!(seen.admits(ms(100), "b", Incarnation(1)), "the same one, on a new connection");
        assert!(!seen.admits(ms(100), "b", Incarnation(2)));
        assert!(seen.admits(ms(1000), "b", Incarnation(2)), "the first is paused, or gone without a word");
        seen.link_down("b", LinkFailure::Broken);
        assert!(seen.admits(ms(100), "b", Incarnation(2)));
    }

    #[test]
    fn nobody_vouches_for_himself() {
        let mut seen = members();
        seen.link_down("b", LinkFailure::Broken);
        seen.record_views(ms(0), "b", &[("b".to_owned(), PeerView::Reachable)]);
        assert_eq!(seen.state(ms(0), "b"), PeerState::Unreachable);
    }
}
