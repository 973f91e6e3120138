//! Randomised tests over a fixed series of seeds, so that every run has the same result.

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};

/// Number of low bits of a seed that `arbtest` interprets as the size of its input.
const SIZE_BITS: u32 = 32;

/// Environment variable with a factor by which the number of seeds is multiplied.
const FACTOR_VARIABLE: &str = "HAZELYOKE_SEEDS_FACTOR";

/// Returns the factor by which the number of seeds is multiplied, 1 by default.
fn factor() -> u64 {
    let text = std::env::var(FACTOR_VARIABLE);
    text.map_or(1, |text| text.parse().expect("a factor is a whole number"))
}

/// Runs `property` once for each of `count` seeds, with `size` random bytes each.
///
/// `arbtest` prints a failing seed. Running that seed alone reproduces the failure.
pub fn for_seeds(
    count: u64,
    size: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>,
) {
    for number in 1..=count * factor() {
        let seed = (number << SIZE_BITS) | u64::from(size);
        arbtest(&mut property).seed(seed).run();
    }
}
