//! A random number generator with a fixed seed, which gives the same numbers on every host and in every run.

/// A random number generator (`SplitMix64`) whose numbers depend only on its seed.
#[derive(Debug, Clone)]
pub struct Draws(u64);

impl Draws {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a random number below `bound`, which must not be zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % bound
    }

    /// Returns true with a probability of `share` percent.
    pub fn percent(&mut self, share: u64) -> bool {
        self.below(100) < share
    }

    /// Returns a random element of `values`, which must not be empty.
    pub fn pick<'a, T>(&mut self, values: &'a [T]) -> &'a T {
        &values[self.below(values.len() as u64) as usize]
    }
}
