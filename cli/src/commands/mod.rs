//! The commands. Each has a file with its arguments, its implementation and its output.

mod check;
mod check_platform;
mod diff;
mod explain;
mod report;
mod status;
mod why;

use {crate::output::Exit, anyhow::Result, argh::FromArgs};

/// Any of the commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check trees.
    Check(check::Check),
    /// Check documents of the users' platform.
    CheckPlatform(check_platform::CheckPlatform),
    /// Explain one node.
    Explain(explain::Explain),
    /// Compare two trees.
    Diff(diff::Diff),
    /// Sum up logs.
    Report(report::Report),
    /// Ask a daemon.
    Status(status::Status),
    /// Show what happened to a request.
    Why(why::Why),
}

/// Runs a command.
///
/// # Errors
///
/// Returns an error if the command can't run with the given arguments.
pub fn run(command: Command) -> Result<Exit> {
    match command {
        Command::Check(command) => command.run(),
        Command::CheckPlatform(command) => command.run(),
        Command::Explain(command) => command.run(),
        Command::Diff(command) => command.run(),
        Command::Report(command) => command.run(),
        Command::Status(command) => command.run(),
        Command::Why(command) => command.run(),
    }
}
