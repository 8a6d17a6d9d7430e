//! The `X-Request-ID`s under which no further request is accepted.
//!
//! An endpoint can't tell two requests with the same id apart from two attempts of one request, so an id is reserved while its request is open
//! or has an attempt in flight. It stays reserved for a while where the request was possibly processed and its client does not know the result:
//! a client that comes again with the same id would have the request processed twice.

use hyper::header::HeaderValue;
use rustc_hash::FxHashSet;
use std::collections::hash_map::RandomState;
use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

/// How long an id stays reserved after the end of its request: longer than any client tries to get one request served.
const RETENTION: Duration = Duration::from_secs(60);
/// Most ids that stay reserved after the end of their requests; beyond it the oldest is released.
const MAX_RETAINED_IDS: usize = 32_768;

/// The ids of open requests, and of ended requests whose result their clients do not know.
#[derive(Default)]
pub(super) struct RequestIds {
    open: FxHashSet<HeaderValue>,
    /// Hashes of the ids of ended requests, with the same hashes in `retained_order`.
    retained: FxHashSet<u64>,
    /// The hashes and when they are released, the earliest first.
    retained_order: VecDeque<(u64, Instant)>,
    /// Keyed with random values, so that clients can't choose ids with equal hashes.
    hasher: RandomState,
}

impl RequestIds {
    /// Reserves an id; false where it is reserved already.
    pub(super) fn reserve(&mut self, id: &HeaderValue, now: Instant) -> bool {
        self.release_expired(now);
        !self.retained.contains(&self.hasher.hash_one(id)) && self.open.insert(id.clone())
    }

    /// Releases the id of a request that has ended.
    pub(super) fn release(&mut self, id: &HeaderValue) {
        self.open.remove(id);
    }

    /// Keeps the id of a request that has ended reserved for [`RETENTION`].
    pub(super) fn retain(&mut self, id: &HeaderValue, now: Instant) {
        self.open.remove(id);
        let hash = self.hasher.hash_one(id);
        if self.retained.insert(hash) {
            self.retained_order.push_back((hash, now + RETENTION));
        }
        if self.retained_order.len() > MAX_RETAINED_IDS {
            self.release_oldest();
        }
    }

    fn release_expired(&mut self, now: Instant) {
        while self.retained_order.front().is_some_and(|(_, until)| *until <= now) {
            self.release_oldest();
        }
    }

    fn release_oldest(&mut self) {
        if let Some((hash, _)) = self.retained_order.pop_front() {
            self.retained.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
