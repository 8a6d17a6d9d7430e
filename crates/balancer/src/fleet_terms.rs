//! Terms of the decisions that follow from the settings alone.

use crate::api::Settings;

/// Exponent by which other gateways' part of an endpoint's traffic dilutes what this gateway sees of it.
const DILUTION_EXPONENT: i32 = 4;

/// What follows from the settings alone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetTerms {
    /// How little of an endpoint's traffic is this gateway's own: 0 for a single gateway, near 1 for one of many.
    pub(crate) dilution: f64,
    /// The shortest latency objective of a class in use, in seconds; infinite without one.
    pub(crate) shortest_objective_s: f64,
    /// The longest latency objective of a class in use, in seconds; 0 without one.
    pub(crate) longest_objective_s: f64,
}

impl FleetTerms {
    /// The terms of these settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        let objectives_s = || {
            let in_use = settings.classes.iter().filter(|class| !class.retired);
            in_use.map(|class| class.latency_objective.as_secs_f64())
        };
        let own_part = 1.0 / f64::from(settings.gateway_count.max(1));
        FleetTerms {
            dilution: (1.0 - own_part).powi(DILUTION_EXPONENT),
            shortest_objective_s: objectives_s().fold(f64::INFINITY, f64::min),
            longest_objective_s: objectives_s().fold(0.0, f64::max),
        }
    }
}
