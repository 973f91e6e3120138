//! Rates in events and in bits per second, and shares of a whole.

use {
    super::{
        quantity::{NumberWithUnit, UnitError, unit_error},
        size::ByteSize,
    },
    std::{fmt, str::FromStr, time::Duration},
};

/// A rate in events per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl Rate {
    const EXPECTED: &'static str = "a rate such as \"50/s\"";
}

/// Reads a rate above zero, such as `50/s`.
impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match NumberWithUnit::parse(text) {
            Some(NumberWithUnit { number, unit: "/s" }) if number > 0.0 => Ok(Self(number)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Bandwidth of a link, in bits per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct BitRate(pub f64);

/// Bits in one megabit: a power of ten, as in the ratings of links.
const BITS_PER_MEGABIT: f64 = 1e6;

/// Bits in a byte.
const BITS_PER_BYTE: f64 = 8.0;

impl BitRate {
    const EXPECTED: &'static str = "a bandwidth such as \"10Mbit/s\"";

    /// Returns the bandwidth of a number of megabits per second.
    pub fn from_megabits(megabits: f64) -> Self {
        Self(megabits * BITS_PER_MEGABIT)
    }

    /// Returns the time it takes to transfer `size` at this rate.
    pub fn time(self, size: ByteSize) -> Duration {
        Duration::from_secs_f64(size.0 as f64 * BITS_PER_BYTE / self.0)
    }
}

/// Reads a bandwidth above zero, such as `10Mbit/s`.
impl FromStr for BitRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match NumberWithUnit::parse(text) {
            Some(NumberWithUnit {
                number,
                unit: "Mbit/s",
            }) if number > 0.0 => Ok(Self::from_megabits(number)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

impl fmt::Display for BitRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbit/s", self.0 / BITS_PER_MEGABIT)
    }
}

/// A share of a whole, from 0 to 1, which settings write in percent.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Share(pub f64);

/// Percent in one whole.
const PERCENT: f64 = 100.0;

/// Steps per percent to which a written share is rounded: four decimal places.
const STEPS_PER_PERCENT: f64 = 1e4;

impl Share {
    const EXPECTED: &'static str = "a share such as \"10%\", 100% at most";
}

/// Reads a percentage up to `100%`.
impl FromStr for Share {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match NumberWithUnit::parse(text) {
            Some(NumberWithUnit { number, unit: "%" }) if number <= PERCENT => {
                Ok(Self(number / PERCENT))
            }
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

/// Writes the percentage with at most four decimal places.
impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}%",
            (self.0 * (PERCENT * STEPS_PER_PERCENT)).round() / STEPS_PER_PERCENT
        )
    }
}
