//! The process: start, wiring, reload, and the way out.

pub mod hot_restart;
pub mod listener_inheritance;
pub mod log;
pub mod service;

use crate::config::operator_file::OperatorFile;
use crate::config::platform_file::Config;
use crate::engine::message::{EngineHandle, Message, Reconfiguration};
use crate::engine::Engine;
use crate::fleet::{Basis, Fleet};
use crate::metrics::Metrics;
use crate::server::admin;
use crate::server::http::{RequestSettings, Server};
use crate::transport::descriptor_budget::DescriptorBudget;
use crate::upstream::{ClosedIdleConnection, ConnectionPool};
use serde_json::Value;
use service::ServiceState;
use std::env;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{error, info, warn};
use weldworks_balancer::Settings;
use weldworks_control::class_registry::ClassRegistry;
use weldworks_control::drain;
use weldworks_control::hot_restart::StartupWait;

/// Connections that the kernel holds for us: a burst must find room there.
const BACKLOG: u32 = 4096;
/// Before it takes clients it looks this often whether it still waits for something.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// An address that can't be listened on.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot listen on {address}, which is `{key}` in the file that ROUTER_CONFIG names, or {variable}: {source}; end the process \
     that has it, or name an address of this machine that is free"
)]
struct ListenError {
    key: &'static str,
    variable: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// The link's address can't be listened on.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot listen on {address}, which is `listen` of [fleet] in the operator's file, or this gateway's [[fleet.peer]]: {source}; \
     end the process that has it, or name an address of this machine that is free"
)]
struct LinkError {
    address: SocketAddr,
    source: std::io::Error,
}

fn listen(
    key: &'static str,
    variable: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, ListenError> {
    let bound = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bound().map_err(|source| ListenError { key, variable, address, source })
}

/// What a new file is compared with and applied to.
struct Reload {
    running: Value,
    classes: ClassRegistry,
    gateway: EngineHandle,
    server: Rc<Server>,
    service: Rc<ServiceState>,
}

impl Reload {
    /// Reads the file of the configuration whenever SIGHUP comes, and turns to it, whole or not at all.
    async fn run(mut self, mut hang_up: Signal) {
        while hang_up.recv().await.is_some() {
            let config = Config::again(&self.running);
            self.service.figures.record_reload(config.is_ok());
            match config {
                Ok(config) => self.apply(config),
                Err(error) => {
                    error!(%error, "SIGHUP: the file does not hold and nothing of it is applied, going on as before; mend it \
                        and send SIGHUP again");
                }
            }
        }
    }

    fn apply(&mut self, config: Config) {
        let digest = config.site_digest();
        self.classes.replace(self.gateway.balancer_time(Instant::now()), config.named_classes());
        let settings = Settings { classes: self.classes.by_number(), ..config.settings };
        self.service.figures.register_classes(&config.classes);
        self.service.set_longest_deadline(longest(&settings));
        let terms = RequestSettings::new(&self.classes, config.names.tenants.clone(), &settings);
        info!(discovery = %config.discovery, classes = config.classes.join(","), attempts = settings.max_attempts, "SIGHUP: the \
            file is in force");
        // The owner of the decisions hears of them ahead of the first request that comes under them.
        let Config { names, discovery, connections, .. } = config;
        self.gateway.send(Message::Reconfigure(Box::new(Reconfiguration {
            settings,
            names,
            discovery,
            connections,
            digest,
        })));
        self.server.reconfigure(terms);
        self.running = config.document;
    }
}

/// The longest time that a client waits for an answer.
fn longest(settings: &Settings) -> Duration {
    settings
        .classes
        .iter()
        .filter(|class| !class.retired)
        .map(|class| class.deadline)
        .max()
        .unwrap_or_default()
}

/// Waits until no more connections are to be accepted.
async fn until_closed(service: &ServiceState) {
    loop {
        match service.accept_deadline() {
            Some(until) if until <= Instant::now() => return,
            Some(until) => sleep_until(until).await,
            None => service.changed.notified().await,
        }
    }
}

/// Runs the gateway until it is told to stop.
///
/// # Errors
/// Where it can't start, or has ended without being told to.
pub async fn serve(
    operator: OperatorFile,
    handed: Option<std::net::TcpListener>,
    fleet_left_off: bool,
) -> Result<(), Box<dyn Error>> {
    // Before anything else: by default either signal ends the process.
    let (mut terminate, hang_up) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    operator.log.install();
    if fleet_left_off {
        info!("[fleet] is in the operator's file and stays off: it takes effect with `run --fleet`");
    }
    let mut config = Config::at_start()?;
    if let Some(system) = rustix::process::getrlimit(rustix::process::Resource::Nofile).current {
        config.hold_to(usize::try_from(system).unwrap_or(usize::MAX))?;
    }
    let spoken = operator.fleet.as_ref().map_or(0, Fleet::descriptors);
    config.leave(spoken)?;
    let basis = operator.fleet.as_ref().map(|_| Basis {
        config: config.site_digest(),
        operator: operator.digest(),
        discovery: config.discovery,
    });
    let mut classes = ClassRegistry::default();
    classes.replace(Duration::ZERO, config.named_classes());
    let budget = DescriptorBudget::new(&config.limits, config.management.is_some());
    let settings = Settings { classes: classes.by_number(), ..config.settings };
    let terms = RequestSettings::new(&classes, config.names.tenants.clone(), &settings);
    let figures = Rc::new(Metrics::default());
    figures.register_classes(&config.classes);
    let pool = Rc::new(ConnectionPool::new(budget.upstream.clone(), config.connections, figures.clone()));
    let (mut gateway, handle) =
        Engine::new(settings.clone(), config.seed, config.names, pool.clone(), config.discovery);
    if let Some(settings) = operator.storm {
        gateway.enable_retry_storm_control(settings);
    }
    let shared = handed.is_some();
    let fleet = match operator.fleet.clone().zip(basis) {
        Some((settings, basis)) => Some(Fleet::new(settings, &basis, handle.clone())?),
        None => None,
    };
    let mut link = None;
    if let (Some(fleet), Some(settings)) = (&fleet, &operator.fleet) {
        link = Fleet::listen(settings, shared)
            .map_err(|source| LinkError { address: settings.listen, source })?;
        gateway.join_fleet(fleet.clone());
    }
    let leaving = drain::DrainSettings { longest_deadline: longest(&settings), shared_listener: shared };
    let service = Rc::new(ServiceState::new(leaving, handle.clone(), figures.clone(), fleet.clone()));
    if let Some(address) = config.management {
        let listener = listen("management", "ROUTER_MANAGEMENT", address)?;
        info!(address = %listener.local_addr()?, "calls are answered");
        gateway.attach_metrics(figures);
        spawn_local(admin::serve_admin(listener, budget.admin.clone(), service.clone()));
    }
    let listener = match handed {
        Some(listener) => TcpListener::from_std(listener)?,
        None => listen("listen", "ROUTER_LISTEN", config.listen)?,
    };
    gateway.apply_endpoint_list(config.known);
    let told = handle.clone();
    let closed = move |ClosedIdleConnection { endpoint: host, address, idle_for: idle, remaining: left }| {
        told.send(Message::IdleConnectionClosed { endpoint: host, address, idle, remaining: left });
    };
    let server = Rc::new(Server::new(handle.clone(), terms, &budget, service.clone()));
    let (running, gateway_told) = (config.document, handle.clone());
    let reload =
        Reload { running, classes, gateway: gateway_told, server: server.clone(), service: service.clone() };
    let reloading = reload.run(hang_up);
    info!(address = %listener.local_addr()?, "listening");
    // These live and die with the process: a panic in one of them ends it, for it would be half alive.
    let folder = shared.then(|| env::var_os("TMPDIR")).flatten().map(PathBuf::from);
    let mut known_before = folder.as_deref().and_then(hot_restart::read_snapshot);
    let handing = async {
        if let Some(folder) = &folder {
            hot_restart::run(folder, &handle, &budget, &service).await;
        }
    };
    let belonging = async {
        if let Some(fleet) = &fleet {
            fleet.clone().run(link).await;
        }
    };
    let running = async {
        tokio::join!(
            belonging,
            gateway.run(),
            pool.close_expired(closed),
            server.measure_accept_delay(),
            server.close_expired(),
            reloading,
            handing
        )
    };
    tokio::pin!(running);
    let serving = async {
        while service.waiting_for() == Some(StartupWait::Discovery) {
            sleep(LOOK_AGAIN).await;
        }
        if shared && !handle.discovery_answered() {
            warn!(
                "discovery has said nothing yet; clients are taken on the list of the file. The address is `discovery` in the \
                 file that ROUTER_CONFIG names, or ROUTER_DISCOVERY"
            );
        }
        // After the list: what is remembered is of hosts that it names.
        if let Some(memory) = known_before.take() {
            handle.send(Message::RestoreSnapshot(memory));
        }
        while service.waiting_for().is_some() {
            sleep(LOOK_AGAIN).await;
        }
        if let Some(why) = service.not_ready_reason() {
            warn!(why, "clients are taken and refused until this changes; the list is discovery's");
        }
        server.clone().accept(&listener).await;
    };
    tokio::select! {
        _ = running.as_mut() => return Err("the gateway has ended".into()),
        () = serving => {}
        _ = terminate.recv() => {}
    }
    info!("SIGTERM: stopping");
    service.begin_shutdown();
    let stopping = async {
        tokio::select! {
            biased; // one that may take nobody any more takes nobody
            () = until_closed(&service) => {}
            () = server.clone().accept(&listener) => {}
        }
        if shared {
            drop(listener); // what waits in it is the other process's to take
        } else {
            let by = handle.shutdown_deadline().unwrap_or_else(Instant::now);
            server.drain_backlog(listener, by).await;
        }
        server.finish_connections().await;
        if let Some(fleet) = &fleet {
            fleet.leave().await;
        }
        Ok(())
    };
    tokio::select! {
        _ = running => Err("the gateway has ended".into()),
        stopped = stopping => stopped,
    }
}
