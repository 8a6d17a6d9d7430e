//! Tests of the audit store on real files that are reopened, shared between processes, or damaged.

use super::super::store_file::FORMAT_VERSION;
use super::*;
use weldworks_fleet::audit::{Decision, DecisionKind};
use weldworks_fleet::protocol;
use weldworks_fleet::version::Version;

fn settings(gateway: &str) -> FleetSettings {
    let peers = ["a", "b", "c"]
        .map(|n| format!("[[fleet.peer]]\nname = \"{n}\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n"));
    let text = format!("[fleet]\nname = \"f\"\ngateway = \"{gateway}\"\n{}", peers.concat());
    crate::config::operator_file::OperatorFile::parse("f.toml", &text)
        .expect("a valid operator file")
        .fleet
        .expect("the table [fleet]")
}

fn clock(process: u64) -> ProcessClock {
    ProcessClock { process: Incarnation(process), start: Instant::now(), began_unix_ms: process * 1000 }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("weldworks-audit-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("the runtime starts")
        .block_on(future)
}

/// Writes an audit log with one request, and waits until an earlier process has released the file.
fn write(folder: &Path, process: u64, request: &str, ended: bool) {
    let store = AuditStore::open(folder, &settings("a"), clock(process)).expect("the audit store opens");
    let mut audit = AuditLog::new(Duration::ZERO, Version::default());
    audit.record_decision(
        Duration::ZERO,
        Decision { kind: DecisionKind::Pick, class: 0, request_id: request, endpoint: Some("n") },
    );
    let audit = RefCell::new(audit);
    let now = || Duration::from_millis(5);
    let mut written = block_on(store.write(&audit, now, ended));
    while written.as_ref().is_err_and(|error| error.to_string().contains("another process")) {
        std::thread::sleep(Duration::from_millis(5));
        written = block_on(store.write(&audit, now, ended));
    }
    written.expect("the segment is written");
}

fn read_back(folder: &Path, request: &str) -> HistoryReport {
    let own = AuditLog::new(Duration::ZERO, Version::default()).memory_span(Incarnation(9));
    loop {
        let store = AuditStore::open(folder, &settings("a"), clock(9)).expect("the audit store opens");
        if store.file.get().is_some() {
            return block_on(store.read_history(AuditQuery::Request(request.to_owned()), own))
                .expect("the history is read");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn earlier_processes_are_reported_and_a_second_process_waits_for_the_file() {
    let folder = folder("before");
    write(&folder, 1, "x", true);
    let holder = AuditStore::open(&folder, &settings("a"), clock(2));
    let second = AuditStore::open(&folder, &settings("a"), clock(3))
        .expect("the second process starts without the file");
    let error = block_on(second.read_history(
        AuditQuery::Request("x".into()),
        AuditLog::new(Duration::ZERO, Version::default()).memory_span(Incarnation(3)),
    ));
    drop(holder);
    assert!(error.is_err_and(|error| error.to_string().contains("another process")));
    drop(second);
    write(&folder, 4, "y", false);
    let report = read_back(&folder, "x");
    let first =
        report.processes.iter().find(|p| p.process.ends_with("01")).expect("a report of the first process");
    assert!(first.steps.len() == 1 && first.unknown.is_empty(), "{first:?}");
    let report = read_back(&folder, "y");
    let crashed = report
        .processes
        .iter()
        .find(|p| p.process.ends_with("04"))
        .expect("the process that ended without its last segment");
    assert!(crashed.steps.len() == 1 && crashed.unknown.len() == 1, "{crashed:?}");
    let _ = std::fs::remove_dir_all(&folder);
}

/// A full disk or a bad sector truncates the audit file or changes a byte. The store must either read the file as it was written, with
/// gaps reported, or set the file aside: a request that is missing without notice would look as if it had never been served.
#[test]
fn a_damaged_file_is_read_as_it_was_or_set_aside() {
    let intact = folder("torn");
    for process in 1..=3 {
        write(&intact, process, "x", true);
    }
    drop(read_back(&intact, "x"));
    let bytes = std::fs::read(intact.join("audit-a.redb")).expect("the audit file is read");
    let (mut set_aside, mut unchanged) = (0, 0);
    // Truncation starts at 1/40 of the file: an empty file is no damage, since a crash while it is first opened leaves one.
    for n in 1..40 {
        for truncated in [true, false] {
            let (mut damaged, at) = (bytes.clone(), bytes.len() * n / 40);
            if truncated {
                damaged.truncate(at);
            } else {
                damaged[at] ^= 0xff;
            }
            let damaged_folder = intact.join(format!("{n}-{truncated}"));
            std::fs::create_dir_all(&damaged_folder).expect("a folder is created");
            std::fs::write(damaged_folder.join("audit-a.redb"), &damaged)
                .expect("the damaged file is written");
            let report = read_back(&damaged_folder, "x");
            let steps = report.processes.iter().map(|p| p.steps.len()).sum::<usize>();
            let unknown = report.processes.iter().any(|p| !p.unknown.is_empty());
            let was_set_aside = damaged_folder.join("audit-a.spoilt-0").exists();
            assert!(steps == 3 || unknown || was_set_aside, "{n} {truncated}: {report:?}");
            set_aside += usize::from(was_set_aside);
            unchanged += usize::from(steps == 3);
        }
    }
    assert!(set_aside > 10 && unchanged > 0, "{set_aside} set aside, {unchanged} read as written");
    let _ = std::fs::remove_dir_all(&intact);
}

#[test]
fn the_file_of_another_gateway_is_an_error() {
    let folder = folder("another");
    write(&folder, 1, "x", true);
    drop(read_back(&folder, "x"));
    std::fs::copy(folder.join("audit-a.redb"), folder.join("audit-b.redb")).expect("the file is copied");
    let error = AuditStore::open(&folder, &settings("b"), clock(2))
        .err()
        .expect("an error for the file of gateway a")
        .to_string();
    assert!(error.contains("\"a\"") && error.contains("folder of its own"), "{error}");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_file_of_another_format_is_set_aside() {
    let folder = folder("version");
    write(&folder, 1, "x", true);
    drop(read_back(&folder, "x"));
    let path = folder.join("audit-a.redb");
    let file = loop {
        match Database::create(&path) {
            Ok(file) => break file,
            Err(_) => std::thread::sleep(Duration::from_millis(5)), // the writer thread has not released the file yet
        }
    };
    let newer = Owner { format_version: FORMAT_VERSION + 1, fleet: "f".into(), gateway: "a".into() };
    let writing = file.begin_write().expect("a transaction begins");
    let bytes = protocol::encode_frame(&newer).expect("the owner record is encoded");
    writing
        .open_table(OWNER_TABLE)
        .expect("the owner table opens")
        .insert(0, &bytes[..])
        .expect("the owner record is written");
    writing.commit().expect("the transaction is committed");
    drop(file);
    assert!(read_back(&folder, "x").processes.iter().all(|p| p.steps.is_empty()));
    assert!(folder.join("audit-a.spoilt-0").exists(), "the file of the other format is retained");
    let _ = std::fs::remove_dir_all(&folder);
}

/// The audit log exceeds its size limit, and the oldest requests are evicted from the file. No steps may be reported of an evicted
/// request.
#[test]
fn no_steps_are_reported_of_evicted_requests() {
    let folder = folder("dropped");
    write(&folder, 1, "x", true);
    let mut small = settings("a");
    small.audit_retention.max_bytes = 1;
    loop {
        let store = AuditStore::open(&folder, &small, clock(2)).expect("the audit store opens");
        let audit = RefCell::new(AuditLog::new(Duration::ZERO, Version::default()));
        if block_on(store.write(&audit, || Duration::from_millis(5), true)).is_ok() {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = read_back(&folder, "x");
    assert!(report.processes.iter().all(|p| p.steps.is_empty()), "{report:?}");
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against other words in answers to administrators, where they stand as `earlier_unread`.
#[test]
fn texts_of_unreadable_history_are_those_that_administrators_get() {
    let unavailable = AuditStoreError::Unavailable { path: "audit-a.redb".to_owned() };
    assert_eq!(
        unavailable.to_string(),
        "audit-a.redb is another process's, or its disk fails: this gateway's log says which"
    );
    assert_eq!(AuditStoreError::ReadPanicked.to_string(), "the library broke off reading it");
}
