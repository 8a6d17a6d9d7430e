//! A council member's side of the sessions: gathering what gateways ask, answering once it is decided, and proposing the end of those
//! that nobody has heard of for a lease and its margin, or that stay behind.

use super::Output;
use crate::clock::Lease;
use crate::council::{Agreed, Council};
use crate::register::{Applied, Entry, Register, Renewal, SessionId};
use crate::settings::Stragglers;
use crate::version::{Incarnation, Name};
use crate::wire::{Frame, Gone, News};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most hosts in one piece of news.
const TOLD: usize = 256;
/// What was proposed and not decided is proposed again after this.
const AGAIN: Duration = Duration::from_millis(500);

type Send<'a> = &'a mut dyn FnMut(Name, Frame);

/// What a gateway waits for.
#[derive(Clone, Copy, Debug)]
struct Pending {
    ask: u64,
    session: Option<SessionId>,
}

/// A session as this member has seen it.
#[derive(Clone, Copy, Debug)]
struct Seen {
    renewals: u64,
    since: Duration,
    proposed: Option<Duration>,
}

/// The keeper.
#[derive(Clone, Debug)]
pub(super) struct Keeper {
    lease: Lease,
    stragglers: Stragglers,
    pending: BTreeMap<Name, Pending>,
    renewals: Vec<Renewal>,
    /// Whom this member keeps told, and what it told last.
    told: BTreeMap<Name, News>,
    dirty: bool,
    seen: BTreeMap<SessionId, Seen>,
    behind: BTreeMap<SessionId, (Duration, Option<Duration>)>,
    led: bool,
}

impl Keeper {
    pub(super) fn new(lease: Lease, stragglers: Stragglers) -> Keeper {
        Keeper {
            lease,
            stragglers,
            pending: BTreeMap::new(),
            renewals: Vec::new(),
            told: BTreeMap::new(),
            dirty: false,
            seen: BTreeMap::new(),
            behind: BTreeMap::new(),
            led: false,
        }
    }

    /// What was measured before is no longer worth anything: this process was paused, or has jumped over entries.
    pub(super) fn start_over(&mut self, now: Duration) {
        self.seen.values_mut().for_each(|seen| seen.since = now);
        self.behind.clear();
        self.pending.clear();
        self.dirty = true;
    }

    pub(super) fn unlinked(&mut self, peer: &str) {
        self.pending.remove(peer);
        self.told.remove(peer);
    }

    /// A gateway asks or tells.
    pub(super) fn hear(
        &mut self,
        from: &str,
        process: Incarnation,
        frame: Frame,
        council: &mut Council,
        send: Send<'_>,
    ) {
        let name = from.to_owned();
        match frame {
            Frame::Open { ask, version } => {
                let entry = Entry::Open { name: name.clone(), process, version, ask };
                if council.propose(entry) {
                    self.pending.insert(name, Pending { ask, session: None });
                } else {
                    send(name, Frame::NotNow { ask });
                }
            }
            Frame::Renew { session, ask, version } => {
                if council.leader().is_none() {
                    return send(name, Frame::NotNow { ask });
                }
                match council.register().sessions().get(&session) {
                    Some(known) if known.name == name && known.process == process => {
                        let version = (known.version != version).then_some(version);
                        self.pending.insert(name, Pending { ask, session: Some(session) });
                        self.renewals.push(Renewal { session, count: ask, version });
                    }
                    // It may be open where this member has not come to yet.
                    None if session > council.register().position() => send(name, Frame::NotNow { ask }),
                    _ => send(name, Frame::NoSession { ask, taken: None }),
                }
            }
            Frame::Departed { list, mut hosts } => {
                hosts.retain(|(host, gone)| !council.register().knows_departed(&list, host, *gone));
                if !hosts.is_empty() {
                    council.propose(Entry::Departed { list, hosts, by: name });
                }
            }
            Frame::Close { session } => {
                let own = council.register().sessions().get(&session).is_some_and(|s| s.name == name);
                if own {
                    council.propose(Entry::Close { session });
                }
            }
            _ => {}
        }
    }

    /// Something has been decided: whoever waits for it is answered.
    pub(super) fn agreed(&mut self, _now: Duration, agreed: &Agreed, register: &Register, send: Send<'_>) {
        self.dirty = true;
        match (&agreed.entry, &agreed.applied) {
            (Entry::Open { name, ask, .. }, applied) => {
                let waits = self.pending.get(name).is_some_and(|p| p.ask == *ask && p.session.is_none());
                if !waits {
                    return;
                }
                self.pending.remove(name);
                match applied {
                    Applied::Opened(session) => self.grant(name, *session, *ask, register, send),
                    Applied::NameTaken { by } => {
                        send(name.clone(), Frame::NoSession { ask: *ask, taken: Some(*by) });
                    }
                    _ => {}
                }
            }
            (Entry::Renew(renewals), _) => {
                for Renewal { session, count, .. } in renewals {
                    let waits =
                        self.pending.iter().find(|(_, p)| p.session == Some(*session) && p.ask == *count);
                    let Some(name) = waits.map(|(name, _)| name.clone()) else { continue };
                    self.pending.remove(&name);
                    if register.sessions().contains_key(session) {
                        self.grant(&name, *session, *count, register, send);
                    } else {
                        send(name, Frame::NoSession { ask: *count, taken: None });
                    }
                }
            }
            _ => {}
        }
    }

    fn grant(&mut self, name: &Name, session: SessionId, ask: u64, register: &Register, send: Send<'_>) {
        let Some(news) = news(register, session) else { return };
        self.told.insert(name.clone(), news.clone());
        send(name.clone(), Frame::Granted { session, ask, news });
    }

    /// What staff should read of what was decided.
    pub(super) fn note(&self, agreed: &Agreed, out: &mut Vec<Output>) {
        let text = match (&agreed.entry, &agreed.applied) {
            (Entry::Lapse { session, .. }, Applied::Done) => {
                format!("session {session} is over: not renewed within its lease")
            }
            (Entry::ShutOut { session, version }, Applied::Done) => {
                format!("session {session} is shut out: it stayed behind on {version}")
            }
            (Entry::ShutOut { session, .. }, Applied::TooMany) => {
                format!(
                    "session {session} stays behind and is not shut out: as many as may be are out already"
                )
            }
            (Entry::Hold { name, out }, Applied::Done) => {
                format!("{name} is {} by staff", if *out { "shut out" } else { "let in again" })
            }
            (Entry::Require(require), Applied::Done) => format!("staff require {require:?}"),
            _ => return,
        };
        out.push(Output::Note(text));
    }

    /// Time goes on.
    pub(super) fn tick(&mut self, now: Duration, council: &mut Council, send: Send<'_>) {
        let renewals = std::mem::take(&mut self.renewals);
        if !renewals.is_empty() && !council.propose(Entry::Renew(renewals.clone())) {
            for renewal in renewals {
                let waits = self.pending.iter().find(|(_, p)| p.session == Some(renewal.session));
                if let Some(name) = waits.map(|(name, _)| name.clone()) {
                    self.pending.remove(&name);
                    send(name, Frame::NotNow { ask: renewal.count });
                }
            }
        }
        self.watch(now, council);
        self.tell(council.register(), send);
    }

    /// Proposes what has waited its time. Whoever leads does; that two may think they lead harms nothing, for an entry names what
    /// was seen, and is void where that has changed.
    fn watch(&mut self, now: Duration, council: &mut Council) {
        let leads = council.leads();
        if leads && !self.led {
            // What was seen while another led may have been seen late.
            self.seen.values_mut().for_each(|seen| seen.since = now);
            self.behind.clear();
        }
        self.led = leads;
        let register = council.register();
        self.seen.retain(|id, _| register.sessions().contains_key(id));
        for (id, session) in register.sessions() {
            let seen = self.seen.entry(*id).or_insert(Seen {
                renewals: session.renewals,
                since: now,
                proposed: None,
            });
            if seen.renewals != session.renewals {
                *seen = Seen { renewals: session.renewals, since: now, proposed: None };
            }
        }
        let lagging: BTreeMap<SessionId, _> =
            register.stragglers().map(|(id, session, _)| (id, session.version.clone())).collect();
        self.behind.retain(|id, _| lagging.contains_key(id));
        for id in lagging.keys() {
            self.behind.entry(*id).or_insert((now, None));
        }
        if !leads {
            return;
        }
        let due = |proposed: Option<Duration>| proposed.is_none_or(|at| now.saturating_sub(at) >= AGAIN);
        for (id, seen) in &mut self.seen {
            if now >= self.lease.over_from(seen.since) && due(seen.proposed) {
                seen.proposed = Some(now);
                council.propose(Entry::Lapse { session: *id, renewals: seen.renewals });
            }
        }
        let mut left = council.register().may_shut_out();
        for (id, (since, proposed)) in &mut self.behind {
            let stays = now.saturating_sub(*since) >= self.stragglers.time;
            if stays && left > 0 && due(*proposed) {
                if let Some(version) = lagging.get(id) {
                    left -= 1;
                    *proposed = Some(now);
                    council.propose(Entry::ShutOut { session: *id, version: version.clone() });
                }
            }
        }
    }

    /// Tells those it keeps what has changed for them since it last did.
    fn tell(&mut self, register: &Register, send: Send<'_>) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        for (name, told) in &mut self.told {
            let Some((id, _)) = register.session_of(name) else { continue };
            let Some(news) = news(register, id) else { continue };
            let alike = News { position: told.position, ..news.clone() } == *told;
            if !alike {
                told.clone_from(&news);
                send(name.clone(), Frame::Told(news));
            }
        }
    }
}

/// What the register says to a session.
fn news(register: &Register, id: SessionId) -> Option<News> {
    let session = register.sessions().get(&id)?;
    let gone = register.departures_since(&session.version.list).map(|(host, departure)| Gone {
        host: host.to_owned(),
        gone: departure.gone,
        index: departure.index,
        by: departure.by.clone(),
    });
    Some(News {
        position: register.position(),
        out: session.out.clone(),
        current: register.current(&session.version.list.lineage),
        config: register.required().config,
        gone: gone.take(TOLD).collect(),
    })
}
