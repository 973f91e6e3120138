//! Settings of runs, from variables of the environment.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    std::{env, ops::Range, str::FromStr},
    tokio::task::LocalSet,
};

const DEFAULT_FACTOR: f64 = 5.0;

/// Default number of callers for each host.
const CALLERS_EACH: usize = 3;

pub fn setting<T: FromStr>(name: &str, default: T) -> T {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs all seeds, each on a runtime of its own.
///
/// # Panics
///
/// Panics if a run has findings.
pub fn run_seeds(default: Range<u64>, run: impl AsyncFn(u64) -> Vec<String>) {
    let mut failed = Vec::new();
    for seed in seeds(default) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let findings = LocalSet::new().block_on(&runtime, run(seed));
        println!("seed {seed}: {} findings", findings.len());
        if !findings.is_empty() {
            failed.push(format!("seed {seed}:\n{}", findings.join("\n")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

fn seeds(default: Range<u64>) -> Range<u64> {
    let text = env::var("HAZELYOKE_HOST_SEEDS").ok();
    let range = text.as_deref().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    range.unwrap_or(default)
}

/// Returns the factor of the hosts' shares of a core, which makes up for a build without optimisation by default.
pub fn factor() -> f64 {
    setting("HAZELYOKE_HOST_FACTOR", DEFAULT_FACTOR)
}

/// Returns the number of callers for each host.
pub fn callers_each() -> usize {
    setting("HAZELYOKE_HOST_CALLERS", CALLERS_EACH)
}
