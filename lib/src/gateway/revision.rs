//! Places in the directory's history: its era, and the number of a change in it.
//!
//! A directory that comes back from an older copy of itself gives out numbers again, so that a number alone says nothing.
//! Places are compared by their era first. Messages between daemons carry numbers and, once for all of a message, the era:
//! daemons of a release that knows no era read the numbers as before.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// One history of the directory. It rises by one when the directory comes back from an older copy of itself; 0 where the
/// directory doesn't name it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl Era {
    /// Returns whether the directory doesn't name its era; as messages omit it.
    pub fn is_unnamed(&self) -> bool {
        *self == Self::default()
    }
}

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

/// Place of a change in the directory's history; also that up to which all changes are known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Its era.
    pub era: Era,
    /// Its number in the era; 0 before the first change.
    pub number: u64,
}

impl Revision {
    /// A place after all others.
    pub const MAX: Self = Self {
        era: Era(u64::MAX),
        number: u64::MAX,
    };

    /// Builds a place from an era and a number.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the number that stands for the place in a message of an era. What is of an earlier era comes before all
    /// changes of that one.
    pub fn number_in(self, era: Era) -> u64 {
        if self.era == era { self.number } else { 0 }
    }

    /// Returns whether the place directly follows another one, so that nothing is between them.
    pub fn follows(self, other: Self) -> bool {
        self.era == other.era && self.number <= other.number + 1
    }
}

/// A place in a directory that names no era.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self::new(Era::default(), number)
    }
}

/// Writes the number, after the era and a point if there is one: `2.91`.
impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.era.is_unnamed() {
            write!(f, "{}.", self.era)?;
        }
        self.number.fmt(f)
    }
}

/// Writes the number of a place into a message, whose receiver sets the era.
pub(crate) mod number_only {
    use {
        super::Revision,
        serde::{Deserialize, Deserializer, Serializer},
    };

    pub(crate) fn serialize<S: Serializer>(
        revision: &Revision,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(revision.number)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Revision, D::Error> {
        u64::deserialize(deserializer).map(Revision::from)
    }
}
