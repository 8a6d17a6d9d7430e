//! Who is current, who is behind, and who may be shut out.

use super::{CommandOutcome, Session, SessionId, StateMachine};
use crate::version::{ListVersion, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why a gateway is shut out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FenceReason {
    /// Staff have said so.
    Administrator,
    /// It stayed behind.
    Lagging(ReplicaLag),
}

/// What a gateway is behind with.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaLag {
    /// Its list of hosts is too old.
    List {
        /// What it has.
        own: u64,
        /// What is current.
        current: u64,
    },
    /// Its configuration is not the one that staff require.
    Config {
        /// What it has.
        own: u64,
        /// What is required.
        required: u64,
    },
    /// Its build is not the one that staff require.
    Build {
        /// What it is.
        own: String,
        /// What is required.
        required: String,
    },
}

impl fmt::Display for ReplicaLag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplicaLag::List { own, current } => write!(f, "list {own} where {current} is current"),
            ReplicaLag::Config { own, required } => {
                write!(f, "configuration {own:016x} where {required:016x} is required")
            }
            ReplicaLag::Build { own, required } => write!(f, "build {own} where {required} is required"),
        }
    }
}

impl fmt::Display for FenceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FenceReason::Administrator => write!(f, "shut out by staff"),
            FenceReason::Lagging(behind) => behind.fmt(f),
        }
    }
}

impl StateMachine {
    /// The index that is current in a lineage: the highest that more than half of the sessions on it have reached, or what staff
    /// require where that is higher. One process alone never sets it, unless it is alone on the lineage.
    pub fn current_list_index(&self, lineage: &str) -> Option<u64> {
        let mut reached: Vec<u64> = self
            .sessions
            .values()
            .filter(|s| s.version.list.lineage == lineage)
            .map(|s| s.version.list.index)
            .collect();
        reached.sort_unstable();
        // Of n, the one at (n - 1) / 2 from below is reached by more than half.
        let common = (!reached.is_empty()).then(|| reached[(reached.len() - 1) / 2]);
        let required = self.required.list.as_ref().filter(|l| l.lineage == lineage).map(|l| l.index);
        common.max(required)
    }

    /// What a gateway that acts on this is behind with, if anything.
    pub fn lag_of(&self, version: &Version) -> Option<ReplicaLag> {
        let ListVersion { lineage, index } = &version.list;
        let required = self.required.list.as_ref().filter(|l| l.lineage == *lineage).map(|l| l.index);
        if let Some(current) = self.current_list_index(lineage) {
            // What staff require holds to the number; what the others have reached, with the allowed distance.
            if required.is_some_and(|r| *index < r) || index.saturating_add(self.behind) <= current {
                return Some(ReplicaLag::List { own: *index, current });
            }
        }
        if let Some(required) = self.required.config.filter(|r| *r != version.config) {
            return Some(ReplicaLag::Config { own: version.config, required });
        }
        let required = self.required.build.as_ref().filter(|r| **r != version.build)?;
        Some(ReplicaLag::Build { own: version.build.clone(), required: required.clone() })
    }

    /// How many more may be shut out for lagging. Those whom staff hold out count as out: the fleet lacks them as well.
    pub fn fence_capacity(&self) -> usize {
        let all = self.sessions.len() as u64;
        let out = self.sessions.values().filter(|s| s.fence_reason.is_some()).count() as u64;
        // Of a small fleet one may be, as long as more than half of it is left.
        let most = (all * self.most_out / 1000).max(u64::from(self.most_out > 0 && all >= 3));
        most.saturating_sub(out) as usize
    }

    /// Those that are behind and not shut out yet.
    pub fn lagging_sessions(&self) -> impl Iterator<Item = (SessionId, &Session, ReplicaLag)> {
        let lagging = |(id, s): (&SessionId, _)| -> Option<(SessionId, &Session, ReplicaLag)> {
            let s: &Session = s;
            Some((*id, s, self.lag_of(&s.version)?))
        };
        self.sessions.iter().filter(|(_, s)| s.fence_reason.is_none()).filter_map(lagging)
    }

    pub(super) fn shut_out(&mut self, id: SessionId, version: &Version) -> CommandOutcome {
        let Some(session) = self.sessions.get(&id) else { return CommandOutcome::Obsolete };
        if session.version != *version || session.fence_reason.is_some() {
            return CommandOutcome::Obsolete;
        }
        let Some(behind) = self.lag_of(version) else { return CommandOutcome::Obsolete };
        if self.fence_capacity() == 0 {
            return CommandOutcome::FenceLimitReached;
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.fence_reason = Some(FenceReason::Lagging(behind));
        }
        CommandOutcome::Applied
    }

    /// Lets in again who is no longer behind.
    pub(super) fn let_in(&mut self) {
        let current: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, s)| {
                matches!(s.fence_reason, Some(FenceReason::Lagging(_))) && self.lag_of(&s.version).is_none()
            })
            .map(|(id, _)| *id)
            .collect();
        for id in current {
            if let Some(session) = self.sessions.get_mut(&id) {
                session.fence_reason = None;
            }
        }
    }
}
