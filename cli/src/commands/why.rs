//! `hazelyoke why`: shows from logs what happened to a request.

use {
    crate::output::Exit,
    anyhow::{Context, Result},
    argh::FromArgs,
    hazelyoke_lib::timeline::{HostLog, RequestTimeline},
    std::{
        fs,
        path::{Path, PathBuf},
    },
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
    /// Returns an error if a log can't be read.
    pub fn run(self) -> Result<Exit> {
        let logs = self.logs.iter().map(|path| read_log(path));
        let logs = logs.collect::<Result<Vec<_>>>()?;
        let timeline = RequestTimeline::from_logs(&self.request, &logs);
        if timeline.lines.is_empty() {
            eprintln!("hazelyoke: no log names request {}", self.request);
            return Ok(Exit::Findings);
        }
        for line in &timeline.lines {
            println!("{line}");
        }
        for line in &timeline.lines {
            if let Some(text) = line.explain_early_end() {
                println!("\n{text}");
            }
        }
        Ok(Exit::Success)
    }
}

/// Reads the log of one host. The name of the host is that of the file, without its extension.
fn read_log(path: &Path) -> Result<HostLog> {
    let name = path.display().to_string();
    let bytes = fs::read(path).with_context(|| format!("can't read {name}"))?;
    let stem = path.file_stem();
    Ok(HostLog {
        host: stem.map_or(name, |stem| stem.to_string_lossy().into_owned()),
        // A log may contain lines of other programs in any encoding. They are skipped later.
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}
