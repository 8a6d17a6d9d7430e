//! Compares the bytes of every frame and stored record with fixtures that version 0.2.0 wrote. Later versions are linked to gateways of
//! version 0.2.0 and read its files: if a frame or record encoded to other bytes, the other version would reject it as malformed.
//!
//! `WRITE_FIXTURES=1 cargo test -p <this package> --test formats` overwrites the fixtures. Overwriting them is permitted only for an
//! intended change of the format.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::{
    BLEMessage, HeartbeatMsg, HeartbeatReply, HeartbeatRequest,
};
use omnipaxos::messages::sequence_paxos::{
    AcceptDecide, AcceptSync, Accepted, Decide, NotAccepted, PaxosMessage, PaxosMsg, Prepare, PrepareReq,
};
use omnipaxos::messages::Message;
use omnipaxos::util::{LogSync, SequenceNumber};
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;
use weldworks_fleet::consensus::{
    ConfigTag, ConsensusGroup, ConsensusMessage, GroupConfig, OutgoingMessage, Replica, StorageChange,
    StoredRecord,
};
use weldworks_fleet::membership::PeerView;
use weldworks_fleet::protocol::{self, AdminQuery, Caller, DepartedEndpoint, Frame, Hello, StateUpdate};
use weldworks_fleet::settings::LagPolicy;
use weldworks_fleet::state_machine::{Command, FenceReason, Renewal, Requirements, StateMachine, VersionLag};
use weldworks_fleet::version::{Incarnation, ListVersion, Version};

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/formats.txt");

fn list(index: u64) -> ListVersion {
    ListVersion { lineage: "register-a".to_owned(), index }
}

fn version(index: u64) -> Version {
    Version { list: list(index), config: 0xc0ff, generation: 2, operator: 77, build: "0.2.0+00ab".to_owned() }
}

fn commands() -> Vec<(&'static str, Command)> {
    vec![
        (
            "open",
            Command::OpenSession {
                name: "g0".into(),
                process: Incarnation(7),
                version: version(300),
                request: 4,
            },
        ),
        (
            "renew",
            Command::RenewSessions(vec![
                Renewal { session: 1, count: 5, version: None },
                Renewal { session: 2, count: 6, version: Some(version(301)) },
            ]),
        ),
        ("lapse", Command::ExpireSession { session: 1, renewals: 5 }),
        ("close", Command::CloseSession { session: 2 }),
        ("shut-out", Command::FenceLagging { session: 1, version: version(299) }),
        ("hold", Command::SetFenced { name: "g1".into(), fenced: true }),
        (
            "require",
            Command::SetRequirements(Requirements {
                list: Some(list(9)),
                config: Some(3),
                build: Some("b".into()),
            }),
        ),
        (
            "departed",
            Command::RecordDepartures {
                list: list(302),
                endpoints: vec![("n1".into(), true), ("n2".into(), false)],
                reported_by: "g0".into(),
            },
        ),
    ]
}

fn state_machine() -> StateMachine {
    let mut state = StateMachine::new(&LagPolicy {
        max_fenced_fraction: 0.5,
        max_list_lag: 3,
        max_lag_duration: Duration::from_secs(5),
    });
    for gateway in ["g0", "g1", "g2", "g3"] {
        let index = if gateway == "g3" { 1 } else { 300 };
        let process = Incarnation(u64::from(gateway.as_bytes()[1]));
        state.apply(&Command::OpenSession {
            name: gateway.into(),
            process,
            version: version(index),
            request: 1,
        });
    }
    for (_, command) in commands() {
        state.apply(&command);
    }
    state.apply(&Command::FenceLagging { session: 4, version: version(1) });
    state
}

fn config() -> GroupConfig {
    let replicas = ["g0", "g1", "g2"].map(|name| Replica { name: name.into(), process: Incarnation(7) });
    GroupConfig { group_id: 99, generation: 3, replicas: replicas.into() }
}

fn ballot(n: u32) -> Ballot {
    Ballot { config_id: 3, n, priority: 1, pid: 2 }
}

fn sequence(counter: u64) -> SequenceNumber {
    SequenceNumber { session: 1, counter }
}

fn messages() -> Vec<(&'static str, Message<Command>)> {
    let log =
        || vec![Command::CloseSession { session: 2 }, Command::ExpireSession { session: 1, renewals: 5 }];
    let sync = LogSync { decided_snapshot: None, suffix: log(), sync_idx: 4, stopsign: None };
    let paxos = [
        ("prepare-request", PaxosMsg::PrepareReq(PrepareReq { n: ballot(1) })),
        (
            "prepare",
            PaxosMsg::Prepare(Prepare {
                n: ballot(2),
                decided_idx: 3,
                n_accepted: ballot(1),
                accepted_idx: 300,
            }),
        ),
        (
            "accept-sync",
            PaxosMsg::AcceptSync(AcceptSync {
                n: ballot(2),
                seq_num: sequence(1),
                decided_idx: 3,
                log_sync: sync,
            }),
        ),
        (
            "accept-decide",
            PaxosMsg::AcceptDecide(AcceptDecide {
                n: ballot(2),
                seq_num: sequence(2),
                decided_idx: 3,
                entries: log(),
            }),
        ),
        ("accepted", PaxosMsg::Accepted(Accepted { n: ballot(2), accepted_idx: 5 })),
        ("not-accepted", PaxosMsg::NotAccepted(NotAccepted { n: ballot(2) })),
        ("decide", PaxosMsg::Decide(Decide { n: ballot(2), seq_num: sequence(3), decided_idx: 5 })),
        ("proposal", PaxosMsg::ProposalForward(log())),
    ];
    let mut messages: Vec<_> = paxos
        .into_iter()
        .map(|(name, msg)| (name, Message::SequencePaxos(PaxosMessage { from: 1, to: 2, msg })))
        .collect();
    let request = HeartbeatMsg::Request(HeartbeatRequest { round: 8 });
    let reply =
        HeartbeatMsg::Reply(HeartbeatReply { round: 8, ballot: ballot(2), leader: ballot(2), happy: true });
    messages.push(("heartbeat-request", Message::BLE(BLEMessage { from: 1, to: 2, msg: request })));
    messages.push(("heartbeat-reply", Message::BLE(BLEMessage { from: 2, to: 1, msg: reply })));
    messages
}

#[expect(clippy::too_many_lines, reason = "one entry for each kind of frame")]
fn frames() -> Vec<(String, Frame)> {
    let update = StateUpdate {
        log_index: 12,
        fence_reason: Some(FenceReason::Lagging(VersionLag::List { own: 1, current: 300 })),
        current_list_index: Some(300),
        required_config: Some(3),
        departures: vec![DepartedEndpoint {
            endpoint: "n1".into(),
            removed: true,
            list_index: 302,
            reported_by: "g0".into(),
        }],
    };
    let mut frames: Vec<(String, Frame)> = Vec::new();
    let mut add = |name: &str, frame| frames.push((name.to_owned(), frame));
    let views = vec![
        ("g1".to_owned(), PeerView::Reachable),
        ("g2".to_owned(), PeerView::Silent),
        ("g3".to_owned(), PeerView::Refused),
        ("g4".to_owned(), PeerView::Unreachable),
        ("g5".to_owned(), PeerView::Unknown),
    ];
    add("pulse", Frame::Heartbeat { views });
    add(
        "council-holds-none",
        Frame::Consensus(ConsensusMessage::AnnounceConfig {
            tag: None,
            followed_founder: Some(Incarnation(7)),
        }),
    );
    let tag = ConfigTag { group_id: 99, generation: 3 };
    add(
        "council-holds",
        Frame::Consensus(ConsensusMessage::AnnounceConfig { tag: Some(tag), followed_founder: None }),
    );
    add(
        "council-formed",
        Frame::Consensus(ConsensusMessage::SendConfig { config: config(), base: Box::new(state_machine()) }),
    );
    for (name, message) in messages() {
        add(
            &format!("council-log-{name}"),
            Frame::Consensus(ConsensusMessage::Paxos { tag, message: Box::new(message) }),
        );
    }
    add("open", Frame::OpenSession { request: 4, version: version(300) });
    add("renew", Frame::RenewSession { session: 1, request: 5, version: version(300) });
    add("granted", Frame::SessionGranted { session: 1, request: 5, update: update.clone() });
    add("granted-plain", Frame::SessionGranted { session: 1, request: 6, update: StateUpdate::default() });
    add("told", Frame::StateUpdate(update));
    add(
        "told-config",
        Frame::StateUpdate(StateUpdate {
            fence_reason: Some(FenceReason::Lagging(VersionLag::Config { own: 1, required: 2 })),
            ..StateUpdate::default()
        }),
    );
    add(
        "told-build",
        Frame::StateUpdate(StateUpdate {
            fence_reason: Some(FenceReason::Lagging(VersionLag::Build {
                own: "a".into(),
                required: "b".into(),
            })),
            ..StateUpdate::default()
        }),
    );
    add(
        "told-held",
        Frame::StateUpdate(StateUpdate {
            fence_reason: Some(FenceReason::Administrator),
            ..StateUpdate::default()
        }),
    );
    add("no-session", Frame::NoSession { request: 4, holder: Some(Incarnation(8)) });
    add("not-now", Frame::Unavailable { request: 4 });
    add("departed", Frame::Departures { list: list(302), endpoints: vec![("n1".into(), true)] });
    add("close", Frame::CloseSession { session: 1 });
    add("ask-status", Frame::AdminQuery(AdminQuery::Status));
    add("ask-audit", Frame::AdminQuery(AdminQuery::Audit { from_index: 1, to_index: 300 }));
    add("ask-request", Frame::AdminQuery(AdminQuery::Request { request_id: "r-1".into() }));
    for (name, command) in commands() {
        add(&format!("ask-decide-{name}"), Frame::AdminQuery(AdminQuery::Propose(Box::new(command))));
    }
    add("answer", Frame::AdminAnswer("{\"a\":1}".into()));
    add("whole", Frame::StateSnapshot(Box::new(state_machine())));
    frames
}

fn records() -> Vec<(String, Vec<u8>)> {
    let stored = [
        ("began", StoredRecord::ConfigStarted { config: config(), base: Box::new(state_machine()) }),
        (
            "log",
            StoredRecord::StorageChanged(StorageChange::Log(
                4,
                commands().into_iter().map(|(_, command)| command).collect(),
            )),
        ),
        ("promise", StoredRecord::StorageChanged(StorageChange::Promise(ballot(2)))),
        ("accepted", StoredRecord::StorageChanged(StorageChange::Accepted(ballot(2)))),
        ("decided", StoredRecord::StorageChanged(StorageChange::Decided(300))),
        ("stop", StoredRecord::StorageChanged(StorageChange::StopSign(None))),
    ];
    let caller = Caller::Gateway {
        name: "g0".into(),
        process: Incarnation(7),
        voter: Incarnation(6),
        agreement_digest: 55,
    };
    let hellos = [
        ("hello-gateway", Hello::new("valpadana", caller, "g1")),
        ("hello-staff", Hello::new("valpadana", Caller::Administrator, "")),
    ];
    let frames =
        frames().into_iter().map(|(name, frame)| (format!("frame-{name}"), protocol::encode_frame(&frame)));
    let stored =
        stored.iter().map(|(name, stored)| (format!("stored-{name}"), protocol::encode_frame(stored)));
    let hellos = hellos.iter().map(|(name, hello)| ((*name).to_owned(), protocol::encode_frame(hello)));
    let all = hellos.chain(frames).chain(stored);
    all.map(|(name, bytes)| (name, bytes.expect("record exceeds the maximum frame length"))).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).expect("fixture bytes are not hexadecimal digits");
        u8::from_str_radix(pair, 16).expect("fixture bytes are not hexadecimal digits")
    };
    digits.map(byte).collect()
}

fn fixtures() -> Vec<(String, Vec<u8>)> {
    let text = std::fs::read_to_string(Path::new(FIXTURE)).expect("fixture file cannot be read");
    let line = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("fixture line has no space between name and bytes");
        (name.to_owned(), unhex(bytes))
    };
    text.lines().map(line).collect()
}

#[test]
fn frames_and_records_encode_to_the_bytes_of_version_0_2_0() {
    let records = records();
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        let line = |(name, bytes): &(String, Vec<u8>)| format!("{name} {}\n", hex(bytes));
        std::fs::write(FIXTURE, records.iter().map(line).collect::<String>())
            .expect("fixture file cannot be written");
    }
    let fixtures = fixtures();
    assert_eq!(records.len(), fixtures.len(), "number of values differs from the number of fixtures");
    for ((name, bytes), (fixture_name, fixture)) in records.iter().zip(&fixtures) {
        assert_eq!(name, fixture_name);
        assert_eq!(hex(bytes), hex(fixture), "{name}");
    }
}

#[test]
fn bytes_of_version_0_2_0_decode_and_encode_to_the_same_bytes() {
    for (name, bytes) in fixtures() {
        let encoded_again = if name.starts_with("hello") {
            protocol::encode_frame(&protocol::decode_frame::<Hello>(&bytes).expect(&name))
        } else if name.starts_with("stored") {
            protocol::encode_frame(&protocol::decode_frame::<StoredRecord>(&bytes).expect(&name))
        } else {
            protocol::encode_frame(&protocol::decode_frame::<Frame>(&bytes).expect(&name))
        };
        assert_eq!(
            hex(&encoded_again.expect("value exceeds the maximum frame length")),
            hex(&bytes),
            "{name}"
        );
    }
}

/// Gateways of two builds compare two digests: that of the `[fleet]` settings in a hello, and that of a founded consensus group. Each
/// digest is taken of a text, which must stay the same even if types or fields are renamed.
#[test]
fn digests_that_gateways_compare_are_those_of_version_0_2_0() {
    let peers: String = ["g0", "g1", "g2"]
        .map(|name| format!("[[fleet.peer]]\nname = \"{name}\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n"))
        .concat();
    let text =
        format!("[fleet]\nname = \"valpadana\"\ngateway = \"g0\"\nlease = \"4s\"\nmargin = 0.03\n{peers}");
    let document = weldworks_config::Document::parse("f.toml", &text).expect("settings are not valid TOML");
    let settings = weldworks_fleet::settings::FleetSettings::read(
        &document.root().table("fleet").expect("settings have no [fleet] table"),
    );
    assert_eq!(format!("{:016x}", settings.digest()), "bdf005d04b337653");

    let names = ["g0", "g1", "g2"].map(str::to_owned);
    let process = |name: &str| Incarnation(u64::from(name.as_bytes()[1]));
    let member = |name: &String| {
        ConsensusGroup::new(name.clone(), process(name), names.to_vec(), StateMachine::default())
    };
    let mut members: Vec<ConsensusGroup> = names.iter().map(member).collect();
    let mut in_flight: Vec<(usize, OutgoingMessage)> = Vec::new();
    for (n, member) in members.iter_mut().enumerate() {
        for peer in names.iter().filter(|peer| **peer != names[n]) {
            in_flight.extend(member.link_up(peer, process(peer)).messages.into_iter().map(|sent| (n, sent)));
        }
    }
    for _ in 0..400 {
        for (from, sent) in std::mem::take(&mut in_flight) {
            let to =
                names.iter().position(|name| *name == sent.to).expect("message is addressed to no member");
            let output = members[to].receive(&names[from], sent.message);
            in_flight.extend(output.messages.into_iter().map(|sent| (to, sent)));
        }
        for (n, member) in members.iter_mut().enumerate() {
            in_flight.extend(member.tick().messages.into_iter().map(|sent| (n, sent)));
        }
    }
    let config = members[0].config().expect("three linked members have not founded a group");
    assert_eq!(format!("{:016x}", config.group_id), "dfb1af7152f4ebbb");
}
