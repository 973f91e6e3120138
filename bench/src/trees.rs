//! The example trees, built in, with addresses of stand-ins put in place of their own.

use {
    hazelyoke_lib::{
        settings::{
            raw_tree::{RawTree, ValueSource},
            tree::Tree,
        },
        shared::findings::Findings,
    },
    std::{collections::BTreeMap, net::SocketAddr, str::FromStr},
};

/// Name of every tree's root value.
pub const ROOT: &str = "tree.jsonc";

/// Names a user whose tree is built in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// The Bureau's market terminals.
    Bureau,
    /// The auction floor of Pwani Mnada.
    PwaniMnada,
}

impl FromStr for User {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "bureau" => Ok(User::Bureau),
            "pwani-mnada" => Ok(User::PwaniMnada),
            _ => Err(format!(
                "{text:?} is neither \"bureau\" nor \"pwani-mnada\""
            )),
        }
    }
}

macro_rules! example {
    ($folder:literal: $($file:literal),*) => {
        [$(($file, include_str!(concat!("../../examples/", $folder, "/", $file)))),*]
    };
}

/// The values of one tree by name.
#[derive(Debug, Clone)]
pub struct Values(pub BTreeMap<String, String>);

impl ValueSource for Values {
    fn read(&self, name: &str) -> Result<Vec<u8>, String> {
        let value = self.0.get(name).ok_or("there is no such value")?;
        Ok(value.clone().into_bytes())
    }
}

impl Values {
    /// Returns a user's example tree as it is written.
    pub fn example(user: User) -> Self {
        let files = match user {
            User::Bureau => example!("bureau": "tree.jsonc", "payments.jsonc", "assist.jsonc"),
            User::PwaniMnada => {
                example!("pwani-mnada": "tree.jsonc", "floor.jsonc", "assist.jsonc")
            }
        };
        let named = files.map(|(name, text)| (name.to_owned(), text.to_owned()));
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

    /// Adds settings at the root, before the ones that stand there.
    pub fn add_root_settings(&mut self, fields: &str) {
        if let Some(root) = self.0.get_mut(ROOT)
            && !fields.is_empty()
        {
            let written = "\"settings\": {";
            *root = root.replacen(written, &format!("{written} {fields},"), 1);
        }
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
