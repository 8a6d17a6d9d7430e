//! Tests of the consensus store on real files that are reopened, shared between processes, or damaged.

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
        .expect("a valid operator file")
        .fleet
        .expect("the table [fleet]")
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

/// Writes batches, and waits until each is on disk.
fn write_and_wait(opened: &mut OpenedStore, batches: &[Vec<StoredRecord>]) {
    let store = opened.store.as_mut().expect("the store is open");
    let mut done = store.written.take().expect("the receiver of write results");
    for batch in batches {
        let number = store.write(batch);
        while done.blocking_recv().expect("the writer thread runs").expect("the batch is written") < number {}
    }
    store.written = Some(done);
}

/// Opens the store once the previous writer has ended and released the file.
fn reopen(folder: &Path, process: u64) -> OpenedStore {
    for _ in 0..500 {
        let opened = open(folder, &settings("a"), Incarnation(process)).expect("the folder can be used");
        if opened.store.is_some() {
            return opened;
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    panic!("the previous writer has not released the file");
}

#[test]
fn written_records_are_read_back_and_a_new_configuration_replaces_the_log() {
    let folder = folder("found");
    let mut opened = reopen(&folder, 1);
    assert_eq!((opened.voter, opened.records.len()), (Incarnation(1), 0));
    write_and_wait(&mut opened, &[vec![config_started(1), decided(1)], vec![decided(2)]]);
    drop(opened);
    let mut opened = reopen(&folder, 2);
    assert_eq!(opened.voter, Incarnation(1), "the second process votes as the first one");
    assert_eq!(opened.records, [config_started(1), decided(1), decided(2)]);
    write_and_wait(&mut opened, &[vec![decided(3), config_started(2), decided(4)]]);
    drop(opened);
    assert_eq!(reopen(&folder, 3).records, [config_started(2), decided(4)]);
    let another = open(&folder, &settings("b"), Incarnation(4)).expect("a new file for gateway b");
    assert_eq!(another.records.len(), 0);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_second_process_has_no_vote_and_the_file_of_another_gateway_is_an_error() {
    let folder = folder("held");
    let first = reopen(&folder, 1);
    let second =
        open(&folder, &settings("a"), Incarnation(2)).expect("the second process starts without the file");
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
    std::fs::copy(&path, folder.join("council-b.redb")).expect("the file is copied");
    let error = open(&folder, &settings("b"), Incarnation(4))
        .err()
        .expect("an error for the file of gateway a")
        .to_string();
    assert!(error.contains("\"a\"") && error.contains("folder of its own"), "{error}");
    let _ = std::fs::remove_dir_all(&folder);
}

/// A full disk or a bad sector truncates the file of the consensus store or changes a byte. A member that continued with half of its
/// promises could make the group decide twice: the store must read the file completely or set it aside, and must never end the process.
#[test]
fn a_damaged_file_is_read_completely_or_set_aside() {
    let folder = folder("torn");
    let mut opened = reopen(&folder, 1);
    let batches: Vec<Vec<StoredRecord>> =
        (0..20).map(|n| vec![if n == 0 { config_started(1) } else { decided(n) }]).collect();
    write_and_wait(&mut opened, &batches);
    drop(opened);
    let intact = reopen(&folder, 2).records;
    assert_eq!(intact.len(), 20);
    let path = folder.join("council-a.redb");
    std::thread::sleep(std::time::Duration::from_millis(50));
    let bytes = std::fs::read(&path).expect("the file is read");
    let (mut set_aside, mut unchanged) = (0, 0);
    for n in 0..60 {
        let at = bytes.len() * n / 60;
        for truncated in [true, false] {
            let mut damaged = bytes.clone();
            if truncated {
                damaged.truncate(at);
            } else {
                damaged[at] ^= 0xff;
            }
            let damaged_folder = folder.join(format!("{n}-{truncated}"));
            std::fs::create_dir_all(&damaged_folder).expect("a folder is created");
            std::fs::write(damaged_folder.join("council-a.redb"), &damaged)
                .expect("the damaged file is written");
            let opened = open(&damaged_folder, &settings("a"), Incarnation(9))
                .expect("the process starts with the damaged file");
            if opened.voter == Incarnation(1) {
                assert_eq!(opened.records, intact, "{n} {truncated}: the records differ from those written");
                unchanged += 1;
            } else {
                assert!(opened.records.is_empty() && opened.voter == Incarnation(9));
                set_aside += 1;
            }
        }
    }
    assert!(set_aside > 20 && unchanged > 0, "{set_aside} set aside, {unchanged} read as written");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn the_error_for_an_unusable_folder_names_the_setting() {
    let file = folder("file");
    std::fs::write(&file, "no folder").expect("a file is written where the folder should be");
    let error = open(&file, &settings("a"), Incarnation(1))
        .err()
        .expect("an error for a file where the folder should be")
        .to_string();
    assert!(error.contains("`state` of [fleet]"), "{error}");
    let _ = std::fs::remove_file(&file);
}
