//! The subcommands of `hazelyoke-bench`.

mod demo;
mod run;

use {anyhow::Result, argh::FromArgs};

/// Any of the commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Ten seconds of mixed load.
    Demo(demo::Demo),
    /// Experiments from files.
    Run(run::RunExperiments),
}

/// Runs a command; returns whether no guarantee was broken.
///
/// # Errors
///
/// Returns an error if an experiment is invalid or can't be run.
pub async fn run(command: Command) -> Result<bool> {
    match command {
        Command::Demo(command) => command.run().await,
        Command::Run(command) => command.run().await,
    }
}
