//! Newtypes for times, sizes, rates and shares, with the texts that settings use for them.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, ops, str::FromStr, time::Duration},
    thiserror::Error,
};

/// Reports a text that isn't a quantity of the expected unit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not {expected}")]
pub struct UnitError {
    /// The text found.
    pub text: String,
    /// Describes the form that is accepted.
    pub expected: &'static str,
}

fn unit_error<T>(text: &str, expected: &'static str) -> Result<T, UnitError> {
    Err(UnitError {
        text: text.into(),
        expected,
    })
}

/// Splits `"250ms"` into its number and its unit; the number has to be finite and not negative.
fn split_unit(text: &str) -> Option<(f64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    number.is_finite().then(|| (number, text[end..].trim()))
}

/// Measures a length of time in whole milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    const EXPECTED: &'static str = "a duration such as \"250ms\", \"4s\" or \"2m\"";

    /// Longest duration that settings accept: one day.
    pub const MAX: Millis = Millis(24 * 60 * 60 * 1000);

    /// Returns the duration for the standard library and `tokio`.
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let factor = |unit| match unit {
            "ms" => Some(1.0),
            "s" => Some(1_000.0),
            "m" => Some(60_000.0),
            "h" => Some(3_600_000.0),
            _ => None,
        };
        let parsed = split_unit(text).and_then(|(n, unit)| Some(n * factor(unit)?));
        match parsed {
            Some(ms) if ms <= Self::MAX.0 as f64 => Ok(Self(ms.round() as u64)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 > 0 && self.0.is_multiple_of(1000) {
            write!(f, "{}s", self.0 / 1000)
        } else {
            write!(f, "{}ms", self.0)
        }
    }
}

/// A point on the daemon's monotonic clock, in microseconds since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time that has passed since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the milliseconds since `earlier` with their fraction, zero if `earlier` is later.
    pub fn millis_since(self, earlier: Time) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1000.0
    }
}

impl ops::Add<Millis> for Time {
    type Output = Time;

    fn add(self, span: Millis) -> Time {
        Time(self.0.saturating_add(span.0.saturating_mul(1000)))
    }
}

/// Measures processing capacity, in thousandths of a core.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Capacity(pub u32);

impl Capacity {
    const EXPECTED: &'static str = "a number of cores such as \"0.25\" or \"2\"";

    /// Returns the capacity of a number of cores; what isn't a positive number counts as none.
    pub fn from_cores(cores: f64) -> Self {
        Self((cores * 1000.0).round() as u32)
    }
}

impl FromStr for Capacity {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.parse::<f64>() {
            Ok(cores) if cores.is_finite() && cores >= 0.0 => Ok(Self::from_cores(cores)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / 1000.0)
    }
}

/// Measures a size in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteSize(pub u64);

impl ByteSize {
    const EXPECTED: &'static str = "a size such as \"512B\", \"64KB\" or \"1MB\"";

    /// Largest size that settings accept: one gigabyte.
    pub const MAX: ByteSize = ByteSize(1 << 30);
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let factor = |unit| match unit {
            "B" => Some(1u64),
            "KB" => Some(1 << 10),
            "MB" => Some(1 << 20),
            "GB" => Some(1 << 30),
            _ => None,
        };
        let parsed = split_unit(text).and_then(|(n, unit)| Some(n * factor(unit)? as f64));
        match parsed {
            Some(bytes) if bytes <= Self::MAX.0 as f64 => Ok(Self(bytes.round() as u64)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const UNITS: [(u64, &str); 3] = [(1 << 30, "GB"), (1 << 20, "MB"), (1 << 10, "KB")];
        let whole = |(size, _): &&(u64, &str)| self.0 > 0 && self.0.is_multiple_of(*size);
        match UNITS.iter().find(whole) {
            Some((size, unit)) => write!(f, "{}{unit}", self.0 / size),
            None => write!(f, "{}B", self.0),
        }
    }
}

/// A rate in events a second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl Rate {
    const EXPECTED: &'static str = "a rate such as \"50/s\"";
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match split_unit(text) {
            Some((n, "/s")) if n > 0.0 => Ok(Self(n)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// A share of a whole, between 0 and 1, written in percent.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Share(pub f64);

impl Share {
    const EXPECTED: &'static str = "a share such as \"10%\", 100% at most";
}

impl FromStr for Share {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match split_unit(text) {
            Some((n, "%")) if n <= 100.0 => Ok(Self(n / 100.0)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", (self.0 * 1e6).round() / 1e4)
    }
}

/// A count between 1 and a million: of tokens, calls or tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Count(pub u32);

impl Count {
    const EXPECTED: &'static str = "a whole number from 1 to 1000000";
    const MAX: u32 = 1_000_000;
}

impl FromStr for Count {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.parse() {
            Ok(n) if (1..=Self::MAX).contains(&n) => Ok(Self(n)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A quantity that can be left out; written `none` in settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub struct Maybe<T>(pub Option<T>);

/// The text that stands for a quantity left out.
pub const NONE_TEXT: &str = "none";

impl<T: FromStr> FromStr for Maybe<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, T::Err> {
        if text == NONE_TEXT {
            return Ok(Self(None));
        }
        text.parse().map(|value| Self(Some(value)))
    }
}

impl<T: fmt::Display> fmt::Display for Maybe<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str(NONE_TEXT),
        }
    }
}

/// Milliseconds of work as estimates use them, with a fraction.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkMillis(pub f64);

impl fmt::Display for WorkMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}ms", self.0)
    }
}
