//! What other gateways' lists say of hosts that this gateway's own list still names.

use crate::wire::Gone;
use std::collections::BTreeMap;

/// The most hosts that others' word is kept of.
const MOST: usize = 1024;

/// Others' word. It counts against a host until the own list is at least as new.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    told: BTreeMap<String, (u64, bool)>,
}

impl Departures {
    /// Others say so; gives the hosts that the own list, of this index, is overruled on from now on.
    pub fn told(&mut self, own: u64, gone: &[Gone]) -> Vec<String> {
        let mut overruled = Vec::new();
        for said in gone.iter().filter(|g| g.index > own) {
            let known = self.told.get(&said.host);
            if known.is_some_and(|(index, gone)| *index > said.index || (*index == said.index && *gone)) {
                continue;
            }
            if known.is_none() && self.told.len() >= MOST {
                continue;
            }
            if known.is_none() {
                overruled.push(said.host.clone());
            }
            self.told.insert(said.host.clone(), (said.index, said.gone));
        }
        overruled
    }

    /// The own list has come to this index: what it knows by itself needs nobody's word.
    pub fn listed(&mut self, own: u64) {
        self.told.retain(|_, (index, _)| *index > own);
    }

    /// Whether nothing new may go to a host that the own list names as taking work.
    pub fn overrules(&self, host: &str) -> bool {
        !self.told.is_empty() && self.told.contains_key(host)
    }

    /// Its own list begins anew, at another register.
    pub fn forget(&mut self) {
        self.told.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn gone(host: &str, index: u64, gone: bool) -> Gone {
        Gone { host: host.into(), gone, index, by: "g1".into() }
    }

    #[test]
    fn others_word_counts_until_the_own_list_is_as_new() {
        let mut departures = Departures::default();
        assert!(departures.told(10, &[gone("n1", 10, true)]).is_empty(), "the own list is as new");
        assert_eq!(departures.told(10, &[gone("n1", 12, false), gone("n2", 13, true)]), ["n1", "n2"]);
        assert!(departures.told(10, &[gone("n1", 12, false)]).is_empty(), "known already");
        assert!(departures.overrules("n1") && !departures.overrules("n3"));
        departures.listed(12);
        assert!(!departures.overrules("n1") && departures.overrules("n2"));
        departures.forget();
        assert!(!departures.overrules("n2"));
    }

    proptest! {
        #[test]
        fn it_is_bounded_and_never_overrules_a_newer_list(told in prop::collection::vec((0u32..3000, 0u64..50, any::<bool>()), 0..3000), own in 0u64..50) {
            let mut departures = Departures::default();
            let said: Vec<Gone> = told.iter().map(|(host, index, g)| gone(&host.to_string(), *index, *g)).collect();
            departures.told(0, &said);
            departures.listed(own);
            prop_assert!(departures.told.len() <= MOST);
            for host in departures.told.keys() {
                prop_assert!(said.iter().any(|s| s.host == *host && s.index > own));
            }
        }
    }
}
