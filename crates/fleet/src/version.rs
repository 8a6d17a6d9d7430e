//! Identities of processes and versions of the state that a gateway acts on.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Name of a gateway, as given in the operator's file.
pub type GatewayName = String;

/// Number that identifies one process among all that have ever had its gateway's name.
///
/// An incarnation expresses no order of start times, because wall clocks may be set back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Version of an endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListVersion {
    /// Origin of the list index. Indices of different lineages cannot be compared.
    pub lineage: String,
    /// Discovery index of the list.
    pub index: u64,
}

/// Versions of everything that a decision of a gateway depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Version of the endpoint list.
    pub list: ListVersion,
    /// Digest of the platform's configuration of the site, without the parts that differ from gateway to gateway.
    pub config: u64,
    /// Number of configurations that this process has applied, starting at 1.
    pub generation: u64,
    /// Digest of the operator's file.
    pub operator: u64,
    /// Build identifier of the program.
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

/// Starting value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a digest, the same in every process and build. The digest detects differences and accidental damage; it is not cryptographic.
pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
