//! The hazelyoke daemon: reads its settings, serves callers, stops cleanly on SIGTERM or SIGINT.

use {
    anyhow::{Context, Result},
    argh::FromArgs,
    hazelyoke_lib::{
        daemon::Daemon,
        daemon_settings::{DaemonSettings, RawDaemonSettings},
    },
    std::{fs, path::PathBuf},
    tokio::signal::unix::{SignalKind, signal},
};

/// Serve requests of callers through pipelines of endpoints.
#[derive(Debug, FromArgs)]
struct Args {
    /// file with the daemon's settings, in JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let daemon = Daemon::start(read_settings(&args.settings)?)?;
    wait_for_stop().await?;
    daemon.stop().await;
    Ok(())
}

fn read_settings(path: &PathBuf) -> Result<DaemonSettings> {
    let name = path.display().to_string();
    let bytes = fs::read(path).with_context(|| format!("can't read {name}"))?;
    let raw = RawDaemonSettings::parse(&name, &bytes)?;
    Ok(DaemonSettings::try_from(raw)?)
}

async fn wait_for_stop() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
