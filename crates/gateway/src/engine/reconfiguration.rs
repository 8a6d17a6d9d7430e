//! Applies a new platform file or a shutdown to the engine.

use super::message::Reconfiguration;
use super::timers::Timer;
use super::Engine;
use crate::body::RequestPayload;
use crate::string_interner::StringInterner;
use weldworks_balancer::Settings;
use weldworks_control::body_streaming::TransferState;

/// Whether the two settings differ in a value from which retry-storm control is built.
fn retry_storm_inputs_differ(before: &Settings, after: &Settings) -> bool {
    before.tenant_quotas != after.tenant_quotas
        || before.max_retry_after != after.max_retry_after
        || before.slow_start_min_capacity != after.slow_start_min_capacity
        || before.slow_start_duration != after.slow_start_duration
        || before.gateway_count != after.gateway_count
}

impl Engine {
    /// Applies new settings. Requests that arrived before keep the settings under which they arrived.
    pub(super) fn reconfigure(&mut self, reconfiguration: Reconfiguration) {
        let Reconfiguration { mut settings, names, discovery, connections, digest } = reconfiguration;
        if let Some(fleet) = &self.fleet {
            fleet.record_applied_config(digest, discovery);
        }
        self.pool.reconfigure(connections);
        self.replace_names(names, &mut settings);
        let previous = std::mem::replace(&mut self.settings, settings.clone());
        let inputs_differ = retry_storm_inputs_differ(&previous, &settings);
        if let Some(storm_settings) = self.retry_storm_settings.filter(|_| inputs_differ) {
            // Retry-storm control starts anew: what it has observed was under other settings, such as other quotas.
            self.enable_retry_storm_control(storm_settings);
        }
        self.balancer.apply_settings(settings);
        self.schedule_discovery_switch(discovery);
    }

    /// Replaces the interned names. Zones and machine kinds keep their numbers, which endpoints refer to.
    /// The gateway's own zone in `settings` gets the number that the zone's name has in the engine.
    fn replace_names(&mut self, names: StringInterner, settings: &mut Settings) {
        let own_zone = names.zones.get(settings.zone as usize).cloned();
        self.names.replace_keeping_numbers(names);
        let own_zone = own_zone.and_then(|own| self.names.zones.iter().position(|zone| *zone == own));
        if let Some(zone) = own_zone {
            settings.zone = zone as u32;
        }
    }

    /// Shortens the deadlines of open requests to the shutdown deadline.
    ///
    /// The shutdown deadline comes from the longest deadline in the platform file in force.
    /// A request that arrived under an older platform file may have a longer deadline.
    pub(super) fn apply_shutdown_deadline(&mut self) {
        let Some(shutdown_deadline) = self.handle.shutdown_deadline() else { return };
        for (id, entry) in self.requests.iter_mut() {
            if entry.answer_deadline <= shutdown_deadline {
                continue;
            }
            // The deadline of an upload that is still arriving is enforced by `check_upload`.
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
