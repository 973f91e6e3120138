//! `hazelyoke diff`: shows which services, customers and pipelines a change of a tree affects, and how.

use {
    crate::{
        output::{Exit, Format, print_findings, print_json},
        tree_file::read_tree,
    },
    anyhow::Result,
    argh::FromArgs,
    hazelyoke_lib::{settings::diff::diff, shared::findings::Findings},
    std::path::PathBuf,
};

/// show which services, customers and pipelines a change of a tree reaches, and how
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// root file of the tree before
    #[argh(positional)]
    old: PathBuf,

    /// root file of the tree after
    #[argh(positional)]
    new: PathBuf,

    /// form of the output: text or json
    #[argh(option, default = "Format::default()")]
    format: Format,
}

impl Diff {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes can't be serialised as JSON.
    pub fn run(self) -> Result<Exit> {
        let (old, new) = match (read_tree(&self.old), read_tree(&self.new)) {
            (Ok(old), Ok(new)) => (old, new),
            (old, new) => {
                let mut findings = Findings::default();
                for side in [old, new] {
                    findings.append(side.err().unwrap_or_default());
                }
                print_findings(&findings, self.format)?;
                return Ok(Exit::Findings);
            }
        };
        let changes = diff(&old, &new);
        match self.format {
            Format::Json => print_json(&changes)?,
            Format::Text => {
                println!("version {} -> {}", old.version, new.version);
                for change in &changes {
                    println!("{} {}", change.kind, change.name);
                    for detail in &change.details {
                        println!("  {detail}");
                    }
                }
                println!("{} nodes reached", changes.len());
            }
        }
        if new.version <= old.version {
            eprintln!("the version doesn't rise, so no daemon would adopt the new tree");
            return Ok(Exit::Findings);
        }
        Ok(Exit::Success)
    }
}
