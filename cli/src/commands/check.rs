//! `hazelyoke check`: reports all errors in settings trees.

use {
    crate::{
        output::{Exit, Format, print_findings},
        tree_file::read_tree,
    },
    anyhow::{Result, bail},
    argh::FromArgs,
    hazelyoke_lib::shared::findings::Findings,
    std::path::PathBuf,
};

/// check settings trees and report all findings with their places
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// root files of the trees
    #[argh(positional)]
    files: Vec<PathBuf>,

    /// form of the output: text or json
    #[argh(option, default = "Format::default()")]
    format: Format,
}

impl Check {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if no file is given or the findings can't be serialised as JSON.
    pub fn run(self) -> Result<Exit> {
        if self.files.is_empty() {
            bail!("check needs a file; try: hazelyoke check examples/bureau/tree.jsonc");
        }
        let mut all = Findings::default();
        for file in &self.files {
            match read_tree(file) {
                Ok(tree) if self.format == Format::Text => println!(
                    "{}: version {}: {} services, {} customers, {} pipelines: fine",
                    file.display(),
                    tree.version,
                    tree.services.len(),
                    tree.customers.len(),
                    tree.pipelines.len()
                ),
                Ok(_) => {}
                Err(findings) => all.append(findings),
            }
        }
        let fine = all.is_empty();
        if !fine || self.format == Format::Json {
            print_findings(&all, self.format)?;
        }
        Ok(if fine { Exit::Success } else { Exit::Findings })
    }
}
