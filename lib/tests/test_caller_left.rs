//! The node drops the entry of a caller that leaves before its answer.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    bytes::Bytes,
    hazelyoke_lib::{
        pipeline::decision::request::{Arrival, Target},
        shared::ids::RequestId,
    },
    hazelyoke_testutils::{fixture::Fixture, http_client::CallerRequest},
};

const INPUT: &str = r#"{"question":1}"#;

fn arrival(id: RequestId) -> Arrival {
    Arrival {
        id,
        customer: "market".parse().unwrap(),
        target: Target::Pipeline("summary".parse().unwrap()),
        remaining: None,
        priority: None,
        key: None,
        stream: false,
        body: Bytes::from_static(INPUT.as_bytes()),
        trace_parent: None,
    }
}

/// Guards against a leak: the core sends no final answer for a caller that has left, so its entry stayed until the
/// daemon ended.
#[tokio::test]
async fn entries_removed() {
    let fixture = Fixture::start().await;
    let (daemon, caller) = fixture.daemon().await;
    let request = CallerRequest::new("/v1/pipelines/summary", "market", INPUT);
    assert_eq!(caller.post(request).await.unwrap().status, 200);
    let node = daemon.node();
    for _ in 0..20 {
        let id = RequestId::from_random(node.random_bits());
        drop(node.submit(arrival(id)));
    }
    assert_eq!(node.waiting_callers(), 0);
}
