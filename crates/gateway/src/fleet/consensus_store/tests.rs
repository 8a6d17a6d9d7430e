//! The consensus store on real files: reopened, shared, damaged.

use super::*;
use std::path::PathBuf;
use weldworks_fleet::consensus::{GroupConfig, Replica, StorageChange};

fn settings(gateway: &str) -> FleetSettings {
    let text = format!(
        "[fleet]\nname = \"f\"\ngateway = \"{gateway}\"\n{}",
        ["a", "b", "c"]
            .map(|n| format!("[[fleet.peer]]\nname = \"{n}\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n"))
            .concat()
    );
    crate::config::operator_file::OperatorFile::parse("f.toml", &text)
        .expect("a table")
        .fleet
        .expect("a fleet")
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("weldworks-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn config_started(id: u32) -> StoredRecord {
    let replicas = vec![Replica { name: "a".into(), process: Incarnation(7) }];
    StoredRecord::ConfigStarted {
        config: GroupConfig { group_id: 1, generation: id, replicas },
        base: Box::default(),
    }
}

fn decided(n: usize) -> StoredRecord {
    StoredRecord::StorageChanged(StorageChange::Decided(n))
}

/// Writes batches and waits for each.
fn write_and_wait(found: &mut OpenedStore, batches: &[Vec<StoredRecord>]) {
    let store = found.store.as_mut().expect("a store");
    let mut done = store.written.take().expect("news of it");
    for batch in batches {
        let number = store.write(batch);
        while done.blocking_recv().expect("the thread lives").expect("written") < number {}
    }
    store.written = Some(done);
}

/// Opens the store once the writer before has ended and released the file.
fn reopen(folder: &Path, process: u64) -> OpenedStore {
    for _ in 0..500 {
        let found = open(folder, &settings("a"), Incarnation(process)).expect("it can be used");
        if found.store.is_some() {
            return found;
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    panic!("the file is held for good");
}

#[test]
fn written_records_are_found_and_a_new_configuration_replaces_the_log() {
    let folder = folder("found");
    let mut found = reopen(&folder, 1);
    assert_eq!((found.voter, found.records.len()), (Incarnation(1), 0));
    write_and_wait(&mut found, &[vec![config_started(1), decided(1)], vec![decided(2)]]);
    drop(found);
    let mut found = reopen(&folder, 2);
    assert_eq!(found.voter, Incarnation(1), "it votes as the one before");
    assert_eq!(found.records, [config_started(1), decided(1), decided(2)]);
    write_and_wait(&mut found, &[vec![decided(3), config_started(2), decided(4)]]);
    drop(found);
    assert_eq!(reopen(&folder, 3).records, [config_started(2), decided(4)]);
    let another = open(&folder, &settings("b"), Incarnation(4)).expect("a file of its own");
    assert_eq!(another.records.len(), 0);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_second_process_has_no_vote_and_the_file_of_another_gateway_is_an_error() {
    let folder = folder("held");
    let first = reopen(&folder, 1);
    let second = open(&folder, &settings("a"), Incarnation(2)).expect("it starts all the same");
    assert!(second.store.is_none() && second.voter == Incarnation(2));
    drop(first);
    let path = folder.join("council-a.redb");
    drop(reopen(&folder, 3));
    for _ in 0..500 {
        if Database::open(&path).is_ok() {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    std::fs::copy(&path, folder.join("council-b.redb")).expect("a copy");
    let error = open(&folder, &settings("b"), Incarnation(4)).err().expect("not its own").to_string();
    assert!(error.contains("\"a\"") && error.contains("folder of its own"), "{error}");
    let _ = std::fs::remove_dir_all(&folder);
}

/// A full disk or a bad sector cuts the file or changes a byte of it. A member that went on with half of its promises could make the
/// group decide twice: the file must be read completely or set aside, and never end the process.
#[test]
fn a_damaged_file_is_read_completely_or_set_aside() {
    let folder = folder("torn");
    let mut found = reopen(&folder, 1);
    let batches: Vec<Vec<StoredRecord>> =
        (0..20).map(|n| vec![if n == 0 { config_started(1) } else { decided(n) }]).collect();
    write_and_wait(&mut found, &batches);
    drop(found);
    let whole = reopen(&folder, 2).records;
    assert_eq!(whole.len(), 20);
    let path = folder.join("council-a.redb");
    std::thread::sleep(std::time::Duration::from_millis(50));
    let bytes = std::fs::read(&path).expect("the file");
    let (mut aside, mut same) = (0, 0);
    for n in 0..60 {
        let at = bytes.len() * n / 60;
        for cut in [true, false] {
            let mut damaged = bytes.clone();
            if cut {
                damaged.truncate(at);
            } else {
                damaged[at] ^= 0xff;
            }
            let place = folder.join(format!("{n}-{cut}"));
            std::fs::create_dir_all(&place).expect("a folder");
            std::fs::write(place.join("council-a.redb"), &damaged).expect("a file");
            let found = open(&place, &settings("a"), Incarnation(9)).expect("it starts all the same");
            if found.voter == Incarnation(1) {
                assert_eq!(found.records, whole, "{n} {cut}: another state than was written");
                same += 1;
            } else {
                assert!(found.records.is_empty() && found.voter == Incarnation(9));
                aside += 1;
            }
        }
    }
    assert!(aside > 20 && same > 0, "{aside} set aside, {same} the same");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn an_unusable_folder_is_named_in_the_error() {
    let file = folder("file");
    std::fs::write(&file, "no folder").expect("a file");
    let error = open(&file, &settings("a"), Incarnation(1)).err().expect("no folder").to_string();
    assert!(error.contains("`state` of [fleet]"), "{error}");
    let _ = std::fs::remove_file(&file);
}
