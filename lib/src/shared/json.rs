//! Checks that bytes are one JSON value, without building the value in memory.
//!
//! The pipeline daemon forwards bodies unchanged, to endpoints and to callers. This check rejects malformed ones.

use {
    serde::de::IgnoredAny,
    std::str::{self, Utf8Error},
    thiserror::Error,
};

/// Reports why bytes aren't a JSON value.
#[derive(Debug, Error)]
pub enum JsonError {
    /// The bytes aren't UTF-8. The parser doesn't check this inside strings that it skips.
    #[error("invalid UTF-8: {0}")]
    Encoding(#[from] Utf8Error),
    /// The bytes are UTF-8, but not JSON.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
}

/// Checks that `bytes` are one JSON value in UTF-8.
///
/// # Errors
///
/// Returns an error if the bytes aren't UTF-8 or aren't exactly one JSON value.
pub fn check(bytes: &[u8]) -> Result<(), JsonError> {
    let text = str::from_utf8(bytes)?;
    serde_json::from_str::<IgnoredAny>(text)?;
    Ok(())
}
