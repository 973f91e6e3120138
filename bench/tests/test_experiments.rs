//! All committed experiments, including the demo's, are valid.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{fs, path::Path, process::Command};

/// Names of all experiments, sorted; each has its figures in `docs/MEASUREMENTS.md`.
const EXPERIMENTS: [&str; 8] = [
    "bureau-customers",
    "bureau-faults",
    "bureau-hedge",
    "bureau-kv",
    "bureau-load",
    "bureau-prefix",
    "bureau-storm",
    "demo",
];

#[test]
fn committed_experiments() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let files = fs::read_dir(folder).unwrap();
    let mut paths: Vec<_> = files.map(|file| file.unwrap().path()).collect();
    paths.sort();
    let names = paths.iter().map(|path| path.file_stem().unwrap());
    assert!(names.eq(EXPERIMENTS));
    let output = Command::new(env!("CARGO_BIN_EXE_hazelyoke-bench"))
        .args(["run", "--check"])
        .args(&paths)
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
}
