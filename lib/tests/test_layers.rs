//! Modules import only from the layers that the table in `docs/ARCHITECTURE.md` allows, and never in a cycle.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Each folder with the other folders from which it may import.
const ALLOWED: [(&str, &[&str]); 4] = [
    ("shared", &[]),
    ("settings", &["shared"]),
    ("pipeline", &["settings", "shared"]),
    ("gateway", &["shared"]),
];

/// Modules of value types of the forwarding daemon from which its rules may import, besides other rules.
const RULE_VALUES: [&str; 7] = [
    "gateway::dialect",
    "gateway::directory::endpoint_entry",
    "gateway::directory::source",
    "gateway::peers::message",
    "gateway::revision",
    "gateway::stages::job",
    "gateway::table",
];

type Imports = BTreeMap<String, BTreeSet<String>>;

fn files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files(&path, found);
        } else {
            found.push(path);
        }
    }
}

/// Returns the module path of a file, from the crate's root.
fn module_of(root: &Path, file: &Path) -> String {
    let relative = file.strip_prefix(root).expect("a file below the root");
    let name = relative.with_extension("").display().to_string();
    name.trim_end_matches("/mod").replace('/', "::")
}

/// Returns the paths in the `use` statements of a source, with nested braces expanded.
fn used_paths(source: &str) -> Vec<String> {
    let code: String = source
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .collect();
    let mut paths = Vec::new();
    for statement in code.split("use ").skip(1) {
        let body = statement.split(';').next().unwrap_or_default();
        resolve("", body, &mut paths);
    }
    paths
}

fn resolve(prefix: &str, tree: &str, paths: &mut Vec<String>) {
    for part in split_top(tree) {
        match part.split_once('{') {
            Some((head, rest)) => {
                let inner = &rest[..rest.rfind('}').unwrap_or(rest.len())];
                resolve(&format!("{prefix}{}", head.trim()), inner, paths);
            }
            None => paths.push(format!("{prefix}{}", part.trim())),
        }
    }
}

/// Splits a `use` tree at the commas outside of braces.
fn split_top(tree: &str) -> Vec<&str> {
    let mut depth = 0;
    let mut start = 0;
    let mut parts = Vec::new();
    for (i, byte) in tree.bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => depth -= 1,
            b',' if depth == 0 => {
                parts.push(&tree[start..i]);
                start = i + 1;
            }
            _ => {}
        }
    }
    parts.push(&tree[start..]);
    parts.retain(|part| !part.trim().is_empty());
    parts
}

/// Returns the innermost module that a path names.
fn imported(path: &str, modules: &BTreeSet<String>) -> Option<String> {
    let mut path = path.strip_prefix("crate::")?;
    loop {
        if modules.contains(path) {
            return Some(path.to_owned());
        }
        path = path.rsplit_once("::")?.0;
    }
}

/// Returns whether one module contains the other. Such modules may import from each other.
fn is_family(one: &str, other: &str) -> bool {
    let contains = |outer: &str, inner: &str| {
        let rest = inner.strip_prefix(outer);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    };
    contains(one, other) || contains(other, one)
}

fn imports() -> Imports {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut sources = Vec::new();
    files(&root, &mut sources);
    let modules: BTreeSet<String> = sources.iter().map(|file| module_of(&root, file)).collect();
    let mut imports = Imports::new();
    for file in &sources {
        let module = module_of(&root, file);
        let source = fs::read_to_string(file).expect("a source");
        let named = used_paths(&source);
        let others = named.iter().filter_map(|path| imported(path, &modules));
        let others = others.filter(|other| !is_family(other, &module)).collect();
        imports.insert(module, others);
    }
    imports
}

fn top(module: &str) -> &str {
    module.split("::").next().unwrap_or(module)
}

#[test]
fn downward_imports() {
    let imports = imports();
    assert!(imports.values().any(|others| others.len() > 3));
    for (module, others) in &imports {
        let Some((_, allowed)) = ALLOWED.iter().find(|(folder, _)| *folder == top(module)) else {
            continue;
        };
        for other in others {
            let folder = top(other);
            assert!(
                folder == top(module) || allowed.contains(&folder),
                "{module} imports {other}"
            );
        }
    }
}

#[test]
fn rules_use_values() {
    for (module, others) in &imports() {
        if !module.starts_with("gateway::rules::") {
            continue;
        }
        for other in others {
            let is_value = RULE_VALUES.contains(&other.as_str());
            let is_rule = other.starts_with("gateway::rules::");
            assert!(
                is_value || is_rule || top(other) == "shared",
                "{module} imports {other}"
            );
        }
    }
}

#[test]
fn no_import_circle() {
    let mut remaining = imports();
    // A module that imports none of the remaining modules can't be part of a cycle.
    loop {
        let done: Vec<String> = remaining
            .iter()
            .filter(|(_, others)| others.iter().all(|other| !remaining.contains_key(other)))
            .map(|(module, _)| module.clone())
            .collect();
        if done.is_empty() {
            break;
        }
        for module in done {
            remaining.remove(&module);
        }
    }
    assert!(
        remaining.is_empty(),
        "in an import cycle, or importing from one: {:?}",
        remaining.keys()
    );
}
