//! Configurations of a consensus group: which processes of which gateways vote.

use crate::version::{digest, GatewayName, Incarnation};
use omnipaxos::ClusterConfig;
use serde::{Deserialize, Serialize};

/// A voting member: a gateway's name together with one process of that gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// Name of the gateway.
    pub name: GatewayName,
    /// Process of the gateway, which is the one that votes.
    pub process: Incarnation,
}

/// One configuration of a consensus group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupConfig {
    /// Identifier of the group: a digest of the replicas that founded the group.
    pub group_id: u64,
    /// Generation number of the configuration, starting at 1.
    pub generation: u32,
    /// Voting members, ordered by name.
    pub replicas: Vec<Replica>,
}

/// Identifier of a configuration: its consensus group and its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigTag {
    /// Identifier of the consensus group.
    pub group_id: u64,
    /// Generation number of the configuration.
    pub generation: u32,
}

impl GroupConfig {
    /// First configuration of a new consensus group.
    pub(super) fn founding(replicas: Vec<Replica>) -> GroupConfig {
        // Replicas of other builds have to compute the same digest, so the digested text keeps the names of version 0.2.0.
        let describe_replica = |replica: &Replica| {
            format!("Seat {{ name: {:?}, process: {:?} }}", replica.name, replica.process)
        };
        let digested_text = replicas.iter().map(describe_replica).collect::<Vec<_>>().join(", ");
        let group_id = digest(format!("[{digested_text}]").as_bytes());
        GroupConfig { group_id, generation: 1, replicas }
    }

    /// Configuration of the same group with the next generation number.
    pub(super) fn successor(&self, replicas: Vec<Replica>) -> GroupConfig {
        GroupConfig { group_id: self.group_id, generation: self.generation + 1, replicas }
    }

    pub(super) fn tag(&self) -> ConfigTag {
        ConfigTag { group_id: self.group_id, generation: self.generation }
    }

    /// Whether the process `process` of the gateway `name` votes in this configuration.
    pub(super) fn contains(&self, name: &str, process: Incarnation) -> bool {
        self.replicas.iter().any(|replica| replica.name == name && replica.process == process)
    }

    /// Identifier of a gateway in the consensus library, counted from 1: the library reserves 0.
    pub(super) fn library_id(&self, name: &str) -> Option<u64> {
        self.replicas.iter().position(|replica| replica.name == name).map(|index| index as u64 + 1)
    }

    /// Replica with this identifier in the consensus library.
    pub(super) fn replica_by_library_id(&self, id: u64) -> Option<&Replica> {
        let index = (id as usize).checked_sub(1)?;
        self.replicas.get(index)
    }

    pub(super) fn cluster_config(&self) -> ClusterConfig {
        ClusterConfig {
            configuration_id: self.generation,
            nodes: (1..=self.replicas.len() as u64).collect(),
            flexible_quorum: None,
        }
    }
}
