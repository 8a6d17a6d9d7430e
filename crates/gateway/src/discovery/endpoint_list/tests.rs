//! Tests of the faults that are found in endpoint lists.

use super::*;
use proptest::prelude::*;

fn list(text: &str) -> EndpointList {
    serde_json::from_str(text).expect("a list")
}

#[test]
fn each_fault_names_its_entry_and_a_good_list_has_none() {
    let good =
        r#"{"index":4,"endpoints":[{"name":"a","address":"127.0.0.1:1"},{"name":"b","status":"left"}]}"#;
    assert_eq!(list(good).faults(4, 9), []);
    assert_eq!(list(good).faults(5, 9), [ListFault::Outdated { index: 4, current: 5 }]);
    let snapshot = good.replace("\"index\":4", "\"index\":4,\"snapshot\":true");
    assert_eq!(list(&snapshot).faults(5, 9), [], "a registry that lost its indexes sends a snapshot");
    let bad =
        r#"{"endpoints":[{"name":"a","address":"here"},{"name":"c","address":"127.0.0.1:1"},{"name":"c"}]}"#;
    let faults = list(bad).faults(0, 9);
    assert_eq!(faults.len(), 2, "{faults:?}");
    assert!(faults[0].to_string().contains("\"a\"") && faults[1].to_string().contains("twice"));
}

proptest! {
    #[test]
    fn no_list_causes_a_panic_or_more_faults_than_the_limit(
        index in any::<u64>(), current in any::<u64>(), snapshot in any::<bool>(),
        entries in prop::collection::vec(("[ab]{0,2}", ".{0,400}"), 0..12),
    ) {
        let entry = |(name, address): (String, String)| {
            let known = serde_json::json!({ "name": name, "address": address });
            ListedEndpoint::from(serde_json::from_value::<wire::Endpoint>(known).expect("an entry"))
        };
        let endpoints = entries.into_iter().map(entry).collect();
        let list = EndpointList { index, is_snapshot: snapshot, endpoints };
        let faults = list.faults(current, 3);
        prop_assert!(faults.len() <= 3 && faults.iter().all(|f| f.to_string().len() < 2000));
    }
}
