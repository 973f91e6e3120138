//! The transport to endpoints over HTTP: a client for each kind of service.

use {
    crate::{
        pipeline::{
            decision::{
                endpoint::{AttemptEnd, EndpointCall, LoadReport, TokenSink, Transport},
                prefix::CacheEvents,
            },
            endpoints::{engine_client, http_call::HttpTransport, plain_client, wire},
        },
        settings::tree::ServiceKind,
        shared::units::ByteSize,
    },
    std::net::SocketAddr,
};

/// Largest load report.
const LOAD_SIZE: ByteSize = ByteSize(4096);

/// Largest answer with cache events.
const EVENTS_SIZE: ByteSize = ByteSize(256 * 1024);

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
