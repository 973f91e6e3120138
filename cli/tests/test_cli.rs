//! Exit codes and output of the command-line program.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_testutils::fixture::Fixture,
    std::{path::Path, process::Command},
};

/// Runs the program in the repository's root; returns the exit code and the output, standard output first.
fn run(args: &[&str]) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let output = Command::new(env!("CARGO_BIN_EXE_hazelyoke"))
        .args(args)
        .current_dir(root)
        .output()
        .unwrap();
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[test]
fn check_examples() {
    insta::assert_snapshot!(run(&[
        "check",
        "examples/bureau/tree.jsonc",
        "examples/pwani-mnada/tree.jsonc"
    ]));
}

#[test]
fn check_findings() {
    insta::assert_snapshot!(run(&["check", "cli/tests/data/broken.jsonc"]));
}

#[test]
fn check_json() {
    let args = ["check", "cli/tests/data/broken.jsonc", "--format", "json"];
    insta::assert_snapshot!(run(&args));
}

#[test]
fn explain_stage() {
    let args = [
        "explain",
        "examples/bureau/tree.jsonc",
        "authorise-sale/stages/charge",
    ];
    insta::assert_snapshot!(run(&args));
}

#[test]
fn explain_unclear() {
    insta::assert_snapshot!(run(&[
        "explain",
        "examples/bureau/tree.jsonc",
        "stages/lookup"
    ]));
}

#[test]
fn diff_users() {
    let args = [
        "diff",
        "cli/tests/data/old.jsonc",
        "cli/tests/data/new.jsonc",
    ];
    insta::assert_snapshot!(run(&args));
}

#[test]
fn diff_backwards() {
    let args = [
        "diff",
        "cli/tests/data/new.jsonc",
        "cli/tests/data/old.jsonc",
    ];
    insta::assert_snapshot!(run(&args));
}

#[test]
fn bad_use() {
    insta::assert_snapshot!(run(&["check"]));
    insta::assert_snapshot!(run(&["frobnicate"]));
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_status() {
    let fixture = Fixture::start().await;
    let (daemon, _caller) = fixture.daemon().await;
    let address = daemon.address().to_string();
    let output = tokio::task::spawn_blocking(move || run(&["status", &address]));
    insta::assert_snapshot!(output.await.unwrap());
}

#[test]
fn absent_daemon() {
    let output = run(&["status", "127.0.0.1:1"]);
    assert!(output.starts_with("exit 1\n"), "{output}");
    assert!(output.contains("is the daemon running there?"), "{output}");
}

#[test]
fn why_known_request() {
    insta::assert_snapshot!(run(&[
        "why",
        "190be356ef9e3ad4",
        "cli/tests/data/front-1.log",
        "cli/tests/data/front-2.log"
    ]));
}

#[test]
fn why_unknown_request() {
    insta::assert_snapshot!(run(&["why", "none", "cli/tests/data/front-1.log"]));
}

#[test]
fn check_platform_findings() {
    let file = "cli/tests/data/platform-config.json";
    insta::assert_snapshot!(run(&["check-platform", "--config", file]));
}

#[test]
fn platform_without_files() {
    insta::assert_snapshot!(run(&["check-platform"]));
}

#[test]
fn report_of_hosts() {
    insta::assert_snapshot!(run(&[
        "report",
        "cli/tests/data/front-1.log",
        "cli/tests/data/front-2.log"
    ]));
}

#[test]
fn report_without_events() {
    insta::assert_snapshot!(run(&["report", "cli/tests/data/other.log"]));
}
