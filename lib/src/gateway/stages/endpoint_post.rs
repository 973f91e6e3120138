//! Posts a body to an endpoint of a stage service and reads the whole answer.
//!
//! Owns the size limit of the answer; the caller opens the connection and sets the timeout. Relies on the dialect for
//! the headers of a call.

use {
    crate::{
        gateway::{
            dialect::{Dialect, ReplyFacts},
            wire::egress::{FreshConnection, SendError},
        },
        shared::ids::EndpointId,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header},
    http_body_util::{BodyExt, Full, Limited},
    std::{net::SocketAddr, time::Duration},
};

/// Maximum size of an answer in bytes.
const MAX_ANSWER_SIZE: usize = 256 * 1024;

/// A body to post and where to send it.
pub(super) struct Post<'a> {
    pub(super) address: SocketAddr,
    pub(super) path: &'static str,
    /// Endpoint that is expected at the address; any other endpoint refuses the call. `None` if any may answer.
    pub(super) endpoint: Option<&'a EndpointId>,
    pub(super) body: Bytes,
    /// Timeout of the exchange, excluding the time to connect.
    pub(super) limit: Duration,
}

/// The answer to a post, read completely.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

/// Posts a body on a new connection and returns the answer. Calls `record` with the head of the answer as soon as it
/// arrives, whether or not the body follows.
///
/// # Errors
///
/// Returns why there is no complete answer; the error shows whether the endpoint may have received the body.
///
/// # Panics
///
/// Panics if the path isn't a valid URL path; paths are constants of the dialect.
pub(super) async fn post<D: Dialect>(
    connection: FreshConnection,
    post: Post<'_>,
    record: impl FnOnce(StatusCode, &ReplyFacts),
) -> Result<Reply, SendError> {
    let limit = post.limit;
    let request = build_request::<D>(post);
    let exchange = async {
        let (response, _guard) = connection.send(request).await?;
        let (head, body) = response.into_parts();
        let status = head.status;
        record(status, &D::read_reply(&head));
        let body = Limited::new(body, MAX_ANSWER_SIZE);
        match body.collect().await {
            Ok(collected) => Ok(Reply {
                status,
                body: collected.to_bytes(),
            }),
            Err(error) => Err(SendError::IncompleteReply(error.to_string())),
        }
    };
    match tokio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_elapsed) => Err(SendError::TimedOut),
    }
}

fn build_request<D: Dialect>(post: Post<'_>) -> Request<Full<Bytes>> {
    let mut headers = HeaderMap::new();
    if let Some(endpoint) = post.endpoint {
        D::write_call(&mut headers, endpoint);
    }
    let host = HeaderValue::from_str(&post.address.to_string())
        .expect("a socket address is written in visible ASCII");
    headers.insert(header::HOST, host);
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    let mut request = Request::new(Full::new(post.body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(post.path);
    *request.headers_mut() = headers;
    request
}
