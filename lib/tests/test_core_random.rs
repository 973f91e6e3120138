//! Long runs of the real core on drawn events, with faults at any moment.
//!
//! They guard against a request that gets no answer, two, or a wrong one, a guarded call that runs twice, and an
//! outcome `not_run` for a request of which a call ran.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    arbtest::arbitrary::Unstructured,
    hazelyoke_lib::{
        settings::{raw_tree::RawTree, tree::Tree},
        shared::problem::Outcome,
    },
    hazelyoke_testutils::{
        core_run::{CoreRun, Reported, RunOptions, TOKENS},
        draws::Draws,
        one_value::OneValue,
        seeds::for_seeds,
    },
    std::{cell::Cell, fmt::Write as _, sync::Arc},
};

/// Builds a settings tree of three plain services and an engine. `guarded` holds the settings of the service `pay`.
fn tree(policy: &str, guarded: &str, slots: u32) -> Arc<Tree> {
    let mut port = 0;
    let mut service = |name: &str, kind: &str, settings: &str| {
        let endpoints: Vec<_> = (0..3)
            .map(|i| {
                port += 1;
                let centre = ["a", "b"][i % 2];
                format!(
                    r#""{name}-{i}": {{ "address": "10.0.0.1:{port}", "data_centre": "{centre}" }}"#
                )
            })
            .collect();
        let endpoints = endpoints.join(", ");
        format!(
            r#""{name}": {{ {kind}, "settings": {{ {settings} }}, "endpoints": {{ {endpoints} }} }}"#
        )
    };
    let plain = r#""kind": "plain""#;
    let services = [
        service("enc", plain, r#""hedge_after": "100ms""#),
        service("rank", plain, ""),
        service("pay", plain, guarded),
        service("llm", r#""kind": "engine", "model": "m""#, ""),
    ]
    .join(",\n");
    let text = format!(
        r#"{{
  "version": 1, "name": "top", "data_centres": ["a", "b"],
  "settings": {{ "policy": "{policy}", "max_tokens": {TOKENS}, "slots": {slots} }},
  "services": {{ {services} }},
  "customers": {{ "c": {{}} }},
  "pipelines": {{
    "ask": {{ "stages": [
      {{ "name": "encode", "service": "enc" }}, {{ "name": "rerank", "service": "rank" }},
      {{ "name": "generate", "service": "llm" }} ] }},
    "pay": {{ "stages": [
      {{ "name": "encode", "service": "enc" }}, {{ "name": "guarded", "service": "pay" }},
      {{ "name": "rerank", "service": "rank" }} ] }},
    "note": {{ "stages": [
      {{ "name": "generate", "service": "llm" }}, {{ "name": "encode", "service": "enc" }} ] }}
  }}
}}"#
    );
    Tree::try_from(RawTree::read(&OneValue::from(text), "root").unwrap())
        .unwrap()
        .into()
}

const GUARDED: &str = r#""repeatable": false, "guard": "endpoint""#;

const FAULTY: RunOptions = RunOptions {
    requests: 40,
    faults: true,
    lying: false,
};

/// Number of seeds of a long series of runs.
const MANY: u64 = 3_000;

/// Number of seeds of a short series of runs.
const FEW: u64 = 200;

/// Bytes from which the choices of one run are drawn.
const CHOICES: u32 = 1 << 13;

/// Runs some seeds and returns whether the observer found a violation in any of them.
fn any_violation(tree: &Arc<Tree>, options: RunOptions) -> bool {
    let violated = Cell::new(false);
    for_seeds(FEW, CHOICES, |u| {
        let findings = CoreRun::new(tree.clone(), options, u).run()?;
        violated.set(violated.get() || !findings.violations.is_empty());
        Ok(())
    });
    violated.get()
}

fn assert_no_violation(policy: &str) {
    let tree = tree(policy, GUARDED, 8);
    for_seeds(MANY, CHOICES, |u| {
        let findings = CoreRun::new(tree.clone(), FAULTY, u).run()?;
        assert!(findings.violations.is_empty(), "{:#?}", findings.violations);
        Ok(())
    });
}

#[test]
fn estimated_keeps_promises() {
    assert_no_violation("estimated");
}

#[test]
fn naive_keeps_promises() {
    assert_no_violation("naive");
}

#[test]
fn same_without_faults() {
    let estimated = tree("estimated", GUARDED, 64);
    let naive = tree("naive", GUARDED, 64);
    let calm = RunOptions {
        requests: 10,
        faults: false,
        lying: false,
    };
    for_seeds(FEW, CHOICES, |u| {
        let bytes = u.bytes(u.len())?;
        let mut one = Unstructured::new(bytes);
        let mut other = Unstructured::new(bytes);
        let one = CoreRun::new(estimated.clone(), calm, &mut one).run()?;
        let other = CoreRun::new(naive.clone(), calm, &mut other).run()?;
        assert_eq!(one, other);
        let mut reported = one.reported.iter();
        assert!(reported.all(|end| *end == Some(Reported::Answered)));
        Ok(())
    });
}

#[test]
fn repeat_is_noticed() {
    // Without the settings that forbid to repeat a guarded call, the observer has to find calls that ran twice.
    assert!(any_violation(&tree("estimated", "", 8), FAULTY));
}

#[test]
fn lie_is_noticed() {
    // The endpoints run calls that they report as not run: the observer has to find a false `not_run`.
    let lying = RunOptions {
        lying: true,
        ..FAULTY
    };
    assert!(any_violation(&tree("estimated", GUARDED, 8), lying));
}

#[test]
fn all_outcomes_occur() {
    // Guards against runs in which one of the outcomes never occurs, so that the checks above would be empty.
    let tree = tree("estimated", GUARDED, 8);
    let seen = Cell::new([false; 3]);
    for_seeds(FEW, CHOICES, |u| {
        for end in CoreRun::new(tree.clone(), FAULTY, u).run()?.reported {
            let mut now = seen.get();
            match end {
                Some(Reported::Answered) => now[0] = true,
                Some(Reported::Problem(Outcome::NotRun)) => now[1] = true,
                Some(Reported::Problem(_)) => now[2] = true,
                Some(Reported::Wrong) | None => {}
            }
            seen.set(now);
        }
        Ok(())
    });
    assert_eq!(seen.get(), [true; 3]);
}

/// Pins the outcomes of some fixed runs, with a letter for each request in order of arrival: `+` answered, `W` wrong
/// answer, `n` not run, `u` unknown, `-` caller left.
#[test]
fn outcomes_pinned() {
    let letter = |reported: &Option<Reported>| match reported {
        Some(Reported::Answered) => '+',
        Some(Reported::Wrong) => 'W',
        Some(Reported::Problem(Outcome::NotRun)) => 'n',
        Some(Reported::Problem(_)) => 'u',
        None => '-',
    };
    let mut lines = String::new();
    for (policy, slots) in [("estimated", 8), ("estimated", 1), ("naive", 8)] {
        let tree = tree(policy, GUARDED, slots);
        for seed in 1..=10 {
            let mut draws = Draws::new(seed);
            let bytes: Vec<u8> = (0..CHOICES).map(|_| draws.below(256) as u8).collect();
            let mut choices = Unstructured::new(&bytes);
            let run = CoreRun::new(tree.clone(), FAULTY, &mut choices).run();
            let letters: String = run.unwrap().reported.iter().map(letter).collect();
            writeln!(lines, "{policy} {slots} {seed:2}: {letters}").unwrap();
        }
    }
    insta::assert_snapshot!(lines);
}
