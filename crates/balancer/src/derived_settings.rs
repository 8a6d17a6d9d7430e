//! Values derived from the settings alone, computed once for each settings change.

use crate::api::Settings;

/// Exponent of the other gateways' fraction of the traffic in the formula of the dilution.
const DILUTION_EXPONENT: i32 = 4;

/// Values derived from one gateway's settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DerivedSettings {
    /// Dilution, (1 - 1/gateways)^4: near 0 for few gateways, near 1 for many.
    pub(crate) dilution: f64,
    /// The shortest latency objective of a class in use, in seconds; infinite if no class is in use.
    pub(crate) shortest_objective_s: f64,
    /// The longest latency objective of a class in use, in seconds; 0 if no class is in use.
    pub(crate) longest_objective_s: f64,
}

impl DerivedSettings {
    /// Derives the values from the settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        let objectives_s = || {
            let in_use = settings.classes.iter().filter(|class| !class.retired);
            in_use.map(|class| class.latency_objective.as_secs_f64())
        };
        let own_fraction = 1.0 / f64::from(settings.gateway_count.max(1));
        DerivedSettings {
            dilution: (1.0 - own_fraction).powi(DILUTION_EXPONENT),
            shortest_objective_s: objectives_s().fold(f64::INFINITY, f64::min),
            longest_objective_s: objectives_s().fold(0.0, f64::max),
        }
    }
}
