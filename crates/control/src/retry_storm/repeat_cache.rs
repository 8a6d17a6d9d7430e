//! What has been seen and what has been promised, in tables whose size does not follow the number of clients.
//!
//! A signed hint that the client brings back would need no table at all; the platform's clients bring nothing back but
//! their request, whose subject stays the same. So a fixed table by hash is kept. Two subjects that share a place
//! displace each other: a promise is then forgotten and its client treated as one without, which gains nobody
//! anything.

use std::time::Duration;

/// A table of fixed size from hashes to times.
#[derive(Clone, Debug)]
struct Places(Vec<(u64, Duration)>);

impl Places {
    fn new(places: usize) -> Places {
        Places(vec![(0, Duration::ZERO); places.max(1)])
    }

    fn place(&mut self, identity: u64) -> &mut (u64, Duration) {
        let at = (weldworks_balancer::mix(identity) % self.0.len() as u64) as usize;
        &mut self.0[at]
    }
}

/// The keys seen lately.
#[derive(Clone, Debug)]
pub struct RepeatCache {
    places: Places,
    lasts: Duration,
}

impl RepeatCache {
    /// Remembers a key for so long, in so many places.
    pub fn new(lasts: Duration, places: usize) -> RepeatCache {
        RepeatCache { places: Places::new(places), lasts }
    }

    /// Meets a key; whether it was seen a moment ago.
    pub fn insert(&mut self, now: Duration, identity: u64) -> bool {
        let lasts = self.lasts;
        let place = self.places.place(identity);
        let known = place.0 == identity && place.1 + lasts >= now && !place.1.is_zero();
        *place = (identity, now);
        known
    }
}

/// A client that comes so much before its time is early.
const EARLY: Duration = Duration::from_millis(20);
/// A promise is kept for so long after its time.
const KEPT: Duration = Duration::from_secs(2);

/// The times that clients were promised.
#[derive(Clone, Debug)]
pub struct ReservationCache(Places);

impl ReservationCache {
    /// So many promises at the most.
    pub fn new(places: usize) -> ReservationCache {
        ReservationCache(Places::new(places))
    }

    /// A client is told to come at a time.
    pub fn insert(&mut self, identity: u64, at: Duration) {
        *self.0.place(identity) = (identity, at);
    }

    /// A client comes; whether at the time it was promised. A promise is good once.
    pub fn redeem(&mut self, now: Duration, identity: u64) -> bool {
        let place = self.0.place(identity);
        let on_time = place.0 == identity && now + EARLY >= place.1 && now <= place.1 + KEPT;
        if on_time {
            *place = (0, Duration::ZERO);
        }
        on_time
    }
}
