//! Tests of what counts as missing from the audit of a killed process.

use super::*;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A process that ran from `began_s`, and whose audit log is unknown from `unknown_from_s` to `unknown_to_s`.
fn audited(began_s: u64, unknown_from_s: u64, unknown_to_s: u64) -> AuditedProcess {
    let unknown = vec![TimeSpan { from: seconds(unknown_from_s), to: seconds(unknown_to_s) }];
    AuditedProcess { began_at: seconds(began_s), unknown, send_count: 0 }
}

fn times(started_s: u64, serving_since_s: Option<u64>) -> ProcessTimes {
    ProcessTimes { started_at: seconds(started_s), serving_since: serving_since_s.map(seconds) }
}

/// The predecessor's unknown span lasts until the next process that opened the store, here the one after the kill at 14 s.
const KILLED_AT: Duration = seconds(14);

#[test]
fn process_that_was_killed_before_it_opened_its_store_lacks_nothing() {
    let processes = [audited(0, 7, 20), audited(20, 30, 40)];
    assert_eq!(unknown_since(KILLED_AT, times(9, None), &processes), KILLED_AT);
}

/// Guards against a process that serves without an audit store and goes unnoticed behind the unknown span of its predecessor.
#[test]
fn process_that_accepted_clients_without_an_audit_lacks_all_since_then() {
    let processes = [audited(0, 7, 20), audited(20, 30, 40)];
    assert_eq!(unknown_since(KILLED_AT, times(8, Some(9)), &processes), seconds(9));
}

#[test]
fn process_with_an_audit_lacks_its_own_unknown_span_and_not_that_of_its_predecessor() {
    let processes = [audited(0, 7, 14), audited(9, 13, 20)];
    assert_eq!(unknown_since(KILLED_AT, times(8, Some(9)), &processes), seconds(13));
}

/// Guards against requests of a process that never reported that it accepts clients and wrote no audit.
#[test]
fn requests_during_the_run_of_a_process_without_an_audit_are_counted() {
    let request = |received_at| ServedRequest { request_id: String::new(), endpoint: 0, received_at };
    let requests = [request(seconds(6)), request(seconds(12))];
    let requests: Vec<&ServedRequest> = requests.iter().collect();
    let processes = [audited(0, 7, 20)];
    assert_eq!(unaudited_requests(KILLED_AT, times(9, None), &processes, &requests), 1);
    assert_eq!(unaudited_requests(KILLED_AT, times(9, Some(10)), &processes, &requests), 0);
    assert_eq!(unaudited_requests(KILLED_AT, times(0, None), &processes, &requests), 0);
}
