//! Revisions of the directory: an era, and the number of a change in it.
//!
//! A directory that is restored from an older copy of itself assigns numbers a second time, so that a number alone is
//! ambiguous. Revisions are compared by era first. Messages between daemons carry numbers and, once per message, the
//! era: daemons of a release without eras read the numbers only.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Number of a history of the directory. It rises by one when the directory is restored from an older copy of itself; 0
/// if the directory doesn't name its era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// Largest era that counts as true. The directory would have to be restored four billion times to get there.
const MAX_ERA: Era = Era(u32::MAX as u64);

/// Largest number of a change that counts as true. A directory that makes a billion changes a second takes centuries to get
/// there.
const MAX_NUMBER: u64 = i64::MAX as u64;

impl Era {
    /// Returns whether a directory may be in this era. Everything that is older than the latest era is ignored, so that a
    /// wrong one would make all that follows look old.
    pub fn is_plausible(self) -> bool {
        self <= MAX_ERA
    }

    /// Returns whether the directory doesn't name its era. Messages omit such an era.
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

/// Position of a change in the directory's history; also the position up to which all changes are known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Era in which the number was assigned.
    pub era: Era,
    /// Number of the change in the era; 0 before the first change.
    pub number: u64,
}

impl Revision {
    /// A revision after all others.
    pub const MAX: Self = Self {
        era: Era(u64::MAX),
        number: u64::MAX,
    };

    /// Creates a revision from an era and a number.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Creates a revision that another process reports. One that no directory reaches counts as that before the first change,
    /// since everything older than the latest revision is ignored.
    pub fn reported(era: Era, number: u64) -> Self {
        if era.is_plausible() && number <= MAX_NUMBER {
            Self::new(era, number)
        } else {
            Self::default()
        }
    }

    /// Returns the number that represents this revision in a message of an era. A revision of an earlier era becomes 0,
    /// which is before all changes of the message's era.
    pub fn number_in(self, era: Era) -> u64 {
        if self.era == era { self.number } else { 0 }
    }

    /// Returns whether this revision is of the same era as another one and at most one number after it, so that no
    /// change is between them.
    pub fn follows(self, other: Self) -> bool {
        self.era == other.era && self.number <= other.number.saturating_add(1)
    }
}

/// Creates a revision of a directory that names no era.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self::new(Era::default(), number)
    }
}

/// Writes the era, if the directory names it, and the number, separated by a point: `2.91`.
impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.era.is_unnamed() {
            write!(f, "{}.", self.era)?;
        }
        self.number.fmt(f)
    }
}

/// Serializes the number of a revision only; the receiver of the message sets the era.
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
