//! Client of a daemon's status report, for the command line and tests.
//!
//! It owns the limits on size and time of one read, and relies on `endpoints::http_get` for HTTP.

use {
    crate::{
        pipeline::endpoints::http_get::{HttpGetError, get},
        shared::{
            status::StatusBody,
            units::{ByteSize, Millis},
        },
    },
    bytes::Bytes,
    http::StatusCode,
    http_body_util::Empty,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    std::net::SocketAddr,
    thiserror::Error,
};

/// Largest status report accepted: 4 MiB.
const MAX_STATUS: ByteSize = ByteSize(4 << 20);

/// Longest wait for a whole report.
const STATUS_TIMEOUT: Millis = Millis(5_000);

/// Reports why a daemon's status can't be read; each text begins with the URI that was read.
#[derive(Debug, Error)]
pub enum StatusError {
    /// The daemon doesn't answer, or not in time.
    #[error("{0}")]
    Unreachable(HttpGetError),
    /// The daemon answers with a status other than success.
    #[error("{uri}: status {status}")]
    Refused {
        /// The URI that was read.
        uri: String,
        /// The status of the reply.
        status: StatusCode,
    },
    /// The reply isn't a status report.
    #[error("{uri}: {error}")]
    Malformed {
        /// The URI that was read.
        uri: String,
        /// Says where the JSON differs.
        #[source]
        error: serde_json::Error,
    },
}

/// Reads the status of the daemon that serves operators at `address`.
///
/// # Errors
///
/// Returns an error when the daemon doesn't answer within five seconds, or not with a report.
pub async fn fetch(address: SocketAddr) -> Result<StatusBody, StatusError> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}/v1/status");
    let reply = get::<Empty<Bytes>>(&client, &uri, MAX_STATUS, STATUS_TIMEOUT)
        .await
        .map_err(StatusError::Unreachable)?;
    let status = reply.status;
    if !status.is_success() {
        return Err(StatusError::Refused { uri, status });
    }
    serde_json::from_slice(&reply.body).map_err(|error| StatusError::Malformed { uri, error })
}
