//! The text form of a quantity: a number with its unit, or `none`.

use {
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Reports that a text isn't a quantity of the expected unit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not {expected}")]
pub struct UnitError {
    /// The text found.
    pub text: String,
    /// Describes the accepted form, with an example.
    pub expected: &'static str,
}

/// Returns a [`UnitError`] for `text`.
pub(super) fn unit_error<T>(text: &str, expected: &'static str) -> Result<T, UnitError> {
    Err(UnitError {
        text: text.into(),
        expected,
    })
}

/// A number and the unit that follows it, such as `250` and `ms`, as split from a text.
pub(super) struct NumberWithUnit<'t> {
    /// The number; finite and not negative.
    pub(super) number: f64,
    /// The unit; empty if the text is a bare number.
    pub(super) unit: &'t str,
}

impl<'t> NumberWithUnit<'t> {
    /// Splits a text into its number and its unit; `None` if it doesn't start with a number.
    pub(super) fn parse(text: &'t str) -> Option<Self> {
        let end = text
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(text.len());
        let number: f64 = text[..end].parse().ok()?;
        let unit = text[end..].trim();
        number.is_finite().then_some(Self { number, unit })
    }
}

/// A quantity that may be absent, which settings write as `none`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub struct Optional<T>(pub Option<T>);

/// Text of an absent quantity.
pub const NONE_TEXT: &str = "none";

impl<T: FromStr> FromStr for Optional<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, T::Err> {
        if text == NONE_TEXT {
            return Ok(Self(None));
        }
        text.parse().map(|value| Self(Some(value)))
    }
}

impl<T: fmt::Display> fmt::Display for Optional<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str(NONE_TEXT),
        }
    }
}
