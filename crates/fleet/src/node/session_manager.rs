//! A council member's side of the sessions: gathering what gateways ask, answering once it is decided, and proposing the end of those
//! that nobody has heard of for a lease and its margin, or that stay behind.

use super::NodeAction;
use crate::consensus::{Committed, ConsensusGroup};
use crate::lease::Lease;
use crate::protocol::{DepartedEndpoint, Frame, StateUpdate};
use crate::settings::LagPolicy;
use crate::state_machine::{Command, CommandOutcome, Renewal, SessionId, StateMachine};
use crate::version::{GatewayName, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most hosts in one piece of news.
const TOLD: usize = 256;
/// What was proposed and not decided is proposed again after this.
const AGAIN: Duration = Duration::from_millis(500);

type Send<'a> = &'a mut dyn FnMut(GatewayName, Frame);

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
    stragglers: LagPolicy,
    pending: BTreeMap<GatewayName, Pending>,
    renewals: Vec<Renewal>,
    /// Whom this member keeps told, and what it told last.
    told: BTreeMap<GatewayName, StateUpdate>,
    dirty: bool,
    seen: BTreeMap<SessionId, Seen>,
    behind: BTreeMap<SessionId, (Duration, Option<Duration>)>,
    led: bool,
}

impl Keeper {
    pub(super) fn new(lease: Lease, stragglers: LagPolicy) -> Keeper {
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
        council: &mut ConsensusGroup,
        send: Send<'_>,
    ) {
        let name = from.to_owned();
        match frame {
            Frame::OpenSession { request: ask, version } => {
                let entry = Command::OpenSession { name: name.clone(), process, version, request: ask };
                if council.propose(entry) {
                    self.pending.insert(name, Pending { ask, session: None });
                } else {
                    send(name, Frame::Unavailable { request: ask });
                }
            }
            Frame::RenewSession { session, request: ask, version } => {
                if council.leader().is_none() {
                    return send(name, Frame::Unavailable { request: ask });
                }
                match council.state().sessions().get(&session) {
                    Some(known) if known.name == name && known.process == process => {
                        let version = (known.version != version).then_some(version);
                        self.pending.insert(name, Pending { ask, session: Some(session) });
                        self.renewals.push(Renewal { session, count: ask, version });
                    }
                    // It may be open where this member has not come to yet.
                    None if session > council.state().log_index() => {
                        send(name, Frame::Unavailable { request: ask })
                    }
                    _ => send(name, Frame::NoSession { request: ask, holder: None }),
                }
            }
            Frame::Departures { list, endpoints: mut hosts } => {
                hosts.retain(|(host, gone)| !council.state().has_departure(&list, host, *gone));
                if !hosts.is_empty() {
                    council.propose(Command::RecordDepartures { list, endpoints: hosts, reported_by: name });
                }
            }
            Frame::CloseSession { session } => {
                let own = council.state().sessions().get(&session).is_some_and(|s| s.name == name);
                if own {
                    council.propose(Command::CloseSession { session });
                }
            }
            _ => {}
        }
    }

    /// Something has been decided: whoever waits for it is answered.
    pub(super) fn agreed(
        &mut self,
        _now: Duration,
        agreed: &Committed,
        register: &StateMachine,
        send: Send<'_>,
    ) {
        self.dirty = true;
        match (&agreed.command, &agreed.outcome) {
            (Command::OpenSession { name, request: ask, .. }, applied) => {
                let waits = self.pending.get(name).is_some_and(|p| p.ask == *ask && p.session.is_none());
                if !waits {
                    return;
                }
                self.pending.remove(name);
                match applied {
                    CommandOutcome::Opened(session) => self.grant(name, *session, *ask, register, send),
                    CommandOutcome::NameTaken { holder: by } => {
                        send(name.clone(), Frame::NoSession { request: *ask, holder: Some(*by) });
                    }
                    _ => {}
                }
            }
            (Command::RenewSessions(renewals), _) => {
                for Renewal { session, count, .. } in renewals {
                    let waits =
                        self.pending.iter().find(|(_, p)| p.session == Some(*session) && p.ask == *count);
                    let Some(name) = waits.map(|(name, _)| name.clone()) else { continue };
                    self.pending.remove(&name);
                    if register.sessions().contains_key(session) {
                        self.grant(&name, *session, *count, register, send);
                    } else {
                        send(name, Frame::NoSession { request: *count, holder: None });
                    }
                }
            }
            _ => {}
        }
    }

    fn grant(
        &mut self,
        name: &GatewayName,
        session: SessionId,
        ask: u64,
        register: &StateMachine,
        send: Send<'_>,
    ) {
        let Some(news) = news(register, session) else { return };
        self.told.insert(name.clone(), news.clone());
        send(name.clone(), Frame::SessionGranted { session, request: ask, update: news });
    }

    /// What staff should read of what was decided.
    pub(super) fn note(&self, agreed: &Committed, out: &mut Vec<NodeAction>) {
        let text = match (&agreed.command, &agreed.outcome) {
            (Command::ExpireSession { session, .. }, CommandOutcome::Applied) => {
                format!("session {session} is over: not renewed within its lease")
            }
            (Command::FenceLagging { session, version }, CommandOutcome::Applied) => {
                format!("session {session} is shut out: it stayed behind on {version}")
            }
            (Command::FenceLagging { session, .. }, CommandOutcome::FenceLimitReached) => {
                format!(
                    "session {session} stays behind and is not shut out: as many as may be are out already"
                )
            }
            (Command::SetFenced { name, fenced: out }, CommandOutcome::Applied) => {
                format!("{name} is {} by staff", if *out { "shut out" } else { "let in again" })
            }
            (Command::SetRequirements(require), CommandOutcome::Applied) => {
                format!("staff require {require:?}")
            }
            _ => return,
        };
        out.push(NodeAction::Notice(text));
    }

    /// Time goes on.
    pub(super) fn tick(&mut self, now: Duration, council: &mut ConsensusGroup, send: Send<'_>) {
        let renewals = std::mem::take(&mut self.renewals);
        if !renewals.is_empty() && !council.propose(Command::RenewSessions(renewals.clone())) {
            for renewal in renewals {
                let waits = self.pending.iter().find(|(_, p)| p.session == Some(renewal.session));
                if let Some(name) = waits.map(|(name, _)| name.clone()) {
                    self.pending.remove(&name);
                    send(name, Frame::Unavailable { request: renewal.count });
                }
            }
        }
        self.watch(now, council);
        self.tell(council.state(), send);
    }

    /// Proposes what has waited its time. Whoever leads does; that two may think they lead harms nothing, for an entry names what
    /// was seen, and is void where that has changed.
    fn watch(&mut self, now: Duration, council: &mut ConsensusGroup) {
        let leads = council.is_leader();
        if leads && !self.led {
            // What was seen while another led may have been seen late.
            self.seen.values_mut().for_each(|seen| seen.since = now);
            self.behind.clear();
        }
        self.led = leads;
        let register = council.state();
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
        let lagging: BTreeMap<SessionId, _> = register
            .lagging_sessions()
            .map(|lagging| (lagging.id, lagging.session.version.clone()))
            .collect();
        self.behind.retain(|id, _| lagging.contains_key(id));
        for id in lagging.keys() {
            self.behind.entry(*id).or_insert((now, None));
        }
        if !leads {
            return;
        }
        let due = |proposed: Option<Duration>| proposed.is_none_or(|at| now.saturating_sub(at) >= AGAIN);
        for (id, seen) in &mut self.seen {
            if now >= self.lease.grantor_expiry(seen.since) && due(seen.proposed) {
                seen.proposed = Some(now);
                council.propose(Command::ExpireSession { session: *id, renewals: seen.renewals });
            }
        }
        let mut left = council.state().fence_capacity();
        for (id, (since, proposed)) in &mut self.behind {
            let stays = now.saturating_sub(*since) >= self.stragglers.max_lag_duration;
            if stays && left > 0 && due(*proposed) {
                if let Some(version) = lagging.get(id) {
                    left -= 1;
                    *proposed = Some(now);
                    council.propose(Command::FenceLagging { session: *id, version: version.clone() });
                }
            }
        }
    }

    /// Tells those it keeps what has changed for them since it last did.
    fn tell(&mut self, register: &StateMachine, send: Send<'_>) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        for (name, told) in &mut self.told {
            let Some((id, _)) = register.session_of(name) else { continue };
            let Some(news) = news(register, id) else { continue };
            let alike = StateUpdate { log_index: told.log_index, ..news.clone() } == *told;
            if !alike {
                told.clone_from(&news);
                send(name.clone(), Frame::StateUpdate(news));
            }
        }
    }
}

/// What the register says to a session.
fn news(register: &StateMachine, id: SessionId) -> Option<StateUpdate> {
    let session = register.sessions().get(&id)?;
    let gone = register.departures_since(&session.version.list).map(|(host, departure)| DepartedEndpoint {
        endpoint: host.to_owned(),
        removed: departure.removed,
        list_index: departure.list_index,
        reported_by: departure.reported_by.clone(),
    });
    Some(StateUpdate {
        log_index: register.log_index(),
        fence_reason: session.fence_reason.clone(),
        current_list_index: register.current_list_index(&session.version.list.lineage),
        required_config: register.requirements().config,
        departures: gone.take(TOLD).collect(),
    })
}
