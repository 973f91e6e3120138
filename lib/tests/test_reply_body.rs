//! A body that comes bit by bit looks complete only where its end was sent.

use {
    bytes::Bytes,
    hazelyoke_lib::gateway::wire::reply::{BrokenOff, ReplyBody, StreamPart},
    http_body_util::BodyExt,
    tokio::sync::mpsc,
};

async fn collect(parts: Vec<StreamPart>) -> Result<Bytes, BrokenOff> {
    let (sender, receiver) = mpsc::channel(parts.len().max(1));
    for part in parts {
        sender.send(part).await.expect("there is room");
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

/// A body whose sender is gone before its end is an error.
#[tokio::test]
async fn unended_body() {
    let parts = vec![StreamPart::Bytes("some".into())];
    assert_eq!(collect(parts).await, Err(BrokenOff));
    assert_eq!(collect(Vec::new()).await, Err(BrokenOff));
}
