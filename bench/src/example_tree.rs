//! The Bureau's example tree, built in.
//!
//! Owns the texts of its values, in which the addresses of stand-ins take the place of the written
//! ones; what they mean is the library's to say.

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
pub const ROOT: &str = "tree.jsonc";

/// Start of the root's settings, as the example writes it.
const ROOT_SETTINGS: &str = "\"settings\": {";

/// The tree's values by name.
const EXAMPLE: [(&str, &str); 3] = [
    (ROOT, include_str!("../../examples/bureau/tree.jsonc")),
    (
        "payments.jsonc",
        include_str!("../../examples/bureau/payments.jsonc"),
    ),
    (
        "assist.jsonc",
        include_str!("../../examples/bureau/assist.jsonc"),
    ),
];

/// The values of one tree by name.
#[derive(Debug, Clone)]
pub struct Values(pub BTreeMap<String, String>);

impl ValueSource for Values {
    type Error = &'static str;

    fn read(&self, name: &str) -> Result<Vec<u8>, Self::Error> {
        let value = self.0.get(name).ok_or("there is no such value")?;
        Ok(value.clone().into_bytes())
    }
}

impl Values {
    /// Returns the Bureau's example tree as it is written.
    pub fn example() -> Self {
        let named = EXAMPLE.map(|(name, text)| (name.to_owned(), text.to_owned()));
        Self(named.into())
    }

    /// Puts other addresses in place of the written ones.
    pub fn replace_addresses(&mut self, replacements: &BTreeMap<SocketAddr, SocketAddr>) {
        for text in self.0.values_mut() {
            for (old, new) in replacements {
                *text = text.replace(&format!("\"{old}\""), &format!("\"{new}\""));
            }
        }
    }

    /// Adds settings, as JSON fields, at the root before the ones that stand there.
    pub fn add_root_settings(&mut self, fields: &str) {
        let root = self.0.get_mut(ROOT).expect("the example has a root value");
        *root = root.replacen(ROOT_SETTINGS, &format!("{ROOT_SETTINGS} {fields},"), 1);
    }

    /// Reads and checks the tree.
    ///
    /// # Errors
    ///
    /// Returns the findings of an invalid tree.
    pub fn tree(&self) -> Result<Tree, Findings> {
        Tree::try_from(RawTree::read(self, ROOT)?)
    }
}
