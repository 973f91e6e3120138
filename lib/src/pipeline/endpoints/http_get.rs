//! Reading of one resource of an outside system over HTTP.

use {
    crate::{
        pipeline::endpoints::http_call::read_body,
        shared::units::{ByteSize, Millis},
    },
    bytes::Bytes,
    http::Request,
    http_body_util::Empty,
    hyper_util::client::legacy::{Client, connect::HttpConnector},
};

/// Reads one resource of an outside system, such as a value of the configuration service.
///
/// # Errors
///
/// Returns a message for people.
pub async fn get(
    client: &Client<HttpConnector, Empty<Bytes>>,
    uri: &str,
    limit: ByteSize,
    timeout: Millis,
) -> Result<(http::HeaderMap, http::StatusCode, Bytes), String> {
    let request = Request::get(uri)
        .body(Empty::new())
        .map_err(|error| error.to_string())?;
    let read = async {
        let response = client
            .request(request)
            .await
            .map_err(|error| format!("{uri}: {error}"))?;
        let (head, body) = response.into_parts();
        let body = read_body(body, limit)
            .await
            .map_err(|cause| format!("{uri}: {cause}"))?;
        Ok((head.headers, head.status, body))
    };
    tokio::time::timeout(timeout.to_duration(), read)
        .await
        .unwrap_or_else(|_| Err(format!("{uri}: no answer within {timeout}")))
}
