//! The settings object of a small deployment: that of the booking site, with one or two zones and the classes of the case.
#![allow(dead_code)]

/// The settings, with these classes (JSON objects, parted by commas), in the form that the platform's file has.
pub fn settings(classes: &str) -> String {
    format!(
        r#"{{"azs":["via-dante","zona-nord"],"flavors":["fast-2c","std-2c","old-2c"],"fleet_size":1,"rank":0,"locality":0,
"accounts":[{{"name":"civica-centro","quota_per_s":99.0,"share":1.0}}],
"classes":[{classes}],
"discovery":"ask","family":"proxy","family_info":{{"warm_keys":true}},"over_share_worth":0.2,"quantum_s":0.005,
"weight_source":"off","tier":0,"tiers":["lezioni-web"],"worth_by":"request","client_habits":{{"marks_retry":true}},
"costs":{{"cross_zone":0.02}},"stats":{{"fields":["throughput","outstanding"],"how":"inline"}},
"policy_limits":{{"dial_timeout_s":0.1,"keepalive_s":10.0,"max_retry_after_s":1.2,"may_cancel":true,"retry_after":false,
"second_copies":false,"try_limit":6,"probes":false,"peers":false,"streams_per_conn":1,"max_open":582935}},
"safety":{{"ask_within_s":10.0,"cold_from":0.13,"cold_s":23.0,"fall_s":2.0,"grace_to_answer_s":0.02,
"overload_factor":2.5,"stop_sending_within_s":2.0}}}}"#
    )
}

/// A class as the booking site's `timetable`, safe to repeat.
pub const TIMETABLE: &str = r#"{"name":"timetable","promise_s":0.3,"deadline_s":1.2,"effect":"free","group":"all","dedup_window_s":5.0,"importance":2.0,"late_worth":0.0,"streaming":false}"#;
/// A class as the booking site's `enrol-pay`: keyed, any host drops a repeat.
pub const ENROL_PAY: &str = r#"{"name":"enrol-pay","promise_s":0.3,"deadline_s":1.2,"effect":"guarded","group":"all","dedup_window_s":1.2,"importance":8.0,"late_worth":0.0,"streaming":false}"#;
/// A class as the booking site's `room-status`, safe to repeat.
pub const ROOM_STATUS: &str = r#"{"name":"room-status","promise_s":0.2,"deadline_s":0.8,"effect":"free","group":"all","dedup_window_s":5.0,"importance":3.0,"late_worth":0.0,"streaming":false}"#;
