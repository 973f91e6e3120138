//! Reading of one resource of an outside system over HTTP: a value of the configuration service, an
//! endpoint's report, another daemon's status.
//!
//! Owns the bounds in time and size of one read; the callers own their clients. Relies on
//! `http_call` for bounded bodies.

use {
    crate::{
        pipeline::{decision::endpoint::FailCause, endpoints::http_call::read_body},
        shared::units::{ByteSize, Millis},
    },
    bytes::Bytes,
    http::{Request, StatusCode},
    hyper::body::Body,
    hyper_util::client::legacy::{Client, Error as ClientError, connect::HttpConnector},
    std::error::Error,
    thiserror::Error,
};

/// A resource can't be read; the text begins with its URI, so that people know the place.
#[derive(Debug, Error)]
pub enum HttpGetError {
    /// The URI is malformed; the text says at which part.
    #[error(transparent)]
    Uri(#[from] http::Error),
    /// No head of a response came.
    #[error("{uri}: {error}")]
    NoResponse {
        /// URI that was read.
        uri: String,
        /// Cause from the client.
        #[source]
        error: ClientError,
    },
    /// The body broke off or is too large.
    #[error("{uri}: {cause}")]
    Body {
        /// URI that was read.
        uri: String,
        /// Cause in the body.
        cause: FailCause,
    },
    /// The response wasn't whole in time.
    #[error("{uri}: no answer within {timeout}")]
    Timeout {
        /// URI that was read.
        uri: String,
        /// Time that it had.
        timeout: Millis,
    },
    /// The body isn't the JSON that was expected.
    #[error("{uri}: {error}")]
    Json {
        /// URI that was read.
        uri: String,
        /// Place and cause within the JSON.
        #[source]
        error: serde_json::Error,
    },
}

/// A resource as it was read; any status counts as read.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

/// Reads the resource at `uri`: at most `limit` bytes of body, within `timeout` in all.
///
/// # Errors
///
/// Returns an error when there is no whole response within these bounds, whatever its status.
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
    let read = async {
        let response = client
            .request(request)
            .await
            .map_err(|error| HttpGetError::NoResponse {
                uri: uri.to_owned(),
                error,
            })?;
        let status = response.status();
        let body = read_body(response.into_body(), limit)
            .await
            .map_err(|cause| HttpGetError::Body {
                uri: uri.to_owned(),
                cause,
            })?;
        Ok(HttpReply { status, body })
    };
    tokio::time::timeout(timeout.to_duration(), read)
        .await
        .unwrap_or_else(|_| {
            Err(HttpGetError::Timeout {
                uri: uri.to_owned(),
                timeout,
            })
        })
}
