//! Tests of when a gateway counts as without a session.

use super::*;

const GATEWAY: usize = 3;
const VOTER: usize = 0;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A history of these observations, in the order in which their log lines were read.
fn history(records: &[(u64, usize, usize, Observation)]) -> History {
    let mut history = History::default();
    for (at_s, gateway, process, observation) in records {
        history.append(seconds(*at_s), *gateway, *process, observation.clone());
    }
    history
}

fn in_session(session: SessionId) -> Observation {
    Observation::SessionStateChanged(SessionState::InSession(session))
}

fn without_session() -> Observation {
    Observation::SessionStateChanged(SessionState::WithoutSession)
}

/// A request that the gateway served in the given second.
fn served_in_second(at_s: u64) -> ClientRequest {
    let sent_at = seconds(at_s);
    let ended_at = sent_at + Duration::from_millis(1);
    ClientRequest { request_id: String::new(), gateway: GATEWAY, sent_at, ended_at, status: Some(200) }
}

fn is_violation(history: &History, at_s: u64) -> bool {
    session_lapses(history).iter().any(|lapse| lapse.is_served_during(&served_in_second(at_s)))
}

#[test]
fn request_served_between_the_expiry_and_the_next_session_is_a_violation() {
    let history = history(&[
        (1, GATEWAY, 0, in_session(4)),
        (5, VOTER, 0, Observation::SessionExpired(4)),
        (9, GATEWAY, 0, in_session(7)),
    ]);
    assert!(is_violation(&history, 7));
    assert!(!is_violation(&history, 3) && !is_violation(&history, 10));
}

/// Guards against a false violation where a lagging voter reports an expiry after the gateway's next session.
#[test]
fn expiry_that_a_lagging_voter_reports_late_is_no_lapse_of_the_newer_session() {
    let history = history(&[
        (1, GATEWAY, 0, in_session(4)),
        (5, VOTER, 0, Observation::SessionExpired(4)),
        (6, GATEWAY, 0, in_session(7)),
        (8, 1, 0, Observation::SessionExpired(4)),
    ]);
    assert!((6..20).all(|at_s| !is_violation(&history, at_s)));
}

/// Guards against an expiry that goes unchecked because its line was read before that of the session's start.
#[test]
fn expiry_that_is_read_before_the_start_of_its_session_is_checked() {
    let history = history(&[(5, VOTER, 0, Observation::SessionExpired(4)), (5, GATEWAY, 0, in_session(4))]);
    assert!(is_violation(&history, 7));
}

#[test]
fn earlier_session_of_the_gateway_does_not_end_a_lapse() {
    let history = history(&[
        (1, GATEWAY, 0, in_session(2)),
        (2, GATEWAY, 0, in_session(4)),
        (5, VOTER, 0, Observation::SessionExpired(4)),
    ]);
    assert!(is_violation(&history, 7));
}

/// Guards against a new process that serves without a session of its own, unnoticed behind the expiry of its predecessor's.
#[test]
fn next_process_that_started_before_the_expiry_needs_a_session_of_its_own() {
    let history = history(&[
        (1, GATEWAY, 0, in_session(4)),
        (3, GATEWAY, 1, without_session()),
        (5, VOTER, 0, Observation::SessionExpired(4)),
        (9, GATEWAY, 1, in_session(7)),
    ]);
    assert!(is_violation(&history, 7));
}
