//! Reading of whole HTTP bodies, bounded in size and in silence.
//!
//! A body may take as long as its bytes keep coming: a bound on the whole time would end, and begin anew,
//! every read of a body that is larger than the link carries within it (`docs/incidents/`). Owns
//! nothing; what a failure means is its callers' decision.

use {
    crate::shared::units::ByteSize,
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::time::Duration,
    thiserror::Error,
    tokio::time::timeout,
};

/// Why a body wasn't read to its end.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is larger than {0}")]
    TooLarge(ByteSize),
    /// It broke off.
    #[error("the body broke off: {0}")]
    Broken(String),
    /// No byte came for too long.
    #[error("no byte of the body for {0:?}")]
    Silent(Duration),
}

/// Reads a whole body of at most `limit` bytes, of which no byte may be awaited for longer than
/// `silence`.
///
/// # Errors
///
/// Returns why the body wasn't read to its end.
pub async fn read_whole(
    mut body: Incoming,
    limit: ByteSize,
    silence: Duration,
) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(silence, body.frame())
            .await
            .map_err(|_| BodyError::Silent(silence))?;
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| BodyError::Broken(error.to_string()))?;
        // Trailers carry nothing that is needed.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (bytes.len() + data.len()) as u64 > limit.0 {
            return Err(BodyError::TooLarge(limit));
        }
        bytes.extend_from_slice(&data);
    }
}
