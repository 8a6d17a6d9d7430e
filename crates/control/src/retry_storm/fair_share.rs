//! Shares that a single gateway can know: of counts that fade, and surely so.
//!
//! One gateway among many sees a handful of requests in a window. Of ten answers two are refused by chance on any ordinary
//! day, so a share counts as exceeded only where the lower end of its interval does (E. B. Wilson, "Probable inference, the law of
//! succession, and statistical inference", 1927).

use std::time::Duration;

/// The normal quantile of the interval: 97.5 %.
const SURE: f64 = 1.96;

/// The lower end of the interval of a share, of which `part` in `of` was seen; 0 where nothing was.
pub fn wilson_lower_bound(part: f64, of: f64) -> f64 {
    if of <= 0.0 {
        return 0.0;
    }
    let (share, square) = ((part / of).clamp(0.0, 1.0), SURE * SURE);
    let middle = share + square / (2.0 * of);
    let half = SURE * (share * (1.0 - share) / of + square / (4.0 * of * of)).sqrt();
    ((middle - half) / (1.0 + square / of)).max(0.0)
}

/// A count that fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fading {
    sum: f64,
    at: f64,
}

impl Fading {
    pub(super) fn add(&mut self, now: f64, window: f64, value: f64) {
        self.sum = self.at(now, window) + value;
        self.at = now.max(self.at);
    }

    pub(super) fn at(&self, now: f64, window: f64) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / window).exp()
    }
}

/// Tenants' parts of the traffic are averaged over this: longer than a storm's signals, for each is a part only.
const WINDOW_S: f64 = 10.0;
/// A tenant is beyond its share once it surely asks more than this many times that.
const BEYOND: f64 = 1.1;

/// Which tenants ask more than their share, by this gateway's own traffic alone: surely a larger part of it, and, times the
/// number of gateways, more than the quota. Both, since either errs: the part where others ask for less than is theirs or
/// where a front deals a tenant's requests to few gateways; the rate where a front deals unevenly or the number is wrong.
#[derive(Clone, Debug)]
pub struct FairShare {
    tenants: Vec<Tenant>,
    all: Fading,
    gateways: f64,
}

#[derive(Clone, Copy, Debug)]
struct Tenant {
    /// Requests a second over all gateways; 0 for no quota.
    quota: f64,
    /// Its part of all quotas.
    share: f64,
    asked: Fading,
}

impl FairShare {
    /// From the quotas, requests a second over all of so many gateways. A quota that is no positive number is none, and
    /// its tenant is never beyond it.
    pub fn new(quotas: &[f64], gateways: u32) -> FairShare {
        let fit = |quota: f64| if quota.is_finite() && quota > 0.0 { quota } else { 0.0 };
        let whole: f64 = quotas.iter().map(|q| fit(*q)).sum();
        let tenant = |quota: &f64| {
            let quota = fit(*quota);
            Tenant { quota, share: quota / whole.max(f64::MIN_POSITIVE), asked: Fading::default() }
        };
        let gateways = f64::from(gateways.max(1));
        FairShare { tenants: quotas.iter().map(tenant).collect(), all: Fading::default(), gateways }
    }

    /// A request of a tenant comes; whether the tenant may be within its share. One that is not known is.
    pub fn is_within_share(&mut self, now: Duration, tenant: usize) -> bool {
        let now = now.as_secs_f64();
        self.all.add(now, WINDOW_S, 1.0);
        let all = self.all.at(now, WINDOW_S);
        let Some(tenant) = self.tenants.get_mut(tenant) else { return true };
        tenant.asked.add(now, WINDOW_S, 1.0);
        let asked = tenant.asked.at(now, WINDOW_S);
        let more = asked / WINDOW_S * self.gateways > tenant.quota;
        tenant.quota <= 0.0 || !more || wilson_lower_bound(asked, all) <= BEYOND * tenant.share
    }
}
