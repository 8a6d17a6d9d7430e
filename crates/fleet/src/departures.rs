//! What other gateways' lists say of hosts that this gateway's own list still names.

use crate::state_machine::DepartedEndpoint;
use std::collections::BTreeMap;

/// The most hosts that others' word is kept of.
const MOST: usize = 1024;

/// Others' word. It counts against a host until the own list is at least as new.
#[derive(Clone, Debug, Default)]
pub struct RemoteDepartures {
    told: BTreeMap<String, (u64, bool)>,
}

impl RemoteDepartures {
    /// Others say so; gives the hosts that the own list, of this index, is overruled on from now on.
    pub fn record_remote(&mut self, own: u64, gone: &[DepartedEndpoint]) -> Vec<String> {
        let mut overruled = Vec::new();
        for said in gone.iter().filter(|g| g.list_index > own) {
            let known = self.told.get(&said.endpoint);
            if known
                .is_some_and(|(index, gone)| *index > said.list_index || (*index == said.list_index && *gone))
            {
                continue;
            }
            if known.is_none() && self.told.len() >= MOST {
                continue;
            }
            if known.is_none() {
                overruled.push(said.endpoint.clone());
            }
            self.told.insert(said.endpoint.clone(), (said.list_index, said.removed));
        }
        overruled
    }

    /// The own list has come to this index: what it knows by itself needs nobody's word.
    pub fn record_own_list(&mut self, own: u64) {
        self.told.retain(|_, (index, _)| *index > own);
    }

    /// Whether nothing new may go to a host that the own list names as taking work.
    pub fn overrides(&self, host: &str) -> bool {
        !self.told.is_empty() && self.told.contains_key(host)
    }

    /// Its own list begins anew, at another register.
    pub fn clear(&mut self) {
        self.told.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn gone(host: &str, index: u64, gone: bool) -> DepartedEndpoint {
        DepartedEndpoint { endpoint: host.into(), removed: gone, list_index: index, reported_by: "g1".into() }
    }

    #[test]
    fn others_word_counts_until_the_own_list_is_as_new() {
        let mut departures = RemoteDepartures::default();
        assert!(departures.record_remote(10, &[gone("n1", 10, true)]).is_empty(), "the own list is as new");
        assert_eq!(
            departures.record_remote(10, &[gone("n1", 12, false), gone("n2", 13, true)]),
            ["n1", "n2"]
        );
        assert!(departures.record_remote(10, &[gone("n1", 12, false)]).is_empty(), "known already");
        assert!(departures.overrides("n1") && !departures.overrides("n3"));
        departures.record_own_list(12);
        assert!(!departures.overrides("n1") && departures.overrides("n2"));
        departures.clear();
        assert!(!departures.overrides("n2"));
    }

    proptest! {
        #[test]
        fn it_is_bounded_and_never_overrules_a_newer_list(told in prop::collection::vec((0u32..3000, 0u64..50, any::<bool>()), 0..3000), own in 0u64..50) {
            let mut departures = RemoteDepartures::default();
            let said: Vec<DepartedEndpoint> = told.iter().map(|(host, index, g)| gone(&host.to_string(), *index, *g)).collect();
            departures.record_remote(0, &said);
            departures.record_own_list(own);
            prop_assert!(departures.told.len() <= MOST);
            for host in departures.told.keys() {
                prop_assert!(said.iter().any(|s| s.endpoint == *host && s.list_index > own));
            }
        }
    }
}
