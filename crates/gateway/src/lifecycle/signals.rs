//! The signals that the process handles.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Streams of the signals that the process handles.
pub(super) struct Signals {
    /// SIGTERM, which shuts the process down.
    pub(super) terminate: Signal,
    /// SIGHUP, which reloads the platform's file.
    pub(super) hang_up: Signal,
}

impl Signals {
    /// Installs the signal handlers; from now on neither SIGTERM nor SIGHUP ends the process by its default action.
    pub(super) fn install() -> io::Result<Signals> {
        let terminate = signal(SignalKind::terminate())?;
        let hang_up = signal(SignalKind::hangup())?;
        Ok(Signals { terminate, hang_up })
    }
}
