//! The sockets that the process listens on.

use crate::fleet::Fleet;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use weldworks_fleet::settings::FleetSettings;

/// Maximum length of the kernel's accept queue, in connections: long enough to hold a burst of new connections.
const ACCEPT_BACKLOG: u32 = 4096;

/// Whether this process or the platform owns the clients' listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerOwnership {
    /// This process owns the listener and has bound it.
    Own,
    /// The platform owns the listener and passes it to every process of this gateway, of which two may run at once.
    Shared,
}

/// The gateway cannot listen on the configured address for clients or for administrators.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot listen on {address}, which is set by `{key}` in the file that ROUTER_CONFIG names or by {variable}: {source}; stop the \
     process that uses the address, or set a free address of this machine"
)]
pub struct ListenError {
    key: &'static str,
    variable: &'static str,
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// The gateway cannot listen on the configured address for links from other gateways.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot listen on {address}, which is set by `listen` of [fleet] in the operator's file or by this gateway's [[fleet.peer]]: \
     {source}; stop the process that uses the address, or set a free address of this machine"
)]
pub struct LinkListenError {
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// Binds the listener for clients.
pub(super) fn listen_for_clients(address: SocketAddr) -> Result<TcpListener, ListenError> {
    listen("listen", "ROUTER_LISTEN", address)
}

/// Binds the listener for the admin API.
pub(super) fn listen_for_admin(address: SocketAddr) -> Result<TcpListener, ListenError> {
    listen("management", "ROUTER_MANAGEMENT", address)
}

/// Binds the listener for links from other gateways. `None` while the process that is being replaced still uses the address.
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
