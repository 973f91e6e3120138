//! HTTP calls of outside systems: pooled connections, no hidden retries, bounded replies.

use {
    crate::{
        pipeline::{
            decision::endpoint::{AttemptEnd, EndpointCall, FailCause, NotRunCause},
            endpoints::wire,
        },
        shared::units::{ByteSize, Millis},
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Request, Response, request::Builder},
    http_body_util::{BodyExt, Empty, Full, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, Error as ClientError, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::de::DeserializeOwned,
    std::time::Duration,
};

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a pooled connection is closed; shorter than servers' usual ones, so that
/// a call rarely meets a connection that its endpoint is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Idle connections kept for one endpoint.
const IDLE_CONNECTIONS: usize = 64;

/// Longest time for a report of an endpoint.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Body of the client's requests.
pub type Body = Full<Bytes>;

/// Calls endpoints over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct HttpTransport {
    client: Client<HttpConnector, Body>,
}

impl Default for HttpTransport {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpTransport {
    /// Builds the client; it connects when it is first used.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends one request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended when there is no head.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Incoming>, AttemptEnd> {
        self.client
            .request(request)
            .await
            .map_err(|error| end_without_reply(&error))
    }
}

impl HttpTransport {
    /// Reads what an endpoint reports of itself; nothing if it doesn't do so soon.
    pub(crate) async fn get_json<R: DeserializeOwned>(
        &self,
        uri: String,
        limit: ByteSize,
    ) -> Option<R> {
        let request = Request::get(uri).body(Body::default()).ok()?;
        let read = async {
            let response = self.send(request).await.ok()?;
            let body = read_body(response.into_body(), limit).await.ok()?;
            serde_json::from_slice(&body).ok()
        };
        tokio::time::timeout(LOAD_TIMEOUT, read)
            .await
            .ok()
            .flatten()
    }
}

/// A refused connection means that no byte was sent; anything else may have reached the endpoint.
fn end_without_reply(error: &ClientError) -> AttemptEnd {
    if error.is_connect() {
        AttemptEnd::NotRun(NotRunCause::Unreachable)
    } else {
        AttemptEnd::Failed(FailCause::Broken)
    }
}

/// Starts the request of a call, with all of its headers.
pub fn call_request(call: &EndpointCall, path: &str) -> Builder {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{path}", call.address))
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(wire::REQUEST_HEADER, call.ids.request.to_string())
        .header(wire::STAGE_HEADER, call.ids.stage.as_str())
        .header(wire::ATTEMPT_HEADER, call.ids.attempt.to_string())
        .header(wire::DEADLINE_HEADER, call.remaining.0)
        .header(wire::PRIORITY_HEADER, call.priority.to_string());
    if let Some(key) = &call.key {
        builder = builder.header(wire::KEY_HEADER, key.as_str());
    }
    if let Some(parent) = &call.trace_parent {
        builder = builder.header(wire::TRACE_HEADER, parent);
    }
    builder
}

/// Judges the head of a reply before its body is read.
///
/// # Errors
///
/// Returns how the attempt ended when the body doesn't matter any more.
pub fn check_head<B>(call: &EndpointCall, response: &Response<B>) -> Result<(), AttemptEnd> {
    let headers = response.headers();
    if !wire::ids_match(headers, &call.ids) {
        return Err(AttemptEnd::Failed(FailCause::WrongIds));
    }
    if response.status().is_server_error() {
        let said = headers.get(wire::NOT_RUN_HEADER).map(HeaderValue::as_bytes);
        return Err(match said {
            Some(cause) if cause == wire::LEAVING.as_bytes() => {
                AttemptEnd::NotRun(NotRunCause::Leaving)
            }
            Some(_) => AttemptEnd::NotRun(NotRunCause::Busy),
            None => AttemptEnd::Failed(FailCause::ServerError),
        });
    }
    Ok(())
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns why the body can't be used.
pub async fn read_body(body: Incoming, limit: ByteSize) -> Result<Bytes, FailCause> {
    let limited = Limited::new(body, limit.0 as usize);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(FailCause::TooLarge),
        Err(_) => Err(FailCause::Broken),
    }
}

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
