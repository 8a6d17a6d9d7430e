//! Segments: the audit log as it is written to disk.
//!
//! A [`Segment`] holds what was recorded since a [`SegmentCursor`]: the full counts of each interval that may have changed, so that a
//! segment that is lost or deleted takes nothing away from the next one, and single requests. [`SegmentBuilder`] merges segments until
//! one is full.

use super::encoding::{compress, decompress};
use super::{DecisionKind, ExceptionReport, IntervalReport, UnknownKind, UnknownSpan};
use crate::version::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of steps with which a segment is full.
const MAX_STEPS_PER_SEGMENT: usize = 4096;
/// Time span with which a segment is full.
const MAX_SEGMENT_SPAN: Duration = Duration::from_secs(60);

/// How far the audit log of a process is written to disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentCursor {
    pub(super) to: Duration,
    /// Number of the first interval that the next segment contains.
    pub(super) interval: u64,
    pub(super) exception: u64,
    pub(super) step: u64,
}

impl SegmentCursor {
    /// Cursor of a log that started at `started_at` and of which nothing is written.
    pub fn start(started_at: Duration) -> SegmentCursor {
        SegmentCursor { to: started_at, interval: 0, exception: 0, step: 0 }
    }
}

/// Whether the process that writes a segment goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// More segments may follow.
    Running,
    /// The process ends; this is its last segment.
    Ended,
}

/// What was recorded since a cursor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentDelta {
    /// Intervals and exceptions.
    pub segment: Segment,
    /// Single requests.
    pub steps: SegmentSteps,
    /// Cursor that applies once this is on disk.
    pub cursor: SegmentCursor,
}

/// A decision about one request. It is kept short, because there are many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SegmentStep {
    /// Milliseconds since the begin of the segment.
    pub(super) offset_ms: u32,
    /// Digest of the request's identifier. An array, because a variable-length integer would make a digest longer.
    pub(super) request_digest: [u8; 8],
    pub(super) kind: DecisionKind,
    /// Number of the endpoint in [`SegmentSteps::endpoints`], starting at 1; 0 is none.
    pub(super) endpoint: u16,
    /// Number of the interval.
    pub(super) interval: u64,
}

/// Intervals and exceptions of a time span of one process.
///
/// It is stored with `postcard`: the order of the fields stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    /// Intervals, by number.
    pub(super) intervals: BTreeMap<u64, IntervalReport>,
    /// Exception runs, by number.
    pub(super) exceptions: BTreeMap<u64, ExceptionReport>,
    /// Times of which entries were dropped before they were written.
    pub(super) gaps: Vec<UnknownSpan>,
    /// Whether this is the last segment of its process.
    pub(super) ended: bool,
}

impl Segment {
    /// Marks the time from the begin of the segment to `to_ms` as unknown.
    pub(super) fn add_gap(&mut self, to_ms: u64, kind: UnknownKind) {
        self.gaps.push(UnknownSpan { from_ms: self.from_ms, to_ms, kind });
    }
}

/// Single requests of a segment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentSteps {
    /// Names of the endpoints that the steps refer to.
    pub(super) endpoints: Vec<String>,
    pub(super) steps: Vec<SegmentStep>,
}

impl SegmentSteps {
    /// Number of an endpoint, which is added if it is new.
    pub(super) fn endpoint_number(&mut self, name: &str) -> u16 {
        let known = self.endpoints.iter().position(|known| known == name);
        let position = known.unwrap_or_else(|| {
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

/// Header of a segment: enough to decide whether its contents have to be read.
///
/// It is stored with `postcard`: the order of the fields stays as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// Process that wrote the segment.
    pub process: Incarnation,
    /// Start of the process, in milliseconds of its wall clock since the Unix epoch.
    pub began_unix_ms: u64,
    /// Time at which the process opened the file, likewise.
    pub opened_unix_ms: u64,
    /// Time at which the segment was written, likewise.
    pub written_unix_ms: u64,
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    pub(super) ended: bool,
    /// Least and greatest index of the endpoint lists in the segment.
    pub(super) list_indices: Option<(u64, u64)>,
    /// Whether the segment has gaps.
    pub(super) has_gaps: bool,
    /// Bytes of the encoded segment and of its encoded steps.
    pub(super) lengths: (u32, u32),
}

/// Process that writes segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentWriter {
    /// The process.
    pub process: Incarnation,
    /// Its start, in milliseconds of its wall clock since the Unix epoch.
    pub began_unix_ms: u64,
    /// Time at which it opened the file, likewise.
    pub opened_unix_ms: u64,
}

/// A segment, encoded for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedSegment {
    /// Number of the segment.
    pub number: u64,
    /// Encoded [`SegmentHeader`].
    pub header: Vec<u8>,
    /// Encoded [`Segment`].
    pub segment: Vec<u8>,
    /// Encoded [`SegmentSteps`].
    pub steps: Vec<u8>,
}

/// Merges segments until one is full.
#[derive(Clone, Debug)]
pub struct SegmentBuilder {
    writer: SegmentWriter,
    number: u64,
    segment: Segment,
    steps: SegmentSteps,
    /// Whether nothing was appended yet.
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

    /// Appends what was recorded since the last call. Returns the segment to be written, in place of the one with its number if there
    /// is one.
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
        let steps_length = if self.steps.steps.is_empty() { 0 } else { steps.len() as u32 };
        let header = SegmentHeader {
            process: self.writer.process,
            began_unix_ms: self.writer.began_unix_ms,
            opened_unix_ms: self.writer.opened_unix_ms,
            written_unix_ms,
            from_ms: self.segment.from_ms,
            to_ms: self.segment.to_ms,
            ended: self.segment.ended,
            list_indices: list_indices.clone().min().zip(list_indices.max()),
            has_gaps: !self.segment.gaps.is_empty(),
            lengths: (segment.len() as u32, steps_length),
        };
        EncodedSegment { number: self.number, header: compress(&header), segment, steps }
    }
}

/// Decodes the header of a segment; `None` if it is damaged.
pub fn decode_header(bytes: &[u8]) -> Option<SegmentHeader> {
    decompress(bytes)
}
