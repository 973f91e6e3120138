//! The OpenAPI document of the interface, and its paths for liveness, readiness, metrics and status.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::pipeline::api::{server, status_client},
    hazelyoke_testutils::{
        fixture::{Fixture, wait_for},
        http_client::{Caller, CallerRequest},
    },
};

/// Environment variable that makes the test write the document instead of comparing it.
const UPDATE_VARIABLE: &str = "HAZELYOKE_UPDATE_OPENAPI";

#[test]
fn current_document() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/openapi.json");
    let generated = serde_json::to_string_pretty(&server::openapi()).unwrap() + "\n";
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        std::fs::write(path, &generated).unwrap();
    }
    let committed = std::fs::read_to_string(path).unwrap_or_default();
    assert!(
        committed == generated,
        "docs/openapi.json is outdated; run with {UPDATE_VARIABLE}=1"
    );
}

#[tokio::test]
async fn live_and_ready() {
    let fixture = Fixture::start().await;
    fixture.config.set_silent(true);
    let daemon =
        hazelyoke_lib::pipeline::daemon::Daemon::start(fixture.daemon_settings("entry-1")).unwrap();
    let caller = Caller::new(daemon.address());
    assert_eq!(caller.get("/v1/live").await.unwrap().status, 200);
    let reply = caller.get("/v1/ready").await.unwrap();
    assert_eq!(
        (reply.status.as_u16(), reply.code()),
        (503, "not_ready".to_owned())
    );
    fixture.config.set_silent(false);
    wait_for("readiness", async || {
        caller.get("/v1/ready").await.unwrap().status == 200
    })
    .await;
}

#[tokio::test]
async fn metrics_text() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    let request = CallerRequest::new("/v1/pipelines/summary", "market", "{}");
    assert_eq!(caller.post(request).await.unwrap().status, 200);
    let reply = caller.get("/metrics").await.unwrap();
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    for line in [
        r#"hazelyoke_requests_total{outcome="answered",code="in_time"} 1"#,
        "hazelyoke_attempts_total 4",
        "hazelyoke_tree_version 1",
        r#"hazelyoke_endpoints_open{service="llm"} 2"#,
        "hazelyoke_request_seconds_count 1",
    ] {
        assert!(text.contains(line), "{line} isn't in {text}");
    }
    assert!(
        !text.contains("market"),
        "a customer's name is used as a label"
    );
}

#[tokio::test]
async fn status_view() {
    let fixture = Fixture::start().await;
    let (daemon, _caller) = fixture.daemon().await;
    let status = status_client::fetch(daemon.address()).await.unwrap();
    assert!(status.ready);
    assert_eq!((status.host.as_str(), status.version), ("entry-1", 1));
    assert_eq!(status.endpoints.len(), 10);
}
