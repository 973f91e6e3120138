//! Runs the forwarding daemon on the users' platform, from the settings file that it writes.

use {
    crate::signals::Signals,
    anyhow::Result,
    hazelyoke_lib::gateway::{dialect::Dialect, serving::server::Server, state::Gateway},
    hazelyoke_platform::{PlatformDialect, PlatformSettings, SettingsError, Store, read_settings},
    std::{net::SocketAddr, path::Path},
    tokio::{runtime::Builder, task::LocalSet},
};

/// Serves until a signal stops the daemon; `metrics_port` is a port of this host for metrics, beside
/// the settings' own address.
///
/// # Errors
///
/// Returns an error when the settings can't be used or an address can't be had.
pub fn run(path: &Path, metrics_port: Option<u16>) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut signals = Signals::install()?;
        let file = SettingsFile { path, metrics_port };
        let settings = file.read()?;
        let address = settings.store;
        let server: Server<PlatformDialect> =
            Server::start(settings.gateway, Store::new(address)).await?;
        signals
            .wait_for_stop(|| file.reload(server.gateway(), address))
            .await;
        server.stop().await;
        Ok(())
    })
}

/// The settings file, and what the command line adds to it.
struct SettingsFile<'a> {
    path: &'a Path,
    /// Port of this host for metrics, beside the settings' own address.
    metrics_port: Option<u16>,
}

impl SettingsFile<'_> {
    fn read(&self) -> Result<PlatformSettings, SettingsError> {
        let mut settings = read_settings(self.path)?;
        let host = settings.gateway.peer.ip();
        settings.gateway.metrics = self.metrics_port.map(|port| SocketAddr::new(host, port));
        Ok(settings)
    }

    /// Reads the file again, puts what can change in force, and logs what did. A damaged file
    /// changes nothing.
    fn reload<D: Dialect>(&self, gateway: &Gateway<D>, store: SocketAddr) {
        let settings = match self.read() {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(error:%; "settings.refused");
                return;
            }
        };
        let reload = gateway.reload(&settings.gateway);
        if settings.store != store {
            log::warn!(field = "store"; "settings.needs_restart");
        }
        for field in &reload.refused.0 {
            log::warn!(field:%; "settings.needs_restart");
        }
        log::info!(applied:% = reload.applied; "settings.reloaded");
    }
}
