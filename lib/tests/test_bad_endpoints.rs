//! Faulty endpoints: another endpoint of the service runs the call, or the caller gets a problem with the true outcome.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_testutils::{
        endpoint::Run,
        expect,
        faults::{Damage, StreamBreak},
        fixture::{Fixture, TOKENS, summary_steps, wait_for},
        http_client::{Caller, CallerReply, CallerRequest},
    },
    tokio::sync::watch,
};

const DAMAGES: [Damage; 6] = [
    Damage::Garbage,
    Damage::WrongIds,
    Damage::Oversized,
    Damage::Truncated,
    Damage::NoReply,
    Damage::ServerError,
];

async fn summary(caller: &Caller, number: u32) -> CallerReply {
    let body = format!("{{\"question\":{number}}}");
    let request = CallerRequest::new("/v1/pipelines/summary", "market", body);
    caller.post(request).await.unwrap()
}

fn expected(number: u32) -> bytes::Bytes {
    let body = format!("{{\"question\":{number}}}");
    expect::answer(&summary_steps(), body.as_bytes())
}

async fn checkout(caller: &Caller, key: &str) -> CallerReply {
    let request =
        CallerRequest::new("/v1/pipelines/checkout", "market", "{}").header("idempotency-key", key);
    caller.post(request).await.unwrap()
}

fn payment_runs(fixture: &Fixture) -> Vec<Run> {
    let servers = fixture.endpoints["pay"].iter();
    servers.flat_map(|server| server.endpoint.runs()).collect()
}

/// Checks that the second endpoint of a service answers if the first damages every reply, for each kind of damage.
async fn assert_second_answers(service: &str) {
    for damage in DAMAGES {
        let fixture = Fixture::start().await;
        let (_daemon, caller) = fixture.daemon().await;
        let damaged = &fixture.endpoints[service][0].endpoint;
        damaged.faults.damage(damage, 1.0);
        for i in 0..6 {
            let reply = summary(&caller, i).await;
            assert_eq!(reply.status, 200, "{damage:?}: {:?}", reply.body);
            assert_eq!(reply.body, expected(i), "{damage:?}");
        }
    }
}

#[tokio::test]
async fn damaged_plain_replies() {
    assert_second_answers("encoder").await;
}

#[tokio::test]
async fn damaged_streams() {
    assert_second_answers("llm").await;
}

#[tokio::test]
async fn resumed_stream() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    let (tokens, received) = watch::channel(0);
    for server in &fixture.endpoints["llm"] {
        let received = received.clone();
        let at = StreamBreak { token: 3, received };
        server.endpoint.faults.break_stream(at);
    }
    let request = CallerRequest::new("/v1/pipelines/summary", "market", "{\"question\":1}")
        .header("accept", "text/event-stream");
    let count = |body: &[u8]| String::from_utf8_lossy(body).matches("\"index\":").count() as u32;
    let reply = caller.follow(request, |body| _ = tokens.send_replace(count(body)));
    let reply = reply.await.unwrap();
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    for index in 0..TOKENS {
        let token = format!("\"index\":{index},");
        assert_eq!(text.matches(&token).count(), 1, "token {index} in {text}");
    }
    assert_eq!(text.matches("event: done").count(), 1, "{text}");
    let engines = fixture.endpoints["llm"].iter();
    let runs: Vec<Run> = engines.flat_map(|server| server.endpoint.runs()).collect();
    let mut resumed: Vec<u32> = runs.iter().map(|run| run.resumed).collect();
    resumed.sort_unstable();
    // Each engine's stream breaks off once. Tokens that the caller has received aren't generated again.
    assert_eq!(resumed, [0, 3, 3], "{runs:?}");
}

#[tokio::test]
async fn dead_endpoint() {
    let mut fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    fixture.endpoints.get_mut("retriever").unwrap().remove(0);
    for i in 0..10 {
        let reply = summary(&caller, i).await;
        assert_eq!(reply.body, expected(i));
    }
}

#[tokio::test]
async fn dead_service() {
    let mut fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    fixture.endpoints.get_mut("encoder").unwrap().clear();
    let reply = summary(&caller, 1).await;
    assert_eq!(reply.code(), "no_endpoint");
    // No endpoint of the first stage could be reached, so nothing ran.
    assert_eq!(reply.outcome(), "not_run");
}

#[tokio::test]
async fn later_dead_service() {
    let mut fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    fixture.endpoints.get_mut("reranker").unwrap().clear();
    let reply = summary(&caller, 1).await;
    assert_eq!(reply.code(), "no_endpoint");
    // The stages before it ran.
    assert_eq!(reply.outcome(), "unknown");
}

#[tokio::test]
async fn payment_once() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    for server in &fixture.endpoints["pay"] {
        server.endpoint.faults.damage(Damage::NoReply, 1.0);
    }
    let reply = checkout(&caller, "sale-1").await;
    assert_eq!(reply.outcome(), "unknown");
    assert_eq!(payment_runs(&fixture).len(), 1);
    for server in &fixture.endpoints["pay"] {
        server.endpoint.faults.damage(Damage::NoReply, 0.0);
    }
    // The endpoint recognises the idempotency key, so the retry gets the first answer and doesn't run.
    let reply = checkout(&caller, "sale-1").await;
    assert_eq!(reply.status, 200);
    assert_eq!(payment_runs(&fixture).len(), 1);
}

#[tokio::test]
async fn refused_payment_moves() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    fixture.endpoints["pay"][0]
        .endpoint
        .faults
        .damage(Damage::NotRun, 1.0);
    for i in 0..6 {
        let reply = checkout(&caller, &format!("sale-{i}")).await;
        assert_eq!(reply.status, 200, "{:?}", reply.body);
    }
    assert_eq!(payment_runs(&fixture).len(), 6);
}

#[tokio::test]
async fn leaving_endpoint() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    let leaving = &fixture.endpoints["encoder"][0].endpoint;
    leaving.faults.leave(true);
    for i in 0..10 {
        assert_eq!(summary(&caller, i).await.body, expected(i));
    }
    assert!(leaving.runs().is_empty());
}

#[tokio::test]
async fn silent_endpoints() {
    let fixture = Fixture::start().await;
    let (daemon, caller) = fixture.daemon().await;
    for server in &fixture.endpoints["encoder"] {
        server.endpoint.faults.slow_down(100_000.0);
    }
    let request =
        CallerRequest::new("/v1/services/encoder", "market", "{}").header("x-deadline-ms", 300);
    let reply = caller.post(request).await.unwrap();
    assert_eq!(reply.code(), "deadline_exceeded");
    assert_eq!(reply.outcome(), "unknown");
    wait_for("nothing in flight", async || daemon.node().in_flight() == 0).await;
}
