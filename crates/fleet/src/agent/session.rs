//! The holder's side of a session: asking for it, believing in it no longer than its lease, and heeding what comes with it.

use super::Output;
use crate::clock::Lease;
use crate::members::{Members, View};
use crate::register::{Behind, Cause, SessionId};
use crate::version::{Listed, Name, Version};
use crate::wire::{Frame, Gone, News};
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
pub enum Acting {
    /// In a session that it holds.
    InSession(SessionId),
    /// Without one: the council can't be reached, or has none for it.
    Alone,
    /// Shut out: it takes no client.
    Out(Cause),
}

impl Acting {
    /// Whether it may do the same, in whichever session.
    pub fn alike(&self, other: &Acting) -> bool {
        match (self, other) {
            (Acting::InSession(_), Acting::InSession(_)) => true,
            _ => self == other,
        }
    }
}

impl fmt::Display for Acting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Acting::InSession(id) => write!(f, "in session {id}"),
            Acting::Alone => write!(f, "alone"),
            Acting::Out(cause) => write!(f, "shut out: {cause}"),
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
    keeper: Name,
}

/// The holder.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    own: Name,
    council: Vec<Name>,
    lease: Lease,
    rng: fastrand::Rng,
    pub(super) version: Version,
    pub(super) news: News,
    asks: u64,
    asked_at: BTreeMap<u64, Duration>,
    asking: Option<Asking>,
    next: Duration,
    keeper: Option<Name>,
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
    pub(super) fn new(own: Name, council: Vec<Name>, lease: Lease, version: Version, seed: u64) -> Holder {
        Holder {
            own,
            council,
            lease,
            rng: fastrand::Rng::with_seed(seed),
            lineage: version.list.lineage.clone(),
            version,
            news: News::default(),
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

    pub(super) fn acting(&self, now: Duration) -> Acting {
        // Who is shut out stays so without a session too, until it has what it lacked: it knows better than to serve.
        match (&self.news.out, &self.held) {
            (Some(cause), _) if self.lacks_still(cause) => Acting::Out(cause.clone()),
            (_, Some(held)) if now < held.until => Acting::InSession(held.id),
            _ => Acting::Alone,
        }
    }

    /// Whether what it was shut out for holds by its own knowledge, so that nobody has to be reached to know it.
    fn lacks_still(&self, cause: &Cause) -> bool {
        match cause {
            Cause::Held => true,
            Cause::Behind(Behind::List { current, .. }) => self.version.list.index < *current,
            Cause::Behind(Behind::Config { required, .. }) => self.version.config != *required,
            Cause::Behind(Behind::Build { required, .. }) => self.version.build != *required,
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

    pub(super) fn departed(&mut self, now: Duration, list: Listed, hosts: Vec<(String, bool)>) {
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
    pub(super) fn ask(&mut self, now: Duration, members: &Members) -> Vec<(Name, Frame)> {
        let mut frames = Vec::new();
        // One that does not answer is left for another: three can be tried within a lease.
        let patience = self.lease.renew_every() / 2;
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
            Some(session) => Frame::Renew { session, ask, version },
            None => Frame::Open { ask, version },
        };
        self.asking = Some(Asking { at: now, keeper: keeper.clone() });
        frames.push((keeper.clone(), frame));
        frames.extend(self.departures(keeper));
        // Spread, so that gateways that began together don't ask together for ever.
        let every = self.lease.renew_every();
        self.next = now + every.mul_f64(0.8 + 0.2 * self.rng.f64());
        frames
    }

    /// What hosts are to be told of, by index.
    fn departures(&mut self, keeper: Name) -> Vec<(Name, Frame)> {
        let mut by_index: BTreeMap<u64, Vec<(String, bool)>> = BTreeMap::new();
        self.departing.retain(|host, (gone, index, left)| {
            by_index.entry(*index).or_default().push((host.clone(), *gone));
            *left -= 1;
            *left > 0
        });
        let lineage = self.lineage.clone();
        let frame =
            |(index, hosts)| Frame::Departed { list: Listed { lineage: lineage.clone(), index }, hosts };
        by_index.into_iter().map(|told| (keeper.clone(), frame(told))).collect()
    }

    /// Whom to ask: itself where it has a seat and is asked first, else one that speaks, by draw.
    fn choose(&mut self, now: Duration, members: &Members) -> Option<Name> {
        let speaks = |name: &&Name| **name == self.own || members.view(now, name) == View::Here;
        let all: Vec<&Name> = self.council.iter().filter(speaks).collect();
        (!all.is_empty()).then(|| all[self.rng.usize(..all.len())].clone())
    }

    pub(super) fn hear(&mut self, now: Duration, from: &str, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Granted { session, ask, news } => {
                let Some(asked) = self.asked_at.remove(&ask) else { return };
                // Older askings are answered by this one too.
                self.asked_at.retain(|n, _| *n > ask);
                self.answered(from);
                let until = self.lease.held_until(asked);
                match &mut self.held {
                    Some(held) if held.id == session => held.until = held.until.max(until),
                    _ => self.held = Some(Held { id: session, until }),
                }
                self.heed(now, news, out);
            }
            Frame::Told(news) if news.position >= self.news.position => self.heed(now, news, out),
            Frame::NoSession { ask, taken } => {
                if self.asked_at.remove(&ask).is_none() {
                    return;
                }
                self.answered(from);
                match taken {
                    Some(process) => {
                        if due(&mut self.told_taken, now, TOLD_TAKEN) {
                            out.push(Output::Note(format!(
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
            Frame::NotNow { ask } if self.asked_at.remove(&ask).is_some() => {
                self.answered(from);
                // Another may know a leader already.
                self.keeper = None;
                self.next = now + self.lease.renew_every() / 4;
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
    fn heed(&mut self, now: Duration, news: News, out: &mut Vec<Output>) {
        let own = self.version.list.index;
        let newer: Vec<Gone> = news.gone.iter().filter(|g| g.index > own).cloned().collect();
        if !newer.is_empty() && newer != self.news.gone {
            out.push(Output::Gone(newer));
        }
        if let Some(current) = news.current.filter(|c| *c > own) {
            if due(&mut self.asked_discovery, now, ASK_AGAIN) {
                out.push(Output::AskDiscovery { current });
            }
        }
        if let Some(required) = news.config.filter(|c| *c != self.version.config) {
            if due(&mut self.reread, now, REREAD) {
                out.push(Output::Reread { required });
            }
        }
        self.news = news;
    }

    /// The word with which it leaves in order.
    pub(super) fn close(&mut self) -> Option<(Name, Frame)> {
        self.closed = true;
        let held = self.held.take()?;
        Some((self.keeper.clone()?, Frame::Close { session: held.id }))
    }
}
