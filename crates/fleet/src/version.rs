//! What a gateway acts on.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The name of a gateway, as the operator's file has it.
pub type GatewayName = String;

/// Tells a process from all that ever had its name. Not ordered: wall clocks may be set back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A list of hosts: whose, and which of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListVersion {
    /// Whose numbers these are: indices of two registers can't be compared.
    pub lineage: String,
    /// The list's index.
    pub index: u64,
}

/// All that a decision rests on.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The list of hosts.
    pub list: ListVersion,
    /// What the platform's configuration says of the whole site, as a digest: what differs from gateway to gateway is left out.
    pub config: u64,
    /// How often this process has taken a configuration, from 1.
    pub generation: u64,
    /// The operator's file, as a digest.
    pub operator: u64,
    /// The program's build.
    pub build: String,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "list {} of {}, configuration {:016x} ({}), operator's file {:016x}, build {}",
            self.list.index, self.list.lineage, self.config, self.generation, self.operator, self.build
        )
    }
}

/// A digest that is the same in every process and build (FNV-1a): it tells two texts apart, and proves nothing about who wrote them.
pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}
