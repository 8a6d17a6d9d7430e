//! The settings object of the platform, as the simulator's wire and the gateway's configuration file carry it. The protocol's field
//! names are mapped to [`Settings`] here and nowhere else.

use crate::api::{EndpointWeights, Idempotency, KeyScope, RequestClass, Settings};
use rustc_hash::FxHashMap;
use serde::Deserialize;
use std::time::Duration;

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSettings {
    accounts: Vec<RawTenant>,
    classes: Vec<RawClass>,
    costs: FxHashMap<String, f64>,
    discovery: String,
    family_info: RawFamily,
    fleet_size: u32,
    locality: u32,
    over_share_worth: f64,
    policy_limits: RawLimits,
    quantum_s: f64,
    safety: RawRules,
    weight_source: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawTenant {
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawFamily {
    warm_keys: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawClass {
    promise_s: f64,
    aim_stretch: f64,
    deadline_s: f64,
    effect: String,
    group: String,
    dedup_window_s: f64,
    importance: f64,
    late_worth: f64,
    sequential: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawLimits {
    try_limit: u32,
    may_cancel: bool,
    second_copies: bool,
    probes: bool,
    retry_after: bool,
    max_retry_after_s: f64,
    keepalive_s: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawRules {
    ask_within_s: f64,
    cold_from: f64,
    cold_s: f64,
    overload_factor: f64,
    fall_s: f64,
    key_rest_s: f64,
    release_within_s: Option<f64>,
}

/// Seconds on the wire as a [`Duration`], to the microsecond; anything that is no such time is 0.
fn time(s: f64) -> Duration {
    Duration::from_micros((s * 1e6).round().clamp(0.0, 1e15) as u64)
}

/// Reads the settings object that an instance is told at its start, from its JSON text. Unknown names are
/// passed over.
pub fn parse_settings(json: &str) -> Result<Settings, serde_json::Error> {
    serde_json::from_str(json).map(settings)
}

fn settings(raw: RawSettings) -> Settings {
    let class = |c: RawClass| RequestClass {
        latency_objective: time(c.promise_s),
        objective_stretch: c.aim_stretch,
        deadline: time(c.deadline_s),
        priority_weight: c.importance,
        late_value_fraction: c.late_worth,
        sequential: c.sequential,
        retired: false,
        idempotency: match (c.effect.as_str(), c.group.as_str()) {
            ("free", _) => Idempotency::Idempotent,
            ("guarded", "all") => {
                Idempotency::IdempotencyKey { scope: KeyScope::All, window: time(c.dedup_window_s) }
            }
            ("guarded", "zone") => {
                Idempotency::IdempotencyKey { scope: KeyScope::Zone, window: time(c.dedup_window_s) }
            }
            ("guarded", "cell") => {
                Idempotency::IdempotencyKey { scope: KeyScope::Cell, window: time(c.dedup_window_s) }
            }
            _ => Idempotency::NotIdempotent,
        },
    };
    let price = |name| raw.costs.get(name).copied().unwrap_or(0.0);
    Settings {
        gateway_count: raw.fleet_size.max(1),
        zone: raw.locality,
        classes: raw.classes.into_iter().map(class).collect(),
        tenant_quotas: raw.accounts.iter().map(|t| t.quota_per_s).collect(),
        over_quota_weight: raw.over_share_worth,
        discovery_poll_interval: (raw.discovery == "ask").then(|| time(raw.safety.ask_within_s)),
        timer_tick: time(raw.quantum_s),
        max_attempts: raw.policy_limits.try_limit,
        cancellation_allowed: raw.policy_limits.may_cancel,
        hedging_allowed: raw.policy_limits.second_copies,
        probes_allowed: raw.policy_limits.probes,
        max_retry_after: time(raw.policy_limits.max_retry_after_s)
            .mul_f64(f64::from(raw.policy_limits.retry_after)),
        slow_start_min_capacity: raw.safety.cold_from,
        slow_start_duration: time(raw.safety.cold_s),
        overload_factor: raw.safety.overload_factor,
        overload_duration: time(raw.safety.fall_s),
        key_quiet_period: time(raw.safety.key_rest_s),
        drain_close_within: raw.safety.release_within_s.map(time),
        cross_zone_cost: price("cross_zone"),
        handshake_cost: price("handshake"),
        keep_alive: raw.policy_limits.keepalive_s.map_or(Settings::default().keep_alive, time),
        key_cache_affinity: raw.family_info.warm_keys,
        endpoint_weights: match raw.weight_source.as_str() {
            "nominal" | "rough" => EndpointWeights::Size,
            "live" => EndpointWeights::Live,
            _ => EndpointWeights::Off,
        },
    }
}
