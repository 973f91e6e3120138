//! Implements the core's [`Transport`] over HTTP: passes each call to the client for its kind of service.

use {
    crate::{
        pipeline::{
            decision::{
                endpoint::{AttemptEnd, EndpointCall, LoadReport, TokenSink, Transport},
                prefix::CacheEvents,
            },
            endpoints::{engine_client, http_transport::HttpTransport, plain_client, wire},
        },
        settings::tree::ServiceKind,
        shared::units::ByteSize,
    },
    std::net::SocketAddr,
};

/// Size of the largest load report accepted. A report holds four numbers and a flag, which take far
/// less.
const MAX_LOAD_REPORT: ByteSize = ByteSize(4096);

/// Size of the largest list of cache events accepted.
const MAX_CACHE_EVENTS: ByteSize = ByteSize(256 * 1024);

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
        let uri = format!("http://{address}{}?after={after}", wire::CACHE_EVENTS_PATH);
        // A failed read isn't logged: the next round reads from the same number again.
        self.get_json(uri, MAX_CACHE_EVENTS).await.ok()
    }

    async fn load(&self, address: SocketAddr, _kind: &ServiceKind) -> Option<LoadReport> {
        let uri = format!("http://{address}{}", wire::LOAD_PATH);
        // A failed read isn't logged: the core uses the previous report until that is stale, and the outcome of
        // calls shows whether the endpoint is healthy.
        self.get_json(uri, MAX_LOAD_REPORT).await.ok()
    }
}
