//! Allowances of requests during a retry storm, and their counts.

use super::settings::StormSettings;

/// Why a request got its allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceReason {
    /// There is no storm, or damping is off.
    Calm,
    /// The request is a first attempt.
    FirstAttempt,
    /// The request is a retry that arrived at its reserved time.
    Reserved,
    /// The request is a retry that the budget covers.
    Budgeted,
    /// The request is a retry without a reservation for which the budget is empty.
    Unbudgeted,
}

/// Allowance of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Factor on the admission limits for the request; 1 leaves
    /// the limits unchanged. See [`weldworks_balancer::Request`].
    pub admission_share: f64,
    /// Why the request got this admission share.
    pub reason: AllowanceReason,
}

/// Number of requests by the reason of their allowance, since storm control was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllowanceCounts {
    /// Requests that arrived while there was no storm or damping was off.
    pub calm: u64,
    /// First attempts that arrived in a storm.
    pub first_attempts: u64,
    /// Retries in a storm that arrived at their reserved time.
    pub reserved: u64,
    /// Retries in a storm that the retry budget covered.
    pub budgeted: u64,
    /// Retries in a storm without a reservation, for which the retry budget was empty.
    pub unbudgeted: u64,
    /// Requests that arrived in a storm from tenants that exceed
    /// their share; each request is also counted by its reason.
    pub over_share: u64,
}

impl AllowanceCounts {
    pub(super) fn record(&mut self, reason: AllowanceReason) {
        let count = match reason {
            AllowanceReason::Calm => &mut self.calm,
            AllowanceReason::FirstAttempt => &mut self.first_attempts,
            AllowanceReason::Reserved => &mut self.reserved,
            AllowanceReason::Budgeted => &mut self.budgeted,
            AllowanceReason::Unbudgeted => &mut self.unbudgeted,
        };
        *count += 1;
    }
}

/// Factor on the admission share of a request in a storm: the configured one for a retry that neither a reservation nor
/// the budget covers, and 1 for any other request.
pub(super) fn retry_factor(reason: AllowanceReason, settings: &StormSettings) -> f64 {
    match reason {
        AllowanceReason::Unbudgeted => settings.unbudgeted_admission_share,
        AllowanceReason::Calm
        | AllowanceReason::FirstAttempt
        | AllowanceReason::Reserved
        | AllowanceReason::Budgeted => 1.0,
    }
}

/// Factor on the admission share of a request in a storm by the
/// weight of its class, relative to the mean weight of all classes.
pub(super) fn weight_factor(relative_weight: f64, settings: &StormSettings) -> f64 {
    relative_weight.max(0.0).powf(settings.weight_exponent)
}
