//! Parsing and checks of the settings of one pipeline daemon.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use hazelyoke_lib::{
    pipeline::daemon_settings::{DaemonSettings, RawDaemonSettings},
    shared::{
        findings::Findings,
        units::{Millis, Share},
    },
};

const EXAMPLE: &str = include_str!("../../examples/daemon.jsonc");

fn parse(text: &str) -> Result<DaemonSettings, Findings> {
    RawDaemonSettings::parse("daemon.jsonc", text.as_bytes())?.try_into()
}

#[test]
fn example_file() {
    let settings = parse(EXAMPLE).unwrap();
    assert_eq!(settings.host.as_str(), "entry-1");
    assert_eq!(settings.config.poll, Millis(1_000));
    assert_eq!(settings.traces.unwrap().sample, Share(0.01));
}

#[test]
fn shown_defaults() {
    // The example file sets each optional field to its default; these settings leave them out.
    let short = r#"{
        "host": "entry-1", "data_centre": "ikeja", "listen": "127.0.0.1:8080",
        "config": { "address": "127.0.0.1:7000", "tree": "tree.jsonc" },
        "traces": { "collector": "http://127.0.0.1:4318" }
    }"#;
    assert_eq!(parse(short).unwrap(), parse(EXAMPLE).unwrap());
}

#[test]
fn all_findings() {
    let text = r#"{
  "host": "entry 1",
  "listen": "localhost:80",
  "config": { "address": "127.0.0.1:7000", "poll": "0s" },
  "trace": {}
}"#;
    insta::assert_snapshot!(parse(text).unwrap_err().to_string());
}
