//! The hazelyoke daemon: reads its settings, serves callers, stops cleanly on SIGTERM or SIGINT.
//!
//! It runs in one of two ways: [`forwarding`] on the users' platform, [`pipelines`] with a settings
//! tree. The library does the work; here are the arguments, the signals and the log's format.

mod args;
mod forwarding;
mod log_lines;
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

/// Logs how many lines were dropped because nobody read the log fast enough.
fn log_dropped(logs: &LogGuard) {
    let lines = logs.dropped();
    if lines > 0 {
        log::warn!(lines; "log.dropped");
    }
}
