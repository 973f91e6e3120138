//! Checks that bytes are one JSON value, without building it.

use {
    serde::de::IgnoredAny,
    std::str::{self, Utf8Error},
    thiserror::Error,
};

/// Why bytes aren't a JSON value.
#[derive(Debug, Error)]
pub enum JsonError {
    /// They aren't UTF-8; the parser alone passes over that inside strings.
    #[error("invalid UTF-8: {0}")]
    Encoding(#[from] Utf8Error),
    /// They are text, but no JSON.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
}

/// Checks that `bytes` are one JSON value in UTF-8.
///
/// # Errors
///
/// Returns why they aren't.
pub fn check(bytes: &[u8]) -> Result<(), JsonError> {
    let text = str::from_utf8(bytes)?;
    serde_json::from_str::<IgnoredAny>(text)?;
    Ok(())
}
