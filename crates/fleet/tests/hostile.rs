//! Hostile input: a replica with another build or on a faulty machine, or another program, may send any bytes. Hostile input may cost
//! a process its vote, but never ends the process.

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
        NAMES.map(|name| format!("[[peer]]\nname = \"{name}\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n"));
    let text = format!("name = \"f\"\ngateway = \"{own}\"\n{}", peers.concat());
    let document = weldworks_config::Document::parse("f", &text).expect("settings are not valid TOML");
    FleetSettings::read(&document.root())
}

/// Three replicas with sessions, some of whose messages to each other are corrupted.
struct Cluster {
    now: Duration,
    nodes: Vec<Node>,
    rng: fastrand::Rng,
    corrupts_messages: bool,
    library_failures: usize,
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        let node = |n: usize| {
            let process = Incarnation(n as u64 + 1);
            let vote = StoredVote { voter: process, records: Vec::new() };
            Node::new(settings(NAMES[n]), process, Version::default(), n as u64, vote)
        };
        let mut cluster = Cluster {
            now: Duration::ZERO,
            nodes: (0..3).map(node).collect(),
            rng: fastrand::Rng::with_seed(seed),
            corrupts_messages: false,
            library_failures: 0,
        };
        for member in 0..3 {
            for peer in (0..3).filter(|peer| *peer != member) {
                cluster.link(member, peer);
            }
        }
        cluster.run_ticks(100);
        cluster
    }

    fn deliver(&mut self, from: usize, out: Vec<NodeAction>) {
        let mut queue: VecDeque<(usize, usize, Frame)> = VecDeque::new();
        let outgoing_frames = |from: usize, out: Vec<NodeAction>| {
            out.into_iter().filter_map(move |action| match action {
                NodeAction::Send { to, frame } => {
                    Some((from, NAMES.iter().position(|name| *name == to)?, frame))
                }
                _ => None,
            })
        };
        queue.extend(outgoing_frames(from, out));
        while let Some((from, to, mut frame)) = queue.pop_front() {
            if self.corrupts_messages && self.rng.bool() {
                corrupt(&mut frame, &mut self.rng);
            }
            let mut out = Vec::new();
            self.nodes[to].receive(self.now, NAMES[from], frame, &mut out);
            let is_library_failure = |action: &&NodeAction| matches!(action, NodeAction::Notice(text) if text.contains("consensus library panicked"));
            self.library_failures += out.iter().filter(is_library_failure).count();
            queue.extend(outgoing_frames(to, out));
        }
    }

    fn link(&mut self, member: usize, peer: usize) {
        let process = Incarnation(peer as u64 + 1);
        let mut out = Vec::new();
        let remote = PeerProcess { process, voter: process };
        self.nodes[member].link_up(self.now, NAMES[peer], remote, &mut out);
        self.deliver(member, out);
    }

    fn run_ticks(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += TICK_INTERVAL;
            for n in 0..3 {
                let mut out = Vec::new();
                self.nodes[n].tick(self.now, &mut out);
                self.deliver(n, out);
            }
        }
    }
}

/// Changes indices and ballots in a message of the consensus library, so that the message contradicts other messages.
fn corrupt(frame: &mut Frame, rng: &mut fastrand::Rng) {
    let Frame::Consensus(ConsensusMessage::Paxos { message, .. }) = frame else { return };
    let Message::SequencePaxos(paxos) = &mut **message else { return };
    let mut shift =
        |index: &mut usize| *index = index.wrapping_add(rng.usize(..2000)).wrapping_sub(1000) % 100_000;
    match &mut paxos.msg {
        PaxosMsg::AcceptDecide(message) => shift(&mut message.decided_idx),
        PaxosMsg::Decide(message) => shift(&mut message.decided_idx),
        PaxosMsg::Accepted(message) => shift(&mut message.accepted_idx),
        PaxosMsg::Prepare(message) => {
            shift(&mut message.decided_idx);
            shift(&mut message.accepted_idx);
            message.n_accepted.n = message.n_accepted.n.saturating_sub(1);
        }
        PaxosMsg::Promise(message) => {
            shift(&mut message.decided_idx);
            shift(&mut message.accepted_idx);
            message.n_accepted.n += 1;
            message.log_sync = None;
        }
        PaxosMsg::AcceptSync(message) => {
            shift(&mut message.decided_idx);
            shift(&mut message.log_sync.sync_idx);
        }
        _ => {}
    }
}

/// Replicas receive messages of the consensus library that contradict the log, as a replica with another build or on a faulty machine may
/// send them. The library panics on some of these messages; the receiver gives up its vote and continues to run.
#[test]
fn a_node_survives_contradictory_messages_of_the_library() {
    let mut library_failures = 0;
    for seed in 0..100 {
        let mut cluster = Cluster::new(seed);
        cluster.corrupts_messages = true;
        for _ in 0..10 {
            cluster.run_ticks(10);
            let (member, peer) = (cluster.rng.usize(..3), cluster.rng.usize(..3));
            if member != peer {
                cluster.link(member, peer);
            }
        }
        library_failures += cluster.library_failures;
        for node in &cluster.nodes {
            assert!(!node.status(cluster.now).session_state.is_empty());
        }
    }
    assert!(library_failures > 0, "no corrupted message made the library panic: the test checks nothing");
}

/// A peer sends frames with random bytes: a frame that decodes is handled without a panic.
#[test]
fn random_bytes_are_rejected_or_handled() {
    let mut cluster = Cluster::new(1);
    let heartbeat = Frame::Heartbeat { views: Vec::new() };
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..2000 {
        let mut bytes =
            protocol::encode_frame(&heartbeat).expect("heartbeat exceeds the maximum frame length");
        bytes.extend((0..rng.usize(..64)).map(|_| rng.u8(..)));
        bytes[0] = rng.u8(..16);
        if let Ok(frame) = protocol::decode_frame::<Frame>(&bytes) {
            cluster.nodes[0].receive(cluster.now, "b", frame, &mut Vec::new());
        }
    }
    cluster.run_ticks(10);
    assert!(!cluster.nodes[0].status(cluster.now).session_state.is_empty());
}
