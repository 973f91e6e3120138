//! Checks that bytes are one JSON value, without building it.
//!
//! The pipeline daemon passes bodies on as they are, to endpoints and to callers; this check refuses
//! malformed ones. It relies on nothing else of this library.

use {
    serde::de::IgnoredAny,
    std::str::{self, Utf8Error},
    thiserror::Error,
};

/// Reports bytes that aren't a JSON value.
#[derive(Debug, Error)]
pub enum JsonError {
    /// They aren't UTF-8, which the parser doesn't check inside strings that it skips.
    #[error("invalid UTF-8: {0}")]
    Encoding(#[from] Utf8Error),
    /// They are text, but not JSON.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
}

/// Checks that `bytes` are one JSON value in UTF-8.
///
/// # Errors
///
/// Returns an error that says why they aren't.
pub fn check(bytes: &[u8]) -> Result<(), JsonError> {
    let text = str::from_utf8(bytes)?;
    serde_json::from_str::<IgnoredAny>(text)?;
    Ok(())
}
