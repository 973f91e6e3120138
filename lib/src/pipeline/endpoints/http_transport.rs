//! Pooled HTTP/1.1 connections to endpoints.
//!
//! The client never retries a request, because the core decides on retries.

use {
    crate::{
        pipeline::{
            decision::endpoint::{AttemptEnd, FailCause, NotRunCause},
            endpoints::{
                http_call::CallBody,
                http_get::{HttpGetError, get},
            },
        },
        shared::units::{ByteSize, Millis},
    },
    http::{Request, Response},
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

/// Idle time after which a pooled connection is closed. Shorter than the usual idle timeout of servers, so that a call
/// is rarely sent on a connection that its endpoint is closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Largest number of idle connections kept for one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Longest wait for the head of an endpoint's report, and for each next part of its body.
const REPORT_TIMEOUT: Millis = Millis(500);

/// Calls endpoints over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct HttpTransport {
    client: Client<HttpConnector, CallBody>,
}

impl Default for HttpTransport {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpTransport {
    /// Builds a transport without connections; each is set up when a call needs it.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends one request and waits for the head of its response.
    ///
    /// There is no time limit here: the core cancels the call at the request's deadline.
    ///
    /// # Errors
    ///
    /// Returns the end of the attempt if no head arrives.
    pub async fn send(&self, request: Request<CallBody>) -> Result<Response<Incoming>, AttemptEnd> {
        self.client
            .request(request)
            .await
            .map_err(|error| end_without_reply(&error))
    }
}

impl HttpTransport {
    /// Reads a JSON report of an endpoint, with [`REPORT_TIMEOUT`].
    pub(crate) async fn get_json<R: DeserializeOwned>(
        &self,
        uri: String,
        limit: ByteSize,
    ) -> Result<R, HttpGetError> {
        let reply = get(&self.client, &uri, limit, REPORT_TIMEOUT).await?;
        serde_json::from_slice(&reply.body).map_err(|error| HttpGetError::Json { uri, error })
    }
}

/// Returns the end of an attempt that got no reply. If the connection wasn't set up, no byte of the call was sent;
/// after any other error the call may have reached the endpoint.
fn end_without_reply(error: &ClientError) -> AttemptEnd {
    if error.is_connect() {
        AttemptEnd::NotRun(NotRunCause::Unreachable)
    } else {
        AttemptEnd::Failed(FailCause::Broken)
    }
}
