//! Reads settings trees from files; included values stand beside their root file.
//!
//! It owns the mapping of values to files: a value's name is its path from the root file's folder,
//! and only names that the configuration service accepts are read.

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
        fs, io,
        path::{Path, PathBuf},
    },
    thiserror::Error,
};

/// Reads values from the folder of a tree's root file.
struct Folder(PathBuf);

/// Reports a value that can't be read from its folder.
#[derive(Debug, Error)]
enum FileError {
    /// The configuration service couldn't hold a value of this name.
    #[error("{name:?} can't be the name of a value")]
    BadName {
        /// The name that the tree includes.
        name: String,
    },
    /// The file can't be read.
    #[error("can't read {}: {error}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Says why.
        #[source]
        error: io::Error,
    },
}

impl ValueSource for Folder {
    type Error = FileError;

    fn read(&self, name: &str) -> Result<Vec<u8>, FileError> {
        if !is_value_name(name) {
            let name = name.to_owned();
            return Err(FileError::BadName { name });
        }
        let path = self.0.join(name);
        fs::read(&path).map_err(|error| FileError::Unreadable { path, error })
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
