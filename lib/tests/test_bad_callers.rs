//! Invalid requests, and callers that stall or disconnect. An invalid request gets a problem, and no endpoint runs it.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::pipeline::daemon::Daemon,
    hazelyoke_testutils::{
        fixture::{Fixture, start_daemon, wait_for},
        http_client::{Caller, CallerReply, CallerRequest},
    },
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const SUMMARY_PATH: &str = "/v1/pipelines/summary";

async fn start() -> (Fixture, Daemon, Caller) {
    let fixture = Fixture::start().await;
    let (daemon, caller) = fixture.daemon().await;
    (fixture, daemon, caller)
}

fn assert_problem(reply: &CallerReply, status: u16, code: &str) {
    assert_eq!(reply.status, status, "{:?}", reply.body);
    assert_eq!(reply.headers["content-type"], "application/problem+json");
    assert_eq!(reply.code(), code);
    assert_eq!(reply.outcome(), "not_run");
}

fn count_runs(fixture: &Fixture) -> usize {
    let servers = fixture.endpoints.values().flatten();
    servers.map(|server| server.endpoint.runs().len()).sum()
}

#[tokio::test]
async fn bad_bodies() {
    let (fixture, _daemon, caller) = start().await;
    for body in [
        &b""[..],
        b"{",
        b"{\"a\":}",
        b"\xff\xfe",
        b"{\"a\":\"\xff\"}",
        b"[1] 2",
    ] {
        let reply = caller
            .post(CallerRequest::new(SUMMARY_PATH, "market", body))
            .await;
        assert_problem(&reply.unwrap(), 400, "bad_request");
    }
    assert_eq!(count_runs(&fixture), 0);
}

#[tokio::test]
async fn oversized_body() {
    let (fixture, _daemon, caller) = start().await;
    let body = format!("\"{}\"", "x".repeat(300 << 10));
    let reply = caller
        .post(CallerRequest::new(SUMMARY_PATH, "market", body))
        .await;
    assert_problem(&reply.unwrap(), 413, "body_too_large");
    let body = format!("\"{}\"", "x".repeat(17 << 20));
    // The daemon may close the connection before it has read all of this one.
    if let Ok(reply) = caller
        .post(CallerRequest::new(SUMMARY_PATH, "market", body))
        .await
    {
        assert_problem(&reply, 413, "body_too_large");
    }
    assert_eq!(count_runs(&fixture), 0);
}

#[tokio::test]
async fn oversized_headers() {
    let (_fixture, _daemon, caller) = start().await;
    let request =
        CallerRequest::new(SUMMARY_PATH, "market", "{}").header("x-junk", "j".repeat(20 << 10));
    let reply = caller.post(request).await.unwrap();
    assert_problem(&reply, 431, "headers_too_large");
}

#[tokio::test]
async fn absurd_headers() {
    let (fixture, _daemon, caller) = start().await;
    let cases = [
        ("x-deadline-ms", "0"),
        ("x-deadline-ms", "-5"),
        ("x-deadline-ms", "99999999999999999999"),
        ("x-deadline-ms", "soon"),
        ("x-priority", "royal"),
        ("idempotency-key", "a b"),
    ];
    for (name, value) in cases {
        let request = CallerRequest::new(SUMMARY_PATH, "market", "{}").header(name, value);
        let reply = caller.post(request).await.unwrap();
        assert_problem(&reply, 400, "bad_request");
        let detail = reply.json()["detail"].to_string();
        assert!(detail.contains(name), "{detail}");
    }
    assert_eq!(count_runs(&fixture), 0);
}

#[tokio::test]
async fn unknown_names() {
    let (fixture, _daemon, caller) = start().await;
    let post = async |path: &str, customer: &str| {
        let request = CallerRequest::new(path, customer, "{}");
        caller.post(request).await.unwrap()
    };
    assert_problem(&post(SUMMARY_PATH, "nobody").await, 403, "unknown_customer");
    assert_problem(
        &post("/v1/pipelines/none", "market").await,
        404,
        "unknown_pipeline",
    );
    assert_problem(
        &post("/v1/services/none", "market").await,
        404,
        "unknown_service",
    );
    assert_problem(
        &post("/v1/pipelines/a%20b", "market").await,
        400,
        "bad_request",
    );
    assert_problem(&post(SUMMARY_PATH, "mar\u{e9}").await, 400, "bad_request");
    let mut request = CallerRequest::new(SUMMARY_PATH, "market", "{}");
    request.headers.clear();
    let reply = caller.post(request).await.unwrap();
    assert_problem(&reply, 400, "bad_request");
    assert_eq!(count_runs(&fixture), 0);
}

#[tokio::test]
async fn missing_key() {
    let (fixture, _daemon, caller) = start().await;
    let request = CallerRequest::new("/v1/pipelines/checkout", "market", "{}");
    assert_problem(&caller.post(request).await.unwrap(), 400, "key_missing");
    assert_eq!(count_runs(&fixture), 0);
}

#[tokio::test]
async fn stream_refused() {
    let (fixture, _daemon, caller) = start().await;
    let request = CallerRequest::new("/v1/services/encoder", "market", "{}")
        .header("accept", "text/event-stream");
    assert_problem(&caller.post(request).await.unwrap(), 400, "bad_request");
    assert_eq!(count_runs(&fixture), 0);
}

#[tokio::test]
async fn over_limit() {
    let (_fixture, _daemon, caller) = start().await;
    let mut refused = None;
    for _ in 0..5 {
        let request = CallerRequest::new("/v1/services/encoder", "tiny", "{}");
        let reply = caller.post(request).await.unwrap();
        if !reply.status.is_success() {
            refused = Some(reply);
            break;
        }
    }
    let reply = refused.expect("one request a second is allowed");
    assert_problem(&reply, 429, "over_limit");
    assert_eq!(reply.headers["retry-after"], "1");
    assert!(reply.json()["retry_after_ms"].as_u64().unwrap() <= 1_000);
}

#[tokio::test]
async fn too_busy() {
    let fixture = Fixture::start().await;
    let mut settings = fixture.daemon_settings("entry-1");
    settings.limits.max_requests = "1".parse().unwrap();
    let (daemon, caller) = start_daemon(settings).await;
    for server in &fixture.endpoints["encoder"] {
        server.endpoint.faults.slow_down(200.0);
    }
    let slow = tokio::spawn({
        let caller = caller.clone();
        async move {
            let request = CallerRequest::new("/v1/services/encoder", "market", "{}");
            caller.post(request).await
        }
    });
    wait_for("the slow request", async || daemon.node().in_flight() == 1).await;
    let request = CallerRequest::new("/v1/services/encoder", "market", "{}");
    let reply = caller.post(request).await.unwrap();
    assert_problem(&reply, 503, "too_busy");
    assert_eq!(slow.await.unwrap().unwrap().status, 200);
}

#[tokio::test]
async fn truncated_body() {
    let (fixture, daemon, _caller) = start().await;
    let mut socket = TcpStream::connect(daemon.address()).await.unwrap();
    let head = "POST /v1/pipelines/summary HTTP/1.1\r\nhost: h\r\nx-customer: market\r\n\
                content-length: 100\r\n\r\n{\"half\":";
    socket.write_all(head.as_bytes()).await.unwrap();
    socket.shutdown().await.unwrap();
    let mut received = Vec::new();
    // The daemon may send a problem or nothing, but no answer.
    let _ = tokio::time::timeout(Duration::from_secs(10), socket.read_to_end(&mut received)).await;
    assert!(!received.starts_with(b"HTTP/1.1 200"));
    assert_eq!(count_runs(&fixture), 0);
}

#[tokio::test]
async fn slow_body() {
    let fixture = Fixture::start().await;
    let mut settings = fixture.daemon_settings("entry-1");
    settings.limits.receive_timeout = "100ms".parse().unwrap();
    let (daemon, _caller) = start_daemon(settings).await;
    let mut socket = TcpStream::connect(daemon.address()).await.unwrap();
    let head = "POST /v1/pipelines/summary HTTP/1.1\r\nhost: h\r\nx-customer: market\r\n\
                content-length: 100\r\n\r\n{\"half\":";
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut reply = [0; 12];
    let read = socket.read_exact(&mut reply);
    let read = tokio::time::timeout(Duration::from_secs(10), read).await;
    read.unwrap().unwrap();
    assert_eq!(&reply, b"HTTP/1.1 408");
    assert_eq!(count_runs(&fixture), 0);
}

#[tokio::test]
async fn vanishing_caller() {
    let (fixture, daemon, caller) = start().await;
    for server in &fixture.endpoints["llm"] {
        server.endpoint.faults.slow_down(50.0);
    }
    let request =
        CallerRequest::new(SUMMARY_PATH, "market", "{}").header("accept", "text/event-stream");
    let response = caller.open(request).await.unwrap();
    assert_eq!(daemon.node().in_flight(), 1);
    drop(response);
    wait_for("the request to end", async || {
        daemon.node().in_flight() == 0
    })
    .await;
    let engines = &fixture.endpoints["llm"];
    wait_for("the engine to be told", async || {
        engines.iter().any(|server| server.endpoint.cancelled() > 0)
    })
    .await;
    wait_for("the engine to be free", async || {
        engines.iter().all(|server| server.endpoint.running() == 0)
    })
    .await;
}
