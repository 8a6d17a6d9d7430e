//! Retention: which segments are deleted to keep the audit log on disk within its limits.

use super::SegmentHeader;
use std::collections::BTreeMap;
use std::time::Duration;

/// Default of [`RetentionLimits::max_bytes`]: 64 MiB.
const DEFAULT_MAX_BYTES: u64 = 64 << 20;
/// Default of [`RetentionLimits::max_age`]: seven days.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(7 * 86_400);

/// Limits on the size and age of the audit log on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Maximum size of the audit log, in compressed bytes; 64 MiB by default.
    pub max_bytes: u64,
    /// Maximum age of a segment, by the wall clock; seven days by default.
    pub max_age: Duration,
}

impl Default for RetentionLimits {
    fn default() -> RetentionLimits {
        RetentionLimits { max_bytes: DEFAULT_MAX_BYTES, max_age: DEFAULT_MAX_AGE }
    }
}

/// A part of the audit log that has to be deleted from disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evicted {
    /// Delete the steps of the segment with this number.
    Steps(u64),
    /// Delete the whole segment with this number.
    Segment(u64),
}

/// Size and age of a segment on disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredSegment {
    pub(super) segment_bytes: u32,
    pub(super) steps_bytes: u32,
    written_unix_ms: u64,
}

impl StoredSegment {
    pub(super) fn total_bytes(&self) -> u64 {
        u64::from(self.segment_bytes) + u64::from(self.steps_bytes)
    }
}

/// Index of the segments on disk.
#[derive(Clone, Debug, Default)]
pub struct RetentionIndex {
    /// Segments on disk, by number.
    pub(super) segments: BTreeMap<u64, StoredSegment>,
    pub(super) total_bytes: u64,
    /// Number of the first segment that may still have steps on disk.
    first_with_steps: u64,
}

impl RetentionIndex {
    /// Records that a segment was written, in place of the segment with the same number if there is one.
    pub fn insert(&mut self, number: u64, header: &SegmentHeader) {
        let stored = StoredSegment {
            segment_bytes: header.lengths.segment,
            steps_bytes: header.lengths.steps,
            written_unix_ms: header.written_unix_ms,
        };
        self.remove(number);
        self.segments.insert(number, stored);
        self.total_bytes += stored.total_bytes();
    }

    fn remove(&mut self, number: u64) {
        if let Some(stored) = self.segments.remove(&number) {
            self.total_bytes -= stored.total_bytes();
        }
    }

    /// Number that the first segment of the next process gets.
    pub fn next_number(&self) -> u64 {
        self.segments.last_key_value().map_or(1, |(number, _)| number + 1)
    }

    /// Chooses the segments and steps to delete now, and removes them from the index.
    ///
    /// Segments that are too old are deleted first; then steps, oldest first, until the rest fits the limit; then the oldest segments.
    /// The newest segment is retained whatever its size.
    pub fn evict(&mut self, limits: &RetentionLimits, now_unix_ms: u64) -> Vec<Evicted> {
        let mut evicted = Vec::new();
        self.evict_expired(limits.max_age, now_unix_ms, &mut evicted);
        while self.total_bytes > limits.max_bytes {
            let next = self.evict_oldest_steps().or_else(|| self.evict_oldest_segment());
            let Some(next) = next else { break };
            evicted.push(next);
        }
        evicted
    }

    fn evict_expired(&mut self, max_age: Duration, now_unix_ms: u64, evicted: &mut Vec<Evicted>) {
        let max_age_ms = max_age.as_millis() as u64;
        while let Some((number, oldest)) = self.oldest() {
            if oldest.written_unix_ms.saturating_add(max_age_ms) >= now_unix_ms {
                return;
            }
            self.remove(number);
            evicted.push(Evicted::Segment(number));
        }
    }

    fn evict_oldest_steps(&mut self) -> Option<Evicted> {
        let newest = self.next_number() - 1;
        let mut candidates = self.segments.range_mut(self.first_with_steps..newest);
        let (number, stored) = candidates.find(|(_, stored)| stored.steps_bytes > 0)?;
        self.total_bytes -= u64::from(stored.steps_bytes);
        stored.steps_bytes = 0;
        self.first_with_steps = number + 1;
        Some(Evicted::Steps(*number))
    }

    fn evict_oldest_segment(&mut self) -> Option<Evicted> {
        let (number, _) = self.oldest()?;
        self.remove(number);
        Some(Evicted::Segment(number))
    }

    /// The oldest segment and its number; `None` if there is only one segment.
    fn oldest(&self) -> Option<(u64, StoredSegment)> {
        let (number, stored) = self.segments.first_key_value()?;
        (self.segments.len() > 1).then_some((*number, *stored))
    }
}

#[cfg(test)]
mod tests;
