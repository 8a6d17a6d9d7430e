//! Measures the cost of a command of the replicated log. To run it:
//! `cargo test --release -p weldworks-fleet --test throughput -- --ignored --nocapture`

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
    /// Messages in flight: sender, receiver and encoded bytes.
    in_flight: VecDeque<(usize, usize, Vec<u8>)>,
    sent_bytes: usize,
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
        let mut cluster = Cluster { names, groups, in_flight: VecDeque::new(), sent_bytes: 0 };
        for member in 0..count {
            for peer in (0..count).filter(|peer| *peer != member) {
                let output = cluster.groups[member]
                    .link_up(&cluster.names[peer].clone(), Incarnation(peer as u64 + 1));
                cluster.enqueue(member, output);
            }
        }
        cluster
    }

    /// Encodes the messages of a step as a link does, and puts them in flight.
    fn enqueue(&mut self, from: usize, output: StepOutput) {
        for outgoing in output.messages {
            let Some(to) = self.names.iter().position(|name| *name == outgoing.to) else { continue };
            let bytes =
                protocol::encode_frame(&outgoing.message).expect("message exceeds the maximum frame length");
            self.sent_bytes += bytes.len();
            self.in_flight.push_back((from, to, bytes));
        }
    }

    fn tick(&mut self) {
        for n in 0..self.groups.len() {
            let output = self.groups[n].tick();
            self.enqueue(n, output);
        }
        while let Some((from, to, bytes)) = self.in_flight.pop_front() {
            let message = protocol::decode_frame(&bytes).expect("message does not decode");
            let from = self.names[from].clone();
            let output = self.groups[to].receive(&from, message);
            self.enqueue(to, output);
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
#[ignore = "a measurement, not a check"]
fn measure_cost_of_a_command() {
    for members in [3, 5] {
        for renewals in [1usize, 100] {
            let mut cluster = Cluster::new(members);
            while cluster.leader().is_none() {
                cluster.tick();
            }
            let leader = cluster.leader().expect("no leader after the election");
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
            let first_bytes = cluster.sent_bytes;
            let mut count = 1;
            while start.elapsed() < Duration::from_secs(2) {
                // While a new configuration truncates a long log, the group has no leader for some ticks.
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
                entries / elapsed_s, elapsed_s * 1e6 / entries / members as f64, (cluster.sent_bytes - first_bytes) as f64 / entries
            );
        }
    }
}
