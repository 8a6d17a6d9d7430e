//! The endpoint list as discovery sends it, and the faults that its entries may have.
//!
//! Only this module maps the field names of the discovery protocol.
//! The private types of `wire` are converted into the public types of this module while a list is parsed.

use rustc_hash::FxHashSet;
use serde::Deserialize;
use std::net::SocketAddr;

/// Maximum length of a name or an address in the message of a fault, in characters: a malformed name may be as long as a whole list.
const MAX_QUOTED_CHARS: usize = 64;

/// A snapshot of the endpoint list, or a delta to the list in force.
#[derive(Debug, Default, Deserialize)]
#[serde(from = "wire::List")]
pub struct EndpointList {
    /// The index of the list, which grows with each change; 0 if the list has no index.
    pub index: u64,
    /// Whether the list is a snapshot, from which a missing endpoint has been removed. Otherwise the list is a delta.
    pub is_snapshot: bool,
    /// All endpoints in a snapshot, or only the changed endpoints in a delta.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint as discovery lists it.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// The endpoint's name, which stays the same when its address changes.
    pub name: String,
    /// The endpoint's address and port as seen from this gateway; may be empty for a removed endpoint.
    pub address: String,
    /// The name of the endpoint's zone; empty if it is in no zone.
    pub zone: String,
    /// The name of the endpoint's machine kind; empty if the kind is unknown.
    pub kind: String,
    /// The number of the endpoint's cell, if it is in a cell.
    pub cell: Option<u32>,
    /// The endpoint's state in discovery.
    pub status: ListedStatus,
    /// The endpoint's weight; 1 by default.
    pub weight: f64,
    /// When the endpoint last started, in milliseconds since the Unix epoch; 0 for long ago.
    pub started_unix_ms: u64,
}

/// The state of an endpoint as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedStatus {
    /// The endpoint accepts requests. This is the default.
    Active,
    /// The endpoint finishes the requests that it has, and gets no new ones.
    Draining,
    /// The endpoint has been removed from the cluster.
    Removed,
    /// A state that this version of the gateway does not know. No new requests are sent to such an endpoint.
    Unknown,
}

/// A fault of a list that could be parsed. An outdated delta is ignored as a whole; every other fault affects only its entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListFault {
    /// A delta older than the list in force. If applied, an outdated delta would undo a drain that has been received since.
    #[error(
        "ignoring a delta with index {index}, which is older than the list in force with index {current}: if discovery has lost its \
         indexes, it must send a snapshot, or this gateway must be restarted"
    )]
    Outdated {
        /// The delta's index.
        index: u64,
        /// The index of the list in force.
        current: u64,
    },
    /// An entry without a valid address. An endpoint that already has a valid address keeps that address.
    #[error(
        "entry {name:?}: {address:?} is not a valid address and port, the endpoint gets no requests unless an earlier address is \
         known: correct the entry in discovery"
    )]
    InvalidAddress {
        /// The entry's name.
        name: String,
        /// The invalid text in place of the entry's address.
        address: String,
    },
    /// A name that is listed twice. The last entry with the name is used.
    #[error("entry {name:?} is listed twice, using the last one")]
    Duplicate {
        /// The name that is listed twice.
        name: String,
    },
}

impl EndpointList {
    /// The first `limit` faults of this list; `current` is the index of the list in force.
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

/// The endpoint list with the field names of the discovery protocol.
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
