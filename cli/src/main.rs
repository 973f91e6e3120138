//! The command line of hazelyoke: checks, explains and compares settings trees, and asks daemons.
//!
//! It owns the terminal: arguments, printing and exit codes. Each command has a file in `commands`;
//! the library makes all decisions and prints nothing.

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

/// Runs the command; one that could not run counts as bad use.
fn run(args: CliArgs) -> Exit {
    commands::run(args.command).unwrap_or_else(|error| {
        eprintln!("hazelyoke: {error:#}");
        Exit::BadUse
    })
}

/// Parses the arguments; a request for help is a success, arguments that can't be parsed are bad use.
fn parse_args() -> Result<CliArgs, Exit> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (name, rest) = words.split_first().unwrap_or((&"hazelyoke", &[]));
    let name = name.rsplit('/').next().unwrap_or(name);
    CliArgs::from_args(&[name], rest).map_err(|EarlyExit { output, status }| match status {
        Ok(()) => {
            println!("{output}");
            Exit::Success
        }
        Err(()) => {
            eprintln!("{output}");
            Exit::BadUse
        }
    })
}
