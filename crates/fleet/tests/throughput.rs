//! What an entry of the register costs. `cargo test --release -p weldworks-fleet --test throughput -- --ignored --nocapture`

use std::collections::VecDeque;
use std::time::{Duration, Instant};
use weldworks_fleet::consensus::{ConsensusGroup, StepOutput};
use weldworks_fleet::protocol;
use weldworks_fleet::settings::LagPolicy;
use weldworks_fleet::state_machine::{Command, Renewal, StateMachine};
use weldworks_fleet::version::{Incarnation, Version};

struct Members {
    names: Vec<String>,
    councils: Vec<ConsensusGroup>,
    said: VecDeque<(usize, usize, Vec<u8>)>,
    bytes: usize,
}

impl Members {
    fn new(count: usize) -> Members {
        let names: Vec<String> = (0..count).map(|n| format!("m{n}")).collect();
        let terms =
            LagPolicy { max_list_lag: 3, max_lag_duration: Duration::from_secs(5), max_fenced_fraction: 0.2 };
        let council = |n: usize| {
            ConsensusGroup::new(
                names[n].clone(),
                Incarnation(n as u64 + 1),
                names.clone(),
                StateMachine::new(&terms),
            )
        };
        let councils = (0..count).map(council).collect();
        let mut members = Members { names, councils, said: VecDeque::new(), bytes: 0 };
        for one in 0..count {
            for other in (0..count).filter(|o| *o != one) {
                let doings = members.councils[one]
                    .link_up(&members.names[other].clone(), Incarnation(other as u64 + 1));
                members.put(one, doings);
            }
        }
        members
    }

    /// Words go encoded, as on a link.
    fn put(&mut self, from: usize, doings: StepOutput) {
        for said in doings.messages {
            let Some(to) = self.names.iter().position(|n| *n == said.to) else { continue };
            let bytes = protocol::encode_frame(&said.message).expect("a word");
            self.bytes += bytes.len();
            self.said.push_back((from, to, bytes));
        }
    }

    fn tick(&mut self) {
        for n in 0..self.councils.len() {
            let doings = self.councils[n].tick();
            self.put(n, doings);
        }
        while let Some((from, to, bytes)) = self.said.pop_front() {
            let word = protocol::decode_frame(&bytes).expect("a word");
            let from = self.names[from].clone();
            let doings = self.councils[to].receive(&from, word);
            self.put(to, doings);
        }
    }

    fn leader(&self) -> Option<usize> {
        self.councils
            .iter()
            .position(|c| c.is_leader() && c.state().log_index() > 0)
            .or_else(|| self.councils.iter().position(ConsensusGroup::is_leader))
    }
}

#[test]
#[ignore = "a measurement"]
fn figures() {
    for members in [3, 5] {
        for renewals in [1usize, 100] {
            let mut fleet = Members::new(members);
            while fleet.leader().is_none() {
                fleet.tick();
            }
            let leader = fleet.leader().expect("a leader");
            for n in 0..renewals {
                let open = Command::OpenSession {
                    name: format!("g{n}"),
                    process: Incarnation(9),
                    version: Version::default(),
                    request: 1,
                };
                assert!(fleet.councils[leader].propose(open));
            }
            for _ in 0..5 {
                fleet.tick();
            }
            let sessions: Vec<u64> = fleet.councils[leader].state().sessions().keys().copied().collect();
            assert_eq!(sessions.len(), renewals);
            let (began, from, bytes) =
                (Instant::now(), fleet.councils[leader].state().log_index(), fleet.bytes);
            let mut count = 1;
            while began.elapsed() < Duration::from_secs(2) {
                // A long log is begun anew, and for some ticks nobody leads.
                let Some(leader) = fleet.leader() else {
                    fleet.tick();
                    continue;
                };
                for _ in 0..256 {
                    count += 1;
                    let renewal = |session: &u64| Renewal { session: *session, count, version: None };
                    fleet.councils[leader]
                        .propose(Command::RenewSessions(sessions.iter().map(renewal).collect()));
                }
                fleet.tick();
            }
            let took = began.elapsed().as_secs_f64();
            let entries = (fleet.councils[0].state().log_index() - from) as f64;
            println!(
                "{members} members, {renewals} renewals an entry: {:.0} entries a second on one core for all members, {:.1} us an entry and member, {:.0} bytes an entry",
                entries / took, took * 1e6 / entries / members as f64, (fleet.bytes - bytes) as f64 / entries
            );
        }
    }
}
