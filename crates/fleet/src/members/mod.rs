//! What one gateway sees of the others, and what several views together say: gone, cut from me, paused or slow.
//!
//! Nothing is decided by it that could break a rule: sessions end by renewals alone. It tells staff where to look, and a gateway whom
//! to ask.

use crate::version::{Incarnation, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A pulse goes out so often.
pub const PULSE: Duration = Duration::from_millis(250);
/// One that has said nothing for so long, over a link that is up, is silent.
pub const SILENT: Duration = Duration::from_millis(1000);
/// A link that has brought nothing for so long is half open, and is ended.
pub const HALF_OPEN: Duration = Duration::from_millis(3000);
/// What others saw counts for so long.
const FRESH: Duration = Duration::from_millis(2000);

/// How one gateway sees another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum View {
    /// It speaks.
    Here,
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
pub enum State {
    /// It speaks to this gateway.
    Here,
    /// It speaks to others and not to this one: the link between is cut.
    CutFromMe,
    /// Its process is gone, by the word of its machine.
    Gone,
    /// Its links are up and nothing comes: it is paused, or very slow, or its links are cut without a word.
    PausedOrSlow,
    /// Nobody reaches it: its machine is gone, or cut off from all who tell.
    Unreachable,
    /// Too little is known.
    Unknown,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Here => "here",
            State::CutFromMe => "cut from here",
            State::Gone => "gone",
            State::PausedOrSlow => "paused or slow",
            State::Unreachable => "unreachable",
            State::Unknown => "unknown",
        })
    }
}

/// Why a link is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// The other machine turned the connection down.
    Refused,
    /// It could not be had, or broke off.
    Broken,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    linked: Option<Incarnation>,
    heard: Option<Duration>,
    down: Option<Down>,
    /// What others see of it: by whom, what, when.
    others: BTreeMap<Name, (View, Duration)>,
}

/// The others.
#[derive(Clone, Debug, Default)]
pub struct Members {
    peers: BTreeMap<Name, Peer>,
}

impl Members {
    /// Those of these names.
    pub fn new(names: impl Iterator<Item = Name>) -> Members {
        Members { peers: names.map(|name| (name, Peer::default())).collect() }
    }

    /// A link is up.
    pub fn linked(&mut self, now: Duration, name: &str, process: Incarnation) {
        if let Some(peer) = self.peers.get_mut(name) {
            (peer.linked, peer.heard, peer.down) = (Some(process), Some(now), None);
        }
    }

    /// A link is down, or could not be had.
    pub fn unlinked(&mut self, name: &str, why: Down) {
        if let Some(peer) = self.peers.get_mut(name) {
            (peer.linked, peer.down) = (None, Some(why));
        }
    }

    /// Something has come from it.
    pub fn heard(&mut self, now: Duration, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.heard = Some(now);
        }
    }

    /// Another has said what it sees.
    pub fn told(&mut self, now: Duration, by: &str, views: &[(Name, View)]) {
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
        !(other && self.view(now, name) == View::Here)
    }

    /// Those a link is up to.
    pub fn reached(&self) -> impl Iterator<Item = &Name> {
        self.peers.iter().filter(|(_, p)| p.linked.is_some()).map(|(name, _)| name)
    }

    /// Links that have brought nothing for too long.
    pub fn half_open(&self, now: Duration) -> Vec<Name> {
        let dead =
            |p: &Peer| p.linked.is_some() && p.heard.is_some_and(|at| now.saturating_sub(at) >= HALF_OPEN);
        self.peers.iter().filter(|(_, p)| dead(p)).map(|(name, _)| name.clone()).collect()
    }

    /// How this gateway sees one.
    pub fn view(&self, now: Duration, name: &str) -> View {
        let Some(peer) = self.peers.get(name) else { return View::Unknown };
        match (peer.linked, peer.down) {
            (Some(_), _) if peer.heard.is_some_and(|at| now.saturating_sub(at) >= SILENT) => View::Silent,
            (Some(_), _) => View::Here,
            (None, Some(Down::Refused)) => View::Refused,
            (None, Some(Down::Broken)) => View::Unreachable,
            (None, None) => View::Unknown,
        }
    }

    /// How this gateway sees all that it has tried.
    pub fn views(&self, now: Duration) -> Vec<(Name, View)> {
        let all = self.peers.keys().map(|name| (name.clone(), self.view(now, name)));
        all.filter(|(_, view)| *view != View::Unknown).collect()
    }

    /// What all fresh views together say of one.
    pub fn state(&self, now: Duration, name: &str) -> State {
        let own = self.view(now, name);
        let Some(peer) = self.peers.get(name) else { return State::Unknown };
        let fresh =
            peer.others.values().filter(|(_, at)| now.saturating_sub(*at) < FRESH).map(|(view, _)| *view);
        let all: Vec<View> = fresh.chain([own]).collect();
        let any = |view: View| all.contains(&view);
        match own {
            View::Here => State::Here,
            _ if any(View::Here) => State::CutFromMe,
            // One refusal outweighs silence: a cut link says nothing, a machine without the process says no.
            _ if any(View::Refused) => State::Gone,
            _ if any(View::Silent) => State::PausedOrSlow,
            _ if any(View::Unreachable) => State::Unreachable,
            _ => State::Unknown,
        }
    }

    /// What all fresh views say of each.
    pub fn states(&self, now: Duration) -> Vec<(Name, State)> {
        self.peers.keys().map(|name| (name.clone(), self.state(now, name))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn members() -> Members {
        Members::new(["b", "c"].iter().map(|n| (*n).to_owned()))
    }

    #[test]
    fn gone_cut_and_paused_are_told_apart_where_they_can_be() {
        let mut seen = members();
        assert_eq!(seen.state(ms(0), "b"), State::Unknown);
        seen.linked(ms(0), "b", Incarnation(1));
        assert_eq!(seen.state(ms(999), "b"), State::Here);
        assert_eq!(seen.state(ms(1000), "b"), State::PausedOrSlow, "the link is up, and nothing comes");
        let sees = |view| [("b".to_owned(), view)];
        seen.told(ms(1000), "c", &sees(View::Here));
        assert_eq!(seen.state(ms(1100), "b"), State::CutFromMe, "another hears it");
        assert_eq!(seen.state(ms(3100), "b"), State::PausedOrSlow, "what was seen long ago does not count");
        seen.told(ms(3100), "c", &sees(View::Refused));
        assert_eq!(seen.state(ms(3200), "b"), State::Gone);
        assert_eq!(seen.half_open(ms(3200)), ["b"]);
        seen.unlinked("b", Down::Broken);
        assert!(seen.half_open(ms(9000)).is_empty());
        assert_eq!(seen.state(ms(9000), "b"), State::Unreachable);
        seen.unlinked("b", Down::Refused);
        assert_eq!(seen.state(ms(9000), "b"), State::Gone);
    }

    #[test]
    fn a_second_process_of_a_name_waits_until_the_first_is_silent() {
        let mut seen = members();
        assert!(seen.admits(ms(0), "b", Incarnation(1)));
        seen.linked(ms(0), "b", Incarnation(1));
        assert!(seen.admits(ms(100), "b", Incarnation(1)), "the same one, on a new connection");
        assert!(!seen.admits(ms(100), "b", Incarnation(2)));
        assert!(seen.admits(ms(1000), "b", Incarnation(2)), "the first is paused, or gone without a word");
        seen.unlinked("b", Down::Broken);
        assert!(seen.admits(ms(100), "b", Incarnation(2)));
    }

    #[test]
    fn nobody_vouches_for_himself() {
        let mut seen = members();
        seen.unlinked("b", Down::Broken);
        seen.told(ms(0), "b", &[("b".to_owned(), View::Here)]);
        assert_eq!(seen.state(ms(0), "b"), State::Unreachable);
    }
}
