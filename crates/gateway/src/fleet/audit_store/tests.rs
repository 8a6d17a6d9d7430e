//! The audit store on real files: reopened, shared, damaged.

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
        .expect("a table")
        .fleet
        .expect("a fleet")
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
    tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime").block_on(future)
}

/// Writes an audit log with one request. The file is released once the writer has ended.
fn write(folder: &Path, process: u64, request: &str, ended: bool) {
    let store = AuditStore::open(folder, &settings("a"), clock(process)).expect("it can be used");
    let mut audit = AuditLog::new(Duration::ZERO, Version::default());
    audit.record_decision(
        Duration::ZERO,
        Decision { kind: DecisionKind::Pick, class: 0, request_id: request, endpoint: Some("n") },
    );
    let audit = RefCell::new(audit);
    let now = || Duration::from_millis(5);
    let mut written = block_on(store.write(&audit, now, ended));
    while written.as_ref().is_err_and(|why| why.to_string().contains("another process")) {
        std::thread::sleep(Duration::from_millis(5));
        written = block_on(store.write(&audit, now, ended));
    }
    written.expect("written");
}

fn read_back(folder: &Path, request: &str) -> HistoryReport {
    let own = AuditLog::new(Duration::ZERO, Version::default()).memory_span(Incarnation(9));
    loop {
        let store = AuditStore::open(folder, &settings("a"), clock(9)).expect("it can be used");
        if store.file.get().is_some() {
            return block_on(store.read_history(AuditQuery::Request(request.to_owned()), own))
                .expect("it is told");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn earlier_processes_are_reported_and_a_second_one_waits_for_the_file() {
    let folder = folder("before");
    write(&folder, 1, "x", true);
    let held = AuditStore::open(&folder, &settings("a"), clock(2));
    let second = AuditStore::open(&folder, &settings("a"), clock(3)).expect("it starts all the same");
    let why = block_on(second.read_history(
        AuditQuery::Request("x".into()),
        AuditLog::new(Duration::ZERO, Version::default()).memory_span(Incarnation(3)),
    ));
    drop(held);
    assert!(why.is_err_and(|why| why.to_string().contains("another process")));
    drop(second);
    write(&folder, 4, "y", false);
    let report = read_back(&folder, "x");
    let first = report.processes.iter().find(|p| p.process.ends_with("01")).expect("the first process");
    assert!(first.steps.len() == 1 && first.unknown.is_empty(), "{first:?}");
    let report = read_back(&folder, "y");
    let crashed = report
        .processes
        .iter()
        .find(|p| p.process.ends_with("04"))
        .expect("the one that did not say it ends");
    assert!(crashed.steps.len() == 1 && crashed.unknown.len() == 1, "{crashed:?}");
    let _ = std::fs::remove_dir_all(&folder);
}

/// A full disk or a bad sector cuts the file or changes a byte of it. It must be read as it was, with its gaps reported, or set aside:
/// a request that is missing without notice would look as if it had never been served.
#[test]
fn a_damaged_file_is_read_as_it_was_or_set_aside() {
    let whole = folder("torn");
    for process in 1..=3 {
        write(&whole, process, "x", true);
    }
    drop(read_back(&whole, "x"));
    let bytes = std::fs::read(whole.join("audit-a.redb")).expect("the file");
    let (mut aside, mut same) = (0, 0);
    // From 1: an empty file is what a crash in the middle of the very first opening leaves.
    for n in 1..40 {
        for cut in [true, false] {
            let (mut damaged, at) = (bytes.clone(), bytes.len() * n / 40);
            if cut {
                damaged.truncate(at);
            } else {
                damaged[at] ^= 0xff;
            }
            let place = whole.join(format!("{n}-{cut}"));
            std::fs::create_dir_all(&place).expect("a folder");
            std::fs::write(place.join("audit-a.redb"), &damaged).expect("a file");
            let report = read_back(&place, "x");
            let steps = report.processes.iter().map(|p| p.steps.len()).sum::<usize>();
            let unknown = report.processes.iter().any(|p| !p.unknown.is_empty());
            let was_set_aside = place.join("audit-a.spoilt-0").exists();
            assert!(steps == 3 || unknown || was_set_aside, "{n} {cut}: {report:?}");
            aside += usize::from(was_set_aside);
            same += usize::from(steps == 3);
        }
    }
    assert!(aside > 10 && same > 0, "{aside} set aside, {same} the same");
    let _ = std::fs::remove_dir_all(&whole);
}

#[test]
fn the_file_of_another_gateway_is_an_error() {
    let folder = folder("another");
    write(&folder, 1, "x", true);
    drop(read_back(&folder, "x"));
    std::fs::copy(folder.join("audit-a.redb"), folder.join("audit-b.redb")).expect("a copy");
    let error = AuditStore::open(&folder, &settings("b"), clock(2)).err().expect("not its own").to_string();
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
            Err(_) => std::thread::sleep(Duration::from_millis(5)), // the thread has not let go of it yet
        }
    };
    let newer = Owner { format_version: FORMAT_VERSION + 1, fleet: "f".into(), gateway: "a".into() };
    let writing = file.begin_write().expect("a transaction");
    let bytes = protocol::encode_frame(&newer).expect("bytes");
    writing.open_table(OWNER_TABLE).expect("a table").insert(0, &bytes[..]).expect("written");
    writing.commit().expect("written");
    drop(file);
    assert!(read_back(&folder, "x").processes.iter().all(|p| p.steps.is_empty()));
    assert!(folder.join("audit-a.spoilt-0").exists(), "it can be looked at");
    let _ = std::fs::remove_dir_all(&folder);
}

/// The audit log outgrows its limit, and the oldest requests are evicted from the file. They must be reported as unknown.
#[test]
fn evicted_requests_are_reported_as_unknown() {
    let folder = folder("dropped");
    write(&folder, 1, "x", true);
    let mut small = settings("a");
    small.audit_retention.max_bytes = 1;
    loop {
        let store = AuditStore::open(&folder, &small, clock(2)).expect("it can be used");
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
