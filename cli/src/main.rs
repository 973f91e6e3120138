//! The command line of hazelyoke: check, explain and compare settings trees, ask daemons.

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
struct Args {
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    env_logger::init();
    match parse_args() {
        Ok(args) => match commands::run(args.command) {
            Ok(exit) => exit.into(),
            Err(error) => {
                eprintln!("hazelyoke: {error:#}");
                Exit::BadUse.into()
            }
        },
        Err(exit) => exit.into(),
    }
}

/// Parses the arguments; help is a success, anything that can't be parsed is bad use.
fn parse_args() -> Result<Args, Exit> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (name, rest) = words.split_first().unwrap_or((&"hazelyoke", &[]));
    let name = name.rsplit('/').next().unwrap_or(name);
    Args::from_args(&[name], rest).map_err(|EarlyExit { output, status }| match status {
        Ok(()) => {
            println!("{output}");
            Exit::Fine
        }
        Err(()) => {
            eprintln!("{output}");
            Exit::BadUse
        }
    })
}
