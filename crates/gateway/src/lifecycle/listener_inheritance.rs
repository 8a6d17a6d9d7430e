//! The clients' listener, where the platform holds it and hands it to every process that serves.

use listenfd::ListenFd;
use socket2::SockRef;
use std::env;
use std::net::TcpListener;

/// The variable that names the descriptor.
const VARIABLE: &str = "ROUTER_INHERITED_FD";

/// Why the descriptor can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// It is no number.
    #[error(
        "{VARIABLE}: {0:?} is no number of a descriptor; name the clients' listening socket, or unset it"
    )]
    NoNumber(String),
    /// It is another thing, or nothing.
    #[error("{VARIABLE}: descriptor {fd} is no listening TCP socket ({why}); hand the clients' listener on, or unset it")]
    NoListener {
        /// Its number.
        fd: u32,
        /// What the system says of it.
        why: String,
    },
}

/// The listener that was handed on, if one was. For the first moments of the process: whatever it opens itself could
/// be what the variable names by mistake.
///
/// # Errors
/// Where something is named that is no listener.
pub fn listener() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(text) = env::var_os(VARIABLE) else { return Ok(None) };
    let text = text.to_string_lossy().into_owned();
    let fd: u32 = text.parse().map_err(|_| InheritedListenerError::NoNumber(text))?;
    // The library reads the words of another protocol; it takes no descriptor without them.
    env::remove_var("LISTEN_PID");
    env::set_var("LISTEN_FDS", "1");
    env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    let no_listener = |why: String| InheritedListenerError::NoListener { fd, why };
    let taken = ListenFd::from_env().take_tcp_listener(0).map_err(|error| no_listener(error.to_string()))?;
    env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = taken.ok_or_else(|| no_listener("it can't be taken".into()))?;
    match SockRef::from(&listener).is_listener() {
        Ok(true) => {}
        Ok(false) => return Err(no_listener("it does not listen".into())),
        Err(error) => return Err(no_listener(error.to_string())),
    }
    listener.set_nonblocking(true).map_err(|error| no_listener(error.to_string()))?;
    Ok(Some(listener))
}
