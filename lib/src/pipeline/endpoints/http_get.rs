//! Reads one resource by HTTP GET: a value of the configuration service, an endpoint's report, or another daemon's
//! status.
//!
//! The body is bounded in size. The timeout covers the wait for the head and for each next part of the body, not the
//! whole read: a value of 1 MB takes longer than a timeout short enough to detect an unresponsive service soon.

use {
    crate::{
        pipeline::decision::endpoint::FailCause,
        shared::{
            http_body::{BodyError, read_body},
            units::{ByteSize, Millis},
        },
    },
    bytes::Bytes,
    http::{Request, StatusCode},
    hyper::body::Body,
    hyper_util::client::legacy::{Client, Error as ClientError, connect::HttpConnector},
    std::error::Error,
    thiserror::Error,
};

/// Why a resource can't be read. Each text names the URI, except for a URI that can't be parsed.
#[derive(Debug, Error)]
pub enum HttpGetError {
    /// The URI can't be parsed. The text says which part of it.
    #[error(transparent)]
    Uri(#[from] http::Error),
    /// The request failed before the head of a response arrived.
    #[error("{uri}: {error}")]
    NoResponse {
        /// URI that was read.
        uri: String,
        /// Error of the HTTP client.
        #[source]
        error: ClientError,
    },
    /// The connection failed before the end of the body, or the body is too large.
    #[error("{uri}: {cause}")]
    Body {
        /// URI that was read.
        uri: String,
        /// Which of these happened.
        cause: FailCause,
    },
    /// No head of a response, or no next part of its body, arrived within the timeout.
    #[error("{uri}: no answer within {timeout}")]
    Timeout {
        /// URI that was read.
        uri: String,
        /// The timeout.
        timeout: Millis,
    },
    /// The body isn't JSON of the expected type.
    #[error("{uri}: {error}")]
    Json {
        /// URI that was read.
        uri: String,
        /// Position in the JSON and cause.
        #[source]
        error: serde_json::Error,
    },
}

/// A complete response, with any status.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

/// Reads the resource at `uri`, with at most `limit` bytes of body. The head, and then each next part of the body,
/// must arrive within `timeout`.
///
/// # Errors
///
/// Returns an error if no complete response arrives within these bounds. Its status doesn't matter.
pub async fn get<B>(
    client: &Client<HttpConnector, B>,
    uri: &str,
    limit: ByteSize,
    timeout: Millis,
) -> Result<HttpReply, HttpGetError>
where
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>>
        + Default
        + Send
        + Unpin
        + 'static,
{
    let request = Request::get(uri).body(B::default())?;
    let timed_out = || HttpGetError::Timeout {
        uri: uri.to_owned(),
        timeout,
    };
    let read_timeout = timeout.to_duration();
    let response = tokio::time::timeout(read_timeout, client.request(request))
        .await
        .map_err(|_| timed_out())?
        .map_err(|error| HttpGetError::NoResponse {
            uri: uri.to_owned(),
            error,
        })?;
    let status = response.status();
    let body_error = |cause| HttpGetError::Body {
        uri: uri.to_owned(),
        cause,
    };
    let body = read_body(response.into_body(), limit, read_timeout).await;
    let body = body.map_err(|error| match error {
        BodyError::TooLarge(_) => body_error(FailCause::TooLarge),
        BodyError::ConnectionFailed(_) => body_error(FailCause::Broken),
        BodyError::IdleTimeout(_) => timed_out(),
    })?;
    Ok(HttpReply { status, body })
}
