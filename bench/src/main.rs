//! The load and experiment tool of hazelyoke.
//!
//! It runs daemons that read a settings tree under load and faults, and compares their policies, among them the naive
//! one. The users' bench can't produce these faults; it tests the forwarding daemon.

mod caller;
mod commands;
mod example_tree;
mod experiment;
mod fault_injector;
mod fault_plan;
mod installation;
mod load;
mod model;
mod observer;
mod replica;
mod report;
mod report_table;
mod runner;
mod tally;

use {anyhow::Result, argh::FromArgs, std::process::ExitCode};

/// Put daemons under load on loopback, with stand-ins for everything around them.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: commands::Command,
}

fn main() -> Result<ExitCode> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off")).init();
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let passed = runtime.block_on(commands::run(args.command))?;
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
