//! The register's rules, whatever is applied in which order.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_fleet::settings::LagPolicy;
use weldworks_fleet::state_machine::{
    Command, CommandOutcome, FenceReason, Renewal, ReplicaLag, Requirements, StateMachine,
};
use weldworks_fleet::version::{Incarnation, ListVersion, Version};

fn terms() -> LagPolicy {
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

/// Five gateways, of which the last one is behind.
fn five(last: u64) -> StateMachine {
    let mut register = StateMachine::new(&terms());
    for (n, index) in [10, 10, 10, 10, last].into_iter().enumerate() {
        assert_eq!(
            register.apply(&open(&format!("g{n}"), n as u64, index)),
            CommandOutcome::Opened(n as u64 + 1)
        );
    }
    register
}

#[test]
fn a_name_is_one_process_at_a_time() {
    let mut register = five(10);
    assert_eq!(register.apply(&open("g0", 9, 10)), CommandOutcome::NameTaken { holder: Incarnation(0) });
    assert_eq!(
        register.apply(&open("g0", 0, 10)),
        CommandOutcome::Opened(1),
        "the answer was lost: the same session"
    );
    assert_eq!(register.apply(&Command::CloseSession { session: 1 }), CommandOutcome::Applied);
    let position = register.log_index();
    assert_eq!(register.apply(&open("g0", 9, 10)), CommandOutcome::Opened(position + 1));
}

#[test]
fn a_session_renewed_since_does_not_lapse() {
    let mut register = five(10);
    assert_eq!(register.apply(&renew(1, 2, None)), CommandOutcome::Applied);
    assert_eq!(register.apply(&Command::ExpireSession { session: 1, renewals: 1 }), CommandOutcome::Obsolete);
    // Asked to open it again counts as renewed: its holder counts from that asking.
    let again =
        Command::OpenSession { name: "g0".into(), process: Incarnation(0), version: version(10), request: 3 };
    register.apply(&again);
    assert_eq!(register.apply(&Command::ExpireSession { session: 1, renewals: 2 }), CommandOutcome::Obsolete);
    assert_eq!(register.apply(&Command::ExpireSession { session: 1, renewals: 3 }), CommandOutcome::Applied);
    assert_eq!(register.apply(&renew(1, 9, None)), CommandOutcome::Obsolete, "what is over stays over");
    assert!(register.ended_sessions()[&1].expired);
}

#[test]
fn one_process_alone_does_not_set_what_is_current() {
    let mut register = five(900);
    assert_eq!(register.current_list_index("r"), Some(10));
    assert_eq!(register.lagging_sessions().count(), 0);
    // Two of five with a strange register neither.
    register.apply(&renew(1, 2, Some(900)));
    assert_eq!(register.current_list_index("r"), Some(10));
    register.apply(&renew(2, 2, Some(900)));
    assert_eq!(register.current_list_index("r"), Some(900), "three of five are more than half");
    assert_eq!(register.current_list_index("other"), None);
}

#[test]
fn a_straggler_is_shut_out_and_let_in_once_it_is_current() {
    let mut register = five(7);
    let out = |register: &StateMachine| register.sessions()[&5].fence_reason.clone();
    assert_eq!(
        register.apply(&Command::FenceLagging { session: 1, version: version(10) }),
        CommandOutcome::Obsolete,
        "it is current"
    );
    assert_eq!(
        register.apply(&Command::FenceLagging { session: 5, version: version(6) }),
        CommandOutcome::Obsolete,
        "it has moved"
    );
    assert_eq!(
        register.apply(&Command::FenceLagging { session: 5, version: version(7) }),
        CommandOutcome::Applied
    );
    assert_eq!(out(&register), Some(FenceReason::Lagging(ReplicaLag::List { own: 7, current: 10 })));
    register.apply(&renew(5, 2, Some(8)));
    assert_eq!(out(&register), None, "two versions behind is within the allowed three");
}

#[test]
fn no_version_takes_the_fleet_out() {
    let mut register = five(10);
    register.apply(&Command::SetRequirements(Requirements { config: Some(7), ..Requirements::default() }));
    assert_eq!(register.lagging_sessions().count(), 5, "nobody has it");
    assert_eq!(
        register.apply(&Command::FenceLagging { session: 1, version: version(10) }),
        CommandOutcome::Applied
    );
    for session in 2..=5 {
        assert_eq!(
            register.apply(&Command::FenceLagging { session, version: version(10) }),
            CommandOutcome::FenceLimitReached
        );
    }
    register.apply(&Command::SetRequirements(Requirements::default()));
    assert!(register.sessions().values().all(|s| s.fence_reason.is_none()), "it was taken back");
}

#[test]
fn staff_shut_out_and_let_in_by_name() {
    let mut register = five(10);
    let hold = |out| Command::SetFenced { name: "g4".into(), fenced: out };
    assert_eq!(register.apply(&hold(true)), CommandOutcome::Applied);
    assert_eq!(register.apply(&hold(true)), CommandOutcome::Obsolete);
    register.apply(&Command::CloseSession { session: 5 });
    register.apply(&open("g4", 77, 10));
    assert_eq!(
        register.session_of("g4").and_then(|(_, s)| s.fence_reason.clone()),
        Some(FenceReason::Administrator),
        "a new process too"
    );
    register.apply(&hold(false));
    assert_eq!(register.session_of("g4").and_then(|(_, s)| s.fence_reason.clone()), None);
}

#[test]
fn a_departure_is_told_to_those_with_older_lists_on_the_same_lineage_only() {
    let mut register = five(7);
    let list = |index| ListVersion { lineage: "r".into(), index };
    let gone = |index, gone| Command::RecordDepartures {
        list: list(index),
        endpoints: vec![("n1".into(), gone)],
        reported_by: "g0".into(),
    };
    assert_eq!(register.apply(&gone(9, false)), CommandOutcome::Applied);
    assert_eq!(
        register.apply(&gone(8, true)),
        CommandOutcome::Obsolete,
        "an older list's word does not undo a newer one's"
    );
    assert_eq!(register.apply(&gone(9, true)), CommandOutcome::Applied, "gone says more than leaves");
    assert_eq!(
        register.departures_since(&list(7)).map(|(host, d)| (host, d.removed)).collect::<Vec<_>>(),
        [("n1", true)]
    );
    assert_eq!(register.departures_since(&list(9)).count(), 0);
    assert_eq!(register.departures_since(&ListVersion { lineage: "q".into(), index: 0 }).count(), 0);
}

fn entry() -> impl Strategy<Value = Command> {
    let name = (0u8..6).prop_map(|n| format!("g{n}"));
    let session = 0u64..60;
    prop_oneof![
        3 => (name.clone(), 0u64..3, 0u64..20, 0u64..9).prop_map(|(name, p, index, ask)| Command::OpenSession {
            name, process: Incarnation(p), version: version(index), request: ask,
        }),
        4 => (session.clone(), 0u64..9, prop::option::of(0u64..20)).prop_map(|(s, c, index)| renew(s, c, index)),
        2 => (session.clone(), 0u64..9).prop_map(|(session, renewals)| Command::ExpireSession { session, renewals }),
        1 => session.clone().prop_map(|session| Command::CloseSession { session }),
        3 => (session, 0u64..20).prop_map(|(session, index)| Command::FenceLagging { session, version: version(index) }),
        1 => (name, any::<bool>()).prop_map(|(name, out)| Command::SetFenced { name, fenced: out }),
        1 => prop::option::of(0u64..3).prop_map(|config| Command::SetRequirements(Requirements { config, ..Requirements::default() })),
        1 => (0u64..20, any::<bool>()).prop_map(|(index, gone)| Command::RecordDepartures {
            list: ListVersion { lineage: "r".into(), index }, endpoints: vec![(format!("n{}", index % 4), gone)], reported_by: "g0".into(),
        }),
    ]
}

proptest! {
    #[test]
    fn rules_hold_whatever_is_applied(entries in prop::collection::vec(entry(), 1..120)) {
        let mut register = StateMachine::new(&terms());
        let mut twin = StateMachine::new(&terms());
        let mut over = std::collections::BTreeSet::new();
        for entry in &entries {
            let before = register.clone();
            let applied = register.apply(entry);
            prop_assert_eq!(&applied, &twin.apply(entry));
            prop_assert_eq!(&register, &twin, "the same entries make the same register");
            prop_assert_eq!(register.log_index(), before.log_index() + 1);
            let mut names: Vec<_> = register.sessions().values().map(|s| &s.name).collect();
            names.sort();
            names.dedup();
            prop_assert_eq!(names.len(), register.sessions().len(), "a name has one session");
            over.extend(register.ended_sessions().keys().copied());
            prop_assert!(register.sessions().keys().all(|id| !over.contains(id)), "what is over comes back");
            for (id, session) in register.sessions() {
                if let Some(was) = before.sessions().get(id) {
                    prop_assert!(session.renewals >= was.renewals);
                }
            }
            // Shutting out for lagging never goes beyond the share, and is never done to one that is current.
            if let Command::FenceLagging { session, .. } = entry {
                if applied == CommandOutcome::Applied {
                    prop_assert!(before.fence_capacity() > 0);
                    prop_assert!(before.lag_of(&before.sessions()[session].version).is_some());
                }
            }
            let lagging = register.sessions().values().filter(|s| matches!(s.fence_reason, Some(FenceReason::Lagging(_))));
            prop_assert!(lagging.clone().all(|s| register.lag_of(&s.version).is_some() || !matches!(entry, Command::RenewSessions(_) | Command::SetRequirements(_))));
        }
    }
}
