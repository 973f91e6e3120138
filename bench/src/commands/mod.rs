//! The commands, a file each.

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

/// Runs a command; returns whether every promise was kept.
///
/// # Errors
///
/// Returns an error when the command can't be carried out.
pub async fn run(command: Command) -> Result<bool> {
    match command {
        Command::Demo(command) => command.run().await,
        Command::Run(command) => command.run().await,
    }
}
