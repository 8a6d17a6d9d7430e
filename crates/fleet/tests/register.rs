//! The register's rules, whatever is applied in which order.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_fleet::register::{Applied, Behind, Cause, Entry, Register, Renewal, Require};
use weldworks_fleet::settings::Stragglers;
use weldworks_fleet::version::{Incarnation, Listed, Version};

fn terms() -> Stragglers {
    Stragglers { versions: 3, time: Duration::from_secs(5), most: 0.2 }
}

fn version(index: u64) -> Version {
    Version { list: Listed { lineage: "r".into(), index }, ..Version::default() }
}

fn open(name: &str, process: u64, index: u64) -> Entry {
    Entry::Open { name: name.into(), process: Incarnation(process), version: version(index), ask: 1 }
}

fn renew(session: u64, count: u64, index: Option<u64>) -> Entry {
    Entry::Renew(vec![Renewal { session, count, version: index.map(version) }])
}

/// Five gateways, of which the last one is behind.
fn five(last: u64) -> Register {
    let mut register = Register::new(&terms());
    for (n, index) in [10, 10, 10, 10, last].into_iter().enumerate() {
        assert_eq!(register.apply(&open(&format!("g{n}"), n as u64, index)), Applied::Opened(n as u64 + 1));
    }
    register
}

#[test]
fn a_name_is_one_process_at_a_time() {
    let mut register = five(10);
    assert_eq!(register.apply(&open("g0", 9, 10)), Applied::NameTaken { by: Incarnation(0) });
    assert_eq!(
        register.apply(&open("g0", 0, 10)),
        Applied::Opened(1),
        "the answer was lost: the same session"
    );
    assert_eq!(register.apply(&Entry::Close { session: 1 }), Applied::Done);
    let position = register.position();
    assert_eq!(register.apply(&open("g0", 9, 10)), Applied::Opened(position + 1));
}

#[test]
fn a_session_renewed_since_does_not_lapse() {
    let mut register = five(10);
    assert_eq!(register.apply(&renew(1, 2, None)), Applied::Done);
    assert_eq!(register.apply(&Entry::Lapse { session: 1, renewals: 1 }), Applied::Void);
    // Asked to open it again counts as renewed: its holder counts from that asking.
    let again = Entry::Open { name: "g0".into(), process: Incarnation(0), version: version(10), ask: 3 };
    register.apply(&again);
    assert_eq!(register.apply(&Entry::Lapse { session: 1, renewals: 2 }), Applied::Void);
    assert_eq!(register.apply(&Entry::Lapse { session: 1, renewals: 3 }), Applied::Done);
    assert_eq!(register.apply(&renew(1, 9, None)), Applied::Void, "what is over stays over");
    assert!(register.ended()[&1].lapsed);
}

#[test]
fn one_process_alone_does_not_set_what_is_current() {
    let mut register = five(900);
    assert_eq!(register.current("r"), Some(10));
    assert_eq!(register.stragglers().count(), 0);
    // Two of five with a strange register neither.
    register.apply(&renew(1, 2, Some(900)));
    assert_eq!(register.current("r"), Some(10));
    register.apply(&renew(2, 2, Some(900)));
    assert_eq!(register.current("r"), Some(900), "three of five are more than half");
    assert_eq!(register.current("other"), None);
}

#[test]
fn a_straggler_is_shut_out_and_let_in_once_it_is_current() {
    let mut register = five(7);
    let out = |register: &Register| register.sessions()[&5].out.clone();
    assert_eq!(
        register.apply(&Entry::ShutOut { session: 1, version: version(10) }),
        Applied::Void,
        "it is current"
    );
    assert_eq!(
        register.apply(&Entry::ShutOut { session: 5, version: version(6) }),
        Applied::Void,
        "it has moved"
    );
    assert_eq!(register.apply(&Entry::ShutOut { session: 5, version: version(7) }), Applied::Done);
    assert_eq!(out(&register), Some(Cause::Behind(Behind::List { own: 7, current: 10 })));
    register.apply(&renew(5, 2, Some(8)));
    assert_eq!(out(&register), None, "two versions behind is within the allowed three");
}

#[test]
fn no_version_takes_the_fleet_out() {
    let mut register = five(10);
    register.apply(&Entry::Require(Require { config: Some(7), ..Require::default() }));
    assert_eq!(register.stragglers().count(), 5, "nobody has it");
    assert_eq!(register.apply(&Entry::ShutOut { session: 1, version: version(10) }), Applied::Done);
    for session in 2..=5 {
        assert_eq!(register.apply(&Entry::ShutOut { session, version: version(10) }), Applied::TooMany);
    }
    register.apply(&Entry::Require(Require::default()));
    assert!(register.sessions().values().all(|s| s.out.is_none()), "it was taken back");
}

#[test]
fn staff_shut_out_and_let_in_by_name() {
    let mut register = five(10);
    let hold = |out| Entry::Hold { name: "g4".into(), out };
    assert_eq!(register.apply(&hold(true)), Applied::Done);
    assert_eq!(register.apply(&hold(true)), Applied::Void);
    register.apply(&Entry::Close { session: 5 });
    register.apply(&open("g4", 77, 10));
    assert_eq!(
        register.session_of("g4").and_then(|(_, s)| s.out.clone()),
        Some(Cause::Held),
        "a new process too"
    );
    register.apply(&hold(false));
    assert_eq!(register.session_of("g4").and_then(|(_, s)| s.out.clone()), None);
}

#[test]
fn a_departure_is_told_to_those_with_older_lists_on_the_same_lineage_only() {
    let mut register = five(7);
    let list = |index| Listed { lineage: "r".into(), index };
    let gone = |index, gone| Entry::Departed {
        list: list(index),
        hosts: vec![("n1".into(), gone)],
        by: "g0".into(),
    };
    assert_eq!(register.apply(&gone(9, false)), Applied::Done);
    assert_eq!(
        register.apply(&gone(8, true)),
        Applied::Void,
        "an older list's word does not undo a newer one's"
    );
    assert_eq!(register.apply(&gone(9, true)), Applied::Done, "gone says more than leaves");
    assert_eq!(
        register.departures_since(&list(7)).map(|(host, d)| (host, d.gone)).collect::<Vec<_>>(),
        [("n1", true)]
    );
    assert_eq!(register.departures_since(&list(9)).count(), 0);
    assert_eq!(register.departures_since(&Listed { lineage: "q".into(), index: 0 }).count(), 0);
}

fn entry() -> impl Strategy<Value = Entry> {
    let name = (0u8..6).prop_map(|n| format!("g{n}"));
    let session = 0u64..60;
    prop_oneof![
        3 => (name.clone(), 0u64..3, 0u64..20, 0u64..9).prop_map(|(name, p, index, ask)| Entry::Open {
            name, process: Incarnation(p), version: version(index), ask,
        }),
        4 => (session.clone(), 0u64..9, prop::option::of(0u64..20)).prop_map(|(s, c, index)| renew(s, c, index)),
        2 => (session.clone(), 0u64..9).prop_map(|(session, renewals)| Entry::Lapse { session, renewals }),
        1 => session.clone().prop_map(|session| Entry::Close { session }),
        3 => (session, 0u64..20).prop_map(|(session, index)| Entry::ShutOut { session, version: version(index) }),
        1 => (name, any::<bool>()).prop_map(|(name, out)| Entry::Hold { name, out }),
        1 => prop::option::of(0u64..3).prop_map(|config| Entry::Require(Require { config, ..Require::default() })),
        1 => (0u64..20, any::<bool>()).prop_map(|(index, gone)| Entry::Departed {
            list: Listed { lineage: "r".into(), index }, hosts: vec![(format!("n{}", index % 4), gone)], by: "g0".into(),
        }),
    ]
}

proptest! {
    #[test]
    fn rules_hold_whatever_is_applied(entries in prop::collection::vec(entry(), 1..120)) {
        let mut register = Register::new(&terms());
        let mut twin = Register::new(&terms());
        let mut over = std::collections::BTreeSet::new();
        for entry in &entries {
            let before = register.clone();
            let applied = register.apply(entry);
            prop_assert_eq!(&applied, &twin.apply(entry));
            prop_assert_eq!(&register, &twin, "the same entries make the same register");
            prop_assert_eq!(register.position(), before.position() + 1);
            let mut names: Vec<_> = register.sessions().values().map(|s| &s.name).collect();
            names.sort();
            names.dedup();
            prop_assert_eq!(names.len(), register.sessions().len(), "a name has one session");
            over.extend(register.ended().keys().copied());
            prop_assert!(register.sessions().keys().all(|id| !over.contains(id)), "what is over comes back");
            for (id, session) in register.sessions() {
                if let Some(was) = before.sessions().get(id) {
                    prop_assert!(session.renewals >= was.renewals);
                }
            }
            // Shutting out for lagging never goes beyond the share, and is never done to one that is current.
            if let Entry::ShutOut { session, .. } = entry {
                if applied == Applied::Done {
                    prop_assert!(before.may_shut_out() > 0);
                    prop_assert!(before.behind(&before.sessions()[session].version).is_some());
                }
            }
            let lagging = register.sessions().values().filter(|s| matches!(s.out, Some(Cause::Behind(_))));
            prop_assert!(lagging.clone().all(|s| register.behind(&s.version).is_some() || !matches!(entry, Entry::Renew(_) | Entry::Require(_))));
        }
    }
}
