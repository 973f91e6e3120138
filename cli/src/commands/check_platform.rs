//! `hazelyoke check-platform`: checks documents of the users' platform before they are published.

use {
    crate::output::Exit,
    anyhow::{Context, Result},
    argh::FromArgs,
    hazelyoke_lib::gateway::dialect::Dialect,
    hazelyoke_platform::{PlatformDialect, read_settings},
    std::{fs, path::PathBuf},
};

/// check documents of the users' platform
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check-platform")]
pub struct CheckPlatform {
    /// settings file of a process
    #[argh(option)]
    settings: Option<PathBuf>,

    /// configuration as the operator publishes it
    #[argh(option)]
    config: Option<PathBuf>,
}

impl CheckPlatform {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if no file is given or the configuration file can't be read.
    pub fn run(self) -> Result<Exit> {
        if self.settings.is_none() && self.config.is_none() {
            anyhow::bail!("name a file with --settings or --config");
        }
        let mut findings = Vec::new();
        if let Some(path) = &self.settings {
            match read_settings(path) {
                Ok(settings) => println!("settings of {} are fine", settings.gateway.host),
                Err(error) => findings.push(error.to_string()),
            }
        }
        if let Some(path) = &self.config {
            let name = path.display();
            let bytes = fs::read(path).with_context(|| format!("can't read {name}"))?;
            match PlatformDialect::read_table(&bytes) {
                Ok(table) => println!(
                    "configuration {} is fine: {} routes, {} services",
                    table.version,
                    table.routes().count(),
                    table.services().count()
                ),
                Err(error) => findings.push(format!("{name}: {error}")),
            }
        }
        for finding in &findings {
            eprintln!("{finding}");
        }
        Ok(if findings.is_empty() {
            Exit::Success
        } else {
            Exit::Findings
        })
    }
}
