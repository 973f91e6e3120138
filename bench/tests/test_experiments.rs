//! Every experiment that is committed, the demo's among them, can be run.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{fs, path::Path, process::Command};

#[test]
fn committed_experiments() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let files = fs::read_dir(folder).unwrap();
    let paths: Vec<_> = files.map(|file| file.unwrap().path()).collect();
    assert!(paths.len() >= 8);
    let output = Command::new(env!("CARGO_BIN_EXE_hazelyoke-bench"))
        .args(["run", "--check"])
        .args(&paths)
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
}
