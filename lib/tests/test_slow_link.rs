//! A daemon that is slow to accept a link, since many others open one at once, isn't considered lost.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    futures_util::{SinkExt, StreamExt},
    hazelyoke_lib::gateway::peers::{
        links::Links,
        message::{Frame, LinkReply, LinkRequest, decode, encode},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, runtime::Builder, task::LocalSet},
    tokio_tungstenite::{accept_async, tungstenite::Message},
};

/// Time that the daemon takes to accept: longer than the first attempt lasts, and well within the second.
const ACCEPT_DELAY: Duration = Duration::from_millis(450);

/// Accepts links one after the other, slowly, and replies to the first request on each.
async fn serve_slowly(listener: TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::time::sleep(ACCEPT_DELAY).await;
        // The first attempt has timed out by then.
        let Ok(mut socket) = accept_async(stream).await else {
            continue;
        };
        let Some(Ok(message)) = socket.next().await else {
            continue;
        };
        let frame: Frame<LinkRequest> = decode(&message.into_data()).unwrap();
        let reply = Frame {
            number: frame.number,
            content: LinkReply::Unable,
        };
        let bytes = encode(&reply).into();
        socket.send(Message::Binary(bytes)).await.unwrap();
    }
}

#[test]
fn slow_upgrade() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.unwrap();
        let peer = listener.local_addr().unwrap();
        tokio::task::spawn_local(serve_slowly(listener));
        let links = Links::default();
        let reply = links.request(peer, LinkRequest::Table).await;
        assert_eq!(reply, Some(LinkReply::Unable));
    });
}
