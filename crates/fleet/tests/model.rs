//! Model check of the session rules: all orders, losses, duplications and delays of requests are searched to a limited depth. The state
//! machine under test is the real one; clocks, messages and lease holders are modelled.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;
use weldworks_fleet::lease::Lease;
use weldworks_fleet::settings::LagPolicy;
use weldworks_fleet::state_machine::{Command, CommandOutcome, Renewal, SessionId, StateMachine};
use weldworks_fleet::version::{Incarnation, ListVersion, Version};

/// Two processes that run under the same gateway name.
const PROCESSES: [(&str, u64); 2] = [("a", 1), ("a", 2)];
/// A lease of 4 s with a clock margin of a quarter: the holder stops relying on the lease after 3 s, and the grantors count it as expired
/// after 5 s.
const LEASE: Lease = Lease { length: Duration::from_secs(4), margin: 0.25 };
/// Time at which the model's clock stops, in seconds.
const END_TIME_S: u64 = 7;
/// Maximum number of session requests of each process.
const MAX_REQUESTS: u64 = 2;
/// Maximum number of commands that the state machine applies, including duplicates.
const MAX_COMMANDS: u64 = 4;
/// Depth to which the state space is searched completely.
const SEARCH_DEPTH: usize = 14;

const NO_ACTION_WITHOUT_SESSION: &str = "no holder acts in a session that has ended";
const ONE_PROCESS_AT_A_TIME: &str = "one process of a name acts at a time";
const A_SESSION_EXPIRES: &str = "a session expires";

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    request_count: u64,
    /// Time at which each request was sent, in seconds; the first entry belongs to request number 1.
    sent_at: Vec<u64>,
    session: Option<SessionId>,
    expires_at: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: u64,
    state_machine: StateMachine,
    holders: Vec<Holder>,
    /// Commands in flight to the state machine: each command may arrive late, twice, or never.
    commands: BTreeSet<PendingCommand>,
    /// Grants in flight: index of the receiving holder, session, and number of the request.
    grants: BTreeSet<(usize, SessionId, u64)>,
    /// Renewals observed by the replica that expires sessions: session, renewal count, and time of the first observation in seconds.
    observed: Vec<(SessionId, u64, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum PendingCommand {
    Open(usize, u64),
    Renew(usize, SessionId, u64),
    Expire(SessionId, u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    SendRequest(usize),
    ApplyCommand(PendingCommand),
    ReceiveGrant(usize, SessionId, u64),
    ProposeExpiry(SessionId, u64),
}

/// A rule that is violated on purpose, to show that the search finds the violation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutation {
    None,
    /// The holder counts its lease from the receipt of the grant instead of the sending of the request.
    CountsFromGrant,
    /// An expiry command names the current renewal count instead of the observed one.
    UnconditionalExpiry,
    /// A repeated open request is not counted as a renewal.
    ReopenUncounted,
}

struct SessionModel(Mutation);

fn version(index: u64) -> Version {
    Version { list: ListVersion { lineage: "r".into(), index }, ..Version::default() }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

impl SessionModel {
    fn command(&self, state: &ModelState, pending: PendingCommand) -> Command {
        match pending {
            PendingCommand::Open(holder, request) => {
                let (name, process) = PROCESSES[holder];
                let known = state.state_machine.session_of(name).map(|(_, session)| session.renewals);
                let request = match (self.0, known) {
                    (Mutation::ReopenUncounted, Some(renewals)) => renewals,
                    _ => request,
                };
                Command::OpenSession {
                    name: name.into(),
                    process: Incarnation(process),
                    version: version(1),
                    request,
                }
            }
            PendingCommand::Renew(_, session, count) => {
                Command::RenewSessions(vec![Renewal { session, count, version: None }])
            }
            PendingCommand::Expire(session, observed) => {
                let open = state.state_machine.sessions().get(&session);
                let current = open.map_or(observed, |session| session.renewals);
                let renewals = if self.0 == Mutation::UnconditionalExpiry { current } else { observed };
                Command::ExpireSession { session, renewals }
            }
        }
    }

    fn apply_command(&self, previous: &ModelState, state: &mut ModelState, pending: PendingCommand) {
        let outcome = state.state_machine.apply(&self.command(previous, pending));
        match (pending, outcome) {
            (PendingCommand::Open(holder, request), CommandOutcome::Opened(session)) => {
                state.grants.insert((holder, session, request));
            }
            (PendingCommand::Renew(holder, session, request), CommandOutcome::Applied) => {
                state.grants.insert((holder, session, request));
            }
            _ => {}
        }
    }

    fn receive_grant(&self, state: &mut ModelState, holder: usize, session: SessionId, request: u64) {
        let now = state.now;
        let holder = &mut state.holders[holder];
        let sent_at = holder.sent_at[request as usize - 1];
        let from = if self.0 == Mutation::CountsFromGrant { now } else { sent_at };
        let expires_at = LEASE.holder_expiry(secs(from)).as_secs();
        let is_same = holder.session == Some(session);
        holder.expires_at = if is_same { holder.expires_at.max(expires_at) } else { expires_at };
        holder.session = Some(session);
    }
}

impl ModelState {
    fn send_request(&mut self, holder_index: usize) {
        let holder = &mut self.holders[holder_index];
        holder.request_count += 1;
        holder.sent_at.push(self.now);
        let request = holder.request_count;
        self.commands.insert(match holder.session {
            Some(session) => PendingCommand::Renew(holder_index, session, request),
            None => PendingCommand::Open(holder_index, request),
        });
    }

    fn observe_renewals(&mut self) {
        let sessions = self.state_machine.sessions();
        self.observed.retain(|(id, ..)| sessions.contains_key(id));
        for (id, session) in sessions {
            match self.observed.iter_mut().find(|(known, ..)| known == id) {
                Some(observed) if observed.1 != session.renewals => {
                    *observed = (*id, session.renewals, self.now);
                }
                Some(_) => {}
                None => self.observed.push((*id, session.renewals, self.now)),
            }
        }
    }

    fn may_act(&self, holder: usize) -> bool {
        self.holders[holder].session.is_some() && self.now < self.holders[holder].expires_at
    }
}

impl Model for SessionModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let lag_policy = LagPolicy { max_list_lag: 3, max_lag_duration: secs(5), max_fenced_fraction: 0.2 };
        vec![ModelState {
            now: 0,
            state_machine: StateMachine::new(&lag_policy),
            holders: vec![Holder::default(); PROCESSES.len()],
            commands: BTreeSet::new(),
            grants: BTreeSet::new(),
            observed: Vec::new(),
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        if state.now < END_TIME_S {
            actions.push(Action::Tick);
        }
        for (index, holder) in state.holders.iter().enumerate() {
            if holder.request_count < MAX_REQUESTS {
                actions.push(Action::SendRequest(index));
            }
        }
        actions.extend(state.commands.iter().map(|pending| Action::ApplyCommand(*pending)));
        for (holder, session, request) in &state.grants {
            actions.push(Action::ReceiveGrant(*holder, *session, *request));
        }
        for (session, renewals, since) in &state.observed {
            if secs(state.now) >= LEASE.grantor_expiry(secs(*since)) {
                actions.push(Action::ProposeExpiry(*session, *renewals));
            }
        }
    }

    fn next_state(&self, previous: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = previous.clone();
        match action {
            Action::Tick => state.now += 1,
            Action::SendRequest(holder) => state.send_request(holder),
            Action::ApplyCommand(pending) => {
                self.apply_command(previous, &mut state, pending);
                // The number of commands is limited: each duplicate of a command raises the log index, which would make the search endless.
                if state.state_machine.log_index() > MAX_COMMANDS {
                    return None;
                }
                state.observe_renewals();
            }
            Action::ReceiveGrant(holder, session, request) => {
                self.receive_grant(&mut state, holder, session, request);
            }
            Action::ProposeExpiry(session, renewals) => {
                if !state.commands.insert(PendingCommand::Expire(session, renewals)) {
                    return None;
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_ACTION_WITHOUT_SESSION, |_, state: &ModelState| {
                state.holders.iter().all(|holder| {
                    let sessions = state.state_machine.sessions();
                    let has_ended = holder.session.is_some_and(|id| !sessions.contains_key(&id));
                    !has_ended || state.now >= holder.expires_at
                })
            }),
            Property::always(ONE_PROCESS_AT_A_TIME, |_, state: &ModelState| {
                !(state.may_act(0) && state.may_act(1))
            }),
            Property::sometimes(A_SESSION_EXPIRES, |_, state: &ModelState| {
                !state.state_machine.ended_sessions().is_empty()
            }),
            Property::sometimes("a second process takes the name over", |_, state: &ModelState| {
                let session = state.state_machine.session_of("a");
                session.is_some_and(|(_, session)| session.process == Incarnation(2))
                    && !state.state_machine.ended_sessions().is_empty()
            }),
        ]
    }
}

/// Result of a search: the number of visited states, and the names of the properties that were found violated or reached.
struct SearchResult {
    states: usize,
    discoveries: Vec<&'static str>,
}

impl SearchResult {
    fn has_violation(&self) -> bool {
        let rules = [NO_ACTION_WITHOUT_SESSION, ONE_PROCESS_AT_A_TIME];
        self.discoveries.iter().any(|name| rules.contains(name))
    }
}

fn search(mutation: Mutation) -> SearchResult {
    let checker =
        SessionModel(mutation).checker().threads(2).target_max_depth(SEARCH_DEPTH).spawn_bfs().join();
    SearchResult {
        states: checker.unique_state_count(),
        discoveries: checker.discoveries().into_keys().collect(),
    }
}

#[test]
fn session_rules_hold_in_every_order_of_messages() {
    let result = search(Mutation::None);
    println!("{} states", result.states);
    assert!(result.states > 10_000, "only {} states were searched", result.states);
    assert!(!result.has_violation(), "{:?}", result.discoveries);
    assert!(
        result.discoveries.contains(&A_SESSION_EXPIRES),
        "no session ever expires in the search: {:?}",
        result.discoveries
    );
}

#[test]
fn search_finds_each_violated_rule() {
    for mutation in [Mutation::CountsFromGrant, Mutation::UnconditionalExpiry, Mutation::ReopenUncounted] {
        let result = search(mutation);
        assert!(result.has_violation(), "{mutation:?}: {:?}", result.discoveries);
    }
}
