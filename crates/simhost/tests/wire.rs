//! Tests of the adapter's replies, of unknown fields in its input, and of errors on invalid input.

use weldworks_simhost::Adapter;

const LIST_DEFINED: &str = r#"{"type":"Inventory","roster_id":0,"elements":[{"az":0,"cohort":0,"status":"up","host":"10.0.0.1:80","scale":1,"hw":0},{"az":0,"cohort":0,"status":"up","host":"10.0.0.2:80","novel":[1]}]}"#;
const ENDPOINTS_CHANGED: &str =
    r#"{"type":"BackendsChanged","gateway":3,"roster_id":0,"index":1,"mode":"stale_copy"}"#;
const INSTANCE_STARTED: &str = r#"{"type":"Launch","gateway":3,"random_seed":9,"profile_data":{"classes":[{"promise_s":0.2,"deadline_s":1,"effect":"free","importance":1,"x":{}}],"policy_limits":{"try_limit":3,"may_cancel":true,"second_copies":true},"unheard_of":7}}"#;
const REQUEST: &str =
    r#"{"type":"Incoming","gateway":3,"ref":"r-1","category":0,"not_after_s":1.5,"novel":null}"#;

fn batch(serial: u64, events: &[&str]) -> String {
    format!(r#"{{"ts_s":1.0,"serial":{serial},"events":[{}]}}"#, events.join(","))
}

#[test]
fn request_is_sent_to_a_listed_endpoint_and_unknown_fields_are_ignored() {
    let mut adapter = Adapter::default();
    let reply =
        adapter.answer(&batch(7, &[INSTANCE_STARTED, LIST_DEFINED, ENDPOINTS_CHANGED, REQUEST])).unwrap();
    assert!(
        reply
            .starts_with(r#"{"serial":7,"cmds":[{"type":"Dispatch","gateway":3,"ref":"r-1","host":"10.0.0."#),
        "{reply}"
    );
    let json: serde_json::Value = serde_json::from_str(&reply).unwrap();
    assert_eq!(json["cmds"][0]["until_s"], 1.2);
    let host = json["cmds"][0]["host"].as_str().unwrap();
    let result = format!(
        r#"{{"type":"Result","gateway":3,"ref":"r-1","copy":0,"delay_seen_s":0.1,"no_more":true,"host":"{host}","how":"GOOD"}}"#
    );
    assert_eq!(adapter.answer(&batch(8, &[&result])).unwrap(), r#"{"serial":8,"cmds":[]}"#);
    assert_eq!(
        adapter.answer(&batch(9, &[&result])).unwrap(),
        r#"{"serial":9,"cmds":[]}"#,
        "a late outcome is ignored"
    );
}

#[test]
fn instance_can_restart_after_its_end_and_list_numbers_can_be_reused_within_a_batch() {
    let other_list = LIST_DEFINED.replace("10.0.0", "10.9.9");
    let instance_ended = r#"{"type":"Exit","gateway":3}"#;
    let mut adapter = Adapter::default();
    adapter.answer(&batch(1, &[INSTANCE_STARTED, LIST_DEFINED, ENDPOINTS_CHANGED, REQUEST])).unwrap();
    let reply = adapter
        .answer(&batch(
            2,
            &[instance_ended, INSTANCE_STARTED, LIST_DEFINED, &other_list, ENDPOINTS_CHANGED, REQUEST],
        ))
        .unwrap();
    assert!(reply.contains(r#""host":"10.9.9."#), "{reply}");
}

#[test]
fn retry_after_and_connection_closing_are_written_with_their_wire_names() {
    let instance_started = INSTANCE_STARTED
        .replace(r#""try_limit":3"#, r#""try_limit":3,"retry_after":true,"max_retry_after_s":1.5"#)
        .replace(r#""unheard_of":7"#, r#""safety":{"release_within_s":0.5}"#);
    let draining_list = LIST_DEFINED.replacen(r#""status":"up""#, r#""status":"draining""#, 1);
    let mut adapter = Adapter::default();
    let reply = adapter.answer(&batch(1, &[&instance_started, &draining_list, ENDPOINTS_CHANGED])).unwrap();
    assert!(reply.contains(r#"{"type":"Disconnect","gateway":3,"host":"10.0.0.1:80"}"#), "{reply}");
    let requests: Vec<String> =
        (0..40).map(|number| REQUEST.replace("r-1", &format!("q-{number}"))).collect();
    let reply = adapter.answer(&batch(2, &requests.iter().map(String::as_str).collect::<Vec<_>>())).unwrap();
    let rejection = r#"{"type":"Busy","gateway":3,"ref":"q-39","not_before_for_s":1.500000}"#;
    assert!(reply.contains(rejection), "{reply}");
}

#[test]
fn invalid_input_causes_a_one_line_error_with_its_position() {
    for (events, expected) in [
        (vec![r#"{"type":"Comet","gateway":3}"#], r#"batch 5: unknown event "Comet""#),
        (vec![r#"{"type":"Reminder","gateway":4,"label":1}"#], "batch 5: Reminder for unknown instance 4"),
        (
            vec![r#"{"type":"BackendsChanged","gateway":3,"roster_id":9,"mode":"whole"}"#],
            "batch 5: unknown list 9",
        ),
        (
            vec![r#"{"type":"Incoming","gateway":3,"ref":"a","not_after_s":2}"#],
            "batch 5: Incoming without category",
        ),
        (
            vec![r#"{"type":"Result","gateway":3,"ref":"r","how":"ODD"}"#],
            r#"batch 5: Result with unknown outcome "ODD""#,
        ),
    ] {
        let mut adapter = Adapter::default();
        adapter.answer(&batch(1, &[INSTANCE_STARTED, LIST_DEFINED, ENDPOINTS_CHANGED])).unwrap();
        let error = adapter.answer(&batch(5, &events)).unwrap_err().to_string();
        assert_eq!(error, expected);
    }
    for line in [
        "",
        "{",
        "[]",
        "null",
        r#"{"ts_s":1,"serial":1}"#,
        r#"{"ts_s":1,"serial":1,"events":[{"gateway":1}]}"#,
    ] {
        let error = Adapter::default().answer(line).unwrap_err().to_string();
        assert!(error.starts_with("input line 1: not a batch: ") && !error.contains('\n'), "{error}");
    }
}
