//! Determines which tenants send more than their share of the traffic.

use super::decaying_counter::DecayingCounter;
use super::wilson_interval::wilson_lower_bound;
use std::time::Duration;

/// Time constant of the tenants' request rates, in seconds. It is longer than the time constant of the storm signals,
/// because each tenant sends only a part of the requests.
const RATE_WINDOW_S: f64 = 10.0;
/// Multiple of a tenant's share above which the tenant counts as exceeding it.
const SHARE_TOLERANCE: f64 = 1.1;

/// Compares the traffic of each tenant at this gateway with its quota.
///
/// A tenant counts as exceeding its share only if two estimates agree, because either alone can be wrong:
///
/// - the tenant's fraction of this gateway's traffic is wrong where the other
///   tenants send little or a front balancer sends a tenant to few gateways;
/// - the tenant's rate at this gateway times the number of gateways is wrong where a front balancer distributes
///   unevenly or the number of gateways is out of date.
#[derive(Clone, Debug)]
pub struct FairShare {
    tenants: Vec<Tenant>,
    all_requests: DecayingCounter,
    gateway_count: f64,
}

#[derive(Clone, Copy, Debug)]
struct Tenant {
    /// The tenant's quota in requests per second over all gateways; 0 for no quota.
    quota_per_s: f64,
    /// The tenant's quota as a fraction of the sum of all quotas.
    share: f64,
    requests: DecayingCounter,
}

impl FairShare {
    /// Creates the state from each tenant's quota, in requests per second over all gateways. A quota that is not a
    /// positive number counts as no quota, and a tenant without a quota never exceeds its share.
    pub fn new(quotas_per_s: &[f64], gateway_count: u32) -> FairShare {
        let total_per_s: f64 = quotas_per_s.iter().map(|quota| sanitize_quota(*quota)).sum();
        let tenants =
            quotas_per_s.iter().map(|quota| Tenant::new(sanitize_quota(*quota), total_per_s)).collect();
        FairShare {
            tenants,
            all_requests: DecayingCounter::new(RATE_WINDOW_S),
            gateway_count: f64::from(gateway_count.max(1)),
        }
    }

    /// Records a request of a tenant and returns whether the tenant is
    /// within its share. An unknown tenant is always within its share.
    pub fn record_request(&mut self, now: Duration, tenant: usize) -> bool {
        let now_s = now.as_secs_f64();
        self.all_requests.add(now_s, 1.0);
        let all_requests = self.all_requests.value_at(now_s);
        let Some(tenant) = self.tenants.get_mut(tenant) else { return true };
        tenant.requests.add(now_s, 1.0);
        if tenant.quota_per_s <= 0.0 {
            return true;
        }
        let exceeds_quota = tenant.requests.rate_at(now_s) * self.gateway_count > tenant.quota_per_s;
        let traffic_ratio = wilson_lower_bound(tenant.requests.value_at(now_s), all_requests);
        !exceeds_quota || traffic_ratio <= SHARE_TOLERANCE * tenant.share
    }
}

impl Tenant {
    fn new(quota_per_s: f64, total_per_s: f64) -> Tenant {
        // Without any quota the total is 0; the lower bound of the divisor makes the share 0 and not NaN.
        let share = quota_per_s / total_per_s.max(f64::MIN_POSITIVE);
        Tenant { quota_per_s, share, requests: DecayingCounter::new(RATE_WINDOW_S) }
    }
}

fn sanitize_quota(quota_per_s: f64) -> f64 {
    if quota_per_s.is_finite() && quota_per_s > 0.0 {
        quota_per_s
    } else {
        0.0
    }
}
