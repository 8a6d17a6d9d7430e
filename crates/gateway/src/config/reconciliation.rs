//! Decides whether a platform's file may be applied: its values must be valid, and it must have every key of the running document.

use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Maximum number of faults that are reported for one file.
const MAX_REPORTED_FAULTS: usize = 8;

/// Maximum number of characters of an entry's name in the text of a fault.
const MAX_NAME_CHARACTERS: usize = 64;

/// Keys that are read only when the process starts, and may be missing at a reload.
const STARTUP_KEYS: [&str; 1] = ["known"];

/// Keys whose changes take effect only when the process is started again.
const RESTART_KEYS: [&str; 5] = ["listen", "management", "limits", "seed", "name"];

/// Returns up to [`MAX_REPORTED_FAULTS`] faults of a new document. If a running document is given, keys that the new document lacks are
/// faults as well.
pub(super) fn find_faults(running: Option<&Value>, new: &Value) -> Vec<String> {
    let mut faults = Vec::new();
    if let Some(running) = running {
        find_missing_keys("", running, new, &mut faults);
    }
    check_values(new, &mut faults);
    faults.truncate(MAX_REPORTED_FAULTS);
    faults
}

/// The keys that differ between both documents and take effect only when the process is started again.
pub(super) fn changes_needing_restart(running: &Value, new: &Value) -> Vec<&'static str> {
    RESTART_KEYS.into_iter().filter(|key| running.get(key) != new.get(key)).collect()
}

/// Describes the type of a value for the text of a fault.
fn describe_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// The keys that all objects in a list have in common.
fn shared_keys(list: &[Value]) -> BTreeSet<&str> {
    let mut objects = list.iter().filter_map(Value::as_object);
    let Some(first) = objects.next() else { return BTreeSet::new() };
    let mut shared: BTreeSet<&str> = first.keys().map(String::as_str).collect();
    for object in objects {
        shared.retain(|key| object.contains_key(*key));
    }
    shared
}

/// Adds a fault for each key of `running` that is missing in `new` or has another type there. `path` is the path of both values in their
/// documents.
fn find_missing_keys(path: &str, running: &Value, new: &Value, faults: &mut Vec<String>) {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => {
            find_missing_in_object(path, running, new, faults);
        }
        (Value::Array(running), Value::Array(new)) => {
            find_missing_in_list(path, running, new, faults);
        }
        // A null in the running document is an optional value that is not set, so the new value may have any type.
        (Value::Null, _) => {}
        _ if describe_type(running) == describe_type(new) => {}
        _ => {
            let found = describe_type(new);
            let expected = describe_type(running);
            faults.push(format!("{path} is {found}, but {expected} is expected"));
        }
    }
}

fn find_missing_in_object(
    path: &str,
    running: &Map<String, Value>,
    new: &Map<String, Value>,
    faults: &mut Vec<String>,
) {
    for (key, value) in running {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        if STARTUP_KEYS.contains(&path.as_str()) {
            continue;
        }
        match new.get(key) {
            Some(new) => find_missing_keys(&path, value, new, faults),
            None => faults.push(format!("{path} is missing, but the running configuration has it")),
        }
    }
}

/// Adds a fault for each entry of the new list that lacks a key which all entries of the running list have. Entries are not compared one by
/// one, because entries may be added and removed.
fn find_missing_in_list(path: &str, running: &[Value], new: &[Value], faults: &mut Vec<String>) {
    let expected_keys = shared_keys(running);
    if expected_keys.is_empty() {
        return;
    }
    for (index, entry) in new.iter().enumerate() {
        let Some(object) = entry.as_object() else {
            let found = describe_type(entry);
            faults.push(format!("{path}[{index}] is {found}, but an object is expected"));
            continue;
        };
        for key in expected_keys.iter().filter(|key| !object.contains_key(**key)) {
            faults.push(format!("{path}[{index}]{}.{key} is missing", quoted_name(object)));
        }
    }
}

/// The name of a list entry in parentheses, for the text of a fault; empty if the entry has no name.
fn quoted_name(entry: &Map<String, Value>) -> String {
    let Some(name) = entry.get("name").and_then(Value::as_str) else { return String::new() };
    format!(" ({})", name.chars().take(MAX_NAME_CHARACTERS).collect::<String>())
}

fn is_positive(value: Option<&Value>) -> bool {
    value.and_then(Value::as_f64).is_some_and(|number| number.is_finite() && number > 0.0)
}

/// Adds a fault for each invalid value without which no request can be served.
fn check_values(document: &Value, faults: &mut Vec<String>) {
    let settings = document.get("settings");
    let classes = settings.and_then(|settings| settings.get("classes")).and_then(Value::as_array);
    check_classes(classes.map_or(&[], Vec::as_slice), faults);
    let max_attempts =
        settings.and_then(|settings| settings.get("policy_limits")?.get("try_limit")?.as_u64());
    if !max_attempts.is_some_and(|number| (1..=u64::from(u32::MAX)).contains(&number)) {
        faults.push("settings.policy_limits.try_limit is not a whole number above 0 (attempts)".into());
    }
}

fn check_classes(classes: &[Value], faults: &mut Vec<String>) {
    if classes.is_empty() {
        faults.push("settings.classes names no request class".into());
    }
    let mut names = BTreeSet::new();
    for (index, class) in classes.iter().enumerate() {
        let Some(object) = class.as_object() else {
            let found = describe_type(class);
            faults.push(format!("settings.classes[{index}] is {found}, but an object is expected"));
            continue;
        };
        let path = format!("settings.classes[{index}]{}", quoted_name(object));
        check_class(&path, object, &mut names, faults);
    }
}

fn check_class<'a>(
    path: &str,
    class: &'a Map<String, Value>,
    names: &mut BTreeSet<&'a str>,
    faults: &mut Vec<String>,
) {
    let text = |key: &str| class.get(key).and_then(Value::as_str).filter(|text| !text.is_empty());
    match text("name") {
        None => faults.push(format!("{path}.name is not a non-empty string")),
        Some(name) if !names.insert(name) => faults.push(format!("{path}: this name is used twice")),
        Some(_) => {}
    }
    for key in ["deadline_s", "promise_s"] {
        if !is_positive(class.get(key)) {
            faults.push(format!("{path}.{key} is not a number above 0 (seconds)"));
        }
    }
    if text("effect").is_none() {
        faults.push(format!("{path}.effect is missing: it says what a repeated request may do"));
    }
}

#[cfg(test)]
mod tests;
