//! The platform's settings object, as it is sent by the simulator and contained in the gateway's configuration file.
//! The protocol's field names are mapped to [`Settings`] only in this module.

use crate::api::{EndpointWeights, Idempotency, KeyScope, RequestClass, Settings};
use rustc_hash::FxHashMap;
use serde::Deserialize;
use std::time::Duration;

/// Microseconds in a second.
const MICROS_PER_S: f64 = 1e6;
/// Longest time that is read from the settings object, in microseconds.
const MAX_MICROS: f64 = 1e15;

#[derive(Deserialize, Default)]
#[serde(default)]
struct SettingsDocument {
    #[serde(rename = "accounts")]
    tenants: Vec<TenantDocument>,
    classes: Vec<ClassDocument>,
    costs: FxHashMap<String, f64>,
    #[serde(rename = "discovery")]
    discovery_mode: String,
    #[serde(rename = "family_info")]
    workload: WorkloadDocument,
    #[serde(rename = "fleet_size")]
    gateway_count: u32,
    #[serde(rename = "locality")]
    zone: u32,
    #[serde(rename = "over_share_worth")]
    over_quota_weight: f64,
    #[serde(rename = "policy_limits")]
    limits: LimitsDocument,
    #[serde(rename = "quantum_s")]
    timer_tick_s: f64,
    safety: SafetyDocument,
    #[serde(rename = "weight_source")]
    endpoint_weights: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TenantDocument {
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WorkloadDocument {
    #[serde(rename = "warm_keys")]
    key_cache_affinity: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ClassDocument {
    #[serde(rename = "promise_s")]
    latency_objective_s: f64,
    #[serde(rename = "aim_stretch")]
    objective_stretch: f64,
    deadline_s: f64,
    #[serde(rename = "effect")]
    idempotency: String,
    #[serde(rename = "group")]
    key_scope: String,
    #[serde(rename = "dedup_window_s")]
    key_window_s: f64,
    #[serde(rename = "importance")]
    priority_weight: f64,
    #[serde(rename = "late_worth")]
    late_value_fraction: f64,
    sequential: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
#[expect(clippy::struct_excessive_bools, reason = "the document's form is the platform's")]
struct LimitsDocument {
    #[serde(rename = "try_limit")]
    max_attempts: u32,
    #[serde(rename = "may_cancel")]
    cancellation_allowed: bool,
    #[serde(rename = "second_copies")]
    hedging_allowed: bool,
    #[serde(rename = "probes")]
    probes_allowed: bool,
    #[serde(rename = "retry_after")]
    retry_after_obeyed: bool,
    max_retry_after_s: f64,
    #[serde(rename = "keepalive_s")]
    keep_alive_s: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct SafetyDocument {
    #[serde(rename = "ask_within_s")]
    discovery_poll_interval_s: f64,
    #[serde(rename = "cold_from")]
    slow_start_min_capacity: f64,
    #[serde(rename = "cold_s")]
    slow_start_duration_s: f64,
    overload_factor: f64,
    #[serde(rename = "fall_s")]
    overload_duration_s: f64,
    #[serde(rename = "key_rest_s")]
    key_quiet_period_s: f64,
    #[serde(rename = "stop_sending_within_s")]
    drain_grace_s: f64,
    #[serde(rename = "release_within_s")]
    drain_close_within_s: Option<f64>,
}

/// Converts seconds in the platform's documents to a [`Duration`], rounded to the microsecond; 0 for a negative value or NaN.
pub fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::from_micros((seconds * MICROS_PER_S).round().clamp(0.0, MAX_MICROS) as u64)
}

/// Reads the settings object that a gateway gets at its start, from its JSON text.
/// Unknown names are ignored; values whose names are absent are 0, false or empty.
///
/// # Errors
/// Returns an error if the text is not a settings object.
pub fn parse_settings(json: &str) -> Result<Settings, serde_json::Error> {
    serde_json::from_str::<SettingsDocument>(json).map(Settings::from)
}

impl From<SettingsDocument> for Settings {
    fn from(document: SettingsDocument) -> Self {
        let cost = |name| document.costs.get(name).copied().unwrap_or(0.0);
        let limits = &document.limits;
        let safety = &document.safety;
        Settings {
            gateway_count: document.gateway_count.max(1),
            zone: document.zone,
            tenant_quotas: document.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
            over_quota_weight: document.over_quota_weight,
            discovery_poll_interval: (document.discovery_mode == "ask")
                .then(|| duration_from_seconds(safety.discovery_poll_interval_s)),
            timer_tick: duration_from_seconds(document.timer_tick_s),
            max_attempts: limits.max_attempts,
            cancellation_allowed: limits.cancellation_allowed,
            hedging_allowed: limits.hedging_allowed,
            probes_allowed: limits.probes_allowed,
            max_retry_after: limits.max_retry_after(),
            slow_start_min_capacity: safety.slow_start_min_capacity,
            slow_start_duration: duration_from_seconds(safety.slow_start_duration_s),
            overload_factor: safety.overload_factor,
            overload_duration: duration_from_seconds(safety.overload_duration_s),
            key_quiet_period: duration_from_seconds(safety.key_quiet_period_s),
            drain_grace: duration_from_seconds(safety.drain_grace_s),
            drain_close_within: safety.drain_close_within_s.map(duration_from_seconds),
            cross_zone_cost: cost("cross_zone"),
            handshake_cost: cost("handshake"),
            keep_alive: limits.keep_alive_s.map_or(Settings::default().keep_alive, duration_from_seconds),
            key_cache_affinity: document.workload.key_cache_affinity,
            endpoint_weights: endpoint_weights(&document.endpoint_weights),
            classes: document.classes.into_iter().map(RequestClass::from).collect(),
        }
    }
}

impl LimitsDocument {
    /// The longest `Retry-After` of answers; zero where clients do not obey `Retry-After`.
    fn max_retry_after(&self) -> Duration {
        if self.retry_after_obeyed {
            duration_from_seconds(self.max_retry_after_s)
        } else {
            Duration::ZERO
        }
    }
}

impl From<ClassDocument> for RequestClass {
    fn from(document: ClassDocument) -> Self {
        RequestClass {
            latency_objective: duration_from_seconds(document.latency_objective_s),
            objective_stretch: document.objective_stretch,
            deadline: duration_from_seconds(document.deadline_s),
            priority_weight: document.priority_weight,
            late_value_fraction: document.late_value_fraction,
            idempotency: document.idempotency(),
            sequential: document.sequential,
            retired: false,
        }
    }
}

impl ClassDocument {
    /// Whether a request of the class may be sent again. It may not where the document has an unknown value.
    fn idempotency(&self) -> Idempotency {
        match self.idempotency.as_str() {
            "free" => Idempotency::Idempotent,
            "guarded" => self.key_scope().map_or(Idempotency::NotIdempotent, |scope| {
                Idempotency::IdempotencyKey { scope, window: duration_from_seconds(self.key_window_s) }
            }),
            _ => Idempotency::NotIdempotent,
        }
    }

    fn key_scope(&self) -> Option<KeyScope> {
        match self.key_scope.as_str() {
            "all" => Some(KeyScope::All),
            "zone" => Some(KeyScope::Zone),
            "cell" => Some(KeyScope::Cell),
            _ => None,
        }
    }
}

fn endpoint_weights(source: &str) -> EndpointWeights {
    match source {
        "nominal" | "rough" => EndpointWeights::Size,
        "live" => EndpointWeights::Live,
        _ => EndpointWeights::Off,
    }
}
