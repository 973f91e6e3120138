//! A test double for an OTLP collector that records the names and ids of spans.
//!
//! It closes the connection on an export that it can't parse, and treats a missing field as empty. In both cases a test
//! that looks for the span fails.

use {
    crate::http_server::{Server, whole_body},
    http::{HeaderValue, Response, header::CONTENT_TYPE},
    http_body_util::BodyExt,
    serde_json::Value,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
};

/// One exported span.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpanRecord {
    /// Name of the span.
    pub name: String,
    /// Id of the trace to which the span belongs.
    pub trace: String,
    /// Id of the span.
    pub span: String,
    /// Id of the parent span; empty for a root.
    pub parent: String,
}

/// A running collector.
#[derive(Debug)]
pub struct Collector {
    spans: Arc<Mutex<Vec<SpanRecord>>>,
    server: Server,
}

impl Collector {
    /// Starts a collector.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start() -> io::Result<Self> {
        let spans = Arc::new(Mutex::new(Vec::new()));
        let shared = spans.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(any, move |request| {
            let spans = shared.clone();
            async move {
                let body = request.into_body().collect().await.ok()?.to_bytes();
                let export: Value = serde_json::from_slice(&body).ok()?;
                let mut spans = spans.lock().expect("no panic while held");
                spans.extend(read_spans(&export));
                let mut response = Response::new(whole_body("{}"));
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, json);
                Some(response)
            }
        })
        .await?;
        Ok(Self { spans, server })
    }

    /// Returns the address on which the collector listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the spans received so far.
    pub fn spans(&self) -> Vec<SpanRecord> {
        self.spans.lock().expect("no panic while held").clone()
    }
}

fn read_spans(export: &Value) -> Vec<SpanRecord> {
    let list = |value: &Value, name: &str| value[name].as_array().cloned().unwrap_or_default();
    let text = |span: &Value, name: &str| span[name].as_str().unwrap_or_default().to_owned();
    let resources = list(export, "resourceSpans");
    let scopes = resources.iter().flat_map(|item| list(item, "scopeSpans"));
    let spans = scopes.flat_map(|scope| list(&scope, "spans"));
    spans
        .map(|span| SpanRecord {
            name: text(&span, "name"),
            trace: text(&span, "traceId"),
            span: text(&span, "spanId"),
            parent: text(&span, "parentSpanId"),
        })
        .collect()
}
