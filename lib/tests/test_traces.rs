//! Trace spans of a request under the caller's parent span, and their export without waiting for the collector.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::pipeline::daemon::Daemon,
    hazelyoke_testutils::{
        collector::Collector,
        fixture::{Fixture, any_address, wait_for},
        http_client::CallerRequest,
        http_server::{Server, whole_body},
        reserved_port::ReservedPort,
    },
    http::{HeaderValue, Response, header::CONTENT_TYPE},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
const PARENT_HEADER: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[tokio::test]
async fn span_tree() {
    let fixture = Fixture::start().await;
    let collector = Collector::start().await.unwrap();
    let (_daemon, caller) = fixture.traced_daemon(collector.address()).await;
    let request = CallerRequest::new("/v1/pipelines/summary", "market", "{}")
        .header("traceparent", PARENT_HEADER);
    assert_eq!(caller.post(request).await.unwrap().status, 200);
    wait_for("seven spans", async || collector.spans().len() >= 7).await;
    let spans = collector.spans();
    assert!(spans.iter().all(|span| span.trace == TRACE_ID));
    let receive = spans.iter().find(|span| span.name == "receive").unwrap();
    assert_eq!(receive.parent, "b7ad6b7169203331");
    let count = |name: &str| spans.iter().filter(|span| span.name == name).count();
    assert_eq!(
        (count("admit"), count("attempt"), count("forward")),
        (1, 4, 1)
    );
    let others = spans.iter().filter(|span| span.name != "receive");
    let parents: BTreeSet<_> = others.map(|span| &span.parent).collect();
    assert_eq!(parents, BTreeSet::from([&receive.span]));
}

#[tokio::test]
async fn absent_collector() {
    let fixture = Fixture::start().await;
    let absent = ReservedPort::bind(any_address()).unwrap();
    let (daemon, caller) = fixture.traced_daemon(absent.address()).await;
    let request = CallerRequest::new("/v1/services/encoder", "market", "{}");
    assert_eq!(caller.post(request).await.unwrap().status, 200);
    let tracing = daemon.node().tracing().clone();
    wait_for("dropped spans", async || tracing.dropped() >= 4).await;
}

/// Another server has the collector's address and answers 200. This happened when a test's collector had ended and an
/// endpoint of another test had been given its port: three of four spans were neither received nor counted as dropped.
#[tokio::test]
async fn other_server() {
    let answers = [
        (None, r#"{"mark":"d7502292ab4fef15"}"#),
        (Some("text/html"), "<p>Welcome</p>"),
        (Some("application/json"), "[]"),
    ];
    for (content_type, body) in answers {
        let server = fixed_server(content_type, body).await;
        let traced = TracedDaemon::start(server.address()).await;
        let tracing = traced.daemon.node().tracing();
        wait_for("dropped spans", async || tracing.dropped() >= 4).await;
        assert_eq!(tracing.dropped(), 4, "{body}");
    }
}

/// A collector refuses some of the spans and reports how many: as a number or, as OTLP writes 64-bit numbers in JSON,
/// as a string.
#[tokio::test]
async fn refused_spans() {
    for refused in ["1", r#""1""#] {
        let body =
            format!(r#"{{"partialSuccess":{{"rejectedSpans":{refused},"errorMessage":"full"}}}}"#);
        let server = fixed_server(Some("application/json"), &body).await;
        let traced = TracedDaemon::start(server.address()).await;
        let tracing = traced.daemon.node().tracing();
        wait_for("a refused span", async || tracing.dropped() >= 1).await;
    }
}

/// Responses of a collector that accepts all spans.
#[tokio::test]
async fn taken_spans() {
    for body in ["{}", r#"{"partialSuccess":{}}"#, ""] {
        let served = Arc::new(AtomicUsize::new(0));
        let server = counting_server(served.clone(), Some("application/json"), body).await;
        let traced = TracedDaemon::start(server.address()).await;
        wait_for("an export", async || served.load(Ordering::Relaxed) >= 1).await;
        assert_eq!(traced.daemon.node().tracing().dropped(), 0, "{body}");
    }
}

/// A daemon that has answered one request, which has four spans.
struct TracedDaemon {
    daemon: Daemon,
    _fixture: Fixture,
}

impl TracedDaemon {
    async fn start(collector: SocketAddr) -> Self {
        let fixture = Fixture::start().await;
        let (daemon, caller) = fixture.traced_daemon(collector).await;
        let request = CallerRequest::new("/v1/services/encoder", "market", "{}");
        assert_eq!(caller.post(request).await.unwrap().status, 200);
        Self {
            daemon,
            _fixture: fixture,
        }
    }
}

/// Starts a server that sends the same response to each request.
async fn fixed_server(content_type: Option<&'static str>, body: &str) -> Server {
    counting_server(Arc::default(), content_type, body).await
}

/// Starts a server that sends the same response to each request, and counts the requests in `served`.
async fn counting_server(
    served: Arc<AtomicUsize>,
    content_type: Option<&'static str>,
    body: &str,
) -> Server {
    let body = body.to_owned();
    let answer = move |_request| {
        served.fetch_add(1, Ordering::Relaxed);
        let mut response = Response::new(whole_body(body.clone()));
        if let Some(content_type) = content_type {
            let content_type = HeaderValue::from_static(content_type);
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        async move { Some(response) }
    };
    Server::start(any_address(), answer).await.unwrap()
}
