//! The Bureau's example settings tree, included in the program.
//!
//! This module holds the texts of the tree's values and replaces the endpoints' addresses by those of stand-ins. The
//! library parses and checks the tree.

use {
    hazelyoke_lib::{
        settings::{
            raw_tree::{RawTree, ValueSource},
            tree::Tree,
        },
        shared::findings::Findings,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Name of the tree's root value.
pub const ROOT_VALUE: &str = "tree.jsonc";

/// Text that opens the settings in the root value.
const ROOT_SETTINGS: &str = "\"settings\": {";

/// The tree's values by name.
const EXAMPLE_VALUES: [(&str, &str); 3] = [
    (ROOT_VALUE, include_str!("../../examples/bureau/tree.jsonc")),
    (
        "payments.jsonc",
        include_str!("../../examples/bureau/payments.jsonc"),
    ),
    (
        "assist.jsonc",
        include_str!("../../examples/bureau/assist.jsonc"),
    ),
];

/// The texts of one tree's values by name.
#[derive(Debug, Clone)]
pub struct TreeValues(pub BTreeMap<String, String>);

impl ValueSource for TreeValues {
    type Error = &'static str;

    fn read(&self, name: &str) -> Result<Vec<u8>, Self::Error> {
        let value = self
            .0
            .get(name)
            .ok_or("the example tree has no such value")?;
        Ok(value.clone().into_bytes())
    }
}

impl TreeValues {
    /// Returns the Bureau's example tree, unchanged.
    pub fn example() -> Self {
        let named = EXAMPLE_VALUES.map(|(name, text)| (name.to_owned(), text.to_owned()));
        Self(named.into())
    }

    /// Replaces endpoint addresses; the map's keys are the addresses in the current texts.
    pub fn replace_addresses(&mut self, replacements: &BTreeMap<SocketAddr, SocketAddr>) {
        for text in self.0.values_mut() {
            for (old, new) in replacements {
                *text = text.replace(&format!("\"{old}\""), &format!("\"{new}\""));
            }
        }
    }

    /// Adds settings, as JSON fields, to the root value, before those that it has.
    pub fn add_root_settings(&mut self, fields: &str) {
        let root = self
            .0
            .get_mut(ROOT_VALUE)
            .expect("the example has a root value");
        *root = root.replacen(ROOT_SETTINGS, &format!("{ROOT_SETTINGS} {fields},"), 1);
    }

    /// Parses and checks the tree.
    ///
    /// # Errors
    ///
    /// Returns the findings of an invalid tree.
    pub fn tree(&self) -> Result<Tree, Findings> {
        Tree::try_from(RawTree::read(self, ROOT_VALUE)?)
    }
}
