//! Tests that a body in parts is complete only if its end was sent.

use {
    bytes::Bytes,
    hazelyoke_lib::gateway::wire::reply::{IncompleteBody, ReplyBody, StreamPart},
    http_body_util::BodyExt,
    tokio::sync::mpsc,
};

async fn collect(parts: Vec<StreamPart>) -> Result<Bytes, IncompleteBody> {
    let (sender, receiver) = mpsc::channel(parts.len().max(1));
    for part in parts {
        sender
            .send(part)
            .await
            .expect("the channel has capacity for all parts");
    }
    drop(sender);
    let body = ReplyBody::Stream(receiver);
    body.collect().await.map(|whole| whole.to_bytes())
}

#[tokio::test]
async fn ended_body() {
    let parts = vec![StreamPart::Bytes("some".into()), StreamPart::End];
    assert_eq!(collect(parts).await, Ok(Bytes::from("some")));
}

/// A body whose sender is dropped before its end fails.
#[tokio::test]
async fn unended_body() {
    let parts = vec![StreamPart::Bytes("some".into())];
    assert_eq!(collect(parts).await, Err(IncompleteBody));
    assert_eq!(collect(Vec::new()).await, Err(IncompleteBody));
}
