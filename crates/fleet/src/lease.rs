//! Leases: what the holder and those who grant it may each believe. The one place where margins are computed.
//!
//! Nobody compares two processes' clocks. A lease is a length. The holder counts it from the moment at which it *asked*, and shortens
//! it by the margin; those who granted it count from the moment at which the grant *came into force with them*, which is later, and
//! lengthen it by the margin. So wherever any two clocks run at rates that differ by less than twice the margin, the holder has let go
//! before anybody counts on it:
//!
//! `asked + lease (1 - m)` on the holder's clock `<=` `in force + lease (1 + m)` on the grantor's, for `asked <= in force`.

use std::time::Duration;

/// How long a lease lasts, and how far clocks may be apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// Its length.
    pub length: Duration,
    /// The part by which any process's clock may run fast or slow; 0.02 is two in a hundred, 2,000 times what a quartz drifts.
    pub margin: f64,
}

impl Lease {
    /// Until when the holder may act on it, that asked for it at `asked`.
    pub fn holder_expiry(&self, asked: Duration) -> Duration {
        asked + self.length.mul_f64(1.0 - self.margin)
    }

    /// From when on others may count on its end, with whom it came into force at `since`.
    pub fn grantor_expiry(&self, since: Duration) -> Duration {
        since + self.length.mul_f64(1.0 + self.margin)
    }

    /// How often it is renewed: three tries are lost before it ends.
    pub fn renewal_interval(&self) -> Duration {
        self.length / 4
    }

    /// The longest that a gateway which is cut off at the worst moment goes on beyond the last moment at which the others could have
    /// told it anything, and the shortest after which they count on its end: the window between both is the margin's doing.
    pub fn uncertainty_window(&self) -> Duration {
        self.length.mul_f64(2.0 * self.margin)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever the rates of both clocks within the margin, and whenever the grant takes force, the holder lets go first.
        #[test]
        fn the_holder_lets_go_before_others_count_on_it(
            length in 100u64..60_000, margin in 0.001f64..0.2, asked in 0u64..1_000_000, after in 0u64..10_000,
            holder in -1.0f64..1.0, grantor in -1.0f64..1.0,
        ) {
            let lease = Lease { length: Duration::from_millis(length), margin };
            // True time is that of neither; each clock shows true time times its rate.
            let (holder, grantor) = (1.0 + holder * margin, 1.0 + grantor * margin);
            let (asked, force) = (asked as f64 / 1e3, (asked + after) as f64 / 1e3);
            let let_go = lease.holder_expiry(Duration::from_secs_f64(asked * holder)).as_secs_f64() / holder;
            let counted = lease.grantor_expiry(Duration::from_secs_f64(force * grantor)).as_secs_f64() / grantor;
            prop_assert!(let_go <= counted + 1e-6, "{let_go} {counted}");
        }
    }

    #[test]
    fn three_renewals_are_lost_before_it_ends() {
        let lease = Lease { length: Duration::from_secs(4), margin: 0.02 };
        assert!(lease.renewal_interval() * 3 < lease.holder_expiry(Duration::ZERO));
        assert_eq!(lease.uncertainty_window(), Duration::from_millis(160));
    }
}
