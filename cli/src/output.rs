//! How commands print and how they end.

use {
    anyhow::Result,
    comfy_table::{Table, presets},
    hazelyoke_lib::shared::findings::Findings,
    serde::Serialize,
    std::{process::ExitCode, str::FromStr},
};

/// How a command ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All is well.
    Fine,
    /// Something was found.
    Findings,
    /// The command was used wrongly.
    BadUse,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(match exit {
            Exit::Fine => 0,
            Exit::Findings => 1,
            Exit::BadUse => 2,
        })
    }
}

/// Form of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("{text:?} is neither \"text\" nor \"json\"")),
        }
    }
}

/// Prints a value as JSON.
///
/// # Errors
///
/// Returns an error when the value can't be written as JSON.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Prints findings.
///
/// # Errors
///
/// Returns an error when the findings can't be written as JSON.
pub fn print_findings(findings: &Findings, format: Format) -> Result<()> {
    match format {
        Format::Text => println!("{findings}"),
        Format::Json => print_json(findings)?,
    }
    Ok(())
}

/// Starts a table without borders.
pub fn plain_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.to_vec());
    table
}
