//! The list of hosts, as discovery writes it.

use rustc_hash::FxHashSet;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// A list of hosts, or the changes since the one before.
#[derive(Debug, Default, Deserialize)]
pub struct EndpointList {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// Whether it is whole: a host that it lacks is gone.
    #[serde(default, rename = "snapshot")]
    pub is_snapshot: bool,
    /// The hosts.
    #[serde(default)]
    pub endpoints: Vec<ListedEndpoint>,
}

/// A host as discovery lists it.
#[derive(Debug, Deserialize)]
pub struct ListedEndpoint {
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
    /// Its cell, where it is in one.
    #[serde(default)]
    pub group: Option<u32>,
    /// Its state.
    #[serde(default)]
    pub status: ListedStatus,
    /// Its weight.
    #[serde(default = "one")]
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default, rename = "since_ms")]
    pub started_unix_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// The state of a host.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ListedStatus {
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

/// What is wrong with a list that could be read. All but an old one costs its entry only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// Changes older than the list held: a drain heard of since would be undone.
    Outdated {
        /// Its version.
        index: u64,
        /// That of the list held.
        held: u64,
    },
    /// An entry whose address is none; a host known by another address keeps that.
    Address {
        /// Whose.
        name: String,
        /// What stands there.
        address: String,
    },
    /// A name that stands there twice; the last one counts.
    Duplicate {
        /// Which.
        name: String,
    },
}

impl fmt::Display for ListFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListFault::Outdated { index, held } => {
                write!(f, "changes of version {index} after version {held}: passed over, the list held stays; a register that has \
                 lost its versions must send a whole list, or this gateway be started anew")
            }
            ListFault::Address { name, address } => write!(
                f,
                "entry {name:?}: {address:?} is no address and port: it is sent nothing unless another is known; \
                 mend the entry in the register"
            ),
            ListFault::Duplicate { name } => write!(f, "entry {name:?} stands there twice: the last one counts"),
        }
    }
}

/// The longest part of a name or an address that is told: what is wrong may be as long as a list.
const TOLD: usize = 64;

fn told(text: &str) -> String {
    text.chars().take(TOLD).collect()
}

impl EndpointList {
    /// What is wrong with it where version `held` is in force, at most `most` faults.
    pub fn faults(&self, held: u64, most: usize) -> Vec<ListFault> {
        if !self.is_snapshot && self.index < held {
            return vec![ListFault::Outdated { index: self.index, held }];
        }
        let mut names = FxHashSet::default();
        let faults = self.endpoints.iter().filter_map(|e| {
            if !names.insert(&e.name) {
                return Some(ListFault::Duplicate { name: told(&e.name) });
            }
            let wrong = e.status != ListedStatus::Left && e.address.parse::<SocketAddr>().is_err();
            wrong.then(|| ListFault::Address { name: told(&e.name), address: told(&e.address) })
        });
        faults.take(most).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn list(text: &str) -> EndpointList {
        serde_json::from_str(text).expect("a list")
    }

    #[test]
    fn each_fault_is_told_with_its_entry_and_a_good_list_has_none() {
        let good =
            r#"{"index":4,"endpoints":[{"name":"a","address":"127.0.0.1:1"},{"name":"b","status":"left"}]}"#;
        assert_eq!(list(good).faults(4, 9), []);
        assert_eq!(list(good).faults(5, 9), [ListFault::Outdated { index: 4, held: 5 }]);
        let whole = good.replace("\"index\":4", "\"index\":4,\"snapshot\":true");
        assert_eq!(list(&whole).faults(5, 9), [], "a register that lost its versions tells all it has");
        let bad = r#"{"endpoints":[{"name":"a","address":"here"},{"name":"c","address":"127.0.0.1:1"},{"name":"c"}]}"#;
        let faults = list(bad).faults(0, 9);
        assert_eq!(faults.len(), 2, "{faults:?}");
        assert!(faults[0].to_string().contains("\"a\"") && faults[1].to_string().contains("twice"));
    }

    proptest! {
        #[test]
        fn no_list_makes_it_panic_and_no_more_is_told_than_asked(
            index in any::<u64>(), held in any::<u64>(), snapshot in any::<bool>(),
            entries in prop::collection::vec(("[ab]{0,2}", ".{0,400}"), 0..12),
        ) {
            let entry = |(name, address): (String, String)| {
                let known = serde_json::json!({ "name": name, "address": address });
                serde_json::from_value::<ListedEndpoint>(known).expect("an entry")
            };
            let endpoints = entries.into_iter().map(entry).collect();
            let list = EndpointList { index, is_snapshot: snapshot, endpoints };
            let faults = list.faults(held, 3);
            prop_assert!(faults.len() <= 3 && faults.iter().all(|f| f.to_string().len() < 2000));
        }
    }
}
