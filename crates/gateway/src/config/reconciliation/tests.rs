//! Tests of which platform documents are accepted, and which faults are reported of the others.

use super::*;
use proptest::prelude::*;
use serde_json::json;

fn document() -> Value {
    let class = |name: &str| json!({"name": name, "deadline_s": 1.2, "promise_s": 0.3, "effect": "free", "group": "all"});
    json!({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "known": {"index": 1},
        "settings": {"classes": [class("look"), class("pay")], "policy_limits": {"try_limit": 3, "note": null},
            "accounts": [{"name": "acme", "quota_per_s": 1.0}], "azs": ["a"]}})
}

#[test]
fn a_document_with_allowed_changes_is_accepted() {
    let running = document();
    let mut new = document();
    new["discovery"] = "127.0.0.1:3".into();
    new["settings"]["classes"][1] = json!({"name": "book", "deadline_s": 2, "promise_s": 1, "effect": "single_shot", "group": "cell", "more": 1});
    new["settings"]["policy_limits"]["note"] = 3.into();
    new["settings"]["azs"] = json!([]);
    new.as_object_mut().expect("an object").remove("known");
    assert_eq!(find_faults(Some(&running), &new), Vec::<String>::new());
    assert_eq!(changes_needing_restart(&running, &new), Vec::<&str>::new());
    new["listen"] = "127.0.0.1:9".into();
    assert_eq!(changes_needing_restart(&running, &new), ["listen"]);
}

#[test]
fn each_fault_is_reported_with_its_path() {
    let running = document();
    let with = |change: &dyn Fn(&mut Value)| {
        let mut new = document();
        change(&mut new);
        find_faults(Some(&running), &new).join("; ")
    };
    let class = |key: &'static str, value: Value| {
        move |new: &mut Value| new["settings"]["classes"][1][key] = value.clone()
    };
    for (value, kind) in
        [(json!(0), "zero"), (json!(-1.5), "negative"), (json!("1.2"), "text"), (Value::Null, "nothing")]
    {
        let reported = with(&class("deadline_s", value));
        assert!(reported.contains("classes[1] (pay).deadline_s"), "{kind}: {reported}");
    }
    for attempts in [json!(0), json!(-3), json!(2.5), json!("three"), Value::Null, json!(1e300)] {
        let reported = with(&|new| new["settings"]["policy_limits"]["try_limit"] = attempts.clone());
        assert!(reported.contains("try_limit"), "{attempts}: {reported}");
    }
    assert!(with(&class("name", "look".into())).contains("twice"));
    assert!(with(&class("effect", "".into())).contains("effect"));
    assert!(with(&|new| new["settings"]["classes"] = json!([])).contains("no request class"));
    assert!(with(&|new| new["settings"]["classes"] = json!([3])).contains("object"));
    assert!(with(&|new| new["discovery"] = json!(7)).contains("discovery is a number"));
}

/// Collects the paths of all keys in a document, each of which could be removed from the document.
fn collect_key_paths(path: &str, value: &Value, all: &mut Vec<String>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| {
            let path = format!("{path}/{key}");
            all.push(path.clone());
            collect_key_paths(&path, value, all);
        }),
        Value::Array(list) => {
            list.iter()
                .enumerate()
                .for_each(|(n, value)| collect_key_paths(&format!("{path}/{n}"), value, all));
        }
        _ => {}
    }
}

#[test]
fn every_missing_key_is_reported() {
    let running = document();
    let mut all = Vec::new();
    collect_key_paths("", &running, &mut all);
    for key in all.iter().filter(|key| !key.starts_with("/known")) {
        let mut new = document();
        let (parent, name) = key.rsplit_once('/').expect("a path with a parent");
        let parent = new.pointer_mut(parent).expect("the parent of the key");
        parent.as_object_mut().expect("an object").remove(name);
        assert!(
            !find_faults(Some(&running), &new).is_empty(),
            "no fault is reported for the missing key {key}"
        );
    }
}

proptest! {
    /// A file may contain any text. Its faults must be few and reported in short texts, and checking the file must not panic.
    #[test]
    fn no_document_causes_a_panic(text in "[\\[\\]{}\",:0-9a-z.]{0,60}", at in 0usize..9) {
        let running = document();
        let new = serde_json::from_str::<Value>(&text).unwrap_or(Value::Null);
        let mut modified = document();
        let mut paths = Vec::new();
        collect_key_paths("", &modified, &mut paths);
        if let Some(target) = modified.pointer_mut(&paths[at % paths.len()]) {
            *target = new.clone();
        }
        prop_assert!(find_faults(Some(&running), &new).len() <= MAX_REPORTED_FAULTS);
        prop_assert!(find_faults(Some(&running), &modified).iter().all(|f| f.len() < 300));
    }
}
