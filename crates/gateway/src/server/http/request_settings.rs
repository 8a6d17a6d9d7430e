//! The settings that apply to arriving requests.

use std::time::Duration;
use weldworks_balancer::Settings;
use weldworks_control::class_registry::{ClassRegistry, ClassTable};

/// `Retry-After` of a request that is rejected because no connection slot is free, unless the settings allow only a shorter one.
const OVERFLOW_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The classes and tenants that requests may name, and the `Retry-After` of requests that are rejected without a connection slot.
pub struct RequestSettings {
    pub(super) classes: ClassTable,
    tenants: Vec<String>,
    pub(super) overflow_retry_after: Duration,
}

impl RequestSettings {
    /// Creates the request settings for these classes and tenants.
    pub fn new(classes: &ClassRegistry, tenants: Vec<String>, settings: &Settings) -> RequestSettings {
        RequestSettings {
            classes: classes.table(),
            tenants,
            overflow_retry_after: OVERFLOW_RETRY_AFTER.min(settings.max_retry_after),
        }
    }

    /// The tenant's index in the settings; for a tenant that is not in the settings, the number of tenants, which is no tenant's index.
    pub(super) fn tenant_index(&self, name: Option<&str>) -> usize {
        let index = self.tenants.iter().position(|tenant| Some(tenant.as_str()) == name);
        index.unwrap_or(self.tenants.len())
    }
}
