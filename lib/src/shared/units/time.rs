//! Durations in milliseconds, and points in time in microseconds.

use {
    super::quantity::{NumberWithUnit, UnitError, unit_error},
    serde::{Deserialize, Serialize},
    std::{fmt, ops, str::FromStr, time::Duration},
};

/// Microseconds in one millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// Milliseconds in one second, one minute and one hour.
const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MINUTE;

/// A duration in whole milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    const EXPECTED: &'static str = "a duration such as \"250ms\", \"4s\" or \"2m\"";

    /// Longest duration that settings accept: one day.
    pub const MAX: Millis = Millis(24 * MILLIS_PER_HOUR);

    /// Converts to the duration type of the standard library.
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Reads `250ms`, `4s`, `2m` or `1h`; fractions are rounded to whole milliseconds.
impl FromStr for Millis {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let factor = |unit| match unit {
            "ms" => Some(1),
            "s" => Some(MILLIS_PER_SECOND),
            "m" => Some(MILLIS_PER_MINUTE),
            "h" => Some(MILLIS_PER_HOUR),
            _ => None,
        };
        let parsed = NumberWithUnit::parse(text)
            .and_then(|written| Some(written.number * factor(written.unit)? as f64));
        match parsed {
            Some(millis) if millis <= Self::MAX.0 as f64 => Ok(Self(millis.round() as u64)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

/// Writes whole seconds as `4s`, everything else as `250ms`.
impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 > 0 && self.0.is_multiple_of(MILLIS_PER_SECOND) {
            write!(f, "{}s", self.0 / MILLIS_PER_SECOND)
        } else {
            write!(f, "{}ms", self.0)
        }
    }
}

/// A point in time of the daemon's monotonic clock, in microseconds since the clock was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the fractional milliseconds since `earlier`, zero if `earlier` is later.
    pub fn millis_since(self, earlier: Time) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / MICROS_PER_MILLI as f64
    }
}

/// Adds a duration; the sum saturates at the largest time.
impl ops::Add<Millis> for Time {
    type Output = Time;

    fn add(self, span: Millis) -> Time {
        let micros = span.0.saturating_mul(MICROS_PER_MILLI);
        Time(self.0.saturating_add(micros))
    }
}

/// Subtracts a duration; the difference saturates at zero.
impl ops::Sub<Millis> for Time {
    type Output = Time;

    fn sub(self, span: Millis) -> Time {
        let micros = span.0.saturating_mul(MICROS_PER_MILLI);
        Time(self.0.saturating_sub(micros))
    }
}

/// Adds a duration; the sum saturates at the largest time.
impl ops::Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.as_micros() as u64))
    }
}

/// Subtracts a duration; the difference saturates at zero.
impl ops::Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_micros() as u64))
    }
}

/// An estimated duration of work, in fractional milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkMillis(pub f64);

/// Adds a duration of work, rounded down to whole microseconds.
impl ops::Add<WorkMillis> for Time {
    type Output = Time;

    fn add(self, span: WorkMillis) -> Time {
        Time(self.0.saturating_add(span.micros()))
    }
}

impl WorkMillis {
    /// Returns the whole microseconds, zero if the duration is negative.
    fn micros(self) -> u64 {
        (self.0 * MICROS_PER_MILLI as f64) as u64
    }
}

impl fmt::Display for WorkMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}ms", self.0)
    }
}
