//! Whether a configuration may come into force: its figures, and what the one in force has that it lacks.

use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// The most faults that are told of one file.
const TOLD: usize = 8;

/// What only a start reads: a lack of it says nothing of the rest.
const AT_START: [&str; 1] = ["known"];

/// All that is wrong with the document, at most eight faults; with the running one, also what it lacks beside that.
pub fn faults(running: Option<&Value>, new: &Value) -> Vec<String> {
    let mut faults = Vec::new();
    if let Some(running) = running {
        lacks("", running, new, &mut faults);
    }
    figures(new, &mut faults);
    faults.truncate(TOLD);
    faults
}

/// What the platform changes only with a new start, where it differs.
pub fn left(running: &Value, new: &Value) -> Vec<&'static str> {
    let names = ["listen", "management", "limits", "seed", "name"];
    names.into_iter().filter(|name| running.get(name) != new.get(name)).collect()
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// The keys that all objects of a list have.
fn common(list: &[Value]) -> BTreeSet<&str> {
    let keys =
        |value: &'_ Value| -> Option<BTreeSet<String>> { Some(value.as_object()?.keys().cloned().collect()) };
    let mut all = list.iter().filter_map(keys);
    let Some(first) = all.next() else { return BTreeSet::new() };
    let shared = all.fold(first, |shared, keys| shared.intersection(&keys).cloned().collect());
    let Some(of_first) = list.iter().find_map(Value::as_object) else { return BTreeSet::new() };
    of_first.keys().map(String::as_str).filter(|key| shared.contains(*key)).collect()
}

fn lacks(place: &str, running: &Value, new: &Value, faults: &mut Vec<String>) {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => {
            for (key, value) in running {
                let place = if place.is_empty() { key.clone() } else { format!("{place}.{key}") };
                match new.get(key) {
                    _ if AT_START.contains(&place.as_str()) => {}
                    Some(new) => lacks(&place, value, new, faults),
                    None => faults.push(format!("{place} is missing; the file in force has it")),
                }
            }
        }
        (Value::Array(running), Value::Array(new)) => {
            let needed = common(running);
            for (n, entry) in new.iter().enumerate().filter(|_| !needed.is_empty()) {
                let Some(entry) = entry.as_object() else {
                    faults.push(format!("{place}[{n}] is {}, and an object is wanted", kind(entry)));
                    continue;
                };
                let missing = needed.iter().filter(|key| !entry.contains_key(**key));
                faults.extend(missing.map(|key| format!("{place}[{n}]{}.{key} is missing", called(entry))));
            }
        }
        // What may be there or not, as null, is of any kind.
        (Value::Null, _) => {}
        _ if kind(running) == kind(new) => {}
        _ => faults.push(format!("{place} is {}, and {} is wanted", kind(new), kind(running))),
    }
}

fn called(entry: &Map<String, Value>) -> String {
    let name = entry.get("name").and_then(Value::as_str);
    name.map(|name| format!(" ({})", name.chars().take(64).collect::<String>())).unwrap_or_default()
}

fn positive(value: Option<&Value>) -> bool {
    value.and_then(Value::as_f64).is_some_and(|number| number.is_finite() && number > 0.0)
}

/// The figures without which no request can be served.
fn figures(document: &Value, faults: &mut Vec<String>) {
    let settings = document.get("settings");
    let empty = Vec::new();
    let classes = settings.and_then(|s| s.get("classes")).and_then(Value::as_array).unwrap_or(&empty);
    if classes.is_empty() {
        faults.push("settings.classes names no request class".into());
    }
    let mut names = BTreeSet::new();
    for (n, class) in classes.iter().enumerate() {
        let Some(class) = class.as_object() else {
            faults.push(format!("settings.classes[{n}] is {}, and an object is wanted", kind(class)));
            continue;
        };
        let place = format!("settings.classes[{n}]{}", called(class));
        let text = |key: &str| class.get(key).and_then(Value::as_str).filter(|text| !text.is_empty());
        match text("name") {
            None => faults.push(format!("{place}.name is no name")),
            Some(name) if !names.insert(name) => faults.push(format!("{place}: this name comes twice")),
            Some(_) => {}
        }
        for key in ["deadline_s", "promise_s"] {
            if !positive(class.get(key)) {
                faults.push(format!("{place}.{key} is no number above 0 (seconds)"));
            }
        }
        if text("effect").is_none() {
            faults.push(format!("{place}.effect is missing: what a repeat of a request may do"));
        }
    }
    let attempts = settings.and_then(|s| s.get("policy_limits")).and_then(|l| l.get("try_limit"));
    let whole = attempts.and_then(Value::as_u64).is_some_and(|n| (1..=u64::from(u32::MAX)).contains(&n));
    if !whole {
        faults.push("settings.policy_limits.try_limit is no whole number above 0 (attempts)".into());
    }
}

#[cfg(test)]
mod tests {
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
    fn one_that_changes_what_may_change_is_taken() {
        let running = document();
        let mut new = document();
        new["discovery"] = "127.0.0.1:3".into();
        new["settings"]["classes"][1] = json!({"name": "book", "deadline_s": 2, "promise_s": 1, "effect": "single_shot", "group": "cell", "more": 1});
        new["settings"]["policy_limits"]["note"] = 3.into();
        new["settings"]["azs"] = json!([]);
        new.as_object_mut().expect("an object").remove("known");
        assert_eq!(faults(Some(&running), &new), Vec::<String>::new());
        assert_eq!(left(&running, &new), Vec::<&str>::new());
        new["listen"] = "127.0.0.1:9".into();
        assert_eq!(left(&running, &new), ["listen"]);
    }

    #[test]
    fn each_fault_is_told_with_its_place() {
        let running = document();
        let with = |change: &dyn Fn(&mut Value)| {
            let mut new = document();
            change(&mut new);
            faults(Some(&running), &new).join("; ")
        };
        let class = |key: &'static str, value: Value| {
            move |new: &mut Value| new["settings"]["classes"][1][key] = value.clone()
        };
        for (value, of) in
            [(json!(0), "zero"), (json!(-1.5), "negative"), (json!("1.2"), "text"), (Value::Null, "nothing")]
        {
            let told = with(&class("deadline_s", value));
            assert!(told.contains("classes[1] (pay).deadline_s"), "{of}: {told}");
        }
        for attempts in [json!(0), json!(-3), json!(2.5), json!("three"), Value::Null, json!(1e300)] {
            let told = with(&|new| new["settings"]["policy_limits"]["try_limit"] = attempts.clone());
            assert!(told.contains("try_limit"), "{attempts}: {told}");
        }
        assert!(with(&class("name", "look".into())).contains("twice"));
        assert!(with(&class("effect", "".into())).contains("effect"));
        assert!(with(&|new| new["settings"]["classes"] = json!([])).contains("no request class"));
        assert!(with(&|new| new["settings"]["classes"] = json!([3])).contains("object"));
        assert!(with(&|new| new["discovery"] = json!(7)).contains("discovery is a number"));
    }

    /// Every key of the running file that could be taken away.
    fn keys(place: &str, value: &Value, all: &mut Vec<String>) {
        match value {
            Value::Object(map) => map.iter().for_each(|(key, value)| {
                let place = format!("{place}/{key}");
                all.push(place.clone());
                keys(&place, value, all);
            }),
            Value::Array(list) => {
                list.iter().enumerate().for_each(|(n, value)| keys(&format!("{place}/{n}"), value, all));
            }
            _ => {}
        }
    }

    #[test]
    fn a_lack_of_any_key_is_told() {
        let running = document();
        let mut all = Vec::new();
        keys("", &running, &mut all);
        for key in all.iter().filter(|key| !key.starts_with("/known")) {
            let mut new = document();
            let (parent, name) = key.rsplit_once('/').expect("a key below another");
            let parent = new.pointer_mut(parent).expect("the parent");
            parent.as_object_mut().expect("an object").remove(name);
            assert!(!faults(Some(&running), &new).is_empty(), "{key} may be missing");
        }
    }

    proptest! {
        /// Whatever a file holds, it is told what is wrong, shortly, and nothing panics.
        #[test]
        fn no_document_makes_it_panic(text in "[\\[\\]{}\",:0-9a-z.]{0,60}", at in 0usize..9) {
            let running = document();
            let new = serde_json::from_str::<Value>(&text).unwrap_or(Value::Null);
            let mut whole = document();
            let mut places = Vec::new();
            keys("", &whole, &mut places);
            if let Some(place) = whole.pointer_mut(&places[at % places.len()]) {
                *place = new.clone();
            }
            prop_assert!(faults(Some(&running), &new).len() <= TOLD);
            prop_assert!(faults(Some(&running), &whole).iter().all(|f| f.len() < 300));
        }
    }
}
