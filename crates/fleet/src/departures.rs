//! Remote departures: endpoints that drain or were removed by other gateways' lists, which this gateway's own list does not show yet.

use crate::state_machine::DepartedEndpoint;
use std::collections::BTreeMap;

/// Maximum number of endpoints whose remote departure is retained.
const MAX_REMOTE_DEPARTURES: usize = 1024;

/// The departure of an endpoint that another gateway's list reports.
#[derive(Clone, Copy, Debug)]
struct RemoteDeparture {
    list_index: u64,
    /// Whether the endpoint was removed; otherwise the endpoint drains.
    removed: bool,
}

impl RemoteDeparture {
    /// Whether `other` adds nothing to this departure: this departure is from a newer list, or is a removal from the same list.
    fn supersedes(&self, other: &DepartedEndpoint) -> bool {
        self.list_index > other.list_index || (self.list_index == other.list_index && self.removed)
    }
}

/// Remote departures, by endpoint. Each departure applies until this gateway's own list is at least as new as the list that reported it.
#[derive(Clone, Debug, Default)]
pub struct RemoteDepartures {
    departures: BTreeMap<String, RemoteDeparture>,
}

impl RemoteDepartures {
    /// Records departures that other gateways report; `own_index` is the index of this gateway's list.
    ///
    /// Returns the endpoints that get no new requests from now on, although this gateway's list contains them.
    pub fn record_remote(&mut self, own_index: u64, reported: &[DepartedEndpoint]) -> Vec<String> {
        let mut newly_departed = Vec::new();
        for report in reported.iter().filter(|report| report.list_index > own_index) {
            match self.departures.get(&report.endpoint) {
                Some(known) if known.supersedes(report) => continue,
                Some(_) => {}
                None if self.departures.len() >= MAX_REMOTE_DEPARTURES => continue,
                None => newly_departed.push(report.endpoint.clone()),
            }
            let departure = RemoteDeparture { list_index: report.list_index, removed: report.removed };
            self.departures.insert(report.endpoint.clone(), departure);
        }
        newly_departed
    }

    /// Drops the departures that were reported by lists no newer than this gateway's, whose index is now `own_index`.
    pub fn record_own_list(&mut self, own_index: u64) {
        self.departures.retain(|_, departure| departure.list_index > own_index);
    }

    /// Whether an endpoint gets no new requests because of a remote departure, although this gateway's list contains the endpoint.
    pub fn overrides(&self, endpoint: &str) -> bool {
        !self.departures.is_empty() && self.departures.contains_key(endpoint)
    }

    /// Drops all departures, because this gateway's list has changed to another lineage.
    pub fn clear(&mut self) {
        self.departures.clear();
    }
}

#[cfg(test)]
mod tests;
