//! Tests of the detection of faults in endpoint lists.

use super::*;
use proptest::prelude::*;

fn list(text: &str) -> EndpointList {
    serde_json::from_str(text).expect("failed to parse the list")
}

#[test]
fn each_fault_names_its_entry_and_a_valid_list_has_no_fault() {
    let good =
        r#"{"index":4,"endpoints":[{"name":"a","address":"127.0.0.1:1"},{"name":"b","status":"left"}]}"#;
    assert_eq!(list(good).faults(4, 9), []);
    assert_eq!(list(good).faults(5, 9), [ListFault::Outdated { index: 4, current: 5 }]);
    let snapshot = good.replace("\"index\":4", "\"index\":4,\"snapshot\":true");
    assert_eq!(
        list(&snapshot).faults(5, 9),
        [],
        "discovery sends a snapshot with a lower index after losing its indexes"
    );
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
            ListedEndpoint::from(serde_json::from_value::<wire::Endpoint>(known).expect("failed to parse the entry"))
        };
        let endpoints = entries.into_iter().map(entry).collect();
        let list = EndpointList { index, is_snapshot: snapshot, endpoints };
        let faults = list.faults(current, 3);
        prop_assert!(faults.len() <= 3 && faults.iter().all(|f| f.to_string().len() < 2000));
    }
}
