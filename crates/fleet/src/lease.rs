//! Lease arithmetic: how long the holder of a lease may rely on it, and when its grantors may count on its end. Every margin is
//! computed here.
//!
//! No two clocks are compared, only durations. The holder relies on the lease for `length (1 - margin)` after it *sent the request*; the
//! grantors wait for `length (1 + margin)` after the grant *took effect*, which is later. As long as the rate of every clock is within
//! `margin` of true time, the holder stops, in true time, before any grantor counts on the end.

use std::time::Duration;

/// Number of renewal attempts in one lease length.
const RENEWALS_PER_LEASE: u32 = 4;

/// Length of a lease and the clock drift that it tolerates.
///
/// The settings' digest is taken of the `Debug` text: names and order of the fields stay as they are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// Nominal length.
    pub length: Duration,
    /// Fraction by which the clock of any process may run fast or slow. 0.02 is two percent, 2,000 times the drift of a quartz clock.
    pub margin: f64,
}

impl Lease {
    /// Time at which the holder stops relying on a lease that it requested at `requested_at`, both on the holder's clock.
    pub fn holder_expiry(&self, requested_at: Duration) -> Duration {
        requested_at + self.length.mul_f64(1.0 - self.margin)
    }

    /// Earliest time at which a grantor may count on the end of a lease that took effect at `granted_at`, both on the grantor's clock.
    pub fn grantor_expiry(&self, granted_at: Duration) -> Duration {
        granted_at + self.length.mul_f64(1.0 + self.margin)
    }

    /// Interval between renewals: three of them may be lost before the lease ends.
    pub fn renewal_interval(&self) -> Duration {
        self.length / RENEWALS_PER_LEASE
    }

    /// Time between the holder's expiry and the grantors' expiry of a lease requested and granted at the same moment.
    pub fn uncertainty_window(&self) -> Duration {
        self.length.mul_f64(2.0 * self.margin)
    }
}

#[cfg(test)]
mod tests;
