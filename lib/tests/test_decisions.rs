//! `docs/DECISIONS.md` names only modules, constants, events, metrics and tests that exist, and lists every rule of the
//! forwarding daemon.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Folders of the test files that the page may name.
const TEST_FOLDERS: [&str; 4] = ["lib/tests", "platform/tests", "daemon/tests", "cli/tests"];

/// One row of the page's table.
struct Rule {
    module: String,
    constants: Vec<String>,
    signals: Vec<String>,
    tests: Vec<String>,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the texts in backticks.
fn quoted(cell: &str) -> Vec<String> {
    cell.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

fn rules() -> Vec<Rule> {
    let page = read(&root().join("docs/DECISIONS.md"));
    page.lines()
        .map(|line| line.split('|').map(str::trim).collect::<Vec<_>>())
        .filter(|cells| cells.len() == 7 && cells[2].starts_with('`'))
        .map(|cells| Rule {
            module: quoted(cells[2]).remove(0),
            constants: quoted(cells[3]),
            signals: quoted(cells[4]),
            tests: quoted(cells[5]),
        })
        .collect()
}

/// Returns all Rust sources below a folder, concatenated.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            text += &sources(&path);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text += &read(&path);
        }
    }
    text
}

/// Fails if there are findings, and lists all of them.
fn report(findings: &[String]) {
    assert!(
        findings.is_empty(),
        "docs/DECISIONS.md:\n{}",
        findings.join("\n")
    );
}

#[test]
fn modules_exist() {
    let is_missing = |rule: &Rule| !root().join("lib/src").join(&rule.module).is_file();
    let missing = rules().into_iter().filter(is_missing);
    let findings: Vec<_> = missing
        .map(|rule| format!("no module {}", rule.module))
        .collect();
    report(&findings);
}

#[test]
fn constants_exist() {
    let mut findings = Vec::new();
    for rule in rules() {
        let source = read(&root().join("lib/src").join(&rule.module));
        for constant in &rule.constants {
            if !source.contains(&format!("const {constant}:")) {
                findings.push(format!("{} doesn't define {constant}", rule.module));
            }
        }
    }
    report(&findings);
}

/// Returns the name under which a metric is registered: without prefix, unit and suffix.
fn registered(signal: &str) -> &str {
    let name = signal.trim_start_matches("hazelyoke_");
    let name = name.trim_end_matches("_total");
    name.trim_end_matches("_seconds")
}

#[test]
fn signals_exist() {
    let code = sources(&root().join("lib/src"));
    let is_missing = |signal: &&String| !code.contains(&format!("\"{}\"", registered(signal)));
    let rules = rules();
    let signals = rules.iter().flat_map(|rule| &rule.signals);
    let missing = signals.filter(is_missing);
    let findings: Vec<_> = missing
        .map(|signal| format!("nothing logs or counts {signal}"))
        .collect();
    report(&findings);
}

#[test]
fn tests_exist() {
    let mut findings = Vec::new();
    for test in rules().iter().flat_map(|rule| &rule.tests) {
        let (file, function) = test.split_once("::").expect("a file and a test");
        let found = TEST_FOLDERS.iter().any(|folder| {
            let path = root().join(folder).join(format!("{file}.rs"));
            path.is_file() && read(&path).contains(&format!("fn {function}("))
        });
        if !found {
            findings.push(format!("no test {test}"));
        }
    }
    report(&findings);
}

#[test]
fn rules_are_listed() {
    let listed: BTreeSet<String> = rules().into_iter().map(|rule| rule.module).collect();
    let folder = root().join("lib/src/gateway/rules");
    let names = fs::read_dir(folder).expect("the rules");
    let findings: Vec<_> = names
        .map(|entry| entry.expect("an entry").file_name())
        .map(|name| format!("gateway/rules/{}", name.to_string_lossy()))
        .filter(|module| !module.ends_with("/mod.rs") && !listed.contains(module))
        .map(|module| format!("no row for {module}"))
        .collect();
    report(&findings);
}
