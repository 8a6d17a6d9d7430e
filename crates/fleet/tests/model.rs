//! The register's rules of sessions under every order of asking, loss, doubling and delay, to a stated depth. The register is the real
//! one; time, the messages and what a holder may believe are the model's.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;
use weldworks_fleet::lease::Lease;
use weldworks_fleet::settings::LagPolicy;
use weldworks_fleet::state_machine::{Command, CommandOutcome, Renewal, SessionId, StateMachine};
use weldworks_fleet::version::{Incarnation, ListVersion, Version};

/// Two processes of one name.
const PROCESSES: [(&str, u64); 2] = [("a", 1), ("a", 2)];
/// A lease of 4 s whose margin is a quarter: let go after 3, counted on after 5.
const LEASE: Lease = Lease { length: Duration::from_secs(4), margin: 0.25 };
/// The model's time ends here, in seconds.
const END: u64 = 7;
/// Each process asks so often at most.
const ASKS: u64 = 2;
/// The register applies so many entries at most, those that come twice among them.
const MOST: u64 = 4;
/// Depth to which all is searched.
const DEPTH: usize = 14;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    asks: u64,
    /// When each was asked, by its number from 1.
    asked: Vec<u64>,
    session: Option<SessionId>,
    until: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    register: StateMachine,
    holders: Vec<Holder>,
    /// Entries on their way to the register: each may come late, twice, or never.
    entries: BTreeSet<Asked>,
    /// Grants on their way: to whom, which session, which asking.
    grants: BTreeSet<(usize, SessionId, u64)>,
    /// Since when the one who ends sessions has seen no renewal: session, asking, time.
    seen: Vec<(SessionId, u64, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Asked {
    Open(usize, u64),
    Renew(usize, SessionId, u64),
    Lapse(SessionId, u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    Ask(usize),
    Arrive(Asked),
    Grant(usize, SessionId, u64),
    Give(SessionId, u64),
}

/// A rule that can be broken on purpose, to see that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// The holder counts from the grant.
    CountsFromGrant,
    /// A lapse does not name the renewals that were seen.
    BlindLapse,
    /// Opening again is not counted as a renewal.
    ReopenUncounted,
}

struct Sessions(Broken);

fn version(index: u64) -> Version {
    Version { list: ListVersion { lineage: "r".into(), index }, ..Version::default() }
}

fn secs(at: u64) -> Duration {
    Duration::from_secs(at)
}

impl Sessions {
    fn entry(&self, state: &State, asked: Asked) -> Command {
        match asked {
            Asked::Open(who, ask) => {
                let (name, process) = PROCESSES[who];
                let known = state.register.session_of(name).map(|(_, s)| s.renewals);
                let ask = match (self.0, known) {
                    (Broken::ReopenUncounted, Some(renewals)) => renewals,
                    _ => ask,
                };
                Command::OpenSession {
                    name: name.into(),
                    process: Incarnation(process),
                    version: version(1),
                    request: ask,
                }
            }
            Asked::Renew(_, session, count) => {
                Command::RenewSessions(vec![Renewal { session, count, version: None }])
            }
            Asked::Lapse(session, seen) => {
                let now = state.register.sessions().get(&session).map_or(seen, |s| s.renewals);
                let renewals = if self.0 == Broken::BlindLapse { now } else { seen };
                Command::ExpireSession { session, renewals }
            }
        }
    }
}

impl Model for Sessions {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let terms = LagPolicy { max_list_lag: 3, max_lag_duration: secs(5), max_fenced_fraction: 0.2 };
        vec![State {
            now: 0,
            register: StateMachine::new(&terms),
            holders: vec![Holder::default(); PROCESSES.len()],
            entries: BTreeSet::new(),
            grants: BTreeSet::new(),
            seen: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < END {
            actions.push(Action::Tick);
        }
        for (who, holder) in state.holders.iter().enumerate() {
            if holder.asks < ASKS {
                actions.push(Action::Ask(who));
            }
        }
        actions.extend(state.entries.iter().map(|asked| Action::Arrive(*asked)));
        actions.extend(state.grants.iter().map(|(who, session, ask)| Action::Grant(*who, *session, *ask)));
        for (session, renewals, since) in &state.seen {
            if secs(state.now) >= LEASE.grantor_expiry(secs(*since)) {
                actions.push(Action::Give(*session, *renewals));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => state.now += 1,
            Action::Ask(who) => {
                let holder = &mut state.holders[who];
                holder.asks += 1;
                holder.asked.push(state.now);
                let ask = holder.asks;
                state.entries.insert(match holder.session {
                    Some(session) => Asked::Renew(who, session, ask),
                    None => Asked::Open(who, ask),
                });
            }
            Action::Arrive(asked) => {
                let applied = state.register.apply(&self.entry(last, asked));
                match (asked, applied) {
                    (Asked::Open(who, ask), CommandOutcome::Opened(session)) => {
                        state.grants.insert((who, session, ask));
                    }
                    (Asked::Renew(who, session, ask), CommandOutcome::Applied) => {
                        state.grants.insert((who, session, ask));
                    }
                    _ => {}
                }
                // The position of an entry that comes again and again would make the search endless.
                if state.register.log_index() > MOST {
                    return None;
                }
                state.seen.retain(|(id, ..)| state.register.sessions().contains_key(id));
                for (id, session) in state.register.sessions() {
                    match state.seen.iter_mut().find(|(known, ..)| known == id) {
                        Some(seen) if seen.1 != session.renewals => {
                            *seen = (*id, session.renewals, state.now)
                        }
                        Some(_) => {}
                        None => state.seen.push((*id, session.renewals, state.now)),
                    }
                }
            }
            Action::Grant(who, session, ask) => {
                let holder = &mut state.holders[who];
                let asked = holder.asked[ask as usize - 1];
                let from = if self.0 == Broken::CountsFromGrant { state.now } else { asked };
                let until = LEASE.holder_expiry(secs(from)).as_secs();
                holder.until = if holder.session == Some(session) { holder.until.max(until) } else { until };
                holder.session = Some(session);
            }
            Action::Give(session, renewals) => {
                if !state.entries.insert(Asked::Lapse(session, renewals)) {
                    return None;
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody acts in a session that is over", |_, state: &State| {
                state.holders.iter().all(|h| {
                    let over = h.session.is_some_and(|id| !state.register.sessions().contains_key(&id));
                    !over || state.now >= h.until
                })
            }),
            Property::always("one process of a name acts at a time", |_, state: &State| {
                let acts =
                    |who: usize| state.holders[who].session.is_some() && state.now < state.holders[who].until;
                !(acts(0) && acts(1))
            }),
            Property::sometimes("a session lapses", |_, state: &State| {
                !state.register.ended_sessions().is_empty()
            }),
            Property::sometimes("a second process takes the name over", |_, state: &State| {
                state.register.session_of("a").is_some_and(|(_, s)| s.process == Incarnation(2))
                    && !state.register.ended_sessions().is_empty()
            }),
        ]
    }
}

fn search(broken: Broken) -> (usize, Vec<&'static str>) {
    let checker = Sessions(broken).checker().threads(2).target_max_depth(DEPTH).spawn_bfs().join();
    let found = checker.discoveries().into_keys().collect();
    (checker.unique_state_count(), found)
}

#[test]
fn sessions_keep_their_rules_in_every_order() {
    let (states, found) = search(Broken::Nothing);
    println!("{states} states");
    assert!(states > 10_000, "{states} states are no search");
    assert!(!found.iter().any(|f| f.starts_with("nobody") || f.starts_with("one process")), "{found:?}");
    assert!(found.contains(&"a session lapses"), "nothing happens in it: {found:?}");
}

#[test]
fn each_rule_left_out_is_found() {
    for broken in [Broken::CountsFromGrant, Broken::BlindLapse, Broken::ReopenUncounted] {
        let (_, found) = search(broken);
        assert!(
            found.iter().any(|f| f.starts_with("nobody") || f.starts_with("one process")),
            "{broken:?}: {found:?}"
        );
    }
}
