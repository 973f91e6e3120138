//! Reads settings trees from files; included values stand beside their root file.

use {
    hazelyoke_lib::{
        pipeline::config_service::is_value_name,
        settings::{
            raw_tree::{RawTree, ValueSource},
            tree::Tree,
        },
        shared::findings::Findings,
    },
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Reads values from the folder of a tree's root file.
struct Folder(PathBuf);

impl ValueSource for Folder {
    fn read(&self, name: &str) -> Result<Vec<u8>, String> {
        if !is_value_name(name) {
            return Err(format!("{name:?} can't be the name of a value"));
        }
        let path = self.0.join(name);
        fs::read(&path).map_err(|error| format!("can't read {}: {error}", path.display()))
    }
}

/// Reads and checks a tree.
///
/// # Errors
///
/// Returns all findings of the tree; a file that can't be read is a finding as well.
pub fn read_tree(path: &Path) -> Result<Tree, Findings> {
    let folder = path.parent().map(Path::to_owned).unwrap_or_default();
    let name = path.file_name().unwrap_or(path.as_os_str());
    let raw = RawTree::read(&Folder(folder), &name.to_string_lossy())?;
    Tree::try_from(raw)
}
