use super::*;

/// A connection whose reads happen at given times, in milliseconds after its start.
struct Reads {
    start: Instant,
    arrival: ArrivalTime,
}

impl Reads {
    fn new() -> Reads {
        Reads { start: Instant::now(), arrival: ArrivalTime::default() }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn empty(&self, ms: u64) {
        self.arrival.record_read_start(self.at(ms));
        self.arrival.record_empty(self.at(ms));
    }

    fn bytes(&self, ms: u64, bytes: u64) {
        self.arrival.record_read_start(self.at(ms));
        self.arrival.record_bytes(self.at(ms), bytes);
    }

    fn earliest_write_ms(&self) -> Option<u128> {
        self.arrival.earliest_write().map(|at| (at - self.start).as_millis())
    }
}

#[test]
fn bytes_behind_an_empty_buffer_were_written_after_it() {
    let reads = Reads::new();
    reads.bytes(0, 16 << 10);
    assert_eq!(reads.earliest_write_ms(), None, "nothing is known of the first bytes");
    for ms in (8..400).step_by(8) {
        reads.empty(ms - 1);
        reads.bytes(ms, 16 << 10);
        assert_eq!(reads.earliest_write_ms(), Some(u128::from(ms - 1)));
    }
}

#[test]
fn bytes_that_end_a_wait_were_written_just_then() {
    let reads = Reads::new();
    reads.bytes(0, 1000);
    reads.empty(1);
    reads.empty(500);
    reads.bytes(501, 1000);
    assert_eq!(reads.earliest_write_ms(), Some(501));
    reads.empty(502);
    // Large bursts that are read at once show no full buffer.
    for ms in (550..1000).step_by(25) {
        reads.bytes(ms, 256 << 10);
        assert_eq!(reads.earliest_write_ms(), Some(u128::from(ms)));
        reads.empty(ms + 1);
    }
}

/// Guards against an answer that comes a second and more after its time. An endpoint took nothing of a long body for a while. Its client had
/// written the whole body, of which the receive buffer held a part; the rest arrived only once that part had been read.
#[test]
fn bytes_behind_a_full_buffer_may_have_been_written_before_it_was_emptied() {
    let reads = Reads::new();
    reads.bytes(0, 16 << 10);
    reads.bytes(990, 48 << 10);
    reads.empty(991);
    reads.bytes(992, 64 << 10);
    reads.empty(993);
    reads.bytes(1030, 64 << 10);
    reads.empty(1031);
    assert_eq!(reads.earliest_write_ms(), None);
    // The peer's send buffer is empty by now.
    reads.empty(1100);
    reads.bytes(1101, 1000);
    assert_eq!(reads.earliest_write_ms(), Some(1100));
}

/// A pause with few unread bytes, as of a busy process, proves nothing against a peer that goes on writing.
#[test]
fn a_pause_with_few_unread_bytes_shows_no_full_buffer() {
    let reads = Reads::new();
    reads.bytes(0, 16 << 10);
    reads.bytes(40, 32 << 10);
    reads.empty(41);
    reads.bytes(45, 1000);
    assert_eq!(reads.earliest_write_ms(), Some(41));
}
