//! Tests that this build reads and continues files written by version 0.2.0, so that an upgraded gateway loses neither its vote nor its
//! audit log. `cargo test -p weldworks-gateway --lib write_stored_files -- --ignored` regenerates the fixtures with the current code.

use super::audit_store::{AuditStore, ProcessClock};
use super::consensus_store;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use weldworks_fleet::audit::{AuditLog, Decision, DecisionKind};
use weldworks_fleet::audit::{AuditQuery, HistoryReport};
use weldworks_fleet::consensus::{GroupConfig, Replica, StorageChange, StoredRecord};
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::state_machine::{Command, Renewal};
use weldworks_fleet::version::{Incarnation, Version};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/stored-files");
const CONSENSUS_FILE: &str = "council-a.redb";
const AUDIT_FILE: &str = "audit-a.redb";
/// The folder of fixtures that lack their last quarter, as a full disk leaves a file.
const TRUNCATED: &str = "torn";

fn settings() -> FleetSettings {
    let peers = ["a", "b", "c"]
        .map(|n| format!("[[fleet.peer]]\nname = \"{n}\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n"));
    let text = format!("[fleet]\nname = \"f\"\ngateway = \"a\"\n{}", peers.concat());
    crate::config::operator_file::OperatorFile::parse("f.toml", &text)
        .expect("a valid operator file")
        .fleet
        .expect("the table [fleet]")
}

fn temporary_folder(name: &str) -> PathBuf {
    static CREATED: AtomicU32 = AtomicU32::new(0);
    let number = CREATED.fetch_add(1, Ordering::Relaxed);
    let folder =
        std::env::temp_dir().join(format!("weldworks-stored-{name}-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the temporary folder is created");
    folder
}

fn copy_of(fixture: &str, name: &str) -> PathBuf {
    let folder = temporary_folder(fixture);
    std::fs::copy(Path::new(FIXTURES).join(fixture).join(name), folder.join(name))
        .expect("the fixture is copied");
    folder
}

/// Repeats an attempt until the previous writer thread has released the file, for 5 s at most.
fn retry_until_released<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    for _ in 0..1000 {
        if let Some(done) = attempt() {
            return done;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("the previous writer has not released the file within 5 s");
}

fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().build().expect("the runtime starts").block_on(future)
}

fn expected_records() -> Vec<StoredRecord> {
    let replicas = ["a", "b", "c"]
        .map(|name| Replica { name: name.into(), process: Incarnation(7) })
        .into_iter()
        .collect();
    let open = |name: &str| Command::OpenSession {
        name: name.into(),
        process: Incarnation(7),
        version: Version::default(),
        request: 1,
    };
    let renewals = vec![Renewal { session: 1, count: 2, version: Some(Version::default()) }];
    vec![
        StoredRecord::ConfigStarted {
            config: GroupConfig { group_id: 1, generation: 2, replicas },
            base: Box::default(),
        },
        StoredRecord::StorageChanged(StorageChange::Log(0, vec![open("a"), open("b")])),
        StoredRecord::StorageChanged(StorageChange::Decided(1)),
        StoredRecord::StorageChanged(StorageChange::Log(
            2,
            vec![Command::RenewSessions(renewals), Command::CloseSession { session: 2 }],
        )),
        StoredRecord::StorageChanged(StorageChange::Decided(4)),
    ]
}

fn open_consensus_store(folder: &Path, process: u64) -> consensus_store::OpenedStore {
    retry_until_released(|| {
        let opened =
            consensus_store::open(folder, &settings(), Incarnation(process)).expect("the folder can be used");
        opened.store.is_some().then_some(opened)
    })
}

fn write_records(opened: &mut consensus_store::OpenedStore, batch: &[StoredRecord]) {
    let store = opened.store.as_mut().expect("the store is open");
    let mut done = store.written.take().expect("the receiver of write results");
    let number = store.write(batch);
    while done.blocking_recv().expect("the writer thread runs").expect("the batch is written") < number {}
    store.written = Some(done);
}

fn open_audit(folder: &Path, process: u64) -> AuditStore {
    let clock = ProcessClock {
        process: Incarnation(process),
        start: Instant::now(),
        began_unix_ms: 1_790_000_000_000 + process * 1000,
    };
    AuditStore::open(folder, &settings(), clock).expect("the folder can be used")
}

/// Writes the audit log of a process that records three decisions about each request, with one segment per request.
fn write_audit(folder: &Path, process: u64, requests: &[&str], ended: bool) {
    let store = open_audit(folder, process);
    let audit = RefCell::new(AuditLog::new(Duration::ZERO, Version::default()));
    for (n, request) in requests.iter().enumerate() {
        let now = Duration::from_millis(n as u64 * 20);
        for kind in [DecisionKind::Pick, DecisionKind::Retry, DecisionKind::Reject] {
            audit
                .borrow_mut()
                .record_decision(now, Decision { kind, class: 1, request_id: request, endpoint: Some("n1") });
        }
        let is_last = n + 1 == requests.len();
        let write = || block_on(store.write(&audit, || now, ended && is_last)).ok();
        retry_until_released(write);
    }
}

fn read_history(folder: &Path, query: &AuditQuery) -> HistoryReport {
    retry_until_released(|| {
        let store = open_audit(folder, 90);
        let own = AuditLog::new(Duration::ZERO, Version::default()).memory_span(Incarnation(90));
        block_on(store.read_history(query.clone(), own)).ok()
    })
}

/// Number of steps and number of unknown time spans that are reported of a process.
fn summary(history: &HistoryReport, process: u64) -> (usize, usize) {
    let process = Incarnation(process).to_string();
    let report = history.processes.iter().find(|p| p.process == process);
    report.map_or((0, 0), |p| (p.steps.len(), p.unknown.len()))
}

#[test]
#[ignore = "writes the fixtures"]
fn write_stored_files() {
    for name in ["complete", TRUNCATED] {
        std::fs::create_dir_all(Path::new(FIXTURES).join(name)).expect("the fixture folder is created");
    }
    let folder = temporary_folder("write");
    let mut opened = open_consensus_store(&folder, 7);
    write_records(&mut opened, &expected_records()[..3]);
    write_records(&mut opened, &expected_records()[3..]);
    drop(opened);
    write_audit(&folder, 1, &["r-1", "r-2", "r-3"], true);
    write_audit(&folder, 2, &["r-4", "r-5"], false);
    drop(open_consensus_store(&folder, 8));
    std::thread::sleep(Duration::from_millis(300));
    for name in [CONSENSUS_FILE, AUDIT_FILE] {
        let complete = Path::new(FIXTURES).join("complete").join(name);
        std::fs::copy(folder.join(name), &complete).expect("the fixture is written");
        let bytes = std::fs::read(&complete).expect("the fixture is read");
        let truncated = Path::new(FIXTURES).join(TRUNCATED).join(name);
        std::fs::write(truncated, &bytes[..bytes.len() * 3 / 4]).expect("the truncated fixture is written");
    }
}

#[test]
fn a_consensus_store_of_version_0_2_0_is_read_and_continued() {
    let folder = copy_of("complete", CONSENSUS_FILE);
    let mut opened = open_consensus_store(&folder, 30);
    assert_eq!(
        opened.voter,
        Incarnation(7),
        "the gateway votes under the incarnation of the earlier process"
    );
    assert_eq!(opened.records, expected_records());
    let next = StoredRecord::StorageChanged(StorageChange::Decided(5));
    write_records(&mut opened, std::slice::from_ref(&next));
    drop(opened);
    let mut all = expected_records();
    all.push(next);
    assert_eq!(open_consensus_store(&folder, 31).records, all);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_truncated_consensus_store_of_version_0_2_0_is_set_aside() {
    let folder = copy_of(TRUNCATED, CONSENSUS_FILE);
    let opened = open_consensus_store(&folder, 30);
    assert_eq!(opened.voter, Incarnation(30), "the process does not vote under the earlier incarnation");
    assert!(opened.records.is_empty());
    assert!(folder.join("council-a.spoilt-0").exists());
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn an_audit_store_of_version_0_2_0_is_read_and_continued() {
    let folder = copy_of("complete", AUDIT_FILE);
    for (request, process, expected) in
        [("r-1", 1, (3, 0)), ("r-3", 1, (3, 0)), ("r-4", 2, (3, 1)), ("r-5", 2, (3, 1)), ("r-9", 1, (0, 0))]
    {
        let history = read_history(&folder, &AuditQuery::Request(request.to_owned()));
        assert_eq!(summary(&history, process), expected, "{request} of process {process}: {history:?}");
    }
    write_audit(&folder, 40, &["r-6"], true);
    let history = read_history(&folder, &AuditQuery::Request("r-6".to_owned()));
    assert_eq!(summary(&history, 40), (3, 0));
    let history = read_history(&folder, &AuditQuery::Request("r-2".to_owned()));
    assert_eq!(summary(&history, 1), (3, 0), "segments of version 0.2.0 are retained");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_truncated_audit_store_of_version_0_2_0_is_set_aside() {
    let folder = copy_of(TRUNCATED, AUDIT_FILE);
    let history = read_history(&folder, &AuditQuery::Request("r-1".to_owned()));
    assert_eq!(summary(&history, 1), (0, 0));
    assert!(folder.join("audit-a.spoilt-0").exists());
    let _ = std::fs::remove_dir_all(&folder);
}

/// Administrators' tools read the names of the fields and values in these answers, so an upgrade must not change them.
#[test]
#[expect(clippy::too_many_lines, reason = "one value for each name in the answers")]
fn answers_to_administrators_have_the_names_of_version_0_2_0() {
    use weldworks_fleet::audit::Exception;
    use weldworks_fleet::audit::{ProcessReport, RequestReport, UnknownKind, UnknownSpan};
    use weldworks_fleet::membership::PeerState;
    use weldworks_fleet::node::{SessionRow, Status};
    use weldworks_fleet::version::ListVersion;

    let list = ListVersion { lineage: "register-a".into(), index: 9 };
    let version = Version { list, config: 3, generation: 2, operator: 5, build: "0.2.0".into() };
    let states = [
        PeerState::Reachable,
        PeerState::CutFromMe,
        PeerState::ProcessEnded,
        PeerState::PausedOrSlow,
        PeerState::Unreachable,
        PeerState::Unknown,
    ];
    let status = Status {
        gateway: "a".into(),
        process: "p".into(),
        session_state: "in session 4".into(),
        session: Some(4),
        remaining_lease_ms: 1500,
        version: version.clone(),
        log_index: 12,
        current_list_index: Some(9),
        leader: Some("b".into()),
        consensus: Some((3, true)),
        members: states.iter().enumerate().map(|(n, state)| (n.to_string(), *state)).collect(),
        sessions: vec![SessionRow {
            gateway: "a".into(),
            process: "p".into(),
            session: 4,
            version: version.clone(),
            list_lag: 2,
            fence_reason: Some("held".into()),
        }],
        fenced_by_administrator: vec!["c".into()],
    };
    let mut audit = AuditLog::new(Duration::ZERO, version);
    let exceptions = [
        Exception::StaleList { own: 1, newest_known: 2 },
        Exception::RemovedEndpoint { endpoint: "n1".into() },
        Exception::WithoutSession,
        Exception::Fenced,
    ];
    for (n, exception) in exceptions.into_iter().enumerate() {
        let now = Duration::from_secs(n as u64);
        audit.record_exception(now, exception, "r-1");
        for kind in [DecisionKind::Pick, DecisionKind::Retry, DecisionKind::Reject, DecisionKind::Drain] {
            audit.record_decision(now, Decision { kind, class: 1, request_id: "r-1", endpoint: Some("n1") });
        }
    }
    audit.set_log_index(13);
    audit.set_version(Duration::from_secs(5), Version::default());
    let RequestReport { since_ms, steps } = audit.report_request("r-1");
    let gap = |kind| UnknownSpan { from_ms: 20, to_ms: 900, kind };
    let process = ProcessReport {
        process: "p".into(),
        began_unix_ms: 1_790_000_001_000,
        since_ms: 10,
        until_ms: 950,
        unknown: vec![gap(UnknownKind::Requests), gap(UnknownKind::All)],
        intervals: Vec::new(),
        exceptions: Vec::new(),
        steps: steps.clone(),
    };
    let history = HistoryReport { processes: vec![process], omitted: 2 };
    let answers = serde_json::json!({
        "status": status,
        "audit": audit.report_lists(Duration::from_secs(6), 0..=9),
        "request": { "since_ms": since_ms, "steps": steps },
        "earlier": history,
    });
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/admin-answers.json");
    let text = serde_json::to_string_pretty(&answers).expect("the answers are serialized") + "\n";
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        std::fs::write(path, &text).expect("the fixture is written");
    }
    assert_eq!(text, std::fs::read_to_string(path).expect("the fixture is in the repository"));
}
