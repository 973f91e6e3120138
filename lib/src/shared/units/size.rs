//! Sizes in bytes.

use {
    super::quantity::{NumberWithUnit, UnitError, unit_error},
    std::{fmt, str::FromStr},
};

/// Bytes in one KB, MB and GB of the settings, which are powers of 1024.
const KB: u64 = 1 << 10;
const MB: u64 = 1 << 20;
const GB: u64 = 1 << 30;

/// A size in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteSize(pub u64);

impl ByteSize {
    const EXPECTED: &'static str = "a size such as \"512B\", \"64KB\" or \"1MB\"";

    /// Largest size that settings accept: one gigabyte.
    pub const MAX: ByteSize = ByteSize(GB);
}

/// Reads `512B`, `64KB`, `1MB` or `1GB`; fractions are rounded to whole bytes.
impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let factor = |unit| match unit {
            "B" => Some(1),
            "KB" => Some(KB),
            "MB" => Some(MB),
            "GB" => Some(GB),
            _ => None,
        };
        let parsed = NumberWithUnit::parse(text)
            .and_then(|written| Some(written.number * factor(written.unit)? as f64));
        match parsed {
            Some(bytes) if bytes <= Self::MAX.0 as f64 => Ok(Self(bytes.round() as u64)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

/// Writes the size in the largest unit of which it is a whole number.
impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_whole = |unit: u64| self.0 > 0 && self.0.is_multiple_of(unit);
        if is_whole(GB) {
            write!(f, "{}GB", self.0 / GB)
        } else if is_whole(MB) {
            write!(f, "{}MB", self.0 / MB)
        } else if is_whole(KB) {
            write!(f, "{}KB", self.0 / KB)
        } else {
            write!(f, "{}B", self.0)
        }
    }
}
