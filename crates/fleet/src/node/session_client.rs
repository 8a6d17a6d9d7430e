//! Session client of a gateway: requests a session from a replica, relies on the session no longer than its lease, and acts on the state
//! updates that replicas send.

use super::rate_limit::RateLimit;
use super::{NodeAction, SessionState};
use crate::lease::Lease;
use crate::membership::{Membership, PeerView};
use crate::protocol::{Frame, StateUpdate};
use crate::state_machine::{DepartedEndpoint, FenceReason, SessionId, VersionLag};
use crate::version::{GatewayName, Incarnation, ListVersion, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum interval between discovery polls that are triggered by state updates.
const DISCOVERY_POLL_MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between configuration reloads that are triggered by state updates.
const CONFIG_RELOAD_MIN_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum interval between notices that another process holds this gateway's name.
const NAME_TAKEN_NOTICE_MIN_INTERVAL: Duration = Duration::from_secs(10);
/// Number of times that each departure is sent, because frames may be lost.
const DEPARTURE_SEND_COUNT: u32 = 4;
/// Maximum number of endpoints whose departure waits to be sent.
const MAX_UNSENT_DEPARTURES: usize = 1024;
/// Maximum number of session requests whose answer is still accepted.
const MAX_TRACKED_REQUESTS: usize = 16;
/// Minimum time between two renewal requests, as a fraction of the renewal interval.
const MIN_RENEWAL_FRACTION: f64 = 0.8;
/// Maximum random addition to the time between two renewal requests, as a fraction of the renewal interval.
const RENEWAL_JITTER_FRACTION: f64 = 0.2;

/// A session and the time until which this gateway may rely on it.
#[derive(Clone, Debug)]
struct HeldSession {
    id: SessionId,
    expires_at: Duration,
}

/// A session request that has not been answered.
#[derive(Clone, Debug)]
struct PendingRequest {
    sent_at: Duration,
    replica: GatewayName,
}

/// A departure that still has to be sent.
#[derive(Clone, Debug)]
struct UnsentDeparture {
    removed: bool,
    list_index: u64,
    remaining_sends: u32,
}

/// Client of the session manager of any reachable replica.
#[derive(Clone, Debug)]
pub(super) struct SessionClient {
    gateway: GatewayName,
    replica_names: Vec<GatewayName>,
    lease: Lease,
    rng: fastrand::Rng,
    version: Version,
    last_update: StateUpdate,
    /// Number of the last session request.
    request_count: u64,
    /// Time at which each session request was sent whose answer is still accepted, by request number.
    request_sent_at: BTreeMap<u64, Duration>,
    pending_request: Option<PendingRequest>,
    next_request_at: Duration,
    /// Replica that session requests are sent to.
    replica: Option<GatewayName>,
    session: Option<HeldSession>,
    /// Departures that still have to be sent, by endpoint.
    unsent_departures: BTreeMap<String, UnsentDeparture>,
    /// Lineage of the endpoint list that reported the departures.
    lineage: String,
    discovery_polls: RateLimit,
    config_reloads: RateLimit,
    name_taken_notices: RateLimit,
    is_closed: bool,
}

impl SessionClient {
    pub(super) fn new(
        gateway: GatewayName,
        replica_names: Vec<GatewayName>,
        lease: Lease,
        version: Version,
        seed: u64,
    ) -> SessionClient {
        SessionClient {
            gateway,
            replica_names,
            lease,
            rng: fastrand::Rng::with_seed(seed),
            lineage: version.list.lineage.clone(),
            version,
            last_update: StateUpdate::default(),
            request_count: 0,
            request_sent_at: BTreeMap::new(),
            pending_request: None,
            next_request_at: Duration::ZERO,
            replica: None,
            session: None,
            unsent_departures: BTreeMap::new(),
            discovery_polls: RateLimit::new(DISCOVERY_POLL_MIN_INTERVAL),
            config_reloads: RateLimit::new(CONFIG_RELOAD_MIN_INTERVAL),
            name_taken_notices: RateLimit::new(NAME_TAKEN_NOTICE_MIN_INTERVAL),
            is_closed: false,
        }
    }

    /// Version that the gateway acts on.
    pub(super) fn version(&self) -> &Version {
        &self.version
    }

    /// The last state update that a replica sent.
    pub(super) fn last_update(&self) -> &StateUpdate {
        &self.last_update
    }

    pub(super) fn session(&self) -> Option<SessionId> {
        self.session.as_ref().map(|session| session.id)
    }

    /// Time for which the gateway may still rely on its session.
    pub(super) fn remaining_lease(&self, now: Duration) -> Duration {
        let session = self.session.as_ref();
        session.map_or(Duration::ZERO, |session| session.expires_at.saturating_sub(now))
    }

    pub(super) fn state(&self, now: Duration) -> SessionState {
        // A gateway that was fenced stays fenced without a session too, until it has caught up: its state is known to be too old to serve.
        if let Some(reason) =
            self.last_update.fence_reason.as_ref().filter(|reason| self.still_applies(reason))
        {
            return SessionState::Fenced(reason.clone());
        }
        match &self.session {
            Some(session) if now < session.expires_at => SessionState::InSession(session.id),
            _ => SessionState::WithoutSession,
        }
    }

    /// Whether a fence still applies, judged by this gateway's current version. The fence is evaluated locally, so that a gateway without a
    /// session stays fenced, and a gateway that has caught up serves again before its next renewal. The replicas decide by
    /// [`crate::state_machine::StateMachine::lag_of`], which tolerates some lag; this check tolerates none and ignores the lineage.
    fn still_applies(&self, reason: &FenceReason) -> bool {
        match reason {
            FenceReason::Administrator => true,
            FenceReason::Lagging(VersionLag::List { current, .. }) => self.version.list.index < *current,
            FenceReason::Lagging(VersionLag::Config { required, .. }) => self.version.config != *required,
            FenceReason::Lagging(VersionLag::Build { required, .. }) => self.version.build != *required,
        }
    }

    /// Records that the gateway acts on another version from now on.
    pub(super) fn set_version(&mut self, now: Duration, version: Version) {
        if version == self.version {
            return;
        }
        if version.list.lineage != self.lineage {
            self.lineage.clone_from(&version.list.lineage);
            self.unsent_departures.clear();
        }
        self.version = version;
        self.request_soon(now);
    }

    /// Records departures that an endpoint list reports: endpoint names, each with true if the endpoint was removed, false if it drains.
    pub(super) fn record_departures(
        &mut self,
        now: Duration,
        list: &ListVersion,
        endpoints: Vec<(String, bool)>,
    ) {
        if list.lineage != self.lineage {
            return;
        }
        for (endpoint, removed) in endpoints {
            let has_capacity = self.unsent_departures.len() < MAX_UNSENT_DEPARTURES;
            if has_capacity || self.unsent_departures.contains_key(&endpoint) {
                let departure = UnsentDeparture {
                    removed,
                    list_index: list.index,
                    remaining_sends: DEPARTURE_SEND_COUNT,
                };
                self.unsent_departures.insert(endpoint, departure);
            }
        }
        self.request_soon(now);
    }

    pub(super) fn link_down(&mut self, now: Duration, peer: &str) {
        if self.replica.as_deref() != Some(peer) {
            return;
        }
        self.replica = None;
        self.pending_request = None;
        self.request_soon(now);
    }

    fn request_soon(&mut self, now: Duration) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Time after which an unanswered request is sent to another replica, such that three replicas can be tried within one lease.
    fn answer_timeout(&self) -> Duration {
        self.lease.renewal_interval() / 2
    }

    /// Sends the next session request and the unsent departures, if a request is due.
    pub(super) fn send_due_request(
        &mut self,
        now: Duration,
        membership: &Membership,
        out: &mut Vec<NodeAction>,
    ) {
        self.give_up_unanswered_request(now);
        if self.is_closed || self.pending_request.is_some() || now < self.next_request_at {
            return;
        }
        if self.replica.is_none() {
            self.replica = self.choose_replica(now, membership);
        }
        let Some(replica) = self.replica.clone() else {
            self.next_request_at = now + self.answer_timeout() / 2;
            return;
        };
        let frame = self.next_request(now);
        self.pending_request = Some(PendingRequest { sent_at: now, replica: replica.clone() });
        out.push(NodeAction::Send { to: replica.clone(), frame });
        self.send_departures(&replica, out);
        // Without the random addition, gateways that started at the same time would send all their requests at the same time.
        let interval = self.lease.renewal_interval();
        let fraction = MIN_RENEWAL_FRACTION + RENEWAL_JITTER_FRACTION * self.rng.f64();
        self.next_request_at = now + interval.mul_f64(fraction);
    }

    fn give_up_unanswered_request(&mut self, now: Duration) {
        let Some(pending) = &self.pending_request else { return };
        if now.saturating_sub(pending.sent_at) >= self.answer_timeout() {
            self.replica = None;
            self.pending_request = None;
            self.next_request_at = now;
        }
    }

    fn next_request(&mut self, now: Duration) -> Frame {
        self.request_count += 1;
        self.request_sent_at.insert(self.request_count, now);
        while self.request_sent_at.len() > MAX_TRACKED_REQUESTS {
            self.request_sent_at.pop_first();
        }
        let request = self.request_count;
        let version = self.version.clone();
        // A session whose lease has expired at this gateway may still be open in the state machine and be renewed there. The gateway relies
        // on the session again only from the time of the renewal request on.
        match self.session() {
            Some(session) => Frame::RenewSession { session, request, version },
            None => Frame::OpenSession { request, version },
        }
    }

    /// Sends each unsent departure once, with one frame for each list index.
    fn send_departures(&mut self, replica: &GatewayName, out: &mut Vec<NodeAction>) {
        let mut departures_by_index: BTreeMap<u64, Vec<(String, bool)>> = BTreeMap::new();
        self.unsent_departures.retain(|endpoint, departure| {
            let endpoints = departures_by_index.entry(departure.list_index).or_default();
            endpoints.push((endpoint.clone(), departure.removed));
            departure.remaining_sends -= 1;
            departure.remaining_sends > 0
        });
        for (index, endpoints) in departures_by_index {
            let list = ListVersion { lineage: self.lineage.clone(), index };
            out.push(NodeAction::Send { to: replica.clone(), frame: Frame::Departures { list, endpoints } });
        }
    }

    /// Picks a reachable replica at random; if this gateway is a replica, it counts as reachable.
    fn choose_replica(&mut self, now: Duration, membership: &Membership) -> Option<GatewayName> {
        let is_reachable =
            |name: &&GatewayName| **name == self.gateway || membership.view(now, name) == PeerView::Reachable;
        let reachable: Vec<&GatewayName> = self.replica_names.iter().filter(is_reachable).collect();
        if reachable.is_empty() {
            return None;
        }
        let index = self.rng.usize(..reachable.len());
        Some(reachable[index].clone())
    }

    /// Handles an answer or a state update of a replica.
    pub(super) fn receive(&mut self, now: Duration, from: &str, frame: Frame, out: &mut Vec<NodeAction>) {
        match frame {
            Frame::SessionGranted { session, request, update } => {
                let Some(sent_at) = self.request_sent_at.remove(&request) else { return };
                self.clear_pending(from);
                self.record_grant(session, request, sent_at);
                self.apply_update(now, update, out);
            }
            Frame::StateUpdate(update) if update.log_index >= self.last_update.log_index => {
                self.apply_update(now, update, out);
            }
            Frame::NoSession { request, holder } => {
                if self.request_sent_at.remove(&request).is_none() {
                    return;
                }
                self.clear_pending(from);
                match holder {
                    Some(process) => self.report_name_taken(now, process, out),
                    None => {
                        // The session has ended. A new session is requested at once.
                        self.session = None;
                        self.next_request_at = now;
                    }
                }
            }
            Frame::Unavailable { request } => {
                if self.request_sent_at.remove(&request).is_none() {
                    return;
                }
                self.clear_pending(from);
                // Another replica may already know a leader.
                self.replica = None;
                self.next_request_at = now + self.lease.renewal_interval() / 4;
            }
            _ => {}
        }
    }

    /// Extends the session by the grant of a request that was sent at `sent_at`. The log index in the grant is not compared with the
    /// last one: the grant answers an outstanding request, and a newly founded group has smaller log indices.
    fn record_grant(&mut self, id: SessionId, request: u64, sent_at: Duration) {
        // The grant also answers the requests that were sent before.
        self.request_sent_at.retain(|number, _| *number > request);
        let expires_at = self.lease.holder_expiry(sent_at);
        match &mut self.session {
            Some(session) if session.id == id => session.expires_at = session.expires_at.max(expires_at),
            _ => self.session = Some(HeldSession { id, expires_at }),
        }
    }

    fn clear_pending(&mut self, from: &str) {
        if self.pending_request.as_ref().is_some_and(|pending| pending.replica == from) {
            self.pending_request = None;
        }
    }

    fn report_name_taken(&mut self, now: Duration, process: Incarnation, out: &mut Vec<NodeAction>) {
        if self.name_taken_notices.try_acquire(now) {
            out.push(NodeAction::Notice(format!(
                "no session: process {process} holds the name {} in the fleet until its session ends; end that process or give \
                 this gateway another name",
                self.gateway
            )));
        }
    }

    /// Acts on a state update of a replica.
    fn apply_update(&mut self, now: Duration, update: StateUpdate, out: &mut Vec<NodeAction>) {
        let own_index = self.version.list.index;
        let newer_departures = update.departures.iter().filter(|departure| departure.list_index > own_index);
        let newer_departures: Vec<DepartedEndpoint> = newer_departures.cloned().collect();
        if !newer_departures.is_empty() && newer_departures != self.last_update.departures {
            out.push(NodeAction::EndpointsDeparted(newer_departures));
        }
        if let Some(current) = update.current_list_index.filter(|current| *current > own_index) {
            if self.discovery_polls.try_acquire(now) {
                out.push(NodeAction::PollDiscovery { current });
            }
        }
        if let Some(required) = update.required_config.filter(|digest| *digest != self.version.config) {
            if self.config_reloads.try_acquire(now) {
                out.push(NodeAction::ReloadConfig { required });
            }
        }
        self.last_update = update;
    }

    /// Ends the session and sends no more requests. Notifies the chosen replica, if any, that the session is closed.
    pub(super) fn close(&mut self, out: &mut Vec<NodeAction>) {
        self.is_closed = true;
        let Some(session) = self.session.take() else { return };
        let Some(to) = self.replica.clone() else { return };
        out.push(NodeAction::Send { to, frame: Frame::CloseSession { session: session.id } });
    }
}
