//! Signals that the daemon handles: SIGTERM and SIGINT stop it, SIGHUP reloads.

use {
    anyhow::Result,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Handlers of the signals. They are installed before anything else is done, since a signal that
/// comes while the daemon starts would end the process otherwise; it takes effect once the daemon
/// runs.
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
    /// Returns an error when the system refuses one.
    pub fn install() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT; SIGHUP calls `reload` and never ends the process.
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
