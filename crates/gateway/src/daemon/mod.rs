//! The process: start, wiring, reload, and the way out.

pub mod inherited;
pub mod log;
pub mod service;

use crate::config::operator::Operator;
use crate::config::platform::Config;
use crate::core::messages::{Handle, Message};
use crate::core::Gateway;
use crate::figures::Figures;
use crate::listeners::http::Server;
use crate::listeners::management;
use crate::sockets::Budget;
use crate::upstream::{Closed, Pool};
use ottervane::Settings;
use ottervane_control::drain::Terms;
use service::Service;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};
use tracing::{error, info};

/// Connections that the kernel holds for us: a burst must find room there.
const BACKLOG: u32 = 4096;
/// A process that takes over from another waits so long for news of the hosts; its yes is due within 6 s.
const FIRST_NEWS: Duration = Duration::from_millis(2500);

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Turns to the discovery that the file of the configuration names whenever SIGHUP comes. All else in that file holds
/// from a start on.
async fn reload(mut hang_up: Signal, gateway: Handle) {
    while hang_up.recv().await.is_some() {
        match Config::again() {
            Ok(config) => {
                info!(discovery = %config.discovery, "SIGHUP: the file is read again");
                gateway.tell(Message::Discovery(config.discovery));
            }
            Err(error) => error!(%error, "SIGHUP: the file does not hold, going on as before"),
        }
    }
}

/// The longest time that a client waits for an answer.
fn longest(settings: &Settings) -> Duration {
    settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
}

/// Waits until no more connections are to be accepted.
async fn until_closed(service: &Service) {
    loop {
        match service.accepts_until() {
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
pub async fn serve(operator: Operator, handed: Option<std::net::TcpListener>) -> Result<(), Box<dyn Error>> {
    // Before anything else: by default either signal ends the process.
    let (mut terminate, hang_up) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    operator.log.begin();
    let config = Config::at_start()?;
    let budget = Budget::new(&config.limits, config.management.is_some());
    let (names, settings) = (Rc::new(config.names), config.settings.clone());
    let figures = Rc::new(Figures::default());
    figures.know(&names.classes);
    let pool = Rc::new(Pool::new(
        budget.hosts.clone(),
        config.dial_timeout,
        config.keepalive,
        config.reports,
        figures.clone(),
    ));
    let (mut gateway, handle) =
        Gateway::new(config.settings, config.seed, names.clone(), pool.clone(), config.discovery);
    if let Some(settings) = operator.storm {
        gateway.control_storms(settings);
    }
    let shared = handed.is_some();
    let terms = Terms { longest: longest(&settings), shared };
    let service = Rc::new(Service::new(terms, handle.hosts_up(), figures.clone()));
    if let Some(address) = config.management {
        let listener = listen(address)?;
        info!(address = %listener.local_addr()?, "calls are answered");
        gateway.keep_figures(figures);
        spawn_local(management::answer(listener, budget.management.clone(), service.clone()));
    }
    let listener = match handed {
        Some(listener) => TcpListener::from_std(listener)?,
        None => listen(config.listen)?,
    };
    gateway.learn(config.known);
    let reloading = reload(hang_up, handle.clone());
    let told = handle.clone();
    let closed = move |Closed { host, address, idle, left }| {
        told.tell(Message::Closed { host, address, idle, left });
    };
    let server = Rc::new(Server::new(handle.clone(), names, &settings, &budget, service.clone()));
    info!(address = %listener.local_addr()?, "listening");
    // These live and die with the process: a panic in one of them ends it, for it would be half alive.
    let running = async {
        tokio::join!(gateway.run(), pool.sweep(closed), server.feel_pulse(), server.sweep(), reloading)
    };
    tokio::pin!(running);
    let serving = async {
        if shared {
            // Another process may serve meanwhile. What it was told of drains binds this one too, so nobody is taken
            // in on a list that may be old, unless there is no other to be had.
            let _ = timeout(FIRST_NEWS, handle.news()).await;
        }
        service.begin();
        server.clone().accept(&listener).await;
    };
    tokio::select! {
        _ = running.as_mut() => return Err("the gateway has ended".into()),
        () = serving => {}
        _ = terminate.recv() => {}
    }
    info!("SIGTERM: stopping");
    service.stop();
    let stopping = async {
        tokio::select! {
            () = server.clone().accept(&listener) => {}
            () = until_closed(&service) => {}
        }
        if shared {
            drop(listener); // what waits in it is the other process's to take
        } else {
            server.accept_rest(listener)?;
        }
        server.finish().await;
        Ok(())
    };
    tokio::select! {
        _ = running => Err("the gateway has ended".into()),
        stopped = stopping => stopped,
    }
}
