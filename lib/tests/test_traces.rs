//! A span for each hop, under the caller's parent, without waiting for the collector.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_testutils::{
        collector::Collector,
        fixture::{Fixture, wait_for},
        http_client::CallerRequest,
    },
    std::collections::BTreeSet,
};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[tokio::test]
async fn span_tree() {
    let fixture = Fixture::start().await;
    let collector = Collector::start().await.unwrap();
    let (_daemon, caller) = fixture.traced_daemon(collector.address()).await;
    let request =
        CallerRequest::new("/v1/pipelines/summary", "market", "{}").header("traceparent", PARENT);
    assert_eq!(caller.post(request).await.unwrap().status, 200);
    wait_for("seven spans", async || collector.spans().len() >= 7).await;
    let spans = collector.spans();
    assert!(spans.iter().all(|span| span.trace == TRACE));
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
    let collector = Collector::start().await.unwrap();
    let address = collector.address();
    drop(collector);
    let (daemon, caller) = fixture.traced_daemon(address).await;
    let request = CallerRequest::new("/v1/services/encoder", "market", "{}");
    assert_eq!(caller.post(request).await.unwrap().status, 200);
    let tracing = daemon.node().tracing().clone();
    wait_for("dropped spans", async || tracing.dropped() >= 4).await;
}
