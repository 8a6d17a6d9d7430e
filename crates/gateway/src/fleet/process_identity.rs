//! The identity of this process and of its build, as reported to the fleet.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::{SystemTime, UNIX_EPOCH};
use weldworks_fleet::version::{digest, Incarnation};

/// A random number that identifies this process uniquely, even if the wall clock is wrong.
pub(super) fn new_incarnation() -> Incarnation {
    // The standard library seeds `RandomState` with random numbers from the operating system.
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    hasher.write_u128(unix_time.as_nanos());
    Incarnation(hasher.finish() | 1)
}

/// The package version with a digest of the executable, because two different builds may have the same package version.
pub(super) fn build_version() -> String {
    let program = std::env::current_exe().and_then(std::fs::read).map(|bytes| digest(&bytes));
    match program {
        Ok(digest) => format!("{}+{digest:016x}", env!("CARGO_PKG_VERSION")),
        Err(_) => format!("{}+unknown", env!("CARGO_PKG_VERSION")),
    }
}
