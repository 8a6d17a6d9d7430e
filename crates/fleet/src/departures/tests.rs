use super::*;
use proptest::prelude::*;

fn departed(endpoint: &str, list_index: u64, removed: bool) -> DepartedEndpoint {
    DepartedEndpoint { endpoint: endpoint.into(), removed, list_index, reported_by: "g1".into() }
}

#[test]
fn a_remote_departure_applies_until_the_own_list_is_as_new() {
    let mut departures = RemoteDepartures::default();
    assert!(
        departures.record_remote(10, &[departed("n1", 10, true)]).is_empty(),
        "this gateway's list is as new"
    );
    assert_eq!(
        departures.record_remote(10, &[departed("n1", 12, false), departed("n2", 13, true)]),
        ["n1", "n2"]
    );
    assert!(
        departures.record_remote(10, &[departed("n1", 12, false)]).is_empty(),
        "the departure is known already"
    );
    assert!(departures.overrides("n1") && !departures.overrides("n3"));
    departures.record_own_list(12);
    assert!(!departures.overrides("n1") && departures.overrides("n2"));
    departures.clear();
    assert!(!departures.overrides("n2"));
}

proptest! {
    #[test]
    fn departures_are_bounded_and_never_override_a_newer_list(
        reported in prop::collection::vec((0u32..3000, 0u64..50, any::<bool>()), 0..3000),
        own_index in 0u64..50,
    ) {
        let mut departures = RemoteDepartures::default();
        let reported: Vec<DepartedEndpoint> = reported
            .iter()
            .map(|(endpoint, list_index, removed)| departed(&endpoint.to_string(), *list_index, *removed))
            .collect();
        departures.record_remote(0, &reported);
        departures.record_own_list(own_index);
        prop_assert!(departures.departures.len() <= MAX_REMOTE_DEPARTURES);
        for endpoint in departures.departures.keys() {
            prop_assert!(reported.iter().any(|report| report.endpoint == *endpoint && report.list_index > own_index));
        }
    }
}
