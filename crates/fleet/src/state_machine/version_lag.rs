//! Version lag: which list index is current, which sessions lag behind it or behind a requirement, and how many sessions may be fenced.

use super::{CommandOutcome, Session, SessionId, StateMachine};
use crate::version::{ListVersion, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Minimum number of sessions at which one session may be fenced although the allowed fraction amounts to less than one session.
const MIN_SESSIONS_TO_FENCE_ONE: u64 = 3;

/// Why a session is fenced.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FenceReason {
    /// An administrator fenced the gateway.
    Administrator,
    /// The gateway lagged for too long.
    Lagging(VersionLag),
}

/// The version with which a gateway lags, and the version that it should have.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VersionLag {
    /// The gateway's endpoint list is too old.
    List {
        /// Index of the gateway's endpoint list.
        own: u64,
        /// Current index of the list's lineage.
        current: u64,
    },
    /// The gateway's configuration is not the required one.
    Config {
        /// Digest of the gateway's configuration.
        own: u64,
        /// Digest of the required configuration.
        required: u64,
    },
    /// The gateway's build is not the required one.
    Build {
        /// Identifier of the build that the gateway runs.
        own: String,
        /// Identifier of the required build.
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
    /// Identifier of the session.
    pub id: SessionId,
    /// State of the session.
    pub session: &'a Session,
    /// The version with which the session's gateway lags.
    pub lag: VersionLag,
}

impl StateMachine {
    /// Current list index of a lineage: the highest index that more than half of the lineage's sessions have reached, or the index that is
    /// required of the lineage, whichever is higher.
    ///
    /// A single process with a wrong list cannot raise the current index, unless no other session has a list of that lineage.
    pub fn current_list_index(&self, lineage: &str) -> Option<u64> {
        let mut indices: Vec<u64> = self
            .sessions
            .values()
            .filter(|session| session.version.list.lineage == lineage)
            .map(|session| session.version.list.index)
            .collect();
        indices.sort_unstable();
        // Of n sorted indices, more than half are at least as high as the index at position (n - 1) / 2.
        let reached_by_majority = indices.len().checked_sub(1).map(|last| indices[last / 2]);
        reached_by_majority.max(self.required_list_index(lineage))
    }

    fn required_list_index(&self, lineage: &str) -> Option<u64> {
        let required = self.requirements.list.as_ref()?;
        (required.lineage == lineage).then_some(required.index)
    }

    /// The lag of a gateway that acts on `version`; `None` if it does not lag.
    pub fn lag_of(&self, version: &Version) -> Option<VersionLag> {
        self.list_lag(&version.list).or_else(|| self.config_lag(version)).or_else(|| self.build_lag(version))
    }

    fn list_lag(&self, list: &ListVersion) -> Option<VersionLag> {
        let current = self.current_list_index(&list.lineage)?;
        // The policy's allowed lag applies to the majority's index only: a list below the required index always lags.
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

    /// Number of further sessions that may be fenced for lagging.
    ///
    /// Sessions that administrators fenced count towards the limit. Without a limit, a bad requirement could fence the whole fleet.
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

    /// Unfences sessions that were fenced for lagging and no longer lag.
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
