//! Connects the engine to retry-storm control, if that control is switched on.

use super::message::FinalAnswer;
use super::Engine;
use tokio::time::Instant;
use tracing::info;
use weldworks_control::retry_storm::{
    ArrivingRequest, PlatformSettings, RequestResult, RetryStormControl, StormSettings,
};

/// Lower bound of the mean priority weight, which prevents a division by zero where all classes have weight 0.
const MIN_MEAN_PRIORITY_WEIGHT: f64 = 1e-9;

/// Identity by which a client's retry is recognized: affinity key (the cookie `k`), class and tenant; `None` without an affinity key.
pub(super) fn retry_identity(request: &weldworks_balancer::Request) -> Option<u64> {
    let class_and_tenant = (request.class as u64) << 32 | request.tenant as u64;
    request.key.map(|key| weldworks_balancer::mix(key) ^ weldworks_balancer::mix(class_and_tenant))
}

impl Engine {
    /// Switches retry-storm control on, or restarts it with other settings.
    pub fn enable_retry_storm_control(&mut self, storm_settings: StormSettings) {
        let settings = &self.settings;
        let terms = PlatformSettings {
            slow_start_min_capacity: settings.slow_start_min_capacity,
            slow_start_duration: settings.slow_start_duration,
            max_retry_after: settings.max_retry_after,
            tenant_quotas: &settings.tenant_quotas,
            gateway_count: settings.gateway_count,
        };
        let control = RetryStormControl::new(storm_settings, terms, self.seed);
        self.retry_storm = Some(control);
        self.retry_storm_settings = Some(storm_settings);
        self.handle.report_connections();
    }

    /// Records an accepted client connection for retry-storm control, if the control is on.
    pub(super) fn record_connection(&mut self) {
        if let Some(storm) = &mut self.retry_storm {
            storm.record_connection(self.handle.balancer_time(Instant::now()));
        }
    }

    /// Factor that retry-storm control sets on the admission capacity for a request; 1 while retry-storm control is off.
    pub(super) fn admission_share(&mut self, request: &weldworks_balancer::Request) -> f64 {
        let Some(storm) = &mut self.retry_storm else { return 1.0 };
        let classes = &self.settings.classes;
        let total_weight = classes.iter().map(|class| class.priority_weight).sum::<f64>();
        let mean_weight = total_weight / classes.len().max(1) as f64;
        let relative_weight = classes
            .get(request.class)
            .map_or(1.0, |class| class.priority_weight / mean_weight.max(MIN_MEAN_PRIORITY_WEIGHT));
        let arriving = ArrivingRequest {
            is_client_retry: request.is_client_retry,
            identity: retry_identity(request),
            relative_weight,
            tenant: request.tenant,
        };
        let admission = storm.admit(self.handle.balancer_time(Instant::now()), arriving);
        self.log_storm_change();
        admission.admission_share
    }

    /// Records a request's final answer; a rejection gets the `Retry-After` that retry-storm control schedules.
    pub(super) fn record_final_answer(
        &mut self,
        retry_identity: Option<u64>,
        answer: FinalAnswer,
    ) -> FinalAnswer {
        let Some(storm) = &mut self.retry_storm else { return answer };
        let now = self.handle.balancer_time(Instant::now());
        let answer = match answer {
            FinalAnswer::Served(_) => {
                storm.record_result(now, RequestResult::Served);
                answer
            }
            FinalAnswer::Failed(_) => {
                storm.record_result(now, RequestResult::Failed);
                answer
            }
            FinalAnswer::Rejected { retry_after } => {
                storm.record_result(now, RequestResult::Rejected);
                FinalAnswer::Rejected { retry_after: storm.retry_after(now, retry_identity, retry_after) }
            }
        };
        self.log_storm_change();
        answer
    }

    fn log_storm_change(&mut self) {
        if let Some(change) = self.retry_storm.as_mut().and_then(RetryStormControl::take_change) {
            info!(change = %change, "retry storm state changed");
        }
    }
}
