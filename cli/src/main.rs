//! The command line of hazelyoke: checks, explains and compares settings trees, evaluates logs, and queries daemons.
//!
//! This crate handles arguments, output and exit codes. Each command has a file in `commands`. The library makes all
//! decisions and prints nothing.

mod commands;
mod output;
mod tree_file;

use {
    argh::{EarlyExit, FromArgs},
    commands::Command,
    output::Exit,
    std::process::ExitCode,
};

/// Check, explain and compare settings trees, and ask daemons for their state.
#[derive(Debug, FromArgs)]
struct CliArgs {
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    env_logger::init();
    let exit = parse_args().map_or_else(|exit| exit, run);
    exit.into()
}

/// Runs the command. Prints the error of a command that couldn't run.
fn run(args: CliArgs) -> Exit {
    commands::run(args.command).unwrap_or_else(|error| {
        eprintln!("hazelyoke: {error:#}");
        Exit::Failed
    })
}

/// Parses the arguments.
///
/// Prints the help and returns [`Exit::Success`] if it is requested. Prints an error and returns [`Exit::Failed`] if
/// the arguments are invalid.
fn parse_args() -> Result<CliArgs, Exit> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (name, rest) = args.split_first().unwrap_or((&"hazelyoke", &[]));
    let name = name.rsplit('/').next().unwrap_or(name);
    CliArgs::from_args(&[name], rest).map_err(|EarlyExit { output, status }| match status {
        Ok(()) => {
            println!("{output}");
            Exit::Success
        }
        Err(()) => {
            eprintln!("{output}");
            Exit::Failed
        }
    })
}
