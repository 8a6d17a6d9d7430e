//! Assembles a gateway: reads the configuration, creates the gateway's parts and connects them.

use super::listeners::{listen_for_admin, listen_for_clients, listen_for_peers, ListenerOwnership};
use super::reload::{longest_deadline, ConfigReloader};
use super::running::{ClientService, Gateway};
use super::service_state::ServiceState;
use super::ServeError;
use crate::config::config_error::ConfigError;
use crate::config::operator_file::OperatorFile;
use crate::config::platform_file::PlatformConfig;
use crate::engine::message::EngineHandle;
use crate::engine::Engine;
use crate::fleet::{ConfigVersion, Fleet};
use crate::metrics::Metrics;
use crate::server::admin;
use crate::server::http::{RequestSettings, Server};
use crate::transport::descriptor_budget::{AdminApi, DescriptorBudget};
use crate::upstream::ConnectionPool;
use rustix::process::{getrlimit, Resource};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tracing::info;
use weldworks_balancer::Settings;
use weldworks_control::class_registry::ClassRegistry;
use weldworks_control::drain::DrainSettings;
use weldworks_fleet::settings::FleetSettings;

/// Reads the platform's file, lowers its descriptor limit to the system's, and reserves the descriptors that the fleet needs.
pub(super) fn load_config(operator: &OperatorFile) -> Result<PlatformConfig, ConfigError> {
    let mut config = PlatformConfig::at_start()?;
    if let Some(system_limit) = getrlimit(Resource::Nofile).current {
        config.limit_descriptors(usize::try_from(system_limit).unwrap_or(usize::MAX))?;
    }
    let fleet_descriptors = operator.fleet.as_ref().map_or(0, Fleet::descriptor_count);
    config.reserve_descriptors(fleet_descriptors)?;
    Ok(config)
}

/// Creates the parts of a gateway and binds its addresses. Once this has returned, the admin API answers calls.
pub(super) fn assemble(
    config: PlatformConfig,
    operator: OperatorFile,
    inherited: Option<std::net::TcpListener>,
) -> Result<Gateway, ServeError> {
    let ownership = if inherited.is_some() { ListenerOwnership::Shared } else { ListenerOwnership::Own };
    let config_version = operator.fleet.as_ref().map(|_| config_version(&config, &operator));
    let mut classes = ClassRegistry::default();
    classes.replace(Duration::ZERO, config.named_classes());
    let budget = descriptor_budget(&config);
    let settings = Settings { classes: classes.by_number(), ..config.settings };
    let request_settings = RequestSettings::new(&classes, config.names.tenants.clone(), &settings);
    let metrics = Rc::new(Metrics::default());
    metrics.register_classes(&config.classes);
    let pool = Rc::new(ConnectionPool::new(budget.upstream.clone(), config.connections, metrics.clone()));
    let drain_settings = DrainSettings {
        longest_deadline: longest_deadline(&settings),
        shared_listener: ownership == ListenerOwnership::Shared,
    };
    let (mut engine, handle) =
        Engine::new(settings, config.seed, config.names, pool.clone(), config.discovery);
    if let Some(storm_settings) = operator.storm {
        engine.enable_retry_storm_control(storm_settings);
    }
    let FleetParts { fleet, link_listener } =
        join_fleet(operator.fleet.zip(config_version), &mut engine, &handle, ownership)?;
    let service = Rc::new(ServiceState::new(drain_settings, handle.clone(), metrics.clone(), fleet.clone()));
    if let Some(address) = config.admin {
        start_admin_api(address, &budget, &service)?;
        engine.attach_metrics(metrics);
    }
    let listener = client_listener(inherited, config.listen)?;
    engine.apply_endpoint_list(config.known_endpoints);
    let server = Rc::new(Server::new(handle.clone(), request_settings, &budget, service.clone()));
    let reloader =
        ConfigReloader::new(config.document, classes, handle.clone(), server.clone(), service.clone());
    let clients = ClientService { handle, server, service, fleet, listener, ownership };
    Ok(Gateway { engine, pool, clients, link_listener, budget, reloader })
}

/// The configuration version of this process, which the gateways of a fleet compare.
fn config_version(config: &PlatformConfig, operator: &OperatorFile) -> ConfigVersion {
    ConfigVersion {
        config_digest: config.site_digest(),
        operator_digest: operator.digest(),
        discovery: config.discovery,
    }
}

fn descriptor_budget(config: &PlatformConfig) -> DescriptorBudget {
    let admin_api = if config.admin.is_some() { AdminApi::Enabled } else { AdminApi::Disabled };
    DescriptorBudget::new(&config.limits, admin_api)
}

/// This gateway's part in a fleet; both fields are `None` outside a fleet.
struct FleetParts {
    fleet: Option<Rc<Fleet>>,
    /// The listener for links from other gateways; also `None` while the predecessor still uses the address.
    link_listener: Option<TcpListener>,
}

/// Creates this gateway's part in the fleet, if the operator's file describes a fleet, and connects the engine to it.
fn join_fleet(
    settings: Option<(FleetSettings, ConfigVersion)>,
    engine: &mut Engine,
    handle: &EngineHandle,
    ownership: ListenerOwnership,
) -> Result<FleetParts, ServeError> {
    let Some((settings, version)) = settings else {
        return Ok(FleetParts { fleet: None, link_listener: None });
    };
    let fleet = Fleet::new(settings.clone(), &version, handle.clone())?;
    let link_listener = listen_for_peers(&settings, ownership)?;
    engine.join_fleet(fleet.clone());
    Ok(FleetParts { fleet: Some(fleet), link_listener })
}

/// Starts the admin API on the address configured for it.
fn start_admin_api(
    address: SocketAddr,
    budget: &DescriptorBudget,
    service: &Rc<ServiceState>,
) -> Result<(), ServeError> {
    let listener = listen_for_admin(address)?;
    info!(address = %listener.local_addr()?, "calls are answered");
    spawn_local(admin::serve_admin(listener, budget.admin.clone(), service.clone()));
    Ok(())
}

/// The clients' listener: the inherited listener, or else a new one.
fn client_listener(
    inherited: Option<std::net::TcpListener>,
    address: SocketAddr,
) -> Result<TcpListener, ServeError> {
    match inherited {
        Some(listener) => Ok(TcpListener::from_std(listener)?),
        None => Ok(listen_for_clients(address)?),
    }
}
