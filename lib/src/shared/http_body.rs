//! Reads complete HTTP bodies, with a size limit and an idle timeout.
//!
//! There is no limit on the total time. With one, a body too large for the link to carry within the limit would fail
//! and be requested again without end (`docs/incidents/`). Callers decide what a failure means.

use {
    crate::shared::units::ByteSize,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{fmt::Display, time::Duration},
    thiserror::Error,
    tokio::time::timeout,
};

/// Reports why a body wasn't read to its end.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("the body exceeds the limit of {0}")]
    TooLarge(ByteSize),
    /// The connection failed before the end of the body.
    #[error("reading the body failed: {0}")]
    ConnectionFailed(String),
    /// No part of the body arrived within the idle timeout.
    #[error("no data of the body arrived for {0:?}")]
    IdleTimeout(Duration),
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is larger than `limit`, if the connection fails, or if no data arrives for
/// `idle_timeout`.
pub async fn read_body(
    mut body: impl Body<Data = Bytes, Error: Display> + Unpin,
    limit: ByteSize,
    idle_timeout: Duration,
) -> Result<Bytes, BodyError> {
    let mut bytes = Vec::new();
    loop {
        let frame = timeout(idle_timeout, body.frame())
            .await
            .map_err(|_| BodyError::IdleTimeout(idle_timeout))?;
        let Some(frame) = frame else {
            return Ok(bytes.into());
        };
        let frame = frame.map_err(|error| BodyError::ConnectionFailed(error.to_string()))?;
        // Trailers aren't used.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = bytes.len() + data.len();
        if size as u64 > limit.0 {
            return Err(BodyError::TooLarge(limit));
        }
        if size > bytes.capacity() {
            // Doubles the capacity, but not beyond the limit.
            let capacity = (bytes.capacity() * 2).min(limit.0 as usize).max(size);
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
}
