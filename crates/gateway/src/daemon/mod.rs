//! The process: start, wiring, reload, and the way out.

pub mod log;

use crate::config::operator::Operator;
use crate::config::platform::Config;
use crate::core::messages::{Handle, Message};
use crate::core::Gateway;
use crate::listeners::http::Server;
use crate::sockets::Budget;
use crate::upstream::{Closed, Pool};
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tracing::{error, info};

/// Connections that the kernel holds for us: a burst must find room there.
const BACKLOG: u32 = 4096;

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

/// Runs the gateway until it is told to stop.
///
/// # Errors
/// Where it can't start, or has ended without being told to.
pub async fn serve(operator: Operator) -> Result<(), Box<dyn Error>> {
    // Before anything else: by default either signal ends the process.
    let (mut terminate, hang_up) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    operator.log.begin();
    let config = Config::at_start()?;
    let budget = Budget::new(&config.limits);
    let (names, settings) = (Rc::new(config.names), config.settings.clone());
    let pool =
        Rc::new(Pool::new(budget.hosts.clone(), config.dial_timeout, config.keepalive, config.reports));
    let (mut gateway, handle) =
        Gateway::new(config.settings, config.seed, names.clone(), pool.clone(), config.discovery);
    if let Some(settings) = operator.storm {
        gateway.control_storms(settings);
    }
    let listener = listen(config.listen)?;
    gateway.learn(config.known);
    let reloading = reload(hang_up, handle.clone());
    let told = handle.clone();
    let closed = move |Closed { host, address, idle, left }| {
        told.tell(Message::Closed { host, address, idle, left });
    };
    let server = Rc::new(Server::new(handle, names, &settings, &budget));
    info!(address = %listener.local_addr()?, "listening");
    // These live and die with the process: a panic in one of them ends it, for it would be half alive.
    let running = async {
        tokio::join!(gateway.run(), pool.sweep(closed), server.feel_pulse(), server.sweep(), reloading)
    };
    tokio::pin!(running);
    tokio::select! {
        _ = running.as_mut() => return Err("the gateway has ended".into()),
        () = server.clone().accept(&listener) => {}
        _ = terminate.recv() => {}
    }
    info!("SIGTERM: stopping");
    let stopping = async {
        tokio::select! {
            () = server.clone().accept(&listener) => {}
            () = server.stop() => {}
        }
        server.accept_rest(listener)?;
        server.finish().await;
        Ok(())
    };
    tokio::select! {
        _ = running => Err("the gateway has ended".into()),
        stopped = stopping => stopped,
    }
}
