//! Requests through all stages of a pipeline, over real sockets.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    bytes::Bytes,
    hazelyoke_testutils::{
        expect,
        fixture::{Fixture, TOKENS, summary_steps},
        http_client::CallerRequest,
    },
};

const SUMMARY_PATH: &str = "/v1/pipelines/summary";

fn summary(body: &str) -> CallerRequest {
    CallerRequest::new(
        SUMMARY_PATH,
        "market",
        Bytes::copy_from_slice(body.as_bytes()),
    )
}

#[tokio::test]
async fn whole_answer() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    for i in 0..20 {
        let body = format!("{{\"question\":{i}}}");
        let reply = caller.post(summary(&body)).await.unwrap();
        assert_eq!(reply.status, 200);
        assert_eq!(
            reply.body,
            expect::answer(&summary_steps(), body.as_bytes())
        );
    }
}

#[tokio::test]
async fn streamed_answer() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    let body = r#"{"question":"levy?"}"#;
    let request = summary(body).header("accept", "text/event-stream");
    let reply = caller.post(request).await.unwrap();
    assert_eq!(reply.headers["content-type"], "text/event-stream");
    let events = String::from_utf8(reply.body.to_vec()).unwrap();
    assert_eq!(events.matches("event: token\n").count(), TOKENS as usize);
    assert_eq!(events.matches("event: done\n").count(), 1);
    let last = events.trim_end().rsplit("\n\n").next().unwrap();
    assert!(last.starts_with("event: done\n"), "{last}");
}

#[tokio::test]
async fn plain_call() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    let request = CallerRequest::new("/v1/services/encoder", "market", "[1,2]");
    let reply = caller.post(request).await.unwrap();
    assert_eq!(reply.body, expect::plain_output("encoder", b"[1,2]"));
}

#[tokio::test]
async fn concurrent_answers() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    let calls = (0..64).map(|i| {
        let caller = caller.clone();
        async move {
            let body = format!("{{\"question\":{i}}}");
            let reply = caller.post(summary(&body)).await.unwrap();
            let expected = expect::answer(&summary_steps(), body.as_bytes());
            assert_eq!(reply.body, expected, "answer of request {i}");
        }
    });
    futures_util::future::join_all(calls).await;
}
