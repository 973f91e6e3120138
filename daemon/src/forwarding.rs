//! Runs the forwarding daemon on the users' platform, from the settings file that it writes.

use {
    crate::signals::Signals,
    anyhow::Result,
    hazelyoke_lib::gateway::serving::server::Server,
    hazelyoke_platform::{PlatformDialect, Store, read_settings},
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
        let mut settings = read_settings(path)?;
        let host = settings.gateway.peer.ip();
        settings.gateway.metrics = metrics_port.map(|port| SocketAddr::new(host, port));
        let store = Store::new(settings.store);
        let server: Server<PlatformDialect> = Server::start(settings.gateway, store).await?;
        signals.wait_for_stop(|| check_settings(path)).await;
        server.stop().await;
        Ok(())
    })
}

/// Checks the changed settings file and logs what is wrong. Nothing of it takes effect before a
/// restart (`docs/FINDINGS.md`, the row about reloads).
fn check_settings(path: &Path) {
    match read_settings(path) {
        Ok(_) => log::info!("settings.reloaded"),
        Err(error) => log::error!(error:%; "settings.refused"),
    }
}
