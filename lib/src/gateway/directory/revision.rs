//! Place of a change in the directory's history.

use std::{fmt, num::ParseIntError, str::FromStr};

/// One history of the directory. It rises by one when the directory comes back from an older copy of itself and gives out
/// revisions again; 0 where the directory doesn't name it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
