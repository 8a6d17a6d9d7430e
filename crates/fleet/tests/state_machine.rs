//! Rules of the replicated state machine that hold for all commands in all orders.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_fleet::settings::LagPolicy;
use weldworks_fleet::state_machine::{
    Command, CommandOutcome, FenceReason, Renewal, Requirements, StateMachine, VersionLag,
};
use weldworks_fleet::version::{Incarnation, ListVersion, Version};

fn lag_policy() -> LagPolicy {
    LagPolicy { max_list_lag: 3, max_lag_duration: Duration::from_secs(5), max_fenced_fraction: 0.2 }
}

fn version(index: u64) -> Version {
    Version { list: ListVersion { lineage: "r".into(), index }, ..Version::default() }
}

fn open(name: &str, process: u64, index: u64) -> Command {
    Command::OpenSession {
        name: name.into(),
        process: Incarnation(process),
        version: version(index),
        request: 1,
    }
}

fn renew(session: u64, count: u64, index: Option<u64>) -> Command {
    Command::RenewSessions(vec![Renewal { session, count, version: index.map(version) }])
}

/// State machine with sessions 1 to 5 of five gateways: the last gateway's list has the index `last_index`, the others' index 10.
fn five_gateways(last_index: u64) -> StateMachine {
    let mut state = StateMachine::new(&lag_policy());
    for (n, index) in [10, 10, 10, 10, last_index].into_iter().enumerate() {
        assert_eq!(
            state.apply(&open(&format!("g{n}"), n as u64, index)),
            CommandOutcome::Opened(n as u64 + 1)
        );
    }
    state
}

#[test]
fn a_name_is_granted_to_another_process_only_after_its_session_ended() {
    let mut state = five_gateways(10);
    assert_eq!(state.apply(&open("g0", 9, 10)), CommandOutcome::NameTaken { holder: Incarnation(0) });
    assert_eq!(
        state.apply(&open("g0", 0, 10)),
        CommandOutcome::Opened(1),
        "the repeated request of the same process gets the same session"
    );
    assert_eq!(state.apply(&Command::CloseSession { session: 1 }), CommandOutcome::Applied);
    let log_index = state.log_index();
    assert_eq!(state.apply(&open("g0", 9, 10)), CommandOutcome::Opened(log_index + 1));
}

#[test]
fn a_session_that_was_renewed_since_does_not_expire() {
    let mut state = five_gateways(10);
    assert_eq!(state.apply(&renew(1, 2, None)), CommandOutcome::Applied);
    assert_eq!(state.apply(&Command::ExpireSession { session: 1, renewals: 1 }), CommandOutcome::Obsolete);
    // A repeated open request counts as a renewal, because the holder counts its lease from the repeated request.
    let repeated =
        Command::OpenSession { name: "g0".into(), process: Incarnation(0), version: version(10), request: 3 };
    state.apply(&repeated);
    assert_eq!(state.apply(&Command::ExpireSession { session: 1, renewals: 2 }), CommandOutcome::Obsolete);
    assert_eq!(state.apply(&Command::ExpireSession { session: 1, renewals: 3 }), CommandOutcome::Applied);
    assert_eq!(state.apply(&renew(1, 9, None)), CommandOutcome::Obsolete, "an ended session stays ended");
    assert!(state.ended_sessions()[&1].expired);
}

#[test]
fn a_minority_of_sessions_does_not_set_the_current_index() {
    let mut state = five_gateways(900);
    assert_eq!(state.current_list_index("r"), Some(10));
    assert_eq!(state.lagging_sessions().count(), 0);
    // Two of five sessions with a wrong index do not set the current index either.
    state.apply(&renew(1, 2, Some(900)));
    assert_eq!(state.current_list_index("r"), Some(10));
    state.apply(&renew(2, 2, Some(900)));
    assert_eq!(state.current_list_index("r"), Some(900), "three of five sessions are more than half");
    assert_eq!(state.current_list_index("other"), None);
}

#[test]
fn a_lagging_session_is_fenced_until_it_has_caught_up() {
    let mut state = five_gateways(7);
    let fence_reason = |state: &StateMachine| state.sessions()[&5].fence_reason.clone();
    assert_eq!(
        state.apply(&Command::FenceLagging { session: 1, version: version(10) }),
        CommandOutcome::Obsolete,
        "the session does not lag"
    );
    assert_eq!(
        state.apply(&Command::FenceLagging { session: 5, version: version(6) }),
        CommandOutcome::Obsolete,
        "the session's version has changed"
    );
    assert_eq!(
        state.apply(&Command::FenceLagging { session: 5, version: version(7) }),
        CommandOutcome::Applied
    );
    assert_eq!(fence_reason(&state), Some(FenceReason::Lagging(VersionLag::List { own: 7, current: 10 })));
    state.apply(&renew(5, 2, Some(8)));
    assert_eq!(fence_reason(&state), None, "a lag of two versions is below the limit of three");
}

#[test]
fn a_bad_requirement_does_not_fence_the_whole_fleet() {
    let mut state = five_gateways(10);
    state.apply(&Command::SetRequirements(Requirements { config: Some(7), ..Requirements::default() }));
    assert_eq!(state.lagging_sessions().count(), 5, "no gateway has this configuration");
    assert_eq!(
        state.apply(&Command::FenceLagging { session: 1, version: version(10) }),
        CommandOutcome::Applied
    );
    for session in 2..=5 {
        assert_eq!(
            state.apply(&Command::FenceLagging { session, version: version(10) }),
            CommandOutcome::FenceLimitReached
        );
    }
    state.apply(&Command::SetRequirements(Requirements::default()));
    assert!(
        state.sessions().values().all(|session| session.fence_reason.is_none()),
        "the requirement was withdrawn"
    );
}

#[test]
fn an_administrators_fence_applies_to_the_name_until_it_is_ended() {
    let mut state = five_gateways(10);
    let set_fenced = |fenced| Command::SetFenced { name: "g4".into(), fenced };
    assert_eq!(state.apply(&set_fenced(true)), CommandOutcome::Applied);
    assert_eq!(state.apply(&set_fenced(true)), CommandOutcome::Obsolete);
    state.apply(&Command::CloseSession { session: 5 });
    state.apply(&open("g4", 77, 10));
    assert_eq!(
        state.session_of("g4").and_then(|(_, session)| session.fence_reason.clone()),
        Some(FenceReason::Administrator),
        "the new process is fenced too"
    );
    state.apply(&set_fenced(false));
    assert_eq!(state.session_of("g4").and_then(|(_, session)| session.fence_reason.clone()), None);
}

#[test]
fn departures_apply_to_older_lists_of_the_same_lineage_only() {
    let mut state = five_gateways(7);
    let list = |index| ListVersion { lineage: "r".into(), index };
    let departure = |index, removed| Command::RecordDepartures {
        list: list(index),
        endpoints: vec![("n1".into(), removed)],
        reported_by: "g0".into(),
    };
    assert_eq!(state.apply(&departure(9, false)), CommandOutcome::Applied);
    assert_eq!(
        state.apply(&departure(8, true)),
        CommandOutcome::Obsolete,
        "an older list does not override a newer one"
    );
    assert_eq!(
        state.apply(&departure(9, true)),
        CommandOutcome::Applied,
        "a removal replaces a drain of the same list"
    );
    assert_eq!(
        state
            .departures_since(&list(7))
            .map(|(endpoint, departure)| (endpoint, departure.removed))
            .collect::<Vec<_>>(),
        [("n1", true)]
    );
    assert_eq!(state.departures_since(&list(9)).count(), 0);
    assert_eq!(state.departures_since(&ListVersion { lineage: "q".into(), index: 0 }).count(), 0);
}

fn command() -> impl Strategy<Value = Command> {
    let name = (0u8..6).prop_map(|n| format!("g{n}"));
    let session = 0u64..60;
    prop_oneof![
        3 => (name.clone(), 0u64..3, 0u64..20, 0u64..9).prop_map(|(name, process, index, request)| Command::OpenSession {
            name, process: Incarnation(process), version: version(index), request,
        }),
        4 => (session.clone(), 0u64..9, prop::option::of(0u64..20)).prop_map(|(session, count, index)| renew(session, count, index)),
        2 => (session.clone(), 0u64..9).prop_map(|(session, renewals)| Command::ExpireSession { session, renewals }),
        1 => session.clone().prop_map(|session| Command::CloseSession { session }),
        3 => (session, 0u64..20).prop_map(|(session, index)| Command::FenceLagging { session, version: version(index) }),
        1 => (name, any::<bool>()).prop_map(|(name, fenced)| Command::SetFenced { name, fenced }),
        1 => prop::option::of(0u64..3).prop_map(|config| Command::SetRequirements(Requirements { config, ..Requirements::default() })),
        1 => (0u64..20, any::<bool>()).prop_map(|(index, removed)| Command::RecordDepartures {
            list: ListVersion { lineage: "r".into(), index }, endpoints: vec![(format!("n{}", index % 4), removed)], reported_by: "g0".into(),
        }),
    ]
}

proptest! {
    #[test]
    fn rules_hold_for_all_sequences_of_commands(commands in prop::collection::vec(command(), 1..120)) {
        let mut state = StateMachine::new(&lag_policy());
        let mut second_replica = StateMachine::new(&lag_policy());
        let mut ended = std::collections::BTreeSet::new();
        for command in &commands {
            let before = state.clone();
            let outcome = state.apply(command);
            prop_assert_eq!(&outcome, &second_replica.apply(command));
            prop_assert_eq!(&state, &second_replica, "the same commands lead to different states");
            prop_assert_eq!(state.log_index(), before.log_index() + 1);
            let mut names: Vec<_> = state.sessions().values().map(|session| &session.name).collect();
            names.sort();
            names.dedup();
            prop_assert_eq!(names.len(), state.sessions().len(), "a name has more than one session");
            ended.extend(state.ended_sessions().keys().copied());
            prop_assert!(state.sessions().keys().all(|id| !ended.contains(id)), "an ended session is open again");
            for (id, session) in state.sessions() {
                if let Some(earlier) = before.sessions().get(id) {
                    prop_assert!(session.renewals >= earlier.renewals);
                }
            }
            // Fencing for lag never exceeds the fence limit, and never fences a session that does not lag.
            if let Command::FenceLagging { session, .. } = command {
                if outcome == CommandOutcome::Applied {
                    prop_assert!(before.fence_capacity() > 0);
                    prop_assert!(before.lag_of(&before.sessions()[session].version).is_some());
                }
            }
            let lagging = state.sessions().values().filter(|session| matches!(session.fence_reason, Some(FenceReason::Lagging(_))));
            prop_assert!(lagging.clone().all(|session| state.lag_of(&session.version).is_some() || !matches!(command, Command::RenewSessions(_) | Command::SetRequirements(_))));
        }
    }
}
