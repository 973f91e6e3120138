//! The text of a quantity: a number with its unit, or `none`.

use {
    std::{fmt, str::FromStr},
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

/// Returns the error for a text that isn't a quantity.
pub(super) fn unit_error<T>(text: &str, expected: &'static str) -> Result<T, UnitError> {
    Err(UnitError {
        text: text.into(),
        expected,
    })
}

/// A number and the unit that follows it, such as `250` and `ms`.
pub(super) struct Written<'t> {
    /// The number; finite and not negative.
    pub(super) number: f64,
    /// The unit; empty if the text is a bare number.
    pub(super) unit: &'t str,
}

impl<'t> Written<'t> {
    /// Splits a text into its number and its unit; nothing if it doesn't begin with a number.
    pub(super) fn parse(text: &'t str) -> Option<Self> {
        let end = text
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(text.len());
        let number: f64 = text[..end].parse().ok()?;
        let unit = text[end..].trim();
        number.is_finite().then_some(Self { number, unit })
    }
}

/// A quantity that can be left out; written `none` in settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub struct Maybe<T>(pub Option<T>);

/// Text of a quantity that is left out.
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
