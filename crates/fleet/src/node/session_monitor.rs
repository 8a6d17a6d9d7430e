//! Monitoring of all sessions at one replica: the leader proposes to expire sessions that were not renewed in time, and to fence
//! sessions that lag for too long.

use crate::consensus::ConsensusGroup;
use crate::lease::Lease;
use crate::settings::LagPolicy;
use crate::state_machine::{Command, SessionId, StateMachine};
use crate::version::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a proposal that was not committed is proposed again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// What this replica has observed of a session's renewals.
#[derive(Clone, Copy, Debug)]
struct ObservedSession {
    renewals: u64,
    /// Time at which the session's current renewal count was first observed.
    observed_at: Duration,
    /// Time at which the session's expiry was last proposed.
    proposed_at: Option<Duration>,
}

/// What this replica has observed of a lagging session.
#[derive(Clone, Copy, Debug)]
struct ObservedLag {
    lagging_since: Duration,
    /// Time at which a fence of the session was last proposed.
    proposed_at: Option<Duration>,
}

/// Monitor of all sessions at one replica.
#[derive(Clone, Debug)]
pub(super) struct SessionMonitor {
    lease: Lease,
    lag_policy: LagPolicy,
    observed_sessions: BTreeMap<SessionId, ObservedSession>,
    observed_lags: BTreeMap<SessionId, ObservedLag>,
    was_leader: bool,
}

impl SessionMonitor {
    pub(super) fn new(lease: Lease, lag_policy: LagPolicy) -> SessionMonitor {
        SessionMonitor {
            lease,
            lag_policy,
            observed_sessions: BTreeMap::new(),
            observed_lags: BTreeMap::new(),
            was_leader: false,
        }
    }

    /// Restarts the time without renewal, and the time of each lag, at `now`.
    ///
    /// After a pause, or while another replica led, renewals may have been committed unobserved. If the times were counted from before,
    /// sessions would expire that were renewed in time.
    pub(super) fn restart_timers(&mut self, now: Duration) {
        for observed in self.observed_sessions.values_mut() {
            observed.observed_at = now;
        }
        self.observed_lags.clear();
    }

    /// Observes all sessions; if this replica is the leader, proposes the expiries and fences that are due.
    pub(super) fn tick(&mut self, now: Duration, consensus: &mut ConsensusGroup) {
        self.observe_leadership(now, consensus);
        self.observe_sessions(now, consensus.state());
        let lagging = self.observe_lags(now, consensus.state());
        // Two replicas may both act as leader for a while. That is harmless: a command names the observed renewal count or version, and
        // a command has no effect if the session's count or version has changed.
        if self.was_leader {
            self.propose_expiries(now, consensus);
            self.propose_fences(now, &lagging, consensus);
        }
    }

    fn observe_leadership(&mut self, now: Duration, consensus: &ConsensusGroup) {
        let is_leader = consensus.is_leader();
        if is_leader && !self.was_leader {
            // Renewals that this replica observed while another replica led may have been observed late.
            self.restart_timers(now);
        }
        self.was_leader = is_leader;
    }

    fn observe_sessions(&mut self, now: Duration, state: &StateMachine) {
        self.observed_sessions.retain(|id, _| state.sessions().contains_key(id));
        for (id, session) in state.sessions() {
            let current = ObservedSession { renewals: session.renewals, observed_at: now, proposed_at: None };
            let observed = self.observed_sessions.entry(*id).or_insert(current);
            if observed.renewals != session.renewals {
                *observed = current;
            }
        }
    }

    /// Updates since when each session lags; returns the version that each lagging session lags with.
    fn observe_lags(&mut self, now: Duration, state: &StateMachine) -> BTreeMap<SessionId, Version> {
        let lagging: BTreeMap<SessionId, Version> =
            state.lagging_sessions().map(|lagging| (lagging.id, lagging.session.version.clone())).collect();
        self.observed_lags.retain(|id, _| lagging.contains_key(id));
        for id in lagging.keys() {
            self.observed_lags.entry(*id).or_insert(ObservedLag { lagging_since: now, proposed_at: None });
        }
        lagging
    }

    fn propose_expiries(&mut self, now: Duration, consensus: &mut ConsensusGroup) {
        for (id, observed) in &mut self.observed_sessions {
            let is_expired = now >= self.lease.grantor_expiry(observed.observed_at);
            if is_expired && is_proposal_due(now, observed.proposed_at) {
                observed.proposed_at = Some(now);
                consensus.propose(Command::ExpireSession { session: *id, renewals: observed.renewals });
            }
        }
    }

    fn propose_fences(
        &mut self,
        now: Duration,
        lagging: &BTreeMap<SessionId, Version>,
        consensus: &mut ConsensusGroup,
    ) {
        let mut capacity = consensus.state().fence_capacity();
        for (id, observed) in &mut self.observed_lags {
            let lags_too_long =
                now.saturating_sub(observed.lagging_since) >= self.lag_policy.max_lag_duration;
            if !lags_too_long || capacity == 0 || !is_proposal_due(now, observed.proposed_at) {
                continue;
            }
            let Some(version) = lagging.get(id) else { continue };
            capacity -= 1;
            observed.proposed_at = Some(now);
            consensus.propose(Command::FenceLagging { session: *id, version: version.clone() });
        }
    }
}

fn is_proposal_due(now: Duration, proposed_at: Option<Duration>) -> bool {
    proposed_at.is_none_or(|at| now.saturating_sub(at) >= PROPOSAL_RETRY_INTERVAL)
}
