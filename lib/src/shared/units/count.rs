//! Counts of tokens, calls or attempts.

use {
    super::quantity::{UnitError, unit_error},
    std::{fmt, str::FromStr},
};

/// A count between 1 and a million: of tokens, calls or attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Count(pub u32);

impl Count {
    const EXPECTED: &'static str = "a whole number from 1 to 1000000";

    /// Largest count that settings accept.
    const MAX: u32 = 1_000_000;
}

impl FromStr for Count {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.parse() {
            Ok(count) if (1..=Self::MAX).contains(&count) => Ok(Self(count)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
