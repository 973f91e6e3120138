//! Runs the forwarding daemon on the users' platform, with the settings file that the platform writes.

use {
    crate::signals::Signals,
    anyhow::Result,
    hazelyoke_lib::gateway::{dialect::Dialect, serving::server::Server, state::Gateway},
    hazelyoke_platform::{PlatformDialect, PlatformSettings, SettingsError, Store, read_settings},
    std::{net::SocketAddr, path::Path},
    tokio::{runtime::Builder, task::LocalSet},
};

/// Ports of this host that the command line adds to the settings.
#[derive(Debug, Clone, Copy)]
pub struct ExtraPorts {
    /// Additional port for metrics; the address in the settings also serves them.
    pub metrics: Option<u16>,
    /// Port at which other daemons reach this one, if it differs from the port in the settings.
    pub advertised: Option<u16>,
}

/// Serves requests until a signal stops the daemon.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the daemon can't listen on an address.
pub fn run(path: &Path, ports: ExtraPorts) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut signals = Signals::install()?;
        let file = SettingsFile { path, ports };
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

/// The settings file, with the ports that the command line adds to it.
struct SettingsFile<'a> {
    path: &'a Path,
    ports: ExtraPorts,
}

impl SettingsFile<'_> {
    fn read(&self) -> Result<PlatformSettings, SettingsError> {
        let mut settings = read_settings(self.path)?;
        let host = settings.gateway.peer.ip();
        let address = |port| SocketAddr::new(host, port);
        settings.gateway.metrics = self.ports.metrics.map(address);
        settings.gateway.advertised = self.ports.advertised.map(address);
        Ok(settings)
    }

    /// Reads the file again, applies the fields that can change while the daemon runs, and logs which were applied and
    /// which need a restart. An invalid file changes nothing.
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
        for field in &reload.deferred.0 {
            log::warn!(field:%; "settings.needs_restart");
        }
        log::info!(applied:% = reload.applied; "settings.reloaded");
    }
}
