//! The signals that the process handles.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The streams of handled signals.
pub(super) struct Signals {
    /// SIGTERM: shut down.
    pub(super) terminate: Signal,
    /// SIGHUP: reload the platform's file.
    pub(super) hang_up: Signal,
}

impl Signals {
    /// Installs the handlers; from now on neither signal ends the process by itself.
    pub(super) fn install() -> io::Result<Signals> {
        let terminate = signal(SignalKind::terminate())?;
        let hang_up = signal(SignalKind::hangup())?;
        Ok(Signals { terminate, hang_up })
    }
}
