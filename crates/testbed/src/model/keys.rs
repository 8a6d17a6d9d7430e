//! The cache of a stand-in endpoint: requests about recently used subjects take less work.

use rustc_hash::FxHashMap;

/// A bounded cache of keys; the least recently used key is evicted.
#[derive(Clone, Debug)]
pub struct SubjectCache {
    max_keys: usize,
    lifetime_s: f64,
    last_used: FxHashMap<u64, f64>,
}

impl SubjectCache {
    /// A cache of up to `max_keys` keys, each retained for `lifetime_s` seconds after its last use.
    pub fn new(max_keys: usize, lifetime_s: f64) -> SubjectCache {
        SubjectCache { max_keys, lifetime_s, last_used: FxHashMap::default() }
    }

    /// Records a use of `key` at `now`; true if the key was cached and had not expired.
    pub fn record_use(&mut self, now: f64, key: u64) -> bool {
        let was_cached = self.last_used.insert(key, now).is_some_and(|at| now - at <= self.lifetime_s);
        if self.last_used.len() > self.max_keys {
            // A scan, since the cache holds some dozens of keys. Of keys with equal times the lowest is evicted, so that runs are deterministic.
            let oldest = self.last_used.iter().min_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.last_used.remove(&key);
            }
        }
        was_cached
    }
}
