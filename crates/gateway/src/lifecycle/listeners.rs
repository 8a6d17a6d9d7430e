//! The sockets that the process listens on.

use crate::fleet::Fleet;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use weldworks_fleet::settings::FleetSettings;

/// Length of the kernel's accept queue, in connections: room for a burst.
const ACCEPT_BACKLOG: u32 = 4096;

/// Who holds the clients' listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerOwnership {
    /// This process, which has bound it.
    Own,
    /// The platform, which hands it to every process of this gateway: two may run at once.
    Shared,
}

/// An address that cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot listen on {address}, which is `{key}` in the file that ROUTER_CONFIG names, or {variable}: {source}; end the process \
     that has it, or name an address of this machine that is free"
)]
pub struct ListenError {
    key: &'static str,
    variable: &'static str,
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// The address of the link between gateways cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot listen on {address}, which is `listen` of [fleet] in the operator's file, or this gateway's [[fleet.peer]]: {source}; \
     end the process that has it, or name an address of this machine that is free"
)]
pub struct LinkListenError {
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// Listens for clients.
pub(super) fn listen_for_clients(address: SocketAddr) -> Result<TcpListener, ListenError> {
    listen("listen", "ROUTER_LISTEN", address)
}

/// Listens for administrators.
pub(super) fn listen_for_admin(address: SocketAddr) -> Result<TcpListener, ListenError> {
    listen("management", "ROUTER_MANAGEMENT", address)
}

/// Listens for other gateways. None while the process to be replaced still has the address.
pub(super) fn listen_for_peers(
    settings: &FleetSettings,
    ownership: ListenerOwnership,
) -> Result<Option<TcpListener>, LinkListenError> {
    let address = settings.listen;
    match Fleet::bind_link(settings) {
        Ok(listener) => Ok(Some(listener)),
        Err(error) if ownership == ListenerOwnership::Shared && error.kind() == io::ErrorKind::AddrInUse => {
            Ok(None)
        }
        Err(source) => Err(LinkListenError { address, source }),
    }
}

fn listen(
    key: &'static str,
    variable: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, ListenError> {
    bind(address).map_err(|source| ListenError { key, variable, address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
