//! Tests of the entries that `--after` retains in an answer.

use super::*;
use serde_json::json;

#[test]
fn entries_that_ended_before_the_given_time_are_removed() {
    let mut answer = json!({"began_unix_ms": 1000, "answer": {
        "intervals": [{"to_ms": 5}, {"to_ms": 50}, {"to_ms": null}], "exceptions": [{"to_ms": 3}]}});
    let earlier = json!([{"began_unix_ms": 0, "unknown": [{"to_ms": 1030}, {"to_ms": 9}]}, {"began_unix_ms": 0, "intervals": [{"to_ms": 9}]}]);
    answer["answer"]["earlier"] = json!({"processes": earlier});
    retain_after(&mut answer, 1020);
    let earlier = answer["answer"]["earlier"]["processes"].as_array().expect("the list of earlier processes");
    assert!(earlier.len() == 1 && earlier[0]["unknown"].as_array().is_some_and(|all| all.len() == 1));
    assert_eq!(answer["answer"]["intervals"].as_array().map(Vec::len), Some(2));
    assert_eq!(answer["answer"]["exceptions"].as_array().map(Vec::len), Some(0));
}
