//! The keys that a node has met lately: work for them costs less.

use rustc_hash::FxHashMap;

/// A bounded memory of keys; the one met longest ago makes room.
#[derive(Clone, Debug)]
pub struct Keys {
    places: usize,
    lasts: f64,
    met: FxHashMap<u64, f64>,
}

impl Keys {
    /// Remembers `places` keys for `lasts` seconds each.
    pub fn new(places: usize, lasts: f64) -> Keys {
        Keys { places, lasts, met: FxHashMap::default() }
    }

    /// Meets a key; whether it was known still.
    pub fn meet(&mut self, now: f64, key: u64) -> bool {
        let known = self.met.insert(key, now).is_some_and(|at| now - at <= self.lasts);
        if self.met.len() > self.places {
            // A scan: the places are some dozens. Of equals the lower key goes, so that runs agree.
            let oldest = self.met.iter().min_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.met.remove(&key);
            }
        }
        known
    }
}
