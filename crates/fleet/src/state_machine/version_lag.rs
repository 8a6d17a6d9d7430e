//! Replica lag: which list index is current, which sessions lag behind it, and how many of them may be fenced.

use super::{CommandOutcome, Session, SessionId, StateMachine};
use crate::version::{ListVersion, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Sessions that a fleet must have for one of them to be fenced, where the allowed fraction of them is less than one session.
const MIN_SESSIONS_TO_FENCE_ONE: u64 = 3;

/// Why a session is fenced.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FenceReason {
    /// An administrator fenced the gateway.
    Administrator,
    /// The gateway lagged for too long.
    Lagging(VersionLag),
}

/// What a gateway lags with.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VersionLag {
    /// Its endpoint list is too old.
    List {
        /// Index of its list.
        own: u64,
        /// Current index.
        current: u64,
    },
    /// Its configuration is not the required one.
    Config {
        /// Digest of its configuration.
        own: u64,
        /// Required digest.
        required: u64,
    },
    /// Its build is not the required one.
    Build {
        /// Build that it runs.
        own: String,
        /// Required build.
        required: String,
    },
}

impl fmt::Display for VersionLag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VersionLag::List { own, current } => write!(f, "list {own} where {current} is current"),
            VersionLag::Config { own, required } => {
                write!(f, "configuration {own:016x} where {required:016x} is required")
            }
            VersionLag::Build { own, required } => write!(f, "build {own} where {required} is required"),
        }
    }
}

impl fmt::Display for FenceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FenceReason::Administrator => write!(f, "shut out by staff"),
            FenceReason::Lagging(lag) => lag.fmt(f),
        }
    }
}

/// A session that lags and is not fenced.
pub struct LaggingSession<'a> {
    /// Its identifier.
    pub id: SessionId,
    /// State of the session.
    pub session: &'a Session,
    /// What it lags with.
    pub lag: VersionLag,
}

impl StateMachine {
    /// Current index of a lineage: the highest that more than half of its sessions have reached, or the required one if that is higher.
    ///
    /// A single process with a wrong list cannot raise it, unless it is alone on the lineage.
    pub fn current_list_index(&self, lineage: &str) -> Option<u64> {
        let mut indices: Vec<u64> = self
            .sessions
            .values()
            .filter(|session| session.version.list.lineage == lineage)
            .map(|session| session.version.list.index)
            .collect();
        indices.sort_unstable();
        // Of n sorted indices, more than half are at least the one at position (n - 1) / 2.
        let reached_by_majority = indices.len().checked_sub(1).map(|last| indices[last / 2]);
        reached_by_majority.max(self.required_list_index(lineage))
    }

    fn required_list_index(&self, lineage: &str) -> Option<u64> {
        let required = self.requirements.list.as_ref()?;
        (required.lineage == lineage).then_some(required.index)
    }

    /// What a gateway that acts on `version` lags with, if anything.
    pub fn lag_of(&self, version: &Version) -> Option<VersionLag> {
        self.list_lag(&version.list).or_else(|| self.config_lag(version)).or_else(|| self.build_lag(version))
    }

    fn list_lag(&self, list: &ListVersion) -> Option<VersionLag> {
        let current = self.current_list_index(&list.lineage)?;
        // A required index has to be reached exactly; behind the majority, the allowed distance applies.
        let below_required =
            self.required_list_index(&list.lineage).is_some_and(|required| list.index < required);
        let too_far_behind = list.index.saturating_add(self.max_list_lag) <= current;
        (below_required || too_far_behind).then_some(VersionLag::List { own: list.index, current })
    }

    fn config_lag(&self, version: &Version) -> Option<VersionLag> {
        let required = self.requirements.config.filter(|required| *required != version.config)?;
        Some(VersionLag::Config { own: version.config, required })
    }

    fn build_lag(&self, version: &Version) -> Option<VersionLag> {
        let required = self.requirements.build.as_ref().filter(|required| **required != version.build)?;
        Some(VersionLag::Build { own: version.build.clone(), required: required.clone() })
    }

    /// How many more sessions may be fenced for lagging.
    ///
    /// Sessions fenced by administrators count as well: without the limit, a bad requirement could fence the whole fleet.
    pub fn fence_capacity(&self) -> usize {
        let session_count = self.sessions.len() as u64;
        let fenced_count =
            self.sessions.values().filter(|session| session.fence_reason.is_some()).count() as u64;
        let may_fence_one = self.max_fenced_permille > 0 && session_count >= MIN_SESSIONS_TO_FENCE_ONE;
        let minimum = if may_fence_one { 1 } else { 0 };
        let max_fenced = (session_count * self.max_fenced_permille / 1000).max(minimum);
        max_fenced.saturating_sub(fenced_count) as usize
    }

    /// Sessions that lag and are not fenced yet, by identifier.
    pub fn lagging_sessions(&self) -> impl Iterator<Item = LaggingSession<'_>> {
        self.sessions.iter().filter(|(_, session)| session.fence_reason.is_none()).filter_map(
            |(id, session)| {
                let lag = self.lag_of(&session.version)?;
                Some(LaggingSession { id: *id, session, lag })
            },
        )
    }

    pub(super) fn fence_lagging(&mut self, id: SessionId, version: &Version) -> CommandOutcome {
        let Some(session) = self.sessions.get(&id) else { return CommandOutcome::Obsolete };
        if session.version != *version || session.fence_reason.is_some() {
            return CommandOutcome::Obsolete;
        }
        let Some(lag) = self.lag_of(version) else { return CommandOutcome::Obsolete };
        if self.fence_capacity() == 0 {
            return CommandOutcome::FenceLimitReached;
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.fence_reason = Some(FenceReason::Lagging(lag));
        }
        CommandOutcome::Applied
    }

    /// Ends the fences of sessions that no longer lag.
    pub(super) fn unfence_caught_up(&mut self) {
        let caught_up: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| matches!(session.fence_reason, Some(FenceReason::Lagging(_))))
            .filter(|(_, session)| self.lag_of(&session.version).is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in caught_up {
            if let Some(session) = self.sessions.get_mut(&id) {
                session.fence_reason = None;
            }
        }
    }
}
