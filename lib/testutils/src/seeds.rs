//! Randomised runs over a fixed series of seeds, so that every run gives one verdict.

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};

/// Bits below a seed's number that `arbtest` takes as the size of its input.
const SIZE_BITS: u32 = 32;

/// Set to a number to run so many times as many seeds.
const FACTOR: &str = "HAZELYOKE_SEEDS_FACTOR";

/// Returns the factor on the number of seeds; 1 where it isn't set.
fn factor() -> u64 {
    let text = std::env::var(FACTOR);
    text.map_or(1, |text| text.parse().expect("a factor is a whole number"))
}

/// Runs `property` once for each of `count` seeds, with `size` bytes of choices each.
///
/// A failing seed is printed by `arbtest`; running it alone repeats the failure.
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
