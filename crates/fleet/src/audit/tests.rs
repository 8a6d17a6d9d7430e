//! The audit log in memory, segments on disk and queries, tested together.

use super::*;
use crate::version::{Incarnation, ListVersion, Version};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub(super) fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub(super) fn version(index: u64) -> Version {
    Version { list: ListVersion { lineage: "r".into(), index }, ..Version::default() }
}

fn writer(process: u64) -> SegmentWriter {
    let began_unix_ms = process * 1_000_000;
    SegmentWriter { process: Incarnation(process), began_unix_ms, opened_unix_ms: began_unix_ms + 50 }
}

/// Audit log on disk, as a gateway stores it.
#[derive(Default)]
struct Disk {
    segments: BTreeMap<u64, EncodedSegment>,
    index: RetentionIndex,
}

impl Disk {
    fn write(
        &mut self,
        builder: &mut SegmentBuilder,
        audit: &AuditLog,
        cursor: &mut SegmentCursor,
        now: Duration,
        state: ProcessState,
    ) {
        let delta = audit.segment_since(cursor, now, state);
        let encoded = builder.append(delta.segment, delta.steps, 0);
        self.index
            .insert(encoded.number, &decode_header(&encoded.header).expect("segment header does not decode"));
        self.segments.insert(encoded.number, encoded);
        *cursor = delta.cursor;
    }

    fn query(&self, query: AuditQuery, memory: MemorySpan) -> HistoryReport {
        let mut history = HistoryQuery::new(query, memory);
        for (number, encoded) in &self.segments {
            let Some(header) = decode_header(&encoded.header) else { continue };
            let read_segment = || Some(encoded.segment.clone());
            let read_steps = || Some(encoded.steps.clone());
            history.add_segment(*number, header, read_segment, read_steps);
        }
        history.finish()
    }
}

/// Memory span of a process that has written nothing to disk.
fn unrelated_memory() -> MemorySpan {
    AuditLog::new(at(0), version(0)).memory_span(Incarnation(99))
}

fn all_lists() -> AuditQuery {
    AuditQuery::Lists(0..=u64::MAX)
}

#[derive(Clone, Debug)]
enum Operation {
    SetVersion(u64),
    RecordDecision(u16, u8),
    RecordException(u64),
    Write { succeeds: bool },
    Wait(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        1 => (0u64..9).prop_map(Operation::SetVersion),
        6 => (0u16..20, 0u8..5).prop_map(|(request, endpoint)| Operation::RecordDecision(request, endpoint)),
        1 => (0u64..3).prop_map(Operation::RecordException),
        2 => any::<bool>().prop_map(|succeeds| Operation::Write { succeeds }),
        1 => (0u64..40_000).prop_map(Operation::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// A process is killed after some of its writes have failed. The next process finds the log as of the last write that succeeded, each
    /// request with its endpoint and version, and reports the time after that write as unknown.
    #[test]
    fn after_a_crash_the_log_is_as_last_written_and_the_rest_is_unknown(operations in prop::collection::vec(operation(), 1..400)) {
        let mut audit = AuditLog::new(at(0), version(0));
        let mut disk = Disk::default();
        let mut builder = SegmentBuilder::new(writer(1), 1);
        let mut cursor = SegmentCursor::start(at(0));
        let mut now_ms = 0;
        let mut written = None;
        for operation in operations {
            now_ms += 1;
            match operation {
                Operation::SetVersion(index) => audit.set_version(at(now_ms), version(index)),
                Operation::RecordDecision(request, endpoint) => {
                    let request_id = request.to_string();
                    let endpoint = format!("n{endpoint}");
                    let decision = Decision { kind: DecisionKind::Pick, class: 1, request_id: &request_id, endpoint: Some(&endpoint) };
                    audit.record_decision(at(now_ms), decision);
                }
                Operation::RecordException(newest_known) => {
                    audit.record_exception(at(now_ms), Exception::StaleList { own: 0, newest_known }, "x");
                }
                Operation::Wait(duration_ms) => now_ms += duration_ms,
                Operation::Write { succeeds: true } => {
                    disk.write(&mut builder, &audit, &mut cursor, at(now_ms), ProcessState::Running);
                    written = Some((now_ms, audit.clone()));
                }
                // The write fails: the segment is lost and the cursor does not advance.
                Operation::Write { succeeds: false } => drop(audit.segment_since(&cursor, at(now_ms), ProcessState::Running)),
            }
        }
        let Some((until_ms, audit)) = written else { return Ok(()) };
        let mut next_builder = SegmentBuilder::new(writer(2), disk.index.next_number());
        let next_audit = AuditLog::new(at(0), version(0));
        disk.write(&mut next_builder, &next_audit, &mut SegmentCursor::start(at(0)), at(10), ProcessState::Running);
        let history = disk.query(all_lists(), unrelated_memory());
        let memory = audit.report_lists(at(until_ms), 0..=u64::MAX);
        prop_assert_eq!(&history.processes[0].intervals, &memory.intervals);
        prop_assert_eq!(&history.processes[0].exceptions, &memory.exceptions);
        let gap = UnknownSpan { from_ms: until_ms, to_ms: 1_000_050.max(until_ms), kind: UnknownKind::All };
        prop_assert_eq!(&history.processes[0].unknown, &[gap]);
        for request in 0..20u16 {
            let request_id = request.to_string();
            let history = disk.query(AuditQuery::Request(request_id.clone()), unrelated_memory());
            prop_assert_eq!(&history.processes[0].steps, &audit.report_request(&request_id).steps);
        }
    }
}

#[test]
fn a_process_that_ended_orderly_leaves_no_gap_and_a_lost_segment_leaves_one() {
    let mut disk = Disk::default();
    let audit = AuditLog::new(at(0), version(3));
    for process in 1..=2 {
        let mut cursor = SegmentCursor::start(at(0));
        for minute in 1..=3 {
            let mut builder = SegmentBuilder::new(writer(process), disk.index.next_number());
            let state = if minute == 3 { ProcessState::Ended } else { ProcessState::Running };
            disk.write(&mut builder, &audit, &mut cursor, at(minute * 70_000), state);
        }
    }
    let history = disk.query(all_lists(), unrelated_memory());
    assert!(history.processes.iter().all(|process| process.unknown.is_empty()));
    disk.segments.remove(&2);
    if let Some(encoded) = disk.segments.get_mut(&5) {
        encoded.segment.pop();
    }
    let history = disk.query(all_lists(), unrelated_memory());
    let gap = [UnknownSpan { from_ms: 70_000, to_ms: 140_000, kind: UnknownKind::All }];
    assert_eq!(history.processes[0].unknown, gap);
    assert_eq!(history.processes[1].unknown, gap);
}

/// A process runs for so long that its memory has dropped its first entries. Memory and disk together report every entry exactly once.
#[test]
fn memory_and_disk_together_report_everything_once() {
    let mut audit = AuditLog::new(at(0), version(0));
    let mut disk = Disk::default();
    let mut builder = SegmentBuilder::new(writer(7), 1);
    let mut cursor = SegmentCursor::start(at(0));
    let versions = 6000;
    for n in 1..=versions {
        audit.set_version(at(n), version(n));
        for attempt in 0..4 {
            let request_id = format!("{n}-{attempt}");
            audit.record_decision(
                at(n),
                Decision { kind: DecisionKind::Pick, class: 0, request_id: &request_id, endpoint: None },
            );
        }
        if n % 100 == 0 {
            disk.write(&mut builder, &audit, &mut cursor, at(n), ProcessState::Running);
        }
    }
    let memory_span = audit.memory_span(Incarnation(7));
    let history = disk.query(all_lists(), memory_span);
    let memory = audit.report_lists(at(versions), 0..=u64::MAX);
    let indices = |intervals: &[IntervalReport]| -> Vec<u64> {
        intervals.iter().map(|interval| interval.version.list.index).collect()
    };
    let all_indices = [indices(&history.processes[0].intervals), indices(&memory.intervals)].concat();
    assert!(
        all_indices == (0..=versions).collect::<Vec<_>>(),
        "{} intervals reported for {versions} versions after the first",
        all_indices.len()
    );
    let early = disk.query(AuditQuery::Request("50-1".into()), memory_span);
    assert!(audit.report_request("50-1").steps.is_empty() && early.processes[0].steps.len() == 1);
    let late = disk.query(AuditQuery::Request("5990-1".into()), memory_span);
    assert!(late.processes.is_empty(), "the request is in memory and must not be reported from disk");
}
