//! Runs the pipeline daemon, which serves the pipelines of a settings tree and has a settings file besides.

use {
    crate::signals::Signals,
    anyhow::{Context, Result},
    hazelyoke_lib::pipeline::{
        daemon::Daemon,
        daemon_settings::{DaemonSettings, RawDaemonSettings},
    },
    std::{fs, path::Path},
    tokio::runtime::Builder,
};

/// Serves requests until a signal stops the daemon.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the daemon can't start.
pub fn run(path: &Path) -> Result<()> {
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut signals = Signals::install()?;
        let daemon = Daemon::start(read_settings(path)?)?;
        // The daemon polls the settings tree, but reads its settings file only when it starts.
        signals.wait_for_stop(|| {}).await;
        daemon.stop().await;
        Ok(())
    })
}

fn read_settings(path: &Path) -> Result<DaemonSettings> {
    let name = path.display().to_string();
    let bytes = fs::read(path).with_context(|| format!("can't read {name}"))?;
    let raw = RawDaemonSettings::parse(&name, &bytes)?;
    Ok(DaemonSettings::try_from(raw)?)
}
