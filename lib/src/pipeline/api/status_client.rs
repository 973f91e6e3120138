//! Client for a daemon's status report, for the command line and tests.

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

/// Size of the largest status report accepted: 4 MiB.
const MAX_STATUS_SIZE: ByteSize = ByteSize(4 << 20);

/// Longest wait for the head of the reply, and for each next part of its body.
const STATUS_TIMEOUT: Millis = Millis(5_000);

/// Why a daemon's status can't be read. Each text begins with the URI that was read.
#[derive(Debug, Error)]
pub enum StatusError {
    /// No complete reply arrived in time.
    #[error("{0}")]
    Unreachable(HttpGetError),
    /// The daemon answered with a status other than success.
    #[error("{uri}: status {status}")]
    Refused {
        /// The URI that was read.
        uri: String,
        /// HTTP status of the reply.
        status: StatusCode,
    },
    /// The reply isn't a status report.
    #[error("{uri}: {error}")]
    Malformed {
        /// The URI that was read.
        uri: String,
        /// Position in the JSON and cause.
        #[source]
        error: serde_json::Error,
    },
}

/// Reads the status of the daemon that serves operators at `address`.
///
/// # Errors
///
/// Returns an error if nothing arrives for five seconds, or if the reply isn't a status report.
pub async fn fetch(address: SocketAddr) -> Result<StatusBody, StatusError> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}/v1/status");
    let reply = get::<Empty<Bytes>>(&client, &uri, MAX_STATUS_SIZE, STATUS_TIMEOUT)
        .await
        .map_err(StatusError::Unreachable)?;
    let status = reply.status;
    if !status.is_success() {
        return Err(StatusError::Refused { uri, status });
    }
    serde_json::from_slice(&reply.body).map_err(|error| StatusError::Malformed { uri, error })
}
