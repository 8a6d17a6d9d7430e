//! What a member says may be anything: another build's, a broken machine's, a stranger's. It costs a seat at most, never the process.

use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::messages::Message;
use std::collections::VecDeque;
use std::time::Duration;
use weldworks_fleet::consensus::{ConsensusMessage, TICK_INTERVAL};
use weldworks_fleet::node::{Node, NodeAction, PeerProcess, StoredVote};
use weldworks_fleet::protocol::{self, Frame};
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::version::{Incarnation, Version};

const NAMES: [&str; 3] = ["a", "b", "c"];

fn settings(own: &str) -> FleetSettings {
    let peers =
        NAMES.map(|n| format!("[[peer]]\nname = \"{n}\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n"));
    let text = format!("name = \"f\"\ngateway = \"{own}\"\n{}", peers.concat());
    let document = weldworks_config::Document::parse("f", &text).expect("a file");
    FleetSettings::read(&document.root())
}

/// Three members in session, and some of what they say to each other.
struct Three {
    now: Duration,
    agents: Vec<Node>,
    rng: fastrand::Rng,
    lies: bool,
    broke_off: usize,
}

impl Three {
    fn new(seed: u64) -> Three {
        let agent = |n: usize| {
            let process = Incarnation(n as u64 + 1);
            let vote = StoredVote { voter: process, records: Vec::new() };
            Node::new(settings(NAMES[n]), process, Version::default(), n as u64, vote)
        };
        let mut three = Three {
            now: Duration::ZERO,
            agents: (0..3).map(agent).collect(),
            rng: fastrand::Rng::with_seed(seed),
            lies: false,
            broke_off: 0,
        };
        for one in 0..3 {
            for other in (0..3).filter(|o| *o != one) {
                three.link(one, other);
            }
        }
        three.run(100);
        three
    }

    fn deliver(&mut self, from: usize, out: Vec<NodeAction>) {
        let mut queue: VecDeque<(usize, usize, Frame)> = VecDeque::new();
        let sends = |from: usize, out: Vec<NodeAction>| {
            out.into_iter().filter_map(move |output| match output {
                NodeAction::Send { to, frame } => Some((from, NAMES.iter().position(|n| *n == to)?, frame)),
                _ => None,
            })
        };
        queue.extend(sends(from, out));
        while let Some((from, to, mut frame)) = queue.pop_front() {
            if self.lies && self.rng.bool() {
                lie(&mut frame, &mut self.rng);
            }
            let mut out = Vec::new();
            self.agents[to].receive(self.now, NAMES[from], frame, &mut out);
            let broke_off =
                |o: &&NodeAction| matches!(o, NodeAction::Notice(note) if note.contains("broke off"));
            self.broke_off += out.iter().filter(broke_off).count();
            queue.extend(sends(to, out));
        }
    }

    fn link(&mut self, one: usize, other: usize) {
        let process = Incarnation(other as u64 + 1);
        let mut out = Vec::new();
        let remote = PeerProcess { process, voter: process };
        self.agents[one].link_up(self.now, NAMES[other], remote, &mut out);
        self.deliver(one, out);
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += TICK_INTERVAL;
            for n in 0..3 {
                let mut out = Vec::new();
                self.agents[n].tick(self.now, &mut out);
                self.deliver(n, out);
            }
        }
    }
}

/// Changes what a member says to what it can't have meant.
fn lie(frame: &mut Frame, rng: &mut fastrand::Rng) {
    let Frame::Consensus(ConsensusMessage::Log { message, .. }) = frame else { return };
    let Message::SequencePaxos(said) = &mut **message else { return };
    let mut any =
        |index: &mut usize| *index = index.wrapping_add(rng.usize(..2000)).wrapping_sub(1000) % 100_000;
    match &mut said.msg {
        PaxosMsg::AcceptDecide(said) => any(&mut said.decided_idx),
        PaxosMsg::Decide(said) => any(&mut said.decided_idx),
        PaxosMsg::Accepted(said) => any(&mut said.accepted_idx),
        PaxosMsg::Prepare(said) => {
            any(&mut said.decided_idx);
            any(&mut said.accepted_idx);
            said.n_accepted.n = said.n_accepted.n.saturating_sub(1);
        }
        PaxosMsg::Promise(said) => {
            any(&mut said.decided_idx);
            any(&mut said.accepted_idx);
            said.n_accepted.n += 1;
            said.log_sync = None;
        }
        PaxosMsg::AcceptSync(said) => {
            any(&mut said.decided_idx);
            any(&mut said.log_sync.sync_idx);
        }
        _ => {}
    }
}

#[test]
fn a_member_that_says_anything_costs_seats_at_most() {
    let mut broke_off = 0;
    for seed in 0..100 {
        let mut three = Three::new(seed);
        three.lies = true;
        for _ in 0..10 {
            three.run(10);
            let (one, other) = (three.rng.usize(..3), three.rng.usize(..3));
            if one != other {
                three.link(one, other);
            }
        }
        broke_off += three.broke_off;
        for agent in &three.agents {
            assert!(!agent.status(three.now).session_state.is_empty());
        }
    }
    assert!(broke_off > 0, "nothing that was said broke anything: this shows nothing");
}

/// The same of bytes: whatever can be read is heard without harm.
#[test]
fn changed_bytes_are_turned_down_or_heard() {
    let mut three = Three::new(1);
    let said = Frame::Heartbeat { views: Vec::new() };
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..2000 {
        let mut bytes = protocol::encode_frame(&said).expect("a frame");
        bytes.extend((0..rng.usize(..64)).map(|_| rng.u8(..)));
        bytes[0] = rng.u8(..16);
        if let Ok(frame) = protocol::decode_frame::<Frame>(&bytes) {
            three.agents[0].receive(three.now, "b", frame, &mut Vec::new());
        }
    }
    three.run(10);
    assert!(!three.agents[0].status(three.now).session_state.is_empty());
}
