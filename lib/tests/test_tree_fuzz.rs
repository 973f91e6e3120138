//! Damaged settings never cause a panic, and every finding has a location.

use {
    arbtest::arbitrary::{Result, Unstructured},
    hazelyoke_lib::{
        pipeline::daemon_settings::{DaemonSettings, RawDaemonSettings},
        settings::{raw_tree::RawTree, tree::Tree},
        shared::findings::Findings,
    },
    hazelyoke_testutils::{one_value::OneValue, seeds::for_seeds},
};

/// Number of seeds of each test, and number of random bytes that each run may consume.
const SEEDS: u64 = 3_000;
const CHOICES: u32 = 256;

const TREE: &str = include_str!("../../examples/bureau/payments.jsonc");
const ROOT: &str = include_str!("../../examples/bureau/tree.jsonc");
const DAEMON: &str = include_str!("../../examples/daemon.jsonc");

/// Fragments that a mutation inserts in place of a range.
const FRAGMENTS: [&[u8]; 12] = [
    b"{", b"}", b"[", b"]", b",", b"null", b"\"", b"-1", b"1e999", b"\xff", b"\"4s\"", b"//",
];

/// Removes, duplicates or replaces up to four ranges of a text.
fn mutate(u: &mut Unstructured<'_>, text: &str) -> Result<Vec<u8>> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..u.int_in_range(1..=4)? {
        let from = u.int_in_range(0..=bytes.len())?;
        let to = (from + u.int_in_range(0..=20)?).min(bytes.len());
        let fragment: Vec<u8> = match u.int_in_range(0..=2)? {
            0 => Vec::new(),
            1 => bytes[from..to].repeat(2),
            _ => u.choose(&FRAGMENTS)?.to_vec(),
        };
        bytes.splice(from..to, fragment);
    }
    Ok(bytes)
}

fn assert_locations(findings: &Findings) {
    assert!(!findings.is_empty(), "refused without a finding");
    for finding in findings.iter() {
        assert!(finding.location.line >= 1 && finding.location.col >= 1);
        assert!(!finding.message.is_empty() && !finding.hint.is_empty());
    }
}

#[test]
fn mutated_trees() {
    for_seeds(SEEDS, CHOICES, |u| {
        let text = *u.choose(&[TREE, ROOT])?;
        let source = OneValue(mutate(u, text)?);
        let checked = RawTree::read(&source, "root").and_then(Tree::try_from);
        if let Err(findings) = checked {
            assert_locations(&findings);
        }
        Ok(())
    });
}

#[test]
fn mutated_daemon_settings() {
    for_seeds(SEEDS, CHOICES, |u| {
        let bytes = mutate(u, DAEMON)?;
        let checked = RawDaemonSettings::parse("f", &bytes).and_then(DaemonSettings::try_from);
        if let Err(findings) = checked {
            assert_locations(&findings);
        }
        Ok(())
    });
}
