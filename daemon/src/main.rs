//! The hazelyoke daemon: reads its settings, serves callers, stops cleanly on SIGTERM or SIGINT.

mod log_lines;

use {
    anyhow::{Context, Result},
    argh::FromArgs,
    hazelyoke_lib::{
        gateway::serving::server::Server,
        pipeline::{
            daemon::Daemon,
            daemon_settings::{DaemonSettings, RawDaemonSettings},
        },
    },
    hazelyoke_platform::{PlatformDialect, Store, read_settings, settings_path},
    log_lines::LogGuard,
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    tokio::{
        runtime::Builder,
        signal::unix::{Signal, SignalKind, signal},
        task::LocalSet,
    },
};

/// Serve requests of callers through pipelines of endpoints.
#[derive(Debug, FromArgs)]
struct Args {
    /// run on the users' platform, with the settings that it writes
    #[argh(switch)]
    platform: bool,

    /// port of this host for metrics, beside the settings' own address
    #[argh(option)]
    metrics_port: Option<u16>,

    /// file with the daemon's settings: JSON with comments, or the platform's own form
    #[argh(positional)]
    settings: Option<PathBuf>,
}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let logs = log_lines::start();
    let result = if args.platform {
        run_on_platform(
            args.settings.unwrap_or_else(settings_path),
            args.metrics_port,
        )
    } else {
        let path = args.settings.context("no settings file is named")?;
        run_own(path)
    };
    if let Err(error) = &result {
        log::error!(error = format!("{error:#}").as_str(); "daemon.failed");
    }
    tell_dropped(&logs);
    result
}

fn tell_dropped(logs: &LogGuard) {
    let lines = logs.dropped();
    if lines > 0 {
        log::warn!(lines; "log.dropped");
    }
}

fn run_own(path: PathBuf) -> Result<()> {
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut signals = Signals::take_over()?;
        let daemon = Daemon::start(read_own_settings(&path)?)?;
        signals.wait_for_stop(|| Ok(())).await?;
        daemon.stop().await;
        Ok(())
    })
}

fn run_on_platform(path: PathBuf, metrics_port: Option<u16>) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut signals = Signals::take_over()?;
        let mut settings = read_settings(&path)?;
        let host = settings.gateway.peer.ip();
        settings.gateway.metrics = metrics_port.map(|port| SocketAddr::new(host, port));
        let store = Store::new(settings.store);
        let server: Server<PlatformDialect> = Server::start(settings.gateway, store).await?;
        signals.wait_for_stop(|| reload(&path)).await?;
        server.stop().await;
        Ok(())
    })
}

/// Reads changed settings; what is wrong with them is told, and the old ones stay in force.
fn reload(path: &Path) -> Result<()> {
    match read_settings(path) {
        Ok(_) => log::info!("settings.reloaded"),
        Err(error) => log::error!(error:%; "settings.refused"),
    }
    Ok(())
}

fn read_own_settings(path: &PathBuf) -> Result<DaemonSettings> {
    let name = path.display().to_string();
    let bytes = fs::read(path).with_context(|| format!("can't read {name}"))?;
    let raw = RawDaemonSettings::parse(&name, &bytes)?;
    Ok(DaemonSettings::try_from(raw)?)
}

/// The signals that a daemon heeds. They are taken over before anything else is done, since one that
/// comes while the daemon starts would end the process otherwise; it is heeded once the daemon runs.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn take_over() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT; SIGHUP reloads and never ends the process.
    async fn wait_for_stop(&mut self, mut reload: impl FnMut() -> Result<()>) -> Result<()> {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return Ok(()),
                _ = self.interrupt.recv() => return Ok(()),
                _ = self.hang_up.recv() => reload()?,
            }
        }
    }
}
