//! The holder's side of a session: asking for it, believing in it no longer than its lease, and heeding what comes with it.

use super::NodeAction;
use crate::lease::Lease;
use crate::membership::{Membership, PeerView};
use crate::protocol::{DepartedEndpoint, Frame, StateUpdate};
use crate::state_machine::{FenceReason, ReplicaLag, SessionId};
use crate::version::{GatewayName, ListVersion, Version};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Discovery is asked again this often at most on the word of others.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// The configuration is read again this often at most on the word of staff.
const REREAD: Duration = Duration::from_secs(5);
/// That another process has this gateway's name is said this often at most.
const TOLD_TAKEN: Duration = Duration::from_secs(10);
/// Between the news of the same hosts, told again for lost ones.
const TELL_AGAIN: u32 = 4;
/// The most hosts that wait to be told of.
const DEPARTING: usize = 1024;

/// How a gateway may act.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// In a session that it holds.
    InSession(SessionId),
    /// Without one: the council can't be reached, or has none for it.
    WithoutSession,
    /// Shut out: it takes no client.
    Fenced(FenceReason),
}

impl SessionState {
    /// Whether it may do the same, in whichever session.
    pub fn is_same_kind(&self, other: &SessionState) -> bool {
        match (self, other) {
            (SessionState::InSession(_), SessionState::InSession(_)) => true,
            _ => self == other,
        }
    }
}

impl fmt::Display for SessionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionState::InSession(id) => write!(f, "in session {id}"),
            SessionState::WithoutSession => write!(f, "alone"),
            SessionState::Fenced(cause) => write!(f, "shut out: {cause}"),
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    id: SessionId,
    until: Duration,
}

/// An asking that has not been answered.
#[derive(Clone, Debug)]
struct Asking {
    at: Duration,
    keeper: GatewayName,
}

/// The holder.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    own: GatewayName,
    council: Vec<GatewayName>,
    lease: Lease,
    rng: fastrand::Rng,
    pub(super) version: Version,
    pub(super) news: StateUpdate,
    asks: u64,
    asked_at: BTreeMap<u64, Duration>,
    asking: Option<Asking>,
    next: Duration,
    keeper: Option<GatewayName>,
    held: Option<Held>,
    /// Hosts by name: whether gone, by which index, and how often to tell it yet.
    departing: BTreeMap<String, (bool, u64, u32)>,
    lineage: String,
    told: bool,
    asked_discovery: Option<Duration>,
    reread: Option<Duration>,
    told_taken: Option<Duration>,
    closed: bool,
}

/// Whether something may be done again that was last done at a moment; then it is.
fn due(last: &mut Option<Duration>, now: Duration, every: Duration) -> bool {
    let due = last.is_none_or(|at| now.saturating_sub(at) >= every);
    if due {
        *last = Some(now);
    }
    due
}

impl Holder {
    pub(super) fn new(
        own: GatewayName,
        council: Vec<GatewayName>,
        lease: Lease,
        version: Version,
        seed: u64,
    ) -> Holder {
        Holder {
            own,
            council,
            lease,
            rng: fastrand::Rng::with_seed(seed),
            lineage: version.list.lineage.clone(),
            version,
            news: StateUpdate::default(),
            asks: 0,
            asked_at: BTreeMap::new(),
            asking: None,
            next: Duration::ZERO,
            keeper: None,
            held: None,
            departing: BTreeMap::new(),
            told: false,
            asked_discovery: None,
            reread: None,
            told_taken: None,
            closed: false,
        }
    }

    pub(super) fn session(&self) -> Option<SessionId> {
        self.held.as_ref().map(|h| h.id)
    }

    pub(super) fn held_for(&self, now: Duration) -> Duration {
        self.held.as_ref().map_or(Duration::ZERO, |h| h.until.saturating_sub(now))
    }

    pub(super) fn acting(&self, now: Duration) -> SessionState {
        // Who is shut out stays so without a session too, until it has what it lacked: it knows better than to serve.
        match (&self.news.fence_reason, &self.held) {
            (Some(cause), _) if self.lacks_still(cause) => SessionState::Fenced(cause.clone()),
            (_, Some(held)) if now < held.until => SessionState::InSession(held.id),
            _ => SessionState::WithoutSession,
        }
    }

    /// Whether what it was shut out for holds by its own knowledge, so that nobody has to be reached to know it.
    fn lacks_still(&self, cause: &FenceReason) -> bool {
        match cause {
            FenceReason::Administrator => true,
            FenceReason::Lagging(ReplicaLag::List { current, .. }) => self.version.list.index < *current,
            FenceReason::Lagging(ReplicaLag::Config { required, .. }) => self.version.config != *required,
            FenceReason::Lagging(ReplicaLag::Build { required, .. }) => self.version.build != *required,
        }
    }

    pub(super) fn turn_to(&mut self, now: Duration, version: Version) {
        if version == self.version {
            return;
        }
        if version.list.lineage != self.lineage {
            self.lineage.clone_from(&version.list.lineage);
            self.departing.clear();
        }
        self.version = version;
        self.next = self.next.min(now);
    }

    pub(super) fn departed(&mut self, now: Duration, list: ListVersion, hosts: Vec<(String, bool)>) {
        if list.lineage != self.lineage {
            return;
        }
        for (host, gone) in hosts {
            if self.departing.len() < DEPARTING || self.departing.contains_key(&host) {
                self.departing.insert(host, (gone, list.index, TELL_AGAIN));
            }
        }
        self.told = false;
        self.next = self.next.min(now);
    }

    pub(super) fn unlinked(&mut self, now: Duration, peer: &str) {
        if self.keeper.as_deref() == Some(peer) {
            self.keeper = None;
            self.asking = None;
            self.next = self.next.min(now);
        }
    }

    /// What there is to ask and to tell at this moment.
    pub(super) fn ask(&mut self, now: Duration, members: &Membership) -> Vec<(GatewayName, Frame)> {
        let mut frames = Vec::new();
        // One that does not answer is left for another: three can be tried within a lease.
        let patience = self.lease.renewal_interval() / 2;
        if self.asking.as_ref().is_some_and(|asking| now.saturating_sub(asking.at) >= patience) {
            self.keeper = None;
            self.asking = None;
            self.next = now;
        }
        if self.closed || self.asking.is_some() || now < self.next {
            return frames;
        }
        if self.keeper.is_none() {
            self.keeper = self.choose(now, members);
        }
        let Some(keeper) = self.keeper.clone() else {
            self.next = now + patience / 2;
            return frames;
        };
        self.asks += 1;
        self.asked_at.insert(self.asks, now);
        while self.asked_at.len() > 16 {
            self.asked_at.pop_first();
        }
        let (ask, version) = (self.asks, self.version.clone());
        // One that has lapsed may be the register's still, and is renewed there; its holder believes in it from this asking on only.
        let frame = match self.held.as_ref().map(|h| h.id) {
            Some(session) => Frame::RenewSession { session, request: ask, version },
            None => Frame::OpenSession { request: ask, version },
        };
        self.asking = Some(Asking { at: now, keeper: keeper.clone() });
        frames.push((keeper.clone(), frame));
        frames.extend(self.departures(keeper));
        // Spread, so that gateways that began together don't ask together for ever.
        let every = self.lease.renewal_interval();
        self.next = now + every.mul_f64(0.8 + 0.2 * self.rng.f64());
        frames
    }

    /// What hosts are to be told of, by index.
    fn departures(&mut self, keeper: GatewayName) -> Vec<(GatewayName, Frame)> {
        let mut by_index: BTreeMap<u64, Vec<(String, bool)>> = BTreeMap::new();
        self.departing.retain(|host, (gone, index, left)| {
            by_index.entry(*index).or_default().push((host.clone(), *gone));
            *left -= 1;
            *left > 0
        });
        let lineage = self.lineage.clone();
        let frame = |(index, hosts)| Frame::Departures {
            list: ListVersion { lineage: lineage.clone(), index },
            endpoints: hosts,
        };
        by_index.into_iter().map(|told| (keeper.clone(), frame(told))).collect()
    }

    /// Whom to ask: itself where it has a seat and is asked first, else one that speaks, by draw.
    fn choose(&mut self, now: Duration, members: &Membership) -> Option<GatewayName> {
        let speaks =
            |name: &&GatewayName| **name == self.own || members.view(now, name) == PeerView::Reachable;
        let all: Vec<&GatewayName> = self.council.iter().filter(speaks).collect();
        (!all.is_empty()).then(|| all[self.rng.usize(..all.len())].clone())
    }

    pub(super) fn hear(&mut self, now: Duration, from: &str, frame: Frame, out: &mut Vec<NodeAction>) {
        match frame {
            Frame::SessionGranted { session, request: ask, update: news } => {
                let Some(asked) = self.asked_at.remove(&ask) else { return };
                // Older askings are answered by this one too.
                self.asked_at.retain(|n, _| *n > ask);
                self.answered(from);
                let until = self.lease.holder_expiry(asked);
                match &mut self.held {
                    Some(held) if held.id == session => held.until = held.until.max(until),
                    _ => self.held = Some(Held { id: session, until }),
                }
                self.heed(now, news, out);
            }
            Frame::StateUpdate(news) if news.log_index >= self.news.log_index => self.heed(now, news, out),
            Frame::NoSession { request: ask, holder: taken } => {
                if self.asked_at.remove(&ask).is_none() {
                    return;
                }
                self.answered(from);
                match taken {
                    Some(process) => {
                        if due(&mut self.told_taken, now, TOLD_TAKEN) {
                            out.push(NodeAction::Notice(format!(
                                "no session: process {process} has the name {} in the fleet; it keeps it until its lease is over, so \
                                 end it or give this gateway a name of its own",
                                self.own
                            )));
                        }
                    }
                    // The session is over. A new one is asked for at once.
                    None => {
                        self.held = None;
                        self.next = now;
                    }
                }
            }
            Frame::Unavailable { request: ask } if self.asked_at.remove(&ask).is_some() => {
                self.answered(from);
                // Another may know a leader already.
                self.keeper = None;
                self.next = now + self.lease.renewal_interval() / 4;
            }
            _ => {}
        }
    }

    fn answered(&mut self, from: &str) {
        if self.asking.as_ref().is_some_and(|asking| asking.keeper == from) {
            self.asking = None;
        }
    }

    /// Heeds what the register says.
    fn heed(&mut self, now: Duration, news: StateUpdate, out: &mut Vec<NodeAction>) {
        let own = self.version.list.index;
        let newer: Vec<DepartedEndpoint> =
            news.departures.iter().filter(|g| g.list_index > own).cloned().collect();
        if !newer.is_empty() && newer != self.news.departures {
            out.push(NodeAction::EndpointsDeparted(newer));
        }
        if let Some(current) = news.current_list_index.filter(|c| *c > own) {
            if due(&mut self.asked_discovery, now, ASK_AGAIN) {
                out.push(NodeAction::PollDiscovery { current });
            }
        }
        if let Some(required) = news.required_config.filter(|c| *c != self.version.config) {
            if due(&mut self.reread, now, REREAD) {
                out.push(NodeAction::ReloadConfig { required });
            }
        }
        self.news = news;
    }

    /// The word with which it leaves in order.
    pub(super) fn close(&mut self) -> Option<(GatewayName, Frame)> {
        self.closed = true;
        let held = self.held.take()?;
        Some((self.keeper.clone()?, Frame::CloseSession { session: held.id }))
    }
}
