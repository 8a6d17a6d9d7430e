//! The list of endpoints as discovery sends it, and the faults that an entry may have.
//!
//! The field names of the protocol are mapped here and nowhere else: the private types of `wire` are converted into the types of
//! this module as soon as they are read.

use rustc_hash::FxHashSet;
use serde::Deserialize;
use std::net::SocketAddr;

/// Longest part of a name or an address that a fault repeats, in characters: a malformed one may be as long as a list.
const MAX_QUOTED_CHARS: usize = 64;

/// A list of endpoints, or a delta to the list before.
#[derive(Debug, Default, Deserialize)]
#[serde(from = "wire::List")]
pub struct EndpointList {
    /// Its index, which grows with each change; 0 where the list has none.
    pub index: u64,
    /// Whether it lists all endpoints: one that it lacks is removed. Otherwise it is a delta.
    pub is_snapshot: bool,
    /// The endpoints, or those that have changed.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint as discovery lists it.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// Its lasting name.
    pub name: String,
    /// Its address and port as seen from here; empty where a removed one has none.
    pub address: String,
    /// The name of its zone; empty where it is in none.
    pub zone: String,
    /// The name of its machine kind; empty where that is not known.
    pub kind: String,
    /// The number of its cell, where it is in one.
    pub cell: Option<u32>,
    /// Its state in the registry.
    pub status: ListedStatus,
    /// Its weight; 1 by default.
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub started_unix_ms: u64,
}

/// The state of an endpoint as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedStatus {
    /// It takes requests. This is the default.
    Active,
    /// It finishes the requests that it has.
    Draining,
    /// It has left the cluster.
    Removed,
    /// A state that this version does not know. Nothing new is sent to such an endpoint.
    Unknown,
}

/// What is wrong with a list that could be read. All but an outdated delta cost their entry only.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListFault {
    /// A delta older than the list in force. Applied, it would undo a drain that has been seen since.
    #[error(
        "delta of index {index} is older than the list in force, of index {current}, and ignored: a registry that has lost its \
         indexes must send a snapshot, or this gateway be restarted"
    )]
    Outdated {
        /// The delta's index.
        index: u64,
        /// The index of the list in force.
        current: u64,
    },
    /// An entry without a valid address. An endpoint that is known by another address keeps that.
    #[error(
        "entry {name:?}: {address:?} is no address and port, nothing is sent to it unless another is known: correct the entry in \
         the registry"
    )]
    InvalidAddress {
        /// The entry's name.
        name: String,
        /// What stands in place of the address.
        address: String,
    },
    /// A name that is listed twice. The last entry counts.
    #[error("entry {name:?} is listed twice, the last one counts")]
    Duplicate {
        /// The name that is listed twice.
        name: String,
    },
}

impl EndpointList {
    /// The first `limit` faults of the list, where the one in force has the index `current`.
    pub fn faults(&self, current: u64, limit: usize) -> Vec<ListFault> {
        if !self.is_snapshot && self.index < current {
            return vec![ListFault::Outdated { index: self.index, current }];
        }
        let mut names = FxHashSet::default();
        let faults = self.endpoints.iter().filter_map(|entry| {
            if !names.insert(&entry.name) {
                return Some(ListFault::Duplicate { name: shorten(&entry.name) });
            }
            entry.address_fault()
        });
        faults.take(limit).collect()
    }
}

impl ListedEndpoint {
    fn address_fault(&self) -> Option<ListFault> {
        if self.status == ListedStatus::Removed || self.address.parse::<SocketAddr>().is_ok() {
            return None;
        }
        Some(ListFault::InvalidAddress { name: shorten(&self.name), address: shorten(&self.address) })
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// The list in the words of the protocol.
mod wire {
    use serde::Deserialize;

    #[derive(Deserialize)]
    #[serde(rename = "EndpointList")]
    pub(super) struct List {
        #[serde(default)]
        index: u64,
        #[serde(default)]
        snapshot: bool,
        #[serde(default)]
        endpoints: Vec<Endpoint>,
    }

    #[derive(Deserialize)]
    #[serde(rename = "ListedEndpoint")]
    pub(super) struct Endpoint {
        name: String,
        #[serde(default)]
        address: String,
        #[serde(default)]
        zone: String,
        #[serde(default, rename = "type")]
        kind: String,
        #[serde(default)]
        group: Option<u32>,
        #[serde(default)]
        status: Status,
        #[serde(default = "default_weight")]
        weight: f64,
        #[serde(default)]
        since_ms: u64,
    }

    fn default_weight() -> f64 {
        1.0
    }

    #[derive(Default, Deserialize)]
    #[serde(rename = "ListedStatus", rename_all = "lowercase")]
    enum Status {
        #[default]
        Active,
        Leaving,
        Left,
        #[serde(other)]
        Unknown,
    }

    impl From<List> for super::EndpointList {
        fn from(list: List) -> super::EndpointList {
            super::EndpointList {
                index: list.index,
                is_snapshot: list.snapshot,
                endpoints: list.endpoints.into_iter().map(super::ListedEndpoint::from).collect(),
            }
        }
    }

    impl From<Endpoint> for super::ListedEndpoint {
        fn from(endpoint: Endpoint) -> super::ListedEndpoint {
            super::ListedEndpoint {
                name: endpoint.name,
                address: endpoint.address,
                zone: endpoint.zone,
                kind: endpoint.kind,
                cell: endpoint.group,
                status: match endpoint.status {
                    Status::Active => super::ListedStatus::Active,
                    Status::Leaving => super::ListedStatus::Draining,
                    Status::Left => super::ListedStatus::Removed,
                    Status::Unknown => super::ListedStatus::Unknown,
                },
                weight: endpoint.weight,
                started_unix_ms: endpoint.since_ms,
            }
        }
    }
}

#[cfg(test)]
mod tests;
