//! Lease arithmetic: how long the holder of a lease may rely on it, and when the grantors may assume that the lease has ended. Every clock
//! margin of a lease is computed in this module.
//!
//! No two clocks are compared, only durations. The holder relies on the lease for `length (1 - margin)` after *sending the request*; the
//! grantors wait for `length (1 + margin)` after the grant *took effect*, which is later. As long as the rate of every clock is within
//! `margin` of true time, the holder stops relying on the lease, in true time, before any grantor assumes its end.

use std::time::Duration;

/// Number of renewal attempts in one lease length.
const RENEWALS_PER_LEASE: u32 = 4;

/// Length of a lease and the clock drift that the lease tolerates.
///
/// The digest of the fleet settings is taken of this type's `Debug` text: names and order of the fields must not change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// Nominal length of the lease.
    pub length: Duration,
    /// Fraction by which the clock of any process may run fast or slow. 0.02 is two percent, 2,000 times the drift of a quartz clock.
    pub margin: f64,
}

impl Lease {
    /// Time at which the holder stops relying on a lease that was requested at `requested_at`; both times are on the holder's clock.
    pub fn holder_expiry(&self, requested_at: Duration) -> Duration {
        requested_at + self.length.mul_f64(1.0 - self.margin)
    }

    /// Earliest time at which a grantor may assume the end of a lease that took effect at `granted_at`, both on the grantor's clock.
    pub fn grantor_expiry(&self, granted_at: Duration) -> Duration {
        granted_at + self.length.mul_f64(1.0 + self.margin)
    }

    /// Interval between renewals: three renewals in a row may be lost before the lease ends.
    pub fn renewal_interval(&self) -> Duration {
        self.length / RENEWALS_PER_LEASE
    }

    /// Time between the holder's and the grantors' expiry of a lease that was requested and granted at the same moment.
    pub fn uncertainty_window(&self) -> Duration {
        self.length.mul_f64(2.0 * self.margin)
    }
}

#[cfg(test)]
mod tests;
