//! The transport to endpoints over HTTP: a client for each kind of service.

use {
    crate::{
        pipeline::{
            decision::{
                endpoint::{
                    AttemptEnd, EndpointCall, FailCause, LoadReport, NotRunCause, TokenSink,
                    Transport,
                },
                prefix::CacheEvents,
            },
            endpoints::{
                engine_client,
                http_call::{Body, read_body},
                plain_client, wire,
            },
        },
        settings::tree::ServiceKind,
        shared::units::ByteSize,
    },
    http::{Request, Response},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, Error as ClientError, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
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

/// Largest load report.
const LOAD_SIZE: ByteSize = ByteSize(4096);

/// Largest answer with cache events.
const EVENTS_SIZE: ByteSize = ByteSize(256 * 1024);

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

impl Transport for HttpTransport {
    async fn call(&self, call: EndpointCall, sink: impl TokenSink + 'static) -> AttemptEnd {
        match call.kind {
            ServiceKind::Plain => plain_client::call(self, call).await,
            ServiceKind::Engine { .. } => engine_client::generate(self, call, sink).await,
        }
    }

    async fn cancel(&self, call: EndpointCall) {
        if matches!(call.kind, ServiceKind::Engine { .. }) {
            engine_client::cancel(self, call).await;
        }
    }

    async fn cache_events(&self, address: SocketAddr, after: u64) -> Option<CacheEvents> {
        let uri = format!("http://{address}{}?after={after}", wire::CACHE_PATH);
        self.get_json(uri, EVENTS_SIZE).await
    }

    async fn load(&self, address: SocketAddr, _kind: &ServiceKind) -> Option<LoadReport> {
        let uri = format!("http://{address}{}", wire::LOAD_PATH);
        self.get_json(uri, LOAD_SIZE).await
    }
}
