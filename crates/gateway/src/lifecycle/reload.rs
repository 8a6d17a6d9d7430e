//! Reload of the platform's file on SIGHUP, complete or not at all.

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

/// What a changed file is compared with and applied to.
pub(super) struct ConfigReloader {
    /// The file in force.
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

    /// Reloads the file on each SIGHUP, until it is dropped.
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
        // Sent before the server applies its part: the engine must have the settings ahead of the first request under them.
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

/// The longest time that a client waits for a response.
pub(super) fn longest_deadline(settings: &Settings) -> Duration {
    settings
        .classes
        .iter()
        .filter(|class| !class.retired)
        .map(|class| class.deadline)
        .max()
        .unwrap_or_default()
}
