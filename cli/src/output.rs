//! Output of commands: exit codes, formats, JSON and tables.
//!
//! Contains the output code that commands share. The library prints nothing.

use {
    anyhow::Result,
    comfy_table::{Table, presets},
    hazelyoke_lib::shared::findings::Findings,
    serde::Serialize,
    std::{process::ExitCode, str::FromStr},
    thiserror::Error,
};

/// Result of a command, which determines the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command found no error (exit code 0).
    Success,
    /// The command found errors and printed them (exit code 1).
    Findings,
    /// The arguments are invalid, or the command couldn't run (exit code 2).
    Failed,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Findings => 1,
            Exit::Failed => 2,
        })
    }
}

/// Format of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

/// Reports that a text isn't the name of a format.
#[derive(Debug, Error)]
#[error("{0:?} is neither \"text\" nor \"json\"")]
pub struct FormatError(String);

impl FromStr for Format {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, FormatError> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(FormatError(text.to_owned())),
        }
    }
}

/// Prints a value as JSON.
///
/// # Errors
///
/// Returns an error if the value can't be serialised as JSON.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Prints findings.
///
/// # Errors
///
/// Returns an error if the findings can't be serialised as JSON.
pub fn print_findings(findings: &Findings, format: Format) -> Result<()> {
    match format {
        Format::Text => println!("{findings}"),
        Format::Json => print_json(findings)?,
    }
    Ok(())
}

/// Returns an empty table without borders, with a header.
pub fn plain_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.to_vec());
    table
}
