//! The clients' listener as a file descriptor that the platform holds and hands to every process of a gateway.

use listenfd::ListenFd;
use socket2::SockRef;
use std::env;
use std::io;
use std::net::TcpListener;

/// Environment variable with the number of the descriptor.
const DESCRIPTOR_VARIABLE: &str = "ROUTER_INHERITED_FD";

/// Why the inherited descriptor cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The variable is not a number.
    #[error(
        "{DESCRIPTOR_VARIABLE}: {0:?} is no number of a descriptor; name the clients' listening socket, or unset it"
    )]
    NotANumber(String),
    /// The descriptor is not a listening TCP socket.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {fd} is no listening TCP socket ({reason}); hand the clients' listener on, or unset it")]
    NotAListener {
        /// The number of the descriptor.
        fd: u32,
        /// What the system says of it.
        reason: String,
    },
}

/// Takes the listener that the platform hands on, if it does. To be called before the process opens anything: a descriptor of its own
/// could have the number that the variable names by mistake.
///
/// # Errors
/// Where the variable does not name a listening TCP socket.
pub fn inherited_listener() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(text) = env::var_os(DESCRIPTOR_VARIABLE) else { return Ok(None) };
    let text = text.to_string_lossy().into_owned();
    let fd: u32 = text.parse().map_err(|_| InheritedListenerError::NotANumber(text))?;
    let not_a_listener = |reason: String| InheritedListenerError::NotAListener { fd, reason };
    let taken = take_listener(fd).map_err(|error| not_a_listener(error.to_string()))?;
    let listener = taken.ok_or_else(|| not_a_listener("it can't be taken".into()))?;
    match SockRef::from(&listener).is_listener() {
        Ok(true) => {}
        Ok(false) => return Err(not_a_listener("it does not listen".into())),
        Err(error) => return Err(not_a_listener(error.to_string())),
    }
    listener.set_nonblocking(true).map_err(|error| not_a_listener(error.to_string()))?;
    Ok(Some(listener))
}

/// Takes a descriptor as a listener by way of a library that reads the variables of systemd's socket activation; without them it takes
/// none.
fn take_listener(fd: u32) -> io::Result<Option<TcpListener>> {
    env::remove_var("LISTEN_PID");
    env::set_var("LISTEN_FDS", "1");
    env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    let listener = ListenFd::from_env().take_tcp_listener(0)?;
    env::remove_var("LISTEN_FDS_FIRST_FD");
    Ok(listener)
}
