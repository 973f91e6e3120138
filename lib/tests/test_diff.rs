//! Which nodes a change of the tree affects.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::settings::{diff::diff, raw_tree::RawTree, tree::Tree},
    hazelyoke_testutils::one_value::OneValue,
};

const TREE: &str = r#"{
  "version": 1, "name": "top", "data_centres": ["a", "b"],
  "services": {
    "enc": { "kind": "plain",
      "endpoints": { "enc-1": { "address": "10.0.0.1:80", "data_centre": "a" } } },
    "llm": { "kind": "engine", "model": "m",
      "endpoints": { "llm-1": { "address": "10.0.0.2:80", "data_centre": "a" } } }
  },
  "customers": { "c": {}, "d": {} },
  "pipelines": {
    "p": { "stages": [{ "name": "one", "service": "enc" }, { "name": "two", "service": "llm" }] },
    "q": { "stages": [{ "name": "one", "service": "enc" }] }
  }
}"#;

fn changes(replace: &[(&str, &str)]) -> String {
    let new = replace
        .iter()
        .fold(TREE.to_owned(), |text, (old, new)| text.replace(old, new));
    let read = |text: String| {
        Tree::try_from(RawTree::read(&OneValue::from(text), "root").unwrap()).unwrap()
    };
    let lines = diff(&read(TREE.to_owned()), &read(new))
        .into_iter()
        .flat_map(|change| {
            let head = format!("{} {}", change.kind, change.name);
            let details = change
                .details
                .into_iter()
                .map(|detail| format!("  {detail}"));
            std::iter::once(head).chain(details).collect::<Vec<_>>()
        });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn nothing_changed() {
    assert_eq!(changes(&[("\"version\": 1", "\"version\": 2")]), "");
}

#[test]
fn service_setting() {
    let change = (
        r#""kind": "plain","#,
        r#""kind": "plain", "settings": { "attempts": 5 },"#,
    );
    insta::assert_snapshot!(changes(&[change]));
}

#[test]
fn top_setting() {
    let change = (
        r#""services""#,
        r#""settings": { "deadline": "3s" }, "services""#,
    );
    insta::assert_snapshot!(changes(&[change]));
}

#[test]
fn moved_nodes() {
    insta::assert_snapshot!(changes(&[
        (
            r#""d": {}"#,
            r#""e": { "pipelines": { "q": { "deadline": "1s" } } }"#
        ),
        ("10.0.0.2:80", "10.0.0.3:80"),
        (
            r#""name": "two", "service": "llm""#,
            r#""name": "two", "service": "enc""#
        ),
        (r#""model": "m""#, r#""model": "n""#),
    ]));
}
