//! The bytes of every frame and stored record, against fixtures that version 0.2.0 wrote. A gateway of that version is linked to, and
//! its files are read, by every later one: a frame or record that encodes to other bytes would be refused there as spoilt.
//!
//! `WRITE_FIXTURES=1 cargo test -p <this package> --test formats` writes the fixtures anew; only a change of format on purpose may.

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
use weldworks_fleet::council::{Config, Council, Said, Seat, Stored, Tag, Word, Write};
use weldworks_fleet::members::View;
use weldworks_fleet::register::{Behind, Cause, Entry, Register, Renewal, Require};
use weldworks_fleet::settings::Stragglers;
use weldworks_fleet::version::{Incarnation, Listed, Version};
use weldworks_fleet::wire::{self, Caller, Frame, Gone, Hello, News, Question};

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/formats.txt");

fn list(index: u64) -> Listed {
    Listed { lineage: "register-a".to_owned(), index }
}

fn version(index: u64) -> Version {
    Version { list: list(index), config: 0xc0ff, generation: 2, operator: 77, build: "0.2.0+00ab".to_owned() }
}

fn entries() -> Vec<(&'static str, Entry)> {
    vec![
        ("open", Entry::Open { name: "g0".into(), process: Incarnation(7), version: version(300), ask: 4 }),
        (
            "renew",
            Entry::Renew(vec![
                Renewal { session: 1, count: 5, version: None },
                Renewal { session: 2, count: 6, version: Some(version(301)) },
            ]),
        ),
        ("lapse", Entry::Lapse { session: 1, renewals: 5 }),
        ("close", Entry::Close { session: 2 }),
        ("shut-out", Entry::ShutOut { session: 1, version: version(299) }),
        ("hold", Entry::Hold { name: "g1".into(), out: true }),
        (
            "require",
            Entry::Require(Require { list: Some(list(9)), config: Some(3), build: Some("b".into()) }),
        ),
        (
            "departed",
            Entry::Departed {
                list: list(302),
                hosts: vec![("n1".into(), true), ("n2".into(), false)],
                by: "g0".into(),
            },
        ),
    ]
}

fn register() -> Register {
    let mut register = Register::new(&Stragglers { most: 0.5, versions: 3, time: Duration::from_secs(5) });
    for gateway in ["g0", "g1", "g2", "g3"] {
        let index = if gateway == "g3" { 1 } else { 300 };
        let process = Incarnation(u64::from(gateway.as_bytes()[1]));
        register.apply(&Entry::Open { name: gateway.into(), process, version: version(index), ask: 1 });
    }
    for (_, entry) in entries() {
        register.apply(&entry);
    }
    register.apply(&Entry::ShutOut { session: 4, version: version(1) });
    register
}

fn config() -> Config {
    let seats = ["g0", "g1", "g2"].map(|name| Seat { name: name.into(), process: Incarnation(7) });
    Config { founding: 99, id: 3, seats: seats.into() }
}

fn ballot(n: u32) -> Ballot {
    Ballot { config_id: 3, n, priority: 1, pid: 2 }
}

fn sequence(counter: u64) -> SequenceNumber {
    SequenceNumber { session: 1, counter }
}

fn messages() -> Vec<(&'static str, Message<Entry>)> {
    let log = || vec![Entry::Close { session: 2 }, Entry::Lapse { session: 1, renewals: 5 }];
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

fn frames() -> Vec<(String, Frame)> {
    let news = News {
        position: 12,
        out: Some(Cause::Behind(Behind::List { own: 1, current: 300 })),
        current: Some(300),
        config: Some(3),
        gone: vec![Gone { host: "n1".into(), gone: true, index: 302, by: "g0".into() }],
    };
    let mut frames: Vec<(String, Frame)> = Vec::new();
    let mut add = |name: &str, frame| frames.push((name.to_owned(), frame));
    let views = vec![
        ("g1".to_owned(), View::Here),
        ("g2".to_owned(), View::Silent),
        ("g3".to_owned(), View::Refused),
        ("g4".to_owned(), View::Unreachable),
        ("g5".to_owned(), View::Unknown),
    ];
    add("pulse", Frame::Pulse { views });
    add("council-holds-none", Frame::Council(Word::Holds { tag: None, follows: Some(Incarnation(7)) }));
    let tag = Tag { founding: 99, id: 3 };
    add("council-holds", Frame::Council(Word::Holds { tag: Some(tag), follows: None }));
    add("council-formed", Frame::Council(Word::Formed { config: config(), base: Box::new(register()) }));
    for (name, message) in messages() {
        add(&format!("council-log-{name}"), Frame::Council(Word::Log { tag, message: Box::new(message) }));
    }
    add("open", Frame::Open { ask: 4, version: version(300) });
    add("renew", Frame::Renew { session: 1, ask: 5, version: version(300) });
    add("granted", Frame::Granted { session: 1, ask: 5, news: news.clone() });
    add("granted-plain", Frame::Granted { session: 1, ask: 6, news: News::default() });
    add("told", Frame::Told(news));
    add(
        "told-config",
        Frame::Told(News {
            out: Some(Cause::Behind(Behind::Config { own: 1, required: 2 })),
            ..News::default()
        }),
    );
    add(
        "told-build",
        Frame::Told(News {
            out: Some(Cause::Behind(Behind::Build { own: "a".into(), required: "b".into() })),
            ..News::default()
        }),
    );
    add("told-held", Frame::Told(News { out: Some(Cause::Held), ..News::default() }));
    add("no-session", Frame::NoSession { ask: 4, taken: Some(Incarnation(8)) });
    add("not-now", Frame::NotNow { ask: 4 });
    add("departed", Frame::Departed { list: list(302), hosts: vec![("n1".into(), true)] });
    add("close", Frame::Close { session: 1 });
    add("ask-status", Frame::Ask(Question::Status));
    add("ask-audit", Frame::Ask(Question::Audit { from_index: 1, to_index: 300 }));
    add("ask-request", Frame::Ask(Question::Request { number: "r-1".into() }));
    for (name, entry) in entries() {
        add(&format!("ask-decide-{name}"), Frame::Ask(Question::Decide(Box::new(entry))));
    }
    add("answer", Frame::Answer("{\"a\":1}".into()));
    add("whole", Frame::Whole(Box::new(register())));
    frames
}

fn records() -> Vec<(String, Vec<u8>)> {
    let stored = [
        ("began", Stored::Began { config: config(), base: Box::new(register()) }),
        ("log", Stored::Wrote(Write::Log(4, entries().into_iter().map(|(_, entry)| entry).collect()))),
        ("promise", Stored::Wrote(Write::Promise(ballot(2)))),
        ("accepted", Stored::Wrote(Write::Accepted(ballot(2)))),
        ("decided", Stored::Wrote(Write::Decided(300))),
        ("stop", Stored::Wrote(Write::Stop(None))),
    ];
    let caller =
        Caller::Gateway { name: "g0".into(), process: Incarnation(7), voter: Incarnation(6), terms: 55 };
    let hellos = [
        ("hello-gateway", Hello::new("valpadana", caller, "g1")),
        ("hello-staff", Hello::new("valpadana", Caller::Staff, "")),
    ];
    let frames = frames().into_iter().map(|(name, frame)| (format!("frame-{name}"), wire::write(&frame)));
    let stored = stored.iter().map(|(name, stored)| (format!("stored-{name}"), wire::write(stored)));
    let hellos = hellos.iter().map(|(name, hello)| ((*name).to_owned(), wire::write(hello)));
    let all = hellos.chain(frames).chain(stored);
    all.map(|(name, bytes)| (name, bytes.expect("it is short enough for the link"))).collect()
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
        let pair = std::str::from_utf8(pair).expect("two digits");
        u8::from_str_radix(pair, 16).expect("two digits")
    };
    digits.map(byte).collect()
}

fn fixtures() -> Vec<(String, Vec<u8>)> {
    let text = std::fs::read_to_string(Path::new(FIXTURE)).expect("the fixture is in the repository");
    let line = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("a name and bytes");
        (name.to_owned(), unhex(bytes))
    };
    text.lines().map(line).collect()
}

#[test]
fn frames_and_records_encode_to_the_bytes_of_version_0_2_0() {
    let records = records();
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        let line = |(name, bytes): &(String, Vec<u8>)| format!("{name} {}\n", hex(bytes));
        std::fs::write(FIXTURE, records.iter().map(line).collect::<String>()).expect("the fixture");
    }
    let fixtures = fixtures();
    assert_eq!(records.len(), fixtures.len(), "each fixture has its value here");
    for ((name, bytes), (kept_name, kept)) in records.iter().zip(&fixtures) {
        assert_eq!(name, kept_name);
        assert_eq!(hex(bytes), hex(kept), "{name}");
    }
}

#[test]
fn bytes_of_version_0_2_0_are_read_and_encode_to_the_same_again() {
    for (name, bytes) in fixtures() {
        let again = if name.starts_with("hello") {
            wire::write(&wire::read::<Hello>(&bytes).expect(&name))
        } else if name.starts_with("stored") {
            wire::write(&wire::read::<Stored>(&bytes).expect(&name))
        } else {
            wire::write(&wire::read::<Frame>(&bytes).expect(&name))
        };
        assert_eq!(hex(&again.expect("short enough")), hex(&bytes), "{name}");
    }
}

/// Digests that gateways of two builds compare: those of [fleet]'s terms in a hello, and that of a founded consensus group. They are
/// taken of a text, which has to stay what it was whatever the types are called.
#[test]
fn digests_that_gateways_compare_are_those_of_version_0_2_0() {
    let peers: String = ["g0", "g1", "g2"]
        .map(|name| format!("[[fleet.peer]]\nname = \"{name}\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n"))
        .concat();
    let text =
        format!("[fleet]\nname = \"valpadana\"\ngateway = \"g0\"\nlease = \"4s\"\nmargin = 0.03\n{peers}");
    let document = weldworks_config::Document::parse("f.toml", &text).expect("a document");
    let settings =
        weldworks_fleet::settings::FleetSettings::read(&document.root().table("fleet").expect("a table"));
    assert_eq!(format!("{:016x}", settings.digest()), "bdf005d04b337653");

    let names = ["g0", "g1", "g2"].map(str::to_owned);
    let process = |name: &str| Incarnation(u64::from(name.as_bytes()[1]));
    let member =
        |name: &String| Council::new(name.clone(), process(name), names.to_vec(), Register::default());
    let mut members: Vec<Council> = names.iter().map(member).collect();
    let mut on_the_way: Vec<(usize, Said)> = Vec::new();
    for (n, member) in members.iter_mut().enumerate() {
        for other in names.iter().filter(|other| **other != names[n]) {
            on_the_way.extend(member.linked(other, process(other)).said.into_iter().map(|said| (n, said)));
        }
    }
    for _ in 0..400 {
        for (from, said) in std::mem::take(&mut on_the_way) {
            let to = names.iter().position(|name| *name == said.to).expect("a member");
            let done = members[to].hear(&names[from], said.word);
            on_the_way.extend(done.said.into_iter().map(|said| (to, said)));
        }
        for (n, member) in members.iter_mut().enumerate() {
            on_the_way.extend(member.tick().said.into_iter().map(|said| (n, said)));
        }
    }
    let config = members[0].config().expect("three of three found it");
    assert_eq!(format!("{:016x}", config.founding), "dfb1af7152f4ebbb");
}
