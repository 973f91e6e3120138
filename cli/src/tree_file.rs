//! Reads settings trees from files.
//!
//! Maps values to files: the name of a value is the path of its file, relative to the folder of the root file. Only
//! names that the configuration service accepts are read.

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

/// Folder of a tree's root file, from which values are read.
struct Folder(PathBuf);

/// Reports why a value can't be read from its file.
#[derive(Debug, Error)]
enum FileError {
    /// The configuration service doesn't accept the name.
    #[error("{name:?} can't be the name of a value")]
    BadName {
        /// Name of the value.
        name: String,
    },
    /// The file can't be read.
    #[error("can't read {}: {error}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
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

/// Reads and validates a tree.
///
/// # Errors
///
/// Returns all findings of the tree. A file that can't be read is one of them.
pub fn read_tree(path: &Path) -> Result<Tree, Findings> {
    let folder = path.parent().map(Path::to_owned).unwrap_or_default();
    let name = path.file_name().unwrap_or(path.as_os_str());
    let raw = RawTree::read(&Folder(folder), &name.to_string_lossy())?;
    Tree::try_from(raw)
}
