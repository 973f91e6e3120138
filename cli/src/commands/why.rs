//! `hazelyoke why`: tells from logs what happened to a request.

use {
    crate::output::Exit,
    anyhow::{Context, Result},
    argh::FromArgs,
    hazelyoke_lib::story::{HostLog, story},
    std::{fs, path::PathBuf},
};

/// tell from logs what happened to a request
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "why")]
pub struct Why {
    /// id of the request
    #[argh(positional)]
    request: String,

    /// logs, a file each host
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl Why {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error when a log can't be read.
    pub fn run(self) -> Result<Exit> {
        let logs = self
            .logs
            .iter()
            .map(|path| {
                let name = path.display().to_string();
                let bytes = fs::read(path).with_context(|| format!("can't read {name}"))?;
                let host = path
                    .file_stem()
                    .map_or(name, |s| s.to_string_lossy().into_owned());
                Ok(HostLog {
                    host,
                    text: String::from_utf8_lossy(&bytes).into_owned(),
                })
            })
            .collect::<Result<Vec<_>>>()?;
        let lines = story(&self.request, &logs);
        if lines.is_empty() {
            eprintln!("hazelyoke: no log names request {}", self.request);
            return Ok(Exit::Findings);
        }
        for line in lines {
            println!("{line}");
        }
        Ok(Exit::Fine)
    }
}
