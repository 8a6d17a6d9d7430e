//! Rules of the replicated state machine, whatever commands are applied in which order.

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

/// Five gateways with sessions 1 to 5; the list of the last one has this index.
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
fn one_process_holds_a_name_at_a_time() {
    let mut state = five_gateways(10);
    assert_eq!(state.apply(&open("g0", 9, 10)), CommandOutcome::NameTaken { holder: Incarnation(0) });
    assert_eq!(
        state.apply(&open("g0", 0, 10)),
        CommandOutcome::Opened(1),
        "the answer was lost: it is the same session"
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
    // A repeated request counts as a renewal: its holder counts the lease from it.
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
    // Two of five with a wrong index do not either.
    state.apply(&renew(1, 2, Some(900)));
    assert_eq!(state.current_list_index("r"), Some(10));
    state.apply(&renew(2, 2, Some(900)));
    assert_eq!(state.current_list_index("r"), Some(900), "three of five are more than half");
    assert_eq!(state.current_list_index("other"), None);
}

#[test]
fn a_lagging_session_is_fenced_until_it_has_caught_up() {
    let mut state = five_gateways(7);
    let fence_reason = |state: &StateMachine| state.sessions()[&5].fence_reason.clone();
    assert_eq!(
        state.apply(&Command::FenceLagging { session: 1, version: version(10) }),
        CommandOutcome::Obsolete,
        "it does not lag"
    );
    assert_eq!(
        state.apply(&Command::FenceLagging { session: 5, version: version(6) }),
        CommandOutcome::Obsolete,
        "its version has changed"
    );
    assert_eq!(
        state.apply(&Command::FenceLagging { session: 5, version: version(7) }),
        CommandOutcome::Applied
    );
    assert_eq!(fence_reason(&state), Some(FenceReason::Lagging(VersionLag::List { own: 7, current: 10 })));
    state.apply(&renew(5, 2, Some(8)));
    assert_eq!(fence_reason(&state), None, "two versions behind is within the allowed three");
}

#[test]
fn no_version_takes_the_fleet_out() {
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
fn administrators_fence_and_unfence_by_name() {
    let mut state = five_gateways(10);
    let set_fenced = |fenced| Command::SetFenced { name: "g4".into(), fenced };
    assert_eq!(state.apply(&set_fenced(true)), CommandOutcome::Applied);
    assert_eq!(state.apply(&set_fenced(true)), CommandOutcome::Obsolete);
    state.apply(&Command::CloseSession { session: 5 });
    state.apply(&open("g4", 77, 10));
    assert_eq!(
        state.session_of("g4").and_then(|(_, session)| session.fence_reason.clone()),
        Some(FenceReason::Administrator),
        "a new process too"
    );
    state.apply(&set_fenced(false));
    assert_eq!(state.session_of("g4").and_then(|(_, session)| session.fence_reason.clone()), None);
}

#[test]
fn departures_concern_older_lists_of_the_same_lineage_only() {
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
    assert_eq!(state.apply(&departure(9, true)), CommandOutcome::Applied, "a removal says more than a drain");
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
    fn rules_hold_whatever_commands_are_applied(commands in prop::collection::vec(command(), 1..120)) {
        let mut state = StateMachine::new(&lag_policy());
        let mut twin = StateMachine::new(&lag_policy());
        let mut ended = std::collections::BTreeSet::new();
        for command in &commands {
            let before = state.clone();
            let outcome = state.apply(command);
            prop_assert_eq!(&outcome, &twin.apply(command));
            prop_assert_eq!(&state, &twin, "the same commands make the same state");
            prop_assert_eq!(state.log_index(), before.log_index() + 1);
            let mut names: Vec<_> = state.sessions().values().map(|session| &session.name).collect();
            names.sort();
            names.dedup();
            prop_assert_eq!(names.len(), state.sessions().len(), "a name has one session");
            ended.extend(state.ended_sessions().keys().copied());
            prop_assert!(state.sessions().keys().all(|id| !ended.contains(id)), "an ended session is open again");
            for (id, session) in state.sessions() {
                if let Some(earlier) = before.sessions().get(id) {
                    prop_assert!(session.renewals >= earlier.renewals);
                }
            }
            // Fencing for lag never exceeds the limit, and never concerns a session that does not lag.
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
