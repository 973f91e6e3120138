//! The settings tree: inheritance, includes, and the findings of one check, all reported together.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        settings::{
            raw_tree::{RawTree, ValueSource},
            tree::Tree,
            values::{Guard, SETTING_NAMES, Settings},
        },
        shared::{
            findings::Findings,
            units::{Millis, Share},
        },
    },
    std::collections::BTreeMap,
};

/// Texts of a tree's values, by name.
struct Texts(BTreeMap<&'static str, String>);

impl ValueSource for Texts {
    type Error = &'static str;

    fn read(&self, name: &str) -> Result<Vec<u8>, Self::Error> {
        let text = self.0.get(name).ok_or("there is no such value")?;
        Ok(text.clone().into_bytes())
    }
}

fn read(texts: &[(&'static str, &str)]) -> Result<Tree, Findings> {
    let texts = texts.iter().map(|(name, text)| (*name, (*text).to_owned()));
    Tree::try_from(RawTree::read(&Texts(texts.collect()), "root")?)
}

fn findings(text: &str) -> String {
    read(&[("root", text)]).unwrap_err().to_string()
}

const SMALL: &str = r#"{
  "version": 3, "name": "top", "data_centres": ["a"],
  "settings": { "deadline": "2s", "retry_budget": "5%" },
  "services": {
    "enc": { "kind": "plain", "settings": { "floor": "7ms" },
      "endpoints": { "enc-1": { "address": "10.0.0.1:80", "data_centre": "a" } } },
    "pay": { "kind": "plain", "settings": { "repeatable": false, "guard": "endpoint" },
      "endpoints": { "pay-1": { "address": "10.0.0.2:80", "data_centre": "a" } } }
  },
  "customers": { "c": { "pipelines": { "p": { "deadline": "500ms" } } } },
  "pipelines": { "p": { "settings": { "deadline": "1s" }, "stages": [
    { "name": "one", "service": "enc", "settings": { "attempts": 2 } },
    { "name": "two", "service": "pay" }
  ] } }
}"#;

#[test]
fn inherited_values() {
    let tree = read(&[("root", SMALL)]).unwrap();
    let pipeline = &tree.pipelines[&"p".parse().unwrap()];
    let [one, two] = pipeline.stages.as_slice() else {
        panic!("two stages");
    };
    // Request settings come from the pipeline, call settings from the service.
    assert_eq!(one.settings.deadline.value, Millis(1_000));
    assert_eq!(one.settings.floor.value, Millis(7));
    assert_eq!(one.settings.attempts.value.0, 2);
    assert_eq!(one.settings.retry_budget.value, Share(0.05));
    assert!(!two.settings.repeatable.value);
    assert_eq!(two.settings.guard.value, Guard::Endpoint);
    let customer = &tree.customers[&"c".parse().unwrap()];
    let settings = tree.request_settings(customer, pipeline);
    assert_eq!(settings.deadline.value, Millis(500));
}

#[test]
fn value_origins() {
    let tree = read(&[("root", SMALL)]).unwrap();
    let node = tree.find_node("stages/one").unwrap();
    assert_eq!(&*node.path, "top/pipelines/p/stages/one");
    let origin = |name: &str| {
        let entries = node.settings.entries();
        let entry = entries.into_iter().find(|entry| entry.name == name);
        entry.unwrap().origin.to_string()
    };
    assert_eq!(origin("deadline"), "top/pipelines/p at root:11:51");
    assert_eq!(origin("floor"), "top/services/enc at root:5:54");
    assert_eq!(origin("guard"), "built-in");
}

#[test]
fn shared_settings() {
    let text = SMALL.replace(r#""c": {"#, r#""b": {}, "d": {}, "c": {"#);
    let tree = read(&[("root", &text)]).unwrap();
    let settings = |name: &str| tree.customers[&name.parse().unwrap()].settings.clone();
    assert!(std::sync::Arc::ptr_eq(&settings("b"), &settings("d")));
}

#[test]
fn built_in_defaults() {
    let entries = Settings::built_in().entries();
    let names: Vec<_> = entries.iter().map(|entry| entry.name).collect();
    assert_eq!(names, SETTING_NAMES);
}

#[test]
fn all_findings() {
    let text = SMALL
        .replace(
            r#""deadline": "2s""#,
            r#""deadline": "2 parsecs", "colour": 1"#,
        )
        .replace(r#""service": "enc""#, r#""service": "nobody""#)
        .replace(
            r#""data_centre": "a" } } },"#,
            r#""data_centre": "b" } } },"#,
        )
        .replace(r#""customers": {"#, r#""custommers": {}, "customers": {"#);
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn short_deadline() {
    let text = SMALL.replace(r#""deadline": "1s""#, r#""deadline": "7ms""#);
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn loosened_guard() {
    let text = SMALL.replace(
        r#""service": "pay" }"#,
        r#""service": "pay", "settings": { "repeatable": true, "guard": "none" } }"#,
    );
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn guard_repeatable() {
    let text = SMALL.replace(r#""repeatable": false, "#, "");
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn missing_parent_value() {
    let text = SMALL.replace(r#""c": {"#, r#""c": { "settings": { "rate": null },"#);
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn duplicate_ids() {
    let group = r#""groups": { "g": { "customers": { "c": {} }, "services": {
        "enc": { "kind": "plain", "endpoints": {
            "enc-1": { "address": "10.0.0.1:80", "data_centre": "a" } } } } } },"#;
    let text = SMALL.replace(r#""customers": {"#, &format!(r#"{group} "customers": {{"#));
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn twice_written_field() {
    let text = SMALL.replace(r#""c": {"#, r#""c": {}, "c": {"#);
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn include_values() {
    let root = r#"{ "version": 1, "name": "top", "data_centres": ["a"],
        "settings": { "priority": "low" },
        "groups": { "g": { "include": "part" } } }"#;
    let part = r#"{ "customers": { "c": {} } }"#;
    let tree = read(&[("root", root), ("part", part)]).unwrap();
    let node = tree.find_node("customers/c").unwrap();
    assert_eq!(&*node.path, "top/g/customers/c");
    let customer = &tree.customers[&"c".parse().unwrap()];
    assert_eq!(customer.settings.priority.value.to_string(), "low");
}

#[test]
fn include_cycle() {
    let root = r#"{ "version": 1, "name": "top", "groups": { "g": { "include": "part" } } }"#;
    let part = r#"{ "groups": { "h": { "include": "root" } } }"#;
    let findings = read(&[("root", root), ("part", part)]).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn missing_include() {
    let root = r#"{ "version": 1, "name": "top", "groups": { "g": { "include": "part" } } }"#;
    insta::assert_snapshot!(findings(root));
}

#[test]
fn damaged_text() {
    insta::assert_snapshot!(findings("{ \"version\": 1,\n  \"name\" \"top\" }"));
    insta::assert_snapshot!(findings(&"[".repeat(100)));
    insta::assert_snapshot!(findings(""));
}

#[test]
fn invalid_utf8() {
    let error =
        hazelyoke_lib::settings::document::parse_bytes("f", b"{\n \"a\xff\": 1}").unwrap_err();
    insta::assert_snapshot!(error.to_string());
}
