//! Segments: the audit log as it is written to disk.
//!
//! A [`Segment`] holds the entries that were recorded since a [`SegmentCursor`]: the full counts of each interval that may have changed, so
//! that the loss or deletion of a segment does not affect the next one. A segment also has the steps of its time span.
//! [`SegmentBuilder`] merges consecutive segments until the merged segment is full.

use super::encoding::{compress, decompress};
use super::{DecisionKind, ExceptionReport, IntervalReport, UnknownKind, UnknownSpan};
use crate::version::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of steps at which a segment is full.
const MAX_STEPS_PER_SEGMENT: usize = 4096;
/// Time span at which a segment is full.
const MAX_SEGMENT_SPAN: Duration = Duration::from_secs(60);

/// Position up to which the audit log of a process is written to disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentCursor {
    pub(super) written_until: Duration,
    /// Number of the first interval that the next segment contains.
    pub(super) next_interval: u64,
    pub(super) next_exception: u64,
    pub(super) next_step: u64,
}

impl SegmentCursor {
    /// Cursor of an audit log that started at `started_at` and of which nothing has been written yet.
    pub fn start(started_at: Duration) -> SegmentCursor {
        SegmentCursor { written_until: started_at, next_interval: 0, next_exception: 0, next_step: 0 }
    }
}

/// Whether the process that writes a segment continues to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process continues to run, and more segments may follow.
    Running,
    /// The process ends, and the segment is its last one.
    Ended,
}

/// Entries that were recorded since a cursor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentDelta {
    /// Intervals and exceptions of the time since the cursor.
    pub segment: Segment,
    /// Steps of the time since the cursor.
    pub steps: SegmentSteps,
    /// Cursor for the next call, once the segment and its steps are on disk.
    pub cursor: SegmentCursor,
}

/// A step, one decision about one request. Its encoding is compact, because a segment holds many steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SegmentStep {
    /// Time of the decision, in milliseconds since the begin of the segment.
    pub(super) offset_ms: u32,
    /// Digest of the request's identifier, as an array: the variable-length encoding of an integer would make a digest longer.
    pub(super) request_digest: [u8; 8],
    pub(super) kind: DecisionKind,
    /// Number of the endpoint in [`SegmentSteps::endpoints`], starting at 1; 0 if the decision concerns no endpoint or its name is unknown.
    pub(super) endpoint: u16,
    /// Number of the interval in which the decision was made.
    pub(super) interval: u64,
}

/// A segment: the intervals and exceptions of a time span of one process.
///
/// Segments are stored with `postcard`: the order of the fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    /// Intervals of the segment, by number.
    pub(super) intervals: BTreeMap<u64, IntervalReport>,
    /// Exception runs of the segment, by number.
    pub(super) exceptions: BTreeMap<u64, ExceptionReport>,
    /// Spans of time for which entries were dropped before they were written to disk.
    pub(super) gaps: Vec<UnknownSpan>,
    /// Whether the segment is the last one of its process.
    pub(super) ended: bool,
}

impl Segment {
    /// Marks the time from the begin of the segment to `to_ms` as unknown.
    pub(super) fn add_gap(&mut self, to_ms: u64, kind: UnknownKind) {
        self.gaps.push(UnknownSpan { from_ms: self.from_ms, to_ms, kind });
    }
}

/// Steps of a segment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentSteps {
    /// Names of the endpoints that the steps refer to.
    pub(super) endpoints: Vec<String>,
    pub(super) steps: Vec<SegmentStep>,
}

impl SegmentSteps {
    /// Number of the named endpoint, which is added if it is new.
    pub(super) fn endpoint_number(&mut self, name: &str) -> u16 {
        let known_position = self.endpoints.iter().position(|known| known == name);
        let position = known_position.unwrap_or_else(|| {
            self.endpoints.push(name.to_owned());
            self.endpoints.len() - 1
        });
        u16::try_from(position + 1).unwrap_or_default()
    }

    /// Name of the endpoint with this number.
    pub(super) fn endpoint_name(&self, number: u16) -> Option<&String> {
        let position = usize::from(number).checked_sub(1)?;
        self.endpoints.get(position)
    }
}

/// Header of a segment, from which a query decides whether the segment's contents have to be read.
///
/// Segments are stored with `postcard`: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// Process that wrote the segment.
    pub process: Incarnation,
    /// Start of the process, in milliseconds of its wall clock since the Unix epoch.
    pub began_unix_ms: u64,
    /// Time at which the process opened the file, in milliseconds of its wall clock since the Unix epoch.
    pub opened_unix_ms: u64,
    /// Time at which the segment was written, in milliseconds of the process's wall clock since the Unix epoch.
    pub written_unix_ms: u64,
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    pub(super) ended: bool,
    /// Range of the endpoint list indices of the segment's intervals.
    pub(super) list_indices: Option<IndexRange>,
    /// Whether the segment has gaps.
    pub(super) has_gaps: bool,
    pub(super) lengths: EncodedLengths,
}

/// Lowest and highest index of a number of endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct IndexRange {
    pub(super) least: u64,
    pub(super) greatest: u64,
}

impl IndexRange {
    /// Range of the given indices; `None` if there are no indices.
    fn from_indices(indices: impl Iterator<Item = u64> + Clone) -> Option<IndexRange> {
        let least = indices.clone().min()?;
        let greatest = indices.max()?;
        Some(IndexRange { least, greatest })
    }
}

/// Lengths of the encoded parts of a segment, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EncodedLengths {
    pub(super) segment: u32,
    /// Length of the encoded steps, in bytes; 0 if the segment has no steps.
    pub(super) steps: u32,
}

/// Identity and start time of the process that writes segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentWriter {
    /// Process that writes the segments.
    pub process: Incarnation,
    /// Start of the process, in milliseconds of its wall clock since the Unix epoch.
    pub began_unix_ms: u64,
    /// Time at which the process opened the file, in milliseconds of its wall clock since the Unix epoch.
    pub opened_unix_ms: u64,
}

/// A segment, encoded for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedSegment {
    /// Number of the segment.
    pub number: u64,
    /// Encoded [`SegmentHeader`] of the segment.
    pub header: Vec<u8>,
    /// Encoded [`Segment`]: intervals, exceptions and gaps.
    pub segment: Vec<u8>,
    /// Encoded [`SegmentSteps`] of the segment.
    pub steps: Vec<u8>,
}

/// Merges consecutive segments until the merged segment is full.
#[derive(Clone, Debug)]
pub struct SegmentBuilder {
    writer: SegmentWriter,
    number: u64,
    segment: Segment,
    steps: SegmentSteps,
    /// Whether no segment was appended yet.
    is_empty: bool,
}

impl SegmentBuilder {
    /// Creates a builder whose first segment has this number.
    pub fn new(writer: SegmentWriter, number: u64) -> SegmentBuilder {
        SegmentBuilder {
            writer,
            number,
            segment: Segment::default(),
            steps: SegmentSteps::default(),
            is_empty: true,
        }
    }

    /// Appends the entries that were recorded since the last call. Returns the segment to write, which replaces the segment on disk with
    /// the same number, if there is one.
    pub fn append(&mut self, segment: Segment, steps: SegmentSteps, written_unix_ms: u64) -> EncodedSegment {
        if self.is_empty {
            self.is_empty = false;
            self.segment = segment;
            self.steps = steps;
        } else if self.is_full() {
            self.number += 1;
            self.segment = segment;
            self.steps = steps;
        } else {
            self.merge(segment, steps);
        }
        self.encode(written_unix_ms)
    }

    fn is_full(&self) -> bool {
        let span = Duration::from_millis(self.segment.to_ms.saturating_sub(self.segment.from_ms));
        self.steps.steps.len() >= MAX_STEPS_PER_SEGMENT || span >= MAX_SEGMENT_SPAN
    }

    fn merge(&mut self, later: Segment, later_steps: SegmentSteps) {
        let shift_ms = later.from_ms.saturating_sub(self.segment.from_ms);
        for step in &later_steps.steps {
            let name = later_steps.endpoint_name(step.endpoint);
            let endpoint = name.map_or(0, |name| self.steps.endpoint_number(name));
            let offset_ms = step.offset_ms.saturating_add(shift_ms as u32);
            self.steps.steps.push(SegmentStep { offset_ms, endpoint, ..*step });
        }
        self.segment.to_ms = later.to_ms;
        self.segment.intervals.extend(later.intervals);
        self.segment.exceptions.extend(later.exceptions);
        self.segment.gaps.extend(later.gaps);
        self.segment.ended |= later.ended;
    }

    fn encode(&self, written_unix_ms: u64) -> EncodedSegment {
        let segment = compress(&self.segment);
        let steps = compress(&self.steps);
        let list_indices = self.segment.intervals.values().map(|interval| interval.version.list.index);
        let lengths = EncodedLengths {
            segment: segment.len() as u32,
            steps: if self.steps.steps.is_empty() { 0 } else { steps.len() as u32 },
        };
        let header = SegmentHeader {
            process: self.writer.process,
            began_unix_ms: self.writer.began_unix_ms,
            opened_unix_ms: self.writer.opened_unix_ms,
            written_unix_ms,
            from_ms: self.segment.from_ms,
            to_ms: self.segment.to_ms,
            ended: self.segment.ended,
            list_indices: IndexRange::from_indices(list_indices),
            has_gaps: !self.segment.gaps.is_empty(),
            lengths,
        };
        EncodedSegment { number: self.number, header: compress(&header), segment, steps }
    }
}

/// Decodes the header of a segment; `None` if the header is damaged.
pub fn decode_header(bytes: &[u8]) -> Option<SegmentHeader> {
    decompress(bytes)
}
