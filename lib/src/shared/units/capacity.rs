//! Processing capacity of a host, in thousandths of a core.

use {
    super::quantity::{UnitError, unit_error},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Thousandths in one core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Processing capacity, in thousandths of a core.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Capacity(pub u32);

impl Capacity {
    const EXPECTED: &'static str = "a number of cores such as \"0.25\" or \"2\"";

    /// Returns the capacity of a number of cores; zero if the number is negative or not a number.
    pub fn from_cores(cores: f64) -> Self {
        Self((cores * MILLICORES_PER_CORE).round() as u32)
    }

    /// Returns the number of cores.
    pub fn cores(self) -> f64 {
        f64::from(self.0) / MILLICORES_PER_CORE
    }
}

/// Reads a number of cores, such as `0.25`.
impl FromStr for Capacity {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.parse::<f64>() {
            Ok(cores) if cores.is_finite() && cores >= 0.0 => Ok(Self::from_cores(cores)),
            _ => unit_error(text, Self::EXPECTED),
        }
    }
}

/// Writes the number of cores.
impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.cores())
    }
}
