//! Endpoints that drain or were removed, as reported by the gateway that received the newest endpoint list.

use super::{CommandOutcome, StateMachine};
use crate::version::{GatewayName, ListVersion};
use serde::{Deserialize, Serialize};

/// Maximum number of departures that are retained; the departures that were recorded first are dropped first.
const MAX_DEPARTURES: usize = 1024;

/// Key of a departure. Departures are ordered by lineage, then by endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) struct DepartureKey {
    lineage: String,
    endpoint: String,
}

/// How far an endpoint has departed; a removal is greater than a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DepartureKind {
    /// The endpoint drains and gets no new requests.
    Draining,
    /// The endpoint is no longer in the list.
    Removed,
}

impl From<bool> for DepartureKind {
    /// Converts the `removed` flag of a command or frame.
    fn from(removed: bool) -> DepartureKind {
        if removed {
            DepartureKind::Removed
        } else {
            DepartureKind::Draining
        }
    }
}

/// State of an endpoint that drains or was removed, as replicated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// Index of the endpoint list that reports the departure.
    pub list_index: u64,
    /// Whether the endpoint was removed; otherwise the endpoint drains.
    pub removed: bool,
    /// Gateway that received the endpoint list.
    pub reported_by: GatewayName,
    /// Log index at which the departure was recorded.
    pub log_index: u64,
}

/// An endpoint that drains or was removed, as sent to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedEndpoint {
    /// Name of the endpoint. Its address is not sent, because it may differ from gateway to gateway.
    pub endpoint: String,
    /// Whether the endpoint was removed; otherwise the endpoint drains.
    pub removed: bool,
    /// Index of the endpoint list that reports the departure.
    pub list_index: u64,
    /// Gateway that received the endpoint list.
    pub reported_by: GatewayName,
}

impl StateMachine {
    /// Departures that lists of the same lineage newer than `list` report, by endpoint name.
    pub fn departures_since<'a>(
        &'a self,
        list: &'a ListVersion,
    ) -> impl Iterator<Item = (&'a str, &'a Departure)> + 'a {
        let first_of_lineage = DepartureKey { lineage: list.lineage.clone(), endpoint: String::new() };
        self.departures
            .range(first_of_lineage..)
            .take_while(|(key, _)| key.lineage == list.lineage)
            .filter(|(_, departure)| departure.list_index > list.index)
            .map(|(key, departure)| (key.endpoint.as_str(), departure))
    }

    /// Whether a departure of at least this kind is recorded already, from the same list, or any departure from a newer list.
    pub fn has_departure(&self, list: &ListVersion, endpoint: &str, kind: DepartureKind) -> bool {
        let key = DepartureKey { lineage: list.lineage.clone(), endpoint: endpoint.to_owned() };
        let Some(known) = self.departures.get(&key) else { return false };
        let is_newer = known.list_index > list.index;
        let is_same_list = known.list_index == list.index;
        is_newer || (is_same_list && DepartureKind::from(known.removed) >= kind)
    }

    pub(super) fn record_departures(
        &mut self,
        list: &ListVersion,
        endpoints: &[(String, bool)],
        reported_by: &GatewayName,
    ) -> CommandOutcome {
        let mut outcome = CommandOutcome::Obsolete;
        for (endpoint, removed) in endpoints {
            if self.has_departure(list, endpoint, DepartureKind::from(*removed)) {
                continue;
            }
            let departure = Departure {
                list_index: list.index,
                removed: *removed,
                reported_by: reported_by.clone(),
                log_index: self.log_index,
            };
            let key = DepartureKey { lineage: list.lineage.clone(), endpoint: endpoint.clone() };
            self.departures.insert(key, departure);
            outcome = CommandOutcome::Applied;
        }
        self.drop_oldest_departures();
        outcome
    }

    fn drop_oldest_departures(&mut self) {
        while self.departures.len() > MAX_DEPARTURES {
            let oldest = self.departures.iter().min_by_key(|(_, departure)| departure.log_index);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else { return };
            self.departures.remove(&key);
        }
    }
}
