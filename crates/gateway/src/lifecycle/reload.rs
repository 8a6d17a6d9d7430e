//! Reloads the platform's file on SIGHUP; a reload is applied completely or rejected as a whole.

use super::service_state::ServiceState;
use crate::config::platform_file::PlatformConfig;
use crate::engine::message::{EngineHandle, Message, Reconfiguration};
use crate::metrics::ReloadOutcome;
use crate::server::http::{RequestSettings, Server};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::Instant;
use tracing::{error, info};
use weldworks_balancer::Settings;
use weldworks_control::class_registry::ClassRegistry;

/// Reloads the platform's file: holds the configuration in force and the parts that a changed configuration is applied to.
pub(super) struct ConfigReloader {
    /// The content of the platform's file that is in force.
    document: Value,
    classes: ClassRegistry,
    engine: EngineHandle,
    server: Rc<Server>,
    service: Rc<ServiceState>,
}

impl ConfigReloader {
    pub(super) fn new(
        document: Value,
        classes: ClassRegistry,
        engine: EngineHandle,
        server: Rc<Server>,
        service: Rc<ServiceState>,
    ) -> ConfigReloader {
        ConfigReloader { document, classes, engine, server, service }
    }

    /// Reloads the platform's file on each SIGHUP, until this future is dropped.
    pub(super) async fn run(mut self, mut hang_up: Signal) {
        while hang_up.recv().await.is_some() {
            let config = PlatformConfig::reload(&self.document);
            let outcome = if config.is_ok() { ReloadOutcome::Applied } else { ReloadOutcome::Rejected };
            self.service.metrics.record_reload(outcome);
            match config {
                Ok(config) => self.apply(config),
                Err(error) => {
                    error!(%error, "configuration reload rejected, keeping the configuration in force");
                }
            }
        }
    }

    fn apply(&mut self, config: PlatformConfig) {
        let digest = config.site_digest();
        self.classes.replace(self.engine.balancer_time(Instant::now()), config.named_classes());
        let settings = Settings { classes: self.classes.by_number(), ..config.settings };
        self.service.metrics.register_classes(&config.classes);
        self.service.set_longest_deadline(longest_deadline(&settings));
        let request_settings = RequestSettings::new(&self.classes, config.names.tenants.clone(), &settings);
        info!(
            discovery = %config.discovery,
            classes = config.classes.join(","),
            attempts = settings.max_attempts,
            "configuration reloaded"
        );
        // The engine gets the settings before the server does, since it must have them before the first request under these settings.
        self.engine.send(Message::Reconfigure(Box::new(Reconfiguration {
            settings,
            names: config.names,
            discovery: config.discovery,
            connections: config.connections,
            digest,
        })));
        self.server.reconfigure(request_settings);
        self.document = config.document;
    }
}

/// The longest time for which any client waits for a response: the longest deadline of a class that is not retired.
pub(super) fn longest_deadline(settings: &Settings) -> Duration {
    settings
        .classes
        .iter()
        .filter(|class| !class.retired)
        .map(|class| class.deadline)
        .max()
        .unwrap_or_default()
}
