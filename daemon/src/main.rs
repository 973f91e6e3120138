//! The hazelyoke daemon: reads its settings, serves callers, and stops gracefully on SIGTERM or SIGINT.
//!
//! The daemon has two modes: [`forwarding`] on the users' platform, and [`pipelines`] with a settings tree. The library
//! implements both; this crate handles the arguments, the signals and the format of the log.

mod args;
mod forwarding;
mod log_lines;
mod panics;
mod pipelines;
mod signals;

use {
    anyhow::{Context, Result},
    args::Args,
    forwarding::ExtraPorts,
    hazelyoke_platform::settings_path,
    log_lines::LogGuard,
};

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let logs = log_lines::start();
    panics::log_panics();
    let result = run(args);
    if let Err(error) = &result {
        log::error!(error = format!("{error:#}").as_str(); "daemon.failed");
    }
    log_dropped(&logs);
    result
}

fn run(args: Args) -> Result<()> {
    if args.platform {
        let path = args.settings.unwrap_or_else(settings_path);
        let ports = ExtraPorts {
            metrics: args.metrics_port,
            advertised: args.advertised_port,
        };
        return forwarding::run(&path, ports);
    }
    let path = args.settings.context("no settings file is named")?;
    pipelines::run(&path)
}

/// Logs the number of lines that were dropped because the log wasn't read fast enough, if any.
fn log_dropped(logs: &LogGuard) {
    let lines = logs.dropped();
    if lines > 0 {
        log::warn!(lines; "log.dropped");
    }
}
