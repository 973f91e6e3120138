//! Reading of one resource of an outside system over HTTP: a value of the configuration service, an
//! endpoint's report, another daemon's status.
//!
//! Owns the bounds in time and size of one read; the callers own their clients. Relies on
//! `shared::http_body` for bodies, which may take as long as their bytes keep coming: a value of 1 MB
//! takes longer than any bound that notices a silent service soon.

use {
    crate::{
        pipeline::decision::endpoint::FailCause,
        shared::{
            http_body::{BodyError, read_whole},
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
    /// No head of a response came in time, or its body fell silent for so long.
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

/// Reads the resource at `uri`: at most `limit` bytes of body; the head, and each next byte of the body,
/// have to come within `timeout`.
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
    let late = || HttpGetError::Timeout {
        uri: uri.to_owned(),
        timeout,
    };
    let silence = timeout.to_duration();
    let response = tokio::time::timeout(silence, client.request(request))
        .await
        .map_err(|_| late())?
        .map_err(|error| HttpGetError::NoResponse {
            uri: uri.to_owned(),
            error,
        })?;
    let status = response.status();
    let broken = |cause| HttpGetError::Body {
        uri: uri.to_owned(),
        cause,
    };
    let body = read_whole(response.into_body(), limit, silence).await;
    let body = body.map_err(|error| match error {
        BodyError::TooLarge(_) => broken(FailCause::TooLarge),
        BodyError::Broken(_) => broken(FailCause::Broken),
        BodyError::Silent(_) => late(),
    })?;
    Ok(HttpReply { status, body })
}
