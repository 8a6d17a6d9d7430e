//! Cost of a command of the replicated log. `cargo test --release -p weldworks-fleet --test throughput -- --ignored --nocapture`

use std::collections::VecDeque;
use std::time::{Duration, Instant};
use weldworks_fleet::consensus::{ConsensusGroup, StepOutput};
use weldworks_fleet::protocol;
use weldworks_fleet::settings::LagPolicy;
use weldworks_fleet::state_machine::{Command, Renewal, StateMachine};
use weldworks_fleet::version::{Incarnation, Version};

struct Cluster {
    names: Vec<String>,
    groups: Vec<ConsensusGroup>,
    /// Encoded messages: sender, receiver and bytes.
    in_flight: VecDeque<(usize, usize, Vec<u8>)>,
    bytes: usize,
}

impl Cluster {
    fn new(count: usize) -> Cluster {
        let names: Vec<String> = (0..count).map(|n| format!("m{n}")).collect();
        let lag_policy =
            LagPolicy { max_list_lag: 3, max_lag_duration: Duration::from_secs(5), max_fenced_fraction: 0.2 };
        let group = |n: usize| {
            ConsensusGroup::new(
                names[n].clone(),
                Incarnation(n as u64 + 1),
                names.clone(),
                StateMachine::new(&lag_policy),
            )
        };
        let groups = (0..count).map(group).collect();
        let mut cluster = Cluster { names, groups, in_flight: VecDeque::new(), bytes: 0 };
        for one in 0..count {
            for other in (0..count).filter(|other| *other != one) {
                let output =
                    cluster.groups[one].link_up(&cluster.names[other].clone(), Incarnation(other as u64 + 1));
                cluster.put(one, output);
            }
        }
        cluster
    }

    /// Encodes the messages, as a link does.
    fn put(&mut self, from: usize, output: StepOutput) {
        for outgoing in output.messages {
            let Some(to) = self.names.iter().position(|name| *name == outgoing.to) else { continue };
            let bytes = protocol::encode_frame(&outgoing.message).expect("a message");
            self.bytes += bytes.len();
            self.in_flight.push_back((from, to, bytes));
        }
    }

    fn tick(&mut self) {
        for n in 0..self.groups.len() {
            let output = self.groups[n].tick();
            self.put(n, output);
        }
        while let Some((from, to, bytes)) = self.in_flight.pop_front() {
            let message = protocol::decode_frame(&bytes).expect("a message");
            let from = self.names[from].clone();
            let output = self.groups[to].receive(&from, message);
            self.put(to, output);
        }
    }

    fn leader(&self) -> Option<usize> {
        self.groups
            .iter()
            .position(|group| group.is_leader() && group.state().log_index() > 0)
            .or_else(|| self.groups.iter().position(ConsensusGroup::is_leader))
    }
}

#[test]
#[ignore = "a measurement"]
fn cost_of_a_command() {
    for members in [3, 5] {
        for renewals in [1usize, 100] {
            let mut cluster = Cluster::new(members);
            while cluster.leader().is_none() {
                cluster.tick();
            }
            let leader = cluster.leader().expect("a leader");
            for n in 0..renewals {
                let open = Command::OpenSession {
                    name: format!("g{n}"),
                    process: Incarnation(9),
                    version: Version::default(),
                    request: 1,
                };
                assert!(cluster.groups[leader].propose(open));
            }
            for _ in 0..5 {
                cluster.tick();
            }
            let sessions: Vec<u64> = cluster.groups[leader].state().sessions().keys().copied().collect();
            assert_eq!(sessions.len(), renewals);
            let start = Instant::now();
            let first_index = cluster.groups[leader].state().log_index();
            let first_bytes = cluster.bytes;
            let mut count = 1;
            while start.elapsed() < Duration::from_secs(2) {
                // A long log is truncated, and for some ticks nobody leads.
                let Some(leader) = cluster.leader() else {
                    cluster.tick();
                    continue;
                };
                for _ in 0..256 {
                    count += 1;
                    let renewal = |session: &u64| Renewal { session: *session, count, version: None };
                    cluster.groups[leader]
                        .propose(Command::RenewSessions(sessions.iter().map(renewal).collect()));
                }
                cluster.tick();
            }
            let elapsed_s = start.elapsed().as_secs_f64();
            let entries = (cluster.groups[0].state().log_index() - first_index) as f64;
            println!(
                "{members} members, {renewals} renewals an entry: {:.0} entries a second on one core for all members, {:.1} us an entry and member, {:.0} bytes an entry",
                entries / elapsed_s, elapsed_s * 1e6 / entries / members as f64, (cluster.bytes - first_bytes) as f64 / entries
            );
        }
    }
}
