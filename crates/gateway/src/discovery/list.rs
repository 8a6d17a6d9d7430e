//! The list of hosts, as discovery writes it.

use serde::Deserialize;

/// A list of hosts, or the changes since the one before.
#[derive(Debug, Default, Deserialize)]
pub struct List {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// Whether it is whole: a host that it lacks is gone.
    #[serde(default)]
    pub snapshot: bool,
    /// The hosts.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// A host as discovery lists it.
#[derive(Debug, Deserialize)]
pub struct Endpoint {
    /// Its lasting name.
    pub name: String,
    /// Where it listens, as seen from here; one that has left may have none.
    #[serde(default)]
    pub address: String,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// Its machine kind's name.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub group: u32,
    /// Its state.
    #[serde(default)]
    pub status: Status,
    /// Its weight.
    #[serde(default = "one")]
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// The state of a host.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Takes work.
    #[default]
    Active,
    /// Finishes what it has.
    Leaving,
    /// Gone.
    Left,
    /// A state of which nothing is known: better sent nothing.
    #[serde(other)]
    Unknown,
}
