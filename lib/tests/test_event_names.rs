//! The operators' page lists exactly the events that the code logs.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a source folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the quoted texts of the form `word.word`, which is the form of event names.
fn quoted_names(text: &str) -> BTreeSet<String> {
    let is_word =
        |word: &str| !word.is_empty() && word.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    text.split('"')
        .filter(|part| part.split('.').count() == 2 && part.split('.').all(is_word))
        .map(str::to_owned)
        .collect()
}

fn documented(text: &str) -> BTreeSet<String> {
    text.lines()
        .filter(|line| line.starts_with("| `"))
        .filter_map(|line| line.split('`').nth(1))
        .filter(|name| name.contains('.'))
        .map(str::to_owned)
        .collect()
}

/// The code logs the events that the operators' page lists, and no others.
#[test]
fn documented_events() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    for folder in ["lib/src/gateway", "daemon/src"] {
        sources(&root.join(folder), &mut files);
    }
    let logged: BTreeSet<String> = files
        .iter()
        .flat_map(|path| quoted_names(&fs::read_to_string(path).expect("a source file")))
        .collect();
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the operators' page");
    assert_eq!(logged, documented(&page));
}
