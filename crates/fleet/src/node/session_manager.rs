//! Session manager of a replica: proposes the commands that gateways request, and answers each request once its command is committed.

use super::session_monitor::SessionMonitor;
use super::NodeAction;
use crate::consensus::{Committed, ConsensusGroup};
use crate::lease::Lease;
use crate::protocol::{Frame, StateUpdate};
use crate::settings::LagPolicy;
use crate::state_machine::{
    Command, CommandOutcome, DepartedEndpoint, DepartureKind, Renewal, SessionId, StateMachine,
};
use crate::version::{GatewayName, Incarnation, ListVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of departures in one state update.
const MAX_DEPARTURES_PER_UPDATE: usize = 256;

/// A request of a gateway that is answered once its command is committed.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: u64,
    /// Session to renew; absent if the request is to open a session.
    session: Option<SessionId>,
}

/// Manager of all sessions at one replica.
#[derive(Clone, Debug)]
pub(super) struct SessionManager {
    pending_requests: BTreeMap<GatewayName, PendingRequest>,
    /// Renewals that are proposed in one command at the next tick.
    batched_renewals: Vec<Renewal>,
    /// Last state update sent to each gateway whose session this replica has granted.
    sent_updates: BTreeMap<GatewayName, StateUpdate>,
    /// Whether the state machine has changed since state updates were last sent.
    state_changed: bool,
    monitor: SessionMonitor,
}

impl SessionManager {
    pub(super) fn new(lease: Lease, lag_policy: LagPolicy) -> SessionManager {
        SessionManager {
            pending_requests: BTreeMap::new(),
            batched_renewals: Vec::new(),
            sent_updates: BTreeMap::new(),
            state_changed: false,
            monitor: SessionMonitor::new(lease, lag_policy),
        }
    }

    /// Discards all observations and pending requests, because this process was paused or its state machine was replaced.
    pub(super) fn reset_observations(&mut self, now: Duration) {
        self.monitor.restart_timers(now);
        self.pending_requests.clear();
        self.state_changed = true;
    }

    pub(super) fn link_down(&mut self, peer: &str) {
        self.pending_requests.remove(peer);
        self.sent_updates.remove(peer);
    }

    /// Handles a request of a gateway's process.
    pub(super) fn receive(
        &mut self,
        from: &str,
        process: Incarnation,
        frame: Frame,
        consensus: &mut ConsensusGroup,
        out: &mut Vec<NodeAction>,
    ) {
        let gateway = from.to_owned();
        match frame {
            Frame::OpenSession { request, version } => {
                let command = Command::OpenSession { name: gateway.clone(), process, version, request };
                if consensus.propose(command) {
                    self.pending_requests.insert(gateway, PendingRequest { request, session: None });
                } else {
                    send(out, gateway, Frame::Unavailable { request });
                }
            }
            Frame::RenewSession { session, request, version } => {
                let renewal = Renewal { session, count: request, version: Some(version) };
                self.renew(gateway, process, renewal, consensus, out);
            }
            Frame::Departures { list, endpoints } => {
                propose_departures(gateway, list, endpoints, consensus);
            }
            Frame::CloseSession { session } => {
                let state = consensus.state();
                let is_own = state.sessions().get(&session).is_some_and(|open| open.name == gateway);
                if is_own {
                    consensus.propose(Command::CloseSession { session });
                }
            }
            _ => {}
        }
    }

    /// Adds a renewal to the next batch, or answers why the session cannot be renewed.
    fn renew(
        &mut self,
        gateway: GatewayName,
        process: Incarnation,
        mut renewal: Renewal,
        consensus: &ConsensusGroup,
        out: &mut Vec<NodeAction>,
    ) {
        let request = renewal.count;
        if consensus.leader().is_none() {
            return send(out, gateway, Frame::Unavailable { request });
        }
        let state = consensus.state();
        match state.sessions().get(&renewal.session) {
            Some(open) if open.name == gateway && open.process == process => {
                renewal.version = renewal.version.filter(|version| open.version != *version);
                let pending = PendingRequest { request, session: Some(renewal.session) };
                self.pending_requests.insert(gateway, pending);
                self.batched_renewals.push(renewal);
            }
            // The session may have been opened by a command that this replica has not applied yet.
            None if renewal.session > state.log_index() => send(out, gateway, Frame::Unavailable { request }),
            _ => send(out, gateway, Frame::NoSession { request, holder: None }),
        }
    }

    /// Answers the gateways that are waiting for the command that was committed.
    pub(super) fn handle_committed(
        &mut self,
        committed: &Committed,
        state: &StateMachine,
        out: &mut Vec<NodeAction>,
    ) {
        self.state_changed = true;
        match &committed.command {
            Command::OpenSession { name, request, .. } => {
                self.answer_open(name, *request, &committed.outcome, state, out);
            }
            Command::RenewSessions(renewals) => {
                for renewal in renewals {
                    self.answer_renewal(renewal, state, out);
                }
            }
            _ => {}
        }
    }

    fn answer_open(
        &mut self,
        gateway: &GatewayName,
        request: u64,
        outcome: &CommandOutcome,
        state: &StateMachine,
        out: &mut Vec<NodeAction>,
    ) {
        let is_pending = |pending: &PendingRequest| pending.request == request && pending.session.is_none();
        if !self.pending_requests.get(gateway).is_some_and(is_pending) {
            return;
        }
        self.pending_requests.remove(gateway);
        match outcome {
            CommandOutcome::Opened(session) => self.grant(gateway, *session, request, state, out),
            CommandOutcome::NameTaken { holder } => {
                send(out, gateway.clone(), Frame::NoSession { request, holder: Some(*holder) });
            }
            _ => {}
        }
    }

    fn answer_renewal(&mut self, renewal: &Renewal, state: &StateMachine, out: &mut Vec<NodeAction>) {
        let session = renewal.session;
        let request = renewal.count;
        let is_pending =
            |pending: &PendingRequest| pending.session == Some(session) && pending.request == request;
        let waiting_entry = self.pending_requests.iter().find(|(_, pending)| is_pending(pending));
        let Some(gateway) = waiting_entry.map(|(gateway, _)| gateway.clone()) else { return };
        self.pending_requests.remove(&gateway);
        if state.sessions().contains_key(&session) {
            self.grant(&gateway, session, request, state, out);
        } else {
            send(out, gateway, Frame::NoSession { request, holder: None });
        }
    }

    fn grant(
        &mut self,
        gateway: &GatewayName,
        session: SessionId,
        request: u64,
        state: &StateMachine,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(update) = state_update_for(state, session) else { return };
        self.sent_updates.insert(gateway.clone(), update.clone());
        send(out, gateway.clone(), Frame::SessionGranted { session, request, update });
    }

    /// Proposes due renewals, expiries and fences, and sends state updates. Must be called every [`crate::consensus::TICK_INTERVAL`].
    pub(super) fn tick(&mut self, now: Duration, consensus: &mut ConsensusGroup, out: &mut Vec<NodeAction>) {
        self.propose_renewals(consensus, out);
        self.monitor.tick(now, consensus);
        self.send_updates(consensus.state(), out);
    }

    fn propose_renewals(&mut self, consensus: &mut ConsensusGroup, out: &mut Vec<NodeAction>) {
        let renewals = std::mem::take(&mut self.batched_renewals);
        if renewals.is_empty() || consensus.propose(Command::RenewSessions(renewals.clone())) {
            return;
        }
        for renewal in renewals {
            let session = Some(renewal.session);
            let waiting_entry = self.pending_requests.iter().find(|(_, pending)| pending.session == session);
            if let Some(gateway) = waiting_entry.map(|(gateway, _)| gateway.clone()) {
                self.pending_requests.remove(&gateway);
                send(out, gateway, Frame::Unavailable { request: renewal.count });
            }
        }
    }

    /// Sends a state update to each gateway for which more than the log index has changed since the last update.
    fn send_updates(&mut self, state: &StateMachine, out: &mut Vec<NodeAction>) {
        if !self.state_changed {
            return;
        }
        self.state_changed = false;
        for (gateway, sent) in &mut self.sent_updates {
            let Some((id, _)) = state.session_of(gateway) else { continue };
            let Some(update) = state_update_for(state, id) else { continue };
            let is_unchanged = StateUpdate { log_index: sent.log_index, ..update.clone() } == *sent;
            if !is_unchanged {
                sent.clone_from(&update);
                send(out, gateway.clone(), Frame::StateUpdate(update));
            }
        }
    }
}

fn send(out: &mut Vec<NodeAction>, to: GatewayName, frame: Frame) {
    out.push(NodeAction::Send { to, frame });
}

/// Proposes the departures that the state machine has not recorded yet.
fn propose_departures(
    reported_by: GatewayName,
    list: ListVersion,
    mut endpoints: Vec<(String, bool)>,
    consensus: &mut ConsensusGroup,
) {
    let state = consensus.state();
    endpoints
        .retain(|(endpoint, removed)| !state.has_departure(&list, endpoint, DepartureKind::from(*removed)));
    if !endpoints.is_empty() {
        consensus.propose(Command::RecordDepartures { list, endpoints, reported_by });
    }
}

/// State update for the gateway that holds a session; `None` if the session is not open.
fn state_update_for(state: &StateMachine, id: SessionId) -> Option<StateUpdate> {
    let session = state.sessions().get(&id)?;
    let list = &session.version.list;
    let departures = state.departures_since(list).map(|(endpoint, departure)| DepartedEndpoint {
        endpoint: endpoint.to_owned(),
        removed: departure.removed,
        list_index: departure.list_index,
        reported_by: departure.reported_by.clone(),
    });
    Some(StateUpdate {
        log_index: state.log_index(),
        fence_reason: session.fence_reason.clone(),
        current_list_index: state.current_list_index(&list.lineage),
        required_config: state.requirements().config,
        departures: departures.take(MAX_DEPARTURES_PER_UPDATE).collect(),
    })
}

/// Notice for administrators about a committed command; `None` if the command is not of interest to them.
pub(super) fn describe_committed(committed: &Committed) -> Option<String> {
    match (&committed.command, &committed.outcome) {
        (Command::ExpireSession { session, .. }, CommandOutcome::Applied) => {
            Some(format!("session {session} expired: not renewed within its lease"))
        }
        (Command::FenceLagging { session, version }, CommandOutcome::Applied) => {
            Some(format!("session {session} fenced: its gateway lagged with {version}"))
        }
        (Command::FenceLagging { session, .. }, CommandOutcome::FenceLimitReached) => {
            Some(format!("session {session} lags and is not fenced: the limit of fenced sessions is reached"))
        }
        (Command::SetFenced { name, fenced: true }, CommandOutcome::Applied) => {
            Some(format!("{name} fenced by an administrator"))
        }
        (Command::SetFenced { name, fenced: false }, CommandOutcome::Applied) => {
            Some(format!("fence of {name} ended by an administrator"))
        }
        (Command::SetRequirements(requirements), CommandOutcome::Applied) => {
            Some(format!("administrators require {requirements:?}"))
        }
        _ => None,
    }
}
