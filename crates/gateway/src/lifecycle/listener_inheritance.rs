//! Inherits the clients' listener as a file descriptor that the platform holds open and passes to every process of a gateway.

use listenfd::ListenFd;
use socket2::SockRef;
use std::env;
use std::io;
use std::net::TcpListener;

/// Environment variable with the number of the inherited descriptor.
const DESCRIPTOR_VARIABLE: &str = "ROUTER_INHERITED_FD";

/// Why the inherited descriptor cannot be used as the clients' listener.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The value of the environment variable is not a descriptor number.
    #[error(
        "{DESCRIPTOR_VARIABLE}: {0:?} is not a descriptor number; set the number of the clients' listening socket, or unset the variable"
    )]
    NotANumber(String),
    /// The descriptor is not a listening TCP socket.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {fd} is not a listening TCP socket ({reason}); pass on the clients' listener, or unset the variable")]
    NotAListener {
        /// The number of the descriptor.
        fd: u32,
        /// Why the descriptor is unusable, in most cases the system's error.
        reason: String,
    },
}

/// Takes over the listener that the platform passes to the process, if there is one. To be called before the process opens any
/// descriptor: otherwise a wrong number in the environment variable could be that of a descriptor which the process itself opened.
///
/// # Errors
/// If the environment variable does not name a listening TCP socket.
pub fn inherited_listener() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(text) = env::var_os(DESCRIPTOR_VARIABLE) else { return Ok(None) };
    let text = text.to_string_lossy().into_owned();
    let fd: u32 = text.parse().map_err(|_| InheritedListenerError::NotANumber(text))?;
    let not_a_listener = |reason: String| InheritedListenerError::NotAListener { fd, reason };
    let listener = take_listener(fd).map_err(|error| not_a_listener(error.to_string()))?;
    let listener = listener.ok_or_else(|| not_a_listener("it can't be taken over".into()))?;
    match SockRef::from(&listener).is_listener() {
        Ok(true) => {}
        Ok(false) => return Err(not_a_listener("it does not listen".into())),
        Err(error) => return Err(not_a_listener(error.to_string())),
    }
    listener.set_nonblocking(true).map_err(|error| not_a_listener(error.to_string()))?;
    Ok(Some(listener))
}

/// Takes over a descriptor as a listener by means of a library that reads the environment variables of systemd's socket activation.
/// The variables are set here, since the library takes over no descriptor without them.
fn take_listener(fd: u32) -> io::Result<Option<TcpListener>> {
    env::remove_var("LISTEN_PID");
    env::set_var("LISTEN_FDS", "1");
    env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    let listener = ListenFd::from_env().take_tcp_listener(0)?;
    env::remove_var("LISTEN_FDS_FIRST_FD");
    Ok(listener)
}
