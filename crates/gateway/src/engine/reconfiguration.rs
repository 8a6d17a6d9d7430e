//! What changes in the engine with a new platform file or a shutdown.

use super::message::Reconfiguration;
use super::timers::Timer;
use super::Engine;
use crate::body::RequestPayload;
use crate::string_interner::StringInterner;
use weldworks_balancer::Settings;
use weldworks_control::body_streaming::TransferState;

/// Whether the settings differ in what retry-storm control is built from.
fn retry_storm_terms_differ(before: &Settings, after: &Settings) -> bool {
    before.tenant_quotas != after.tenant_quotas
        || before.max_retry_after != after.max_retry_after
        || before.slow_start_min_capacity != after.slow_start_min_capacity
        || before.slow_start_duration != after.slow_start_duration
        || before.gateway_count != after.gateway_count
}

impl Engine {
    /// Applies new settings. Requests that arrived before keep theirs.
    pub(super) fn reconfigure(&mut self, reconfiguration: Reconfiguration) {
        let Reconfiguration { mut settings, names, discovery, connections, digest } = reconfiguration;
        if let Some(fleet) = &self.fleet {
            fleet.record_applied_config(digest, discovery);
        }
        self.pool.reconfigure(connections);
        self.replace_names(names, &mut settings);
        let previous = std::mem::replace(&mut self.settings, settings.clone());
        let differ = retry_storm_terms_differ(&previous, &settings);
        if let Some(storm_settings) = self.retry_storm_settings.filter(|_| differ) {
            // What the control has observed was under other quotas.
            self.enable_retry_storm_control(storm_settings);
        }
        self.balancer.apply_settings(settings);
        self.switch_discovery(discovery);
    }

    /// Replaces the names. Zones and machine kinds keep their numbers, by which endpoints are known; the gateway's own zone follows
    /// to the number that its name has there.
    fn replace_names(&mut self, names: StringInterner, settings: &mut Settings) {
        let own_zone = names.zones.get(settings.zone as usize).cloned();
        self.names.replace_keeping_numbers(names);
        let own_zone = own_zone.and_then(|own| self.names.zones.iter().position(|zone| *zone == own));
        if let Some(zone) = own_zone {
            settings.zone = zone as u32;
        }
    }

    /// Shortens the deadlines of open requests to the shutdown deadline. That comes from the longest deadline of the file in
    /// force, and a request that arrived under an older file may have a longer one.
    pub(super) fn apply_shutdown_deadline(&mut self) {
        let Some(shutdown_deadline) = self.handle.shutdown_deadline() else { return };
        for (id, entry) in self.requests.iter_mut() {
            if entry.answer_deadline <= shutdown_deadline {
                continue;
            }
            // A body that is still arriving gets its deadline with its last byte.
            if let RequestPayload::Streaming(upload) = &entry.forward.body {
                if upload.state() != TransferState::Complete {
                    continue;
                }
            }
            entry.answer_deadline = shutdown_deadline;
            entry.attempts.iter().for_each(|attempt| attempt.deadline.shorten_to(shutdown_deadline));
            self.timers.push(shutdown_deadline, Timer::RequestDeadline(*id));
        }
    }
}
