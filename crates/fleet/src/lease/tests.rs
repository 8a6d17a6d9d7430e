use super::*;
use proptest::prelude::*;

proptest! {
    /// For all clock rates within the margin, and all delays of the grant, the holder's expiry comes before the grantor's in true time.
    #[test]
    fn holder_stops_before_the_lease_expires_at_the_grantors(
        length_ms in 100u64..60_000, margin in 0.001f64..0.2, requested_ms in 0u64..1_000_000, delay_ms in 0u64..10_000,
        holder_drift in -1.0f64..1.0, grantor_drift in -1.0f64..1.0,
    ) {
        let lease = Lease { length: Duration::from_millis(length_ms), margin };
        // Neither process knows true time: each process's clock shows true time multiplied by the clock's rate.
        let holder_rate = 1.0 + holder_drift * margin;
        let grantor_rate = 1.0 + grantor_drift * margin;
        let requested_s = requested_ms as f64 / 1e3;
        let granted_s = (requested_ms + delay_ms) as f64 / 1e3;
        let holder_expiry_s =
            lease.holder_expiry(Duration::from_secs_f64(requested_s * holder_rate)).as_secs_f64() / holder_rate;
        let grantor_expiry_s =
            lease.grantor_expiry(Duration::from_secs_f64(granted_s * grantor_rate)).as_secs_f64() / grantor_rate;
        prop_assert!(holder_expiry_s <= grantor_expiry_s + 1e-6, "{holder_expiry_s} {grantor_expiry_s}");
    }
}

#[test]
fn three_renewals_may_be_lost_before_the_lease_ends() {
    let lease = Lease { length: Duration::from_secs(4), margin: 0.02 };
    assert!(lease.renewal_interval() * 3 < lease.holder_expiry(Duration::ZERO));
    assert_eq!(lease.uncertainty_window(), Duration::from_millis(160));
}
