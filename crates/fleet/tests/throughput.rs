//! What an entry of the register costs. `cargo test --release -p weldworks-fleet --test throughput -- --ignored --nocapture`

use std::collections::VecDeque;
use std::time::{Duration, Instant};
use weldworks_fleet::council::{Council, Doings};
use weldworks_fleet::register::{Entry, Register, Renewal};
use weldworks_fleet::settings::Stragglers;
use weldworks_fleet::version::{Incarnation, Version};
use weldworks_fleet::wire;

struct Members {
    names: Vec<String>,
    councils: Vec<Council>,
    said: VecDeque<(usize, usize, Vec<u8>)>,
    bytes: usize,
}

impl Members {
    fn new(count: usize) -> Members {
        let names: Vec<String> = (0..count).map(|n| format!("m{n}")).collect();
        let terms = Stragglers { versions: 3, time: Duration::from_secs(5), most: 0.2 };
        let council = |n: usize| {
            Council::new(names[n].clone(), Incarnation(n as u64 + 1), names.clone(), Register::new(&terms))
        };
        let councils = (0..count).map(council).collect();
        let mut members = Members { names, councils, said: VecDeque::new(), bytes: 0 };
        for one in 0..count {
            for other in (0..count).filter(|o| *o != one) {
                let doings = members.councils[one]
                    .linked(&members.names[other].clone(), Incarnation(other as u64 + 1));
                members.put(one, doings);
            }
        }
        members
    }

    /// Words go encoded, as on a link.
    fn put(&mut self, from: usize, doings: Doings) {
        for said in doings.said {
            let Some(to) = self.names.iter().position(|n| *n == said.to) else { continue };
            let bytes = wire::write(&said.word).expect("a word");
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
            let word = wire::read(&bytes).expect("a word");
            let from = self.names[from].clone();
            let doings = self.councils[to].hear(&from, word);
            self.put(to, doings);
        }
    }

    fn leader(&self) -> Option<usize> {
        self.councils
            .iter()
            .position(|c| c.leads() && c.register().position() > 0)
            .or_else(|| self.councils.iter().position(Council::leads))
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
                let open = Entry::Open {
                    name: format!("g{n}"),
                    process: Incarnation(9),
                    version: Version::default(),
                    ask: 1,
                };
                assert!(fleet.councils[leader].propose(open));
            }
            for _ in 0..5 {
                fleet.tick();
            }
            let sessions: Vec<u64> = fleet.councils[leader].register().sessions().keys().copied().collect();
            assert_eq!(sessions.len(), renewals);
            let (began, from, bytes) =
                (Instant::now(), fleet.councils[leader].register().position(), fleet.bytes);
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
                    fleet.councils[leader].propose(Entry::Renew(sessions.iter().map(renewal).collect()));
                }
                fleet.tick();
            }
            let took = began.elapsed().as_secs_f64();
            let entries = (fleet.councils[0].register().position() - from) as f64;
            println!(
                "{members} members, {renewals} renewals an entry: {:.0} entries a second on one core for all members, {:.1} us an entry and member, {:.0} bytes an entry",
                entries / took, took * 1e6 / entries / members as f64, (fleet.bytes - bytes) as f64 / entries
            );
        }
    }
}
