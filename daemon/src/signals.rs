//! Signals that the daemon handles: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.

use {
    anyhow::Result,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Handlers of the signals.
///
/// They must be installed before anything else, because a signal during startup would terminate the process otherwise.
/// Such a signal takes effect once the daemon runs.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects a handler.
    pub fn install() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. Calls `reload` for each SIGHUP.
    pub async fn wait_for_stop(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => reload(),
            }
        }
    }
}
