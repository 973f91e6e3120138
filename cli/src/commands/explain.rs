//! `hazelyoke explain`: shows where each effective value of a node comes from.

use {
    crate::{
        output::{Exit, Format, plain_table, print_findings, print_json},
        tree_file::read_tree,
    },
    anyhow::Result,
    argh::FromArgs,
    hazelyoke_lib::settings::values::SettingEntry,
    serde::Serialize,
    std::path::PathBuf,
};

/// show each effective value of a node with the node and line that set it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// root file of the tree
    #[argh(positional)]
    file: PathBuf,

    /// path of the node, or an ending of it that fits one node only
    #[argh(positional)]
    node: String,

    /// form of the output: text or json
    #[argh(option, default = "Format::default()")]
    format: Format,
}

#[derive(Debug, Serialize)]
struct Row {
    setting: &'static str,
    value: String,
    node: String,
    place: Option<String>,
}

impl From<SettingEntry> for Row {
    fn from(entry: SettingEntry) -> Self {
        Self {
            setting: entry.name,
            value: entry.value,
            node: entry.origin.node.to_string(),
            place: entry.origin.location.map(|location| location.to_string()),
        }
    }
}

impl Explain {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if no node, or more than one, has the given name.
    pub fn run(self) -> Result<Exit> {
        let tree = match read_tree(&self.file) {
            Ok(tree) => tree,
            Err(findings) => {
                print_findings(&findings, self.format)?;
                return Ok(Exit::Findings);
            }
        };
        let node = tree.find_node(&self.node)?;
        let rows: Vec<Row> = node.settings.entries().into_iter().map(Row::from).collect();
        match self.format {
            Format::Json => print_json(&rows)?,
            Format::Text => {
                println!("{}", node.path);
                print_table(rows);
            }
        }
        Ok(Exit::Success)
    }
}

fn print_table(rows: Vec<Row>) {
    let mut table = plain_table(&["SETTING", "VALUE", "NODE", "PLACE"]);
    for row in rows {
        let place = row.place.unwrap_or_default();
        table.add_row([row.setting, &row.value, &row.node, &place]);
    }
    println!("{}", table.trim_fmt());
}
