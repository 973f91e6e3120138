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
async fn a_body_with_its_end_is_whole() {
    let parts = vec![StreamPart::Bytes("some".into()), StreamPart::End];
    assert_eq!(collect(parts).await, Ok(Bytes::from("some")));
}

#[tokio::test]
async fn a_body_whose_sender_went_is_broken_off() {
    let parts = vec![StreamPart::Bytes("some".into())];
    assert_eq!(collect(parts).await, Err(BrokenOff));
    assert_eq!(collect(Vec::new()).await, Err(BrokenOff));
}
